//! Cache of how jobs ended.

use super::EndRecord;
use crate::types::JobId;
use std::collections::{BTreeMap, VecDeque};

/// Number of ends beyond which the oldest are evicted.
const MAX_CACHED_ENDS: usize = 50_000;

/// Cached ends of jobs. An end that was evicted is read from the store again when it is needed.
#[derive(Default)]
pub(super) struct EndedJobs {
    ends: BTreeMap<JobId, EndRecord>,
    /// Ids of the cached jobs in the order in which they were added.
    insertion_order: VecDeque<JobId>,
}

impl EndedJobs {
    /// How a job ended, if its end is cached.
    pub(super) fn get(&self, id: &JobId) -> Option<EndRecord> {
        self.ends.get(id).copied()
    }

    /// Caches an end, and evicts the oldest one if there are too many.
    pub(super) fn insert(&mut self, id: &JobId, end: EndRecord) {
        if self.ends.insert(id.clone(), end).is_some() {
            return;
        }
        self.insertion_order.push_back(id.clone());
        if self.insertion_order.len() > MAX_CACHED_ENDS {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.ends.remove(&oldest);
            }
        }
    }
}
