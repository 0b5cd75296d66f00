//! Serving pending requests in order of priority: from idle machines, from incoming ones, from machines that can be
//! provisioned, and last from those that work of lower priority uses.

use super::demand::Demand;
use super::provisioning::PoolSummary;
use super::{
    hourly_price, is_cheap, ClusterSnapshot, Drain, Move, Plan, ShardRequest, Supply,
    CHEAP_IDLE_FACTOR,
};
use crate::port::ResourceRequest;
use crate::types::{queue_rank, MachineId, Micros, Resources};
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
        let not_draining =
            |machine: &&Supply| machine.up() && !snapshot.draining.contains_key(machine.id);
        let up: Vec<&Supply> = snapshot.machines.iter().filter(not_draining).collect();
        let mut preemptible: Vec<&Supply> = up
            .iter()
            .filter(|machine| {
                machine
                    .view
                    .is_some_and(|view| view.highest_priority.is_some())
            })
            .copied()
            .collect();
        preemptible.sort_by_key(|machine| (machine.view.map(|view| view.loss), machine.id));
        let mut idle: Vec<&Supply> = up
            .into_iter()
            .filter(|machine| machine.idle().is_some())
            .collect();
        idle.sort_by_key(|machine| (!machine.view.is_some_and(|view| view.released), machine.id));
        let mut unserved_gangs: BTreeMap<usize, u32> = BTreeMap::new();
        for gang in snapshot
            .requests
            .iter()
            .filter(|shard_request| shard_request.request.together)
        {
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
                .filter(|machine| machine.reserved_for_gang())
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
            .for_each(|machine| planner.count_machine(machine));
        planner
    }

    /// The plan as it stands.
    pub(super) fn into_plan(self) -> Plan {
        self.plan
    }

    fn count_provisionings(&mut self) {
        for record in &self.snapshot.provisionings {
            let Some(machine_type) = self
                .snapshot
                .types
                .iter()
                .find(|machine_type| machine_type.name == record.kind)
            else {
                continue;
            };
            for _ in 0..record.count {
                self.incoming.push(IncomingMachine {
                    shard: record.shard,
                    kind: &record.kind,
                    zone: &record.zone,
                    spot: record.spot,
                    room: machine_type.size,
                });
            }
        }
    }

    /// A machine that is drained for a shard, or that boots and is not late, is incoming there.
    fn count_machine(&mut self, machine: &'p Supply<'a>) {
        let snapshot = self.snapshot;
        let record = machine.record;
        let incoming = |shard: usize| IncomingMachine {
            shard,
            kind: record.kind.as_str(),
            zone: record.zone.as_str(),
            spot: record.spot,
            room: machine.size,
        };
        if let Some(draining) = snapshot.draining.get(machine.id) {
            self.incoming.push(incoming(draining.shard));
            if machine.view.is_some_and(|view| view.released) {
                self.plan.moves.push(Move {
                    machine: machine.id.clone(),
                    to: draining.shard,
                });
            }
            return;
        }
        let boot = snapshot
            .types
            .iter()
            .find(|machine_type| machine_type.name == record.kind)
            .map_or(UNLISTED_TYPE_BOOT_TIME, |machine_type| machine_type.boot);
        let not_up = machine.view.is_none_or(|view| !view.up) && !machine.bad();
        if machine.view.is_some_and(|view| !view.up)
            && snapshot
                .boot_times
                .presumed_failed(machine.id, boot, snapshot.now)
        {
            self.plan.terminations.push(machine.id.clone());
        } else if not_up && machine.age < snapshot.boot_times.late_after(&record.kind, boot) {
            self.incoming.push(incoming(machine.shard));
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
        for machine in self
            .reserved_for_gang
            .iter()
            .filter(|machine| machine.shard == demand.shard)
        {
            if reserved_tasks > 0
                && machine.size.fits(request.task) > 0
                && demand.allows_machine(machine)
            {
                self.claimed.insert(machine.id);
                let fit = machine
                    .size
                    .fits(request.task)
                    .min(i64::from(reserved_tasks));
                reserved_tasks = reserved_tasks.saturating_sub(fit as u32);
            }
        }
    }

    /// Moves idle machines of other shards: they are up now, while incoming ones may take long.
    fn rebalance_idle(&mut self, demand: &mut Demand) {
        let request = demand.request;
        let mut zone_pick: Option<&str> = None;
        for machine in &self.idle {
            if demand.unplaced == 0
                || self.claimed.contains(machine.id)
                || machine.shard == demand.shard
            {
                continue;
            }
            let fits = machine.size.fits(request.task) > 0
                && demand.suits(machine.size, self.snapshot.types);
            if !fits || !demand.allows_machine(machine) {
                continue;
            }
            if request.one_zone && zone_pick.is_some_and(|zone| zone != machine.record.zone) {
                continue;
            }
            zone_pick = Some(&machine.record.zone);
            self.claimed.insert(machine.id);
            self.plan.moves.push(Move {
                machine: machine.id.clone(),
                to: demand.shard,
            });
            demand.take(machine.size);
        }
    }

    /// Places tasks on machines that are going to join this shard.
    fn count_incoming(&mut self, demand: &mut Demand) {
        let shard = demand.shard;
        for incoming in self
            .incoming
            .iter_mut()
            .filter(|incoming| incoming.shard == shard)
        {
            let suits = demand.suits(incoming.room, self.snapshot.types);
            if demand.unplaced > 0
                && suits
                && demand.allows(incoming.kind, incoming.zone, incoming.spot)
            {
                let taken = demand.take(incoming.room);
                incoming.room.sub(demand.request.task.times(taken));
            }
        }
    }

    /// Whether a request served before this one holds the machine. Room that a gang reserves is not idle while work of
    /// lower priority uses the rest of the machine, nor while such work is preempted for that gang. Unless the gang's
    /// request comes after this one, the machine is the gang's: gangs of several shards would otherwise drain it from
    /// each other without end.
    fn held_for_earlier(&self, machine: &Supply) -> bool {
        let unserved_gang = self
            .unserved_gangs
            .get(&machine.shard)
            .is_some_and(|gangs| *gangs > 0);
        self.claimed.contains(machine.id) || (machine.reserved_for_gang() && !unserved_gang)
    }

    /// Drains machines of work with lower priority.
    fn drain_preemptible(&mut self, demand: &mut Demand) {
        let request = demand.request;
        for machine in &self.preemptible {
            if demand.unplaced == 0 || self.drained.len() >= MAX_DRAINS {
                break;
            }
            let helps = machine.shard != demand.shard
                && machine.view.is_some_and(|view| {
                    view.highest_priority
                        .is_some_and(|priority| priority > request.priority)
                })
                && machine.size.fits(request.task) > 0
                && demand.allows_machine(machine)
                && demand.suits(machine.size, self.snapshot.types);
            if !helps || self.drained.contains(machine.id) || self.held_for_earlier(machine) {
                continue;
            }
            self.drained.insert(machine.id);
            self.plan.drains.push(Drain {
                machine: machine.id.clone(),
                to: demand.shard,
                above: request.priority,
            });
            demand.take(machine.size);
        }
    }

    /// Terminates machines that no request has claimed and that have been idle for long.
    pub(super) fn scale_in_idle(&mut self) {
        let snapshot = self.snapshot;
        for machine in &self.idle {
            let price = hourly_price(snapshot.types, &machine.record.kind, machine.record.spot);
            let factor = if is_cheap(snapshot.types, price) {
                CHEAP_IDLE_FACTOR
            } else {
                1
            };
            let keep = snapshot.tuning.idle_keep.times(factor);
            let spare = machine.idle().is_some_and(|idle| idle > keep)
                && !machine.reserved_for_gang()
                && !self.claimed.contains(machine.id);
            if spare {
                self.plan.terminations.push(machine.id.clone());
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
