//! What the leader sees of its controller in a step.

use crate::fleet_duties::{EffectPermit, Fence, FleetDuty, PerFleetDuty};
use crate::known_machine::KnownMachine;
use crate::types::{MachineId, MachineType, Micros, Resources, Settings};
use crate::write_pacing::WritePacer;
use std::collections::BTreeMap;

/// What the leader sees of its controller in a step.
pub(crate) struct LeaderContext<'a> {
    /// The controller's settings.
    pub(crate) settings: &'a Settings,
    /// The time of the step.
    pub(crate) now: Micros,
    /// All machines in the view of the store.
    pub(crate) machines: &'a BTreeMap<MachineId, KnownMachine>,
    /// Machine types on offer.
    pub(crate) machine_types: &'a [MachineType],
    /// What each duty's writes are fenced with; None where the duty is not held.
    pub(crate) fences: PerFleetDuty<Option<Fence>>,
    /// Which duties may act on the outside now; none while replies are taken in.
    pub(crate) permits: PerFleetDuty<Option<EffectPermit>>,
    /// Writes that this controller may make a second, in thousandths.
    pub(crate) write_rate: i64,
    /// Paces the writes of this controller.
    pub(crate) write_pacer: &'a mut WritePacer,
    /// Counts the items examined; see [`crate::Engine::work_done`].
    pub(crate) work_done: &'a mut i64,
}

impl LeaderContext<'_> {
    /// What a duty's writes are fenced with, if it is held here.
    pub(super) fn fence(&self, duty: FleetDuty) -> Option<&Fence> {
        self.fences.get(duty).as_ref()
    }

    /// The permit of a duty's effects, if it may act now.
    pub(super) fn permit(&self, duty: FleetDuty) -> Option<EffectPermit> {
        *self.permits.get(duty)
    }

    /// Whether a duty may act now.
    pub(super) fn may(&self, duty: FleetDuty) -> bool {
        self.permit(duty).is_some()
    }

    /// The shard that a machine is assigned to.
    pub(super) fn shard_of(&self, id: &MachineId) -> Option<usize> {
        self.machines.get(id)?.record.shard
    }

    /// What a machine of this type has in all; nothing for an unknown type.
    pub(super) fn machine_size(&self, kind: &str) -> Resources {
        self.machine_types
            .iter()
            .find(|machine_type| machine_type.name == kind)
            .map(|machine_type| machine_type.size)
            .unwrap_or_default()
    }

    /// Writes that the whole controller may make now.
    pub(super) fn affordable_writes(&self) -> usize {
        self.write_pacer.available_writes()
    }

    /// Records that the leader may write now: half of what the controller may, so that shards held here make progress.
    pub(super) fn leader_writes(&self) -> usize {
        self.write_pacer.available_writes() / 2
    }

    /// Takes writes from the budget.
    pub(super) fn spend_writes(&mut self, count: usize) {
        self.write_pacer.spend(count);
    }
}
