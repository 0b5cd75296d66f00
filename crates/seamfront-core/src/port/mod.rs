//! What goes into the engine and what comes out of it. Adapters translate these to the wire.

use crate::types::*;

mod cloud;
mod peers;
mod users;
mod workers;

pub use cloud::*;
pub use peers::*;
pub use seamfront_lease::store::*;
pub use users::*;
pub use workers::*;

/// Names a waiting request of the adapters'; they alone know what stands behind it.
pub type ReplyTo = u64;

/// Names a call of the engine's: to the state service, the cloud, or straight to a worker.
pub type CallId = u64;

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
        /// It may be sent only before this time, by a clock read just then; else it has failed.
        until: Option<Micros>,
    },
    /// Send a message to another controller.
    Mesh {
        /// Index of the receiver.
        to: usize,
        /// The message.
        message: MeshMessage,
    },
}
