//! Formats of the values in the store. Each value carries its format number; a value of a newer format is rejected,
//! never interpreted.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;
use thiserror::Error;

/// The format number that this version writes.
pub const FORMAT: u32 = 1;

/// Why a stored value can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RecordError {
    /// A newer version wrote it.
    #[error("{key}: format {format} is newer than {FORMAT}")]
    Newer {
        /// Key of the value.
        key: String,
        /// Its format number.
        format: u64,
    },
    /// It does not have the expected fields.
    #[error("{key}: unreadable: {reason}")]
    Unreadable {
        /// Key of the value.
        key: String,
        /// The decoder's error.
        reason: String,
    },
}

/// Decodes the value stored under a key.
pub fn decode<T: DeserializeOwned>(key: &str, value: &Value) -> Result<T, RecordError> {
    match value.get("format").and_then(Value::as_u64) {
        Some(format) if format > u64::from(FORMAT) => Err(RecordError::Newer {
            key: key.to_owned(),
            format,
        }),
        _ => T::deserialize(value).map_err(|error| RecordError::Unreadable {
            key: key.to_owned(),
            reason: error.to_string(),
        }),
    }
}

/// Encodes a value for the store.
pub fn encode<T: Serialize>(record: &T) -> Value {
    serde_json::to_value(record).unwrap_or_default()
}

/// Value of a claim. The lease distinguishes the incarnations of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Format of this value.
    pub format: u32,
    /// The member that holds the duty.
    pub member: String,
    /// The lease that the key is attached to.
    pub lease: u64,
}

/// The settings that must be the same at all members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedSettings {
    /// Duration of the members' leases in milliseconds.
    pub lease_ms: i64,
    /// Names of the duties.
    pub duties: Vec<String>,
    /// Names of the members.
    pub members: Vec<String>,
}

impl SharedSettings {
    /// Name of the first setting that differs.
    pub fn difference(&self, other: &SharedSettings) -> Option<&'static str> {
        if self.lease_ms != other.lease_ms {
            return Some("lease");
        }
        if self.duties != other.duties {
            return Some("duties");
        }
        (self.members != other.members).then_some("members")
    }
}

/// Value of a member's record, attached to its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Format of this value.
    pub format: u32,
    /// The member's lease.
    pub lease: u64,
    /// Its load, in percent of its capacity.
    pub load: u64,
    /// Whether it is leaving and transfers its duties.
    pub leaving: bool,
    /// The settings that it runs with.
    pub settings: SharedSettings,
}

/// Value of a member's version key, which is never removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// The newest format number that the member reads.
    pub format: u32,
}

/// Value of an operator's request to move a duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveRecord {
    /// Format of this value.
    pub format: u32,
    /// The member that is to hold the duty.
    pub to: String,
}

/// Value of the switch record, written when a claim for each duty replaces the former claim on all of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SwitchRecord {
    /// Format of this value.
    pub format: u32,
    /// The member that wrote it.
    pub by: String,
    /// Version of the former claim that was replaced.
    pub ended: u64,
}

/// Value of the former claim's key after the switch. To versions without support for duties it is the claim of an
/// unknown member, which they can't acquire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerClaimRecord {
    /// Empty, which is no member's name.
    pub member: String,
    /// 0, which is no lease's id.
    pub lease: u64,
}

/// Name of an operation: the token under which it was recorded, and its number under that token. Names are unique
/// because tokens are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OperationName {
    /// Fencing token of the holder that recorded it.
    #[serde(rename = "token")]
    pub fencing_token: u64,
    /// Its number under that token.
    pub number: u64,
}

impl fmt::Display for OperationName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.fencing_token, self.number)
    }
}

/// An operation as it is recorded in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// Its name.
    pub name: OperationName,
    /// What to do, for the performer to interpret.
    pub payload: Value,
}

/// How an operation ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Settlement {
    /// It was carried out.
    Done,
    /// It was refused permanently.
    NotDone,
}

/// An operation that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettledOperation {
    /// Its name.
    pub name: OperationName,
    /// How it ended.
    pub settlement: Settlement,
}

/// Value of a duty's operation log: all open operations and the most recently ended ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Format of this value.
    pub format: u32,
    /// Fencing token of the holder that wrote it.
    #[serde(rename = "token")]
    pub fencing_token: u64,
    /// Number of this update under that token.
    pub sequence: u64,
    /// Number of operations that have ended since the log was created.
    pub ended: u64,
    /// Open operations.
    pub open: Vec<Operation>,
    /// The operations that ended last, the newest at the end. Shortened as needed to limit the size.
    pub recent: Vec<SettledOperation>,
}
