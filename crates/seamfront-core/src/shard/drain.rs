//! Coordinated drains of gangs, and evictions of tasks.

use super::{
    debug, info, warn, Context, DrainOutcome, Job, JobId, JobSpec, Member, Micros, Phase,
    Placement, Removal, Shard, Stop, StopReason, TaskKey,
};

/// First backoff of a gang after one of its members has used up its attempts, in seconds.
const INITIAL_GANG_BACKOFF_S: i64 = 5;
/// The backoff doubles at most this many times.
const MAX_GANG_BACKOFF_DOUBLINGS: u32 = 3;
/// Added to the grace period of a task that saves checkpoints, besides a fifth of its checkpoint time.
const SAVE_MARGIN: Micros = Micros::from_millis(500);

impl Shard {
    /// Starts the drain of a gang, which stops all its members. `trigger` is the member whose failure caused it, if
    /// any.
    pub(super) fn drain_gang(
        &mut self,
        context: &mut Context,
        id: &JobId,
        trigger: Option<u32>,
        cause: StopReason,
        grace: Micros,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !job.live() {
            return;
        }
        let Some(g) = &mut job.gang else { return };
        let epoch = g.epoch;
        if !g.drain(trigger) {
            return;
        }
        info!(gang = %id, epoch, trigger = ?trigger, ?cause, members = job.tasks.len(), "gang drain started");
        let mut never_sent = Vec::new();
        for (i, p) in &mut job.tasks {
            if p.phase == Phase::Recording {
                never_sent.push(TaskKey {
                    job: id.clone(),
                    index: *i,
                });
            } else if p.stop.is_none() {
                p.stop = Some(Stop {
                    cause,
                    grace,
                    since: context.now,
                });
            }
        }
        job.record.mark_changed();
        for task in never_sent {
            self.remove_task(context, &task, Removal::Lost);
        }
        self.complete_gang_drain(context, id);
    }

    /// The lowest-numbered member of a gang whose machine is silent or not known.
    pub(super) fn first_silent_member(&self, context: &Context, id: &JobId) -> Option<u32> {
        let job = self.jobs.get(id)?;
        let silent = |p: &Placement| {
            let m = self.machines.get(&p.machine);
            m.is_none_or(|m| {
                m.silent_for(context.now)
                    > context.settings.heartbeat_interval.times(3).divided_by(2)
            })
        };
        job.tasks.iter().find(|(_, p)| silent(p)).map(|(i, _)| *i)
    }

    /// Completes the drain of a gang once none of its members is placed on a machine.
    pub(super) fn complete_gang_drain(&mut self, context: &mut Context, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !job.live() || !job.tasks.is_empty() {
            return;
        }
        let Some(g) = &mut job.gang else { return };
        if g.draining {
            // After a failover, members may have a state but no placement: they are gone as well.
            for m in &mut g.members {
                if matches!(m, Member::Preempting | Member::Pending | Member::Running) {
                    *m = Member::Preempted;
                }
            }
        }
        let Some(verdict) = g.complete(context.settings.tuning.gang_retry_limit) else {
            return;
        };
        info!(gang = %id, epoch = g.epoch, ?verdict, "gang drain completed");
        if verdict == DrainOutcome::Failed {
            back_off(job, context.now);
        }
        job.waiting_since = context.now;
        job.record.mark_changed();
        self.dirty = true;
    }

    /// Grace period in which a task may save before it is stopped; zero if its job has no checkpoints.
    pub(super) fn grace(spec: &JobSpec) -> Micros {
        if spec.supports_checkpoints() {
            spec.checkpoint_time + spec.checkpoint_time.divided_by(5) + SAVE_MARGIN
        } else {
            Micros::ZERO
        }
    }

    /// Evicts a task, or its whole gang, with the grace period that its job needs to save.
    pub fn evict(&mut self, context: &mut Context, task: &TaskKey, cause: StopReason) {
        let grace = self
            .jobs
            .get(&task.job)
            .map_or(Micros::ZERO, |j| Self::grace(&j.spec));
        self.evict_with(context, task, cause, grace);
    }

    /// Evicts a task, or its whole gang, with the given grace period.
    pub fn evict_with(
        &mut self,
        context: &mut Context,
        task: &TaskKey,
        cause: StopReason,
        grace: Micros,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(p) = job.tasks.get_mut(&task.index) else {
            return;
        };
        if p.stop.is_some() || job.ending.is_some() {
            return;
        }
        debug!(task = %task, machine = %p.machine, ?cause, "evicting task");
        self.activity.count_eviction(cause);
        if job.gang.is_some() {
            self.drain_gang(context, &task.job, None, cause, grace);
        } else if p.phase == Phase::Recording {
            self.remove_task(context, task, Removal::Lost);
        } else {
            p.stop = Some(Stop {
                cause,
                grace,
                since: context.now,
            });
        }
    }
}

/// Makes a gang back off after one of its members has used up its attempts, and readmits it: the protocol has no failed
/// state for jobs, and every accepted job must run. The backoff is short enough for several attempts before the job's
/// start deadline.
fn back_off(job: &mut Job, now: Micros) {
    job.backoff_until = now
        + Micros::from_secs(INITIAL_GANG_BACKOFF_S << job.backoffs.min(MAX_GANG_BACKOFF_DOUBLINGS));
    job.backoffs += 1;
    if let Some(gang) = &mut job.gang {
        gang.readmit();
    }
    warn!(gang = %job.spec.id, backoffs = job.backoffs, "gang backing off");
}
