//! Messages between controllers: sends the periodic ones and dispatches those received.

use super::peers::Announcement;
use super::Engine;
use crate::jobs::{EndRecord, JobRegistry};
use crate::port::{ClaimAnnouncement, Effect, JobProgress, PeerMessage, Progress};
use crate::shard::{Shard, ShardPhase};
use crate::store_session::ClaimId;
use crate::timer::due;
use crate::types::{JobId, Micros};
use std::collections::BTreeMap;
use tracing::warn;

/// Interval of the announcements to all other controllers.
const ANNOUNCEMENT_INTERVAL: Micros = Micros::from_millis(500);
/// Interval at which the state of a shard is sent to the leader.
const LEADER_UPDATE_INTERVAL: Micros = Micros::from_millis(400);
/// Interval at which the progress of jobs is sent to all other controllers.
const PROGRESS_INTERVAL: Micros = Micros::from_secs(1);
/// Maximum number of resource requests in one update to the leader, since the size of messages between controllers is
/// bounded.
const MAX_RESOURCE_REQUESTS: usize = 1_000;

/// The times at which periodic messages are due, and the progress that the other controllers have been sent.
#[derive(Debug, Default)]
pub(super) struct PeriodicMessages {
    next_announcement: Micros,
    next_leader_update: Micros,
    next_progress: Micros,
    sent_progress: BTreeMap<JobId, Progress>,
}

impl PeriodicMessages {
    fn announcement_due(&mut self, now: Micros) -> bool {
        due(&mut self.next_announcement, now, ANNOUNCEMENT_INTERVAL)
    }

    fn leader_update_due(&mut self, now: Micros) -> bool {
        due(&mut self.next_leader_update, now, LEADER_UPDATE_INTERVAL)
    }

    fn progress_due(&mut self, now: Micros) -> bool {
        due(&mut self.next_progress, now, PROGRESS_INTERVAL)
    }

    /// Makes the next update to the leader due immediately.
    fn update_leader_now(&mut self, now: Micros) {
        self.next_leader_update = now;
    }

    /// The jobs of these shards whose progress has changed since it was last sent.
    fn changed_progress<'a>(
        &mut self,
        shards: impl Iterator<Item = &'a Shard>,
        registry: &JobRegistry,
    ) -> Vec<JobProgress> {
        let mut changed = Vec::new();
        for shard in shards {
            for (id, job) in shard.jobs.iter().filter(|(_, job)| job.live()) {
                let progress = Progress {
                    done: job.done.count(),
                    running: job.running(),
                };
                if self.sent_progress.get(id) != Some(&progress) {
                    let id = id.clone();
                    changed.push(JobProgress { id, progress });
                }
            }
        }
        self.sent_progress.retain(|id, _| registry.contains_key(id));
        for job in &changed {
            self.sent_progress.insert(job.id.clone(), job.progress);
        }
        changed
    }
}

impl Engine {
    pub(super) fn send_periodic_messages(&mut self) {
        if self.periodic_messages.announcement_due(self.now) {
            self.announce();
        }
        if self.periodic_messages.leader_update_due(self.now) {
            for shard in 0..self.shards.len() {
                self.update_leader(shard);
            }
        }
        if self.periodic_messages.progress_due(self.now) {
            self.broadcast_progress();
        }
    }

    fn broadcast(&mut self, message: &PeerMessage) {
        for to in self.peers.others() {
            self.effects.push(Effect::SendToPeer {
                to,
                message: message.clone(),
            });
        }
    }

    /// Announces to the others that this controller is alive, which claims it holds and how many writes are pending.
    fn announce(&mut self) {
        let claims = self
            .store
            .held_claims()
            .map(|(claim, token)| ClaimAnnouncement {
                key: claim.to_string(),
                version: token,
            })
            .collect();
        let ready = self.ready() && !self.inbound_partition.detected();
        let pending_writes = self.pending_write_count();
        self.peers.writes_announced(pending_writes);
        self.broadcast(&PeerMessage::Alive {
            ready,
            claims,
            pending_writes,
        });
    }

    /// Sends the state of a shard to the leader, or to all members that hold one of its duties.
    fn update_leader(&mut self, shard: usize) {
        let Some(message) = self.shard_update(shard) else {
            return;
        };
        let member_index = self.settings.member_index;
        if self.leader.is_some() {
            self.peer_message(member_index, message.clone());
            if !self.duties.claims_active() {
                return;
            }
        }
        for to in self.fleet_holders() {
            if to != member_index || self.leader.is_none() {
                self.effects.push(Effect::SendToPeer {
                    to,
                    message: message.clone(),
                });
            }
        }
    }

    /// The update to the leader about a shard: its resource requests and its machines.
    fn shard_update(&mut self, shard: usize) -> Option<PeerMessage> {
        let update = self.with_shard(shard, |s, context| {
            (s.phase == ShardPhase::Ready)
                .then(|| (s.version, s.requests.clone(), s.views(context)))
        });
        let (version, mut requests, machines) = update.flatten()?;
        if requests.len() > MAX_RESOURCE_REQUESTS {
            // Requests are in descending order of importance, and the rest follow once these have been served.
            warn!(
                shard,
                waiting = requests.len(),
                update = MAX_RESOURCE_REQUESTS,
                "more jobs wait than fit the update of the leader"
            );
            requests.truncate(MAX_RESOURCE_REQUESTS);
        }
        Some(PeerMessage::Shard {
            shard,
            version,
            requests,
            machines,
        })
    }

    fn broadcast_progress(&mut self) {
        let shards = self.shards.iter().flatten();
        let jobs = self.periodic_messages.changed_progress(shards, &self.jobs);
        if !jobs.is_empty() {
            self.broadcast(&PeerMessage::Progress { jobs });
        }
    }

    /// Sends a message to the holder of a shard, or handles it here if that is this controller.
    pub(super) fn notify_holder(&mut self, shard: usize, message: PeerMessage) {
        let member_index = self.settings.member_index;
        if self.shards[shard].is_some() {
            self.peer_message(member_index, message);
        } else if let Some(to) = self.other_holder(shard) {
            self.effects.push(Effect::SendToPeer { to, message });
        }
    }

    /// The holder of a shard as last seen, unless it is this controller.
    pub(super) fn other_holder(&self, shard: usize) -> Option<usize> {
        let claim = self.store.claim(ClaimId::Shard(shard))?;
        Some(claim.member).filter(|member| *member != self.settings.member_index)
    }

    /// Handles a message from another controller, or from this one to itself.
    pub(super) fn peer_message(&mut self, from: usize, message: PeerMessage) {
        match message {
            PeerMessage::Alive {
                ready,
                claims,
                pending_writes,
            } => {
                let announcement = Announcement {
                    ready,
                    pending_writes,
                };
                if self.peers.announced(from, self.now, announcement) {
                    self.with_session(|s, context| s.peer_claims(context, from, claims));
                }
            }
            PeerMessage::Shard {
                shard,
                version,
                requests,
                machines,
            } => {
                if self.claimed_at_version(shard, version) {
                    self.shard_updated(shard, requests, machines);
                }
            }
            PeerMessage::Release {
                shard,
                machines,
                above,
            } => {
                self.with_shard(shard, |s, context| s.release(context, &machines, above));
                self.periodic_messages.update_leader_now(self.now);
            }
            PeerMessage::Cancelled { job, tasks } => {
                let end = EndRecord {
                    cancelled: true,
                    tasks,
                };
                self.end_confirmed(&job, end);
            }
            PeerMessage::Progress { jobs } => {
                for job in jobs {
                    self.jobs.store_progress(job);
                }
            }
        }
    }

    /// Whether the claim on a shard is seen at this version. A predecessor's update that was delayed by the network may
    /// arrive after the shard has a new holder; it must be ignored, above all what it says about machines.
    fn claimed_at_version(&self, shard: usize, version: u64) -> bool {
        let claim = self.store.claim(ClaimId::Shard(shard));
        claim.is_some_and(|claim| claim.version == version)
    }
}
