//! Bin packing: which machine for which task, by room, constraints and cost. It knows nothing of how jobs run.

use crate::job::Job;
use crate::machine::Machine;
use crate::types::{JobSpec, MachineId, MachineType, Micros, Resources};
use std::cell::Cell;
use std::collections::BTreeMap;

/// Machines by name.
pub type Machines = BTreeMap<MachineId, Machine>;

/// Machines of one type in one zone, all spot or none: whether a job may use them is decided for all at once.
struct MachineGroup {
    kind: String,
    zone: String,
    spot: bool,
    size: Resources,
}

/// A usable machine with its room in one cycle: lowered by what the cycle places or reserves.
pub struct MachineCapacity {
    /// The machine's name.
    pub id: MachineId,
    group: usize,
    /// Free now.
    pub free: Resources,
    /// Free once everything that is being stopped has gone.
    pub after_preemption: Resources,
}

/// Which room of a machine is meant.
#[derive(Clone, Copy, PartialEq)]
pub enum Availability {
    /// Free now.
    Now,
    /// Free once what is being stopped has gone.
    AfterPreemption,
}

/// How many of the tasks asked for must find a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FillPolicy {
    /// As many as find one.
    Partial,
    /// All, or none is placed.
    AllOrNothing,
}

/// The room on usable machines in one cycle, in the order of the machines' names. Machines are named by their index in
/// it, and looked up only where they have room for what is asked: most are full.
#[derive(Default)]
pub struct FreeCapacity {
    groups: Vec<MachineGroup>,
    /// The usable machines.
    pub machines: Vec<MachineCapacity>,
    /// The cost of searches so far: machines looked up, and entries of the list at a fraction of that.
    pub work_done: Cell<i64>,
}

/// This many entries of the list cost as much as one machine looked up.
const ENTRIES_PER_LOOKUP: i64 = 16;

impl FreeCapacity {
    /// The room of these machines.
    pub fn of<'m>(machines: impl Iterator<Item = &'m Machine>) -> FreeCapacity {
        let mut capacity = FreeCapacity::default();
        for m in machines {
            let r = &m.record;
            let same = |g: &MachineGroup| {
                g.kind == r.kind && g.zone == r.zone && g.spot == r.spot && g.size == m.size
            };
            let group = capacity.groups.iter().position(same).unwrap_or_else(|| {
                let (kind, zone) = (r.kind.clone(), r.zone.clone());
                capacity.groups.push(MachineGroup {
                    kind,
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
    pub fn find(&self, id: &MachineId) -> Option<usize> {
        self.machines.binary_search_by(|s| s.id.cmp(id)).ok()
    }

    /// The zone of the machine at an index.
    pub fn zone(&self, k: usize) -> &str {
        &self.groups[self.machines[k].group].zone
    }

    /// The total resources of the machine at an index.
    pub fn size(&self, k: usize) -> Resources {
        self.groups[self.machines[k].group].size
    }

    /// The room left on the machine at an index.
    pub fn left(&self, k: usize, availability: Availability) -> Resources {
        match availability {
            Availability::Now => self.machines[k].free,
            Availability::AfterPreemption => self.machines[k].after_preemption,
        }
    }

    /// Takes room on the machine at an index.
    pub fn hold(&mut self, k: usize, task_resources: Resources) {
        self.machines[k].free.sub(task_resources);
        self.machines[k].after_preemption.sub(task_resources);
    }

    fn count_work(&self, entries: usize, machines: usize) {
        self.work_done
            .set(self.work_done.get() + 1 + entries as i64 / ENTRIES_PER_LOOKUP + machines as i64);
    }
}

/// The cost of using a spot machine where an ordinary one suits better, or the reverse: about the fetch of an image.
const WRONG_KIND_MS: i64 = 15_000;

/// The machines that a job may use, and how it ranks them.
pub struct PlacementRequest<'a> {
    /// The job as things stand.
    pub spec: &'a JobSpec,
    /// Machines that it should not use, by when.
    pub avoid: &'a BTreeMap<MachineId, Micros>,
    /// The time of the cycle.
    pub now: Micros,
    /// Machine types on offer.
    pub types: &'a [MachineType],
    /// Whether machines that do not suit the task (see `JobSpec::suits`) may be used all the same,
    /// as long as they are not about to be returned: idle machines are kept for so long.
    pub any_size: Option<Micros>,
    /// Only machines that have the image.
    pub cached: bool,
}

/// Candidates of one zone.
struct ZoneCandidates<'r> {
    name: &'r str,
    /// Tasks of the job in the zone.
    tasks: u32,
    /// Candidates with room, the best last.
    left: Vec<OpenCandidate>,
}

/// A candidate with room for more tasks.
struct OpenCandidate {
    /// Its position in the list of all candidates.
    position: usize,
    /// How many tasks still fit.
    fits: u32,
}

/// A machine with room for at least one task. The fields are compared in their order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    /// Lower is better, see [`PlacementRequest::cost`].
    cost: i64,
    /// The machine's index in the capacity.
    index: usize,
    /// How many tasks fit.
    fits: u32,
}

/// Most tasks counted on one machine.
const MAX_TASKS_PER_MACHINE: i64 = 1 << 20;
/// Fetch rate of a machine whose type is not known, in MB/s.
const DEFAULT_FETCH_MB_S: i64 = 100;

impl<'a> PlacementRequest<'a> {
    /// The placement request of a job.
    pub fn of(job: &'a Job, now: Micros, types: &'a [MachineType]) -> PlacementRequest<'a> {
        PlacementRequest {
            spec: &job.spec,
            avoid: &job.avoided_machines,
            now,
            types,
            any_size: None,
            cached: false,
        }
    }

    /// For each group: none if the job may not use it, else whether its machines suit the job's tasks. If not, only
    /// machines that accept work without accelerators may be used.
    fn groups(&self, capacity: &FreeCapacity) -> Vec<Option<bool>> {
        let ask = |g: &MachineGroup| {
            let allowed = self.spec.allows(&g.kind, &g.zone, g.spot);
            let suits = self.spec.suits(g.size, self.types);
            (allowed && (suits || self.any_size.is_some())).then_some(suits)
        };
        capacity.groups.iter().map(ask).collect()
    }

    fn allowed(&self, m: &Machine, suits: bool) -> bool {
        (suits
            || self
                .any_size
                .is_some_and(|keep| m.accepts_cpu_only_work(self.now, keep)))
            && (!self.cached || m.image_cache.has_image(&self.spec.image))
            && self.avoid.get(&m.id).is_none_or(|until| *until <= self.now)
    }

    /// Machines that the job may use, of those that pass `keep`, with their index.
    pub fn places<'m>(
        &self,
        machines: &'m Machines,
        capacity: &FreeCapacity,
        keep: impl Fn(usize, &MachineCapacity) -> bool,
    ) -> Vec<(usize, &'m Machine)> {
        let groups = self.groups(capacity);
        let worth = capacity
            .machines
            .iter()
            .enumerate()
            .filter(|(k, s)| groups[s.group].is_some() && keep(*k, s));
        let found = worth.filter_map(|(k, s)| Some((k, machines.get(&s.id)?, groups[s.group]?)));
        let mut work_done = 0;
        let found = found
            .inspect(|_| work_done += 1)
            .filter(|(_, m, suits)| self.allowed(m, *suits));
        let found = found.map(|(k, m, _)| (k, m)).collect();
        capacity.count_work(capacity.machines.len(), work_done);
        found
    }

    /// How many tasks would fit on the empty machines of each zone.
    pub fn by_zone<'r>(&self, capacity: &'r FreeCapacity) -> BTreeMap<&'r str, i64> {
        let groups = self.groups(capacity);
        let mut all = BTreeMap::new();
        for s in capacity
            .machines
            .iter()
            .filter(|s| groups[s.group].is_some())
        {
            let g = &capacity.groups[s.group];
            *all.entry(g.zone.as_str()).or_insert(0) += g.size.fits(self.spec.task_resources);
        }
        capacity.count_work(capacity.machines.len(), 0);
        all
    }

    /// The cost of the machine being spot or not, in milliseconds. Jobs with checkpoints prefer spot machines where they
    /// may use them: they lose little by a preemption. Others, which would have to start anew and be late, prefer
    /// ordinary machines.
    pub fn kind_ms(&self, m: &Machine) -> i64 {
        let wrong = self.spec.spot && m.record.spot != self.spec.saves();
        if wrong {
            WRONG_KIND_MS
        } else {
            0
        }
    }

    /// How long its image would take to fetch there, in milliseconds.
    pub fn fetch_ms(&self, m: &Machine) -> i64 {
        let rate = self
            .types
            .iter()
            .find(|t| t.name == m.record.kind)
            .map_or(DEFAULT_FETCH_MB_S, |t| t.fetch_mb_s);
        m.image_cache
            .to_fetch_mb(&self.spec.image, self.spec.image_mb)
            * 1_000
            / rate.max(1)
    }

    /// Lower is better: a cached image, then the fullest machine, so that others become empty and
    /// can be returned.
    fn cost(&self, m: &Machine, capacity: Resources) -> i64 {
        let left = 1_000 * capacity.cpus.max(0) / m.size.cpus.max(1);
        self.kind_ms(m) + self.fetch_ms(m) + left
    }

    /// Machines that have room for at least one task, best first.
    fn candidates(
        &self,
        machines: &Machines,
        capacity: &FreeCapacity,
        availability: Availability,
    ) -> Vec<Candidate> {
        let left = |k: usize| capacity.left(k, availability);
        let fits = |k: usize| left(k).fits(self.spec.task_resources);
        let mut found: Vec<Candidate> = self
            .places(machines, capacity, |k, _| fits(k) > 0)
            .into_iter()
            .map(|(index, m)| Candidate {
                cost: self.cost(m, left(index)),
                index,
                fits: fits(index).min(MAX_TASKS_PER_MACHINE) as u32,
            })
            .collect();
        found.sort_unstable();
        found
    }

    /// Places for `n` tasks at once, one entry for each task, or for as many as `policy` allows. `tasks_by_zone` counts the job's tasks, those that are only leaving included.
    pub fn choose(
        &self,
        machines: &Machines,
        capacity: &FreeCapacity,
        availability: Availability,
        tasks_by_zone: &BTreeMap<String, u32>,
        n: u32,
        policy: FillPolicy,
    ) -> Vec<usize> {
        let found = self.candidates(machines, capacity, availability);
        if !self.spec.one_zone {
            return self.fill(capacity, &found, tasks_by_zone, n, policy);
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
            let chosen = self.fill(capacity, &here, tasks_by_zone, n, policy);
            if !chosen.is_empty() {
                return chosen;
            }
        }
        Vec::new()
    }

    /// Assigns tasks to candidates, best first. Of a job that is spread each task goes to the zone where the job has
    /// least.
    fn fill(
        &self,
        capacity: &FreeCapacity,
        found: &[Candidate],
        tasks_by_zone: &BTreeMap<String, u32>,
        n: u32,
        policy: FillPolicy,
    ) -> Vec<usize> {
        let zone_cap = self.spec.zone_cap();
        let mut zones = candidates_by_zone(capacity, found, tasks_by_zone);
        let mut chosen = Vec::new();
        while (chosen.len() as u32) < n {
            let open = zones.iter_mut().filter(|zone| zone.tasks < zone_cap);
            let open = open.filter_map(|zone| {
                let position = zone.left.last()?.position;
                let tasks = if self.spec.spread { zone.tasks } else { 0 };
                Some(((tasks, position), zone))
            });
            let Some(((_, position), zone)) = open.min_by_key(|(key, _)| *key) else {
                break;
            };
            zone.take_best();
            chosen.push(found[position].index);
        }
        if (chosen.len() as u32) < n && policy == FillPolicy::AllOrNothing {
            return Vec::new();
        }
        chosen
    }
}

impl ZoneCandidates<'_> {
    /// Assigns a task to the best candidate.
    fn take_best(&mut self) {
        self.tasks += 1;
        if let Some(best) = self.left.last_mut() {
            best.fits -= 1;
            if best.fits == 0 {
                self.left.pop();
            }
        }
    }
}

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
                left: Vec::new(),
            });
            zones.len() - 1
        });
        zones[zone].left.push(OpenCandidate {
            position,
            fits: candidate.fits,
        });
    }
    zones
}
