//! Orders to an agent in the reply to its heartbeat.

use super::{
    Context, Ending, Exit, Heartbeat, Micros, Order, Phase, Shard, TaskKey, TaskState, TaskStatus,
};
use crate::job::{Job, Stop};
use crate::machine::Machine;

/// A task that is still present this long after its grace period and the gang's peer timeout is stopped at once.
const GRACE_MARGIN: Micros = Micros::from_secs(2);

impl Shard {
    /// The orders for the reply to an agent's heartbeat, in the sequence in which the agent must carry them out.
    pub fn orders(&mut self, context: &mut Context, heartbeat: &Heartbeat) -> Vec<Order> {
        let Some(m) = self.machines.get_mut(&heartbeat.machine) else {
            return Vec::new();
        };
        // A delayed copy may list tasks that ended long ago: it only serves to stop unexpected tasks.
        let fresh = m.is_current_token(heartbeat.fencing_token, self.version);
        let has_exited = fresh && m.agent.exited_listed > 0;
        let may_forget = has_exited && m.allow_forgetting(self.version, context.token_limit);
        let mut orders: Vec<Order> = heartbeat
            .tasks
            .iter()
            .filter_map(|status| {
                let job = self.jobs.get(&status.task.job);
                order_for_listed(m, job, status, may_forget)
            })
            .collect();
        let may_start = fresh && m.record.shard.is_some() && !m.lifecycle.decommissioning();
        for key in &m.tasks {
            let job = self.jobs.get_mut(&key.job);
            orders.extend(job.and_then(|job| {
                order_for_placed(context, job, key, m.agent.incarnation, may_start)
            }));
        }
        let token = m.fencing_token(self.version);
        m.order_history.record(&orders, token, context.now);
        self.activity
            .count_forgetting(&orders, has_exited && !may_forget);
        orders
    }
}

/// The order for a task that the agent lists and that has exited or is not placed on the machine.
fn order_for_listed(
    m: &Machine,
    job: Option<&Job>,
    status: &TaskStatus,
    may_forget: bool,
) -> Option<Order> {
    if let TaskState::Exited(exit) = status.state {
        let forget = may_forget && result_no_longer_needed(job, exit);
        return forget.then(|| Order::Forget {
            task: status.task.clone(),
            attempt: status.attempt,
        });
    }
    m.unexpected_tasks
        .contains(&status.task)
        .then(|| Order::Stop {
            task: status.task.clone(),
            attempt: status.attempt,
            grace: Micros::ZERO,
        })
}

/// Whether the agent may drop this result, since nothing depends on it any more.
fn result_no_longer_needed(job: Option<&Job>, exit: Exit) -> bool {
    job.is_none_or(|job| {
        matches!(job.ending, Some(Ending::Done | Ending::Cancelled))
            || exit != Exit::Done
            || (job.live() && job.record.written_generation >= job.done_generation)
    })
}

/// The stop or start order for a task that is placed on the machine. A start is marked as sent to `incarnation`.
fn order_for_placed(
    context: &Context,
    job: &mut Job,
    key: &TaskKey,
    incarnation: u64,
    may_start: bool,
) -> Option<Order> {
    let live = job.live();
    let p = job.tasks.get_mut(&key.index)?;
    if p.phase == Phase::Recording {
        return None;
    }
    if let Some(stop) = p.stop {
        return Some(Order::Stop {
            task: key.clone(),
            attempt: p.attempt,
            grace: effective_grace(context, stop),
        });
    }
    let start = p.phase == Phase::Ordered && live && may_start && p.not_before <= context.now;
    if !start {
        return None;
    }
    p.incarnation = incarnation;
    Some(Order::Start {
        task: key.clone(),
        attempt: p.attempt,
    })
}

/// The grace period of a stop order; zero once the task should have ended long ago.
fn effective_grace(context: &Context, stop: Stop) -> Micros {
    let waited = context.now - stop.since;
    if waited > stop.grace + context.settings.gang_loss_detection + GRACE_MARGIN {
        Micros::ZERO
    } else {
        stop.grace
    }
}
