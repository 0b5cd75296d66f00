//! The state of the controller that the leader uses in a step.

use crate::fleet_duties::{EffectPermit, Fence, FleetDuty, PerFleetDuty};
use crate::known_machine::KnownMachine;
use crate::types::{MachineId, MachineType, Micros, Resources, Settings};
use crate::write_pacing::WritePacer;
use std::collections::BTreeMap;

/// The state of the controller that the leader uses in a step.
pub(crate) struct LeaderContext<'a> {
    /// The controller's settings.
    pub(crate) settings: &'a Settings,
    /// The time of the step.
    pub(crate) now: Micros,
    /// All machines, from the view of the store.
    pub(crate) machines: &'a BTreeMap<MachineId, KnownMachine>,
    /// Machine types on offer.
    pub(crate) machine_types: &'a [MachineType],
    /// The fence of each duty's writes; `None` if this controller does not hold the duty.
    pub(crate) fences: PerFleetDuty<Option<Fence>>,
    /// Permits of the duties that may act on the cloud now; none while a reply is handled.
    pub(crate) permits: PerFleetDuty<Option<EffectPermit>>,
    /// Rate at which this controller may write, in thousandths of a write per second.
    pub(crate) write_rate: i64,
    /// Limits the rate of this controller's writes.
    pub(crate) write_pacer: &'a mut WritePacer,
    /// Number of items examined; see [`crate::Engine::items_examined`].
    pub(crate) items_examined: &'a mut i64,
}

impl LeaderContext<'_> {
    /// The fence of a duty's writes, if this controller holds the duty.
    pub(super) fn fence(&self, duty: FleetDuty) -> Option<&Fence> {
        self.fences.get(duty).as_ref()
    }

    /// The permit of a duty, if it may act now.
    pub(super) fn permit(&self, duty: FleetDuty) -> Option<EffectPermit> {
        *self.permits.get(duty)
    }

    /// Whether a duty may act now.
    pub(super) fn may_act(&self, duty: FleetDuty) -> bool {
        self.permit(duty).is_some()
    }

    /// The shard that a machine is assigned to.
    pub(super) fn shard_of(&self, id: &MachineId) -> Option<usize> {
        self.machines.get(id)?.record.shard
    }

    /// All resources of a machine of this type; zero for an unknown type.
    pub(super) fn machine_size(&self, machine_type: &str) -> Resources {
        self.machine_types
            .iter()
            .find(|t| t.name == machine_type)
            .map(|machine_type| machine_type.size)
            .unwrap_or_default()
    }

    /// Number of writes that the controller may make now.
    pub(super) fn available_writes(&self) -> usize {
        self.write_pacer.available_writes()
    }

    /// Number of writes that the leader may make now: half of the controller's, so that the shards that this controller
    /// holds make progress too.
    pub(super) fn available_leader_writes(&self) -> usize {
        self.write_pacer.available_writes() / 2
    }

    /// Takes `count` writes from the controller's budget.
    pub(super) fn spend_writes(&mut self, count: usize) {
        self.write_pacer.spend(count);
    }
}
