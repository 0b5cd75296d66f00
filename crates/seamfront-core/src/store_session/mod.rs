//! The node's standing with the state service: its lease, its views of what others wrote, the
//! claims on shards and on leadership, and the proof that these still hold.

use crate::engine::Engine;
use crate::leader::Leader;
use crate::machine::MachineRecord;
use crate::port::{Entry, StoreReply, StoreRequest, Write};
use crate::shard::{work_prefix, Shard, ShardPhase};
use crate::types::{JobId, JobSpec, MachineId, Micros};
use seamfront_lease::view::{View, ViewUpdate};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tracing::{debug, info, warn};

mod claims;
mod failover;

/// Value of a claim's key. The lease tells one incarnation of a member from the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimValue {
    /// Name of the member that holds it.
    pub member: String,
    /// The lease that the key is attached to.
    pub lease: u64,
}

/// A claim as the view shows it.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Version of its key.
    pub version: u64,
    /// Index of the member that holds it.
    pub member: usize,
    /// The lease that the key is attached to.
    pub lease: u64,
}

/// What a view is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// Live jobs.
    Jobs,
    /// Machines.
    Machines,
    /// Claims on shards.
    Shards,
    /// The claim to leadership.
    Leader,
}

/// All views, in the order of their watches.
pub const TOPICS: [Topic; 4] = [Topic::Jobs, Topic::Machines, Topic::Shards, Topic::Leader];
const MACHINES: usize = 1;

impl Topic {
    fn prefix(self) -> &'static str {
        match self {
            Topic::Jobs => "job/",
            Topic::Machines => "machine/",
            Topic::Shards => "share/",
            Topic::Leader => "leader",
        }
    }
}

/// A view of all keys with one prefix, and the request that keeps it up.
#[derive(Debug, Default)]
pub struct Watch {
    view: View,
    busy: bool,
    retry_at: Micros,
}

impl Watch {
    /// Whether all keys have been read once.
    pub fn loaded(&self) -> bool {
        self.view.loaded()
    }

    /// The revision up to which all is in.
    pub fn seen(&self) -> u64 {
        self.view.seen()
    }
}

/// A controller's standing with the state service.
#[derive(Debug)]
pub struct StoreSession {
    /// Its lease, while it has one.
    pub lease: Option<u64>,
    lease_busy: bool,
    lease_next: Micros,
    /// Its views, in the order of [`TOPICS`].
    pub watches: [Watch; 4],
    /// By slot: the shards, then leadership.
    pub claims: Vec<Option<Claim>>,
    free_since: Vec<Option<Micros>>,
    claiming: Vec<bool>,
    /// By slot: the version of the last claim that was given up here. It is never acted on again.
    last_released_token: Vec<u64>,
    claim_next: Micros,
    verify_busy: bool,
    verify_next: Micros,
    /// Shares whose former holder's records are being read, by slot.
    loads: BTreeMap<usize, Load>,
    /// When the state service last answered a request.
    pub last_reply: Micros,
}

/// What is read before a shard can go on where its former holder stopped. All that that one recorded
/// is older than our claim, machines before the tasks on them. So the view of machines must reach the
/// claim: a placement on a machine that is not in it would be taken for lost and placed again, while it
/// runs on a machine that was rented a moment ago.
#[derive(Debug)]
struct Load {
    version: u64,
    /// Work records, then their parts, from when the former are read.
    entries: Vec<Entry>,
    parts: Option<Vec<Entry>>,
    busy: bool,
    retry_at: Micros,
}

impl StoreSession {
    /// No lease, no view, no claim.
    pub fn new(shards: usize) -> StoreSession {
        StoreSession {
            lease: None,
            lease_busy: false,
            lease_next: Micros::ZERO,
            watches: Default::default(),
            claims: vec![None; shards + 1],
            free_since: vec![None; shards + 1],
            claiming: vec![false; shards + 1],
            last_released_token: vec![0; shards + 1],
            claim_next: Micros::ZERO,
            verify_busy: false,
            verify_next: Micros::ZERO,
            loads: BTreeMap::new(),
            last_reply: Micros::ZERO,
        }
    }

    /// Whether all views are loaded.
    pub fn loaded(&self) -> bool {
        self.watches.iter().all(Watch::loaded)
    }
}

const VERIFY_INTERVAL: Micros = Micros::from_millis(1_000);
const RETRY: Micros = Micros::from_millis(250);
const HOLD: Micros = Micros::from_secs(20);

/// An outstanding request of the store session.
pub(crate) enum SessionRequest {
    Grant,
    Renew,
    Watch(usize),
    Claim {
        slot: usize,
        lease: u64,
    },
    TransferShard {
        slot: usize,
        version: u64,
    },
    Verify {
        sent: Micros,
        claims: Vec<(usize, u64)>,
    },
    VerifyView {
        sent: Micros,
        claims: Vec<(usize, u64)>,
        revision: u64,
    },
    Fleet {
        shard: usize,
        version: u64,
    },
    Records {
        shard: usize,
        version: u64,
    },
}

impl Engine {
    /// Routes a reply of the store to what asked for it.
    pub(crate) fn session_reply(&mut self, request: SessionRequest, reply: StoreReply) {
        match request {
            SessionRequest::Grant | SessionRequest::Renew => self.lease_reply(reply),
            SessionRequest::Watch(k) => self.watch_reply(k, reply),
            SessionRequest::Claim { slot, lease } => self.claim_reply(slot, lease, reply),
            SessionRequest::TransferShard { slot, version } => {
                self.transfer_reply(slot, version, &reply)
            }
            SessionRequest::Verify { sent, claims } => self.verify_reply(sent, claims, reply),
            SessionRequest::VerifyView {
                sent,
                claims,
                revision,
            } => self.verify_view_reply(sent, claims, revision, reply),
            SessionRequest::Fleet { shard, version } => self.fleet_reply(shard, version, reply),
            SessionRequest::Records { shard, version } => self.records_reply(shard, version, reply),
        }
    }

    pub(crate) fn claim_key(&self, slot: usize) -> String {
        if slot == self.leader_slot() {
            "leader".to_owned()
        } else {
            format!("share/{slot}")
        }
    }

    pub(crate) fn leader_slot(&self) -> usize {
        self.settings.members.len()
    }

    pub(crate) fn store_session_tick(&mut self) {
        self.lease_tick();
        for k in 0..TOPICS.len() {
            self.watch_tick(k);
        }
        self.claims_tick();
        self.verify_tick();
        self.loads_tick();
    }

    // ---- lease ---------------------------------------------------------------------------

    fn lease_tick(&mut self) {
        if self.store.lease_busy || self.now < self.store.lease_next {
            return;
        }
        self.store.lease_busy = true;
        let ttl = self.settings.tuning.claim_ttl;
        match self.store.lease {
            None => self.send_to_store(StoreRequest::GrantLease { ttl }, SessionRequest::Grant),
            Some(lease) => {
                self.send_to_store(StoreRequest::RenewLease { lease }, SessionRequest::Renew)
            }
        }
    }

    pub(crate) fn lease_reply(&mut self, reply: StoreReply) {
        self.store.lease_busy = false;
        let every = self.settings.tuning.claim_ttl.over(4);
        self.store.lease_next = self.now + every;
        match reply {
            StoreReply::Lease { id } => {
                info!(lease = id, "lease granted");
                self.store.lease = Some(id);
            }
            StoreReply::Renewed => {}
            StoreReply::NoSuchLease => {
                warn!("lease ended; all claims are lost");
                self.store.lease = None;
                self.store.lease_next = self.now;
                for slot in 0..=self.leader_slot() {
                    self.drop_claim(slot, "lease ended");
                }
            }
            _ => self.store.lease_next = self.now + RETRY,
        }
    }

    // ---- views ---------------------------------------------------------------------------

    fn watch_tick(&mut self, k: usize) {
        let w = &mut self.store.watches[k];
        if w.busy || self.now < w.retry_at {
            return;
        }
        w.busy = true;
        let request = w.view.request(TOPICS[k].prefix(), HOLD);
        self.send_to_store(request, SessionRequest::Watch(k));
    }

    pub(crate) fn watch_reply(&mut self, k: usize, reply: StoreReply) {
        let now = self.now;
        let pause = self.settings.ask_every();
        let w = &mut self.store.watches[k];
        w.busy = false;
        let update = w.view.take(reply);
        w.retry_at = match &update {
            ViewUpdate::Failed => now + RETRY,
            // Not reopened at once: every change would cost each controller a request.
            ViewUpdate::Changed { .. } | ViewUpdate::TooOld => now + pause,
            ViewUpdate::Partial | ViewUpdate::Read { .. } => now,
        };
        self.view_updated(k, update);
    }

    /// True if the view is now as new as the answer.
    pub(crate) fn apply_changes(&mut self, k: usize, reply: StoreReply) -> bool {
        let update = self.store.watches[k].view.take(reply);
        let new = matches!(update, ViewUpdate::Changed { .. } | ViewUpdate::TooOld);
        self.view_updated(k, update);
        new
    }

    fn view_updated(&mut self, k: usize, update: ViewUpdate) {
        match update {
            ViewUpdate::Changed { changes, revision } => {
                for change in changes {
                    self.changed(TOPICS[k], &change.key, change.value, change.version);
                }
                self.store.watches[k].view.reached(revision);
            }
            ViewUpdate::Read { entries, revision } => {
                let present: BTreeSet<&String> = entries.iter().map(|e| &e.key).collect();
                let viewed = self.viewed_keys(TOPICS[k]);
                for key in viewed
                    .into_iter()
                    .filter(|key| !present.contains(key))
                    .collect::<Vec<_>>()
                {
                    self.changed(TOPICS[k], &key, None, revision);
                }
                for e in entries {
                    self.changed(TOPICS[k], &e.key, e.value, e.version);
                }
            }
            ViewUpdate::TooOld => warn!(prefix = TOPICS[k].prefix(), "view too old; reading anew"),
            ViewUpdate::Failed | ViewUpdate::Partial => {}
        }
    }

    fn viewed_keys(&self, topic: Topic) -> Vec<String> {
        match topic {
            Topic::Jobs => self.jobs.keys().map(|j| format!("job/{j}")).collect(),
            Topic::Machines => self
                .machines
                .keys()
                .map(crate::machine::machine_key)
                .collect(),
            Topic::Shards => (0..self.leader_slot()).map(|s| self.claim_key(s)).collect(),
            Topic::Leader => vec!["leader".to_owned()],
        }
    }

    fn changed(&mut self, topic: Topic, key: &str, value: Option<serde_json::Value>, version: u64) {
        let name = key.strip_prefix(topic.prefix()).unwrap_or(key);
        match topic {
            Topic::Jobs => {
                let id = JobId::from(name);
                match value.map(serde_json::from_value::<JobSpec>) {
                    Some(Ok(spec)) => self.job_appeared(Rc::new(spec), version),
                    Some(Err(e)) => warn!(job = name, %e, "unreadable job record"),
                    None => self.job_vanished(&id),
                }
            }
            Topic::Machines => {
                let id = MachineId::from(name);
                match value.map(serde_json::from_value::<MachineRecord>) {
                    Some(Ok(record)) => self.machine_changed(id, record, version),
                    Some(Err(e)) => warn!(machine = name, %e, "unreadable machine record"),
                    None => self.machine_vanished(&id),
                }
            }
            Topic::Shards | Topic::Leader => {
                let slot = if topic == Topic::Leader {
                    Some(self.leader_slot())
                } else {
                    name.parse().ok()
                };
                let Some(slot) = slot.filter(|s| *s <= self.leader_slot()) else {
                    return;
                };
                let claim = value
                    .and_then(|v| serde_json::from_value::<ClaimValue>(v).ok())
                    .and_then(|c| {
                        let member = self.settings.members.iter().position(|m| *m == c.member)?;
                        Some(Claim {
                            version,
                            member,
                            lease: c.lease,
                        })
                    });
                self.claim_changed(slot, claim, version);
            }
        }
    }
}
