//! The state of one scheduling cycle: free capacity, reservations, and the jobs known not to fit.

use super::assignment::PlannedPlacement;
use crate::machine::Machine;
use crate::placement::{Availability, FillPolicy, FreeCapacity, Machines, PlacementRequest};
use crate::shard::{Context, Shard};
use crate::types::{JobKind, JobSpec, MachineId, Priority, Resources};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// State that the jobs scheduled in one cycle share.
pub(super) struct SchedulingCycle {
    /// Capacity of usable machines, less what this cycle has assigned or reserved.
    pub(super) capacity: FreeCapacity,
    /// Machines with capacity reserved for gangs that cannot be placed yet.
    pub(super) gang_reservations: BTreeSet<MachineId>,
    /// Preemptible work on each machine, by index in `capacity`. Computed on first use and not updated after that: it
    /// may still include work that this cycle has preempted.
    pub(super) preemptible: Option<Vec<PreemptibleWork>>,
    /// Jobs that found neither free capacity nor work to preempt in this cycle. A job under the same conditions that
    /// needs at least as much would not either, so the search for it is skipped.
    pub(super) unschedulable: Vec<UnschedulableJob>,
    /// By team: quota reserved for a starving gang. Without it, smaller jobs would use up all quota as it is released.
    quota_reserved: BTreeMap<String, Resources>,
    /// By team: quota that tasks will use once capacity has been freed for them. Work is preempted only for tasks that
    /// the rest of the quota lets run. Jobs that find free capacity meanwhile may still use this quota.
    quota_awaiting_preemption: BTreeMap<String, Resources>,
}

/// Work on a machine that might be preempted.
#[derive(Clone, Copy, Default)]
pub(super) struct PreemptibleWork {
    /// The least important priority among it, `None` if there is no such work.
    pub(super) lowest_priority: Option<Priority>,
    /// By priority: whether any work is beyond its team's guarantee.
    pub(super) beyond_guarantee: [bool; 4],
}

/// Conditions under which capacity is searched for a job, besides those in its [`JobSpec`].
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct SchedulingConditions {
    /// The job is within its team's guarantee.
    pub(super) guaranteed: bool,
    /// The job can still start in time.
    pub(super) in_time: bool,
    /// The job may preempt other work.
    pub(super) may_preempt: bool,
}

/// A job for which a search in this cycle found neither capacity nor work to preempt.
pub(super) struct UnschedulableJob {
    pub(super) spec: Rc<JobSpec>,
    pub(super) conditions: SchedulingConditions,
}

impl Shard {
    /// A new cycle with the current free capacity of usable machines.
    pub(super) fn start_cycle(&self, context: &Context) -> SchedulingCycle {
        let heartbeat_interval = context.settings.heartbeat_interval;
        let usable = |m: &&Machine| m.usable(context.now, heartbeat_interval, self.version);
        let mut capacity = FreeCapacity::of(self.machines.values().filter(usable));
        for job in self.jobs.values() {
            for p in job.tasks.values().filter(|p| p.stop.is_some()) {
                if let Some(index) = capacity.index_of(&p.machine) {
                    let after_preemption = &mut capacity.machines[index].after_preemption;
                    after_preemption.add(job.spec.task_resources);
                }
            }
        }
        SchedulingCycle {
            capacity,
            gang_reservations: BTreeSet::new(),
            preemptible: None,
            unschedulable: Vec::new(),
            quota_reserved: BTreeMap::new(),
            quota_awaiting_preemption: BTreeMap::new(),
        }
    }
}

impl SchedulingCycle {
    /// The part of a team's quota that is reserved for a starving gang.
    pub(super) fn quota_reserved(&self, team: &str) -> Resources {
        self.quota_reserved.get(team).copied().unwrap_or_default()
    }

    /// The part of a team's quota that tasks will use once capacity has been freed for them.
    pub(super) fn quota_awaiting_preemption(&self, team: &str) -> Resources {
        self.quota_awaiting_preemption
            .get(team)
            .copied()
            .unwrap_or_default()
    }

    /// Reserves the quota that a gang needs, for one gang of a team at a time: all starving gangs together could
    /// reserve the whole quota and leave it unused. Returns whether the quota was reserved.
    pub(super) fn reserve_quota(&mut self, gang: &JobSpec) -> bool {
        if self.quota_reserved.contains_key(&gang.team) {
            return false;
        }
        let resources = gang.task_resources.times(i64::from(gang.tasks));
        self.quota_reserved.insert(gang.team.clone(), resources);
        true
    }

    /// Assigns up to `wanted` tasks to machines. Free capacity goes to `plan`. Capacity that is being freed already is
    /// reserved, so that no less important job takes it. Returns the number of tasks assigned in either way.
    pub(super) fn assign(
        &mut self,
        placement: &PlacementRequest,
        machines: &Machines,
        tasks_by_zone: &mut BTreeMap<String, u32>,
        wanted: u32,
        policy: FillPolicy,
        plan: &mut Vec<PlannedPlacement>,
    ) -> u32 {
        let mut assigned = 0;
        for availability in [Availability::Now, Availability::AfterPreemption] {
            let chosen = placement.choose(
                machines,
                &self.capacity,
                availability,
                tasks_by_zone,
                wanted - assigned,
                policy,
            );
            assigned += chosen.len() as u32;
            for index in chosen {
                let zone = self.capacity.zone(index).to_owned();
                *tasks_by_zone.entry(zone).or_insert(0) += 1;
                self.capacity.reserve(index, placement.spec.task_resources);
                if availability == Availability::AfterPreemption {
                    self.await_preemption(placement.spec, index);
                    continue;
                }
                let id = &self.capacity.machines[index].id;
                if let Some(m) = machines.get(id) {
                    plan.push(PlannedPlacement {
                        machine: id.clone(),
                        fetch_ms: placement.fetch_ms(m),
                    });
                }
            }
            if assigned == wanted {
                break;
            }
        }
        assigned
    }

    /// Gives back the capacity of a plan that is not carried out, so that other jobs may use it.
    pub(super) fn release(&mut self, spec: &JobSpec, plan: &[PlannedPlacement]) {
        for planned in plan {
            if let Some(index) = self.capacity.index_of(&planned.machine) {
                self.capacity.release(index, spec.task_resources);
            }
        }
    }

    /// Counts a task that waits for capacity being freed on the machine at `index`.
    pub(super) fn await_preemption(&mut self, spec: &JobSpec, index: usize) {
        self.quota_awaiting_preemption
            .entry(spec.team.clone())
            .or_default()
            .add(spec.task_resources);
        self.mark_gang_reservation(spec, index);
    }

    /// If the job is a gang, notes that the machine at `index` has capacity reserved for it. The leader is told, since
    /// it might otherwise have the machine drained for another shard.
    pub(super) fn mark_gang_reservation(&mut self, spec: &JobSpec, index: usize) {
        if spec.kind == JobKind::Gang {
            self.gang_reservations
                .insert(self.capacity.machines[index].id.clone());
        }
    }

    /// Whether an earlier search in this cycle shows that this job finds no capacity.
    pub(super) fn known_unschedulable(
        &self,
        spec: &JobSpec,
        conditions: SchedulingConditions,
    ) -> bool {
        self.unschedulable.iter().any(|other| {
            other.conditions == conditions
                && other.spec.team == spec.team
                && at_least_as_demanding(spec, &other.spec)
        })
    }
}

/// Whether `a` cannot find capacity if `b` could not. During a cycle free capacity only shrinks; what preemption frees
/// is reserved for the job that preempts.
fn at_least_as_demanding(a: &JobSpec, b: &JobSpec) -> bool {
    let demands_more = a.task_resources.cpus >= b.task_resources.cpus
        && a.task_resources.gpus >= b.task_resources.gpus
        && a.task_resources.ram >= b.task_resources.ram;
    // A gang is placed as a whole: a smaller one might still fit.
    let demands_more = demands_more && (a.kind != JobKind::Gang || a.tasks >= b.tasks);
    let constraints = |s: &JobSpec| {
        (
            s.kind,
            s.priority,
            s.spot,
            s.one_zone,
            s.spread,
            s.supports_checkpoints(),
        )
    };
    demands_more
        && constraints(a) == constraints(b)
        && a.types == b.types
        && a.zone == b.zone
        && a.task_resources.gpus.signum() == b.task_resources.gpus.signum()
}
