//! The one update of the log that may be in flight: creating it, and interpreting its replies.

use super::{FencedCommit, OperationLog, OperationState};
use crate::port::{CommitOutcome, RequestId};
use crate::record::{LogRecord, Operation, OperationName, SettledOperation, Settlement};
use crate::settings::StoreLimits;
use crate::store::Write;
use crate::time::Micros;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// The writes of an ended operation that a transaction contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndedWrites {
    /// This many, from the first on. The operation stays open.
    First(usize),
    /// All that are left. The transaction ends the operation.
    All,
}

/// What the transaction in flight changes once it is applied.
#[derive(Clone, Debug, Default)]
pub(super) struct Changes {
    pub began: BTreeSet<OperationName>,
    pub ended: BTreeMap<OperationName, EndedWrites>,
    pub ended_count: u64,
    pub recent: Vec<SettledOperation>,
    pub fenced: Option<FencedCommit>,
}

/// An update of the log without other writes. It changes the log's version, so that a late copy of a fenced commit
/// fails.
#[derive(Clone, Debug)]
struct FenceOff {
    /// Keys of the program's conditions that failed.
    failed: Vec<String>,
    /// Sequence number of the fenced commit.
    sequence: u64,
}

/// The transaction in flight. It is resent unchanged until its outcome is known. At most one copy can be applied, since
/// each has the log's version among its conditions.
#[derive(Clone, Debug)]
pub(super) struct Transaction {
    sequence: u64,
    changes: Changes,
    write: LogWrite,
    /// Whether it must be sent again.
    resend: bool,
    /// Whether a copy got no reply and may still be applied.
    uncertain: bool,
    /// Set if the program's conditions failed while the outcome of an earlier copy was unknown. This update is then
    /// sent instead of the fenced commit.
    fence_off: Option<FenceOff>,
}

impl Transaction {
    /// The request whose fenced commit it carries.
    pub fn fenced_request(&self) -> Option<RequestId> {
        self.changes.fenced.as_ref().map(|commit| commit.request)
    }
}

/// An update of the log, as one transaction.
#[derive(Clone, Debug, PartialEq)]
pub struct LogWrite {
    /// The version that the log must have.
    pub version: u64,
    /// The log's new value.
    pub value: Value,
    /// Further conditions.
    pub conditions: Vec<(String, u64)>,
    /// Further changes.
    pub writes: Vec<Write>,
}

/// An operation that has been recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BegunOperation {
    /// The request that began it.
    pub request: RequestId,
    /// Its name.
    pub operation: OperationName,
}

/// An operation whose end has been recorded.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedOperation {
    /// The operation.
    pub operation: Operation,
    /// How it ended.
    pub settlement: Settlement,
}

/// The outcome of a fenced commit.
#[derive(Clone, Debug, PartialEq)]
pub struct FencedOutcome {
    /// The request for the commit.
    pub request: RequestId,
    /// The outcome.
    pub outcome: CommitOutcome,
}

/// Results of an update of the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogProgress {
    /// Operations that are now recorded.
    pub began: Vec<BegunOperation>,
    /// Operations whose end is now recorded.
    pub settled: Vec<EndedOperation>,
    /// The outcome of a fenced commit, if it is now known.
    pub fenced: Option<FencedOutcome>,
}

/// What a read of the log shows about an update without a reply.
#[derive(Clone, Debug, PartialEq)]
pub enum Reread {
    /// The update was applied.
    Applied(LogProgress),
    /// The update has not been applied yet and is sent again.
    NotApplied,
    /// Another process has written the log.
    WrittenByOther,
}

impl OperationLog {
    /// The next update, if there is one and it fits, or the update in flight if it must be sent again. A new update
    /// counts as in flight from now on.
    pub fn next_write(&mut self, limits: &StoreLimits) -> Option<LogWrite> {
        if let Some(transaction) = &mut self.in_flight {
            let resend = std::mem::take(&mut transaction.resend);
            return resend.then(|| transaction.write.clone());
        }
        let operations = self.entries.values().any(super::LogEntry::needs_update);
        if self.commit_queue.is_empty() && !operations {
            return None;
        }
        let fenced = !self.commit_queue.is_empty() && (self.commit_next || !operations);
        self.commit_next = !fenced;
        if fenced {
            return self.commit_write(limits);
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

    fn commit_write(&mut self, limits: &StoreLimits) -> Option<LogWrite> {
        let value = self.unchanged_value(limits)?;
        let commit = self.commit_queue.pop_front()?;
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

    /// The update in flight was applied, at this revision.
    pub fn written(&mut self, revision: u64, now: Micros) -> LogProgress {
        let Some(transaction) = self.in_flight.take() else {
            return LogProgress::default();
        };
        self.needs_reread = false;
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

    /// Marks operations as recorded, so that they may be performed.
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

    /// Drops the writes of ended operations that were applied, and removes operations that have none left.
    fn settle(&mut self, ended: &BTreeMap<OperationName, EndedWrites>) -> Vec<EndedOperation> {
        let mut settled = Vec::new();
        for (name, portion) in ended {
            match portion {
                EndedWrites::All => settled.extend(self.remove_ended(*name)),
                EndedWrites::First(written) => {
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

    /// The store has not executed the last copy that was sent.
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

    /// Conditions other than those on the claim and the log have failed.
    pub fn conflicted(&mut self, failed: Vec<String>) -> LogProgress {
        let Some(transaction) = &mut self.in_flight else {
            return LogProgress::default();
        };
        if !transaction.uncertain {
            return self.withdraw(CommitOutcome::Conflict(failed));
        }
        // An earlier copy could still be applied if the conditions hold again. The next update of the log prevents
        // that.
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

    /// The update in flight was not applied and can no longer be.
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

    /// It is unknown whether the update in flight was applied. The log must be read.
    pub fn write_outcome_unknown(&mut self) {
        if let Some(transaction) = &mut self.in_flight {
            transaction.uncertain = true;
            self.needs_reread = true;
        }
    }

    /// Interprets a read of the log after an update without a reply.
    pub fn reread(&mut self, version: u64, stored: Option<&LogRecord>, now: Micros) -> Reread {
        self.needs_reread = false;
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
            // The copy that was to fail was applied first.
            transaction.fence_off = None;
            return Reread::Applied(self.written(version, now));
        }
        if version != self.version {
            return Reread::WrittenByOther;
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
