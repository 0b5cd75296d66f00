//! What users ask, at any node. Nothing older than what any node has told: final states never
//! change and are kept; everything else is confirmed by the store at the time of the answer.

use crate::dependencies::StatusQuery;
use crate::engine::{Engine, LiveJob};
use crate::port::{
    Answer, ClientRequestId, JobState, PeerMessage, StoreReply, StoreRequest, SubmissionError,
    Write,
};
use crate::quota::within_limit;
use crate::store_session::Topic;
use crate::types::{JobId, JobSpec, MachineType, Micros};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use tracing::{debug, info};

/// `end/<id>`: created once, by whoever ends the job first.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct EndRecord {
    /// Cancelled, or done.
    pub cancelled: bool,
    /// How many tasks the job has.
    pub tasks: u32,
}

/// Whether a job's record names jobs that it needs.
fn has_dependencies(record: &serde_json::Value) -> bool {
    record.get("needs").is_some()
}

/// Key of a live job.
pub fn job_key(id: &JobId) -> String {
    format!("job/{id}")
}

/// Key of a job's end.
pub fn end_key(id: &JobId) -> String {
    format!("end/{id}")
}

/// On what an end is written: the job is live, at this version, and has not ended.
pub(crate) fn end_conditions(id: &JobId, job_version: u64) -> [(String, u64); 2] {
    [(job_key(id), job_version), (end_key(id), 0)]
}

/// The changes that end a job.
pub(crate) fn end_writes(id: &JobId, end: EndRecord) -> [Write; 2] {
    let value = serde_json::to_value(end).unwrap_or_default();
    [
        Write::Put {
            key: end_key(id),
            value,
            lease: None,
        },
        Write::Delete { key: job_key(id) },
    ]
}

/// Remembers ended jobs; the oldest are forgotten here and then asked of the store again.
#[derive(Default)]
pub struct EndedJobs {
    known: BTreeMap<JobId, EndRecord>,
    age: VecDeque<JobId>,
}

const MAX_REMEMBERED_ENDS: usize = 50_000;
/// More users waiting than this are told to come back.
const MAX_WAITING_REQUESTS: usize = 2_000;
/// Questions leave so many of these places to submissions and cancellations: users ask again in any case.
const RESERVED_FOR_UPDATES: usize = 500;
const MAX_SUBMISSIONS_PER_BATCH: usize = 16;

impl EndedJobs {
    /// How a job ended, if that is remembered.
    pub fn get(&self, id: &JobId) -> Option<EndRecord> {
        self.known.get(id).copied()
    }

    /// Remembers an end, for good as far as there is room.
    pub fn insert(&mut self, id: &JobId, end: EndRecord) {
        if self.known.insert(id.clone(), end).is_none() {
            self.age.push_back(id.clone());
            if self.age.len() > MAX_REMEMBERED_ENDS {
                if let Some(old) = self.age.pop_front() {
                    self.known.remove(&old);
                }
            }
        }
    }
}

/// What a user wishes of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupPurpose {
    /// To be told its state.
    Poll,
    /// To have it cancelled.
    Cancel,
}

/// Requests of users, and what answers them without the state service.
#[derive(Default)]
pub struct Users {
    submits: VecDeque<(ClientRequestId, Rc<JobSpec>)>,
    polls: VecDeque<(ClientRequestId, JobId)>,
    /// Ends that are remembered.
    pub ended: EndedJobs,
    /// Display counts as the jobs' holders told them.
    pub progress: BTreeMap<JobId, (u32, u32)>,
    pub(crate) in_flight: usize,
    confirm_next: Micros,
}

const RETRY_AFTER: Micros = Micros::from_secs(1);

/// An outstanding request on behalf of users.
pub(crate) enum UserRequest {
    Submit {
        batch: Vec<(ClientRequestId, Rc<JobSpec>)>,
    },
    VerifyUnknown {
        to: ClientRequestId,
        spec: Rc<JobSpec>,
        why: SubmissionError,
        end: bool,
    },
    Confirm {
        polls: Vec<(ClientRequestId, JobId)>,
    },
    LookUp {
        to: ClientRequestId,
        id: JobId,
        purpose: LookupPurpose,
    },
    LookUpEnd {
        to: ClientRequestId,
        id: JobId,
    },
    Cancel {
        to: ClientRequestId,
        id: JobId,
        end: EndRecord,
    },
}

impl Engine {
    /// Routes a reply of the store to what asked for it.
    pub(crate) fn user_reply(&mut self, request: UserRequest, reply: StoreReply) {
        match request {
            UserRequest::Submit { batch } => self.submit_reply(batch, reply),
            UserRequest::VerifyUnknown { to, spec, why, end } => {
                self.verify_unknown_reply(to, spec, why, end, reply)
            }
            UserRequest::Confirm { polls } => self.confirm_reply(polls, reply),
            UserRequest::LookUp { to, id, purpose } => self.look_up_reply(to, id, purpose, reply),
            UserRequest::LookUpEnd { to, id } => self.look_up_end_reply(to, id, reply),
            UserRequest::Cancel { to, id, end } => self.cancel_reply(to, id, end, reply),
        }
    }

    pub(crate) fn reject_with_retry_after(&mut self, to: ClientRequestId) {
        self.answer(to, Answer::RetryLater { after: RETRY_AFTER });
    }

    pub(crate) fn answer_end(&mut self, to: ClientRequestId, id: &JobId, end: EndRecord) {
        let (state, done) = if end.cancelled {
            (JobState::Cancelled, 0)
        } else {
            (JobState::Done, end.tasks)
        };
        self.answer(
            to,
            Answer::Status {
                created: false,
                id: id.clone(),
                state,
                done,
                running: 0,
            },
        );
    }

    pub(crate) fn answer_live(&mut self, to: ClientRequestId, id: &JobId, created: bool) {
        // It may have ended here while the store was asked.
        if let Some(end) = self.users.ended.get(id) {
            return self.answer_end(to, id, end);
        }
        let own = self
            .jobs
            .get(id)
            .and_then(|j| self.shards[j.shard].as_ref())
            .and_then(|s| s.jobs.get(id));
        let (done, running) = match own {
            Some(j) => (j.done.count(), j.running()),
            None => self.users.progress.get(id).copied().unwrap_or_default(),
        };
        let state = if running > 0 {
            JobState::Running
        } else {
            JobState::Queued
        };
        self.answer(
            to,
            Answer::Status {
                created,
                id: id.clone(),
                state,
                done,
                running,
            },
        );
    }

    /// The store has not answered lately: nothing can be taken or confirmed, and waiting for it
    /// would only hold the user back.
    fn store_unavailable(&self) -> bool {
        !self.store.loaded() || self.now - self.store.last_reply() > Micros::from_millis(2_500)
    }

    /// Requests of users that wait for the store.
    fn users_waiting(&self) -> usize {
        self.users.submits.len() + self.users.polls.len() + self.users.in_flight
    }

    fn overloaded(&self) -> bool {
        self.users_waiting() > MAX_WAITING_REQUESTS
    }

    pub(crate) fn submit(&mut self, to: ClientRequestId, mut spec: JobSpec) {
        if let Some(end) = self.users.ended.get(&spec.id) {
            return self.answer_end(to, &spec.id.clone(), end);
        }
        if self.store_unavailable() || self.overloaded() {
            return self.reject_with_retry_after(to);
        }
        // Known jobs are known whatever the repeated body says.
        if self.jobs.contains_key(&spec.id) {
            return self.poll(to, spec.id);
        }
        if !self.machine_types.known() {
            return self.reject_with_retry_after(to);
        }
        spec.submitted = self.wall_time;
        match self.check_possible(&spec) {
            Ok(()) => self.check_dependencies(to, Rc::new(spec)),
            Err(why) => self.verify_unknown(to, Rc::new(spec), why),
        }
    }

    /// What it needs is known: it can be created.
    pub(crate) fn submit_checked(&mut self, to: ClientRequestId, spec: Rc<JobSpec>) {
        self.users.submits.push_back((to, spec));
    }

    /// Whether a job can ever run here.
    fn check_possible(&self, spec: &JobSpec) -> Result<(), SubmissionError> {
        let team = self
            .settings
            .team(&spec.team)
            .ok_or(SubmissionError::UnknownTeam)?;
        let fits = |t: &MachineType| {
            t.size.fits(spec.task_resources) > 0
                && t.zones.iter().any(|z| spec.allows(&t.name, z, false))
        };
        if !self.machine_types.all().iter().any(fits) {
            return Err(SubmissionError::NoMachineFits);
        }
        if !within_limit(team, spec) {
            return Err(SubmissionError::OverLimit);
        }
        Ok(())
    }

    pub(crate) fn poll(&mut self, to: ClientRequestId, id: JobId) {
        if let Some(end) = self.users.ended.get(&id) {
            return self.answer_end(to, &id, end);
        }
        if self.store_unavailable()
            || self.users_waiting() > MAX_WAITING_REQUESTS - RESERVED_FOR_UPDATES
        {
            return self.reject_with_retry_after(to);
        }
        self.users.polls.push_back((to, id));
    }

    pub(crate) fn cancel(&mut self, to: ClientRequestId, id: JobId) {
        if let Some(end) = self.users.ended.get(&id) {
            return self.answer_end(to, &id, end);
        }
        if self.store_unavailable() || self.overloaded() {
            return self.reject_with_retry_after(to);
        }
        match self.jobs.get(&id) {
            Some(j) => {
                let (version, tasks) = (j.version, j.spec.tasks);
                self.cancel_known(to, id, version, tasks);
            }
            None => self.look_up(to, id, LookupPurpose::Cancel),
        }
    }

    fn cancel_known(&mut self, to: ClientRequestId, id: JobId, version: u64, tasks: u32) {
        let end = EndRecord {
            cancelled: true,
            tasks,
        };
        let request = StoreRequest::CompareAndSwap {
            conditions: end_conditions(&id, version).into(),
            writes: end_writes(&id, end).into(),
        };
        self.users.in_flight += 1;
        self.send_to_store(request, UserRequest::Cancel { to, id, end });
    }

    pub(crate) fn cancel_reply(
        &mut self,
        to: ClientRequestId,
        id: JobId,
        end: EndRecord,
        reply: StoreReply,
    ) {
        self.users.in_flight -= 1;
        match reply {
            StoreReply::Committed { .. } => {
                info!(job = %id, "cancelled by its user");
                let shard = self
                    .jobs
                    .get(&id)
                    .map(|j| j.shard)
                    .filter(|k| self.shards[*k].is_none());
                if let Some(shard) = shard {
                    self.notify_holder(
                        shard,
                        PeerMessage::Cancelled {
                            job: id.clone(),
                            tasks: end.tasks,
                        },
                    );
                }
                self.end_confirmed(&id, end);
                self.answer_end(to, &id, end);
            }
            StoreReply::Conflict { .. } => self.look_up(to, id, LookupPurpose::Poll),
            _ => self.reject_with_retry_after(to),
        }
    }

    /// Asks the store. The job first, then its end: whoever ends a job removes the one and writes
    /// the other in one transaction, so this order can't miss both.
    pub(crate) fn look_up(&mut self, to: ClientRequestId, id: JobId, purpose: LookupPurpose) {
        self.users.in_flight += 1;
        self.send_to_store(
            StoreRequest::Get { key: job_key(&id) },
            UserRequest::LookUp { to, id, purpose },
        );
    }

    pub(crate) fn look_up_reply(
        &mut self,
        to: ClientRequestId,
        id: JobId,
        purpose: LookupPurpose,
        reply: StoreReply,
    ) {
        self.users.in_flight -= 1;
        match reply {
            StoreReply::Entry(e) => match purpose {
                // What became of the jobs that it needs is known once the view shows it.
                LookupPurpose::Poll if has_dependencies(&e.value) => {
                    match self.jobs.contains_key(&id) {
                        true => self.answer_blocked(
                            vec![StatusQuery {
                                to,
                                id,
                                created: false,
                            }],
                            e.version,
                        ),
                        false => self.reject_with_retry_after(to),
                    }
                }
                LookupPurpose::Poll => self.answer_live(to, &id, false),
                LookupPurpose::Cancel => {
                    let tasks = serde_json::from_value::<JobSpec>(e.value).map_or(0, |s| s.tasks);
                    self.cancel_known(to, id, e.version, tasks);
                }
            },
            StoreReply::Missing => {
                self.users.in_flight += 1;
                self.send_to_store(
                    StoreRequest::Get { key: end_key(&id) },
                    UserRequest::LookUpEnd { to, id },
                );
            }
            _ => self.reject_with_retry_after(to),
        }
    }

    pub(crate) fn look_up_end_reply(&mut self, to: ClientRequestId, id: JobId, reply: StoreReply) {
        self.users.in_flight -= 1;
        match reply {
            StoreReply::Entry(e) => match serde_json::from_value::<EndRecord>(e.value) {
                Ok(end) => {
                    self.end_confirmed(&id, end);
                    self.answer_end(to, &id, end);
                }
                Err(_) => self.reject_with_retry_after(to),
            },
            StoreReply::Missing => self.answer(to, Answer::NotFound),
            _ => self.reject_with_retry_after(to),
        }
    }

    /// Sends what has gathered: submissions that create, and one comparison that confirms many polls.
    pub(crate) fn users_flush(&mut self) {
        while !self.users.submits.is_empty() {
            let room = MAX_SUBMISSIONS_PER_BATCH.min(self.settings.txn_ops);
            let mut batch: Vec<(ClientRequestId, Rc<JobSpec>)> = Vec::new();
            let mut bytes = 0;
            while let Some((to, spec)) = self.users.submits.pop_front() {
                if batch.iter().any(|b| b.1.id == spec.id) {
                    // The same id twice at once: the second waits for the first to be known.
                    self.reject_with_retry_after(to);
                    continue;
                }
                bytes += 600
                    + spec
                        .dependencies
                        .iter()
                        .map(|n| n.as_str().len() + 3)
                        .sum::<usize>()
                    + spec
                        .types
                        .iter()
                        .flatten()
                        .map(|t| t.len() + 4)
                        .sum::<usize>()
                    + spec.image.len();
                batch.push((to, spec));
                if batch.len() >= room || bytes > 40_000 {
                    break;
                }
            }
            self.send_submits(batch);
        }
        // Polls that come within a moment are confirmed together.
        if self.now < self.users.confirm_next || self.users.polls.is_empty() {
            return;
        }
        self.users.confirm_next = self.now + self.settings.ask_every();
        while !self.users.polls.is_empty() {
            let mut known = Vec::new();
            while let Some((to, id)) = self.users.polls.pop_front() {
                match self.jobs.get(&id) {
                    Some(j) => known.push((to, id, j.version)),
                    None => self.look_up(to, id, LookupPurpose::Poll),
                }
                if known.len() >= self.settings.txn_ops * 2 {
                    break;
                }
            }
            if known.is_empty() {
                continue;
            }
            let mut conditions: Vec<(String, u64)> =
                known.iter().map(|k| (job_key(&k.1), k.2)).collect();
            conditions.sort();
            conditions.dedup();
            self.users.in_flight += known.len();
            let polls = known.into_iter().map(|k| (k.0, k.1)).collect();
            self.send_to_store(
                StoreRequest::CompareAndSwap {
                    conditions,
                    writes: vec![],
                },
                UserRequest::Confirm { polls },
            );
        }
    }

    fn send_submits(&mut self, batch: Vec<(ClientRequestId, Rc<JobSpec>)>) {
        let (mut conditions, mut writes, mut sent) = (Vec::new(), Vec::new(), Vec::new());
        for (to, spec) in batch {
            conditions.push((job_key(&spec.id), 0));
            conditions.push((end_key(&spec.id), 0));
            let value = serde_json::to_value(&*spec).unwrap_or_default();
            writes.push(Write::Put {
                key: job_key(&spec.id),
                value,
                lease: None,
            });
            sent.push((to, spec));
        }
        if !sent.is_empty() {
            self.users.in_flight += sent.len();
            self.send_to_store(
                StoreRequest::CompareAndSwap { conditions, writes },
                UserRequest::Submit { batch: sent },
            );
        }
    }

    /// An accepted job's repetition never gets 422: the store says whether it is known.
    pub(crate) fn verify_unknown(
        &mut self,
        to: ClientRequestId,
        spec: Rc<JobSpec>,
        why: SubmissionError,
    ) {
        self.users.in_flight += 1;
        let key = job_key(&spec.id);
        self.send_to_store(
            StoreRequest::Get { key },
            UserRequest::VerifyUnknown {
                to,
                spec,
                why,
                end: false,
            },
        );
    }

    /// A job that can never run, unless it is known already (settings may have changed since).
    pub(crate) fn verify_unknown_reply(
        &mut self,
        to: ClientRequestId,
        spec: Rc<JobSpec>,
        why: SubmissionError,
        end: bool,
        reply: StoreReply,
    ) {
        self.users.in_flight -= 1;
        match reply {
            StoreReply::Entry(_) if !end => self.look_up(to, spec.id.clone(), LookupPurpose::Poll),
            StoreReply::Entry(e) => match serde_json::from_value::<EndRecord>(e.value) {
                Ok(record) => {
                    self.end_confirmed(&spec.id, record);
                    self.answer_end(to, &spec.id, record);
                }
                Err(_) => self.reject_with_retry_after(to),
            },
            StoreReply::Missing if !end => {
                self.users.in_flight += 1;
                let key = end_key(&spec.id);
                self.send_to_store(
                    StoreRequest::Get { key },
                    UserRequest::VerifyUnknown {
                        to,
                        spec,
                        why,
                        end: true,
                    },
                );
            }
            StoreReply::Missing => self.answer(to, Answer::Rejected(why)),
            _ => self.reject_with_retry_after(to),
        }
    }

    pub(crate) fn submit_reply(
        &mut self,
        batch: Vec<(ClientRequestId, Rc<JobSpec>)>,
        reply: StoreReply,
    ) {
        self.users.in_flight -= batch.len();
        match reply {
            StoreReply::Committed { revision } => {
                let mut created = Vec::new();
                for (to, spec) in batch {
                    info!(job = %spec.id, class = %spec.class, tasks = spec.tasks, "accepted");
                    let id = spec.id.clone();
                    // If the view is past this revision it knows better, be it of the job's end.
                    if self.store.revision(Topic::Jobs) < revision {
                        self.job_appeared(spec, revision);
                    }
                    created.push(StatusQuery {
                        to,
                        id,
                        created: true,
                    });
                }
                self.answer_confirmed(created, revision);
            }
            StoreReply::Conflict { failed } => {
                for (to, spec) in batch {
                    if failed.contains(&job_key(&spec.id)) || failed.contains(&end_key(&spec.id)) {
                        self.look_up(to, spec.id.clone(), LookupPurpose::Poll);
                    } else {
                        self.users.submits.push_back((to, spec));
                    }
                }
            }
            _ => {
                for (to, _) in batch {
                    self.reject_with_retry_after(to);
                }
            }
        }
    }

    pub(crate) fn confirm_reply(
        &mut self,
        polls: Vec<(ClientRequestId, JobId)>,
        reply: StoreReply,
    ) {
        self.users.in_flight -= polls.len();
        match reply {
            StoreReply::Committed { revision } => {
                let polls = polls.into_iter().map(|(to, id)| StatusQuery {
                    to,
                    id,
                    created: false,
                });
                self.answer_confirmed(polls.collect(), revision);
            }
            StoreReply::Conflict { failed } => {
                for (to, id) in polls {
                    if failed.contains(&job_key(&id)) {
                        debug!(job = %id, "ended since; asking how");
                        self.look_up(to, id, LookupPurpose::Poll);
                    } else {
                        // Only a success vouches for all at once.
                        self.users.polls.push_back((to, id));
                    }
                }
            }
            _ => {
                for (to, _) in polls {
                    self.reject_with_retry_after(to);
                }
            }
        }
    }

    /// Answers about jobs that the store has confirmed to be live at this revision. What has left the view since
    /// has ended, perhaps with a job that it needs, whose user was told of the cancellation long ago: it must not be
    /// called queued, and the store is asked how it ended.
    fn answer_confirmed(&mut self, questions: Vec<StatusQuery>, revision: u64) {
        let mut waiting = Vec::new();
        for q in questions {
            match self.jobs.get(&q.id) {
                Some(j) if j.dependencies.blocked() => waiting.push(q),
                None if self.users.ended.get(&q.id).is_none() => {
                    self.look_up(q.to, q.id, LookupPurpose::Poll)
                }
                _ => self.answer_live(q.to, &q.id, q.created),
            }
        }
        self.answer_blocked(waiting, revision);
    }

    pub(crate) fn job_appeared(&mut self, spec: Rc<JobSpec>, version: u64) {
        let Some(shard) = self.settings.shard_of(&spec.team) else {
            return;
        };
        let id = spec.id.clone();
        // An end is for ever: a view that is behind may still show the job.
        if self.users.ended.get(&id).is_some()
            || self.jobs.get(&id).is_some_and(|j| j.version >= version)
        {
            return;
        }
        self.jobs.insert(
            id.clone(),
            LiveJob {
                spec: spec.clone(),
                version,
                shard,
                dependencies: Default::default(),
            },
        );
        let blocked = self.register_dependencies(&id);
        if let Some(s) = self.shards[shard].as_mut() {
            if s.phase == crate::shard::ShardPhase::Ready {
                s.add_job(spec, version, self.now);
                if blocked {
                    self.notify_shard(&id);
                }
            }
        }
        self.propagate_urgency(&id);
    }

    /// It has ended and is live no more. Its shard, where it is ours, knows by itself.
    pub(crate) fn remove_live_job(&mut self, id: &JobId) -> Option<LiveJob> {
        let j = self.jobs.remove(id)?;
        self.users.progress.remove(id);
        self.remove_from_graph(id, &j);
        Some(j)
    }

    /// The store holds this end. Whatever the view still shows, nothing of the job is started from now on: whoever
    /// is told of the end may rely on it.
    pub(crate) fn end_confirmed(&mut self, id: &JobId, end: EndRecord) {
        self.users.ended.insert(id, end);
        self.job_vanished(id);
    }

    pub(crate) fn job_vanished(&mut self, id: &JobId) {
        let Some(j) = self.remove_live_job(id) else {
            return;
        };
        self.with_shard(j.shard, |s, context| s.job_ended(context, id));
    }
}
