//! Room reserved for live services that are expected, and for gangs that do not find all their places.

use super::cycle::SchedulingCycle;
use crate::job::Job;
use crate::machine::Machine;
use crate::placement::{Availability, PlacementRequest};
use crate::shard::{Context, Shard};
use crate::types::{JobId, JobKind, JobSpec, MachineType, Micros, Priority};
use std::collections::{BTreeMap, BTreeSet};

/// Services submitted within this time tell how many will come.
const ARRIVAL_WINDOW: Micros = Micros::from_secs(60);

/// What was reserved for a gang.
pub(super) struct GangReservation {
    /// Places that are missing.
    pub(super) missing: u32,
    /// The zone in which they are missing, if the gang must be in one and has places there.
    pub(super) zone: Option<String>,
}

/// Room on a machine for a gang's members.
struct GangRoom {
    /// The machine's index in the cycle's capacity.
    index: usize,
    /// How many members fit.
    members: u32,
}

impl Shard {
    /// Reserves free room for live services, which must start at once when they come. Room is kept from all less
    /// important work for those that will come before room could be made or provisioned, and for one like the
    /// largest at least: where the images are that such services have here, since a fetch takes longer than they
    /// may. Nothing is preempted for that.
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
        // Half of a job that is spread must find room in another zone.
        let zone_limit = if spec.spread {
            expected.div_ceil(2)
        } else {
            expected
        };
        let mut reserved: BTreeMap<String, u32> = BTreeMap::new();
        for k in self.machines_for_services(context, cycle, &services, largest) {
            let lacking = expected.saturating_sub(reserved.values().sum());
            let zone = cycle.capacity.zone(k).to_owned();
            let in_zone = reserved.entry(zone).or_default();
            let tasks = i64::from(lacking.min(zone_limit.saturating_sub(*in_zone)));
            let free = cycle.capacity.machines[k].free;
            let tasks = tasks.min(free.fits(spec.task_resources));
            *in_zone += tasks as u32;
            cycle.capacity.hold(k, spec.task_resources.times(tasks));
        }
    }

    /// Machines with free room for a task of the largest service, those with most images of services first.
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
        let free = placement.places(&self.machines, &cycle.capacity, |_, capacity| {
            capacity.free.fits(task_resources) > 0
        });
        let mut best: Vec<(usize, usize)> = free
            .into_iter()
            .map(|(k, m)| (usize::MAX - cached_images(m), k))
            .collect();
        best.sort_unstable();
        best.into_iter().map(|(_, k)| k).collect()
    }

    /// Reserves room for a gang that does not find places for all members, or smaller jobs would take every place
    /// that comes free and it would starve.
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
        let mut rooms = self.gang_rooms(&placement, wanted, cycle);
        let Some(zone) = best_zone(&placement, &rooms, wanted, cycle) else {
            return none;
        };
        let mut missing = wanted;
        for room in rooms.remove(&zone).unwrap_or_default() {
            let members = room.members.min(missing);
            missing -= members;
            let resources = spec.task_resources.times(i64::from(members));
            cycle.capacity.hold(room.index, resources);
            cycle.mark_gang_reservation(spec, room.index);
        }
        let partly_reserved = spec.one_zone && missing < wanted;
        GangReservation {
            missing,
            zone: partly_reserved.then_some(zone),
        }
    }

    /// Room for a gang's members by zone, see [`zone_key`].
    fn gang_rooms(
        &self,
        placement: &PlacementRequest,
        wanted: u32,
        cycle: &SchedulingCycle,
    ) -> BTreeMap<String, Vec<GangRoom>> {
        let members = |k: usize| {
            cycle
                .capacity
                .left(k, Availability::AfterPreemption)
                .fits(placement.spec.task_resources)
                .clamp(0, i64::from(wanted)) as u32
        };
        let mut rooms: BTreeMap<String, Vec<GangRoom>> = BTreeMap::new();
        let places = placement.places(&self.machines, &cycle.capacity, |k, _| members(k) > 0);
        for (index, _) in places {
            let zone = zone_key(placement.spec, cycle.capacity.zone(index));
            rooms.entry(zone).or_default().push(GangRoom {
                index,
                members: members(index),
            });
        }
        rooms
    }
}

/// A service that users wait for.
pub(super) fn is_live_service(spec: &JobSpec) -> bool {
    spec.kind == JobKind::Service && spec.priority == Priority::Critical
}

/// How many tasks of live services will come before a machine for them could be provisioned, at least those of one
/// like the largest.
fn expected_tasks(context: &Context, services: &[&Job], largest: &JobSpec) -> u32 {
    let fits = |t: &&MachineType| {
        t.size.fits(largest.task_resources) > 0 && largest.suits(t.size, context.types)
    };
    let boot_time = context.types.iter().filter(fits).map(|t| t.boot).min();
    let ahead = boot_time.unwrap_or(Micros::ZERO).times(3).over(2);
    let recent: i64 = services
        .iter()
        .filter(|job| context.wall_time - job.spec.submitted < ARRIVAL_WINDOW)
        .map(|job| i64::from(job.spec.tasks))
        .sum();
    (recent * ahead.0 / ARRIVAL_WINDOW.0).max(i64::from(largest.tasks)) as u32
}

/// The zone where most members fit now, and of those where most could fit on empty machines.
fn best_zone(
    placement: &PlacementRequest,
    rooms: &BTreeMap<String, Vec<GangRoom>>,
    wanted: u32,
    cycle: &SchedulingCycle,
) -> Option<String> {
    let mut possible: BTreeMap<String, i64> = BTreeMap::new();
    for (zone, tasks) in placement.by_zone(&cycle.capacity) {
        *possible.entry(zone_key(placement.spec, zone)).or_default() += tasks;
    }
    let free = |zone: &String| {
        let rooms = rooms.get(zone);
        rooms
            .map_or(0, |rooms| {
                rooms.iter().map(|room| room.members).sum::<u32>()
            })
            .min(wanted)
    };
    possible
        .keys()
        .max_by_key(|zone| (free(zone), possible[*zone]))
        .cloned()
}

/// The zone for a job that must be in one, else one key for all zones.
fn zone_key(spec: &JobSpec, zone: &str) -> String {
    if spec.one_zone {
        zone.to_owned()
    } else {
        String::new()
    }
}
