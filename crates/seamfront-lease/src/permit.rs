//! When a holder may act: proofs count from their sending, and every effect has a time until which it may begin.

use crate::settings::LeaseSettings;
use crate::time::Micros;

/// The right to begin one effect. Whoever carries it out compares it with a clock read just before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The fencing token.
    pub token: u64,
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
pub struct LeaseProof {
    renewed: Option<Micros>,
}

impl LeaseProof {
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
pub struct ClaimProof {
    proven: Option<Micros>,
}

impl ClaimProof {
    /// A transaction with the claim among its conditions was sent then and has succeeded.
    pub fn proven(&mut self, sent: Micros) {
        self.proven = self.proven.max(Some(sent));
    }

    /// Nothing is known of the claim any more.
    pub fn clear(&mut self) {
        self.proven = None;
    }

    /// Until when an effect may begin, if at all: the lease must hold, and the proof must be recent.
    pub fn permit(
        &self,
        token: u64,
        lease: &LeaseProof,
        settings: &LeaseSettings,
    ) -> Option<Permit> {
        let proven = self.proven? + settings.proof_time();
        let until = proven.min(lease.until(settings)?);
        Some(Permit { token, until })
    }
}
