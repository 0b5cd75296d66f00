//! When a holder may act: verifications count from the sending of the request, and every effect has a time until which
//! it may begin.

use crate::settings::LeaseSettings;
use crate::time::Micros;

/// The right to begin one effect. Whoever carries it out compares it with a clock read just before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The fencing token.
    pub fencing_token: u64,
    /// The effect may begin before this instant.
    pub until: Micros,
}

impl Permit {
    /// Whether the effect may begin now.
    pub fn valid(&self, now: Micros) -> bool {
        now < self.until
    }
}

/// When a lease or a claim was last confirmed by the store, counted from the sending of the request. It only ever moves
/// forward, until it is cleared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Verification {
    confirmed: Option<Micros>,
}

impl Verification {
    /// A request that was sent then has succeeded: a renewal of the lease, or a transaction with the claim among its
    /// conditions.
    pub fn confirm(&mut self, sent: Micros) {
        self.confirmed = self.confirmed.max(Some(sent));
    }

    /// Nothing is known any more.
    pub fn clear(&mut self) {
        self.confirmed = None;
    }

    /// Until when it can be relied on, if it can for so long after its confirmation.
    fn until(&self, ttl: Micros) -> Option<Micros> {
        self.confirmed.map(|sent| sent + ttl)
    }
}

/// The right to act under a claim, if there is one: the lease must hold, and the claim's verification must be recent.
pub fn permit(
    fencing_token: u64,
    claim: &Verification,
    lease: &Verification,
    settings: &LeaseSettings,
) -> Option<Permit> {
    let claim_until = claim.until(settings.verification_ttl())?;
    let lease_until = lease.until(settings.acting_time())?;
    Some(Permit {
        fencing_token,
        until: claim_until.min(lease_until),
    })
}
