//! Workers' reports, the orders in their replies, and direct commands.

use super::{
    debug, info, warn, BTreeMap, CallId, Cause, Context, DirectCommand, DirectOutcome, Effect,
    Ending, Exit, Heartbeat, JobKind, Machine, MachineId, Micros, Order, Phase, Removal, Shard,
    ShardPhase, TaskKey, TaskState, TaskStatus,
};

impl Shard {
    /// Takes in what a worker shows. `hello` marks reports of its own, the only ones whose
    /// omissions count: an answer to a command may overtake orders in an earlier reply.
    /// Only a report that shows our present token proves anything: others may be copies that come
    /// much later than they were sent, to a holder that has seen nothing newer.
    /// Returns false for a message older than one already seen.
    pub fn apply_heartbeat(
        &mut self,
        context: &mut Context,
        heartbeat: &Heartbeat,
        hello: bool,
    ) -> bool {
        let id = heartbeat.machine.clone();
        let Some(m) = self.machines.get_mut(&id) else {
            return false;
        };
        if (heartbeat.incarnation, heartbeat.sequence) <= (m.agent.incarnation, m.agent.sequence) {
            return false;
        }
        let new_incarnation =
            heartbeat.incarnation > m.agent.incarnation && m.agent.incarnation > 0;
        if new_incarnation {
            info!(machine = %id, incarnation = heartbeat.incarnation, "worker began a new session");
            // Answered all the time, and yet its lease ran out.
            m.fencing.token_raise_due |= m
                .agent
                .last_reply
                .is_some_and(|t| context.now - t < context.settings.lease);
        }
        if heartbeat.incarnation > m.agent.incarnation {
            m.agent.incarnation_seen_at = Some(context.now);
        }
        (m.agent.incarnation, m.agent.sequence) = (heartbeat.incarnation, heartbeat.sequence);
        m.fencing.highest_seen_token = m.fencing.highest_seen_token.max(heartbeat.fencing_token);
        let fencing_token = m.fencing_token(self.version);
        let fresh = heartbeat.fencing_token == fencing_token;
        // An answer to a command renews no lease: a worker that reaches no controller may answer commands
        // until its lease ends, and after that in a new session, and must not be taken for one that reports.
        if hello {
            m.agent.address = Some(heartbeat.addr.clone());
            m.agent.last_heartbeat = Some(context.now);
            if fresh {
                (
                    m.agent.last_acknowledged,
                    m.agent.unacknowledged,
                    m.agent.lease_expired,
                ) = (Some(context.now), None, false);
            }
        }
        let had_notice = m.lifecycle.preemption_deadline.is_some();
        m.lifecycle.preemption_deadline = heartbeat.preemption_notice.map(|n| context.now + n);
        if let Some(d) = &m.fencing.direct_command {
            // An older session's commands are refused, and so are those below the highest token.
            if d.unknown
                && (heartbeat.incarnation > d.incarnation
                    || heartbeat.fencing_token > d.fencing_token)
            {
                debug!(machine = %id, fencing_token = d.fencing_token, "unanswered command can't arrive any more");
                m.fencing.direct_command = None;
            }
        }
        let settled = m.fencing.direct_command.is_none();
        let task_removal = hello && settled;
        let first_notice = !had_notice && m.lifecycle.preemption_deadline.is_some();

        let placed: Vec<TaskKey> = m.tasks.iter().cloned().collect();
        self.work_done
            .set(self.work_done.get() + (placed.len() + heartbeat.tasks.len()) as i64);
        m.unexpected_tasks.clear();
        let mut shown: BTreeMap<&TaskKey, &TaskStatus> = BTreeMap::new();
        for t in &heartbeat.tasks {
            shown.insert(&t.task, t);
        }
        for key in placed.iter().filter(|_| fresh) {
            let Some(p) = self
                .jobs
                .get(&key.job)
                .and_then(|j| j.tasks.get(&key.index))
            else {
                continue;
            };
            if p.phase > Phase::Recording
                && p.incarnation > 0
                && p.incarnation < heartbeat.incarnation
                && !shown.contains_key(key)
            {
                // Sent for an earlier session: that one ended with all that was in it.
                self.remove_task(context, key, Removal::Lost);
                continue;
            }
            match shown.get(key) {
                Some(t) if t.attempt == p.attempt => self.task_shown(context, &id, key, t.state),
                _ if p.phase <= Phase::Recording || !task_removal => {}
                _ => self.task_omitted(context, &id, key),
            }
        }
        for t in &heartbeat.tasks {
            self.unplaced_shown(&id, t, fresh);
        }
        if first_notice {
            info!(machine = %id, "machine will be taken back");
            self.leave_machine(context, &id);
        }
        true
    }

    pub(super) fn task_shown(
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
        let phase = match state {
            TaskState::Fetching => Phase::Fetching,
            TaskState::Waiting => Phase::Waiting,
            TaskState::Saving => Phase::Saving,
            _ => Phase::Running,
        };
        let m = self.machines.get_mut(machine);
        if let Some(m) = m {
            p.incarnation = m.agent.incarnation;
            if phase > Phase::Fetching && p.phase <= Phase::Fetching {
                m.image_cache.fetches_changed = true;
                let cache = context
                    .types
                    .iter()
                    .find(|t| t.name == m.record.kind)
                    .map_or(0, |t| t.cache_mb);
                m.image_cache.use_image(&spec.image, spec.image_mb, cache);
            }
        }
        if phase == Phase::Running && p.running_since.is_none() {
            p.running_since = Some(context.now);
            debug!(task = %key, machine = %machine, epoch = p.attempt, "task runs");
        }
        p.phase = phase;
        if let Some(g) = &mut job.gang {
            g.claimed(key.index);
        }
    }

    /// A report that must show the task if it were there does not: it is not on the machine.
    pub(super) fn task_omitted(
        &mut self,
        context: &mut Context,
        machine: &MachineId,
        key: &TaskKey,
    ) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some(p) = job.tasks.get_mut(&key.index) else {
            return;
        };
        // What a former holder recorded may have ended long before it fell: it writes down what has gone with the
        // next change, and may have given the place, and the team's limit, to another job by then. So what
        // is adopted and not there is gone, and is decided anew like all that waits.
        let (adopted, sent) = (p.generation == 0, p.incarnation > 0);
        if p.phase == Phase::Ordered && p.stop.is_none() && job.live() && !adopted {
            // The order got lost on its way, or was never sent: it goes with the next reply.
            if sent {
                if let Some(m) = self.machines.get_mut(machine) {
                    m.fencing.token_raise_due = true;
                }
            }
            return;
        }
        debug!(task = %key, machine = %machine, "omitted by a newer report");
        self.remove_task(context, key, Removal::Lost);
    }

    /// Shown by the worker, but not (or not any more) placed there by us.
    pub(super) fn unplaced_shown(&mut self, machine: &MachineId, t: &TaskStatus, fresh: bool) {
        let placement = self
            .jobs
            .get(&t.task.job)
            .and_then(|j| j.tasks.get(&t.task.index));
        if placement.is_some_and(|p| p.machine == *machine && p.attempt == t.attempt) {
            return;
        }
        let job = self.jobs.get(&t.task.job);
        if let TaskState::Exited(exit) = t.state {
            let counts = job.is_some_and(|j| {
                fresh
                    && j.live()
                    && j.spec.kind == JobKind::Array
                    && t.task.index < j.spec.tasks
                    && !j.done.contains(t.task.index)
                    && !j.tasks.contains_key(&t.task.index)
            });
            if exit == Exit::Done && counts {
                self.task_done(&t.task);
            }
            return;
        }
        warn!(task = %t.task, machine = %machine, attempt = t.attempt, "task was not placed here; stopping it");
        if let Some(m) = self.machines.get_mut(machine) {
            m.unexpected_tasks.insert(t.task.clone());
        }
    }

    /// Everything that can be saved leaves a machine that is about to be taken; what saves nothing
    /// may as well run on, and ends with it at the worst.
    pub(super) fn leave_machine(&mut self, context: &mut Context, id: &MachineId) {
        let Some(m) = self.machines.get(id) else {
            return;
        };
        let tasks: Vec<TaskKey> = m.tasks.iter().cloned().collect();
        for t in tasks {
            let Some(job) = self.jobs.get(&t.job) else {
                continue;
            };
            let moves = job.spec.saves() || job.spec.kind != JobKind::Array;
            if moves {
                self.evict(context, &t, Cause::Moving);
            }
        }
    }

    /// The orders for a reply to the worker's report, in the order it must carry them out.
    pub fn orders(&mut self, context: &mut Context, heartbeat: &Heartbeat) -> Vec<Order> {
        let id = &heartbeat.machine;
        let Some(m) = self.machines.get(id) else {
            return Vec::new();
        };
        let mut orders = Vec::new();
        let unsettled = m.fencing.direct_command.is_some();
        // What a late copy shows may be long over: it stops what has no place here, nothing else.
        let fresh = heartbeat.fencing_token == m.fencing_token(self.version);
        for t in &heartbeat.tasks {
            let key = &t.task;
            let job = self.jobs.get(&key.job);
            match t.state {
                TaskState::Exited(exit) => {
                    // A result must be recorded first, and an unsettled command could start a
                    // forgotten attempt anew.
                    let recorded = job.is_none_or(|j| {
                        matches!(j.ending, Some(Ending::Done | Ending::Cancelled))
                            || exit != Exit::Done
                            || (j.live() && j.record.written >= j.done_generation)
                    });
                    if fresh && recorded && !unsettled {
                        orders.push(Order::Forget {
                            task: key.clone(),
                            attempt: t.attempt,
                        });
                    }
                }
                _ if m.unexpected_tasks.contains(key) => {
                    orders.push(Order::Stop {
                        task: key.clone(),
                        attempt: t.attempt,
                        grace: Micros::ZERO,
                    });
                }
                _ => {}
            }
        }
        let tasks: Vec<TaskKey> = m.tasks.iter().cloned().collect();
        let incarnation = m.agent.incarnation;
        let usable = m.record.shard.is_some() && !m.lifecycle.decommissioning();
        for key in tasks {
            let Some(job) = self.jobs.get_mut(&key.job) else {
                continue;
            };
            let live = job.live();
            let Some(p) = job.tasks.get_mut(&key.index) else {
                continue;
            };
            if p.phase == Phase::Recording {
                continue;
            }
            if let Some(stop) = p.stop {
                let waited = context.now - stop.since;
                let grace_exceeded =
                    waited > stop.grace + context.settings.gang_peer + Micros::from_secs(2);
                let grace = if grace_exceeded {
                    Micros::ZERO
                } else {
                    stop.grace
                };
                orders.push(Order::Stop {
                    task: key.clone(),
                    attempt: p.attempt,
                    grace,
                });
            } else if p.phase == Phase::Ordered
                && live
                && usable
                && fresh
                && p.not_before <= context.now
            {
                p.incarnation = incarnation;
                orders.push(Order::Start {
                    task: key.clone(),
                    attempt: p.attempt,
                });
            }
        }
        orders
    }

    /// Starts that should not wait for the next report go straight to the worker, at most one
    /// message at a time, and only to one that has shown our token and reports.
    pub fn send_directs(&mut self, context: &mut Context) {
        if !context.lease_valid || self.phase != ShardPhase::Ready {
            return;
        }
        self.count_work(self.unsent.len());
        self.unsent.retain(|id| {
            let Some(m) = self.machines.get_mut(id).filter(|m| !m.tasks.is_empty()) else {
                return false;
            };
            if m.fencing.direct_command.is_some()
                || !m.usable(
                    context.now,
                    context.settings.heartbeat_interval,
                    self.version,
                )
            {
                return true;
            }
            let fencing_token = m.fencing_token(self.version);
            let Some(addr) = m.agent.address.clone() else {
                return true;
            };
            let mut orders = Vec::new();
            let mut later = false;
            for key in &m.tasks {
                let Some(job) = self.jobs.get_mut(&key.job).filter(|j| j.live()) else {
                    continue;
                };
                let Some(p) = job.tasks.get_mut(&key.index) else {
                    continue;
                };
                let fresh = p.phase == Phase::Ordered && p.incarnation == 0 && p.stop.is_none();
                later |= fresh && p.not_before > context.now;
                if fresh && p.not_before <= context.now {
                    p.incarnation = m.agent.incarnation;
                    orders.push(Order::Start {
                        task: key.clone(),
                        attempt: p.attempt,
                    });
                }
            }
            if orders.is_empty() {
                return later;
            }
            debug!(machine = %id, fencing_token, orders = orders.len(), "starting tasks directly");
            let call = *context.calls;
            *context.calls += 1;
            m.fencing.direct_command = Some(DirectCommand {
                call,
                fencing_token,
                incarnation: m.agent.incarnation,
                unknown: false,
            });
            context.effects.push(Effect::SendDirect {
                call,
                machine: id.clone(),
                addr,
                incarnation: m.agent.incarnation,
                fencing_token,
                orders,
            });
            later
        });
    }

    /// The outcome of one call settles no other: one that was made before the machine left this shard and
    /// came back, or before the shard did, says nothing of what is under way now.
    pub fn direct_result(
        &mut self,
        context: &mut Context,
        call: CallId,
        id: &MachineId,
        outcome: DirectOutcome,
    ) {
        let current = |m: &&mut Machine| {
            m.fencing
                .direct_command
                .as_ref()
                .is_some_and(|d| d.call == call)
        };
        let Some(m) = self.machines.get_mut(id).filter(current) else {
            return;
        };
        match outcome {
            DirectOutcome::Settled { heartbeat } => {
                m.fencing.direct_command = None;
                self.apply_heartbeat(context, &heartbeat, false);
            }
            DirectOutcome::NotSent => m.fencing.direct_command = None,
            DirectOutcome::Unknown => {
                if let Some(d) = &mut m.fencing.direct_command {
                    warn!(machine = %id, fencing_token = d.fencing_token, "command unanswered; raising the token");
                    d.unknown = true;
                }
            }
        }
        self.dirty = true;
    }
}
