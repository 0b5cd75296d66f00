//! Cancellation of jobs by users.

use super::{EndRecord, LookupPurpose, UserApi, UserContext, UserRequest};
use crate::jobs::{end_conditions, end_writes};
use crate::port::{ClientRequestId, Effect, PeerMessage, StoreReply, StoreRequest};
use crate::types::JobId;
use tracing::info;

impl UserApi {
    /// Handles a user's request to cancel a job.
    pub(crate) fn cancel(
        &mut self,
        context: &mut UserContext,
        request: ClientRequestId,
        id: JobId,
    ) {
        if let Some(end) = context.jobs.end_of(&id) {
            return context.answer_end(request, &id, end);
        }
        if !context.store_available || self.overloaded() {
            return context.reject_with_retry_after(request);
        }
        match context.jobs.get(&id) {
            Some(job) => {
                let (version, tasks) = (job.version, job.spec.tasks);
                self.cancel_at_version(context, request, id, version, tasks);
            }
            None => self.look_up(context, request, id, LookupPurpose::Cancel),
        }
    }

    /// Cancels a job whose record has this version.
    pub(super) fn cancel_at_version(
        &mut self,
        context: &mut UserContext,
        request: ClientRequestId,
        id: JobId,
        version: u64,
        tasks: u32,
    ) {
        let end = EndRecord {
            cancelled: true,
            tasks,
        };
        let transaction = StoreRequest::CompareAndSwap {
            conditions: end_conditions(&id, version).into(),
            writes: end_writes(&id, end).into(),
        };
        let pending = UserRequest::Cancel { request, id, end };
        self.send(context, transaction, pending);
    }

    pub(super) fn cancel_reply(
        &mut self,
        context: &mut UserContext,
        request: ClientRequestId,
        id: JobId,
        end: EndRecord,
        reply: StoreReply,
    ) {
        self.in_flight -= 1;
        match reply {
            StoreReply::Committed { .. } => {
                info!(job = %id, "cancelled by its user");
                notify_holder(context, &id, end);
                context.jobs.end_confirmed(context.job_context, &id, end);
                context.answer_end(request, &id, end);
            }
            StoreReply::Conflict { .. } => {
                self.look_up(context, request, id, LookupPurpose::Status);
            }
            _ => context.reject_with_retry_after(request),
        }
    }
}

/// Notifies the holder of the job's shard of the cancellation, if that is another controller.
fn notify_holder(context: &mut UserContext, id: &JobId, end: EndRecord) {
    let Some(job) = context.jobs.get(id) else {
        return;
    };
    let shards = context.job_context.shards;
    if shards.held_here(job.shard) {
        return;
    }
    if let Some(to) = shards.peer_holder(job.shard) {
        let message = PeerMessage::Cancelled {
            job: id.clone(),
            tasks: end.tasks,
        };
        context.outbox.effect(Effect::SendToPeer { to, message });
    }
}
