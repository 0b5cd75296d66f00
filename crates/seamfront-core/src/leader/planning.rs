//! Making capacity plans and carrying them out.

use super::{Assignment, Leader, LeaderContext, LeaderOutbox, ShardView};
use crate::capacity::{
    self, ClusterSnapshot, Drain, Draining, MachineMove, Plan, ProvisioningRecord, ShardRequest,
    Supply,
};
use crate::fleet_duties::FleetDuty;
use crate::port::PeerMessage;
use crate::types::{MachineId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// How long the state sent by a shard's holder counts as current.
const VIEW_TTL: Micros = Micros::from_secs(4);
/// A drain that has not ended after this time is abandoned.
const DRAIN_TIMEOUT: Micros = Micros::from_secs(20);
/// Approximate number of times that each machine is examined while a plan is made; counted as items examined.
const EXAMINATIONS_PER_MACHINE: usize = 4;

/// Machines that are being moved between shards.
#[derive(Debug)]
pub(super) struct RebalanceState {
    /// Machines that are being drained for another shard.
    pub(super) draining: BTreeMap<MachineId, Draining>,
    /// Earliest time of the next requests to shards to release machines.
    next_release_at: Micros,
    /// Number of released machines that the last plan assigned to another shard or to none.
    pub(super) pending_assignments: usize,
}

impl RebalanceState {
    pub(super) fn new(now: Micros) -> Self {
        RebalanceState {
            draining: BTreeMap::new(),
            next_release_at: now,
            pending_assignments: 0,
        }
    }

    /// Forgets drains whose machine has been moved or no longer exists, and drains that take too long, for instance
    /// because the shard's holder refused. A shard that still needs the machine requests it again.
    pub(super) fn forget_ended_drains(&mut self, context: &LeaderContext) {
        self.draining.retain(|id, draining| {
            let moved = context
                .machines
                .get(id)
                .is_none_or(|machine| machine.record.shard == Some(draining.shard));
            context.now - draining.since < DRAIN_TIMEOUT && !moved
        });
    }
}

/// A plan, and the machines that their shards had released when it was made.
struct PlanWithReleases {
    plan: Plan,
    released: BTreeSet<MachineId>,
}

impl Leader {
    /// Makes a plan and carries out those parts of it whose duties may act now.
    pub(super) fn execute_plan(&mut self, context: &mut LeaderContext, outbox: &mut LeaderOutbox) {
        let PlanWithReleases { mut plan, released } = self.make_plan(context);
        if !self.all_views_current(context.now) {
            // A shard without a current view may need machines that seem idle.
            plan.terminations.retain(|id| released.contains(id));
        }
        if !context.may_act(FleetDuty::Rebalance) {
            plan.moves.clear();
            plan.drains.clear();
        }
        if !context.may_act(FleetDuty::ScaleIn) {
            plan.terminations.clear();
        }
        self.start_provisionings(context, outbox, plan.provisionings);
        let (mut assignable, unreleased): (Vec<Assignment>, Vec<Assignment>) =
            assignments(plan.moves, plan.terminations)
                .partition(|assignment| released.contains(&assignment.machine));
        self.request_releases(context, outbox, unreleased);
        self.start_drains(context, outbox, plan.drains);
        self.rebalancing.pending_assignments = assignable.len();
        // Assignments beyond this limit are planned again.
        let max_assignments = context
            .settings
            .max_txn_changes
            .min(context.available_writes());
        assignable.truncate(max_assignments);
        self.assign(context, outbox, assignable);
    }

    fn make_plan(&self, context: &mut LeaderContext) -> PlanWithReleases {
        let snapshot = self.snapshot(context);
        let items_examined =
            snapshot.machines.len() * EXAMINATIONS_PER_MACHINE + snapshot.requests.len();
        let plan = capacity::plan(&snapshot);
        let released = snapshot
            .machines
            .iter()
            .filter(|machine| machine.view.is_some_and(|view| view.released))
            .map(|machine| machine.id.clone())
            .collect();
        *context.items_examined += items_examined as i64;
        PlanWithReleases { plan, released }
    }

    fn snapshot<'s>(&'s self, context: &'s LeaderContext) -> ClusterSnapshot<'s> {
        ClusterSnapshot {
            now: context.now,
            requests: self.shard_requests(context.now),
            machines: self.supply(context),
            provisionings: self.provisioning.records().collect(),
            types: context.machine_types,
            unavailable_offers: &self.provisioning.unavailable_offers,
            tuning: &context.settings.tuning,
            boot_times: &self.boot_times,
            draining: &self.rebalancing.draining,
        }
    }

    /// The latest state of a shard, unless it is too old.
    fn current_view(&self, shard: usize, now: Micros) -> Option<&ShardView> {
        let view = self.views.get(shard)?.as_ref()?;
        (now - view.received_at < VIEW_TTL).then_some(view)
    }

    fn all_views_current(&self, now: Micros) -> bool {
        (0..self.views.len()).all(|shard| self.current_view(shard, now).is_some())
    }

    fn shard_requests(&self, now: Micros) -> Vec<ShardRequest<'_>> {
        let mut requests = Vec::new();
        for shard in 0..self.views.len() {
            if let Some(view) = self.current_view(shard, now) {
                let of_shard = view.requests.iter();
                requests.extend(of_shard.map(|request| ShardRequest { shard, request }));
            }
        }
        requests
    }

    /// Machines assigned to shards, except those whose assignment is being written.
    fn supply<'s>(&'s self, context: &'s LeaderContext) -> Vec<Supply<'s>> {
        let mut machines = Vec::new();
        for (id, machine) in context.machines {
            let record = &machine.record;
            let Some(shard) = record.shard else { continue };
            if self.writes_in_flight.contains(id) {
                continue;
            }
            let view = self
                .current_view(shard, context.now)
                .and_then(|view| view.machines.get(id))
                .filter(|view| view.version == machine.version);
            machines.push(Supply {
                id,
                shard,
                record,
                size: context.machine_size(&record.machine_type),
                view,
                age: context.now - machine.assigned_at,
            });
        }
        machines
    }

    fn start_provisionings(
        &mut self,
        context: &mut LeaderContext,
        outbox: &mut LeaderOutbox,
        records: Vec<ProvisioningRecord>,
    ) {
        let at_limit = self.provisioning.at_limit();
        if !context.may_act(FleetDuty::ScaleOut) || at_limit || context.machine_types.is_empty() {
            return;
        }
        for record in records {
            self.start_provisioning(context, outbox, record);
        }
    }

    /// Asks the holders of shards to release machines.
    fn request_releases(
        &mut self,
        context: &LeaderContext,
        outbox: &mut LeaderOutbox,
        unreleased: Vec<Assignment>,
    ) {
        if context.now < self.rebalancing.next_release_at {
            return;
        }
        let mut by_shard: BTreeMap<usize, Vec<MachineId>> = BTreeMap::new();
        for Assignment { machine, .. } in unreleased {
            if let Some(shard) = context.shard_of(&machine) {
                by_shard.entry(shard).or_default().push(machine);
            }
        }
        if !by_shard.is_empty() {
            self.rebalancing.next_release_at =
                context.now + context.settings.tuning.release_request_interval;
        }
        for (shard, machines) in by_shard {
            let message = PeerMessage::Release {
                shard,
                machines,
                above: None,
            };
            outbox.shard_holder(shard, message);
        }
    }

    /// Asks the holders of shards to release machines after draining them of work of lower priority.
    fn start_drains(
        &mut self,
        context: &LeaderContext,
        outbox: &mut LeaderOutbox,
        drains: Vec<Drain>,
    ) {
        for drain in drains {
            let Some(shard) = context.shard_of(&drain.machine) else {
                continue;
            };
            let draining = Draining {
                shard: drain.to,
                since: context.now,
            };
            self.rebalancing
                .draining
                .insert(drain.machine.clone(), draining);
            let message = PeerMessage::Release {
                shard,
                machines: vec![drain.machine],
                above: Some(drain.above),
            };
            outbox.shard_holder(shard, message);
        }
    }
}

/// The assignments for a plan's moves and terminations, in that order.
fn assignments(
    moves: Vec<MachineMove>,
    terminations: Vec<MachineId>,
) -> impl Iterator<Item = Assignment> {
    let moves = moves.into_iter().map(|planned| Assignment {
        machine: planned.machine,
        shard: Some(planned.to),
    });
    let terminations = terminations.into_iter().map(|machine| Assignment {
        machine,
        shard: None,
    });
    moves.chain(terminations)
}
