//! The shard's rounds: who gets room, in which order, and who must make room. Tasks of one job are
//! alike and are decided together, as a class.

use crate::gang::Member;
use crate::job::{Cause, Job, Phase, Placement};
use crate::machine::Machine;
use crate::placement::{Availability, FreeCapacity, Machines, PlacementRequest};
use crate::port::{MachineView, ResourceRequest};
use crate::quota;
use crate::shard::{Context, Shard, ShardPhase};
use crate::types::{
    queue_rank, JobId, JobKind, JobSpec, MachineId, MachineType, Micros, Priority, Resources,
    TaskKey, Team,
};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tracing::{debug, info, warn};

mod machine_health;
mod preemption;

/// Rounds follow changes, but not more often than this: a burst is decided together.
const MIN_CYCLE_INTERVAL: Micros = Micros::from_millis(40);
/// For each machine looked at in a round, so many microseconds without one. A look takes well below
/// one, and a controller may have less than a tenth of a core.
const VISIT_REST: i64 = 8;
/// Without a change, a round now and then notices what time alone has changed.
const IDLE_CYCLE_INTERVAL: Micros = Micros::from_millis(500);

/// What came within this time tells how much will come.
const COUNTED_FOR: Micros = Micros::from_secs(60);

struct SchedulingCycle {
    capacity: FreeCapacity,
    /// Held for gangs that wait for more.
    gang_reservations: BTreeSet<MachineId>,
    /// By place in `capacity`: the least important work there that might be stopped. Made when first asked
    /// for; work that the round stops itself may still be in it.
    preemptible: Option<Vec<PreemptibleWork>>,
    /// What found no room in this round, and no lesser work to stop: what asks for no less under the
    /// same terms will not either, and is not looked for.
    unschedulable: Vec<(Rc<JobSpec>, SearchTerms)>,
    /// What gangs whose turn has come still need of their teams' limits: smaller ones that come after
    /// them would use up every bit that comes free.
    quota_held: BTreeMap<String, Resources>,
    /// By team: what tasks will take of its limit for which room is being freed. No more lesser work is stopped than
    /// for what the rest of the limit lets run; what finds free room meanwhile may go before.
    quota_soon: BTreeMap<String, Resources>,
}

/// Of what runs on a machine: the least important priority, and by priority whether anything there is
/// beyond its team's guarantee.
#[derive(Clone, Copy, Default)]
struct PreemptibleWork {
    lowest_priority: Option<Priority>,
    beyond: [bool; 4],
}

/// On what terms a job looks for room, besides what it asks for: within its team's guarantee, still in
/// time, allowed to stop other work.
type SearchTerms = (bool, bool, bool);

/// Whether `b`, looked for in vain, shows that `a` is too. Room only shrinks in a round, but for what
/// is being stopped, and that is held for whom it was stopped for.
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

impl SchedulingCycle {
    /// Keeps a gang's part of its team's limit for it. One gang at a time: all that are overdue would together hold the
    /// whole limit and leave it unused. Whether this is the one.
    fn hold_quota(&mut self, gang: &JobSpec) -> bool {
        if self.quota_held.contains_key(&gang.team) {
            return false;
        }
        self.quota_held.insert(
            gang.team.clone(),
            gang.task_resources.times(i64::from(gang.tasks)),
        );
        true
    }

    /// Finds places for up to `want` tasks (all or none where not `partial`): free ones go to the plan, and
    /// what is being freed already is held, so that nothing lesser slips in. Returns how many in all.
    fn assign(
        &mut self,
        placement: &PlacementRequest,
        machines: &Machines,
        taken: &mut BTreeMap<String, u32>,
        want: u32,
        partial: bool,
        plan: &mut Vec<(MachineId, i64)>,
    ) -> u32 {
        let mut assigned = 0;
        for availability in [Availability::Now, Availability::AfterPreemption] {
            let got = placement.choose(
                machines,
                &self.capacity,
                availability,
                taken,
                want - assigned,
                partial,
            );
            assigned += got.len() as u32;
            for k in got {
                *taken.entry(self.capacity.zone(k).to_owned()).or_insert(0) += 1;
                self.capacity.hold(k, placement.spec.task_resources);
                if availability == Availability::AfterPreemption {
                    self.await_preemption(placement.spec, k);
                    continue;
                }
                let id = &self.capacity.machines[k].id;
                if let Some(m) = machines.get(id) {
                    plan.push((id.clone(), placement.fetch_ms(m)));
                }
            }
            if assigned == want {
                break;
            }
        }
        assigned
    }

    /// Room for a task is being freed on this machine.
    fn await_preemption(&mut self, spec: &JobSpec, k: usize) {
        self.quota_soon
            .entry(spec.team.clone())
            .or_default()
            .add(spec.task_resources);
        self.mark_gang_reservation(spec, k);
    }

    /// A gang holds room on this machine until it has all that it needs: the leader must know, or it would
    /// have the machine cleared for another shard.
    fn mark_gang_reservation(&mut self, spec: &JobSpec, k: usize) {
        if spec.kind == JobKind::Gang {
            self.gang_reservations
                .insert(self.capacity.machines[k].id.clone());
        }
    }
}

impl Shard {
    /// One round, if it is time for it: places what waits, and stops lesser work for what may.
    pub fn run_scheduling_cycle(&mut self, context: &mut Context) {
        // A round over many waiting jobs and machines costs much: the next one waits in proportion.
        let cost = Micros(self.last_cycle_cost * VISIT_REST);
        let gap = if self.dirty {
            MIN_CYCLE_INTERVAL.max(cost.min(IDLE_CYCLE_INTERVAL))
        } else {
            IDLE_CYCLE_INTERVAL
        };
        if self.phase != ShardPhase::Ready
            || !context.lease_valid
            || context.now - self.last_cycle < gap
        {
            return;
        }
        self.last_cycle = context.now;
        self.dirty = false;
        self.requests.clear();
        let guaranteed = quota::guaranteed(&context.settings.teams, self.jobs.values());
        self.refresh_fetches();
        let mut cycle = self.current_capacity(context);
        let mut services_reserved = false;
        for id in self.queue_order(context, &guaranteed) {
            let critical = self
                .jobs
                .get(&id)
                .is_some_and(|j| j.spec.priority == Priority::Critical);
            if !critical && !services_reserved {
                services_reserved = true;
                self.reserve_for_services(context, &mut cycle);
            }
            self.place_job(context, &id, &guaranteed, &mut cycle);
        }
        for id in std::mem::replace(&mut self.gang_reservations, cycle.gang_reservations) {
            if let Some(m) = self.machines.get_mut(&id) {
                m.usage.reserved_for_gang = false;
            }
        }
        for id in &self.gang_reservations {
            if let Some(m) = self.machines.get_mut(id) {
                m.usage.reserved_for_gang = true;
            }
        }
        self.last_cycle_cost = cycle.capacity.work_done.get();
        self.count_work(
            cycle.capacity.work_done.get() as usize + self.jobs.len() + self.machines.len(),
        );
    }

    /// Live services must start at once when they come. Of what is free, room is kept from all lesser work
    /// for those that will come before room could be made or rented, and for one like the largest at
    /// least: where the images are that such services have here, since a fetch takes longer than they
    /// may. Nothing is stopped for that.
    fn reserve_for_services(&self, context: &Context, cycle: &mut SchedulingCycle) {
        let live = |j: &&Job| {
            j.live() && j.spec.kind == JobKind::Service && j.spec.priority == Priority::Critical
        };
        let services: Vec<&Job> = self.jobs.values().filter(live).collect();
        let size = |j: &&&Job| {
            (
                i64::from(j.spec.tasks) * j.spec.task_resources.cpus,
                j.spec.id.clone(),
            )
        };
        let Some(largest) = services.iter().max_by_key(size) else {
            return;
        };
        let spec = &largest.spec;
        let fits = |t: &&MachineType| {
            t.size.fits(spec.task_resources) > 0 && spec.suits(t.size, context.types)
        };
        let ahead = context
            .types
            .iter()
            .filter(fits)
            .map(|t| t.boot)
            .min()
            .unwrap_or(Micros::ZERO)
            .times(3)
            .over(2);
        let recent = services
            .iter()
            .filter(|j| context.wall_time - j.spec.submitted < COUNTED_FOR);
        let recent: i64 = recent.map(|j| i64::from(j.spec.tasks)).sum();
        let expected = (recent * ahead.0 / COUNTED_FOR.0).max(i64::from(spec.tasks)) as u32;
        let images: BTreeSet<&str> = services.iter().map(|j| j.spec.image.as_str()).collect();
        let placement = PlacementRequest::of(largest, context.now, context.types);
        let free = placement.places(&self.machines, &cycle.capacity, |_, s| {
            s.free.fits(spec.task_resources) > 0
        });
        let here = |m: &Machine| {
            m.image_cache
                .images
                .iter()
                .filter(|i| images.contains(i.name.as_str()))
                .count()
        };
        let mut best: Vec<(usize, usize)> = free
            .into_iter()
            .map(|(k, m)| (usize::MAX - here(m), k))
            .collect();
        best.sort_unstable();
        // Half of a job that is spread must find room in another zone.
        let cap = if spec.spread {
            expected.div_ceil(2)
        } else {
            expected
        };
        let mut kept: BTreeMap<String, u32> = BTreeMap::new();
        for (_, k) in best {
            let lacking = expected.saturating_sub(kept.values().sum());
            let in_zone = kept.entry(cycle.capacity.zone(k).to_owned()).or_default();
            let n = i64::from(lacking.min(cap.saturating_sub(*in_zone)));
            let n = n.min(cycle.capacity.machines[k].free.fits(spec.task_resources));
            *in_zone += n as u32;
            cycle.capacity.hold(k, spec.task_resources.times(n));
        }
    }

    /// By turn, then guarantee, then by when it must start to be in time, the oldest first. Work that can't
    /// be in time any more comes after work that can. Of a team's gangs that ask for more than its limit
    /// leaves, and can keep all their times, the smallest go first, in steps of twice the size: most are in
    /// time that way, while by age all would be late together. The largest have their turn in the end.
    /// Where machines are what is lacking it is otherwise: a gang holds those that it finds, and to let a
    /// smaller one take them back leaves them idle for longer.
    fn queue_order(&self, context: &Context, guaranteed: &BTreeSet<JobId>) -> Vec<JobId> {
        let waiting = |j: &&Job| j.unplaced() > 0 && j.paused_until <= context.now;
        let ready = |j: &&Job| j.gang.as_ref().is_none_or(|g| g.admissible());
        let waiting: Vec<&Job> = self.jobs.values().filter(waiting).filter(ready).collect();
        let mut asked: BTreeMap<&str, Resources> = BTreeMap::new();
        for j in waiting.iter().filter(|j| j.gang.is_some()) {
            asked
                .entry(&j.spec.team)
                .or_default()
                .add(j.spec.task_resources.times(i64::from(j.spec.tasks)));
        }
        let over = |t: &Team| {
            asked
                .get(t.name.as_str())
                .is_some_and(|a| self.quota.headroom(t, *a, Resources::default()) < 1)
        };
        let over: BTreeSet<&str> = context
            .settings
            .teams
            .iter()
            .filter(|t| over(t))
            .map(|t| t.name.as_str())
            .collect();
        let mut order: Vec<_> = waiting
            .into_iter()
            .map(|j| {
                let starving = j.starving(context.wall_time, context.types);
                let due = context
                    .settings
                    .start_by(&j.spec, context.wall_time)
                    .filter(|_| !starving)
                    .unwrap_or(Micros::MAX);
                let spec = &j.spec;
                let size = match spec.kind {
                    JobKind::Gang if !over.contains(spec.team.as_str()) => 0,
                    JobKind::Gang if context.settings.late(spec, context.wall_time) => u32::MAX,
                    JobKind::Gang => spec.tasks.ilog2(),
                    JobKind::Array | JobKind::Service => 0,
                };
                (
                    queue_rank(spec.priority, starving),
                    !guaranteed.contains(&spec.id),
                    size,
                    due,
                    spec.submitted,
                    spec.id.clone(),
                )
            })
            .collect();
        order.sort();
        order.into_iter().map(|o| o.5).collect()
    }

    fn refresh_fetches(&mut self) {
        for m in self
            .machines
            .values_mut()
            .filter(|m| m.image_cache.fetches_changed)
        {
            m.image_cache.fetches_changed = false;
            m.image_cache.fetching.clear();
            for t in &m.tasks {
                let Some(j) = self.jobs.get(&t.job) else {
                    continue;
                };
                let blocked = j
                    .tasks
                    .get(&t.index)
                    .is_some_and(|p| p.phase <= Phase::Fetching);
                if blocked && !m.image_cache.has_image(&j.spec.image) {
                    m.image_cache
                        .fetching
                        .insert(j.spec.image.clone(), j.spec.image_mb);
                }
            }
        }
    }

    fn current_capacity(&self, context: &Context) -> SchedulingCycle {
        let usable = |m: &&Machine| {
            m.usable(
                context.now,
                context.settings.heartbeat_interval,
                self.version,
            )
        };
        let mut capacity = FreeCapacity::of(self.machines.values().filter(usable));
        for j in self.jobs.values() {
            for p in j.tasks.values().filter(|p| p.stop.is_some()) {
                if let Some(k) = capacity.find(&p.machine) {
                    capacity.machines[k]
                        .after_preemption
                        .add(j.spec.task_resources);
                }
            }
        }
        SchedulingCycle {
            capacity,
            gang_reservations: BTreeSet::new(),
            preemptible: None,
            unschedulable: Vec::new(),
            quota_held: BTreeMap::new(),
            quota_soon: BTreeMap::new(),
        }
    }

    fn place_job(
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
        let spec = job.spec.clone();
        let gang = job.gang.is_some();
        let held = cycle
            .quota_held
            .get(&spec.team)
            .copied()
            .unwrap_or_default();
        let quota = self
            .quota
            .headroom(team, spec.task_resources, held)
            .min(i64::from(u32::MAX)) as u32;
        let starving = job.starving(context.wall_time, context.types);
        let want = job
            .unplaced()
            .min(quota)
            .min(job.record_headroom(&context.layout))
            .min(job.concurrent_attempts());
        // The turn of an array is for its beginning; the rest of it goes by its own priority again.
        let want = if starving && spec.kind == JobKind::Array {
            want.min(1)
        } else {
            want
        };
        if want == 0 || (gang && want < spec.tasks) {
            // While it waits for its part of the limit it holds what room there is, or both would take their time.
            if gang && starving && cycle.hold_quota(&spec) {
                self.reserve_for_gang(context, id, spec.tasks, cycle);
            }
            return;
        }
        // Like tasks are decided as a class: arrays that can't be told from one that found nothing.
        let within = guaranteed.contains(id);
        let in_time = context
            .settings
            .start_by(&spec, context.wall_time)
            .is_some();
        let terms = (within, in_time, self.may_preempt(context, &spec, within));
        let alike = match spec.kind {
            JobKind::Array => !spec.one_zone && !spec.spread,
            JobKind::Gang => true,
            JobKind::Service => false,
        };
        let alike = alike && job.avoided_machines.is_empty();
        let known_unschedulable = alike
            && cycle.unschedulable.iter().any(|(b, t)| {
                *t == terms && b.team == spec.team && at_least_as_demanding(&spec, b)
            });
        if known_unschedulable && !gang {
            let request = self.resource_request(context, id, want, within);
            return self.requests.extend(request);
        }
        let mut rest = want;
        if !known_unschedulable {
            rest -= self.place_where_image_cached(context, id, want, guaranteed, cycle);
        }
        if rest == 0 {
            return;
        }
        let Some(job) = self.jobs.get(id).filter(|_| !known_unschedulable) else {
            return self.request_capacity(context, id, (rest, want), (within, starving), cycle);
        };
        let mut taken = job.zones(|m| self.machines.get(m).map(|m| m.record.zone.as_str()));
        let mut placement = PlacementRequest::of(job, context.now, context.types);
        let mut plan: Vec<(MachineId, i64)> = Vec::new();
        // Services rather stop lesser work on plain machines than settle on accelerators for good;
        // arrays leave soon, and what saves can be moved at little loss.
        let sizes: &[bool] = if spec.kind == JobKind::Service || spec.task_resources.gpus > 0 {
            &[false]
        } else {
            &[false, true]
        };
        for any_size in sizes {
            // Work that can still be in time is worth keeping such a machine for; other work is not.
            let keep = if in_time {
                Micros::MAX
            } else {
                context.settings.tuning.idle_keep
            };
            placement.any_size = any_size.then_some(keep);
            rest -= cycle.assign(
                &placement,
                &self.machines,
                &mut taken,
                rest,
                !gang,
                &mut plan,
            );
            if rest == 0 {
                break;
            }
        }
        if !plan.is_empty() {
            self.place(context, id, &plan);
        }
        if rest > 0 && terms.2 {
            let mut spoken_for = held;
            spoken_for.add(
                cycle
                    .quota_soon
                    .get(&spec.team)
                    .copied()
                    .unwrap_or_default(),
            );
            let may_run = self
                .quota
                .headroom(team, spec.task_resources, spoken_for)
                .min(i64::from(rest)) as u32;
            if may_run == 0 || (gang && may_run < rest) {
                return;
            }
            rest -= self.preempt_for(context, id, may_run, guaranteed, cycle, false);
        }
        if alike && rest == want {
            cycle.unschedulable.push((spec.clone(), terms));
        }
        if rest == 0 && gang && starving && plan.is_empty() {
            // Its room is being freed: what finds free room meanwhile must not use up the limit.
            cycle.hold_quota(&spec);
        }
        if rest > 0 {
            self.request_capacity(context, id, (rest, want), (within, starving), cycle);
        }
    }

    /// For `rest` of `want` tasks there is no room: what a gang can do with is held for it, and the rest
    /// is told to the leader.
    fn request_capacity(
        &mut self,
        context: &Context,
        id: &JobId,
        (rest, want): (u32, u32),
        (within, starving): (bool, bool),
        cycle: &mut SchedulingCycle,
    ) {
        let Some(job) = self.jobs.get(id) else { return };
        let (mut rest, mut zone) = (rest, None);
        if job.gang.is_some() {
            (rest, zone) = self.reserve_for_gang(context, id, want, cycle);
            if starving {
                cycle.hold_quota(&job.spec);
            }
        }
        if let Some(mut request) = self.resource_request(context, id, rest, within) {
            request.reserved_zone = zone.or(request.reserved_zone);
            self.requests.push(request);
        }
    }

    /// A live service whose image takes longer to fetch than it takes to stop lesser work goes where the
    /// image is, and what saves there is stopped at once: it loses what it did since it last saved.
    /// Returns how many tasks are placed, or have room made for them.
    fn place_where_image_cached(
        &mut self,
        context: &mut Context,
        id: &JobId,
        want: u32,
        guaranteed: &BTreeSet<JobId>,
        cycle: &mut SchedulingCycle,
    ) -> u32 {
        let Some(job) = self.jobs.get(id) else {
            return 0;
        };
        let mut placement = PlacementRequest::of(job, context.now, context.types);
        let live = job.spec.kind == JobKind::Service && job.spec.priority == Priority::Critical;
        let stopped_in =
            context.settings.heartbeat_interval.times(5).over(4) + Micros::from_secs(1);
        if !live || placement.spec.fetch_at_best(context.types) <= stopped_in {
            return 0;
        }
        placement.cached = true;
        let mut taken = job.zones(|m| self.machines.get(m).map(|m| m.record.zone.as_str()));
        let mut plan = Vec::new();
        let assigned = cycle.assign(
            &placement,
            &self.machines,
            &mut taken,
            want,
            true,
            &mut plan,
        );
        if !plan.is_empty() {
            self.place(context, id, &plan);
        }
        if assigned == want {
            return assigned;
        }
        assigned + self.preempt_for(context, id, want - assigned, guaranteed, cycle, true)
    }

    /// A gang that does not find room for all holds what there is, or smaller ones would take every
    /// place that comes free and it would wait for ever. Returns how many places are missing, and
    /// in which zone if it must be one.
    fn reserve_for_gang(
        &self,
        context: &Context,
        id: &JobId,
        want: u32,
        cycle: &mut SchedulingCycle,
    ) -> (u32, Option<String>) {
        let Some(job) = self.jobs.get(id) else {
            return (want, None);
        };
        let spec = &job.spec;
        let placement = PlacementRequest::of(job, context.now, context.types);
        let of = |zone: &'_ str| {
            if spec.one_zone {
                zone.to_owned()
            } else {
                String::new()
            }
        };
        let fits = |k: usize| {
            cycle
                .capacity
                .left(k, Availability::AfterPreemption)
                .fits(spec.task_resources)
                .clamp(0, i64::from(want)) as u32
        };
        let mut by_zone: BTreeMap<String, Vec<(usize, u32)>> = BTreeMap::new();
        for (k, _) in placement.places(&self.machines, &cycle.capacity, |k, _| fits(k) > 0) {
            by_zone
                .entry(of(cycle.capacity.zone(k)))
                .or_default()
                .push((k, fits(k)));
        }
        let mut all: BTreeMap<String, i64> = BTreeMap::new();
        for (zone, n) in placement.by_zone(&cycle.capacity) {
            *all.entry(of(zone)).or_default() += n;
        }
        // Where most is free, and of those where most could become free.
        let free = |z: &String| {
            by_zone
                .get(z)
                .map_or(0, |v| v.iter().map(|x| x.1).sum::<u32>())
                .min(want)
        };
        let Some(zone) = all.keys().max_by_key(|z| (free(z), all[*z])).cloned() else {
            return (want, None);
        };
        let mut missing = want;
        for (k, fits) in by_zone.remove(&zone).unwrap_or_default() {
            let n = fits.min(missing);
            missing -= n;
            cycle
                .capacity
                .hold(k, spec.task_resources.times(i64::from(n)));
            cycle.mark_gang_reservation(spec, k);
        }
        (missing, (spec.one_zone && missing < want).then_some(zone))
    }

    fn place(&mut self, context: &mut Context, id: &JobId, plan: &[(MachineId, i64)]) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let spec = job.spec.clone();
        let generation = job.record.touch();
        job.record.placing = generation;
        let attempt = match &mut job.gang {
            Some(g) => {
                g.reserve_all();
                g.epoch
            }
            None => job.take_attempt(),
        };
        let promoted = job.starving(context.wall_time, context.types);
        let slowest = plan.iter().map(|p| p.1).max().unwrap_or(0);
        let patience = context.settings.gang_wait.over(3).0 / 1_000;
        for (i, (machine, fetch_ms)) in job.next_tasks(plan.len() as u32).into_iter().zip(plan) {
            // A member whose image is there would wait for the others' fetches and give up.
            let early = if job.gang.is_some() {
                (slowest - fetch_ms - patience).max(0)
            } else {
                0
            };
            let key = TaskKey {
                job: id.clone(),
                index: i,
            };
            debug!(task = %key, machine = %machine, epoch = attempt, "placed");
            job.tasks.insert(
                i,
                Placement {
                    machine: machine.clone(),
                    attempt,
                    phase: Phase::Recording,
                    generation,
                    since: context.now,
                    incarnation: 0,
                    not_before: context.now + Micros::from_millis(early),
                    running_since: None,
                    stop: None,
                    promoted,
                },
            );
            self.quota.take(&spec.team, spec.task_resources);
            if let Some(m) = self.machines.get_mut(machine) {
                m.used.add(spec.task_resources);
                m.image_cache.fetches_changed = true;
                m.tasks.insert(key);
                m.usage.idle_since = None;
            }
        }
        if job.gang.is_some() {
            info!(gang = %id, epoch = attempt, size = plan.len(), "gang reserved");
        }
    }

    fn resource_request(
        &self,
        context: &Context,
        id: &JobId,
        count: u32,
        guaranteed: bool,
    ) -> Option<ResourceRequest> {
        let job = self.jobs.get(id)?;
        let s = &job.spec;
        // The rest of what must be in one zone can only go where a part of it is.
        let zones = || job.zones(|m| self.machines.get(m).map(|m| m.record.zone.as_str()));
        let reserved_zone = if s.one_zone {
            zones().into_keys().next()
        } else {
            None
        };
        Some(ResourceRequest {
            job: id.clone(),
            task: s.task_resources,
            count,
            total: s.tasks,
            together: job.gang.is_some(),
            one_zone: s.one_zone,
            reserved_zone,
            spread: s.spread,
            priority: s.priority,
            guaranteed,
            starving: job.starving(context.wall_time, context.types),
            types: s.types.clone(),
            zone: s.zone.clone(),
            spot: s.spot,
            image_mb: s.image_mb,
            estimate: s.estimate,
            waited: context.now - job.waiting_since,
            left: context
                .settings
                .start_by(s, context.wall_time)
                .map(|t| t - context.wall_time),
            service: s.kind == JobKind::Service,
        })
    }
}
