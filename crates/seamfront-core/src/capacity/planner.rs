//! Serving pending requests in order of priority: from idle machines, from incoming ones, from machines that can be
//! provisioned, and last from those that work of lower priority uses.

use super::provisioning::PoolSummary;
use super::{
    hourly_price, is_cheap, ClusterSnapshot, Drain, Move, Plan, ShardRequest, Supply,
    CHEAP_IDLE_FACTOR,
};
use crate::port::ResourceRequest;
use crate::types::{queue_rank, suits, MachineId, MachineType, Micros, Resources};
use std::collections::{BTreeMap, BTreeSet};

/// How long ordinary work waits before work of lower priority is preempted in other shards for it.
const PREEMPTION_DELAY: Micros = Micros::from_secs(5);
/// Machines drained in one plan: what they free is seen before more work is preempted.
const MAX_DRAINS: usize = 3;
/// Boot time of a type that the cloud no longer lists.
const UNLISTED_TYPE_BOOT_TIME: Micros = Micros::from_secs(60);

/// The requests in the order in which they are served.
pub(super) fn requests_in_order<'a>(snapshot: &ClusterSnapshot<'a>) -> Vec<ShardRequest<'a>> {
    let mut requests = snapshot.requests.clone();
    requests.sort_by_key(|ShardRequest { request, .. }| {
        (
            queue_rank(request.priority, request.starving),
            !request.guaranteed,
            request.left.unwrap_or(Micros::MAX),
            Micros::ZERO - request.waited,
        )
    });
    requests
}

/// A machine that is going to join a shard, with the room that no request has taken yet.
struct IncomingMachine<'a> {
    shard: usize,
    kind: &'a str,
    zone: &'a str,
    spot: bool,
    room: Resources,
}

/// One request, and what may serve it: it may be bound to one zone by now.
pub(super) struct Demand<'a> {
    pub(super) shard: usize,
    pub(super) request: &'a ResourceRequest,
    zone: Option<&'a str>,
    /// Tasks that the plan has no room for yet.
    pub(super) unplaced: u32,
}

impl<'a> Demand<'a> {
    /// If nothing can be provisioned any more in the zone that a gang gathers in, another zone must hold all of it.
    fn new(
        snapshot: &ClusterSnapshot,
        ShardRequest { shard, request }: ShardRequest<'a>,
    ) -> Demand<'a> {
        let zone = request.zone.as_deref().or(request.reserved_zone.as_deref());
        if request.zone.is_none() && zone.is_some_and(|z| !snapshot.on_offer(request, z)) {
            let unplaced = if request.together {
                request.total
            } else {
                request.count
            };
            return Demand {
                shard,
                request,
                zone: None,
                unplaced,
            };
        }
        Demand {
            shard,
            request,
            zone,
            unplaced: request.count,
        }
    }

    /// Whether a machine of this type and zone may run it.
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

    /// Whether it may use a machine of that size, by the rules for machine types.
    pub(super) fn suits(&self, size: Resources, types: &[MachineType]) -> bool {
        suits(
            self.request.task,
            self.request.types.as_deref(),
            size,
            types,
        )
    }

    /// Places as many unplaced tasks as fit into that room; returns how many.
    fn take(&mut self, room: Resources) -> i64 {
        let taken = room.fits(self.request.task).min(i64::from(self.unplaced));
        self.unplaced -= taken as u32;
        taken
    }
}

/// A plan in the making.
pub(super) struct Planner<'p, 'a> {
    pub(super) snapshot: &'p ClusterSnapshot<'a>,
    pub(super) plan: Plan,
    pub(super) summary: PoolSummary<'a>,
    /// Idle machines, those that their owners have released first.
    idle: Vec<&'p Supply<'a>>,
    /// Machines on which gangs reserve room.
    reserved_for_gang: Vec<&'p Supply<'a>>,
    /// Machines that may be drained for more important work, the least loss of progress first.
    preemptible: Vec<&'p Supply<'a>>,
    /// Machines that are going to join shards. Their room shrinks as requests take it.
    incoming: Vec<IncomingMachine<'p>>,
    /// By shard: gangs whose requests have not been served yet in this plan.
    unserved_gangs: BTreeMap<usize, u32>,
    /// Machines that a request keeps or takes.
    claimed: BTreeSet<&'p MachineId>,
    /// Machines that this plan drains.
    drained: BTreeSet<&'p MachineId>,
}

impl<'p, 'a> Planner<'p, 'a> {
    pub(super) fn new(snapshot: &'p ClusterSnapshot<'a>) -> Self {
        let not_draining = |m: &&Supply| m.up() && !snapshot.draining.contains_key(m.id);
        let up: Vec<&Supply> = snapshot.machines.iter().filter(not_draining).collect();
        let mut preemptible: Vec<&Supply> = up
            .iter()
            .filter(|m| m.view.is_some_and(|v| v.highest_priority.is_some()))
            .copied()
            .collect();
        preemptible.sort_by_key(|m| (m.view.map(|v| v.loss), m.id));
        let mut idle: Vec<&Supply> = up.into_iter().filter(|m| m.idle().is_some()).collect();
        idle.sort_by_key(|m| (!m.view.is_some_and(|v| v.released), m.id));
        let mut unserved_gangs: BTreeMap<usize, u32> = BTreeMap::new();
        for gang in snapshot.requests.iter().filter(|r| r.request.together) {
            *unserved_gangs.entry(gang.shard).or_default() += 1;
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
            unserved_gangs,
            claimed: BTreeSet::new(),
            drained: BTreeSet::new(),
        };
        planner.count_provisionings();
        snapshot
            .machines
            .iter()
            .for_each(|m| planner.count_machine(m));
        planner
    }

    /// The plan as it stands.
    pub(super) fn into_plan(self) -> Plan {
        self.plan
    }

    fn count_provisionings(&mut self) {
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

    /// A machine that is drained for a shard, or that boots and is not late, is incoming there.
    fn count_machine(&mut self, m: &'p Supply<'a>) {
        let p = self.snapshot;
        let r = m.record;
        let incoming = |shard: usize| IncomingMachine {
            shard,
            kind: r.kind.as_str(),
            zone: r.zone.as_str(),
            spot: r.spot,
            room: m.size,
        };
        if let Some(draining) = p.draining.get(m.id) {
            self.incoming.push(incoming(draining.shard));
            if m.view.is_some_and(|v| v.released) {
                self.plan.moves.push(Move {
                    machine: m.id.clone(),
                    to: draining.shard,
                });
            }
            return;
        }
        let boot = p
            .types
            .iter()
            .find(|t| t.name == r.kind)
            .map_or(UNLISTED_TYPE_BOOT_TIME, |t| t.boot);
        let not_up = m.view.is_none_or(|v| !v.up) && !m.bad();
        if m.view.is_some_and(|v| !v.up) && p.boot_times.presumed_failed(m.id, boot, p.now) {
            self.plan.terminations.push(m.id.clone());
        } else if not_up && m.age < p.boot_times.late_after(&r.kind, boot) {
            self.incoming.push(incoming(m.shard));
        }
    }

    /// Finds machines for a request.
    pub(super) fn satisfy(&mut self, shard_request: ShardRequest) {
        let ShardRequest { shard, request } = shard_request;
        if let Some(gangs) = self
            .unserved_gangs
            .get_mut(&shard)
            .filter(|_| request.together)
        {
            *gangs -= 1;
        }
        let mut demand = Demand::new(self.snapshot, shard_request);
        self.keep_reserved(&demand);
        self.rebalance_idle(&mut demand);
        if demand.unplaced == 0 {
            return;
        }
        self.count_incoming(&mut demand);
        if demand.unplaced == 0 {
            return;
        }
        let planned_before = self.plan.provisionings.len();
        self.provision_for(&demand);
        let nothing_to_provision = self.plan.provisionings.len() == planned_before;
        if may_preempt(request, nothing_to_provision) {
            self.drain_preemptible(&mut demand);
        }
    }

    /// Machines on which a gang reserves room already are not for requests after it. What those reserve may be taken for
    /// this one: gangs that each hold a part of the machines that all of them need would wait for ever.
    fn keep_reserved(&mut self, demand: &Demand) {
        let request = demand.request;
        let mut reserved_tasks = if request.together {
            request.total.saturating_sub(request.count)
        } else {
            0
        };
        for m in self
            .reserved_for_gang
            .iter()
            .filter(|m| m.shard == demand.shard)
        {
            if reserved_tasks > 0 && m.size.fits(request.task) > 0 && demand.allows_machine(m) {
                self.claimed.insert(m.id);
                let fit = m.size.fits(request.task).min(i64::from(reserved_tasks));
                reserved_tasks = reserved_tasks.saturating_sub(fit as u32);
            }
        }
    }

    /// Moves idle machines of other shards: they are up now, while incoming ones may take long.
    fn rebalance_idle(&mut self, demand: &mut Demand) {
        let request = demand.request;
        let mut zone_pick: Option<&str> = None;
        for m in &self.idle {
            if demand.unplaced == 0 || self.claimed.contains(m.id) || m.shard == demand.shard {
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
            self.claimed.insert(m.id);
            self.plan.moves.push(Move {
                machine: m.id.clone(),
                to: demand.shard,
            });
            demand.take(m.size);
        }
    }

    /// Places tasks on machines that are going to join this shard.
    fn count_incoming(&mut self, demand: &mut Demand) {
        let shard = demand.shard;
        for c in self.incoming.iter_mut().filter(|c| c.shard == shard) {
            let suits = demand.suits(c.room, self.snapshot.types);
            if demand.unplaced > 0 && suits && demand.allows(c.kind, c.zone, c.spot) {
                let taken = demand.take(c.room);
                c.room.sub(demand.request.task.times(taken));
            }
        }
    }

    /// Whether a request served before this one holds the machine. Room that a gang reserves is not idle while work of
    /// lower priority uses the rest of the machine, nor while such work is preempted for that gang. Unless the gang's
    /// request comes after this one, the machine is the gang's: gangs of several shards would otherwise drain it from
    /// each other without end.
    fn held_for_earlier(&self, m: &Supply) -> bool {
        let unserved_gang = self.unserved_gangs.get(&m.shard).is_some_and(|n| *n > 0);
        self.claimed.contains(m.id) || (m.reserved_for_gang() && !unserved_gang)
    }

    /// Drains machines of work with lower priority.
    fn drain_preemptible(&mut self, demand: &mut Demand) {
        let request = demand.request;
        for m in &self.preemptible {
            if demand.unplaced == 0 || self.drained.len() >= MAX_DRAINS {
                break;
            }
            let helps = m.shard != demand.shard
                && m.view
                    .is_some_and(|v| v.highest_priority.is_some_and(|l| l > request.priority))
                && m.size.fits(request.task) > 0
                && demand.allows_machine(m)
                && demand.suits(m.size, self.snapshot.types);
            if !helps || self.drained.contains(m.id) || self.held_for_earlier(m) {
                continue;
            }
            self.drained.insert(m.id);
            self.plan.drains.push(Drain {
                machine: m.id.clone(),
                to: demand.shard,
                above: request.priority,
            });
            demand.take(m.size);
        }
    }

    /// Terminates machines that no request has claimed and that have been idle for long.
    pub(super) fn scale_in_idle(&mut self) {
        let p = self.snapshot;
        for m in &self.idle {
            let price = hourly_price(p.types, &m.record.kind, m.record.spot);
            let factor = if is_cheap(p.types, price) {
                CHEAP_IDLE_FACTOR
            } else {
                1
            };
            let keep = p.tuning.idle_keep.times(factor);
            let spare = m.idle().is_some_and(|idle| idle > keep)
                && !m.reserved_for_gang()
                && !self.claimed.contains(m.id);
            if spare {
                self.plan.terminations.push(m.id.clone());
            }
        }
    }
}

/// Whether work of lower priority may be preempted for a request. Live services do not wait for a machine to boot, nor
/// does urgent work that would be late by then; other work preempts only if there is nothing to provision.
fn may_preempt(request: &ResourceRequest, nothing_to_provision: bool) -> bool {
    let delay = if request.guaranteed {
        PREEMPTION_DELAY.over(4)
    } else {
        PREEMPTION_DELAY
    };
    request.service || (nothing_to_provision && request.waited > delay)
}
