//! Stored records of jobs and their ends: keys, values, and the transaction that ends a job.

use crate::port::Write;
use crate::types::JobId;
use serde::{Deserialize, Serialize};

/// `end/<id>`: created once, by whoever ends the job first.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct EndRecord {
    /// Cancelled, or done.
    pub cancelled: bool,
    /// How many tasks the job has.
    pub tasks: u32,
}

/// Which of a job's two records a request reads. A job is looked up as a live one first, then as an ended one:
/// whoever ends a job removes the one record and writes the other in one transaction, so this order can't miss both.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobRecordKind {
    /// `job/<id>`, there while the job is live.
    Job,
    /// `end/<id>`, there once it has ended.
    End,
}

/// Whether a job's record names dependencies.
pub(crate) fn names_dependencies(record: &serde_json::Value) -> bool {
    record.get("needs").is_some()
}

/// Key of a live job.
pub fn job_key(id: &JobId) -> String {
    format!("job/{id}")
}

/// Key of a job's end.
pub fn end_key(id: &JobId) -> String {
    format!("end/{id}")
}

/// Prefix of the keys under which the rest of a long dependency list stands.
pub(super) fn dependency_parts_prefix(id: &JobId) -> String {
    format!("needs/{id}/")
}

/// Key of a part of a long dependency list.
pub(crate) fn dependency_part_key(id: &JobId, part: usize) -> String {
    format!("needs/{id}/{part:05}")
}

/// On what an end is written: the job is live, at this version, and has not ended.
pub(crate) fn end_conditions(id: &JobId, job_version: u64) -> [(String, u64); 2] {
    [(job_key(id), job_version), (end_key(id), 0)]
}

/// The changes that end a job.
pub(crate) fn end_writes(id: &JobId, end: EndRecord) -> [Write; 2] {
    let value = serde_json::to_value(end).unwrap_or_default();
    [
        Write::Put {
            key: end_key(id),
            value,
            lease: None,
        },
        Write::Delete { key: job_key(id) },
    ]
}
