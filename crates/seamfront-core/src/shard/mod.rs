//! A shard as run by its holder: the jobs of its teams on its machines.
//!
//! Every task goes through the same sequence: its placement is decided and recorded, then the agent is ordered to start
//! it. When the agent's status shows that the task has exited, the result is recorded, and only then is the agent
//! ordered to forget it.

use crate::gang::{DrainOutcome, Member};
use crate::job::{Ending, Job, Phase, Placement, Stop, StopReason};
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

mod activity;
mod direct_commands;
mod drain;
mod failure_detection;
mod heartbeats;
mod inspection;
mod jobs;
mod machine_views;
mod machines;
mod orders;
mod records;
mod task_removal;

use activity::Activity;
pub use heartbeats::StatusSource;
pub use records::{machine_write, ShardWrite, WriteOutcome};
use records::{spec_of_ended_job, stop_remaining_tasks};

/// How far a claimed shard has been loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardPhase {
    /// Claimed, but the view of cancelled jobs is not known to be as recent as the claim.
    Verifying,
    /// Reading the former holder's records.
    Loading,
    /// The records are adopted, and jobs are scheduled.
    Ready,
}

/// What the engine passes to a shard in a step.
pub struct Context<'a> {
    /// Settings of the scheduler.
    pub settings: &'a Settings,
    /// Monotonic time.
    pub now: Micros,
    /// Time of day, only for the order and the deadlines of jobs.
    pub wall_time: Micros,
    /// Machine types that the cloud offers.
    pub types: &'a [MachineType],
    /// Collects the effects of this step.
    pub effects: &'a mut Vec<Effect>,
    /// The id of the next call.
    pub next_call: &'a mut CallId,
    /// The claim was verified recently enough to reply to heartbeats and to send commands.
    pub claim_verified: bool,
    /// The highest fencing token that may be given out: every later holder's is higher. 0 for none.
    pub token_limit: u64,
    /// The current layout of records.
    pub layout: Layout,
}

/// Why a task is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removal {
    /// Its agent listed it as exited.
    Exited(Exit),
    /// It is on no machine and has no known result: its order never reached the agent, or the incarnation or lease of
    /// the agent or the machine itself has ended.
    Lost,
}

/// A former holder's work record, as read from the store.
pub struct StoredRecord {
    /// The record.
    pub record: WorkRecord,
    /// Version of the record's own key.
    pub version: u64,
    /// No part with this number or a higher one is stored.
    pub parts_end: u32,
}

/// A shard as run by its holder.
pub struct Shard {
    /// Index of the shard.
    pub index: usize,
    /// Version of the claim.
    pub version: u64,
    /// When it was claimed.
    pub claimed_at: Micros,
    /// How far it has been loaded.
    pub phase: ShardPhase,
    /// Its jobs.
    pub jobs: BTreeMap<JobId, Job>,
    /// Its machines.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Resources used by its teams.
    pub quota: Quota,
    /// Capacity requested in the last scheduling cycle.
    pub requests: Vec<ResourceRequest>,
    /// Whether anything has changed since the last scheduling cycle.
    pub dirty: bool,
    /// When the last scheduling cycle ran.
    pub last_cycle: Micros,
    /// Cost of the last scheduling cycle in machines visited; the time until the next cycle grows in proportion.
    pub last_cycle_cost: i64,
    /// Total number of machines, tasks and list entries visited, for tests that bound the cost.
    pub items_examined: Cell<i64>,
    /// Machines with room reserved for gangs in the last scheduling cycle.
    pub(crate) gang_reservations: BTreeSet<MachineId>,
    /// Counts of frequent events.
    activity: Activity,
    /// When the next inspection of the machines is due.
    inspection_next: Micros,
    /// Machines on which tasks may wait for a direct start.
    direct_start_candidates: BTreeSet<MachineId>,
    /// When the machines are next searched for due writes.
    machine_writes_next: Micros,
}

/// How long a machine stays released if the leader does not assign it elsewhere.
const RELEASE_TIMEOUT: Micros = Micros::from_secs(5);

/// Interval between inspections of the machines.
const INSPECTION_INTERVAL: Micros = Micros::from_millis(100);

/// Minimum interval between writes of a job's record that hold results alone.
const RESULTS_INTERVAL: Micros = Micros::from_secs(1);

/// Key prefix of the work records of a shard.
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
            items_examined: Cell::new(0),
            gang_reservations: BTreeSet::new(),
            activity: Activity::default(),
            inspection_next: Micros::ZERO,
            direct_start_candidates: BTreeSet::new(),
            machine_writes_next: Micros::ZERO,
        }
    }

    pub(crate) fn count_work(&self, items: usize) {
        self.items_examined
            .set(self.items_examined.get() + items as i64);
    }
}
