//! Workers: reports, orders, and what becomes of direct commands.

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
pub struct TaskStatus {
    /// The task.
    pub task: TaskKey,
    /// Its attempt number.
    pub attempt: u64,
    /// Its state.
    pub state: TaskState,
}

/// What a worker says of itself.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    /// The machine's name.
    pub machine: MachineId,
    /// Where its worker takes direct commands.
    pub addr: String,
    /// The worker's session.
    pub incarnation: u64,
    /// Rises with every message in a session.
    pub sequence: u64,
    /// The highest token that the worker has seen.
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
        heartbeat: Box<Heartbeat>,
    },
    /// The connection was never made, so nothing can arrive late.
    NotSent,
    /// Sent, and no answer.
    Unknown,
}
