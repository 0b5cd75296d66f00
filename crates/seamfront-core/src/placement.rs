//! Which machine for which task. Looks at room, rules and cost; knows nothing of how jobs run.

use crate::job::Job;
use crate::machine::Machine;
use crate::types::{JobSpec, MachineId, MachineType, Micros, Resources};
use std::cell::Cell;
use std::collections::BTreeMap;

/// Machines by name.
pub type Machines = BTreeMap<MachineId, Machine>;

/// Machines of one kind, in one zone, at one price: what a job may use is decided for all at once.
struct MachineGroup {
    kind: String,
    zone: String,
    spot: bool,
    size: Resources,
}

/// A machine that may be used, with its room as seen in one round: lowered by what the round places or
/// holds back.
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

/// What a round has to give away, in the order of the machines' names. A place in it is named by its
/// number. Machines are looked up only where they have room for what is asked: most are full.
#[derive(Default)]
pub struct FreeCapacity {
    groups: Vec<MachineGroup>,
    /// The machines that may be used, by kind, zone and price.
    pub machines: Vec<MachineCapacity>,
    /// How much was looked at: machines, and the list's entries by the dozen.
    pub work_done: Cell<i64>,
}

/// Entries of the list that cost as much as one machine looked up.
const ENTRIES: i64 = 16;

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

    /// The place of a machine in `machines`.
    pub fn find(&self, id: &MachineId) -> Option<usize> {
        self.machines.binary_search_by(|s| s.id.cmp(id)).ok()
    }

    /// Its zone.
    pub fn zone(&self, k: usize) -> &str {
        &self.groups[self.machines[k].group].zone
    }

    /// What it has in all.
    pub fn size(&self, k: usize) -> Resources {
        self.groups[self.machines[k].group].size
    }

    /// What is left of it, less what is held.
    pub fn left(&self, k: usize, availability: Availability) -> Resources {
        match availability {
            Availability::Now => self.machines[k].free,
            Availability::AfterPreemption => self.machines[k].after_preemption,
        }
    }

    /// Holds room for a task.
    pub fn hold(&mut self, k: usize, task_resources: Resources) {
        self.machines[k].free.sub(task_resources);
        self.machines[k].after_preemption.sub(task_resources);
    }

    fn count_work(&self, entries: usize, machines: usize) {
        self.work_done
            .set(self.work_done.get() + 1 + entries as i64 / ENTRIES + machines as i64);
    }
}

/// What it is worth to find the better of spot and ordinary machines: about the fetch of an image.
const WRONG_KIND_MS: i64 = 15_000;

/// What a job looks for.
pub struct PlacementRequest<'a> {
    /// The job as things stand.
    pub spec: &'a JobSpec,
    /// Machines that it should not use, by when.
    pub avoid: &'a BTreeMap<MachineId, Micros>,
    /// The time of the round.
    pub now: Micros,
    /// Machine types on offer.
    pub types: &'a [MachineType],
    /// Whether machines that do not suit the task (see `JobSpec::suits`) may be used all the same,
    /// as long as they are not about to be returned: idle machines are kept for so long.
    pub any_size: Option<Micros>,
    /// Only machines that have the image.
    pub cached: bool,
}

/// What a job finds in one zone.
struct ZoneCandidates<'r> {
    name: &'r str,
    /// Tasks that it has there.
    tasks: u32,
    /// Candidates, the best last, by their position in the list, with how many still fit.
    left: Vec<(usize, u32)>,
}

impl<'a> PlacementRequest<'a> {
    /// What this job looks for.
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

    /// For each group: whether this may run there, and if only where plain work is let in.
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

    /// Places where this may run and that `keep` says are worth looking at.
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

    /// How many tasks the machines of each zone could take if they were empty.
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

    /// Work that saves goes to spot machines where it may: it loses little when these are taken. What
    /// would have to start anew, and makes its whole job late, goes to the others first.
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
            .map_or(100, |t| t.fetch_mb_s);
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

    /// Places that have room for at least one task, best first, with how many fit.
    fn candidates(
        &self,
        machines: &Machines,
        capacity: &FreeCapacity,
        availability: Availability,
    ) -> Vec<(usize, u32)> {
        let fits = |k: usize| {
            capacity
                .left(k, availability)
                .fits(self.spec.task_resources)
        };
        let mut found: Vec<(i64, usize, u32)> = self
            .places(machines, capacity, |k, _| fits(k) > 0)
            .into_iter()
            .map(|(k, m)| {
                (
                    self.cost(m, capacity.left(k, availability)),
                    k,
                    fits(k).min(1 << 20) as u32,
                )
            })
            .collect();
        found.sort_unstable();
        found.into_iter().map(|(_, k, n)| (k, n)).collect()
    }

    /// Places for `n` tasks at once, one entry for each task, or for as many as there are where
    /// `partial`. `taken` counts the job's tasks by zone, those that are only leaving included.
    pub fn choose(
        &self,
        machines: &Machines,
        capacity: &FreeCapacity,
        availability: Availability,
        taken: &BTreeMap<String, u32>,
        n: u32,
        partial: bool,
    ) -> Vec<usize> {
        let found = self.candidates(machines, capacity, availability);
        if !self.spec.one_zone {
            return self.fill(capacity, &found, taken, n, partial);
        }
        let mut zones: Vec<&str> = taken.keys().map(String::as_str).take(1).collect();
        if zones.is_empty() {
            for (k, _) in &found {
                if !zones.contains(&capacity.zone(*k)) {
                    zones.push(capacity.zone(*k));
                }
            }
        }
        for z in zones {
            let here: Vec<(usize, u32)> = found
                .iter()
                .filter(|(k, _)| capacity.zone(*k) == z)
                .copied()
                .collect();
            let got = self.fill(capacity, &here, taken, n, partial);
            if !got.is_empty() {
                return got;
            }
        }
        Vec::new()
    }

    /// Down the list; a job that is spread goes to the zone where it has least each time.
    fn fill(
        &self,
        capacity: &FreeCapacity,
        found: &[(usize, u32)],
        taken: &BTreeMap<String, u32>,
        n: u32,
        partial: bool,
    ) -> Vec<usize> {
        let cap = self.spec.zone_cap();
        let mut zones: Vec<ZoneCandidates> = Vec::new();
        for (at, (k, fits)) in found.iter().enumerate().rev() {
            let name = capacity.zone(*k);
            let z = zones
                .iter()
                .position(|z| z.name == name)
                .unwrap_or_else(|| {
                    zones.push(ZoneCandidates {
                        name,
                        tasks: taken.get(name).copied().unwrap_or(0),
                        left: Vec::new(),
                    });
                    zones.len() - 1
                });
            zones[z].left.push((at, *fits));
        }
        let mut got = Vec::new();
        while (got.len() as u32) < n {
            let open = zones.iter_mut().filter(|z| z.tasks < cap).filter_map(|z| {
                let at = z.left.last()?.0;
                let least = if self.spec.spread { z.tasks } else { 0 };
                Some(((least, at), z))
            });
            let Some(((_, at), zone)) = open.min_by_key(|o| o.0) else {
                break;
            };
            zone.tasks += 1;
            if let Some(last) = zone.left.last_mut() {
                last.1 -= 1;
                if last.1 == 0 {
                    zone.left.pop();
                }
            }
            got.push(found[at].0);
        }
        if (got.len() as u32) < n && !partial {
            return Vec::new();
        }
        got
    }
}
