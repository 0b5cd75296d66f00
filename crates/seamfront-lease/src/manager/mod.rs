//! The one owner of a member's duties. Commands come in batches, effects go out; time is given, never asked for. Same
//! commands, same times, same effects.

use crate::keys;
use crate::log::OperationLog;
use crate::permit::{ClaimVerification, Permit};
use crate::port::{
    CallId, Command, CommitOutcome, Effect, LossReason, Rejection, RequestId, Successor,
};
use crate::record::{MemberRecord, MoveRecord, RecordError, SwitchRecord};
use crate::settings::{LeaseSettings, SettingsError, StoreLimits};
use crate::spread::MemberLoad;
use crate::store::{StoreReply, StoreRequest, Write};
use crate::time::Micros;
use crate::view::View;
use std::collections::{BTreeMap, BTreeSet};
use tracing::{info, warn};

mod claims;
mod handover;
mod membership;
mod operations;
mod switch;
mod views;

use membership::Membership;

/// How long a refused or unanswered request rests before it is made again.
const RETRY: Micros = Micros::from_millis(250);
/// Fenced changes that wait for the store's rate at the most.
const FENCED_WAITING: usize = 64;

/// A claim as the view shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct SeenClaim {
    version: u64,
    member: String,
    lease: u64,
}

/// How far a holder has come.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// The log is being read.
    Loading,
    /// Operations of a predecessor are being settled.
    Settling,
    /// The duty is performed.
    Active,
    /// It goes to another member once nothing is under way.
    HandingOver {
        to: String,
        since: Micros,
        sent: bool,
    },
}

/// A duty that is held here.
#[derive(Debug)]
struct Holding {
    fencing_token: u64,
    since: Micros,
    phase: Phase,
    verification: ClaimVerification,
    /// A proof is needed before the next effect.
    verification_due: bool,
    log: OperationLog,
    log_busy: bool,
    log_next: Micros,
}

/// A duty, held here or not.
#[derive(Debug)]
struct Duty {
    name: String,
    claim: Option<SeenClaim>,
    free_since: Option<Micros>,
    claim_busy: bool,
    claim_next: Micros,
    /// The last token that was given up here. It is never acted on again, even if the store still has it as ours.
    last_released_token: u64,
    holding: Option<Holding>,
    /// A token that was lost, until its successor has been told.
    lost: Option<u64>,
    /// Not claimed before, since its log could not be read.
    unreadable_until: Micros,
    /// Wanted by the embedding program: to be handed over, to whom.
    handover_wanted: Option<Option<String>>,
}

/// Another member's record, or our own, with its version.
#[derive(Clone, Debug)]
struct SeenMember {
    record: MemberRecord,
    version: u64,
}

/// What a request to the store is for.
#[derive(Debug)]
enum Pending {
    Grant {
        sent: Micros,
    },
    Renew {
        sent: Micros,
        lease: u64,
    },
    View,
    Register {
        record: MemberRecord,
    },
    Unregister,
    Version,
    Claim {
        duty: usize,
        lease: u64,
        sent: Micros,
    },
    Verify {
        sent: Micros,
        claims: Vec<(usize, u64)>,
    },
    LogRead {
        duty: usize,
        fencing_token: u64,
    },
    LogWrite {
        duty: usize,
        fencing_token: u64,
        sent: Micros,
    },
    Transfer {
        duty: usize,
        fencing_token: u64,
        to: String,
    },
    Release {
        duty: usize,
    },
    Switch,
}

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
    moves: BTreeMap<String, (MoveRecord, u64)>,
    duties: Vec<Duty>,
    verify_busy: bool,
    verify_next: Micros,
    /// Changes that the store takes now, in thousandths.
    budget: i64,
    budget_filled: Micros,
    load: u64,
    leaving: bool,
    left: bool,
    /// What has been complained of; each is told once.
    reported: BTreeSet<String>,
}

impl DutyManager {
    /// A member that has just begun. Settings that could not work are refused.
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
            budget: 0,
            budget_filled: Micros::ZERO,
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

    /// Asks for a proof of a duty's claim where the permit has run out or soon will: an effect is about to begin.
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

    /// A clock that goes back is not the one that proofs were counted by: all of them are void.
    fn advance(&mut self, now: Micros) {
        let shifted = now + self.clock_offset;
        if shifted >= self.now {
            self.now = shifted;
            return;
        }
        warn!(
            back_s = (self.now - shifted).as_secs_decimal(),
            "the steady clock went back; proving everything anew"
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
            } => {
                let now = self.now;
                let holding = self
                    .index(&duty)
                    .and_then(|index| self.duties[index].holding.as_mut());
                if let Some(holding) = holding {
                    holding.log.performed(operation, attempt, outcome, now);
                }
            }
            Command::TokenRefused {
                duty,
                fencing_token,
            } => {
                let index = self
                    .index(&duty)
                    .filter(|index| self.held_token(*index) == Some(fencing_token));
                if let Some(index) = index {
                    self.lose(index, LossReason::TokenRefused);
                }
            }
            Command::SetLoad(load) => self.load = load,
            Command::SetLimits(limits) => self.set_limits(limits),
            Command::HandOver { duty, to } => {
                if let Some(index) = self.index(&duty) {
                    self.duties[index].handover_wanted = Some(to);
                }
            }
            Command::Leave => self.leaving = true,
            Command::FormerClaim(version) => self.former_claim = version,
        }
    }

    fn tick(&mut self) {
        self.fill_budget();
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

    /// Whether this is said for the first time.
    fn first_report(&mut self, what: String) -> bool {
        self.reported.insert(what)
    }

    fn complain(&mut self, error: &RecordError) {
        if self.first_report(error.to_string()) {
            warn!(%error, "stored value set aside");
        }
    }

    fn set_limits(&mut self, limits: StoreLimits) {
        info!(?limits, "limits of the store");
        self.settings.limits = limits;
    }

    fn fill_budget(&mut self) {
        const MICROS_PER_SECOND: i64 = 1_000_000;
        let rate = self.settings.limits.changes_per_second * 1_000;
        let passed = (self.now - self.budget_filled)
            .0
            .clamp(0, MICROS_PER_SECOND);
        self.budget_filled = self.now;
        self.budget = (self.budget + rate * passed / MICROS_PER_SECOND).min(rate);
    }

    fn spend(&mut self, changes: usize) {
        self.budget -= changes as i64 * 1_000;
    }

    /// Whether the store takes another change now.
    fn has_budget(&self) -> bool {
        self.budget > 0
    }

    /// All members that are up, with what they hold.
    fn loads(&self) -> Vec<MemberLoad> {
        let holders = self
            .duties
            .iter()
            .filter_map(|duty| duty.claim.as_ref().map(|claim| claim.member.as_str()));
        let counts = crate::spread::count_by_holder(holders);
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
