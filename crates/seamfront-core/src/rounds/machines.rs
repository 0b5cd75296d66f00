//! Judging machines, and what the leader is told of them.

use super::*;

impl Shard {
    /// Marks machines that should be returned with whatever may be on them. Only their owner can
    /// tell, and only while its claim stands: the mark is written under that claim.
    pub fn judge_machines(&mut self, context: &Context) {
        let silent_limit = context.cfg.report.times(4) + Micros::from_secs(4);
        // What has reported, or what the former holder's records show tasks on, was up. Until it shows
        // our token, its worker may be content with that holder's answers for as long as these may come.
        let former = context.cfg.acting_time().with_drift();
        let was_up = |m: &Machine| m.last_report.is_some() || !m.tasks.is_empty();
        // Spot machines are taken without a notice far more often than networks fail: of them only one
        // lost report is forgiven, whose worker waits 4 s for the answer and 1 s to try elsewhere.
        let spot_limit =
            silent_limit.min(context.cfg.report.times(3).over(2) + Micros::from_secs(5));
        let limit_of = |m: &Machine| match (m.heeded, m.record.spot) {
            (None, _) => silent_limit + former,
            (_, true) => spot_limit,
            (_, false) => silent_limit,
        };
        // When many are silent at once, it is rather our own network: their leases decide. The same
        // holds, counted by itself, for those that are heard but do not seem to hear us.
        let (mut up, mut silent, mut deaf) = (0, 0, 0);
        for m in self.machines.values().filter(|m| was_up(m)) {
            up += 1;
            silent += usize::from(m.silent_for(context.now) > limit_of(m));
            deaf += usize::from(m.deaf_for(context.now) > limit_of(m));
        }
        let many = |n: usize| n * 3 > up && n > 2;
        let (many_silent, many_deaf) = (many(silent), many(deaf));
        // Where the settings leave the leases no room to end a cancelled task in time, a machine that
        // does not report while it may hold one is deleted before the cancellation falls due.
        let no_room = !context.cfg.acting_time_fits();
        let jobs = &self.jobs;
        let cancelled_on = |m: &Machine| {
            m.tasks
                .iter()
                .filter_map(|t| jobs.get(&t.job)?.tasks.get(&t.index)?.stop)
                .any(|s| {
                    s.cause == Cause::Cancelled
                        && context.now - s.since > context.cfg.cancel.over(2)
                })
        };
        for m in self.machines.values_mut() {
            let quiet = m.silent_for(context.now);
            let due = no_room && quiet > context.cfg.report.times(2) && cancelled_on(m);
            let kind = context.types.iter().find(|t| t.name == m.record.kind);
            let boot = kind.map_or(Micros::from_secs(60), |t| t.boot);
            let gone = if was_up(m) {
                (quiet > limit_of(m) && !many_silent)
                    || (m.deaf_for(context.now) > limit_of(m) && !many_deaf)
                    || quiet > former + context.cfg.lease.times(3).over(2)
            } else {
                quiet > boot.times(4) + Micros::from_secs(30)
            };
            let taken = m
                .notice
                .is_some_and(|t| t + context.cfg.report.times(2) < context.now)
                && quiet > context.cfg.report.times(2);
            let hopeless = context.acting && (gone || taken || due || (m.suspected() && m.empty()));
            if hopeless && !m.hopeless {
                warn!(machine = %m.id, gone, taken, due, suspect = m.suspected(), quiet_ms = quiet.0 / 1_000, deaf_ms = m.deaf_for(context.now).0 / 1_000, "machine given up");
            }
            m.hopeless = hopeless;
        }
    }

    /// What the leader is told of the machines.
    pub fn views(&self, context: &Context) -> Vec<MachineView> {
        self.look(self.machines.len());
        self.machines
            .values()
            .filter(|m| m.record.shard.is_some())
            .map(|m| {
                let quiet = m.silent_for(context.now);
                let (least, loss, pinned) = self.lesser(context, m);
                MachineView {
                    least,
                    loss,
                    pinned,
                    id: m.id.clone(),
                    version: m.version,
                    // One that was moved here and has not shown our token yet is still on its way: it is not
                    // idle, and it will serve what waits here.
                    up: m.seen_token == m.token(self.version)
                        && m.last_report.is_some()
                        && quiet < context.cfg.report.times(3),
                    used: m.used,
                    idle: m.idle_since.filter(|_| m.empty()).map(|t| context.now - t),
                    gathered: m.gathered,
                    released: m.released.is_some() && m.empty(),
                    bad: m.hopeless,
                    leaving: m.notice.is_some(),
                }
            })
            .collect()
    }

    /// The most important priority on a machine, how much work would be lost by leaving it, and what
    /// services take of it.
    pub(super) fn lesser(
        &self,
        context: &Context,
        m: &Machine,
    ) -> (Option<Priority>, Micros, Amounts) {
        let (mut least, mut loss, mut pinned) = (None, Micros::ZERO, Amounts::default());
        for t in &m.tasks {
            let Some(j) = self.jobs.get(&t.job) else {
                continue;
            };
            let Some(p) = j.tasks.get(&t.index) else {
                continue;
            };
            if j.spec.kind == Kind::Service {
                pinned.add(j.spec.need);
            }
            least = Some(least.map_or(j.standing(p), |l: Priority| l.min(j.standing(p))));
            loss += if j.spec.saves() {
                j.spec.save
            } else {
                p.running_since.map_or(Micros::ZERO, |s| context.now - s)
            };
        }
        (least, loss, pinned)
    }

    /// The leader wants these. Only what is empty, with nothing unsettled, is let go; for work of
    /// higher priority than all that is on it, a machine is cleared first.
    pub fn release(&mut self, context: &mut Context, ids: &[MachineId], above: Option<Priority>) {
        // Until the former holder's records are read every machine looks empty.
        if self.phase != ShardPhase::Ready {
            return;
        }
        for id in ids {
            let Some(m) = self
                .machines
                .get_mut(id)
                .filter(|m| m.record.shard.is_some())
            else {
                continue;
            };
            if m.empty() {
                if m.released.is_none() {
                    debug!(machine = %id, "released for the leader");
                    m.released = Some(context.now);
                }
                continue;
            }
            let Some(above) = above.filter(|_| m.clearing.is_none()) else {
                continue;
            };
            let tasks: Vec<TaskKey> = m.tasks.iter().cloned().collect();
            let lesser = |t: &TaskKey| {
                let job = self.jobs.get(&t.job);
                job.is_some_and(|j| j.tasks.get(&t.index).is_some_and(|p| j.standing(p) > above))
            };
            if !tasks.iter().all(lesser) {
                continue;
            }
            info!(machine = %id, tasks = tasks.len(), ?above, "clearing machine for another shard");
            if let Some(m) = self.machines.get_mut(id) {
                m.clearing = Some(context.now);
            }
            for t in tasks {
                self.evict(context, &t, Cause::Preempted);
            }
        }
    }

    /// Placed and unplaced members agree with the gang's states (checked by tests).
    pub fn consistent(&self) -> bool {
        self.jobs.values().all(|j| {
            j.gang.as_ref().is_none_or(|g| {
                j.tasks.keys().all(|i| {
                    !j.live()
                        || !matches!(g.members[*i as usize], Member::Blocked | Member::Preempted)
                })
            })
        }) && self.machines.values().all(|m| {
            let mut sum = Amounts::default();
            for t in &m.tasks {
                if let Some(j) = self.jobs.get(&t.job) {
                    sum.add(j.spec.need);
                }
            }
            sum == m.used
        })
    }
}
