//! How many changes the store takes now: a token bucket that holds one second's worth.

use crate::time::Micros;

const MICROS_PER_SECOND: i64 = 1_000_000;
/// The budget counts in thousandths of a change.
const UNITS_PER_CHANGE: i64 = 1_000;

/// The changes that a member may still make.
#[derive(Debug, Default)]
pub(super) struct WriteBudget {
    units: i64,
    filled: Micros,
}

impl WriteBudget {
    /// Adds what has come in since the last time.
    pub fn fill(&mut self, now: Micros, changes_per_second: i64) {
        let rate = changes_per_second * UNITS_PER_CHANGE;
        let passed = (now - self.filled).0.clamp(0, MICROS_PER_SECOND);
        self.filled = now;
        self.units = (self.units + rate * passed / MICROS_PER_SECOND).min(rate);
    }

    /// Takes changes that are sent now; the budget may become negative.
    pub fn spend(&mut self, changes: usize) {
        self.units -= changes as i64 * UNITS_PER_CHANGE;
    }

    /// Whether the store takes another change now.
    pub fn available(&self) -> bool {
        self.units > 0
    }
}
