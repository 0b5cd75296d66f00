//! Size of work records before they are written: how many tasks of a job may be placed so that the store is certain to
//! accept its record.
//!
//! Tasks of arrays and services need not be placed all at once. What is placed is counted as it is written, in runs of
//! tasks on a machine; what is not yet placed is counted as if each task had a machine of its own. A gang is placed as a
//! whole, and is counted once its machines are chosen, with one run for each.

use crate::job::Job;
use crate::record::Layout;
use crate::types::{JobSpec, MachineId};
use std::collections::BTreeSet;

/// Bytes of a record's fixed fields, without the name of the team.
const RECORD_FIXED_BYTES: usize = 200;
/// Bytes of the punctuation of a run of tasks in a record.
const RUN_PUNCTUATION_BYTES: usize = 5;
/// Bytes of the punctuation of a machine's entry in a record.
const MACHINE_PUNCTUATION_BYTES: usize = 6;
/// Bytes that are assumed for the longest name of a machine, unless a longer one is in use.
const MIN_MACHINE_NAME_BYTES: usize = 12;
/// Epoch that a gang is assumed not to exceed when it is submitted.
const MAX_EXPECTED_EPOCH: u64 = 99_999;

/// Maximum sizes of the entries of a job's record.
#[derive(Clone, Copy)]
struct EntrySizes {
    /// Bytes of a run of tasks.
    run: usize,
}

impl EntrySizes {
    /// The sizes for a job with this many tasks and for attempt numbers up to `attempt`.
    fn new(tasks: u32, attempt: u64) -> EntrySizes {
        let digits = |n: u64| n.checked_ilog10().unwrap_or(0) as usize + 1;
        EntrySizes {
            run: RUN_PUNCTUATION_BYTES + 2 * digits(u64::from(tasks)) + digits(attempt),
        }
    }

    fn of(job: &Job) -> EntrySizes {
        let epoch = job.gang.as_ref().map_or(0, |gang| gang.epoch);
        EntrySizes::new(job.spec.tasks, job.next_attempt.max(epoch) + 1)
    }

    /// Bytes of a machine with one run of tasks.
    fn machine(self, name_bytes: usize) -> usize {
        self.run + name_bytes + MACHINE_PUNCTUATION_BYTES
    }

    /// The same for the longest name that is expected.
    fn expected_machine(self) -> usize {
        self.machine(MIN_MACHINE_NAME_BYTES)
    }
}

impl Job {
    /// How many more tasks of an array or a service may be placed before the record could outgrow what the store
    /// accepts.
    pub fn record_headroom(&self, layout: &Layout) -> u32 {
        let sizes = EntrySizes::of(self);
        let names = self.tasks.values().map(|p| p.machine.as_str().len());
        let longest_name = names.fold(MIN_MACHINE_NAME_BYTES, usize::max);
        let capacity = whole_list_capacity(&self.spec, layout).max(layout.parts_capacity());
        let free = capacity.saturating_sub(self.list_bytes(sizes));
        (free / sizes.machine(longest_name)) as u32
    }

    /// Whether the record of a gang fits into the store once its members are placed on these machines, each of which may
    /// occur repeatedly.
    pub fn gang_fits_record<'a>(
        &self,
        layout: &Layout,
        machines: impl Iterator<Item = &'a MachineId>,
    ) -> bool {
        let sizes = EntrySizes::of(self);
        let distinct: BTreeSet<&MachineId> = machines.collect();
        let names = distinct.into_iter().map(|machine| machine.as_str().len());
        let placed: usize = names.map(|bytes| sizes.machine(bytes)).sum();
        self.list_bytes(sizes) + placed <= gang_list_capacity(&self.spec, layout, sizes)
    }

    /// Whether the record of a gang fits into the store on whichever of this many machines it is placed.
    pub fn gang_fits_record_anywhere(&self, layout: &Layout, machines: usize) -> bool {
        let sizes = EntrySizes::of(self);
        let placed = machines.min(self.spec.tasks as usize) * sizes.expected_machine();
        self.list_bytes(sizes) + placed <= gang_list_capacity(&self.spec, layout, sizes)
    }

    /// Maximum number of bytes that the entries of the record's lists take now.
    fn list_bytes(&self, sizes: EntrySizes) -> usize {
        let mut bytes = self.done.range_count() * (sizes.run + 1);
        if let Some(gang) = &self.gang {
            bytes += gang.charged_attempts().count() * sizes.run;
        }
        let mut run_end: Option<(&MachineId, u32, u64)> = None;
        for (index, p) in &self.tasks {
            if run_end != Some((&p.machine, *index, p.attempt)) {
                bytes += sizes.machine(p.machine.as_str().len());
            }
            run_end = Some((&p.machine, *index + 1, p.attempt));
        }
        bytes
    }
}

/// Maximum number of machines that a gang may be placed on for the store to accept its record.
pub fn max_gang_machines(spec: &JobSpec, layout: &Layout) -> usize {
    let sizes = EntrySizes::new(spec.tasks, MAX_EXPECTED_EPOCH);
    gang_list_capacity(spec, layout, sizes) / sizes.expected_machine()
}

/// Bytes that a record in one value has for the entries of its lists.
fn whole_list_capacity(spec: &JobSpec, layout: &Layout) -> usize {
    let fixed_bytes = RECORD_FIXED_BYTES + spec.team.len();
    layout.value_bytes.saturating_sub(fixed_bytes)
}

/// Bytes that the record of a gang has for the entries of its lists when the gang is placed.
fn gang_list_capacity(spec: &JobSpec, layout: &Layout, sizes: EntrySizes) -> usize {
    whole_list_capacity(spec, layout).max(layout.gang_capacity(sizes.expected_machine()))
}
