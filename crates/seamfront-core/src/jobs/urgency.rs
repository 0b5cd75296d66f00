//! Priorities and due times that jobs pass on to their dependencies.
//!
//! A job passes on what it requires once all its dependents have passed on theirs. The versions of the jobs' records
//! give the order: a job is accepted after its dependencies, so its version is higher than theirs. A pass therefore
//! visits each job at most once and each dependency once per dependent, however many paths lead to it.

use super::live::{LiveJob, Urgency};
use super::JobRegistry;
use crate::types::{JobId, Micros};
use std::collections::BTreeSet;
use tracing::debug;

/// Time that a job takes in addition to its run time once its dependencies are done: for placement, the image fetch,
/// and the report of its end.
const JOB_OVERHEAD: Micros = Micros::from_secs(10);
/// Number of dependencies examined in one step of the engine after which the pass continues in the next step.
const MAX_DEPENDENCIES_PER_STEP: usize = 10_000;

/// A job in the queue. The derived order compares the versions first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedJob {
    version: u64,
    id: JobId,
}

/// Jobs that have not passed on their current urgency yet, in the order of their versions.
#[derive(Debug, Default)]
pub(super) struct UrgencyQueue {
    jobs: BTreeSet<QueuedJob>,
}

impl UrgencyQueue {
    pub(super) fn insert(&mut self, id: &JobId, job: &LiveJob) {
        self.jobs.insert(QueuedJob {
            version: job.version,
            id: id.clone(),
        });
    }

    fn pop_latest(&mut self) -> Option<JobId> {
        self.jobs.pop_last().map(|job| job.id)
    }

    fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }
}

impl JobRegistry {
    /// Queues a job that has become known, or the rest of whose dependencies has. Its dependents are queued too, since
    /// they may have become known before it: this controller accepts a job before its view shows what another one has
    /// accepted a moment earlier.
    pub(super) fn queue_urgency(&mut self, id: &JobId) {
        let dependents = self.graph.dependents.get(id);
        for id in dependents.into_iter().flatten().chain([id]) {
            if let Some(job) = self.live.get(id).filter(|job| job.dependencies.blocked()) {
                self.urgency_queue.insert(id, job);
            }
        }
    }

    /// Raises the urgency of the dependencies of the queued jobs, direct and indirect: to the jobs' priorities, and to
    /// due times that leave enough time for all jobs that follow.
    pub(crate) fn propagate_urgency(&mut self) {
        if self.urgency_queue.is_empty() {
            return;
        }
        let (mut visited, mut examined) = (0, 0);
        while examined < MAX_DEPENDENCIES_PER_STEP {
            let Some(id) = self.urgency_queue.pop_latest() else {
                break;
            };
            visited += 1;
            examined += self.pass_on_urgency(&id);
            self.push_update(&id);
        }
        self.items_examined += (visited + examined) as i64;
        let waiting = self.urgency_queue.jobs.len();
        debug!(visited, examined, waiting, "urgency propagated");
    }

    /// Raises the urgency of a blocked job's own dependencies. Returns the number of dependencies examined.
    fn pass_on_urgency(&mut self, id: &JobId) -> usize {
        let Some(job) = self.live.get_mut(id) else {
            return 0;
        };
        let version = job.version;
        let required = Urgency {
            priority: job.priority(),
            due: job.due().map(|due| due - job.spec.estimate - JOB_OVERHEAD),
        };
        // Taken out and put back, so that the list is not copied.
        let pending = std::mem::take(&mut job.dependencies.pending);
        for dependency in &pending {
            self.raise_urgency(dependency, required, version);
        }
        let examined = pending.len();
        if let Some(job) = self.live.get_mut(id) {
            job.dependencies.pending = pending;
        }
        examined
    }

    /// Raises the urgency of a dependency of a job with this version, and queues the dependency if that changes it.
    fn raise_urgency(&mut self, id: &JobId, required: Urgency, dependent_version: u64) {
        let Some(job) = self.live.get_mut(id) else {
            return;
        };
        // Never so in records that controllers have written. Ensures that a pass ends with any others.
        if job.version >= dependent_version {
            return;
        }
        let before = (job.priority(), job.due());
        let inherited = job.dependencies.urgency.and_then(|urgency| urgency.due);
        job.dependencies.urgency = Some(Urgency {
            priority: job.priority().min(required.priority),
            due: inherited.into_iter().chain(required.due).min(),
        });
        if (job.priority(), job.due()) != before {
            self.urgency_queue.insert(id, job);
        }
    }
}
