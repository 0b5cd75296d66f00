//! Claims on shares and on leadership: taking, proving, giving back.

use super::*;

impl Engine {
    pub(super) fn claim_changed(&mut self, slot: usize, claim: Option<Claim>, version: u64) {
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

    pub(super) fn claims_tick(&mut self) {
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

    pub(super) fn take_slot(&mut self, slot: usize, version: u64) {
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
    pub(super) fn hand_back(&mut self) {
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

    pub(super) fn prove_tick(&mut self) {
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

    pub(super) fn proof_done(&mut self, sent: Micros, claims: &[(usize, u64)]) {
        self.link.prove_busy = false;
        for (slot, version) in claims {
            if self.slot_version(*slot) != Some(*version) {
                continue;
            }
            self.proven[*slot] = self.proven[*slot].max(Some(sent));
            let share = self.shares.get_mut(*slot).and_then(|s| s.as_mut());
            if let Some(s) = share.filter(|s| s.phase == SharePhase::Proving) {
                s.phase = SharePhase::Loading;
                let load =
                    Load { version: *version, entries: Vec::new(), parts: None, busy: false, retry_at: Micros::ZERO };
                self.link.loads.insert(*slot, load);
            }
        }
    }
}
