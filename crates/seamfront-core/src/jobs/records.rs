//! Stored records of jobs and their ends: keys, values, and the transaction that ends a job.

use crate::port::Write;
use crate::types::JobId;
use serde::{Deserialize, Serialize};

/// Value of `end/<id>`, which is created once, by whichever controller ends the job first.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct EndRecord {
    /// True if the job was cancelled, false if it is done.
    pub cancelled: bool,
    /// Number of tasks of the job.
    pub tasks: u32,
}

/// Which of a job's two records a request reads. A lookup reads the record of the live job first, then that of its end.
/// One transaction deletes the former and creates the latter, so a lookup in this order can't miss both.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobRecordKind {
    /// `job/<id>`, which exists while the job is live.
    Job,
    /// `end/<id>`, which exists once the job has ended.
    End,
}

/// Whether a job's record lists dependencies.
pub(crate) fn has_dependencies(record: &serde_json::Value) -> bool {
    record.get("needs").is_some()
}

/// Key of the record of a live job.
pub fn job_key(id: &JobId) -> String {
    format!("job/{id}")
}

/// Key of the record of a job's end.
pub fn end_key(id: &JobId) -> String {
    format!("end/{id}")
}

/// Prefix of the keys that hold the remaining parts of a long dependency list.
pub(super) fn dependency_parts_prefix(id: &JobId) -> String {
    format!("needs/{id}/")
}

/// Key of a part of a long dependency list.
pub(crate) fn dependency_part_key(id: &JobId, part: usize) -> String {
    format!("needs/{id}/{part:05}")
}

/// Conditions of the transaction that ends a job: the job is live, at this version, and has not ended.
pub(crate) fn end_conditions(id: &JobId, job_version: u64) -> [(String, u64); 2] {
    [(job_key(id), job_version), (end_key(id), 0)]
}

/// Writes of the transaction that ends a job.
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
