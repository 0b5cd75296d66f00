//! Requests to the cloud API and its replies.

use crate::types::{MachineId, MachineType, Micros};

/// A request to the cloud API.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudRequest {
    /// Read the machine types on offer and their prices.
    MachineTypes,
    /// Provision machines of one offer. The request is idempotent by its name, which is never used for another one.
    Provision {
        /// Name of the request, its idempotency key.
        name: String,
        /// Machine type.
        machine_type: String,
        /// Zone.
        zone: String,
        /// Whether to provision spot machines.
        spot: bool,
        /// Number of machines.
        count: u32,
    },
    /// Terminate machines.
    Terminate {
        /// Names of the machines.
        machines: Vec<MachineId>,
    },
    /// Read a page of the list of machines.
    ListMachines {
        /// The last machine of the previous page; `None` for the first page.
        after: Option<MachineId>,
    },
}

/// A reply of the cloud API.
#[derive(Clone, Debug)]
pub enum CloudReply {
    /// The machine types on offer and their prices.
    MachineTypes(Vec<MachineType>),
    /// Names of the provisioned machines, which may be fewer than requested.
    Provisioned(Vec<MachineId>),
    /// The cloud has no capacity for the requested offer.
    NoCapacity,
    /// The machines no longer exist, nor does anything on them.
    Terminated,
    /// A page of the list of machines.
    Page {
        /// The machines, in order.
        machines: Vec<ListedMachine>,
        /// Whether there are further pages.
        more: bool,
    },
    /// The request failed, or its outcome is unknown.
    Failed,
}

/// State of a machine in the cloud's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// Booting.
    Starting,
    /// Running, or was until a moment ago: the list lags behind.
    Running,
    /// Stopped without having been terminated.
    Failed,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug)]
pub struct ListedMachine {
    /// Name.
    pub id: MachineId,
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// State.
    pub state: ListedState,
    /// Time since it was requested.
    pub age: Micros,
}
