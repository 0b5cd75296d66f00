//! A shard as its one holder runs it: jobs of its teams on its machines.
//!
//! Order of things, always: decide → record → order → evidence → record → forget.

use crate::gang::{Member, Verdict};
use crate::job::{Cause, Ending, Job, Phase, Placement, Stop};
use crate::machine::{machine_key, DirectCommand, Machine, MachineRecord};
use crate::port::{
    CallId, DirectOutcome, Effect, Exit, Heartbeat, Order, ResourceRequest, TaskState, TaskStatus,
    Write,
};
use crate::quota::Quota;
use crate::record::{Layout, WorkRecord};
use crate::types::{
    JobId, JobKind, JobSpec, MachineId, MachineType, Micros, Priority, Resources, Settings, TaskKey,
};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tracing::{debug, info, warn};

mod direct_commands;
mod drain;
mod failure_detection;
mod heartbeats;
mod inspection;
mod machine_views;
mod orders;
mod records;
mod task_removal;

pub use heartbeats::StatusSource;
pub use records::{machine_write, ShardWrite, WriteOutcome};
use records::{spec_of_ended_job, stop_rest};

/// How far a shard that was claimed has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardPhase {
    /// Claimed, but the view of cancellations is not known to be as new as the claim.
    Verifying,
    /// Reading the former holder's records.
    Loading,
    /// Its jobs are placed.
    Ready,
}

/// What a shard needs of the engine in a step.
pub struct Context<'a> {
    /// Settings.
    pub settings: &'a Settings,
    /// Now, by the steady clock.
    pub now: Micros,
    /// Time of day, only for order and deadlines of jobs.
    pub wall_time: Micros,
    /// Machine types on offer.
    pub types: &'a [MachineType],
    /// Effects of this step.
    pub effects: &'a mut Vec<Effect>,
    /// The name of the next call.
    pub calls: &'a mut CallId,
    /// The claim was proven recently enough to answer reports and to send commands.
    pub lease_valid: bool,
    /// How records may be laid out now.
    pub layout: Layout,
}

/// Why a task is known to be gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removal {
    /// Its worker showed it exited.
    Exited(Exit),
    /// Its order never reached the worker, or its machine is gone.
    Lost,
}

/// A former holder's record as it was read.
pub struct StoredRecord {
    /// The record.
    pub record: WorkRecord,
    /// Version of the record's own key.
    pub version: u64,
    /// No part with this number or a higher one is stored.
    pub parts_end: u32,
}

/// A shard in the hand of its one holder.
pub struct Shard {
    /// Its number.
    pub index: usize,
    /// Version of the claim.
    pub version: u64,
    /// When it was claimed.
    pub claimed_at: Micros,
    /// How far it has come.
    pub phase: ShardPhase,
    /// Its jobs.
    pub jobs: BTreeMap<JobId, Job>,
    /// Its machines.
    pub machines: BTreeMap<MachineId, Machine>,
    /// What its teams' tasks take.
    pub quota: Quota,
    /// What found no room in the last round.
    pub requests: Vec<ResourceRequest>,
    /// Whether anything has changed since the last round.
    pub dirty: bool,
    /// When the last round was.
    pub last_cycle: Micros,
    /// What the last round looked at: the next one rests in proportion.
    pub last_cycle_cost: i64,
    /// What was looked at in all: machines, tasks and entries of lists, for the tests that bound it.
    pub work_done: Cell<i64>,
    /// Machines that the last round held for gangs.
    pub(crate) gang_reservations: BTreeSet<MachineId>,
    inspection_next: Micros,
    /// Machines where tasks may wait for a direct start.
    unsent: BTreeSet<MachineId>,
    /// When machines are looked through again for what must be written of them.
    machine_writes_next: Micros,
}

/// How long a machine stays released without the leader taking it.
const RELEASE_TIMEOUT: Micros = Micros::from_secs(5);

/// How often machines are looked through for what time alone has changed.
const INSPECTION_INTERVAL: Micros = Micros::from_millis(100);

/// How often a job's record is written for the sake of results alone.
const RESULTS_INTERVAL: Micros = Micros::from_secs(1);

/// Prefix of the work records of a shard.
pub fn work_prefix(shard: usize) -> String {
    format!("work/{shard}/")
}

/// Key of a job's work record.
pub fn work_key(shard: usize, job: &JobId) -> String {
    format!("work/{shard}/{job}")
}

impl Shard {
    /// A shard that has just been claimed.
    pub fn new(index: usize, version: u64, now: Micros) -> Shard {
        Shard {
            index,
            version,
            claimed_at: now,
            phase: ShardPhase::Verifying,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            quota: Quota::default(),
            requests: Vec::new(),
            dirty: true,
            last_cycle: Micros::ZERO,
            last_cycle_cost: 0,
            work_done: Cell::new(0),
            gang_reservations: BTreeSet::new(),
            inspection_next: Micros::ZERO,
            unsent: BTreeSet::new(),
            machine_writes_next: Micros::ZERO,
        }
    }

    // ---- jobs ----------------------------------------------------------------------------

    /// Takes in a live job, unless it is known.
    pub fn add_job(&mut self, spec: Rc<JobSpec>, version: u64, now: Micros) {
        let id = spec.id.clone();
        self.jobs
            .entry(id)
            .or_insert_with(|| Job::new(spec, version, now));
        self.dirty = true;
    }

    /// Whether a job waits for others to be done, and what it asks for as things stand: how important it is and
    /// until when it must be done also follow from the jobs that need it.
    pub fn update_dependencies(
        &mut self,
        id: &JobId,
        spec: Rc<JobSpec>,
        blocked: bool,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.blocked && !blocked {
            job.waiting_since = now;
        }
        (job.spec, job.blocked) = (spec, blocked);
        self.dirty = true;
    }

    /// Takes over a record of the former holder's. A job that has ended since (it is missing from
    /// the view of live jobs, which is newer than the claim) is only cleared away.
    pub fn adopt_record(
        &mut self,
        id: JobId,
        live: Option<(Rc<JobSpec>, u64)>,
        stored: StoredRecord,
        now: Micros,
    ) {
        let ended = live.is_none();
        let StoredRecord {
            record,
            version,
            parts_end,
        } = stored;
        let (spec, job_version) =
            live.unwrap_or_else(|| (Rc::new(spec_of_ended_job(&id, &record)), 0));
        let mut job = Job::new(spec, job_version, now);
        job.adopt(record, version, parts_end, now);
        if job.failing() {
            job.paused_until = now + task_removal::pause_after(job.consecutive_errors);
        }
        if ended {
            job.ending = Some(Ending::Cancelled);
        } else if job.done.count() == job.spec.tasks {
            job.ending = Some(Ending::Completing);
        }
        for (i, p) in &mut job.tasks {
            self.quota.take(&job.spec.team, job.spec.task_resources);
            if ended {
                p.stop = Some(Stop::immediate(Cause::Cancelled, now));
            }
            if let Some(m) = self.machines.get_mut(&p.machine) {
                m.used.add(job.spec.task_resources);
                m.image_cache.fetches_changed = true;
                m.tasks.insert(TaskKey {
                    job: id.clone(),
                    index: *i,
                });
            }
        }
        self.jobs.insert(id, job);
        self.dirty = true;
    }

    /// A record of the former holder's that cannot be read. What it started may run anywhere: until a whole lease
    /// after its last answer nothing of the job is started, and what machines show of it is stopped.
    pub fn hold_unreadable(&mut self, id: &JobId, until: Micros) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.paused_until = until;
            job.record.version = None;
            job.record.touch();
        }
    }

    /// Machines that records name and this shard does not have.
    pub fn placed_elsewhere(&self) -> BTreeSet<MachineId> {
        let named = self
            .jobs
            .values()
            .flat_map(|j| j.tasks.values().map(|p| &p.machine));
        named
            .filter(|id| !self.machines.contains_key(*id))
            .cloned()
            .collect()
    }

    /// After all records are read: what stands on machines that no longer exist is gone.
    pub fn loaded(&mut self, context: &mut Context) {
        self.phase = ShardPhase::Ready;
        let lost: Vec<TaskKey> = self
            .jobs
            .iter()
            .flat_map(|(id, j)| {
                j.tasks
                    .iter()
                    .filter(|(_, p)| !self.machines.contains_key(&p.machine))
                    .map(|(i, _)| TaskKey {
                        job: id.clone(),
                        index: *i,
                    })
            })
            .collect();
        for t in lost {
            self.remove_task(context, &t, Removal::Lost);
        }
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.settle_job(context, &id);
        }
        info!(
            shard = self.index,
            jobs = self.jobs.len(),
            machines = self.machines.len(),
            "shard ready"
        );
    }

    /// `job/<id>` is gone from the store: the job has ended, by us or by its user.
    pub fn job_ended(&mut self, context: &mut Context, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        match job.ending {
            // Whatever became of our own unanswered write, all tasks are done.
            Some(Ending::Completing) => {
                job.ending = Some(Ending::Done);
                stop_rest(job, context.now);
            }
            Some(_) => return,
            None => {
                info!(job = %id, "job cancelled; stopping its tasks");
                job.ending = Some(Ending::Cancelled);
                let mut never_sent = Vec::new();
                for (i, p) in &mut job.tasks {
                    if p.phase == Phase::Recording {
                        never_sent.push(TaskKey {
                            job: id.clone(),
                            index: *i,
                        });
                    }
                    p.stop = Some(Stop::immediate(Cause::Cancelled, context.now));
                }
                for t in never_sent {
                    self.remove_task(context, &t, Removal::Lost);
                }
            }
        }
        self.settle_job(context, id);
        self.dirty = true;
    }

    /// Drops a job that has ended once nothing of it is left, record included.
    fn settle_job(&mut self, context: &mut Context, id: &JobId) {
        self.check_gang(context, id);
        let Some(job) = self.jobs.get(id) else { return };
        let over = matches!(job.ending, Some(Ending::Done | Ending::Cancelled));
        if over && job.tasks.is_empty() && job.record.version == Some(0) && !job.record.in_flight {
            self.jobs.remove(id);
        }
    }

    // ---- machines ------------------------------------------------------------------------

    /// Takes in a machine, or what has changed in its record.
    pub fn add_machine(
        &mut self,
        id: MachineId,
        record: MachineRecord,
        version: u64,
        size: Resources,
        now: Micros,
    ) {
        match self.machines.get_mut(&id) {
            Some(m) => {
                if version > m.version {
                    m.version = version;
                    // Kept or given back by the leader, or fenced anew by ourselves.
                    m.lifecycle.released_since = None;
                    m.lifecycle.draining_since = None;
                }
                // The engine's view may be behind what we wrote ourselves: one that we gave up a moment ago
                // would be used again.
                if version >= m.version {
                    m.record = record;
                }
                m.size = size;
            }
            None => {
                let mut m = Machine::new(id.clone(), record, version, size, now);
                for (job, j) in &self.jobs {
                    for (i, _) in j.tasks.iter().filter(|(_, p)| p.machine == id) {
                        m.used.add(j.spec.task_resources);
                        m.tasks.insert(TaskKey {
                            job: job.clone(),
                            index: *i,
                        });
                    }
                }
                self.unsent.insert(id.clone());
                self.machines.insert(id, m);
            }
        }
        self.dirty = true;
    }

    /// The machine's record says that it is another shard's or is being returned.
    pub fn machine_moved(&mut self, id: &MachineId, record: MachineRecord, version: u64) {
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        if m.tasks.is_empty() && m.fencing.direct_command.is_none() {
            self.machines.remove(id);
        } else {
            // Being returned with tasks on it: they are gone when the record is, or their lease.
            m.record = MachineRecord {
                shard: None,
                ..record
            };
            m.version = version;
        }
        self.dirty = true;
    }

    /// The cloud has answered that it is deleted, so everything on it is gone.
    pub fn machine_deleted(&mut self, context: &mut Context, id: &MachineId) {
        let Some(m) = self.machines.remove(id) else {
            return;
        };
        info!(machine = %id, tasks = m.tasks.len(), "machine deleted");
        for t in m.tasks {
            self.remove_task(context, &t, Removal::Lost);
        }
        self.dirty = true;
    }

    pub(crate) fn count_work(&self, items: usize) {
        self.work_done.set(self.work_done.get() + items as i64);
    }
}
