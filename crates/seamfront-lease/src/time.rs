//! The unit of time of the deterministic state machines.

use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign, Sub};

/// Whole microseconds, used both for durations and for times of a monotonic clock.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Micros(pub i64);

impl Micros {
    /// Zero.
    pub const ZERO: Micros = Micros(0);
    /// Longer than any duration in use.
    pub const MAX: Micros = Micros(i64::MAX / 4);

    /// Converts from milliseconds.
    pub const fn from_millis(ms: i64) -> Micros {
        Micros(ms * 1_000)
    }

    /// Converts from seconds.
    pub const fn from_secs(s: i64) -> Micros {
        Micros(s * 1_000_000)
    }

    /// Converts from decimal seconds, the form of durations on the wire. No other code makes this conversion.
    pub fn from_secs_decimal(s: f64) -> Micros {
        Micros((s * 1e6).round().clamp(0.0, Micros::MAX.0 as f64) as i64)
    }

    /// Converts to decimal seconds, for the wire and for logs.
    pub fn as_secs_decimal(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Multiplies by `n`, saturating at the bounds.
    pub fn times(self, n: i64) -> Micros {
        Micros(self.0.saturating_mul(n))
    }

    /// Divides by `n`.
    pub fn divided_by(self, n: i64) -> Micros {
        Micros(self.0 / n)
    }

    /// The upper bound of this duration as measured by another machine. Clocks drift by at most 0.05% against each
    /// other; the bound allows for twice that plus 1 ms.
    pub fn with_drift(self) -> Micros {
        Micros(self.0 + self.0 / 1_000 + 1_000)
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, o: Micros) -> Micros {
        Micros(self.0.saturating_add(o.0))
    }
}
impl AddAssign for Micros {
    fn add_assign(&mut self, o: Micros) {
        *self = *self + o;
    }
}
impl Sub for Micros {
    type Output = Micros;
    fn sub(self, o: Micros) -> Micros {
        Micros(self.0.saturating_sub(o.0))
    }
}
