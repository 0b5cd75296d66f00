//! Submissions: creates jobs in batches, and refuses those that can never run.

use super::lookup::answer_stored_end;
use super::{
    end_key, job_key, LookupPurpose, StatusQuery, Submission, UserApi, UserContext, UserRequest,
};
use crate::jobs::JobRecordKind;
use crate::port::{Answer, ClientRequestId, StoreReply, StoreRequest, SubmissionError, Write};
use crate::types::JobSpec;
use std::rc::Rc;
use tracing::info;

const MAX_SUBMISSIONS_PER_BATCH: usize = 16;
/// Estimated bytes of a batch's records beyond which no further job is added to it.
const MAX_BATCH_BYTES: usize = 40_000;
/// Estimated bytes of a job's record without its lists and the name of its image.
const RECORD_BASE_BYTES: usize = 600;

impl UserApi {
    /// Handles a user's submission of a job.
    pub(crate) fn submit(
        &mut self,
        context: &mut UserContext,
        request: ClientRequestId,
        mut spec: JobSpec,
    ) {
        if let Some(end) = context.jobs.end_of(&spec.id) {
            return context.answer_end(request, &spec.id, end);
        }
        if !context.store_available || self.overloaded() {
            return context.reject_with_retry_after(request);
        }
        // A job that is known already is answered with its state, whatever the body of the repeated request says.
        if context.jobs.contains_key(&spec.id) {
            return self.poll(context, request, spec.id);
        }
        if context.machine_types.is_empty() {
            return context.reject_with_retry_after(request);
        }
        spec.submitted = context.job_context.wall_time;
        let feasible = context.check_feasible(&spec);
        let submission = Submission {
            request,
            spec: Rc::new(spec),
        };
        match feasible {
            Ok(()) => self.check_dependencies(context, submission),
            Err(error) => self.reject_unless_known(context, submission, error),
        }
    }

    /// Queues a submission that has passed all checks; the job is created with the next batch.
    pub(super) fn enqueue_submission(&mut self, submission: Submission) {
        self.submissions.push_back(submission);
    }

    pub(super) fn send_submissions(&mut self, context: &mut UserContext) {
        while !self.submissions.is_empty() {
            let batch = self.next_batch(context);
            self.send_batch(context, batch);
        }
    }

    fn next_batch(&mut self, context: &mut UserContext) -> Vec<Submission> {
        let max_jobs = MAX_SUBMISSIONS_PER_BATCH.min(context.job_context.settings.max_txn_changes);
        let mut batch: Vec<Submission> = Vec::new();
        let mut bytes = 0;
        while let Some(submission) = self.submissions.pop_front() {
            if batch.iter().any(|b| b.spec.id == submission.spec.id) {
                // Two submissions with one id at the same time: the user of the second retries once the first is known.
                context.reject_with_retry_after(submission.request);
                continue;
            }
            bytes += estimated_record_bytes(&submission.spec);
            batch.push(submission);
            if batch.len() >= max_jobs || bytes > MAX_BATCH_BYTES {
                break;
            }
        }
        batch
    }

    fn send_batch(&mut self, context: &mut UserContext, batch: Vec<Submission>) {
        if batch.is_empty() {
            return;
        }
        let (mut conditions, mut writes) = (Vec::new(), Vec::new());
        for Submission { spec, .. } in &batch {
            conditions.push((job_key(&spec.id), 0));
            conditions.push((end_key(&spec.id), 0));
            writes.push(Write::Put {
                key: job_key(&spec.id),
                value: serde_json::to_value(&**spec).unwrap_or_default(),
                lease: None,
            });
        }
        self.in_flight += batch.len();
        let transaction = StoreRequest::CompareAndSwap { conditions, writes };
        context
            .outbox
            .store(transaction, UserRequest::Submit { batch });
    }

    pub(super) fn submit_reply(
        &mut self,
        context: &mut UserContext,
        batch: Vec<Submission>,
        reply: StoreReply,
    ) {
        self.in_flight -= batch.len();
        match reply {
            StoreReply::Committed { revision } => self.batch_created(context, batch, revision),
            StoreReply::Conflict { failed } => {
                for submission in batch {
                    let id = &submission.spec.id;
                    if failed.contains(&job_key(id)) || failed.contains(&end_key(id)) {
                        let (request, id) = (submission.request, id.clone());
                        self.look_up(context, request, id, LookupPurpose::Status);
                    } else {
                        self.submissions.push_back(submission);
                    }
                }
            }
            _ => {
                for submission in batch {
                    context.reject_with_retry_after(submission.request);
                }
            }
        }
    }

    fn batch_created(&mut self, context: &mut UserContext, batch: Vec<Submission>, revision: u64) {
        let mut created = Vec::new();
        for Submission { request, spec } in batch {
            info!(job = %spec.id, class = %spec.class, tasks = spec.tasks, "accepted");
            let id = spec.id.clone();
            // A view that has reached this revision is more recent and may already have shown the job's end.
            if context.jobs_view.seen < revision {
                context
                    .jobs
                    .job_changed(context.job_context, spec, revision);
            }
            created.push(StatusQuery {
                request,
                id,
                created: true,
            });
        }
        self.answer_confirmed(context, created, revision);
    }

    /// Rejects a job that can never run, unless it was accepted before: settings may have changed since then, and a
    /// repeated submission must not be answered with 422.
    pub(super) fn reject_unless_known(
        &mut self,
        context: &mut UserContext,
        submission: Submission,
        error: SubmissionError,
    ) {
        let key = job_key(&submission.spec.id);
        let pending = UserRequest::RejectUnlessKnown {
            submission,
            error,
            record: JobRecordKind::Job,
        };
        self.send(context, StoreRequest::Get { key }, pending);
    }

    pub(super) fn reject_unless_known_reply(
        &mut self,
        context: &mut UserContext,
        submission: Submission,
        error: SubmissionError,
        record: JobRecordKind,
        reply: StoreReply,
    ) {
        self.in_flight -= 1;
        let (request, id) = (submission.request, submission.spec.id.clone());
        match (reply, record) {
            (StoreReply::Entry(_), JobRecordKind::Job) => {
                self.look_up(context, request, id, LookupPurpose::Status);
            }
            (StoreReply::Entry(entry), JobRecordKind::End) => {
                answer_stored_end(context, request, &id, entry);
            }
            (StoreReply::Missing, JobRecordKind::Job) => {
                let read = StoreRequest::Get { key: end_key(&id) };
                let pending = UserRequest::RejectUnlessKnown {
                    submission,
                    error,
                    record: JobRecordKind::End,
                };
                self.send(context, read, pending);
            }
            (StoreReply::Missing, JobRecordKind::End) => {
                context.answer(request, Answer::Rejected(error));
            }
            _ => context.reject_with_retry_after(request),
        }
    }
}

fn estimated_record_bytes(spec: &JobSpec) -> usize {
    let dependencies = spec.dependencies.iter();
    let types = spec.types.iter().flatten();
    RECORD_BASE_BYTES
        + dependencies.map(|id| id.as_str().len() + 3).sum::<usize>()
        + types.map(|name| name.len() + 4).sum::<usize>()
        + spec.image.len()
}
