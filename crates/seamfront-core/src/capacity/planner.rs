//! Serves resource requests in order of priority: from idle machines of other shards, from machines that are about to
//! join the shard, by provisioning, and finally by draining machines that run work of lower priority.

use super::demand::Demand;
use super::provisioning::PoolSummary;
use super::{
    hourly_price, is_cheap, ClusterSnapshot, Drain, MachineMove, Plan, ShardRequest, Supply,
    CHEAP_IDLE_FACTOR,
};
use crate::port::ResourceRequest;
use crate::types::{queue_rank, MachineId, Micros, Resources};
use std::collections::{BTreeMap, BTreeSet};

/// How long a request waits before work of lower priority is preempted for it in other shards. A quarter of it for
/// requests within their team's guarantee; services do not wait.
const PREEMPTION_DELAY: Micros = Micros::from_secs(5);
/// Most machines that one plan drains. The effect of these drains is observed before more work is preempted.
const MAX_DRAINS: usize = 3;
/// Assumed boot time of machines of a type that the cloud no longer lists.
const UNLISTED_TYPE_BOOT_TIME: Micros = Micros::from_secs(60);

/// The requests in the order in which they are served: by rank, guarantee, time left and time waited.
pub(super) fn requests_in_order<'a>(snapshot: &ClusterSnapshot<'a>) -> Vec<ShardRequest<'a>> {
    let mut requests = snapshot.requests.clone();
    requests.sort_by_key(|ShardRequest { request, .. }| {
        (
            queue_rank(request.priority, request.starving),
            !request.guaranteed,
            request.time_until_start_by.unwrap_or(Micros::MAX),
            Micros::ZERO - request.waiting_time,
        )
    });
    requests
}

/// A machine that is about to join a shard, or is booting in it.
struct IncomingMachine<'a> {
    shard: usize,
    machine_type: &'a str,
    zone: &'a str,
    spot: bool,
    /// Resources that no request has been given yet.
    free: Resources,
}

/// State while a plan is made.
pub(super) struct Planner<'p, 'a> {
    pub(super) snapshot: &'p ClusterSnapshot<'a>,
    pub(super) plan: Plan,
    pub(super) summary: PoolSummary<'a>,
    /// Idle machines, those that the holders of their shards have released first.
    idle: Vec<&'p Supply<'a>>,
    /// Machines with capacity reserved for a pending gang.
    reserved_for_gang: Vec<&'p Supply<'a>>,
    /// Machines that may be drained for more important work, those with the least loss of progress first.
    preemptible: Vec<&'p Supply<'a>>,
    /// Machines that are about to join a shard or are booting. Their free resources shrink as requests are served.
    incoming: Vec<IncomingMachine<'p>>,
    /// By shard: number of gangs whose requests this plan has not served yet.
    unserved_gangs: BTreeMap<usize, u32>,
    /// Machines that this plan keeps for a request or moves to one.
    allocated: BTreeSet<&'p MachineId>,
    /// Machines that this plan drains for a request.
    drained: BTreeSet<&'p MachineId>,
}

impl<'p, 'a> Planner<'p, 'a> {
    pub(super) fn new(snapshot: &'p ClusterSnapshot<'a>) -> Self {
        let not_draining =
            |machine: &&Supply| machine.usable() && !snapshot.draining.contains_key(machine.id);
        let available: Vec<&Supply> = snapshot.machines.iter().filter(not_draining).collect();
        let mut preemptible: Vec<&Supply> = available
            .iter()
            .filter(|machine| {
                machine
                    .view
                    .is_some_and(|view| view.highest_priority.is_some())
            })
            .copied()
            .collect();
        preemptible
            .sort_by_key(|machine| (machine.view.map(|view| view.eviction_loss), machine.id));
        let mut idle: Vec<&Supply> = available
            .into_iter()
            .filter(|machine| machine.idle().is_some())
            .collect();
        idle.sort_by_key(|machine| (!machine.view.is_some_and(|view| view.released), machine.id));
        let mut unserved_gangs: BTreeMap<usize, u32> = BTreeMap::new();
        for gang in snapshot
            .requests
            .iter()
            .filter(|shard_request| shard_request.request.all_or_nothing)
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
            allocated: BTreeSet::new(),
            drained: BTreeSet::new(),
        };
        planner.add_provisionings();
        snapshot
            .machines
            .iter()
            .for_each(|machine| planner.add_machine(machine));
        planner
    }

    /// The plan made so far.
    pub(super) fn into_plan(self) -> Plan {
        self.plan
    }

    /// Counts the machines of provisioning operations in progress as incoming.
    fn add_provisionings(&mut self) {
        for record in &self.snapshot.provisionings {
            let Some(machine_type) = self
                .snapshot
                .types
                .iter()
                .find(|machine_type| machine_type.name == record.machine_type)
            else {
                continue;
            };
            for _ in 0..record.count {
                self.incoming.push(IncomingMachine {
                    shard: record.shard,
                    machine_type: &record.machine_type,
                    zone: &record.zone,
                    spot: record.spot,
                    free: machine_type.size,
                });
            }
        }
    }

    /// Counts a machine as incoming if it is being drained for another shard, or if it is booting and not late. Plans
    /// its move once it is drained, or its termination if it is presumed to have failed.
    fn add_machine(&mut self, machine: &'p Supply<'a>) {
        let snapshot = self.snapshot;
        let record = machine.record;
        let incoming = |shard: usize| IncomingMachine {
            shard,
            machine_type: record.machine_type.as_str(),
            zone: record.zone.as_str(),
            spot: record.spot,
            free: machine.size,
        };
        if let Some(draining) = snapshot.draining.get(machine.id) {
            self.incoming.push(incoming(draining.shard));
            if machine.view.is_some_and(|view| view.released) {
                self.plan.moves.push(MachineMove {
                    machine: machine.id.clone(),
                    to: draining.shard,
                });
            }
            return;
        }
        let boot = snapshot
            .types
            .iter()
            .find(|machine_type| machine_type.name == record.machine_type)
            .map_or(UNLISTED_TYPE_BOOT_TIME, |machine_type| machine_type.boot);
        let not_up = machine.view.is_none_or(|view| !view.reachable) && !machine.condemned();
        if machine.view.is_some_and(|view| !view.reachable)
            && snapshot
                .boot_times
                .presumed_failed(machine.id, boot, snapshot.now)
        {
            self.plan.terminations.push(machine.id.clone());
        } else if not_up && machine.age < snapshot.boot_times.late_after(&record.machine_type, boot)
        {
            self.incoming.push(incoming(machine.shard));
        }
    }

    /// Serves a request from all sources of machines in turn.
    pub(super) fn serve(&mut self, shard_request: ShardRequest) {
        let ShardRequest { shard, request } = shard_request;
        if let Some(gangs) = self
            .unserved_gangs
            .get_mut(&shard)
            .filter(|_| request.all_or_nothing)
        {
            *gangs -= 1;
        }
        let mut demand = Demand::new(self.snapshot, shard_request);
        self.keep_reserved(&demand);
        self.rebalance_idle(&mut demand);
        if demand.unplaced == 0 {
            return;
        }
        self.place_on_incoming(&mut demand);
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

    /// Keeps the machines on which a gang has capacity reserved from being used for requests after it. A machine
    /// reserved for a later request may still be used for this one: if each gang could keep a part of the machines that
    /// all of them need, they would deadlock.
    fn keep_reserved(&mut self, demand: &Demand) {
        let request = demand.request;
        let mut reserved_tasks = if request.all_or_nothing {
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
                && machine.size.fits(request.task_resources) > 0
                && demand.allows_machine(machine)
            {
                self.allocated.insert(machine.id);
                let fit = machine
                    .size
                    .fits(request.task_resources)
                    .min(i64::from(reserved_tasks));
                reserved_tasks = reserved_tasks.saturating_sub(fit as u32);
            }
        }
    }

    /// Moves idle machines of other shards to the shard of this request. They come before incoming machines since they
    /// are up already.
    fn rebalance_idle(&mut self, demand: &mut Demand) {
        let request = demand.request;
        let mut chosen_zone: Option<&str> = None;
        for machine in &self.idle {
            if demand.unplaced == 0
                || self.allocated.contains(machine.id)
                || machine.shard == demand.shard
            {
                continue;
            }
            let fits = machine.size.fits(request.task_resources) > 0
                && demand.accelerators_allowed(machine.size, self.snapshot.types);
            if !fits || !demand.allows_machine(machine) {
                continue;
            }
            if request.one_zone && chosen_zone.is_some_and(|zone| zone != machine.record.zone) {
                continue;
            }
            chosen_zone = Some(&machine.record.zone);
            self.allocated.insert(machine.id);
            self.plan.moves.push(MachineMove {
                machine: machine.id.clone(),
                to: demand.shard,
            });
            demand.place(machine.size);
        }
    }

    /// Places tasks on machines that are about to join this shard, or are booting in it.
    fn place_on_incoming(&mut self, demand: &mut Demand) {
        let shard = demand.shard;
        for incoming in self
            .incoming
            .iter_mut()
            .filter(|incoming| incoming.shard == shard)
        {
            let accelerators_allowed =
                demand.accelerators_allowed(incoming.free, self.snapshot.types);
            if demand.unplaced > 0
                && accelerators_allowed
                && demand.allows(incoming.machine_type, incoming.zone, incoming.spot)
            {
                let placed = demand.place(incoming.free);
                incoming
                    .free
                    .sub(demand.request.task_resources.times(placed));
            }
        }
    }

    /// Whether a request served before this one has the machine. That may be so although the machine is not idle: it
    /// can have capacity reserved for a gang while it still runs work of lower priority, or while such work is being
    /// preempted for the gang. Unless the gang's request comes after this one, the machine is left to the gang.
    /// Otherwise gangs of several shards would drain it from each other endlessly.
    fn allocated_to_earlier(&self, machine: &Supply) -> bool {
        let unserved_gang = self
            .unserved_gangs
            .get(&machine.shard)
            .is_some_and(|gangs| *gangs > 0);
        self.allocated.contains(machine.id) || (machine.reserved_for_gang() && !unserved_gang)
    }

    /// Drains machines of other shards that run work of lower priority.
    fn drain_preemptible(&mut self, demand: &mut Demand) {
        let request = demand.request;
        for machine in &self.preemptible {
            if demand.unplaced == 0 || self.drained.len() >= MAX_DRAINS {
                break;
            }
            let eligible = machine.shard != demand.shard
                && machine.view.is_some_and(|view| {
                    view.highest_priority
                        .is_some_and(|priority| priority > request.priority)
                })
                && machine.size.fits(request.task_resources) > 0
                && demand.allows_machine(machine)
                && demand.accelerators_allowed(machine.size, self.snapshot.types);
            if !eligible || self.drained.contains(machine.id) || self.allocated_to_earlier(machine)
            {
                continue;
            }
            self.drained.insert(machine.id);
            self.plan.drains.push(Drain {
                machine: machine.id.clone(),
                to: demand.shard,
                above: request.priority,
            });
            demand.place(machine.size);
        }
    }

    /// Terminates machines that are not needed for any request and have been idle for longer than idle machines are
    /// kept.
    pub(super) fn scale_in_idle(&mut self) {
        let snapshot = self.snapshot;
        for machine in &self.idle {
            let price = hourly_price(
                snapshot.types,
                &machine.record.machine_type,
                machine.record.spot,
            );
            let factor = if is_cheap(snapshot.types, price) {
                CHEAP_IDLE_FACTOR
            } else {
                1
            };
            let keep = snapshot.tuning.idle_timeout.times(factor);
            let surplus = machine.idle().is_some_and(|idle| idle > keep)
                && !machine.reserved_for_gang()
                && !self.allocated.contains(machine.id);
            if surplus {
                self.plan.terminations.push(machine.id.clone());
            }
        }
    }
}

/// Whether work of lower priority may be preempted in other shards for a request. Services do not wait for machines to
/// boot. Other work preempts only if it has waited for some time and nothing can be provisioned for it.
fn may_preempt(request: &ResourceRequest, nothing_to_provision: bool) -> bool {
    let delay = if request.guaranteed {
        PREEMPTION_DELAY.divided_by(4)
    } else {
        PREEMPTION_DELAY
    };
    request.service || (nothing_to_provision && request.waiting_time > delay)
}
