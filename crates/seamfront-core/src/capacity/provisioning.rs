//! What is rented for work that neither idle machines nor those on their way can serve.

use super::planner::{Demand, Planner};
use super::{cheap, ClusterSnapshot, ProvisioningRecord};
use crate::machine::MachineRecord;
use crate::port::ResourceRequest;
use crate::types::{MachineType, Micros, Resources};
use std::collections::BTreeMap;

/// Work that the machines at hand get through in time is not rented for. In time is until it must
/// start, within these bounds; work without a time to keep can wait longer.
const DRAIN_MIN: Micros = Micros::from_secs(20);
const DRAIN_MAX: Micros = Micros::from_secs(60);
const DRAIN_IDLE: Micros = Micros::from_secs(90);
/// Shorter estimates are taken for this long.
const ESTIMATE_MIN: Micros = Micros::from_secs(5);
/// Machines asked for in one request.
const MAX_MACHINES_PER_REQUEST: u32 = 20;

/// Machines that a plan can't tell from each other: of one shard, kind, zone and price, with as much taken
/// by services. A far larger fleet has hardly more of these than a small one.
struct MachinePool<'a> {
    shard: usize,
    record: &'a MachineRecord,
    size: Resources,
    /// Taken by services.
    pinned: Resources,
    count: i64,
    /// Processors that work uses which ends by itself, in all of them.
    busy: i64,
}

fn pools<'a>(p: &ClusterSnapshot<'a>) -> Vec<MachinePool<'a>> {
    let mut found: BTreeMap<_, MachinePool> = BTreeMap::new();
    for m in p.machines.iter().filter(|m| !m.bad()) {
        let pinned = m.view.map_or(Resources::default(), |v| v.pinned);
        let r = m.record;
        let key = (
            m.shard,
            r.kind.as_str(),
            r.zone.as_str(),
            r.spot,
            pinned.cpus,
            pinned.gpus,
            pinned.ram,
        );
        let pool = found.entry(key).or_insert(MachinePool {
            shard: m.shard,
            record: r,
            size: m.size,
            pinned,
            count: 0,
            busy: 0,
        });
        pool.count += 1;
        pool.busy += m.view.map_or(0, |v| v.used.cpus - v.pinned.cpus);
    }
    found.into_values().collect()
}

/// What is decided once for a whole plan.
pub(super) struct PoolSummary<'a> {
    pools: Vec<MachinePool<'a>>,
    /// Machines in each zone.
    by_zone: BTreeMap<&'a str, i64>,
    /// Waiting work so far, by shard and whether it needs accelerators, in thousandths of a processor
    /// times microseconds.
    work: BTreeMap<(usize, bool), i64>,
}

impl<'a> PoolSummary<'a> {
    pub(super) fn of(snapshot: &ClusterSnapshot<'a>) -> PoolSummary<'a> {
        let mut by_zone: BTreeMap<&str, i64> = BTreeMap::new();
        for m in &snapshot.machines {
            *by_zone.entry(m.record.zone.as_str()).or_default() += 1;
        }
        PoolSummary {
            pools: pools(snapshot),
            by_zone,
            work: BTreeMap::new(),
        }
    }
}

impl ClusterSnapshot<'_> {
    fn refuses(&self, kind: &str, zone: &str, spot: bool) -> bool {
        let offer = (kind.to_owned(), zone.to_owned(), spot);
        self.unavailable_offers
            .get(&offer)
            .is_some_and(|(until, _)| *until > self.now)
    }

    /// Whether anything that may run the need can be asked for in this zone.
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

/// Places in a shard's machines that could serve a need sooner or later.
#[derive(Default)]
struct Slots<'a> {
    all: i64,
    by_zone: BTreeMap<&'a str, i64>,
    /// Processors that work uses there which ends by itself.
    busy: i64,
}

/// A machine that could be rented.
struct Candidate<'a> {
    kind: &'a MachineType,
    zone: &'a str,
    spot: bool,
    /// Tasks that it takes.
    fit: i64,
}

impl<'a> Planner<'_, 'a> {
    fn slots(&self, demand: &Demand) -> Slots<'a> {
        let mut slots = Slots::default();
        for s in self
            .summary
            .pools
            .iter()
            .filter(|s| s.shard == demand.shard)
        {
            let mut size = s.size;
            size.sub(s.pinned);
            let (fit, r) = (size.fits(demand.request.task), s.record);
            if fit > 0
                && demand.suits(s.size, self.snapshot.types)
                && demand.allows(&r.kind, &r.zone, r.spot)
            {
                slots.busy += s.busy;
                slots.all += fit * s.count;
                *slots.by_zone.entry(r.zone.as_str()).or_default() += fit * s.count;
            }
        }
        slots
    }

    /// For how many tasks the shard's machines lack room, as they get through what runs and waits until this must
    /// start.
    fn short_of(&mut self, demand: &Demand, slots: &Slots) -> i64 {
        let request = demand.request;
        let types = self.snapshot.types;
        let unit = request.task.cpus.max(1);
        let estimate = request.estimate.max(ESTIMATE_MIN).0 / 1_000;
        let sum = self
            .summary
            .work
            .entry((demand.shard, request.task.gpus > 0))
            .or_default();
        *sum += i64::from(request.count) * estimate * unit / 1_000;
        // What runs is half through on average.
        let todo = *sum + slots.busy * estimate / 2_000;
        let suitable = types
            .iter()
            .filter(|t| t.size.fits(request.task) > 0 && demand.suits(t.size, types));
        let cheap = suitable
            .map(|t| t.price)
            .min()
            .is_some_and(|price| cheap(types, price));
        let time = request
            .left
            .map_or(DRAIN_IDLE, |l| l.clamp(DRAIN_MIN, DRAIN_MAX));
        let time = time.over(if cheap { 2 } else { 1 }).0 / 1_000;
        (todo * 1_000 / time - slots.all * unit).max(0) / unit
    }

    /// For how many tasks machines should be rented. Services are rented for in full.
    fn tasks_to_provision_for(&mut self, demand: &Demand) -> u32 {
        let request = demand.request;
        if request.service {
            return demand.rest;
        }
        let slots = self.slots(demand);
        let short = self.short_of(demand, &slots).min(i64::from(demand.rest)) as u32;
        if !request.together {
            return if slots.all == 0 { short.max(1) } else { short };
        }
        // All of it must find room at once, so what it holds already counts neither way.
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

    /// The cheapest for its tasks; of those, in the zone with fewer machines, so that a spread job finds both.
    fn best_candidate(&self, demand: &Demand, tasks: u32) -> Option<Candidate<'a>> {
        let p = self.snapshot;
        let mut best: Option<(i64, Candidate)> = None;
        for t in p.types {
            let fit = t.size.fits(demand.request.task);
            if fit <= 0 || !demand.suits(t.size, p.types) {
                continue;
            }
            for zone in &t.zones {
                for spot in [true, false] {
                    if !demand.allows(&t.name, zone, spot) || p.refuses(&t.name, zone, spot) {
                        continue;
                    }
                    let price = if spot { t.spot_price } else { t.price };
                    let each = price * 1_000 / fit.min(i64::from(tasks)).max(1);
                    let here = self
                        .summary
                        .by_zone
                        .get(zone.as_str())
                        .copied()
                        .unwrap_or(0);
                    let cost = each * 1_000 + here;
                    if best.as_ref().is_none_or(|b| cost < b.0) {
                        best = Some((
                            cost,
                            Candidate {
                                kind: t,
                                zone,
                                spot,
                                fit,
                            },
                        ));
                    }
                }
            }
        }
        best.map(|b| b.1)
    }

    pub(super) fn provision_for(&mut self, demand: &Demand) {
        let mut tasks = self.tasks_to_provision_for(demand);
        while tasks > 0 {
            let Some(c) = self.best_candidate(demand, tasks) else {
                return;
            };
            let same = |r: &ProvisioningRecord| {
                r.kind == c.kind.name && r.zone == c.zone && r.spot == c.spot
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
            let count = (((i64::from(tasks) + c.fit - 1) / c.fit) as u32).min(most);
            let (kind, zone) = (c.kind.name.clone(), c.zone.to_owned());
            self.plan.provisionings.push(ProvisioningRecord {
                shard: demand.shard,
                kind,
                zone,
                spot: c.spot,
                count,
            });
            tasks = tasks.saturating_sub(count * c.fit as u32);
        }
    }
}
