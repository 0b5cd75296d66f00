//! Draining gangs, and evicting tasks for other work.

use super::{
    info, warn, Cause, Context, Job, JobId, JobSpec, Member, Micros, Phase, Placement, Removal,
    Shard, Stop, TaskKey, Verdict,
};

/// First pause of a gang whose member used up its attempts, in seconds.
const BACKOFF_S: i64 = 5;
/// The pause doubles up to this many times.
const BACKOFF_DOUBLINGS: u32 = 3;
/// Added to the time that a task takes to save before it is stopped.
const SAVE_MARGIN: Micros = Micros::from_millis(500);

impl Shard {
    /// Starts the drain of a gang: all members are stopped. `trigger` is the member whose failure caused it.
    pub(super) fn drain_gang(
        &mut self,
        context: &mut Context,
        id: &JobId,
        trigger: Option<u32>,
        cause: Cause,
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
        let mut unsent = Vec::new();
        for (i, p) in &mut job.tasks {
            if p.phase == Phase::Recording {
                unsent.push(TaskKey {
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
        job.record.touch();
        for t in unsent {
            self.remove_task(context, &t, Removal::Lost);
        }
        self.check_gang(context, id);
    }

    /// The first member of a gang whose machine is silent.
    pub(super) fn silent_member(&self, context: &Context, id: &JobId) -> Option<u32> {
        let job = self.jobs.get(id)?;
        let silent = |p: &Placement| {
            let m = self.machines.get(&p.machine);
            m.is_none_or(|m| {
                m.silent_for(context.now) > context.settings.heartbeat_interval.times(3).over(2)
            })
        };
        job.tasks.iter().find(|(_, p)| silent(p)).map(|(i, _)| *i)
    }

    /// Completes the drain of a gang once none of its members is on a machine.
    pub(super) fn check_gang(&mut self, context: &mut Context, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !job.live() || !job.tasks.is_empty() {
            return;
        }
        let Some(g) = &mut job.gang else { return };
        if g.draining {
            // Members that were never placed again after a takeover are gone all the same.
            for m in &mut g.members {
                if matches!(m, Member::Preempting | Member::Pending | Member::Running) {
                    *m = Member::Preempted;
                }
            }
        }
        let Some(verdict) = g.complete(context.settings.tuning.retry_limit) else {
            return;
        };
        info!(gang = %id, epoch = g.epoch, ?verdict, "gang drain completed");
        if verdict == Verdict::Failed {
            back_off(job, context.now);
        }
        job.waiting_since = context.now;
        job.record.touch();
        self.dirty = true;
    }

    /// Time that a task is given to save, none if it has no checkpoints.
    pub(super) fn grace(spec: &JobSpec) -> Micros {
        if spec.saves() {
            spec.save + spec.save.over(5) + SAVE_MARGIN
        } else {
            Micros::ZERO
        }
    }

    /// Evicts a task, or its whole gang, with the time that it takes to save.
    pub fn evict(&mut self, context: &mut Context, task: &TaskKey, cause: Cause) {
        let grace = self
            .jobs
            .get(&task.job)
            .map_or(Micros::ZERO, |j| Self::grace(&j.spec));
        self.evict_with(context, task, cause, grace);
    }

    /// Evicts a task, or its whole gang, with `grace` to save.
    pub fn evict_with(
        &mut self,
        context: &mut Context,
        task: &TaskKey,
        cause: Cause,
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
        info!(task = %task, machine = %p.machine, ?cause, "evicting task");
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

/// A gang whose member used up its attempts pauses and starts anew: the protocol knows no failed job, and every
/// accepted job must run. It pauses no longer than leaves it several tries within the time in which it should start.
fn back_off(job: &mut Job, now: Micros) {
    job.paused_until = now + Micros::from_secs(BACKOFF_S << job.backoffs.min(BACKOFF_DOUBLINGS));
    job.backoffs += 1;
    if let Some(gang) = &mut job.gang {
        gang.readmit();
    }
    warn!(gang = %job.spec.id, backoffs = job.backoffs, "gang backing off");
}
