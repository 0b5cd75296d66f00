//! A job as the holder of its shard runs it, and its conversion to and from the one record that a successor reads.

use crate::gang::{Gang, Member};
use crate::ranges::RangeSet;
use crate::record::{Position, TaskRun, TaskRuns, WorkRecord};
use crate::types::{
    queue_rank, JobKind, JobSpec, MachineId, MachineType, Micros, Priority, START_DEADLINE,
};
use serde_json::Value;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Number of consecutive errors from which on a job is assumed to fail on every machine.
pub(crate) const FAILING_AFTER_ERRORS: u32 = 3;
/// Maximum number of tasks of such a job that are placed at the same time.
const MAX_CONCURRENT_ATTEMPTS: u32 = 2;

/// State of a placed task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Waiting until the record of its placement is written. Nothing has been sent.
    Recording,
    /// Recorded; an order to start it may have been sent.
    Ordered,
    /// Its agent is fetching the image.
    Fetching,
    /// Waiting for the other members of its gang.
    Waiting,
    /// Running.
    Running,
    /// Saving its progress before it ends.
    Saving,
}

/// Why a task is being stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// Its job was cancelled.
    Cancelled,
    /// Preempted by work that takes precedence.
    Preempted,
    /// Its machine is about to be preempted by the cloud.
    MachinePreempted,
    /// Its gang is being drained.
    GangDrained,
    /// It is on a machine where it was not placed.
    Unexpected,
}

/// An order to stop a task, repeated until the task is gone.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// Why the task is stopped.
    pub cause: StopReason,
    /// Time that the task has to save its progress.
    pub grace: Micros,
    /// When the task was first to be stopped.
    pub since: Micros,
}

impl Stop {
    /// An order to stop a task without time to save.
    pub fn immediate(cause: StopReason, now: Micros) -> Stop {
        Stop {
            cause,
            grace: Micros::ZERO,
            since: now,
        }
    }
}

/// Number and total run time of completed tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CompletedRuns {
    /// Number of tasks.
    pub count: i64,
    /// Sum of their run times.
    pub total: Micros,
}

impl CompletedRuns {
    /// Adds the run time of a task.
    pub fn add(&mut self, ran: Micros) {
        self.count += 1;
        self.total += ran;
    }

    /// The mean run time; there must be at least one run.
    pub fn mean(&self) -> Micros {
        self.total.divided_by(self.count)
    }
}

/// A task that is, or may be, on a machine. Its room on the machine, its quota, its zone and its task number stay in
/// use until there is evidence that it is gone.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The machine.
    pub machine: MachineId,
    /// Its attempt number.
    pub attempt: u64,
    /// Its state.
    pub phase: Phase,
    /// Generation of the record that must be written before it starts; 0 if a former holder recorded it.
    pub generation: u64,
    /// When it was placed, adopted or recorded, whichever was last.
    pub since: Micros,
    /// Incarnation of the agent that the start order was meant for, or that showed the task; 0 if there is none yet.
    pub incarnation: u64,
    /// Earliest start. Gang members with a cached image start later: otherwise their wait for members that fetch the
    /// image could exceed `gang_wait_s`.
    pub not_before: Micros,
    /// When it was first seen running.
    pub running_since: Option<Micros>,
    /// The order to stop it, if there is one.
    pub stop: Option<Stop>,
    /// Whether its job was starving when it was placed, see [`queue_rank`].
    pub promoted: bool,
}

impl Placement {
    /// A placement recorded by a former holder: the task may be on its machine.
    fn adopted(machine: MachineId, attempt: u64, now: Micros) -> Placement {
        Placement {
            machine,
            attempt,
            phase: Phase::Ordered,
            generation: 0,
            since: now,
            incarnation: 0,
            not_before: Micros::ZERO,
            running_since: None,
            stop: None,
            promoted: false,
        }
    }
}

/// State of a job's stored record. Only the holder of the shard writes the record, always on the version that it knows.
#[derive(Clone, Debug, Default)]
pub struct RecordState {
    /// Version of the stored record, 0 if there is none. None if it is unknown, for example after an unanswered write:
    /// it must be read before the next write.
    pub version: Option<u64>,
    /// Incremented with each change that must be recorded.
    pub generation: u64,
    /// The generation that is stored.
    pub written_generation: u64,
    /// Whether a write or read of the record is in flight.
    pub in_flight: bool,
    /// The generation that contains the latest placements: their tasks start only once it is stored.
    pub placement_generation: u64,
    /// When the last write or read was sent.
    pub last_request_at: Micros,
    /// The parts as they are stored, None if that is unknown.
    pub parts: Option<Vec<Value>>,
    /// No part with this number or a higher one is stored.
    pub parts_end: u32,
    /// Where the record was last divided into parts.
    pub boundaries: Vec<Position>,
}

impl RecordState {
    /// Registers a change that must be recorded. Returns the generation that will contain it.
    pub fn mark_changed(&mut self) -> u64 {
        self.generation += 1;
        self.generation
    }

    /// Whether tasks can't be started until the record is written.
    pub fn blocks_starts(&self) -> bool {
        self.placement_generation > self.written_generation
    }

    /// Whether there are changes that are not stored yet.
    pub fn dirty(&self) -> bool {
        self.generation > self.written_generation
    }
}

/// How far the end of a job has progressed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// All tasks are done, but this is not recorded yet.
    Completing,
    /// `end/<id>` says that the job is done.
    Done,
    /// `end/<id>` says that the job is cancelled; its remaining tasks are being stopped.
    Cancelled,
}

/// A job in its shard.
#[derive(Clone, Debug)]
pub struct Job {
    /// The effective spec: priority and deadline may have been raised for jobs that depend on this one.
    pub spec: Rc<JobSpec>,
    /// Version of `job/<id>`.
    pub version: u64,
    /// How far its end has progressed, None while it is live.
    pub ending: Option<Ending>,
    /// Whether it depends on jobs that are not done: none of its tasks may be placed, and it takes up nothing of its
    /// team's quota or guarantee.
    pub blocked: bool,
    /// State of its stored record.
    pub record: RecordState,
    /// The next attempt number. No attempt number is used twice within a job; gangs use their epoch instead.
    pub next_attempt: u64,
    /// Tasks that are done.
    pub done: RangeSet,
    /// Generation of the record that contains the latest change of `done`.
    pub done_generation: u64,
    /// Tasks that are, or may be, on a machine, by task number.
    pub tasks: BTreeMap<u32, Placement>,
    /// Drain state, if the job is a gang.
    pub gang: Option<Gang>,
    /// How often its gang has backed off.
    pub backoffs: u32,
    /// No task of the job is placed before this time.
    pub backoff_until: Micros,
    /// Machines that the job avoids, each until a time.
    pub avoided_machines: BTreeMap<MachineId, Micros>,
    /// Consecutive errors, each on another machine, without a completed task between them.
    pub consecutive_errors: u32,
    /// Run times of its completed tasks.
    pub completed_runs: CompletedRuns,
    /// Since when it has been waiting for its tasks to be placed.
    pub waiting_since: Micros,
    /// Until when it is not logged again that the gang's record would be too large.
    pub too_large_logged_until: Micros,
}

impl Job {
    /// A job with no tasks placed.
    pub fn new(spec: Rc<JobSpec>, version: u64, now: Micros) -> Job {
        let gang = (spec.kind == JobKind::Gang).then(|| Gang::new(spec.tasks));
        Job {
            spec,
            version,
            ending: None,
            blocked: false,
            record: RecordState {
                version: Some(0),
                ..Default::default()
            },
            next_attempt: 1,
            done: RangeSet::default(),
            done_generation: 0,
            tasks: BTreeMap::new(),
            gang,
            backoffs: 0,
            backoff_until: Micros::ZERO,
            avoided_machines: BTreeMap::new(),
            consecutive_errors: 0,
            completed_runs: CompletedRuns::default(),
            waiting_since: now,
            too_large_logged_until: Micros::ZERO,
        }
    }

    /// Whether the job has not ended.
    pub fn live(&self) -> bool {
        self.ending.is_none()
    }

    /// Whether none of its tasks is placed or done although two thirds of [`START_DEADLINE`] have passed: see
    /// [`queue_rank`]. Half of the last third is meant for fetching the image. A job with a longer fetch counts as
    /// starving earlier by the difference, but at most by another third.
    pub fn starving(&self, wall_time: Micros, types: &[MachineType]) -> bool {
        let last_third = START_DEADLINE.divided_by(3);
        let extra_fetch = (self.spec.min_fetch_time(types) - last_third.divided_by(2))
            .clamp(Micros::ZERO, last_third);
        let waited = wall_time - self.spec.submitted;
        self.tasks.is_empty()
            && self.done.count() == 0
            && waited > START_DEADLINE - last_third - extra_fetch
    }

    /// Priority of a task in comparison with work that might preempt it. A task placed while its job was starving keeps
    /// the raised priority: if work behind it in the queue could preempt it, the next cycle would place it again, and
    /// so on.
    pub fn effective_priority(&self, p: &Placement) -> Priority {
        queue_rank(self.spec.priority, p.promoted).0
    }

    /// Number of tasks to be placed: neither done nor placed. Zero if the job is blocked or has ended.
    pub fn unplaced(&self) -> u32 {
        if !self.live() || self.blocked {
            return 0;
        }
        self.spec.tasks - self.done.count() - self.tasks.len() as u32
    }

    /// Whether the job is assumed to fail on every machine, most likely because of a mistake in its submission.
    pub fn failing(&self) -> bool {
        self.consecutive_errors >= FAILING_AFTER_ERRORS
    }

    /// How many more of its tasks may be placed. Only a few tasks of a failing job are tried at a time; a gang is a
    /// single attempt as a whole and has no such limit.
    pub fn remaining_attempts(&self) -> u32 {
        match self.spec.kind {
            JobKind::Gang => u32::MAX,
            _ if !self.failing() => u32::MAX,
            _ => MAX_CONCURRENT_ATTEMPTS.saturating_sub(self.tasks.len() as u32),
        }
    }

    /// The next `n` task numbers to start, lowest first, so that the set of done tasks stays compact. Of a failing job
    /// other tasks are tried each time, since it may be that only the first ones fail.
    pub fn next_tasks(&self, n: u32) -> Vec<u32> {
        let candidates = || {
            (self.done.first_missing()..self.spec.tasks)
                .filter(|i| !self.tasks.contains_key(i) && !self.done.contains(*i))
        };
        let skipped = if self.failing() && self.gang.is_none() {
            self.consecutive_errors % self.unplaced().max(1)
        } else {
            0
        };
        candidates()
            .skip(skipped as usize)
            .chain(candidates().take(skipped as usize))
            .take(n as usize)
            .collect()
    }

    /// Returns an attempt number that was never used before.
    pub fn next_attempt_number(&mut self) -> u64 {
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        attempt
    }

    /// Number of tasks that are running and not being stopped.
    pub fn running(&self) -> u32 {
        self.tasks
            .values()
            .filter(|p| p.phase == Phase::Running && p.stop.is_none())
            .count() as u32
    }

    /// Number of its tasks in each zone.
    pub fn tasks_by_zone<'a>(
        &self,
        zone_of: impl Fn(&MachineId) -> Option<&'a str>,
    ) -> BTreeMap<String, u32> {
        let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
        for p in self.tasks.values() {
            if let Some(z) = zone_of(&p.machine) {
                *zones.entry(z).or_insert(0) += 1;
            }
        }
        zones.into_iter().map(|(z, n)| (z.to_owned(), n)).collect()
    }

    /// The record to be stored.
    pub fn to_record(&self) -> WorkRecord {
        let mut placed: BTreeMap<MachineId, TaskRuns> = BTreeMap::new();
        for (i, p) in &self.tasks {
            let runs = placed.entry(p.machine.clone()).or_default();
            match runs.last_mut() {
                Some(run) if run.end == *i && run.attempt == p.attempt => run.end = i + 1,
                _ => runs.push(TaskRun::new(*i, i + 1, p.attempt)),
            }
        }
        let attempts = self.gang.iter().flat_map(Gang::charged_attempts);
        WorkRecord {
            team: self.spec.team.clone(),
            task_resources: self.spec.task_resources,
            epoch: self.gang.as_ref().map_or(0, |g| g.epoch),
            draining: self.gang.as_ref().is_some_and(|g| g.draining),
            attempts: attempts.collect(),
            next_attempt: self.next_attempt,
            done: self.done.clone(),
            placed,
            failures: if self.gang.is_some() {
                self.backoffs
            } else {
                self.consecutive_errors
            },
        }
    }

    /// Takes over what a former holder recorded. Every task with a recorded placement may be on its machine.
    pub fn adopt(&mut self, record: WorkRecord, version: u64, parts_end: u32, now: Micros) {
        self.record = RecordState {
            version: Some(version),
            parts_end,
            ..Default::default()
        };
        self.next_attempt = record.next_attempt;
        self.done = record.done;
        match self.gang {
            Some(_) => self.backoffs = record.failures,
            None => self.consecutive_errors = record.failures,
        }
        for (machine, runs) in record.placed {
            for run in runs {
                for index in run.start..run.end.min(self.spec.tasks) {
                    let placement = Placement::adopted(machine.clone(), run.attempt, now);
                    self.tasks.insert(index, placement);
                }
            }
        }
        if let Some(g) = &mut self.gang {
            g.epoch = record.epoch.max(1);
            for (i, a) in record.attempts {
                if let Some(used) = g.attempts.get_mut(i as usize) {
                    *used = a;
                }
            }
            g.draining = record.draining;
            for i in self.tasks.keys() {
                g.members[*i as usize] = if record.draining {
                    Member::Preempting
                } else {
                    Member::Pending
                };
            }
        }
    }
}
