//! Claims on shards and on leadership: taking, proving, giving back.

use super::*;

impl Engine {
    pub(super) fn claim_changed(&mut self, slot: usize, claim: Option<Claim>, version: u64) {
        if self.store.claims[slot]
            .as_ref()
            .is_some_and(|c| c.version > version)
        {
            return;
        }
        let mine = claim
            .as_ref()
            .is_some_and(|c| c.member == self.cfg.me && Some(c.lease) == self.store.lease);
        if self
            .slot_version(slot)
            .is_some_and(|v| v < version || (v == version && !mine))
        {
            self.drop_slot(slot, "claim is another's");
        }
        if claim.is_none() {
            self.store.free_since[slot] = Some(self.now);
        }
        self.store.claims[slot] = claim;
    }

    pub(crate) fn slot_version(&self, slot: usize) -> Option<u64> {
        if slot == self.leader_slot() {
            self.leader.as_ref().and_then(|l| l.version)
        } else {
            self.shards[slot].as_ref().map(|s| s.version)
        }
    }

    /// Ends acting for a claim at once.
    pub(crate) fn drop_slot(&mut self, slot: usize, why: &str) {
        if let Some(version) = self.slot_version(slot) {
            warn!(slot = %self.slot_key(slot), token = version, why, "claim dropped");
            self.store.spent[slot] = version;
        }
        if slot == self.leader_slot() {
            // Without a version it rests on duties, not on this claim.
            self.leader = self.leader.take().filter(|l| l.version.is_none());
        } else {
            self.shards[slot] = None;
        }
        self.proven[slot] = None;
    }

    pub(super) fn claims_tick(&mut self) {
        let Some(lease) = self.store.lease else {
            return;
        };
        if !self.store.loaded() || self.now < self.store.claim_next {
            return;
        }
        let n = self.cfg.members.len();
        for slot in 0..=n {
            if self.store.claiming[slot] || self.slot_version(slot).is_some() {
                continue;
            }
            // The leader's claim has ended for good.
            if slot == n && self.duties_in_force() {
                continue;
            }
            let expected = match &self.store.claims[slot] {
                Some(c)
                    if c.member == self.cfg.me
                        && c.lease == lease
                        && c.version > self.store.spent[slot] =>
                {
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
                    self.store.free_since[slot] = None;
                    continue;
                }
                None => {
                    // The home member first, then the next in turn.
                    let rank = (self.cfg.me + n - slot % n) % n;
                    let since = *self.store.free_since[slot].get_or_insert(self.now);
                    // One that no worker reaches comes last, but it comes: perhaps there is nobody else.
                    let deaf = if self.deaf() {
                        Micros::from_secs(5)
                    } else {
                        Micros::ZERO
                    };
                    if self.now - since < Micros::from_millis(400).times(rank as i64) + deaf {
                        continue;
                    }
                    0
                }
            };
            self.store.claiming[slot] = true;
            let key = self.slot_key(slot);
            let value = ClaimValue {
                member: self.cfg.members[self.cfg.me].clone(),
                lease,
            };
            let value = serde_json::to_value(value).unwrap_or_default();
            let request = StateCall::Commit {
                when: vec![(key.clone(), expected)],
                apply: vec![Write::Put {
                    key,
                    value,
                    lease: Some(lease),
                }],
            };
            self.state(request, Pending::Claim { slot, lease });
        }
        self.hand_back();
    }

    pub(crate) fn claim_reply(&mut self, slot: usize, lease: u64, reply: StateReply) {
        self.store.claiming[slot] = false;
        match reply {
            StateReply::Committed { revision } if self.store.lease == Some(lease) => {
                let newer = self.store.claims[slot]
                    .as_ref()
                    .is_some_and(|c| c.version > revision);
                if !newer && self.slot_version(slot).is_none() {
                    self.store.claims[slot] = Some(Claim {
                        version: revision,
                        member: self.cfg.me,
                        lease,
                    });
                    self.take_slot(slot, revision);
                }
            }
            StateReply::NoSuchLease => self.lease_reply(StateReply::NoSuchLease),
            _ => {
                // Lost the race, or unknown: the view will tell.
                self.store.free_since[slot] = Some(self.now);
                self.store.claim_next = self.now + RETRY;
            }
        }
    }

    pub(super) fn take_slot(&mut self, slot: usize, version: u64) {
        info!(slot = %self.slot_key(slot), token = version, "claim taken");
        self.proven[slot] = None;
        self.store.prove_next = self.now;
        if slot == self.leader_slot() {
            self.leader = Some(Leader::new(Some(version), self.now, self.cfg.members.len()));
            return;
        }
        let mut shard = Shard::new(slot, version, self.now);
        for (id, (record, v)) in &self.machines {
            if record.shard == Some(slot) {
                let size = self.type_size(&record.kind);
                shard.add_machine(id.clone(), record.clone(), *v, size, self.now);
            }
        }
        self.shards[slot] = Some(shard);
    }

    /// A shard goes back to its home member once that is healthy again, and any shard is given away
    /// by one that no worker reaches while a peer hears them. Tasks notice nothing: the new holder
    /// finds all of it recorded.
    pub(super) fn hand_back(&mut self) {
        let leave = self.deaf() && self.peer_ready();
        for slot in 0..self.cfg.members.len() {
            if self.store.claiming[slot] || (slot == self.cfg.me && !leave) {
                continue;
            }
            let Some(shard) = self.shards[slot]
                .as_ref()
                .filter(|s| s.phase == ShardPhase::Ready)
            else {
                continue;
            };
            let peer = &self.peers[slot];
            let healthy = peer
                .ready_since
                .is_some_and(|t| self.now - t > Micros::from_secs(3));
            let fresh = self.now - peer.heard < Micros::from_secs(2);
            let settled = self.now - shard.claimed_at > Micros::from_secs(4);
            if !settled || !(leave || (healthy && fresh)) {
                continue;
            }
            let version = shard.version;
            info!(shard = slot, to = %self.cfg.members[slot], leave, "handing shard back");
            self.drop_slot(slot, "handed back");
            self.store.claiming[slot] = true;
            let key = self.slot_key(slot);
            let request = StateCall::Commit {
                when: vec![(key.clone(), version)],
                apply: vec![Write::Delete { key }],
            };
            self.state(request, Pending::HandBack { slot, version });
        }
    }

    pub(crate) fn hand_back_reply(&mut self, slot: usize, version: u64, reply: &StateReply) {
        self.store.claiming[slot] = false;
        let still = self.store.claims[slot]
            .as_ref()
            .is_some_and(|c| c.version == version);
        if still && matches!(reply, StateReply::Committed { .. }) {
            // Before the view shows it, or it would be taken for a claim whose answer was lost.
            self.store.claims[slot] = None;
            self.store.free_since[slot] = Some(self.now);
        }
    }

    pub(super) fn prove_tick(&mut self) {
        if self.store.prove_busy || self.now < self.store.prove_next {
            return;
        }
        let claims: Vec<(usize, u64)> = (0..=self.leader_slot())
            .filter_map(|s| self.slot_version(s).map(|v| (s, v)))
            .collect();
        if claims.is_empty() {
            return;
        }
        self.store.prove_busy = true;
        self.store.prove_next = self.now + PROVE_EVERY;
        let when = claims
            .iter()
            .map(|(s, v)| (self.slot_key(*s), *v))
            .collect();
        let sent = self.now;
        self.state(
            StateCall::Commit {
                when,
                apply: vec![],
            },
            Pending::Prove { sent, claims },
        );
    }

    pub(crate) fn prove_reply(
        &mut self,
        sent: Micros,
        claims: Vec<(usize, u64)>,
        reply: StateReply,
    ) {
        match reply {
            StateReply::Committed { revision } => {
                if self.store.watches[0].loaded() && self.store.watches[0].seen() >= revision {
                    return self.proof_done(sent, &claims);
                }
                let after = self.store.watches[0].seen();
                let request = StateCall::Changes {
                    prefix: Topic::Jobs.prefix().to_owned(),
                    after,
                    hold: Micros::ZERO,
                };
                self.state(
                    request,
                    Pending::ProveView {
                        sent,
                        claims,
                        revision,
                    },
                );
            }
            StateReply::Conflict { failed } => {
                self.store.prove_busy = false;
                for (slot, version) in claims {
                    if failed.contains(&self.slot_key(slot))
                        && self.slot_version(slot) == Some(version)
                    {
                        self.drop_slot(slot, "claim proven lost");
                    }
                }
            }
            _ => {
                self.store.prove_busy = false;
                self.store.prove_next = self.now + RETRY;
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
        if self.apply_changes(0, reply)
            && self.store.watches[0].loaded()
            && self.store.watches[0].seen() >= revision
        {
            self.proof_done(sent, &claims);
        } else {
            self.store.prove_busy = false;
            self.store.prove_next = self.now + RETRY;
        }
    }

    pub(super) fn proof_done(&mut self, sent: Micros, claims: &[(usize, u64)]) {
        self.store.prove_busy = false;
        for (slot, version) in claims {
            if self.slot_version(*slot) != Some(*version) {
                continue;
            }
            self.proven[*slot] = self.proven[*slot].max(Some(sent));
            let shard = self.shards.get_mut(*slot).and_then(|s| s.as_mut());
            if let Some(s) = shard.filter(|s| s.phase == ShardPhase::Proving) {
                s.phase = ShardPhase::Loading;
                let load = Load {
                    version: *version,
                    entries: Vec::new(),
                    parts: None,
                    busy: false,
                    retry_at: Micros::ZERO,
                };
                self.store.loads.insert(*slot, load);
            }
        }
    }
}
