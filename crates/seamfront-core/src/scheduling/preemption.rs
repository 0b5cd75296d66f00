//! Preemption: chooses and evicts less important work to free capacity for more important work.

use super::cycle::{PreemptibleWork, SchedulingCycle};
use crate::job::{Job, StopReason};
use crate::machine::Machine;
use crate::placement::{Availability, FreeCapacity, PlacementRequest};
use crate::shard::{Context, Shard};
use crate::types::{JobId, JobKind, JobSpec, Micros, Priority, Resources, TaskKey};
use std::collections::{BTreeMap, BTreeSet};
use tracing::info;

/// A job of normal priority may preempt if its latest start time is less than its estimated run time plus this margin
/// away.
const START_MARGIN: Micros = Micros::from_secs(30);
/// Cost of evicting a task with checkpoints, in milliseconds of lost work.
const CHECKPOINTED_LOSS_MS: i64 = 2_000;
/// Cost of evicting a task without checkpoints, in milliseconds, in addition to its run time so far.
const RESTART_LOSS_MS: i64 = 1_000;

/// How preempted tasks are stopped.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum EvictionMode {
    /// With time to save a checkpoint.
    Graceful,
    /// Without time to save. Only for tasks with checkpoints, on machines that have the preempting job's image cached.
    Immediate,
}

/// Work on a machine whose eviction frees enough capacity for one task. Slots are ordered by cost first.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct PreemptionSlot {
    /// Cost of evicting the victims and using the machine, in milliseconds.
    cost: i64,
    /// The machine's index in the cycle's capacity.
    index: usize,
    victims: Vec<TaskKey>,
}

/// Slots chosen for a job.
struct SlotChoice<'s> {
    cost: i64,
    slots: Vec<&'s PreemptionSlot>,
}

/// A task that may be preempted.
struct Victim<'t> {
    priority: Priority,
    /// Cost of evicting it, in milliseconds.
    loss: i64,
    task: &'t TaskKey,
    resources: Resources,
}

/// Victims on one machine whose eviction frees enough capacity for one task.
struct VictimSet {
    cost: i64,
    tasks: Vec<TaskKey>,
}

impl Shard {
    /// The preemptible work on each machine, by its index in `capacity`.
    fn preemptible_work(
        &self,
        guaranteed: &BTreeSet<JobId>,
        capacity: &FreeCapacity,
    ) -> Vec<PreemptibleWork> {
        let mut work = vec![PreemptibleWork::default(); capacity.machines.len()];
        for job in self.jobs.values().filter(|job| job.live()) {
            let beyond = job.spec.kind != JobKind::Service && !guaranteed.contains(&job.spec.id);
            for p in job.tasks.values().filter(|p| p.stop.is_none()) {
                let priority = job.effective_priority(p);
                if let Some(index) = capacity.index_of(&p.machine) {
                    work[index].lowest_priority = work[index].lowest_priority.max(Some(priority));
                    work[index].beyond_guarantee[priority as usize] |= beyond && !p.promoted;
                }
            }
        }
        work
    }

    /// Whether a job may preempt other work. Critical and urgent jobs may, and all jobs within their team's guarantee.
    /// Eviction costs progress, so other jobs of normal priority may only if they would be late otherwise, and other
    /// best-effort jobs never may.
    pub(super) fn may_preempt(&self, context: &Context, spec: &JobSpec, guaranteed: bool) -> bool {
        match spec.priority {
            Priority::Critical | Priority::Urgent => true,
            Priority::Normal => {
                let preempt_before = context.wall_time + spec.estimate + START_MARGIN;
                let start_by = context.settings.start_by(spec, context.wall_time);
                guaranteed || start_by.is_some_and(|t| t < preempt_before)
            }
            Priority::BestEffort => guaranteed,
        }
    }

    /// Preempts less important work for up to `wanted` tasks of a job. Returns the number of tasks for which capacity
    /// is being freed.
    pub(super) fn preempt_for(
        &mut self,
        context: &mut Context,
        id: &JobId,
        wanted: u32,
        guaranteed: &BTreeSet<JobId>,
        cycle: &mut SchedulingCycle,
        mode: EvictionMode,
    ) -> u32 {
        let Some(job) = self.jobs.get(id) else {
            return 0;
        };
        let spec = job.spec.clone();
        let tasks_by_zone = self.tasks_by_zone(job);
        if cycle.preemptible.is_none() {
            cycle.preemptible = Some(self.preemptible_work(guaranteed, &cycle.capacity));
        }
        let slots = self.preemption_slots(context, job, guaranteed, cycle, mode);
        let chosen = choose_slots(&spec, &tasks_by_zone, &slots, &cycle.capacity, wanted);
        let Some(chosen) = chosen else {
            return 0;
        };
        for slot in &chosen.slots {
            for victim in &slot.victims {
                let freed = self
                    .jobs
                    .get(&victim.job)
                    .map_or(Resources::default(), |job| job.spec.task_resources);
                self.preempt(context, victim, mode);
                let machine = &mut cycle.capacity.machines[slot.index];
                machine.after_preemption.add(freed);
            }
            cycle.capacity.reserve(slot.index, spec.task_resources);
            cycle.await_preemption(&spec, slot.index);
        }
        info!(job = %id, tasks = chosen.slots.len(), "preempting for job");
        chosen.slots.len() as u32
    }

    fn preempt(&mut self, context: &mut Context, victim: &TaskKey, mode: EvictionMode) {
        match mode {
            EvictionMode::Graceful => self.evict(context, victim, StopReason::Preempted),
            EvictionMode::Immediate => {
                self.evict_with(context, victim, StopReason::Preempted, Micros::ZERO);
            }
        }
    }

    /// For each machine where preemption can free enough capacity for one task of the job, the cheapest way to do so.
    /// Sorted by cost.
    fn preemption_slots(
        &self,
        context: &Context,
        job: &Job,
        guaranteed: &BTreeSet<JobId>,
        cycle: &SchedulingCycle,
        mode: EvictionMode,
    ) -> Vec<PreemptionSlot> {
        let spec = &job.spec;
        let capacity = &cycle.capacity;
        let mut placement = PlacementRequest::of(job, context.now, context.types);
        placement.require_cached_image = mode == EvictionMode::Immediate;
        let reclaims = guaranteed.contains(&spec.id);
        let preemptible = cycle.preemptible.as_deref().unwrap_or_default();
        let has_victims = |index: usize| {
            let work = &preemptible[index];
            let less_important = work.lowest_priority.is_some_and(|p| p > spec.priority);
            less_important || (reclaims && work.beyond_guarantee[spec.priority as usize])
        };
        let machines = placement.eligible_machines(&self.machines, capacity, |index, _| {
            has_victims(index) && capacity.size(index).fits(spec.task_resources) > 0
        });
        let mut slots: Vec<PreemptionSlot> = Vec::new();
        for (index, m) in machines {
            let free = capacity.available(index, Availability::AfterPreemption);
            if let Some(victims) = self.victims(context, m, free, spec, guaranteed, mode) {
                // The machine's cost includes the time to fetch the image there.
                slots.push(PreemptionSlot {
                    cost: victims.cost + placement.fetch_ms(m) + placement.spot_mismatch_ms(m),
                    index,
                    victims: victims.tasks,
                });
            }
        }
        slots.sort();
        slots
    }

    /// The cheapest work whose eviction lets one more task of `spec` fit on this machine.
    fn victims(
        &self,
        context: &Context,
        m: &Machine,
        mut free: Resources,
        spec: &JobSpec,
        guaranteed: &BTreeSet<JobId>,
        mode: EvictionMode,
    ) -> Option<VictimSet> {
        let mut candidates: Vec<Victim> = m
            .tasks
            .iter()
            .filter_map(|task| self.victim(context, task, spec, guaranteed, mode))
            .collect();
        // Least important first, then cheapest.
        candidates.sort_by(|a, b| {
            let priorities = b.priority.cmp(&a.priority);
            priorities.then_with(|| (a.loss, a.task).cmp(&(b.loss, b.task)))
        });
        let mut victims = VictimSet {
            cost: 0,
            tasks: Vec::new(),
        };
        for victim in candidates {
            if free.fits(spec.task_resources) > 0 {
                break;
            }
            free.add(victim.resources);
            victims.cost += victim.loss;
            victims.tasks.push(victim.task.clone());
        }
        (free.fits(spec.task_resources) > 0 && !victims.tasks.is_empty()).then_some(victims)
    }

    /// The task as a victim, or `None` if it may not be preempted for `spec`. Any job may preempt work of lower
    /// priority. A job within its team's guarantee may also preempt work of the same priority that another team runs
    /// beyond its own guarantee.
    fn victim<'t>(
        &self,
        context: &Context,
        task: &'t TaskKey,
        spec: &JobSpec,
        guaranteed: &BTreeSet<JobId>,
        mode: EvictionMode,
    ) -> Option<Victim<'t>> {
        let job = self.jobs.get(&task.job)?;
        let p = job.tasks.get(&task.index)?;
        if !job.live() || p.stop.is_some() {
            return None;
        }
        if mode == EvictionMode::Immediate
            && (job.gang.is_some() || !job.spec.supports_checkpoints())
        {
            return None;
        }
        let priority = job.effective_priority(p);
        let reclaimable = guaranteed.contains(&spec.id)
            && priority == spec.priority
            // Placed while its job was starving: the job would be placed first again and preempted again, in every
            // cycle.
            && !p.promoted
            && job.spec.kind != JobKind::Service
            && job.spec.team != spec.team
            && !guaranteed.contains(&task.job);
        if priority <= spec.priority && !reclaimable {
            return None;
        }
        let ran_ms = p
            .running_since
            .map_or(0, |since| (context.now - since).0 / 1_000);
        Some(Victim {
            priority,
            loss: if job.spec.supports_checkpoints() {
                CHECKPOINTED_LOSS_MS
            } else {
                RESTART_LOSS_MS + ran_ms
            },
            task,
            resources: job.spec.task_resources,
        })
    }
}

/// Chooses slots for as many tasks as possible, up to `wanted`, at the lowest cost. All slots are in one zone if the
/// job requires that. Returns `None` if there is no slot, or too few for all of a gang.
fn choose_slots<'s>(
    spec: &JobSpec,
    tasks_by_zone: &BTreeMap<String, u32>,
    slots: &'s [PreemptionSlot],
    capacity: &FreeCapacity,
    wanted: u32,
) -> Option<SlotChoice<'s>> {
    let zones: Vec<Option<&str>> = if !spec.one_zone {
        vec![None]
    } else if let Some(zone) = tasks_by_zone.keys().next() {
        vec![Some(zone.as_str())]
    } else {
        let zones: BTreeSet<&str> = slots.iter().map(|s| capacity.zone(s.index)).collect();
        zones.into_iter().map(Some).collect()
    };
    let mut best: Option<SlotChoice> = None;
    for zone in zones {
        let choice = choose_slots_in(zone, spec, tasks_by_zone, slots, capacity, wanted);
        let count = choice.slots.len();
        let enough = count > 0 && (spec.kind != JobKind::Gang || count as u32 == wanted);
        let better = best
            .as_ref()
            .is_none_or(|best| (count, -choice.cost) > (best.slots.len(), -best.cost));
        if enough && better {
            best = Some(choice);
        }
    }
    best
}

/// The cheapest slots in `zone`, or in all zones if it is `None`, within the job's limit of tasks per zone.
fn choose_slots_in<'s>(
    zone: Option<&str>,
    spec: &JobSpec,
    tasks_by_zone: &BTreeMap<String, u32>,
    slots: &'s [PreemptionSlot],
    capacity: &FreeCapacity,
    wanted: u32,
) -> SlotChoice<'s> {
    let mut counts: BTreeMap<&str, u32> = tasks_by_zone
        .iter()
        .map(|(zone, tasks)| (zone.as_str(), *tasks))
        .collect();
    let mut chosen: Vec<&PreemptionSlot> = Vec::new();
    for slot in slots {
        let slot_zone = capacity.zone(slot.index);
        if zone.is_some_and(|zone| zone != slot_zone) {
            continue;
        }
        let in_zone = counts.entry(slot_zone).or_insert(0);
        if *in_zone < spec.max_tasks_per_zone() && (chosen.len() as u32) < wanted {
            *in_zone += 1;
            chosen.push(slot);
        }
    }
    SlotChoice {
        cost: chosen.iter().map(|slot| slot.cost).sum(),
        slots: chosen,
    }
}
