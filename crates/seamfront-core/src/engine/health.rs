//! The controller's own health: whether workers reach it and whether it can take requests.

use super::Engine;
use crate::shard::Shard;
use crate::types::Micros;
use tracing::warn;

/// A store that has not replied for this long is taken for unreachable.
const STORE_SILENCE: Micros = Micros::from_millis(2_500);
/// Heartbeat intervals after which, with [`HEARTBEAT_GRACE`], silence of all workers is noticed.
const MISSED_HEARTBEATS: i64 = 3;
/// Time beyond the missed heartbeats.
const HEARTBEAT_GRACE: Micros = Micros::from_secs(2);
/// How long a controller without machines believes itself unreachable.
const PARTITION_MEMORY: Micros = Micros::from_secs(30);

/// Detects that no worker reaches this controller, though some of its own did. They may still reach another one.
#[derive(Debug, Default)]
pub(super) struct InboundPartition {
    /// When any worker's heartbeat last came in, whoever owns its machine.
    last_heartbeat: Micros,
    since: Option<Micros>,
}

impl InboundPartition {
    /// Whether no worker reaches this controller.
    pub(super) fn detected(&self) -> bool {
        self.since.is_some()
    }

    /// A worker's heartbeat has come in.
    pub(super) fn heartbeat_received(&mut self, now: Micros) {
        self.last_heartbeat = now;
    }

    /// Judges anew. `own_workers` says whether any worker of a shard held here has ever sent a heartbeat: without
    /// shards there are none to be heard, so the controller is believed reachable again after a while.
    fn update(&mut self, now: Micros, heartbeat_interval: Micros, own_workers: bool) {
        let limit = heartbeat_interval.times(MISSED_HEARTBEATS) + HEARTBEAT_GRACE;
        let silent = now - self.last_heartbeat > limit;
        match self.since {
            None if silent && own_workers => {
                warn!("no worker reaches this controller");
                self.since = Some(now);
            }
            Some(since) if !silent || (!own_workers && now - since > PARTITION_MEMORY) => {
                self.since = None;
            }
            _ => {}
        }
    }
}

impl Engine {
    pub(super) fn detect_inbound_partition(&mut self) {
        let heard_once = |shard: &Shard| {
            shard
                .machines
                .values()
                .any(|m| m.agent.last_heartbeat.is_some() && m.record.shard.is_some())
        };
        let own_workers = self.shards.iter().flatten().any(heard_once);
        let interval = self.settings.heartbeat_interval;
        self.inbound_partition
            .update(self.now, interval, own_workers);
    }

    /// Whether this controller has all that it needs to take requests.
    pub(super) fn ready(&self) -> bool {
        self.store.loaded()
            && self.store.has_lease()
            && self.machine_types.known()
            && self.now - self.store.last_reply() < STORE_SILENCE
    }

    /// Whether requests are to be sent to this controller. When the store replies to nobody, being taken out helps no
    /// user, who would only wait for the way back: then the controller stays and says so itself. That no controller can
    /// serve it knows only from the announcements of peers; one that reaches neither store nor peers is more likely cut off
    /// alone, and leaves.
    pub(super) fn healthy(&self) -> bool {
        self.ready()
            || (self.store.loaded()
                && self.machine_types.known()
                && !self.peers.any_ready(self.now)
                && !self.peers.all_silent(self.now))
    }
}
