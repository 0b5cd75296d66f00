//! The operation log of one duty, as its holder keeps it. The whole log is one value in the store, so every change is
//! one transaction on the version before it: a change that is applied late fails, and nothing is ever half written.
//!
//! An operation is performed only once the store is known to hold it, and leaves the log only together with the changes
//! that belong to its end.
//!
//! This module holds the state of the operations, `transaction` the one change of the log that may be in flight, and
//! `batch` what fits into such a change.

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

/// Delay of the second attempt of an operation; each further one comes after twice as long.
const FIRST_RETRY_DELAY: Micros = Micros::from_millis(500);
/// Delay between attempts at the most.
const MAX_RETRY_DELAY: Micros = Micros::from_secs(10);

#[derive(Clone, Debug, PartialEq)]
enum OperationState {
    /// Begun here, not recorded yet.
    Unrecorded,
    /// In the transaction in flight.
    Recording,
    /// Recorded; may be performed from then on.
    Ready { from: Micros },
    /// An attempt is in flight.
    Performing { attempt: u64 },
    /// Its end is known; these changes are still to be written.
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
    /// Whether the store holds the operation.
    fn recorded(&self) -> bool {
        !matches!(
            self.state,
            OperationState::Unrecorded | OperationState::Recording
        )
    }

    /// Whether the log has to be changed for it.
    fn changed(&self) -> bool {
        matches!(
            self.state,
            OperationState::Unrecorded | OperationState::Ended { .. }
        )
    }
}

/// A change of the store that the embedding program wants, fenced by the duty's token.
#[derive(Clone, Debug, PartialEq)]
pub struct FencedCommit {
    /// Name of the request.
    pub request: RequestId,
    /// The program's conditions.
    pub conditions: Vec<(String, u64)>,
    /// Changes.
    pub writes: Vec<Write>,
}

/// What becomes of requests when a duty is lost.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Unfinished {
    /// Operations that were never recorded.
    pub unrecorded: Vec<RequestId>,
    /// Operations that may be recorded: then a successor settles them.
    pub uncertain: Vec<RequestId>,
    /// Fenced changes that were never sent.
    pub unsent: Vec<RequestId>,
    /// A fenced change whose outcome is not known.
    pub fenced: Option<RequestId>,
}

/// The log of a duty that is held.
#[derive(Clone, Debug, Default)]
pub struct OperationLog {
    fencing_token: u64,
    version: u64,
    sequence: u64,
    next_number: u64,
    ended: u64,
    recent: Vec<SettledOperation>,
    entries: BTreeMap<OperationName, LogEntry>,
    /// Fenced changes that are not sent yet.
    fenced_queue: VecDeque<FencedCommit>,
    /// Whether a fenced change goes next, where operations are to be written as well.
    fenced_next: bool,
    in_flight: Option<Transaction>,
    unclear: bool,
}

impl OperationLog {
    /// The log as it was read under a new token; None if there was none.
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

    /// Operations that are begun or open.
    pub fn open(&self) -> usize {
        self.entries.len()
    }

    /// Whether operations of a predecessor are open.
    pub fn unsettled(&self) -> bool {
        self.entries
            .keys()
            .any(|name| name.fencing_token != self.fencing_token)
    }

    /// Whether an attempt is in flight.
    pub fn performing(&self) -> bool {
        self.entries
            .values()
            .any(|entry| matches!(entry.state, OperationState::Performing { .. }))
    }

    /// Whether a change of the log is in flight, or its outcome unknown.
    pub fn writing(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Whether the log must be read before it is changed again.
    pub fn unclear(&self) -> bool {
        self.unclear
    }

    /// Begins an operation. It is recorded with the next change.
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

    /// Takes a fenced change. It is sent alone, since its conditions may fail.
    pub fn commit(
        &mut self,
        commit: FencedCommit,
        max_queued: usize,
        limits: &StoreLimits,
    ) -> Result<(), Rejection> {
        if self.fenced_queue.len() >= max_queued {
            return Err(Rejection::TooManyOpen);
        }
        if !batch::fits_transaction(&commit.writes, limits) {
            return Err(Rejection::TooLarge);
        }
        self.fenced_queue.push_back(commit);
        Ok(())
    }

    /// Whether there are fenced changes that are not sent yet.
    pub fn fenced_queued(&self) -> bool {
        !self.fenced_queue.is_empty()
    }

    /// What is left of requests, as the duty was lost.
    pub fn unfinished(&self) -> Unfinished {
        let requests_in = |state: OperationState| {
            let entries = self.entries.values();
            let entries = entries.filter(move |entry| entry.state == state);
            entries.filter_map(|entry| entry.request).collect()
        };
        Unfinished {
            unrecorded: requests_in(OperationState::Unrecorded),
            uncertain: requests_in(OperationState::Recording),
            unsent: self
                .fenced_queue
                .iter()
                .map(|commit| commit.request)
                .collect(),
            fenced: self
                .in_flight
                .as_ref()
                .and_then(Transaction::fenced_request),
        }
    }

    /// The next operation that may be performed.
    pub fn due(&self, now: Micros) -> Option<OperationName> {
        let due = |entry: &&LogEntry| matches!(entry.state, OperationState::Ready { from } if from <= now);
        self.entries
            .values()
            .find(due)
            .map(|entry| entry.operation.name)
    }

    /// Begins an attempt.
    pub fn attempt(&mut self, name: OperationName, attempt: u64) -> Option<Operation> {
        let entry = self.entries.get_mut(&name)?;
        entry.state = OperationState::Performing { attempt };
        Some(entry.operation.clone())
    }

    /// Takes the outcome of an attempt. Another attempt's outcome changes nothing: a refusal that comes late says nothing
    /// of what a later attempt has done.
    pub fn performed(&mut self, name: OperationName, attempt: u64, outcome: Outcome, now: Micros) {
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
