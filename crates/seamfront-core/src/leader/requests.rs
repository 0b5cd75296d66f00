//! The leader's outstanding requests, and what it reports to the engine.

use crate::fleet_duties::FleetDuty;
use crate::port::Entry;
use crate::types::{MachineId, MachineType};

/// An outstanding request of the leader, with the token under which it was sent.
pub(crate) struct FencedRequest {
    /// The fencing token of the request's duty.
    pub(crate) fencing_token: u64,
    /// The request.
    pub(crate) request: LeaderRequest,
}

/// An outstanding request of the leader.
pub(crate) enum LeaderRequest {
    /// Reading of the provisioning records that former leaders left.
    ListProvisionings {
        /// Records read so far.
        entries: Vec<Entry>,
    },
    /// The write of a provisioning record, before the cloud is asked.
    RecordProvisioning {
        /// Name of the provisioning request.
        name: String,
    },
    /// The write of provisioned machines' records.
    RecordMachines {
        /// Name of the provisioning request.
        name: String,
        /// Machines whose records are written.
        ids: Vec<MachineId>,
        /// Whether these are the last machines of the provisioning request.
        last: bool,
    },
    /// The write of the records of machines that are assigned to shards, or to none.
    AssignMachines {
        /// The duty that assigns them.
        duty: FleetDuty,
        /// Machines whose records are written.
        ids: Vec<MachineId>,
    },
    /// Removal of the records of terminated machines.
    ForgetMachines,
    /// The write of the record of machine types.
    TypesWritten,
    /// The cloud's machine types.
    MachineTypes,
    /// A page of the cloud's list of machines.
    ListMachines,
    /// Provisioning of machines.
    Provision {
        /// Name of the provisioning request.
        name: String,
    },
    /// Termination of machines.
    Terminate {
        /// The machines.
        ids: Vec<MachineId>,
    },
}

impl LeaderRequest {
    /// The duty that it belongs to.
    pub(crate) fn duty(&self) -> FleetDuty {
        match self {
            LeaderRequest::AssignMachines { duty, .. } => *duty,
            LeaderRequest::ForgetMachines | LeaderRequest::Terminate { .. } => FleetDuty::ScaleIn,
            LeaderRequest::ListProvisionings { .. }
            | LeaderRequest::RecordProvisioning { .. }
            | LeaderRequest::RecordMachines { .. }
            | LeaderRequest::TypesWritten
            | LeaderRequest::MachineTypes
            | LeaderRequest::ListMachines
            | LeaderRequest::Provision { .. } => FleetDuty::ScaleOut,
        }
    }
}

/// What the engine must know of a reply to the leader.
pub(crate) enum LeaderEvent {
    /// The cloud has named the machine types on offer.
    MachineTypesListed(Vec<MachineType>),
    /// A transaction failed on the duty's fence: the duty is not held here any more.
    FenceRefused {
        /// The duty.
        duty: FleetDuty,
        /// The token that was refused.
        fencing_token: u64,
    },
}
