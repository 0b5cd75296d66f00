//! What becomes of a task that is known to be on no machine any more.

use super::{
    debug, info, warn, Cause, Context, Ending, Exit, JobId, JobKind, MachineId, Micros, Phase,
    Placement, Removal, Shard, TaskKey,
};
use crate::job::ERRORS_OF_JOB;

/// How long a job avoids a machine where a task of it failed.
const AVOID_AFTER_ERROR: Micros = Micros::from_secs(120);
/// How long a job avoids a machine that knows its task under another attempt, or not at all.
const AVOID_AFTER_REFUSAL: Micros = Micros::from_secs(5);
/// How long nothing of such a job is placed.
const PAUSE_AFTER_REFUSAL: Micros = Micros::from_secs(1);
/// How long a machine that refused a task for lack of room gets none.
const FULL_FOR: Micros = Micros::from_secs(3);
/// The pause of a job that fails wherever it goes doubles up to this many times.
const PAUSE_DOUBLINGS: u32 = 4;
/// Completed tasks before their mean run time tells anything of a machine.
const RUNS_FOR_A_MEAN: i64 = 3;

impl Shard {
    /// The task is on no machine any more: frees its place, quota, zone and number.
    pub(super) fn remove_task(&mut self, context: &mut Context, task: &TaskKey, why: Removal) {
        self.remove_placement(context, task, why);
        self.settle_job(context, &task.job);
    }

    pub(super) fn remove_placement(&mut self, context: &mut Context, task: &TaskKey, why: Removal) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(p) = job.tasks.remove(&task.index) else {
            return;
        };
        self.quota.give(&job.spec.team, job.spec.task_resources);
        let machine = self.machines.get_mut(&p.machine);
        let silent = machine.as_ref().is_none_or(|m| {
            m.silent_for(context.now) > context.settings.heartbeat_interval.times(2)
        });
        if let Some(m) = machine {
            if m.tasks.remove(task) {
                m.used.sub(job.spec.task_resources);
            }
            m.image_cache.fetches_changed = true;
        }
        debug!(task = %task, machine = %p.machine, epoch = p.attempt, ?why, stop = ?p.stop.map(|s| s.cause), "task gone");
        job.record.touch();
        self.dirty = true;
        if job.waiting_since == Micros::ZERO || job.tasks.is_empty() {
            job.waiting_since = context.now;
        }
        match why {
            Removal::Exited(Exit::Error) => self.record_task_failure(context, task, &p.machine),
            Removal::Exited(Exit::Done) => return self.take_completion(context, task, &p),
            Removal::Exited(Exit::NoRoom) => {
                if let Some(m) = self.machines.get_mut(&p.machine) {
                    m.health.full_until = context.now + FULL_FOR;
                }
            }
            Removal::Exited(Exit::Busy | Exit::Unknown) => {
                job.avoided_machines
                    .insert(p.machine.clone(), context.now + AVOID_AFTER_REFUSAL);
                job.paused_until = job.paused_until.max(context.now + PAUSE_AFTER_REFUSAL);
            }
            _ => {}
        }
        self.drain_after_loss(context, task, &p, why, silent);
    }

    /// A task failed: its job avoids the machine, and where different jobs fail the machine is suspected. A job that
    /// fails wherever it goes is tried on by few tasks after growing pauses, and no machine is blamed for it.
    fn record_task_failure(&mut self, context: &Context, task: &TaskKey, machine: &MachineId) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        // Several tasks that fail on one machine tell of the machine, and what a first try began before it was known to
        // fail tells nothing more.
        let elsewhere = job
            .avoided_machines
            .insert(machine.clone(), context.now + AVOID_AFTER_ERROR)
            .is_none();
        if elsewhere && job.paused_until <= context.now {
            job.consecutive_errors += 1;
        }
        warn!(job = %task.job, machine = %machine, errors = job.consecutive_errors, "task failed");
        if job.failing() {
            job.paused_until = job
                .paused_until
                .max(context.now + pause_after(job.consecutive_errors));
            return self.clear_failure_records(&task.job);
        }
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        m.health.failed_jobs.insert(task.job.clone());
        if m.health.failing() {
            warn!(machine = %machine, "different jobs fail here: machine suspected");
        }
    }

    /// The job was submitted with a mistake, as far as can be told: the machines where it failed are as good as others,
    /// for it and for all.
    fn clear_failure_records(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for machine in std::mem::take(&mut job.avoided_machines).into_keys() {
            if let Some(m) = self.machines.get_mut(&machine) {
                m.health.failed_jobs.remove(id);
            }
        }
    }

    /// A task completed: its run time counts for its machine, and its result for its job.
    fn take_completion(&mut self, context: &Context, task: &TaskKey, p: &Placement) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job.failing() {
            info!(job = %task.job, errors = job.consecutive_errors, "a task completed: tried in full again");
            job.paused_until = context.now;
        }
        job.consecutive_errors = 0;
        let ran = p
            .running_since
            .map(|t| context.now - t)
            .filter(|_| job.spec.kind == JobKind::Array);
        if let Some(m) = self.machines.get_mut(&p.machine) {
            // What some tasks survive may still be faulty.
            if !m.health.failing() {
                m.health.failed_jobs.clear();
            }
            if let Some(ran) = ran.filter(|_| job.ran.0 >= RUNS_FOR_A_MEAN) {
                let before = m.health.slow;
                m.health.record_run(ran, job.ran.1.over(job.ran.0));
                if m.health.slow && !before {
                    warn!(machine = %p.machine, "much slower than its kind: machine suspected");
                }
            }
        }
        if let Some(ran) = ran {
            job.ran = (job.ran.0 + 1, job.ran.1 + ran);
        }
        if job.spec.kind != JobKind::Service {
            self.task_done(task);
        }
    }

    /// A gang that lost a member is drained as a whole.
    fn drain_after_loss(
        &mut self,
        context: &mut Context,
        task: &TaskKey,
        p: &Placement,
        why: Removal,
        silent: bool,
    ) {
        if self.jobs.get(&task.job).is_none_or(|j| j.gang.is_none()) {
            return;
        }
        let trigger = match (why, p.stop) {
            (_, Some(_)) => None,
            // Told by a sibling: the one that failed is the one whose machine is silent.
            (Removal::Exited(Exit::Peers), _) => self.silent_member(context, &task.job),
            (Removal::Exited(Exit::Error | Exit::Alone), _) => Some(task.index),
            // A reserved member that was never ordered did not fail.
            (Removal::Lost, _) if p.phase > Phase::Recording && silent => Some(task.index),
            _ => None,
        };
        self.drain_gang(context, &task.job, trigger, Cause::Peers, Micros::ZERO);
        if let Some(g) = self.jobs.get_mut(&task.job).and_then(|j| j.gang.as_mut()) {
            g.gone(task.index);
        }
    }

    pub(super) fn task_done(&mut self, task: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if !job.live() {
            return;
        }
        if let Some(g) = &mut job.gang {
            // They complete together: when one is done, all are.
            g.all_done();
            job.done = crate::ranges::Ranges::full(job.spec.tasks);
        } else if task.index < job.spec.tasks {
            job.done.insert(task.index);
        }
        job.done_generation = job.record.touch();
        if job.done.count() == job.spec.tasks {
            info!(job = %task.job, "all tasks done");
            job.ending = Some(Ending::Completing);
        }
    }
}

/// How long a job rests that has failed so often in a row, wherever it was.
pub(super) fn pause_after(errors: u32) -> Micros {
    Micros::from_secs(2 << errors.saturating_sub(ERRORS_OF_JOB).min(PAUSE_DOUBLINGS))
}
