//! The leader: the only controller that acts on the cloud and assigns machines to shards.
//!
//! It provisions machines, adopts those that the cloud lists without a record, moves machines between shards and
//! terminates those that are not needed. Its work rests either on the leader's claim or on the fleet's duties, each with
//! a fencing token of its own (see [`crate::fleet_duties`]).

use crate::boot_times::BootTimes;
use crate::fleet_duties::FleetDuty;
use crate::machine::MachineRecord;
use crate::outbox::Outbox;
use crate::port::{CloudRequest, MachineView, ResourceRequest, StoreRequest, Write};
use crate::types::{MachineId, Micros};
use std::collections::{BTreeMap, BTreeSet};

mod adoption;
mod assignment;
mod context;
mod listing;
mod planning;
mod provisioning;
mod provisioning_state;
mod replies;
mod requests;
mod termination;

use adoption::AdoptionKey;
use assignment::Assignment;
pub(crate) use context::LeaderContext;
use listing::ListingState;
use planning::RebalanceState;
use provisioning_state::ProvisioningState;
pub(crate) use requests::{FencedRequest, LeaderEvent, LeaderRequest};
use termination::TerminationState;

/// What the leader sends out in a step.
pub(crate) type LeaderOutbox = Outbox<FencedRequest>;

/// Time between two plans.
const PLAN_INTERVAL: Micros = Micros::from_millis(250);

/// What a shard's owner has last reported to the leader.
#[derive(Clone, Debug)]
struct ShardView {
    received_at: Micros,
    /// Resources that pending work needs.
    requests: Vec<ResourceRequest>,
    /// The shard's machines.
    machines: BTreeMap<MachineId, MachineView>,
}

/// The state of the leader, or of the fleet's duties that are held here.
pub(crate) struct Leader {
    /// Version of the leader's claim; None where its work rests on duties, each with a token of its own.
    claim_version: Option<u64>,
    /// By shard: what its owner has last reported.
    views: Vec<Option<ShardView>>,
    listing: ListingState,
    provisioning: ProvisioningState,
    termination: TerminationState,
    rebalancing: RebalanceState,
    /// Listed machines without a record, with the record that each will get.
    adoptions: BTreeMap<AdoptionKey, MachineRecord>,
    /// Machines whose assignment is being written.
    writes_in_flight: BTreeSet<MachineId>,
    /// How long machines take until they are up.
    boot_times: BootTimes,
    next_plan_at: Micros,
    /// No requests are sent to the cloud before this time.
    cloud_backoff_until: Micros,
}

impl Leader {
    /// A leader that has just acquired its claim, or its first duty.
    pub(crate) fn new(claim_version: Option<u64>, now: Micros, shards: usize) -> Leader {
        Leader {
            claim_version,
            views: vec![None; shards],
            listing: ListingState::new(now),
            provisioning: ProvisioningState::default(),
            termination: TerminationState::new(now),
            rebalancing: RebalanceState::new(now),
            adoptions: BTreeMap::new(),
            writes_in_flight: BTreeSet::new(),
            boot_times: BootTimes::default(),
            next_plan_at: now,
            cloud_backoff_until: now,
        }
    }

    /// Version of the leader's claim, if its work rests on that.
    pub(crate) fn claim_version(&self) -> Option<u64> {
        self.claim_version
    }

    /// A duty begins here under a new token: replies to requests under another one are not taken any more.
    pub(crate) fn duty_begins(&mut self, duty: FleetDuty) {
        self.writes_in_flight.clear();
        match duty {
            FleetDuty::ScaleOut => {
                // Others may have started and completed provisioning meanwhile.
                self.provisioning.restart();
                self.adoptions.clear();
                self.listing.restart();
            }
            FleetDuty::ScaleIn => self.termination.restart(),
            FleetDuty::Rebalance => self.rebalancing.draining.clear(),
        }
    }

    /// Does what is due of the duties that may act now.
    pub(crate) fn tick(&mut self, context: &mut LeaderContext, outbox: &mut LeaderOutbox) {
        let may_scale_out = context.may(FleetDuty::ScaleOut);
        if !FleetDuty::ALL.iter().any(|duty| context.may(*duty)) {
            return;
        }
        if may_scale_out {
            if !self.former_provisionings_read(context, outbox) {
                return;
            }
            self.listing_tick(context, outbox);
            self.provisioning_tick(context, outbox);
        }
        if context.may(FleetDuty::ScaleIn) {
            self.termination_tick(context, outbox);
        }
        if may_scale_out {
            self.adoption_tick(context, outbox);
        }
        self.plan_tick(context, outbox);
    }

    fn plan_tick(&mut self, context: &mut LeaderContext, outbox: &mut LeaderOutbox) {
        let now = context.now;
        if now < self.next_plan_at {
            return;
        }
        self.next_plan_at = now + PLAN_INTERVAL;
        self.rebalancing.forget_ended_drains(context);
        self.termination.forget_old(now);
        let termination = &self.termination;
        self.boot_times.retain(|id| !termination.is_terminated(id));
        self.execute_plan(context, outbox);
    }

    /// How many machine records wait to be written.
    pub(crate) fn pending_writes(&self) -> usize {
        self.adoptions.len()
            + self.rebalancing.pending_assignments
            + self.termination.pending
            + self.provisioning.pending_writes()
    }

    /// Takes in a report of a shard's owner.
    pub(crate) fn shard_updated(
        &mut self,
        now: Micros,
        shard: usize,
        requests: Vec<ResourceRequest>,
        machines: Vec<MachineView>,
    ) {
        let Some(view) = self.views.get_mut(shard) else {
            return;
        };
        let machines: BTreeMap<MachineId, MachineView> = machines
            .into_iter()
            .map(|machine| (machine.id.clone(), machine))
            .collect();
        self.boot_times
            .record_boots(now, |id| machines.get(id).is_some_and(|machine| machine.up));
        *view = Some(ShardView {
            received_at: now,
            requests,
            machines,
        });
    }

    /// Sends a transaction that fails if the request's duty is held under another token.
    fn commit(
        &self,
        context: &mut LeaderContext,
        outbox: &mut LeaderOutbox,
        mut conditions: Vec<(String, u64)>,
        writes: Vec<Write>,
        request: LeaderRequest,
    ) {
        let Some(fence) = context.fence(request.duty()).cloned() else {
            return;
        };
        conditions.insert(0, (fence.key, fence.fencing_token));
        context.spend_writes(writes.len());
        let pending = FencedRequest {
            fencing_token: fence.fencing_token,
            request,
        };
        outbox.store(StoreRequest::CompareAndSwap { conditions, writes }, pending);
    }

    /// Sends a request to the store that changes nothing.
    fn read(
        &self,
        context: &LeaderContext,
        outbox: &mut LeaderOutbox,
        store_request: StoreRequest,
        request: LeaderRequest,
    ) {
        let Some(fence) = context.fence(request.duty()) else {
            return;
        };
        let pending = FencedRequest {
            fencing_token: fence.fencing_token,
            request,
        };
        outbox.store(store_request, pending);
    }

    /// Sends a request to the cloud if its duty may act now.
    fn ask_cloud(
        &self,
        context: &LeaderContext,
        outbox: &mut LeaderOutbox,
        cloud_request: CloudRequest,
        request: LeaderRequest,
    ) {
        let duty = request.duty();
        let (Some(fence), Some(permit)) = (context.fence(duty), context.permit(duty)) else {
            return;
        };
        let pending = FencedRequest {
            fencing_token: fence.fencing_token,
            request,
        };
        outbox.cloud(cloud_request, permit.until, pending);
    }
}
