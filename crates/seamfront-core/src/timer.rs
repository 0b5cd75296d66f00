//! Actions that are repeated at intervals.

use crate::types::Micros;

/// Interval between two log lines that count frequent events.
pub(crate) const COUNTS_LOG_INTERVAL: Micros = Micros::from_secs(10);

/// Whether the time `next` has been reached. If so, sets it to an interval from now.
pub(crate) fn due(next: &mut Micros, now: Micros, interval: Micros) -> bool {
    let due = now >= *next;
    if due {
        *next = now + interval;
    }
    due
}
