//! Workers: heartbeats, orders, and outcomes of direct commands.

use crate::types::{MachineId, Micros, TaskKey};

/// State of a task as its worker shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// Waiting for its image.
    Fetching,
    /// Waiting for the other members of its gang.
    Waiting,
    /// Running.
    Running,
    /// Stopped by an order, and saving its progress.
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
    /// Another member of its gang is gone.
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

/// A task in a heartbeat.
#[derive(Clone, Debug)]
pub struct TaskStatus {
    /// The task.
    pub task: TaskKey,
    /// Its attempt number.
    pub attempt: u64,
    /// Its state.
    pub state: TaskState,
}

/// A worker's heartbeat, with the status of its machine.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    /// The machine's name.
    pub machine: MachineId,
    /// Where its worker takes direct commands.
    pub addr: String,
    /// Incarnation of the worker's process.
    pub incarnation: u64,
    /// Increases with each message of an incarnation.
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    pub fencing_token: u64,
    /// How long until the cloud takes the machine back.
    pub preemption_notice: Option<Micros>,
    /// All tasks on the machine, exited ones included.
    pub tasks: Vec<TaskStatus>,
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
    /// Drop an exited task from the heartbeats.
    Forget {
        /// The task.
        task: TaskKey,
        /// Its attempt number.
        attempt: u64,
    },
}

/// Outcome of a direct command.
#[derive(Clone, Debug)]
pub enum DirectOutcome {
    /// 200 or 409: each order has been carried out or refused.
    Settled {
        /// The worker's heartbeat after the command.
        heartbeat: Box<Heartbeat>,
    },
    /// No connection was made, so nothing can arrive late.
    NotSent,
    /// Sent, without an answer.
    Unknown,
}
