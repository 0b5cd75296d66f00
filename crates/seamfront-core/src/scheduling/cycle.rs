//! The state of one scheduling cycle: free room, reservations, and what was searched for in vain.

use super::assignment::PlannedPlacement;
use crate::machine::Machine;
use crate::placement::{Availability, FillPolicy, FreeCapacity, Machines, PlacementRequest};
use crate::shard::{Context, Shard};
use crate::types::{JobKind, JobSpec, MachineId, Priority, Resources};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The state of one scheduling cycle.
pub(super) struct SchedulingCycle {
    /// Room on usable machines, less what this cycle assigned or reserved.
    pub(super) capacity: FreeCapacity,
    /// Machines with room reserved for gangs that do not have all their places yet.
    pub(super) gang_reservations: BTreeSet<MachineId>,
    /// By index in `capacity`: preemptible work there. Made on first use; work that the cycle preempts itself may
    /// still be in it.
    pub(super) preemptible: Option<Vec<PreemptibleWork>>,
    /// Jobs that found neither room nor work to preempt in this cycle: a job that asks for no less on the same
    /// terms will not either, and is not searched for.
    pub(super) unschedulable: Vec<UnschedulableJob>,
    /// By team: quota reserved for a starving gang, or smaller jobs after it would use up every bit that comes
    /// free.
    quota_reserved: BTreeMap<String, Resources>,
    /// By team: quota that tasks will use for which room is being freed. No more work is preempted than for what
    /// the rest of the quota lets run; what finds free room meanwhile may go before.
    quota_awaiting_room: BTreeMap<String, Resources>,
}

/// Work on a machine that might be preempted.
#[derive(Clone, Copy, Default)]
pub(super) struct PreemptibleWork {
    /// The least important priority.
    pub(super) lowest_priority: Option<Priority>,
    /// By priority: whether any of it is beyond its team's guarantee.
    pub(super) beyond_guarantee: [bool; 4],
}

/// The terms on which a job searches for room, besides its resources.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct SearchTerms {
    /// It is within its team's guarantee.
    pub(super) guaranteed: bool,
    /// It can still start in time.
    pub(super) in_time: bool,
    /// It may preempt other work.
    pub(super) may_preempt: bool,
}

/// A job that was searched for in vain.
pub(super) struct UnschedulableJob {
    pub(super) spec: Rc<JobSpec>,
    pub(super) terms: SearchTerms,
}

impl Shard {
    /// A cycle with the present room on usable machines.
    pub(super) fn start_cycle(&self, context: &Context) -> SchedulingCycle {
        let heartbeat_interval = context.settings.heartbeat_interval;
        let usable = |m: &&Machine| m.usable(context.now, heartbeat_interval, self.version);
        let mut capacity = FreeCapacity::of(self.machines.values().filter(usable));
        for job in self.jobs.values() {
            for p in job.tasks.values().filter(|p| p.stop.is_some()) {
                if let Some(k) = capacity.find(&p.machine) {
                    let after_preemption = &mut capacity.machines[k].after_preemption;
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
            quota_awaiting_room: BTreeMap::new(),
        }
    }
}

impl SchedulingCycle {
    /// Quota of a team that is reserved for a starving gang.
    pub(super) fn quota_reserved(&self, team: &str) -> Resources {
        self.quota_reserved.get(team).copied().unwrap_or_default()
    }

    /// Quota of a team that will be used by tasks for which room is being freed.
    pub(super) fn quota_awaiting_room(&self, team: &str) -> Resources {
        self.quota_awaiting_room
            .get(team)
            .copied()
            .unwrap_or_default()
    }

    /// Reserves a gang's part of its team's quota. One gang at a time: all that are starving would together reserve
    /// the whole quota and leave it unused. Returns whether it was reserved for this one.
    pub(super) fn reserve_quota(&mut self, gang: &JobSpec) -> bool {
        if self.quota_reserved.contains_key(&gang.team) {
            return false;
        }
        let resources = gang.task_resources.times(i64::from(gang.tasks));
        self.quota_reserved.insert(gang.team.clone(), resources);
        true
    }

    /// Finds places for up to `wanted` tasks: free ones go to the plan, and room that is being freed already is
    /// reserved, so that nothing less important takes it. Returns how many in all.
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
            for k in chosen {
                let zone = self.capacity.zone(k).to_owned();
                *tasks_by_zone.entry(zone).or_insert(0) += 1;
                self.capacity.hold(k, placement.spec.task_resources);
                if availability == Availability::AfterPreemption {
                    self.await_preemption(placement.spec, k);
                    continue;
                }
                let id = &self.capacity.machines[k].id;
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

    /// Room for a task is being freed on this machine.
    pub(super) fn await_preemption(&mut self, spec: &JobSpec, k: usize) {
        self.quota_awaiting_room
            .entry(spec.team.clone())
            .or_default()
            .add(spec.task_resources);
        self.mark_gang_reservation(spec, k);
    }

    /// Room on this machine is reserved for a gang until it has all its places: the leader must know, or it would
    /// have the machine drained for another shard.
    pub(super) fn mark_gang_reservation(&mut self, spec: &JobSpec, k: usize) {
        if spec.kind == JobKind::Gang {
            self.gang_reservations
                .insert(self.capacity.machines[k].id.clone());
        }
    }

    /// Whether a search for this job is known to be in vain.
    pub(super) fn is_unschedulable(&self, spec: &JobSpec, terms: SearchTerms) -> bool {
        self.unschedulable.iter().any(|other| {
            other.terms == terms
                && other.spec.team == spec.team
                && at_least_as_demanding(spec, &other.spec)
        })
    }
}

/// Whether a search in vain for `b` shows that one for `a` is in vain too. Room only shrinks in a cycle, but for
/// what is being preempted, and that is reserved for the job that preempts it.
fn at_least_as_demanding(a: &JobSpec, b: &JobSpec) -> bool {
    let more = a.task_resources.cpus >= b.task_resources.cpus
        && a.task_resources.gpus >= b.task_resources.gpus
        && a.task_resources.ram >= b.task_resources.ram;
    // All of a gang at once: a smaller one might still find room.
    let more = more && (a.kind != JobKind::Gang || a.tasks >= b.tasks);
    let terms = |s: &JobSpec| (s.kind, s.priority, s.spot, s.one_zone, s.spread, s.saves());
    more && terms(a) == terms(b)
        && a.types == b.types
        && a.zone == b.zone
        && a.task_resources.gpus.signum() == b.task_resources.gpus.signum()
}
