//! Judging machines, and what the leader is told of them.

use super::{
    debug, info, warn, Cause, Context, JobKind, Machine, MachineId, MachineView, Member, Micros,
    Priority, Resources, Shard, ShardPhase, TaskKey,
};

impl Shard {
    /// Marks machines that should be returned with whatever may be on them. Only their owner can
    /// tell, and only while its claim stands: the mark is written under that claim.
    pub fn detect_failures(&mut self, context: &Context) {
        let silent_limit = context.settings.heartbeat_interval.times(4) + Micros::from_secs(4);
        // What has reported, or what the former holder's records show tasks on, was up. Until it shows
        // our token, its worker may be content with that holder's answers for as long as these may come.
        let former = context.settings.verification_ttl().with_drift();
        let was_up = |m: &Machine| m.agent.last_heartbeat.is_some() || !m.tasks.is_empty();
        // Spot machines are taken without a notice far more often than networks fail: of them only one
        // lost report is forgiven, whose worker waits 4 s for the answer and 1 s to try elsewhere.
        let spot_limit = silent_limit
            .min(context.settings.heartbeat_interval.times(3).over(2) + Micros::from_secs(5));
        let limit_of = |m: &Machine| match (m.agent.last_acknowledged, m.record.spot) {
            (None, _) => silent_limit + former,
            (_, true) => spot_limit,
            (_, false) => silent_limit,
        };
        // When many are silent at once, it is rather our own network: their leases decide. The same
        // holds, counted by itself, for those that are heard but do not seem to hear us.
        let (mut up, mut silent, mut unacknowledging) = (0, 0, 0);
        for m in self.machines.values().filter(|m| was_up(m)) {
            up += 1;
            silent += usize::from(m.silent_for(context.now) > limit_of(m));
            unacknowledging += usize::from(m.agent.unacknowledged_for(context.now) > limit_of(m));
        }
        let many = |n: usize| n * 3 > up && n > 2;
        let (many_silent, many_unacknowledging) = (many(silent), many(unacknowledging));
        // Where the settings leave the leases no room to end a cancelled task in time, a machine that
        // does not report while it may hold one is deleted before the cancellation falls due.
        let no_room = !context.settings.verification_ttl_fits();
        let jobs = &self.jobs;
        let cancelled_on = |m: &Machine| {
            m.tasks
                .iter()
                .filter_map(|t| jobs.get(&t.job)?.tasks.get(&t.index)?.stop)
                .any(|s| {
                    s.cause == Cause::Cancelled
                        && context.now - s.since > context.settings.cancel.over(2)
                })
        };
        for m in self.machines.values_mut() {
            let quiet = m.silent_for(context.now);
            let due =
                no_room && quiet > context.settings.heartbeat_interval.times(2) && cancelled_on(m);
            let kind = context.types.iter().find(|t| t.name == m.record.kind);
            let boot = kind.map_or(Micros::from_secs(60), |t| t.boot);
            let gone = if was_up(m) {
                (quiet > limit_of(m) && !many_silent)
                    || (m.agent.unacknowledged_for(context.now) > limit_of(m)
                        && !many_unacknowledging)
                    || quiet > former + context.settings.lease.times(3).over(2)
            } else {
                quiet > boot.times(4) + Micros::from_secs(30)
            };
            let taken =
                m.lifecycle.preemption_deadline.is_some_and(|t| {
                    t + context.settings.heartbeat_interval.times(2) < context.now
                }) && quiet > context.settings.heartbeat_interval.times(2);
            let condemned = context.lease_valid
                && (gone || taken || due || (m.health.quarantined() && m.empty()));
            if condemned && !m.lifecycle.condemned {
                warn!(machine = %m.id, gone, taken, due, suspect = m.health.quarantined(), quiet_ms = quiet.0 / 1_000, unacknowledged_ms = m.agent.unacknowledged_for(context.now).0 / 1_000, "machine given up");
            }
            m.lifecycle.condemned = condemned;
        }
    }

    /// What the leader is told of the machines.
    pub fn views(&self, context: &Context) -> Vec<MachineView> {
        self.count_work(self.machines.len());
        self.machines
            .values()
            .filter(|m| m.record.shard.is_some())
            .map(|m| {
                let quiet = m.silent_for(context.now);
                let (highest_priority, loss, pinned) = self.occupancy(context, m);
                MachineView {
                    highest_priority,
                    loss,
                    pinned,
                    id: m.id.clone(),
                    version: m.version,
                    // One that was moved here and has not shown our token yet is still on its way: it is not
                    // idle, and it will serve what waits here.
                    up: m.fencing.highest_seen_token == m.fencing_token(self.version)
                        && m.agent.last_heartbeat.is_some()
                        && quiet < context.settings.heartbeat_interval.times(3),
                    used: m.used,
                    idle: m
                        .usage
                        .idle_since
                        .filter(|_| m.empty())
                        .map(|t| context.now - t),
                    reserved_for_gang: m.usage.reserved_for_gang,
                    released: m.lifecycle.released_since.is_some() && m.empty(),
                    bad: m.lifecycle.condemned,
                    leaving: m.lifecycle.preemption_deadline.is_some(),
                }
            })
            .collect()
    }

    /// The most important priority on a machine, how much work would be lost by leaving it, and what
    /// services take of it.
    pub(super) fn occupancy(
        &self,
        context: &Context,
        m: &Machine,
    ) -> (Option<Priority>, Micros, Resources) {
        let (mut highest_priority, mut loss, mut pinned) =
            (None, Micros::ZERO, Resources::default());
        for t in &m.tasks {
            let Some(j) = self.jobs.get(&t.job) else {
                continue;
            };
            let Some(p) = j.tasks.get(&t.index) else {
                continue;
            };
            if j.spec.kind == JobKind::Service {
                pinned.add(j.spec.task_resources);
            }
            highest_priority = Some(
                highest_priority.map_or(j.effective_priority(p), |l: Priority| {
                    l.min(j.effective_priority(p))
                }),
            );
            loss += if j.spec.saves() {
                j.spec.save
            } else {
                p.running_since.map_or(Micros::ZERO, |s| context.now - s)
            };
        }
        (highest_priority, loss, pinned)
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
                if m.lifecycle.released_since.is_none() {
                    debug!(machine = %id, "released for the leader");
                    m.lifecycle.released_since = Some(context.now);
                }
                continue;
            }
            let Some(above) = above.filter(|_| m.lifecycle.draining_since.is_none()) else {
                continue;
            };
            let tasks: Vec<TaskKey> = m.tasks.iter().cloned().collect();
            let lesser = |t: &TaskKey| {
                let job = self.jobs.get(&t.job);
                job.is_some_and(|j| {
                    j.tasks
                        .get(&t.index)
                        .is_some_and(|p| j.effective_priority(p) > above)
                })
            };
            if !tasks.iter().all(lesser) {
                continue;
            }
            info!(machine = %id, tasks = tasks.len(), ?above, "clearing machine for another shard");
            if let Some(m) = self.machines.get_mut(id) {
                m.lifecycle.draining_since = Some(context.now);
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
            let mut sum = Resources::default();
            for t in &m.tasks {
                if let Some(j) = self.jobs.get(&t.job) {
                    sum.add(j.spec.task_resources);
                }
            }
            sum == m.used
        })
    }
}
