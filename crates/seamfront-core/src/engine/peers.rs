//! Between controllers, and what a controller says of its own health.

use super::*;

/// How often the others are told that this controller is alive.
const ALIVE_EVERY: Micros = Micros::from_millis(500);
/// How often the leader is told of a shard.
const TELL_EVERY: Micros = Micros::from_millis(400);
/// How often the others are told how far jobs are.
const PROGRESS_EVERY: Micros = Micros::from_secs(1);

impl Engine {
    /// No worker reaches this node, though some of its own did. Another node may hear them.
    pub(crate) fn deaf(&self) -> bool {
        self.deaf_since.is_some()
    }

    /// Without shards a node hears of no worker in any case, so it is believed again after a while.
    pub(super) fn listen(&mut self) {
        let quiet = self.now - self.last_hello > self.cfg.report.times(3) + Micros::from_secs(2);
        let heard_once = |s: &Shard| {
            s.machines
                .values()
                .any(|m| m.last_report.is_some() && m.record.shard.is_some())
        };
        let own = self.shards.iter().flatten().any(heard_once);
        match self.deaf_since {
            None if quiet && own => {
                warn!("no worker reaches this controller");
                self.deaf_since = Some(self.now);
            }
            Some(t) if !quiet || (!own && self.now - t > Micros::from_secs(30)) => {
                self.deaf_since = None
            }
            _ => {}
        }
    }

    /// A peer that is ready hears workers, or it would not say so.
    pub(crate) fn peer_ready(&self) -> bool {
        (0..self.peers.len())
            .filter(|k| *k != self.cfg.me)
            .any(|k| {
                let p = &self.peers[k];
                p.ready_since.is_some() && self.now - p.heard < Micros::from_secs(2)
            })
    }

    pub(super) fn ready(&self) -> bool {
        self.store.loaded()
            && self.store.lease.is_some()
            && !self.types.is_empty()
            && self.now - self.store.last_ok < Micros::from_millis(2_500)
    }

    /// Can this node really take requests? When the store answers nobody, being taken out helps
    /// no user, who would only wait for the way back: then the node stays and says so itself. That
    /// nobody is served it knows only from peers that it hears; one that hears neither store nor
    /// peers is more likely cut off alone, and leaves.
    pub(super) fn healthy(&self) -> bool {
        let me = self.cfg.me;
        let hears = |(k, p): (usize, &Peer)| k != me && self.now - p.heard < Micros::from_secs(2);
        let alone = self.peers.len() > 1 && !self.peers.iter().enumerate().any(hears);
        self.ready()
            || (self.store.loaded() && !self.types.is_empty() && !self.peer_ready() && !alone)
    }

    pub(super) fn talk(&mut self) {
        if self.now >= self.alive_next {
            self.alive_next = self.now + ALIVE_EVERY;
            self.announce();
        }
        if self.now >= self.tell_next {
            self.tell_next = self.now + TELL_EVERY;
            for k in 0..self.shards.len() {
                self.tell_leader(k);
            }
        }
        if self.now >= self.progress_next {
            self.progress_next = self.now + PROGRESS_EVERY;
            self.tell_progress();
        }
    }

    fn tell_peers(&mut self, message: &MeshMessage) {
        let me = self.cfg.me;
        for to in (0..self.peers.len()).filter(|k| *k != me) {
            self.effects.push(Effect::Mesh {
                to,
                message: message.clone(),
            });
        }
    }

    /// That this controller is alive, which claims it holds and how many writes wait here.
    fn announce(&mut self) {
        let claims: Vec<(String, u64)> = (0..=self.leader_slot())
            .filter_map(|s| self.slot_version(s).map(|v| (self.slot_key(s), v)))
            .collect();
        let ready = self.ready() && !self.deaf();
        let awaited = self.writes_awaited();
        self.awaited = awaited;
        self.tell_peers(&MeshMessage::Alive {
            ready,
            claims,
            awaited,
        });
    }

    /// What waits in a shard, and its machines.
    fn tell_leader(&mut self, k: usize) {
        let told = self.with_shard(k, |s, context| {
            (s.phase == ShardPhase::Ready).then(|| (s.version, s.needs.clone(), s.views(context)))
        });
        let Some((version, mut needs, machines)) = told.flatten() else {
            return;
        };
        if needs.len() > NEEDS_MAX {
            // The most important are first, and what is served makes room for the rest.
            warn!(
                shard = k,
                waiting = needs.len(),
                told = NEEDS_MAX,
                "more jobs wait than the leader is told of"
            );
            needs.truncate(NEEDS_MAX);
        }
        let message = MeshMessage::Shard {
            shard: k,
            version,
            needs,
            machines,
        };
        let me = self.cfg.me;
        if self.leader.is_some() {
            self.mesh(me, message.clone());
            if !self.duties_in_force() {
                return;
            }
        }
        for to in self.fleet_holders() {
            if to != me || self.leader.is_none() {
                self.effects.push(Effect::Mesh {
                    to,
                    message: message.clone(),
                });
            }
        }
    }

    /// Display counts that have changed since they were last told.
    fn tell_progress(&mut self) {
        let mut changed = Vec::new();
        for s in self.shards.iter().flatten() {
            for (id, j) in s.jobs.iter().filter(|j| j.1.live()) {
                let counts = (j.done.count(), j.running());
                if self.told.get(id) != Some(&counts) {
                    changed.push((id.clone(), counts.0, counts.1));
                }
            }
        }
        let live = &self.jobs;
        self.told.retain(|id, _| live.contains_key(id));
        for c in &changed {
            self.told.insert(c.0.clone(), (c.1, c.2));
        }
        if !changed.is_empty() {
            self.tell_peers(&MeshMessage::Progress { jobs: changed });
        }
    }

    pub(crate) fn tell_holder(&mut self, shard: usize, message: MeshMessage) {
        if self.shards[shard].is_some() {
            let me = self.cfg.me;
            self.mesh(me, message);
        } else if let Some(to) = self.store.claims[shard].as_ref().map(|c| c.member) {
            if to != self.cfg.me {
                self.effects.push(Effect::Mesh { to, message });
            }
        }
    }

    pub(super) fn mesh(&mut self, from: usize, message: MeshMessage) {
        match message {
            MeshMessage::Alive {
                ready,
                claims,
                awaited,
            } => {
                let now = self.now;
                let Some(peer) = self.peers.get_mut(from) else {
                    return;
                };
                let gap = now - peer.heard > Micros::from_secs(2);
                peer.heard = now;
                peer.awaited = awaited;
                peer.ready_since = match (ready, peer.ready_since) {
                    (false, _) => None,
                    (true, Some(t)) if !gap => Some(t),
                    (true, _) => Some(now),
                };
                for (key, version) in claims {
                    for slot in 0..=self.leader_slot() {
                        // Told of a newer claim: ours is lost, whatever the store lets us know.
                        if self.slot_key(slot) == key
                            && self.slot_version(slot).is_some_and(|v| v < version)
                        {
                            self.drop_slot(slot, "a peer holds a newer claim");
                            self.store.claims[slot] = Some(crate::store_session::Claim {
                                version,
                                member: from,
                                lease: 0,
                            });
                        }
                    }
                }
            }
            MeshMessage::Shard {
                shard,
                version,
                needs,
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
                    self.shard_told(shard, needs, machines);
                }
            }
            MeshMessage::Release {
                shard,
                machines,
                above,
            } => {
                let now = self.now;
                self.with_shard(shard, |s, context| s.release(context, &machines, above));
                self.tell_next = now;
            }
            MeshMessage::Cancelled { job, tasks } => {
                self.end_learned(
                    &job,
                    EndRecord {
                        cancelled: true,
                        tasks,
                    },
                );
            }
            MeshMessage::Progress { jobs } => {
                for (id, done, running) in jobs {
                    if self.jobs.contains_key(&id) {
                        self.users.progress.insert(id, (done, running));
                    }
                }
            }
        }
    }
}
