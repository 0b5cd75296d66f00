//! How long a machine, or its accelerators, have been unused.

use crate::types::Micros;

/// Use of a machine over time, by which the leader returns or moves it.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// Since when it has been empty.
    pub idle_since: Option<Micros>,
    /// Room on it is reserved for a pending gang: see [`crate::port::MachineView`].
    pub reserved_for_gang: bool,
    /// Since when no task on it has used its accelerators, which are what it is paid for.
    pub accelerators_unused_since: Option<Micros>,
}
