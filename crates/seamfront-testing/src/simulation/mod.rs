//! A small deterministic world round several engines: state service, cloud, workers, users and a
//! network that delays, loses, holds back and repeats. One seed, one history.

mod cloud;
mod faults;
mod invariants;
mod network;
mod old_version;
pub mod recording;
mod replay;
pub mod scenarios;
mod state_service;
mod users;
pub mod workers;

pub use faults::Fault;

use crate::store::{self, Store};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use seamfront_core::port::{
    Answer, CallId, ClientRequestId, CloudReply, CloudRequest, Command, DirectOutcome, Effect,
    Heartbeat, JobState, ListedMachine, ListedState, Order, StoreReply, StoreRequest, TaskState,
    Write,
};
use seamfront_core::types::{
    JobId, JobKind, JobSpec, MachineId, MachineType, Micros, Priority, Resources, Settings,
    TaskKey, Team, Tuning,
};
use seamfront_core::Engine;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use workers::{Truth, Worker};

pub const NODES: usize = 3;
const MS: i64 = 1_000;

pub fn ms(n: i64) -> Micros {
    Micros(n * MS)
}

#[derive(Debug)]
enum Event {
    Tick {
        node: usize,
    },
    Boot {
        node: usize,
    },
    ToNode {
        node: usize,
        life: u64,
        command: Box<Command>,
    },
    State {
        node: usize,
        life: u64,
        call: CallId,
        request: StoreRequest,
        late: bool,
    },
    Cloud {
        node: usize,
        life: u64,
        call: CallId,
        request: CloudRequest,
        late: bool,
    },
    ReportDue {
        machine: MachineId,
    },
    Answered {
        machine: MachineId,
        incarnation: u64,
        sequence: u64,
        sent: Micros,
        node: usize,
        answer: ReportAnswer,
    },
    Direct {
        node: usize,
        life: u64,
        call: CallId,
        machine: MachineId,
        incarnation: u64,
        fencing_token: u64,
        orders: Vec<Order>,
        late: bool,
    },
    /// A copy of a report that was delivered, or lost, long ago. Nobody waits for its answer.
    DuplicateReport {
        node: usize,
        sent: Micros,
        heartbeat: Box<Heartbeat>,
    },
    Workers,
    Submit {
        job: JobId,
    },
    Poll {
        job: JobId,
    },
    Cancel {
        job: JobId,
    },
    /// Users ask about the job at all controllers within milliseconds, and submit it again.
    AskAll {
        job: JobId,
    },
    InvalidRequests,
    /// Users ask about all unfinished jobs, more often than usual.
    AskOften,
    Fault(Fault),
}

#[derive(Clone, Debug)]
enum ReportAnswer {
    Orders(u64, Vec<Order>),
    Elsewhere(Option<usize>),
    Nothing,
}

/// How machines that are rented boot for a while.
#[derive(Clone, Copy, Default)]
struct BadBoots {
    until: Micros,
    /// So many of a hundred never come up.
    never: i64,
    /// The others take so many percent of the usual time.
    percent: i64,
}

/// Users ask so many times as often for a while.
#[derive(Clone, Copy, Default)]
struct PollStorm {
    until: Micros,
    factor: i64,
}

struct Node {
    engine: Option<Engine>,
    life: u64,
    born: Micros,
    refused: Micros,
    cut_state: (Micros, bool),
    cut_workers: (Micros, bool),
    cut_mesh: Micros,
    stalled: Micros,
    slow: Micros,
    /// Revision of the last transaction of its that was carried out.
    wrote: u64,
    /// Still runs the version in production.
    old: bool,
    /// Jobs that this process has called cancelled: it must not start anything of theirs.
    called_cancelled: BTreeSet<JobId>,
}

/// A request of a user or worker that waits for its answer.
enum Asked {
    Heartbeat {
        machine: MachineId,
        incarnation: u64,
        sequence: u64,
        sent: Micros,
    },
    Submit {
        job: JobId,
    },
    Poll {
        job: JobId,
    },
    Cancel {
        job: JobId,
    },
    /// A job that can never run.
    Impossible,
}

pub struct Simulation {
    pub now: Micros,
    seed: u64,
    _replay_hint: replay::ReplayHint,
    scale: Scale,
    /// What the store was asked in each second: requests, and keys written.
    pub asked_of_store: BTreeMap<i64, (u32, u32)>,
    /// Bytes of the largest message between controllers and of the largest transaction. Counted in
    /// large worlds only, since it takes writing each out.
    pub largest: (usize, usize),
    /// Steps of all engines, and what they looked at.
    pub steps: (i64, i64),
    rng: StdRng,
    queue: BinaryHeap<std::cmp::Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
    nodes: Vec<Node>,
    store: Store,
    outage: Micros,
    cloud_outage: Micros,
    /// Until when the cloud takes seconds to answer requests for machines.
    slow_rentals: Micros,
    watches: Vec<(usize, u64, CallId, StoreRequest, Micros)>,
    provisioned: BTreeMap<String, Vec<MachineId>>,
    machines_made: u32,
    cut_machines: BTreeMap<MachineId, Micros>,
    cut_links: BTreeMap<(usize, MachineId), Micros>,
    answers_lost: BTreeMap<MachineId, Micros>,
    duplicate_reports_until: Micros,
    delay_writes_until: Micros,
    reports_lost: BTreeMap<MachineId, Micros>,
    delay_answers_until: Micros,
    slow_state: Micros,
    cancel_at_completion: Micros,
    invalid_requests: Micros,
    delay_commands_until: Micros,
    lose_commit_answers_until: Micros,
    keep_reports_until: Micros,
    /// Copies of reports that the next holder of a claim gets, with when they were sent.
    kept_reports: Vec<(Micros, Heartbeat)>,
    fast_boots_until: Micros,
    bad_boots: BadBoots,
    close_looks_until: Micros,
    poll_storm: PollStorm,
    /// Jobs that can never run: submitted, and never to be accepted.
    impossible: BTreeSet<JobId>,
    /// What the state service still takes in requests and in writes, in thousandths, and when that was counted.
    state_tokens: (i64, i64, Micros),
    /// Jobs whose last task has completed. last task has completed.
    ended: BTreeMap<JobId, Micros>,
    /// When the end of a job was written to the state service.
    durable_ends: BTreeMap<JobId, Micros>,
    /// When the first start of a job was ordered.
    first_orders: BTreeMap<JobId, Micros>,
    /// How often what the tests are for really happened.
    pub coverage: scenarios::Coverage,
    /// By claim: its last version, and since when it is held or free.
    claims: BTreeMap<String, (Option<u64>, Micros)>,
    /// Since when a job waits though that machine has room for it.
    passed_over: BTreeMap<(JobId, MachineId), Micros>,
    pub truth: Truth,
    asked: BTreeMap<(usize, u64, ClientRequestId), (Asked, Micros)>,
    next_reply: ClientRequestId,
    accepted: BTreeSet<JobId>,
    /// Final answers, and since when they are known to the user.
    final_answers: BTreeMap<JobId, (JobState, Micros)>,
    wants_cancel: BTreeSet<JobId>,
    submitted: BTreeMap<JobId, Micros>,
    /// When a question about the job was last answered.
    answered: BTreeMap<JobId, Micros>,
    pub quiet_from: Micros,
    settings: Settings,
    /// Writes the history down, where that is asked for.
    recorder: Option<recording::Recorder>,
}

/// How large a world is.
#[derive(Clone, Copy)]
pub struct Scale {
    pub nodes: usize,
    pub teams: usize,
    /// Up at the start, and how many the cloud lets there be.
    pub machines: usize,
    pub most: usize,
    /// Entries in one answer of the store: few where paging is to be exercised.
    pub page: usize,
    /// How much the store takes in a value, and in how many changes of a transaction.
    pub value_bytes: usize,
    pub txn_ops: usize,
    /// Requests and writes a second that the store takes.
    pub state_rps: i64,
    pub write_rps: i64,
    /// Each team's limit in CPUs, 0 for none.
    pub limits: [i64; 10],
    /// Workers' times in seconds: between reports, a lease, until a cancelled job's tasks are gone.
    pub times: (i64, i64, i64),
    /// Whether duties are on.
    pub duties: bool,
}

/// From so many machines on, messages and transactions are measured.
const LARGE: usize = 500;

pub const SMALL: Scale = Scale {
    nodes: NODES,
    teams: 4,
    machines: 4,
    most: 14,
    page: 7,
    value_bytes: 32 * 1024,
    txn_ops: 48,
    state_rps: 250,
    write_rps: 100,
    limits: [24, 10, 16, 0, 0, 0, 0, 0, 0, 0],
    times: (2, 12, 30),
    duties: false,
};

fn settings(scale: Scale, me: usize) -> Settings {
    let team = |name: &str, limit: i64| Team {
        name: name.into(),
        guarantee: Resources::rounded_down(8.0, 0.0, 0.0),
        limit: Resources::rounded_down(limit as f64, 0.0, 0.0),
    };
    Settings {
        members: (0..scale.nodes).map(|k| format!("n{k}")).collect(),
        member_index: me,
        teams: ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"]
            .into_iter()
            .zip(scale.limits)
            .map(|(name, limit)| team(name, limit))
            .take(scale.teams)
            .collect(),
        objectives: vec![],
        heartbeat_interval: ms(1_000 * scale.times.0),
        lease: ms(1_000 * scale.times.1),
        gang_wait: ms(15_000),
        gang_loss_detection: ms(4_000),
        cancellation_time: ms(1_000 * scale.times.2),
        store_rps: scale.state_rps,
        write_rps: scale.write_rps,
        value_bytes: scale.value_bytes,
        max_txn_changes: scale.txn_ops,
        cloud_rps: 5,
        list_lag: ms(5_000),
        tuning: Tuning {
            idle_timeout: ms(20_000),
            release_request_interval: ms(3_000),
            duties: scale.duties,
            ..Tuning::default()
        },
    }
}

fn machine_types() -> Vec<MachineType> {
    let one = |name: &str, cpus: f64, price: i64| MachineType {
        name: name.into(),
        size: Resources::rounded_down(cpus, 0.0, 32.0),
        cache_mb: 50_000,
        fetch_mb_s: 500,
        price,
        spot_price: price / 3,
        boot: ms(6_000),
        zones: vec!["x".into(), "y".into()],
    };
    vec![one("small", 4.0, 1_000), one("large", 8.0, 1_900)]
}

impl Simulation {
    pub fn new(seed: u64) -> Simulation {
        Simulation::sized(seed, SMALL)
    }

    /// A key that somebody has left in the store.
    pub fn leave_key(&mut self, key: &str) {
        let writes = vec![Write::Put {
            key: key.to_owned(),
            value: serde_json::json!([]),
            lease: None,
        }];
        self.store.execute(
            self.now,
            &StoreRequest::CompareAndSwap {
                conditions: vec![],
                writes,
            },
        );
        self.record_writes("operator");
    }

    pub fn stored_keys(&self, prefix: &str) -> Vec<String> {
        self.store
            .keys
            .keys()
            .filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    pub fn sized(seed: u64, scale: Scale) -> Simulation {
        let settings = settings(scale, 0);
        let truth = Truth {
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            teams: settings.teams.clone(),
            completed: BTreeMap::new(),
            failing: BTreeSet::new(),
            failures: 0,
            cancelled: BTreeMap::new(),
            cancel: settings.cancellation_time,
            gang_wait: settings.gang_wait,
            gang_peer: settings.gang_loss_detection,
            lease: settings.lease,
            broken: Vec::new(),
            started: 0,
            started_cancelled: Vec::new(),
            leases_ended: 0,
            began: BTreeMap::new(),
            holders: BTreeMap::new(),
        };
        let node = || Node {
            engine: None,
            life: 0,
            born: Micros::ZERO,
            refused: Micros::ZERO,
            cut_state: (Micros::ZERO, false),
            cut_workers: (Micros::ZERO, false),
            cut_mesh: Micros::ZERO,
            stalled: Micros::ZERO,
            slow: Micros::ZERO,
            wrote: 0,
            old: false,
            called_cancelled: BTreeSet::new(),
        };
        let mut w = Simulation {
            now: Micros::ZERO,
            seed,
            _replay_hint: replay::ReplayHint::new(seed),
            scale,
            asked_of_store: BTreeMap::new(),
            largest: (0, 0),
            steps: (0, 0),
            rng: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            nodes: (0..scale.nodes).map(|_| node()).collect(),
            store: Store::with_limits(scale.page, scale.value_bytes, scale.txn_ops),
            outage: Micros::ZERO,
            cloud_outage: Micros::ZERO,
            slow_rentals: Micros::ZERO,
            watches: Vec::new(),
            provisioned: BTreeMap::new(),
            machines_made: 0,
            cut_machines: BTreeMap::new(),
            cut_links: BTreeMap::new(),
            answers_lost: BTreeMap::new(),
            duplicate_reports_until: Micros::ZERO,
            delay_writes_until: Micros::ZERO,
            reports_lost: BTreeMap::new(),
            delay_answers_until: Micros::ZERO,
            slow_state: Micros::ZERO,
            cancel_at_completion: Micros::ZERO,
            invalid_requests: Micros::ZERO,
            delay_commands_until: Micros::ZERO,
            lose_commit_answers_until: Micros::ZERO,
            keep_reports_until: Micros::ZERO,
            kept_reports: Vec::new(),
            fast_boots_until: Micros::ZERO,
            bad_boots: BadBoots::default(),
            close_looks_until: Micros::ZERO,
            poll_storm: PollStorm::default(),
            impossible: BTreeSet::new(),
            state_tokens: (0, 0, Micros::ZERO),
            ended: BTreeMap::new(),
            durable_ends: BTreeMap::new(),
            first_orders: BTreeMap::new(),
            coverage: BTreeMap::new(),
            claims: BTreeMap::new(),
            passed_over: BTreeMap::new(),
            truth,
            asked: BTreeMap::new(),
            next_reply: 0,
            accepted: BTreeSet::new(),
            final_answers: BTreeMap::new(),
            wants_cancel: BTreeSet::new(),
            submitted: BTreeMap::new(),
            answered: BTreeMap::new(),
            quiet_from: Micros::ZERO,
            settings,
            recorder: recording::Recorder::from_env(seed),
        };
        for k in 0..scale.nodes {
            w.at(ms(k as i64), Event::Boot { node: k });
        }
        for k in 0..scale.machines {
            w.provision("small", if k % 2 == 0 { "x" } else { "y" }, false, ms(1));
        }
        w.at(ms(20), Event::Workers);
        w
    }

    fn at(&mut self, t: Micros, e: Event) {
        self.next += 1;
        self.queue
            .push(std::cmp::Reverse((t.max(self.now), self.next)));
        self.events.insert(self.next, e);
    }

    fn after(&mut self, d: Micros, e: Event) {
        self.at(self.now + d, e);
    }

    fn delay(&mut self) -> Micros {
        let slow = self.rng.random_range(0..40) == 0;
        let most = if slow { 300 } else { 12 };
        ms(self.rng.random_range(1..most))
    }

    /// Reaches its end; on the way there and back things may be lost.
    fn lost(&mut self) -> bool {
        self.now < self.quiet_from && self.rng.random_range(0..30) == 0
    }

    fn provision(&mut self, kind: &str, zone: &str, spot: bool, boot: Micros) -> MachineId {
        let id: MachineId = format!("m-{:04}", self.machines_made).as_str().into();
        self.machines_made += 1;
        let size = machine_types()
            .into_iter()
            .find(|t| t.name == kind)
            .unwrap()
            .size;
        let up_at = self.now + boot;
        let w = Worker {
            kind: kind.into(),
            zone: zone.into(),
            spot,
            size,
            up_at,
            rented_at: self.now,
            dead: false,
            hung_until: Micros::ZERO,
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            tasks: BTreeMap::new(),
            lease_from: up_at,
            steady_from: up_at,
            target: self.rng.random_range(0..self.scale.nodes),
            in_flight: None,
            next_report: up_at,
            notice_at: None,
        };
        self.truth.workers.insert(id.clone(), w);
        self.at(
            up_at,
            Event::ReportDue {
                machine: id.clone(),
            },
        );
        id
    }

    pub fn run_until(&mut self, end: Micros) {
        while let Some(std::cmp::Reverse((t, n))) = self.queue.pop() {
            if t > end {
                self.queue.push(std::cmp::Reverse((t, n)));
                break;
            }
            self.now = t;
            let e = self.events.remove(&n).expect("each event once");
            self.dispatch(e);
            assert!(
                self.truth.broken.is_empty(),
                "seed {}: rules broken at {:.3} s: {:#?}",
                self.seed,
                self.now.as_secs_decimal(),
                self.truth.broken
            );
        }
        self.now = end;
    }

    fn dispatch(&mut self, e: Event) {
        match e {
            Event::Boot { node } => {
                let n = &mut self.nodes[node];
                if n.engine.is_some() {
                    return;
                }
                n.life += 1;
                n.called_cancelled.clear();
                n.born = self.now;
                let mut own = settings(self.scale, node);
                own.tuning.duties &= !n.old;
                n.engine = Some(Engine::new(own));
                self.after(ms(1), Event::Tick { node });
            }
            Event::Tick { node } => {
                if self.nodes[node].engine.is_some() {
                    self.step(node, vec![]);
                    let wait = self.processing_delay(node);
                    self.after(ms(50) + wait, Event::Tick { node });
                }
            }
            Event::ToNode {
                node,
                life,
                command,
            } => {
                let n = &self.nodes[node];
                if n.life == life && n.engine.is_some() {
                    if n.stalled > self.now {
                        let d = n.stalled - self.now + ms(1);
                        return self.after(
                            d,
                            Event::ToNode {
                                node,
                                life,
                                command,
                            },
                        );
                    }
                    self.step(node, vec![*command]);
                }
            }
            Event::State {
                node,
                life,
                call,
                request,
                late,
            } => self.state(node, life, call, request, late),
            Event::Cloud {
                node,
                life,
                call,
                request,
                late,
            } => self.cloud(node, life, call, request, late),
            Event::ReportDue { machine } => self.send_report(machine),
            Event::Answered {
                machine,
                incarnation,
                sequence,
                sent,
                node,
                answer,
            } => self.answered(machine, incarnation, sequence, sent, node, answer),
            Event::Direct {
                node,
                life,
                call,
                machine,
                incarnation,
                fencing_token,
                orders,
                late,
            } => self.direct(
                (node, life, call),
                machine,
                incarnation,
                fencing_token,
                orders,
                late,
            ),
            Event::DuplicateReport {
                node,
                sent,
                heartbeat,
            } => {
                if self
                    .truth
                    .workers
                    .get(&heartbeat.machine)
                    .is_some_and(|w| w.incarnation > heartbeat.incarnation)
                {
                    self.cover("a copy from an earlier session arrived");
                }
                if self.nodes[node].engine.is_some() && self.nodes[node].born > sent {
                    self.cover("a copy arrived at a controller that began after it was sent");
                }
                self.next_reply += 1;
                let to = self.next_reply;
                self.step(node, vec![Command::Heartbeat { to, heartbeat }]);
            }
            Event::Workers => self.workers(),
            Event::Submit { job } => {
                if self.truth.jobs[&job]
                    .dependencies
                    .iter()
                    .any(|n| !self.accepted.contains(n))
                {
                    // Users name only what was accepted.
                    return self.after(ms(500), Event::Submit { job });
                }
                self.submitted.entry(job.clone()).or_insert(self.now);
                let spec = self.truth.jobs[&job].clone();
                self.ask(Asked::Submit { job }, |to| Command::Submit {
                    to,
                    spec: Box::new(spec),
                });
            }
            Event::Poll { job } => {
                let id = job.clone();
                self.ask(Asked::Poll { job }, |to| Command::Poll { to, id });
            }
            Event::Cancel { job } => {
                if self.accepted.contains(&job) {
                    let id = job.clone();
                    self.ask(Asked::Cancel { job }, |to| Command::Cancel { to, id });
                } else if self.now < self.quiet_from + ms(60_000) {
                    self.after(ms(2_000), Event::Cancel { job });
                }
            }
            Event::AskAll { job } => self.ask_all(&job),
            Event::AskOften => self.ask_often(),
            Event::InvalidRequests => self.invalid_requests(),
            Event::Fault(f) => self.inject(f),
        }
    }

    /// How much longer than usual a controller takes to get to something.
    fn processing_delay(&mut self, node: usize) -> Micros {
        let n = &self.nodes[node];
        let stalled = n.stalled.max(self.now) - self.now;
        if n.slow > self.now {
            return stalled + ms(self.rng.random_range(100..900));
        }
        stalled
    }

    pub fn cover(&mut self, what: &'static str) {
        *self.coverage.entry(what).or_default() += 1;
    }

    pub fn claim_version(&self, claim: &str) -> Option<u64> {
        self.store.keys.get(claim).map(|entry| entry.1)
    }

    pub fn holder(&self, claim: &str) -> Option<usize> {
        let member = self
            .store
            .keys
            .get(claim)?
            .0
            .get("member")?
            .as_str()?
            .to_owned();
        self.settings.members.iter().position(|m| *m == member)
    }

    fn step(&mut self, node: usize, commands: Vec<Command>) {
        let n = &mut self.nodes[node];
        // Clocks drift apart by at most 0.05%, and the time of day is somewhat off.
        let own = Micros((self.now - n.born).0 * (100_000 + 25 * node as i64) / 100_000);
        let wall_time = ms(1_700_000_000_000) + self.now + ms(20 * node as i64);
        let Some(engine) = n.engine.as_mut() else {
            return;
        };
        let before = engine.items_examined();
        let effects = engine.step(own, wall_time, commands);
        // A shard that is dropped takes its count along.
        self.steps = (
            self.steps.0 + 1,
            self.steps.1 + (engine.items_examined() - before).max(0),
        );
        let life = n.life;
        for f in effects {
            self.effect(node, life, f);
        }
    }

    fn effect(&mut self, node: usize, life: u64, f: Effect) {
        self.record_effect(node, life, &f);
        let d = self.delay();
        match f {
            Effect::Store { call, request } => {
                let slow = self.now < self.slow_state && self.rng.random_range(0..3) > 0;
                let d = if slow {
                    d + ms(self.rng.random_range(200..3_000))
                } else {
                    d
                };
                self.after(
                    d,
                    Event::State {
                        node,
                        life,
                        call,
                        request,
                        late: false,
                    },
                );
            }
            Effect::Cloud {
                call,
                request,
                until,
            } => {
                if until.is_some() {
                    self.check_duty(node, &request);
                }
                self.after(
                    d,
                    Event::Cloud {
                        node,
                        life,
                        call,
                        request,
                        late: false,
                    },
                );
            }
            Effect::SendDirect {
                call,
                machine,
                incarnation,
                fencing_token,
                orders,
                ..
            } => {
                self.check_orders(node, &orders);
                let d = d + self.answer_delay();
                self.after(
                    d,
                    Event::Direct {
                        node,
                        life,
                        call,
                        machine,
                        incarnation,
                        fencing_token,
                        orders,
                        late: false,
                    },
                );
            }
            Effect::SendToPeer { to, message } => {
                if self.scale.machines >= LARGE {
                    self.largest.0 = self
                        .largest
                        .0
                        .max(serde_json::to_vec(&message).unwrap().len());
                }
                // Half of what a cut stops is held back and comes when it ends.
                let cut = self.nodes[node].cut_mesh.max(self.nodes[to].cut_mesh);
                let held = cut > self.now && self.rng.random_range(0..2) == 0;
                let d = if held { cut - self.now + d } else { d };
                if (cut <= self.now || held) && !self.lost() {
                    let life = self.nodes[to].life;
                    let command = Box::new(Command::Peer {
                        from: node,
                        message,
                    });
                    self.after(
                        d,
                        Event::ToNode {
                            node: to,
                            life,
                            command,
                        },
                    );
                }
            }
            Effect::HeartbeatReply {
                to,
                fencing_token,
                orders,
            } => {
                self.check_orders(node, &orders);
                self.report_answered(node, life, to, ReportAnswer::Orders(fencing_token, orders));
            }
            Effect::Redirect { to, member } => {
                self.report_answered(node, life, to, ReportAnswer::Elsewhere(member));
            }
            Effect::HealthReply { .. } => {}
            Effect::Answer { to, answer } => {
                if let Some((asked, at)) = self.asked.remove(&(node, life, to)) {
                    if let Answer::Status {
                        id,
                        state: JobState::Cancelled,
                        ..
                    } = &answer
                    {
                        self.nodes[node].called_cancelled.insert(id.clone());
                    }
                    self.check_user_answer(asked, at, answer);
                }
            }
        }
    }

    fn tell(&mut self, node: usize, life: u64, command: Command) {
        let d = self.delay() + self.processing_delay(node);
        self.after(
            d,
            Event::ToNode {
                node,
                life,
                command: Box::new(command),
            },
        );
    }
}
