//! The scheduling cycle of a shard: decides which pending jobs get capacity, in which order, and which work is
//! preempted for them. All tasks of a job have the same requirements, so they are scheduled together.

mod admission;
mod assignment;
mod cycle;
mod preemption;
mod queue;
mod reservation;

use crate::job::{Job, Phase};
use crate::machine::Machine;
use crate::quota;
use crate::shard::{Context, Shard, ShardPhase};
use crate::types::{JobId, MachineId, Micros, Priority};
use std::collections::{BTreeMap, BTreeSet};

/// Shortest time between two cycles. A cycle runs after a change; changes in quick succession share one cycle.
const MIN_CYCLE_INTERVAL: Micros = Micros::from_millis(40);
/// Pause after a cycle, in microseconds for each unit of its cost, which is about one machine visited. A visit takes
/// well below a microsecond, but a controller may have less than a tenth of a core.
const PAUSE_MICROS_PER_VISIT: i64 = 8;
/// Longest time between two cycles. Deadlines, backoffs and the like expire without any other change.
const IDLE_CYCLE_INTERVAL: Micros = Micros::from_millis(500);

impl Shard {
    /// Runs a scheduling cycle if one is due: places pending jobs, and preempts other work for jobs that may do so.
    pub fn run_scheduling_cycle(&mut self, context: &mut Context) {
        if self.phase != ShardPhase::Ready
            || !context.claim_verified
            || context.now - self.last_cycle < self.cycle_interval()
        {
            return;
        }
        self.last_cycle = context.now;
        self.dirty = false;
        self.requests.clear();
        let guaranteed = quota::guaranteed(&context.settings.teams, self.jobs.values());
        for m in self.machines.values_mut() {
            refresh_image_fetches(m, &self.jobs);
        }
        let mut cycle = self.start_cycle(context);
        let mut services_reserved = false;
        for id in self.queue_order(context, &guaranteed) {
            if !services_reserved && !self.is_critical(&id) {
                services_reserved = true;
                self.reserve_for_services(context, &mut cycle);
            }
            self.place_job(context, &id, &guaranteed, &mut cycle);
        }
        self.mark_gang_reservations(cycle.gang_reservations);
        self.last_cycle_cost = cycle.capacity.search_cost.get();
        self.count_work(
            cycle.capacity.search_cost.get() as usize + self.jobs.len() + self.machines.len(),
        );
    }

    /// Time from one cycle to the next. It grows with the cost of the last cycle, so that many pending jobs and
    /// machines don't keep the controller busy all the time.
    fn cycle_interval(&self) -> Micros {
        if !self.dirty {
            return IDLE_CYCLE_INTERVAL;
        }
        let pause = Micros(self.last_cycle_cost * PAUSE_MICROS_PER_VISIT);
        MIN_CYCLE_INTERVAL.max(pause.min(IDLE_CYCLE_INTERVAL))
    }

    fn is_critical(&self, id: &JobId) -> bool {
        self.jobs
            .get(id)
            .is_some_and(|job| job.spec.priority == Priority::Critical)
    }

    /// Replaces the marks on machines with capacity reserved for gangs: clears those of the last cycle and sets those
    /// of this one.
    fn mark_gang_reservations(&mut self, reservations: BTreeSet<MachineId>) {
        for id in std::mem::replace(&mut self.gang_reservations, reservations) {
            if let Some(m) = self.machines.get_mut(&id) {
                m.usage.reserved_for_gang = false;
            }
        }
        for id in &self.gang_reservations {
            if let Some(m) = self.machines.get_mut(id) {
                m.usage.reserved_for_gang = true;
            }
        }
    }
}

/// Updates the set of images that the machine is fetching for its tasks, if it may have changed.
fn refresh_image_fetches(m: &mut Machine, jobs: &BTreeMap<JobId, Job>) {
    if !m.image_cache.fetches_changed {
        return;
    }
    m.image_cache.fetches_changed = false;
    m.image_cache.fetching.clear();
    for task in &m.tasks {
        let Some(job) = jobs.get(&task.job) else {
            continue;
        };
        let placement = job.tasks.get(&task.index);
        let fetching = placement.is_some_and(|p| p.phase <= Phase::Fetching);
        if fetching && !m.image_cache.has_image(&job.spec.image) {
            let image = job.spec.image.clone();
            m.image_cache.fetching.insert(image, job.spec.image_mb);
        }
    }
}
