//! What goes into the engine and what comes out of it. Adapters translate these to the wire.

use crate::types::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Names a waiting request of the adapters'; they alone know what stands behind it.
pub type ReplyTo = u64;
/// Names a call of the engine's: to the state service, the cloud, or straight to a worker.
pub type CallId = u64;

/// State of a task as its worker shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// Waiting for its image.
    Fetching,
    /// Waiting for the other members of its gang.
    Waiting,
    /// Running.
    Running,
    /// Told to stop, and saving.
    Saving,
    /// Ended.
    Exited(Exit),
}

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Completed.
    Done,
    /// Stopped by an order, its progress saved or not.
    Stopped {
        /// Whether its progress was saved.
        saved: bool,
    },
    /// Another member of its gang has gone.
    Peers,
    /// Its gang was not complete in time.
    Alone,
    /// Failed.
    Error,
    /// Refused: the machine has no room.
    NoRoom,
    /// Refused: the task is there under another attempt.
    Busy,
    /// Refused: the worker knows no such task.
    Unknown,
}

/// A task in a report.
#[derive(Clone, Debug)]
pub struct TaskReport {
    /// The task.
    pub task: TaskKey,
    /// Its attempt number.
    pub attempt: u64,
    /// Its state.
    pub state: TaskState,
}

/// What a worker says of itself.
#[derive(Clone, Debug)]
pub struct Report {
    /// The machine's name.
    pub machine: MachineId,
    /// Where its worker takes direct commands.
    pub addr: String,
    /// The worker's session.
    pub session: u64,
    /// Rises with every message in a session.
    pub seq: u64,
    /// The highest token that the worker has seen.
    pub token: u64,
    /// How long until the cloud takes the machine back.
    pub notice: Option<Micros>,
    /// All tasks on the machine, exited ones included.
    pub tasks: Vec<TaskReport>,
}

/// An order to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Start a task.
    Start {
        /// The task.
        task: TaskKey,
        /// Its attempt number.
        attempt: u64,
    },
    /// Stop a task, with time to save.
    Stop {
        /// The task.
        task: TaskKey,
        /// Its attempt number.
        attempt: u64,
        /// Time to save.
        grace: Micros,
    },
    /// Drop an exited task from the reports.
    Forget {
        /// The task.
        task: TaskKey,
        /// Its attempt number.
        attempt: u64,
    },
}

/// What became of a direct command.
#[derive(Clone, Debug)]
pub enum DirectOutcome {
    /// 200 or 409: whatever the orders were, they are settled now.
    /// Carried out or refused.
    Settled {
        /// The worker's report after the command.
        report: Box<Report>,
    },
    /// The connection was never made, so nothing can arrive late.
    NotSent,
    /// Sent, and no answer.
    Unknown,
}

/// A request to the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum StateCall {
    /// Read one key.
    Get {
        /// Key.
        key: String,
    },
    /// Read the keys with a prefix, a page at a time.
    List {
        /// Prefix of the keys.
        prefix: String,
        /// The last key of the page before.
        after: Option<String>,
    },
    /// Compare versions, then write; all or nothing.
    Commit {
        /// Keys with the versions that they must have, 0 for none.
        when: Vec<(String, u64)>,
        /// Changes; without any the versions are only compared.
        apply: Vec<Write>,
    },
    /// Get a lease.
    Grant {
        /// How long it lasts without being renewed.
        ttl: Micros,
    },
    /// Renew a lease.
    Renew {
        /// The lease.
        lease: u64,
    },
    /// Wait for changes after a revision.
    Changes {
        /// Prefix of the keys.
        prefix: String,
        /// The revision after which changes are wanted.
        after: u64,
        /// How long to wait for one.
        hold: Micros,
    },
}

/// A change in a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// Write a key, attached to a lease or not.
    Put {
        /// Key.
        key: String,
        /// Value.
        value: Value,
        /// The lease that the key ends with.
        lease: Option<u64>,
    },
    /// Remove a key.
    Delete {
        /// Key.
        key: String,
    },
}

/// A key as it is stored.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Value,
    /// Revision of its last change.
    pub version: u64,
}

/// An answer of the state service.
#[derive(Clone, Debug)]
pub enum StateReply {
    /// The key asked for.
    Entry(Entry),
    /// There is no such key.
    Missing,
    /// A page of keys.
    Page {
        /// The keys, in order.
        entries: Vec<Entry>,
        /// Whether there are more after the last.
        more: bool,
        /// The state service's revision.
        revision: u64,
    },
    /// The transaction was carried out.
    Committed {
        /// Its revision, or the present one if it only compared.
        revision: u64,
    },
    /// A condition did not hold; nothing was changed.
    Conflict {
        /// Keys whose version is another.
        failed: Vec<String>,
    },
    /// A lease was granted.
    Lease {
        /// Its name.
        id: u64,
    },
    /// The lease has its full time again.
    Renewed,
    /// Deletions have no value.
    Changes {
        /// The revision up to which these are all changes.
        revision: u64,
        /// Key, value and revision of each change.
        events: Vec<(String, Option<Value>, u64)>,
    },
    /// The changes asked for are not kept any more.
    TooOld,
    /// The lease has ended.
    NoSuchLease,
    /// 429 or 503, or the connection was never made: certainly not executed.
    Refused,
    /// No answer: may have been executed, or may be later.
    Unknown,
}

/// A request to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudCall {
    /// Machine types and prices.
    Types,
    /// Rent machines under a name that is never used again.
    Rent {
        /// Name of the rental.
        name: String,
        /// Machine type.
        kind: String,
        /// Zone.
        zone: String,
        /// Whether spot machines are asked for.
        spot: bool,
        /// How many.
        count: u32,
    },
    /// Return machines.
    Delete {
        /// Names of the machines.
        machines: Vec<MachineId>,
    },
    /// A page of the list of machines.
    List {
        /// The last machine of the page before.
        after: Option<MachineId>,
    },
}

/// An answer of the cloud.
#[derive(Clone, Debug)]
pub enum CloudReply {
    /// Machine types and prices.
    Types(Vec<MachineType>),
    /// Machines that were rented.
    Rented(Vec<MachineId>),
    /// None is to be had.
    NoCapacity,
    /// The machines and all on them are gone.
    Deleted,
    /// A page of the list of machines.
    Page {
        /// The machines, in order.
        machines: Vec<Listed>,
        /// Whether there are more after the last.
        more: bool,
    },
    /// Nothing is known of what became of the request.
    Failed,
}

/// State of a listed machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// Not up yet.
    Starting,
    /// Up, or was until a moment ago.
    Running,
    /// Stopped by itself.
    Failed,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug)]
pub struct Listed {
    /// Name.
    pub id: MachineId,
    /// Type.
    pub kind: String,
    /// Zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// State.
    pub state: ListedState,
    /// Time since it was asked for.
    pub age: Micros,
}

/// Tasks of one size that find no room in a shard: a class, not single tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Need {
    /// The job that waits.
    pub job: JobId,
    /// What one task takes.
    pub task: Amounts,
    /// How many tasks find no room.
    pub count: u32,
    /// Tasks of the job in all.
    pub total: u32,
    /// All of them at once (gangs), or as machines come.
    pub together: bool,
    /// Whether all must be in one zone.
    pub one_zone: bool,
    /// Where places are held for it already, if all must be in one zone.
    pub gathering: Option<String>,
    /// Whether at most half may be in one zone.
    pub spread: bool,
    /// How important it is.
    pub priority: Priority,
    /// Whether it lies within its team's guarantee.
    pub guaranteed: bool,
    /// See [`turn`].
    pub overdue: bool,
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
    pub least: Option<Priority>,
    /// Work that would be lost.
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
        /// Whether the sender can take requests and hears workers.
        ready: bool,
        /// Key and version of each claim that it holds.
        claims: Vec<(String, u64)>,
        /// How many writes wait there.
        #[serde(default)]
        awaited: usize,
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
        needs: Vec<Need>,
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

/// Why a job can never run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Impossible {
    /// No such team is in the settings.
    #[error("equipe: unknown team")]
    UnknownTeam,
    /// A task is larger than every allowed machine.
    #[error("no allowed machine type fits a task")]
    NoMachineFits,
    /// One task of an array, or all tasks of another job, exceed the limit.
    #[error("the job needs more than its team's limit")]
    OverLimit,
    /// It names a job that was never accepted.
    #[error("espera: {0} was never accepted")]
    NeedNeverAccepted(JobId),
}

/// An answer to a user.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The state of a job.
    Status {
        /// Whether it was created for this very request.
        created: bool,
        /// The job.
        id: JobId,
        /// Its state.
        state: ShownState,
        /// Tasks that are done.
        done: u32,
        /// Tasks that run.
        running: u32,
    },
    /// There is no such job.
    NotFound,
    /// The job can never run.
    Impossible(Impossible),
    /// Cannot be known or taken now; come back.
    Later {
        /// When to come back.
        after: Micros,
    },
}

/// State of a job as users are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShownState {
    /// No task runs.
    Queued,
    /// A task runs.
    Running,
    /// All tasks are done.
    Done,
    /// Cancelled.
    Cancelled,
}

/// What goes into the engine.
#[derive(Clone, Debug)]
pub enum Command {
    /// A user submits a job.
    Submit {
        /// The request.
        to: ReplyTo,
        /// The job.
        spec: Box<JobSpec>,
    },
    /// A user asks about a job.
    Poll {
        /// The request.
        to: ReplyTo,
        /// The job.
        id: JobId,
    },
    /// A user cancels a job.
    Cancel {
        /// The request.
        to: ReplyTo,
        /// The job.
        id: JobId,
    },
    /// A worker reports.
    Report {
        /// The request.
        to: ReplyTo,
        /// The report.
        report: Box<Report>,
    },
    /// `call` is that of the effect that it answers.
    Direct {
        /// The call that it answers.
        call: CallId,
        /// The machine that was commanded.
        machine: MachineId,
        /// What became of the command.
        outcome: DirectOutcome,
    },
    /// The state service has answered.
    State {
        /// The call that it answers.
        call: CallId,
        /// The answer.
        reply: StateReply,
    },
    /// The cloud has answered.
    Cloud {
        /// The call that it answers.
        call: CallId,
        /// The answer.
        reply: CloudReply,
    },
    /// Another controller has sent a message.
    Mesh {
        /// Index of the sender.
        from: usize,
        /// The message.
        message: MeshMessage,
    },
    /// The load balancer asks whether this controller can take requests.
    Health {
        /// The request.
        to: ReplyTo,
    },
}

/// What comes out of the engine, for the adapters to carry out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Answer a user.
    Answer {
        /// The request.
        to: ReplyTo,
        /// The answer.
        answer: Answer,
    },
    /// Answer a worker's report with orders.
    Orders {
        /// The request.
        to: ReplyTo,
        /// The token that gives the right to command.
        token: u64,
        /// The orders, in the order in which they are to be carried out.
        orders: Vec<Order>,
    },
    /// Not this node's machine; the owner's name where it is known.
    Elsewhere {
        /// The request.
        to: ReplyTo,
        /// Index of the owner, where it is known.
        member: Option<usize>,
    },
    /// Answer the load balancer.
    Healthy {
        /// The request.
        to: ReplyTo,
        /// Whether this controller can take requests.
        yes: bool,
    },
    /// Send orders straight to a worker.
    Direct {
        /// The call, for its outcome.
        call: CallId,
        /// The machine.
        machine: MachineId,
        /// Its worker's address.
        addr: String,
        /// The session that the orders are meant for.
        session: u64,
        /// The token that gives the right to command.
        token: u64,
        /// The orders, in the order in which they are to be carried out.
        orders: Vec<Order>,
    },
    /// Ask the state service.
    State {
        /// The call, for its answer.
        call: CallId,
        /// The request.
        request: StateCall,
    },
    /// Ask the cloud.
    Cloud {
        /// The call, for its answer.
        call: CallId,
        /// The request.
        request: CloudCall,
    },
    /// Send a message to another controller.
    Mesh {
        /// Index of the receiver.
        to: usize,
        /// The message.
        message: MeshMessage,
    },
}
