//! Decides what to provision for requests that idle and incoming machines cannot serve: for how many tasks, and which
//! machines are cheapest for them.

use super::demand::Demand;
use super::planner::Planner;
use super::{is_cheap, ClusterSnapshot, Offer, ProvisioningRecord};
use crate::machine::MachineRecord;
use crate::port::ResourceRequest;
use crate::types::{MachineType, Micros, Resources};
use std::collections::BTreeMap;

/// Nothing is provisioned for a request if the shard's machines can complete the backlog before the request must start.
/// The time they have for that is at least this long.
const MIN_BACKLOG_TIME: Micros = Micros::from_secs(20);
/// Upper bound of that time.
const MAX_BACKLOG_TIME: Micros = Micros::from_secs(60);
/// That time for requests without a deadline, which can wait longer.
const NO_DEADLINE_BACKLOG_TIME: Micros = Micros::from_secs(90);
/// Lower bound for estimates of a task's run time.
const MIN_ESTIMATE: Micros = Micros::from_secs(5);
/// Most machines provisioned by one request to the cloud.
const MAX_MACHINES_PER_REQUEST: u32 = 20;

/// Machines that a plan need not tell apart: they have the same shard, type and zone, are all spot machines or all not,
/// and services use the same resources on each. Even a very large cluster has only a few more pools than a small one.
struct MachinePool<'a> {
    shard: usize,
    record: &'a MachineRecord,
    size: Resources,
    /// Resources that services use on each machine.
    used_by_services: Resources,
    /// Number of machines.
    count: i64,
    /// CPUs that batch work uses on all of them together, in thousandths.
    busy: i64,
}

/// Groups the machines into pools, without those that are to be replaced.
fn pools<'a>(snapshot: &ClusterSnapshot<'a>) -> Vec<MachinePool<'a>> {
    let mut found: BTreeMap<_, MachinePool> = BTreeMap::new();
    for machine in snapshot
        .machines
        .iter()
        .filter(|machine| !machine.condemned())
    {
        let used_by_services = machine
            .view
            .map_or(Resources::default(), |view| view.used_by_services);
        let record = machine.record;
        let key = (
            machine.shard,
            record.machine_type.as_str(),
            record.zone.as_str(),
            record.spot,
            used_by_services.cpus,
            used_by_services.gpus,
            used_by_services.ram,
        );
        let pool = found.entry(key).or_insert(MachinePool {
            shard: machine.shard,
            record,
            size: machine.size,
            used_by_services,
            count: 0,
            busy: 0,
        });
        pool.count += 1;
        pool.busy += machine
            .view
            .map_or(0, |view| view.used.cpus - view.used_by_services.cpus);
    }
    found.into_values().collect()
}

/// Key of work that competes for the same machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct BacklogKey {
    shard: usize,
    needs_gpus: bool,
}

/// Totals over machines and requests, kept while a plan is made.
pub(super) struct PoolSummary<'a> {
    pools: Vec<MachinePool<'a>>,
    /// Number of machines in each zone.
    by_zone: BTreeMap<&'a str, i64>,
    /// Work of the requests served so far, in thousandths of a CPU times seconds.
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
    /// Whether the cloud has recently refused to provision such a machine.
    fn recently_refused(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        let offer = Offer {
            machine_type: machine_type.to_owned(),
            zone: zone.to_owned(),
            spot,
        };
        self.unavailable_offers
            .get(&offer)
            .is_some_and(|refused| refused.until > self.now)
    }

    /// Whether any machine that may serve the request can be provisioned in this zone.
    pub(super) fn can_provision(&self, request: &ResourceRequest, zone: &str) -> bool {
        let allowed = |t: &MachineType| {
            request
                .types
                .as_ref()
                .is_none_or(|names| names.contains(&t.name))
        };
        let offered = |t: &MachineType| {
            t.size.fits(request.task_resources) > 0
                && allowed(t)
                && t.zones.iter().any(|z| z == zone)
        };
        let spot_options: &[bool] = if request.spot {
            &[true, false]
        } else {
            &[false]
        };
        self.types.iter().filter(|t| offered(t)).any(|t| {
            spot_options
                .iter()
                .any(|spot| !self.recently_refused(&t.name, zone, *spot))
        })
    }
}

/// Number of tasks of a request that the machines of a shard can run at the same time, apart from services on them.
#[derive(Default)]
struct TaskSlots<'a> {
    total: i64,
    by_zone: BTreeMap<&'a str, i64>,
    /// CPUs that batch work uses on these machines, in thousandths.
    busy: i64,
}

/// A machine that could be provisioned.
struct Candidate<'a> {
    machine_type: &'a MachineType,
    zone: &'a str,
    spot: bool,
    /// Number of tasks that fit on it.
    fit: i64,
}

impl<'a> Planner<'_, 'a> {
    /// Slots for a request's tasks on the machines of its shard.
    fn slots(&self, demand: &Demand) -> TaskSlots<'a> {
        let mut slots = TaskSlots::default();
        for pool in self
            .summary
            .pools
            .iter()
            .filter(|pool| pool.shard == demand.shard)
        {
            let mut size = pool.size;
            size.sub(pool.used_by_services);
            let fit = size.fits(demand.request.task_resources);
            let record = pool.record;
            if fit > 0
                && demand.accelerators_allowed(pool.size, self.snapshot.types)
                && demand.allows(&record.machine_type, &record.zone, record.spot)
            {
                slots.busy += pool.busy;
                slots.total += fit * pool.count;
                *slots.by_zone.entry(record.zone.as_str()).or_default() += fit * pool.count;
            }
        }
        slots
    }

    /// Number of slots that the shard lacks to complete the running work and the backlog, this request included, within
    /// [`Self::backlog_time`]. Adds the request to the backlog.
    fn missing_slots(&mut self, demand: &Demand, slots: &TaskSlots) -> i64 {
        let request = demand.request;
        let cpus_per_task = request.task_resources.cpus.max(1);
        let estimate_ms = request.estimate.max(MIN_ESTIMATE).0 / 1_000;
        let key = BacklogKey {
            shard: demand.shard,
            needs_gpus: request.task_resources.gpus > 0,
        };
        let backlog = self.summary.backlog.entry(key).or_default();
        *backlog += i64::from(request.count) * estimate_ms * cpus_per_task / 1_000;
        // Running work is assumed to be half done on average.
        let remaining_work = *backlog + slots.busy * estimate_ms / 2_000;
        let time_ms = self.backlog_time(demand).0 / 1_000;
        let missing_cpus = remaining_work * 1_000 / time_ms - slots.total * cpus_per_task;
        missing_cpus.max(0) / cpus_per_task
    }

    /// The time within which the shard's machines have to complete the backlog; if they can't, more are provisioned.
    /// Half as long if a suitable machine is cheap.
    fn backlog_time(&self, demand: &Demand) -> Micros {
        let request = demand.request;
        let types = self.snapshot.types;
        let time = request
            .time_until_start_by
            .map_or(NO_DEADLINE_BACKLOG_TIME, |left| {
                left.clamp(MIN_BACKLOG_TIME, MAX_BACKLOG_TIME)
            });
        let lowest_price = types
            .iter()
            .filter(|t| {
                t.size.fits(request.task_resources) > 0
                    && demand.accelerators_allowed(t.size, types)
            })
            .map(|t| t.price)
            .min();
        if lowest_price.is_some_and(|price| is_cheap(types, price)) {
            return time.divided_by(2);
        }
        time
    }

    /// Number of tasks for which machines should be provisioned. For a service that is all unplaced tasks.
    fn tasks_to_provision_for(&mut self, demand: &Demand) -> u32 {
        let request = demand.request;
        if request.service {
            return demand.unplaced;
        }
        let slots = self.slots(demand);
        let shortfall = self
            .missing_slots(demand, &slots)
            .min(i64::from(demand.unplaced)) as u32;
        if !request.all_or_nothing {
            return if slots.total == 0 {
                shortfall.max(1)
            } else {
                shortfall
            };
        }
        // All of a gang has to fit at the same time, whether or not capacity for some of it is reserved already.
        let usable_slots = if request.one_zone {
            slots.by_zone.values().max().copied().unwrap_or(0)
        } else {
            slots.total
        };
        let missing = (i64::from(request.total) - usable_slots).max(0) as u32;
        match (missing, shortfall) {
            (0, 0) => 0,
            (0, _) => request.count,
            _ => missing,
        }
    }

    /// The cheapest candidate for this number of tasks. Among equally cheap ones, the one in the zone with the fewest
    /// machines is chosen, so that spread jobs find machines in more than one zone.
    fn best_candidate(&self, demand: &Demand, tasks: u32) -> Option<Candidate<'a>> {
        self.candidates(demand)
            .into_iter()
            .min_by_key(|candidate| self.cost(candidate, tasks))
    }

    /// All machines that could be provisioned for a request.
    fn candidates(&self, demand: &Demand) -> Vec<Candidate<'a>> {
        let snapshot = self.snapshot;
        let mut candidates = Vec::new();
        for machine_type in snapshot.types {
            let fit = machine_type.size.fits(demand.request.task_resources);
            if fit <= 0 || !demand.accelerators_allowed(machine_type.size, snapshot.types) {
                continue;
            }
            for zone in &machine_type.zones {
                for spot in [true, false] {
                    let available = !snapshot.recently_refused(&machine_type.name, zone, spot);
                    if available && demand.allows(&machine_type.name, zone, spot) {
                        candidates.push(Candidate {
                            machine_type,
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

    /// Cost of a candidate for this number of tasks: the hourly price per task, and in its low-order digits the number
    /// of machines in the zone.
    fn cost(&self, candidate: &Candidate, tasks: u32) -> i64 {
        let tasks_placed = candidate.fit.min(i64::from(tasks)).max(1);
        let price_per_task =
            candidate.machine_type.hourly_price(candidate.spot) * 1_000 / tasks_placed;
        let in_zone = self.summary.by_zone.get(candidate.zone).copied();
        price_per_task * 1_000 + in_zone.unwrap_or(0)
    }

    /// Plans the provisioning of machines for a request.
    pub(super) fn provision_for(&mut self, demand: &Demand) {
        let mut tasks = self.tasks_to_provision_for(demand);
        while tasks > 0 {
            let Some(candidate) = self.best_candidate(demand, tasks) else {
                return;
            };
            let same_offer = |record: &ProvisioningRecord| {
                record.machine_type == candidate.machine_type.name
                    && record.zone == candidate.zone
                    && record.spot == candidate.spot
            };
            if self.plan.provisionings.iter().any(same_offer) {
                // A plan has one request per offer. The rest is provisioned once the cloud has answered it.
                return;
            }
            let max_count = if demand.request.spread {
                1
            } else {
                MAX_MACHINES_PER_REQUEST
            };
            let count =
                (((i64::from(tasks) + candidate.fit - 1) / candidate.fit) as u32).min(max_count);
            self.plan.provisionings.push(ProvisioningRecord {
                shard: demand.shard,
                machine_type: candidate.machine_type.name.clone(),
                zone: candidate.zone.to_owned(),
                spot: candidate.spot,
                count,
            });
            tasks = tasks.saturating_sub(count * candidate.fit as u32);
        }
    }
}
