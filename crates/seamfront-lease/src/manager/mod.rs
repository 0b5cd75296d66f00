//! The one owner of a member's duties: a deterministic state machine. Commands come in batches, effects go out; time is an
//! argument. The same commands at the same times give the same effects.

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
mod handover;
mod membership;
mod operations;
mod state;
mod switch;
mod views;

use budget::WriteBudget;
use membership::Membership;
use state::{Duty, HandoverTarget, Pending, Phase, SeenMember, SeenMove};

/// Delay after which a request is made again that was refused or got no reply.
const RETRY_DELAY: Micros = Micros::from_millis(250);
/// Fenced changes of one duty that are queued at the most.
const FENCED_QUEUE_MAX: usize = 64;

/// The duties of one member.
#[derive(Debug)]
pub struct DutyManager {
    settings: LeaseSettings,
    now: Micros,
    /// What is added to the given time, so that time never goes back here.
    clock_offset: Micros,
    effects: Vec<Effect>,
    calls: BTreeMap<CallId, Pending>,
    next_call: CallId,
    membership: Membership,
    view: View,
    view_busy: bool,
    view_next: Micros,
    seen_keys: BTreeSet<String>,
    members: BTreeMap<String, SeenMember>,
    versions: BTreeMap<String, u64>,
    switch: Option<SwitchRecord>,
    former_claim: Option<u64>,
    switch_busy: bool,
    switch_next: Micros,
    moves: BTreeMap<String, SeenMove>,
    duties: Vec<Duty>,
    verify_busy: bool,
    verify_next: Micros,
    budget: WriteBudget,
    load: u64,
    leaving: bool,
    left: bool,
    /// Conditions that were logged already; each is logged once.
    reported: BTreeSet<String>,
}

impl DutyManager {
    /// A member that has just started. Settings that could not work are refused.
    pub fn new(settings: LeaseSettings) -> Result<DutyManager, SettingsError> {
        settings.validate()?;
        let duty = |name: &String| Duty {
            name: name.clone(),
            claim: None,
            free_since: None,
            claim_busy: false,
            claim_next: Micros::ZERO,
            last_released_token: 0,
            holding: None,
            lost: None,
            unreadable_until: Micros::ZERO,
            handover_wanted: None,
        };
        Ok(DutyManager {
            duties: settings.duties.iter().map(duty).collect(),
            settings,
            now: Micros::ZERO,
            clock_offset: Micros::ZERO,
            effects: Vec::new(),
            calls: BTreeMap::new(),
            next_call: 1,
            membership: Membership::default(),
            view: View::default(),
            view_busy: false,
            view_next: Micros::ZERO,
            seen_keys: BTreeSet::new(),
            members: BTreeMap::new(),
            versions: BTreeMap::new(),
            switch: None,
            former_claim: None,
            switch_busy: false,
            switch_next: Micros::ZERO,
            moves: BTreeMap::new(),
            verify_busy: false,
            verify_next: Micros::ZERO,
            budget: WriteBudget::default(),
            load: 0,
            leaving: false,
            left: false,
            reported: BTreeSet::new(),
        })
    }

    /// One step. `now` is a steady clock's; nothing is ever compared with another machine's clock.
    pub fn step(&mut self, now: Micros, commands: Vec<Command>) -> Vec<Effect> {
        self.advance(now);
        for command in commands {
            self.take(command);
        }
        self.tick();
        std::mem::take(&mut self.effects)
    }

    /// Duties that may be performed here now, with their tokens.
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

    /// The token of a duty that may be performed here.
    pub fn fencing_token(&self, duty: &str) -> Option<u64> {
        self.active()
            .into_iter()
            .find(|held| held.0 == duty)
            .map(|held| held.1)
    }

    /// Who holds a duty, as far as this member sees.
    pub fn holder(&self, duty: &str) -> Option<&str> {
        let claim = self.duties[self.index(duty)?].claim.as_ref()?;
        (!claim.member.is_empty()).then_some(claim.member.as_str())
    }

    /// Has a duty's claim verified where the permit has expired or soon will: an effect is about to begin.
    pub fn request_verification(&mut self, duty: &str) {
        let Some(index) = self.index(duty) else {
            return;
        };
        let half = self.settings.verification_ttl().over(2);
        let fresh = self
            .current_permit(index)
            .is_some_and(|permit| permit.until + self.clock_offset > self.now + half);
        if let Some(holding) = self.duties[index].holding.as_mut() {
            holding.verification_due |= !fresh;
        }
    }

    /// Whether a duty is held here, be it that its predecessor's operations are not settled yet.
    pub fn holds(&self, duty: &str) -> bool {
        self.index(duty)
            .is_some_and(|index| self.duties[index].holding.is_some())
    }

    /// The right to begin an effect of a duty now, if there is one without another request to the store.
    pub fn permit(&self, duty: &str) -> Option<Permit> {
        let index = self.index(duty)?;
        self.current_permit(index)
    }

    /// The settings that it runs with, limits included.
    pub fn settings(&self) -> &LeaseSettings {
        &self.settings
    }

    /// A clock that goes back is not the one that verifications were counted by: all of them are void.
    fn advance(&mut self, now: Micros) {
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
        self.membership.renew_next = self.now;
        for holding in self
            .duties
            .iter_mut()
            .filter_map(|duty| duty.holding.as_mut())
        {
            holding.verification.clear();
        }
    }

    fn take(&mut self, command: Command) {
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
            } => self.refused_elsewhere(&duty, fencing_token),
            Command::SetLoad(load) => self.load = load,
            Command::SetLimits(limits) => self.set_limits(limits),
            Command::HandOver { duty, to } => {
                if let Some(index) = self.index(&duty) {
                    let target = to.map_or(HandoverTarget::LeastLoaded, HandoverTarget::Member);
                    self.duties[index].handover_wanted = Some(target);
                }
            }
            Command::Leave => self.leaving = true,
            Command::FormerClaim(version) => self.former_claim = version,
        }
    }

    fn tick(&mut self) {
        let rate = self.settings.limits.changes_per_second;
        self.budget.fill(self.now, rate);
        self.membership_tick();
        self.view_tick();
        if self.left {
            return;
        }
        self.switch_tick();
        self.claims_tick();
        self.handover_tick();
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
            Pending::Version => self.membership.version_busy = false,
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

    fn index(&self, duty: &str) -> Option<usize> {
        self.duties.iter().position(|d| d.name == duty)
    }

    fn store(&mut self, request: StoreRequest, pending: Pending) {
        let call = self.next_number();
        self.calls.insert(call, pending);
        self.effects.push(Effect::Store { call, request });
    }

    /// A number that is never used again by this process, for calls and attempts.
    fn next_number(&mut self) -> u64 {
        self.next_call += 1;
        self.next_call
    }

    /// Whether a condition is logged for the first time.
    fn first_report(&mut self, condition: String) -> bool {
        self.reported.insert(condition)
    }

    fn report_unreadable(&mut self, error: &RecordError) {
        if self.first_report(error.to_string()) {
            warn!(%error, "unreadable stored value ignored");
        }
    }

    fn set_limits(&mut self, limits: StoreLimits) {
        info!(?limits, "limits of the store changed");
        self.settings.limits = limits;
    }

    /// All members that are up, with what they hold.
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
