//! The one change of the log that may be in flight: making it, and what its replies mean.

use super::{FencedCommit, OperationLog, OperationState};
use crate::port::{CommitOutcome, RequestId};
use crate::record::{LogRecord, Operation, OperationName, SettledOperation, Settlement};
use crate::settings::StoreLimits;
use crate::store::Write;
use crate::time::Micros;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Which changes of an ended operation a transaction carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndedPart {
    /// So many of them; the operation stays open.
    First(usize),
    /// All that are left: the transaction ends the operation.
    All,
}

/// What the transaction in flight will have done.
#[derive(Clone, Debug, Default)]
pub(super) struct Changes {
    pub began: BTreeSet<OperationName>,
    pub ended: BTreeMap<OperationName, EndedPart>,
    pub ended_count: u64,
    pub recent: Vec<SettledOperation>,
    pub fenced: Option<FencedCommit>,
}

/// A change of the log that prevents a fenced change from being made late.
#[derive(Clone, Debug)]
struct FenceOff {
    /// The program's conditions that failed.
    failed: Vec<String>,
    /// Sequence of the change that is prevented.
    sequence: u64,
}

/// The transaction in flight. It is sent again, to the letter, until its outcome is known: of several copies one at the
/// most is made, since each has the log's version among its conditions.
#[derive(Clone, Debug)]
pub(super) struct Transaction {
    sequence: u64,
    changes: Changes,
    write: LogWrite,
    /// To be sent again.
    resend: bool,
    /// A copy got no reply, and may yet be made.
    uncertain: bool,
    /// The program's conditions have failed while the outcome of a copy was uncertain: this is sent instead.
    fence_off: Option<FenceOff>,
}

impl Transaction {
    /// The request for the fenced change that it carries.
    pub fn fenced_request(&self) -> Option<RequestId> {
        self.changes.fenced.as_ref().map(|commit| commit.request)
    }
}

/// One change of the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogWrite {
    /// The version that the log must have.
    pub version: u64,
    /// Its new value.
    pub value: Value,
    /// Further conditions.
    pub conditions: Vec<(String, u64)>,
    /// Further changes.
    pub writes: Vec<Write>,
}

/// An operation that was recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BegunOperation {
    /// The request that began it.
    pub request: RequestId,
    /// Its name.
    pub operation: OperationName,
}

/// An operation whose end was recorded.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedOperation {
    /// The operation.
    pub operation: Operation,
    /// How it ended.
    pub settlement: Settlement,
}

/// A fenced change whose outcome is known.
#[derive(Clone, Debug, PartialEq)]
pub struct FencedOutcome {
    /// The request for it.
    pub request: RequestId,
    /// What became of it.
    pub outcome: CommitOutcome,
}

/// What a change of the log has brought.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogProgress {
    /// Operations that are recorded now.
    pub began: Vec<BegunOperation>,
    /// Operations whose end is recorded now.
    pub settled: Vec<EndedOperation>,
    /// A fenced change with its outcome.
    pub fenced: Option<FencedOutcome>,
}

/// What reading the log showed after a change without a reply.
#[derive(Clone, Debug, PartialEq)]
pub enum Reread {
    /// The change was made.
    Applied(LogProgress),
    /// It was not yet: it is sent again.
    NotApplied,
    /// Somebody else has written the log.
    Foreign,
}

impl OperationLog {
    /// The next change, if there is something to change and it fits. It counts as in flight from now on.
    pub fn next_write(&mut self, limits: &StoreLimits) -> Option<LogWrite> {
        if let Some(transaction) = &mut self.in_flight {
            let again = std::mem::take(&mut transaction.resend);
            return again.then(|| transaction.write.clone());
        }
        let operations = self.entries.values().any(super::LogEntry::changed);
        if self.fenced_queue.is_empty() && !operations {
            return None;
        }
        let fenced = !self.fenced_queue.is_empty() && (self.fenced_next || !operations);
        self.fenced_next = !fenced;
        if fenced {
            return self.fenced_write(limits);
        }
        self.operations_write(limits)
    }

    fn operations_write(&mut self, limits: &StoreLimits) -> Option<LogWrite> {
        let mut changes = self.no_changes();
        let writes = self.collect_ended(&mut changes, limits);
        let value = self.collect_begun(&mut changes, limits)?;
        if changes.began.is_empty() && changes.ended.is_empty() {
            return None;
        }
        for name in &changes.began {
            if let Some(entry) = self.entries.get_mut(name) {
                entry.state = OperationState::Recording;
            }
        }
        Some(self.begin_write(changes, value, Vec::new(), writes))
    }

    fn fenced_write(&mut self, limits: &StoreLimits) -> Option<LogWrite> {
        let value = self.unchanged_value(limits)?;
        let commit = self.fenced_queue.pop_front()?;
        let (conditions, writes) = (commit.conditions.clone(), commit.writes.clone());
        let changes = Changes {
            fenced: Some(commit),
            ..self.no_changes()
        };
        Some(self.begin_write(changes, value, conditions, writes))
    }

    pub(super) fn no_changes(&self) -> Changes {
        Changes {
            ended_count: self.ended,
            recent: self.recent.clone(),
            ..Changes::default()
        }
    }

    fn begin_write(
        &mut self,
        changes: Changes,
        value: Value,
        conditions: Vec<(String, u64)>,
        writes: Vec<Write>,
    ) -> LogWrite {
        self.sequence += 1;
        let write = LogWrite {
            version: self.version,
            value,
            conditions,
            writes,
        };
        self.in_flight = Some(Transaction {
            sequence: self.sequence,
            changes,
            write: write.clone(),
            resend: false,
            uncertain: false,
            fence_off: None,
        });
        write
    }

    /// The change in flight was made, with this revision.
    pub fn written(&mut self, revision: u64, now: Micros) -> LogProgress {
        let Some(transaction) = self.in_flight.take() else {
            return LogProgress::default();
        };
        self.unclear = false;
        self.version = revision;
        if let Some(FenceOff { failed, .. }) = transaction.fence_off {
            return fenced_progress(transaction.changes, CommitOutcome::Conflict(failed));
        }
        let Changes {
            began,
            ended,
            ended_count,
            recent,
            fenced,
        } = transaction.changes;
        self.ended = ended_count;
        self.recent = recent;
        LogProgress {
            began: self.mark_recorded(&began, now),
            settled: self.settle(&ended),
            fenced: fenced.map(|commit| FencedOutcome {
                request: commit.request,
                outcome: CommitOutcome::Committed(revision),
            }),
        }
    }

    /// These operations are recorded: they may be performed.
    fn mark_recorded(
        &mut self,
        began: &BTreeSet<OperationName>,
        now: Micros,
    ) -> Vec<BegunOperation> {
        let mut recorded = Vec::new();
        for name in began {
            let Some(entry) = self.entries.get_mut(name) else {
                continue;
            };
            entry.state = OperationState::Ready { from: now };
            recorded.extend(entry.request.take().map(|request| BegunOperation {
                request,
                operation: *name,
            }));
        }
        recorded
    }

    /// Changes of these operations are written: those without further ones leave the log.
    fn settle(&mut self, ended: &BTreeMap<OperationName, EndedPart>) -> Vec<EndedOperation> {
        let mut settled = Vec::new();
        for (name, part) in ended {
            match part {
                EndedPart::All => settled.extend(self.remove_ended(*name)),
                EndedPart::First(written) => {
                    let entry = self.entries.get_mut(name);
                    if let Some(OperationState::Ended { writes, .. }) =
                        entry.map(|entry| &mut entry.state)
                    {
                        writes.drain(..*written);
                    }
                }
            }
        }
        settled
    }

    fn remove_ended(&mut self, name: OperationName) -> Option<EndedOperation> {
        let entry = self.entries.remove(&name)?;
        let OperationState::Ended { settlement, .. } = entry.state else {
            return None;
        };
        Some(EndedOperation {
            operation: entry.operation,
            settlement,
        })
    }

    /// The store has not carried out the last copy.
    pub fn refused(&mut self) -> LogProgress {
        let Some(transaction) = &mut self.in_flight else {
            return LogProgress::default();
        };
        if transaction.uncertain || transaction.fence_off.is_some() {
            transaction.resend = true;
            return LogProgress::default();
        }
        self.withdraw(CommitOutcome::Refused)
    }

    /// Conditions other than the claim and the log have failed.
    pub fn conflicted(&mut self, failed: Vec<String>) -> LogProgress {
        let Some(transaction) = &mut self.in_flight else {
            return LogProgress::default();
        };
        if !transaction.uncertain {
            return self.withdraw(CommitOutcome::Conflict(failed));
        }
        // An earlier copy could be made once the conditions hold again. The next change of the log is to prevent that.
        self.sequence += 1;
        transaction.fence_off = Some(FenceOff {
            failed,
            sequence: transaction.sequence,
        });
        transaction.sequence = self.sequence;
        transaction.write.value["sequence"] = Value::from(self.sequence);
        transaction.write.conditions.clear();
        transaction.write.writes.clear();
        transaction.resend = true;
        LogProgress::default()
    }

    /// The change in flight was certainly not made, nor will be.
    fn withdraw(&mut self, outcome: CommitOutcome) -> LogProgress {
        let Some(transaction) = self.in_flight.take() else {
            return LogProgress::default();
        };
        for name in &transaction.changes.began {
            if let Some(entry) = self.entries.get_mut(name) {
                entry.state = OperationState::Unrecorded;
            }
        }
        fenced_progress(transaction.changes, outcome)
    }

    /// Whether the change in flight was made is not known: the log has to be read.
    pub fn write_unclear(&mut self) {
        if let Some(transaction) = &mut self.in_flight {
            transaction.uncertain = true;
            self.unclear = true;
        }
    }

    /// Takes what a reading showed after a change without a reply.
    pub fn reread(&mut self, version: u64, stored: Option<&LogRecord>, now: Micros) -> Reread {
        self.unclear = false;
        let Some(transaction) = &mut self.in_flight else {
            return Reread::NotApplied;
        };
        let sequence = stored
            .filter(|record| record.fencing_token == self.fencing_token)
            .map(|record| record.sequence);
        if sequence == Some(transaction.sequence) {
            return Reread::Applied(self.written(version, now));
        }
        let prevented = transaction
            .fence_off
            .as_ref()
            .map(|fence_off| fence_off.sequence);
        if sequence.is_some() && sequence == prevented {
            // The copy that was to be prevented came first.
            transaction.fence_off = None;
            return Reread::Applied(self.written(version, now));
        }
        if version != self.version {
            return Reread::Foreign;
        }
        transaction.resend = true;
        Reread::NotApplied
    }
}

fn fenced_progress(changes: Changes, outcome: CommitOutcome) -> LogProgress {
    LogProgress {
        fenced: changes.fenced.map(|commit| FencedOutcome {
            request: commit.request,
            outcome,
        }),
        ..LogProgress::default()
    }
}
