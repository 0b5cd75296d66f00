//! Acquiring and losing claims.

use super::claim::{Claim, ClaimId, ClaimValue, HeldClaim};
use super::{
    SessionContext, SessionEvent, SessionRequest, StoreSession, TickInputs, RETRY_INTERVAL,
};
use crate::port::{ClaimAnnouncement, StoreReply, StoreRequest, Write};
use crate::types::Micros;
use tracing::{info, warn};

/// How long each further member waits before it claims what is free. The home member is the first.
const DELAY_PER_RANK: Micros = Micros::from_millis(400);
/// How much longer a controller waits that no worker reaches: it comes last, but it comes, as perhaps there is no
/// other.
const INBOUND_PARTITION_DELAY: Micros = Micros::from_secs(5);

/// What is to be done about a claim that is not held here.
enum NextStep {
    /// It is another's, or free but not our turn yet.
    Wait,
    /// It is ours already, though the reply to the request was lost.
    Adopt { version: u64 },
    /// It is to be written, if its key still has this version.
    Acquire { expected_version: u64 },
}

impl StoreSession {
    /// The view shows a claim, or that it is free.
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
        let ours = seen
            .as_ref()
            .is_some_and(|seen| seen.member == context.settings.me && Some(seen.lease) == lease);
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

    /// Ends acting under a claim at once. True if it was held.
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

    /// A peer says that it holds these claims, by key and version. Where they are newer, ours are lost, whatever the
    /// store lets us know.
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
        let me = context.settings.me;
        let state = self.state_mut(claim);
        if state.request_in_flight || state.held.is_some() {
            return NextStep::Wait;
        }
        // Once duties are in force, the claim to leadership has ended for good.
        if claim == ClaimId::Leader && inputs.duties_in_force {
            return NextStep::Wait;
        }
        match &state.seen {
            Some(seen)
                if seen.member == me
                    && seen.lease == lease
                    && seen.version > state.last_released_token =>
            {
                NextStep::Adopt {
                    version: seen.version,
                }
            }
            // Of a former incarnation, which can't come back, so there is nothing to wait for; or one that was released
            // here, though it could not be deleted. Replies, heartbeats and requests for machines of that time may
            // still come, and would be taken for those of the new one if both had the same version.
            Some(seen) if seen.member == me => NextStep::Acquire {
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
            member: context.settings.members[context.settings.me].clone(),
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
                        member: context.settings.me,
                        lease,
                    });
                    self.claim_acquired(context, claim, revision);
                }
            }
            StoreReply::NoSuchLease => self.lease_reply(context, StoreReply::NoSuchLease),
            _ => {
                // Lost the race, or unknown: the view will show which.
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
            records_read: false,
        });
        self.verification.request_now(context.now);
        context.events.push(SessionEvent::ClaimAcquired {
            claim,
            token: version,
        });
    }
}

/// How long a claim must have been free before this member takes it: the home member first, then the next in turn.
fn claim_delay(context: &SessionContext, inputs: &TickInputs, claim: ClaimId) -> Micros {
    let members = context.settings.members.len();
    let home = match claim {
        ClaimId::Shard(shard) => shard,
        ClaimId::Leader => 0,
    };
    let rank = (context.settings.me + members - home) % members;
    let partition_delay = if inputs.inbound_partitioned {
        INBOUND_PARTITION_DELAY
    } else {
        Micros::ZERO
    };
    DELAY_PER_RANK.times(rank as i64) + partition_delay
}
