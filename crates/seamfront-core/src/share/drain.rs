//! Draining gangs and stopping tasks for the sake of others.

use super::*;

impl Share {
    pub(super) fn drain_gang(&mut self, ctx: &mut Ctx, id: &JobId, trigger: Option<u32>, cause: Cause, grace: Micros) {
        let Some(job) = self.jobs.get_mut(id) else { return };
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
                unsent.push(TaskKey { job: id.clone(), index: *i });
            } else if p.stop.is_none() {
                p.stop = Some(Stop { cause, grace, since: ctx.now });
            }
        }
        job.record.touch();
        for t in unsent {
            self.gone(ctx, &t, Gone::Lost);
        }
        self.check_gang(ctx, id);
    }

    pub(super) fn silent_member(&self, ctx: &Ctx, id: &JobId) -> Option<u32> {
        let job = self.jobs.get(id)?;
        let silent = |p: &Placement| {
            let m = self.machines.get(&p.machine);
            m.is_none_or(|m| m.silent_for(ctx.now) > ctx.cfg.report.times(3).over(2))
        };
        job.tasks.iter().find(|(_, p)| silent(p)).map(|(i, _)| *i)
    }

    /// Gives the verdict once nothing of the gang runs.
    pub(super) fn check_gang(&mut self, ctx: &mut Ctx, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
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
        let Some(verdict) = g.complete(ctx.cfg.tuning.retry_limit) else { return };
        info!(gang = %id, epoch = g.epoch, ?verdict, "gang drain completed");
        if verdict == Verdict::Failed {
            // The protocol knows no failed job and every accepted job must run: it pauses.
            // Not for longer than leaves it several tries within the time in which it should begin.
            let pause = Micros::from_secs(5 << job.parks.min(3));
            job.parks += 1;
            job.paused_until = ctx.now + pause;
            g.readmit();
            warn!(gang = %id, parks = job.parks, "gang parked");
        }
        job.waiting_since = ctx.now;
        job.record.touch();
        self.dirty = true;
    }

    /// Time that a task is given to save; nothing where it can't.
    pub(super) fn grace(spec: &JobSpec) -> Micros {
        if spec.saves() {
            spec.save + spec.save.over(5) + Micros::from_millis(500)
        } else {
            Micros::ZERO
        }
    }

    /// Stops one task for others' sake; of a gang, all.
    pub fn evict(&mut self, ctx: &mut Ctx, task: &TaskKey, cause: Cause) {
        let grace = self.jobs.get(&task.job).map_or(Micros::ZERO, |j| Self::grace(&j.spec));
        self.evict_with(ctx, task, cause, grace);
    }

    /// Stops one task with that much time to save; of a gang, all.
    pub fn evict_with(&mut self, ctx: &mut Ctx, task: &TaskKey, cause: Cause, grace: Micros) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(p) = job.tasks.get_mut(&task.index) else { return };
        if p.stop.is_some() || job.ending.is_some() {
            return;
        }
        info!(task = %task, machine = %p.machine, ?cause, "stopping task");
        if job.gang.is_some() {
            self.drain_gang(ctx, &task.job, None, cause, grace);
        } else if p.phase == Phase::Recording {
            self.gone(ctx, task, Gone::Lost);
        } else {
            p.stop = Some(Stop { cause, grace, since: ctx.now });
        }
    }
}
