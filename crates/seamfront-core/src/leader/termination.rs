//! Termination of machines that are assigned to no shard.

use super::{Leader, LeaderContext, LeaderOutbox, LeaderRequest};
use crate::machine::machine_key;
use crate::port::{CloudReply, CloudRequest, Write};
use crate::types::{MachineId, Micros};
use std::collections::{BTreeMap, BTreeSet};
use tracing::info;

/// Time between two termination requests to the cloud.
const TERMINATE_INTERVAL: Micros = Micros::from_millis(500);
/// Machines terminated in one request, at most.
const MAX_PER_REQUEST: usize = 100;
/// Machines that may be terminated in one request however busy the store is.
const MIN_PER_REQUEST: usize = 4;
/// The cloud's list may show terminated machines for this long.
const TERMINATED_KEPT_FOR: Micros = Micros::from_secs(180);
/// One write in the unit of a write rate over an interval: thousandths of a write times microseconds of a second.
const RATE_TIMES_MICROS_PER_WRITE: i64 = 1_000_000_000;

/// Machines that are to be terminated, and those that have been.
#[derive(Debug)]
pub(super) struct TerminationState {
    /// Machines that the cloud has terminated, and when: its list may still show them.
    terminated: BTreeMap<MachineId, Micros>,
    request_in_flight: bool,
    next_request_at: Micros,
    /// Machines that are to be terminated.
    pub(super) pending: usize,
    /// Machines that the leader itself has unassigned. They are terminated last: no shard waits for that.
    unassigned_by_leader: BTreeSet<MachineId>,
}

impl TerminationState {
    pub(super) fn new(now: Micros) -> Self {
        TerminationState {
            terminated: BTreeMap::new(),
            request_in_flight: false,
            next_request_at: now,
            pending: 0,
            unassigned_by_leader: BTreeSet::new(),
        }
    }

    /// Replies to requests sent under another token are not taken any more.
    pub(super) fn restart(&mut self) {
        self.request_in_flight = false;
    }

    pub(super) fn is_terminated(&self, id: &MachineId) -> bool {
        self.terminated.contains_key(id)
    }

    /// The leader unassigns a machine.
    pub(super) fn unassigned_by_leader(&mut self, id: MachineId) {
        self.unassigned_by_leader.insert(id);
    }

    /// Forgets terminations from so long ago that the cloud's list reflects them.
    pub(super) fn forget_old(&mut self, now: Micros) {
        self.terminated
            .retain(|_, terminated_at| now - *terminated_at < TERMINATED_KEPT_FOR);
    }

    /// Machines assigned to no shard, those that the leader has unassigned last.
    fn unassigned_machines(&mut self, context: &LeaderContext) -> Vec<MachineId> {
        self.unassigned_by_leader.retain(|id| {
            context
                .machines
                .get(id)
                .is_some_and(|machine| machine.record.shard.is_none())
        });
        let unassigned = context
            .machines
            .iter()
            .filter(|(_, machine)| machine.record.shard.is_none())
            .map(|(id, _)| id.clone());
        let (last, mut ids): (Vec<MachineId>, Vec<MachineId>) =
            unassigned.partition(|id| self.unassigned_by_leader.contains(id));
        ids.extend(last);
        ids
    }
}

/// Machines terminated in one request. Half of the writes that the store takes in the interval, if need be: jobs on
/// machines that failed by the hundred wait for this, while a busy store would leave the leader no writes otherwise.
fn request_size(context: &LeaderContext) -> usize {
    let half_of_rate =
        context.write_rate * TERMINATE_INTERVAL.0 / (2 * RATE_TIMES_MICROS_PER_WRITE);
    let affordable = context
        .leader_writes()
        .max(half_of_rate as usize)
        .max(MIN_PER_REQUEST);
    context
        .settings
        .txn_ops
        .min(MAX_PER_REQUEST)
        .min(affordable)
}

impl Leader {
    /// Asks the cloud to terminate machines that are assigned to no shard.
    pub(super) fn termination_tick(&mut self, context: &LeaderContext, outbox: &mut LeaderOutbox) {
        let now = context.now;
        let termination = &mut self.termination;
        if termination.request_in_flight
            || now < termination.next_request_at
            || now < self.cloud_backoff_until
        {
            return;
        }
        termination.next_request_at = now + TERMINATE_INTERVAL;
        let mut ids = termination.unassigned_machines(context);
        termination.pending = ids.len();
        ids.truncate(request_size(context));
        if ids.is_empty() {
            return;
        }
        termination.request_in_flight = true;
        info!(machines = ?ids.iter().map(|id| id.as_str()).collect::<Vec<_>>(), "terminating machines");
        let cloud_request = CloudRequest::Terminate {
            machines: ids.clone(),
        };
        let request = LeaderRequest::Terminate { ids };
        self.ask_cloud(context, outbox, cloud_request, request);
    }

    /// Takes in the cloud's reply to a termination request; removes the records of terminated machines.
    pub(super) fn terminate_reply(
        &mut self,
        context: &mut LeaderContext,
        outbox: &mut LeaderOutbox,
        ids: &[MachineId],
        reply: &CloudReply,
    ) {
        self.termination.request_in_flight = false;
        if !matches!(reply, CloudReply::Terminated) {
            return;
        }
        for id in ids {
            self.termination.terminated.insert(id.clone(), context.now);
        }
        let writes = ids
            .iter()
            .map(|id| Write::Delete {
                key: machine_key(id),
            })
            .collect();
        // The shards' owners see the records' removal.
        self.commit(
            context,
            outbox,
            Vec::new(),
            writes,
            LeaderRequest::ForgetMachines,
        );
    }
}
