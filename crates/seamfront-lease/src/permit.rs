//! When a holder may act. Verifications count from the time at which the request was sent, and every effect has a time
//! by which it must have begun.

use crate::settings::LeaseSettings;
use crate::time::Micros;

/// The right to begin one effect. It must be checked against a clock that is read immediately before the effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The fencing token.
    pub fencing_token: u64,
    /// The effect must begin before this time.
    pub until: Micros,
}

impl Permit {
    /// Whether the effect may begin now.
    pub fn valid(&self, now: Micros) -> bool {
        now < self.until
    }
}

/// When a lease or a claim was last confirmed by the store, counted from the time at which the request was sent. The
/// time never decreases, except by [`Verification::clear`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Verification {
    confirmed: Option<Micros>,
}

impl Verification {
    /// A request sent at this time has succeeded: a renewal of the lease, or a transaction with the claim among its
    /// conditions.
    pub fn confirm(&mut self, sent: Micros) {
        self.confirmed = self.confirmed.max(Some(sent));
    }

    /// Discards the confirmation.
    pub fn clear(&mut self) {
        self.confirmed = None;
    }

    /// When the confirmation expires if it is valid for `ttl`. None if there is no confirmation.
    fn until(&self, ttl: Micros) -> Option<Micros> {
        self.confirmed.map(|sent| sent + ttl)
    }
}

/// The permit to act under a claim. It ends with the time for which the lease is relied on or with the claim's
/// verification, whichever is earlier. None if either is unconfirmed.
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
