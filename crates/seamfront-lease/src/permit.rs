//! When a holder may act: proofs count from their sending, and every effect has a time until which it may begin.

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

/// When the lease was last renewed, counted from the sending of the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseVerification {
    renewed: Option<Micros>,
}

impl LeaseVerification {
    /// A renewal that was sent then has been confirmed.
    pub fn renewed(&mut self, sent: Micros) {
        self.renewed = self.renewed.max(Some(sent));
    }

    /// Nothing is known of the lease any more.
    pub fn clear(&mut self) {
        self.renewed = None;
    }

    /// Until when a claim attached to the lease can be relied on.
    pub fn until(&self, settings: &LeaseSettings) -> Option<Micros> {
        self.renewed.map(|sent| sent + settings.acting_time())
    }
}

/// When a claim was last proven, counted from the sending of the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClaimVerification {
    last_verified: Option<Micros>,
}

impl ClaimVerification {
    /// A transaction with the claim among its conditions was sent then and has succeeded.
    pub fn verified(&mut self, sent: Micros) {
        self.last_verified = self.last_verified.max(Some(sent));
    }

    /// Nothing is known of the claim any more.
    pub fn clear(&mut self) {
        self.last_verified = None;
    }

    /// Until when an effect may begin, if at all: the lease must hold, and the proof must be recent.
    pub fn permit(
        &self,
        fencing_token: u64,
        lease: &LeaseVerification,
        settings: &LeaseSettings,
    ) -> Option<Permit> {
        let last_verified = self.last_verified? + settings.verification_ttl();
        let until = last_verified.min(lease.until(settings)?);
        Some(Permit {
            fencing_token,
            until,
        })
    }
}
