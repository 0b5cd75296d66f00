//! Selects the operations to record and to end in one update of the log, within the limits of the store and of the
//! log's own size.

use super::transaction::{Changes, EndedWrites};
use super::{LogEntry, OperationLog, OperationState};
use crate::record::{self, LogRecord, Operation, OperationName, SettledOperation, FORMAT};
use crate::settings::StoreLimits;
use crate::store::Write;
use serde_json::Value;

/// Maximum size of the changes in one transaction, well below what the store accepts.
const TRANSACTION_BYTES_MAX: usize = 40_000;
/// Maximum size of the log, which leaves room for other changes in the same transaction.
const LOG_BYTES_MAX: usize = 20_000;
/// Size of a write without its key and value.
const WRITE_OVERHEAD_BYTES: usize = 60;
/// Number of ended operations that the log keeps for operators to read.
const RECENT_MAX: usize = 16;

/// Whether an operation is small enough for the log. One operation may take up half of it at most, so that it can't
/// block all others.
pub(super) fn fits_log(operation: &Operation, limits: &StoreLimits) -> bool {
    encoded_bytes(operation) <= log_bytes(limits) / 2
}

/// Whether these changes fit into one transaction together with the log.
pub(super) fn fits_transaction(writes: &[Write], limits: &StoreLimits) -> bool {
    let bytes: usize = writes.iter().map(write_bytes).sum();
    writes.len() < limits.transaction_changes && bytes <= TRANSACTION_BYTES_MAX
}

impl OperationLog {
    /// Adds the operations that can end in one transaction to `changes` and returns the writes that belong to them. If
    /// an operation has more writes than the transaction takes, the first are written and it stays open.
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
                    changes.ended.insert(*name, EndedWrites::First(taken));
                }
                break;
            }
            changes.ended.insert(*name, EndedWrites::All);
            changes.ended_count += 1;
            changes.recent.push(SettledOperation {
                name: *name,
                settlement: settlement.clone(),
            });
        }
        batch
    }

    /// Adds operations that are not recorded yet to `changes`, as many as fit, and returns the log's new value. None if
    /// the open operations alone are too large because the limits have shrunk; some of them must end first.
    pub(super) fn collect_begun(
        &self,
        changes: &mut Changes,
        limits: &StoreLimits,
    ) -> Option<Value> {
        let ends = |name: &OperationName| changes.ended.get(name) == Some(&EndedWrites::All);
        let still_open = |entry: &&LogEntry| entry.recorded() && !ends(&entry.operation.name);
        let mut open = self.select_operations(still_open);
        let unrecorded = self.select_operations(|entry| entry.state == OperationState::Unrecorded);
        let max_bytes = log_bytes(limits);
        let mut bytes = self
            .trimmed_value(changes, &open, max_bytes)
            .to_string()
            .len();
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
        Some(record::encode(&self.record(changes, &open)))
    }

    /// The current value of the log, with the next sequence number. None if it is too large because the limits have
    /// shrunk.
    pub(super) fn unchanged_value(&self, limits: &StoreLimits) -> Option<Value> {
        let open = self.select_operations(|entry| entry.recorded());
        let value = self.trimmed_value(&mut self.no_changes(), &open, log_bytes(limits));
        (value.to_string().len() <= limits.value_bytes).then_some(value)
    }

    fn select_operations(&self, wanted: impl FnMut(&&LogEntry) -> bool) -> Vec<Operation> {
        let entries = self.entries.values().filter(wanted);
        entries.map(|entry| entry.operation.clone()).collect()
    }

    /// The log's value, without the oldest ended operations if it would be too large with them.
    fn trimmed_value(&self, changes: &mut Changes, open: &[Operation], max_bytes: usize) -> Value {
        let skip = changes.recent.len().saturating_sub(RECENT_MAX);
        changes.recent.drain(..skip);
        loop {
            let value = record::encode(&self.record(changes, open));
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
    record::encode(operation).to_string().len()
}

fn write_bytes(write: &Write) -> usize {
    match write {
        Write::Put { key, value, .. } => key.len() + value.to_string().len() + WRITE_OVERHEAD_BYTES,
        Write::Delete { key } => key.len() + WRITE_OVERHEAD_BYTES,
    }
}
