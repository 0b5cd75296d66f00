//! Messages between controllers.

use crate::types::{JobId, MachineId, Micros, Priority, Resources};
use serde::{Deserialize, Serialize};

/// A request for resources that a job lacks: those of its tasks that find no free capacity in their shard, all of one
/// size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResourceRequest {
    /// The waiting job.
    pub job: JobId,
    /// Resources that each task needs.
    #[serde(rename = "task")]
    pub task_resources: Resources,
    /// Number of tasks without free capacity.
    pub count: u32,
    /// Total number of the job's tasks.
    pub total: u32,
    /// Whether all tasks must start together, as in a gang; otherwise each starts as soon as there is a machine for it.
    #[serde(rename = "together")]
    pub all_or_nothing: bool,
    /// Whether all tasks must be in one zone.
    pub one_zone: bool,
    /// The zone in which some of the tasks are already placed or have reserved capacity, if all must be in one zone.
    #[serde(rename = "gathering")]
    pub reserved_zone: Option<String>,
    /// Whether at most half of the tasks, rounded up, may be in one zone.
    pub spread: bool,
    /// Priority.
    pub priority: Priority,
    /// Whether the job is within its team's guarantee.
    pub guaranteed: bool,
    /// Whether the job is starving; see [`crate::types::queue_rank`].
    #[serde(rename = "overdue")]
    pub starving: bool,
    /// Allowed machine types; `None` allows all.
    pub types: Option<Vec<String>>,
    /// The only allowed zone; `None` allows all.
    pub zone: Option<String>,
    /// Whether spot machines may be used.
    pub spot: bool,
    /// Size of the image in MB.
    pub image_mb: i64,
    /// The user's estimate of a task's run time.
    pub estimate: Micros,
    /// How long the job has been waiting.
    #[serde(rename = "waited")]
    pub waiting_time: Micros,
    /// Time left until the job must start; see [`Settings::start_by`](crate::types::Settings::start_by).
    #[serde(rename = "left")]
    pub time_until_start_by: Option<Micros>,
    /// Whether the job is a service.
    pub service: bool,
}

/// A machine as seen by the holder of its shard, who sends it to the leader. Thousands of these are sent per second, so
/// their fields have short names on the wire, and default values are omitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineView {
    /// Name.
    #[serde(rename = "i")]
    pub id: MachineId,
    /// Version of the machine's record.
    #[serde(rename = "v")]
    pub version: u64,
    /// Whether its agent's heartbeats arrive, and the shard holder's replies reach the agent.
    #[serde(rename = "n", default, skip_serializing_if = "is_default")]
    pub reachable: bool,
    /// Resources of the tasks placed on it.
    #[serde(rename = "u", default, skip_serializing_if = "is_default")]
    pub used: Resources,
    /// The part of `used` that belongs to services, which do not end by themselves.
    #[serde(rename = "p", default, skip_serializing_if = "is_default")]
    pub used_by_services: Resources,
    /// How long it has had no tasks and nothing unsettled. Only then does its shard release it without a drain.
    #[serde(rename = "e", default, skip_serializing_if = "is_default")]
    pub idle: Option<Micros>,
    /// Whether a gang has reserved capacity on it until all of the gang's tasks are placed; less important work may run
    /// beside it or until it is preempted. Such a machine is not scaled in, but may go to more urgent work of another
    /// shard.
    #[serde(rename = "g", default, skip_serializing_if = "is_default")]
    pub reserved_for_gang: bool,
    /// Whether its shard has released it for the leader.
    #[serde(rename = "r", default, skip_serializing_if = "is_default")]
    pub released: bool,
    /// Whether it is to be replaced: its agent is silent, tasks fail on it, or the cloud is about to preempt it.
    #[serde(rename = "b", default, skip_serializing_if = "is_default")]
    pub condemned: bool,
    /// Whether the cloud has given notice that it will preempt the machine.
    #[serde(rename = "t", default, skip_serializing_if = "is_default")]
    pub preemption_notice: bool,
    /// The most important priority among its tasks; `None` without tasks.
    #[serde(rename = "l", default, skip_serializing_if = "is_default")]
    pub highest_priority: Option<Priority>,
    /// Work that would be lost by evicting all of its tasks.
    #[serde(rename = "w", default, skip_serializing_if = "is_default")]
    pub eviction_loss: Micros,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// A claim that the sender of a message holds. On the wire: `[key, version]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(String, u64)", into = "(String, u64)")]
pub struct ClaimAnnouncement {
    /// Key of the claim's record in the store.
    pub key: String,
    /// Version of that record.
    pub version: u64,
}

impl From<(String, u64)> for ClaimAnnouncement {
    fn from((key, version): (String, u64)) -> Self {
        ClaimAnnouncement { key, version }
    }
}

impl From<ClaimAnnouncement> for (String, u64) {
    fn from(claim: ClaimAnnouncement) -> Self {
        (claim.key, claim.version)
    }
}

/// Progress of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Number of tasks that are done.
    pub done: u32,
    /// Number of running tasks.
    pub running: u32,
}

/// Progress of a live job. On the wire: `[id, done, running]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(JobId, u32, u32)", into = "(JobId, u32, u32)")]
pub struct JobProgress {
    /// The job.
    pub id: JobId,
    /// Its progress.
    pub progress: Progress,
}

impl From<(JobId, u32, u32)> for JobProgress {
    fn from((id, done, running): (JobId, u32, u32)) -> Self {
        JobProgress {
            id,
            progress: Progress { done, running },
        }
    }
}

impl From<JobProgress> for (JobId, u32, u32) {
    fn from(job: JobProgress) -> Self {
        (job.id, job.progress.done, job.progress.running)
    }
}

/// A message between controllers. Safety never depends on its delivery: messages only save time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Sent at regular intervals: the claims that the sender holds, and its number of pending writes.
    Alive {
        /// Whether the sender can take requests and agents reach it.
        ready: bool,
        /// Claims that the sender holds.
        claims: Vec<ClaimAnnouncement>,
        /// Number of the sender's pending writes.
        #[serde(default, rename = "awaited")]
        pending_writes: usize,
    },
    /// State of a shard, sent to the leader by the shard's holder.
    #[serde(rename = "Share")]
    Shard {
        /// Number of the shard.
        #[serde(rename = "share")]
        shard: usize,
        /// Version of the holder's claim on the shard.
        version: u64,
        /// Resources that the shard's jobs lack.
        #[serde(rename = "needs")]
        requests: Vec<ResourceRequest>,
        /// Machines of the shard.
        machines: Vec<MachineView>,
    },
    /// The leader asks the holder of a shard to release idle machines; with `above`, also to drain machines of less
    /// important work.
    Release {
        /// Number of the shard.
        #[serde(rename = "share")]
        shard: usize,
        /// Machines to release.
        machines: Vec<MachineId>,
        /// Priority of the work that the machines are for, if they may be drained of work of lower priority.
        above: Option<Priority>,
    },
    /// Sent to the holder of a job's shard once the end of the job is recorded, so that the holder starts no task of it
    /// before its view of the store shows the end a moment later. Nothing depends on the delivery of this message.
    Cancelled {
        /// The job.
        job: JobId,
        /// Number of the job's tasks.
        tasks: u32,
    },
    /// Progress of live jobs, shown to users.
    Progress {
        /// Jobs whose progress has changed.
        jobs: Vec<JobProgress>,
    },
}
