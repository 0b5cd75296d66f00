//! How jobs ended, as far as that is remembered.

use super::EndRecord;
use crate::types::JobId;
use std::collections::{BTreeMap, VecDeque};

const MAX_REMEMBERED_ENDS: usize = 50_000;

/// Remembers ended jobs; the oldest are forgotten here and then read from the store again.
#[derive(Default)]
pub(super) struct EndedJobs {
    ends: BTreeMap<JobId, EndRecord>,
    /// In the order in which they were first remembered.
    oldest_first: VecDeque<JobId>,
}

impl EndedJobs {
    /// How a job ended, if that is remembered.
    pub(super) fn get(&self, id: &JobId) -> Option<EndRecord> {
        self.ends.get(id).copied()
    }

    /// Remembers an end, for good as far as there is room.
    pub(super) fn insert(&mut self, id: &JobId, end: EndRecord) {
        if self.ends.insert(id.clone(), end).is_some() {
            return;
        }
        self.oldest_first.push_back(id.clone());
        if self.oldest_first.len() > MAX_REMEMBERED_ENDS {
            if let Some(oldest) = self.oldest_first.pop_front() {
                self.ends.remove(&oldest);
            }
        }
    }
}
