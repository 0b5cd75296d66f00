//! Acquisition and loss of claims.

use super::claim::{Claim, ClaimId, ClaimValue, HeldClaim};
use super::{
    SessionContext, SessionEvent, SessionRequest, StoreSession, TickInputs, RETRY_INTERVAL,
};
use crate::port::{ClaimAnnouncement, StoreReply, StoreRequest, Write};
use crate::types::Micros;
use tracing::{info, warn};

/// Additional delay per rank before a member acquires a free claim. The claim's home member has rank 0.
const DELAY_PER_RANK: Micros = Micros::from_millis(400);
/// Additional delay of a controller that no agent can reach. It lets the other members go first, but still acquires the
/// claim in the end, since there may be no other member left.
const INBOUND_PARTITION_DELAY: Micros = Micros::from_secs(5);

/// Next step for a claim that is not held here.
enum NextStep {
    /// Another member holds it, a request is in flight, or the delay before acquisition has not passed yet.
    Wait,
    /// This controller has acquired it, but the reply to the request was lost.
    Adopt { version: u64 },
    /// Write the claim if its key still has this version.
    Acquire { expected_version: u64 },
}

impl StoreSession {
    /// Handles a change of a claim in the view; `seen` is None if the claim is free.
    pub(super) fn claim_changed(
        &mut self,
        context: &mut SessionContext,
        claim: ClaimId,
        seen: Option<Claim>,
        version: u64,
    ) {
        let lease = self.lease.id;
        let state = self.state_mut(claim);
        if state.seen_newer_than(version) {
            return;
        }
        let ours = seen.as_ref().is_some_and(|seen| {
            seen.member == context.settings.member_index && Some(seen.lease) == lease
        });
        if state
            .token()
            .is_some_and(|token| token < version || (token == version && !ours))
        {
            self.lose_claim(context, claim, "another member holds the claim");
        }
        let state = self.state_mut(claim);
        if seen.is_none() {
            state.free_since = Some(context.now);
        }
        state.seen = seen;
    }

    /// Stops acting under a claim immediately. True if it was held.
    pub(crate) fn release(&mut self, claim: ClaimId, why: &str) -> bool {
        let state = self.state_mut(claim);
        let Some(held) = state.held.take() else {
            return false;
        };
        state.last_released_token = held.token;
        warn!(%claim, fencing_token = held.token, why, "claim released");
        true
    }

    pub(super) fn lose_claim(&mut self, context: &mut SessionContext, claim: ClaimId, why: &str) {
        if self.release(claim, why) {
            context.events.push(SessionEvent::ClaimLost(claim));
        }
    }

    /// Handles the claims that a peer announces to hold. If one is newer than this controller's own, the own claim is
    /// lost, even if the view does not show that yet.
    pub(crate) fn peer_claims(
        &mut self,
        context: &mut SessionContext,
        peer: usize,
        claims: Vec<ClaimAnnouncement>,
    ) {
        for ClaimAnnouncement { key, version } in claims {
            let claim = self.claim_ids().find(|claim| claim.to_string() == key);
            let Some(claim) = claim else { continue };
            if self.held_token(claim).is_none_or(|token| token >= version) {
                continue;
            }
            self.lose_claim(context, claim, "a peer holds a newer claim");
            self.state_mut(claim).seen = Some(Claim {
                version,
                member: peer,
                lease: 0,
            });
        }
    }

    pub(super) fn claims_tick(&mut self, context: &mut SessionContext, inputs: &TickInputs) {
        let Some(lease) = self.lease.id else {
            return;
        };
        if !self.loaded() || context.now < self.next_claim {
            return;
        }
        for claim in self.claim_ids() {
            match self.next_step(context, inputs, claim, lease) {
                NextStep::Wait => {}
                NextStep::Adopt { version } => self.claim_acquired(context, claim, version),
                NextStep::Acquire { expected_version } => {
                    self.acquire(context, claim, lease, expected_version);
                }
            }
        }
        self.transfer_shards(context, inputs);
    }

    fn next_step(
        &mut self,
        context: &SessionContext,
        inputs: &TickInputs,
        claim: ClaimId,
        lease: u64,
    ) -> NextStep {
        let member_index = context.settings.member_index;
        let state = self.state_mut(claim);
        if state.request_in_flight || state.held.is_some() {
            return NextStep::Wait;
        }
        // Once duties are in force, the claim to leadership is never acquired again.
        if claim == ClaimId::Leader && inputs.duties_have_own_claims {
            return NextStep::Wait;
        }
        match &state.seen {
            Some(seen)
                if seen.member == member_index
                    && seen.lease == lease
                    && seen.version > state.last_released_token =>
            {
                NextStep::Adopt {
                    version: seen.version,
                }
            }
            // The claim was acquired by an earlier process of this member, which cannot return, so it is replaced
            // without delay; or this process released it and failed to delete it. It is written anew, not reused:
            // delayed replies, heartbeats and machine requests from before would be attributed to the new claim if it
            // had the same version.
            Some(seen) if seen.member == member_index => NextStep::Acquire {
                expected_version: seen.version,
            },
            Some(_) => {
                state.free_since = None;
                NextStep::Wait
            }
            None => {
                let since = *state.free_since.get_or_insert(context.now);
                if context.now - since < claim_delay(context, inputs, claim) {
                    return NextStep::Wait;
                }
                NextStep::Acquire {
                    expected_version: 0,
                }
            }
        }
    }

    fn acquire(
        &mut self,
        context: &mut SessionContext,
        claim: ClaimId,
        lease: u64,
        expected_version: u64,
    ) {
        self.state_mut(claim).request_in_flight = true;
        let key = claim.to_string();
        let value = ClaimValue {
            member: context.settings.members[context.settings.member_index].clone(),
            lease,
        };
        let value = serde_json::to_value(value).unwrap_or_default();
        let request = StoreRequest::CompareAndSwap {
            conditions: vec![(key.clone(), expected_version)],
            writes: vec![Write::Put {
                key,
                value,
                lease: Some(lease),
            }],
        };
        let pending = SessionRequest::AcquireClaim { claim, lease };
        context.outbox.store(request, pending);
    }

    pub(super) fn acquire_reply(
        &mut self,
        context: &mut SessionContext,
        claim: ClaimId,
        lease: u64,
        reply: StoreReply,
    ) {
        let lease_current = self.lease.id == Some(lease);
        let state = self.state_mut(claim);
        state.request_in_flight = false;
        match reply {
            StoreReply::Committed { revision } if lease_current => {
                if !state.seen_newer_than(revision) && state.held.is_none() {
                    state.seen = Some(Claim {
                        version: revision,
                        member: context.settings.member_index,
                        lease,
                    });
                    self.claim_acquired(context, claim, revision);
                }
            }
            StoreReply::NoSuchLease => self.lease_reply(context, StoreReply::NoSuchLease),
            _ => {
                // Another member was faster, or the outcome is unknown; the view will show which.
                state.free_since = Some(context.now);
                self.next_claim = context.now + RETRY_INTERVAL;
            }
        }
    }

    fn claim_acquired(&mut self, context: &mut SessionContext, claim: ClaimId, version: u64) {
        info!(%claim, fencing_token = version, "claim acquired");
        self.state_mut(claim).held = Some(HeldClaim {
            token: version,
            acquired_at: context.now,
            last_verified: None,
            confirmed_revision: version,
            records_read: false,
        });
        self.verification.request_now(context.now);
        context.events.push(SessionEvent::ClaimAcquired {
            claim,
            token: version,
        });
    }
}

/// How long a claim must have been free before this member acquires it. The home member is the one with the index of
/// the shard, or the first member for leadership; the others follow in order of their indices.
fn claim_delay(context: &SessionContext, inputs: &TickInputs, claim: ClaimId) -> Micros {
    let members = context.settings.members.len();
    let home = match claim {
        ClaimId::Shard(shard) => shard,
        ClaimId::Leader => 0,
    };
    let rank = (context.settings.member_index + members - home) % members;
    let partition_delay = if inputs.inbound_partitioned {
        INBOUND_PARTITION_DELAY
    } else {
        Micros::ZERO
    };
    DELAY_PER_RANK.times(rank as i64) + partition_delay
}
