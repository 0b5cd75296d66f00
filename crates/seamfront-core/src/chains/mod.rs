//! Jobs that wait for others. What a job needs stands in its record, and how the needed ones ended in theirs:
//! whatever becomes of a controller, any other finds all of it there. Each keeps a picture of who waits for
//! whom among the live jobs; it follows from the view of `job/`, in which a needed job is seen before the one
//! that needs it.
//!
//! A job starts only once the store has said of each that it needs that it is done. One that needs a cancelled
//! job is cancelled in turn, link by link: the end of the first is durable, and the rest follows from it.

use crate::engine::{Engine, LiveJob, Pending};
use crate::port::*;
use crate::shard::ShardPhase;
use crate::types::*;
use crate::users::{end_conditions, end_key, end_writes, job_key, EndRecord, Wish};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tracing::{debug, info, warn};

mod answers;
mod submissions;

/// A live job's place in its chain.
#[derive(Clone, Debug, Default)]
pub struct Chain {
    /// Jobs that it needs and that are not known to be done.
    needs: BTreeSet<JobId>,
    /// The rest of the list is still to be read.
    unread: bool,
    /// Time of day when the last job that it needs was known to be done.
    ready: Option<Micros>,
    /// What jobs that need it ask of it: how important, and by what time of day it should be done.
    urgency: Option<(Priority, Option<Micros>)>,
}

impl Chain {
    /// Whether any job that it needs is not known to be done.
    pub fn waits(&self) -> bool {
        self.unread || !self.needs.is_empty()
    }
}

impl LiveJob {
    /// By what time of day it should be done, for its own sake and that of the jobs that need it.
    fn due(&self) -> Option<Micros> {
        let own = self.spec.deadline.map(|d| self.spec.submitted + d);
        let others = self.chain.urgency.and_then(|u| u.1);
        own.into_iter().chain(others).min()
    }

    fn priority(&self) -> Priority {
        self.chain
            .urgency
            .map_or(self.spec.priority, |u| u.0.min(self.spec.priority))
    }

    /// What it asks for as things stand. Its deadline counts from its submission, its other times from when the
    /// last job that it needs was done.
    pub fn spec_now(&self) -> Rc<JobSpec> {
        let (ready, due) = (self.chain.ready.unwrap_or(self.spec.submitted), self.due());
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
struct Orphan {
    /// The cancelled job that it needs.
    of: JobId,
    busy: bool,
    at: Micros,
    /// It made a transaction with others fail, and is tried by itself.
    alone: bool,
}

/// What this controller knows of chains.
#[derive(Debug, Default)]
pub struct Chains {
    /// By needed job: the live jobs that wait for it.
    waiters: BTreeMap<JobId, BTreeSet<JobId>>,
    /// Needed jobs that are not live in the view: the store is asked how they ended.
    unknown: BTreeMap<JobId, RetryState>,
    /// Live jobs that need a cancelled one.
    orphans: BTreeMap<JobId, Orphan>,
    /// Live jobs whose list is to be read on.
    unread: BTreeMap<JobId, RetryState>,
    /// Users who ask about a job that waits while it is not known yet how one that it needs ended, and until when
    /// the answer is worth waiting for.
    unclear: Vec<(Question, Micros)>,
}

/// A user's question about a job that waits.
#[derive(Clone, Debug)]
pub struct Question {
    /// The request that waits for the answer.
    pub to: ReplyTo,
    /// The job asked about.
    pub id: JobId,
    /// It was created for this very request.
    pub created: bool,
}

/// Questions to the store at once, so that a crowd of chains leaves it room for everything else.
const ASKED_MAX: usize = 8;
const AGAIN: Micros = Micros::from_millis(400);
/// An answer of the store, as a rule; users wait 2 s.
const UNCLEAR_FOR: Micros = Micros::from_millis(1_000);
/// Whoever holds the shard cancels at once; others see to it if nobody did.
const OTHERS_AFTER: Micros = Micros::from_secs(3);
/// A step that follows another needs so long besides its own run: to be placed, to fetch, to be reported.
const STEP: Micros = Micros::from_secs(10);

fn needs_prefix(id: &JobId) -> String {
    format!("needs/{id}/")
}

fn needs_key(id: &JobId, part: usize) -> String {
    format!("needs/{id}/{part:05}")
}

impl Engine {
    // ---- who waits for whom ----------------------------------------------------------------

    /// Whether it waits.
    pub(crate) fn chain_appeared(&mut self, id: &JobId) -> bool {
        let Some(j) = self.jobs.get_mut(id) else {
            return false;
        };
        let needs = j.spec.needs.clone();
        if needs.is_empty() && j.spec.needs_parts == 0 {
            return false;
        }
        if j.spec.needs_parts > 0 {
            j.chain.unread = true;
            self.chains.unread.insert(id.clone(), RetryState::default());
        }
        debug!(job = %id, needs = ?needs, "waits for other jobs");
        self.wait_for(id, needs);
        let Some(j) = self.jobs.get_mut(id) else {
            return false;
        };
        if !j.chain.waits() {
            j.chain.ready = Some(self.wall);
        }
        true
    }

    fn wait_for(&mut self, id: &JobId, needs: Vec<JobId>) {
        for n in needs.into_iter().filter(|n| n != id) {
            let end = self.users.ended.get(&n);
            if end.is_some_and(|e| !e.cancelled) {
                continue;
            }
            if let Some(j) = self.jobs.get_mut(id) {
                j.chain.needs.insert(n.clone());
            }
            if end.is_some() {
                self.orphaned(id, &n);
                continue;
            }
            if !self.jobs.contains_key(&n) {
                self.chains.unknown.entry(n.clone()).or_default();
            }
            self.chains.waiters.entry(n).or_default().insert(id.clone());
        }
    }

    /// It is live no more: what it needed is of no interest for its sake, and who needs it is to learn how it ended.
    pub(crate) fn chain_over(&mut self, id: &JobId, job: &LiveJob) {
        for n in &job.chain.needs {
            if let Some(w) = self.chains.waiters.get_mut(n) {
                w.remove(id);
                if w.is_empty() {
                    self.chains.waiters.remove(n);
                    self.chains.unknown.remove(n);
                }
            }
        }
        self.chains.orphans.remove(id);
        self.chains.unread.remove(id);
        if self.chains.waiters.contains_key(id) {
            match self.users.ended.get(id) {
                Some(end) => self.need_ended(id, end),
                None => {
                    self.chains.unknown.entry(id.clone()).or_default();
                }
            }
        }
    }

    /// The store holds this end of a job that others wait for.
    fn need_ended(&mut self, need: &JobId, end: EndRecord) {
        self.chains.unknown.remove(need);
        for id in self.chains.waiters.remove(need).unwrap_or_default() {
            if end.cancelled {
                self.orphaned(&id, need);
            } else if let Some(j) = self.jobs.get_mut(&id) {
                j.chain.needs.remove(need);
                self.released(&id);
            }
        }
    }

    fn orphaned(&mut self, id: &JobId, of: &JobId) {
        let Some(j) = self.jobs.get(id) else { return };
        let wait = if self.shards[j.shard].is_some() {
            Micros::ZERO
        } else {
            OTHERS_AFTER
        };
        let orphan = Orphan {
            of: of.clone(),
            busy: false,
            at: self.now + wait,
            alone: false,
        };
        self.chains.orphans.entry(id.clone()).or_insert(orphan);
    }

    /// If nothing that it needs is missing any more, it may start.
    fn released(&mut self, id: &JobId) {
        let wall = self.wall;
        let Some(j) = self.jobs.get_mut(id).filter(|j| !j.chain.waits()) else {
            return;
        };
        if j.chain.ready.is_none() {
            j.chain.ready = Some(wall);
            info!(job = %id, "all that it needs is done");
        }
        self.tell_shard(id);
    }

    pub(crate) fn tell_shard(&mut self, id: &JobId) {
        let Some(j) = self.jobs.get(id) else { return };
        let (spec, waits, shard) = (j.spec_now(), j.chain.waits(), j.shard);
        let now = self.now;
        self.with_shard(shard, |s, _| {
            if s.phase == ShardPhase::Ready {
                s.chained(id, spec, waits, now);
            }
        });
    }

    /// What a job that waits asks of those that it needs, directly or through others: its priority, and that they
    /// are done in time for all that follows them.
    pub(crate) fn urge(&mut self, id: &JobId) {
        let mut todo = vec![id.clone()];
        while let Some(id) = todo.pop() {
            let Some(j) = self.jobs.get(&id).filter(|j| j.chain.waits()) else {
                continue;
            };
            let due = j.due().map(|d| d - j.spec.estimate - STEP);
            let (priority, needs) = (j.priority(), j.chain.needs.clone());
            for n in needs {
                let Some(need) = self.jobs.get_mut(&n) else {
                    continue;
                };
                let before = need.chain.urgency;
                let (p, d) = before.unwrap_or((need.spec.priority, None));
                let after = Some((p.min(priority), d.into_iter().chain(due).min()));
                if after != before {
                    need.chain.urgency = after;
                    self.tell_shard(&n);
                    todo.push(n);
                }
            }
        }
    }

    // ---- questions and cancellations -------------------------------------------------------

    pub(crate) fn chains_tick(&mut self) {
        let unclear = std::mem::take(&mut self.chains.unclear);
        self.answer_clear(unclear);
        let now = self.now;
        let due = |a: &RetryState| !a.busy && a.at <= now;
        let asking = self.chains.unknown.values().filter(|a| a.busy).count();
        let ask: Vec<JobId> = self
            .chains
            .unknown
            .iter()
            .filter(|a| due(a.1))
            .map(|a| a.0.clone())
            .take(ASKED_MAX.saturating_sub(asking))
            .collect();
        for id in ask {
            self.chains.unknown.insert(
                id.clone(),
                RetryState {
                    busy: true,
                    at: now,
                },
            );
            self.state(
                StateCall::Get { key: end_key(&id) },
                Pending::NeedEnd { id },
            );
        }
        let read: Vec<JobId> = self
            .chains
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
            self.chains.unread.insert(
                id.clone(),
                RetryState {
                    busy: true,
                    at: now,
                },
            );
            let request = StateCall::List {
                prefix: needs_prefix(&id),
                after: None,
            };
            self.state(
                request,
                Pending::NeedsRead {
                    id,
                    version,
                    got: Vec::new(),
                },
            );
        }
        let most = (self.cfg.txn_ops / 2).clamp(1, 16);
        let mut together = Vec::new();
        let mut batches: Vec<Vec<JobId>> = Vec::new();
        for (id, o) in self
            .chains
            .orphans
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
            self.cancel_orphans(ids);
        }
    }

    fn cancel_orphans(&mut self, ids: Vec<JobId>) {
        let (mut when, mut apply) = (Vec::new(), Vec::new());
        for id in &ids {
            let Some(j) = self.jobs.get(id) else { continue };
            when.extend(end_conditions(id, j.version));
            apply.extend(end_writes(
                id,
                EndRecord {
                    cancelled: true,
                    tasks: j.spec.tasks,
                },
            ));
        }
        if !apply.is_empty() {
            self.state(StateCall::Commit { when, apply }, Pending::Orphans { ids });
        }
    }

    pub(crate) fn orphans_reply(&mut self, ids: &[JobId], reply: &StateReply) {
        for id in ids {
            let Some(j) = self.jobs.get(id) else { continue };
            let tasks = j.spec.tasks;
            if let StateReply::Committed { .. } = reply {
                let of = self
                    .chains
                    .orphans
                    .get(id)
                    .map(|o| o.of.to_string())
                    .unwrap_or_default();
                info!(job = %id, needs = %of, "cancelled with a job that it needs");
                self.end_learned(
                    id,
                    EndRecord {
                        cancelled: true,
                        tasks,
                    },
                );
            } else if let Some(o) = self.chains.orphans.get_mut(id) {
                // One that has ended meanwhile must not keep the others from it; the view will show it.
                o.alone |= matches!(reply, StateReply::Conflict { .. });
                (o.busy, o.at) = (false, self.now + AGAIN);
            }
        }
    }

    pub(crate) fn need_end_reply(&mut self, id: &JobId, reply: StateReply) {
        let Some(asked) = self.chains.unknown.get_mut(id) else {
            return;
        };
        (asked.busy, asked.at) = (false, self.now + AGAIN);
        match reply {
            StateReply::Entry(e) => match serde_json::from_value::<EndRecord>(e.value) {
                Ok(end) => {
                    self.users.ended.insert(id, end);
                    self.need_ended(id, end);
                }
                Err(e) => warn!(job = %id, %e, "unreadable end of a job"),
            },
            // Accepted a moment ago by another controller: the view will show it.
            StateReply::Missing if self.jobs.contains_key(id) => {
                self.chains.unknown.remove(id);
            }
            _ => {}
        }
    }
}
