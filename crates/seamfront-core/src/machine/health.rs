//! Health of a machine, judged by the failures and the run times of tasks on it.

use crate::types::{JobId, Micros};
use std::collections::BTreeSet;

/// A machine is quarantined once this many different jobs have failed on it.
const FAILED_JOBS_LIMIT: usize = 2;
/// Number of completed tasks in one sample of a machine's pace.
pub const PACE_SAMPLE_TASKS: i64 = 10;
/// A machine counts as slow if its tasks' run times exceed this percentage of their jobs' means, on average over a
/// sample.
const PACE_SLOW_PERCENT: i64 = 190;
/// Upper bound on what a single run counts in a sample, in percent of its job's mean.
const PACE_MAX_PERCENT: i64 = 400;

/// Run times of the tasks that completed on a machine since the last full sample.
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
    /// The current, incomplete sample of its pace.
    pub pace: PaceSample,
    /// No task is placed on it before this time. It refused one for lack of room, so our count of its resources and the
    /// agent's differ, and need time to agree again.
    pub full_until: Micros,
}

impl Health {
    /// Whether so many different jobs have failed on it that the machine itself is suspected.
    pub fn failing(&self) -> bool {
        self.failed_jobs.len() >= FAILED_JOBS_LIMIT
    }

    /// Whether it is quarantined: different jobs fail on it, or it is much slower than other machines of its type.
    pub fn quarantined(&self) -> bool {
        self.slow || self.failing()
    }

    /// Compares the run time of a completed task with the mean of its job. Machines of a type normally differ by a
    /// tenth; one that is much slower than the others is not worth its price. The machine is judged on a whole sample,
    /// since the run times of single tasks also differ for other reasons.
    pub fn record_run(&mut self, ran: Micros, mean: Micros) {
        let percent = 100 * ran.0 / mean.0.max(1);
        self.pace.tasks += 1;
        self.pace.percent_sum += percent.min(PACE_MAX_PERCENT);
        if self.pace.tasks < PACE_SAMPLE_TASKS {
            return;
        }
        if self.pace.percent_sum > PACE_SLOW_PERCENT * self.pace.tasks {
            self.slow = true;
        }
        self.pace = PaceSample::default();
    }
}
