//! Duties with a single holder: which there are, and with what each of the leader's effects is fenced.
//!
//! Where duties are off, and until every controller knows them, the leader's claim carries renting, returning and moving.
//! Afterwards each has a claim and a token of its own. What they do on the outside is recorded first all the same:
//! `rent/<name>` before the cloud is asked, `share: null` in a machine's record before it is returned.

use crate::engine::{Engine, Pending};
use crate::leader::Leader;
use crate::port::{CallId, StoreReply};
use crate::store_session::ClaimId;
use crate::types::{Micros, Settings};
use seamfront_lease::keys;
use seamfront_lease::port::{Command as DutyCommand, CommitOutcome, Effect as DutyEffect};
use seamfront_lease::settings::{LeaseSettings, StoreLimits};
use seamfront_lease::DutyManager;
use tracing::error;

/// The duty of removing records that outlived their jobs.
pub const GARBAGE_COLLECTION: &str = "cleaning";
/// The leader's claim, which carried all of this before.
pub const LEADER_CLAIM: &str = "leader";
/// The longest that the adapters wait for the state service.
const STORE_ANSWER: Micros = Micros::from_millis(1_500);
/// Duties may use one part in so many of the writes that the store takes.
const WRITES_PART: i64 = 20;

/// What the leader does, by duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FleetDuty {
    /// Renting machines, and taking in those that are listed.
    ScaleOut,
    /// Giving machines up and returning them.
    ScaleIn,
    /// Moving machines between shards.
    Rebalance,
}

impl FleetDuty {
    pub(crate) const ALL: [FleetDuty; 3] = [
        FleetDuty::ScaleOut,
        FleetDuty::ScaleIn,
        FleetDuty::Rebalance,
    ];

    /// Its name in the store.
    pub(crate) fn name(self) -> &'static str {
        match self {
            FleetDuty::ScaleOut => "renting",
            FleetDuty::ScaleIn => "returning",
            FleetDuty::Rebalance => "moving",
        }
    }
}

/// The right to an effect: the key that fences it, its version, and until when the effect may begin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Fence {
    pub(crate) key: String,
    pub(crate) fencing_token: u64,
    /// None: the leader's claim, which sets no time for single effects.
    pub(crate) until: Option<Micros>,
}

/// The lease settings that follow from a controller's own.
pub fn lease_settings(settings: &Settings) -> LeaseSettings {
    let members: Vec<&str> = settings.members.iter().map(String::as_str).collect();
    let limits = StoreLimits {
        value_bytes: settings.value_bytes,
        transaction_changes: settings.txn_ops,
        changes_per_second: (settings.write_rps / WRITES_PART).max(1),
    };
    let fleet = FleetDuty::ALL.map(FleetDuty::name);
    let duties: Vec<&str> = [GARBAGE_COLLECTION].into_iter().chain(fleet).collect();
    let mut lease_settings =
        LeaseSettings::new(&settings.members[settings.me], &members, &duties, limits);
    lease_settings.lease = settings.tuning.claim_ttl;
    lease_settings.store_answer = STORE_ANSWER;
    lease_settings.together = fleet.map(str::to_owned).to_vec();
    lease_settings.former_claim = Some(LEADER_CLAIM.to_owned());
    lease_settings
}

/// None where duties are off.
pub(crate) fn manager(settings: &Settings) -> Option<DutyManager> {
    if !settings.tuning.duties {
        return None;
    }
    match DutyManager::new(lease_settings(settings)) {
        Ok(manager) => Some(manager),
        Err(error) => {
            error!(%error, "duties are off: their settings can't be used");
            None
        }
    }
}

impl Engine {
    /// Steps the duties, if they are on.
    pub(crate) fn duties_tick(&mut self) {
        if self.duties.is_none() {
            return;
        }
        let former = self.leader.as_ref().and_then(|leader| leader.version);
        let former = former.filter(|_| self.lease_valid(ClaimId::Leader));
        self.duty_step(vec![DutyCommand::FormerClaim(former)]);
        self.former_claim_ends();
        self.sweep_tick();
    }

    /// Once duties are in force the leader's claim means nothing, whether its end has been seen here or not.
    fn former_claim_ends(&mut self) {
        let former = self
            .leader
            .as_ref()
            .is_some_and(|leader| leader.version.is_some());
        if !former || !self.duties_in_force() {
            return;
        }
        self.drop_claim(ClaimId::Leader, "duties have claims of their own");
        for duty in FleetDuty::ALL {
            if self.duty_token(duty.name()).is_some() {
                self.duty_begins(duty.name());
            }
        }
    }

    pub(crate) fn duty_reply(&mut self, call: CallId, reply: StoreReply) {
        self.duty_step(vec![DutyCommand::Store { call, reply }]);
    }

    pub(crate) fn duty_step(&mut self, commands: Vec<DutyCommand>) {
        let now = self.now;
        let Some(duties) = self.duties.as_mut() else {
            return;
        };
        for effect in duties.step(now, commands) {
            self.duty_effect(effect);
        }
    }

    fn duty_effect(&mut self, effect: DutyEffect) {
        match effect {
            DutyEffect::Store { call, request } => {
                self.send_to_store(request, Pending::Duty { call })
            }
            DutyEffect::Active { duty, .. } => self.duty_begins(&duty),
            DutyEffect::Lost { duty, .. } => self.duty_ends(&duty),
            DutyEffect::Committed { request, outcome } => self.removal_done(request, &outcome),
            DutyEffect::Rejected { request, .. } => {
                self.removal_done(request, &CommitOutcome::Refused)
            }
            _ => {}
        }
    }

    fn duty_begins(&mut self, duty: &str) {
        let now = self.now;
        if duty == GARBAGE_COLLECTION {
            return self.garbage_collector.stop(now);
        }
        let members = self.settings.members.len();
        let leader = self
            .leader
            .get_or_insert_with(|| Leader::new(None, now, members));
        let fleet = FleetDuty::ALL
            .into_iter()
            .find(|fleet| fleet.name() == duty);
        if let Some(fleet) = fleet {
            leader.duty_begins(fleet);
        }
    }

    fn duty_ends(&mut self, duty: &str) {
        if duty == GARBAGE_COLLECTION {
            let now = self.now;
            return self.garbage_collector.stop(now);
        }
        let any = FleetDuty::ALL
            .iter()
            .any(|fleet| self.duty_token(fleet.name()).is_some());
        if !any
            && self
                .leader
                .as_ref()
                .is_some_and(|leader| leader.version.is_none())
        {
            self.leader = None;
        }
    }

    /// The token of a duty that may be performed here.
    pub(crate) fn duty_token(&self, duty: &str) -> Option<u64> {
        self.duties.as_ref()?.fencing_token(duty)
    }

    /// Whether duties have claims of their own by now.
    pub(crate) fn duties_in_force(&self) -> bool {
        self.duties
            .as_ref()
            .is_some_and(DutyManager::duties_in_force)
    }

    /// The token under which a duty is held here, be it the leader's claim.
    pub(crate) fn fleet_token(&self, duty: FleetDuty) -> Option<u64> {
        let leader = self.leader.as_ref()?;
        leader.version.or_else(|| self.duty_token(duty.name()))
    }

    /// What an effect of a duty is fenced with, if it may begin now. Asks for a proof where there is none.
    pub(crate) fn fence(&mut self, duty: FleetDuty) -> Option<Fence> {
        if let Some(fencing_token) = self.leader.as_ref()?.version {
            let lease_valid = self.lease_valid(ClaimId::Leader);
            return lease_valid.then(|| Fence {
                key: LEADER_CLAIM.to_owned(),
                fencing_token,
                until: None,
            });
        }
        let fencing_token = self.duty_token(duty.name())?;
        let duties = self.duties.as_mut()?;
        duties.request_verification(duty.name());
        let permit = duties.permit(duty.name())?;
        Some(Fence {
            key: keys::claim(duty.name()),
            fencing_token,
            until: Some(permit.until),
        })
    }

    /// A change on this fence has failed on it: whoever else holds it, we don't.
    pub(crate) fn fence_refused(&mut self, duty: FleetDuty, fencing_token: u64) {
        if self
            .leader
            .as_ref()
            .is_some_and(|leader| leader.version == Some(fencing_token))
        {
            return self.drop_claim(ClaimId::Leader, "claim proven lost");
        }
        self.duty_step(vec![DutyCommand::TokenRefused {
            duty: duty.name().to_owned(),
            fencing_token,
        }]);
    }

    /// The key that fences a duty under this token.
    pub(crate) fn fence_key(&self, duty: FleetDuty, fencing_token: u64) -> String {
        if self
            .leader
            .as_ref()
            .is_some_and(|leader| leader.version == Some(fencing_token))
        {
            return LEADER_CLAIM.to_owned();
        }
        keys::claim(duty.name())
    }

    /// Members that hold any of the leader's duties.
    pub(crate) fn fleet_holders(&self) -> Vec<usize> {
        if !self.duties_in_force() {
            let claim = self.store.claim(ClaimId::Leader);
            return claim.map(|claim| claim.member).into_iter().collect();
        }
        let duties = self.duties.iter();
        let names = duties.flat_map(|duties| {
            FleetDuty::ALL
                .iter()
                .filter_map(|duty| duties.holder(duty.name()))
        });
        let mut holders: Vec<usize> = names
            .filter_map(|name| {
                self.settings
                    .members
                    .iter()
                    .position(|member| member == name)
            })
            .collect();
        holders.sort_unstable();
        holders.dedup();
        holders
    }
}
