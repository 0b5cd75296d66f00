//! Status queries, which the store confirms many at a time before they are answered.

use super::{
    job_key, LookupPurpose, StatusQuery, UndeterminedQuery, UserApi, UserContext, UserRequest,
    MAX_WAITING_REQUESTS, RESERVED_FOR_UPDATES,
};
use crate::port::{Answer, ClientRequestId, JobState, StoreReply, StoreRequest};
use crate::types::{JobId, Micros};
use tracing::debug;

/// How long the answer to a query may wait until the state of the job's dependencies is known. The store usually
/// replies within this time, and users wait for 2 s.
const UNDETERMINED_TIMEOUT: Micros = Micros::from_millis(1_000);

impl UserContext<'_> {
    /// Answers with the state of a job that is live as far as is known.
    pub(super) fn answer_live(&mut self, query: &StatusQuery) {
        // It may have ended while the request to the store was in flight.
        if let Some(end) = self.jobs.end_of(&query.id) {
            return self.answer_end(query.request, &query.id, end);
        }
        let job = self.jobs.get(&query.id);
        let progress = job
            .and_then(|job| self.job_context.shards.progress(job.shard, &query.id))
            .unwrap_or_else(|| self.jobs.reported_progress(&query.id));
        let state = if progress.running > 0 {
            JobState::Running
        } else {
            JobState::Queued
        };
        let answer = Answer::Status {
            created: query.created,
            id: query.id.clone(),
            state,
            done: progress.done,
            running: progress.running,
        };
        self.answer(query.request, answer);
    }
}

impl UserApi {
    /// Handles a user's query for the state of a job.
    pub(crate) fn poll(&mut self, context: &mut UserContext, request: ClientRequestId, id: JobId) {
        if let Some(end) = context.jobs.end_of(&id) {
            return context.answer_end(request, &id, end);
        }
        let overloaded = self.waiting_requests() > MAX_WAITING_REQUESTS - RESERVED_FOR_UPDATES;
        if !context.store_available || overloaded {
            return context.reject_with_retry_after(request);
        }
        self.queries.push_back(StatusQuery {
            request,
            id,
            created: false,
        });
    }

    /// Confirms the collected queries, at most once per interval, so that queries in quick succession are confirmed
    /// together.
    pub(super) fn confirm_queries(&mut self, context: &mut UserContext) {
        let now = context.job_context.now;
        if now < self.next_confirmation || self.queries.is_empty() {
            return;
        }
        self.next_confirmation = now + context.job_context.settings.min_request_interval();
        while !self.queries.is_empty() {
            self.send_confirmation(context);
        }
    }

    /// Sends one comparison of versions for as many queries as fit into a transaction.
    fn send_confirmation(&mut self, context: &mut UserContext) {
        let mut conditions: Vec<(String, u64)> = Vec::new();
        let mut queries = Vec::new();
        while let Some(query) = self.queries.pop_front() {
            match context.jobs.get(&query.id) {
                Some(job) => {
                    conditions.push((job_key(&query.id), job.version));
                    queries.push(query);
                }
                None => self.look_up(context, query.request, query.id, LookupPurpose::Status),
            }
            if queries.len() >= context.job_context.settings.max_txn_changes * 2 {
                break;
            }
        }
        if queries.is_empty() {
            return;
        }
        conditions.sort();
        conditions.dedup();
        self.in_flight += queries.len();
        let comparison = StoreRequest::CompareAndSwap {
            conditions,
            writes: vec![],
        };
        context
            .outbox
            .store(comparison, UserRequest::Confirm { queries });
    }

    pub(super) fn confirm_reply(
        &mut self,
        context: &mut UserContext,
        queries: Vec<StatusQuery>,
        reply: StoreReply,
    ) {
        self.in_flight -= queries.len();
        match reply {
            StoreReply::Committed { revision } => self.answer_confirmed(context, queries, revision),
            StoreReply::Conflict { failed } => {
                for query in queries {
                    if failed.contains(&job_key(&query.id)) {
                        debug!(job = %query.id, "job ended meanwhile; looking up its end");
                        self.look_up(context, query.request, query.id, LookupPurpose::Status);
                    } else {
                        // A comparison that failed confirms none of its queries, so the others are sent again.
                        self.queries.push_back(query);
                    }
                }
            }
            _ => {
                for query in queries {
                    context.reject_with_retry_after(query.request);
                }
            }
        }
    }

    /// Answers queries for jobs that the store has confirmed to be live at this revision. A job that has left the view
    /// since then has ended. It may have been cancelled with a dependency whose user was told of the cancellation long
    /// ago, so it must not be reported as queued: its end is looked up.
    pub(super) fn answer_confirmed(
        &mut self,
        context: &mut UserContext,
        queries: Vec<StatusQuery>,
        revision: u64,
    ) {
        let mut blocked = Vec::new();
        for query in queries {
            match context.jobs.get(&query.id) {
                Some(job) if job.dependencies.blocked() => blocked.push(query),
                None if context.jobs.end_of(&query.id).is_none() => {
                    self.look_up(context, query.request, query.id, LookupPurpose::Status);
                }
                _ => context.answer_live(&query),
            }
        }
        self.answer_blocked(context, blocked, revision);
    }

    /// Answers queries for blocked jobs. A user must not be told that a job is queued once one of its dependencies has
    /// been cancelled. So the view is first brought up to the revision of the confirmation; queries that can't be
    /// answered with certainty even then stay undetermined for the time being.
    pub(super) fn answer_blocked(
        &mut self,
        context: &mut UserContext,
        queries: Vec<StatusQuery>,
        revision: u64,
    ) {
        if queries.is_empty() {
            return;
        }
        let view = context.jobs_view;
        if view.loaded && view.seen < revision {
            self.in_flight += queries.len();
            let refresh = StoreRequest::Watch {
                prefix: "job/".to_owned(),
                after: view.seen,
                wait: Micros::ZERO,
            };
            let pending = UserRequest::RefreshView { queries, revision };
            return context.outbox.store(refresh, pending);
        }
        let answer_by = context.job_context.now + UNDETERMINED_TIMEOUT;
        let queries = queries
            .into_iter()
            .map(|query| UndeterminedQuery { query, answer_by })
            .collect();
        self.answer_if_determined(context, queries);
    }

    /// Continues after the reply to a [`UserRequest::RefreshView`] has been applied to the view. `refreshed` says
    /// whether the view has reached this revision.
    pub(crate) fn view_refreshed(
        &mut self,
        context: &mut UserContext,
        queries: Vec<StatusQuery>,
        revision: u64,
        refreshed: bool,
    ) {
        self.in_flight -= queries.len();
        if refreshed {
            return self.answer_blocked(context, queries, revision);
        }
        for query in queries {
            context.reject_with_retry_after(query.request);
        }
    }

    /// Answers the undetermined queries that can be answered with certainty by now. Users who have waited too long are
    /// told to retry.
    pub(crate) fn answer_undetermined(&mut self, context: &mut UserContext) {
        if !self.undetermined.is_empty() {
            let queries = std::mem::take(&mut self.undetermined);
            self.answer_if_determined(context, queries);
        }
    }

    /// Answers the queries about jobs whose state is certain by now: the view is newer than the confirmations and only
    /// gets newer.
    fn answer_if_determined(&mut self, context: &mut UserContext, queries: Vec<UndeterminedQuery>) {
        let uncertain = context.jobs.uncertain_jobs();
        let now = context.job_context.now;
        for undetermined in queries {
            let id = &undetermined.query.id;
            let certain = context.jobs.contains_key(id) && !uncertain.contains(id);
            if certain || context.jobs.end_of(id).is_some() {
                context.answer_live(&undetermined.query);
            } else if undetermined.answer_by <= now {
                context.reject_with_retry_after(undetermined.query.request);
            } else {
                self.undetermined.push(undetermined);
            }
        }
    }
}
