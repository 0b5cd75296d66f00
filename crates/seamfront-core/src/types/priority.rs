//! Priorities and the rank of a job in the scheduling queue.

use serde::{Deserialize, Serialize};

/// Priority of a job. Declared from the most to the least important, so that an ascending sort puts the most important
/// first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Services that serve live traffic.
    Critical,
    /// Work that goes before normal work.
    Urgent,
    /// Normal work.
    Normal,
    /// Work that uses the capacity that is left over.
    BestEffort,
}

/// Rank in the scheduling queue: the priority, and within a priority starving jobs first (`false` sorts before `true`).
///
/// A job is starving if none of its tasks has started when two thirds of
/// [`START_DEADLINE`](super::START_DEADLINE) have passed, or earlier if its image takes long to fetch. It is then raised
/// to the next more important priority, though never to `Critical`, and ranks ahead of the jobs there that are not
/// starving: no job waits for ever behind a continuous stream of more important ones. Of a job array only one task is
/// raised: when whole arrays were raised, those of a long burst took the capacity of all normal work.
///
/// The rank decides which job is placed next and for which job machines are reserved. It does not decide what a job may
/// preempt: that depends on its own priority.
pub fn queue_rank(priority: Priority, starving: bool) -> (Priority, bool) {
    let raised = match priority {
        Priority::BestEffort => Priority::Normal,
        Priority::Normal | Priority::Urgent => Priority::Urgent,
        Priority::Critical => Priority::Critical,
    };
    (if starving { raised } else { priority }, !starving)
}
