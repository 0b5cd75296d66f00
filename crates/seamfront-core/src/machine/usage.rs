//! How long a machine or its accelerators have been unused.

use crate::types::Micros;

/// Usage of a machine over time, by which the leader decides to terminate or move it.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// Since when it has been empty.
    pub idle_since: Option<Micros>,
    /// Whether room on it is reserved for a pending gang, see [`crate::port::MachineView`].
    pub reserved_for_gang: bool,
    /// Since when no task on it has used its accelerators, although they are what the machine is paid for.
    pub accelerators_unused_since: Option<Micros>,
}
