//! The cloud: requests and answers.

use crate::types::*;

/// A request to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudCall {
    /// Machine types and prices.
    Types,
    /// Rent machines under a name that is never used again.
    Rent {
        /// Name of the rental.
        name: String,
        /// Machine type.
        kind: String,
        /// Zone.
        zone: String,
        /// Whether spot machines are asked for.
        spot: bool,
        /// How many.
        count: u32,
    },
    /// Return machines.
    Delete {
        /// Names of the machines.
        machines: Vec<MachineId>,
    },
    /// A page of the list of machines.
    List {
        /// The last machine of the page before.
        after: Option<MachineId>,
    },
}

/// An answer of the cloud.
#[derive(Clone, Debug)]
pub enum CloudReply {
    /// Machine types and prices.
    Types(Vec<MachineType>),
    /// Machines that were rented.
    Rented(Vec<MachineId>),
    /// None is to be had.
    NoCapacity,
    /// The machines and all on them are gone.
    Deleted,
    /// A page of the list of machines.
    Page {
        /// The machines, in order.
        machines: Vec<Listed>,
        /// Whether there are more after the last.
        more: bool,
    },
    /// Nothing is known of what became of the request.
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
pub struct Listed {
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
    /// Time since it was asked for.
    pub age: Micros,
}
