//! A resource request while a plan is made: which machines may serve it, and how many of its tasks the plan has not
//! placed yet.

use super::{ClusterSnapshot, ShardRequest, Supply};
use crate::port::ResourceRequest;
use crate::types::{accelerators_allowed, MachineType, Resources};

/// A resource request with its progress in the plan, and the zone that it is bound to.
pub(super) struct Demand<'a> {
    pub(super) shard: usize,
    pub(super) request: &'a ResourceRequest,
    /// The only zone that may serve it, if the request names one or capacity is reserved for it in one.
    zone: Option<&'a str>,
    /// Number of tasks that the plan has no capacity for yet.
    pub(super) unplaced: u32,
}

impl<'a> Demand<'a> {
    /// The demand for a request. If nothing can be provisioned in the zone where capacity is reserved for it, the
    /// request is not bound to that zone; a gang then needs capacity for all of its tasks.
    pub(super) fn new(
        snapshot: &ClusterSnapshot,
        ShardRequest { shard, request }: ShardRequest<'a>,
    ) -> Demand<'a> {
        let zone = request.zone.as_deref().or(request.reserved_zone.as_deref());
        if request.zone.is_none() && zone.is_some_and(|z| !snapshot.can_provision(request, z)) {
            let unplaced = if request.all_or_nothing {
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

    /// Whether machines of this type and zone may serve the request.
    pub(super) fn allows(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        (self.request.spot || !spot)
            && self.zone.is_none_or(|required| required == zone)
            && self
                .request
                .types
                .as_ref()
                .is_none_or(|types| types.iter().any(|t| t == machine_type))
    }

    /// Whether the type and the zone of a machine allow it to serve the request.
    pub(super) fn allows_machine(&self, machine: &Supply) -> bool {
        self.allows(
            &machine.record.machine_type,
            &machine.record.zone,
            machine.record.spot,
        )
    }

    /// Whether the request may use machines of this size as far as accelerators go, see [`accelerators_allowed`].
    pub(super) fn accelerators_allowed(&self, size: Resources, types: &[MachineType]) -> bool {
        accelerators_allowed(
            self.request.task_resources,
            self.request.types.as_deref(),
            size,
            types,
        )
    }

    /// Places as many of the unplaced tasks as fit into `free`. Returns their number.
    pub(super) fn place(&mut self, free: Resources) -> i64 {
        let placed = free
            .fits(self.request.task_resources)
            .min(i64::from(self.unplaced));
        self.unplaced -= placed as u32;
        placed
    }
}
