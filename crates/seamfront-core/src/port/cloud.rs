//! The cloud: requests and replies.

use crate::types::{MachineId, MachineType, Micros};

/// A request to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudRequest {
    /// Read the machine types and prices.
    MachineTypes,
    /// Scale out: create machines. The request is idempotent under its name, which is never used again.
    Provision {
        /// Idempotency key of the request.
        name: String,
        /// Machine type.
        kind: String,
        /// Zone.
        zone: String,
        /// Whether they are to be spot machines.
        spot: bool,
        /// How many.
        count: u32,
    },
    /// Scale in: terminate machines.
    Terminate {
        /// Names of the machines.
        machines: Vec<MachineId>,
    },
    /// Read a page of the list of machines.
    ListMachines {
        /// The last machine of the page before.
        after: Option<MachineId>,
    },
}

/// A reply of the cloud.
#[derive(Clone, Debug)]
pub enum CloudReply {
    /// Machine types and prices.
    MachineTypes(Vec<MachineType>),
    /// Machines that were created.
    Provisioned(Vec<MachineId>),
    /// The cloud has no capacity for the offer.
    NoCapacity,
    /// The machines and all on them no longer exist.
    Terminated,
    /// A page of the list of machines.
    Page {
        /// The machines, in order.
        machines: Vec<ListedMachine>,
        /// Whether there are more after the last.
        more: bool,
    },
    /// The request failed, or its outcome is unknown.
    Failed,
}

/// State of a listed machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// Not up yet.
    Starting,
    /// Up, or was until a moment ago.
    Running,
    /// Stopped by itself.
    Failed,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug)]
pub struct ListedMachine {
    /// Name.
    pub id: MachineId,
    /// Type.
    pub kind: String,
    /// Zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// State.
    pub state: ListedState,
    /// Time since it was requested.
    pub age: Micros,
}
