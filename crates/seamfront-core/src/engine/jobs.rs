//! Connects the job registry and the user API with the engine: gives them read access to the state of shards and
//! claims, and applies their events to shards.

use super::Engine;
use crate::jobs::{
    DependencyRequest, EndRecord, JobContext, JobEvent, JobRegistry, ShardDirectory,
};
use crate::outbox::Outbox;
use crate::port::{Progress, StoreReply};
use crate::shard::{Shard, ShardPhase};
use crate::store_session::{ClaimId, StoreSession, ViewId};
use crate::types::{JobId, JobSpec, Micros};
use crate::user_api::{JobsView, UserApi, UserContext, UserRequest};
use std::rc::Rc;

/// Users' requests are rejected immediately after this long without a reply of the store.
const STORE_REPLY_TIMEOUT: Micros = Micros::from_millis(2_500);

/// Shards held here and the known holders of the others.
struct KnownShards<'a> {
    shards: &'a [Option<Shard>],
    session: &'a StoreSession,
    member_index: usize,
}

impl ShardDirectory for KnownShards<'_> {
    fn held_here(&self, shard: usize) -> bool {
        self.shards[shard].is_some()
    }

    fn progress(&self, shard: usize, job: &JobId) -> Option<Progress> {
        let job = self.shards[shard].as_ref()?.jobs.get(job)?;
        Some(Progress {
            done: job.done.count(),
            running: job.running(),
        })
    }

    fn peer_holder(&self, shard: usize) -> Option<usize> {
        let claim = self.session.claim(ClaimId::Shard(shard))?;
        Some(claim.member).filter(|member| *member != self.member_index)
    }
}

impl Engine {
    /// Calls the job registry and applies the resulting events to shards.
    fn with_jobs<R>(&mut self, call: impl FnOnce(&mut JobRegistry, JobContext) -> R) -> R {
        let shards = KnownShards {
            shards: &self.shards,
            session: &self.store,
            member_index: self.settings.member_index,
        };
        let context = JobContext {
            settings: &self.settings,
            now: self.now,
            wall_time: self.wall_time,
            shards: &shards,
        };
        let result = call(&mut self.jobs, context);
        self.apply_job_events();
        result
    }

    /// Calls the user API, sends the contents of its outbox, and applies the resulting events of jobs to shards.
    pub(super) fn with_user_api(&mut self, call: impl FnOnce(&mut UserApi, &mut UserContext)) {
        let store_available =
            self.store.loaded() && self.now - self.store.last_reply() <= STORE_REPLY_TIMEOUT;
        let jobs_view = JobsView {
            loaded: self.store.view_loaded(ViewId::Jobs),
            seen: self.store.revision(ViewId::Jobs),
        };
        let shards = KnownShards {
            shards: &self.shards,
            session: &self.store,
            member_index: self.settings.member_index,
        };
        let mut context = UserContext {
            job_context: JobContext {
                settings: &self.settings,
                now: self.now,
                wall_time: self.wall_time,
                shards: &shards,
            },
            jobs: &mut self.jobs,
            jobs_view,
            machine_types: self.machine_types.all(),
            store_available,
            outbox: Outbox::new(),
        };
        call(&mut self.user_api, &mut context);
        let outbox = context.outbox;
        self.send_outbox(outbox);
        self.apply_job_events();
    }

    /// Applies events of the job registry to shards. Shards send nothing in response, so it makes no difference that
    /// effects of the registry and of the user API are sent first.
    fn apply_job_events(&mut self) {
        let now = self.now;
        for event in self.jobs.take_events() {
            match event {
                JobEvent::Added {
                    shard,
                    spec,
                    version,
                } => self.with_ready_shard(shard, |s| s.add_job(spec, version, now)),
                JobEvent::Updated {
                    shard,
                    id,
                    spec,
                    blocked,
                } => self.with_ready_shard(shard, |s| {
                    s.update_dependencies(&id, spec, blocked, now);
                }),
                JobEvent::Ended { shard, id } => {
                    self.with_shard(shard, |s, context| s.job_ended(context, &id));
                }
            }
        }
    }

    fn with_ready_shard(&mut self, shard: usize, call: impl FnOnce(&mut Shard)) {
        let held = self.shards[shard].as_mut();
        if let Some(shard) = held.filter(|shard| shard.phase == ShardPhase::Ready) {
            call(shard);
        }
    }

    /// Handles a live job that was added or changed in the view.
    pub(super) fn job_changed(&mut self, spec: Rc<JobSpec>, version: u64) {
        self.with_jobs(|jobs, context| jobs.job_changed(context, spec, version));
    }

    /// Handles the removal of a job from the view.
    pub(super) fn job_removed(&mut self, id: &JobId) {
        self.with_jobs(|jobs, context| jobs.job_removed(context, id));
    }

    /// Handles an end record of a job that is known to be in the store.
    pub(super) fn end_confirmed(&mut self, id: &JobId, end: EndRecord) {
        self.with_jobs(|jobs, context| jobs.end_confirmed(context, id, end));
    }

    /// Handles the completion of a job: a shard held here has recorded that all its tasks are done.
    pub(super) fn job_completed(&mut self, id: &JobId, tasks: u32) {
        self.with_jobs(|jobs, context| jobs.completed(context, id, tasks));
    }

    /// Passes priorities and due times on to the dependencies of jobs.
    pub(super) fn propagate_urgency(&mut self) {
        self.with_jobs(|jobs, _| jobs.propagate_urgency());
    }

    /// Answers queries whose jobs' states have been determined meanwhile, and advances the dependencies of jobs.
    pub(super) fn dependencies_tick(&mut self) {
        self.with_user_api(|api, context| api.answer_undetermined(context));
        let mut outbox = Outbox::new();
        self.with_jobs(|jobs, context| jobs.tick(context, &mut outbox));
        self.send_outbox(outbox);
    }

    pub(super) fn dependency_reply(&mut self, request: DependencyRequest, reply: StoreReply) {
        let mut outbox = Outbox::new();
        self.with_jobs(|jobs, context| jobs.reply(context, request, reply, &mut outbox));
        self.send_outbox(outbox);
    }

    pub(super) fn user_reply(&mut self, request: UserRequest, reply: StoreReply) {
        match request {
            UserRequest::RefreshView { queries, revision } => {
                let refreshed = self.apply_changes(ViewId::Jobs, reply)
                    && self.store.view_reaches(ViewId::Jobs, revision);
                self.with_user_api(|api, context| {
                    api.view_refreshed(context, queries, revision, refreshed);
                });
            }
            _ => self.with_user_api(|api, context| api.reply(context, request, reply)),
        }
    }
}
