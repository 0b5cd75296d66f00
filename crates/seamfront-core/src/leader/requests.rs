//! The leader's outstanding requests, and its events for the engine.

use crate::fleet_duties::FleetDuty;
use crate::port::Entry;
use crate::types::{MachineId, MachineType};

/// An outstanding request of the leader, with the fencing token under which it was sent.
pub(crate) struct FencedRequest {
    /// The fencing token of the request's duty when it was sent.
    pub(crate) fencing_token: u64,
    /// The request.
    pub(crate) request: LeaderRequest,
}

/// An outstanding request of the leader.
pub(crate) enum LeaderRequest {
    /// Reading the provisioning records of predecessors.
    ListProvisioningRecords {
        /// Records read so far.
        entries: Vec<Entry>,
    },
    /// Writing a provisioning record, before the request is sent to the cloud.
    RecordProvisioning {
        /// Name of the provisioning request.
        name: String,
    },
    /// Writing the records of provisioned machines.
    RecordMachines {
        /// Name of the provisioning request.
        name: String,
        /// The machines.
        ids: Vec<MachineId>,
        /// Whether this transaction also removes the provisioning record, as the last one of the request.
        last: bool,
    },
    /// Writing the records of machines that are assigned to shards, or to none.
    AssignMachines {
        /// The duty that assigns them.
        duty: FleetDuty,
        /// The machines.
        ids: Vec<MachineId>,
    },
    /// Deleting the records of terminated machines.
    DeleteMachineRecords,
    /// Writing the record of machine types.
    RecordMachineTypes,
    /// Reading the cloud's machine types.
    MachineTypes,
    /// Reading a page of the cloud's list of machines.
    ListMachines,
    /// Provisioning machines.
    Provision {
        /// Name of the provisioning request.
        name: String,
    },
    /// Terminating machines.
    Terminate {
        /// The machines.
        ids: Vec<MachineId>,
    },
}

impl LeaderRequest {
    /// The duty that the request belongs to.
    pub(crate) fn duty(&self) -> FleetDuty {
        match self {
            LeaderRequest::AssignMachines { duty, .. } => *duty,
            LeaderRequest::DeleteMachineRecords | LeaderRequest::Terminate { .. } => {
                FleetDuty::ScaleIn
            }
            LeaderRequest::ListProvisioningRecords { .. }
            | LeaderRequest::RecordProvisioning { .. }
            | LeaderRequest::RecordMachines { .. }
            | LeaderRequest::RecordMachineTypes
            | LeaderRequest::MachineTypes
            | LeaderRequest::ListMachines
            | LeaderRequest::Provision { .. } => FleetDuty::ScaleOut,
        }
    }
}

/// An event for the engine that follows from a reply to the leader.
pub(crate) enum LeaderEvent {
    /// The cloud has listed the machine types on offer.
    MachineTypesListed(Vec<MachineType>),
    /// A transaction failed on the duty's fence: this controller does not hold the duty any more.
    FenceRefused {
        /// The duty.
        duty: FleetDuty,
        /// The refused fencing token.
        fencing_token: u64,
    },
}
