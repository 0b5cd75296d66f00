//! Handles users' requests at any controller: submissions, status queries and cancellations.
//!
//! No answer is older than one that any controller has already given: final states never change and are kept, and
//! all other states are confirmed by the store at the time of the answer. Requests that can't be handled now are
//! rejected at once, with a time after which to retry.

mod cancellation;
mod dependency_check;
mod feasibility;
mod lookup;
mod status;
mod submission;

pub use crate::jobs::{end_key, job_key, EndRecord};

use crate::jobs::{JobContext, JobRecordKind, JobRegistry};
use crate::outbox::Outbox;
use crate::port::{
    Answer, ClientRequestId, Effect, JobState, StoreReply, StoreRequest, SubmissionError,
};
use crate::types::{JobId, JobSpec, MachineType, Micros};
use dependency_check::{DependencyCheck, PartsWrite};
use std::collections::VecDeque;
use std::rc::Rc;

/// Number of waiting requests beyond which further requests of users are rejected.
const MAX_WAITING_REQUESTS: usize = 2_000;
/// How many of these are reserved for submissions and cancellations: users repeat status queries in any case.
const RESERVED_FOR_UPDATES: usize = 500;
/// Time after which users whose requests were rejected should retry.
const RETRY_AFTER: Micros = Micros::from_secs(1);

/// A job to be created at a user's request.
pub(crate) struct Submission {
    request: ClientRequestId,
    spec: Rc<JobSpec>,
}

/// A user's query for the state of a job.
#[derive(Clone, Debug)]
pub(crate) struct StatusQuery {
    request: ClientRequestId,
    id: JobId,
    /// Whether the job was created for this very request.
    created: bool,
}

/// A status query about a blocked job while it is unknown whether one of the job's dependencies is cancelled.
struct UndeterminedQuery {
    query: StatusQuery,
    /// Time at which the user is told to retry if that is still unknown.
    answer_by: Micros,
}

/// Why a job is looked up for a user.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LookupPurpose {
    /// To answer with its state.
    Status,
    /// To cancel it.
    Cancel,
}

/// An outstanding request to the store on behalf of users.
pub(crate) enum UserRequest {
    /// Creates jobs.
    Submit { batch: Vec<Submission> },
    /// Reads one of the records of a job that can never run, to reject it unless it was accepted before.
    RejectUnlessKnown {
        submission: Submission,
        error: SubmissionError,
        record: JobRecordKind,
    },
    /// Confirms that jobs are live.
    Confirm { queries: Vec<StatusQuery> },
    /// Reads a job's record.
    LookUp {
        request: ClientRequestId,
        id: JobId,
        purpose: LookupPurpose,
    },
    /// Reads the record of a job's end.
    LookUpEnd { request: ClientRequestId, id: JobId },
    /// Cancels a job.
    Cancel {
        request: ClientRequestId,
        id: JobId,
        end: EndRecord,
    },
    /// Reads one of the records of a submission's dependency, to check that it was accepted.
    CheckDependency {
        check: DependencyCheck,
        record: JobRecordKind,
    },
    /// Writes parts of a submission's long dependency list.
    WriteParts { write: PartsWrite },
    /// Records the end of a job that is accepted and cancelled at once.
    SubmitCancelled { submission: Submission },
    /// Brings the view of jobs up to the revision of a confirmation.
    RefreshView {
        queries: Vec<StatusQuery>,
        revision: u64,
    },
}

/// How up to date the view of live jobs is.
#[derive(Clone, Copy)]
pub(crate) struct JobsView {
    pub(crate) loaded: bool,
    /// Revision up to which the view shows all changes.
    pub(crate) seen: u64,
}

/// What the user API can access of the rest of the controller during a call.
pub(crate) struct UserContext<'a> {
    /// Settings, times and shards.
    pub(crate) job_context: JobContext<'a>,
    pub(crate) jobs: &'a mut JobRegistry,
    pub(crate) jobs_view: JobsView,
    pub(crate) machine_types: &'a [MachineType],
    /// Whether the store has replied recently.
    pub(crate) store_available: bool,
    pub(crate) outbox: Outbox<UserRequest>,
}

impl UserContext<'_> {
    fn answer(&mut self, to: ClientRequestId, answer: Answer) {
        self.outbox.effect(Effect::Answer { to, answer });
    }

    fn reject_with_retry_after(&mut self, request: ClientRequestId) {
        self.answer(request, Answer::RetryLater { after: RETRY_AFTER });
    }

    fn answer_end(&mut self, request: ClientRequestId, id: &JobId, end: EndRecord) {
        let (state, done) = if end.cancelled {
            (JobState::Cancelled, 0)
        } else {
            (JobState::Done, end.tasks)
        };
        let answer = Answer::Status {
            created: false,
            id: id.clone(),
            state,
            done,
            running: 0,
        };
        self.answer(request, answer);
    }
}

/// Users' requests that wait for the store.
#[derive(Default)]
pub(crate) struct UserApi {
    submissions: VecDeque<Submission>,
    queries: VecDeque<StatusQuery>,
    undetermined: Vec<UndeterminedQuery>,
    /// Number of users' requests for which a request to the store is in flight.
    in_flight: usize,
    next_confirmation: Micros,
}

impl UserApi {
    /// Number of users' requests that wait for the store.
    fn waiting_requests(&self) -> usize {
        self.submissions.len() + self.queries.len() + self.in_flight
    }

    fn overloaded(&self) -> bool {
        self.waiting_requests() > MAX_WAITING_REQUESTS
    }

    /// Sends a request to the store on behalf of one user.
    fn send(&mut self, context: &mut UserContext, request: StoreRequest, pending: UserRequest) {
        self.in_flight += 1;
        context.outbox.store(request, pending);
    }

    /// Sends what has been collected: submissions in batches, and comparisons of versions that each confirm many status
    /// queries.
    pub(crate) fn flush(&mut self, context: &mut UserContext) {
        self.send_submissions(context);
        self.confirm_queries(context);
    }

    /// Handles a reply of the store. Replies to [`UserRequest::RefreshView`] go to [`UserApi::view_refreshed`] instead.
    pub(crate) fn reply(
        &mut self,
        context: &mut UserContext,
        request: UserRequest,
        reply: StoreReply,
    ) {
        match request {
            UserRequest::Submit { batch } => self.submit_reply(context, batch, reply),
            UserRequest::RejectUnlessKnown {
                submission,
                error,
                record,
            } => self.reject_unless_known_reply(context, submission, error, record, reply),
            UserRequest::Confirm { queries } => self.confirm_reply(context, queries, reply),
            UserRequest::LookUp {
                request,
                id,
                purpose,
            } => self.look_up_reply(context, request, id, purpose, reply),
            UserRequest::LookUpEnd { request, id } => {
                self.look_up_end_reply(context, request, &id, reply);
            }
            UserRequest::Cancel { request, id, end } => {
                self.cancel_reply(context, request, id, end, reply);
            }
            UserRequest::CheckDependency { check, record } => {
                self.check_dependency_reply(context, check, record, reply);
            }
            UserRequest::WriteParts { write } => self.write_parts_reply(context, write, &reply),
            UserRequest::SubmitCancelled { submission } => {
                self.submit_cancelled_reply(context, &submission, &reply);
            }
            UserRequest::RefreshView { queries, revision } => {
                self.view_refreshed(context, queries, revision, false);
            }
        }
    }
}
