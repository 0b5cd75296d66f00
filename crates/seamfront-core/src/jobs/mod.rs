//! The jobs that this controller knows: the live ones as the view of `job/` shows them, how others ended, and which
//! live jobs are blocked on dependencies.
//!
//! What a job depends on stands in its record, and how its dependencies ended in theirs: whatever becomes of a
//! controller, any other finds all of it there. The dependency graph follows from the view, in which a dependency is
//! seen before its dependents.
//!
//! A job starts only once the store has confirmed of each of its dependencies that it is done. A job with a cancelled
//! dependency is cancelled in turn, link by link: the end of the first is durable, and the rest follows from it.

mod cascade;
mod dependency_graph;
mod ended;
mod live;
mod records;
mod resolution;
mod urgency;

pub(crate) use live::LiveJob;
pub(crate) use records::{
    dependency_part_key, end_conditions, end_writes, names_dependencies, JobRecordKind,
};
pub use records::{end_key, job_key, EndRecord};

use crate::outbox::Outbox;
use crate::port::{Entry, JobProgress, Progress, StoreReply};
use crate::types::{JobId, JobSpec, Micros, Settings};
use dependency_graph::DependencyGraph;
use ended::EndedJobs;
use std::collections::BTreeMap;
use std::rc::Rc;

/// What the registry and the users' API need to know of shards.
pub(crate) trait ShardDirectory {
    /// Whether this controller holds the shard.
    fn held_here(&self, shard: usize) -> bool;
    /// Progress of a job as the shard, held here, knows it.
    fn progress(&self, shard: usize, job: &JobId) -> Option<Progress>;
    /// The other member that holds the shard, as far as is known.
    fn peer_holder(&self, shard: usize) -> Option<usize>;
}

/// What the registry sees of the rest of the controller in a call.
#[derive(Clone, Copy)]
pub(crate) struct JobContext<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) now: Micros,
    pub(crate) wall_time: Micros,
    pub(crate) shards: &'a dyn ShardDirectory,
}

/// What a job's shard must know, where this controller holds it.
pub(crate) enum JobEvent {
    /// The job is live.
    Appeared {
        shard: usize,
        spec: Rc<JobSpec>,
        version: u64,
    },
    /// The job's effective spec has changed, or whether it is blocked on dependencies.
    Updated {
        shard: usize,
        id: JobId,
        spec: Rc<JobSpec>,
        blocked: bool,
    },
    /// The job has ended.
    Ended { shard: usize, id: JobId },
}

/// The reading of a long dependency list, page by page.
pub(crate) struct DependencyListRead {
    id: JobId,
    /// Version of the job's record when the reading began.
    version: u64,
    /// The parts read so far.
    entries: Vec<Entry>,
}

/// An outstanding request on behalf of dependencies between live jobs.
pub(crate) enum DependencyRequest {
    /// The rest of a job's dependency list.
    PartsRead(DependencyListRead),
    /// How a dependency ended.
    End { id: JobId },
    /// Cancellation of jobs with a cancelled dependency.
    CascadeCancel { ids: Vec<JobId> },
}

/// All jobs that this controller knows.
#[derive(Default)]
pub(crate) struct JobRegistry {
    live: BTreeMap<JobId, LiveJob>,
    ended: EndedJobs,
    /// Progress of live jobs as the holders of their shards have reported it.
    reported_progress: BTreeMap<JobId, Progress>,
    graph: DependencyGraph,
    events: Vec<JobEvent>,
}

impl JobRegistry {
    /// A live job.
    pub(crate) fn get(&self, id: &JobId) -> Option<&LiveJob> {
        self.live.get(id)
    }

    /// Whether the job is live.
    pub(crate) fn contains_key(&self, id: &JobId) -> bool {
        self.live.contains_key(id)
    }

    /// Ids of all live jobs.
    pub(crate) fn keys(&self) -> impl Iterator<Item = &JobId> {
        self.live.keys()
    }

    /// All live jobs.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&JobId, &LiveJob)> {
        self.live.iter()
    }

    /// How a job ended, if that is remembered.
    pub(crate) fn end_of(&self, id: &JobId) -> Option<EndRecord> {
        self.ended.get(id)
    }

    /// Progress of a live job as the holder of its shard has reported it; zero where it has not.
    pub(crate) fn reported_progress(&self, id: &JobId) -> Progress {
        self.reported_progress.get(id).copied().unwrap_or_default()
    }

    /// Takes in what the holder of a shard has reported of a job.
    pub(crate) fn progress_reported(&mut self, reported: JobProgress) {
        if self.live.contains_key(&reported.id) {
            self.reported_progress
                .insert(reported.id, reported.progress);
        }
    }

    /// What the shards held here must know since the last call, in order.
    pub(crate) fn take_events(&mut self) -> Vec<JobEvent> {
        std::mem::take(&mut self.events)
    }

    /// The store has shown the job live at this version.
    pub(crate) fn appeared(&mut self, context: JobContext, spec: Rc<JobSpec>, version: u64) {
        let Some(shard) = context.settings.shard_of(&spec.team) else {
            return;
        };
        let id = spec.id.clone();
        // An end is for ever: a view that is behind may still show the job.
        if self.ended.get(&id).is_some() || self.live.get(&id).is_some_and(|j| j.version >= version)
        {
            return;
        }
        self.live
            .insert(id.clone(), LiveJob::new(spec.clone(), version, shard));
        let has_dependencies = self.register_dependencies(context, &id);
        self.events.push(JobEvent::Appeared {
            shard,
            spec,
            version,
        });
        if has_dependencies {
            self.push_update(&id);
        }
        self.propagate_urgency(&id);
    }

    /// The job's record is gone from the store, or its end is known.
    pub(crate) fn vanished(&mut self, context: JobContext, id: &JobId) {
        if let Some(job) = self.remove_live(context, id) {
            let (shard, id) = (job.shard, id.clone());
            self.events.push(JobEvent::Ended { shard, id });
        }
    }

    /// The store holds this end. Whatever the view still shows, nothing of the job is started from now on: users who
    /// get the end as their answer may rely on it.
    pub(crate) fn end_confirmed(&mut self, context: JobContext, id: &JobId, end: EndRecord) {
        self.ended.insert(id, end);
        self.vanished(context, id);
    }

    /// The job's shard, held here, has recorded that all of its tasks are done; the shard itself needs no event.
    pub(crate) fn completed(&mut self, context: JobContext, id: &JobId, tasks: u32) {
        self.remember_end(
            id,
            EndRecord {
                cancelled: false,
                tasks,
            },
        );
        self.remove_live(context, id);
    }

    /// Remembers the end of a job that was never live here.
    pub(crate) fn remember_end(&mut self, id: &JobId, end: EndRecord) {
        self.ended.insert(id, end);
    }

    fn remove_live(&mut self, context: JobContext, id: &JobId) -> Option<LiveJob> {
        let job = self.live.remove(id)?;
        self.reported_progress.remove(id);
        self.remove_from_graph(context, id, &job);
        Some(job)
    }

    fn push_update(&mut self, id: &JobId) {
        let Some(job) = self.live.get(id) else { return };
        self.events.push(JobEvent::Updated {
            shard: job.shard,
            id: id.clone(),
            spec: job.effective_spec(),
            blocked: job.dependencies.blocked(),
        });
    }

    /// Sends the requests that are due.
    pub(crate) fn tick(&mut self, context: JobContext, outbox: &mut Outbox<DependencyRequest>) {
        self.read_unresolved_ends(context, outbox);
        self.read_dependency_parts(context, outbox);
        self.cancel_dependents(context, outbox);
    }

    /// Takes in a reply of the store.
    pub(crate) fn reply(
        &mut self,
        context: JobContext,
        request: DependencyRequest,
        reply: StoreReply,
        outbox: &mut Outbox<DependencyRequest>,
    ) {
        match request {
            DependencyRequest::PartsRead(read) => self.parts_reply(context, read, reply, outbox),
            DependencyRequest::End { id } => self.unresolved_end_reply(context, &id, reply),
            DependencyRequest::CascadeCancel { ids } => self.cascade_reply(context, &ids, &reply),
        }
    }
}
