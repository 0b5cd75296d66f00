//! Priorities and the rank of a job in the scheduling queue.

use serde::{Deserialize, Serialize};

/// How important a job is. Declared from the most to the least important, so that sorting puts the important first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Live services.
    Critical,
    /// Before ordinary work.
    Urgent,
    /// Ordinary work.
    Normal,
    /// Work that gets the capacity left over.
    BestEffort,
}

/// Rank in the scheduling queue: the priority, and within it starving work first (`false` sorts before `true`).
///
/// Work that has not started at all when two thirds of the time that it may take are over is starving: it ranks with
/// the next more important priority, and before it, so that nothing waits for ever behind an endless stream of more
/// important work. Of a job array only one task is raised: when arrays were raised as a whole, those of a long burst
/// took the capacity of all ordinary work. The rank decides which job is placed next and for whom machines are
/// reserved, never what may be preempted: there the priority itself counts.
pub fn queue_rank(priority: Priority, starving: bool) -> (Priority, bool) {
    let raised = match priority {
        Priority::BestEffort => Priority::Normal,
        Priority::Normal | Priority::Urgent => Priority::Urgent,
        Priority::Critical => Priority::Critical,
    };
    (if starving { raised } else { priority }, !starving)
}
