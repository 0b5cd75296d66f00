//! Heartbeats of agents: the evidence of which tasks are on a machine.

use super::{
    debug, info, warn, BTreeMap, BTreeSet, Context, Exit, Heartbeat, JobKind, MachineId, Phase,
    Removal, Shard, ShardPhase, StopReason, TaskKey, TaskState, TaskStatus,
};
use crate::machine::Machine;
use crate::types::MachineType;

/// How an agent's status arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusSource {
    /// In a heartbeat that the agent sent by itself.
    AgentHeartbeat,
    /// In the agent's reply to a direct command. It renews no lease: an agent that reaches no controller may reply to
    /// commands until its lease expires, and after that in a new incarnation, and must not be taken for one that sends
    /// heartbeats. It may also overtake orders in an earlier heartbeat reply, so a task missing from it proves nothing.
    CommandReply,
}

/// What a status proves about the tasks on its machine.
#[derive(Clone, Copy)]
struct Evidence {
    /// It shows our current fencing token. A status without it may be a copy that arrives long after it was sent, at a
    /// holder that has seen nothing newer.
    fresh: bool,
    /// A placed task that it does not list is not on the machine.
    omission_proves_absence: bool,
    /// It is the first one with a preemption notice.
    first_preemption_notice: bool,
}

impl Shard {
    /// Applies an agent's status. Returns false if the status is not newer than the last one applied.
    pub fn apply_heartbeat(
        &mut self,
        context: &mut Context,
        heartbeat: &Heartbeat,
        source: StatusSource,
    ) -> bool {
        let id = heartbeat.machine.clone();
        let Some(m) = self.machines.get_mut(&id) else {
            return false;
        };
        if (heartbeat.incarnation, heartbeat.sequence) <= (m.agent.incarnation, m.agent.sequence) {
            return false;
        }
        let evidence = update_machine(m, context, heartbeat, source, self.version);
        let placed: Vec<TaskKey> = m.tasks.iter().cloned().collect();
        let unexpected_before = std::mem::take(&mut m.unexpected_tasks);
        self.count_work(placed.len() + heartbeat.tasks.len());
        self.reconcile_placed(context, heartbeat, &placed, evidence);
        for status in &heartbeat.tasks {
            self.handle_unplaced_task(&id, status, evidence.fresh);
        }
        self.warn_of_unexpected(context, heartbeat, &unexpected_before);
        if evidence.first_preemption_notice {
            info!(machine = %id, "machine will be preempted by the cloud");
            self.evict_movable_tasks(context, &id);
        }
        true
    }

    /// Compares the tasks placed on a machine with those that its agent lists.
    fn reconcile_placed(
        &mut self,
        context: &mut Context,
        heartbeat: &Heartbeat,
        placed: &[TaskKey],
        evidence: Evidence,
    ) {
        let listed: BTreeMap<(&TaskKey, u64), TaskState> = heartbeat
            .tasks
            .iter()
            .map(|status| ((&status.task, status.attempt), status.state))
            .collect();
        for key in placed.iter().filter(|_| evidence.fresh) {
            let placement = self
                .jobs
                .get(&key.job)
                .and_then(|job| job.tasks.get(&key.index));
            let Some(p) = placement else {
                continue;
            };
            let sent_before = p.phase > Phase::Recording
                && p.incarnation > 0
                && p.incarnation < heartbeat.incarnation;
            let state = listed.get(&(key, p.attempt));
            if sent_before && state.is_none() {
                // The start order went to an earlier incarnation, which ended with all its tasks.
                self.remove_task(context, key, Removal::Lost);
                continue;
            }
            match state {
                Some(state) => self.apply_task_status(context, &heartbeat.machine, key, *state),
                _ if p.phase <= Phase::Recording || !evidence.omission_proves_absence => {}
                _ => self.handle_omitted_task(context, &heartbeat.machine, key),
            }
        }
    }

    /// Applies the listed state of a task that is placed on the machine.
    fn apply_task_status(
        &mut self,
        context: &mut Context,
        machine: &MachineId,
        key: &TaskKey,
        state: TaskState,
    ) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let spec = job.spec.clone();
        let Some(p) = job.tasks.get_mut(&key.index) else {
            return;
        };
        if let TaskState::Exited(exit) = state {
            return self.remove_task(context, key, Removal::Exited(exit));
        }
        let phase = phase_of(state);
        if let Some(m) = self.machines.get_mut(machine) {
            p.incarnation = m.agent.incarnation;
            if phase > Phase::Fetching && p.phase <= Phase::Fetching {
                m.image_cache.fetches_changed = true;
                let cache_mb = image_cache_mb(context.types, &m.record.machine_type);
                m.image_cache
                    .use_image(&spec.image, spec.image_mb, cache_mb);
            }
        }
        if phase == Phase::Running && p.running_since.is_none() {
            p.running_since = Some(context.now);
            debug!(task = %key, machine = %machine, epoch = p.attempt, "task running");
        }
        p.phase = phase;
        if let Some(gang) = &mut job.gang {
            gang.mark_running(key.index);
        }
    }

    /// Handles a placed task that is missing from a heartbeat which would list it if it were on the machine.
    fn handle_omitted_task(&mut self, context: &mut Context, machine: &MachineId, key: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some(p) = job.tasks.get_mut(&key.index) else {
            return;
        };
        // A task adopted from a former holder's record may have ended long before that holder failed: removals are
        // recorded only with the next change, and the place and the team's quota may have gone to another job since. An
        // adopted task that is not listed is therefore removed, and scheduled again like any pending task.
        let (adopted, sent) = (p.generation == 0, p.incarnation > 0);
        if p.phase == Phase::Ordered && p.stop.is_none() && job.live() && !adopted {
            // The start order was lost or never sent: the next reply carries it.
            if sent {
                if let Some(m) = self.machines.get_mut(machine) {
                    m.fencing.token_raise_due = true;
                }
            }
            return;
        }
        debug!(task = %key, machine = %machine, "placed task missing from a newer heartbeat");
        self.remove_task(context, key, Removal::Lost);
    }

    /// Handles a listed task that is not, or no longer, placed on the machine: counts its result, or marks it as
    /// unexpected so that it is stopped.
    fn handle_unplaced_task(&mut self, machine: &MachineId, status: &TaskStatus, fresh: bool) {
        let key = &status.task;
        let job = self.jobs.get(&key.job);
        let placement = job.and_then(|j| j.tasks.get(&key.index));
        if placement.is_some_and(|p| p.machine == *machine && p.attempt == status.attempt) {
            return;
        }
        if let TaskState::Exited(exit) = status.state {
            let result_counts = job.is_some_and(|j| {
                fresh
                    && j.live()
                    && j.spec.kind == JobKind::Array
                    && key.index < j.spec.tasks
                    && !j.done.contains(key.index)
                    && !j.tasks.contains_key(&key.index)
            });
            if exit == Exit::Done && result_counts {
                self.mark_task_done(key);
            }
            return;
        }
        debug!(task = %key, machine = %machine, attempt = status.attempt, "task was not placed on this machine");
        if let Some(m) = self.machines.get_mut(machine) {
            m.unexpected_tasks.insert(key.clone());
        }
    }

    /// Logs that an agent lists tasks that were not placed on its machine, and that it did not list before. While the
    /// former holder's records are being read, all tasks are of this kind.
    fn warn_of_unexpected(
        &self,
        context: &Context,
        heartbeat: &Heartbeat,
        before: &BTreeSet<TaskKey>,
    ) {
        let Some(m) = self.machines.get(&heartbeat.machine) else {
            return;
        };
        let mut new = m.unexpected_tasks.difference(before);
        let Some(first) = new.next().filter(|_| self.phase == ShardPhase::Ready) else {
            return;
        };
        let settings = context.settings;
        let listed = heartbeat.tasks.iter().find(|status| status.task == *first);
        let attempt = listed.map(|status| status.attempt);
        warn!(
            machine = %m.id,
            tasks = 1 + new.count(),
            first = %first,
            attempt,
            controller = %settings.members[settings.member_index],
            fencing_token = m.fencing_token(self.version),
            token_shown = heartbeat.fencing_token,
            incarnation = heartbeat.incarnation,
            last_started = m.order_history.started.as_ref().map(tracing::field::display),
            last_forgotten = m.order_history.forgotten.as_ref().map(tracing::field::display),
            "tasks were not placed on this machine; stopping them"
        );
    }

    /// Evicts all tasks that can be moved from a machine about to be preempted by the cloud. Array tasks without
    /// checkpoints keep running, since eviction would lose their work as well.
    fn evict_movable_tasks(&mut self, context: &mut Context, id: &MachineId) {
        let Some(m) = self.machines.get(id) else {
            return;
        };
        let tasks: Vec<TaskKey> = m.tasks.iter().cloned().collect();
        for task in tasks {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let movable = job.spec.supports_checkpoints() || job.spec.kind != JobKind::Array;
            if movable {
                self.evict(context, &task, StopReason::MachinePreempted);
            }
        }
    }
}

/// Updates the state of a machine and its agent from a status. Returns what the status proves about the tasks.
fn update_machine(
    m: &mut Machine,
    context: &Context,
    heartbeat: &Heartbeat,
    source: StatusSource,
    claim_version: u64,
) -> Evidence {
    update_incarnation(m, context, heartbeat);
    m.fencing.highest_seen_token = m.fencing.highest_seen_token.max(heartbeat.fencing_token);
    let fresh = m.is_current_token(heartbeat.fencing_token, claim_version);
    if source == StatusSource::AgentHeartbeat {
        m.agent.address = Some(heartbeat.addr.clone());
        m.agent.last_heartbeat = Some(context.now);
        if fresh {
            m.agent.last_acknowledged = Some(context.now);
            m.agent.unacknowledged = None;
            m.agent.lease_expired = false;
        }
    }
    m.agent.exited_listed = heartbeat
        .tasks
        .iter()
        .filter(|status| matches!(status.state, TaskState::Exited(_)))
        .count();
    let had_notice = m.lifecycle.preemption_deadline.is_some();
    m.lifecycle.preemption_deadline = heartbeat
        .preemption_notice
        .map(|notice| context.now + notice);
    settle_direct_command(m, heartbeat);
    Evidence {
        fresh,
        omission_proves_absence: source == StatusSource::AgentHeartbeat
            && m.fencing.direct_command.is_none(),
        first_preemption_notice: !had_notice && m.lifecycle.preemption_deadline.is_some(),
    }
}

fn update_incarnation(m: &mut Machine, context: &Context, heartbeat: &Heartbeat) {
    let newer = heartbeat.incarnation > m.agent.incarnation;
    if newer && m.agent.incarnation > 0 {
        info!(machine = %m.id, incarnation = heartbeat.incarnation, "agent started a new incarnation");
        // If its lease expired although we replied recently, our replies may not arrive.
        m.fencing.token_raise_due |= m
            .agent
            .last_reply
            .is_some_and(|t| context.now - t < context.settings.lease);
    }
    if newer {
        m.agent.incarnation_seen_at = Some(context.now);
    }
    m.agent.incarnation = heartbeat.incarnation;
    m.agent.sequence = heartbeat.sequence;
}

/// Settles an unanswered command once its agent has a newer incarnation or has seen a higher token: in both cases the
/// agent refuses the command if it still arrives.
fn settle_direct_command(m: &mut Machine, heartbeat: &Heartbeat) {
    let Some(command) = &m.fencing.direct_command else {
        return;
    };
    let refused = heartbeat.incarnation > command.incarnation
        || heartbeat.fencing_token > command.fencing_token;
    if command.unknown && refused {
        debug!(machine = %m.id, fencing_token = command.fencing_token, "unanswered command can no longer be carried out");
        m.fencing.direct_command = None;
    }
}

fn phase_of(state: TaskState) -> Phase {
    match state {
        TaskState::Fetching => Phase::Fetching,
        TaskState::Waiting => Phase::Waiting,
        TaskState::Saving => Phase::Saving,
        _ => Phase::Running,
    }
}

/// Size of the image cache of machines of a type; 0 if the type is not known.
fn image_cache_mb(types: &[MachineType], machine_type: &str) -> i64 {
    types
        .iter()
        .find(|t| t.name == machine_type)
        .map_or(0, |t| t.cache_mb)
}
