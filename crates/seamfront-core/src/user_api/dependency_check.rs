//! Submissions with dependencies: checks that each dependency was accepted, and stores long dependency lists in parts.

use super::{
    end_key, job_key, EndRecord, LookupPurpose, Submission, UserApi, UserContext, UserRequest,
};
use crate::jobs::{dependency_part_key, JobRecordKind};
use crate::port::{Answer, JobState, StoreReply, StoreRequest, SubmissionError, Write};
use crate::types::{JobId, JobSpec, Settings};
use std::rc::Rc;
use tracing::info;

/// Maximum number of parts of a dependency list that are written in one transaction.
const MAX_PARTS_PER_TRANSACTION: usize = 20;
/// Bytes that a job's record takes besides its fields, estimated on the safe side.
const RECORD_OVERHEAD_BYTES: usize = 40;
/// The same for a part of a dependency list.
const PART_OVERHEAD_BYTES: usize = 20;
/// Bytes that an id takes in a list besides its text: quotes and a comma.
const ID_OVERHEAD_BYTES: usize = 3;

/// A submission whose dependencies are being looked up.
pub(crate) struct DependencyCheck {
    submission: Submission,
    /// Dependencies that have not been found yet; the last one is looked up next.
    unchecked: Vec<JobId>,
}

/// A submission whose dependency list is being written in parts.
pub(crate) struct PartsWrite {
    submission: Submission,
    parts: Vec<Vec<JobId>>,
    /// Index of the first part that is not written yet.
    next: usize,
}

impl UserApi {
    /// Checks that all dependencies of a submission were accepted. Those that are neither live in the view nor among
    /// the cached ends are read from the store one after the other. Ends that are found are cached for the user's next
    /// try.
    pub(super) fn check_dependencies(&mut self, context: &mut UserContext, submission: Submission) {
        let unchecked = submission.spec.dependencies.clone();
        let check = DependencyCheck {
            submission,
            unchecked,
        };
        self.check_next(context, check);
    }

    fn check_next(&mut self, context: &mut UserContext, mut check: DependencyCheck) {
        let jobs = &context.jobs;
        check
            .unchecked
            .retain(|id| !jobs.contains_key(id) && jobs.end_of(id).is_none());
        if let Some(id) = check.unchecked.last() {
            let key = job_key(id);
            let record = JobRecordKind::Job;
            let pending = UserRequest::CheckDependency { check, record };
            return self.send(context, StoreRequest::Get { key }, pending);
        }
        self.dependencies_checked(context, check.submission);
    }

    pub(super) fn check_dependency_reply(
        &mut self,
        context: &mut UserContext,
        mut check: DependencyCheck,
        record: JobRecordKind,
        reply: StoreReply,
    ) {
        self.in_flight -= 1;
        let request = check.submission.request;
        let Some(id) = check.unchecked.last().cloned() else {
            return context.reject_with_retry_after(request);
        };
        match (reply, record) {
            (StoreReply::Entry(_), JobRecordKind::Job) => {
                check.unchecked.pop();
                self.check_next(context, check);
            }
            (StoreReply::Entry(entry), JobRecordKind::End) => {
                match serde_json::from_value::<EndRecord>(entry.value) {
                    Ok(end) => {
                        context.jobs.end_confirmed(context.job_context, &id, end);
                        self.check_next(context, check);
                    }
                    Err(_) => context.reject_with_retry_after(request),
                }
            }
            (StoreReply::Missing, JobRecordKind::Job) => {
                let read = StoreRequest::Get { key: end_key(&id) };
                let record = JobRecordKind::End;
                self.send(
                    context,
                    read,
                    UserRequest::CheckDependency { check, record },
                );
            }
            (StoreReply::Missing, JobRecordKind::End) => {
                let error = SubmissionError::UnknownDependency(id);
                self.reject_unless_known(context, check.submission, error);
            }
            _ => context.reject_with_retry_after(request),
        }
    }

    /// Continues a submission whose dependencies were all accepted. With a cancelled one, the job is cancelled at once.
    fn dependencies_checked(&mut self, context: &mut UserContext, submission: Submission) {
        let spec = &submission.spec;
        let cancelled = |id: &&JobId| context.jobs.end_of(id).is_some_and(|end| end.cancelled);
        if let Some(dependency) = spec.dependencies.iter().find(cancelled) {
            info!(job = %spec.id, %dependency, "accepted and cancelled: a dependency is cancelled");
            return self.submit_cancelled(context, submission);
        }
        let parts = split_dependencies(context.job_context.settings, spec);
        if parts.len() > 1 {
            let write = PartsWrite {
                submission,
                parts,
                next: 1,
            };
            return self.write_parts(context, write);
        }
        self.enqueue_submission(submission);
    }

    /// Records a job with a cancelled dependency as cancelled; it never becomes live.
    fn submit_cancelled(&mut self, context: &mut UserContext, submission: Submission) {
        let spec = &submission.spec;
        let conditions = vec![(job_key(&spec.id), 0), (end_key(&spec.id), 0)];
        let writes = vec![Write::Put {
            key: end_key(&spec.id),
            value: serde_json::to_value(cancelled_end(spec)).unwrap_or_default(),
            lease: None,
        }];
        let transaction = StoreRequest::CompareAndSwap { conditions, writes };
        let pending = UserRequest::SubmitCancelled { submission };
        self.send(context, transaction, pending);
    }

    pub(super) fn submit_cancelled_reply(
        &mut self,
        context: &mut UserContext,
        submission: &Submission,
        reply: &StoreReply,
    ) {
        self.in_flight -= 1;
        let (request, id) = (submission.request, submission.spec.id.clone());
        match reply {
            StoreReply::Committed { .. } => {
                context.jobs.cache_end(&id, cancelled_end(&submission.spec));
                let answer = Answer::Status {
                    created: true,
                    id,
                    state: JobState::Cancelled,
                    done: 0,
                    running: 0,
                };
                context.answer(request, answer);
            }
            StoreReply::Conflict { .. } => {
                self.look_up(context, request, id, LookupPurpose::Status);
            }
            _ => context.reject_with_retry_after(request),
        }
    }

    /// Writes the next parts of the dependency list, and submits the job once all are written. Parts are written before
    /// the job, since parts without their job have no effect.
    fn write_parts(&mut self, context: &mut UserContext, mut write: PartsWrite) {
        if write.next >= write.parts.len() {
            return self.enqueue_submission(write.into_submission());
        }
        let batch = context
            .job_context
            .settings
            .max_txn_changes
            .min(MAX_PARTS_PER_TRANSACTION);
        let until = write.parts.len().min(write.next + batch);
        let id = &write.submission.spec.id;
        let put = |part: usize| Write::Put {
            key: dependency_part_key(id, part),
            value: serde_json::to_value(&write.parts[part]).unwrap_or_default(),
            lease: None,
        };
        let writes = (write.next..until).map(put).collect();
        write.next = until;
        let transaction = StoreRequest::CompareAndSwap {
            conditions: vec![],
            writes,
        };
        self.send(context, transaction, UserRequest::WriteParts { write });
    }

    pub(super) fn write_parts_reply(
        &mut self,
        context: &mut UserContext,
        write: PartsWrite,
        reply: &StoreReply,
    ) {
        self.in_flight -= 1;
        match reply {
            StoreReply::Committed { .. } => self.write_parts(context, write),
            _ => context.reject_with_retry_after(write.submission.request),
        }
    }
}

impl PartsWrite {
    /// The submission with the first part of its list, and with the number of the other parts.
    fn into_submission(self) -> Submission {
        let spec = JobSpec {
            dependencies: self.parts[0].clone(),
            dependency_parts: self.parts.len() as u32 - 1,
            ..(*self.submission.spec).clone()
        };
        Submission {
            request: self.submission.request,
            spec: Rc::new(spec),
        }
    }
}

fn cancelled_end(spec: &JobSpec) -> EndRecord {
    EndRecord {
        cancelled: true,
        tasks: spec.tasks,
    }
}

/// Splits the dependency list into parts that each fit into a value. The first part goes into the job's record.
fn split_dependencies(settings: &Settings, spec: &JobSpec) -> Vec<Vec<JobId>> {
    let without_list = JobSpec {
        dependencies: Vec::new(),
        ..spec.clone()
    };
    let record = serde_json::to_string(&without_list).map_or(0, |text| text.len());
    let mut capacity = settings
        .value_bytes
        .saturating_sub(record + RECORD_OVERHEAD_BYTES);
    let mut used = 0;
    let mut parts = vec![Vec::new()];
    for id in &spec.dependencies {
        let size = id.as_str().len() + ID_OVERHEAD_BYTES;
        if used + size > capacity {
            parts.push(Vec::new());
            capacity = settings.value_bytes.saturating_sub(PART_OVERHEAD_BYTES);
            used = 0;
        }
        used += size;
        if let Some(part) = parts.last_mut() {
            part.push(id.clone());
        }
    }
    parts
}
