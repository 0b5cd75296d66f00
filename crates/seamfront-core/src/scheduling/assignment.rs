//! Placing tasks on the machines that were chosen for them, with the state of job, quota and machine that goes with it.

use crate::job::{Phase, Placement};
use crate::shard::{Context, Shard};
use crate::types::{JobId, MachineId, Micros, TaskKey};
use tracing::debug;

/// A machine chosen for one task.
pub(super) struct PlannedPlacement {
    pub(super) machine: MachineId,
    /// Estimated time to fetch the task's image there, in milliseconds.
    pub(super) fetch_ms: i64,
}

impl Shard {
    /// Places the next tasks of a job as planned. The orders to start them follow once the job's record that lists them
    /// is stored.
    pub(super) fn place_tasks(
        &mut self,
        context: &mut Context,
        id: &JobId,
        mut plan: Vec<PlannedPlacement>,
    ) {
        // Tasks on one machine get consecutive numbers, so that the record lists them as one run.
        plan.sort_by(|a, b| a.machine.cmp(&b.machine));
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let spec = job.spec.clone();
        let is_gang = job.gang.is_some();
        let generation = job.record.mark_changed();
        job.record.placement_generation = generation;
        let attempt = match &mut job.gang {
            Some(gang) => {
                gang.reserve_all();
                gang.epoch
            }
            None => job.next_attempt_number(),
        };
        let promoted = job.starving(context.wall_time, context.types);
        let slowest_ms = plan.iter().map(|p| p.fetch_ms).max().unwrap_or(0);
        let tasks = job.next_tasks(plan.len() as u32);
        for (index, planned) in tasks.into_iter().zip(&plan) {
            let delay = if is_gang {
                member_delay(context, slowest_ms, planned.fetch_ms)
            } else {
                Micros::ZERO
            };
            let machine = &planned.machine;
            let key = TaskKey {
                job: id.clone(),
                index,
            };
            debug!(task = %key, machine = %machine, epoch = attempt, "task placed");
            let placement = Placement {
                machine: machine.clone(),
                attempt,
                phase: Phase::Recording,
                generation,
                since: context.now,
                incarnation: 0,
                not_before: context.now + delay,
                running_since: None,
                stop: None,
                promoted,
            };
            job.tasks.insert(index, placement);
            self.quota.charge(&spec.team, spec.task_resources);
            if let Some(m) = self.machines.get_mut(machine) {
                m.used.add(spec.task_resources);
                m.image_cache.fetches_changed = true;
                m.tasks.insert(key);
                m.usage.idle_since = None;
            }
        }
        if is_gang {
            debug!(gang = %id, epoch = attempt, size = plan.len(), "gang reserved");
        }
    }
}

/// Start delay of a gang's member. Without it, a member whose image is cached would wait for the members that still
/// fetch theirs, and time out.
fn member_delay(context: &Context, slowest_ms: i64, fetch_ms: i64) -> Micros {
    let tolerated_wait_ms = context.settings.gang_wait.divided_by(3).0 / 1_000;
    Micros::from_millis((slowest_ms - fetch_ms - tolerated_wait_ms).max(0))
}
