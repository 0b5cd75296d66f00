//! Claims on shards and on leadership: taking, proving, giving back.

use super::{
    info, warn, Claim, ClaimValue, Engine, Leader, Load, Micros, SessionRequest, Shard, ShardPhase,
    StoreReply, StoreRequest, Topic, Write, RETRY, VERIFY_INTERVAL,
};

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
            .is_some_and(|c| c.member == self.settings.me && Some(c.lease) == self.store.lease);
        if self
            .held_token(slot)
            .is_some_and(|v| v < version || (v == version && !mine))
        {
            self.drop_claim(slot, "claim is another's");
        }
        if claim.is_none() {
            self.store.free_since[slot] = Some(self.now);
        }
        self.store.claims[slot] = claim;
    }

    pub(crate) fn held_token(&self, slot: usize) -> Option<u64> {
        if slot == self.leader_slot() {
            self.leader.as_ref().and_then(Leader::claim_version)
        } else {
            self.shards[slot].as_ref().map(|s| s.version)
        }
    }

    /// Ends acting for a claim at once.
    pub(crate) fn drop_claim(&mut self, slot: usize, why: &str) {
        if let Some(version) = self.held_token(slot) {
            warn!(slot = %self.claim_key(slot), fencing_token = version, why, "claim dropped");
            self.store.last_released_token[slot] = version;
        }
        if slot == self.leader_slot() {
            // Without a version it rests on duties, not on this claim.
            self.leader = self.leader.take().filter(|l| l.claim_version().is_none());
        } else {
            self.shards[slot] = None;
        }
        self.last_verified[slot] = None;
    }

    pub(super) fn claims_tick(&mut self) {
        let Some(lease) = self.store.lease else {
            return;
        };
        if !self.store.loaded() || self.now < self.store.claim_next {
            return;
        }
        let n = self.settings.members.len();
        for slot in 0..=n {
            if self.store.claiming[slot] || self.held_token(slot).is_some() {
                continue;
            }
            // The leader's claim has ended for good.
            if slot == n && self.duties.in_force() {
                continue;
            }
            let expected = match &self.store.claims[slot] {
                Some(c)
                    if c.member == self.settings.me
                        && c.lease == lease
                        && c.version > self.store.last_released_token[slot] =>
                {
                    // Ours, though the answer to the claim was lost.
                    let version = c.version;
                    self.claim_acquired(slot, version);
                    continue;
                }
                // A former incarnation's, which can't come back, so there is nothing to wait for; or one that
                // we gave up ourselves, though it could not be removed. Answers, reports and requests for
                // rentals of that time may still come, and would be taken for those of the new one if both
                // had the same version.
                Some(c) if c.member == self.settings.me => c.version,
                Some(_) => {
                    self.store.free_since[slot] = None;
                    continue;
                }
                None => {
                    // The home member first, then the next in turn.
                    let rank = (self.settings.me + n - slot % n) % n;
                    let since = *self.store.free_since[slot].get_or_insert(self.now);
                    // One that no worker reaches comes last, but it comes: perhaps there is nobody else.
                    let inbound_partitioned = if self.inbound_partitioned() {
                        Micros::from_secs(5)
                    } else {
                        Micros::ZERO
                    };
                    if self.now - since
                        < Micros::from_millis(400).times(rank as i64) + inbound_partitioned
                    {
                        continue;
                    }
                    0
                }
            };
            self.store.claiming[slot] = true;
            let key = self.claim_key(slot);
            let value = ClaimValue {
                member: self.settings.members[self.settings.me].clone(),
                lease,
            };
            let value = serde_json::to_value(value).unwrap_or_default();
            let request = StoreRequest::CompareAndSwap {
                conditions: vec![(key.clone(), expected)],
                writes: vec![Write::Put {
                    key,
                    value,
                    lease: Some(lease),
                }],
            };
            self.send_to_store(request, SessionRequest::Claim { slot, lease });
        }
        self.transfer_shards();
    }

    pub(crate) fn claim_reply(&mut self, slot: usize, lease: u64, reply: StoreReply) {
        self.store.claiming[slot] = false;
        match reply {
            StoreReply::Committed { revision } if self.store.lease == Some(lease) => {
                let newer = self.store.claims[slot]
                    .as_ref()
                    .is_some_and(|c| c.version > revision);
                if !newer && self.held_token(slot).is_none() {
                    self.store.claims[slot] = Some(Claim {
                        version: revision,
                        member: self.settings.me,
                        lease,
                    });
                    self.claim_acquired(slot, revision);
                }
            }
            StoreReply::NoSuchLease => self.lease_reply(StoreReply::NoSuchLease),
            _ => {
                // Lost the race, or unknown: the view will tell.
                self.store.free_since[slot] = Some(self.now);
                self.store.claim_next = self.now + RETRY;
            }
        }
    }

    pub(super) fn claim_acquired(&mut self, slot: usize, version: u64) {
        info!(slot = %self.claim_key(slot), fencing_token = version, "claim taken");
        self.last_verified[slot] = None;
        self.store.verify_next = self.now;
        if slot == self.leader_slot() {
            self.leader = Some(Leader::new(
                Some(version),
                self.now,
                self.settings.members.len(),
            ));
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
    pub(super) fn transfer_shards(&mut self) {
        let leave = self.inbound_partitioned() && self.peer_ready();
        for slot in 0..self.settings.members.len() {
            if self.store.claiming[slot] || (slot == self.settings.me && !leave) {
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
            info!(shard = slot, to = %self.settings.members[slot], leave, "handing shard back");
            self.drop_claim(slot, "handed back");
            self.store.claiming[slot] = true;
            let key = self.claim_key(slot);
            let request = StoreRequest::CompareAndSwap {
                conditions: vec![(key.clone(), version)],
                writes: vec![Write::Delete { key }],
            };
            self.send_to_store(request, SessionRequest::TransferShard { slot, version });
        }
    }

    pub(crate) fn transfer_reply(&mut self, slot: usize, version: u64, reply: &StoreReply) {
        self.store.claiming[slot] = false;
        let still = self.store.claims[slot]
            .as_ref()
            .is_some_and(|c| c.version == version);
        if still && matches!(reply, StoreReply::Committed { .. }) {
            // Before the view shows it, or it would be taken for a claim whose answer was lost.
            self.store.claims[slot] = None;
            self.store.free_since[slot] = Some(self.now);
        }
    }

    pub(super) fn verify_tick(&mut self) {
        if self.store.verify_busy || self.now < self.store.verify_next {
            return;
        }
        let claims: Vec<(usize, u64)> = (0..=self.leader_slot())
            .filter_map(|s| self.held_token(s).map(|v| (s, v)))
            .collect();
        if claims.is_empty() {
            return;
        }
        self.store.verify_busy = true;
        self.store.verify_next = self.now + VERIFY_INTERVAL;
        let conditions = claims
            .iter()
            .map(|(s, v)| (self.claim_key(*s), *v))
            .collect();
        let sent = self.now;
        self.send_to_store(
            StoreRequest::CompareAndSwap {
                conditions,
                writes: vec![],
            },
            SessionRequest::Verify { sent, claims },
        );
    }

    pub(crate) fn verify_reply(
        &mut self,
        sent: Micros,
        claims: Vec<(usize, u64)>,
        reply: StoreReply,
    ) {
        match reply {
            StoreReply::Committed { revision } => {
                if self.store.watches[0].loaded() && self.store.watches[0].seen() >= revision {
                    return self.verified(sent, &claims);
                }
                let after = self.store.watches[0].seen();
                let request = StoreRequest::Watch {
                    prefix: Topic::Jobs.prefix().to_owned(),
                    after,
                    wait: Micros::ZERO,
                };
                self.send_to_store(
                    request,
                    SessionRequest::VerifyView {
                        sent,
                        claims,
                        revision,
                    },
                );
            }
            StoreReply::Conflict { failed } => {
                self.store.verify_busy = false;
                for (slot, version) in claims {
                    if failed.contains(&self.claim_key(slot))
                        && self.held_token(slot) == Some(version)
                    {
                        self.drop_claim(slot, "claim proven lost");
                    }
                }
            }
            _ => {
                self.store.verify_busy = false;
                self.store.verify_next = self.now + RETRY;
            }
        }
    }

    pub(crate) fn verify_view_reply(
        &mut self,
        sent: Micros,
        claims: Vec<(usize, u64)>,
        revision: u64,
        reply: StoreReply,
    ) {
        if self.apply_changes(0, reply)
            && self.store.watches[0].loaded()
            && self.store.watches[0].seen() >= revision
        {
            self.verified(sent, &claims);
        } else {
            self.store.verify_busy = false;
            self.store.verify_next = self.now + RETRY;
        }
    }

    pub(super) fn verified(&mut self, sent: Micros, claims: &[(usize, u64)]) {
        self.store.verify_busy = false;
        for (slot, version) in claims {
            if self.held_token(*slot) != Some(*version) {
                continue;
            }
            self.last_verified[*slot] = self.last_verified[*slot].max(Some(sent));
            let shard = self.shards.get_mut(*slot).and_then(|s| s.as_mut());
            if let Some(s) = shard.filter(|s| s.phase == ShardPhase::Verifying) {
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
