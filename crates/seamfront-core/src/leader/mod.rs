//! The leader: the only controller that acts on the cloud and assigns machines to shards.
//!
//! It provisions machines, adopts those that the cloud lists and that have no record, moves machines between shards and
//! terminates those that are not needed. The right to do so comes either from the leader's claim or from the fleet's
//! duties, each of which has its own fencing token (see [`crate::fleet_duties`]).

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

/// The leader's outgoing requests and effects of one step.
pub(crate) type LeaderOutbox = Outbox<FencedRequest>;

/// Interval between capacity plans.
const PLAN_INTERVAL: Micros = Micros::from_millis(250);

/// The latest state of a shard as sent to the leader by the shard's holder.
#[derive(Clone, Debug)]
struct ShardView {
    received_at: Micros,
    /// Resources that the shard's jobs lack.
    requests: Vec<ResourceRequest>,
    /// The shard's machines.
    machines: BTreeMap<MachineId, MachineView>,
}

/// The state of the leader, or of those of the fleet's duties that this controller holds.
pub(crate) struct Leader {
    /// Version of the leader's claim; `None` if the fleet's duties have claims and tokens of their own.
    claim_version: Option<u64>,
    /// By shard: its latest state; `None` before the first update.
    views: Vec<Option<ShardView>>,
    listing: ListingState,
    provisioning: ProvisioningState,
    termination: TerminationState,
    rebalancing: RebalanceState,
    /// Machines that the cloud lists and that have no record yet, with the record to be written for each.
    adoptions: BTreeMap<AdoptionKey, MachineRecord>,
    /// Machines whose adoption or assignment is being written.
    writes_in_flight: BTreeSet<MachineId>,
    /// How long machines take to boot.
    boot_times: BootTimes,
    next_plan_at: Micros,
    /// No requests are sent to the cloud before this time.
    cloud_backoff_until: Micros,
}

impl Leader {
    /// The state of a leader that has just acquired its claim or its first duty.
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

    /// Version of the leader's claim; `None` if the fleet's duties have claims and tokens of their own.
    pub(crate) fn claim_version(&self) -> Option<u64> {
        self.claim_version
    }

    /// Resets the state of a duty that this controller has acquired under a new fencing token. Replies to requests sent
    /// under another token are ignored from now on.
    pub(crate) fn duty_acquired(&mut self, duty: FleetDuty) {
        self.writes_in_flight.clear();
        match duty {
            FleetDuty::ScaleOut => {
                // Other holders may have started or completed provisioning requests in the meantime.
                self.provisioning.restart();
                self.adoptions.clear();
                self.listing.restart();
            }
            FleetDuty::ScaleIn => self.termination.restart(),
            FleetDuty::Rebalance => self.rebalancing.draining.clear(),
        }
    }

    /// Performs what is due for those duties that may act now.
    pub(crate) fn tick(&mut self, context: &mut LeaderContext, outbox: &mut LeaderOutbox) {
        let may_scale_out = context.may_act(FleetDuty::ScaleOut);
        if !FleetDuty::ALL.iter().any(|duty| context.may_act(*duty)) {
            return;
        }
        if may_scale_out {
            if !self.predecessor_records_read(context, outbox) {
                return;
            }
            self.listing_tick(context, outbox);
            self.provisioning_tick(context, outbox);
        }
        if context.may_act(FleetDuty::ScaleIn) {
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
        self.termination.forget_old_terminations(now);
        let termination = &self.termination;
        self.boot_times.retain(|id| !termination.is_terminated(id));
        self.execute_plan(context, outbox);
    }

    /// Number of machine records that are still to be written.
    pub(crate) fn pending_writes(&self) -> usize {
        self.adoptions.len()
            + self.rebalancing.pending_assignments
            + self.termination.pending_count
            + self.provisioning.pending_writes()
    }

    /// Handles an update from a shard's holder.
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
        self.boot_times.record_boots(now, |id| {
            machines.get(id).is_some_and(|machine| machine.reachable)
        });
        *view = Some(ShardView {
            received_at: now,
            requests,
            machines,
        });
    }

    /// Sends a transaction to the store that fails if the claim of the request's duty has another fencing token.
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

    /// Sends a read request to the store.
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

    /// Sends a request to the cloud API if its duty may act now.
    fn send_to_cloud(
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
