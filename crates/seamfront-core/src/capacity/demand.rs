//! A request while a plan is made: which machines may serve it, and how many of its tasks have no room yet.

use super::{ClusterSnapshot, ShardRequest, Supply};
use crate::port::ResourceRequest;
use crate::types::{suits, MachineType, Resources};

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
    pub(super) fn new(
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

    pub(super) fn allows_machine(&self, machine: &Supply) -> bool {
        self.allows(
            &machine.record.kind,
            &machine.record.zone,
            machine.record.spot,
        )
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
    pub(super) fn take(&mut self, room: Resources) -> i64 {
        let taken = room.fits(self.request.task).min(i64::from(self.unplaced));
        self.unplaced -= taken as u32;
        taken
    }
}
