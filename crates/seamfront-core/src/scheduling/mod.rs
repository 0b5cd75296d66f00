//! The scheduling cycle of a shard: which pending jobs get room, in which order, and which work is preempted for
//! them. Tasks of one job are alike and are decided together, as a class.

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

/// Cycles follow changes, but not more often than this: a burst is decided together.
const MIN_CYCLE_INTERVAL: Micros = Micros::from_millis(40);
/// Microseconds without a cycle for each machine visited in the last one. A visit takes well below one, and a
/// controller may have less than a tenth of a core.
const REST_PER_VISIT: i64 = 8;
/// Without a change, a cycle now and then notices what time alone has changed.
const IDLE_CYCLE_INTERVAL: Micros = Micros::from_millis(500);

impl Shard {
    /// Runs a cycle, if it is time for it: places pending jobs, and preempts work for those that may.
    pub fn run_scheduling_cycle(&mut self, context: &mut Context) {
        if self.phase != ShardPhase::Ready
            || !context.lease_valid
            || context.now - self.last_cycle < self.cycle_interval()
        {
            return;
        }
        self.last_cycle = context.now;
        self.dirty = false;
        self.requests.clear();
        let guaranteed = quota::guaranteed(&context.settings.teams, self.jobs.values());
        for m in self.machines.values_mut() {
            refresh_fetches(m, &self.jobs);
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
        self.last_cycle_cost = cycle.capacity.work_done.get();
        self.count_work(
            cycle.capacity.work_done.get() as usize + self.jobs.len() + self.machines.len(),
        );
    }

    /// Time from one cycle to the next. A cycle over many pending jobs and machines costs much: the next one comes
    /// later in proportion.
    fn cycle_interval(&self) -> Micros {
        if !self.dirty {
            return IDLE_CYCLE_INTERVAL;
        }
        let rest = Micros(self.last_cycle_cost * REST_PER_VISIT);
        MIN_CYCLE_INTERVAL.max(rest.min(IDLE_CYCLE_INTERVAL))
    }

    fn is_critical(&self, id: &JobId) -> bool {
        self.jobs
            .get(id)
            .is_some_and(|job| job.spec.priority == Priority::Critical)
    }

    /// Marks the machines with room reserved for gangs, in place of those of the last cycle.
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

/// Brings up to date which images a machine's tasks wait for, if these may have changed.
fn refresh_fetches(m: &mut Machine, jobs: &BTreeMap<JobId, Job>) {
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
