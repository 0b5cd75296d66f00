//! Values in the store. Each carries its format's number; a newer one is refused, never guessed.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;
use thiserror::Error;

/// The format that this version writes.
pub const FORMAT: u32 = 1;

/// Why a stored value can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RecordError {
    /// A newer version wrote it.
    #[error("{key}: format {format} is newer than {FORMAT}")]
    Newer {
        /// Its key.
        key: String,
        /// Its format.
        format: u64,
    },
    /// It is damaged, or something else.
    #[error("{key}: unreadable: {reason}")]
    Unreadable {
        /// Its key.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
}

/// Reads a stored value.
pub fn read<T: DeserializeOwned>(key: &str, value: &Value) -> Result<T, RecordError> {
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

/// A value as it is stored.
pub fn write<T: Serialize>(record: &T) -> Value {
    serde_json::to_value(record).unwrap_or_default()
}

/// Value of a claim. The lease distinguishes one incarnation of a member from the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Format of this value.
    pub format: u32,
    /// The member that holds the duty.
    pub member: String,
    /// The lease that the key is attached to.
    pub lease: u64,
}

/// What all members must agree on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedSettings {
    /// Length of the members' leases in milliseconds.
    pub lease_ms: i64,
    /// Names of the duties.
    pub duties: Vec<String>,
    /// Names of the members.
    pub members: Vec<String>,
}

impl SharedSettings {
    /// The first field that differs.
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
    /// How busy it is, in percent of what it can do.
    pub load: u64,
    /// Whether it wants to be rid of its duties.
    pub leaving: bool,
    /// The settings that it runs with.
    pub settings: SharedSettings,
}

/// Value of a member's version key: once written it stays.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// The newest format that the member reads.
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

/// Value of the switch from the former claim to duties.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SwitchRecord {
    /// Format of this value.
    pub format: u32,
    /// The member that recorded it.
    pub by: String,
    /// Version of the former claim that it ended.
    pub ended: u64,
}

/// What stands in the former claim after the switch. A version that knows no duties takes it for a claim of somebody
/// it does not know, and can't take it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerClaimRecord {
    /// No member's name.
    pub member: String,
    /// No lease.
    pub lease: u64,
}

/// Name of an operation: the token under which it was recorded and its number in that holding. No token comes twice,
/// so no name does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OperationName {
    /// Token of the holder that recorded it.
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

/// An operation as it is recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// Its name.
    pub name: OperationName,
    /// What is to be done, in the words of whoever performs it.
    pub payload: Value,
}

/// How an operation ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Settlement {
    /// It was carried out.
    Done,
    /// It was refused for good.
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

/// Value of a duty's operation log: all open operations, and the last that ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Format of this value.
    pub format: u32,
    /// Token of the holder that wrote it.
    #[serde(rename = "token")]
    pub fencing_token: u64,
    /// Number of this write under that token.
    pub sequence: u64,
    /// Operations that have ended since the log began.
    pub ended: u64,
    /// Operations that are open.
    pub open: Vec<Operation>,
    /// The last that ended, the newest last; shortened as need be.
    pub recent: Vec<SettledOperation>,
}
