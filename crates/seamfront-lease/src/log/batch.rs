//! What fits into one change of the log: which operations are recorded and which end with it, within the limits of the
//! store and of the log's own size.

use super::transaction::{Changes, EndedPart};
use super::{LogEntry, OperationLog, OperationState};
use crate::record::{self, LogRecord, Operation, OperationName, SettledOperation, FORMAT};
use crate::settings::StoreLimits;
use crate::store::Write;
use serde_json::Value;

/// Bytes of changes in one transaction, well below what the store takes.
const TRANSACTION_BYTES_MAX: usize = 40_000;
/// Bytes of the log at the most, so that it leaves room for changes beside it.
const LOG_BYTES_MAX: usize = 20_000;
/// Bytes of a write beside its key and value.
const WRITE_OVERHEAD_BYTES: usize = 60;
/// Ended operations that are kept for people to read.
const RECENT_MAX: usize = 16;

/// Whether an operation is small enough for the log. Alone it must fit into half of one, or it could block all others.
pub(super) fn fits_log(operation: &Operation, limits: &StoreLimits) -> bool {
    encoded_bytes(operation) <= log_bytes(limits) / 2
}

/// Whether changes fit into one transaction, beside the log.
pub(super) fn fits_transaction(writes: &[Write], limits: &StoreLimits) -> bool {
    let bytes: usize = writes.iter().map(write_bytes).sum();
    writes.len() < limits.transaction_changes && bytes <= TRANSACTION_BYTES_MAX
}

impl OperationLog {
    /// Which operations can be ended in one transaction, with their changes. One with more changes than a transaction
    /// takes gets the first of them and stays open.
    pub(super) fn collect_ended(&self, changes: &mut Changes, limits: &StoreLimits) -> Vec<Write> {
        let max_writes = limits.transaction_changes.saturating_sub(1).max(1);
        let mut batch = Vec::new();
        let mut bytes = 0;
        for (name, entry) in &self.entries {
            let OperationState::Ended { settlement, writes } = &entry.state else {
                continue;
            };
            let mut taken = 0;
            for write in writes {
                let size = write_bytes(write);
                let fits = batch.len() < max_writes
                    && (bytes + size <= TRANSACTION_BYTES_MAX || batch.is_empty());
                if !fits {
                    break;
                }
                bytes += size;
                taken += 1;
                batch.push(write.clone());
            }
            if taken < writes.len() {
                if taken > 0 {
                    changes.ended.insert(*name, EndedPart::First(taken));
                }
                break;
            }
            changes.ended.insert(*name, EndedPart::All);
            changes.ended_count += 1;
            changes.recent.push(SettledOperation {
                name: *name,
                settlement: settlement.clone(),
            });
        }
        batch
    }

    /// Adds operations that are not recorded yet as far as they fit, and returns the log's new value. None: not even what
    /// is open fits, as the limits have shrunk; more operations must end first.
    pub(super) fn collect_begun(
        &self,
        changes: &mut Changes,
        limits: &StoreLimits,
    ) -> Option<Value> {
        let ends = |name: &OperationName| changes.ended.get(name) == Some(&EndedPart::All);
        let kept = |entry: &&LogEntry| entry.recorded() && !ends(&entry.operation.name);
        let mut open = self.operations(kept);
        let unrecorded = self.operations(|entry| entry.state == OperationState::Unrecorded);
        let max_bytes = log_bytes(limits);
        let mut bytes = self.shortened(changes, &open, max_bytes).to_string().len();
        if bytes > limits.value_bytes {
            return None;
        }
        for operation in unrecorded {
            bytes += encoded_bytes(&operation) + 1;
            if bytes > max_bytes {
                break;
            }
            changes.began.insert(operation.name);
            open.push(operation);
        }
        Some(record::write(&self.record(changes, &open)))
    }

    /// The log as it is, with the next sequence. None: it does not fit any more, since the limits have shrunk.
    pub(super) fn unchanged_value(&self, limits: &StoreLimits) -> Option<Value> {
        let open = self.operations(|entry| entry.recorded());
        let value = self.shortened(&mut self.no_changes(), &open, log_bytes(limits));
        (value.to_string().len() <= limits.value_bytes).then_some(value)
    }

    fn operations(&self, wanted: impl FnMut(&&LogEntry) -> bool) -> Vec<Operation> {
        let entries = self.entries.values().filter(wanted);
        entries.map(|entry| entry.operation.clone()).collect()
    }

    /// The log's value, with as many of the ended operations as fit.
    fn shortened(&self, changes: &mut Changes, open: &[Operation], max_bytes: usize) -> Value {
        let skip = changes.recent.len().saturating_sub(RECENT_MAX);
        changes.recent.drain(..skip);
        loop {
            let value = record::write(&self.record(changes, open));
            if changes.recent.is_empty() || value.to_string().len() <= max_bytes {
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
}

fn log_bytes(limits: &StoreLimits) -> usize {
    limits.value_bytes.min(LOG_BYTES_MAX)
}

fn encoded_bytes(operation: &Operation) -> usize {
    record::write(operation).to_string().len()
}

fn write_bytes(write: &Write) -> usize {
    match write {
        Write::Put { key, value, .. } => key.len() + value.to_string().len() + WRITE_OVERHEAD_BYTES,
        Write::Delete { key } => key.len() + WRITE_OVERHEAD_BYTES,
    }
}
