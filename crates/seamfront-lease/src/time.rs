//! Time as the deterministic cores count it.

use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign, Sub};

/// Whole microseconds, used both for instants (since the process began) and for spans.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Micros(pub i64);

impl Micros {
    /// No time.
    pub const ZERO: Micros = Micros(0);
    /// Longer than anything lasts.
    pub const MAX: Micros = Micros(i64::MAX / 4);

    /// From milliseconds.
    pub const fn from_millis(ms: i64) -> Micros {
        Micros(ms * 1_000)
    }

    /// From seconds.
    pub const fn from_secs(s: i64) -> Micros {
        Micros(s * 1_000_000)
    }

    /// Wire durations are decimal seconds; this is the only place where they become time.
    pub fn from_secs_decimal(s: f64) -> Micros {
        Micros((s * 1e6).round().clamp(0.0, Micros::MAX.0 as f64) as i64)
    }

    /// As decimal seconds, for the wire and for logs.
    pub fn as_secs_decimal(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// So many times as long.
    pub fn times(self, n: i64) -> Micros {
        Micros(self.0.saturating_mul(n))
    }

    /// A part of it.
    pub fn over(self, n: i64) -> Micros {
        Micros(self.0 / n)
    }

    /// This span as another machine may count it: clocks drift by at most 0.05% against each other.
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
