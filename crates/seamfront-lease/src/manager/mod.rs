//! The duties of one member, as a deterministic state machine: a batch of commands and the time go in, effects come
//! out. The same commands at the same times give the same effects.

use crate::balancing::{self, MemberLoad};
use crate::keys;
use crate::permit::Permit;
use crate::port::{CallId, Command, Effect};
use crate::record::{RecordError, SwitchRecord};
use crate::settings::{LeaseSettings, SettingsError, StoreLimits};
use crate::store::{StoreReply, StoreRequest};
use crate::time::Micros;
use crate::view::View;
use std::collections::{BTreeMap, BTreeSet};
use tracing::{info, warn};

mod budget;
mod claims;
mod membership;
mod operations;
mod state;
mod switch;
mod transfer;
mod views;

use budget::WriteBudget;
use membership::Membership;
use state::{Duty, Pending, Phase, SeenMember, SeenMove, TransferTarget};

/// Delay before a request is repeated that was refused or got no reply.
const RETRY_DELAY: Micros = Micros::from_millis(250);
/// Maximum number of queued fenced commits per duty.
const FENCED_QUEUE_MAX: usize = 64;

/// The duties of one member.
#[derive(Debug)]
pub struct DutyManager {
    settings: LeaseSettings,
    now: Micros,
    /// Offset added to the embedding program's time, so that `now` never decreases.
    clock_offset: Micros,
    effects: Vec<Effect>,
    calls: BTreeMap<CallId, Pending>,
    last_id: CallId,
    membership: Membership,
    view: View,
    view_in_flight: bool,
    view_request_at: Micros,
    seen_keys: BTreeSet<String>,
    members: BTreeMap<String, SeenMember>,
    versions: BTreeMap<String, u64>,
    switch: Option<SwitchRecord>,
    former_claim: Option<u64>,
    switch_in_flight: bool,
    switch_retry_at: Micros,
    moves: BTreeMap<String, SeenMove>,
    duties: Vec<Duty>,
    verify_in_flight: bool,
    verify_retry_at: Micros,
    budget: WriteBudget,
    load: u64,
    leaving: bool,
    left: bool,
    /// Conditions that have been logged. Each is logged once.
    logged_conditions: BTreeSet<String>,
}

impl DutyManager {
    /// A member that has just started. Fails if the settings are invalid.
    pub fn new(settings: LeaseSettings) -> Result<DutyManager, SettingsError> {
        settings.validate()?;
        let duty = |name: &String| Duty {
            name: name.clone(),
            claim: None,
            free_since: None,
            claim_in_flight: false,
            claim_retry_at: Micros::ZERO,
            last_released_token: 0,
            holding: None,
            lost_token: None,
            unreadable_until: Micros::ZERO,
            transfer_requested: None,
        };
        Ok(DutyManager {
            duties: settings.duties.iter().map(duty).collect(),
            settings,
            now: Micros::ZERO,
            clock_offset: Micros::ZERO,
            effects: Vec::new(),
            calls: BTreeMap::new(),
            last_id: 1,
            membership: Membership::default(),
            view: View::default(),
            view_in_flight: false,
            view_request_at: Micros::ZERO,
            seen_keys: BTreeSet::new(),
            members: BTreeMap::new(),
            versions: BTreeMap::new(),
            switch: None,
            former_claim: None,
            switch_in_flight: false,
            switch_retry_at: Micros::ZERO,
            moves: BTreeMap::new(),
            verify_in_flight: false,
            verify_retry_at: Micros::ZERO,
            budget: WriteBudget::default(),
            load: 0,
            leaving: false,
            left: false,
            logged_conditions: BTreeSet::new(),
        })
    }

    /// Handles commands and returns the effects. `now` is read from a monotonic clock and is never compared with
    /// another machine's clock.
    pub fn step(&mut self, now: Micros, commands: Vec<Command>) -> Vec<Effect> {
        self.advance_clock(now);
        for command in commands {
            self.handle_command(command);
        }
        self.tick();
        std::mem::take(&mut self.effects)
    }

    /// Duties that may be performed here now, with their fencing tokens.
    pub fn active(&self) -> Vec<(&str, u64)> {
        let holding = |duty: &Duty| {
            duty.holding
                .as_ref()
                .filter(|h| h.phase == Phase::Active)
                .map(|h| h.fencing_token)
        };
        self.duties
            .iter()
            .filter_map(|duty| Some((duty.name.as_str(), holding(duty)?)))
            .collect()
    }

    /// The fencing token of a duty that may be performed here.
    pub fn fencing_token(&self, duty: &str) -> Option<u64> {
        self.active()
            .into_iter()
            .find(|held| held.0 == duty)
            .map(|held| held.1)
    }

    /// The holder of a duty according to this member's view.
    pub fn holder(&self, duty: &str) -> Option<&str> {
        let claim = self.duties[self.duty_index(duty)?].claim.as_ref()?;
        (!claim.member.is_empty()).then_some(claim.member.as_str())
    }

    /// Requests a verification of a duty's claim if the permit has expired or soon will. Called when an effect is about
    /// to begin.
    pub fn request_verification(&mut self, duty: &str) {
        let Some(index) = self.duty_index(duty) else {
            return;
        };
        let half = self.settings.verification_ttl().divided_by(2);
        let fresh = self
            .current_permit(index)
            .is_some_and(|permit| permit.until + self.clock_offset > self.now + half);
        if let Some(holding) = self.duties[index].holding.as_mut() {
            holding.verification_due |= !fresh;
        }
    }

    /// Whether a duty is held here, even if the operations of its predecessor are not settled yet.
    pub fn holds(&self, duty: &str) -> bool {
        self.duty_index(duty)
            .is_some_and(|index| self.duties[index].holding.is_some())
    }

    /// The permit to begin an effect of a duty now. None if the lease or the claim must be confirmed first.
    pub fn permit(&self, duty: &str) -> Option<Permit> {
        let index = self.duty_index(duty)?;
        self.current_permit(index)
    }

    /// The current settings, including the store's limits.
    pub fn settings(&self) -> &LeaseSettings {
        &self.settings
    }

    /// Advances the time. A clock that goes back is not the one by which verifications were measured, so all of them
    /// are discarded.
    fn advance_clock(&mut self, now: Micros) {
        let shifted = now + self.clock_offset;
        if shifted >= self.now {
            self.now = shifted;
            return;
        }
        warn!(
            back_s = (self.now - shifted).as_secs_decimal(),
            "steady clock went back; verifying lease and claims anew"
        );
        self.clock_offset = self.now - now;
        self.membership.verification.clear();
        self.membership.renew_at = self.now;
        for holding in self
            .duties
            .iter_mut()
            .filter_map(|duty| duty.holding.as_mut())
        {
            holding.verification.clear();
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Store { call, reply } => self.store_reply(call, reply),
            Command::Begin {
                request,
                duty,
                payload,
            } => self.begin(request, &duty, payload),
            Command::Commit {
                request,
                duty,
                conditions,
                writes,
            } => self.fenced_commit(request, &duty, conditions, writes),
            Command::Performed {
                duty,
                operation,
                attempt,
                outcome,
            } => self.performed(&duty, operation, attempt, outcome),
            Command::TokenRefused {
                duty,
                fencing_token,
            } => self.program_token_refused(&duty, fencing_token),
            Command::SetLoad(load) => self.load = load,
            Command::SetLimits(limits) => self.set_limits(limits),
            Command::Transfer { duty, to } => {
                if let Some(index) = self.duty_index(&duty) {
                    let target = to.map_or(TransferTarget::LeastLoaded, TransferTarget::Member);
                    self.duties[index].transfer_requested = Some(target);
                }
            }
            Command::Leave => self.leaving = true,
            Command::FormerClaim(version) => self.former_claim = version,
        }
    }

    fn tick(&mut self) {
        let rate = self.settings.limits.changes_per_second;
        self.budget.refill(self.now, rate);
        self.membership_tick();
        self.view_tick();
        if self.left {
            return;
        }
        self.switch_tick();
        self.claims_tick();
        self.transfer_tick();
        for index in 0..self.duties.len() {
            self.operations_tick(index);
        }
        self.verify_tick();
        self.leave_tick();
    }

    fn store_reply(&mut self, call: CallId, reply: StoreReply) {
        let Some(pending) = self.calls.remove(&call) else {
            return;
        };
        match pending {
            Pending::Grant { sent } => self.granted(sent, reply),
            Pending::Renew { sent, lease } => self.renewed(sent, lease, reply),
            Pending::View => self.view_reply(reply),
            Pending::Register { record } => self.registered(record, reply),
            Pending::Unregister => self.unregistered(&reply),
            Pending::Version => self.membership.version_in_flight = false,
            Pending::Claim { duty, lease, sent } => self.claimed(duty, lease, sent, reply),
            Pending::Verify { sent, claims } => self.verify_reply(sent, &claims, &reply),
            Pending::LogRead {
                duty,
                fencing_token,
            } => self.log_read(duty, fencing_token, reply),
            Pending::LogWrite {
                duty,
                fencing_token,
                sent,
            } => self.log_written(duty, fencing_token, sent, &reply),
            Pending::Transfer {
                duty,
                fencing_token,
                to,
            } => self.transferred(duty, fencing_token, &to, &reply),
            Pending::Release { duty } => self.released(duty, &reply),
            Pending::Switch => self.switched(&reply),
        }
    }

    // ---- helpers -------------------------------------------------------------------------

    fn duty_index(&self, duty: &str) -> Option<usize> {
        self.duties.iter().position(|d| d.name == duty)
    }

    fn send_request(&mut self, request: StoreRequest, pending: Pending) {
        let call = self.next_id();
        self.calls.insert(call, pending);
        self.effects.push(Effect::Store { call, request });
    }

    /// A number that this process does not use again, for calls and attempts.
    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Whether a condition is to be logged for the first time.
    fn first_occurrence(&mut self, condition: String) -> bool {
        self.logged_conditions.insert(condition)
    }

    fn warn_unreadable(&mut self, error: &RecordError) {
        if self.first_occurrence(error.to_string()) {
            warn!(%error, "unreadable stored value ignored");
        }
    }

    fn set_limits(&mut self, limits: StoreLimits) {
        info!(?limits, "limits of the store changed");
        self.settings.limits = limits;
    }

    /// The loads of all members that are up and not leaving.
    fn loads(&self) -> Vec<MemberLoad> {
        let holders = self
            .duties
            .iter()
            .filter_map(|duty| duty.claim.as_ref().map(|claim| claim.member.as_str()));
        let counts = balancing::count_by_holder(holders);
        let load = |(name, seen): (&String, &SeenMember)| MemberLoad {
            member: name.clone(),
            duties: counts.get(name.as_str()).copied().unwrap_or(0),
            load: seen.record.load,
        };
        self.members
            .iter()
            .filter(|(_, seen)| !seen.record.leaving)
            .map(load)
            .collect()
    }

    fn claim_key(&self, index: usize) -> String {
        keys::claim(&self.duties[index].name)
    }
}
