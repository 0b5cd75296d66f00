//! Counts of frequent events in a shard, logged together at intervals. A line for each event would push older lines out
//! of the kept log on a large fleet; the single events are logged at debug level.

use super::{info, Context, Exit, Micros, Order, Removal, Shard, ShardPhase, StopReason};
use crate::timer::{due, COUNTS_LOG_INTERVAL};

/// Numbers of events since the last line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct EventCounts {
    /// Start orders sent in direct commands.
    pub(super) started_directly: usize,
    /// Tasks that completed.
    pub(super) completed: usize,
    /// Tasks that failed.
    pub(super) failed: usize,
    /// Start orders that agents refused.
    pub(super) refused: usize,
    /// Tasks that are on no machine any more for another reason.
    pub(super) removed: usize,
    /// Tasks evicted for work that takes precedence.
    pub(super) preempted: usize,
    /// Tasks evicted for other reasons.
    pub(super) evicted: usize,
    /// Machines that were drained for more important work of other shards.
    pub(super) machines_drained: usize,
    /// Attempts that agents were told to forget.
    pub(super) forgotten: usize,
    /// Replies that could not let the agent forget attempts yet.
    pub(super) forgetting_deferred: usize,
}

/// The counts, and when they are logged next.
#[derive(Debug, Default)]
pub(super) struct Activity {
    pub(super) counts: EventCounts,
    next_log: Micros,
}

impl Activity {
    /// Counts a task that is on its machine no more.
    pub(super) fn count_removal(&mut self, why: Removal) {
        let count = match why {
            Removal::Exited(Exit::Done) => &mut self.counts.completed,
            Removal::Exited(Exit::Error) => &mut self.counts.failed,
            Removal::Exited(Exit::NoRoom | Exit::OtherAttemptPresent | Exit::Unknown) => {
                &mut self.counts.refused
            }
            Removal::Exited(_) | Removal::Lost => &mut self.counts.removed,
        };
        *count += 1;
    }

    /// Counts the attempts that a reply lets its agent forget, and whether it could not let it forget any yet.
    pub(super) fn count_forgetting(&mut self, orders: &[Order], deferred: bool) {
        let forgets = |order: &&Order| matches!(order, Order::Forget { .. });
        self.counts.forgotten += orders.iter().filter(forgets).count();
        self.counts.forgetting_deferred += usize::from(deferred);
    }

    /// Counts a task that is evicted.
    pub(super) fn count_eviction(&mut self, cause: StopReason) {
        match cause {
            StopReason::Preempted => self.counts.preempted += 1,
            _ => self.counts.evicted += 1,
        }
    }
}

impl Shard {
    /// Logs the counts if that is due and anything has happened.
    pub(super) fn log_activity(&mut self, context: &Context) {
        let counts = self.activity.counts;
        let next_log = &mut self.activity.next_log;
        if self.phase != ShardPhase::Ready
            || counts == EventCounts::default()
            || !due(next_log, context.now, COUNTS_LOG_INTERVAL)
        {
            return;
        }
        info!(
            shard = self.index,
            fencing_token = self.version,
            token_limit = context.token_limit,
            started_directly = counts.started_directly,
            completed = counts.completed,
            failed = counts.failed,
            refused = counts.refused,
            removed = counts.removed,
            preempted = counts.preempted,
            evicted = counts.evicted,
            machines_drained = counts.machines_drained,
            forgotten = counts.forgotten,
            forgetting_deferred = counts.forgetting_deferred,
            "shard activity"
        );
        self.activity.counts = EventCounts::default();
    }
}
