//! Users' requests, at any controller: submissions, status queries and cancellations.
//!
//! No answer is older than one that any controller has given: final states never change and are kept; everything else
//! is confirmed by the store at the time of the answer. What can't be taken now is rejected at once, with a time after
//! which to retry.

mod cancellation;
mod dependency_check;
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

/// More users' requests waiting than this are rejected.
const MAX_WAITING_REQUESTS: usize = 2_000;
/// Status queries leave so many of these places to submissions and cancellations: users repeat queries in any case.
const RESERVED_FOR_UPDATES: usize = 500;
const RETRY_AFTER: Micros = Micros::from_secs(1);

/// A job to be created for a user.
pub(crate) struct Submission {
    request: ClientRequestId,
    spec: Rc<JobSpec>,
}

/// A user's question about the state of a job.
#[derive(Clone, Debug)]
pub(crate) struct StatusQuery {
    request: ClientRequestId,
    id: JobId,
    /// The job was created for this very request.
    created: bool,
}

/// A status query about a blocked job while it is not known yet how one of its dependencies ended.
struct UndeterminedQuery {
    query: StatusQuery,
    /// Until when waiting for that is better than a rejection.
    answer_by: Micros,
}

/// What a user wants of a job that is looked up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LookupPurpose {
    /// Its state.
    Status,
    /// Its cancellation.
    Cancel,
}

/// An outstanding request on behalf of users.
pub(crate) enum UserRequest {
    /// Creation of jobs.
    Submit { batch: Vec<Submission> },
    /// Whether a job that can never run is known already, by one of its records.
    VerifyUnknown {
        submission: Submission,
        error: SubmissionError,
        record: JobRecordKind,
    },
    /// Confirmation that jobs are live.
    Confirm { queries: Vec<StatusQuery> },
    /// Reading of a job's record.
    LookUp {
        request: ClientRequestId,
        id: JobId,
        purpose: LookupPurpose,
    },
    /// Reading of the record of a job's end.
    LookUpEnd { request: ClientRequestId, id: JobId },
    /// Cancellation of a job.
    Cancel {
        request: ClientRequestId,
        id: JobId,
        end: EndRecord,
    },
    /// Whether a dependency of a submission is known, by one of its records.
    CheckDependency {
        check: DependencyCheck,
        record: JobRecordKind,
    },
    /// Parts of a submission's long dependency list.
    WriteParts { write: PartsWrite },
    /// The end of a job that is accepted and cancelled at once.
    SubmitCancelled { submission: Submission },
    /// Changes of the view of jobs up to a confirmation's revision.
    RefreshView {
        queries: Vec<StatusQuery>,
        revision: u64,
    },
}

/// How new the view of live jobs is.
#[derive(Clone, Copy)]
pub(crate) struct JobsView {
    pub(crate) loaded: bool,
    /// Revision up to which it shows all changes.
    pub(crate) seen: u64,
}

/// What the users' API sees of the rest of the controller in a call.
pub(crate) struct UserContext<'a> {
    /// Settings, times and shards.
    pub(crate) base: JobContext<'a>,
    pub(crate) jobs: &'a mut JobRegistry,
    pub(crate) jobs_view: JobsView,
    pub(crate) machine_types: &'a [MachineType],
    /// Whether the store has replied lately.
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
    /// Users' requests whose request to the store is in flight.
    in_flight: usize,
    confirm_next: Micros,
}

impl UserApi {
    /// Requests that wait for the store.
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

    /// Sends what has gathered: submissions, and one comparison that confirms many status queries.
    pub(crate) fn flush(&mut self, context: &mut UserContext) {
        self.send_submissions(context);
        self.confirm_queries(context);
    }

    /// Takes in a reply of the store; those about [`UserRequest::RefreshView`] come by [`UserApi::view_refreshed`].
    pub(crate) fn reply(
        &mut self,
        context: &mut UserContext,
        request: UserRequest,
        reply: StoreReply,
    ) {
        match request {
            UserRequest::Submit { batch } => self.submit_reply(context, batch, reply),
            UserRequest::VerifyUnknown {
                submission,
                error,
                record,
            } => self.verify_unknown_reply(context, submission, error, record, reply),
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
            UserRequest::WriteParts { write } => self.parts_written(context, write, &reply),
            UserRequest::SubmitCancelled { submission } => {
                self.submit_cancelled_reply(context, &submission, &reply);
            }
            UserRequest::RefreshView { queries, revision } => {
                self.view_refreshed(context, queries, revision, false);
            }
        }
    }
}
