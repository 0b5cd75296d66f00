//! The pace of the scheduler's own writes.

use crate::types::Micros;

/// The budget is counted in thousandths of a write.
const WRITE: i64 = 1_000;
/// The budget never exceeds what accrues in one part in so many of a second.
const BURST_DIVISOR: i64 = 2;
/// Longest time that one refill counts for.
const MAX_REFILL: i64 = 1_000_000;
const MICROS_PER_SECOND: i64 = 1_000_000;
/// Pause after the store has refused writes.
const REFUSED_PAUSE: Micros = Micros::from_millis(200);

/// A token bucket for the scheduler's own writes, and when they are flushed.
#[derive(Debug, Default)]
pub(crate) struct WritePacer {
    /// What may be written now, in thousandths of a write; negative after a large write.
    budget: i64,
    refilled_at: Micros,
    paused_until: Micros,
    next_flush: Micros,
    /// Flushes so far: where several shards are held, another is first each time.
    flushes: usize,
}

impl WritePacer {
    /// Adds what has accrued at a rate in thousandths of a write a second.
    pub(crate) fn refill(&mut self, now: Micros, rate: i64) {
        let passed = (now - self.refilled_at).0.clamp(0, MAX_REFILL);
        self.refilled_at = now;
        let accrued = rate * passed / MICROS_PER_SECOND;
        self.budget = (self.budget + accrued).min(rate / BURST_DIVISOR);
    }

    /// Starts a flush if one is due, the next one an interval later. Returns the number of the flush.
    pub(crate) fn start_flush(&mut self, now: Micros, interval: Micros) -> Option<usize> {
        if now < self.paused_until.max(self.next_flush) {
            return None;
        }
        self.next_flush = now + interval;
        self.flushes += 1;
        Some(self.flushes)
    }

    /// Whether anything may be written.
    pub(crate) fn has_budget(&self) -> bool {
        self.budget > 0
    }

    /// How many whole writes may be made now.
    pub(crate) fn available_writes(&self) -> usize {
        (self.budget / WRITE).max(0) as usize
    }

    /// Takes writes that are made from the budget.
    pub(crate) fn spend(&mut self, writes: usize) {
        self.budget -= writes as i64 * WRITE;
    }

    /// The store has refused writes.
    pub(crate) fn store_refused(&mut self, now: Micros) {
        self.paused_until = now + REFUSED_PAUSE;
    }
}
