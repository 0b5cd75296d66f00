//! Several members with a store, a cloud and a network that delays, loses and holds back. One seed, one history.

use crate::cloud::Cloud;
use crate::fleet_keeper::{self, Keeper, Work};
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

pub const TARGET: usize = 6;
pub const FORMER_CLAIM: &str = "leader";
const DUTIES: [&str; 4] = [
    fleet_keeper::RENTING,
    fleet_keeper::RETURNING,
    fleet_keeper::CLEANING,
    "moving",
];
const STEP: i64 = 50;
const LIST_LAG: i64 = 10_000;
/// Requests that are held back come at most so much later.
const HELD_BACK: i64 = 70_000;

pub fn ms(n: i64) -> Micros {
    Micros::from_millis(n)
}

pub const LIMITS: StoreLimits = StoreLimits {
    value_bytes: 32 * 1024,
    transaction_changes: 48,
    changes_per_second: 30,
};

/// What can go wrong, each until some time.
#[derive(Default, Clone, Copy)]
pub struct Trouble {
    pub store_out: Micros,
    pub store_slow: Micros,
    pub cloud_out: Micros,
    pub no_capacity: Micros,
    /// Answers are lost, one in so many.
    pub lose_answers: (Micros, u32),
    /// Requests are carried out late, one in so many; their answers are lost.
    pub hold_back: (Micros, u32),
    /// Members are frozen between a step and what it is to have done, one in so many.
    pub freeze_at_effects: (Micros, u32),
}

/// How often what the tests are for has happened.
#[derive(Debug, Default, Clone, Copy)]
pub struct Coverage {
    pub taken: u32,
    pub settled_for_predecessor: u32,
    pub not_permitted: u32,
    pub late_requests: u32,
    pub late_rentals: u32,
    pub refused_tokens: u32,
    pub replaced: u32,
    pub handed_over: u32,
    pub answers_after_loss: u32,
    pub freezes: u32,
    pub clock_jumps: u32,
    pub settling_interrupted: u32,
}

impl Coverage {
    pub fn add(&mut self, other: &Coverage) {
        self.taken += other.taken;
        self.settled_for_predecessor += other.settled_for_predecessor;
        self.not_permitted += other.not_permitted;
        self.late_requests += other.late_requests;
        self.late_rentals += other.late_rentals;
        self.refused_tokens += other.refused_tokens;
        self.replaced += other.replaced;
        self.handed_over += other.handed_over;
        self.answers_after_loss += other.answers_after_loss;
        self.freezes += other.freezes;
        self.clock_jumps += other.clock_jumps;
        self.settling_interrupted += other.settling_interrupted;
    }
}

/// Times of one duty without an active holder.
#[derive(Default)]
pub struct Gaps {
    since: BTreeMap<String, Micros>,
    pub ended: Vec<(String, Micros)>,
}

pub struct Node {
    pub manager: Option<DutyManager>,
    keeper: Keeper,
    life: u64,
    frozen: Micros,
    pub refused: Micros,
    /// Parts in a million by which its clock runs fast or slow, and what was added to it.
    rate: i64,
    jump: Micros,
    list: Option<u64>,
    list_next: Micros,
    look_next: Micros,
    /// The first version, which knows no duties: it wants the former claim.
    pub old: Option<OldVersion>,
    told_replaced: BTreeSet<(String, u64)>,
    settling: BTreeSet<String>,
}

/// A process that knows no duties: whoever holds the former claim acts for all.
#[derive(Default)]
pub struct OldVersion {
    lease: Option<u64>,
    pub fencing_token: Option<u64>,
    next: Micros,
}

enum Event {
    Store {
        node: usize,
        life: u64,
        call: u64,
        request: StoreRequest,
    },
    Late {
        request: StoreRequest,
    },
    Watch {
        node: usize,
        life: u64,
        call: u64,
        request: StoreRequest,
        until: Micros,
    },
    Perform {
        node: usize,
        life: u64,
        work: Attempt,
        permit: Permit,
    },
    Cloud {
        node: usize,
        life: u64,
        work: Attempt,
        answered: bool,
    },
    Give {
        node: usize,
        life: u64,
        command: Box<Command>,
    },
    List {
        node: usize,
        life: u64,
        number: u64,
    },
    Step {
        node: usize,
        life: u64,
    },
    Boot {
        node: usize,
    },
}

#[derive(Clone)]
struct Attempt {
    duty: String,
    operation: Operation,
    attempt: u64,
}

pub struct Simulation {
    pub now: Micros,
    rng: StdRng,
    queue: BTreeMap<(Micros, u64), Event>,
    next: u64,
    pub nodes: Vec<Node>,
    pub store: Store,
    pub cloud: Cloud,
    pub trouble: Trouble,
    pub coverage: Coverage,
    pub gaps: Gaps,
    pub requests: BTreeMap<&'static str, u64>,
    pub changes: u64,
    settings: LeaseSettings,
    was_out: bool,
    returned_by: BTreeMap<String, OperationName>,
    pub last_permit: Option<Permit>,
    /// Whether machines are returned all the time.
    pub churn: bool,
    /// Never allowed to be broken; filled by checks.
    pub broken: Vec<String>,
}

impl Simulation {
    pub fn new(seed: u64, members: usize) -> Simulation {
        Simulation::with(seed, members, |_| {})
    }

    pub fn with(seed: u64, members: usize, adjust: impl Fn(&mut LeaseSettings)) -> Simulation {
        let names: Vec<String> = (0..members).map(|k| format!("n{k}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut settings = LeaseSettings::new(names[0], &names, &DUTIES, LIMITS);
        adjust(&mut settings);
        let mut world = Simulation {
            now: Micros::ZERO,
            rng: StdRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            next: 0,
            nodes: Vec::new(),
            store: Store::with(
                7,
                settings.limits.value_bytes,
                settings.limits.transaction_changes,
            ),
            cloud: Cloud::default(),
            trouble: Trouble::default(),
            coverage: Coverage::default(),
            gaps: Gaps::default(),
            requests: BTreeMap::new(),
            changes: 0,
            settings,
            was_out: false,
            returned_by: BTreeMap::new(),
            last_permit: None,
            churn: true,
            broken: Vec::new(),
        };
        for node in 0..members {
            let rate = world.rng.random_range(-500..=500);
            world.nodes.push(Node {
                manager: None,
                keeper: Keeper::new(TARGET),
                life: 0,
                frozen: Micros::ZERO,
                refused: Micros::ZERO,
                rate,
                jump: Micros::ZERO,
                list: None,
                list_next: Micros::ZERO,
                look_next: Micros::ZERO,
                old: None,
                told_replaced: BTreeSet::new(),
                settling: BTreeSet::new(),
            });
            world.boot(node);
        }
        world
    }

    fn after(&mut self, delay: Micros, event: Event) {
        self.next += 1;
        let at = self.now + delay;
        self.queue.insert((at, self.next), event);
    }

    pub fn draw(&mut self, low: i64, high: i64) -> i64 {
        self.rng.random_range(low..=high)
    }

    pub fn chance(&mut self, one_in: u32) -> bool {
        one_in > 0 && self.rng.random_range(0..one_in) == 0
    }

    // ---- members -------------------------------------------------------------------------

    pub fn boot(&mut self, node: usize) {
        let mut settings = self.settings.clone();
        settings.member = format!("n{node}");
        settings.limits = self.settings.limits;
        self.boot_with(node, settings);
    }

    pub fn boot_with(&mut self, node: usize, settings: LeaseSettings) {
        let target = TARGET;
        let n = &mut self.nodes[node];
        n.life += 1;
        n.frozen = Micros::ZERO;
        n.keeper = Keeper::new(target);
        n.list = None;
        n.settling.clear();
        n.told_replaced.clear();
        n.old = settings.former_claim.is_some().then(OldVersion::default);
        n.manager = Some(DutyManager::new(settings).expect("settings"));
        let life = self.nodes[node].life;
        self.after(ms(1), Event::Step { node, life });
    }

    /// Starts a process that knows no duties.
    pub fn boot_old(&mut self, node: usize) {
        self.nodes[node].life += 1;
        self.nodes[node].manager = None;
        self.nodes[node].old = Some(OldVersion::default());
        let life = self.nodes[node].life;
        self.after(ms(1), Event::Step { node, life });
    }

    /// The process ends; a new one begins after a while.
    pub fn crash(&mut self, node: usize, back: Micros) {
        self.nodes[node].manager = None;
        self.nodes[node].old = None;
        self.nodes[node].life += 1;
        self.after(back, Event::Boot { node });
    }

    pub fn freeze(&mut self, node: usize, time: Micros) {
        self.coverage.freezes += 1;
        self.nodes[node].frozen = self.now + time;
    }

    pub fn jump_clock(&mut self, node: usize, by: Micros) {
        self.coverage.clock_jumps += 1;
        let jump = &mut self.nodes[node].jump;
        *jump += by;
    }

    pub fn local(&self, node: usize) -> Micros {
        let n = &self.nodes[node];
        // Clocks of different machines have nothing in common but their rate.
        let begin = ms(1_000_000 * node as i64);
        begin + self.now + Micros(self.now.0 / 1_000_000 * n.rate) + n.jump
    }

    /// The store takes less from now on. Members learn of it at once; what they have under way was within the old limits.
    pub fn shrink(&mut self, limits: StoreLimits) {
        self.settings.limits = limits;
        for node in 0..self.nodes.len() {
            self.step(node, vec![Command::SetLimits(limits)]);
        }
        self.run_for(ms(2_000));
        self.store
            .limit(limits.value_bytes, limits.transaction_changes);
    }

    pub fn command(&mut self, node: usize, command: Command) {
        let life = self.nodes[node].life;
        self.after(
            ms(0),
            Event::Give {
                node,
                life,
                command: Box::new(command),
            },
        );
    }

    fn step(&mut self, node: usize, commands: Vec<Command>) {
        let local = self.local(node);
        let _span = tracing::info_span!("member", node, at = self.now.as_secs_decimal()).entered();
        let Some(manager) = self.nodes[node].manager.as_mut() else {
            return;
        };
        let effects = manager.step(local, commands);
        for effect in effects {
            self.carry_out(node, effect);
        }
    }

    fn carry_out(&mut self, node: usize, effect: Effect) {
        let orders = |operation: &Operation| {
            self.cloud.machines_of(&fleet_keeper::order_name(
                fleet_keeper::RENTING,
                operation.name,
            ))
        };
        self.nodes[node].keeper.observe(&effect, orders);
        let life = self.nodes[node].life;
        self.observe(node, &effect);
        let (until, one_in) = self.trouble.freeze_at_effects;
        let acts = matches!(
            effect,
            Effect::Store {
                request: StoreRequest::CompareAndSwap { .. },
                ..
            } | Effect::Perform { .. }
        );
        if acts && self.now < until && self.chance(one_in) {
            let time = ms(self.draw(500, 60_000));
            self.freeze(node, time);
        }
        match effect {
            Effect::Store { call, request } => {
                self.count(&request);
                let delay = Micros(self.draw(200, 3_000));
                self.after(
                    delay,
                    Event::Store {
                        node,
                        life,
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
                let work = Attempt {
                    duty,
                    operation,
                    attempt,
                };
                let delay = Micros(self.draw(0, 500));
                self.after(
                    delay,
                    Event::Perform {
                        node,
                        life,
                        work,
                        permit,
                    },
                );
            }
            _ => {}
        }
    }

    fn count(&mut self, request: &StoreRequest) {
        let kind = match request {
            StoreRequest::Get { .. } => "get",
            StoreRequest::List { .. } => "list",
            StoreRequest::CompareAndSwap { writes, .. } => {
                self.changes += writes.len() as u64;
                "commit"
            }
            StoreRequest::GrantLease { .. } => "grant",
            StoreRequest::RenewLease { .. } => "renew",
            StoreRequest::Watch { .. } => "changes",
        };
        *self.requests.entry(kind).or_default() += 1;
    }

    fn observe(&mut self, node: usize, effect: &Effect) {
        match effect {
            Effect::Acquired { duty, .. } => {
                self.coverage.taken += 1;
                self.nodes[node].settling.insert(duty.clone());
            }
            Effect::Active { duty, .. } => {
                self.nodes[node].settling.remove(duty);
                if let Some(since) = self.gaps.since.remove(duty) {
                    self.gaps.ended.push((duty.clone(), self.now - since));
                }
            }
            Effect::Perform { settling: true, .. } => self.coverage.settled_for_predecessor += 1,
            Effect::Lost { duty, reason, .. } => {
                if self.nodes[node].settling.remove(duty) {
                    self.coverage.settling_interrupted += 1;
                }
                match reason {
                    LossReason::Transferred => self.coverage.handed_over += 1,
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
                if !self.nodes[node]
                    .told_replaced
                    .insert((duty.clone(), *fencing_token))
                {
                    self.broken.push(format!(
                        "{duty} {fencing_token}: its successor was told twice"
                    ));
                }
            }
            Effect::Settled { operation, .. } => self.check_settled(operation),
            _ => {}
        }
    }

    // ---- events --------------------------------------------------------------------------

    /// Plays until that time.
    pub fn run_until(&mut self, end: Micros) {
        while let Some(entry) = self
            .queue
            .first_entry()
            .filter(|entry| entry.key().0 <= end)
        {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.store_time();
            let performs = matches!(event, Event::Cloud { .. });
            self.handle(event);
            if performs {
                self.check_fleet();
            }
            assert!(
                self.broken.is_empty(),
                "at {}: {:?}",
                self.now.as_secs_decimal(),
                self.broken
            );
        }
        self.now = end;
    }

    pub fn run_for(&mut self, time: Micros) {
        let end = self.now + time;
        self.run_until(end);
    }

    fn store_time(&mut self) {
        let out = self.now < self.trouble.store_out;
        if self.was_out && !out {
            self.store.refresh(self.now);
        }
        self.was_out = out;
        if !out {
            self.store.expire(self.now);
        }
    }

    /// Frozen processes take nothing in and let nothing out: their events wait.
    fn held_by_freeze(&self, event: &Event) -> Option<Micros> {
        let node = match event {
            Event::Store { node, .. } | Event::Perform { node, .. } | Event::Give { node, .. } => {
                node
            }
            Event::Step { node, .. } | Event::List { node, .. } => node,
            _ => return None,
        };
        let frozen = self.nodes[*node].frozen;
        (frozen > self.now).then(|| frozen - self.now)
    }

    fn handle(&mut self, event: Event) {
        if let Some(wait) = self.held_by_freeze(&event) {
            return self.after(wait, event);
        }
        match event {
            Event::Boot { node } => {
                if self.nodes[node].manager.is_none() && self.nodes[node].old.is_none() {
                    self.boot(node);
                }
            }
            Event::Step { node, life } => self.handle_step(node, life),
            Event::Give {
                node,
                life,
                command,
            } => {
                if self.nodes[node].life == life {
                    self.note_answer(node, &command);
                    self.step(node, vec![*command]);
                }
            }
            Event::Store {
                node,
                life,
                call,
                request,
            } => self.handle_store(node, life, call, request),
            Event::Late { request } => {
                if self.now < self.trouble.store_out {
                    return;
                }
                self.store.execute(self.now, &request);
            }
            Event::Watch {
                node,
                life,
                call,
                request,
                until,
            } => self.handle_watch(node, life, call, request, until),
            Event::Perform {
                node,
                life,
                work,
                permit,
            } => self.handle_perform(node, life, work, permit),
            Event::Cloud {
                node,
                life,
                work,
                answered,
            } => self.handle_cloud(node, life, work, answered),
            Event::List { node, life, number } => self.handle_list(node, life, number),
        }
    }

    fn note_answer(&mut self, node: usize, command: &Command) {
        let Command::Performed { duty, .. } = command else {
            return;
        };
        let claim = self.store.keys.get(&keys::claim(duty));
        if claim.is_none_or(|claim| claim.0["member"] != json!(format!("n{node}"))) {
            self.coverage.answers_after_loss += 1;
        }
    }

    fn handle_step(&mut self, node: usize, life: u64) {
        if self.nodes[node].life != life {
            return;
        }
        self.after(ms(STEP), Event::Step { node, life });
        self.old_step(node);
        if self.nodes[node].manager.is_none() {
            return;
        }
        self.keep_fleet(node);
        self.step(node, Vec::new());
    }

    fn keep_fleet(&mut self, node: usize) {
        let life = self.nodes[node].life;
        let now = self.now;
        let n = &mut self.nodes[node];
        if n.keeper.wants_list() && n.list.is_none() && now >= n.list_next {
            let number = n.keeper.list_begins();
            n.list = Some(number);
            let delay = ms(self.draw(1, 40));
            self.after(delay, Event::List { node, life, number });
        }
        let mut commands: Vec<Command> = self.nodes[node].keeper.provision().into_iter().collect();
        if self.churn && self.chance(15) {
            let choice = self.draw(0, 100) as usize;
            commands.extend(self.nodes[node].keeper.give_back(choice));
        }
        if now >= self.nodes[node].look_next {
            self.nodes[node].look_next = now + ms(2_000);
            let seen: BTreeSet<String> =
                self.cloud.listed(now - ms(LIST_LAG)).into_iter().collect();
            commands.extend(self.nodes[node].keeper.take_in(now, &seen));
        }
        self.step(node, commands);
    }

    fn handle_list(&mut self, node: usize, life: u64, number: u64) {
        if self.nodes[node].life != life {
            return;
        }
        self.nodes[node].list = None;
        self.nodes[node].list_next = self.now + ms(400);
        if self.now < self.trouble.store_out.max(self.nodes[node].refused) {
            return;
        }
        let machines = self.recorded_machines();
        let log = self.store.keys.get(&keys::log(fleet_keeper::RENTING));
        let log = log
            .and_then(|entry| LogRecord::deserialize(&entry.0).ok())
            .unwrap_or_default();
        let open = log.open.iter().map(|operation| operation.name).collect();
        let now = self.now;
        self.nodes[node]
            .keeper
            .list_read(now, number, machines, &open);
    }

    pub fn recorded_machines(&self) -> BTreeSet<String> {
        let prefix = fleet_keeper::MACHINE_PREFIX;
        let keys = self
            .store
            .keys
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix));
        keys.map(|(key, _)| key[prefix.len()..].to_owned())
            .collect()
    }

    // ---- the store -----------------------------------------------------------------------

    fn handle_store(&mut self, node: usize, life: u64, call: u64, request: StoreRequest) {
        let same = self.nodes[node].life == life;
        let refused = self.now < self.trouble.store_out.max(self.nodes[node].refused);
        if let StoreRequest::Watch { wait, .. } = &request {
            if same {
                let until = self.now + *wait;
                self.handle_watch(node, life, call, request, until);
            }
            return;
        }
        let (hold_until, one_in) = self.trouble.hold_back;
        if matches!(request, StoreRequest::CompareAndSwap { .. })
            && self.now < hold_until
            && self.chance(one_in)
        {
            self.coverage.late_requests += 1;
            let late = ms(self.draw(500, HELD_BACK));
            self.after(late, Event::Late { request });
            return self.reply(
                node,
                life,
                call,
                StoreReply::Unknown,
                self.settings.store_answer,
            );
        }
        if refused {
            return self.reply(node, life, call, StoreReply::Refused, ms(2));
        }
        let slow = self.now < self.trouble.store_slow;
        let reply = self
            .store
            .execute(self.now, &request)
            .unwrap_or(StoreReply::Refused);
        let (lose_until, one_in) = self.trouble.lose_answers;
        if self.now < lose_until && self.chance(one_in) {
            return self.reply(
                node,
                life,
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
            return self.reply(
                node,
                life,
                call,
                StoreReply::Unknown,
                self.settings.store_answer,
            );
        }
        self.reply(node, life, call, reply, delay);
    }

    fn reply(&mut self, node: usize, life: u64, call: u64, reply: StoreReply, delay: Micros) {
        let command = Box::new(Command::Store { call, reply });
        self.after(
            delay,
            Event::Give {
                node,
                life,
                command,
            },
        );
    }

    fn handle_watch(
        &mut self,
        node: usize,
        life: u64,
        call: u64,
        request: StoreRequest,
        until: Micros,
    ) {
        if self.nodes[node].life != life {
            return;
        }
        let waits = self.now < self.trouble.store_out.max(self.nodes[node].refused);
        let reply = if waits {
            None
        } else {
            self.store.execute(self.now, &request)
        };
        let none = StoreReply::Changes {
            revision: 0,
            events: Vec::new(),
        };
        match reply {
            Some(reply) => self.reply(node, life, call, reply, Micros(self.now.0 % 3_000 + 200)),
            None if self.now >= until => self.reply(node, life, call, none, ms(1)),
            None => self.after(
                ms(20),
                Event::Watch {
                    node,
                    life,
                    call,
                    request,
                    until,
                },
            ),
        }
    }

    pub fn claim_version(&self, duty: &str) -> Option<u64> {
        self.store.keys.get(&keys::claim(duty)).map(|entry| entry.1)
    }

    pub fn holder(&self, duty: &str) -> Option<usize> {
        let fencing_token = self.claim_version(duty)?;
        let active = |node: &Node| {
            let manager = node.manager.as_ref();
            manager.is_some_and(|manager| {
                manager
                    .active()
                    .iter()
                    .any(|held| held.0 == duty && held.1 == fencing_token)
            })
        };
        self.nodes.iter().position(active)
    }

    // ---- performing ----------------------------------------------------------------------

    fn handle_perform(&mut self, node: usize, life: u64, work: Attempt, permit: Permit) {
        if self.nodes[node].life != life {
            return;
        }
        if !permit.valid(self.local(node)) {
            self.coverage.not_permitted += 1;
            let (duty, operation, attempt) = (work.duty, work.operation.name, work.attempt);
            let command = Command::Performed {
                duty,
                operation,
                attempt,
                outcome: Outcome::NotPermitted,
            };
            return self.step(node, vec![command]);
        }
        self.check_holder(&work.duty, permit.fencing_token);
        let (hold_until, one_in) = self.trouble.hold_back;
        if self.now < hold_until && self.chance(one_in) {
            // In a socket: carried out after its holder has given it up, perhaps after its successor's.
            let late = ms(self.draw(500, HELD_BACK));
            self.after(
                late,
                Event::Cloud {
                    node,
                    life,
                    work: work.clone(),
                    answered: false,
                },
            );
            return self.outcome(node, life, &work, Outcome::Unknown, ms(1_500));
        }
        let delay = ms(self.draw(5, 400));
        self.after(
            delay,
            Event::Cloud {
                node,
                life,
                work,
                answered: true,
            },
        );
    }

    fn outcome(&mut self, node: usize, life: u64, work: &Attempt, outcome: Outcome, delay: Micros) {
        let (duty, operation, attempt) = (work.duty.clone(), work.operation.name, work.attempt);
        let command = Box::new(Command::Performed {
            duty,
            operation,
            attempt,
            outcome,
        });
        self.after(
            delay,
            Event::Give {
                node,
                life,
                command,
            },
        );
    }

    fn handle_cloud(&mut self, node: usize, life: u64, work: Attempt, answered: bool) {
        let outcome = self.ask_cloud(&work, answered);
        let (lose_until, one_in) = self.trouble.lose_answers;
        if !answered {
            self.coverage.late_rentals += u32::from(work.duty == fleet_keeper::RENTING);
            return;
        }
        let lost = self.now < lose_until && self.chance(one_in);
        let outcome = if lost { Outcome::Unknown } else { outcome };
        let delay = ms(self.draw(5, 100));
        self.outcome(node, life, &work, outcome, delay);
    }

    fn ask_cloud(&mut self, work: &Attempt, answered: bool) -> Outcome {
        if answered && self.now < self.trouble.cloud_out {
            return Outcome::Unknown;
        }
        match Work::of(&work.operation) {
            Some(Work::Provision { count }) => {
                let order = fleet_keeper::order_name(&work.duty, work.operation.name);
                let capacity = self.now >= self.trouble.no_capacity;
                match self.cloud.provision(self.now, &order, count, capacity) {
                    Some(machines) => fleet_keeper::provisioned(&machines),
                    None => Outcome::NotDone,
                }
            }
            Some(Work::Return { machines }) => {
                self.check_return(&work.operation, &machines);
                self.cloud.delete(self.now, &machines);
                fleet_keeper::returned(&machines)
            }
            None => Outcome::NotDone,
        }
    }

    // ---- checks --------------------------------------------------------------------------

    /// An effect may begin only while its token is the store's.
    fn check_holder(&mut self, duty: &str, fencing_token: u64) {
        let current = self.claim_version(duty);
        if current != Some(fencing_token) {
            self.broken.push(format!(
                "{duty}: acts under {fencing_token}, the store has {current:?}"
            ));
        }
    }

    /// A machine is returned by one operation only.
    fn check_return(&mut self, operation: &Operation, machines: &[String]) {
        for machine in machines {
            let first = *self
                .returned_by
                .entry(machine.clone())
                .or_insert(operation.name);
            if first != operation.name {
                self.broken.push(format!(
                    "{machine}: returned by {first} and by {}",
                    operation.name
                ));
            }
        }
    }

    fn check_settled(&mut self, operation: &Operation) {
        if let Some(Work::Return { machines }) = Work::of(operation) {
            if machines
                .iter()
                .any(|machine| self.cloud.live().contains(machine))
            {
                self.broken.push(format!(
                    "{}: settled, and its machine is there",
                    operation.name
                ));
            }
        }
    }

    fn check_fleet(&mut self) {
        let most = TARGET + self.cloud.rented_after_refusal;
        let live = self.cloud.live().len();
        if live > most {
            self.broken
                .push(format!("{live} machines where {most} may be"));
        }
    }

    pub fn describe(&self) -> String {
        let active = |node: &Node| node.manager.as_ref().map(|m| format!("{:?}", m.active()));
        let active: Vec<_> = self.nodes.iter().map(active).collect();
        let claims: Vec<_> = self
            .store
            .keys
            .iter()
            .filter(|(key, _)| key.starts_with("duty"))
            .collect();
        format!("{} {active:?}\n{claims:?}", self.now.as_secs_decimal())
    }

    /// Once all is quiet: each duty has one holder, every machine is known, nothing is open.
    pub fn check_end(&mut self) {
        for duty in DUTIES {
            let active = |node: &&Node| {
                node.manager
                    .as_ref()
                    .is_some_and(|m| m.active().iter().any(|a| a.0 == duty))
            };
            let holders = self.nodes.iter().filter(active).count();
            assert_eq!(holders, 1, "holders of {duty}: {}", self.describe());
            let open = self
                .store
                .keys
                .get(&keys::log(duty))
                .map(|entry| entry.0["open"].clone());
            assert!(
                open.is_none_or(|open| open == json!([])),
                "operations of {duty} are open"
            );
        }
        let known = self.recorded_machines();
        let live = self.cloud.live().clone();
        assert_eq!(
            known, live,
            "machines that are known, and that are paid for"
        );
        assert!(live.len() >= TARGET, "machines are missing");
    }

    // ---- a process that knows no duties --------------------------------------------------

    /// Claims the former claim as the version in production does, and keeps its lease.
    fn old_step(&mut self, node: usize) {
        let now = self.now;
        if now < self.trouble.store_out.max(self.nodes[node].refused) {
            return;
        }
        let Some(mut old) = self.nodes[node].old.take() else {
            return;
        };
        if now >= old.next {
            old.next = now + ms(1_000);
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
                let value = json!({"member": format!("n{node}"), "lease": lease});
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
        self.nodes[node].old = Some(old);
        self.step(node, vec![Command::FormerClaim(fencing_token)]);
        self.check_switch();
    }

    /// Duties are held only once the former claim has ended for good.
    fn check_switch(&mut self) {
        let held = DUTIES.iter().any(|duty| self.claim_version(duty).is_some());
        let former = self.store.keys.get(FORMER_CLAIM);
        let ended = former.is_some_and(|entry| entry.0["member"] == json!("") && entry.2.is_none());
        if held && !ended {
            self.broken
                .push("duties are held beside the former claim".to_owned());
        }
    }
}
