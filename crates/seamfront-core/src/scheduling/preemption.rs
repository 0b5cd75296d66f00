//! Stopping lesser work so that more important work finds room.

use super::{
    info, Availability, BTreeMap, BTreeSet, Cause, Context, FreeCapacity, JobId, JobKind, JobSpec,
    Machine, Micros, PlacementRequest, PreemptibleWork, Priority, Resources, SchedulingCycle,
    Shard, TaskKey,
};

impl Shard {
    /// See [`PreemptibleWork`].
    pub(super) fn preemptible_work(
        &self,
        guaranteed: &BTreeSet<JobId>,
        capacity: &FreeCapacity,
    ) -> Vec<PreemptibleWork> {
        let mut on = vec![PreemptibleWork::default(); capacity.machines.len()];
        for j in self.jobs.values().filter(|j| j.live()) {
            let beyond = j.spec.kind != JobKind::Service && !guaranteed.contains(&j.spec.id);
            for t in j.tasks.values().filter(|t| t.stop.is_none()) {
                let p = j.effective_priority(t);
                if let Some(k) = capacity.find(&t.machine) {
                    on[k].lowest_priority = on[k].lowest_priority.max(Some(p));
                    on[k].beyond[p as usize] |= beyond && !t.promoted;
                }
            }
        }
        on
    }

    /// Only work of higher priority stops other work, and of ordinary work only what would be late
    /// otherwise: stopping costs progress.
    pub(super) fn may_preempt(&self, context: &Context, spec: &JobSpec, guaranteed: bool) -> bool {
        match spec.priority {
            Priority::Critical | Priority::Urgent => true,
            Priority::Normal => {
                let soon = context.wall_time + spec.estimate + Micros::from_secs(30);
                guaranteed
                    || context
                        .settings
                        .start_by(spec, context.wall_time)
                        .is_some_and(|t| t < soon)
            }
            Priority::BestEffort => guaranteed,
        }
    }

    /// Stops lesser work for `n` tasks of a job; returns for how many room will come.
    /// With `at_once` only where its image is, and only what saves by itself, without the time to save.
    pub(super) fn preempt_for(
        &mut self,
        context: &mut Context,
        id: &JobId,
        n: u32,
        guaranteed: &BTreeSet<JobId>,
        cycle: &mut SchedulingCycle,
        at_once: bool,
    ) -> u32 {
        let Some(job) = self.jobs.get(id) else {
            return 0;
        };
        let spec = job.spec.clone();
        let mut placement = PlacementRequest::of(job, context.now, context.types);
        placement.cached = at_once;
        let taken = job.zones(|m| self.machines.get(m).map(|m| m.record.zone.as_str()));
        if cycle.preemptible.is_none() {
            cycle.preemptible = Some(self.preemptible_work(guaranteed, &cycle.capacity));
        }
        let reclaims = guaranteed.contains(&spec.id);
        let preemptible = cycle.preemptible.as_deref().unwrap_or_default();
        let stops = |k: usize| {
            let on = &preemptible[k];
            on.lowest_priority.is_some_and(|l| l > spec.priority)
                || (reclaims && on.beyond[spec.priority as usize])
        };
        let capacity = &cycle.capacity;
        let mut slots: Vec<(i64, usize, Vec<TaskKey>)> = Vec::new();
        for (k, m) in placement.places(&self.machines, capacity, |k, _| {
            stops(k) && capacity.size(k).fits(spec.task_resources) > 0
        }) {
            let free = capacity.left(k, Availability::AfterPreemption);
            if let Some((cost, victims)) =
                self.victims(context, m, free, &spec, guaranteed, at_once)
            {
                // An image that must be fetched costs time as well.
                slots.push((
                    cost + placement.fetch_ms(m) + placement.kind_ms(m),
                    k,
                    victims,
                ));
            }
        }
        slots.sort();
        let zones: BTreeSet<&str> = slots.iter().map(|s| capacity.zone(s.1)).collect();
        let mut best: Option<(i64, Vec<usize>)> = None;
        let choices: Vec<Option<&str>> = if !spec.one_zone {
            vec![None]
        } else if let Some(z) = taken.keys().next() {
            vec![Some(z.as_str())]
        } else {
            zones.into_iter().map(Some).collect()
        };
        for zone in choices {
            let mut counts: BTreeMap<&str, u32> =
                taken.iter().map(|(z, n)| (z.as_str(), *n)).collect();
            let mut pick = Vec::new();
            for (k, s) in slots
                .iter()
                .enumerate()
                .filter(|(_, s)| zone.is_none_or(|z| z == capacity.zone(s.1)))
            {
                let in_zone = counts.entry(capacity.zone(s.1)).or_insert(0);
                if *in_zone < spec.zone_cap() && (pick.len() as u32) < n {
                    *in_zone += 1;
                    pick.push(k);
                }
            }
            let enough = !pick.is_empty() && (spec.kind != JobKind::Gang || pick.len() as u32 == n);
            let cost: i64 = pick.iter().map(|k| slots[*k].0).sum();
            if enough
                && best
                    .as_ref()
                    .is_none_or(|b| (pick.len(), -cost) > (b.1.len(), -b.0))
            {
                best = Some((cost, pick));
            }
        }
        let Some((_, pick)) = best else { return 0 };
        let chosen: Vec<_> = pick.iter().map(|k| slots[*k].clone()).collect();
        for (_, k, victims) in &chosen {
            for v in victims {
                let freed = self
                    .jobs
                    .get(&v.job)
                    .map_or(Resources::default(), |j| j.spec.task_resources);
                if at_once {
                    self.evict_with(context, v, Cause::Preempted, Micros::ZERO);
                } else {
                    self.evict(context, v, Cause::Preempted);
                }
                cycle.capacity.machines[*k].after_preemption.add(freed);
            }
            cycle.capacity.hold(*k, spec.task_resources);
            cycle.await_preemption(&spec, *k);
        }
        info!(job = %id, tasks = chosen.len(), "making room");
        chosen.len() as u32
    }

    /// The cheapest lesser work whose end lets one more task of `spec` fit on this machine.
    /// Besides work of lower priority, a job within its team's guarantee may stop work of the same
    /// priority that another team runs beyond its own.
    pub(super) fn victims(
        &self,
        context: &Context,
        m: &Machine,
        free: Resources,
        spec: &JobSpec,
        guaranteed: &BTreeSet<JobId>,
        at_once: bool,
    ) -> Option<(i64, Vec<TaskKey>)> {
        let reclaims = guaranteed.contains(&spec.id);
        let mut preemptible: Vec<(Priority, i64, &TaskKey, Resources)> = Vec::new();
        for t in &m.tasks {
            let Some(j) = self.jobs.get(&t.job) else {
                continue;
            };
            let Some(p) = j.tasks.get(&t.index) else {
                continue;
            };
            let beyond = reclaims
                && j.effective_priority(p) == spec.priority
                // It would be the first to be placed again, and be stopped again, in every round.
                && !p.promoted
                && j.spec.kind != JobKind::Service
                && j.spec.team != spec.team
                && !guaranteed.contains(&t.job);
            if at_once && (j.gang.is_some() || !j.spec.saves()) {
                continue;
            }
            if j.live() && p.stop.is_none() && (j.effective_priority(p) > spec.priority || beyond) {
                let ran = p.running_since.map_or(0, |s| (context.now - s).0 / 1_000);
                let lost = if j.spec.saves() { 2_000 } else { 1_000 + ran };
                preemptible.push((j.effective_priority(p), lost, t, j.spec.task_resources));
            }
        }
        preemptible.sort_by(|a, b| (b.0, a.1, a.2).cmp(&(a.0, b.1, b.2)));
        let (mut free, mut cost, mut keys) = (free, 0, Vec::new());
        for (_, lost, t, task_resources) in preemptible {
            if free.fits(spec.task_resources) > 0 {
                break;
            }
            free.add(task_resources);
            cost += lost;
            keys.push(t.clone());
        }
        (free.fits(spec.task_resources) > 0 && !keys.is_empty()).then_some((cost, keys))
    }
}
