//! Transactions on behalf of a shard: how writes are batched, and the operations of each write.

use crate::jobs::{end_conditions, end_writes, job_key, EndRecord};
use crate::machine::machine_key;
use crate::port::{StoreReply, StoreRequest, Write};
use crate::record::part_key;
use crate::shard::{machine_write, work_key, ShardWrite, WriteOutcome};
use crate::store_session::ClaimId;
use crate::types::JobId;

/// Maximum bytes of records in one transaction, well below the size limit of the key-value store.
const MAX_TRANSACTION_BYTES: usize = 40_000;
/// Approximate bytes of a write that is not the record of a job.
const SMALL_WRITE_BYTES: usize = 200;
/// Operations of a transaction that deletes a record, without those on parts: the conditions on the claim and on the
/// record, and the deletion of the record.
const NON_PART_OPERATIONS: usize = 3;

/// Writes collected for one transaction.
#[derive(Default)]
pub(super) struct WriteBatch {
    writes: Vec<ShardWrite>,
    bytes: usize,
}

impl WriteBatch {
    /// Adds a write. If it does not fit, returns the previous writes and starts a new batch with it.
    pub(super) fn add(&mut self, write: ShardWrite) -> Option<Vec<ShardWrite>> {
        let size = match &write {
            ShardWrite::Record { record, .. } => record.bytes,
            _ => SMALL_WRITE_BYTES,
        };
        let mut full = None;
        if self.bytes + size > MAX_TRANSACTION_BYTES && !self.writes.is_empty() {
            full = Some(std::mem::take(&mut self.writes));
            self.bytes = 0;
        }
        self.bytes += size;
        self.writes.push(write);
        full
    }

    /// The writes of the last batch; None if it is empty.
    pub(super) fn into_remaining(self) -> Option<Vec<ShardWrite>> {
        Some(self.writes).filter(|writes| !writes.is_empty())
    }
}

/// Key that a write changes or reads.
pub(super) fn write_key(shard: usize, write: &ShardWrite) -> String {
    match write {
        ShardWrite::Machine { machine, .. } => machine_key(machine),
        ShardWrite::Record { job, .. }
        | ShardWrite::End { job, .. }
        | ShardWrite::DropRecord { job, .. }
        | ShardWrite::Read { job } => work_key(shard, job),
    }
}

/// Outcome of a write according to the reply to its transaction.
pub(super) fn write_outcome(write: &ShardWrite, key: &str, reply: &StoreReply) -> WriteOutcome {
    match (write, reply) {
        (ShardWrite::Read { .. }, StoreReply::Entry(entry)) => WriteOutcome::Done(entry.version),
        (ShardWrite::Read { .. }, StoreReply::Missing) => WriteOutcome::Done(0),
        (_, StoreReply::Committed { revision }) => WriteOutcome::Done(*revision),
        (_, StoreReply::Refused) => WriteOutcome::Refused,
        // One failed condition fails the whole transaction; writes whose own conditions held are repeated.
        (ShardWrite::End { .. }, StoreReply::Conflict { .. }) => WriteOutcome::Unknown,
        (ShardWrite::Record { job, .. }, StoreReply::Conflict { failed })
            if failed.contains(&job_key(job)) =>
        {
            WriteOutcome::Unknown
        }
        (_, StoreReply::Conflict { failed }) if !failed.iter().any(|k| k == key) => {
            WriteOutcome::Refused
        }
        _ => WriteOutcome::Unknown,
    }
}

/// A transaction on behalf of a shard. It is conditional on the version of the shard's claim, so that it fails if it is
/// applied late, after the shard has a new holder.
pub(super) struct ShardTransaction {
    shard: usize,
    /// Maximum number of parts that are deleted together with their record.
    max_part_deletions: usize,
    conditions: Vec<(String, u64)>,
    writes: Vec<Write>,
}

impl ShardTransaction {
    /// Creates a transaction without writes, conditional on the claim's version. `max_operations` is the store's limit
    /// for one transaction.
    pub(super) fn new(shard: usize, version: u64, max_operations: usize) -> Self {
        ShardTransaction {
            shard,
            max_part_deletions: max_operations.saturating_sub(NON_PART_OPERATIONS),
            conditions: vec![(ClaimId::Shard(shard).to_string(), version)],
            writes: Vec::new(),
        }
    }

    /// The request to the store.
    pub(super) fn into_request(self) -> StoreRequest {
        StoreRequest::CompareAndSwap {
            conditions: self.conditions,
            writes: self.writes,
        }
    }

    /// Adds the conditions and operations of a write.
    pub(super) fn add(&mut self, write: &ShardWrite) {
        let key = write_key(self.shard, write);
        match write {
            ShardWrite::Record {
                job,
                job_version,
                version,
                record,
                changes,
                ..
            } => {
                self.conditions.push((key.clone(), *version));
                // A copy that arrives after the record was removed with its job must not create it anew.
                if *version == 0 {
                    self.conditions.push((job_key(job), *job_version));
                }
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

    /// Deletes a record and as many of its parts as the transaction has room for. Any others may stay, since parts
    /// without a head are ignored.
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
