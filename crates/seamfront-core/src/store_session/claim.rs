//! Claims: what they are on, how they are stored, and what one controller knows of each.

use crate::types::Micros;
use serde::{Deserialize, Serialize};
use std::fmt;

/// What a claim is on. Its `Display` form is the key under which the claim is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ClaimId {
    /// The shard with this index.
    Shard(usize),
    /// Leadership.
    Leader,
}

impl fmt::Display for ClaimId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClaimId::Shard(shard) => write!(f, "share/{shard}"),
            ClaimId::Leader => f.write_str("leader"),
        }
    }
}

/// Value of a claim's key. The lease distinguishes one incarnation of a member from the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimValue {
    /// Name of the member that holds it.
    pub member: String,
    /// The lease that the key is attached to.
    pub lease: u64,
}

/// A claim as the view shows it.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    /// Version of its key.
    pub(crate) version: u64,
    /// Index of the member that holds it.
    pub(crate) member: usize,
    /// The lease that the key is attached to.
    pub(crate) lease: u64,
}

/// A claim under which this controller acts.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldClaim {
    /// Version of the claim's key: the fencing token of all that is done under it.
    pub(super) token: u64,
    /// When it was acquired.
    pub(super) acquired_at: Micros,
    /// Sending time of the last request by which it was verified together with a view of jobs that is as new.
    pub(super) last_verified: Option<Micros>,
    /// Of a shard: the records of its former owner have been read.
    pub(super) records_read: bool,
}

/// What this controller knows of one claim.
#[derive(Clone, Debug, Default)]
pub(super) struct ClaimState {
    /// The claim as last seen in the view.
    pub(super) seen: Option<Claim>,
    /// Since when it has been seen to be free.
    pub(super) free_since: Option<Micros>,
    /// A request to acquire it or to delete it is in flight.
    pub(super) request_in_flight: bool,
    /// Version of the last claim that was released here. It is never acted on again.
    pub(super) last_released_token: u64,
    /// The claim, while this controller acts under it.
    pub(super) held: Option<HeldClaim>,
}

impl ClaimState {
    /// The fencing token, while this controller acts under the claim.
    pub(super) fn token(&self) -> Option<u64> {
        self.held.map(|held| held.token)
    }

    /// The view shows the claim at this version.
    pub(super) fn seen_at(&self, version: u64) -> bool {
        self.seen
            .as_ref()
            .is_some_and(|claim| claim.version == version)
    }

    /// The view shows a claim that is newer than this version.
    pub(super) fn seen_newer_than(&self, version: u64) -> bool {
        self.seen
            .as_ref()
            .is_some_and(|claim| claim.version > version)
    }
}
