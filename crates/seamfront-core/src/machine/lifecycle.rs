//! Lifecycle of a machine in its shard, from the first claim to its return to the cloud.

use crate::types::Micros;

/// Where a machine stands between its claim by this holder and its release or decommissioning.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    /// Time at which this holder took it over.
    pub owned_since: Micros,
    /// When the cloud will preempt it.
    pub preemption_deadline: Option<Micros>,
    /// Since when it has been released for the leader.
    pub released_since: Option<Micros>,
    /// Since when it has been drained for more important work of another shard.
    pub draining_since: Option<Micros>,
    /// To be returned to the cloud whatever is on it.
    pub condemned: bool,
    /// Its record is being written.
    pub write_in_flight: bool,
    /// A write that decommissions it was made and may still be applied: if the machine comes back meanwhile,
    /// nothing must be placed on it that would be returned with it.
    pub decommission_pending: bool,
}

impl Lifecycle {
    /// A machine that this holder has just taken over.
    pub(super) fn new(now: Micros) -> Self {
        Lifecycle {
            owned_since: now,
            preemption_deadline: None,
            released_since: None,
            draining_since: None,
            condemned: false,
            write_in_flight: false,
            decommission_pending: false,
        }
    }

    /// It is condemned, or a write that decommissions it may be applied: whatever were started on it now would be
    /// returned with it.
    pub fn decommissioning(&self) -> bool {
        self.condemned || self.decommission_pending
    }

    /// It stays in the shard for now: no preemption notice, and neither released, drained nor decommissioned.
    pub(super) fn in_service(&self) -> bool {
        self.preemption_deadline.is_none()
            && self.released_since.is_none()
            && self.draining_since.is_none()
            && !self.decommissioning()
    }
}
