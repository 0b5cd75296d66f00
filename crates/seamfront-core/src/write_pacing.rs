//! Rate limiting and flush times of the scheduler's own writes to the store.

use crate::types::Micros;

/// The budget is counted in thousandths of a write (milliwrites).
const MILLIWRITES_PER_WRITE: i64 = 1_000;
/// The budget is capped at the amount that accrues in a second divided by this.
const BURST_DIVISOR: i64 = 2;
/// Longest time since the last refill that one refill accounts for.
const MAX_REFILL_MICROS: i64 = 1_000_000;
const MICROS_PER_SECOND: i64 = 1_000_000;
/// Time without flushes after the store has refused writes.
const REFUSED_PAUSE: Micros = Micros::from_millis(200);

/// A token bucket for the scheduler's own writes, and the times at which they are flushed.
#[derive(Debug, Default)]
pub(crate) struct WritePacer {
    /// Available budget in milliwrites; negative after a large write.
    budget: i64,
    refilled_at: Micros,
    backoff_until: Micros,
    next_flush: Micros,
    /// Number of flushes so far; a controller that holds several shards starts each flush with a different one.
    flushes: usize,
}

impl WritePacer {
    /// Adds the budget that has accrued since the last refill.
    pub(crate) fn refill(&mut self, now: Micros, milliwrites_per_second: i64) {
        let elapsed = (now - self.refilled_at).0.clamp(0, MAX_REFILL_MICROS);
        self.refilled_at = now;
        let accrued = milliwrites_per_second * elapsed / MICROS_PER_SECOND;
        self.budget = (self.budget + accrued).min(milliwrites_per_second / BURST_DIVISOR);
    }

    /// Starts a flush if one is due and schedules the next one after `interval`. Returns the number of the flush.
    pub(crate) fn start_flush(&mut self, now: Micros, interval: Micros) -> Option<usize> {
        if now < self.backoff_until.max(self.next_flush) {
            return None;
        }
        self.next_flush = now + interval;
        self.flushes += 1;
        Some(self.flushes)
    }

    /// Whether any budget is left.
    pub(crate) fn has_budget(&self) -> bool {
        self.budget > 0
    }

    /// Number of whole writes that the budget allows now.
    pub(crate) fn available_writes(&self) -> usize {
        (self.budget / MILLIWRITES_PER_WRITE).max(0) as usize
    }

    /// Deducts writes from the budget.
    pub(crate) fn spend(&mut self, writes: usize) {
        self.budget -= writes as i64 * MILLIWRITES_PER_WRITE;
    }

    /// Pauses flushes because the store has refused writes.
    pub(crate) fn store_refused(&mut self, now: Micros) {
        self.backoff_until = now + REFUSED_PAUSE;
    }
}
