//! Service-level objectives: the times within which jobs should start or finish.

use super::{JobSpec, Micros, Settings};

/// Every job, however large, should have started within this time from its submission.
pub const START_DEADLINE: Micros = Micros::from_secs(240);

/// The event that an objective sets a time for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Milestone {
    /// A task of the job has started.
    Started,
    /// The job has finished.
    Finished,
}

/// A service-level objective of a class of jobs: the time from submission within which a milestone is to be reached.
#[derive(Clone, Debug, PartialEq)]
pub struct Objective {
    /// The class of jobs that it applies to.
    pub class: String,
    /// The milestone that it sets a time for.
    pub milestone: Milestone,
    /// Time from submission.
    pub within: Micros,
}

impl Settings {
    /// The time by which a job must start to meet its deadline and the objectives of its class, as of `wall_time`: the
    /// earliest one that has not passed. `None` if the job has no deadline and no objective, or can meet none any more.
    pub fn start_by(&self, spec: &JobSpec, wall_time: Micros) -> Option<Micros> {
        self.start_deadlines(spec).filter(|t| *t > wall_time).min()
    }

    /// Whether the job can no longer start in time for its deadline or for one of the objectives of its class.
    pub fn start_deadline_missed(&self, spec: &JobSpec, wall_time: Micros) -> bool {
        self.start_deadlines(spec).any(|t| t <= wall_time)
    }

    fn start_deadlines<'a>(&'a self, spec: &'a JobSpec) -> impl Iterator<Item = Micros> + 'a {
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
