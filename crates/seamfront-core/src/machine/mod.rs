//! Machines of a shard, and the evidence of what runs on them.

mod agent;
mod fencing;
mod health;
mod image_cache;
mod lifecycle;
mod usage;

pub use agent::{Agent, UnacknowledgedReplies};
pub use fencing::{DirectCommand, Fencing};
pub use health::{Health, PaceSample, PACE_TASKS};
pub use image_cache::{CachedImage, ImageCache};
pub use lifecycle::Lifecycle;
pub use usage::Usage;

use crate::types::{MachineId, Micros, Resources, TaskKey};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Margin after the computed end of a lease before it counts as expired.
const LEASE_MARGIN: Micros = Micros::from_millis(200);
/// Allowance for a delayed heartbeat before a machine is no longer used.
const HEARTBEAT_MARGIN: Micros = Micros::from_secs(1);

/// `machine/<id>`. Its version is part of the machine's fencing token, so rewriting it fences the machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// The shard that it belongs to; none while it is being returned to the cloud.
    #[serde(rename = "share")]
    pub shard: Option<usize>,
    /// Machine type.
    pub kind: String,
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
    /// Tasks that this shard did not place on it, yet its agent shows as not ended: they are stopped.
    pub unexpected_tasks: BTreeSet<TaskKey>,
    /// Liveness of its agent.
    pub agent: Agent,
    /// Fencing of its agent.
    pub fencing: Fencing,
    /// Where it stands between claim and return.
    pub lifecycle: Lifecycle,
    /// How long it has been unused.
    pub usage: Usage,
    /// Its image cache.
    pub image_cache: ImageCache,
    /// Signs that it is faulty.
    pub health: Health,
}

impl Machine {
    /// A machine that has just come to this holder.
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
            lifecycle: Lifecycle::new(now),
            usage: Usage::default(),
            image_cache: ImageCache::default(),
            health: Health::default(),
        }
    }

    /// The fencing token of its present owner. Both versions are revisions of one counter, so every later owner's
    /// token is higher.
    pub fn fencing_token(&self, claim_version: u64) -> u64 {
        claim_version.max(self.version)
    }

    /// Resources not taken by tasks placed on it.
    pub fn free(&self) -> Resources {
        let mut free = self.size;
        free.sub(self.used);
        free
    }

    /// Nothing is placed on it, shown by its agent or being ordered.
    pub fn empty(&self) -> bool {
        self.tasks.is_empty()
            && self.unexpected_tasks.is_empty()
            && self.fencing.direct_command.is_none()
    }

    /// Whether new tasks may be placed on it. Only where the agent has shown our present token: a heartbeat
    /// without it may be late by any time, or come from a machine that receives no replies.
    pub fn usable(&self, now: Micros, heartbeat_interval: Micros, claim_version: u64) -> bool {
        let max_age = heartbeat_interval.times(2) + HEARTBEAT_MARGIN;
        self.record.shard.is_some()
            && self.fencing.highest_seen_token == self.fencing_token(claim_version)
            && self
                .agent
                .last_acknowledged
                .is_some_and(|t| now - t <= max_age)
            && !self.agent.lease_expired
            && self.lifecycle.in_service()
            && !self.health.quarantined()
            && self.health.full_until <= now
    }

    /// Time since its last heartbeat.
    pub fn silent_for(&self, now: Micros) -> Micros {
        let owned_since = self.lifecycle.owned_since;
        now - self
            .agent
            .last_heartbeat
            .unwrap_or(owned_since)
            .max(owned_since)
    }

    /// Notes a reply to a heartbeat, and counts it where that heartbeat did not show our present token.
    pub fn reply_sent(&mut self, now: Micros, claim_version: u64) {
        self.agent.last_reply = Some(now);
        if self.fencing.highest_seen_token < self.fencing_token(claim_version) {
            self.agent.count_unacknowledged(now);
        }
    }

    /// Its heartbeats arrive and our replies do not. While such a machine may hold tasks it gets no more replies,
    /// so that its lease, which those replies might renew, is known to expire.
    pub fn ignores_replies(&self) -> bool {
        self.agent.misses_replies() && !self.tasks.is_empty()
    }

    /// When nothing that was ordered before can still run on it: its lease has expired, counted from this
    /// holder's last reply, from the start of its incarnation, or, for an agent not seen yet, from the last reply
    /// that any former holder may have sent (`lease_valid` after the claim).
    pub fn lease_expiry(&self, claim_version: u64, lease: Micros, lease_valid: Micros) -> Micros {
        let former = self.lifecycle.owned_since + lease_valid.with_drift();
        let answered = self.agent.last_reply.max(self.agent.incarnation_seen_at);
        let last = match answered {
            // Once the agent has shown our token it drops whatever a former holder replies.
            Some(t) if self.fencing.highest_seen_token >= self.fencing_token(claim_version) => t,
            Some(t) => t.max(former),
            None => former,
        };
        last + lease.with_drift() + LEASE_MARGIN
    }

    /// Whether tasks without accelerators may be placed on it. They may fill a machine with accelerators while
    /// these are used now and then, but must not keep it from becoming empty when they are not.
    pub fn accepts_cpu_only_work(&self, now: Micros, keep: Micros) -> bool {
        self.size.gpus == 0
            || self
                .usage
                .accelerators_unused_since
                .is_none_or(|t| now - t < keep.over(2))
    }
}
