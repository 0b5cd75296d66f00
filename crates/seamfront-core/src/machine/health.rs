//! Health of a machine, judged by the failures and the run times of tasks on it.

use crate::types::{JobId, Micros};
use std::collections::BTreeSet;

/// This many different jobs have to fail on a machine for it to be quarantined.
const FAILED_JOBS_LIMIT: usize = 2;
/// Completed tasks in one sample of a machine's pace.
pub const PACE_TASKS: i64 = 10;
/// Mean run time, in percent of the jobs' own means, above which a machine counts as slow.
const PACE_SLOW_PERCENT: i64 = 190;
/// Most that a single run counts in a sample, in percent of its job's mean.
const PACE_MAX_PERCENT: i64 = 400;

/// Run times of tasks that completed lately on a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PaceSample {
    /// Number of completed tasks.
    pub tasks: i64,
    /// Sum of their run times, each in percent of its job's mean.
    pub percent_sum: i64,
}

/// Signs that a machine is faulty.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Different jobs that failed on it since a task last completed.
    pub failed_jobs: BTreeSet<JobId>,
    /// It is much slower than other machines of its type.
    pub slow: bool,
    /// The present sample of its pace.
    pub pace: PaceSample,
    /// It refused a task for lack of room: our count and the agent's differ, and nothing is placed until that
    /// may have settled.
    pub full_until: Micros,
}

impl Health {
    /// Different jobs have failed on it.
    pub fn failing(&self) -> bool {
        self.failed_jobs.len() >= FAILED_JOBS_LIMIT
    }

    /// Not worth keeping: jobs fail on it, or it is much slower than its type.
    pub fn quarantined(&self) -> bool {
        self.slow || self.failing()
    }

    /// Counts the run time of a completed task against the mean of its job. Machines of a type differ by a tenth;
    /// one that is much slower than the others is not worth its price. Judged on enough tasks, since single ones
    /// differ for reasons of their own.
    pub fn record_run(&mut self, ran: Micros, mean: Micros) {
        let percent = 100 * ran.0 / mean.0.max(1);
        self.pace.tasks += 1;
        self.pace.percent_sum += percent.min(PACE_MAX_PERCENT);
        if self.pace.tasks < PACE_TASKS {
            return;
        }
        if self.pace.percent_sum > PACE_SLOW_PERCENT * self.pace.tasks {
            self.slow = true;
        }
        self.pace = PaceSample::default();
    }
}
