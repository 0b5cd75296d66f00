//! Inputs and outputs of a [`DutyManager`](crate::DutyManager).

use crate::permit::Permit;
use crate::record::{Operation, OperationName, Settlement};
use crate::settings::StoreLimits;
use crate::store::{StoreReply, StoreRequest, Write};
use serde_json::Value;
use thiserror::Error;

/// Id of a request to the store.
pub type CallId = u64;

/// Id of a request of the embedding program, which chooses it.
pub type RequestId = u64;

/// An input: a request of the embedding program, or the reply to a request of the manager.
#[derive(Clone, Debug)]
pub enum Command {
    /// A reply from the store.
    Store {
        /// The request that this is the reply to.
        call: CallId,
        /// The reply.
        reply: StoreReply,
    },
    /// Begin an operation: record it, then perform it.
    Begin {
        /// Id of this request.
        request: RequestId,
        /// The duty that it belongs to.
        duty: String,
        /// What to do, for the performer to interpret.
        payload: Value,
    },
    /// Write to the store, fenced by the duty's token: applied only while the duty is held here.
    Commit {
        /// Id of this request.
        request: RequestId,
        /// The duty that it belongs to.
        duty: String,
        /// Further conditions: keys and their expected versions.
        conditions: Vec<(String, u64)>,
        /// The changes to write.
        writes: Vec<Write>,
    },
    /// An attempt to perform an operation has ended.
    Performed {
        /// The duty.
        duty: String,
        /// The operation.
        operation: OperationName,
        /// Number of the attempt, from [`Effect::Perform`].
        attempt: u64,
        /// The outcome of the attempt.
        outcome: Outcome,
    },
    /// A transaction that the embedding program sent by itself failed on the duty's claim, which was among its
    /// conditions.
    TokenRefused {
        /// The duty.
        duty: String,
        /// The token that was refused.
        fencing_token: u64,
    },
    /// Set the load of this member, in percent.
    SetLoad(u64),
    /// Set the limits of the store.
    SetLimits(StoreLimits),
    /// Transfer a duty to another member.
    Transfer {
        /// The duty.
        duty: String,
        /// The member that is to hold it; None selects the least loaded one.
        to: Option<String>,
    },
    /// Transfer all duties and acquire none any more.
    Leave,
    /// Set the version under which this member holds the former claim, None if it does not hold it.
    FormerClaim(Option<u64>),
}

/// Outcome of an attempt to perform an operation.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It was carried out, by this attempt or an earlier one. The writes are applied together with the end of the
    /// operation.
    Done {
        /// Changes to the store that belong to it.
        writes: Vec<Write>,
    },
    /// It was refused permanently: it was not carried out and is not retried.
    NotDone,
    /// It may have been carried out, or may still be. The same operation is retried.
    Unknown,
    /// The permit had expired before the attempt began. Nothing was sent.
    NotPermitted,
}

/// Why a request of the embedding program was rejected. No part of it was carried out or will be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Rejection {
    /// The settings contain no such duty.
    #[error("unknown duty")]
    UnknownDuty,
    /// The duty is not held here, or its predecessor's operations are not settled yet.
    #[error("the duty is not held here")]
    NotHeld,
    /// The duty is being transferred to another member.
    #[error("the duty is being transferred")]
    Transferring,
    /// The maximum number of operations is open, or of fenced commits is queued.
    #[error("too many open operations")]
    TooManyOpen,
    /// It exceeds the size limit of the log or of a transaction.
    #[error("too large for the store")]
    TooLarge,
}

/// Outcome of a fenced commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It was applied, at this revision.
    Committed(u64),
    /// Some of the caller's conditions did not hold: their keys.
    Conflict(Vec<String>),
    /// The store refused it. It was not applied.
    Refused,
    /// The duty was lost before there was a reply. It may have been applied.
    Unknown,
    /// The duty was lost before it was sent. It was not applied.
    Lost,
}

/// Why a duty was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LossReason {
    /// The member's lease has expired.
    #[error("lease expired")]
    LeaseExpired,
    /// The store refused the token.
    #[error("token refused by the store")]
    TokenRefused,
    /// The view shows another member's claim.
    #[error("claimed by another member")]
    Replaced,
    /// It was transferred to another member, or released.
    #[error("transferred")]
    Transferred,
    /// This version can't read the operation log.
    #[error("unreadable log")]
    UnreadableLog,
    /// Another process runs under this member's name.
    #[error("another process has this member's name")]
    Superseded,
    /// The settings differ from another member's.
    #[error("settings differ")]
    SettingsDiffer,
}

/// The member that holds a duty after it was lost here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Successor {
    /// The member's name.
    pub member: String,
    /// Its fencing token.
    pub fencing_token: u64,
}

/// An output: a request to carry out, or an event.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a request to the store.
    Store {
        /// Id of the request, to be returned with the reply.
        call: CallId,
        /// The request.
        request: StoreRequest,
    },
    /// Perform a recorded operation. It may begin only while the permit is valid by a clock that is read immediately
    /// before.
    Perform {
        /// The duty.
        duty: String,
        /// The operation.
        operation: Operation,
        /// Number of the attempt.
        attempt: u64,
        /// The permit to begin the attempt.
        permit: Permit,
        /// Whether a predecessor recorded the operation.
        settling: bool,
    },
    /// An operation has been recorded.
    Began {
        /// The request that began it.
        request: RequestId,
        /// The duty.
        duty: String,
        /// Name of the operation.
        operation: OperationName,
    },
    /// A request was rejected.
    Rejected {
        /// The request.
        request: RequestId,
        /// The reason.
        rejection: Rejection,
    },
    /// The duty was lost before it was known whether an operation is recorded. If it is, a successor settles it.
    Uncertain {
        /// The request that began it.
        request: RequestId,
    },
    /// The outcome of a fenced commit.
    Committed {
        /// The request.
        request: RequestId,
        /// The outcome.
        outcome: CommitOutcome,
    },
    /// The end of an operation has been recorded.
    Settled {
        /// The duty.
        duty: String,
        /// The operation.
        operation: Operation,
        /// How it ended.
        settlement: Settlement,
    },
    /// The claim was acquired. Operations of a predecessor are settled before the duty becomes active.
    Acquired {
        /// The duty.
        duty: String,
        /// The fencing token.
        fencing_token: u64,
    },
    /// The duty may be performed from now on.
    Active {
        /// The duty.
        duty: String,
        /// The fencing token.
        fencing_token: u64,
    },
    /// The duty is not held here any more.
    Lost {
        /// The duty.
        duty: String,
        /// The fencing token that is no longer valid.
        fencing_token: u64,
        /// The reason.
        reason: LossReason,
    },
    /// Another member holds a duty that was lost here. Emitted once for each lost token.
    Replaced {
        /// The duty.
        duty: String,
        /// The fencing token that was lost.
        fencing_token: u64,
        /// The new holder.
        successor: Successor,
    },
    /// All duties were transferred or released after [`Command::Leave`].
    Left,
}
