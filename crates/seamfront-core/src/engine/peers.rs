//! Between controllers, and what a controller says of its own health.

use super::{warn, Effect, Engine, Micros, Peer, PeerMessage, Shard, ShardPhase, NEEDS_MAX};
use crate::jobs::EndRecord;
use crate::port::{HeldClaim, JobProgress, Progress};

/// How often the others are told that this controller is alive.
const ALIVE_INTERVAL: Micros = Micros::from_millis(500);
/// How often the leader is told of a shard.
const LEADER_UPDATE_INTERVAL: Micros = Micros::from_millis(400);
/// How often the others are told how far jobs are.
const PROGRESS_INTERVAL: Micros = Micros::from_secs(1);

impl Engine {
    /// No worker reaches this node, though some of its own did. Another node may hear them.
    pub(crate) fn inbound_partitioned(&self) -> bool {
        self.inbound_partition_since.is_some()
    }

    /// Without shards a node hears of no worker in any case, so it is believed again after a while.
    pub(super) fn detect_inbound_partition(&mut self) {
        let quiet = self.now - self.last_worker_heartbeat
            > self.settings.heartbeat_interval.times(3) + Micros::from_secs(2);
        let heard_once = |s: &Shard| {
            s.machines
                .values()
                .any(|m| m.agent.last_heartbeat.is_some() && m.record.shard.is_some())
        };
        let own = self.shards.iter().flatten().any(heard_once);
        match self.inbound_partition_since {
            None if quiet && own => {
                warn!("no worker reaches this controller");
                self.inbound_partition_since = Some(self.now);
            }
            Some(t) if !quiet || (!own && self.now - t > Micros::from_secs(30)) => {
                self.inbound_partition_since = None
            }
            _ => {}
        }
    }

    /// A peer that is ready hears workers, or it would not say so.
    pub(crate) fn peer_ready(&self) -> bool {
        (0..self.peers.len())
            .filter(|k| *k != self.settings.me)
            .any(|k| {
                let p = &self.peers[k];
                p.ready_since.is_some() && self.now - p.heard < Micros::from_secs(2)
            })
    }

    pub(super) fn ready(&self) -> bool {
        self.store.loaded()
            && self.store.lease.is_some()
            && !self.types.is_empty()
            && self.now - self.store.last_reply < Micros::from_millis(2_500)
    }

    /// Can this node really take requests? When the store answers nobody, being taken out helps
    /// no user, who would only wait for the way back: then the node stays and says so itself. That
    /// nobody is served it knows only from peers that it hears; one that hears neither store nor
    /// peers is more likely cut off alone, and leaves.
    pub(super) fn healthy(&self) -> bool {
        let me = self.settings.me;
        let hears = |(k, p): (usize, &Peer)| k != me && self.now - p.heard < Micros::from_secs(2);
        let alone = self.peers.len() > 1 && !self.peers.iter().enumerate().any(hears);
        self.ready()
            || (self.store.loaded() && !self.types.is_empty() && !self.peer_ready() && !alone)
    }

    pub(super) fn send_periodic_messages(&mut self) {
        if self.now >= self.alive_next {
            self.alive_next = self.now + ALIVE_INTERVAL;
            self.announce();
        }
        if self.now >= self.leader_update_next {
            self.leader_update_next = self.now + LEADER_UPDATE_INTERVAL;
            for k in 0..self.shards.len() {
                self.notify_leader(k);
            }
        }
        if self.now >= self.progress_next {
            self.progress_next = self.now + PROGRESS_INTERVAL;
            self.broadcast_progress();
        }
    }

    fn broadcast(&mut self, message: &PeerMessage) {
        let me = self.settings.me;
        for to in (0..self.peers.len()).filter(|k| *k != me) {
            self.effects.push(Effect::SendToPeer {
                to,
                message: message.clone(),
            });
        }
    }

    /// That this controller is alive, which claims it holds and how many writes wait here.
    fn announce(&mut self) {
        let held_claim = |slot: usize| {
            let version = self.held_token(slot)?;
            let key = self.claim_key(slot);
            Some(HeldClaim { key, version })
        };
        let claims = (0..=self.leader_slot()).filter_map(held_claim).collect();
        let ready = self.ready() && !self.inbound_partitioned();
        let pending_writes = self.pending_write_count();
        self.pending_writes = pending_writes;
        self.broadcast(&PeerMessage::Alive {
            ready,
            claims,
            pending_writes,
        });
    }

    /// What waits in a shard, and its machines.
    fn notify_leader(&mut self, k: usize) {
        let update = self.with_shard(k, |s, context| {
            (s.phase == ShardPhase::Ready)
                .then(|| (s.version, s.requests.clone(), s.views(context)))
        });
        let Some((version, mut requests, machines)) = update.flatten() else {
            return;
        };
        if requests.len() > NEEDS_MAX {
            // The most important are first, and what is served makes room for the rest.
            warn!(
                shard = k,
                waiting = requests.len(),
                update = NEEDS_MAX,
                "more jobs wait than the leader is told of"
            );
            requests.truncate(NEEDS_MAX);
        }
        let message = PeerMessage::Shard {
            shard: k,
            version,
            requests,
            machines,
        };
        let me = self.settings.me;
        if self.leader.is_some() {
            self.peer_message(me, message.clone());
            if !self.duties.in_force() {
                return;
            }
        }
        for to in self.fleet_holders() {
            if to != me || self.leader.is_none() {
                self.effects.push(Effect::SendToPeer {
                    to,
                    message: message.clone(),
                });
            }
        }
    }

    /// Display counts that have changed since they were last told.
    fn broadcast_progress(&mut self) {
        let mut changed = Vec::new();
        for s in self.shards.iter().flatten() {
            for (id, j) in s.jobs.iter().filter(|j| j.1.live()) {
                let progress = Progress {
                    done: j.done.count(),
                    running: j.running(),
                };
                if self.last_progress.get(id) != Some(&progress) {
                    let id = id.clone();
                    changed.push(JobProgress { id, progress });
                }
            }
        }
        let live = &self.jobs;
        self.last_progress.retain(|id, _| live.contains_key(id));
        for job in &changed {
            self.last_progress.insert(job.id.clone(), job.progress);
        }
        if !changed.is_empty() {
            self.broadcast(&PeerMessage::Progress { jobs: changed });
        }
    }

    pub(crate) fn notify_holder(&mut self, shard: usize, message: PeerMessage) {
        if self.shards[shard].is_some() {
            let me = self.settings.me;
            self.peer_message(me, message);
        } else if let Some(to) = self.store.claims[shard].as_ref().map(|c| c.member) {
            if to != self.settings.me {
                self.effects.push(Effect::SendToPeer { to, message });
            }
        }
    }

    pub(super) fn peer_message(&mut self, from: usize, message: PeerMessage) {
        match message {
            PeerMessage::Alive {
                ready,
                claims,
                pending_writes,
            } => {
                let now = self.now;
                let Some(peer) = self.peers.get_mut(from) else {
                    return;
                };
                let gap = now - peer.heard > Micros::from_secs(2);
                peer.heard = now;
                peer.pending_writes = pending_writes;
                peer.ready_since = match (ready, peer.ready_since) {
                    (false, _) => None,
                    (true, Some(t)) if !gap => Some(t),
                    (true, _) => Some(now),
                };
                for HeldClaim { key, version } in claims {
                    for slot in 0..=self.leader_slot() {
                        // Told of a newer claim: ours is lost, whatever the store lets us know.
                        if self.claim_key(slot) == key
                            && self.held_token(slot).is_some_and(|v| v < version)
                        {
                            self.drop_claim(slot, "a peer holds a newer claim");
                            self.store.claims[slot] = Some(crate::store_session::Claim {
                                version,
                                member: from,
                                lease: 0,
                            });
                        }
                    }
                }
            }
            PeerMessage::Shard {
                shard,
                version,
                requests,
                machines,
            } => {
                // Held back by the network, a former holder's word may come after its shard has passed
                // on: it must not count, least of all its opinion of machines.
                if self
                    .store
                    .claims
                    .get(shard)
                    .is_some_and(|c| c.as_ref().is_some_and(|c| c.version == version))
                {
                    self.shard_updated(shard, requests, machines);
                }
            }
            PeerMessage::Release {
                shard,
                machines,
                above,
            } => {
                let now = self.now;
                self.with_shard(shard, |s, context| s.release(context, &machines, above));
                self.leader_update_next = now;
            }
            PeerMessage::Cancelled { job, tasks } => {
                self.end_confirmed(
                    &job,
                    EndRecord {
                        cancelled: true,
                        tasks,
                    },
                );
            }
            PeerMessage::Progress { jobs } => {
                for reported in jobs {
                    self.jobs.progress_reported(reported);
                }
            }
        }
    }
}
