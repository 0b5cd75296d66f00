//! Admission of one pending job: decides how many of its tasks may be placed now, places them where there is capacity,
//! and preempts other work or requests machines for the rest.

use super::assignment::PlannedPlacement;
use super::cycle::{SchedulingConditions, SchedulingCycle, UnschedulableJob};
use super::preemption::EvictionMode;
use super::reservation::{is_live_service, GangReservation};
use crate::job::Job;
use crate::placement::{FillPolicy, PlacementRequest};
use crate::port::ResourceRequest;
use crate::record_size::max_gang_machines;
use crate::shard::{Context, Shard};
use crate::types::{JobId, JobKind, JobSpec, Micros, Resources, Team};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tracing::warn;

/// A preempted task is expected to have ended after one and a quarter heartbeat intervals plus this margin.
const PREEMPTION_MARGIN: Micros = Micros::from_secs(1);

/// Interval between two log lines about a gang whose record would be too large.
const TOO_LARGE_LOG_INTERVAL: Micros = Micros::from_secs(30);

/// A pending job, with what a cycle needs to know to schedule it.
struct PendingJob {
    id: JobId,
    spec: Rc<JobSpec>,
    is_gang: bool,
    /// See [`Job::starving`].
    starving: bool,
    /// Number of tasks that may be placed now.
    wanted: u32,
    conditions: SchedulingConditions,
    /// A failed search for this job is remembered and spares the search for similar jobs, and the other way round. See
    /// [`UnschedulableJob`].
    failure_cacheable: bool,
}

/// Tasks of a job for which capacity was found.
struct Assigned {
    /// Number of tasks, including those that wait for capacity being freed.
    tasks: u32,
    /// Whether at least one was placed.
    placed: bool,
    /// Whether the job is a gang for which there is capacity, but whose record would be too large.
    too_large: bool,
}

impl Shard {
    /// Places as many tasks of a job as there is capacity for, preempts other work for the rest if the job may do so,
    /// and requests machines from the leader for the tasks that are still unplaced.
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
            // A gang that waits for quota reserves free capacity meanwhile. Otherwise it would wait for quota first and
            // for capacity after that.
            if pending.is_gang && pending.starving && cycle.reserve_quota(&pending.spec) {
                self.reserve_for_gang(context, id, pending.spec.tasks, cycle);
            }
            return;
        }
        if pending.failure_cacheable && cycle.known_unschedulable(&pending.spec, pending.conditions)
        {
            return self.request_capacity(context, &pending, pending.wanted, cycle);
        }
        let wanted = pending.wanted;
        let mut missing =
            wanted - self.place_where_image_cached(context, &pending, guaranteed, cycle);
        if missing == 0 {
            return;
        }
        let Some(assigned) = self.place_on_free_capacity(context, &pending, missing, cycle) else {
            return;
        };
        if assigned.too_large {
            return;
        }
        missing -= assigned.tasks;
        if missing > 0 && pending.conditions.may_preempt {
            let allowed = self.preemption_quota(team, &pending.spec, missing, cycle);
            if allowed == 0 || (pending.is_gang && allowed < missing) {
                return;
            }
            let mode = EvictionMode::Graceful;
            missing -= self.preempt_for(context, id, allowed, guaranteed, cycle, mode);
        }
        if pending.failure_cacheable && missing == wanted {
            cycle.unschedulable.push(UnschedulableJob {
                spec: pending.spec.clone(),
                conditions: pending.conditions,
            });
        }
        if missing > 0 {
            self.request_capacity(context, &pending, missing, cycle);
        } else if pending.is_gang && pending.starving && !assigned.placed {
            // Capacity for it is being freed. Jobs placed meanwhile must not use up the quota that it will need.
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
        let conditions = SchedulingConditions {
            guaranteed: within_guarantee,
            in_time: start_by.is_some(),
            may_preempt: self.may_preempt(context, &spec, within_guarantee),
        };
        // Whether an array with zone constraints finds capacity also depends on where its placed tasks are, so it tells
        // nothing about other arrays.
        let failure_cacheable = match spec.kind {
            JobKind::Array => !spec.one_zone && !spec.spread,
            JobKind::Gang => true,
            JobKind::Service => false,
        };
        PendingJob {
            id: spec.id.clone(),
            is_gang: job.gang.is_some(),
            starving,
            wanted: self.placeable_tasks(context, job, team, starving, cycle),
            conditions,
            failure_cacheable: failure_cacheable && job.avoided_machines.is_empty(),
            spec,
        }
    }

    /// How many tasks of a job may be placed now, whether or not there is capacity for them.
    fn placeable_tasks(
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
        let recordable = if job.gang.is_some() {
            // Depends on how many machines the gang is placed on, see `Job::gang_fits_record`.
            u32::MAX
        } else {
            job.record_headroom(&context.layout)
        };
        let wanted = job
            .unplaced()
            .min(quota)
            .min(recordable)
            .min(job.remaining_attempts());
        // A starving array gets its raised rank for one task only. The others are queued by the array's own priority.
        if starving && spec.kind == JobKind::Array {
            wanted.min(1)
        } else {
            wanted
        }
    }

    /// For how many of the `missing` tasks of a job other work may be preempted: as many as its team's quota lets run.
    fn preemption_quota(
        &self,
        team: &Team,
        spec: &JobSpec,
        missing: u32,
        cycle: &SchedulingCycle,
    ) -> u32 {
        let mut reserved: Resources = cycle.quota_reserved(&spec.team);
        reserved.add(cycle.quota_awaiting_preemption(&spec.team));
        self.quota
            .headroom(team, spec.task_resources, reserved)
            .min(i64::from(missing)) as u32
    }

    /// Assigns up to `missing` tasks of a job to free capacity, which places them, or to capacity that is being freed
    /// already, which reserves it. A gang gets places for all of them or none. Returns `None` if the job is unknown.
    fn place_on_free_capacity(
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
        placement.few_machines = pending.is_gang
            && !job.gang_fits_record_anywhere(&context.layout, cycle.capacity.machines.len());
        let mut plan: Vec<PlannedPlacement> = Vec::new();
        let policy = if pending.is_gang {
            FillPolicy::AllOrNothing
        } else {
            FillPolicy::Partial
        };
        // A job that can still start in time may use a machine with accelerators even if that keeps the machine from
        // being terminated; other jobs may not.
        let idle_timeout = if pending.conditions.in_time {
            Micros::MAX
        } else {
            context.settings.tuning.idle_timeout
        };
        // The second pass lets jobs that need no accelerators use machines that have some. Services are excluded: they
        // would stay there for good, so they preempt work on other machines instead. Tasks of arrays end soon, and
        // tasks with checkpoints can be moved at little loss.
        let mut passes = vec![None];
        if spec.kind != JobKind::Service && spec.task_resources.gpus <= 0 {
            passes.push(Some(idle_timeout));
        }
        let mut rest = missing;
        for accelerator_idle_timeout in passes {
            placement.accelerator_idle_timeout = accelerator_idle_timeout;
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
        let too_large = pending.is_gang && !self.gang_fits_record(context, &pending.id, &plan);
        let placed = !too_large && !plan.is_empty();
        if too_large {
            cycle.release(spec, &plan);
            self.log_gang_too_large(context, &pending.id);
        } else if placed {
            self.place_tasks(context, &pending.id, plan);
        }
        Some(Assigned {
            tasks: missing - rest,
            placed,
            too_large,
        })
    }

    /// Whether the store accepts the record of a gang that is placed as planned.
    fn gang_fits_record(&self, context: &Context, id: &JobId, plan: &[PlannedPlacement]) -> bool {
        let machines = plan.iter().map(|planned| &planned.machine);
        let job = self.jobs.get(id);
        job.is_some_and(|job| job.gang_fits_record(&context.layout, machines))
    }

    /// Logs, at intervals, that a gang is not placed since the store would not accept its record.
    fn log_gang_too_large(&mut self, context: &Context, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if context.now < job.too_large_logged_until {
            return;
        }
        job.too_large_logged_until = context.now + TOO_LARGE_LOG_INTERVAL;
        let most_machines = max_gang_machines(&job.spec, &context.layout);
        warn!(gang = %id, tasks = job.spec.tasks, most_machines, "gang not placed: its record would be too large for the store");
    }

    /// Places tasks of a live service on machines that have its image cached, if fetching the image would take longer
    /// than preempting work there. Only tasks with checkpoints are preempted, and at once: they lose what they did
    /// since their last checkpoint. Returns the number of tasks that are placed or wait for capacity being freed.
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
        let preemption_time =
            context.settings.heartbeat_interval.times(5).divided_by(4) + PREEMPTION_MARGIN;
        if !is_live_service(&job.spec) || job.spec.min_fetch_time(context.types) <= preemption_time
        {
            return 0;
        }
        let mut placement = PlacementRequest::of(job, context.now, context.types);
        placement.require_cached_image = true;
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
            self.place_tasks(context, id, plan);
        }
        if assigned == wanted {
            return assigned;
        }
        let mode = EvictionMode::Immediate;
        assigned + self.preempt_for(context, id, wanted - assigned, guaranteed, cycle, mode)
    }

    /// Number of a job's tasks in each zone.
    pub(super) fn tasks_by_zone(&self, job: &Job) -> BTreeMap<String, u32> {
        job.tasks_by_zone(|machine| {
            let m = self.machines.get(machine);
            m.map(|m| m.record.zone.as_str())
        })
    }

    /// Requests machines from the leader for `missing` tasks. A gang first reserves all capacity that it can use, and
    /// requests machines for the rest.
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
        let guaranteed = pending.conditions.guaranteed;
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
        // Once some tasks of a single-zone job are placed, the others have to go to the same zone.
        let reserved_zone = if spec.one_zone {
            self.tasks_by_zone(job).into_keys().next()
        } else {
            None
        };
        let start_by = context.settings.start_by(spec, context.wall_time);
        ResourceRequest {
            job: spec.id.clone(),
            task_resources: spec.task_resources,
            count,
            total: spec.tasks,
            all_or_nothing: job.gang.is_some(),
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
            waiting_time: context.now - job.waiting_since,
            time_until_start_by: start_by.map(|t| t - context.wall_time),
            service: spec.kind == JobKind::Service,
        }
    }
}
