//! Priorities and deadlines that jobs pass on to their dependencies.

use super::live::{LiveJob, Urgency};
use super::JobRegistry;
use crate::types::{JobId, Micros};

/// Time that a step which follows another takes besides its own run: to be placed, to fetch, to be reported.
const STEP_OVERHEAD: Micros = Micros::from_secs(10);

impl JobRegistry {
    /// Passes on what a blocked job needs of its dependencies, direct and indirect: its priority, and that they are
    /// done in time for all that follows them.
    pub(super) fn propagate_urgency(&mut self, id: &JobId) {
        let mut to_visit = vec![id.clone()];
        while let Some(id) = to_visit.pop() {
            let blocked = |job: &&LiveJob| job.dependencies.blocked();
            let Some(job) = self.live.get(&id).filter(blocked) else {
                continue;
            };
            let needed = Urgency {
                priority: job.priority(),
                due: job.due().map(|due| due - job.spec.estimate - STEP_OVERHEAD),
            };
            for dependency in job.dependencies.pending.clone() {
                if self.raise_urgency(&dependency, needed) {
                    self.push_update(&dependency);
                    to_visit.push(dependency);
                }
            }
        }
    }

    /// Whether that changed anything.
    fn raise_urgency(&mut self, id: &JobId, needed: Urgency) -> bool {
        let Some(job) = self.live.get_mut(id) else {
            return false;
        };
        let before = job.dependencies.urgency;
        let current = before.unwrap_or(Urgency {
            priority: job.spec.priority,
            due: None,
        });
        let after = Some(Urgency {
            priority: current.priority.min(needed.priority),
            due: current.due.into_iter().chain(needed.due).min(),
        });
        job.dependencies.urgency = after;
        after != before
    }
}
