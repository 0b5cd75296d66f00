//! Placing tasks on machines that were chosen for them.

use crate::job::{Phase, Placement};
use crate::shard::{Context, Shard};
use crate::types::{JobId, MachineId, Micros, TaskKey};
use tracing::{debug, info};

/// A machine chosen for one task.
pub(super) struct PlannedPlacement {
    pub(super) machine: MachineId,
    /// How long the task's image takes to fetch there, in milliseconds.
    pub(super) fetch_ms: i64,
}

impl Shard {
    /// Places the next tasks of a job as planned. They are ordered once the record that names them is written.
    pub(super) fn place(&mut self, context: &mut Context, id: &JobId, plan: &[PlannedPlacement]) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let spec = job.spec.clone();
        let is_gang = job.gang.is_some();
        let generation = job.record.touch();
        job.record.placing = generation;
        let attempt = match &mut job.gang {
            Some(gang) => {
                gang.reserve_all();
                gang.epoch
            }
            None => job.take_attempt(),
        };
        let promoted = job.starving(context.wall_time, context.types);
        let slowest_ms = plan.iter().map(|p| p.fetch_ms).max().unwrap_or(0);
        let tasks = job.next_tasks(plan.len() as u32);
        for (index, planned) in tasks.into_iter().zip(plan) {
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
            self.quota.take(&spec.team, spec.task_resources);
            if let Some(m) = self.machines.get_mut(machine) {
                m.used.add(spec.task_resources);
                m.image_cache.fetches_changed = true;
                m.tasks.insert(key);
                m.usage.idle_since = None;
            }
        }
        if is_gang {
            info!(gang = %id, epoch = attempt, size = plan.len(), "gang reserved");
        }
    }
}

/// How much later a gang's member is to start: one whose image is cached would wait for the others' fetches and give
/// up.
fn member_delay(context: &Context, slowest_ms: i64, fetch_ms: i64) -> Micros {
    let patience_ms = context.settings.gang_wait.over(3).0 / 1_000;
    Micros::from_millis((slowest_ms - fetch_ms - patience_ms).max(0))
}
