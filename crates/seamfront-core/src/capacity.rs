//! How many machines of which kind: a pure plan from what the shards tell. Carrying it out is the
//! leader's business.

use crate::boots::Boots;
use crate::fleet::MachineRecord;
use crate::port::{MachineView, Need};
use crate::types::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// `rent/<name>`: written before the cloud is asked, so that a successor repeats the same request
/// under the same name instead of renting twice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RentRecord {
    /// The shard that the machines are for.
    #[serde(rename = "share")]
    pub shard: usize,
    /// Machine type.
    pub kind: String,
    /// Zone.
    pub zone: String,
    /// Whether spot machines are asked for.
    pub spot: bool,
    /// How many.
    pub count: u32,
}

/// Type, zone and spot or not: what the cloud may be asked for.
pub type Offer = (String, String, bool);

/// A machine as the plan sees it.
pub struct Supply<'a> {
    /// Name.
    pub id: &'a MachineId,
    /// The shard that owns it.
    pub shard: usize,
    /// Its record in the state service.
    pub record: &'a MachineRecord,
    /// What it has in all.
    pub size: Amounts,
    /// What its owner last told of it.
    pub view: Option<&'a MachineView>,
    /// Since it was assigned to its shard.
    pub age: Micros,
}

impl Supply<'_> {
    fn up(&self) -> bool {
        self.view.is_some_and(|v| v.up && !v.bad && !v.leaving)
    }
    fn bad(&self) -> bool {
        self.view.is_some_and(|v| v.bad)
    }
    fn gathered(&self) -> bool {
        self.view.is_some_and(|v| v.gathered)
    }
    fn idle(&self) -> Option<Micros> {
        self.view.and_then(|v| v.idle)
    }
}

/// All that a plan is made from.
pub struct Picture<'a> {
    /// The time of the plan.
    pub now: Micros,
    /// What waits, with the shard in which it does.
    pub needs: Vec<(usize, &'a Need)>,
    /// All machines that are assigned to a shard.
    pub machines: Vec<Supply<'a>>,
    /// Rentals that are under way.
    pub rents: Vec<&'a RentRecord>,
    /// Machine types on offer.
    pub types: &'a [MachineType],
    /// Offers that the cloud has refused: until when, and how often in a row.
    pub refused: &'a BTreeMap<Offer, (Micros, u32)>,
    /// Operators' settings.
    pub tuning: &'a Tuning,
    /// How long machines take until they are up.
    pub boots: &'a Boots,
    /// Machines that are being cleared for another shard.
    pub clearing: &'a BTreeMap<MachineId, (usize, Micros)>,
}

/// What the leader should do now.
#[derive(Debug, Default)]
pub struct Plan {
    /// Machines to be moved, with the shard that they go to.
    pub moves: Vec<(MachineId, usize)>,
    /// Machines to be returned.
    pub returns: Vec<MachineId>,
    /// To be cleared of lesser work than that of this priority, for this shard.
    pub clear: Vec<(MachineId, usize, Priority)>,
    /// Rentals to be begun.
    pub rents: Vec<RentRecord>,
}

/// Work that the machines at hand get through in time is not rented for. In time is until it must
/// start, within these bounds; work without a time to keep can wait longer.
const DRAIN_MIN: Micros = Micros::from_secs(20);
const DRAIN_MAX: Micros = Micros::from_secs(60);
const DRAIN_IDLE: Micros = Micros::from_secs(90);
/// How long ordinary work waits before lesser work is stopped elsewhere for it.
const PATIENCE: Micros = Micros::from_secs(5);
/// Machines cleared at once: what they free is seen before more work is stopped.
const CLEAR_MAX: usize = 3;
/// A machine that costs less than this part of the costliest that is offered is cheap: work does not
/// wait for it, and it is kept longer. (What the fleet spends says nothing: a large one spends so much
/// that every machine would be cheap.)
const CHEAP_PART: i64 = 5;
const CHEAP_FACTOR: i64 = 4;
const RENT_MAX: u32 = 20;

/// Machines that a plan can't tell from each other: of one shard, kind, zone and price, with as much taken
/// by services. A far larger fleet has hardly more of these than a small one.
struct Stock<'a> {
    shard: usize,
    record: &'a MachineRecord,
    size: Amounts,
    /// Taken by services.
    pinned: Amounts,
    count: i64,
    /// Processors that work uses which ends by itself, in all of them.
    busy: i64,
}

fn stocks<'a>(p: &Picture<'a>) -> Vec<Stock<'a>> {
    let mut found: BTreeMap<_, Stock> = BTreeMap::new();
    for m in p.machines.iter().filter(|m| !m.bad()) {
        let pinned = m.view.map_or(Amounts::default(), |v| v.pinned);
        let r = m.record;
        let key = (m.shard, r.kind.as_str(), r.zone.as_str(), r.spot, pinned.cpus, pinned.gpus, pinned.ram);
        let stock =
            found.entry(key).or_insert(Stock { shard: m.shard, record: r, size: m.size, pinned, count: 0, busy: 0 });
        stock.count += 1;
        stock.busy += m.view.map_or(0, |v| v.used.cpus - v.pinned.cpus);
    }
    found.into_values().collect()
}

/// What is decided once for a whole plan.
struct Overview<'a> {
    stocks: Vec<Stock<'a>>,
    by_zone: BTreeMap<&'a str, i64>,
    /// Waiting work so far, by shard and whether it needs accelerators, in thousandths of a processor
    /// times microseconds.
    work: BTreeMap<(usize, bool), i64>,
}

/// Makes a plan; the same picture gives the same plan.
pub fn plan(p: &Picture) -> Plan {
    let mut plan = Plan::default();
    let mut overview = Overview { stocks: stocks(p), by_zone: BTreeMap::new(), work: BTreeMap::new() };
    for m in &p.machines {
        *overview.by_zone.entry(m.record.zone.as_str()).or_default() += 1;
    }
    // What may be cleared for more important work, the least loss first.
    let clearable = |m: &&Supply| m.up() && m.view.is_some_and(|v| v.least.is_some()) && !p.clearing.contains_key(m.id);
    let mut lesser: Vec<&Supply> = p.machines.iter().filter(clearable).collect();
    lesser.sort_by_key(|m| (m.view.map(|v| v.loss), m.id));
    let mut needs = p.needs.clone();
    needs.sort_by_key(|(_, n)| {
        (turn(n.priority, n.overdue), !n.guaranteed, n.left.unwrap_or(Micros::MAX), Micros::ZERO - n.waited)
    });
    // Room that is coming or lies idle, lowered as needs take it.
    let mut coming: Vec<(usize, String, String, bool, Amounts)> = Vec::new();
    for r in &p.rents {
        if let Some(t) = p.types.iter().find(|t| t.name == r.kind) {
            for _ in 0..r.count {
                coming.push((r.shard, r.kind.clone(), r.zone.clone(), r.spot, t.size));
            }
        }
    }
    for m in &p.machines {
        let boot = p.types.iter().find(|t| t.name == m.record.kind).map_or(Micros::from_secs(60), |t| t.boot);
        if let Some((to, _)) = p.clearing.get(m.id) {
            coming.push((*to, m.record.kind.clone(), m.record.zone.clone(), m.record.spot, m.size));
            if m.view.is_some_and(|v| v.released) {
                plan.moves.push((m.id.clone(), *to));
            }
            continue;
        }
        let never = m.view.is_none_or(|v| !v.up) && !m.bad();
        if m.view.is_some_and(|v| !v.up) && p.boots.given_up(m.id, boot, p.now) {
            plan.returns.push(m.id.clone());
        } else if never && m.age < p.boots.late_after(&m.record.kind, boot) {
            coming.push((m.shard, m.record.kind.clone(), m.record.zone.clone(), m.record.spot, m.size));
        }
    }
    let mut idle: Vec<&Supply> =
        p.machines.iter().filter(|m| m.up() && m.idle().is_some() && !p.clearing.contains_key(m.id)).collect();
    idle.sort_by_key(|m| (!m.view.is_some_and(|v| v.released), m.id));
    let gathered: Vec<&Supply> = p.machines.iter().filter(|m| m.gathered()).collect();
    // By shard: gangs that wait there and whose order has not come yet.
    let mut gangs_to_come: BTreeMap<usize, u32> = BTreeMap::new();
    for (shard, _) in needs.iter().filter(|(_, n)| n.together) {
        *gangs_to_come.entry(*shard).or_default() += 1;
    }
    let mut wanted: BTreeSet<&MachineId> = BTreeSet::new();
    let mut cleared: BTreeSet<&MachineId> = BTreeSet::new();

    for (shard, need) in &needs {
        if let Some(n) = gangs_to_come.get_mut(shard).filter(|_| need.together) {
            *n -= 1;
        }
        let mut rest = need.count;
        // Where nothing can be rented any more in the zone that it gathers in, another zone must
        // hold all of it.
        let mut zone = need.zone.as_deref().or(need.gathering.as_deref());
        if need.zone.is_none() && zone.is_some_and(|z| !on_offer(p, need, z)) {
            (zone, rest) = (None, if need.together { need.total } else { need.count });
        }
        let allowed = |kind: &str, z: &str, spot: bool| {
            (need.spot || !spot)
                && zone.is_none_or(|want| want == z)
                && need.types.as_ref().is_none_or(|t| t.iter().any(|x| x == kind))
        };
        // What it holds already is not for those that come after it. What those hold is for it: gangs
        // that each hold a part of what none of them can do with would all wait for ever.
        let mut held = if need.together { need.total.saturating_sub(need.count) } else { 0 };
        for m in gathered.iter().filter(|m| m.shard == *shard) {
            if held > 0 && m.size.fits(need.task) > 0 && allowed(&m.record.kind, &m.record.zone, m.record.spot) {
                wanted.insert(m.id);
                held = held.saturating_sub(m.size.fits(need.task).min(i64::from(held)) as u32);
            }
        }
        // What lies idle elsewhere: it is there now, while what is on its way may take long.
        let mut zone_pick: Option<&str> = None;
        for m in &idle {
            if rest == 0 || wanted.contains(m.id) || m.shard == *shard {
                continue;
            }
            let fit = m.size.fits(need.task) > 0 && suits(need.task, need.types.as_deref(), m.size, p.types);
            if !allowed(&m.record.kind, &m.record.zone, m.record.spot) || !fit {
                continue;
            }
            if need.one_zone && zone_pick.is_some_and(|z| z != m.record.zone) {
                continue;
            }
            zone_pick = Some(&m.record.zone);
            wanted.insert(m.id);
            plan.moves.push((m.id.clone(), *shard));
            rest -= m.size.fits(need.task).min(i64::from(rest)) as u32;
        }
        if rest == 0 {
            continue;
        }
        // What is on its way to this shard.
        for c in coming.iter_mut().filter(|c| c.0 == *shard) {
            let suits = suits(need.task, need.types.as_deref(), c.4, p.types);
            if rest > 0 && suits && allowed(&c.1, &c.2, c.3) {
                let n = c.4.fits(need.task).min(i64::from(rest));
                c.4.sub(need.task.times(n));
                rest -= n as u32;
            }
        }
        if rest == 0 {
            continue;
        }
        let rented = plan.rents.len();
        rent_for(p, &mut overview, &mut plan, *shard, need, rest, &allowed);
        // Live services do not wait for a machine to boot, nor does urgent work that would be late by
        // then; other work is helped at lesser work's cost only if there is nothing to rent.
        if need.service
            || (plan.rents.len() == rented && need.waited > if need.guaranteed { PATIENCE.over(4) } else { PATIENCE })
        {
            for m in &lesser {
                if rest == 0 || cleared.len() >= CLEAR_MAX {
                    break;
                }
                // What a gang holds is not idle where lesser work uses the rest of the machine, nor where such work
                // is being stopped for that gang: unless the gang comes after this need, it is the gang's, or
                // gangs of several shards would clear it from each other without end.
                let held =
                    wanted.contains(m.id) || (m.gathered() && gangs_to_come.get(&m.shard).is_none_or(|n| *n == 0));
                let helps = m.shard != *shard
                    && !held
                    && m.view.is_some_and(|v| v.least.is_some_and(|l| l > need.priority))
                    && m.size.fits(need.task) > 0
                    && !cleared.contains(m.id)
                    && allowed(&m.record.kind, &m.record.zone, m.record.spot)
                    && suits(need.task, need.types.as_deref(), m.size, p.types);
                if !helps {
                    continue;
                }
                cleared.insert(m.id);
                plan.clear.push((m.id.clone(), *shard, need.priority));
                rest -= m.size.fits(need.task).min(i64::from(rest)) as u32;
            }
        }
    }

    for m in &p.machines {
        let cheap = cheap(p.types, price_of(p.types, &m.record.kind, m.record.spot));
        let keep = p.tuning.idle_keep.times(if cheap { CHEAP_FACTOR } else { 1 });
        let spare =
            !wanted.contains(m.id) && !p.clearing.contains_key(m.id) && m.up() && m.idle().is_some_and(|t| t > keep);
        if spare && !m.gathered() {
            plan.returns.push(m.id.clone());
        }
    }
    plan
}

/// What an hour of such a machine costs.
pub fn price_of(types: &[MachineType], kind: &str, spot: bool) -> i64 {
    types.iter().find(|t| t.name == kind).map_or(0, |t| if spot { t.spot_price } else { t.price })
}

fn cheap(types: &[MachineType], price: i64) -> bool {
    types.iter().map(|t| t.price).max().is_some_and(|most| price * CHEAP_PART < most)
}

fn on_offer(p: &Picture, need: &Need, zone: &str) -> bool {
    p.types.iter().filter(|t| t.size.fits(need.task) > 0).any(|t| {
        let named = need.types.as_ref().is_none_or(|names| names.contains(&t.name));
        let here = t.zones.iter().any(|z| z == zone);
        named
            && here
            && [true, false].into_iter().filter(|s| need.spot || !s).any(|spot| {
                let offer = (t.name.clone(), zone.to_owned(), spot);
                p.refused.get(&offer).is_none_or(|r| r.0 <= p.now)
            })
    })
}

fn rent_for(
    p: &Picture,
    overview: &mut Overview,
    plan: &mut Plan,
    shard: usize,
    need: &Need,
    rest: u32,
    allowed: &dyn Fn(&str, &str, bool) -> bool,
) {
    let mut want = rest;
    if !need.service {
        // Slots of the shard that could serve it sooner or later, and what they still have to do.
        let mut slots: i64 = 0;
        let mut busy: i64 = 0;
        let mut by_zone: BTreeMap<&str, i64> = BTreeMap::new();
        for s in overview.stocks.iter().filter(|s| s.shard == shard) {
            let mut size = s.size;
            size.sub(s.pinned);
            let (fit, r) = (size.fits(need.task), s.record);
            let suits = suits(need.task, need.types.as_deref(), s.size, p.types);
            if fit > 0 && suits && allowed(&r.kind, &r.zone, r.spot) {
                busy += s.busy;
                slots += fit * s.count;
                *by_zone.entry(r.zone.as_str()).or_default() += fit * s.count;
            }
        }
        let unit = need.task.cpus.max(1);
        let estimate = need.estimate.max(Micros::from_secs(5)).0 / 1_000;
        // What runs is half through on average.
        let sum = overview.work.entry((shard, need.task.gpus > 0)).or_default();
        *sum += i64::from(need.count) * estimate * unit / 1_000;
        let todo = *sum + busy * estimate / 2_000;
        let prices = p
            .types
            .iter()
            .filter(|t| t.size.fits(need.task) > 0 && suits(need.task, need.types.as_deref(), t.size, p.types));
        let cheap = prices.map(|t| t.price).min().is_some_and(|price| cheap(p.types, price));
        let target = need.left.map_or(DRAIN_IDLE, |l| l.clamp(DRAIN_MIN, DRAIN_MAX));
        let target = target.over(if cheap { 2 } else { 1 }).0 / 1_000;
        let short = (todo * 1_000 / target - slots * unit).max(0) / unit;
        want = (short.min(i64::from(rest))) as u32;
        if need.together {
            let most = if need.one_zone { by_zone.values().max().copied().unwrap_or(0) } else { slots };
            // All of it must find room at once, so what it holds already counts neither way.
            let lacking = (i64::from(need.total) - most).max(0) as u32;
            want = if lacking > 0 {
                lacking
            } else if want > 0 {
                need.count
            } else {
                0
            };
        } else if slots == 0 {
            want = want.max(1);
        }
    }
    while want > 0 {
        let mut best: Option<(i64, &MachineType, &str, bool, i64)> = None;
        for t in p.types {
            let fit = t.size.fits(need.task);
            if fit <= 0 || !suits(need.task, need.types.as_deref(), t.size, p.types) {
                continue;
            }
            for z in &t.zones {
                for spot in [true, false] {
                    let offer = (t.name.clone(), z.clone(), spot);
                    let refused = p.refused.get(&offer).is_some_and(|r| r.0 > p.now);
                    if !allowed(&t.name, z, spot) || refused {
                        continue;
                    }
                    let price = if spot { t.spot_price } else { t.price };
                    let cost = price * 1_000 / fit.min(i64::from(want)).max(1);
                    // Zones with fewer machines first, so that a spread job finds both.
                    let here = overview.by_zone.get(z.as_str()).copied().unwrap_or(0);
                    let cost = cost * 1_000 + here;
                    if best.as_ref().is_none_or(|b| cost < b.0) {
                        best = Some((cost, t, z, spot, fit));
                    }
                }
            }
        }
        let Some((_, t, zone, spot, fit)) = best else { return };
        let count = (i64::from(want) + fit - 1) / fit;
        let count = (count as u32).min(RENT_MAX);
        let count = if need.spread { count.min(1) } else { count };
        let already = plan.rents.iter().filter(|r| r.kind == t.name && r.zone == zone && r.spot == spot).count();
        if already > 0 {
            // One request per offer and round; the rest follows when the answer is known.
            return;
        }
        plan.rents.push(RentRecord { shard, kind: t.name.clone(), zone: zone.to_owned(), spot, count });
        want = want.saturating_sub(count * fit as u32);
    }
}
