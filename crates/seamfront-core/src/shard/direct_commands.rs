//! Direct commands: start orders sent straight to an agent instead of in the reply to its next heartbeat.

use super::{
    debug, warn, BTreeMap, CallId, Context, DirectCommand, DirectOutcome, Effect, JobId, Machine,
    MachineId, Order, Phase, Shard, ShardPhase, StatusSource,
};
use crate::job::Job;

/// Start orders that are due on a machine.
struct DirectStarts {
    orders: Vec<Order>,
    /// Some tasks on the machine must not start before a later time.
    has_deferred: bool,
}

impl Shard {
    /// Sends direct commands to machines on which start orders are due: at most one outstanding command per agent, and
    /// only to agents that have shown our token and send heartbeats.
    pub fn send_direct_commands(&mut self, context: &mut Context) {
        if !context.claim_verified || self.phase != ShardPhase::Ready {
            return;
        }
        self.count_work(self.direct_start_candidates.len());
        let (machines, jobs, version) = (&mut self.machines, &mut self.jobs, self.version);
        let started = &mut self.activity.counts.started_directly;
        self.direct_start_candidates.retain(|id| {
            machines
                .get_mut(id)
                .is_some_and(|m| send_direct_command(context, m, jobs, version, started))
        });
    }

    /// Applies the outcome of a direct command. An outcome settles only the command of its own call: if the machine or
    /// its shard left this holder and came back, an earlier call proves nothing about the current command.
    pub fn apply_direct_outcome(
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

/// Sends the start orders that are due on a machine, and adds their number to `started`. Returns whether tasks there may
/// still need a direct start.
fn send_direct_command(
    context: &mut Context,
    m: &mut Machine,
    jobs: &mut BTreeMap<JobId, Job>,
    claim_version: u64,
    started: &mut usize,
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
    let DirectStarts {
        orders,
        has_deferred,
    } = due_starts(context, m, jobs);
    if orders.is_empty() {
        return has_deferred;
    }
    let fencing_token = m.fencing_token(claim_version);
    let incarnation = m.agent.incarnation;
    debug!(
        machine = %m.id,
        fencing_token,
        token_shown = m.fencing.highest_seen_token,
        incarnation,
        acknowledged_ago_ms = m.agent.last_acknowledged.map(|t| (context.now - t).0 / 1_000),
        orders = orders.len(),
        "starting tasks directly"
    );
    let call = *context.next_call;
    *context.next_call += 1;
    *started += orders.len();
    m.order_history.record(&orders, fencing_token, context.now);
    m.fencing.last_command_token = fencing_token;
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
    has_deferred
}

/// Collects the start orders on a machine that are due and were not sent yet, and marks them as sent to the current
/// incarnation of its agent.
fn due_starts(context: &Context, m: &Machine, jobs: &mut BTreeMap<JobId, Job>) -> DirectStarts {
    let mut starts = DirectStarts {
        orders: Vec::new(),
        has_deferred: false,
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
            starts.has_deferred = true;
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
