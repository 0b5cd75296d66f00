//! Verification of the claims held here: the store confirms that all of them are still current, and the view of jobs is
//! then brought to the revision of that confirmation. Every cancellation that was confirmed to a user before is thus
//! known here.

use super::claim::ClaimId;
use super::{SessionContext, SessionRequest, StoreSession, ViewId, RETRY_INTERVAL};
use crate::port::{StoreReply, StoreRequest};
use crate::types::Micros;

const VERIFICATION_INTERVAL: Micros = Micros::from_secs(1);

/// State of the periodic verification.
#[derive(Debug, Default)]
pub(super) struct Verification {
    request_in_flight: bool,
    next_request: Micros,
}

impl Verification {
    /// Makes the next verification due immediately.
    pub(super) fn request_now(&mut self, now: Micros) {
        self.next_request = now;
    }

    fn failed(&mut self, now: Micros) {
        self.request_in_flight = false;
        self.next_request = now + RETRY_INTERVAL;
    }
}

/// A claim that is being verified, with the fencing token it was held under when the request was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VerifiedClaim {
    claim: ClaimId,
    token: u64,
}

impl StoreSession {
    pub(super) fn verification_tick(&mut self, context: &mut SessionContext) {
        let now = context.now;
        if self.verification.request_in_flight || now < self.verification.next_request {
            return;
        }
        let claims: Vec<VerifiedClaim> = self
            .held_claims()
            .map(|(claim, token)| VerifiedClaim { claim, token })
            .collect();
        if claims.is_empty() {
            return;
        }
        self.verification.request_in_flight = true;
        self.verification.next_request = now + VERIFICATION_INTERVAL;
        let conditions = claims
            .iter()
            .map(|verified| (verified.claim.to_string(), verified.token))
            .collect();
        let request = StoreRequest::CompareAndSwap {
            conditions,
            writes: vec![],
        };
        let pending = SessionRequest::Verify { sent: now, claims };
        context.outbox.store(request, pending);
    }

    pub(super) fn verify_reply(
        &mut self,
        context: &mut SessionContext,
        sent: Micros,
        claims: Vec<VerifiedClaim>,
        reply: StoreReply,
    ) {
        match reply {
            StoreReply::Committed { revision } => {
                self.record_confirmation(&claims, revision);
                if self.watch(ViewId::Jobs).reaches(revision) {
                    return self.verified(context, sent, &claims);
                }
                let pending = SessionRequest::VerifyView {
                    sent,
                    claims,
                    revision,
                };
                context
                    .outbox
                    .store(self.changes_request(ViewId::Jobs), pending);
            }
            StoreReply::Conflict { failed } => {
                self.verification.request_in_flight = false;
                for VerifiedClaim { claim, token } in claims {
                    let conflicting = failed.contains(&claim.to_string());
                    if conflicting && self.held_token(claim) == Some(token) {
                        self.lose_claim(context, claim, "verification failed");
                    }
                }
            }
            _ => self.verification.failed(context.now),
        }
    }

    /// Records that the store has confirmed these claims at a revision.
    fn record_confirmation(&mut self, claims: &[VerifiedClaim], revision: u64) {
        for VerifiedClaim { claim, token } in claims {
            let held = self.state_mut(*claim).held.as_mut();
            if let Some(held) = held.filter(|held| held.token == *token) {
                held.confirmed_revision = held.confirmed_revision.max(revision);
            }
        }
    }

    pub(super) fn verify_view_reply(
        &mut self,
        context: &mut SessionContext,
        sent: Micros,
        claims: &[VerifiedClaim],
        revision: u64,
        reply: StoreReply,
    ) {
        let usable = self.apply_changes(context, ViewId::Jobs, reply);
        if usable && self.watch(ViewId::Jobs).reaches(revision) {
            self.verified(context, sent, claims);
        } else {
            self.verification.failed(context.now);
        }
    }

    fn verified(&mut self, context: &mut SessionContext, sent: Micros, claims: &[VerifiedClaim]) {
        self.verification.request_in_flight = false;
        for VerifiedClaim { claim, token } in claims {
            let state = self.state_mut(*claim);
            let Some(held) = state.held.as_mut().filter(|held| held.token == *token) else {
                continue;
            };
            let first = held.last_verified.is_none();
            held.last_verified = held.last_verified.max(Some(sent));
            if let (ClaimId::Shard(shard), true) = (claim, first) {
                self.start_record_read(context, *shard, *token);
            }
        }
    }
}
