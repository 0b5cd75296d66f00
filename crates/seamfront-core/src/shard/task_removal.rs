//! Removal of tasks that are known to be on no machine any more, and its consequences.

use super::{
    debug, info, warn, Cause, Context, Ending, Exit, JobId, JobKind, MachineId, Micros, Phase,
    Placement, Removal, Shard, TaskKey,
};
use crate::job::FAILING_AFTER_ERRORS;

/// How long a job avoids a machine where a task of it failed.
const AVOID_AFTER_ERROR: Micros = Micros::from_secs(120);
/// How long a job avoids a machine that knows its task under another attempt, or not at all.
const AVOID_AFTER_REFUSAL: Micros = Micros::from_secs(5);
/// How long nothing of such a job is placed after the refusal.
const PAUSE_AFTER_REFUSAL: Micros = Micros::from_secs(1);
/// How long a machine that refused a task for lack of room gets none.
const FULL_FOR: Micros = Micros::from_secs(3);
/// First pause of a job that fails on all machines, in seconds.
const PAUSE_S: i64 = 2;
/// The pause doubles up to this many times.
const PAUSE_DOUBLINGS: u32 = 4;
/// Completed tasks before their mean run time tells anything of a machine.
const MIN_RUNS_FOR_MEAN: i64 = 3;

/// A placement that was removed.
struct RemovedPlacement {
    placement: Placement,
    /// Its machine sent no heartbeat of late, or is not known any more.
    machine_silent: bool,
}

impl Shard {
    /// Removes a task that is on no machine any more: its place, quota, zone and task number become free.
    pub(super) fn remove_task(&mut self, context: &mut Context, task: &TaskKey, why: Removal) {
        self.remove_placement(context, task, why);
        self.settle_job(context, &task.job);
    }

    fn remove_placement(&mut self, context: &mut Context, task: &TaskKey, why: Removal) {
        let Some(RemovedPlacement {
            placement,
            machine_silent,
        }) = self.take_placement(context, task, why)
        else {
            return;
        };
        let machine = &placement.machine;
        match why {
            Removal::Exited(Exit::Error) => self.record_task_failure(context, task, machine),
            Removal::Exited(Exit::Done) => return self.take_completion(context, task, &placement),
            Removal::Exited(Exit::NoRoom) => {
                if let Some(m) = self.machines.get_mut(machine) {
                    m.health.full_until = context.now + FULL_FOR;
                }
            }
            Removal::Exited(Exit::Busy | Exit::Unknown) => {
                self.avoid_after_refusal(context, task, machine);
            }
            _ => {}
        }
        self.drain_after_loss(context, task, &placement, why, machine_silent);
    }

    /// Removes the placement of a task and frees its quota and its room on the machine.
    fn take_placement(
        &mut self,
        context: &Context,
        task: &TaskKey,
        why: Removal,
    ) -> Option<RemovedPlacement> {
        let job = self.jobs.get_mut(&task.job)?;
        let p = job.tasks.remove(&task.index)?;
        self.quota.release(&job.spec.team, job.spec.task_resources);
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
        debug!(task = %task, machine = %p.machine, epoch = p.attempt, ?why, stop = ?p.stop.map(|s| s.cause), "task removed");
        job.record.touch();
        self.dirty = true;
        if job.waiting_since == Micros::ZERO || job.tasks.is_empty() {
            job.waiting_since = context.now;
        }
        Some(RemovedPlacement {
            placement: p,
            machine_silent: silent,
        })
    }

    /// The machine knows the task under another attempt, or not at all: the job avoids it and pauses.
    fn avoid_after_refusal(&mut self, context: &Context, task: &TaskKey, machine: &MachineId) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.avoided_machines
            .insert(machine.clone(), context.now + AVOID_AFTER_REFUSAL);
        job.paused_until = job.paused_until.max(context.now + PAUSE_AFTER_REFUSAL);
    }

    /// A task failed: its job avoids the machine, and a machine where different jobs fail is quarantined. A job that
    /// fails on all machines is retried with few tasks after growing pauses, and counts against no machine.
    fn record_task_failure(&mut self, context: &Context, task: &TaskKey, machine: &MachineId) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        // Several failures on one machine count once, and those of tasks started before the job was known to fail do
        // not count.
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
            warn!(machine = %machine, "machine quarantined: different jobs fail on it");
        }
    }

    /// The job itself is at fault, as far as can be told: its failures no longer count against machines.
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

    /// A task completed: counts its run time for its machine, and its result for its job.
    fn take_completion(&mut self, context: &Context, task: &TaskKey, p: &Placement) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job.failing() {
            info!(job = %task.job, errors = job.consecutive_errors, "task completed: failing job runs in full again");
            job.paused_until = context.now;
        }
        job.consecutive_errors = 0;
        let ran = p
            .running_since
            .map(|t| context.now - t)
            .filter(|_| job.spec.kind == JobKind::Array);
        if let Some(m) = self.machines.get_mut(&p.machine) {
            // A machine on which some tasks complete may still be faulty.
            if !m.health.failing() {
                m.health.failed_jobs.clear();
            }
            if let Some(ran) = ran.filter(|_| job.completed_runs.count >= MIN_RUNS_FOR_MEAN) {
                let before = m.health.slow;
                m.health.record_run(ran, job.completed_runs.mean());
                if m.health.slow && !before {
                    warn!(machine = %p.machine, "machine quarantined: much slower than its type");
                }
            }
        }
        if let Some(ran) = ran {
            job.completed_runs.add(ran);
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
            // Ended by a sibling: the member that failed is the one whose machine is silent.
            (Removal::Exited(Exit::Peers), _) => self.silent_member(context, &task.job),
            (Removal::Exited(Exit::Error | Exit::Alone), _) => Some(task.index),
            // A reserved member that was never ordered did not fail.
            (Removal::Lost, _) if p.phase > Phase::Recording && silent => Some(task.index),
            _ => None,
        };
        self.drain_gang(context, &task.job, trigger, Cause::Peers, Micros::ZERO);
        if let Some(g) = self.jobs.get_mut(&task.job).and_then(|j| j.gang.as_mut()) {
            g.mark_preempted(task.index);
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
            g.mark_all_done();
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

/// How long a job pauses after so many errors in a row.
pub(super) fn pause_after(errors: u32) -> Micros {
    Micros::from_secs(
        PAUSE_S
            << errors
                .saturating_sub(FAILING_AFTER_ERRORS)
                .min(PAUSE_DOUBLINGS),
    )
}
