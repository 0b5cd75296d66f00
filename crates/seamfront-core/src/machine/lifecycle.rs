//! Lifecycle of a machine in its shard, from its takeover by this holder to its release or termination.

use crate::types::Micros;

/// The stage of a machine between its takeover by this holder and its release or decommissioning.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    /// Time at which this holder took it over.
    pub owned_since: Micros,
    /// When the cloud will preempt it, if it has sent a notice.
    pub preemption_deadline: Option<Micros>,
    /// Since when it has been released to the leader.
    pub released_since: Option<Micros>,
    /// Since when it has been drained for higher-priority work of another shard.
    pub draining_since: Option<Micros>,
    /// It is to be terminated, whatever may run on it.
    pub condemned: bool,
    /// Its record is being written.
    pub write_in_flight: bool,
    /// A write that decommissions it was made and may still be applied. If the machine comes back meanwhile, no task
    /// may be placed on it, since the task would be lost with it.
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

    /// Whether it is condemned, or a write that decommissions it may still be applied. A task started on it now would
    /// be lost with it.
    pub fn decommissioning(&self) -> bool {
        self.condemned || self.decommission_pending
    }

    /// Whether it stays in the shard for now: it has no preemption notice and is neither released, drained nor
    /// decommissioned.
    pub(super) fn in_service(&self) -> bool {
        self.preemption_deadline.is_none()
            && self.released_since.is_none()
            && self.draining_since.is_none()
            && !self.decommissioning()
    }
}
