//! A shard's writes to the key-value store, and the effects of their outcomes.

use super::{
    info, machine_key, Context, Ending, Job, JobId, JobKind, JobSpec, Layout, MachineId,
    MachineRecord, Micros, Phase, Priority, Shard, Stop, StopReason, WorkRecord, Write,
    INSPECTION_INTERVAL, RELEASE_TIMEOUT, RESULTS_INTERVAL,
};
use crate::record::{encode, EncodedRecord};
use serde_json::Value;

/// A write, or the read before it, that the engine should make for a shard.
#[derive(Clone, Debug)]
pub enum ShardWrite {
    /// A job's work record.
    Record {
        /// The job.
        job: JobId,
        /// Version of the job's own record.
        job_version: u64,
        /// The record generation that it stores.
        generation: u64,
        /// The stored version that it replaces.
        version: u64,
        /// The encoded record.
        record: Box<EncodedRecord>,
        /// Parts to change, by number: the new value, or none to remove the part.
        changes: Vec<(u32, Option<Value>)>,
        /// No part with this number or a higher one is stored after the write.
        parts_end: u32,
    },
    /// The end of a job whose tasks are all done.
    End {
        /// The job.
        job: JobId,
        /// Version of the job's own record.
        job_version: u64,
        /// Version of its work record, 0 if there is none.
        record_version: u64,
        /// No part with this number or a higher one is stored.
        parts_end: u32,
        /// Number of its tasks.
        tasks: u32,
    },
    /// Removal of the work record of a job that has ended.
    DropRecord {
        /// The job.
        job: JobId,
        /// The stored version that is removed.
        version: u64,
        /// No part with this number or a higher one is stored.
        parts_end: u32,
    },
    /// A read of a work record whose version is not known.
    Read {
        /// The job.
        job: JobId,
    },
    /// A machine's record: rewritten to raise its fencing token, or unassigned to decommission the machine.
    Machine {
        /// The machine.
        machine: MachineId,
        /// The stored version that it replaces.
        version: u64,
        /// The new record.
        record: MachineRecord,
    },
}

/// Outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Applied, at this version. For a read: the version found, 0 if no record is stored.
    Done(u64),
    /// Not applied, and never will be.
    Refused,
    /// Unknown: it may still be applied, or the stored version was not the expected one.
    Unknown,
}

impl Shard {
    /// How many jobs wait for a write: the demand by which controllers divide the store's write rate.
    pub fn pending_write_count(&self) -> usize {
        self.jobs
            .values()
            .filter(|job| blocks_progress(job))
            .count()
    }

    /// Up to `budget` writes that are due now. Writes of machine records come first; those of jobs follow, with the
    /// ones on which task starts or the end of a job depend before the others, then by priority and by the time since
    /// the job's last write. The engine makes them under this shard's claim and passes their outcomes to
    /// [`Shard::apply_write_outcome`].
    pub fn due_writes(&mut self, now: Micros, budget: usize, layout: &Layout) -> Vec<ShardWrite> {
        let mut writes = Vec::new();
        self.machine_writes(now, budget.div_ceil(2), &mut writes);
        for id in self.due_records(now) {
            if writes.len() >= budget {
                break;
            }
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.record.in_flight = true;
            job.record.last_request_at = now;
            match next_write(job, layout) {
                Some(write) => writes.push(write),
                // The record does not fit, since a former holder wrote it for a store that accepted more. No task of
                // the job is placed until enough of its tasks are gone; the stored record names all that still are.
                None => job.record.in_flight = false,
            }
        }
        writes
    }

    /// Adds the due writes of machine records, which raise tokens or decommission machines. `limit` leaves room for the
    /// writes that tasks wait for before they start.
    fn machine_writes(&mut self, now: Micros, limit: usize, writes: &mut Vec<ShardWrite>) {
        let search = now >= self.machine_writes_next;
        self.count_work(if search { self.machines.len() } else { 0 } + self.jobs.len());
        for (id, m) in self.machines.iter_mut().filter(|_| search) {
            if writes.len() >= limit {
                break;
            }
            if m.lifecycle.write_in_flight || m.record.shard.is_none() {
                continue;
            }
            let mut record = m.record.clone();
            let unsettled =
                m.fencing.direct_command.as_ref().is_some_and(|d| {
                    d.unknown && d.fencing_token >= m.ownership_token(self.version)
                });
            let unsettled = unsettled || m.fencing.token_raise_due;
            // Released, but not taken by the leader in time: rewriting the record makes a late assignment by the leader
            // fail.
            let release_timed_out = m
                .lifecycle
                .released_since
                .is_some_and(|t| now - t > RELEASE_TIMEOUT);
            if m.lifecycle.condemned {
                record.shard = None;
            } else if !unsettled && !release_timed_out {
                continue;
            }
            m.lifecycle.write_in_flight = true;
            m.lifecycle.decommission_pending |= record.shard.is_none();
            writes.push(ShardWrite::Machine {
                machine: id.clone(),
                version: m.version,
                record,
            });
        }
        if search && writes.is_empty() {
            self.machine_writes_next = now + INSPECTION_INTERVAL;
        }
    }

    /// Jobs whose records are due, in the order in which they are to be written.
    fn due_records(&self, now: Micros) -> Vec<JobId> {
        let mut due: Vec<DueRecord> = self
            .jobs
            .iter()
            .filter(|(_, job)| record_due(job, now))
            .map(|(id, job)| DueRecord {
                blocks_nothing: !blocks_progress(job),
                priority: job.spec.priority,
                last_request_at: job.record.last_request_at,
                id: id.clone(),
            })
            .collect();
        due.sort();
        due.into_iter().map(|record| record.id).collect()
    }

    fn machine_written(
        &mut self,
        machine: &MachineId,
        record: &MachineRecord,
        outcome: WriteOutcome,
    ) {
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        m.lifecycle.write_in_flight = false;
        // A decommissioning with an unknown outcome may be applied late, when the machine is long back in use:
        // rewriting the record makes that fail.
        m.fencing.token_raise_due |= record.shard.is_none() && outcome == WriteOutcome::Unknown;
        m.lifecycle.decommission_pending &=
            outcome != WriteOutcome::Refused || m.fencing.token_raise_due;
        if let WriteOutcome::Done(v) = outcome {
            m.version = m.version.max(v);
            m.fencing.token_raise_due = false;
            m.lifecycle.decommission_pending = false;
            m.lifecycle.released_since = None;
            m.lifecycle.draining_since = None;
            m.record = record.clone();
        }
    }

    /// Applies the outcome of a write.
    pub fn apply_write_outcome(
        &mut self,
        context: &mut Context,
        write: &ShardWrite,
        outcome: WriteOutcome,
    ) {
        let id = match write {
            ShardWrite::Machine {
                machine, record, ..
            } => return self.machine_written(machine, record, outcome),
            ShardWrite::Record { job, .. }
            | ShardWrite::End { job, .. }
            | ShardWrite::DropRecord { job, .. }
            | ShardWrite::Read { job } => job,
        };
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.record.in_flight = false;
        match outcome {
            WriteOutcome::Refused => {}
            WriteOutcome::Unknown => write_outcome_unknown(job, write),
            WriteOutcome::Done(version) => {
                let ordered = write_applied(job, write, version, context.now);
                self.direct_start_candidates.extend(ordered);
                self.drop_if_finished(context, id);
            }
        }
    }
}

/// A record that is due. The derived order compares the fields in sequence.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DueRecord {
    /// Neither task starts nor the end of the job depends on this write.
    blocks_nothing: bool,
    priority: Priority,
    last_request_at: Micros,
    id: JobId,
}

/// Whether task starts or the end of the job depend on its next write.
fn blocks_progress(job: &Job) -> bool {
    job.record.blocks_starts() || job.ending == Some(Ending::Completing)
}

/// Whether a job's record is due to be written. Results alone are recorded at intervals; until then the agents keep
/// them.
fn record_due(job: &Job, now: Micros) -> bool {
    if job.record.in_flight {
        return false;
    }
    match job.ending {
        Some(Ending::Completing) => true,
        Some(_) => job.tasks.is_empty() && job.record.version != Some(0),
        None => {
            let interval_passed = now - job.record.last_request_at >= RESULTS_INTERVAL;
            job.record.dirty() && (job.record.blocks_starts() || interval_passed)
        }
    }
}

/// Handles an unknown outcome: the stored version must be read before the next write.
fn write_outcome_unknown(job: &mut Job, write: &ShardWrite) {
    job.record.version = None;
    job.record.parts = None;
    if let ShardWrite::Record { record, .. } = write {
        job.record.parts_end = job.record.parts_end.max(record.parts.len() as u32);
    }
}

/// Handles a write that was applied at `version`. Returns the machines on which tasks may now be ordered to start.
fn write_applied(job: &mut Job, write: &ShardWrite, version: u64, now: Micros) -> Vec<MachineId> {
    match write {
        ShardWrite::Record {
            generation,
            record,
            parts_end,
            ..
        } => {
            job.record.version = Some(version);
            job.record.parts = Some(record.parts.clone());
            job.record.parts_end = *parts_end;
            job.record.boundaries.clone_from(&record.boundaries);
            job.record.written_generation = job.record.written_generation.max(*generation);
            return order_recorded_tasks(job, *generation, now);
        }
        ShardWrite::End { .. } => {
            info!(job = %job.spec.id, "job recorded as done");
            job.ending = Some(Ending::Done);
            job.record.version = Some(0);
            job.record.parts_end = 0;
            stop_remaining_tasks(job, now);
        }
        ShardWrite::DropRecord { .. } => job.record.version = Some(0),
        ShardWrite::Read { .. } => job.record.version = Some(version),
        ShardWrite::Machine { .. } => {}
    }
    Vec::new()
}

/// Marks the tasks whose placements are recorded as ready to be ordered. Returns their machines.
fn order_recorded_tasks(job: &mut Job, generation: u64, now: Micros) -> Vec<MachineId> {
    let mut machines = Vec::new();
    for (index, p) in &mut job.tasks {
        if p.phase != Phase::Recording || p.generation > generation {
            continue;
        }
        p.phase = Phase::Ordered;
        p.since = now;
        machines.push(p.machine.clone());
        if let Some(gang) = &mut job.gang {
            gang.mark_pending(*index);
        }
    }
    machines
}

/// The next write for a job. None if its record does not fit into the store.
fn next_write(job: &mut Job, layout: &Layout) -> Option<ShardWrite> {
    let (id, parts_end) = (job.spec.id.clone(), job.record.parts_end);
    Some(match (job.record.version, job.ending) {
        (None, _) => ShardWrite::Read { job: id },
        (Some(record_version), Some(Ending::Completing)) => ShardWrite::End {
            job: id,
            job_version: job.version,
            record_version,
            parts_end,
            tasks: job.spec.tasks,
        },
        (Some(version), Some(_)) => ShardWrite::DropRecord {
            job: id,
            version,
            parts_end,
        },
        (Some(version), None) => record_write(job, version, layout)?,
    })
}

/// The write of a job's current record. Only parts that differ from the stored ones are written. None if the record
/// does not fit into the store.
fn record_write(job: &mut Job, version: u64, layout: &Layout) -> Option<ShardWrite> {
    let record = encode(&job.to_record(), layout, &job.record.boundaries)?;
    let stored = job.record.parts.as_deref().unwrap_or_default();
    let mut changes = Vec::new();
    for (number, part) in record.parts.iter().enumerate() {
        if stored.get(number) != Some(part) {
            changes.push((number as u32, Some(part.clone())));
        }
    }
    // Surplus parts are removed from the highest number down, as many as one transaction takes.
    let surplus = (record.parts.len() as u32..job.record.parts_end).rev();
    let removed: Vec<u32> = surplus
        .take(layout.parts.max(1).saturating_sub(changes.len()))
        .collect();
    let parts_end = removed
        .last()
        .copied()
        .unwrap_or(job.record.parts_end.max(record.parts.len() as u32));
    changes.extend(removed.into_iter().map(|number| (number, None)));
    let (generation, job_version) = (job.record.generation, job.version);
    Some(ShardWrite::Record {
        job: job.spec.id.clone(),
        job_version,
        generation,
        version,
        record: Box::new(record),
        changes,
        parts_end,
    })
}

/// Stops the tasks that are left of a job that is done. There are hardly ever any, since the members of a gang complete
/// together.
pub(super) fn stop_remaining_tasks(job: &mut Job, now: Micros) {
    for p in job.tasks.values_mut() {
        p.stop = Some(Stop::immediate(StopReason::Cancelled, now));
    }
}

/// The spec of an ended job as far as its work record shows it: enough to stop its tasks and remove the record.
pub(super) fn spec_of_ended_job(id: &JobId, record: &WorkRecord) -> JobSpec {
    let placed = record
        .placed
        .values()
        .flatten()
        .map(|run| run.end)
        .max()
        .unwrap_or(0);
    JobSpec {
        id: id.clone(),
        class: String::new(),
        team: record.team.clone(),
        kind: JobKind::Array,
        priority: Priority::BestEffort,
        tasks: placed,
        task_resources: record.task_resources,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        image: String::new(),
        image_mb: 0,
        estimate: Micros::ZERO,
        checkpoint_interval: Micros::ZERO,
        checkpoint_time: Micros::ZERO,
        deadline: None,
        submitted: Micros::ZERO,
        dependencies: Vec::new(),
        dependency_parts: 0,
    }
}

/// The write of a machine's record.
pub fn machine_write(machine: &MachineId, record: &MachineRecord) -> Write {
    Write::Put {
        key: machine_key(machine),
        value: serde_json::to_value(record).unwrap_or_default(),
        lease: None,
    }
}
