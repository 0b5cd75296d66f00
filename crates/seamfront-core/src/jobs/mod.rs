//! Registry of the jobs that this controller knows: the live ones as shown by the view of `job/`, how others ended, and
//! which live jobs are blocked on dependencies.
//!
//! A job's record lists its dependencies, and the records of their ends say how they ended. So if a controller fails,
//! any other finds everything in the store. The dependency graph is derived from the view, in which a dependency always
//! appears before its dependents.
//!
//! A job starts only after the store has confirmed that each of its dependencies is done. A job with a cancelled
//! dependency is cancelled too, one level of the graph after the other: the end of the first job is durable, and all
//! other cancellations follow from it.

mod cascade;
mod dependency_graph;
mod ended;
mod live;
mod records;
mod resolution;
mod urgency;

pub(crate) use live::LiveJob;
pub(crate) use records::{
    dependency_part_key, end_conditions, end_writes, has_dependencies, JobRecordKind,
};
pub use records::{end_key, job_key, EndRecord};

use crate::outbox::Outbox;
use crate::port::{Entry, JobProgress, Progress, StoreReply};
use crate::types::{JobId, JobSpec, Micros, Settings};
use dependency_graph::{DependencyGraph, UnblockedJobs};
use ended::EndedJobs;
use std::collections::BTreeMap;
use std::rc::Rc;
use urgency::UrgencyQueue;

/// What the registry and the user API need to know about shards.
pub(crate) trait ShardDirectory {
    /// Whether this controller holds the shard.
    fn held_here(&self, shard: usize) -> bool;
    /// Progress of a job, if its shard is held here and knows the job.
    fn progress(&self, shard: usize, job: &JobId) -> Option<Progress>;
    /// The other member that holds the shard, if it is known.
    fn peer_holder(&self, shard: usize) -> Option<usize>;
}

/// What the registry can access of the rest of the controller during a call.
#[derive(Clone, Copy)]
pub(crate) struct JobContext<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) now: Micros,
    pub(crate) wall_time: Micros,
    pub(crate) shards: &'a dyn ShardDirectory,
}

/// A change to a job that its shard must be told of, if this controller holds the shard.
pub(crate) enum JobEvent {
    /// The job has become live.
    Added {
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

/// A read in progress, page by page, of a dependency list that is stored in parts.
pub(crate) struct DependencyListRead {
    id: JobId,
    /// Version of the job's record when the read began.
    version: u64,
    /// The parts read so far.
    entries: Vec<Entry>,
}

/// An outstanding request to the store that concerns the dependencies of live jobs.
pub(crate) enum DependencyRequest {
    /// Reads the remaining parts of a job's dependency list.
    ReadParts(DependencyListRead),
    /// Reads how a dependency ended.
    ReadEnd { id: JobId },
    /// Cancels jobs with a cancelled dependency.
    CascadeCancel { ids: Vec<JobId> },
}

/// All jobs that this controller knows.
#[derive(Default)]
pub(crate) struct JobRegistry {
    live: BTreeMap<JobId, LiveJob>,
    ended: EndedJobs,
    /// Progress of live jobs, as reported by the holders of their shards.
    reported_progress: BTreeMap<JobId, Progress>,
    graph: DependencyGraph,
    unblocked: UnblockedJobs,
    urgency_queue: UrgencyQueue,
    events: Vec<JobEvent>,
    /// Number of items examined; see [`crate::Engine::items_examined`].
    pub(crate) items_examined: i64,
}

impl JobRegistry {
    /// The job, if it is live.
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

    /// How a job ended, if its end is cached.
    pub(crate) fn end_of(&self, id: &JobId) -> Option<EndRecord> {
        self.ended.get(id)
    }

    /// Progress of a live job, as reported by the holder of its shard; zero if none was reported.
    pub(crate) fn reported_progress(&self, id: &JobId) -> Progress {
        self.reported_progress.get(id).copied().unwrap_or_default()
    }

    /// Stores the progress that the holder of a shard has reported for a job.
    pub(crate) fn store_progress(&mut self, reported: JobProgress) {
        if self.live.contains_key(&reported.id) {
            self.reported_progress
                .insert(reported.id, reported.progress);
        }
    }

    /// Returns the events since the last call, in order.
    pub(crate) fn take_events(&mut self) -> Vec<JobEvent> {
        std::mem::take(&mut self.events)
    }

    /// Adds a job that the store has shown to be live at this version.
    pub(crate) fn job_changed(&mut self, context: JobContext, spec: Rc<JobSpec>, version: u64) {
        let Some(shard) = context.settings.shard_of(&spec.team) else {
            return;
        };
        let id = spec.id.clone();
        // An end is final, but a view that lags behind may still show the job.
        if self.ended.get(&id).is_some() || self.live.get(&id).is_some_and(|j| j.version >= version)
        {
            return;
        }
        let (spec, dependencies) = without_dependencies(spec);
        self.live
            .insert(id.clone(), LiveJob::new(spec.clone(), version, shard));
        let has_dependencies = self.register_dependencies(context, &id, dependencies);
        self.events.push(JobEvent::Added {
            shard,
            spec,
            version,
        });
        if has_dependencies {
            self.push_update(&id);
        }
        self.queue_urgency(&id);
    }

    /// Removes a job whose record is gone from the store, or whose end is known.
    pub(crate) fn job_removed(&mut self, context: JobContext, id: &JobId) {
        if let Some(job) = self.remove_live(context, id) {
            let (shard, id) = (job.shard, id.clone());
            self.events.push(JobEvent::Ended { shard, id });
        }
    }

    /// Records an end that the store has confirmed. From now on no task of the job is started, whatever the view still
    /// shows: users who are told of the end may rely on it.
    pub(crate) fn end_confirmed(&mut self, context: JobContext, id: &JobId, end: EndRecord) {
        self.ended.insert(id, end);
        self.job_removed(context, id);
    }

    /// Records that all tasks of a job are done. The job's shard, held here, has stored this itself and needs no event.
    pub(crate) fn completed(&mut self, context: JobContext, id: &JobId, tasks: u32) {
        self.cache_end(
            id,
            EndRecord {
                cancelled: false,
                tasks,
            },
        );
        self.remove_live(context, id);
    }

    /// Caches an end without removing a live job, for jobs that were never live here.
    pub(crate) fn cache_end(&mut self, id: &JobId, end: EndRecord) {
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
        self.log_unblocked(context.now);
    }

    /// Handles a reply of the store.
    pub(crate) fn reply(
        &mut self,
        context: JobContext,
        request: DependencyRequest,
        reply: StoreReply,
        outbox: &mut Outbox<DependencyRequest>,
    ) {
        match request {
            DependencyRequest::ReadParts(read) => self.parts_reply(context, read, reply, outbox),
            DependencyRequest::ReadEnd { id } => self.unresolved_end_reply(context, &id, reply),
            DependencyRequest::CascadeCancel { ids } => self.cascade_reply(context, &ids, &reply),
        }
    }
}

/// Takes the list of dependencies out of a spec. From here on the graph stores it, as far as it is pending: a list may
/// have thousands of entries, and specs are copied when priorities or deadlines change.
fn without_dependencies(spec: Rc<JobSpec>) -> (Rc<JobSpec>, Vec<JobId>) {
    if spec.dependencies.is_empty() {
        return (spec, Vec::new());
    }
    let mut spec = Rc::unwrap_or_clone(spec);
    let dependencies = std::mem::take(&mut spec.dependencies);
    (Rc::new(spec), dependencies)
}
