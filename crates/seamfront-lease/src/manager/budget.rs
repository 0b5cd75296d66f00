//! Rate limit for changes sent to the store: a token bucket that holds one second's worth.

use crate::time::Micros;

const MICROS_PER_SECOND: i64 = 1_000_000;
/// The budget is counted in thousandths of a change.
const UNITS_PER_CHANGE: i64 = 1_000;

/// The number of changes that a member may still send.
#[derive(Debug, Default)]
pub(super) struct WriteBudget {
    units: i64,
    refilled_at: Micros,
}

impl WriteBudget {
    /// Adds the changes allowed since the last call.
    pub fn refill(&mut self, now: Micros, changes_per_second: i64) {
        let rate = changes_per_second * UNITS_PER_CHANGE;
        let passed = (now - self.refilled_at).0.clamp(0, MICROS_PER_SECOND);
        self.refilled_at = now;
        self.units = (self.units + rate * passed / MICROS_PER_SECOND).min(rate);
    }

    /// Subtracts changes that are being sent. The budget may become negative.
    pub fn spend(&mut self, changes: usize) {
        self.units -= changes as i64 * UNITS_PER_CHANGE;
    }

    /// Whether a change may be sent now.
    pub fn available(&self) -> bool {
        self.units > 0
    }
}
