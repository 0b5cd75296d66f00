//! What becomes of a task that is known to be on no machine any more.

use super::*;

impl Shard {
    /// The task is on no machine any more: frees its place, quota, zone and number.
    pub(super) fn remove_task(&mut self, context: &mut Context, task: &TaskKey, why: Removal) {
        self.remove_placement(context, task, why);
        self.settle_job(context, &task.job);
    }

    pub(super) fn remove_placement(&mut self, context: &mut Context, task: &TaskKey, why: Removal) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(p) = job.tasks.remove(&task.index) else { return };
        self.quota.give(&job.spec.team, job.spec.need);
        let machine = self.machines.get_mut(&p.machine);
        let silent = machine.as_ref().is_none_or(|m| m.silent_for(context.now) > context.cfg.report.times(2));
        if let Some(m) = machine {
            if m.tasks.remove(task) {
                m.used.sub(job.spec.need);
            }
            m.fetches_changed = true;
        }
        debug!(task = %task, machine = %p.machine, epoch = p.attempt, ?why, stop = ?p.stop.map(|s| s.cause), "task gone");
        job.record.touch();
        self.dirty = true;
        if job.waiting_since == Micros::ZERO || job.tasks.is_empty() {
            job.waiting_since = context.now;
        }
        let blamed = why == Removal::Exited(Exit::Error);
        if blamed {
            let after = Micros::from_secs(120);
            job.avoid.insert(p.machine.clone(), context.now + after);
            job.errors += 1;
            // A job that fails wherever it goes is slowed down, so that it harms nobody.
            if job.errors >= 3 {
                let pause = Micros::from_secs(2 << (job.errors - 3).min(5));
                job.paused_until = context.now + pause;
            }
            warn!(job = %task.job, machine = %p.machine, errors = job.errors, "task failed");
            if job.errors <= 3 {
                if let Some(m) = self.machines.get_mut(&p.machine) {
                    m.faults.insert(task.job.clone());
                    if m.faults.len() >= 2 && !m.suspect {
                        warn!(machine = %p.machine, "different jobs fail here: machine suspected");
                        m.suspect = true;
                    }
                }
            }
        }
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        match why {
            Removal::Exited(Exit::Done) => {
                job.errors = 0;
                let ran = p.running_since.map(|t| context.now - t).filter(|_| job.spec.kind == Kind::Array);
                if let Some(m) = self.machines.get_mut(&p.machine) {
                    m.faults.clear();
                    if let Some(ran) = ran.filter(|_| job.ran.0 >= 3) {
                        let before = m.suspect;
                        m.completed(ran, job.ran.1.over(job.ran.0));
                        if m.suspect && !before {
                            warn!(machine = %p.machine, "much slower than its kind: machine suspected");
                        }
                    }
                }
                if let Some(ran) = ran {
                    job.ran = (job.ran.0 + 1, job.ran.1 + ran);
                }
                if job.spec.kind != Kind::Service {
                    self.task_done(task);
                }
                return;
            }
            Removal::Exited(Exit::NoRoom) => {
                if let Some(m) = self.machines.get_mut(&p.machine) {
                    m.full_until = context.now + Micros::from_secs(3);
                }
            }
            Removal::Exited(Exit::Busy | Exit::Unknown) => {
                job.avoid.insert(p.machine.clone(), context.now + Micros::from_secs(5));
                job.paused_until = job.paused_until.max(context.now + Micros::from_secs(1));
            }
            _ => {}
        }
        if job.gang.is_some() {
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
    }

    pub(super) fn task_done(&mut self, task: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
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
        job.done_gen = job.record.touch();
        if job.done.count() == job.spec.tasks {
            info!(job = %task.job, "all tasks done");
            job.ending = Some(Ending::Completing);
        }
    }
}
