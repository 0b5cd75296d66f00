//! Adoption: machines that the cloud lists and that have no record.

use super::{Assignment, Leader, LeaderContext, LeaderOutbox, LeaderRequest};
use crate::capacity::{hourly_price, Offer};
use crate::fleet_duties::FleetDuty;
use crate::machine::{machine_key, MachineRecord};
use crate::port::{ListedMachine, ListedState};
use crate::shard::machine_write;
use crate::types::MachineId;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use tracing::info;

/// A listed machine without a record. The costliest are adopted first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AdoptionKey {
    hourly_price: Reverse<i64>,
    id: MachineId,
}

/// How many machines of each offer a shard has.
type MachinesByOffer = BTreeMap<Offer, usize>;

fn offer_of(record: &MachineRecord) -> Offer {
    Offer {
        kind: record.kind.clone(),
        zone: record.zone.clone(),
        spot: record.spot,
    }
}

fn machines_by_shard(context: &LeaderContext) -> Vec<MachinesByOffer> {
    let mut by_shard = vec![MachinesByOffer::new(); context.settings.members.len()];
    for machine in context.machines.values() {
        if let Some(shard) = machine.record.shard {
            *by_shard[shard]
                .entry(offer_of(&machine.record))
                .or_default() += 1;
        }
    }
    by_shard
}

/// The shard with the fewest machines of that offer, and of those the one with the fewest machines.
fn least_supplied_shard(by_shard: &[MachinesByOffer], offer: &Offer) -> Option<usize> {
    (0..by_shard.len()).min_by_key(|shard| {
        let machines = &by_shard[*shard];
        let of_offer = machines.get(offer).copied().unwrap_or(0);
        (of_offer, machines.values().sum::<usize>())
    })
}

impl Leader {
    /// Takes in the cloud's list. Machines on it without a record come from provisioning requests that were applied
    /// late, or from before the cluster's first start: they go to the shards with the fewest such machines. Those that
    /// have failed are assigned to no shard, which terminates them.
    pub(super) fn machines_listed(
        &mut self,
        context: &mut LeaderContext,
        outbox: &mut LeaderOutbox,
        listed: &[ListedMachine],
    ) {
        let adoptions = self.adoptions_of(context, listed);
        let failed = self.failed_machines(context, listed);
        let unassigned = failed
            .into_iter()
            .map(|machine| Assignment {
                machine,
                shard: None,
            })
            .collect();
        self.assign(context, outbox, unassigned);
        self.adoptions = adoptions;
    }

    fn adoptions_of(
        &self,
        context: &LeaderContext,
        listed: &[ListedMachine],
    ) -> BTreeMap<AdoptionKey, MachineRecord> {
        let mut by_shard = machines_by_shard(context);
        let being_recorded = self.machines_being_recorded();
        let mut adoptions = BTreeMap::new();
        for machine in listed {
            if being_recorded.contains(&machine.id) || !self.adoptable(context, machine) {
                continue;
            }
            let offer = Offer {
                kind: machine.kind.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
            };
            let shard = least_supplied_shard(&by_shard, &offer)
                .filter(|_| machine.state != ListedState::Failed);
            let record = MachineRecord {
                shard,
                kind: machine.kind.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
            };
            if let Some(shard) = shard {
                *by_shard[shard].entry(offer).or_default() += 1;
            }
            let price = hourly_price(context.machine_types, &record.kind, record.spot);
            let key = AdoptionKey {
                hourly_price: Reverse(price),
                id: machine.id.clone(),
            };
            adoptions.insert(key, record);
        }
        adoptions
    }

    /// Machines whose records are in a transaction, or are about to be.
    fn machines_being_recorded(&self) -> BTreeSet<&MachineId> {
        self.provisioning
            .provisioned_machines()
            .chain(&self.writes_in_flight)
            .collect()
    }

    fn adoptable(&self, context: &LeaderContext, machine: &ListedMachine) -> bool {
        !self.termination.is_terminated(&machine.id)
            && !context.machines.contains_key(&machine.id)
            && !self.provisioning.may_have_provisioned(machine, context.now)
    }

    /// Listed machines that have failed and are still assigned to a shard.
    fn failed_machines(&self, context: &LeaderContext, listed: &[ListedMachine]) -> Vec<MachineId> {
        let being_recorded = self.machines_being_recorded();
        let assigned = |id: &MachineId| {
            context
                .machines
                .get(id)
                .is_some_and(|machine| machine.record.shard.is_some())
        };
        listed
            .iter()
            .filter(|machine| machine.state == ListedState::Failed && assigned(&machine.id))
            .filter(|machine| !self.termination.is_terminated(&machine.id))
            .filter(|machine| !being_recorded.contains(&machine.id))
            .map(|machine| machine.id.clone())
            .collect()
    }

    /// Gives listed machines their records as fast as the store takes them: after the first start of a large cluster
    /// all machines are listed at once. The costliest come first, since they lose most by waiting.
    pub(super) fn adoption_tick(&mut self, context: &mut LeaderContext, outbox: &mut LeaderOutbox) {
        let room = context.leader_writes().min(context.settings.txn_ops / 2);
        if self.adoptions.is_empty() || room == 0 {
            return;
        }
        let mut ids = Vec::new();
        let mut conditions = Vec::new();
        let mut writes = Vec::new();
        while ids.len() < room {
            let Some((AdoptionKey { id, .. }, record)) = self.adoptions.pop_first() else {
                break;
            };
            info!(machine = %id, shard = ?record.shard, "adopting a listed machine");
            conditions.push((machine_key(&id), 0));
            writes.push(machine_write(&id, &record));
            ids.push(id);
        }
        self.writes_in_flight.extend(ids.iter().cloned());
        let duty = FleetDuty::ScaleOut;
        let request = LeaderRequest::AssignMachines { duty, ids };
        self.commit(context, outbox, conditions, writes, request);
    }
}
