//! Claims on shards and on leadership: their keys, their stored values, and the state that a controller keeps of each.

use crate::types::Micros;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Identifies a claim. The `Display` form is the key under which the claim is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ClaimId {
    /// The claim on the shard with this index.
    Shard(usize),
    /// The claim to leadership.
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

/// Value of a claim's key. The lease distinguishes a member's process from its earlier ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimValue {
    /// Name of the member that holds the claim.
    pub member: String,
    /// Lease that the key is attached to.
    pub lease: u64,
}

/// A claim as last seen.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    /// Version of the claim's key.
    pub(crate) version: u64,
    /// Index of the member that holds the claim.
    pub(crate) member: usize,
    /// Lease that the key is attached to; 0 if the claim is known only from the announcement of a peer.
    pub(crate) lease: u64,
}

/// A claim under which this controller acts.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldClaim {
    /// Version of the claim's key: the fencing token of all actions under the claim.
    pub(super) token: u64,
    /// When the claim was acquired.
    pub(super) acquired_at: Micros,
    /// Time at which the last successful verification was sent. A verification succeeds only once the view of jobs is
    /// at least as new as the store's confirmation.
    pub(super) last_verified: Option<Micros>,
    /// The highest revision at which the store has confirmed that the claim is current.
    pub(super) confirmed_revision: u64,
    /// For a claim on a shard: whether the predecessor's records have been read.
    pub(super) records_read: bool,
}

/// State of one claim at this controller.
#[derive(Clone, Debug, Default)]
pub(super) struct ClaimState {
    /// The claim as last seen in the view, in the reply to a request, or in a peer's announcement; None if it is free.
    pub(super) seen: Option<Claim>,
    /// Since when the claim has been seen to be free.
    pub(super) free_since: Option<Micros>,
    /// A request that acquires or deletes the claim is in flight.
    pub(super) request_in_flight: bool,
    /// Version of the claim when this controller last released it. It never acts under that version again.
    pub(super) last_released_token: u64,
    /// Set while this controller acts under the claim.
    pub(super) held: Option<HeldClaim>,
}

impl ClaimState {
    /// Fencing token; None unless this controller acts under the claim.
    pub(super) fn token(&self) -> Option<u64> {
        self.held.map(|held| held.token)
    }

    /// Whether the claim was last seen at this version.
    pub(super) fn seen_at(&self, version: u64) -> bool {
        self.seen
            .as_ref()
            .is_some_and(|claim| claim.version == version)
    }

    /// Whether the claim was last seen at a newer version.
    pub(super) fn seen_newer_than(&self, version: u64) -> bool {
        self.seen
            .as_ref()
            .is_some_and(|claim| claim.version > version)
    }
}
