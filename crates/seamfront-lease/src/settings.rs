//! Settings of a member, with their limits.

use crate::record::SharedSettings;
use crate::time::Micros;
use std::collections::BTreeSet;
use thiserror::Error;

/// What the store takes. It may shrink while a member runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLimits {
    /// Bytes in one value.
    pub value_bytes: usize,
    /// Changes in one transaction.
    pub transaction_changes: usize,
    /// Changes a second that this member may use.
    pub changes_per_second: i64,
}

/// Settings of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// This member's name.
    pub member: String,
    /// Names of all members, in the same order everywhere.
    pub members: Vec<String>,
    /// Names of the duties, in the same order everywhere.
    pub duties: Vec<String>,
    /// How long a member's lease lasts without being renewed.
    pub lease: Micros,
    /// The longest that a request to the store may go without a reply before its outcome counts as unknown.
    pub store_answer: Micros,
    /// How long the next member in turn waits before it claims a duty that has become free.
    pub takeover_step: Micros,
    /// How long a duty stays where it is before it may be moved for the sake of load.
    pub rebalance_after: Micros,
    /// Open operations of one duty at the most.
    pub open_operations: usize,
    /// What the store takes.
    pub limits: StoreLimits,
    /// Duties that are best held by one member, since they work on the same data. They follow whoever holds most of
    /// them, instead of being balanced.
    pub affinity_group: Vec<String>,
    /// Key of the claim that carried all duties in a version that knew none of them.
    pub former_claim: Option<String>,
}

/// A setting that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{field}: {reason}")]
pub struct SettingsError {
    /// The setting.
    pub field: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

/// A lease is renewed so many times while it lasts.
pub const RENEWALS_PER_LEASE: i64 = 4;
/// One part in so many of a lease is left unused at its end, whatever the clocks say.
const SAFETY_PART: i64 = 8;
const LEASE_MAX: Micros = Micros::from_secs(600);
const NAME_LENGTH_MAX: usize = 100;

impl LeaseSettings {
    /// Settings with the usual times, for a store with these limits.
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

    /// How long after the sending of its last renewal a holder may act: the lease, less the stated drift of clocks and
    /// a part that is never used.
    pub fn acting_time(&self) -> Micros {
        let drift = self.lease.with_drift() - self.lease;
        self.lease - drift - self.lease.over(SAFETY_PART)
    }

    /// How old the verification of a claim may be when an effect begins.
    pub fn verification_ttl(&self) -> Micros {
        self.acting_time().over(2)
    }

    /// How long after one renewal the next is sent.
    pub fn renew_every(&self) -> Micros {
        self.lease.over(RENEWALS_PER_LEASE)
    }

    /// What must be the same at all members.
    pub fn shared(&self) -> SharedSettings {
        SharedSettings {
            lease_ms: self.lease.0 / 1_000,
            duties: self.duties.clone(),
            members: self.members.clone(),
        }
    }

    /// Refuses settings that could not work, naming the first field that is wrong.
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
            format!("{:?} is not among the duties", unknown)
        })?;
        require(self.store_answer > Micros::ZERO, "store_answer", || {
            "must be more than 0".to_owned()
        })?;
        require(self.lease <= LEASE_MAX, "lease", || {
            "must be at most 600 s".to_owned()
        })?;
        // A renewal whose reply is lost must leave time for another before the holder stops.
        let least = self.renew_every() + self.store_answer;
        require(self.acting_time() > least, "lease", || {
            let (lease, answer) = (
                self.lease.as_secs_decimal(),
                self.store_answer.as_secs_decimal(),
            );
            format!("{lease} s is too short for a store that may take {answer} s to answer")
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
        "a name stands twice".to_owned()
    })?;
    for name in names {
        let characters = name
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
        let fits = !name.is_empty() && name.len() <= NAME_LENGTH_MAX && characters;
        require(fits, field, || {
            format!("{name:?} is no name: letters, digits, '-', '_' and '.' only")
        })?;
    }
    Ok(())
}
