//! Dispatch of ticks, replies and changes of duties to the leader and the garbage collector.

use super::{Engine, Pending};
use crate::fleet_duties::{
    EffectPermit, Fence, FleetDuty, PerFleetDuty, GARBAGE_COLLECTION, LEADER_CLAIM,
};
use crate::garbage_collector::CollectionRequest;
use crate::leader::{FencedRequest, Leader, LeaderContext, LeaderEvent, LeaderOutbox};
use crate::outbox::Outbox;
use crate::port::{CallId, CloudReply, MachineView, ResourceRequest, StoreReply};
use crate::store_session::ClaimId;
use seamfront_lease::port::{
    Command as DutyCommand, CommitOutcome, Effect as DutyEffect, RequestId,
};

impl Engine {
    pub(super) fn leader_tick(&mut self) {
        if self.leader.is_none() {
            return;
        }
        let permits = PerFleetDuty::from_fn(|duty| self.effect_permit(duty));
        self.with_leader(permits, |leader, context, outbox| {
            leader.tick(context, outbox);
        });
    }

    pub(super) fn leader_store_reply(&mut self, request: FencedRequest, reply: StoreReply) {
        let event = self.with_leader(PerFleetDuty::default(), |leader, context, outbox| {
            leader.store_reply(context, outbox, request, reply)
        });
        self.leader_event(event.flatten());
    }

    pub(super) fn leader_cloud_reply(&mut self, request: FencedRequest, reply: CloudReply) {
        let event = self.with_leader(PerFleetDuty::default(), |leader, context, outbox| {
            leader.cloud_reply(context, outbox, request, reply)
        });
        self.leader_event(event.flatten());
    }

    fn leader_event(&mut self, event: Option<LeaderEvent>) {
        match event {
            Some(LeaderEvent::MachineTypesListed(types)) => self.update_machine_types(types),
            Some(LeaderEvent::FenceRefused {
                duty,
                fencing_token,
            }) => self.fence_refused(duty, fencing_token),
            None => {}
        }
    }

    /// Calls the leader, if this controller runs it, and sends the contents of its outbox.
    fn with_leader<T>(
        &mut self,
        permits: PerFleetDuty<Option<EffectPermit>>,
        call: impl FnOnce(&mut Leader, &mut LeaderContext, &mut LeaderOutbox) -> T,
    ) -> Option<T> {
        let fences = PerFleetDuty::from_fn(|duty| self.fence(duty));
        let write_rate = self.write_rate();
        let leader = self.leader.as_mut()?;
        let mut context = LeaderContext {
            settings: &self.settings,
            now: self.now,
            machines: &self.machines,
            machine_types: self.machine_types.all(),
            fences,
            permits,
            write_rate,
            write_pacer: &mut self.write_pacer,
            items_examined: &mut self.leader_items_examined,
        };
        let mut outbox = LeaderOutbox::new();
        let result = call(leader, &mut context, &mut outbox);
        self.send_outbox(outbox);
        Some(result)
    }

    /// Passes the state of a shard, as its holder sent it, to the leader.
    pub(super) fn shard_updated(
        &mut self,
        shard: usize,
        requests: Vec<ResourceRequest>,
        machines: Vec<MachineView>,
    ) {
        let now = self.now;
        if let Some(leader) = self.leader.as_mut() {
            leader.shard_updated(now, shard, requests, machines);
        }
    }

    /// Number of machine records that the leader has yet to write.
    pub(super) fn leader_pending_writes(&self) -> usize {
        self.leader.as_ref().map_or(0, Leader::pending_writes)
    }

    /// Steps the duties, if they are enabled.
    pub(super) fn duties_tick(&mut self) {
        if !self.duties.enabled() {
            return;
        }
        let leader_claim = self.leader.as_ref().and_then(Leader::claim_version);
        let leader_claim = leader_claim.filter(|_| self.claim_verified(ClaimId::Leader));
        self.duty_step(vec![DutyCommand::FormerClaim(leader_claim)]);
        self.retire_leader_claim();
        self.garbage_collection_tick();
    }

    /// Drops the leader's claim once duties are in force. It is void from then on, even if this controller has not seen
    /// it end.
    fn retire_leader_claim(&mut self) {
        let holds_leader_claim = self
            .leader
            .as_ref()
            .is_some_and(|leader| leader.claim_version().is_some());
        if !holds_leader_claim || !self.duties.claims_active() {
            return;
        }
        self.drop_claim(ClaimId::Leader, "duties have claims of their own");
        for duty in FleetDuty::ALL {
            if self.duties.fencing_token(duty.name()).is_some() {
                self.duty_acquired(duty.name());
            }
        }
    }

    pub(super) fn duty_reply(&mut self, call: CallId, reply: StoreReply) {
        self.duty_step(vec![DutyCommand::Store { call, reply }]);
    }

    pub(super) fn duty_step(&mut self, commands: Vec<DutyCommand>) {
        for effect in self.duties.step(self.now, commands) {
            self.duty_effect(effect);
        }
    }

    fn duty_effect(&mut self, effect: DutyEffect) {
        match effect {
            DutyEffect::Store { call, request } => {
                self.send_to_store(request, Pending::Duty { call });
            }
            DutyEffect::Active { duty, .. } => self.duty_acquired(&duty),
            DutyEffect::Lost { duty, .. } => self.duty_lost(&duty),
            DutyEffect::Committed { request, outcome } => self.removal_reply(request, &outcome),
            DutyEffect::Rejected { request, .. } => {
                self.removal_reply(request, &CommitOutcome::Refused);
            }
            _ => {}
        }
    }

    fn garbage_collection_tick(&mut self) {
        if self.duties.fencing_token(GARBAGE_COLLECTION).is_none() {
            return;
        }
        let mut outbox = Outbox::new();
        self.garbage_collector.tick(self.now, &mut outbox);
        self.send_outbox(outbox);
    }

    /// Passes a reply of the store to the garbage collector.
    pub(super) fn collection_reply(&mut self, request: CollectionRequest, reply: StoreReply) {
        match request {
            CollectionRequest::ListRecords => {
                let jobs = &self.jobs;
                self.garbage_collector
                    .page_reply(self.now, reply, |job| jobs.contains_key(job));
            }
            CollectionRequest::ReadEndRecord => {
                let removal =
                    self.garbage_collector
                        .owner_end_reply(&self.settings, self.now, reply);
                if let Some(command) = removal {
                    self.duty_step(vec![command]);
                }
            }
        }
    }

    fn removal_reply(&mut self, request: RequestId, outcome: &CommitOutcome) {
        self.garbage_collector
            .removal_reply(&self.settings, self.now, request, outcome);
    }

    fn duty_acquired(&mut self, duty: &str) {
        let now = self.now;
        if duty == GARBAGE_COLLECTION {
            return self.garbage_collector.reset(now);
        }
        let members = self.settings.members.len();
        let leader = self
            .leader
            .get_or_insert_with(|| Leader::new(None, now, members));
        let fleet_duty = FleetDuty::ALL
            .into_iter()
            .find(|fleet_duty| fleet_duty.name() == duty);
        if let Some(fleet_duty) = fleet_duty {
            leader.duty_acquired(fleet_duty);
        }
    }

    fn duty_lost(&mut self, duty: &str) {
        if duty == GARBAGE_COLLECTION {
            let now = self.now;
            return self.garbage_collector.reset(now);
        }
        let fenced_by_duties = self
            .leader
            .as_ref()
            .is_some_and(|leader| leader.claim_version().is_none());
        if fenced_by_duties && !self.duties.holds_any_fleet_duty() {
            self.leader = None;
        }
    }

    /// The fence of a duty held here: the leader's claim, or the duty's own claim once duties are in force.
    fn fence(&self, duty: FleetDuty) -> Option<Fence> {
        match self.leader.as_ref()?.claim_version() {
            Some(fencing_token) => Some(Fence {
                key: LEADER_CLAIM.to_owned(),
                fencing_token,
            }),
            None => self.duties.fence(duty),
        }
    }

    /// The permit for effects of a duty outside the scheduler; None if none are allowed now.
    fn effect_permit(&mut self, duty: FleetDuty) -> Option<EffectPermit> {
        if self.leader.as_ref()?.claim_version().is_none() {
            return self.duties.effect_permit(duty);
        }
        let claim_verified = self.claim_verified(ClaimId::Leader);
        claim_verified.then_some(EffectPermit { until: None })
    }

    /// Handles a transaction that failed on its fence, which shows that the duty is no longer held here.
    fn fence_refused(&mut self, duty: FleetDuty, fencing_token: u64) {
        if self
            .leader
            .as_ref()
            .is_some_and(|leader| leader.claim_version() == Some(fencing_token))
        {
            return self.drop_claim(ClaimId::Leader, "claim proven lost");
        }
        self.duty_step(vec![DutyCommand::TokenRefused {
            duty: duty.name().to_owned(),
            fencing_token,
        }]);
    }

    /// Members that hold the leader's claim or, once duties are in force, any of the fleet's duties.
    pub(super) fn fleet_holders(&self) -> Vec<usize> {
        if !self.duties.claims_active() {
            let claim = self.store.claim(ClaimId::Leader);
            return claim.map(|claim| claim.member).into_iter().collect();
        }
        self.duties.fleet_holders(&self.settings.members)
    }
}
