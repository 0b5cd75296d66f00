//! The operation log of one duty, as its holder keeps it. The whole log is one value in the store and every update is a
//! compare-and-swap on its version, so an update that arrives late fails and none is applied in part. This module holds
//! the state of the operations, `transaction` the update that may be in flight, and `batch` selects what fits into an
//! update.

mod batch;
mod transaction;

pub use transaction::{
    BegunOperation, EndedOperation, FencedOutcome, LogProgress, LogWrite, Reread,
};

use crate::port::{Outcome, Rejection, RequestId};
use crate::record::{LogRecord, Operation, OperationName, SettledOperation, Settlement};
use crate::settings::StoreLimits;
use crate::store::Write;
use crate::time::Micros;
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};
use transaction::Transaction;

/// Delay before the second attempt of an operation. It doubles with each further attempt.
const FIRST_RETRY_DELAY: Micros = Micros::from_millis(500);
/// Maximum delay between attempts.
const MAX_RETRY_DELAY: Micros = Micros::from_secs(10);

#[derive(Clone, Debug, PartialEq)]
enum OperationState {
    /// Begun by this holder and not recorded yet.
    Unrecorded,
    /// Contained in the transaction in flight.
    Recording,
    /// Recorded in the store. May be performed from this time on.
    Ready { from: Micros },
    /// An attempt is in flight.
    Performing { attempt: u64 },
    /// Its outcome is known. These changes remain to be written.
    Ended {
        settlement: Settlement,
        writes: VecDeque<Write>,
    },
}

#[derive(Clone, Debug)]
struct LogEntry {
    operation: Operation,
    state: OperationState,
    request: Option<RequestId>,
    retry_delay: Micros,
}

impl LogEntry {
    /// Whether the store is known to hold the operation.
    fn recorded(&self) -> bool {
        !matches!(
            self.state,
            OperationState::Unrecorded | OperationState::Recording
        )
    }

    /// Whether the log must be updated for this operation.
    fn needs_update(&self) -> bool {
        matches!(
            self.state,
            OperationState::Unrecorded | OperationState::Ended { .. }
        )
    }
}

/// A transaction that the embedding program requests, fenced by the duty's token.
#[derive(Clone, Debug, PartialEq)]
pub struct FencedCommit {
    /// Id of the request.
    pub request: RequestId,
    /// The program's own conditions: keys and their expected versions.
    pub conditions: Vec<(String, u64)>,
    /// The changes to write.
    pub writes: Vec<Write>,
}

/// Requests that are unfinished when a duty is lost.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UnfinishedRequests {
    /// Operations that were never recorded.
    pub unrecorded: Vec<RequestId>,
    /// Operations that may have been recorded. If so, a successor settles them.
    pub uncertain: Vec<RequestId>,
    /// Fenced commits that were never sent.
    pub unsent: Vec<RequestId>,
    /// A fenced commit whose outcome is unknown.
    pub fenced: Option<RequestId>,
}

/// The operation log of a duty that is held here. An operation is performed only once the store is known to hold it,
/// and is removed only in the transaction that writes the last of its changes.
#[derive(Clone, Debug, Default)]
pub struct OperationLog {
    fencing_token: u64,
    version: u64,
    sequence: u64,
    next_number: u64,
    ended: u64,
    recent: Vec<SettledOperation>,
    entries: BTreeMap<OperationName, LogEntry>,
    /// Fenced commits that have not been sent.
    commit_queue: VecDeque<FencedCommit>,
    /// Whether a fenced commit is sent next if operations have to be written as well. The two take turns.
    commit_next: bool,
    in_flight: Option<Transaction>,
    needs_reread: bool,
}

impl OperationLog {
    /// The log as it was read under a new token. `record` is None if there was no log.
    pub fn loaded(fencing_token: u64, version: u64, record: Option<LogRecord>) -> OperationLog {
        let record = record.unwrap_or_default();
        let entry = |operation| LogEntry {
            operation,
            state: OperationState::Ready { from: Micros::ZERO },
            request: None,
            retry_delay: FIRST_RETRY_DELAY,
        };
        let entries = record
            .open
            .into_iter()
            .map(|operation| (operation.name, entry(operation)))
            .collect();
        OperationLog {
            fencing_token,
            version,
            ended: record.ended,
            recent: record.recent,
            entries,
            ..OperationLog::default()
        }
    }

    /// Number of open operations, including those that are not recorded yet.
    pub fn open(&self) -> usize {
        self.entries.len()
    }

    /// Whether operations of a predecessor are still open.
    pub fn unsettled(&self) -> bool {
        self.entries
            .keys()
            .any(|name| name.fencing_token != self.fencing_token)
    }

    /// Whether an attempt to perform an operation is in flight.
    pub fn performing(&self) -> bool {
        self.entries
            .values()
            .any(|entry| matches!(entry.state, OperationState::Performing { .. }))
    }

    /// Whether an update of the log is in flight or has an unknown outcome.
    pub fn writing(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Whether the log must be read before its next update.
    pub fn needs_reread(&self) -> bool {
        self.needs_reread
    }

    /// Begins an operation. It is recorded with the next update of the log.
    pub fn begin(
        &mut self,
        request: RequestId,
        payload: Value,
        max_open: usize,
        limits: &StoreLimits,
    ) -> Result<OperationName, Rejection> {
        if self.entries.len() >= max_open {
            return Err(Rejection::TooManyOpen);
        }
        let name = OperationName {
            fencing_token: self.fencing_token,
            number: self.next_number + 1,
        };
        let operation = Operation { name, payload };
        if !batch::fits_log(&operation, limits) {
            return Err(Rejection::TooLarge);
        }
        self.next_number += 1;
        let entry = LogEntry {
            operation,
            state: OperationState::Unrecorded,
            request: Some(request),
            retry_delay: FIRST_RETRY_DELAY,
        };
        self.entries.insert(name, entry);
        Ok(name)
    }

    /// Queues a fenced commit. It gets a transaction of its own, since its conditions may fail.
    pub fn queue_commit(
        &mut self,
        commit: FencedCommit,
        max_queued: usize,
        limits: &StoreLimits,
    ) -> Result<(), Rejection> {
        if self.commit_queue.len() >= max_queued {
            return Err(Rejection::TooManyOpen);
        }
        if !batch::fits_transaction(&commit.writes, limits) {
            return Err(Rejection::TooLarge);
        }
        self.commit_queue.push_back(commit);
        Ok(())
    }

    /// Whether there are fenced commits that have not been sent.
    pub fn has_queued_commits(&self) -> bool {
        !self.commit_queue.is_empty()
    }

    /// The requests that are unfinished if the duty is lost now.
    pub fn unfinished(&self) -> UnfinishedRequests {
        let requests_in = |state: OperationState| {
            let entries = self.entries.values();
            let entries = entries.filter(move |entry| entry.state == state);
            entries.filter_map(|entry| entry.request).collect()
        };
        UnfinishedRequests {
            unrecorded: requests_in(OperationState::Unrecorded),
            uncertain: requests_in(OperationState::Recording),
            unsent: self
                .commit_queue
                .iter()
                .map(|commit| commit.request)
                .collect(),
            fenced: self
                .in_flight
                .as_ref()
                .and_then(Transaction::fenced_request),
        }
    }

    /// The next operation that may be performed now.
    pub fn due(&self, now: Micros) -> Option<OperationName> {
        let due = |entry: &&LogEntry| matches!(entry.state, OperationState::Ready { from } if from <= now);
        self.entries
            .values()
            .find(due)
            .map(|entry| entry.operation.name)
    }

    /// Starts an attempt to perform an operation and returns the operation.
    pub fn begin_attempt(&mut self, name: OperationName, attempt: u64) -> Option<Operation> {
        let entry = self.entries.get_mut(&name)?;
        entry.state = OperationState::Performing { attempt };
        Some(entry.operation.clone())
    }

    /// Applies the outcome of an attempt. An earlier attempt's outcome is ignored: its late refusal says nothing about
    /// what the current attempt has done.
    pub fn finish_attempt(
        &mut self,
        name: OperationName,
        attempt: u64,
        outcome: Outcome,
        now: Micros,
    ) {
        let Some(entry) = self.entries.get_mut(&name) else {
            return;
        };
        if entry.state != (OperationState::Performing { attempt }) {
            return;
        }
        entry.state = match outcome {
            Outcome::Done { writes } => OperationState::Ended {
                settlement: Settlement::Done,
                writes: writes.into(),
            },
            Outcome::NotDone => OperationState::Ended {
                settlement: Settlement::NotDone,
                writes: VecDeque::new(),
            },
            Outcome::NotPermitted => OperationState::Ready { from: now },
            Outcome::Unknown => {
                let from = now + entry.retry_delay;
                entry.retry_delay = entry.retry_delay.times(2).min(MAX_RETRY_DELAY);
                OperationState::Ready { from }
            }
        };
    }
}
