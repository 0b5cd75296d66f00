//! What is provisioned for requests that neither idle nor incoming machines can serve.

use super::demand::Demand;
use super::planner::Planner;
use super::{is_cheap, ClusterSnapshot, Offer, ProvisioningRecord};
use crate::machine::MachineRecord;
use crate::port::ResourceRequest;
use crate::types::{MachineType, Micros, Resources};
use std::collections::BTreeMap;

/// Nothing is provisioned for work that the shard's machines complete in time: until it must start, within these bounds.
const BACKLOG_TIME_MIN: Micros = Micros::from_secs(20);
const BACKLOG_TIME_MAX: Micros = Micros::from_secs(60);
/// The time for work without a deadline, which can wait longer.
const BACKLOG_TIME_NO_DEADLINE: Micros = Micros::from_secs(90);
/// Shorter estimates of a task's run time count as this long.
const ESTIMATE_MIN: Micros = Micros::from_secs(5);
/// Machines provisioned in one request, at most.
const MAX_MACHINES_PER_REQUEST: u32 = 20;

/// Machines that are alike to a plan: of one shard, type, zone and price, with as much used by services. A far larger
/// cluster has hardly more pools than a small one.
struct MachinePool<'a> {
    shard: usize,
    record: &'a MachineRecord,
    size: Resources,
    /// Used by services.
    pinned: Resources,
    count: i64,
    /// Processors that batch work uses in all of them, in thousandths.
    busy: i64,
}

fn pools<'a>(snapshot: &ClusterSnapshot<'a>) -> Vec<MachinePool<'a>> {
    let mut found: BTreeMap<_, MachinePool> = BTreeMap::new();
    for machine in snapshot.machines.iter().filter(|machine| !machine.bad()) {
        let pinned = machine
            .view
            .map_or(Resources::default(), |view| view.pinned);
        let record = machine.record;
        let key = (
            machine.shard,
            record.kind.as_str(),
            record.zone.as_str(),
            record.spot,
            pinned.cpus,
            pinned.gpus,
            pinned.ram,
        );
        let pool = found.entry(key).or_insert(MachinePool {
            shard: machine.shard,
            record,
            size: machine.size,
            pinned,
            count: 0,
            busy: 0,
        });
        pool.count += 1;
        pool.busy += machine
            .view
            .map_or(0, |view| view.used.cpus - view.pinned.cpus);
    }
    found.into_values().collect()
}

/// Work that competes for the same machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct BacklogKey {
    shard: usize,
    needs_gpus: bool,
}

/// Sums over all machines and requests, kept for the whole plan.
pub(super) struct PoolSummary<'a> {
    pools: Vec<MachinePool<'a>>,
    /// Machines in each zone.
    by_zone: BTreeMap<&'a str, i64>,
    /// Work of the requests served so far, in thousandths of a processor times seconds.
    backlog: BTreeMap<BacklogKey, i64>,
}

impl<'a> PoolSummary<'a> {
    pub(super) fn of(snapshot: &ClusterSnapshot<'a>) -> PoolSummary<'a> {
        let mut by_zone: BTreeMap<&str, i64> = BTreeMap::new();
        for machine in &snapshot.machines {
            *by_zone.entry(machine.record.zone.as_str()).or_default() += 1;
        }
        PoolSummary {
            pools: pools(snapshot),
            by_zone,
            backlog: BTreeMap::new(),
        }
    }
}

impl ClusterSnapshot<'_> {
    /// Whether the cloud has lately refused such a machine.
    fn refuses(&self, kind: &str, zone: &str, spot: bool) -> bool {
        let offer = Offer {
            kind: kind.to_owned(),
            zone: zone.to_owned(),
            spot,
        };
        self.unavailable_offers
            .get(&offer)
            .is_some_and(|refused| refused.until > self.now)
    }

    /// Whether any machine that may run the request can be provisioned in this zone.
    pub(super) fn on_offer(&self, request: &ResourceRequest, zone: &str) -> bool {
        let named = |t: &MachineType| {
            request
                .types
                .as_ref()
                .is_none_or(|names| names.contains(&t.name))
        };
        let here = |t: &MachineType| {
            t.size.fits(request.task) > 0 && named(t) && t.zones.iter().any(|z| z == zone)
        };
        let spots: &[bool] = if request.spot {
            &[true, false]
        } else {
            &[false]
        };
        self.types
            .iter()
            .filter(|t| here(t))
            .any(|t| spots.iter().any(|spot| !self.refuses(&t.name, zone, *spot)))
    }
}

/// How many tasks of a request a shard's machines could run, now or later.
#[derive(Default)]
struct Slots<'a> {
    all: i64,
    by_zone: BTreeMap<&'a str, i64>,
    /// Processors that batch work uses there, in thousandths.
    busy: i64,
}

/// A machine that could be provisioned.
struct Candidate<'a> {
    kind: &'a MachineType,
    zone: &'a str,
    spot: bool,
    /// Tasks that fit on it.
    fit: i64,
}

impl<'a> Planner<'_, 'a> {
    /// Room for a request's tasks on the shard's machines.
    fn slots(&self, demand: &Demand) -> Slots<'a> {
        let mut slots = Slots::default();
        for pool in self
            .summary
            .pools
            .iter()
            .filter(|pool| pool.shard == demand.shard)
        {
            let mut size = pool.size;
            size.sub(pool.pinned);
            let fit = size.fits(demand.request.task);
            let record = pool.record;
            if fit > 0
                && demand.suits(pool.size, self.snapshot.types)
                && demand.allows(&record.kind, &record.zone, record.spot)
            {
                slots.busy += pool.busy;
                slots.all += fit * pool.count;
                *slots.by_zone.entry(record.zone.as_str()).or_default() += fit * pool.count;
            }
        }
        slots
    }

    /// For how many tasks the shard's machines lack room, if they are to complete the running work and the backlog
    /// before this request must start.
    fn missing_slots(&mut self, demand: &Demand, slots: &Slots) -> i64 {
        let request = demand.request;
        let cpus_per_task = request.task.cpus.max(1);
        let estimate_ms = request.estimate.max(ESTIMATE_MIN).0 / 1_000;
        let key = BacklogKey {
            shard: demand.shard,
            needs_gpus: request.task.gpus > 0,
        };
        let backlog = self.summary.backlog.entry(key).or_default();
        *backlog += i64::from(request.count) * estimate_ms * cpus_per_task / 1_000;
        // Running work is half done on average.
        let remaining_work = *backlog + slots.busy * estimate_ms / 2_000;
        let time_ms = self.backlog_time(demand).0 / 1_000;
        let missing_cpus = remaining_work * 1_000 / time_ms - slots.all * cpus_per_task;
        missing_cpus.max(0) / cpus_per_task
    }

    /// The time in which the shard's machines must complete the backlog, or more are provisioned. Half as long where
    /// suitable machines are cheap.
    fn backlog_time(&self, demand: &Demand) -> Micros {
        let request = demand.request;
        let types = self.snapshot.types;
        let time = request.left.map_or(BACKLOG_TIME_NO_DEADLINE, |left| {
            left.clamp(BACKLOG_TIME_MIN, BACKLOG_TIME_MAX)
        });
        let lowest_price = types
            .iter()
            .filter(|t| t.size.fits(request.task) > 0 && demand.suits(t.size, types))
            .map(|t| t.price)
            .min();
        if lowest_price.is_some_and(|price| is_cheap(types, price)) {
            return time.over(2);
        }
        time
    }

    /// For how many tasks machines should be provisioned. For services that is all of them.
    fn tasks_to_provision_for(&mut self, demand: &Demand) -> u32 {
        let request = demand.request;
        if request.service {
            return demand.unplaced;
        }
        let slots = self.slots(demand);
        let short = self
            .missing_slots(demand, &slots)
            .min(i64::from(demand.unplaced)) as u32;
        if !request.together {
            return if slots.all == 0 { short.max(1) } else { short };
        }
        // All of a gang must find room at once, whether or not some of it is reserved already.
        let most = if request.one_zone {
            slots.by_zone.values().max().copied().unwrap_or(0)
        } else {
            slots.all
        };
        let lacking = (i64::from(request.total) - most).max(0) as u32;
        match (lacking, short) {
            (0, 0) => 0,
            (0, _) => request.count,
            _ => lacking,
        }
    }

    /// The candidate that is cheapest for these tasks; of equally cheap ones, in the zone with the fewest machines, so
    /// that a job whose tasks must be spread finds both zones.
    fn best_candidate(&self, demand: &Demand, tasks: u32) -> Option<Candidate<'a>> {
        self.candidates(demand)
            .into_iter()
            .min_by_key(|candidate| self.cost(candidate, tasks))
    }

    /// The machines that may be provisioned for a request.
    fn candidates(&self, demand: &Demand) -> Vec<Candidate<'a>> {
        let snapshot = self.snapshot;
        let mut candidates = Vec::new();
        for kind in snapshot.types {
            let fit = kind.size.fits(demand.request.task);
            if fit <= 0 || !demand.suits(kind.size, snapshot.types) {
                continue;
            }
            for zone in &kind.zones {
                for spot in [true, false] {
                    let available = !snapshot.refuses(&kind.name, zone, spot);
                    if available && demand.allows(&kind.name, zone, spot) {
                        candidates.push(Candidate {
                            kind,
                            zone,
                            spot,
                            fit,
                        });
                    }
                }
            }
        }
        candidates
    }

    /// The price of a task in thousandths, and in its last digits the number of machines in the zone.
    fn cost(&self, candidate: &Candidate, tasks: u32) -> i64 {
        let tasks_placed = candidate.fit.min(i64::from(tasks)).max(1);
        let price_per_task = candidate.kind.hourly_price(candidate.spot) * 1_000 / tasks_placed;
        let in_zone = self.summary.by_zone.get(candidate.zone).copied();
        price_per_task * 1_000 + in_zone.unwrap_or(0)
    }

    /// Plans provisioning for the tasks that machines should be provisioned for.
    pub(super) fn provision_for(&mut self, demand: &Demand) {
        let mut tasks = self.tasks_to_provision_for(demand);
        while tasks > 0 {
            let Some(candidate) = self.best_candidate(demand, tasks) else {
                return;
            };
            let same = |record: &ProvisioningRecord| {
                record.kind == candidate.kind.name
                    && record.zone == candidate.zone
                    && record.spot == candidate.spot
            };
            if self.plan.provisionings.iter().any(same) {
                // One request per offer and round; the rest follows when the answer is known.
                return;
            }
            let most = if demand.request.spread {
                1
            } else {
                MAX_MACHINES_PER_REQUEST
            };
            let count = (((i64::from(tasks) + candidate.fit - 1) / candidate.fit) as u32).min(most);
            self.plan.provisionings.push(ProvisioningRecord {
                shard: demand.shard,
                kind: candidate.kind.name.clone(),
                zone: candidate.zone.to_owned(),
                spot: candidate.spot,
                count,
            });
            tasks = tasks.saturating_sub(count * candidate.fit as u32);
        }
    }
}
