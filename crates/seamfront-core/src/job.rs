//! A job as its shard's controller runs it, and the one record that a successor reads.

use crate::gang::{Gang, Member};
use crate::ranges::Ranges;
use crate::record::{Layout, Position, Runs, TaskRun, WorkRecord};
use crate::types::{
    queue_rank, JobKind, JobSpec, MachineId, MachineType, Micros, Priority, START_DEADLINE,
};
use serde_json::Value;
use std::collections::BTreeMap;
use std::rc::Rc;

/// From this many errors in a row on, a job is taken to fail on all machines.
pub(crate) const FAILING_AFTER_ERRORS: u32 = 3;
/// This many of such a job's tasks are tried at once.
const MAX_CONCURRENT_ATTEMPTS: u32 = 2;

/// Bytes of a record's fixed fields, besides the name of the team.
const RECORD_FIXED_BYTES: usize = 200;
/// Bytes of the punctuation of a run of tasks in a record.
const RUN_PUNCTUATION_BYTES: usize = 5;
/// Bytes of the punctuation of a machine's entry in a record.
const MACHINE_ENTRY_BYTES: usize = 6;
/// Bytes that the name of a machine is expected to take at least.
const MACHINE_NAME_BYTES: usize = 12;

/// How far a placed task has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Waits for the record that allows it. Nothing was sent.
    Recording,
    /// Recorded; an order to start may be on its way.
    Ordered,
    /// Its worker fetches the image.
    Fetching,
    /// It waits for the other members of its gang.
    Waiting,
    /// It runs.
    Running,
    /// It saves before it ends.
    Saving,
}

/// Why a task is being stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Its job was cancelled.
    Cancelled,
    /// Preempted by more important work.
    Preempted,
    /// Its machine is about to be preempted by the cloud.
    Moving,
    /// Its gang is being drained.
    Peers,
    /// It was not placed on the machine where it is.
    Unexpected,
}

/// An order to stop a task, repeated until the task has gone.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// Why.
    pub cause: Cause,
    /// Time to save.
    pub grace: Micros,
    /// Since when.
    pub since: Micros,
}

impl Stop {
    /// An order to stop a task without time to save.
    pub fn immediate(cause: Cause, now: Micros) -> Stop {
        Stop {
            cause,
            grace: Micros::ZERO,
            since: now,
        }
    }
}

/// Run times of completed tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CompletedRuns {
    /// Number of tasks.
    pub count: i64,
    /// Sum of their run times.
    pub total: Micros,
}

impl CompletedRuns {
    /// Counts the run time of a task.
    pub fn add(&mut self, ran: Micros) {
        self.count += 1;
        self.total += ran;
    }

    /// The mean run time; there must be at least one run.
    pub fn mean(&self) -> Micros {
        self.total.over(self.count)
    }
}

/// A task that is, or may be, on a machine. It holds its place, quota, zone and number until
/// evidence says that it is gone.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Where.
    pub machine: MachineId,
    /// Its attempt number.
    pub attempt: u64,
    /// How far it has come.
    pub phase: Phase,
    /// The record generation that allows it.
    pub generation: u64,
    /// Since when it has been in its place.
    pub since: Micros,
    /// The worker's session that the order was meant for.
    pub incarnation: u64,
    /// Gang members with a cached image start later, so as not to wait out `gang_wait_s`.
    pub not_before: Micros,
    /// When it was first seen to run.
    pub running_since: Option<Micros>,
    /// Set while it is being stopped.
    pub stop: Option<Stop>,
    /// Its job was starving when it was placed, see [`queue_rank`].
    pub promoted: bool,
}

impl Placement {
    /// A placement that a former holder recorded: the task may be on its machine.
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

/// Where a job's record stands. Only the holder writes it, always on the version that it knows.
#[derive(Clone, Debug, Default)]
pub struct RecordState {
    /// None: unknown since a write went unanswered; it must be read before the next.
    pub version: Option<u64>,
    /// Raised with each change that must be recorded.
    pub generation: u64,
    /// The generation that is stored.
    pub written: u64,
    /// Whether a write is under way.
    pub in_flight: bool,
    /// The generation that allows the latest placements: these wait for it.
    pub placing: u64,
    /// When it was last written or read.
    pub asked_at: Micros,
    /// The parts as they are stored, None where that is not known.
    pub parts: Option<Vec<Value>>,
    /// No part with this number or a higher one is stored.
    pub parts_end: u32,
    /// Where the parts were divided the last time.
    pub boundaries: Vec<Position>,
}

impl RecordState {
    /// Notes that something has changed; returns the generation that will hold it.
    pub fn touch(&mut self) -> u64 {
        self.generation += 1;
        self.generation
    }

    /// Tasks wait for this record before they can be started.
    pub fn blocks_starts(&self) -> bool {
        self.placing > self.written
    }

    /// Whether anything is not stored yet.
    pub fn dirty(&self) -> bool {
        self.generation > self.written
    }
}

/// How far the end of a job has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// All tasks are done, but this is not recorded yet.
    Completing,
    /// `end/` says done.
    Done,
    /// `end/` says cancelled; what is left is being stopped.
    Cancelled,
}

/// A job in its shard.
#[derive(Clone, Debug)]
pub struct Job {
    /// The job as things stand.
    pub spec: Rc<JobSpec>,
    /// Version of `job/<id>`.
    pub version: u64,
    /// None while it is live.
    pub ending: Option<Ending>,
    /// It depends on jobs that are not done: none of its tasks may be placed, and it uses no part of its team's quota
    /// or guarantee.
    pub blocked: bool,
    /// Where its record stands.
    pub record: RecordState,
    /// Attempt numbers are never used twice within a job; for gangs the epoch serves.
    pub next_attempt: u64,
    /// Tasks that are done.
    pub done: Ranges,
    /// The record generation that holds the latest `done`.
    pub done_generation: u64,
    /// Tasks that are, or may be, on a machine.
    pub tasks: BTreeMap<u32, Placement>,
    /// The drain state of a gang.
    pub gang: Option<Gang>,
    /// How often its gang has backed off.
    pub backoffs: u32,
    /// Nothing of it is placed before.
    pub paused_until: Micros,
    /// Machines that this job should not use for a while, by when.
    pub avoided_machines: BTreeMap<MachineId, Micros>,
    /// Errors in a row, each on another machine, without a completed task between them.
    pub consecutive_errors: u32,
    /// Run times of its completed tasks.
    pub completed_runs: CompletedRuns,
    /// Since when it has waited for a place.
    pub waiting_since: Micros,
}

impl Job {
    /// A job of which nothing is placed.
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
            done: Ranges::default(),
            done_generation: 0,
            tasks: BTreeMap::new(),
            gang,
            backoffs: 0,
            paused_until: Micros::ZERO,
            avoided_machines: BTreeMap::new(),
            consecutive_errors: 0,
            completed_runs: CompletedRuns::default(),
            waiting_since: now,
        }
    }

    /// Whether it is still to be run.
    pub fn live(&self) -> bool {
        self.ending.is_none()
    }

    /// None of its tasks has started, though one should soon have: see [`queue_rank`]. Half of the time that is left
    /// then is for fetching its image; a longer fetch makes it starve earlier by as much.
    pub fn starving(&self, wall_time: Micros, types: &[MachineType]) -> bool {
        let last_third = START_DEADLINE.over(3);
        let longer =
            (self.spec.fetch_at_best(types) - last_third.over(2)).clamp(Micros::ZERO, last_third);
        let waited = wall_time - self.spec.submitted;
        self.tasks.is_empty()
            && self.done.count() == 0
            && waited > START_DEADLINE - last_third - longer
    }

    /// The priority of a task to work that might preempt it. A task placed while its job was starving keeps the raised
    /// priority: if work after it in the queue could preempt it, the next cycle would place it again, and so on.
    pub fn effective_priority(&self, p: &Placement) -> Priority {
        queue_rank(self.spec.priority, p.promoted).0
    }

    /// Tasks neither done nor placed.
    pub fn unplaced(&self) -> u32 {
        if !self.live() || self.blocked {
            return 0;
        }
        self.spec.tasks - self.done.count() - self.tasks.len() as u32
    }

    /// Whether it is taken to fail on all machines: submitted with a mistake, most likely.
    pub fn failing(&self) -> bool {
        self.consecutive_errors >= FAILING_AFTER_ERRORS
    }

    /// How many more of its tasks may be placed. Of a failing job few are tried; a gang is one try as a whole.
    pub fn concurrent_attempts(&self) -> u32 {
        match self.spec.kind {
            JobKind::Gang => u32::MAX,
            _ if !self.failing() => u32::MAX,
            _ => MAX_CONCURRENT_ATTEMPTS.saturating_sub(self.tasks.len() as u32),
        }
    }

    /// The next `n` task numbers to start, lowest first, so that the done set stays compact. Of a failing job others
    /// are tried each time: only its first ones may be bad.
    pub fn next_tasks(&self, n: u32) -> Vec<u32> {
        let open = || {
            (self.done.first_missing()..self.spec.tasks)
                .filter(|i| !self.tasks.contains_key(i) && !self.done.contains(*i))
        };
        let tried_before = if self.failing() && self.gang.is_none() {
            self.consecutive_errors % self.unplaced().max(1)
        } else {
            0
        };
        open()
            .skip(tried_before as usize)
            .chain(open().take(tried_before as usize))
            .take(n as usize)
            .collect()
    }

    /// An attempt number that was never used before.
    pub fn take_attempt(&mut self) -> u64 {
        let a = self.next_attempt;
        self.next_attempt += 1;
        a
    }

    /// How many more tasks may be placed before the record could outgrow what the store accepts. Placed tasks are
    /// counted as they are written, a run on a machine at a time; tasks to come as if each had a machine of its own.
    pub fn record_headroom(&self, layout: &Layout) -> u32 {
        let run_bytes = self.run_bytes();
        let fixed_bytes = RECORD_FIXED_BYTES + self.spec.team.len();
        let mut used = self.done.range_count() * (run_bytes + 1);
        if let Some(gang) = &self.gang {
            used += gang.attempts.iter().filter(|a| **a > 0).count() * run_bytes;
        }
        let mut longest_name = MACHINE_NAME_BYTES;
        let mut run_end: Option<(&MachineId, u32, u64)> = None;
        for (index, p) in &self.tasks {
            let name = p.machine.as_str().len();
            if run_end != Some((&p.machine, *index, p.attempt)) {
                used += run_bytes + name + MACHINE_ENTRY_BYTES;
            }
            longest_name = longest_name.max(name);
            run_end = Some((&p.machine, *index + 1, p.attempt));
        }
        // Each member that is placed comes to have used an attempt.
        let attempt_bytes = if self.gang.is_some() { run_bytes } else { 0 };
        let task_bytes = run_bytes + longest_name + MACHINE_ENTRY_BYTES + attempt_bytes;
        let capacity = layout
            .value_bytes
            .saturating_sub(fixed_bytes)
            .max(layout.parts_capacity());
        (capacity.saturating_sub(used) / task_bytes) as u32
    }

    /// Most bytes that a run of tasks takes in the record.
    fn run_bytes(&self) -> usize {
        let digits = |n: u64| n.checked_ilog10().unwrap_or(0) as usize + 1;
        RUN_PUNCTUATION_BYTES
            + 2 * digits(u64::from(self.spec.tasks))
            + digits(self.next_attempt + 1)
    }

    /// Tasks that run and are not being stopped.
    pub fn running(&self) -> u32 {
        self.tasks
            .values()
            .filter(|p| p.phase == Phase::Running && p.stop.is_none())
            .count() as u32
    }

    /// Zones that its tasks take up, with how many.
    pub fn zones<'a>(
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

    /// What is to be stored of it.
    pub fn to_record(&self) -> WorkRecord {
        let mut placed: BTreeMap<MachineId, Runs> = BTreeMap::new();
        for (i, p) in &self.tasks {
            let runs = placed.entry(p.machine.clone()).or_default();
            match runs.last_mut() {
                Some(run) if run.end == *i && run.attempt == p.attempt => run.end = i + 1,
                _ => runs.push(TaskRun::new(*i, i + 1, p.attempt)),
            }
        }
        let attempts = self.gang.iter().flat_map(|g| g.attempts.iter().enumerate());
        WorkRecord {
            team: self.spec.team.clone(),
            task_resources: self.spec.task_resources,
            epoch: self.gang.as_ref().map_or(0, |g| g.epoch),
            draining: self.gang.as_ref().is_some_and(|g| g.draining),
            attempts: attempts
                .filter(|a| *a.1 > 0)
                .map(|a| (a.0 as u32, *a.1))
                .collect(),
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

    /// Takes over what the former holder recorded. Everything placed may be on its machine.
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
