//! Machines of a shard, and the evidence of what runs on them.

mod agent;
mod fencing;
mod health;
mod image_cache;
mod lifecycle;
mod order_history;
mod usage;

pub use agent::{Agent, UnacknowledgedReplies};
pub use fencing::{DirectCommand, Fencing};
pub use health::{Health, PaceSample, PACE_SAMPLE_TASKS};
pub use image_cache::{CachedImage, ImageCache};
pub use lifecycle::Lifecycle;
pub use order_history::{OrderHistory, PastOrder};
pub use usage::Usage;

use crate::types::{MachineId, Micros, Resources, TaskKey};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Added to the computed end of a lease before it counts as expired.
const LEASE_MARGIN: Micros = Micros::from_millis(200);
/// A machine is no longer used once its last acknowledged heartbeat is older than two intervals and this margin.
const HEARTBEAT_MARGIN: Micros = Micros::from_secs(1);
/// A machine is not used while its agent lists more exited tasks than this: the size of a heartbeat is bounded.
const MAX_EXITED_LISTED: usize = 400;

/// A machine's record in the store, `machine/<id>`. Its version is part of the machine's fencing token, so rewriting it
/// raises the token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// The shard that it belongs to; none while it is being terminated.
    #[serde(rename = "share")]
    pub shard: Option<usize>,
    /// Machine type.
    #[serde(rename = "kind")]
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// Key of a machine's record.
pub fn machine_key(id: &MachineId) -> String {
    format!("machine/{id}")
}

/// A machine of a shard, with the evidence of what runs on it.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Name.
    pub id: MachineId,
    /// Its record in the store.
    pub record: MachineRecord,
    /// Version of that record.
    pub version: u64,
    /// Total resources.
    pub size: Resources,
    /// Resources of the tasks placed on it.
    pub used: Resources,
    /// Tasks placed on it.
    pub tasks: BTreeSet<TaskKey>,
    /// Tasks that this shard did not place on it, but that its agent lists as not exited: they are stopped.
    pub unexpected_tasks: BTreeSet<TaskKey>,
    /// Liveness of its agent.
    pub agent: Agent,
    /// Fencing of its agent.
    pub fencing: Fencing,
    /// The last orders to its agent.
    pub order_history: OrderHistory,
    /// Its stage between takeover and release or decommissioning.
    pub lifecycle: Lifecycle,
    /// How long it or its accelerators have been unused.
    pub usage: Usage,
    /// Its image cache.
    pub image_cache: ImageCache,
    /// Signs that it is faulty.
    pub health: Health,
}

impl Machine {
    /// A machine that this holder has just taken over.
    pub fn new(
        id: MachineId,
        record: MachineRecord,
        version: u64,
        size: Resources,
        now: Micros,
    ) -> Self {
        Machine {
            id,
            record,
            version,
            size,
            used: Resources::default(),
            tasks: BTreeSet::new(),
            unexpected_tasks: BTreeSet::new(),
            agent: Agent::default(),
            fencing: Fencing::default(),
            order_history: OrderHistory::default(),
            lifecycle: Lifecycle::new(now),
            usage: Usage::default(),
            image_cache: ImageCache::default(),
            health: Health::default(),
        }
    }

    /// The lowest fencing token of its current owner: the newer of the claim's version and the version of its own
    /// record. Both are revisions of the store's one counter, so every later owner's lowest token is higher.
    pub fn ownership_token(&self, claim_version: u64) -> u64 {
        claim_version.max(self.version)
    }

    /// The fencing token that replies and commands carry.
    pub fn fencing_token(&self, claim_version: u64) -> u64 {
        self.ownership_token(claim_version)
            .max(self.fencing.raised_token)
    }

    /// Whether a token that its agent shows is one of its current owner's.
    pub fn is_current_token(&self, token: u64, claim_version: u64) -> bool {
        (self.ownership_token(claim_version)..=self.fencing_token(claim_version)).contains(&token)
    }

    /// Whether its agent has shown a token of its current owner, and none of a later one.
    pub fn has_shown_current_token(&self, claim_version: u64) -> bool {
        self.is_current_token(self.fencing.highest_seen_token, claim_version)
    }

    /// Whether a reply may tell its agent to forget attempts. An agent that has forgotten an attempt starts it again if
    /// a copy of the start command arrives, so the reply must carry a higher token than any direct command so far: the
    /// agent then refuses all copies. Raises the token for this if it can, up to `token_limit`.
    pub fn allow_forgetting(&mut self, claim_version: u64, token_limit: u64) -> bool {
        if self.fencing.direct_command.is_some() {
            return false;
        }
        let last_command = self.fencing.last_command_token;
        if self.fencing_token(claim_version) <= last_command && token_limit > last_command {
            self.fencing.raised_token = token_limit;
        }
        self.fencing_token(claim_version) > last_command
    }

    /// Resources not taken by tasks placed on it.
    pub fn free(&self) -> Resources {
        let mut free = self.size;
        free.sub(self.used);
        free
    }

    /// Whether no task is placed on it, its agent lists no unexpected task, and no direct command is unsettled.
    pub fn empty(&self) -> bool {
        self.tasks.is_empty()
            && self.unexpected_tasks.is_empty()
            && self.fencing.direct_command.is_none()
    }

    /// Whether new tasks may be placed on it. Its agent must have shown our current token: a heartbeat without it may
    /// be delayed by any time, or come from a machine that receives no replies.
    pub fn usable(&self, now: Micros, heartbeat_interval: Micros, claim_version: u64) -> bool {
        let max_age = heartbeat_interval.times(2) + HEARTBEAT_MARGIN;
        self.record.shard.is_some()
            && self.has_shown_current_token(claim_version)
            && self
                .agent
                .last_acknowledged
                .is_some_and(|t| now - t <= max_age)
            && !self.agent.lease_expired
            && self.lifecycle.in_service()
            && !self.health.quarantined()
            && self.health.full_until <= now
            && self.agent.exited_listed <= MAX_EXITED_LISTED
    }

    /// Time since its last heartbeat, or since this holder took it over if that was later.
    pub fn silent_for(&self, now: Micros) -> Micros {
        let owned_since = self.lifecycle.owned_since;
        now - self
            .agent
            .last_heartbeat
            .unwrap_or(owned_since)
            .max(owned_since)
    }

    /// Records a reply to a heartbeat. It counts as unacknowledged until the agent has shown our current token.
    pub fn reply_sent(&mut self, now: Micros, claim_version: u64) {
        self.agent.last_reply = Some(now);
        if self.fencing.highest_seen_token < self.ownership_token(claim_version) {
            self.agent.count_unacknowledged(now);
        }
    }

    /// Whether its heartbeats arrive and our replies apparently do not. While such a machine may hold tasks it gets no
    /// more replies: they might renew its lease, which must expire for sure.
    pub fn misses_replies(&self) -> bool {
        self.agent.misses_replies() && !self.tasks.is_empty()
    }

    /// When its agent's lease has certainly expired, so that no task ordered before can still run. The lease is counted
    /// from this holder's last reply or from the first message of the incarnation, whichever is later. Until the agent
    /// has shown our token, a former holder may have renewed the lease up to `verification_ttl` after the takeover.
    pub fn lease_expiry(
        &self,
        claim_version: u64,
        lease: Micros,
        verification_ttl: Micros,
    ) -> Micros {
        let former = self.lifecycle.owned_since + verification_ttl.with_drift();
        let renewed = self.agent.last_reply.max(self.agent.incarnation_seen_at);
        let last = match renewed {
            // An agent that has shown our token ignores replies of former holders.
            Some(t) if self.fencing.highest_seen_token >= self.ownership_token(claim_version) => t,
            Some(t) => t.max(former),
            None => former,
        };
        last + lease.with_drift() + LEASE_MARGIN
    }

    /// Whether tasks without accelerators may be placed on it. On a machine with accelerators they may fill the
    /// remaining room as long as the accelerators are used from time to time, but they must not keep a machine whose
    /// accelerators are unused from becoming empty.
    pub fn accepts_cpu_only_work(&self, now: Micros, keep: Micros) -> bool {
        self.size.gpus == 0
            || self
                .usage
                .accelerators_unused_since
                .is_none_or(|t| now - t < keep.divided_by(2))
    }
}
