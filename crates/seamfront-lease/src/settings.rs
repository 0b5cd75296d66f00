//! Settings of a member, and their validation.

use crate::record::SharedSettings;
use crate::time::Micros;
use std::collections::BTreeSet;
use thiserror::Error;

/// Limits of the store. They may shrink while a member runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLimits {
    /// Maximum size of a value in bytes.
    pub value_bytes: usize,
    /// Maximum number of changes in a transaction.
    pub transaction_changes: usize,
    /// Changes per second that this member may make.
    pub changes_per_second: i64,
}

/// Settings of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// This member's name.
    pub member: String,
    /// Names of all members, in the same order at each.
    pub members: Vec<String>,
    /// Names of the duties, in the same order at each member.
    pub duties: Vec<String>,
    /// Duration of a member's lease after a renewal.
    pub lease: Micros,
    /// Timeout of requests to the store. The outcome of a request is unknown once it has passed.
    pub store_answer: Micros,
    /// How much longer each member waits than the one ranked before it, before it claims a free duty.
    pub takeover_step: Micros,
    /// Minimum time that a duty is held before it may be transferred to balance load.
    pub rebalance_after: Micros,
    /// Maximum number of open operations per duty.
    pub open_operations: usize,
    /// Limits of the store.
    pub limits: StoreLimits,
    /// Duties that one member should hold together, since they work on the same data. They follow the member that holds
    /// most of them and are not balanced by load.
    pub affinity_group: Vec<String>,
    /// Key of the former claim, which covers all duties in versions without support for duties. If it is set, duties
    /// have claims of their own only after the switch.
    pub former_claim: Option<String>,
}

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{field}: {reason}")]
pub struct SettingsError {
    /// Name of the setting.
    pub field: &'static str,
    /// What is wrong with its value.
    pub reason: String,
}

/// Number of renewals sent during one lease.
pub const RENEWALS_PER_LEASE: i64 = 4;
/// Divisor of a lease for the time at its end that is never used, as a margin beyond the assumed clock drift.
const SAFETY_MARGIN_DIVISOR: i64 = 8;
const LEASE_MAX: Micros = Micros::from_secs(600);
const NAME_LENGTH_MAX: usize = 100;

impl LeaseSettings {
    /// Settings with default durations, for a store with these limits.
    pub fn new(
        member: &str,
        members: &[&str],
        duties: &[&str],
        limits: StoreLimits,
    ) -> LeaseSettings {
        LeaseSettings {
            member: member.to_owned(),
            members: members.iter().map(|name| (*name).to_owned()).collect(),
            duties: duties.iter().map(|name| (*name).to_owned()).collect(),
            lease: Micros::from_secs(4),
            store_answer: Micros::from_millis(1_500),
            takeover_step: Micros::from_millis(400),
            rebalance_after: Micros::from_secs(20),
            open_operations: 32,
            limits,
            affinity_group: Vec::new(),
            former_claim: None,
        }
    }

    /// How long a holder may act after sending its last successful renewal: the lease, less the assumed clock drift and
    /// the safety margin.
    pub fn acting_time(&self) -> Micros {
        let drift = self.lease.with_drift() - self.lease;
        self.lease - drift - self.lease.divided_by(SAFETY_MARGIN_DIVISOR)
    }

    /// Maximum age of a claim's verification when an effect begins.
    pub fn verification_ttl(&self) -> Micros {
        self.acting_time().divided_by(2)
    }

    /// Interval between renewals.
    pub fn renew_every(&self) -> Micros {
        self.lease.divided_by(RENEWALS_PER_LEASE)
    }

    /// The settings that must be the same at all members.
    pub fn shared(&self) -> SharedSettings {
        SharedSettings {
            lease_ms: self.lease.0 / 1_000,
            duties: self.duties.clone(),
            members: self.members.clone(),
        }
    }

    /// Checks the settings. The error names the first field that is invalid.
    pub fn validate(&self) -> Result<(), SettingsError> {
        check_names("members", &self.members)?;
        check_names("duties", &self.duties)?;
        require(self.members.contains(&self.member), "member", || {
            format!("{:?} is not among the members", self.member)
        })?;
        let unknown = self
            .affinity_group
            .iter()
            .find(|name| !self.duties.contains(name));
        require(unknown.is_none(), "together", || {
            let name = unknown.map_or("", String::as_str);
            format!("{name:?} is not among the duties")
        })?;
        require(self.store_answer > Micros::ZERO, "store_answer", || {
            "must be more than 0".to_owned()
        })?;
        require(self.lease <= LEASE_MAX, "lease", || {
            "must be at most 600 s".to_owned()
        })?;
        // After a renewal without a reply there must be time for another one before the holder has to stop.
        let least = self.renew_every() + self.store_answer;
        require(self.acting_time() > least, "lease", || {
            let (lease, answer) = (
                self.lease.as_secs_decimal(),
                self.store_answer.as_secs_decimal(),
            );
            format!("{lease} s is too short for a store that may take {answer} s to reply")
        })?;
        require(self.takeover_step > Micros::ZERO, "takeover_step", || {
            "must be more than 0".to_owned()
        })?;
        require(self.open_operations > 0, "open_operations", || {
            "must be at least 1".to_owned()
        })?;
        require(
            self.limits.value_bytes >= 1_024,
            "limits.value_bytes",
            || "must be at least 1024".to_owned(),
        )?;
        require(
            self.limits.transaction_changes >= 3,
            "limits.transaction_changes",
            || "must be at least 3".to_owned(),
        )?;
        require(
            self.limits.changes_per_second > 0,
            "limits.changes_per_second",
            || "must be more than 0".to_owned(),
        )
    }
}

fn require(
    holds: bool,
    field: &'static str,
    reason: impl FnOnce() -> String,
) -> Result<(), SettingsError> {
    if holds {
        return Ok(());
    }
    Err(SettingsError {
        field,
        reason: reason(),
    })
}

fn check_names(field: &'static str, names: &[String]) -> Result<(), SettingsError> {
    require(!names.is_empty(), field, || "must not be empty".to_owned())?;
    let distinct: BTreeSet<&String> = names.iter().collect();
    require(distinct.len() == names.len(), field, || {
        "contains the same name twice".to_owned()
    })?;
    for name in names {
        let characters = name
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
        let fits = !name.is_empty() && name.len() <= NAME_LENGTH_MAX && characters;
        require(fits, field, || {
            format!(
                "{name:?} is not a name of 1 to {NAME_LENGTH_MAX} letters, digits, '-', '_' and '.'"
            )
        })?;
    }
    Ok(())
}
