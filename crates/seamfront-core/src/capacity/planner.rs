//! Serving what waits, the most urgent first: from machines that lie idle, that are on their way, that can be rented,
//! and at last from those that lesser work uses.

use super::provisioning::PoolSummary;
use super::{cheap, hourly_price, ClusterSnapshot, Plan, Supply, CHEAP_FACTOR};
use crate::port::ResourceRequest;
use crate::types::{queue_rank, suits, MachineId, MachineType, Micros, Resources};
use std::collections::{BTreeMap, BTreeSet};

/// How long ordinary work waits before lesser work is stopped elsewhere for it.
const PATIENCE: Micros = Micros::from_secs(5);
/// Machines cleared at once: what they free is seen before more work is stopped.
const CLEAR_MAX: usize = 3;
/// Boot time of a type that the cloud no longer lists.
const UNKNOWN_BOOT: Micros = Micros::from_secs(60);

/// Needs in the order in which they are served.
pub(super) fn in_order<'a>(snapshot: &ClusterSnapshot<'a>) -> Vec<(usize, &'a ResourceRequest)> {
    let mut requests = snapshot.requests.clone();
    requests.sort_by_key(|(_, n)| {
        (
            queue_rank(n.priority, n.starving),
            !n.guaranteed,
            n.left.unwrap_or(Micros::MAX),
            Micros::ZERO - n.waited,
        )
    });
    requests
}

/// A machine that is on its way to a shard, with the room that nobody has been given yet.
struct IncomingMachine<'a> {
    shard: usize,
    kind: &'a str,
    zone: &'a str,
    spot: bool,
    room: Resources,
}

/// What may serve one need: it may have to be in one zone by now.
pub(super) struct Demand<'a> {
    pub(super) shard: usize,
    pub(super) request: &'a ResourceRequest,
    zone: Option<&'a str>,
    /// Tasks that have no place in the plan yet.
    pub(super) rest: u32,
}

impl<'a> Demand<'a> {
    /// Where nothing can be rented any more in the zone that it gathers in, another zone must hold all of it.
    fn new(snapshot: &ClusterSnapshot, shard: usize, request: &'a ResourceRequest) -> Demand<'a> {
        let zone = request.zone.as_deref().or(request.reserved_zone.as_deref());
        if request.zone.is_none() && zone.is_some_and(|z| !snapshot.on_offer(request, z)) {
            let rest = if request.together {
                request.total
            } else {
                request.count
            };
            return Demand {
                shard,
                request,
                zone: None,
                rest,
            };
        }
        Demand {
            shard,
            request,
            zone,
            rest: request.count,
        }
    }

    /// Whether such a machine may run it.
    pub(super) fn allows(&self, kind: &str, zone: &str, spot: bool) -> bool {
        (self.request.spot || !spot)
            && self.zone.is_none_or(|want| want == zone)
            && self
                .request
                .types
                .as_ref()
                .is_none_or(|types| types.iter().any(|t| t == kind))
    }

    fn allows_machine(&self, m: &Supply) -> bool {
        self.allows(&m.record.kind, &m.record.zone, m.record.spot)
    }

    /// Whether a machine of that size suits it; `room` is what is left of it.
    pub(super) fn suits(&self, size: Resources, types: &[MachineType]) -> bool {
        suits(
            self.request.task,
            self.request.types.as_deref(),
            size,
            types,
        )
    }

    /// Gives places on a machine with that room to what has none.
    fn take(&mut self, room: Resources) -> i64 {
        let taken = room.fits(self.request.task).min(i64::from(self.rest));
        self.rest -= taken as u32;
        taken
    }
}

/// A plan in the making.
pub(super) struct Planner<'p, 'a> {
    pub(super) snapshot: &'p ClusterSnapshot<'a>,
    pub(super) plan: Plan,
    pub(super) summary: PoolSummary<'a>,
    /// Machines with nothing on them, those let go already first.
    idle: Vec<&'p Supply<'a>>,
    /// Machines on which gangs hold room.
    reserved_for_gang: Vec<&'p Supply<'a>>,
    /// What may be cleared for more important work, the least loss first.
    preemptible: Vec<&'p Supply<'a>>,
    /// Lowered as needs take it.
    incoming: Vec<IncomingMachine<'p>>,
    /// By shard: gangs that wait there and whose order has not come yet.
    gangs_to_come: BTreeMap<usize, u32>,
    /// Machines that a need keeps or takes.
    wanted: BTreeSet<&'p MachineId>,
    cleared: BTreeSet<&'p MachineId>,
}

impl<'p, 'a> Planner<'p, 'a> {
    pub(super) fn new(snapshot: &'p ClusterSnapshot<'a>) -> Self {
        let not_clearing = |m: &&Supply| m.up() && !snapshot.draining.contains_key(m.id);
        let up: Vec<&Supply> = snapshot.machines.iter().filter(not_clearing).collect();
        let mut preemptible: Vec<&Supply> = up
            .iter()
            .filter(|m| m.view.is_some_and(|v| v.highest_priority.is_some()))
            .copied()
            .collect();
        preemptible.sort_by_key(|m| (m.view.map(|v| v.loss), m.id));
        let mut idle: Vec<&Supply> = up.into_iter().filter(|m| m.idle().is_some()).collect();
        idle.sort_by_key(|m| (!m.view.is_some_and(|v| v.released), m.id));
        let mut gangs_to_come: BTreeMap<usize, u32> = BTreeMap::new();
        for (shard, _) in snapshot.requests.iter().filter(|(_, n)| n.together) {
            *gangs_to_come.entry(*shard).or_default() += 1;
        }
        let mut planner = Planner {
            snapshot,
            plan: Plan::default(),
            summary: PoolSummary::of(snapshot),
            idle,
            reserved_for_gang: snapshot
                .machines
                .iter()
                .filter(|m| m.reserved_for_gang())
                .collect(),
            preemptible,
            incoming: Vec::new(),
            gangs_to_come,
            wanted: BTreeSet::new(),
            cleared: BTreeSet::new(),
        };
        planner.note_provisionings();
        snapshot
            .machines
            .iter()
            .for_each(|m| planner.note_machine(m));
        planner
    }

    pub(super) fn into_plan(self) -> Plan {
        self.plan
    }

    fn note_provisionings(&mut self) {
        for r in &self.snapshot.provisionings {
            let Some(t) = self.snapshot.types.iter().find(|t| t.name == r.kind) else {
                continue;
            };
            for _ in 0..r.count {
                let (kind, zone) = (r.kind.as_str(), r.zone.as_str());
                self.incoming.push(IncomingMachine {
                    shard: r.shard,
                    kind,
                    zone,
                    spot: r.spot,
                    room: t.size,
                });
            }
        }
    }

    /// What is cleared for a shard, or boots and is not late, is on its way there.
    fn note_machine(&mut self, m: &'p Supply<'a>) {
        let p = self.snapshot;
        let r = m.record;
        let incoming = |shard: usize| IncomingMachine {
            shard,
            kind: r.kind.as_str(),
            zone: r.zone.as_str(),
            spot: r.spot,
            room: m.size,
        };
        if let Some((to, _)) = p.draining.get(m.id) {
            self.incoming.push(incoming(*to));
            if m.view.is_some_and(|v| v.released) {
                self.plan.moves.push((m.id.clone(), *to));
            }
            return;
        }
        let boot = p
            .types
            .iter()
            .find(|t| t.name == r.kind)
            .map_or(UNKNOWN_BOOT, |t| t.boot);
        let not_up = m.view.is_none_or(|v| !v.up) && !m.bad();
        if m.view.is_some_and(|v| !v.up) && p.boot_times.presumed_failed(m.id, boot, p.now) {
            self.plan.terminations.push(m.id.clone());
        } else if not_up && m.age < p.boot_times.late_after(&r.kind, boot) {
            self.incoming.push(incoming(m.shard));
        }
    }

    /// Finds machines for what waits in a shard.
    pub(super) fn satisfy(&mut self, shard: usize, request: &ResourceRequest) {
        if let Some(n) = self
            .gangs_to_come
            .get_mut(&shard)
            .filter(|_| request.together)
        {
            *n -= 1;
        }
        let mut demand = Demand::new(self.snapshot, shard, request);
        self.keep_held(&demand);
        self.rebalance_idle(&mut demand);
        if demand.rest == 0 {
            return;
        }
        self.count_incoming(&mut demand);
        if demand.rest == 0 {
            return;
        }
        let planned_before = self.plan.provisionings.len();
        self.provision_for(&demand);
        // Live services do not wait for a machine to boot, nor does urgent work that would be late by
        // then; other work is helped at lesser work's cost only if there is nothing to rent.
        let patience = if request.guaranteed {
            PATIENCE.over(4)
        } else {
            PATIENCE
        };
        let nothing_to_provision = self.plan.provisionings.len() == planned_before;
        if request.service || (nothing_to_provision && request.waited > patience) {
            self.drain_preemptible(&mut demand);
        }
    }

    /// What it holds already is not for those that come after it. What those hold is for it: gangs
    /// that each hold a part of what none of them can do with would all wait for ever.
    fn keep_held(&mut self, demand: &Demand) {
        let request = demand.request;
        let mut held = if request.together {
            request.total.saturating_sub(request.count)
        } else {
            0
        };
        for m in self
            .reserved_for_gang
            .iter()
            .filter(|m| m.shard == demand.shard)
        {
            if held > 0 && m.size.fits(request.task) > 0 && demand.allows_machine(m) {
                self.wanted.insert(m.id);
                held = held.saturating_sub(m.size.fits(request.task).min(i64::from(held)) as u32);
            }
        }
    }

    /// What lies idle elsewhere: it is there now, while what is on its way may take long.
    fn rebalance_idle(&mut self, demand: &mut Demand) {
        let request = demand.request;
        let mut zone_pick: Option<&str> = None;
        for m in &self.idle {
            if demand.rest == 0 || self.wanted.contains(m.id) || m.shard == demand.shard {
                continue;
            }
            let fits = m.size.fits(request.task) > 0 && demand.suits(m.size, self.snapshot.types);
            if !fits || !demand.allows_machine(m) {
                continue;
            }
            if request.one_zone && zone_pick.is_some_and(|z| z != m.record.zone) {
                continue;
            }
            zone_pick = Some(&m.record.zone);
            self.wanted.insert(m.id);
            self.plan.moves.push((m.id.clone(), demand.shard));
            demand.take(m.size);
        }
    }

    /// What is on its way to this shard.
    fn count_incoming(&mut self, demand: &mut Demand) {
        let shard = demand.shard;
        for c in self.incoming.iter_mut().filter(|c| c.shard == shard) {
            let suits = demand.suits(c.room, self.snapshot.types);
            if demand.rest > 0 && suits && demand.allows(c.kind, c.zone, c.spot) {
                let taken = demand.take(c.room);
                c.room.sub(demand.request.task.times(taken));
            }
        }
    }

    /// What a gang holds is not idle where lesser work uses the rest of the machine, nor where such work is being
    /// stopped for that gang: unless the gang comes after this need, it is the gang's, or gangs of several shards
    /// would clear it from each other without end.
    fn held_for_earlier(&self, m: &Supply) -> bool {
        let gang_to_come = self.gangs_to_come.get(&m.shard).is_some_and(|n| *n > 0);
        self.wanted.contains(m.id) || (m.reserved_for_gang() && !gang_to_come)
    }

    fn drain_preemptible(&mut self, demand: &mut Demand) {
        let request = demand.request;
        for m in &self.preemptible {
            if demand.rest == 0 || self.cleared.len() >= CLEAR_MAX {
                break;
            }
            let helps = m.shard != demand.shard
                && m.view
                    .is_some_and(|v| v.highest_priority.is_some_and(|l| l > request.priority))
                && m.size.fits(request.task) > 0
                && demand.allows_machine(m)
                && demand.suits(m.size, self.snapshot.types);
            if !helps || self.cleared.contains(m.id) || self.held_for_earlier(m) {
                continue;
            }
            self.cleared.insert(m.id);
            self.plan
                .drains
                .push((m.id.clone(), demand.shard, request.priority));
            demand.take(m.size);
        }
    }

    /// What nobody wants and has been idle for long is returned.
    pub(super) fn scale_in_idle(&mut self) {
        let p = self.snapshot;
        for m in &self.idle {
            let cheap = cheap(
                p.types,
                hourly_price(p.types, &m.record.kind, m.record.spot),
            );
            let keep = p
                .tuning
                .idle_keep
                .times(if cheap { CHEAP_FACTOR } else { 1 });
            let spare = m.idle().is_some_and(|t| t > keep)
                && !m.reserved_for_gang()
                && !self.wanted.contains(m.id);
            if spare {
                self.plan.terminations.push(m.id.clone());
            }
        }
    }
}
