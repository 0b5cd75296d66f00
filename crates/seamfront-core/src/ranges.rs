//! A compact set of task numbers, stored as ranges. Tasks end nearly in order, so the set of completed tasks of a job
//! array of 100,000 tasks still fits into a small record.

use serde::{Deserialize, Serialize};

/// A set of numbers, as sorted, disjoint, non-adjacent half-open ranges.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RangeSet(Vec<(u32, u32)>);

impl RangeSet {
    /// The set of all numbers below `n`.
    pub fn full(n: u32) -> RangeSet {
        RangeSet(vec![(0, n)])
    }

    /// A set made of these half-open ranges, which must be sorted, disjoint and non-adjacent.
    pub fn from_ranges(ranges: Vec<(u32, u32)>) -> RangeSet {
        RangeSet(ranges)
    }

    /// The half-open ranges of the set, in order.
    pub fn iter_ranges(&self) -> impl Iterator<Item = (u32, u32)> + '_ {
        self.0.iter().copied()
    }

    /// Whether a number is in the set.
    pub fn contains(&self, x: u32) -> bool {
        let at = self.0.partition_point(|r| r.1 <= x);
        self.0.get(at).is_some_and(|r| r.0 <= x)
    }

    /// Adds a number. Returns false if it was in the set already.
    pub fn insert(&mut self, x: u32) -> bool {
        let at = self.0.partition_point(|r| r.1 < x);
        match self.0.get_mut(at) {
            Some(r) if r.0 <= x && x < r.1 => return false,
            Some(r) if r.1 == x => {
                r.1 = x + 1;
                if self.0.get(at + 1).is_some_and(|n| n.0 == x + 1) {
                    let next = self.0.remove(at + 1);
                    self.0[at].1 = next.1;
                }
            }
            Some(r) if r.0 == x + 1 => r.0 = x,
            _ => self.0.insert(at, (x, x + 1)),
        }
        true
    }

    /// Number of elements of the set.
    pub fn count(&self) -> u32 {
        self.0.iter().map(|r| r.1 - r.0).sum()
    }

    /// Number of ranges that the set consists of.
    pub fn range_count(&self) -> usize {
        self.0.len()
    }

    /// The smallest number that is not in the set.
    pub fn first_missing(&self) -> u32 {
        self.0.first().filter(|r| r.0 == 0).map_or(0, |r| r.1)
    }
}
