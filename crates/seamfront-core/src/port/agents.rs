//! Messages between controllers and agents: heartbeats, orders, and outcomes of direct commands.

use crate::types::{MachineId, Micros, TaskKey};

/// State of a task as shown by its agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// Its image is being fetched.
    Fetching,
    /// Waiting for the other tasks of its gang.
    Waiting,
    /// Running.
    Running,
    /// Stopped by an order and saving a checkpoint.
    Saving,
    /// Exited.
    Exited(Exit),
}

/// How a task exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Completed.
    Done,
    /// Stopped by an order.
    Stopped {
        /// Whether it saved a checkpoint.
        saved: bool,
    },
    /// Another task of its gang was lost.
    PeerLost,
    /// The other tasks of its gang did not start in time.
    GangIncomplete,
    /// Failed.
    Error,
    /// Refused: the machine lacks free capacity.
    NoRoom,
    /// Refused: the task is on the machine under another attempt.
    OtherAttemptPresent,
    /// Refused: the agent knows no such task.
    Unknown,
}

/// A task in a heartbeat.
#[derive(Clone, Debug)]
pub struct TaskStatus {
    /// The task.
    pub task: TaskKey,
    /// Number of the attempt.
    pub attempt: u64,
    /// State of the task.
    pub state: TaskState,
}

/// An agent's heartbeat, with the status of its machine.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    /// Name of the machine.
    pub machine: MachineId,
    /// Address at which the agent takes direct commands.
    pub addr: String,
    /// Incarnation of the agent; a restarted agent has a new one.
    pub incarnation: u64,
    /// Sequence number; increases with each message of an incarnation.
    pub sequence: u64,
    /// The highest fencing token that the agent has seen.
    pub fencing_token: u64,
    /// Time until the cloud preempts the machine; `None` without a notice.
    pub preemption_notice: Option<Micros>,
    /// All tasks on the machine, exited ones included.
    pub tasks: Vec<TaskStatus>,
}

/// An order to an agent.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Start a task.
    Start {
        /// The task.
        task: TaskKey,
        /// Number of the attempt.
        attempt: u64,
    },
    /// Stop a task, after time to save a checkpoint.
    Stop {
        /// The task.
        task: TaskKey,
        /// Number of the attempt.
        attempt: u64,
        /// Time that the task has to save a checkpoint.
        grace: Micros,
    },
    /// Omit an exited task from further heartbeats.
    Forget {
        /// The task.
        task: TaskKey,
        /// Number of the attempt.
        attempt: u64,
    },
}

/// Outcome of a direct command.
#[derive(Clone, Debug)]
pub enum DirectOutcome {
    /// Each order has been carried out or refused (HTTP status 200 or 409).
    Settled {
        /// The agent's heartbeat after the command.
        heartbeat: Box<Heartbeat>,
    },
    /// No connection was made, so the orders can't arrive late.
    NotSent,
    /// Sent but not answered, so the orders may still be carried out.
    Unknown,
}
