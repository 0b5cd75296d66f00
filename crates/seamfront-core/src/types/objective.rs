//! Service-level objectives: within what time jobs should start or finish.

use super::{JobSpec, Micros, Settings};

/// Every job, the largest too, should have started this long after its submission.
pub const START_DEADLINE: Micros = Micros::from_secs(240);

/// What an objective sets a time for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Milestone {
    /// A task of the job has started.
    Started,
    /// The job has finished.
    Finished,
}

/// A service-level objective of a class of jobs: a milestone reached within a time from submission.
#[derive(Clone, Debug, PartialEq)]
pub struct Objective {
    /// The class that it is set for.
    pub class: String,
    /// What it sets a time for.
    pub milestone: Milestone,
    /// The time, from submission.
    pub within: Micros,
}

impl Settings {
    /// Until when a job that was submitted at `submitted` should start, as of `wall_time`: the earliest
    /// of its deadline and of its class's objectives that can still be met. A job that can meet
    /// none any more gets none.
    pub fn start_by(&self, spec: &JobSpec, wall_time: Micros) -> Option<Micros> {
        self.times_to_start(spec).filter(|t| *t > wall_time).min()
    }

    /// Whether one of the times at which the job should have started has passed.
    pub fn late(&self, spec: &JobSpec, wall_time: Micros) -> bool {
        self.times_to_start(spec).any(|t| t <= wall_time)
    }

    fn times_to_start<'a>(&'a self, spec: &'a JobSpec) -> impl Iterator<Item = Micros> + 'a {
        let of_class = self
            .objectives
            .iter()
            .filter(|objective| objective.class == spec.class)
            .map(|objective| {
                let run_time = match objective.milestone {
                    Milestone::Started => Micros::ZERO,
                    Milestone::Finished => spec.estimate,
                };
                spec.submitted + objective.within - run_time
            });
        of_class.chain(spec.deadline.map(|d| spec.submitted + d - spec.estimate))
    }
}
