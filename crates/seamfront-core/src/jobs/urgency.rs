//! Priorities and due times that jobs pass on to their dependencies.

use super::live::{LiveJob, Urgency};
use super::JobRegistry;
use crate::types::{JobId, Micros};
use tracing::debug;

/// Time that a job takes in addition to its run time once its dependencies are done: for placement, the image fetch,
/// and the report of its end.
const JOB_OVERHEAD: Micros = Micros::from_secs(10);

impl JobRegistry {
    /// Raises the urgency of the dependencies of a blocked job, direct and indirect: to its priority, and to due times
    /// that leave enough time for all jobs that follow.
    pub(super) fn propagate_urgency(&mut self, id: &JobId) {
        let (mut visited, mut examined) = (0_usize, 0_usize);
        let mut to_visit = vec![id.clone()];
        while let Some(id) = to_visit.pop() {
            let blocked = |job: &&LiveJob| job.dependencies.blocked();
            let Some(job) = self.live.get(&id).filter(blocked) else {
                continue;
            };
            let required = Urgency {
                priority: job.priority(),
                due: job.due().map(|due| due - job.spec.estimate - JOB_OVERHEAD),
            };
            visited += 1;
            examined += job.dependencies.pending.len();
            for dependency in job.dependencies.pending.clone() {
                if self.raise_urgency(&dependency, required) {
                    self.push_update(&dependency);
                    to_visit.push(dependency);
                }
            }
        }
        self.items_examined += (visited + examined) as i64;
        if visited > 0 {
            debug!(job = %id, visited, examined, "urgency propagated");
        }
    }

    /// Returns whether the urgency of the job changed.
    fn raise_urgency(&mut self, id: &JobId, required: Urgency) -> bool {
        let Some(job) = self.live.get_mut(id) else {
            return false;
        };
        let before = job.dependencies.urgency;
        let current = before.unwrap_or(Urgency {
            priority: job.spec.priority,
            due: None,
        });
        let after = Some(Urgency {
            priority: current.priority.min(required.priority),
            due: current.due.into_iter().chain(required.due).min(),
        });
        job.dependencies.urgency = after;
        after != before
    }
}
