//! Which live jobs are blocked on which dependencies.

use super::cascade::CascadeCancellation;
use super::{EndRecord, JobContext, JobRegistry, LiveJob};
use crate::timer::{due, COUNTS_LOG_INTERVAL};
use crate::types::{JobId, Micros};
use std::collections::{BTreeMap, BTreeSet};
use tracing::{debug, info};

/// State of a request to the store that is repeated until it succeeds.
#[derive(Debug, Default)]
pub(super) struct RetryState {
    pub(super) in_flight: bool,
    pub(super) retry_at: Micros,
}

impl RetryState {
    pub(super) fn due(&self, now: Micros) -> bool {
        !self.in_flight && self.retry_at <= now
    }

    pub(super) fn retry(&mut self, at: Micros) {
        self.in_flight = false;
        self.retry_at = at;
    }
}

/// Edges from dependencies to the live jobs that are blocked on them, and what is still to be read or cancelled.
#[derive(Debug, Default)]
pub(super) struct DependencyGraph {
    /// For each dependency, the live jobs that are blocked on it.
    pub(super) dependents: BTreeMap<JobId, BTreeSet<JobId>>,
    /// Dependencies that are not live in the view; how they ended is read from the store.
    pub(super) unresolved: BTreeMap<JobId, RetryState>,
    /// Live jobs to be cancelled because a dependency is cancelled.
    pub(super) cascades: BTreeMap<JobId, CascadeCancellation>,
    /// Live jobs whose dependency lists have not been read completely.
    pub(super) incomplete_lists: BTreeMap<JobId, RetryState>,
}

/// Jobs whose dependencies became known to be done since the last line about them. After a restart these are all live
/// jobs with dependencies.
#[derive(Debug, Default)]
pub(super) struct UnblockedJobs {
    count: usize,
    next_log: Micros,
}

impl JobRegistry {
    /// Logs the number of unblocked jobs if that is due.
    pub(super) fn log_unblocked(&mut self, now: Micros) {
        let UnblockedJobs { count, next_log } = &mut self.unblocked;
        if *count > 0 && due(next_log, now, COUNTS_LOG_INTERVAL) {
            info!(jobs = *count, "dependencies of jobs are done");
            *count = 0;
        }
    }

    /// Adds a job that has just become live to the graph. Returns whether it has dependencies.
    pub(super) fn register_dependencies(
        &mut self,
        context: JobContext,
        id: &JobId,
        dependencies: Vec<JobId>,
    ) -> bool {
        let Some(job) = self.live.get_mut(id) else {
            return false;
        };
        let in_parts = job.spec.dependency_parts > 0;
        if dependencies.is_empty() && !in_parts {
            return false;
        }
        if in_parts {
            job.dependencies.list_incomplete = true;
            self.graph
                .incomplete_lists
                .insert(id.clone(), RetryState::default());
        }
        debug!(job = %id, ?dependencies, "blocked on dependencies");
        self.add_dependencies(context, id, dependencies);
        let Some(job) = self.live.get_mut(id) else {
            return false;
        };
        if !job.dependencies.blocked() {
            job.dependencies.unblocked_at = Some(context.wall_time);
        }
        true
    }

    /// Adds dependencies of a live job to the graph, except those known to be done. For one known to be cancelled,
    /// schedules the cancellation of the job.
    pub(super) fn add_dependencies(
        &mut self,
        context: JobContext,
        id: &JobId,
        dependencies: Vec<JobId>,
    ) {
        let mut pending = Vec::new();
        for dependency in dependencies.into_iter().filter(|other| other != id) {
            let end = self.ended.get(&dependency);
            if end.is_some_and(|end| !end.cancelled) {
                continue;
            }
            let dependency = self.shared_id(dependency);
            pending.push(dependency.clone());
            if end.is_some() {
                self.schedule_cascade(context, id, &dependency);
                continue;
            }
            if !self.live.contains_key(&dependency) {
                self.graph.unresolved.entry(dependency.clone()).or_default();
            }
            self.graph
                .dependents
                .entry(dependency)
                .or_default()
                .insert(id.clone());
        }
        if let Some(job) = self.live.get_mut(id) {
            // A set that is built at once takes less memory than one that grows.
            pending.extend(std::mem::take(&mut job.dependencies.pending));
            job.dependencies.pending = pending.into_iter().collect();
        }
    }

    /// The same id with the text that the graph stores already, so that a dependency's text is stored once however many
    /// jobs name it.
    fn shared_id(&self, id: JobId) -> JobId {
        let live = self.live.get_key_value(&id).map(|(id, _)| id);
        let named = self.graph.dependents.get_key_value(&id).map(|(id, _)| id);
        live.or(named).cloned().unwrap_or(id)
    }

    /// Removes a job that is no longer live. If other jobs depend on it, its end is applied to them, or read from the
    /// store if it is not known.
    pub(super) fn remove_from_graph(&mut self, context: JobContext, id: &JobId, job: &LiveJob) {
        for dependency in &job.dependencies.pending {
            if let Some(dependents) = self.graph.dependents.get_mut(dependency) {
                dependents.remove(id);
                if dependents.is_empty() {
                    self.graph.dependents.remove(dependency);
                    self.graph.unresolved.remove(dependency);
                }
            }
        }
        self.graph.cascades.remove(id);
        self.graph.incomplete_lists.remove(id);
        if self.graph.dependents.contains_key(id) {
            match self.ended.get(id) {
                Some(end) => self.dependency_ended(context, id, end),
                None => {
                    self.graph.unresolved.entry(id.clone()).or_default();
                }
            }
        }
    }

    /// Applies a stored end to the jobs that depend on the ended one: unblocks them, or schedules their cancellation.
    pub(super) fn dependency_ended(
        &mut self,
        context: JobContext,
        dependency: &JobId,
        end: EndRecord,
    ) {
        self.graph.unresolved.remove(dependency);
        let dependents = self.graph.dependents.remove(dependency);
        for id in dependents.unwrap_or_default() {
            if end.cancelled {
                self.schedule_cascade(context, &id, dependency);
            } else if let Some(job) = self.live.get_mut(&id) {
                job.dependencies.pending.remove(dependency);
                self.unblock_if_ready(context, &id);
            }
        }
    }

    /// Lets a job start if none of its dependencies is pending any more.
    pub(super) fn unblock_if_ready(&mut self, context: JobContext, id: &JobId) {
        let unblocked = |job: &&mut LiveJob| !job.dependencies.blocked();
        let Some(job) = self.live.get_mut(id).filter(unblocked) else {
            return;
        };
        if job.dependencies.unblocked_at.is_none() {
            job.dependencies.unblocked_at = Some(context.wall_time);
            debug!(job = %id, "all dependencies are done");
            self.unblocked.count += 1;
        }
        self.push_update(id);
    }

    /// Blocked jobs of which it is uncertain whether a dependency, direct or indirect, is cancelled. Of all other live
    /// jobs, every dependency is live in the view or known to be done.
    pub(crate) fn uncertain_jobs(&mut self) -> BTreeSet<JobId> {
        let graph = &self.graph;
        let not_live = graph
            .unresolved
            .keys()
            .filter(|id| !self.live.contains_key(*id));
        let mut to_visit: Vec<&JobId> = not_live
            .filter_map(|id| graph.dependents.get(id))
            .flatten()
            .chain(graph.incomplete_lists.keys())
            .chain(graph.cascades.keys())
            .collect();
        let mut uncertain = BTreeSet::new();
        let mut examined = to_visit.len();
        while let Some(id) = to_visit.pop() {
            if !uncertain.insert(id.clone()) {
                continue;
            }
            let dependents = graph.dependents.get(id).into_iter().flatten();
            to_visit.extend(dependents.inspect(|_| examined += 1));
        }
        self.items_examined += examined as i64;
        uncertain
    }
}
