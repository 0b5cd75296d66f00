//! Bin packing: chooses machines for tasks by free capacity, constraints and cost. The state of running jobs is not
//! considered here.

use crate::job::Job;
use crate::machine::Machine;
use crate::types::{JobSpec, MachineId, MachineType, Micros, Resources};
use std::cell::Cell;
use std::collections::BTreeMap;

/// Machines by name.
pub type Machines = BTreeMap<MachineId, Machine>;

/// Machines of the same type, zone and size that are all spot machines or all not. Whether a job may use them is
/// decided once for the whole group.
struct MachineGroup {
    machine_type: String,
    zone: String,
    spot: bool,
    size: Resources,
}

/// A usable machine and its free capacity in a scheduling cycle, less what the cycle has placed or reserved there.
pub struct MachineCapacity {
    /// The machine's name.
    pub id: MachineId,
    /// Index of its group.
    group: usize,
    /// Resources that are free now.
    pub free: Resources,
    /// Resources that are free once all tasks being stopped there are gone.
    pub after_preemption: Resources,
}

/// Which free capacity of a machine is considered.
#[derive(Clone, Copy, PartialEq)]
pub enum Availability {
    /// What is free now.
    Now,
    /// What is free once all tasks being stopped are gone.
    AfterPreemption,
}

/// How many of the requested tasks have to fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FillPolicy {
    /// As many as possible.
    Partial,
    /// All of them; otherwise none is placed.
    AllOrNothing,
}

/// Free capacity of all usable machines in one scheduling cycle. Machines are identified by their index in it. A search
/// first goes through this compact list and looks up only the machines with enough free capacity, since most are full.
#[derive(Default)]
pub struct FreeCapacity {
    groups: Vec<MachineGroup>,
    /// The usable machines, sorted by name.
    pub machines: Vec<MachineCapacity>,
    /// Cost of all searches so far, in machine lookups; `ENTRIES_PER_LOOKUP` list entries count as one lookup.
    pub search_cost: Cell<i64>,
}

/// Number of entries of [`FreeCapacity::machines`] that cost as much to examine as one lookup of a machine.
const ENTRIES_PER_LOOKUP: i64 = 16;

impl FreeCapacity {
    /// The free capacity of these machines, which must be sorted by name.
    pub fn of<'m>(machines: impl Iterator<Item = &'m Machine>) -> FreeCapacity {
        let mut capacity = FreeCapacity::default();
        for m in machines {
            let r = &m.record;
            let same = |g: &MachineGroup| {
                g.machine_type == r.machine_type
                    && g.zone == r.zone
                    && g.spot == r.spot
                    && g.size == m.size
            };
            let group = capacity.groups.iter().position(same).unwrap_or_else(|| {
                let (machine_type, zone) = (r.machine_type.clone(), r.zone.clone());
                capacity.groups.push(MachineGroup {
                    machine_type,
                    zone,
                    spot: r.spot,
                    size: m.size,
                });
                capacity.groups.len() - 1
            });
            capacity.machines.push(MachineCapacity {
                id: m.id.clone(),
                group,
                free: m.free(),
                after_preemption: m.free(),
            });
        }
        capacity
    }

    /// The index of a machine in `machines`.
    pub fn index_of(&self, id: &MachineId) -> Option<usize> {
        self.machines
            .binary_search_by(|machine| machine.id.cmp(id))
            .ok()
    }

    /// The zone of the machine at `index`.
    pub fn zone(&self, index: usize) -> &str {
        &self.groups[self.machines[index].group].zone
    }

    /// The total resources of the machine at `index`.
    pub fn size(&self, index: usize) -> Resources {
        self.groups[self.machines[index].group].size
    }

    /// The free capacity of the machine at `index`.
    pub fn available(&self, index: usize, availability: Availability) -> Resources {
        match availability {
            Availability::Now => self.machines[index].free,
            Availability::AfterPreemption => self.machines[index].after_preemption,
        }
    }

    /// Subtracts resources from the free capacity of the machine at `index`.
    pub fn reserve(&mut self, index: usize, task_resources: Resources) {
        self.machines[index].free.sub(task_resources);
        self.machines[index].after_preemption.sub(task_resources);
    }

    /// Adds resources that were reserved on the machine at `index` and are not used.
    pub fn release(&mut self, index: usize, task_resources: Resources) {
        self.machines[index].free.add(task_resources);
        self.machines[index].after_preemption.add(task_resources);
    }

    /// Adds the cost of a search that examined this many entries and looked up this many machines.
    fn count_work(&self, entries: usize, machines: usize) {
        self.search_cost.set(
            self.search_cost.get() + 1 + entries as i64 / ENTRIES_PER_LOOKUP + machines as i64,
        );
    }
}

/// Cost of using a spot machine where an ordinary one is preferred, or the reverse, in milliseconds. It is about as
/// much as fetching an image.
const SPOT_MISMATCH_MS: i64 = 15_000;

/// A request to place tasks of a job: which machines it may use, and how they are ranked.
pub struct PlacementRequest<'a> {
    /// The job.
    pub spec: &'a JobSpec,
    /// Machines that the job should avoid, with the time until which it should.
    pub avoid: &'a BTreeMap<MachineId, Micros>,
    /// The time of the cycle.
    pub now: Micros,
    /// Machine types on offer.
    pub types: &'a [MachineType],
    /// If set, tasks that need no accelerators may also use machines with accelerators, which
    /// [`JobSpec::accelerators_allowed`] rules out. The value is the idle time after which such a machine is terminated:
    /// one that may soon be terminated is not used, see [`Machine::accepts_cpu_only_work`].
    pub accelerator_idle_timeout: Option<Micros>,
    /// Whether only machines that have the job's image cached may be used.
    pub require_cached_image: bool,
    /// Whether machines that can take the most tasks come first, so that the tasks are placed on as few machines as
    /// possible.
    pub few_machines: bool,
}

/// Candidates in one zone.
struct ZoneCandidates<'r> {
    name: &'r str,
    /// Number of the job's tasks in the zone.
    tasks: u32,
    /// Candidates that can take more tasks, the best last.
    open: Vec<OpenCandidate>,
}

/// A candidate that can take more tasks.
struct OpenCandidate {
    /// Its position in the sorted list of all candidates.
    position: usize,
    /// Number of tasks that still fit.
    fits: u32,
}

/// A machine with enough capacity for at least one task. Candidates are ordered by cost first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    /// Lower is better, see [`PlacementRequest::cost`].
    cost: i64,
    /// The machine's index in [`FreeCapacity::machines`].
    index: usize,
    /// Number of tasks that fit.
    fits: u32,
}

/// Upper bound for the number of tasks that fit on one machine, which is unlimited for tasks that need no resources.
const MAX_TASKS_PER_MACHINE: i64 = 1 << 20;
/// Where a job is to be placed on few machines: how much each task more that fits on a machine weighs, in milliseconds.
/// It exceeds all other costs.
const FEW_MACHINES_MS: i64 = 1_000_000_000;
/// Assumed rate of image fetches on a machine of an unknown type, in MB/s.
const DEFAULT_FETCH_MB_S: i64 = 100;

impl<'a> PlacementRequest<'a> {
    /// The placement request of a job.
    pub fn of(job: &'a Job, now: Micros, types: &'a [MachineType]) -> PlacementRequest<'a> {
        PlacementRequest {
            spec: &job.spec,
            avoid: &job.avoided_machines,
            now,
            types,
            accelerator_idle_timeout: None,
            require_cached_image: false,
            few_machines: false,
        }
    }

    /// For each group: `None` if the job may not use it, else whether its machines suit the job's tasks. In a group
    /// that does not suit them, only machines that accept work without accelerators may be used.
    fn group_suitability(&self, capacity: &FreeCapacity) -> Vec<Option<bool>> {
        let suitability = |g: &MachineGroup| {
            let allowed = self.spec.allows(&g.machine_type, &g.zone, g.spot);
            let accelerators_allowed = self.spec.accelerators_allowed(g.size, self.types);
            (allowed && (accelerators_allowed || self.accelerator_idle_timeout.is_some()))
                .then_some(accelerators_allowed)
        };
        capacity.groups.iter().map(suitability).collect()
    }

    /// Whether the job may use a machine of a group that it may use; `accelerators_allowed` is the result of
    /// [`JobSpec::accelerators_allowed`] for that group.
    fn allowed(&self, m: &Machine, accelerators_allowed: bool) -> bool {
        (accelerators_allowed
            || self
                .accelerator_idle_timeout
                .is_some_and(|keep| m.accepts_cpu_only_work(self.now, keep)))
            && (!self.require_cached_image || m.image_cache.has_image(&self.spec.image))
            && self.avoid.get(&m.id).is_none_or(|until| *until <= self.now)
    }

    /// Machines that the job may use and that pass `filter`, with their index.
    pub fn eligible_machines<'m>(
        &self,
        machines: &'m Machines,
        capacity: &FreeCapacity,
        filter: impl Fn(usize, &MachineCapacity) -> bool,
    ) -> Vec<(usize, &'m Machine)> {
        let groups = self.group_suitability(capacity);
        let entries = capacity
            .machines
            .iter()
            .enumerate()
            .filter(|(index, entry)| groups[entry.group].is_some() && filter(*index, entry));
        let found = entries.filter_map(|(index, entry)| {
            Some((index, machines.get(&entry.id)?, groups[entry.group]?))
        });
        let mut lookups = 0;
        let found = found
            .inspect(|_| lookups += 1)
            .filter(|(_, m, accelerators_allowed)| self.allowed(m, *accelerators_allowed));
        let found = found.map(|(index, m, _)| (index, m)).collect();
        capacity.count_work(capacity.machines.len(), lookups);
        found
    }

    /// Number of tasks that the machines of each zone could hold if they were empty.
    pub fn max_tasks_by_zone<'r>(&self, capacity: &'r FreeCapacity) -> BTreeMap<&'r str, i64> {
        let groups = self.group_suitability(capacity);
        let mut max_tasks = BTreeMap::new();
        for entry in capacity
            .machines
            .iter()
            .filter(|entry| groups[entry.group].is_some())
        {
            let g = &capacity.groups[entry.group];
            *max_tasks.entry(g.zone.as_str()).or_insert(0) += g.size.fits(self.spec.task_resources);
        }
        capacity.count_work(capacity.machines.len(), 0);
        max_tasks
    }

    /// Cost of using a spot machine or an ordinary one against the job's preference, in milliseconds. Of the jobs that
    /// may use spot machines, those with checkpoints prefer them, since they lose little if the cloud preempts the
    /// machine. The others prefer ordinary machines: they would have to start again and be late.
    pub fn spot_mismatch_ms(&self, m: &Machine) -> i64 {
        let mismatch = self.spec.spot && m.record.spot != self.spec.supports_checkpoints();
        if mismatch {
            SPOT_MISMATCH_MS
        } else {
            0
        }
    }

    /// Estimated time to fetch the job's image to a machine, in milliseconds.
    pub fn fetch_ms(&self, m: &Machine) -> i64 {
        let rate = self
            .types
            .iter()
            .find(|t| t.name == m.record.machine_type)
            .map_or(DEFAULT_FETCH_MB_S, |t| t.fetch_mb_s);
        m.image_cache
            .to_fetch_mb(&self.spec.image, self.spec.image_mb)
            * 1_000
            / rate.max(1)
    }

    /// Cost of placing a task on a machine with this free capacity; lower is better. Besides the time to fetch the
    /// image, the machine with the lowest share of free CPUs is preferred, so that others become empty and can be
    /// terminated.
    fn cost(&self, m: &Machine, free: Resources, fits: i64) -> i64 {
        let free_per_mille = 1_000 * free.cpus.max(0) / m.size.cpus.max(1);
        let cost = self.spot_mismatch_ms(m) + self.fetch_ms(m) + free_per_mille;
        if self.few_machines {
            cost - fits * FEW_MACHINES_MS
        } else {
            cost
        }
    }

    /// Machines with enough capacity for at least one task, best first.
    fn candidates(
        &self,
        machines: &Machines,
        capacity: &FreeCapacity,
        availability: Availability,
    ) -> Vec<Candidate> {
        let available = |index: usize| capacity.available(index, availability);
        let fits = |index: usize| available(index).fits(self.spec.task_resources);
        let mut found: Vec<Candidate> = self
            .eligible_machines(machines, capacity, |index, _| fits(index) > 0)
            .into_iter()
            .map(|(index, m)| {
                let fits = fits(index).min(MAX_TASKS_PER_MACHINE);
                Candidate {
                    cost: self.cost(m, available(index), fits),
                    index,
                    fits: fits as u32,
                }
            })
            .collect();
        found.sort_unstable();
        found
    }

    /// Chooses machines for `wanted` tasks, or for fewer if `policy` allows that. The result has the index of a machine
    /// for each task. `tasks_by_zone` is the number of the job's tasks in each zone, including tasks that are being
    /// stopped.
    pub fn choose(
        &self,
        machines: &Machines,
        capacity: &FreeCapacity,
        availability: Availability,
        tasks_by_zone: &BTreeMap<String, u32>,
        wanted: u32,
        policy: FillPolicy,
    ) -> Vec<usize> {
        let found = self.candidates(machines, capacity, availability);
        if !self.spec.one_zone {
            return self.fill(capacity, &found, tasks_by_zone, wanted, policy);
        }
        let mut zones: Vec<&str> = tasks_by_zone.keys().map(String::as_str).take(1).collect();
        if zones.is_empty() {
            for candidate in &found {
                let zone = capacity.zone(candidate.index);
                if !zones.contains(&zone) {
                    zones.push(zone);
                }
            }
        }
        for zone in zones {
            let here: Vec<Candidate> = found
                .iter()
                .filter(|candidate| capacity.zone(candidate.index) == zone)
                .copied()
                .collect();
            let chosen = self.fill(capacity, &here, tasks_by_zone, wanted, policy);
            if !chosen.is_empty() {
                return chosen;
            }
        }
        Vec::new()
    }

    /// Assigns tasks to candidates, best first. Each task of a spread job goes to the zone with the fewest of the job's
    /// tasks.
    fn fill(
        &self,
        capacity: &FreeCapacity,
        found: &[Candidate],
        tasks_by_zone: &BTreeMap<String, u32>,
        wanted: u32,
        policy: FillPolicy,
    ) -> Vec<usize> {
        let max_tasks_per_zone = self.spec.max_tasks_per_zone();
        let mut zones = candidates_by_zone(capacity, found, tasks_by_zone);
        let mut chosen = Vec::new();
        while (chosen.len() as u32) < wanted {
            let open = zones
                .iter_mut()
                .filter(|zone| zone.tasks < max_tasks_per_zone);
            let open = open.filter_map(|zone| {
                let position = zone.open.last()?.position;
                let tasks = if self.spec.spread { zone.tasks } else { 0 };
                Some(((tasks, position), zone))
            });
            let Some(((_, position), zone)) = open.min_by_key(|(key, _)| *key) else {
                break;
            };
            zone.assign_to_best();
            chosen.push(found[position].index);
        }
        if (chosen.len() as u32) < wanted && policy == FillPolicy::AllOrNothing {
            return Vec::new();
        }
        chosen
    }
}

impl ZoneCandidates<'_> {
    /// Assigns a task to the best open candidate.
    fn assign_to_best(&mut self) {
        self.tasks += 1;
        if let Some(best) = self.open.last_mut() {
            best.fits -= 1;
            if best.fits == 0 {
                self.open.pop();
            }
        }
    }
}

/// Groups candidates, which are sorted best first, by zone.
fn candidates_by_zone<'r>(
    capacity: &'r FreeCapacity,
    found: &[Candidate],
    tasks_by_zone: &BTreeMap<String, u32>,
) -> Vec<ZoneCandidates<'r>> {
    let mut zones: Vec<ZoneCandidates> = Vec::new();
    for (position, candidate) in found.iter().enumerate().rev() {
        let name = capacity.zone(candidate.index);
        let known = zones.iter().position(|zone| zone.name == name);
        let zone = known.unwrap_or_else(|| {
            zones.push(ZoneCandidates {
                name,
                tasks: tasks_by_zone.get(name).copied().unwrap_or(0),
                open: Vec::new(),
            });
            zones.len() - 1
        });
        zones[zone].open.push(OpenCandidate {
            position,
            fits: candidate.fits,
        });
    }
    zones
}
