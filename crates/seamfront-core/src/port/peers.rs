//! Messages between controllers.

use crate::types::{JobId, MachineId, Micros, Priority, Resources};
use serde::{Deserialize, Serialize};

/// Resources that a job lacks: its tasks that find no free capacity in the shard, all of one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResourceRequest {
    /// The job that waits.
    pub job: JobId,
    /// What one task takes.
    pub task: Resources,
    /// How many tasks find no room.
    pub count: u32,
    /// Tasks of the job in all.
    pub total: u32,
    /// All of them at once (gangs), or as machines come.
    pub together: bool,
    /// Whether all must be in one zone.
    pub one_zone: bool,
    /// Where places are held for it already, if all must be in one zone.
    #[serde(rename = "gathering")]
    pub reserved_zone: Option<String>,
    /// Whether at most half may be in one zone.
    pub spread: bool,
    /// How important it is.
    pub priority: Priority,
    /// Whether it lies within its team's guarantee.
    pub guaranteed: bool,
    /// See [`crate::types::queue_rank`].
    #[serde(rename = "overdue")]
    pub starving: bool,
    /// Allowed machine types.
    pub types: Option<Vec<String>>,
    /// The only allowed zone.
    pub zone: Option<String>,
    /// Whether spot machines may be used.
    pub spot: bool,
    /// Size of its image in MB.
    pub image_mb: i64,
    /// Its owner's estimate of a task's run time.
    pub estimate: Micros,
    /// How long it has waited.
    pub waited: Micros,
    /// Time left until it must start to be in time, if it still can be.
    pub left: Option<Micros>,
    /// Whether it is a service.
    pub service: bool,
}

/// A machine as the holder of its shard sees it, sent to the leader. Thousands of these are sent in a second: names are
/// short on the wire, and default values are left out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineView {
    /// Name.
    #[serde(rename = "i")]
    pub id: MachineId,
    /// Version of its record.
    #[serde(rename = "v")]
    pub version: u64,
    /// Whether its worker's heartbeats arrive and our replies reach it.
    #[serde(rename = "n", default, skip_serializing_if = "is_default")]
    pub up: bool,
    /// What the tasks placed there take.
    #[serde(rename = "u", default, skip_serializing_if = "is_default")]
    pub used: Resources,
    /// Of that, by services, which do not end by themselves.
    #[serde(rename = "p", default, skip_serializing_if = "is_default")]
    pub pinned: Resources,
    /// How long it has been empty with nothing unsettled; only then may the leader ask for its release.
    #[serde(rename = "e", default, skip_serializing_if = "is_default")]
    pub idle: Option<Micros>,
    /// A gang has reserved capacity here until all of its tasks are placed, beside less important work or until that is
    /// preempted: not to be scaled in, though more urgent work elsewhere may get it.
    #[serde(rename = "g", default, skip_serializing_if = "is_default")]
    pub reserved_for_gang: bool,
    /// Whether its shard has released it to the leader.
    #[serde(rename = "r", default, skip_serializing_if = "is_default")]
    pub released: bool,
    /// To be replaced: its worker is silent, it fails, or the cloud is about to take it back.
    #[serde(rename = "b", default, skip_serializing_if = "is_default")]
    pub bad: bool,
    /// About to be taken back by the cloud.
    #[serde(rename = "t", default, skip_serializing_if = "is_default")]
    pub leaving: bool,
    /// The most important priority among its tasks, and the work that clearing it would lose.
    #[serde(rename = "l", default, skip_serializing_if = "is_default")]
    pub highest_priority: Option<Priority>,
    /// Work that would be lost.
    #[serde(rename = "w", default, skip_serializing_if = "is_default")]
    pub loss: Micros,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// A claim that the sender of a message holds. On the wire: `[key, version]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(String, u64)", into = "(String, u64)")]
pub struct ClaimAnnouncement {
    /// Key of the claim's record.
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

/// How many tasks of a job are done and how many run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that run.
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

/// Between controllers. Nothing here is needed for safety; it saves time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Sent regularly: the claims that the sender holds, and how many writes are pending there.
    Alive {
        /// Whether the sender can take requests and workers reach it.
        ready: bool,
        /// The claims that it holds.
        claims: Vec<ClaimAnnouncement>,
        /// How many writes are pending there.
        #[serde(default, rename = "awaited")]
        pending_writes: usize,
    },
    /// State of a shard, for the leader.
    #[serde(rename = "Share")]
    Shard {
        /// Number of the shard.
        #[serde(rename = "share")]
        shard: usize,
        /// Version of its holder's claim.
        version: u64,
        /// What jobs there lack.
        #[serde(rename = "needs")]
        requests: Vec<ResourceRequest>,
        /// Its machines.
        machines: Vec<MachineView>,
    },
    /// The leader asks for idle machines to be released; with `above`, also to be cleared of work
    /// that is less important.
    Release {
        /// Number of the shard.
        #[serde(rename = "share")]
        shard: usize,
        /// The machines asked for.
        machines: Vec<MachineId>,
        /// Priority of the work that they are for, where they may be cleared.
        above: Option<Priority>,
    },
    /// To the holder of a job's shard, once its end is recorded, so that it starts nothing until its view shows the end
    /// a moment later. Nothing depends on its arrival.
    Cancelled {
        /// The job.
        job: JobId,
        /// How many tasks it has.
        tasks: u32,
    },
    /// Progress of live jobs, for display.
    Progress {
        /// The jobs whose progress has changed.
        jobs: Vec<JobProgress>,
    },
}
