//! Transactions on behalf of a shard: which writes go together, and what each consists of.

use crate::jobs::{end_conditions, end_writes, EndRecord};
use crate::machine::machine_key;
use crate::port::{StoreReply, StoreRequest, Write};
use crate::record::part_key;
use crate::shard::{machine_write, work_key, ShardWrite, WriteOutcome};
use crate::store_session::ClaimId;
use crate::types::JobId;

/// Bytes of records in one transaction, well below what the state service takes.
const TRANSACTION_BYTES: usize = 40_000;
/// About what a write takes that is no record of a job.
const SMALL_WRITE: usize = 200;
/// Operations of a transaction that removes parts besides these: the claim's condition, the record's, its deletion.
const OTHER_OPERATIONS: usize = 3;

/// Small writes that go into one transaction.
#[derive(Default)]
pub(super) struct WriteBatch {
    writes: Vec<ShardWrite>,
    bytes: usize,
}

impl WriteBatch {
    /// Adds a write. Returns those before it if it does not fit in with them.
    pub(super) fn add(&mut self, write: ShardWrite) -> Option<Vec<ShardWrite>> {
        let size = match &write {
            ShardWrite::Record { record, .. } => record.bytes,
            _ => SMALL_WRITE,
        };
        let mut full = None;
        if self.bytes + size > TRANSACTION_BYTES && !self.writes.is_empty() {
            full = Some(std::mem::take(&mut self.writes));
            self.bytes = 0;
        }
        self.bytes += size;
        self.writes.push(write);
        full
    }

    /// What is left.
    pub(super) fn into_rest(self) -> Option<Vec<ShardWrite>> {
        Some(self.writes).filter(|writes| !writes.is_empty())
    }
}

/// The key that a write is about.
pub(super) fn write_key(shard: usize, write: &ShardWrite) -> String {
    match write {
        ShardWrite::Machine { machine, .. } => machine_key(machine),
        ShardWrite::Record { job, .. }
        | ShardWrite::End { job, .. }
        | ShardWrite::DropRecord { job, .. }
        | ShardWrite::Read { job } => work_key(shard, job),
    }
}

/// What became of a write, by the reply to its transaction.
pub(super) fn write_outcome(write: &ShardWrite, key: &str, reply: &StoreReply) -> WriteOutcome {
    match (write, reply) {
        (ShardWrite::Read { .. }, StoreReply::Entry(entry)) => WriteOutcome::Done(entry.version),
        (ShardWrite::Read { .. }, StoreReply::Missing) => WriteOutcome::Done(0),
        (_, StoreReply::Committed { revision }) => WriteOutcome::Done(*revision),
        (_, StoreReply::Refused) => WriteOutcome::Refused,
        // One failed condition fails all; those that held are simply made again.
        (ShardWrite::End { .. }, StoreReply::Conflict { .. }) => WriteOutcome::Unclear,
        (_, StoreReply::Conflict { failed }) if !failed.iter().any(|k| k == key) => {
            WriteOutcome::Refused
        }
        _ => WriteOutcome::Unclear,
    }
}

/// A transaction on behalf of a shard. It carries the version of the shard's claim, so that one that is applied late,
/// after the shard has passed on, fails.
pub(super) struct ShardTransaction {
    shard: usize,
    /// Most parts of one record that are deleted with it.
    max_part_deletions: usize,
    conditions: Vec<(String, u64)>,
    writes: Vec<Write>,
}

impl ShardTransaction {
    /// A transaction without writes, under a claim's version. `max_operations` is what the store takes at once.
    pub(super) fn new(shard: usize, version: u64, max_operations: usize) -> Self {
        ShardTransaction {
            shard,
            max_part_deletions: max_operations.saturating_sub(OTHER_OPERATIONS),
            conditions: vec![(ClaimId::Shard(shard).to_string(), version)],
            writes: Vec::new(),
        }
    }

    /// The request that carries it out.
    pub(super) fn into_request(self) -> StoreRequest {
        StoreRequest::CompareAndSwap {
            conditions: self.conditions,
            writes: self.writes,
        }
    }

    /// Adds what a write consists of.
    pub(super) fn add(&mut self, write: &ShardWrite) {
        let key = write_key(self.shard, write);
        match write {
            ShardWrite::Record {
                job,
                version,
                record,
                changes,
                ..
            } => {
                self.conditions.push((key.clone(), *version));
                self.put(key, record.head.clone());
                for (number, part) in changes {
                    self.change_part(part_key(self.shard, job, *number), part.as_ref());
                }
            }
            ShardWrite::End {
                job,
                job_version,
                record_version,
                parts_end,
                tasks,
            } => {
                let end = EndRecord {
                    cancelled: false,
                    tasks: *tasks,
                };
                self.conditions.extend(end_conditions(job, *job_version));
                self.writes.extend(end_writes(job, end));
                if *record_version > 0 {
                    self.delete_record(key, *record_version, job, *parts_end);
                }
            }
            ShardWrite::DropRecord {
                job,
                version,
                parts_end,
            } => self.delete_record(key, *version, job, *parts_end),
            ShardWrite::Machine {
                machine,
                version,
                record,
            } => {
                self.conditions.push((key, *version));
                self.writes.push(machine_write(machine, record));
            }
            ShardWrite::Read { .. } => {}
        }
    }

    fn change_part(&mut self, key: String, part: Option<&serde_json::Value>) {
        match part {
            Some(value) => self.put(key, value.clone()),
            None => self.writes.push(Write::Delete { key }),
        }
    }

    fn put(&mut self, key: String, value: serde_json::Value) {
        self.writes.push(Write::Put {
            key,
            value,
            lease: None,
        });
    }

    /// A part without its head means nothing: should there be more than a transaction takes, the rest stays.
    fn delete_record(&mut self, key: String, version: u64, job: &JobId, parts_end: u32) {
        self.conditions.push((key.clone(), version));
        self.writes.push(Write::Delete { key });
        let shard = self.shard;
        let parts = (0..parts_end).rev().take(self.max_part_deletions);
        self.writes.extend(parts.map(|number| Write::Delete {
            key: part_key(shard, job, number),
        }));
    }
}
