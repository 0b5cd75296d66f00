//! Scheduling one pending job: which of its tasks may be placed, and where they find room.

use super::assignment::PlannedPlacement;
use super::cycle::{SchedulingCycle, SearchTerms, UnschedulableJob};
use super::preemption::EvictionMode;
use super::reservation::{is_live_service, GangReservation};
use crate::job::Job;
use crate::placement::{FillPolicy, PlacementRequest};
use crate::port::ResourceRequest;
use crate::shard::{Context, Shard};
use crate::types::{JobId, JobKind, JobSpec, Micros, Resources, Team};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Time beyond one and a quarter heartbeat intervals within which a preempted task has ended.
const PREEMPTION_MARGIN: Micros = Micros::from_secs(1);

/// A pending job as the cycle schedules it.
struct PendingJob {
    id: JobId,
    spec: Rc<JobSpec>,
    is_gang: bool,
    /// Nothing of it has started, though it should soon have.
    starving: bool,
    /// How many of its tasks may be placed now.
    wanted: u32,
    terms: SearchTerms,
    /// A search in vain for it tells that one for like jobs is in vain too.
    comparable: bool,
}

/// Tasks that found a place.
struct Assigned {
    /// How many, those for which room is being freed included.
    tasks: u32,
    /// Whether any was placed.
    placed: bool,
}

impl Shard {
    /// Places the tasks of a job that find room, preempts other work for the rest if it may, and requests capacity
    /// from the leader for what remains.
    pub(super) fn place_job(
        &mut self,
        context: &mut Context,
        id: &JobId,
        guaranteed: &BTreeSet<JobId>,
        cycle: &mut SchedulingCycle,
    ) {
        let Some(job) = self.jobs.get(id) else { return };
        let Some(team) = context.settings.team(&job.spec.team) else {
            return;
        };
        let pending = self.pending_job(context, job, team, guaranteed, cycle);
        if pending.wanted == 0 || (pending.is_gang && pending.wanted < pending.spec.tasks) {
            // While a gang waits for its part of the quota it reserves what room there is, or both would take their
            // time.
            if pending.is_gang && pending.starving && cycle.reserve_quota(&pending.spec) {
                self.reserve_for_gang(context, id, pending.spec.tasks, cycle);
            }
            return;
        }
        if pending.comparable && cycle.is_unschedulable(&pending.spec, pending.terms) {
            return self.request_capacity(context, &pending, pending.wanted, cycle);
        }
        let wanted = pending.wanted;
        let mut missing =
            wanted - self.place_where_image_cached(context, &pending, guaranteed, cycle);
        if missing == 0 {
            return;
        }
        let Some(assigned) = self.place_on_free_room(context, &pending, missing, cycle) else {
            return;
        };
        missing -= assigned.tasks;
        if missing > 0 && pending.terms.may_preempt {
            let allowed = self.preemption_quota(team, &pending.spec, missing, cycle);
            if allowed == 0 || (pending.is_gang && allowed < missing) {
                return;
            }
            let mode = EvictionMode::Graceful;
            missing -= self.preempt_for(context, id, allowed, guaranteed, cycle, mode);
        }
        if pending.comparable && missing == wanted {
            cycle.unschedulable.push(UnschedulableJob {
                spec: pending.spec.clone(),
                terms: pending.terms,
            });
        }
        if missing > 0 {
            self.request_capacity(context, &pending, missing, cycle);
        } else if pending.is_gang && pending.starving && !assigned.placed {
            // Its room is being freed: what finds free room meanwhile must not use up the quota.
            cycle.reserve_quota(&pending.spec);
        }
    }

    fn pending_job(
        &self,
        context: &Context,
        job: &Job,
        team: &Team,
        guaranteed: &BTreeSet<JobId>,
        cycle: &SchedulingCycle,
    ) -> PendingJob {
        let spec = job.spec.clone();
        let starving = job.starving(context.wall_time, context.types);
        let within_guarantee = guaranteed.contains(&spec.id);
        let start_by = context.settings.start_by(&spec, context.wall_time);
        let terms = SearchTerms {
            guaranteed: within_guarantee,
            in_time: start_by.is_some(),
            may_preempt: self.may_preempt(context, &spec, within_guarantee),
        };
        // Like jobs are decided as a class: arrays that can't be told from one that found nothing.
        let comparable = match spec.kind {
            JobKind::Array => !spec.one_zone && !spec.spread,
            JobKind::Gang => true,
            JobKind::Service => false,
        };
        PendingJob {
            id: spec.id.clone(),
            is_gang: job.gang.is_some(),
            starving,
            wanted: self.wanted_tasks(context, job, team, starving, cycle),
            terms,
            comparable: comparable && job.avoided_machines.is_empty(),
            spec,
        }
    }

    /// How many tasks of a job may be placed now, whether or not there is room.
    fn wanted_tasks(
        &self,
        context: &Context,
        job: &Job,
        team: &Team,
        starving: bool,
        cycle: &SchedulingCycle,
    ) -> u32 {
        let spec = &job.spec;
        let reserved = cycle.quota_reserved(&spec.team);
        let quota = self
            .quota
            .headroom(team, spec.task_resources, reserved)
            .min(i64::from(u32::MAX)) as u32;
        let wanted = job
            .unplaced()
            .min(quota)
            .min(job.record_headroom(&context.layout))
            .min(job.concurrent_attempts());
        // A starving array is raised for its first task only; the rest goes by its own priority again.
        if starving && spec.kind == JobKind::Array {
            wanted.min(1)
        } else {
            wanted
        }
    }

    /// For how many of a job's missing tasks work may be preempted within its team's quota.
    fn preemption_quota(
        &self,
        team: &Team,
        spec: &JobSpec,
        missing: u32,
        cycle: &SchedulingCycle,
    ) -> u32 {
        let mut reserved: Resources = cycle.quota_reserved(&spec.team);
        reserved.add(cycle.quota_awaiting_room(&spec.team));
        self.quota
            .headroom(team, spec.task_resources, reserved)
            .min(i64::from(missing)) as u32
    }

    /// Places up to `missing` tasks of a job where there is room, or where room is being freed already; all or none
    /// of a gang. None if the job is not known.
    fn place_on_free_room(
        &mut self,
        context: &mut Context,
        pending: &PendingJob,
        missing: u32,
        cycle: &mut SchedulingCycle,
    ) -> Option<Assigned> {
        let job = self.jobs.get(&pending.id)?;
        let spec = &pending.spec;
        let mut tasks_by_zone = self.tasks_by_zone(job);
        let mut placement = PlacementRequest::of(job, context.now, context.types);
        let mut plan: Vec<PlannedPlacement> = Vec::new();
        let policy = if pending.is_gang {
            FillPolicy::AllOrNothing
        } else {
            FillPolicy::Partial
        };
        // Work that can still be in time is worth keeping a machine with accelerators for; other work is not.
        let keep = if pending.terms.in_time {
            Micros::MAX
        } else {
            context.settings.tuning.idle_keep
        };
        // Services rather preempt work on machines without accelerators than settle on accelerators for good;
        // arrays leave soon, and what has checkpoints can be moved at little loss.
        let mut sizes = vec![None];
        if spec.kind != JobKind::Service && spec.task_resources.gpus <= 0 {
            sizes.push(Some(keep));
        }
        let mut rest = missing;
        for any_size in sizes {
            placement.any_size = any_size;
            rest -= cycle.assign(
                &placement,
                &self.machines,
                &mut tasks_by_zone,
                rest,
                policy,
                &mut plan,
            );
            if rest == 0 {
                break;
            }
        }
        if !plan.is_empty() {
            self.place(context, &pending.id, &plan);
        }
        Some(Assigned {
            tasks: missing - rest,
            placed: !plan.is_empty(),
        })
    }

    /// A live service whose image takes longer to fetch than it takes to preempt work goes where the image is, and
    /// work with checkpoints there is stopped at once: it loses what it did since its last checkpoint. Returns how
    /// many tasks are placed, or have room made for them.
    fn place_where_image_cached(
        &mut self,
        context: &mut Context,
        pending: &PendingJob,
        guaranteed: &BTreeSet<JobId>,
        cycle: &mut SchedulingCycle,
    ) -> u32 {
        let (id, wanted) = (&pending.id, pending.wanted);
        let Some(job) = self.jobs.get(id) else {
            return 0;
        };
        let preempted_in = context.settings.heartbeat_interval.times(5).over(4) + PREEMPTION_MARGIN;
        if !is_live_service(&job.spec) || job.spec.fetch_at_best(context.types) <= preempted_in {
            return 0;
        }
        let mut placement = PlacementRequest::of(job, context.now, context.types);
        placement.cached = true;
        let mut tasks_by_zone = self.tasks_by_zone(job);
        let mut plan = Vec::new();
        let assigned = cycle.assign(
            &placement,
            &self.machines,
            &mut tasks_by_zone,
            wanted,
            FillPolicy::Partial,
            &mut plan,
        );
        if !plan.is_empty() {
            self.place(context, id, &plan);
        }
        if assigned == wanted {
            return assigned;
        }
        let mode = EvictionMode::Immediate;
        assigned + self.preempt_for(context, id, wanted - assigned, guaranteed, cycle, mode)
    }

    /// A job's tasks by the zone of their machines.
    pub(super) fn tasks_by_zone(&self, job: &Job) -> BTreeMap<String, u32> {
        job.zones(|machine| {
            let m = self.machines.get(machine);
            m.map(|m| m.record.zone.as_str())
        })
    }

    /// Requests capacity from the leader for tasks that found no room. For a gang all room that it can use is
    /// reserved, and the rest requested.
    fn request_capacity(
        &mut self,
        context: &Context,
        pending: &PendingJob,
        missing: u32,
        cycle: &mut SchedulingCycle,
    ) {
        let Some(job) = self.jobs.get(&pending.id) else {
            return;
        };
        let mut reservation = GangReservation {
            missing,
            zone: None,
        };
        if pending.is_gang {
            reservation = self.reserve_for_gang(context, &pending.id, pending.wanted, cycle);
            if pending.starving {
                cycle.reserve_quota(&job.spec);
            }
        }
        let guaranteed = pending.terms.guaranteed;
        let mut request = self.resource_request(context, job, reservation.missing, guaranteed);
        request.reserved_zone = reservation.zone.or(request.reserved_zone);
        self.requests.push(request);
    }

    fn resource_request(
        &self,
        context: &Context,
        job: &Job,
        count: u32,
        guaranteed: bool,
    ) -> ResourceRequest {
        let spec = &job.spec;
        // The rest of a job that must be in one zone can only go where a part of it is.
        let reserved_zone = if spec.one_zone {
            self.tasks_by_zone(job).into_keys().next()
        } else {
            None
        };
        let start_by = context.settings.start_by(spec, context.wall_time);
        ResourceRequest {
            job: spec.id.clone(),
            task: spec.task_resources,
            count,
            total: spec.tasks,
            together: job.gang.is_some(),
            one_zone: spec.one_zone,
            reserved_zone,
            spread: spec.spread,
            priority: spec.priority,
            guaranteed,
            starving: job.starving(context.wall_time, context.types),
            types: spec.types.clone(),
            zone: spec.zone.clone(),
            spot: spec.spot,
            image_mb: spec.image_mb,
            estimate: spec.estimate,
            waited: context.now - job.waiting_since,
            left: start_by.map(|t| t - context.wall_time),
            service: spec.kind == JobKind::Service,
        }
    }
}
