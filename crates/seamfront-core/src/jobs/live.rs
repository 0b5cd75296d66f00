//! A live job and its place among its dependencies and dependents.

use crate::types::{JobId, JobSpec, Micros, Priority};
use std::collections::BTreeSet;
use std::rc::Rc;

/// A live job in this controller's view.
#[derive(Clone, Debug)]
pub(crate) struct LiveJob {
    /// The job as it was accepted.
    pub(crate) spec: Rc<JobSpec>,
    /// Version of `job/<id>`, which is written once only.
    pub(crate) version: u64,
    /// The shard of its team.
    pub(crate) shard: usize,
    /// Its place in the dependency graph.
    pub(crate) dependencies: JobDependencies,
}

/// A live job's place in the dependency graph.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobDependencies {
    /// Dependencies that are not known to be done.
    pub(super) pending: BTreeSet<JobId>,
    /// The rest of the list is still to be read.
    pub(super) unread: bool,
    /// Time of day when the last dependency was known to be done.
    pub(super) unblocked_at: Option<Micros>,
    /// What its dependents need of it.
    pub(super) urgency: Option<Urgency>,
}

/// How urgent a job is for the sake of its dependents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Urgency {
    /// The most important priority among them, and its own.
    pub(super) priority: Priority,
    /// Time of day by which it should be done.
    pub(super) due: Option<Micros>,
}

impl JobDependencies {
    /// Whether any dependency is not known to be done.
    pub(crate) fn blocked(&self) -> bool {
        self.unread || !self.pending.is_empty()
    }
}

impl LiveJob {
    pub(super) fn new(spec: Rc<JobSpec>, version: u64, shard: usize) -> LiveJob {
        LiveJob {
            spec,
            version,
            shard,
            dependencies: JobDependencies::default(),
        }
    }

    /// By what time of day it should be done, for its own sake and that of its dependents.
    pub(super) fn due(&self) -> Option<Micros> {
        let own = self.spec.deadline.map(|d| self.spec.submitted + d);
        let of_dependents = self.dependencies.urgency.and_then(|urgency| urgency.due);
        own.into_iter().chain(of_dependents).min()
    }

    /// The more important of its own priority and those of its dependents.
    pub(super) fn priority(&self) -> Priority {
        let own = self.spec.priority;
        self.dependencies
            .urgency
            .map_or(own, |urgency| urgency.priority.min(own))
    }

    /// What it is scheduled by as things stand. Its deadline counts from its submission, its other times from when
    /// the last dependency was done.
    pub(crate) fn effective_spec(&self) -> Rc<JobSpec> {
        let own = &self.spec;
        let submitted = self.dependencies.unblocked_at.unwrap_or(own.submitted);
        let deadline = self.due().map(|due| due - submitted);
        let priority = self.priority();
        if submitted == own.submitted && deadline == own.deadline && priority == own.priority {
            return own.clone();
        }
        Rc::new(JobSpec {
            priority,
            deadline,
            submitted,
            ..(**own).clone()
        })
    }
}
