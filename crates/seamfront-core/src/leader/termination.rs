//! Termination of machines that are assigned to no shard.

use super::{Leader, LeaderContext, LeaderOutbox, LeaderRequest};
use crate::machine::machine_key;
use crate::port::{CloudReply, CloudRequest, Write};
use crate::types::{MachineId, Micros};
use std::collections::{BTreeMap, BTreeSet};
use tracing::info;

/// Minimum interval between termination requests to the cloud.
const TERMINATE_INTERVAL: Micros = Micros::from_millis(500);
/// Maximum number of machines in one termination request.
const MAX_MACHINES_PER_REQUEST: usize = 100;
/// Number of machines that one termination request may hold even if the write budget is used up.
const MIN_MACHINES_PER_REQUEST: usize = 4;
/// Terminated machines are remembered for this long, since the cloud's list may still show them.
const TERMINATED_RETENTION: Micros = Micros::from_secs(180);
/// Divisor that turns the product of a write rate, in thousandths of a write per second, and an interval, in
/// microseconds, into a number of writes.
const RATE_INTERVAL_SCALE: i64 = 1_000_000_000;

/// The state of termination.
#[derive(Debug)]
pub(super) struct TerminationState {
    /// Machines that the cloud has terminated, with the time of its reply.
    terminated: BTreeMap<MachineId, Micros>,
    request_in_flight: bool,
    next_request_at: Micros,
    /// Number of machines that are still to be terminated.
    pub(super) pending_count: usize,
    /// Machines that the leader itself has unassigned. They are terminated last, since no shard waits for their end.
    unassigned_by_leader: BTreeSet<MachineId>,
}

impl TerminationState {
    pub(super) fn new(now: Micros) -> Self {
        TerminationState {
            terminated: BTreeMap::new(),
            request_in_flight: false,
            next_request_at: now,
            pending_count: 0,
            unassigned_by_leader: BTreeSet::new(),
        }
    }

    /// Allows a new request at once: replies to requests sent under another fencing token will be ignored.
    pub(super) fn restart(&mut self) {
        self.request_in_flight = false;
    }

    pub(super) fn is_terminated(&self, id: &MachineId) -> bool {
        self.terminated.contains_key(id)
    }

    /// Notes that the leader itself unassigns a machine.
    pub(super) fn mark_unassigned_by_leader(&mut self, id: MachineId) {
        self.unassigned_by_leader.insert(id);
    }

    /// Forgets machines that were terminated so long ago that the cloud's list does not show them any more.
    pub(super) fn forget_old_terminations(&mut self, now: Micros) {
        self.terminated
            .retain(|_, terminated_at| now - *terminated_at < TERMINATED_RETENTION);
    }

    /// Machines assigned to no shard; those that the leader itself has unassigned come last.
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

/// Maximum number of machines in the next termination request. Even if the write budget is used up, a request may use
/// half of the writes that accrue to the controller in an interval: when hundreds of machines fail at once, the jobs on
/// them wait for the terminations, and a busy store would otherwise leave the leader no writes.
fn max_machines_in_request(context: &LeaderContext) -> usize {
    let half_of_rate = context.write_rate * TERMINATE_INTERVAL.0 / (2 * RATE_INTERVAL_SCALE);
    let allowed_by_writes = context
        .available_leader_writes()
        .max(half_of_rate as usize)
        .max(MIN_MACHINES_PER_REQUEST);
    context
        .settings
        .max_txn_changes
        .min(MAX_MACHINES_PER_REQUEST)
        .min(allowed_by_writes)
}

impl Leader {
    /// Requests the termination of machines that are assigned to no shard.
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
        termination.pending_count = ids.len();
        ids.truncate(max_machines_in_request(context));
        if ids.is_empty() {
            return;
        }
        termination.request_in_flight = true;
        info!(machines = ?ids.iter().map(|id| id.as_str()).collect::<Vec<_>>(), "terminating machines");
        let cloud_request = CloudRequest::Terminate {
            machines: ids.clone(),
        };
        let request = LeaderRequest::Terminate { ids };
        self.send_to_cloud(context, outbox, cloud_request, request);
    }

    /// Handles the cloud's reply to a termination request, and deletes the records of terminated machines.
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
        // The holders of the machines' former shards learn of the termination by the deletion.
        self.commit(
            context,
            outbox,
            Vec::new(),
            writes,
            LeaderRequest::DeleteMachineRecords,
        );
    }
}
