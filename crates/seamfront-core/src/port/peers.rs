//! Messages between controllers.

use crate::types::{JobId, MachineId, Micros, Priority, Resources};
use serde::{Deserialize, Serialize};

/// Tasks of one size that find no room in a shard: a class, not single tasks.
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
    /// See [`turn`].
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

/// A machine as its owner sees it, told to the leader. There are thousands of these in a second: names
/// are short on the wire and what is as usual is left out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineView {
    /// Name.
    #[serde(rename = "i")]
    pub id: MachineId,
    /// Version of its record.
    #[serde(rename = "v")]
    pub version: u64,
    /// Whether its worker is heard and hears us.
    #[serde(rename = "n", default, skip_serializing_if = "usual")]
    pub up: bool,
    /// What the tasks placed there take.
    #[serde(rename = "u", default, skip_serializing_if = "usual")]
    pub used: Resources,
    /// Of that, by services, which do not end by themselves.
    #[serde(rename = "p", default, skip_serializing_if = "usual")]
    pub pinned: Resources,
    /// Empty since this long, with nothing unsettled; only then may it be asked for.
    #[serde(rename = "e", default, skip_serializing_if = "usual")]
    pub idle: Option<Micros>,
    /// A gang holds room here until it has all that it needs, beside lesser work or until such work has been stopped:
    /// not to be returned, though more urgent work elsewhere may have it.
    #[serde(rename = "g", default, skip_serializing_if = "usual")]
    pub reserved_for_gang: bool,
    /// Whether it was let go for the leader.
    #[serde(rename = "r", default, skip_serializing_if = "usual")]
    pub released: bool,
    /// The owner wants it gone: silent, failing or about to be taken.
    #[serde(rename = "b", default, skip_serializing_if = "usual")]
    pub bad: bool,
    /// About to be taken back by the cloud.
    #[serde(rename = "t", default, skip_serializing_if = "usual")]
    pub leaving: bool,
    /// The most important priority among its tasks, and the work that clearing it would lose.
    #[serde(rename = "l", default, skip_serializing_if = "usual")]
    pub highest_priority: Option<Priority>,
    /// Work that would be lost.
    #[serde(rename = "w", default, skip_serializing_if = "usual")]
    pub loss: Micros,
}

fn usual<T: Default + PartialEq>(v: &T) -> bool {
    *v == T::default()
}

/// Between controllers. Nothing here is needed for safety; it saves time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Sent regularly: who I am, which claims (name, version) I hold, and how many writes are awaited
    /// here.
    Alive {
        /// Whether the sender can take requests and hears workers.
        ready: bool,
        /// Key and version of each claim that it holds.
        claims: Vec<(String, u64)>,
        /// How many writes wait there.
        #[serde(default, rename = "awaited")]
        pending_writes: usize,
    },
    /// A shard's state of affairs, for the leader.
    #[serde(rename = "Share")]
    Shard {
        /// Number of the shard.
        #[serde(rename = "share")]
        shard: usize,
        /// Version of its holder's claim.
        version: u64,
        /// What finds no room there.
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
    /// To the holder of a job's shard, once its end is recorded: its view shows that a moment later, and starts
    /// nothing meanwhile. Nothing rests on its arriving.
    Cancelled {
        /// The job.
        job: JobId,
        /// How many tasks it has.
        tasks: u32,
    },
    /// Display counts of live jobs: (job, done, running).
    Progress {
        /// Job, tasks done, tasks running.
        jobs: Vec<(JobId, u32, u32)>,
    },
}
