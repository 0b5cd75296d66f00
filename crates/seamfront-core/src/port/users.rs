//! Answers to users' requests.

use crate::types::{JobId, Micros};

/// The reason why a submitted job can never run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SubmissionError {
    /// The settings have no such team.
    #[error("equipe: unknown team")]
    UnknownTeam,
    /// A task is larger than every machine type that it may use.
    #[error("no allowed machine type fits a task")]
    NoMachineFits,
    /// One task of a job array, or all tasks together of any other job, exceed the team's limit.
    #[error("the job needs more than its team's limit")]
    OverLimit,
    /// A gang needs more machines than its record can name.
    #[error(
        "paes: the gang needs at least {needed} machines, and its record can name {most} at most"
    )]
    TooManyMachines {
        /// Number of machines that it needs at least.
        needed: usize,
        /// Number of machines that a record of it can name.
        most: usize,
    },
    /// Its tasks may not all be in one zone, and no two zones have machines that it may use.
    #[error("scatter: the gang needs machines in two zones, and may use those of one")]
    OneZoneOnly,
    /// Its texts (class, team, image, zone, machine types) take more than half of a value of the store.
    #[error(
        "fornada, equipe, receita, praca and modelos take {bytes} bytes together, more than {most}"
    )]
    TextsTooLong {
        /// Number of bytes of the texts.
        bytes: usize,
        /// Maximum number of bytes.
        most: usize,
    },
    /// One of its dependencies was never accepted.
    #[error("espera: {0} was never accepted")]
    UnknownDependency(JobId),
}

/// An answer to a user.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The state of a job.
    Status {
        /// Whether this request created the job.
        created: bool,
        /// The job.
        id: JobId,
        /// Its state.
        state: JobState,
        /// Number of tasks that are done.
        done: u32,
        /// Number of running tasks.
        running: u32,
    },
    /// No such job was accepted.
    NotFound,
    /// The job was rejected, since it can never run.
    Rejected(SubmissionError),
    /// The request can't be answered now.
    RetryLater {
        /// Delay before the client should retry.
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
    /// The job was cancelled.
    Cancelled,
}
