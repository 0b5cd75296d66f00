//! Answers to users.

use crate::types::{JobId, Micros};

/// Why a job can never run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SubmissionError {
    /// No such team is in the settings.
    #[error("equipe: unknown team")]
    UnknownTeam,
    /// A task is larger than each machine that it may use.
    #[error("no allowed machine type fits a task")]
    NoMachineFits,
    /// One task of an array, or all tasks of another job, exceed the limit.
    #[error("the job needs more than its team's limit")]
    OverLimit,
    /// One of its dependencies was never accepted.
    #[error("espera: {0} was never accepted")]
    UnknownDependency(JobId),
}

/// An answer to a user.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The state of a job.
    Status {
        /// Whether it was created for this very request.
        created: bool,
        /// The job.
        id: JobId,
        /// Its state.
        state: JobState,
        /// Tasks that are done.
        done: u32,
        /// Tasks that run.
        running: u32,
    },
    /// There is no such job.
    NotFound,
    /// The job can never run.
    Rejected(SubmissionError),
    /// It can't be known or accepted now.
    RetryLater {
        /// Time after which to retry.
        after: Micros,
    },
}

/// State of a job in answers to users.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// No task is running.
    Queued,
    /// A task is running.
    Running,
    /// All tasks are done.
    Done,
    /// Cancelled.
    Cancelled,
}
