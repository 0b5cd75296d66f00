//! What goes into the engine and what comes out of it. Adapters translate these to the wire.

use crate::types::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Names a waiting request of the adapters'; they alone know what stands behind it.
pub type ReplyTo = u64;
/// Names a call of the engine's: to the state service, the cloud, or straight to a worker.
pub type CallId = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    Fetching,
    Waiting,
    Running,
    Saving,
    Exited(Exit),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    Done,
    Stopped { saved: bool },
    Peers,
    Alone,
    Error,
    NoRoom,
    Busy,
    Unknown,
}

#[derive(Clone, Debug)]
pub struct TaskReport {
    pub task: TaskKey,
    pub attempt: u64,
    pub state: TaskState,
}

#[derive(Clone, Debug)]
pub struct Report {
    pub machine: MachineId,
    pub addr: String,
    pub session: u64,
    pub seq: u64,
    pub token: u64,
    pub notice: Option<Micros>,
    pub tasks: Vec<TaskReport>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    Start { task: TaskKey, attempt: u64 },
    Stop { task: TaskKey, attempt: u64, grace: Micros },
    Forget { task: TaskKey, attempt: u64 },
}

#[derive(Clone, Debug)]
pub enum DirectOutcome {
    /// 200 or 409: whatever the orders were, they are settled now.
    Settled { report: Box<Report> },
    /// The connection was never made, so nothing can arrive late.
    NotSent,
    /// Sent, and no answer.
    Unknown,
}

#[derive(Clone, Debug, PartialEq)]
pub enum StateCall {
    Get { key: String },
    List { prefix: String, after: Option<String> },
    Commit { when: Vec<(String, u64)>, apply: Vec<Write> },
    Grant { ttl: Micros },
    Renew { lease: u64 },
    Changes { prefix: String, after: u64, hold: Micros },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    Put { key: String, value: Value, lease: Option<u64> },
    Delete { key: String },
}

#[derive(Clone, Debug)]
pub struct Entry {
    pub key: String,
    pub value: Value,
    pub version: u64,
}

#[derive(Clone, Debug)]
pub enum StateReply {
    Entry(Entry),
    Missing,
    Page {
        entries: Vec<Entry>,
        more: bool,
        revision: u64,
    },
    Committed {
        revision: u64,
    },
    Conflict {
        failed: Vec<String>,
    },
    Lease {
        id: u64,
    },
    Renewed,
    /// Deletions have no value.
    Changes {
        revision: u64,
        events: Vec<(String, Option<Value>, u64)>,
    },
    TooOld,
    NoSuchLease,
    /// 429 or 503, or the connection was never made: certainly not executed.
    Refused,
    /// No answer: may have been executed, or may be later.
    Unknown,
}

#[derive(Clone, Debug, PartialEq)]
pub enum CloudCall {
    Types,
    Rent { name: String, kind: String, zone: String, spot: bool, count: u32 },
    Delete { machines: Vec<MachineId> },
    List { after: Option<MachineId> },
}

#[derive(Clone, Debug)]
pub enum CloudReply {
    Types(Vec<MachineType>),
    Rented(Vec<MachineId>),
    NoCapacity,
    Deleted,
    Page { machines: Vec<Listed>, more: bool },
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    Starting,
    Running,
    Failed,
}

#[derive(Clone, Debug)]
pub struct Listed {
    pub id: MachineId,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub state: ListedState,
    pub age: Micros,
}

/// Tasks of one size that find no room in a share: a class, not single tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Need {
    pub job: JobId,
    pub task: Amounts,
    pub count: u32,
    /// Tasks of the job in all.
    pub total: u32,
    /// All of them at once (gangs), or as machines come.
    pub together: bool,
    pub one_zone: bool,
    /// Where places are held for it already, if all must be in one zone.
    pub gathering: Option<String>,
    pub spread: bool,
    pub priority: Priority,
    pub guaranteed: bool,
    /// See [`turn`].
    pub overdue: bool,
    pub types: Option<Vec<String>>,
    pub zone: Option<String>,
    pub spot: bool,
    pub image_mb: i64,
    pub estimate: Micros,
    pub waited: Micros,
    /// Time left until it must start to be in time, if it still can be.
    pub left: Option<Micros>,
    pub service: bool,
}

/// A machine as its owner sees it, told to the leader. There are thousands of these in a second: names
/// are short on the wire and what is as usual is left out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineView {
    #[serde(rename = "i")]
    pub id: MachineId,
    #[serde(rename = "v")]
    pub version: u64,
    #[serde(rename = "n", default, skip_serializing_if = "usual")]
    pub up: bool,
    #[serde(rename = "u", default, skip_serializing_if = "usual")]
    pub used: Amounts,
    /// Of that, by services, which do not end by themselves.
    #[serde(rename = "p", default, skip_serializing_if = "usual")]
    pub pinned: Amounts,
    /// Empty since this long, with nothing unsettled; only then may it be asked for.
    #[serde(rename = "e", default, skip_serializing_if = "usual")]
    pub idle: Option<Micros>,
    /// Idle, but held for a gang that waits for more: not to be returned, though more urgent work
    /// elsewhere may have it.
    #[serde(rename = "g", default, skip_serializing_if = "usual")]
    pub gathered: bool,
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
    pub least: Option<Priority>,
    #[serde(rename = "w", default, skip_serializing_if = "usual")]
    pub loss: Micros,
}

fn usual<T: Default + PartialEq>(v: &T) -> bool {
    *v == T::default()
}

/// Between controllers. Nothing here is needed for safety; it saves time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MeshMessage {
    /// Sent regularly: who I am, which claims (name, version) I hold, and how many writes are awaited
    /// here.
    Alive {
        ready: bool,
        claims: Vec<(String, u64)>,
        #[serde(default)]
        awaited: usize,
    },
    /// A share's state of affairs, for the leader.
    Share { share: usize, version: u64, needs: Vec<Need>, machines: Vec<MachineView> },
    /// The leader asks for idle machines to be released; with `above`, also to be cleared of work
    /// that is less important.
    Release { share: usize, machines: Vec<MachineId>, above: Option<Priority> },
    /// To the holder of a job's share, once its end is recorded: its view shows that a moment later, and starts
    /// nothing meanwhile. Nothing rests on its arriving.
    Cancelled { job: JobId, tasks: u32 },
    /// Display counts of live jobs: (job, done, running).
    Progress { jobs: Vec<(JobId, u32, u32)> },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Status {
        created: bool,
        id: JobId,
        state: ShownState,
        done: u32,
        running: u32,
    },
    NotFound,
    Impossible {
        why: String,
    },
    /// Cannot be known or taken now; come back.
    Later {
        after: Micros,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShownState {
    Queued,
    Running,
    Done,
    Cancelled,
}

#[derive(Clone, Debug)]
pub enum Command {
    Submit {
        to: ReplyTo,
        spec: Box<JobSpec>,
    },
    Poll {
        to: ReplyTo,
        id: JobId,
    },
    Cancel {
        to: ReplyTo,
        id: JobId,
    },
    Report {
        to: ReplyTo,
        report: Box<Report>,
    },
    /// `call` is that of the effect that it answers.
    Direct {
        call: CallId,
        machine: MachineId,
        outcome: DirectOutcome,
    },
    State {
        call: CallId,
        reply: StateReply,
    },
    Cloud {
        call: CallId,
        reply: CloudReply,
    },
    Mesh {
        from: usize,
        message: MeshMessage,
    },
    Health {
        to: ReplyTo,
    },
}

#[derive(Clone, Debug)]
pub enum Effect {
    Answer {
        to: ReplyTo,
        answer: Answer,
    },
    Orders {
        to: ReplyTo,
        token: u64,
        orders: Vec<Order>,
    },
    /// Not this node's machine; the owner's name where it is known.
    Elsewhere {
        to: ReplyTo,
        member: Option<usize>,
    },
    Healthy {
        to: ReplyTo,
        yes: bool,
    },
    Direct {
        call: CallId,
        machine: MachineId,
        addr: String,
        session: u64,
        token: u64,
        orders: Vec<Order>,
    },
    State {
        call: CallId,
        request: StateCall,
    },
    Cloud {
        call: CallId,
        request: CloudCall,
    },
    Mesh {
        to: usize,
        message: MeshMessage,
    },
}
