//! Direct commands: starts that should not wait for the next heartbeat of a worker.

use super::{
    debug, warn, BTreeMap, CallId, Context, DirectCommand, DirectOutcome, Effect, JobId, Machine,
    MachineId, Order, Phase, Shard, ShardPhase, StatusSource,
};
use crate::job::Job;

/// Starts that may be sent to a machine directly.
struct DirectStarts {
    orders: Vec<Order>,
    /// Some tasks are to be started later.
    more_later: bool,
}

impl Shard {
    /// Sends direct commands where starts are due, at most one at a time to each worker, and only to workers that
    /// have shown our token and send heartbeats.
    pub fn send_directs(&mut self, context: &mut Context) {
        if !context.lease_valid || self.phase != ShardPhase::Ready {
            return;
        }
        self.count_work(self.unsent.len());
        let (machines, jobs, version) = (&mut self.machines, &mut self.jobs, self.version);
        self.unsent.retain(|id| {
            machines
                .get_mut(id)
                .is_some_and(|m| send_direct(context, m, jobs, version))
        });
    }

    /// Applies the outcome of a direct command. The outcome of one call settles no other: a call that was made
    /// before the machine, or its shard, left this holder and came back proves nothing of the present command.
    pub fn direct_result(
        &mut self,
        context: &mut Context,
        call: CallId,
        id: &MachineId,
        outcome: DirectOutcome,
    ) {
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        let command = &mut m.fencing.direct_command;
        let Some(current) = command.as_mut().filter(|command| command.call == call) else {
            return;
        };
        match outcome {
            DirectOutcome::Settled { heartbeat } => {
                *command = None;
                self.apply_heartbeat(context, &heartbeat, StatusSource::CommandReply);
            }
            DirectOutcome::NotSent => *command = None,
            DirectOutcome::Unknown => {
                warn!(machine = %id, fencing_token = current.fencing_token, "command unanswered; raising the fencing token");
                current.unknown = true;
            }
        }
        self.dirty = true;
    }
}

/// Sends the starts due on a machine. Returns whether tasks may still need a direct start there.
fn send_direct(
    context: &mut Context,
    m: &mut Machine,
    jobs: &mut BTreeMap<JobId, Job>,
    claim_version: u64,
) -> bool {
    if m.tasks.is_empty() {
        return false;
    }
    let heartbeat_interval = context.settings.heartbeat_interval;
    if m.fencing.direct_command.is_some()
        || !m.usable(context.now, heartbeat_interval, claim_version)
    {
        return true;
    }
    let Some(addr) = m.agent.address.clone() else {
        return true;
    };
    let DirectStarts { orders, more_later } = due_starts(context, m, jobs);
    if orders.is_empty() {
        return more_later;
    }
    let fencing_token = m.fencing_token(claim_version);
    let incarnation = m.agent.incarnation;
    debug!(machine = %m.id, fencing_token, orders = orders.len(), "starting tasks directly");
    let call = *context.calls;
    *context.calls += 1;
    m.fencing.direct_command = Some(DirectCommand {
        call,
        fencing_token,
        incarnation,
        unknown: false,
    });
    context.effects.push(Effect::SendDirect {
        call,
        machine: m.id.clone(),
        addr,
        incarnation,
        fencing_token,
        orders,
    });
    more_later
}

/// Starts of tasks on a machine that were not sent yet and are due, marked as sent to its present incarnation.
fn due_starts(context: &Context, m: &Machine, jobs: &mut BTreeMap<JobId, Job>) -> DirectStarts {
    let mut starts = DirectStarts {
        orders: Vec::new(),
        more_later: false,
    };
    for key in &m.tasks {
        let Some(job) = jobs.get_mut(&key.job).filter(|job| job.live()) else {
            continue;
        };
        let Some(p) = job.tasks.get_mut(&key.index) else {
            continue;
        };
        if p.phase != Phase::Ordered || p.incarnation != 0 || p.stop.is_some() {
            continue;
        }
        if p.not_before > context.now {
            starts.more_later = true;
            continue;
        }
        p.incarnation = m.agent.incarnation;
        starts.orders.push(Order::Start {
            task: key.clone(),
            attempt: p.attempt,
        });
    }
    starts
}
