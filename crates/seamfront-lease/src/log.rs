//! The operation log of one duty, as its holder keeps it. The whole log is one value in the store, so every change is
//! one transaction on the version before it: a change that is applied late fails, and nothing is ever half written.
//!
//! An operation is performed only once the store is known to hold it, and leaves the log only together with the changes
//! that belong to its end.

use crate::port::{CommitOutcome, Outcome, Rejection, RequestId};
use crate::record::{
    self, LogRecord, Operation, OperationName, SettledOperation, Settlement, FORMAT,
};
use crate::settings::StoreLimits;
use crate::store::Write;
use crate::time::Micros;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Bytes of changes in one transaction, well below what the store takes.
const TRANSACTION_BYTES: usize = 40_000;
/// Bytes of the log at the most, so that it leaves room for changes beside it.
const LOG_BYTES: usize = 20_000;
/// Ended operations that are kept for people to read.
const RECENT: usize = 16;
const FIRST_RETRY: Micros = Micros::from_millis(500);
const LAST_RETRY: Micros = Micros::from_secs(10);

#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// Begun here, not recorded yet.
    Waiting,
    /// In the transaction under way.
    Recording,
    /// Recorded; may be performed from then on.
    Ready { from: Micros },
    /// An attempt is under way.
    Performing { attempt: u64 },
    /// Its end is known; these changes are still to be written.
    Ended {
        settlement: Settlement,
        writes: VecDeque<Write>,
    },
}

#[derive(Clone, Debug)]
struct Entry {
    operation: Operation,
    step: Step,
    request: Option<RequestId>,
    retry: Micros,
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

/// What the transaction under way will have done.
#[derive(Clone, Debug, Default)]
struct Changes {
    began: BTreeSet<OperationName>,
    /// Operations with how many of their changes it carries, and whether it ends them.
    ended: BTreeMap<OperationName, (usize, bool)>,
    ended_count: u64,
    recent: Vec<SettledOperation>,
    fenced: Option<FencedCommit>,
}

/// The transaction under way. It is sent again, to the letter, until its outcome is known: of several copies one at the
/// most is made, since each has the log's version among its conditions.
#[derive(Clone, Debug)]
struct Underway {
    sequence: u64,
    changes: Changes,
    write: LogWrite,
    /// To be sent again.
    resend: bool,
    /// A copy went unanswered, and may yet be made.
    uncertain: bool,
    /// The program's conditions have failed: instead of the change, one that fences off what may yet come of it. Holds
    /// the conditions that failed and the sequence of the change.
    fencing: Option<(Vec<String>, u64)>,
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

/// What a change of the log has brought.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogProgress {
    /// Operations that are recorded now.
    pub began: Vec<(RequestId, OperationName)>,
    /// Operations whose end is recorded now.
    pub settled: Vec<(Operation, Settlement)>,
    /// A fenced change with its outcome.
    pub fenced: Option<(RequestId, CommitOutcome)>,
}

/// What reading the log showed after a change without an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Reread {
    /// The change was made.
    Applied(LogProgress),
    /// It was not yet: it is sent again.
    NotApplied,
    /// Somebody else has written the log.
    Foreign,
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
    entries: BTreeMap<OperationName, Entry>,
    /// Fenced changes that wait.
    fenced: VecDeque<FencedCommit>,
    /// Whether a fenced change goes next, where operations wait as well.
    fenced_next: bool,
    underway: Option<Underway>,
    unclear: bool,
}

impl OperationLog {
    /// The log as it was read under a new token; None if there was none.
    pub fn loaded(fencing_token: u64, version: u64, record: Option<LogRecord>) -> OperationLog {
        let record = record.unwrap_or_default();
        let ready = Step::Ready { from: Micros::ZERO };
        let entry = |operation| Entry {
            operation,
            step: ready.clone(),
            request: None,
            retry: FIRST_RETRY,
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

    /// Whether an attempt is under way.
    pub fn performing(&self) -> bool {
        self.entries
            .values()
            .any(|entry| matches!(entry.step, Step::Performing { .. }))
    }

    /// Whether a change of the log is under way, or its outcome unknown.
    pub fn writing(&self) -> bool {
        self.underway.is_some()
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
        most: usize,
        limits: &StoreLimits,
    ) -> Result<OperationName, Rejection> {
        if self.entries.len() >= most {
            return Err(Rejection::TooManyOpen);
        }
        let name = OperationName {
            fencing_token: self.fencing_token,
            number: self.next_number + 1,
        };
        let operation = Operation { name, payload };
        // Alone it must fit into half of a log, or it could block all others.
        if record::write(&operation).to_string().len() > log_bytes(limits) / 2 {
            return Err(Rejection::TooLarge);
        }
        self.next_number += 1;
        let entry = Entry {
            operation,
            step: Step::Waiting,
            request: Some(request),
            retry: FIRST_RETRY,
        };
        self.entries.insert(name, entry);
        Ok(name)
    }

    /// Takes a fenced change. It is sent alone, since its conditions may fail.
    pub fn commit(
        &mut self,
        commit: FencedCommit,
        most: usize,
        limits: &StoreLimits,
    ) -> Result<(), Rejection> {
        if self.fenced.len() >= most {
            return Err(Rejection::TooManyOpen);
        }
        let bytes: usize = commit.writes.iter().map(bytes_of).sum();
        if commit.writes.len() >= limits.transaction_changes || bytes > TRANSACTION_BYTES {
            return Err(Rejection::TooLarge);
        }
        self.fenced.push_back(commit);
        Ok(())
    }

    /// Whether fenced changes wait.
    pub fn fenced_waiting(&self) -> bool {
        !self.fenced.is_empty()
    }

    /// What is left of requests, as the duty was lost.
    pub fn unfinished(&self) -> Unfinished {
        let of = |wanted: Step| {
            let entries = self
                .entries
                .values()
                .filter(move |entry| entry.step == wanted);
            entries.filter_map(|entry| entry.request).collect()
        };
        let underway = self
            .underway
            .as_ref()
            .and_then(|underway| underway.changes.fenced.as_ref());
        Unfinished {
            unrecorded: of(Step::Waiting),
            uncertain: of(Step::Recording),
            unsent: self.fenced.iter().map(|commit| commit.request).collect(),
            fenced: underway.map(|commit| commit.request),
        }
    }

    /// The next operation that may be performed.
    pub fn due(&self, now: Micros) -> Option<OperationName> {
        let due = |entry: &&Entry| matches!(entry.step, Step::Ready { from } if from <= now);
        self.entries
            .values()
            .find(due)
            .map(|entry| entry.operation.name)
    }

    /// Begins an attempt.
    pub fn attempt(&mut self, name: OperationName, attempt: u64) -> Option<Operation> {
        let entry = self.entries.get_mut(&name)?;
        entry.step = Step::Performing { attempt };
        Some(entry.operation.clone())
    }

    /// Takes the outcome of an attempt. Another attempt's outcome changes nothing: a refusal that comes late says nothing
    /// of what a later attempt has done.
    pub fn performed(&mut self, name: OperationName, attempt: u64, outcome: Outcome, now: Micros) {
        let Some(entry) = self.entries.get_mut(&name) else {
            return;
        };
        if entry.step != (Step::Performing { attempt }) {
            return;
        }
        entry.step = match outcome {
            Outcome::Done { writes } => Step::Ended {
                settlement: Settlement::Done,
                writes: writes.into(),
            },
            Outcome::NotDone => Step::Ended {
                settlement: Settlement::NotDone,
                writes: VecDeque::new(),
            },
            Outcome::NotPermitted => Step::Ready { from: now },
            Outcome::Unknown => {
                let from = now + entry.retry;
                entry.retry = entry.retry.times(2).min(LAST_RETRY);
                Step::Ready { from }
            }
        };
    }

    /// The next change, if there is something to change and it fits. It counts as under way from now on.
    pub fn next_write(&mut self, limits: &StoreLimits) -> Option<LogWrite> {
        if let Some(underway) = &mut self.underway {
            let again = std::mem::take(&mut underway.resend);
            return again.then(|| underway.write.clone());
        }
        let changed = |entry: &Entry| matches!(entry.step, Step::Waiting | Step::Ended { .. });
        let operations = self.entries.values().any(changed);
        if self.fenced.is_empty() && !operations {
            return None;
        }
        let fenced = !self.fenced.is_empty() && (self.fenced_next || !operations);
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
                entry.step = Step::Recording;
            }
        }
        Some(self.begin_write(changes, value, Vec::new(), writes))
    }

    fn fenced_write(&mut self, limits: &StoreLimits) -> Option<LogWrite> {
        let value = self.unchanged_value(limits)?;
        let commit = self.fenced.pop_front()?;
        let (conditions, writes) = (commit.conditions.clone(), commit.writes.clone());
        let changes = Changes {
            fenced: Some(commit),
            ..self.no_changes()
        };
        Some(self.begin_write(changes, value, conditions, writes))
    }

    fn no_changes(&self) -> Changes {
        Changes {
            ended_count: self.ended,
            recent: self.recent.clone(),
            ..Changes::default()
        }
    }

    /// The log as it is, with the next sequence. None: it does not fit any more, since the limits have shrunk.
    fn unchanged_value(&self, limits: &StoreLimits) -> Option<Value> {
        let recorded = |entry: &&Entry| !matches!(entry.step, Step::Waiting | Step::Recording);
        let open: Vec<Operation> = self
            .entries
            .values()
            .filter(recorded)
            .map(|e| e.operation.clone())
            .collect();
        let mut changes = self.no_changes();
        let value = self.shortened(&mut changes, &open, log_bytes(limits));
        (value.to_string().len() <= limits.value_bytes).then_some(value)
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
        self.underway = Some(Underway {
            sequence: self.sequence,
            changes,
            write: write.clone(),
            resend: false,
            uncertain: false,
            fencing: None,
        });
        write
    }

    /// Which operations can be ended in one transaction, with their changes. One with more changes than a transaction
    /// takes gets the first of them and stays open.
    fn collect_ended(&self, changes: &mut Changes, limits: &StoreLimits) -> Vec<Write> {
        let most = limits.transaction_changes.saturating_sub(1).max(1);
        let mut writes = Vec::new();
        let mut bytes = 0;
        for (name, entry) in &self.entries {
            let Step::Ended {
                settlement,
                writes: wanted,
            } = &entry.step
            else {
                continue;
            };
            let mut taken = 0;
            for write in wanted {
                let size = bytes_of(write);
                let fits =
                    writes.len() < most && (bytes + size <= TRANSACTION_BYTES || writes.is_empty());
                if !fits {
                    break;
                }
                bytes += size;
                taken += 1;
                writes.push(write.clone());
            }
            let ends = taken == wanted.len();
            if ends {
                changes.ended_count += 1;
                changes.recent.push(SettledOperation {
                    name: *name,
                    settlement: settlement.clone(),
                });
            }
            if ends || taken > 0 {
                changes.ended.insert(*name, (taken, ends));
            }
            if !ends {
                break;
            }
        }
        writes
    }

    /// Adds what waits as far as it fits. None: not even what is open fits, as the limits have shrunk; more operations
    /// must end first.
    fn collect_begun(&self, changes: &mut Changes, limits: &StoreLimits) -> Option<Value> {
        let ends = |name: &OperationName| changes.ended.get(name).is_some_and(|ended| ended.1);
        let recorded = |entry: &&Entry| !matches!(entry.step, Step::Waiting | Step::Recording);
        let kept = self
            .entries
            .values()
            .filter(recorded)
            .filter(|entry| !ends(&entry.operation.name));
        let mut open: Vec<Operation> = kept.map(|entry| entry.operation.clone()).collect();
        let waiting = self
            .entries
            .values()
            .filter(|entry| entry.step == Step::Waiting);
        let waiting: Vec<Operation> = waiting.map(|entry| entry.operation.clone()).collect();
        let most = log_bytes(limits);
        let mut size = self.shortened(changes, &open, most).to_string().len();
        if size > limits.value_bytes {
            return None;
        }
        for operation in waiting {
            size += record::write(&operation).to_string().len() + 1;
            if size > most {
                break;
            }
            changes.began.insert(operation.name);
            open.push(operation);
        }
        Some(record::write(&self.record(changes, &open)))
    }

    /// The log's value, with as many of the ended operations as fit.
    fn shortened(&self, changes: &mut Changes, open: &[Operation], most: usize) -> Value {
        let skip = changes.recent.len().saturating_sub(RECENT);
        changes.recent.drain(..skip);
        loop {
            let value = record::write(&self.record(changes, open));
            if changes.recent.is_empty() || value.to_string().len() <= most {
                return value;
            }
            changes.recent.remove(0);
        }
    }

    fn record(&self, changes: &Changes, open: &[Operation]) -> LogRecord {
        LogRecord {
            format: FORMAT,
            fencing_token: self.fencing_token,
            sequence: self.sequence + 1,
            ended: changes.ended_count,
            open: open.to_vec(),
            recent: changes.recent.clone(),
        }
    }

    /// The change under way was made, with this revision.
    pub fn written(&mut self, revision: u64, now: Micros) -> LogProgress {
        let Some(underway) = self.underway.take() else {
            return LogProgress::default();
        };
        self.unclear = false;
        self.version = revision;
        if let Some((failed, _)) = underway.fencing {
            return self.fenced_progress(underway.changes, CommitOutcome::Conflict(failed));
        }
        let mut progress = LogProgress::default();
        for name in &underway.changes.began {
            let Some(entry) = self.entries.get_mut(name) else {
                continue;
            };
            entry.step = Step::Ready { from: now };
            progress
                .began
                .extend(entry.request.take().map(|request| (request, *name)));
        }
        for (name, (taken, ends)) in &underway.changes.ended {
            if *ends {
                progress.settled.extend(self.remove_ended(*name));
            } else if let Some(Step::Ended { writes, .. }) =
                self.entries.get_mut(name).map(|entry| &mut entry.step)
            {
                writes.drain(..*taken);
            }
        }
        progress.fenced = underway
            .changes
            .fenced
            .map(|commit| (commit.request, CommitOutcome::Committed(revision)));
        self.ended = underway.changes.ended_count;
        self.recent = underway.changes.recent;
        progress
    }

    fn fenced_progress(&self, changes: Changes, outcome: CommitOutcome) -> LogProgress {
        LogProgress {
            fenced: changes.fenced.map(|commit| (commit.request, outcome)),
            ..LogProgress::default()
        }
    }

    fn remove_ended(&mut self, name: OperationName) -> Option<(Operation, Settlement)> {
        let entry = self.entries.remove(&name)?;
        let Step::Ended { settlement, .. } = entry.step else {
            return None;
        };
        Some((entry.operation, settlement))
    }

    /// The store has not carried out the last copy.
    pub fn refused(&mut self) -> LogProgress {
        let Some(underway) = &mut self.underway else {
            return LogProgress::default();
        };
        if underway.uncertain || underway.fencing.is_some() {
            underway.resend = true;
            return LogProgress::default();
        }
        self.withdraw(CommitOutcome::Refused)
    }

    /// Conditions other than the claim and the log have failed.
    pub fn conflicted(&mut self, failed: Vec<String>) -> LogProgress {
        let Some(underway) = &mut self.underway else {
            return LogProgress::default();
        };
        if !underway.uncertain {
            return self.withdraw(CommitOutcome::Conflict(failed));
        }
        // An earlier copy could be made once the conditions hold again. The next change of the log is to prevent that.
        self.sequence += 1;
        underway.fencing = Some((failed, underway.sequence));
        underway.sequence = self.sequence;
        underway.write.value["sequence"] = Value::from(self.sequence);
        underway.write.conditions.clear();
        underway.write.writes.clear();
        underway.resend = true;
        LogProgress::default()
    }

    /// The change under way was certainly not made, nor will be.
    fn withdraw(&mut self, outcome: CommitOutcome) -> LogProgress {
        let Some(underway) = self.underway.take() else {
            return LogProgress::default();
        };
        for name in &underway.changes.began {
            if let Some(entry) = self.entries.get_mut(name) {
                entry.step = Step::Waiting;
            }
        }
        self.fenced_progress(underway.changes, outcome)
    }

    /// Whether the change under way was made is not known: the log has to be read.
    pub fn write_unclear(&mut self) {
        if let Some(underway) = &mut self.underway {
            underway.uncertain = true;
            self.unclear = true;
        }
    }

    /// Takes what a reading showed after a change without an answer.
    pub fn reread(&mut self, version: u64, stored: Option<&LogRecord>, now: Micros) -> Reread {
        self.unclear = false;
        let Some(underway) = &mut self.underway else {
            return Reread::NotApplied;
        };
        let sequence = stored
            .filter(|record| record.fencing_token == self.fencing_token)
            .map(|record| record.sequence);
        if sequence == Some(underway.sequence) {
            return Reread::Applied(self.written(version, now));
        }
        let fenced_off = underway.fencing.as_ref().map(|fencing| fencing.1);
        if sequence.is_some() && sequence == fenced_off {
            // The copy that was to be prevented came first.
            underway.fencing = None;
            return Reread::Applied(self.written(version, now));
        }
        if version != self.version {
            return Reread::Foreign;
        }
        underway.resend = true;
        Reread::NotApplied
    }
}

fn log_bytes(limits: &StoreLimits) -> usize {
    limits.value_bytes.min(LOG_BYTES)
}

fn bytes_of(write: &Write) -> usize {
    const FRAME: usize = 60;
    match write {
        Write::Put { key, value, .. } => key.len() + value.to_string().len() + FRAME,
        Write::Delete { key } => key.len() + FRAME,
    }
}
