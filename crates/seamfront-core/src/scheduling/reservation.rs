//! Reservations: capacity kept free for expected live services, and capacity held for gangs that cannot be placed yet.

use super::cycle::SchedulingCycle;
use crate::job::Job;
use crate::machine::Machine;
use crate::placement::{Availability, PlacementRequest};
use crate::shard::{Context, Shard};
use crate::types::{JobId, JobKind, JobSpec, MachineType, Micros, Priority};
use std::collections::{BTreeMap, BTreeSet};

/// Services submitted within this time are the basis for the expected arrival rate.
const ARRIVAL_WINDOW: Micros = Micros::from_secs(60);

/// Result of reserving capacity for a gang.
pub(super) struct GangReservation {
    /// Number of members without reserved capacity.
    pub(super) missing: u32,
    /// The zone with the reserved capacity, if the gang must be in one zone and anything was reserved.
    pub(super) zone: Option<String>,
}

/// Capacity of a machine for members of a gang.
struct GangCapacity {
    /// The machine's index in the cycle's capacity.
    index: usize,
    /// Number of members that fit.
    members: u32,
}

impl Shard {
    /// Reserves free capacity for live services, so that new ones can start at once; less important work can't use it.
    /// Enough is reserved for the services expected to arrive before capacity could be freed or provisioned for them,
    /// and at least for one as large as the largest present service. Machines that have images of such services cached
    /// are preferred, because a service may not wait for a fetch. Nothing is preempted for these reservations.
    pub(super) fn reserve_for_services(&self, context: &Context, cycle: &mut SchedulingCycle) {
        let services: Vec<&Job> = self
            .jobs
            .values()
            .filter(|job| job.live() && is_live_service(&job.spec))
            .collect();
        let size = |job: &&&Job| {
            let cpus = i64::from(job.spec.tasks) * job.spec.task_resources.cpus;
            (cpus, job.spec.id.clone())
        };
        let Some(largest) = services.iter().max_by_key(size) else {
            return;
        };
        let spec = &largest.spec;
        let expected = expected_tasks(context, &services, spec);
        // At most half of a spread job may be in one zone.
        let zone_limit = if spec.spread {
            expected.div_ceil(2)
        } else {
            expected
        };
        let mut reserved: BTreeMap<String, u32> = BTreeMap::new();
        for index in self.machines_for_services(context, cycle, &services, largest) {
            let missing = expected.saturating_sub(reserved.values().sum());
            let zone = cycle.capacity.zone(index).to_owned();
            let in_zone = reserved.entry(zone).or_default();
            let tasks = i64::from(missing.min(zone_limit.saturating_sub(*in_zone)));
            let free = cycle.capacity.machines[index].free;
            let tasks = tasks.min(free.fits(spec.task_resources));
            *in_zone += tasks as u32;
            cycle
                .capacity
                .reserve(index, spec.task_resources.times(tasks));
        }
    }

    /// Machines with free capacity for a task of the largest service, by index in the cycle's capacity. Those that have
    /// the most service images cached come first.
    fn machines_for_services(
        &self,
        context: &Context,
        cycle: &SchedulingCycle,
        services: &[&Job],
        largest: &Job,
    ) -> Vec<usize> {
        let images: BTreeSet<&str> = services.iter().map(|j| j.spec.image.as_str()).collect();
        let cached_images = |m: &Machine| {
            m.image_cache
                .images
                .iter()
                .filter(|image| images.contains(image.name.as_str()))
                .count()
        };
        let placement = PlacementRequest::of(largest, context.now, context.types);
        let task_resources = largest.spec.task_resources;
        let free = placement.eligible_machines(&self.machines, &cycle.capacity, |_, capacity| {
            capacity.free.fits(task_resources) > 0
        });
        let mut ranked: Vec<(usize, usize)> = free
            .into_iter()
            .map(|(index, m)| (usize::MAX - cached_images(m), index))
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, index)| index).collect()
    }

    /// Reserves capacity for a gang that does not fit as a whole. Otherwise smaller jobs would take all capacity as it
    /// becomes free, and the gang would starve.
    pub(super) fn reserve_for_gang(
        &self,
        context: &Context,
        id: &JobId,
        wanted: u32,
        cycle: &mut SchedulingCycle,
    ) -> GangReservation {
        let none = GangReservation {
            missing: wanted,
            zone: None,
        };
        let Some(job) = self.jobs.get(id) else {
            return none;
        };
        let spec = &job.spec;
        let placement = PlacementRequest::of(job, context.now, context.types);
        let mut by_zone = self.gang_capacity_by_zone(&placement, wanted, cycle);
        let Some(zone) = best_zone(&placement, &by_zone, wanted, cycle) else {
            return none;
        };
        let mut missing = wanted;
        for capacity in by_zone.remove(&zone).unwrap_or_default() {
            let members = capacity.members.min(missing);
            missing -= members;
            let resources = spec.task_resources.times(i64::from(members));
            cycle.capacity.reserve(capacity.index, resources);
            cycle.mark_gang_reservation(spec, capacity.index);
        }
        let partly_reserved = spec.one_zone && missing < wanted;
        GangReservation {
            missing,
            zone: partly_reserved.then_some(zone),
        }
    }

    /// Machines with capacity for members of a gang, by [`zone_key`].
    fn gang_capacity_by_zone(
        &self,
        placement: &PlacementRequest,
        wanted: u32,
        cycle: &SchedulingCycle,
    ) -> BTreeMap<String, Vec<GangCapacity>> {
        let members = |index: usize| {
            cycle
                .capacity
                .available(index, Availability::AfterPreemption)
                .fits(placement.spec.task_resources)
                .clamp(0, i64::from(wanted)) as u32
        };
        let mut by_zone: BTreeMap<String, Vec<GangCapacity>> = BTreeMap::new();
        let machines = placement.eligible_machines(&self.machines, &cycle.capacity, |index, _| {
            members(index) > 0
        });
        for (index, _) in machines {
            let zone = zone_key(placement.spec, cycle.capacity.zone(index));
            by_zone.entry(zone).or_default().push(GangCapacity {
                index,
                members: members(index),
            });
        }
        by_zone
    }
}

/// Whether a job is a live service, that is one that users wait for: a service of critical priority.
pub(super) fn is_live_service(spec: &JobSpec) -> bool {
    spec.kind == JobKind::Service && spec.priority == Priority::Critical
}

/// Number of tasks of live services that are expected to arrive before a machine could be provisioned for them, at
/// least the number of tasks of the largest service.
fn expected_tasks(context: &Context, services: &[&Job], largest: &JobSpec) -> u32 {
    let fits = |t: &&MachineType| {
        t.size.fits(largest.task_resources) > 0
            && largest.accelerators_allowed(t.size, context.types)
    };
    let boot_time = context.types.iter().filter(fits).map(|t| t.boot).min();
    let lead_time = boot_time.unwrap_or(Micros::ZERO).times(3).divided_by(2);
    let recent: i64 = services
        .iter()
        .filter(|job| context.wall_time - job.spec.submitted < ARRIVAL_WINDOW)
        .map(|job| i64::from(job.spec.tasks))
        .sum();
    (recent * lead_time.0 / ARRIVAL_WINDOW.0).max(i64::from(largest.tasks)) as u32
}

/// The zone where the most of the `wanted` members fit now; among equals, the one whose machines could hold the most
/// members if they were empty.
fn best_zone(
    placement: &PlacementRequest,
    by_zone: &BTreeMap<String, Vec<GangCapacity>>,
    wanted: u32,
    cycle: &SchedulingCycle,
) -> Option<String> {
    let mut if_empty: BTreeMap<String, i64> = BTreeMap::new();
    for (zone, tasks) in placement.max_tasks_by_zone(&cycle.capacity) {
        *if_empty.entry(zone_key(placement.spec, zone)).or_default() += tasks;
    }
    let free = |zone: &String| {
        let machines = by_zone.get(zone);
        machines
            .map_or(0, |machines| {
                machines.iter().map(|machine| machine.members).sum::<u32>()
            })
            .min(wanted)
    };
    if_empty
        .keys()
        .max_by_key(|zone| (free(zone), if_empty[*zone]))
        .cloned()
}

/// Key under which a job's capacity in `zone` is counted: the zone itself for a job that must be in one zone, else the
/// same empty key for all zones.
fn zone_key(spec: &JobSpec, zone: &str) -> String {
    if spec.one_zone {
        zone.to_owned()
    } else {
        String::new()
    }
}
