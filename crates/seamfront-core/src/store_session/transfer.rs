//! Transfer of shards to their home members, and away from a controller that no agent can reach.

use super::claim::ClaimId;
use super::{SessionContext, SessionRequest, StoreSession, TickInputs};
use crate::port::{StoreReply, StoreRequest, Write};
use crate::types::Micros;
use tracing::info;

/// Minimum time for which a shard is held before it is transferred.
const MIN_HOLD_TIME: Micros = Micros::from_secs(4);

impl StoreSession {
    /// Transfers shards to their home members once those are ready again. A controller that no agent can reach gives up
    /// all its shards while a peer is ready. Tasks are not affected, since the successor finds them in the shard's
    /// records.
    pub(super) fn transfer_shards(&mut self, context: &mut SessionContext, inputs: &TickInputs) {
        let evacuate = inputs.inbound_partitioned && inputs.any_peer_ready;
        for shard in 0..self.shard_claims.len() {
            if shard == context.settings.member_index && !evacuate {
                continue;
            }
            let state = &self.shard_claims[shard];
            let held = state.held.filter(|held| held.records_read);
            let Some(held) = held.filter(|_| !state.request_in_flight) else {
                continue;
            };
            let held_long_enough = context.now - held.acquired_at > MIN_HOLD_TIME;
            if held_long_enough && (evacuate || inputs.home_ready[shard]) {
                self.transfer(context, shard, held.token, evacuate);
            }
        }
    }

    fn transfer(
        &mut self,
        context: &mut SessionContext,
        shard: usize,
        version: u64,
        evacuate: bool,
    ) {
        let to = &context.settings.members[shard];
        info!(shard, %to, leave = evacuate, "transferring shard to its home member");
        let claim = ClaimId::Shard(shard);
        self.lose_claim(context, claim, "transferred to its home member");
        self.state_mut(claim).request_in_flight = true;
        let key = claim.to_string();
        let request = StoreRequest::CompareAndSwap {
            conditions: vec![(key.clone(), version)],
            writes: vec![Write::Delete { key }],
        };
        let pending = SessionRequest::TransferShard { shard, version };
        context.outbox.store(request, pending);
    }

    pub(super) fn transfer_reply(
        &mut self,
        context: &SessionContext,
        shard: usize,
        version: u64,
        reply: &StoreReply,
    ) {
        let state = self.state_mut(ClaimId::Shard(shard));
        state.request_in_flight = false;
        if state.seen_at(version) && matches!(reply, StoreReply::Committed { .. }) {
            // Recorded before the view shows the deletion: until then the claim would look like one that was acquired
            // and whose reply was lost.
            state.seen = None;
            state.free_since = Some(context.now);
        }
    }
}
