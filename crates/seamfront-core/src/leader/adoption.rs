//! Adoption: writing the records of machines that the cloud lists and that have none.

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

/// Orders the machines to be adopted: the most expensive first, since they lose most by waiting.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AdoptionKey {
    hourly_price: Reverse<i64>,
    id: MachineId,
}

/// Number of a shard's machines by offer.
type MachinesByOffer = BTreeMap<Offer, usize>;

fn offer_of(record: &MachineRecord) -> Offer {
    Offer {
        machine_type: record.machine_type.clone(),
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

/// The shard with the fewest machines of this offer and, among equals, with the fewest machines in all.
fn least_supplied_shard(by_shard: &[MachinesByOffer], offer: &Offer) -> Option<usize> {
    (0..by_shard.len()).min_by_key(|shard| {
        let machines = &by_shard[*shard];
        let of_offer = machines.get(offer).copied().unwrap_or(0);
        (of_offer, machines.values().sum::<usize>())
    })
}

impl Leader {
    /// Handles the cloud's complete list of machines. Machines without a record come from provisioning requests that
    /// the cloud carried out late, or from before the cluster's first start: they are assigned to the shards with the
    /// fewest machines of their offer. Failed machines are assigned to no shard, so that they are terminated.
    pub(super) fn machines_listed(
        &mut self,
        context: &mut LeaderContext,
        outbox: &mut LeaderOutbox,
        listed: &[ListedMachine],
    ) {
        let adoptions = self.plan_adoptions(context, listed);
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

    fn plan_adoptions(
        &self,
        context: &LeaderContext,
        listed: &[ListedMachine],
    ) -> BTreeMap<AdoptionKey, MachineRecord> {
        let mut by_shard = machines_by_shard(context);
        let being_recorded = self.machines_being_recorded();
        let mut adoptions = BTreeMap::new();
        for machine in listed {
            if being_recorded.contains(&machine.id) || !self.is_adoptable(context, machine) {
                continue;
            }
            let offer = Offer {
                machine_type: machine.machine_type.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
            };
            let shard = least_supplied_shard(&by_shard, &offer)
                .filter(|_| machine.state != ListedState::Failed);
            let record = MachineRecord {
                shard,
                machine_type: machine.machine_type.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
            };
            if let Some(shard) = shard {
                *by_shard[shard].entry(offer).or_default() += 1;
            }
            let price = hourly_price(context.machine_types, &record.machine_type, record.spot);
            let key = AdoptionKey {
                hourly_price: Reverse(price),
                id: machine.id.clone(),
            };
            adoptions.insert(key, record);
        }
        adoptions
    }

    /// Machines whose records are being written or are about to be.
    fn machines_being_recorded(&self) -> BTreeSet<&MachineId> {
        self.provisioning
            .provisioned_machines()
            .chain(&self.writes_in_flight)
            .collect()
    }

    fn is_adoptable(&self, context: &LeaderContext, machine: &ListedMachine) -> bool {
        !self.termination.is_terminated(&machine.id)
            && !context.machines.contains_key(&machine.id)
            && !self.provisioning.may_have_provisioned(machine, context.now)
    }

    /// Machines that the cloud lists as failed and that are still assigned to a shard.
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

    /// Writes the records of machines to be adopted, at the rate that the store allows: at the first start of a large
    /// cluster all machines are listed at once.
    pub(super) fn adoption_tick(&mut self, context: &mut LeaderContext, outbox: &mut LeaderOutbox) {
        let max_records = context
            .available_leader_writes()
            .min(context.settings.max_txn_changes / 2);
        if self.adoptions.is_empty() || max_records == 0 {
            return;
        }
        let mut ids = Vec::new();
        let mut conditions = Vec::new();
        let mut writes = Vec::new();
        let mut adopted = Vec::new();
        while ids.len() < max_records {
            let Some((AdoptionKey { id, .. }, record)) = self.adoptions.pop_first() else {
                break;
            };
            adopted.push((id.to_string(), record.shard));
            conditions.push((machine_key(&id), 0));
            writes.push(machine_write(&id, &record));
            ids.push(id);
        }
        info!(machines = ?adopted, "adopting machines that the cloud lists without records");
        self.writes_in_flight.extend(ids.iter().cloned());
        let duty = FleetDuty::ScaleOut;
        let request = LeaderRequest::AssignMachines { duty, ids };
        self.commit(context, outbox, conditions, writes, request);
    }
}
