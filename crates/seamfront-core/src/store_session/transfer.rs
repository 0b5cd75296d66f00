//! Handing shards back to their home members.

use super::claim::ClaimId;
use super::{SessionContext, SessionRequest, StoreSession, TickInputs};
use crate::port::{StoreReply, StoreRequest, Write};
use crate::types::Micros;
use tracing::info;

/// How long a shard is held before it is handed back.
const MIN_HOLD_TIME: Micros = Micros::from_secs(4);

impl StoreSession {
    /// A shard goes back to its home member once that is healthy again, and any shard is given away by a controller
    /// that no worker reaches while a peer is ready. Tasks are not affected: the new holder finds all of it recorded.
    pub(super) fn transfer_shards(&mut self, context: &mut SessionContext, inputs: &TickInputs) {
        let leave = inputs.inbound_partitioned && inputs.any_peer_ready;
        for shard in 0..self.shard_claims.len() {
            if shard == context.settings.me && !leave {
                continue;
            }
            let state = &self.shard_claims[shard];
            let held = state.held.filter(|held| held.records_read);
            let Some(held) = held.filter(|_| !state.request_in_flight) else {
                continue;
            };
            let settled = context.now - held.acquired_at > MIN_HOLD_TIME;
            if settled && (leave || inputs.home_ready[shard]) {
                self.transfer(context, shard, held.token, leave);
            }
        }
    }

    fn transfer(&mut self, context: &mut SessionContext, shard: usize, version: u64, leave: bool) {
        let to = &context.settings.members[shard];
        info!(shard, %to, leave, "transferring shard to its home member");
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
            // Before the view shows it, or it would be taken for a claim whose reply was lost.
            state.seen = None;
            state.free_since = Some(context.now);
        }
    }
}
