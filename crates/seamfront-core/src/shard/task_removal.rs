//! Removal of tasks that are known to be on no machine any more, and its effects on their jobs, gangs and machines.

use super::{
    debug, info, warn, Context, Ending, Exit, JobId, JobKind, MachineId, Micros, Phase, Placement,
    Removal, Shard, StopReason, TaskKey,
};
use crate::job::FAILING_AFTER_ERRORS;

/// How long a job avoids a machine on which one of its tasks failed.
const AVOID_AFTER_ERROR: Micros = Micros::from_secs(120);
/// How long a job avoids a machine whose agent knows the task under another attempt, or not at all.
const AVOID_AFTER_REFUSAL: Micros = Micros::from_secs(5);
/// How long no task of such a job is placed after the refusal.
const PAUSE_AFTER_REFUSAL: Micros = Micros::from_secs(1);
/// How long no task is placed on a machine that refused one for lack of room.
const PAUSE_AFTER_NO_ROOM: Micros = Micros::from_secs(3);
/// First backoff of a job that fails on all machines, in seconds.
const INITIAL_FAILURE_BACKOFF_S: i64 = 2;
/// The backoff doubles at most this many times.
const MAX_FAILURE_BACKOFF_DOUBLINGS: u32 = 4;
/// How many tasks of a job must have completed before machines are judged by their mean run time.
const MIN_RUNS_FOR_MEAN: i64 = 3;

/// A placement that was removed.
struct RemovedPlacement {
    placement: Placement,
    /// Its machine has sent no recent heartbeat, or is not known any more.
    machine_silent: bool,
}

impl Shard {
    /// Removes a task that is on no machine any more, which frees its place, quota, zone and task number.
    pub(super) fn remove_task(&mut self, context: &mut Context, task: &TaskKey, why: Removal) {
        self.apply_removal(context, task, why);
        self.drop_if_finished(context, &task.job);
    }

    fn apply_removal(&mut self, context: &mut Context, task: &TaskKey, why: Removal) {
        let Some(RemovedPlacement {
            placement,
            machine_silent,
        }) = self.remove_placement(context, task, why)
        else {
            return;
        };
        self.activity.count_removal(why);
        let machine = &placement.machine;
        match why {
            Removal::Exited(Exit::Error) => self.record_task_failure(context, task, machine),
            Removal::Exited(Exit::Done) => {
                return self.record_completion(context, task, &placement)
            }
            Removal::Exited(Exit::NoRoom) => {
                if let Some(m) = self.machines.get_mut(machine) {
                    m.health.full_until = context.now + PAUSE_AFTER_NO_ROOM;
                }
            }
            Removal::Exited(Exit::OtherAttemptPresent | Exit::Unknown) => {
                self.avoid_after_refusal(context, task, machine);
            }
            _ => {}
        }
        self.drain_after_loss(context, task, &placement, why, machine_silent);
    }

    /// Removes the placement of a task and frees its quota and its room on the machine.
    fn remove_placement(
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
        job.record.mark_changed();
        self.dirty = true;
        if job.waiting_since == Micros::ZERO || job.tasks.is_empty() {
            job.waiting_since = context.now;
        }
        Some(RemovedPlacement {
            placement: p,
            machine_silent: silent,
        })
    }

    /// Makes a job avoid a machine and pause, since the agent knows the task under another attempt, or not at all.
    fn avoid_after_refusal(&mut self, context: &Context, task: &TaskKey, machine: &MachineId) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.avoided_machines
            .insert(machine.clone(), context.now + AVOID_AFTER_REFUSAL);
        job.backoff_until = job.backoff_until.max(context.now + PAUSE_AFTER_REFUSAL);
    }

    /// Records the failure of a task: its job avoids the machine, and a machine on which different jobs fail is
    /// quarantined. A job that fails on all machines is retried with few tasks and an increasing backoff, and its
    /// failures count against no machine.
    fn record_task_failure(&mut self, context: &Context, task: &TaskKey, machine: &MachineId) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        // Several failures on one machine count once. Failures during a pause do not count: their tasks were started
        // before the job was known to fail.
        let on_new_machine = job
            .avoided_machines
            .insert(machine.clone(), context.now + AVOID_AFTER_ERROR)
            .is_none();
        if on_new_machine && job.backoff_until <= context.now {
            job.consecutive_errors += 1;
        }
        debug!(task = %task, machine = %machine, errors = job.consecutive_errors, "task failed");
        if job.failing() {
            if on_new_machine && job.consecutive_errors == FAILING_AFTER_ERRORS {
                info!(job = %task.job, errors = job.consecutive_errors, "job counts as failing; it is retried with few tasks");
            }
            job.backoff_until = job
                .backoff_until
                .max(context.now + failure_backoff(job.consecutive_errors));
            return self.clear_failures_on_machines(&task.job);
        }
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        m.health.failed_jobs.insert(task.job.clone());
        if m.health.failing() {
            warn!(machine = %machine, "machine quarantined: different jobs fail on it");
        }
    }

    /// Clears a job's failures from the machines on which it failed, since the job itself is most likely at fault.
    fn clear_failures_on_machines(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for machine in std::mem::take(&mut job.avoided_machines).into_keys() {
            if let Some(m) = self.machines.get_mut(&machine) {
                m.health.failed_jobs.remove(id);
            }
        }
    }

    /// Records the completion of a task: its run time for the machine, and its result for the job.
    fn record_completion(&mut self, context: &Context, task: &TaskKey, p: &Placement) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job.failing() {
            info!(job = %task.job, errors = job.consecutive_errors, "task completed; its job no longer counts as failing");
            job.backoff_until = context.now;
        }
        job.consecutive_errors = 0;
        let ran = p
            .running_since
            .map(|t| context.now - t)
            .filter(|_| job.spec.kind == JobKind::Array);
        if let Some(m) = self.machines.get_mut(&p.machine) {
            // A quarantined machine keeps its failures: one on which some tasks complete may still be faulty.
            if !m.health.failing() {
                m.health.failed_jobs.clear();
            }
            if let Some(ran) = ran.filter(|_| job.completed_runs.count >= MIN_RUNS_FOR_MEAN) {
                let before = m.health.slow;
                m.health.record_run(ran, job.completed_runs.mean());
                if m.health.slow && !before {
                    warn!(machine = %p.machine, "machine quarantined: much slower than other machines of its type");
                }
            }
        }
        if let Some(ran) = ran {
            job.completed_runs.add(ran);
        }
        if job.spec.kind != JobKind::Service {
            self.mark_task_done(task);
        }
    }

    /// Drains a gang as a whole after it lost a member.
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
            // Ended because another member is gone: the one that failed is the one whose machine is silent.
            (Removal::Exited(Exit::PeerLost), _) => self.first_silent_member(context, &task.job),
            (Removal::Exited(Exit::Error | Exit::GangIncomplete), _) => Some(task.index),
            // A reserved member that was never ordered to start did not fail.
            (Removal::Lost, _) if p.phase > Phase::Recording && silent => Some(task.index),
            _ => None,
        };
        self.drain_gang(
            context,
            &task.job,
            trigger,
            StopReason::GangDrained,
            Micros::ZERO,
        );
        if let Some(g) = self.jobs.get_mut(&task.job).and_then(|j| j.gang.as_mut()) {
            g.mark_preempted(task.index);
        }
    }

    /// Marks a task as done, or all of a gang's at once. A job whose tasks are all done starts completing.
    pub(super) fn mark_task_done(&mut self, task: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if !job.live() {
            return;
        }
        if let Some(g) = &mut job.gang {
            // The members of a gang complete together: when one is done, all are.
            g.mark_all_done();
            job.done = crate::ranges::RangeSet::full(job.spec.tasks);
        } else if task.index < job.spec.tasks {
            job.done.insert(task.index);
        }
        job.done_generation = job.record.mark_changed();
        if job.done.count() == job.spec.tasks {
            debug!(job = %task.job, "all tasks done");
            job.ending = Some(Ending::Completing);
        }
    }
}

/// The backoff of a failing job after this many errors in a row.
pub(super) fn failure_backoff(errors: u32) -> Micros {
    Micros::from_secs(
        INITIAL_FAILURE_BACKOFF_S
            << errors
                .saturating_sub(FAILING_AFTER_ERRORS)
                .min(MAX_FAILURE_BACKOFF_DOUBLINGS),
    )
}
