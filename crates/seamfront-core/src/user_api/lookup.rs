//! Reads jobs from the store that are not, or no longer, in the view.

use super::{
    end_key, job_key, EndRecord, LookupPurpose, StatusQuery, UserApi, UserContext, UserRequest,
};
use crate::jobs::has_dependencies;
use crate::port::{Answer, ClientRequestId, Entry, StoreReply, StoreRequest};
use crate::types::{JobId, JobSpec};

impl UserApi {
    /// Reads the job's record, and the record of its end if there is none.
    pub(super) fn look_up(
        &mut self,
        context: &mut UserContext,
        request: ClientRequestId,
        id: JobId,
        purpose: LookupPurpose,
    ) {
        let read = StoreRequest::Get { key: job_key(&id) };
        let pending = UserRequest::LookUp {
            request,
            id,
            purpose,
        };
        self.send(context, read, pending);
    }

    pub(super) fn look_up_reply(
        &mut self,
        context: &mut UserContext,
        request: ClientRequestId,
        id: JobId,
        purpose: LookupPurpose,
        reply: StoreReply,
    ) {
        self.in_flight -= 1;
        match reply {
            StoreReply::Entry(entry) => match purpose {
                LookupPurpose::Status => self.answer_looked_up(context, request, id, &entry),
                LookupPurpose::Cancel => {
                    let spec = serde_json::from_value::<JobSpec>(entry.value);
                    let tasks = spec.map_or(0, |spec| spec.tasks);
                    self.cancel_at_version(context, request, id, entry.version, tasks);
                }
            },
            StoreReply::Missing => {
                let read = StoreRequest::Get { key: end_key(&id) };
                self.send(context, read, UserRequest::LookUpEnd { request, id });
            }
            _ => context.reject_with_retry_after(request),
        }
    }

    fn answer_looked_up(
        &mut self,
        context: &mut UserContext,
        request: ClientRequestId,
        id: JobId,
        job: &Entry,
    ) {
        let query = StatusQuery {
            request,
            id,
            created: false,
        };
        if !has_dependencies(&job.value) {
            context.answer_live(&query);
        } else if context.jobs.contains_key(&query.id) {
            self.answer_blocked(context, vec![query], job.version);
        } else {
            // The state of its dependencies is not known before the view shows the job.
            context.reject_with_retry_after(request);
        }
    }

    pub(super) fn look_up_end_reply(
        &mut self,
        context: &mut UserContext,
        request: ClientRequestId,
        id: &JobId,
        reply: StoreReply,
    ) {
        self.in_flight -= 1;
        match reply {
            StoreReply::Entry(entry) => answer_stored_end(context, request, id, entry),
            StoreReply::Missing => context.answer(request, Answer::NotFound),
            _ => context.reject_with_retry_after(request),
        }
    }
}

/// Answers with the end of a job as stored.
pub(super) fn answer_stored_end(
    context: &mut UserContext,
    request: ClientRequestId,
    id: &JobId,
    entry: Entry,
) {
    match serde_json::from_value::<EndRecord>(entry.value) {
        Ok(end) => {
            context.jobs.end_confirmed(context.job_context, id, end);
            context.answer_end(request, id, end);
        }
        Err(_) => context.reject_with_retry_after(request),
    }
}
