//! Commands to the engine and its effects. Adapters translate these to the wire.

use crate::types::{JobId, JobSpec, MachineId, Micros};

mod cloud;
mod peers;
mod users;
mod workers;

pub use cloud::{CloudReply, CloudRequest, ListedMachine, ListedState};
pub use peers::{
    ClaimAnnouncement, JobProgress, MachineView, PeerMessage, Progress, ResourceRequest,
};
pub use seamfront_lease::store::{Entry, StoreReply, StoreRequest, Write};
pub use users::{Answer, JobState, SubmissionError};
pub use workers::{DirectOutcome, Exit, Heartbeat, Order, TaskState, TaskStatus};

/// Identifies a client's request that awaits its answer; only the adapters know the connection behind it.
pub type ClientRequestId = u64;

/// Identifies a call of the engine: to the key-value store, the cloud, or directly to a worker.
pub type CallId = u64;

/// An input of the engine.
#[derive(Clone, Debug)]
pub enum Command {
    /// A user submits a job.
    Submit {
        /// The request.
        to: ClientRequestId,
        /// The job.
        spec: Box<JobSpec>,
    },
    /// A user asks about a job.
    Poll {
        /// The request.
        to: ClientRequestId,
        /// The job.
        id: JobId,
    },
    /// A user cancels a job.
    Cancel {
        /// The request.
        to: ClientRequestId,
        /// The job.
        id: JobId,
    },
    /// A worker sends a heartbeat with its status.
    Heartbeat {
        /// The request.
        to: ClientRequestId,
        /// The heartbeat.
        heartbeat: Box<Heartbeat>,
    },
    /// The outcome of [`Effect::SendDirect`].
    DirectResult {
        /// The call that it answers.
        call: CallId,
        /// The machine that the orders were for.
        machine: MachineId,
        /// The outcome.
        outcome: DirectOutcome,
    },
    /// The key-value store has replied.
    Store {
        /// The call that it answers.
        call: CallId,
        /// The answer.
        reply: StoreReply,
    },
    /// The cloud has replied.
    Cloud {
        /// The call that it answers.
        call: CallId,
        /// The answer.
        reply: CloudReply,
    },
    /// Another controller has sent a message.
    Peer {
        /// Index of the sender.
        from: usize,
        /// The message.
        message: PeerMessage,
    },
    /// The load balancer asks whether this controller can take requests.
    Health {
        /// The request.
        to: ClientRequestId,
    },
}

/// An output of the engine, for the adapters to carry out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Answer a user.
    Answer {
        /// The request.
        to: ClientRequestId,
        /// The answer.
        answer: Answer,
    },
    /// Answer a worker's heartbeat with orders.
    HeartbeatReply {
        /// The request.
        to: ClientRequestId,
        /// The fencing token that gives the right to command.
        fencing_token: u64,
        /// The orders, in the order in which they are to be carried out.
        orders: Vec<Order>,
    },
    /// Redirect a worker to the owner of its machine, which is not this controller.
    Redirect {
        /// The request.
        to: ClientRequestId,
        /// Index of the owner, where it is known.
        member: Option<usize>,
    },
    /// Answer the load balancer.
    Healthy {
        /// The request.
        to: ClientRequestId,
        /// Whether this controller can take requests.
        yes: bool,
    },
    /// Send orders directly to a worker.
    SendDirect {
        /// The call, for its outcome.
        call: CallId,
        /// The machine.
        machine: MachineId,
        /// Its worker's address.
        addr: String,
        /// The worker incarnation that the orders are meant for.
        incarnation: u64,
        /// The fencing token that gives the right to command.
        fencing_token: u64,
        /// The orders, in the order in which they are to be carried out.
        orders: Vec<Order>,
    },
    /// Send a request to the key-value store.
    Store {
        /// The call, for its answer.
        call: CallId,
        /// The request.
        request: StoreRequest,
    },
    /// Send a request to the cloud.
    Cloud {
        /// The call, for its answer.
        call: CallId,
        /// The request.
        request: CloudRequest,
        /// It may be sent only before this time, by a clock read just then; else it has failed.
        until: Option<Micros>,
    },
    /// Send a message to another controller.
    SendToPeer {
        /// Index of the receiver.
        to: usize,
        /// The message.
        message: PeerMessage,
    },
}
