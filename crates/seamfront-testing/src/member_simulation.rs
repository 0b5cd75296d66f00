//! A deterministic simulation of several members that hold duties, with a store, a cloud and fault injection. Each seed
//! gives one simulated run.

use crate::cloud::Cloud;
use crate::fleet_reconciler::{self, FleetOperation, FleetReconciler};
use crate::store::Store;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use seamfront_lease::permit::Permit;
use seamfront_lease::port::{Command, Effect, LossReason, Outcome};
use seamfront_lease::record::{LogRecord, Operation, OperationName};
use seamfront_lease::settings::{LeaseSettings, StoreLimits};
use seamfront_lease::store::{Entry, StoreReply, StoreRequest, Write};
use seamfront_lease::time::Micros;
use seamfront_lease::{keys, DutyManager};
use serde::Deserialize;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

pub const TARGET_FLEET_SIZE: usize = 6;
/// Key of the claim that the old version holds in place of duties.
pub const FORMER_CLAIM: &str = "leader";
const DUTIES: [&str; 4] = [
    fleet_reconciler::PROVISIONING_DUTY,
    fleet_reconciler::TERMINATION_DUTY,
    fleet_reconciler::ADOPTION_DUTY,
    "moving",
];
/// Small, so that lists extend over several pages.
const STORE_PAGE_SIZE: usize = 7;
const STEP_INTERVAL_MS: i64 = 50;
/// Pause between two lists of recorded machines.
const LIST_INTERVAL_MS: i64 = 400;
const CLOUD_LIST_INTERVAL_MS: i64 = 2_000;
/// With churn, a member terminates a machine in one of so many steps on average.
const STEPS_PER_TERMINATION: u32 = 15;
/// After this time without a response an operation's outcome counts as unknown.
const CLOUD_TIMEOUT_MS: i64 = 1_500;
/// How long requests that were sent under the old limits may take to reach the store.
const LIMITS_GRACE_MS: i64 = 2_000;
const OLD_VERSION_RENEWAL_INTERVAL_MS: i64 = 1_000;
/// By how much the cloud's list of machines lags behind.
const CLOUD_LIST_LAG_MS: i64 = 10_000;
/// Upper limit of the delay of requests that arrive late.
const MAX_REQUEST_DELAY_MS: i64 = 70_000;

pub fn ms(milliseconds: i64) -> Micros {
    Micros::from_millis(milliseconds)
}

pub const STORE_LIMITS: StoreLimits = StoreLimits {
    value_bytes: 32 * 1024,
    transaction_changes: 48,
    changes_per_second: 30,
};

/// Faults that are injected, each until a given time. Pairs hold that time and, in `n`, the chance of one in `n` for
/// each occasion.
#[derive(Default, Clone, Copy)]
pub struct Faults {
    pub store_unavailable_until: Micros,
    pub store_slow_until: Micros,
    pub cloud_unavailable_until: Micros,
    pub no_capacity_until: Micros,
    /// Replies of the store and the cloud are lost.
    pub lose_replies: (Micros, u32),
    /// Requests are executed up to [`MAX_REQUEST_DELAY_MS`] late, and their replies are lost.
    pub delay_requests: (Micros, u32),
    /// Members freeze after a step has decided on an effect and before the effect is carried out.
    pub freeze_at_effects: (Micros, u32),
}

/// How often the situations that the tests are meant to cover have occurred.
#[derive(Debug, Default, Clone, Copy)]
pub struct Coverage {
    /// Claims acquired.
    pub claims_acquired: u32,
    /// Attempts at operations that a predecessor had recorded.
    pub settled_for_predecessor: u32,
    /// Effects that were not begun, since their permit had expired.
    pub not_permitted: u32,
    /// Transactions that the store executed late.
    pub late_requests: u32,
    /// Provisioning requests that the cloud executed late.
    pub late_provisionings: u32,
    /// Duties lost since the store refused the fencing token.
    pub refused_tokens: u32,
    /// Successors reported to a former holder.
    pub replaced: u32,
    /// Duties lost by a transfer.
    pub transferred: u32,
    /// Outcomes of operations that reached a member which no longer held the claim.
    pub outcomes_after_loss: u32,
    pub freezes: u32,
    pub clock_jumps: u32,
    /// Duties lost before the predecessor's operations were settled.
    pub settling_interrupted: u32,
}

impl Coverage {
    pub fn add(&mut self, other: &Coverage) {
        self.claims_acquired += other.claims_acquired;
        self.settled_for_predecessor += other.settled_for_predecessor;
        self.not_permitted += other.not_permitted;
        self.late_requests += other.late_requests;
        self.late_provisionings += other.late_provisionings;
        self.refused_tokens += other.refused_tokens;
        self.replaced += other.replaced;
        self.transferred += other.transferred;
        self.outcomes_after_loss += other.outcomes_after_loss;
        self.freezes += other.freezes;
        self.clock_jumps += other.clock_jumps;
        self.settling_interrupted += other.settling_interrupted;
    }
}

/// Periods in which a duty had no active holder.
#[derive(Default)]
pub struct HolderGaps {
    since: BTreeMap<String, Micros>,
    /// Duty and length of each period that has ended.
    pub ended: Vec<(String, Micros)>,
}

/// A simulated member and its current process, if it has one.
pub struct Member {
    /// `None` while the process is down, or runs the old version alone.
    pub manager: Option<DutyManager>,
    reconciler: FleetReconciler,
    /// Number of the process. Events for an earlier one are dropped.
    incarnation: u64,
    frozen_until: Micros,
    /// The store refuses this member's requests until then.
    pub store_refused_until: Micros,
    /// By how many parts per million the member's clock runs fast (or slow, if negative).
    clock_rate_ppm: i64,
    /// Sum of the jumps of the member's clock.
    clock_offset: Micros,
    /// Number of the list of recorded machines that is being read.
    list_in_progress: Option<u64>,
    next_list_at: Micros,
    next_cloud_list_at: Micros,
    /// State of the old version's code, which has no duties and competes for the former claim.
    pub old_version: Option<OldVersion>,
    /// Duties and their lost tokens for which a successor was reported.
    reported_successors: BTreeSet<(String, u64)>,
    /// Duties whose claim is acquired and which are not active yet.
    settling_duties: BTreeSet<String>,
}

/// The version before duties: the member that holds the former claim does the work of all of them.
#[derive(Default)]
pub struct OldVersion {
    lease: Option<u64>,
    /// Version of the former claim, while this process holds it.
    pub fencing_token: Option<u64>,
    next_renewal_at: Micros,
}

enum Event {
    /// A request reaches the store.
    StoreRequest {
        member: usize,
        incarnation: u64,
        call: u64,
        request: StoreRequest,
    },
    /// A delayed request reaches the store; there is no reply.
    LateStoreRequest { request: StoreRequest },
    /// The store checks a waiting watch again.
    Watch {
        member: usize,
        incarnation: u64,
        call: u64,
        request: StoreRequest,
        until: Micros,
    },
    /// A member begins to perform an operation, if its permit is still valid.
    Perform {
        member: usize,
        incarnation: u64,
        attempt: Attempt,
        permit: Permit,
    },
    /// A request reaches the cloud. Without `answered` it is a delayed one whose outcome is lost.
    CloudRequest {
        member: usize,
        incarnation: u64,
        attempt: Attempt,
        answered: bool,
    },
    /// A command reaches the duty manager.
    Deliver {
        member: usize,
        incarnation: u64,
        command: Box<Command>,
    },
    /// The list of recorded machines with this number has been read.
    FinishList {
        member: usize,
        incarnation: u64,
        number: u64,
    },
    /// The periodic step of a process.
    Step { member: usize, incarnation: u64 },
    /// A crashed process is restarted.
    Start { member: usize },
}

/// An attempt to perform an operation.
#[derive(Clone)]
struct Attempt {
    duty: String,
    operation: Operation,
    number: u64,
}

pub struct Simulation {
    /// Virtual time; members see it through clocks of their own.
    pub now: Micros,
    rng: StdRng,
    queue: BTreeMap<(Micros, u64), Event>,
    /// Number of the last event that was scheduled; it orders events of the same time.
    last_event: u64,
    pub members: Vec<Member>,
    pub store: Store,
    pub cloud: Cloud,
    pub faults: Faults,
    pub coverage: Coverage,
    pub gaps: HolderGaps,
    /// Requests to the store, by kind.
    pub store_requests: BTreeMap<&'static str, u64>,
    /// Changes in all transactions that were sent to the store.
    pub store_changes: u64,
    settings: LeaseSettings,
    store_was_unavailable: bool,
    /// By machine, the operation that terminates it.
    terminated_by: BTreeMap<String, OperationName>,
    /// Permit of the latest operation that was to be performed.
    pub last_permit: Option<Permit>,
    /// Whether machines are terminated all the time, so that replacements are provisioned.
    pub churn: bool,
    /// Violated invariants; the run fails at the first one.
    pub violations: Vec<String>,
}

impl Simulation {
    /// A simulation with this many members, all of which have been started.
    pub fn new(seed: u64, members: usize) -> Simulation {
        Simulation::with_settings(seed, members, |_| {})
    }

    /// Like [`Simulation::new`], with settings that `adjust` has changed for all members.
    pub fn with_settings(
        seed: u64,
        members: usize,
        adjust: impl Fn(&mut LeaseSettings),
    ) -> Simulation {
        let names: Vec<String> = (0..members).map(|k| format!("n{k}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut settings = LeaseSettings::new(names[0], &names, &DUTIES, STORE_LIMITS);
        adjust(&mut settings);
        let mut simulation = Simulation {
            now: Micros::ZERO,
            rng: StdRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            last_event: 0,
            members: Vec::new(),
            store: Store::with_limits(
                STORE_PAGE_SIZE,
                settings.limits.value_bytes,
                settings.limits.transaction_changes,
            ),
            cloud: Cloud::default(),
            faults: Faults::default(),
            coverage: Coverage::default(),
            gaps: HolderGaps::default(),
            store_requests: BTreeMap::new(),
            store_changes: 0,
            settings,
            store_was_unavailable: false,
            terminated_by: BTreeMap::new(),
            last_permit: None,
            churn: true,
            violations: Vec::new(),
        };
        for member in 0..members {
            let clock_rate_ppm = simulation.rng.random_range(-500..=500);
            simulation.members.push(Member {
                manager: None,
                reconciler: FleetReconciler::new(TARGET_FLEET_SIZE),
                incarnation: 0,
                frozen_until: Micros::ZERO,
                store_refused_until: Micros::ZERO,
                clock_rate_ppm,
                clock_offset: Micros::ZERO,
                list_in_progress: None,
                next_list_at: Micros::ZERO,
                next_cloud_list_at: Micros::ZERO,
                old_version: None,
                reported_successors: BTreeSet::new(),
                settling_duties: BTreeSet::new(),
            });
            simulation.start(member);
        }
        simulation
    }

    fn schedule(&mut self, delay: Micros, event: Event) {
        self.last_event += 1;
        let at = self.now + delay;
        self.queue.insert((at, self.last_event), event);
    }

    /// A random number in this inclusive range.
    pub fn draw(&mut self, low: i64, high: i64) -> i64 {
        self.rng.random_range(low..=high)
    }

    /// True once in `one_in` on average; never for 0.
    pub fn chance(&mut self, one_in: u32) -> bool {
        one_in > 0 && self.rng.random_range(0..one_in) == 0
    }

    // ---- members -------------------------------------------------------------------------

    /// Starts a new process of this member, with the simulation's settings.
    pub fn start(&mut self, member: usize) {
        let mut settings = self.settings.clone();
        settings.member = format!("n{member}");
        settings.limits = self.settings.limits;
        self.start_with_settings(member, settings);
    }

    /// Starts a new process of this member, with settings of its own.
    pub fn start_with_settings(&mut self, member: usize, settings: LeaseSettings) {
        let state = &mut self.members[member];
        state.incarnation += 1;
        state.frozen_until = Micros::ZERO;
        state.reconciler = FleetReconciler::new(TARGET_FLEET_SIZE);
        state.list_in_progress = None;
        state.settling_duties.clear();
        state.reported_successors.clear();
        state.old_version = settings.former_claim.is_some().then(OldVersion::default);
        state.manager = Some(DutyManager::new(settings).expect("valid lease settings"));
        let incarnation = self.members[member].incarnation;
        self.schedule(
            ms(1),
            Event::Step {
                member,
                incarnation,
            },
        );
    }

    /// Starts a new process of this member that runs the old version alone.
    pub fn start_old_version(&mut self, member: usize) {
        self.members[member].incarnation += 1;
        self.members[member].manager = None;
        self.members[member].old_version = Some(OldVersion::default());
        let incarnation = self.members[member].incarnation;
        self.schedule(
            ms(1),
            Event::Step {
                member,
                incarnation,
            },
        );
    }

    /// Ends the process and schedules the start of a new one.
    pub fn crash(&mut self, member: usize, restart_after: Micros) {
        self.members[member].manager = None;
        self.members[member].old_version = None;
        self.members[member].incarnation += 1;
        self.schedule(restart_after, Event::Start { member });
    }

    /// Freezes the process, as a `SIGSTOP` does.
    pub fn freeze(&mut self, member: usize, duration: Micros) {
        self.coverage.freezes += 1;
        self.members[member].frozen_until = self.now + duration;
    }

    pub fn jump_clock(&mut self, member: usize, by: Micros) {
        self.coverage.clock_jumps += 1;
        let offset = &mut self.members[member].clock_offset;
        *offset += by;
    }

    /// Current reading of the member's steady clock.
    pub fn member_clock(&self, member: usize) -> Micros {
        let state = &self.members[member];
        // Steady clocks of different machines start at unrelated values; only their rates are about equal.
        let start = ms(1_000_000 * member as i64);
        start
            + self.now
            + Micros(self.now.0 / 1_000_000 * state.clock_rate_ppm)
            + state.clock_offset
    }

    /// Reduces the store's limits. Members get the new limits [`LIMITS_GRACE_MS`] before the store enforces them, since
    /// requests that are already sent kept to the old ones.
    pub fn shrink_limits(&mut self, limits: StoreLimits) {
        self.settings.limits = limits;
        for member in 0..self.members.len() {
            self.step(member, vec![Command::SetLimits(limits)]);
        }
        self.run_for(ms(LIMITS_GRACE_MS));
        self.store
            .set_limits(limits.value_bytes, limits.transaction_changes);
    }

    /// Sends a command to the member's duty manager.
    pub fn command(&mut self, member: usize, command: Command) {
        let incarnation = self.members[member].incarnation;
        self.schedule(
            ms(0),
            Event::Deliver {
                member,
                incarnation,
                command: Box::new(command),
            },
        );
    }

    fn step(&mut self, member: usize, commands: Vec<Command>) {
        let member_clock = self.member_clock(member);
        let _span =
            tracing::info_span!("member", node = member, at = self.now.as_secs_decimal()).entered();
        let Some(manager) = self.members[member].manager.as_mut() else {
            return;
        };
        let effects = manager.step(member_clock, commands);
        for effect in effects {
            self.apply_effect(member, effect);
        }
    }

    fn apply_effect(&mut self, member: usize, effect: Effect) {
        let machines_of = |operation: &Operation| {
            self.cloud
                .machines_of(&fleet_reconciler::provisioning_request_name(
                    fleet_reconciler::PROVISIONING_DUTY,
                    operation.name,
                ))
        };
        self.members[member]
            .reconciler
            .observe(&effect, machines_of);
        let incarnation = self.members[member].incarnation;
        self.record_effect(member, &effect);
        let (until, one_in) = self.faults.freeze_at_effects;
        let has_outside_effect = matches!(
            effect,
            Effect::Store {
                request: StoreRequest::CompareAndSwap { .. },
                ..
            } | Effect::Perform { .. }
        );
        if has_outside_effect && self.now < until && self.chance(one_in) {
            let duration = ms(self.draw(500, 60_000));
            self.freeze(member, duration);
        }
        match effect {
            Effect::Store { call, request } => {
                self.count_request(&request);
                let delay = Micros(self.draw(200, 3_000));
                self.schedule(
                    delay,
                    Event::StoreRequest {
                        member,
                        incarnation,
                        call,
                        request,
                    },
                );
            }
            Effect::Perform {
                duty,
                operation,
                attempt,
                permit,
                ..
            } => {
                self.last_permit = Some(permit);
                let attempt = Attempt {
                    duty,
                    operation,
                    number: attempt,
                };
                let delay = Micros(self.draw(0, 500));
                self.schedule(
                    delay,
                    Event::Perform {
                        member,
                        incarnation,
                        attempt,
                        permit,
                    },
                );
            }
            _ => {}
        }
    }

    fn count_request(&mut self, request: &StoreRequest) {
        let kind = match request {
            StoreRequest::Get { .. } => "get",
            StoreRequest::List { .. } => "list",
            StoreRequest::CompareAndSwap { writes, .. } => {
                self.store_changes += writes.len() as u64;
                "commit"
            }
            StoreRequest::GrantLease { .. } => "grant",
            StoreRequest::RenewLease { .. } => "renew",
            StoreRequest::Watch { .. } => "changes",
        };
        *self.store_requests.entry(kind).or_default() += 1;
    }

    fn record_effect(&mut self, member: usize, effect: &Effect) {
        match effect {
            Effect::Acquired { duty, .. } => {
                self.coverage.claims_acquired += 1;
                self.members[member].settling_duties.insert(duty.clone());
            }
            Effect::Active { duty, .. } => {
                self.members[member].settling_duties.remove(duty);
                if let Some(since) = self.gaps.since.remove(duty) {
                    self.gaps.ended.push((duty.clone(), self.now - since));
                }
            }
            Effect::Perform { settling: true, .. } => self.coverage.settled_for_predecessor += 1,
            Effect::Lost { duty, reason, .. } => {
                if self.members[member].settling_duties.remove(duty) {
                    self.coverage.settling_interrupted += 1;
                }
                match reason {
                    LossReason::Transferred => self.coverage.transferred += 1,
                    LossReason::TokenRefused => self.coverage.refused_tokens += 1,
                    _ => {}
                }
            }
            Effect::Replaced {
                duty,
                fencing_token,
                ..
            } => {
                self.coverage.replaced += 1;
                if !self.members[member]
                    .reported_successors
                    .insert((duty.clone(), *fencing_token))
                {
                    self.violations.push(format!(
                        "{duty}: the successor of fencing token {fencing_token} was reported twice"
                    ));
                }
            }
            Effect::Settled { operation, .. } => self.check_settled(operation),
            _ => {}
        }
    }

    // ---- events --------------------------------------------------------------------------

    /// Handles all events up to this time and checks the invariants after each.
    ///
    /// # Panics
    ///
    /// If an invariant is violated.
    pub fn run_until(&mut self, end: Micros) {
        while let Some(entry) = self
            .queue
            .first_entry()
            .filter(|entry| entry.key().0 <= end)
        {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.update_store();
            let reaches_cloud = matches!(event, Event::CloudRequest { .. });
            self.handle(event);
            if reaches_cloud {
                self.check_fleet();
            }
            assert!(
                self.violations.is_empty(),
                "invariants violated at {}: {:?}",
                self.now.as_secs_decimal(),
                self.violations
            );
        }
        self.now = end;
    }

    pub fn run_for(&mut self, duration: Micros) {
        let end = self.now + duration;
        self.run_until(end);
    }

    /// Expires leases, except while the store is unavailable; after that they get their full time again.
    fn update_store(&mut self) {
        let unavailable = self.now < self.faults.store_unavailable_until;
        if self.store_was_unavailable && !unavailable {
            self.store.refresh(self.now);
        }
        self.store_was_unavailable = unavailable;
        if !unavailable {
            self.store.expire(self.now);
        }
    }

    /// The rest of the freeze that an event has to wait for: frozen processes neither receive nor send anything.
    fn time_until_thaw(&self, event: &Event) -> Option<Micros> {
        let member = match event {
            Event::StoreRequest { member, .. }
            | Event::Perform { member, .. }
            | Event::Deliver { member, .. } => member,
            Event::Step { member, .. } | Event::FinishList { member, .. } => member,
            _ => return None,
        };
        let frozen_until = self.members[*member].frozen_until;
        (frozen_until > self.now).then(|| frozen_until - self.now)
    }

    fn handle(&mut self, event: Event) {
        if let Some(wait) = self.time_until_thaw(&event) {
            return self.schedule(wait, event);
        }
        match event {
            Event::Start { member } => {
                if self.members[member].manager.is_none()
                    && self.members[member].old_version.is_none()
                {
                    self.start(member);
                }
            }
            Event::Step {
                member,
                incarnation,
            } => self.handle_step(member, incarnation),
            Event::Deliver {
                member,
                incarnation,
                command,
            } => {
                if self.members[member].incarnation == incarnation {
                    self.count_outcome_after_loss(member, &command);
                    self.step(member, vec![*command]);
                }
            }
            Event::StoreRequest {
                member,
                incarnation,
                call,
                request,
            } => self.handle_store(member, incarnation, call, request),
            Event::LateStoreRequest { request } => {
                if self.now < self.faults.store_unavailable_until {
                    return;
                }
                self.store.execute(self.now, &request);
            }
            Event::Watch {
                member,
                incarnation,
                call,
                request,
                until,
            } => self.handle_watch(member, incarnation, call, request, until),
            Event::Perform {
                member,
                incarnation,
                attempt,
                permit,
            } => self.handle_perform(member, incarnation, attempt, permit),
            Event::CloudRequest {
                member,
                incarnation,
                attempt,
                answered,
            } => self.handle_cloud(member, incarnation, attempt, answered),
            Event::FinishList {
                member,
                incarnation,
                number,
            } => self.finish_list(member, incarnation, number),
        }
    }

    /// Counts outcomes of operations that reach a member which no longer holds the claim.
    fn count_outcome_after_loss(&mut self, member: usize, command: &Command) {
        let Command::Performed { duty, .. } = command else {
            return;
        };
        let claim = self.store.keys.get(&keys::claim(duty));
        if claim.is_none_or(|claim| claim.0["member"] != json!(format!("n{member}"))) {
            self.coverage.outcomes_after_loss += 1;
        }
    }

    fn handle_step(&mut self, member: usize, incarnation: u64) {
        if self.members[member].incarnation != incarnation {
            return;
        }
        self.schedule(
            ms(STEP_INTERVAL_MS),
            Event::Step {
                member,
                incarnation,
            },
        );
        self.step_old_version(member);
        if self.members[member].manager.is_none() {
            return;
        }
        self.reconcile_fleet(member);
        self.step(member, Vec::new());
    }

    /// Begins the fleet operations that are due, and reads the lists that they depend on.
    fn reconcile_fleet(&mut self, member: usize) {
        let incarnation = self.members[member].incarnation;
        let now = self.now;
        let state = &mut self.members[member];
        if state.reconciler.needs_list()
            && state.list_in_progress.is_none()
            && now >= state.next_list_at
        {
            let number = state.reconciler.begin_list();
            state.list_in_progress = Some(number);
            let delay = ms(self.draw(1, 40));
            self.schedule(
                delay,
                Event::FinishList {
                    member,
                    incarnation,
                    number,
                },
            );
        }
        let mut commands: Vec<Command> = self.members[member]
            .reconciler
            .provision()
            .into_iter()
            .collect();
        if self.churn && self.chance(STEPS_PER_TERMINATION) {
            let choice = self.draw(0, 100) as usize;
            commands.extend(self.members[member].reconciler.terminate(choice));
        }
        if now >= self.members[member].next_cloud_list_at {
            self.members[member].next_cloud_list_at = now + ms(CLOUD_LIST_INTERVAL_MS);
            let listed: BTreeSet<String> = self
                .cloud
                .list_at(now - ms(CLOUD_LIST_LAG_MS))
                .into_iter()
                .collect();
            commands.extend(self.members[member].reconciler.adopt(now, &listed));
        }
        self.step(member, commands);
    }

    fn finish_list(&mut self, member: usize, incarnation: u64, number: u64) {
        if self.members[member].incarnation != incarnation {
            return;
        }
        self.members[member].list_in_progress = None;
        self.members[member].next_list_at = self.now + ms(LIST_INTERVAL_MS);
        if self.now
            < self
                .faults
                .store_unavailable_until
                .max(self.members[member].store_refused_until)
        {
            return;
        }
        let machines = self.recorded_machines();
        let log = self
            .store
            .keys
            .get(&keys::log(fleet_reconciler::PROVISIONING_DUTY));
        let log = log
            .and_then(|entry| LogRecord::deserialize(&entry.0).ok())
            .unwrap_or_default();
        let open = log.open.iter().map(|operation| operation.name).collect();
        let now = self.now;
        self.members[member]
            .reconciler
            .apply_list(now, number, machines, &open);
    }

    /// Names of all machines that have a record in the store.
    pub fn recorded_machines(&self) -> BTreeSet<String> {
        let prefix = fleet_reconciler::MACHINE_PREFIX;
        let keys = self
            .store
            .keys
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix));
        keys.map(|(key, _)| key[prefix.len()..].to_owned())
            .collect()
    }

    // ---- the store -----------------------------------------------------------------------

    fn handle_store(&mut self, member: usize, incarnation: u64, call: u64, request: StoreRequest) {
        let is_current = self.members[member].incarnation == incarnation;
        let refused = self.now
            < self
                .faults
                .store_unavailable_until
                .max(self.members[member].store_refused_until);
        if let StoreRequest::Watch { wait, .. } = &request {
            if is_current {
                let until = self.now + *wait;
                self.handle_watch(member, incarnation, call, request, until);
            }
            return;
        }
        let (delay_until, one_in) = self.faults.delay_requests;
        if matches!(request, StoreRequest::CompareAndSwap { .. })
            && self.now < delay_until
            && self.chance(one_in)
        {
            self.coverage.late_requests += 1;
            let delay = ms(self.draw(500, MAX_REQUEST_DELAY_MS));
            self.schedule(delay, Event::LateStoreRequest { request });
            return self.deliver_reply(
                member,
                incarnation,
                call,
                StoreReply::Unknown,
                self.settings.store_answer,
            );
        }
        if refused {
            return self.deliver_reply(member, incarnation, call, StoreReply::Refused, ms(2));
        }
        let slow = self.now < self.faults.store_slow_until;
        let reply = self
            .store
            .execute(self.now, &request)
            .unwrap_or(StoreReply::Refused);
        let (loss_until, one_in) = self.faults.lose_replies;
        if self.now < loss_until && self.chance(one_in) {
            return self.deliver_reply(
                member,
                incarnation,
                call,
                StoreReply::Unknown,
                self.settings.store_answer,
            );
        }
        let delay = if slow {
            ms(self.draw(300, 1_900))
        } else {
            Micros(self.draw(300, 9_000))
        };
        if delay > self.settings.store_answer {
            return self.deliver_reply(
                member,
                incarnation,
                call,
                StoreReply::Unknown,
                self.settings.store_answer,
            );
        }
        self.deliver_reply(member, incarnation, call, reply, delay);
    }

    fn deliver_reply(
        &mut self,
        member: usize,
        incarnation: u64,
        call: u64,
        reply: StoreReply,
        delay: Micros,
    ) {
        let command = Box::new(Command::Store { call, reply });
        self.schedule(
            delay,
            Event::Deliver {
                member,
                incarnation,
                command,
            },
        );
    }

    fn handle_watch(
        &mut self,
        member: usize,
        incarnation: u64,
        call: u64,
        request: StoreRequest,
        until: Micros,
    ) {
        if self.members[member].incarnation != incarnation {
            return;
        }
        let refused = self.now
            < self
                .faults
                .store_unavailable_until
                .max(self.members[member].store_refused_until);
        let reply = if refused {
            None
        } else {
            self.store.execute(self.now, &request)
        };
        let no_changes = StoreReply::Changes {
            revision: 0,
            events: Vec::new(),
        };
        match reply {
            Some(reply) => self.deliver_reply(
                member,
                incarnation,
                call,
                reply,
                Micros(self.now.0 % 3_000 + 200),
            ),
            None if self.now >= until => {
                self.deliver_reply(member, incarnation, call, no_changes, ms(1));
            }
            None => self.schedule(
                ms(20),
                Event::Watch {
                    member,
                    incarnation,
                    call,
                    request,
                    until,
                },
            ),
        }
    }

    /// Version of the duty's claim in the store, which is its fencing token.
    pub fn claim_version(&self, duty: &str) -> Option<u64> {
        self.store.keys.get(&keys::claim(duty)).map(|entry| entry.1)
    }

    /// The member that is active under the duty's current fencing token.
    pub fn holder(&self, duty: &str) -> Option<usize> {
        let fencing_token = self.claim_version(duty)?;
        let active = |member: &Member| {
            let manager = member.manager.as_ref();
            manager.is_some_and(|manager| {
                manager
                    .active()
                    .iter()
                    .any(|held| held.0 == duty && held.1 == fencing_token)
            })
        };
        self.members.iter().position(active)
    }

    // ---- operations ----------------------------------------------------------------------

    fn handle_perform(
        &mut self,
        member: usize,
        incarnation: u64,
        attempt: Attempt,
        permit: Permit,
    ) {
        if self.members[member].incarnation != incarnation {
            return;
        }
        if !permit.valid(self.member_clock(member)) {
            self.coverage.not_permitted += 1;
            let (duty, operation, number) = (attempt.duty, attempt.operation.name, attempt.number);
            let command = Command::Performed {
                duty,
                operation,
                attempt: number,
                outcome: Outcome::NotPermitted,
            };
            return self.step(member, vec![command]);
        }
        self.check_holder(&attempt.duty, permit.fencing_token);
        let (delay_until, one_in) = self.faults.delay_requests;
        if self.now < delay_until && self.chance(one_in) {
            // The request is stuck in the network: it is executed after the sender has given up waiting, perhaps after a
            // request of the successor.
            let delay = ms(self.draw(500, MAX_REQUEST_DELAY_MS));
            self.schedule(
                delay,
                Event::CloudRequest {
                    member,
                    incarnation,
                    attempt: attempt.clone(),
                    answered: false,
                },
            );
            return self.deliver_outcome(
                member,
                incarnation,
                &attempt,
                Outcome::Unknown,
                ms(CLOUD_TIMEOUT_MS),
            );
        }
        let delay = ms(self.draw(5, 400));
        self.schedule(
            delay,
            Event::CloudRequest {
                member,
                incarnation,
                attempt,
                answered: true,
            },
        );
    }

    fn deliver_outcome(
        &mut self,
        member: usize,
        incarnation: u64,
        attempt: &Attempt,
        outcome: Outcome,
        delay: Micros,
    ) {
        let (duty, operation, number) =
            (attempt.duty.clone(), attempt.operation.name, attempt.number);
        let command = Box::new(Command::Performed {
            duty,
            operation,
            attempt: number,
            outcome,
        });
        self.schedule(
            delay,
            Event::Deliver {
                member,
                incarnation,
                command,
            },
        );
    }

    fn handle_cloud(&mut self, member: usize, incarnation: u64, attempt: Attempt, answered: bool) {
        let outcome = self.execute_in_cloud(&attempt, answered);
        let (loss_until, one_in) = self.faults.lose_replies;
        if !answered {
            self.coverage.late_provisionings +=
                u32::from(attempt.duty == fleet_reconciler::PROVISIONING_DUTY);
            return;
        }
        let lost = self.now < loss_until && self.chance(one_in);
        let outcome = if lost { Outcome::Unknown } else { outcome };
        let delay = ms(self.draw(5, 100));
        self.deliver_outcome(member, incarnation, &attempt, outcome, delay);
    }

    fn execute_in_cloud(&mut self, attempt: &Attempt, answered: bool) -> Outcome {
        if answered && self.now < self.faults.cloud_unavailable_until {
            return Outcome::Unknown;
        }
        match FleetOperation::of(&attempt.operation) {
            Some(FleetOperation::Provision { count }) => {
                let name = fleet_reconciler::provisioning_request_name(
                    &attempt.duty,
                    attempt.operation.name,
                );
                let has_capacity = self.now >= self.faults.no_capacity_until;
                match self.cloud.provision(self.now, &name, count, has_capacity) {
                    Some(machines) => fleet_reconciler::provisioned(&machines),
                    None => Outcome::NotDone,
                }
            }
            Some(FleetOperation::Terminate { machines }) => {
                self.check_terminated_once(&attempt.operation, &machines);
                self.cloud.terminate(self.now, &machines);
                fleet_reconciler::terminated(&machines)
            }
            None => Outcome::NotDone,
        }
    }

    // ---- invariants ----------------------------------------------------------------------

    /// An effect may begin only while its fencing token is the current one in the store.
    fn check_holder(&mut self, duty: &str, fencing_token: u64) {
        let current = self.claim_version(duty);
        if current != Some(fencing_token) {
            self.violations.push(format!(
                "{duty}: an effect began under fencing token {fencing_token}, the store has {current:?}"
            ));
        }
    }

    /// At most one operation terminates a machine.
    fn check_terminated_once(&mut self, operation: &Operation, machines: &[String]) {
        for machine in machines {
            let first = *self
                .terminated_by
                .entry(machine.clone())
                .or_insert(operation.name);
            if first != operation.name {
                self.violations.push(format!(
                    "{machine}: terminated by operation {first} and by operation {}",
                    operation.name
                ));
            }
        }
    }

    /// A termination may settle only once its machines are gone.
    fn check_settled(&mut self, operation: &Operation) {
        if let Some(FleetOperation::Terminate { machines }) = FleetOperation::of(operation) {
            if machines
                .iter()
                .any(|machine| self.cloud.live().contains(machine))
            {
                self.violations.push(format!(
                    "{}: the termination is settled, but its machine still exists",
                    operation.name
                ));
            }
        }
    }

    /// There are never more machines than the target, apart from those of delayed requests that had been refused.
    fn check_fleet(&mut self) {
        let limit = TARGET_FLEET_SIZE + self.cloud.provisioned_after_refusal;
        let live = self.cloud.live().len();
        if live > limit {
            self.violations.push(format!(
                "{live} machines exist, at most {limit} are allowed"
            ));
        }
    }

    /// The active duties of all members and the duty keys in the store, for failure messages.
    pub fn describe(&self) -> String {
        let active = |member: &Member| member.manager.as_ref().map(|m| format!("{:?}", m.active()));
        let active: Vec<_> = self.members.iter().map(active).collect();
        let claims: Vec<_> = self
            .store
            .keys
            .iter()
            .filter(|(key, _)| key.starts_with("duty"))
            .collect();
        format!("{} {active:?}\n{claims:?}", self.now.as_secs_decimal())
    }

    /// Checks the state that a run must reach once faults and churn have ended: each duty has one holder, no operation is
    /// open, the records match the machines that exist, and the target size is reached.
    pub fn check_final_state(&mut self) {
        for duty in DUTIES {
            let active = |member: &&Member| {
                member
                    .manager
                    .as_ref()
                    .is_some_and(|m| m.active().iter().any(|a| a.0 == duty))
            };
            let holders = self.members.iter().filter(active).count();
            assert_eq!(
                holders,
                1,
                "{duty} must have one holder: {}",
                self.describe()
            );
            let open = self
                .store
                .keys
                .get(&keys::log(duty))
                .map(|entry| entry.0["open"].clone());
            assert!(
                open.is_none_or(|open| open == json!([])),
                "{duty} still has open operations"
            );
        }
        let known = self.recorded_machines();
        let live = self.cloud.live().clone();
        assert_eq!(
            known, live,
            "recorded machines differ from those in the cloud"
        );
        assert!(
            live.len() >= TARGET_FLEET_SIZE,
            "fewer than {TARGET_FLEET_SIZE} machines exist"
        );
    }

    // ---- the old version -----------------------------------------------------------------

    /// Acquires the former claim as the version in production does, keeps its lease alive, and tells the duty manager, if
    /// there is one, whether the claim is held.
    fn step_old_version(&mut self, member: usize) {
        let now = self.now;
        if now
            < self
                .faults
                .store_unavailable_until
                .max(self.members[member].store_refused_until)
        {
            return;
        }
        let Some(mut old) = self.members[member].old_version.take() else {
            return;
        };
        if now >= old.next_renewal_at {
            old.next_renewal_at = now + ms(OLD_VERSION_RENEWAL_INTERVAL_MS);
            let renew = old.lease.map(|lease| StoreRequest::RenewLease { lease });
            let request = renew.unwrap_or(StoreRequest::GrantLease {
                ttl: self.settings.lease,
            });
            match self.store.execute(now, &request) {
                Some(StoreReply::Lease { id }) => old.lease = Some(id),
                Some(StoreReply::NoSuchLease) => old = OldVersion::default(),
                _ => {}
            }
            if let Some(lease) = old.lease {
                let value = json!({"member": format!("n{member}"), "lease": lease});
                let writes = vec![Write::Put {
                    key: FORMER_CLAIM.to_owned(),
                    value,
                    lease: Some(lease),
                }];
                let request = StoreRequest::CompareAndSwap {
                    conditions: vec![(FORMER_CLAIM.to_owned(), 0)],
                    writes,
                };
                if let Some(StoreReply::Committed { revision }) = self.store.execute(now, &request)
                {
                    old.fencing_token = Some(revision);
                }
            }
        }
        let current = self.store.execute(
            now,
            &StoreRequest::Get {
                key: FORMER_CLAIM.to_owned(),
            },
        );
        let held = matches!(&current, Some(StoreReply::Entry(Entry { version, .. })) if Some(*version) == old.fencing_token);
        old.fencing_token = old.fencing_token.filter(|_| held);
        let fencing_token = old.fencing_token;
        self.members[member].old_version = Some(old);
        self.step(member, vec![Command::FormerClaim(fencing_token)]);
        self.check_switch();
    }

    /// Duties may be held only after the former claim was replaced by a permanent record without a holder.
    fn check_switch(&mut self) {
        let held = DUTIES.iter().any(|duty| self.claim_version(duty).is_some());
        let former = self.store.keys.get(FORMER_CLAIM);
        let ended = former.is_some_and(|entry| entry.0["member"] == json!("") && entry.2.is_none());
        if held && !ended {
            self.violations
                .push("a duty is held while the former claim has not ended".to_owned());
        }
    }
}
