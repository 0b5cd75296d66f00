//! A live job, the state of its dependencies, and what its dependents require of it.

use crate::types::{JobId, JobSpec, Micros, Priority};
use std::collections::BTreeSet;
use std::rc::Rc;

/// A live job in this controller's view.
#[derive(Clone, Debug)]
pub(crate) struct LiveJob {
    /// The job as it was accepted, without the list of its dependencies.
    pub(crate) spec: Rc<JobSpec>,
    /// Version of its record `job/<id>`, which is written only once.
    pub(crate) version: u64,
    /// The shard of its team.
    pub(crate) shard: usize,
    /// Its state in the dependency graph.
    pub(crate) dependencies: JobDependencies,
}

/// State of a live job in the dependency graph.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobDependencies {
    /// Dependencies that are not known to be done.
    pub(super) pending: BTreeSet<JobId>,
    /// Whether a part of its dependency list is still to be read.
    pub(super) list_incomplete: bool,
    /// Wall-clock time at which the last dependency became known to be done.
    pub(super) unblocked_at: Option<Micros>,
    /// Priority and due time required by its dependents, if it has any.
    pub(super) urgency: Option<Urgency>,
}

/// Priority and due time that a job inherits from its dependents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Urgency {
    /// The highest of their priorities and its own.
    pub(super) priority: Priority,
    /// Wall-clock time by which it should be done, if any of them has a deadline.
    pub(super) due: Option<Micros>,
}

impl JobDependencies {
    /// Whether any dependency is not known to be done.
    pub(crate) fn blocked(&self) -> bool {
        self.list_incomplete || !self.pending.is_empty()
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

    /// Wall-clock time by which it should be done: the earlier of its own deadline and the due time that its dependents
    /// require.
    pub(super) fn due(&self) -> Option<Micros> {
        let own = self.spec.deadline.map(|d| self.spec.submitted + d);
        let of_dependents = self.dependencies.urgency.and_then(|urgency| urgency.due);
        own.into_iter().chain(of_dependents).min()
    }

    /// The highest of its own priority and those of its dependents.
    pub(super) fn priority(&self) -> Priority {
        let own = self.spec.priority;
        self.dependencies
            .urgency
            .map_or(own, |urgency| urgency.priority.min(own))
    }

    /// The spec by which it is scheduled now, with the priority and deadline that its dependents require. The deadline
    /// still counts from the submission; all other times count from when the last dependency was done.
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
