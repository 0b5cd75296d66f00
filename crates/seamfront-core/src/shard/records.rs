//! What a shard has written to the state service, and what follows from the outcome.

use super::{
    info, machine_key, Cause, Context, Ending, Job, JobId, JobKind, JobSpec, Layout, MachineId,
    MachineRecord, Micros, Phase, Priority, Shard, Stop, WorkRecord, Write, INSPECTION_INTERVAL,
    RELEASE_TIMEOUT, RESULTS_INTERVAL,
};
use crate::record::{encode, EncodedRecord};
use serde_json::Value;

/// A write that the engine should make for this shard, with what it stands for.
#[derive(Clone, Debug)]
pub enum ShardWrite {
    /// A job's work record.
    Record {
        /// The job.
        job: JobId,
        /// The generation that it holds.
        generation: u64,
        /// The version that it is written on.
        version: u64,
        /// The record as it is to be stored.
        record: Box<EncodedRecord>,
        /// Parts that are to change, by number: their value, or none for those that are removed.
        changes: Vec<(u32, Option<Value>)>,
        /// No part with this number or a higher one is left afterwards.
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
        /// How many tasks it has.
        tasks: u32,
    },
    /// Removal of the work record of a job that has ended.
    DropRecord {
        /// The job.
        job: JobId,
        /// The version that is removed.
        version: u64,
        /// No part with this number or a higher one is stored.
        parts_end: u32,
    },
    /// Reading of a work record whose version is not known.
    Read {
        /// The job.
        job: JobId,
    },
    /// Raises a machine's token, or gives the machine up.
    Machine {
        /// The machine.
        machine: MachineId,
        /// The version that its record is written on.
        version: u64,
        /// The record as it is to be.
        record: MachineRecord,
    },
}

/// What became of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Applied, at this version. For a read: the version found, 0 if there is none.
    Done(u64),
    /// Not applied, and never will be.
    Refused,
    /// May be applied late, or the version was not the expected one.
    Unclear,
}

impl Shard {
    /// How many jobs wait for a write: the demand by which controllers divide what the store takes.
    pub fn pending_write_count(&self) -> usize {
        self.jobs
            .values()
            .filter(|job| blocks_progress(job))
            .count()
    }

    /// Up to `budget` writes that are due now: what somebody waits for comes first, and of that what
    /// waits for longest. The engine makes them under this shard's claim and reports back through
    /// [`Shard::written`].
    pub fn due_writes(&mut self, now: Micros, budget: usize, layout: &Layout) -> Vec<ShardWrite> {
        let mut out = Vec::new();
        self.machine_writes(now, budget.div_ceil(2), &mut out);
        for id in self.due_records(now) {
            if out.len() >= budget {
                break;
            }
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.record.in_flight = true;
            job.record.asked_at = now;
            match next_write(job, layout) {
                Some(write) => out.push(write),
                // Written by a former holder for a store that took more: nothing is placed for it until enough
                // of it has gone. The old record names all that is placed meanwhile.
                None => job.record.in_flight = false,
            }
        }
        out
    }

    /// Tokens to be raised and machines to be given up: not so many that they keep tasks from being started.
    fn machine_writes(&mut self, now: Micros, most: usize, out: &mut Vec<ShardWrite>) {
        let look = now >= self.machine_writes_next;
        self.count_work(if look { self.machines.len() } else { 0 } + self.jobs.len());
        for (id, m) in self.machines.iter_mut().filter(|_| look) {
            if out.len() >= most {
                break;
            }
            if m.lifecycle.write_in_flight || m.record.shard.is_none() {
                continue;
            }
            let mut record = m.record.clone();
            let unsettled = m
                .fencing
                .direct_command
                .as_ref()
                .is_some_and(|d| d.unknown && d.fencing_token == m.version.max(self.version));
            let unsettled = unsettled || m.fencing.token_raise_due;
            // Released and not used by the leader: rewriting the record makes a late move of its fail.
            let kept = m
                .lifecycle
                .released_since
                .is_some_and(|t| now - t > RELEASE_TIMEOUT);
            if m.lifecycle.condemned {
                record.shard = None;
            } else if !unsettled && !kept {
                continue;
            }
            m.lifecycle.write_in_flight = true;
            m.lifecycle.decommission_pending |= record.shard.is_none();
            out.push(ShardWrite::Machine {
                machine: id.clone(),
                version: m.version,
                record,
            });
        }
        if look && out.is_empty() {
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
                asked_at: job.record.asked_at,
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
        // Giving it up may be applied late, when it has long come back: rewriting the record makes that fail.
        m.fencing.token_raise_due |= record.shard.is_none() && outcome == WriteOutcome::Unclear;
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
    pub fn written(&mut self, context: &mut Context, write: &ShardWrite, outcome: WriteOutcome) {
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
            WriteOutcome::Unclear => write_unclear(job, write),
            WriteOutcome::Done(version) => {
                let ordered = write_applied(job, write, version, context.now);
                self.unsent.extend(ordered);
                self.settle_job(context, id);
            }
        }
    }
}

/// A record that is due. The fields are compared in their order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DueRecord {
    /// Neither task starts nor the end of the job depend on it.
    blocks_nothing: bool,
    priority: Priority,
    asked_at: Micros,
    id: JobId,
}

/// Whether task starts or the end of the job depend on its next write.
fn blocks_progress(job: &Job) -> bool {
    job.record.blocks_starts() || job.ending == Some(Ending::Completing)
}

/// Whether a job's record is to be written now. Results alone are recorded now and then: until then their workers
/// keep them.
fn record_due(job: &Job, now: Micros) -> bool {
    if job.record.in_flight {
        return false;
    }
    match job.ending {
        Some(Ending::Completing) => true,
        Some(_) => job.tasks.is_empty() && job.record.version != Some(0),
        None => {
            let rested = now - job.record.asked_at >= RESULTS_INTERVAL;
            job.record.dirty() && (job.record.blocks_starts() || rested)
        }
    }
}

/// A write that may or may not be applied: the version must be read before the next one.
fn write_unclear(job: &mut Job, write: &ShardWrite) {
    job.record.version = None;
    job.record.parts = None;
    if let ShardWrite::Record { record, .. } = write {
        job.record.parts_end = job.record.parts_end.max(record.parts.len() as u32);
    }
}

/// A write was applied at `version`. Returns the machines whose tasks may be ordered to start from now on.
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
            job.record.written = job.record.written.max(*generation);
            return order_recorded_tasks(job, *generation, now);
        }
        ShardWrite::End { .. } => {
            info!(job = %job.spec.id, "job recorded as done");
            job.ending = Some(Ending::Done);
            job.record.version = Some(0);
            job.record.parts_end = 0;
            stop_rest(job, now);
        }
        ShardWrite::DropRecord { .. } => job.record.version = Some(0),
        ShardWrite::Read { .. } => job.record.version = Some(version),
        ShardWrite::Machine { .. } => {}
    }
    Vec::new()
}

/// Tasks whose placements are recorded may be ordered. Returns their machines.
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

/// What is to be written of a job next, as it stands. None if its record does not fit.
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

/// The write of a job's record as it stands. Only parts that differ from what is stored are written. None if it does
/// not fit.
fn record_write(job: &mut Job, version: u64, layout: &Layout) -> Option<ShardWrite> {
    let record = encode(&job.to_record(), layout, &job.record.boundaries)?;
    let stored = job.record.parts.as_deref().unwrap_or_default();
    let mut changes = Vec::new();
    for (number, part) in record.parts.iter().enumerate() {
        if stored.get(number) != Some(part) {
            changes.push((number as u32, Some(part.clone())));
        }
    }
    // From the highest down, as far as one transaction goes.
    let superfluous = (record.parts.len() as u32..job.record.parts_end).rev();
    let removed: Vec<u32> = superfluous
        .take(layout.parts.max(1).saturating_sub(changes.len()))
        .collect();
    let parts_end = removed
        .last()
        .copied()
        .unwrap_or(job.record.parts_end.max(record.parts.len() as u32));
    changes.extend(removed.into_iter().map(|number| (number, None)));
    let (job, generation) = (job.spec.id.clone(), job.record.generation);
    Some(ShardWrite::Record {
        job,
        generation,
        version,
        record: Box::new(record),
        changes,
        parts_end,
    })
}

/// Members of a gang complete together, so there is hardly ever anything left to stop.
pub(super) fn stop_rest(job: &mut Job, now: Micros) {
    for p in job.tasks.values_mut() {
        p.stop = Some(Stop::immediate(Cause::Cancelled, now));
    }
}

/// What is known of an ended job from its work record alone, enough to clear it away.
pub(super) fn spec_of_ended_job(id: &JobId, r: &WorkRecord) -> JobSpec {
    let placed = r
        .placed
        .values()
        .flatten()
        .map(|run| run.end)
        .max()
        .unwrap_or(0);
    JobSpec {
        id: id.clone(),
        class: String::new(),
        team: r.team.clone(),
        kind: JobKind::Array,
        priority: Priority::BestEffort,
        tasks: placed,
        task_resources: r.task_resources,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        image: String::new(),
        image_mb: 0,
        estimate: Micros::ZERO,
        checkpoint: Micros::ZERO,
        save: Micros::ZERO,
        deadline: None,
        submitted: Micros::ZERO,
        dependencies: Vec::new(),
        dependency_parts: 0,
    }
}

/// The change that writes a machine's record.
pub fn machine_write(machine: &MachineId, record: &MachineRecord) -> Write {
    Write::Put {
        key: machine_key(machine),
        value: serde_json::to_value(record).unwrap_or_default(),
        lease: None,
    }
}
