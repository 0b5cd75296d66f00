//! The controller's lease in the key-value store: its grant, renewal and expiry.

use super::{SessionContext, SessionRequest, StoreSession, RETRY_INTERVAL};
use crate::port::{StoreReply, StoreRequest};
use crate::types::Micros;
use tracing::{info, warn};

/// Number of renewals within the time to live of the lease.
const RENEWALS_PER_TTL: i64 = 4;

/// The lease and the state of the request that grants or renews it.
#[derive(Debug, Default)]
pub(super) struct Lease {
    /// Lease id; None before the lease is granted and after it has expired.
    pub(super) id: Option<u64>,
    request_in_flight: bool,
    next_request: Micros,
}

impl StoreSession {
    pub(super) fn lease_tick(&mut self, context: &mut SessionContext) {
        if self.lease.request_in_flight || context.now < self.lease.next_request {
            return;
        }
        self.lease.request_in_flight = true;
        let ttl = context.settings.tuning.claim_ttl;
        let (request, pending) = match self.lease.id {
            None => (StoreRequest::GrantLease { ttl }, SessionRequest::GrantLease),
            Some(lease) => (
                StoreRequest::RenewLease { lease },
                SessionRequest::RenewLease,
            ),
        };
        context.outbox.store(request, pending);
    }

    pub(super) fn lease_reply(&mut self, context: &mut SessionContext, reply: StoreReply) {
        self.lease.request_in_flight = false;
        let renewal_interval = context
            .settings
            .tuning
            .claim_ttl
            .divided_by(RENEWALS_PER_TTL);
        self.lease.next_request = context.now + renewal_interval;
        match reply {
            StoreReply::Lease { id } => {
                info!(lease = id, "lease granted");
                self.lease.id = Some(id);
            }
            StoreReply::Renewed => {}
            StoreReply::NoSuchLease => self.lease_expired(context),
            _ => self.lease.next_request = context.now + RETRY_INTERVAL,
        }
    }

    fn lease_expired(&mut self, context: &mut SessionContext) {
        warn!("lease expired; all claims are lost");
        self.lease.id = None;
        self.lease.next_request = context.now;
        for claim in self.claim_ids() {
            self.lose_claim(context, claim, "lease expired");
        }
    }
}
