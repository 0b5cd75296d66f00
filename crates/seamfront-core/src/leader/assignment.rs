//! Assignment of machines to shards; a machine assigned to no shard is terminated.

use super::{Leader, LeaderContext, LeaderOutbox, LeaderRequest};
use crate::fleet_duties::FleetDuty;
use crate::machine::{machine_key, MachineRecord};
use crate::shard::machine_write;
use crate::types::MachineId;
use tracing::info;

/// A machine and the shard that it is to be assigned to; `None` if it is to be terminated.
#[derive(Clone, Debug)]
pub(super) struct Assignment {
    pub(super) machine: MachineId,
    pub(super) shard: Option<usize>,
}

impl Leader {
    /// Moves machines between shards and unassigns those that are to be terminated. Under the leader's claim this is
    /// one transaction, so that a gang gets its machines together. If the duties have claims of their own, each duty
    /// has a transaction of its own.
    pub(super) fn assign(
        &mut self,
        context: &mut LeaderContext,
        outbox: &mut LeaderOutbox,
        assignments: Vec<Assignment>,
    ) {
        if self.claim_version.is_some() {
            return self.assign_for_duty(context, outbox, FleetDuty::Rebalance, assignments);
        }
        let (moved, unassigned) = assignments
            .into_iter()
            .partition(|assignment| assignment.shard.is_some());
        self.assign_for_duty(context, outbox, FleetDuty::Rebalance, moved);
        self.assign_for_duty(context, outbox, FleetDuty::ScaleIn, unassigned);
    }

    fn assign_for_duty(
        &mut self,
        context: &mut LeaderContext,
        outbox: &mut LeaderOutbox,
        duty: FleetDuty,
        assignments: Vec<Assignment>,
    ) {
        if context.fence(duty).is_none() {
            return;
        }
        let mut conditions = Vec::new();
        let mut writes = Vec::new();
        let mut ids = Vec::new();
        let mut assigned = Vec::new();
        for Assignment { machine, shard } in assignments {
            let Some(known) = context.machines.get(&machine) else {
                continue;
            };
            let record = MachineRecord {
                shard,
                ..known.record.clone()
            };
            assigned.push((machine.to_string(), shard));
            conditions.push((machine_key(&machine), known.version));
            writes.push(machine_write(&machine, &record));
            if shard.is_none() {
                self.termination.mark_unassigned_by_leader(machine.clone());
            }
            ids.push(machine);
        }
        if ids.is_empty() {
            return;
        }
        info!(machines = ?assigned, "machines assigned to shards");
        self.writes_in_flight.extend(ids.iter().cloned());
        let request = LeaderRequest::AssignMachines { duty, ids };
        self.commit(context, outbox, conditions, writes, request);
    }
}
