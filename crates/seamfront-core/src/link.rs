//! The node's standing with the state service: its lease, its views of what others wrote, the
//! claims on shares and on leadership, and the proof that these still hold.

use crate::engine::{Engine, Pending};
use crate::fleet::MachineRecord;
use crate::leader::Leader;
use crate::port::*;
use crate::share::{work_prefix, Share, SharePhase};
use crate::types::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::rc::Rc;
use tracing::{debug, info, warn};

/// Value of a claim's key. The lease tells one incarnation of a member from the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimValue {
    pub member: String,
    pub lease: u64,
}

#[derive(Clone, Debug)]
pub struct Claim {
    pub version: u64,
    pub member: usize,
    pub lease: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    Jobs,
    Machines,
    Shares,
    Leader,
}

pub const TOPICS: [Topic; 4] = [Topic::Jobs, Topic::Machines, Topic::Shares, Topic::Leader];
const MACHINES: usize = 1;

impl Topic {
    fn prefix(self) -> &'static str {
        match self {
            Topic::Jobs => "job/",
            Topic::Machines => "machine/",
            Topic::Shares => "share/",
            Topic::Leader => "leader",
        }
    }
}

/// A view of all keys with one prefix, kept up by long-lived requests. Everything up to `seen` is in.
#[derive(Debug, Default)]
pub struct Watch {
    pub loaded: bool,
    pub seen: u64,
    listing: Option<(u64, BTreeMap<String, Entry>)>,
    busy: bool,
    retry_at: Micros,
}

#[derive(Debug)]
pub struct Link {
    pub lease: Option<u64>,
    lease_busy: bool,
    lease_next: Micros,
    pub watches: [Watch; 4],
    /// By slot: the shares, then leadership.
    pub claims: Vec<Option<Claim>>,
    free_since: Vec<Option<Micros>>,
    claiming: Vec<bool>,
    /// By slot: the version of the last claim that was given up here. It is never acted on again.
    spent: Vec<u64>,
    claim_next: Micros,
    prove_busy: bool,
    prove_next: Micros,
    /// Shares whose former holder's records are being read, by slot.
    loads: BTreeMap<usize, Load>,
    pub last_ok: Micros,
}

/// What is read before a share can go on where its former holder stopped. All that that one recorded
/// is older than our claim, machines before the tasks on them. So the view of machines must reach the
/// claim: a placement on a machine that is not in it would be taken for lost and placed again, while it
/// runs on a machine that was rented a moment ago.
#[derive(Debug)]
struct Load {
    version: u64,
    entries: Vec<Entry>,
    busy: bool,
    retry_at: Micros,
}

impl Link {
    pub fn new(shares: usize) -> Link {
        Link {
            lease: None,
            lease_busy: false,
            lease_next: Micros::ZERO,
            watches: Default::default(),
            claims: vec![None; shares + 1],
            free_since: vec![None; shares + 1],
            claiming: vec![false; shares + 1],
            spent: vec![0; shares + 1],
            claim_next: Micros::ZERO,
            prove_busy: false,
            prove_next: Micros::ZERO,
            loads: BTreeMap::new(),
            last_ok: Micros::ZERO,
        }
    }

    pub fn loaded(&self) -> bool {
        self.watches.iter().all(|w| w.loaded)
    }
}

const PROVE_EVERY: Micros = Micros::from_millis(1_000);
const RETRY: Micros = Micros::from_millis(250);
const HOLD: Micros = Micros::from_secs(20);
const PAGE_LIMIT_HINT: usize = 1_000;

impl Engine {
    pub(crate) fn slot_key(&self, slot: usize) -> String {
        if slot == self.leader_slot() {
            "leader".to_owned()
        } else {
            format!("share/{slot}")
        }
    }

    pub(crate) fn leader_slot(&self) -> usize {
        self.cfg.members.len()
    }

    pub(crate) fn link_tick(&mut self) {
        self.lease_tick();
        for k in 0..TOPICS.len() {
            self.watch_tick(k);
        }
        self.claims_tick();
        self.prove_tick();
        self.loads_tick();
    }

    // ---- lease ---------------------------------------------------------------------------

    fn lease_tick(&mut self) {
        if self.link.lease_busy || self.now < self.link.lease_next {
            return;
        }
        self.link.lease_busy = true;
        let ttl = self.cfg.tuning.claim_ttl;
        match self.link.lease {
            None => self.state(StateCall::Grant { ttl }, Pending::Grant),
            Some(lease) => self.state(StateCall::Renew { lease }, Pending::Renew),
        }
    }

    pub(crate) fn lease_reply(&mut self, reply: StateReply) {
        self.link.lease_busy = false;
        let every = self.cfg.tuning.claim_ttl.over(4);
        self.link.lease_next = self.now + every;
        match reply {
            StateReply::Lease { id } => {
                info!(lease = id, "lease granted");
                self.link.lease = Some(id);
            }
            StateReply::Renewed => {}
            StateReply::NoSuchLease => {
                warn!("lease ended; all claims are lost");
                self.link.lease = None;
                self.link.lease_next = self.now;
                for slot in 0..=self.leader_slot() {
                    self.drop_slot(slot, "lease ended");
                }
            }
            _ => self.link.lease_next = self.now + RETRY,
        }
    }

    // ---- views ---------------------------------------------------------------------------

    fn watch_tick(&mut self, k: usize) {
        let w = &mut self.link.watches[k];
        if w.busy || self.now < w.retry_at {
            return;
        }
        w.busy = true;
        let prefix = TOPICS[k].prefix().to_owned();
        if w.loaded && w.listing.is_none() {
            let after = w.seen;
            self.state(StateCall::Changes { prefix, after, hold: HOLD }, Pending::Watch(k));
        } else {
            let after = w.listing.as_ref().and_then(|l| l.1.keys().next_back().cloned());
            self.state(StateCall::List { prefix, after }, Pending::List(k));
        }
    }

    pub(crate) fn list_reply(&mut self, k: usize, reply: StateReply) {
        let w = &mut self.link.watches[k];
        w.busy = false;
        let StateReply::Page { entries, more, revision } = reply else {
            w.retry_at = self.now + RETRY;
            return;
        };
        debug_assert!(entries.len() <= PAGE_LIMIT_HINT);
        let listing = w.listing.get_or_insert_with(|| (revision, BTreeMap::new()));
        for e in entries {
            listing.1.insert(e.key.clone(), e);
        }
        if more {
            return;
        }
        let Some((revision, entries)) = w.listing.take() else { return };
        (w.loaded, w.seen) = (true, w.seen.max(revision));
        for key in self.viewed_keys(TOPICS[k]) {
            if !entries.contains_key(&key) {
                self.changed(TOPICS[k], &key, None, revision);
            }
        }
        for (key, e) in entries {
            self.changed(TOPICS[k], &key, Some(e.value), e.version);
        }
    }

    pub(crate) fn watch_reply(&mut self, k: usize, reply: StateReply) {
        self.link.watches[k].busy = false;
        // Not reopened at once: every change would cost each controller a request.
        let pause = if self.apply_changes(k, reply) { self.cfg.ask_every() } else { RETRY };
        self.link.watches[k].retry_at = self.now + pause;
    }

    /// True if the view is now as new as the answer.
    pub(crate) fn apply_changes(&mut self, k: usize, reply: StateReply) -> bool {
        match reply {
            StateReply::Changes { revision, events } => {
                let seen = self.link.watches[k].seen;
                for (key, value, version) in events {
                    // Two answers may hold the same change; the older must not undo the newer.
                    if version > seen {
                        self.changed(TOPICS[k], &key, value, version);
                    }
                }
                let w = &mut self.link.watches[k];
                w.seen = w.seen.max(revision);
                true
            }
            StateReply::TooOld => {
                warn!(prefix = TOPICS[k].prefix(), "view too old; reading anew");
                self.link.watches[k].loaded = false;
                true
            }
            _ => false,
        }
    }

    fn viewed_keys(&self, topic: Topic) -> Vec<String> {
        match topic {
            Topic::Jobs => self.jobs.keys().map(|j| format!("job/{j}")).collect(),
            Topic::Machines => self.machines.keys().map(crate::fleet::machine_key).collect(),
            Topic::Shares => (0..self.leader_slot()).map(|s| self.slot_key(s)).collect(),
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
            Topic::Shares | Topic::Leader => {
                let slot = if topic == Topic::Leader { Some(self.leader_slot()) } else { name.parse().ok() };
                let Some(slot) = slot.filter(|s| *s <= self.leader_slot()) else { return };
                let claim = value.and_then(|v| serde_json::from_value::<ClaimValue>(v).ok()).and_then(|c| {
                    let member = self.cfg.members.iter().position(|m| *m == c.member)?;
                    Some(Claim { version, member, lease: c.lease })
                });
                self.claim_changed(slot, claim, version);
            }
        }
    }

    // ---- claims --------------------------------------------------------------------------

    fn claim_changed(&mut self, slot: usize, claim: Option<Claim>, version: u64) {
        if self.link.claims[slot].as_ref().is_some_and(|c| c.version > version) {
            return;
        }
        let mine = claim.as_ref().is_some_and(|c| c.member == self.cfg.me && Some(c.lease) == self.link.lease);
        if self.slot_version(slot).is_some_and(|v| v < version || (v == version && !mine)) {
            self.drop_slot(slot, "claim is another's");
        }
        if claim.is_none() {
            self.link.free_since[slot] = Some(self.now);
        }
        self.link.claims[slot] = claim;
    }

    pub(crate) fn slot_version(&self, slot: usize) -> Option<u64> {
        if slot == self.leader_slot() {
            self.leader.as_ref().map(|l| l.version)
        } else {
            self.shares[slot].as_ref().map(|s| s.version)
        }
    }

    /// Ends acting for a claim at once.
    pub(crate) fn drop_slot(&mut self, slot: usize, why: &str) {
        if let Some(version) = self.slot_version(slot) {
            warn!(slot = %self.slot_key(slot), token = version, why, "claim dropped");
            self.link.spent[slot] = version;
        }
        if slot == self.leader_slot() {
            self.leader = None;
        } else {
            self.shares[slot] = None;
        }
        self.proven[slot] = None;
    }

    fn claims_tick(&mut self) {
        let Some(lease) = self.link.lease else { return };
        if !self.link.loaded() || self.now < self.link.claim_next {
            return;
        }
        let n = self.cfg.members.len();
        for slot in 0..=n {
            if self.link.claiming[slot] || self.slot_version(slot).is_some() {
                continue;
            }
            let expected = match &self.link.claims[slot] {
                Some(c) if c.member == self.cfg.me && c.lease == lease && c.version > self.link.spent[slot] => {
                    // Ours, though the answer to the claim was lost.
                    let version = c.version;
                    self.take_slot(slot, version);
                    continue;
                }
                // A former incarnation's, which can't come back, so there is nothing to wait for; or one that
                // we gave up ourselves, though it could not be removed. Answers, reports and requests for
                // rentals of that time may still come, and would be taken for those of the new one if both
                // had the same version.
                Some(c) if c.member == self.cfg.me => c.version,
                Some(_) => {
                    self.link.free_since[slot] = None;
                    continue;
                }
                None => {
                    // The home member first, then the next in turn.
                    let rank = (self.cfg.me + n - slot % n) % n;
                    let since = *self.link.free_since[slot].get_or_insert(self.now);
                    // One that no worker reaches comes last, but it comes: perhaps there is nobody else.
                    let deaf = if self.deaf() { Micros::from_secs(5) } else { Micros::ZERO };
                    if self.now - since < Micros::from_millis(400).times(rank as i64) + deaf {
                        continue;
                    }
                    0
                }
            };
            self.link.claiming[slot] = true;
            let key = self.slot_key(slot);
            let value = ClaimValue { member: self.cfg.members[self.cfg.me].clone(), lease };
            let value = serde_json::to_value(value).unwrap_or_default();
            let request = StateCall::Commit {
                when: vec![(key.clone(), expected)],
                apply: vec![Write::Put { key, value, lease: Some(lease) }],
            };
            self.state(request, Pending::Claim { slot, lease });
        }
        self.hand_back();
    }

    pub(crate) fn claim_reply(&mut self, slot: usize, lease: u64, reply: StateReply) {
        self.link.claiming[slot] = false;
        match reply {
            StateReply::Committed { revision } if self.link.lease == Some(lease) => {
                let newer = self.link.claims[slot].as_ref().is_some_and(|c| c.version > revision);
                if !newer && self.slot_version(slot).is_none() {
                    self.link.claims[slot] = Some(Claim { version: revision, member: self.cfg.me, lease });
                    self.take_slot(slot, revision);
                }
            }
            StateReply::NoSuchLease => self.lease_reply(StateReply::NoSuchLease),
            _ => {
                // Lost the race, or unknown: the view will tell.
                self.link.free_since[slot] = Some(self.now);
                self.link.claim_next = self.now + RETRY;
            }
        }
    }

    fn take_slot(&mut self, slot: usize, version: u64) {
        info!(slot = %self.slot_key(slot), token = version, "claim taken");
        self.proven[slot] = None;
        self.link.prove_next = self.now;
        if slot == self.leader_slot() {
            self.leader = Some(Leader::new(version, self.now, self.cfg.members.len()));
            return;
        }
        let mut share = Share::new(slot, version, self.now);
        for (id, (record, v)) in &self.machines {
            if record.share == Some(slot) {
                let size = self.type_size(&record.kind);
                share.add_machine(id.clone(), record.clone(), *v, size, self.now);
            }
        }
        self.shares[slot] = Some(share);
    }

    /// A share goes back to its home member once that is healthy again, and any share is given away
    /// by one that no worker reaches while a peer hears them. Tasks notice nothing: the new holder
    /// finds all of it recorded.
    fn hand_back(&mut self) {
        let leave = self.deaf() && self.peer_ready();
        for slot in 0..self.cfg.members.len() {
            if self.link.claiming[slot] || (slot == self.cfg.me && !leave) {
                continue;
            }
            let Some(share) = self.shares[slot].as_ref().filter(|s| s.phase == SharePhase::Ready) else { continue };
            let peer = &self.peers[slot];
            let healthy = peer.ready_since.is_some_and(|t| self.now - t > Micros::from_secs(3));
            let fresh = self.now - peer.heard < Micros::from_secs(2);
            let settled = self.now - share.claimed_at > Micros::from_secs(4);
            if !settled || !(leave || (healthy && fresh)) {
                continue;
            }
            let version = share.version;
            info!(share = slot, to = %self.cfg.members[slot], leave, "handing share back");
            self.drop_slot(slot, "handed back");
            self.link.claiming[slot] = true;
            let key = self.slot_key(slot);
            let request = StateCall::Commit { when: vec![(key.clone(), version)], apply: vec![Write::Delete { key }] };
            self.state(request, Pending::HandBack { slot, version });
        }
    }

    pub(crate) fn hand_back_reply(&mut self, slot: usize, version: u64, reply: &StateReply) {
        self.link.claiming[slot] = false;
        let still = self.link.claims[slot].as_ref().is_some_and(|c| c.version == version);
        if still && matches!(reply, StateReply::Committed { .. }) {
            // Before the view shows it, or it would be taken for a claim whose answer was lost.
            self.link.claims[slot] = None;
            self.link.free_since[slot] = Some(self.now);
        }
    }

    // ---- proof ---------------------------------------------------------------------------

    fn prove_tick(&mut self) {
        if self.link.prove_busy || self.now < self.link.prove_next {
            return;
        }
        let claims: Vec<(usize, u64)> =
            (0..=self.leader_slot()).filter_map(|s| self.slot_version(s).map(|v| (s, v))).collect();
        if claims.is_empty() {
            return;
        }
        self.link.prove_busy = true;
        self.link.prove_next = self.now + PROVE_EVERY;
        let when = claims.iter().map(|(s, v)| (self.slot_key(*s), *v)).collect();
        let sent = self.now;
        self.state(StateCall::Commit { when, apply: vec![] }, Pending::Prove { sent, claims });
    }

    pub(crate) fn prove_reply(&mut self, sent: Micros, claims: Vec<(usize, u64)>, reply: StateReply) {
        match reply {
            StateReply::Committed { revision } => {
                if self.link.watches[0].loaded && self.link.watches[0].seen >= revision {
                    return self.proof_done(sent, &claims);
                }
                let after = self.link.watches[0].seen;
                let request = StateCall::Changes { prefix: Topic::Jobs.prefix().to_owned(), after, hold: Micros::ZERO };
                self.state(request, Pending::ProveView { sent, claims, revision });
            }
            StateReply::Conflict { failed } => {
                self.link.prove_busy = false;
                for (slot, version) in claims {
                    if failed.contains(&self.slot_key(slot)) && self.slot_version(slot) == Some(version) {
                        self.drop_slot(slot, "claim proven lost");
                    }
                }
            }
            _ => {
                self.link.prove_busy = false;
                self.link.prove_next = self.now + RETRY;
            }
        }
    }

    pub(crate) fn prove_view_reply(
        &mut self,
        sent: Micros,
        claims: Vec<(usize, u64)>,
        revision: u64,
        reply: StateReply,
    ) {
        if self.apply_changes(0, reply) && self.link.watches[0].loaded && self.link.watches[0].seen >= revision {
            self.proof_done(sent, &claims);
        } else {
            self.link.prove_busy = false;
            self.link.prove_next = self.now + RETRY;
        }
    }

    fn proof_done(&mut self, sent: Micros, claims: &[(usize, u64)]) {
        self.link.prove_busy = false;
        for (slot, version) in claims {
            if self.slot_version(*slot) != Some(*version) {
                continue;
            }
            self.proven[*slot] = self.proven[*slot].max(Some(sent));
            let share = self.shares.get_mut(*slot).and_then(|s| s.as_mut());
            if let Some(s) = share.filter(|s| s.phase == SharePhase::Proving) {
                s.phase = SharePhase::Loading;
                let load = Load { version: *version, entries: Vec::new(), busy: false, retry_at: Micros::ZERO };
                self.link.loads.insert(*slot, load);
            }
        }
    }

    // ---- the former holder's records -------------------------------------------------------

    fn loads_tick(&mut self) {
        let due: Vec<usize> =
            self.link.loads.iter().filter(|(_, l)| !l.busy && l.retry_at <= self.now).map(|l| *l.0).collect();
        for slot in due {
            let Some(load) = self.link.loads.get_mut(&slot) else { continue };
            let version = load.version;
            let after = load.entries.last().map(|e| e.key.clone());
            load.busy = true;
            if self.slot_version(slot) != Some(version) {
                self.link.loads.remove(&slot);
                continue;
            }
            let fleet = &self.link.watches[MACHINES];
            if fleet.loaded && fleet.seen >= version {
                let request = StateCall::List { prefix: work_prefix(slot), after };
                self.state(request, Pending::Records { share: slot, version });
            } else {
                let (prefix, after) = (Topic::Machines.prefix().to_owned(), fleet.seen);
                let request = StateCall::Changes { prefix, after, hold: Micros::ZERO };
                self.state(request, Pending::Fleet { share: slot, version });
            }
        }
    }

    /// The load that an answer is for, if that still counts.
    fn load(&mut self, slot: usize, version: u64) -> Option<&mut Load> {
        self.link.loads.get_mut(&slot).filter(|l| l.version == version)
    }

    pub(crate) fn fleet_reply(&mut self, slot: usize, version: u64, reply: StateReply) {
        let new = self.link.watches[MACHINES].loaded && self.apply_changes(MACHINES, reply);
        let again = self.now + RETRY;
        let Some(load) = self.load(slot, version) else { return };
        load.busy = false;
        if !new {
            load.retry_at = again;
        }
    }

    pub(crate) fn records_reply(&mut self, slot: usize, version: u64, reply: StateReply) {
        let again = self.now + RETRY;
        let Some(load) = self.load(slot, version) else { return };
        load.busy = false;
        match reply {
            StateReply::Page { entries, more, .. } => {
                load.entries.extend(entries);
                if more {
                    return;
                }
            }
            _ => {
                // Not at once: a store that refuses would be asked in a tight loop.
                load.retry_at = again;
                return;
            }
        }
        let entries = self.link.loads.remove(&slot).map(|l| l.entries).unwrap_or_default();
        if self.slot_version(slot) == Some(version) {
            self.take_over(slot, entries);
        }
    }

    fn take_over(&mut self, slot: usize, entries: Vec<Entry>) {
        let prefix = work_prefix(slot);
        let now = self.now;
        let Some(share) = self.shares[slot].as_mut() else { return };
        for e in entries {
            let id = JobId::from(e.key.strip_prefix(&prefix).unwrap_or(&e.key));
            let live = self.jobs.get(&id).map(|j| (j.spec.clone(), j.version));
            match serde_json::from_value(e.value) {
                Ok(record) => share.adopt_record(id, live, record, e.version, now),
                Err(err) => warn!(job = %id, %err, "unreadable work record"),
            }
        }
        for (id, j) in self.jobs.iter().filter(|j| j.1.share == slot) {
            share.add_job(j.spec.clone(), j.version, now);
            share.chained(id, j.spec_now(), j.chain.waits(), now);
        }
        // A machine that is being returned is there until its record is removed, and so is what the
        // former holder placed on it. One that is another share's by now was let go empty.
        for id in share.placed_elsewhere() {
            if let Some((record, v)) = self.machines.get(&id).filter(|m| m.0.share.is_none()) {
                let size = self.types.iter().find(|t| t.name == record.kind).map(|t| t.size).unwrap_or_default();
                share.add_machine(id, record.clone(), *v, size, now);
            }
        }
        self.with_share(slot, |s, ctx| s.loaded(ctx));
        debug!(share = slot, "records read");
    }
}
