//! What goes into a [`DutyManager`](crate::DutyManager) and what comes out of it.

use crate::permit::Permit;
use crate::record::{Operation, OperationName, Settlement};
use crate::settings::StoreLimits;
use crate::store::{StoreReply, StoreRequest, Write};
use serde_json::Value;
use thiserror::Error;

/// Names a request to the store.
pub type CallId = u64;

/// Names a request of the embedding program; it chooses them.
pub type RequestId = u64;

/// What goes in.
#[derive(Clone, Debug)]
pub enum Command {
    /// The store has replied.
    Store {
        /// The request that it replies to.
        call: CallId,
        /// The reply.
        reply: StoreReply,
    },
    /// Begin an operation: record it, then perform it.
    Begin {
        /// Name of this request.
        request: RequestId,
        /// The duty that it belongs to.
        duty: String,
        /// What is to be done.
        payload: Value,
    },
    /// Change the store, fenced by the duty's token: carried out while the duty is held here, or not at all.
    Commit {
        /// Name of this request.
        request: RequestId,
        /// The duty that it belongs to.
        duty: String,
        /// Further conditions.
        conditions: Vec<(String, u64)>,
        /// Changes.
        writes: Vec<Write>,
    },
    /// An attempt to perform an operation has ended.
    Performed {
        /// The duty.
        duty: String,
        /// The operation.
        operation: OperationName,
        /// The attempt, as [`Effect::Perform`] named it.
        attempt: u64,
        /// What became of it.
        outcome: Outcome,
    },
    /// A change that the embedding program made by itself, with the duty's claim among its conditions, failed on it.
    TokenRefused {
        /// The duty.
        duty: String,
        /// The token that was refused.
        fencing_token: u64,
    },
    /// How busy this member is, in percent.
    SetLoad(u64),
    /// What the store takes from now on.
    SetLimits(StoreLimits),
    /// Hand a duty over: to a member, or to whoever has least to do.
    HandOver {
        /// The duty.
        duty: String,
        /// The receiver.
        to: Option<String>,
    },
    /// Hand over all duties, then take none any more.
    Leave,
    /// The version of the former claim while this member holds it, else none.
    FormerClaim(Option<u64>),
}

/// What became of an attempt to perform an operation.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It was carried out, now or earlier. The changes are written with the end of the operation.
    Done {
        /// Changes to the store that belong to it.
        writes: Vec<Write>,
    },
    /// It was refused for good: not carried out, and not to be tried again.
    NotDone,
    /// It may have been carried out, or may yet be. The same will be tried again.
    Unknown,
    /// The permit had run out before it could begin: nothing was sent.
    NotPermitted,
}

/// Why a request of the embedding program was refused. Nothing of it was or will be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Rejection {
    /// There is no such duty in the settings.
    #[error("unknown duty")]
    UnknownDuty,
    /// The duty is not held here, or its predecessor's operations are not settled yet.
    #[error("the duty is not held here")]
    NotHeld,
    /// The duty is being handed over.
    #[error("the duty is being handed over")]
    HandingOver,
    /// As many operations are open as may be.
    #[error("too many open operations")]
    TooManyOpen,
    /// It doesn't fit into the log or into a transaction.
    #[error("too large for the store")]
    TooLarge,
}

/// What became of a fenced change to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// Carried out, with this revision.
    Committed(u64),
    /// One of the caller's conditions did not hold.
    Conflict(Vec<String>),
    /// Not carried out.
    Refused,
    /// The duty was lost before there was a reply: it may have been carried out.
    Unknown,
    /// The duty was lost: not carried out.
    Lost,
}

/// Why a duty was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LossReason {
    /// The member's lease has ended.
    #[error("lease ended")]
    LeaseEnded,
    /// The store refused the token.
    #[error("token refused by the store")]
    TokenRefused,
    /// The view shows another's claim.
    #[error("claimed by another")]
    Replaced,
    /// It was handed over on purpose.
    #[error("handed over")]
    HandedOver,
    /// Its log can't be read by this version.
    #[error("unreadable log")]
    UnreadableLog,
    /// Another process runs under this member's name.
    #[error("another process has this member's name")]
    Superseded,
    /// The settings differ from another member's.
    #[error("settings differ")]
    SettingsDiffer,
}

/// Who holds a duty after it was lost here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Successor {
    /// The member.
    pub member: String,
    /// Its token.
    pub fencing_token: u64,
}

/// What comes out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Ask the store.
    Store {
        /// Name of the request.
        call: CallId,
        /// The request.
        request: StoreRequest,
    },
    /// Perform a recorded operation. It may begin only while the permit is valid by a clock read just before.
    Perform {
        /// The duty.
        duty: String,
        /// The operation.
        operation: Operation,
        /// Number of the attempt.
        attempt: u64,
        /// The right to begin.
        permit: Permit,
        /// Whether a predecessor recorded it.
        settling: bool,
    },
    /// An operation is recorded.
    Began {
        /// The request that began it.
        request: RequestId,
        /// The duty.
        duty: String,
        /// Its name.
        operation: OperationName,
    },
    /// A request was refused.
    Rejected {
        /// The request.
        request: RequestId,
        /// Why.
        rejection: Rejection,
    },
    /// The duty was lost before it was known whether an operation is recorded. If it is, a successor settles it.
    Uncertain {
        /// The request that began it.
        request: RequestId,
    },
    /// The outcome of a fenced change.
    Committed {
        /// The request.
        request: RequestId,
        /// What became of it.
        outcome: CommitOutcome,
    },
    /// The end of an operation is recorded.
    Settled {
        /// The duty.
        duty: String,
        /// The operation.
        operation: Operation,
        /// How it ended.
        settlement: Settlement,
    },
    /// The claim is taken; the predecessor's operations come first.
    Taken {
        /// The duty.
        duty: String,
        /// The token.
        fencing_token: u64,
    },
    /// The duty may be performed.
    Active {
        /// The duty.
        duty: String,
        /// The token.
        fencing_token: u64,
    },
    /// The duty is not held here any more.
    Lost {
        /// The duty.
        duty: String,
        /// The token that is void.
        fencing_token: u64,
        /// Why.
        reason: LossReason,
    },
    /// Who holds a duty that was lost here; sent once for each token.
    Replaced {
        /// The duty.
        duty: String,
        /// The void token.
        fencing_token: u64,
        /// The new holder.
        successor: Successor,
    },
    /// All duties are handed over.
    Left,
}
