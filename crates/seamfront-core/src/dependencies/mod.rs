//! Jobs that wait for others. What a job needs stands in its record, and how the needed ones ended in theirs:
//! whatever becomes of a controller, any other finds all of it there. Each keeps a picture of who waits for
//! whom among the live jobs; it follows from the view of `job/`, in which a needed job is seen before the one
//! that needs it.
//!
//! A job starts only once the store has said of each that it needs that it is done. One that needs a cancelled
//! job is cancelled in turn, link by link: the end of the first is durable, and the rest follows from it.

use crate::engine::{Engine, LiveJob};
use crate::port::{
    Answer, ClientRequestId, Entry, JobState, StoreReply, StoreRequest, SubmissionError, Write,
};
use crate::shard::ShardPhase;
use crate::types::{JobId, JobSpec, Micros, Priority};
use crate::user_api::{end_conditions, end_key, end_writes, job_key, EndRecord, LookupPurpose};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tracing::{debug, info, warn};

mod answers;
mod submissions;

/// A live job's place in its chain.
#[derive(Clone, Debug, Default)]
pub struct JobDependencies {
    /// Jobs that it needs and that are not known to be done.
    dependencies: BTreeSet<JobId>,
    /// The rest of the list is still to be read.
    unread: bool,
    /// Time of day when the last job that it needs was known to be done.
    ready: Option<Micros>,
    /// What jobs that need it ask of it: how important, and by what time of day it should be done.
    urgency: Option<(Priority, Option<Micros>)>,
}

impl JobDependencies {
    /// Whether any job that it needs is not known to be done.
    pub fn blocked(&self) -> bool {
        self.unread || !self.dependencies.is_empty()
    }
}

impl LiveJob {
    /// By what time of day it should be done, for its own sake and that of the jobs that need it.
    fn due(&self) -> Option<Micros> {
        let own = self.spec.deadline.map(|d| self.spec.submitted + d);
        let others = self.dependencies.urgency.and_then(|u| u.1);
        own.into_iter().chain(others).min()
    }

    fn priority(&self) -> Priority {
        self.dependencies
            .urgency
            .map_or(self.spec.priority, |u| u.0.min(self.spec.priority))
    }

    /// What it asks for as things stand. Its deadline counts from its submission, its other times from when the
    /// last job that it needs was done.
    pub fn effective_spec(&self) -> Rc<JobSpec> {
        let (ready, due) = (
            self.dependencies.ready.unwrap_or(self.spec.submitted),
            self.due(),
        );
        let deadline = due.map(|d| d - ready);
        if ready == self.spec.submitted
            && deadline == self.spec.deadline
            && self.priority() == self.spec.priority
        {
            return self.spec.clone();
        }
        Rc::new(JobSpec {
            submitted: ready,
            deadline,
            priority: self.priority(),
            ..(*self.spec).clone()
        })
    }
}

#[derive(Debug, Default)]
struct RetryState {
    busy: bool,
    at: Micros,
}

#[derive(Debug)]
struct CascadeCancellation {
    /// The cancelled job that it needs.
    of: JobId,
    busy: bool,
    at: Micros,
    /// It made a transaction with others fail, and is tried by itself.
    alone: bool,
}

/// What this controller knows of chains.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    /// By needed job: the live jobs that wait for it.
    dependents: BTreeMap<JobId, BTreeSet<JobId>>,
    /// Needed jobs that are not live in the view: the store is asked how they ended.
    unresolved: BTreeMap<JobId, RetryState>,
    /// Live jobs that need a cancelled one.
    cascades: BTreeMap<JobId, CascadeCancellation>,
    /// Live jobs whose list is to be read on.
    unread: BTreeMap<JobId, RetryState>,
    /// Users who ask about a job that waits while it is not known yet how one that it needs ended, and until when
    /// the answer is worth waiting for.
    undetermined: Vec<(StatusQuery, Micros)>,
}

/// A user's question about a job that waits.
#[derive(Clone, Debug)]
pub struct StatusQuery {
    /// The request that waits for the answer.
    pub to: ClientRequestId,
    /// The job asked about.
    pub id: JobId,
    /// It was created for this very request.
    pub created: bool,
}

/// Questions to the store at once, so that a crowd of chains leaves it room for everything else.
const ASKED_MAX: usize = 8;
const AGAIN: Micros = Micros::from_millis(400);
/// An answer of the store, as a rule; users wait 2 s.
const UNDETERMINED_TIMEOUT: Micros = Micros::from_millis(1_000);
/// Whoever holds the shard cancels at once; others see to it if nobody did.
const OTHERS_AFTER: Micros = Micros::from_secs(3);
/// A step that follows another needs so long besides its own run: to be placed, to fetch, to be reported.
const STEP: Micros = Micros::from_secs(10);

fn dependencies_prefix(id: &JobId) -> String {
    format!("needs/{id}/")
}

fn dependencies_key(id: &JobId, part: usize) -> String {
    format!("needs/{id}/{part:05}")
}

/// An outstanding request on behalf of dependencies between jobs.
pub(crate) enum DependencyRequest {
    Known {
        to: ClientRequestId,
        spec: Rc<JobSpec>,
        left: Vec<JobId>,
        end: bool,
    },
    PartsWritten {
        to: ClientRequestId,
        spec: Rc<JobSpec>,
        parts: Vec<Vec<JobId>>,
        next: usize,
    },
    SubmitCancelled {
        to: ClientRequestId,
        spec: Rc<JobSpec>,
    },
    PartsRead {
        id: JobId,
        version: u64,
        got: Vec<Entry>,
    },
    End {
        id: JobId,
    },
    CascadeCancel {
        ids: Vec<JobId>,
    },
    Refresh {
        polls: Vec<StatusQuery>,
        revision: u64,
    },
}

impl Engine {
    /// Routes a reply of the store to what asked for it.
    pub(crate) fn dependency_reply(&mut self, request: DependencyRequest, reply: StoreReply) {
        match request {
            DependencyRequest::Known {
                to,
                spec,
                left,
                end,
            } => self.dependency_known_reply(to, spec, left, end, reply),
            DependencyRequest::PartsWritten {
                to,
                spec,
                parts,
                next,
            } => self.dependency_parts_written(to, spec, parts, next, &reply),
            DependencyRequest::SubmitCancelled { to, spec } => {
                self.submit_cancelled_reply(to, &spec, &reply)
            }
            DependencyRequest::PartsRead { id, version, got } => {
                self.dependency_parts_read(id, version, got, reply)
            }
            DependencyRequest::End { id } => self.dependency_end_reply(&id, reply),
            DependencyRequest::CascadeCancel { ids } => self.cascade_reply(&ids, &reply),
            DependencyRequest::Refresh { polls, revision } => {
                self.refresh_reply(polls, revision, reply)
            }
        }
    }

    // ---- who waits for whom ----------------------------------------------------------------

    /// Whether it waits.
    pub(crate) fn register_dependencies(&mut self, id: &JobId) -> bool {
        let Some(j) = self.jobs.get_mut(id) else {
            return false;
        };
        let dependencies = j.spec.dependencies.clone();
        if dependencies.is_empty() && j.spec.dependency_parts == 0 {
            return false;
        }
        if j.spec.dependency_parts > 0 {
            j.dependencies.unread = true;
            self.dependencies
                .unread
                .insert(id.clone(), RetryState::default());
        }
        debug!(job = %id, dependencies = ?dependencies, "waits for other jobs");
        self.add_dependencies(id, dependencies);
        let Some(j) = self.jobs.get_mut(id) else {
            return false;
        };
        if !j.dependencies.blocked() {
            j.dependencies.ready = Some(self.wall_time);
        }
        true
    }

    fn add_dependencies(&mut self, id: &JobId, dependencies: Vec<JobId>) {
        for n in dependencies.into_iter().filter(|n| n != id) {
            let end = self.users.ended.get(&n);
            if end.is_some_and(|e| !e.cancelled) {
                continue;
            }
            if let Some(j) = self.jobs.get_mut(id) {
                j.dependencies.dependencies.insert(n.clone());
            }
            if end.is_some() {
                self.cascade_cancel(id, &n);
                continue;
            }
            if !self.jobs.contains_key(&n) {
                self.dependencies.unresolved.entry(n.clone()).or_default();
            }
            self.dependencies
                .dependents
                .entry(n)
                .or_default()
                .insert(id.clone());
        }
    }

    /// It is live no more: what it needed is of no interest for its sake, and who needs it is to learn how it ended.
    pub(crate) fn remove_from_graph(&mut self, id: &JobId, job: &LiveJob) {
        for n in &job.dependencies.dependencies {
            if let Some(w) = self.dependencies.dependents.get_mut(n) {
                w.remove(id);
                if w.is_empty() {
                    self.dependencies.dependents.remove(n);
                    self.dependencies.unresolved.remove(n);
                }
            }
        }
        self.dependencies.cascades.remove(id);
        self.dependencies.unread.remove(id);
        if self.dependencies.dependents.contains_key(id) {
            match self.users.ended.get(id) {
                Some(end) => self.dependency_ended(id, end),
                None => {
                    self.dependencies.unresolved.entry(id.clone()).or_default();
                }
            }
        }
    }

    /// The store holds this end of a job that others wait for.
    fn dependency_ended(&mut self, task_resources: &JobId, end: EndRecord) {
        self.dependencies.unresolved.remove(task_resources);
        for id in self
            .dependencies
            .dependents
            .remove(task_resources)
            .unwrap_or_default()
        {
            if end.cancelled {
                self.cascade_cancel(&id, task_resources);
            } else if let Some(j) = self.jobs.get_mut(&id) {
                j.dependencies.dependencies.remove(task_resources);
                self.unblock_if_ready(&id);
            }
        }
    }

    fn cascade_cancel(&mut self, id: &JobId, of: &JobId) {
        let Some(j) = self.jobs.get(id) else { return };
        let wait = if self.shards[j.shard].is_some() {
            Micros::ZERO
        } else {
            OTHERS_AFTER
        };
        let orphan = CascadeCancellation {
            of: of.clone(),
            busy: false,
            at: self.now + wait,
            alone: false,
        };
        self.dependencies
            .cascades
            .entry(id.clone())
            .or_insert(orphan);
    }

    /// If nothing that it needs is missing any more, it may start.
    fn unblock_if_ready(&mut self, id: &JobId) {
        let wall_time = self.wall_time;
        let Some(j) = self.jobs.get_mut(id).filter(|j| !j.dependencies.blocked()) else {
            return;
        };
        if j.dependencies.ready.is_none() {
            j.dependencies.ready = Some(wall_time);
            info!(job = %id, "all that it needs is done");
        }
        self.notify_shard(id);
    }

    pub(crate) fn notify_shard(&mut self, id: &JobId) {
        let Some(j) = self.jobs.get(id) else { return };
        let (spec, blocked, shard) = (j.effective_spec(), j.dependencies.blocked(), j.shard);
        let now = self.now;
        self.with_shard(shard, |s, _| {
            if s.phase == ShardPhase::Ready {
                s.update_dependencies(id, spec, blocked, now);
            }
        });
    }

    /// What a job that waits asks of those that it needs, directly or through others: its priority, and that they
    /// are done in time for all that follows them.
    pub(crate) fn propagate_urgency(&mut self, id: &JobId) {
        let mut todo = vec![id.clone()];
        while let Some(id) = todo.pop() {
            let Some(j) = self.jobs.get(&id).filter(|j| j.dependencies.blocked()) else {
                continue;
            };
            let due = j.due().map(|d| d - j.spec.estimate - STEP);
            let (priority, dependencies) = (j.priority(), j.dependencies.dependencies.clone());
            for n in dependencies {
                let Some(task_resources) = self.jobs.get_mut(&n) else {
                    continue;
                };
                let before = task_resources.dependencies.urgency;
                let (p, d) = before.unwrap_or((task_resources.spec.priority, None));
                let after = Some((p.min(priority), d.into_iter().chain(due).min()));
                if after != before {
                    task_resources.dependencies.urgency = after;
                    self.notify_shard(&n);
                    todo.push(n);
                }
            }
        }
    }

    // ---- questions and cancellations -------------------------------------------------------

    pub(crate) fn dependencies_tick(&mut self) {
        let undetermined = std::mem::take(&mut self.dependencies.undetermined);
        self.answer_determined(undetermined);
        let now = self.now;
        let due = |a: &RetryState| !a.busy && a.at <= now;
        let asking = self
            .dependencies
            .unresolved
            .values()
            .filter(|a| a.busy)
            .count();
        let ask: Vec<JobId> = self
            .dependencies
            .unresolved
            .iter()
            .filter(|a| due(a.1))
            .map(|a| a.0.clone())
            .take(ASKED_MAX.saturating_sub(asking))
            .collect();
        for id in ask {
            self.dependencies.unresolved.insert(
                id.clone(),
                RetryState {
                    busy: true,
                    at: now,
                },
            );
            self.send_to_store(
                StoreRequest::Get { key: end_key(&id) },
                DependencyRequest::End { id },
            );
        }
        let read: Vec<JobId> = self
            .dependencies
            .unread
            .iter()
            .filter(|a| due(a.1))
            .map(|a| a.0.clone())
            .take(2)
            .collect();
        for id in read {
            let Some(version) = self.jobs.get(&id).map(|j| j.version) else {
                continue;
            };
            self.dependencies.unread.insert(
                id.clone(),
                RetryState {
                    busy: true,
                    at: now,
                },
            );
            let request = StoreRequest::List {
                prefix: dependencies_prefix(&id),
                after: None,
            };
            self.send_to_store(
                request,
                DependencyRequest::PartsRead {
                    id,
                    version,
                    got: Vec::new(),
                },
            );
        }
        let most = (self.settings.txn_ops / 2).clamp(1, 16);
        let mut together = Vec::new();
        let mut batches: Vec<Vec<JobId>> = Vec::new();
        for (id, o) in self
            .dependencies
            .cascades
            .iter_mut()
            .filter(|o| !o.1.busy && o.1.at <= now)
            .take(most * 2)
        {
            o.busy = true;
            if o.alone {
                batches.push(vec![id.clone()]);
            } else {
                together.push(id.clone());
            }
        }
        batches.extend(together.chunks(most).map(<[JobId]>::to_vec));
        for ids in batches {
            self.cancel_dependents(ids);
        }
    }

    fn cancel_dependents(&mut self, ids: Vec<JobId>) {
        let (mut conditions, mut writes) = (Vec::new(), Vec::new());
        for id in &ids {
            let Some(j) = self.jobs.get(id) else { continue };
            conditions.extend(end_conditions(id, j.version));
            writes.extend(end_writes(
                id,
                EndRecord {
                    cancelled: true,
                    tasks: j.spec.tasks,
                },
            ));
        }
        if !writes.is_empty() {
            self.send_to_store(
                StoreRequest::CompareAndSwap { conditions, writes },
                DependencyRequest::CascadeCancel { ids },
            );
        }
    }

    pub(crate) fn cascade_reply(&mut self, ids: &[JobId], reply: &StoreReply) {
        for id in ids {
            let Some(j) = self.jobs.get(id) else { continue };
            let tasks = j.spec.tasks;
            if let StoreReply::Committed { .. } = reply {
                let of = self
                    .dependencies
                    .cascades
                    .get(id)
                    .map(|o| o.of.to_string())
                    .unwrap_or_default();
                info!(job = %id, dependencies = %of, "cancelled with a job that it needs");
                self.end_confirmed(
                    id,
                    EndRecord {
                        cancelled: true,
                        tasks,
                    },
                );
            } else if let Some(o) = self.dependencies.cascades.get_mut(id) {
                // One that has ended meanwhile must not keep the others from it; the view will show it.
                o.alone |= matches!(reply, StoreReply::Conflict { .. });
                (o.busy, o.at) = (false, self.now + AGAIN);
            }
        }
    }

    pub(crate) fn dependency_end_reply(&mut self, id: &JobId, reply: StoreReply) {
        let Some(asked) = self.dependencies.unresolved.get_mut(id) else {
            return;
        };
        (asked.busy, asked.at) = (false, self.now + AGAIN);
        match reply {
            StoreReply::Entry(e) => match serde_json::from_value::<EndRecord>(e.value) {
                Ok(end) => {
                    self.users.ended.insert(id, end);
                    self.dependency_ended(id, end);
                }
                Err(e) => warn!(job = %id, %e, "unreadable end of a job"),
            },
            // Accepted a moment ago by another controller: the view will show it.
            StoreReply::Missing if self.jobs.contains_key(id) => {
                self.dependencies.unresolved.remove(id);
            }
            _ => {}
        }
    }
}
