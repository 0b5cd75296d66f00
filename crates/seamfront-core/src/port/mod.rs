//! The engine's interface: the commands that it takes and the effects that it returns. Adapters translate between these
//! and the wire formats.

use crate::types::{JobId, JobSpec, MachineId, Micros};

mod agents;
mod cloud;
mod peers;
mod users;

pub use agents::{DirectOutcome, Exit, Heartbeat, Order, TaskState, TaskStatus};
pub use cloud::{CloudReply, CloudRequest, ListedMachine, ListedState};
pub use peers::{
    ClaimAnnouncement, JobProgress, MachineView, PeerMessage, Progress, ResourceRequest,
};
pub use seamfront_lease::store::{Entry, StoreReply, StoreRequest, Write};
pub use users::{Answer, JobState, SubmissionError};

/// Identifies a client's request that has not been answered yet. Only the adapters know its connection.
pub type ClientRequestId = u64;

/// Identifies a call made by the engine: to the key-value store, to the cloud API, or directly to an agent.
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
    /// A user asks for the state of a job.
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
    /// An agent sends a heartbeat.
    Heartbeat {
        /// The request.
        to: ClientRequestId,
        /// The heartbeat.
        heartbeat: Box<Heartbeat>,
    },
    /// A call made by [`Effect::SendDirect`] has ended.
    DirectResult {
        /// The call that has ended.
        call: CallId,
        /// The machine whose agent the orders were sent to.
        machine: MachineId,
        /// Its outcome.
        outcome: DirectOutcome,
    },
    /// The key-value store has replied.
    Store {
        /// The call that has ended.
        call: CallId,
        /// The reply.
        reply: StoreReply,
    },
    /// The cloud API has replied.
    Cloud {
        /// The call that has ended.
        call: CallId,
        /// The reply.
        reply: CloudReply,
    },
    /// Another controller has sent a message.
    Peer {
        /// Member index of the sender.
        from: usize,
        /// The message.
        message: PeerMessage,
    },
    /// The load balancer checks whether this controller can take requests.
    HealthCheck {
        /// The request.
        to: ClientRequestId,
    },
}

/// An output of the engine that the adapters carry out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Answer a user.
    Answer {
        /// The request.
        to: ClientRequestId,
        /// The answer.
        answer: Answer,
    },
    /// Answer an agent's heartbeat with orders.
    HeartbeatReply {
        /// The request.
        to: ClientRequestId,
        /// The fencing token under which the orders are given.
        fencing_token: u64,
        /// The orders, to be carried out in this sequence.
        orders: Vec<Order>,
    },
    /// Redirect an agent to the controller that holds its machine's shard.
    Redirect {
        /// The request.
        to: ClientRequestId,
        /// Member index of that controller; `None` if it is not known.
        member: Option<usize>,
    },
    /// Answer a health check of the load balancer.
    HealthReply {
        /// The request.
        to: ClientRequestId,
        /// Whether this controller can take requests.
        ready: bool,
    },
    /// Send orders directly to an agent.
    SendDirect {
        /// The call; its outcome comes as [`Command::DirectResult`].
        call: CallId,
        /// The machine.
        machine: MachineId,
        /// Address of the machine's agent.
        addr: String,
        /// The incarnation of the agent that the orders are meant for.
        incarnation: u64,
        /// The fencing token under which the orders are given.
        fencing_token: u64,
        /// The orders, to be carried out in this sequence.
        orders: Vec<Order>,
    },
    /// Send a request to the key-value store.
    Store {
        /// The call; its reply comes as [`Command::Store`].
        call: CallId,
        /// The request.
        request: StoreRequest,
    },
    /// Send a request to the cloud API.
    Cloud {
        /// The call; its reply comes as [`Command::Cloud`].
        call: CallId,
        /// The request.
        request: CloudRequest,
        /// The adapter reads the clock right before sending. At or after this time it does not send the request but
        /// reports it as failed. `None` sets no limit.
        until: Option<Micros>,
    },
    /// Send a message to another controller.
    SendToPeer {
        /// Member index of the receiver.
        to: usize,
        /// The message.
        message: PeerMessage,
    },
}
