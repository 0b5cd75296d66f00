//! The controller's own health: whether agents can reach it and whether it can serve requests.

use super::Engine;
use crate::shard::Shard;
use crate::types::Micros;
use tracing::warn;

/// The store counts as unreachable after this long without a reply.
const STORE_TIMEOUT: Micros = Micros::from_millis(2_500);
/// Number of heartbeat intervals that, together with [`HEARTBEAT_GRACE`], have to pass without any heartbeat before an
/// inbound partition is assumed.
const MISSED_HEARTBEATS: i64 = 3;
/// Tolerance added to the missed heartbeat intervals.
const HEARTBEAT_GRACE: Micros = Micros::from_secs(2);
/// How long a controller without machines continues to consider itself unreachable.
const PARTITION_TIMEOUT: Micros = Micros::from_secs(30);

/// Detects that no agent can reach this controller, although agents of its own shards have reached it before. They may
/// still reach other controllers.
#[derive(Debug, Default)]
pub(super) struct InboundPartition {
    /// When the last heartbeat of any agent was received, whichever controller holds its shard.
    last_heartbeat: Micros,
    /// When the partition was detected; None while there is none.
    since: Option<Micros>,
}

impl InboundPartition {
    /// Whether no agent can reach this controller.
    pub(super) fn detected(&self) -> bool {
        self.since.is_some()
    }

    /// Records a heartbeat of any agent.
    pub(super) fn heartbeat_received(&mut self, now: Micros) {
        self.last_heartbeat = now;
    }

    /// Re-evaluates the partition. `own_agents_seen` says whether any agent of a shard held here has ever sent a
    /// heartbeat. A controller without shards expects none, so it counts as reachable again after a timeout.
    fn update(&mut self, now: Micros, heartbeat_interval: Micros, own_agents_seen: bool) {
        let timeout = heartbeat_interval.times(MISSED_HEARTBEATS) + HEARTBEAT_GRACE;
        let silent = now - self.last_heartbeat > timeout;
        match self.since {
            None if silent && own_agents_seen => {
                warn!("no worker reaches this controller");
                self.since = Some(now);
            }
            Some(since) if !silent || (!own_agents_seen && now - since > PARTITION_TIMEOUT) => {
                self.since = None;
            }
            _ => {}
        }
    }
}

impl Engine {
    pub(super) fn detect_inbound_partition(&mut self) {
        let has_sent_heartbeat = |shard: &Shard| {
            shard
                .machines
                .values()
                .any(|m| m.agent.last_heartbeat.is_some() && m.record.shard.is_some())
        };
        let own_agents_seen = self.shards.iter().flatten().any(has_sent_heartbeat);
        let interval = self.settings.heartbeat_interval;
        self.inbound_partition
            .update(self.now, interval, own_agents_seen);
    }

    /// Whether this controller has everything that it needs to serve requests.
    pub(super) fn ready(&self) -> bool {
        self.store.loaded()
            && self.store.has_lease()
            && self.machine_types.known()
            && self.now - self.store.last_reply() < STORE_TIMEOUT
    }

    /// Whether requests should be routed to this controller (the health check). If the store replies to no controller,
    /// failing the check would not help users, who would wait until it passes again; the controller then stays healthy
    /// and itself answers that it cannot serve them. That no controller can is known only from the announcements of
    /// peers: one that reaches neither the store nor any peer is probably cut off alone, and fails the check.
    pub(super) fn healthy(&self) -> bool {
        self.ready()
            || (self.store.loaded()
                && self.machine_types.known()
                && !self.peers.any_ready(self.now)
                && !self.peers.all_silent(self.now))
    }
}
