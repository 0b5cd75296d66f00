//! Deterministic simulation of several engines with stand-ins for the store, the cloud, machines and users, and a
//! network that delays, loses, holds back and duplicates messages. A seed determines the whole run.

mod cloud;
mod faults;
mod invariants;
pub mod machines;
mod network;
mod old_version;
pub mod recording;
mod repeats;
mod replay;
pub mod scenarios;
mod store_requests;
mod users;

pub use faults::Fault;

use crate::store::{self, Store};
use machines::{GroundTruth, Machine};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use repeats::{RepeatedCommand, RepeatedRequest};
use seamfront_core::port::{
    Answer, CallId, ClientRequestId, CloudReply, CloudRequest, Command, DirectOutcome, Effect,
    Heartbeat, JobState, ListedMachine, ListedState, Order, PeerMessage, StoreReply, StoreRequest,
    TaskState, Write,
};
use seamfront_core::types::{
    JobId, JobKind, JobSpec, MachineId, MachineType, Micros, Priority, Resources, Settings,
    TaskKey, Team, Tuning,
};
use seamfront_core::Engine;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// The usual number of controllers.
pub const CONTROLLERS: usize = 3;
const MICROS_PER_MS: i64 = 1_000;

pub fn ms(n: i64) -> Micros {
    Micros(n * MICROS_PER_MS)
}

#[derive(Debug)]
enum Event {
    /// The engine's regular step.
    Tick {
        controller: usize,
    },
    StartController {
        controller: usize,
    },
    DeliverCommand {
        controller: usize,
        generation: u64,
        command: Box<Command>,
    },
    /// A request arrives at the store. If `late`, nobody waits for its answer any more; the same holds for the cloud.
    Store {
        controller: usize,
        generation: u64,
        call: CallId,
        request: StoreRequest,
        late: bool,
    },
    Cloud {
        controller: usize,
        generation: u64,
        call: CallId,
        request: CloudRequest,
        late: bool,
    },
    HeartbeatDue {
        machine: MachineId,
    },
    /// The answer to a heartbeat arrives at its machine.
    HeartbeatAnswered {
        machine: MachineId,
        incarnation: u64,
        sequence: u64,
        sent: Micros,
        controller: usize,
        answer: HeartbeatAnswer,
    },
    /// A direct command arrives at a machine. If `late`, nobody waits for its answer any more.
    DirectOrders {
        controller: usize,
        generation: u64,
        call: CallId,
        machine: MachineId,
        incarnation: u64,
        fencing_token: u64,
        orders: Vec<Order>,
        late: bool,
    },
    /// A copy of a heartbeat that was sent earlier. Nobody waits for its answer.
    DuplicateHeartbeat {
        controller: usize,
        sent: Micros,
        heartbeat: Box<Heartbeat>,
    },
    /// Machines and tasks advance, and the invariants are checked.
    AdvanceMachines,
    Submit {
        job: JobId,
    },
    Poll {
        job: JobId,
    },
    Cancel {
        job: JobId,
    },
    /// Users poll and resubmit the job at all controllers within milliseconds.
    PollEverywhere {
        job: JobId,
    },
    /// Users send a request that makes no sense.
    InvalidRequest,
    /// Additional polls about all unfinished jobs.
    PollStormStep,
    Fault(Fault),
    /// A copy of a request that was carried out and answered arrives.
    Repeated(Box<RepeatedRequest>),
}

#[derive(Clone, Debug)]
enum HeartbeatAnswer {
    /// Fencing token and orders.
    Orders(u64, Vec<Order>),
    /// The controller is not responsible, and names the one that is, if it knows.
    Redirect(Option<usize>),
    /// The controller does not run.
    NoAnswer,
}

/// How machines that are provisioned before `until` boot.
#[derive(Clone, Copy, Default)]
struct BadBoots {
    until: Micros,
    /// Percentage of machines that never boot.
    never: i64,
    /// Boot time of the others, in percent of the usual time.
    percent: i64,
}

/// Until `until`, users poll `factor` times as often in addition.
#[derive(Clone, Copy, Default)]
struct PollStorm {
    until: Micros,
    factor: i64,
}

struct Controller {
    engine: Option<Engine>,
    /// Number of the process: counts starts and crashes, so that messages to a former process are dropped.
    generation: u64,
    started_at: Micros,
    store_refuses_until: Micros,
    /// Until when the controller is cut off from the store, and whether its requests are executed afterwards.
    store_cut: (Micros, bool),
    /// Until when the controller is cut off from all agents, and whether messages are delivered afterwards.
    agents_cut: (Micros, bool),
    peers_cut_until: Micros,
    paused_until: Micros,
    slow_until: Micros,
    /// Revision of the last transaction of this controller that was committed.
    last_commit_revision: u64,
    /// Whether the controller still runs the version in production.
    old_version: bool,
    /// Jobs that this process has reported as cancelled: it must not start any task of theirs.
    reported_cancelled: BTreeSet<JobId>,
}

/// A request of a user or an agent that waits for its answer.
enum PendingRequest {
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
    /// Submission of a job that can never run.
    InvalidSubmission,
}

pub struct Simulation {
    pub now: Micros,
    seed: u64,
    _replay_hint: replay::ReplayHint,
    scale: Scale,
    /// Load of the store in each second: requests, and keys written.
    pub store_load: BTreeMap<i64, (u32, u32)>,
    /// Bytes of the largest message between controllers and of the largest transaction. Measured in large fleets only,
    /// since every message has to be serialized for it.
    pub largest_bytes: (usize, usize),
    /// Number of steps of all engines, and of the items that they examined.
    pub steps: (i64, i64),
    /// Number of items examined in the step that examined the most.
    pub most_items_in_a_step: i64,
    rng: StdRng,
    /// Times and ids of future events, the next one first.
    queue: BinaryHeap<std::cmp::Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event_id: u64,
    controllers: Vec<Controller>,
    store: Store,
    store_outage_until: Micros,
    cloud_outage_until: Micros,
    /// Until when the cloud takes seconds to answer provisioning requests.
    slow_provisioning_until: Micros,
    /// Open watches: controller, generation, call, request and deadline.
    watches: Vec<(usize, u64, CallId, StoreRequest, Micros)>,
    provisioned: BTreeMap<String, Vec<MachineId>>,
    machines_created: u32,
    machines_cut_until: BTreeMap<MachineId, Micros>,
    links_cut_until: BTreeMap<(usize, MachineId), Micros>,
    answers_lost_until: BTreeMap<MachineId, Micros>,
    duplicate_heartbeats_until: Micros,
    delay_writes_until: Micros,
    heartbeats_lost_until: BTreeMap<MachineId, Micros>,
    delay_answers_until: Micros,
    slow_store_until: Micros,
    cancel_at_completion_until: Micros,
    invalid_requests_until: Micros,
    delay_commands_until: Micros,
    lose_commit_answers_until: Micros,
    keep_heartbeats_until: Micros,
    repeat_requests_until: Micros,
    refuse_starts_until: Micros,
    /// Copies of heartbeats, with the times they were sent, to be delivered when a claim is acquired next.
    kept_heartbeats: Vec<(Micros, Heartbeat)>,
    fast_boots_until: Micros,
    bad_boots: BadBoots,
    poll_everywhere_until: Micros,
    poll_storm: PollStorm,
    /// Jobs that can never run. They are submitted and must never be accepted.
    invalid_jobs: BTreeSet<JobId>,
    /// Tokens left in the store's rate limits for requests and for writes, in thousandths, and when they were last
    /// refilled.
    store_rate_budget: (i64, i64, Micros),
    /// When the last task of a job completed.
    completed_at: BTreeMap<JobId, Micros>,
    /// When the end of a job was written to the store.
    ended_in_store: BTreeMap<JobId, Micros>,
    /// When the first start of a task of the job was ordered.
    first_start_ordered: BTreeMap<JobId, Micros>,
    /// Coverage counters: how often the situations that the tests are about occurred.
    pub coverage: scenarios::Coverage,
    /// For each claim its version, or none if it is free, and the time of its last change.
    claims: BTreeMap<String, (Option<u64>, Micros)>,
    /// Since when a job has been waiting although the machine has room for it.
    waiting_with_room: BTreeMap<(JobId, MachineId), Micros>,
    pub ground_truth: GroundTruth,
    pending_requests: BTreeMap<(usize, u64, ClientRequestId), (PendingRequest, Micros)>,
    next_request_id: ClientRequestId,
    accepted_jobs: BTreeSet<JobId>,
    /// Final states of jobs, and when they were first reported to a user.
    final_states: BTreeMap<JobId, (JobState, Micros)>,
    cancel_requested: BTreeSet<JobId>,
    submitted_at: BTreeMap<JobId, Micros>,
    /// When a request about the job was last answered.
    last_answered: BTreeMap<JobId, Micros>,
    /// When the faults end, set by the test: from then on no messages are lost.
    pub faults_end: Micros,
    settings: Settings,
    /// Writes the record of the run, if one is asked for.
    recorder: Option<recording::Recorder>,
}

/// The size of a simulation and the limits of its stand-ins.
#[derive(Clone, Copy)]
pub struct Scale {
    pub controllers: usize,
    pub teams: usize,
    /// Machines at the start.
    pub machines: usize,
    /// Number of machines above which the cloud has no capacity.
    pub max_machines: usize,
    /// Entries in one page of the store: few, so that paging is exercised.
    pub page: usize,
    /// Largest value that the store accepts, in bytes.
    pub value_bytes: usize,
    /// Most changes in a transaction that the store accepts.
    pub max_txn_changes: usize,
    /// Requests per second that the store accepts.
    pub store_rps: i64,
    /// Written keys per second that the store accepts.
    pub write_rps: i64,
    /// Each team's limit in CPUs, 0 for none.
    pub limits: [i64; 10],
    /// In seconds: the interval between heartbeats, the duration of a machine's lease, and the time within which the
    /// tasks of a cancelled job must be gone.
    pub times: (i64, i64, i64),
    /// Whether the controllers use duties.
    pub duties: bool,
}

/// From this number of machines at the start, the sizes of messages and transactions are measured.
const MEASURED_FLEET_MACHINES: usize = 500;

/// Three controllers and a few machines: the scale of most tests.
pub const SMALL: Scale = Scale {
    controllers: CONTROLLERS,
    teams: 4,
    machines: 4,
    max_machines: 14,
    page: 7,
    value_bytes: 32 * 1024,
    max_txn_changes: 48,
    store_rps: 250,
    write_rps: 100,
    limits: [24, 10, 16, 0, 0, 0, 0, 0, 0, 0],
    times: (2, 12, 30),
    duties: false,
};

fn settings(scale: Scale, member_index: usize) -> Settings {
    let team = |name: &str, limit: i64| Team {
        name: name.into(),
        guarantee: Resources::rounded_down(8.0, 0.0, 0.0),
        limit: Resources::rounded_down(limit as f64, 0.0, 0.0),
    };
    Settings {
        members: (0..scale.controllers).map(|k| format!("n{k}")).collect(),
        member_index,
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
        store_rps: scale.store_rps,
        write_rps: scale.write_rps,
        value_bytes: scale.value_bytes,
        max_txn_changes: scale.max_txn_changes,
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

    /// Writes a key into the store as an operator would.
    pub fn put_key(&mut self, key: &str) {
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
        let ground_truth = GroundTruth {
            machines: BTreeMap::new(),
            jobs: BTreeMap::new(),
            teams: settings.teams.clone(),
            completed: BTreeMap::new(),
            failing_jobs: BTreeSet::new(),
            failures: 0,
            cancelled: BTreeMap::new(),
            cancel_timeout: settings.cancellation_time,
            gang_wait: settings.gang_wait,
            gang_peer: settings.gang_loss_detection,
            lease: settings.lease,
            violations: Vec::new(),
            tasks_started: 0,
            started_after_cancellation: Vec::new(),
            leases_expired: 0,
            first_started_at: BTreeMap::new(),
            machines_by_job: BTreeMap::new(),
        };
        let controller = || Controller {
            engine: None,
            generation: 0,
            started_at: Micros::ZERO,
            store_refuses_until: Micros::ZERO,
            store_cut: (Micros::ZERO, false),
            agents_cut: (Micros::ZERO, false),
            peers_cut_until: Micros::ZERO,
            paused_until: Micros::ZERO,
            slow_until: Micros::ZERO,
            last_commit_revision: 0,
            old_version: false,
            reported_cancelled: BTreeSet::new(),
        };
        let mut simulation = Simulation {
            now: Micros::ZERO,
            seed,
            _replay_hint: replay::ReplayHint::new(seed),
            scale,
            store_load: BTreeMap::new(),
            largest_bytes: (0, 0),
            steps: (0, 0),
            most_items_in_a_step: 0,
            rng: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event_id: 0,
            controllers: (0..scale.controllers).map(|_| controller()).collect(),
            store: Store::with_limits(scale.page, scale.value_bytes, scale.max_txn_changes),
            store_outage_until: Micros::ZERO,
            cloud_outage_until: Micros::ZERO,
            slow_provisioning_until: Micros::ZERO,
            watches: Vec::new(),
            provisioned: BTreeMap::new(),
            machines_created: 0,
            machines_cut_until: BTreeMap::new(),
            links_cut_until: BTreeMap::new(),
            answers_lost_until: BTreeMap::new(),
            duplicate_heartbeats_until: Micros::ZERO,
            delay_writes_until: Micros::ZERO,
            heartbeats_lost_until: BTreeMap::new(),
            delay_answers_until: Micros::ZERO,
            slow_store_until: Micros::ZERO,
            cancel_at_completion_until: Micros::ZERO,
            invalid_requests_until: Micros::ZERO,
            delay_commands_until: Micros::ZERO,
            lose_commit_answers_until: Micros::ZERO,
            keep_heartbeats_until: Micros::ZERO,
            repeat_requests_until: Micros::ZERO,
            refuse_starts_until: Micros::ZERO,
            kept_heartbeats: Vec::new(),
            fast_boots_until: Micros::ZERO,
            bad_boots: BadBoots::default(),
            poll_everywhere_until: Micros::ZERO,
            poll_storm: PollStorm::default(),
            invalid_jobs: BTreeSet::new(),
            store_rate_budget: (0, 0, Micros::ZERO),
            completed_at: BTreeMap::new(),
            ended_in_store: BTreeMap::new(),
            first_start_ordered: BTreeMap::new(),
            coverage: BTreeMap::new(),
            claims: BTreeMap::new(),
            waiting_with_room: BTreeMap::new(),
            ground_truth,
            pending_requests: BTreeMap::new(),
            next_request_id: 0,
            accepted_jobs: BTreeSet::new(),
            final_states: BTreeMap::new(),
            cancel_requested: BTreeSet::new(),
            submitted_at: BTreeMap::new(),
            last_answered: BTreeMap::new(),
            faults_end: Micros::ZERO,
            settings,
            recorder: recording::Recorder::from_env(seed),
        };
        for k in 0..scale.controllers {
            simulation.schedule_at(ms(k as i64), Event::StartController { controller: k });
        }
        for k in 0..scale.machines {
            simulation.provision("small", if k % 2 == 0 { "x" } else { "y" }, false, ms(1));
        }
        simulation.schedule_at(ms(20), Event::AdvanceMachines);
        simulation
    }

    fn schedule_at(&mut self, t: Micros, e: Event) {
        self.next_event_id += 1;
        self.queue
            .push(std::cmp::Reverse((t.max(self.now), self.next_event_id)));
        self.events.insert(self.next_event_id, e);
    }

    fn schedule_after(&mut self, d: Micros, e: Event) {
        self.schedule_at(self.now + d, e);
    }

    fn network_delay(&mut self) -> Micros {
        let slow = self.rng.random_range(0..40) == 0;
        let max_ms = if slow { 300 } else { 12 };
        ms(self.rng.random_range(1..max_ms))
    }

    /// Whether a message is lost: one in thirty, until the faults end.
    fn message_lost(&mut self) -> bool {
        self.now < self.faults_end && self.rng.random_range(0..30) == 0
    }

    fn provision(&mut self, machine_type: &str, zone: &str, spot: bool, boot: Micros) -> MachineId {
        let id: MachineId = format!("m-{:04}", self.machines_created).as_str().into();
        self.machines_created += 1;
        let size = machine_types()
            .into_iter()
            .find(|t| t.name == machine_type)
            .unwrap()
            .size;
        let up_at = self.now + boot;
        let machine = Machine {
            kind: machine_type.into(),
            zone: zone.into(),
            spot,
            size,
            up_at,
            provisioned_at: self.now,
            dead: false,
            hung_until: Micros::ZERO,
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            tasks: BTreeMap::new(),
            other_attempts: BTreeMap::new(),
            starts_accepted: 0,
            refused_attempts: BTreeSet::new(),
            lease_renewed_at: up_at,
            steady_since: up_at,
            target_controller: self.rng.random_range(0..self.scale.controllers),
            in_flight: None,
            next_heartbeat: up_at,
            preempt_at: None,
        };
        self.ground_truth.machines.insert(id.clone(), machine);
        self.schedule_at(
            up_at,
            Event::HeartbeatDue {
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
            let e = self.events.remove(&n).expect("every queued event exists");
            self.dispatch(e);
            assert!(
                self.ground_truth.violations.is_empty(),
                "seed {}: invariants violated at {:.3} s: {:#?}",
                self.seed,
                self.now.as_secs_decimal(),
                self.ground_truth.violations
            );
        }
        self.now = end;
    }

    fn dispatch(&mut self, e: Event) {
        match e {
            Event::StartController { controller } => {
                let n = &mut self.controllers[controller];
                if n.engine.is_some() {
                    return;
                }
                n.generation += 1;
                n.reported_cancelled.clear();
                n.started_at = self.now;
                let mut own = settings(self.scale, controller);
                own.tuning.duties &= !n.old_version;
                n.engine = Some(Engine::new(own));
                self.schedule_after(ms(1), Event::Tick { controller });
            }
            Event::Tick { controller } => {
                if self.controllers[controller].engine.is_some() {
                    self.step(controller, vec![]);
                    let wait = self.processing_delay(controller);
                    self.schedule_after(ms(50) + wait, Event::Tick { controller });
                }
            }
            Event::DeliverCommand {
                controller,
                generation,
                command,
            } => {
                let n = &self.controllers[controller];
                if n.generation == generation && n.engine.is_some() {
                    if n.paused_until > self.now {
                        let d = n.paused_until - self.now + ms(1);
                        return self.schedule_after(
                            d,
                            Event::DeliverCommand {
                                controller,
                                generation,
                                command,
                            },
                        );
                    }
                    self.step(controller, vec![*command]);
                }
            }
            Event::Store {
                controller,
                generation,
                call,
                request,
                late,
            } => self.handle_store_request(controller, generation, call, request, late),
            Event::Cloud {
                controller,
                generation,
                call,
                request,
                late,
            } => self.handle_cloud_request(controller, generation, call, request, late),
            Event::HeartbeatDue { machine } => self.send_heartbeat(machine),
            Event::HeartbeatAnswered {
                machine,
                incarnation,
                sequence,
                sent,
                controller,
                answer,
            } => self.handle_heartbeat_answer(
                machine,
                incarnation,
                sequence,
                sent,
                controller,
                answer,
            ),
            Event::DirectOrders {
                controller,
                generation,
                call,
                machine,
                incarnation,
                fencing_token,
                orders,
                late,
            } => self.deliver_orders(
                (controller, generation, call),
                machine,
                incarnation,
                fencing_token,
                orders,
                late,
            ),
            Event::DuplicateHeartbeat {
                controller,
                sent,
                heartbeat,
            } => {
                if self
                    .ground_truth
                    .machines
                    .get(&heartbeat.machine)
                    .is_some_and(|machine| machine.incarnation > heartbeat.incarnation)
                {
                    self.cover("a copy from an earlier session arrived");
                }
                if self.controllers[controller].engine.is_some()
                    && self.controllers[controller].started_at > sent
                {
                    self.cover("a copy arrived at a controller that began after it was sent");
                }
                self.next_request_id += 1;
                let to = self.next_request_id;
                self.step(controller, vec![Command::Heartbeat { to, heartbeat }]);
            }
            Event::AdvanceMachines => self.advance_machines(),
            Event::Submit { job } => {
                if self.ground_truth.jobs[&job]
                    .dependencies
                    .iter()
                    .any(|n| !self.accepted_jobs.contains(n))
                {
                    // Users name only accepted jobs as dependencies.
                    return self.schedule_after(ms(500), Event::Submit { job });
                }
                self.submitted_at.entry(job.clone()).or_insert(self.now);
                let spec = self.ground_truth.jobs[&job].clone();
                self.send_request(PendingRequest::Submit { job }, |to| Command::Submit {
                    to,
                    spec: Box::new(spec),
                });
            }
            Event::Poll { job } => {
                let id = job.clone();
                self.send_request(PendingRequest::Poll { job }, |to| Command::Poll { to, id });
            }
            Event::Cancel { job } => {
                if self.accepted_jobs.contains(&job) {
                    let id = job.clone();
                    self.send_request(PendingRequest::Cancel { job }, |to| Command::Cancel {
                        to,
                        id,
                    });
                } else if self.now < self.faults_end + ms(60_000) {
                    self.schedule_after(ms(2_000), Event::Cancel { job });
                }
            }
            Event::PollEverywhere { job } => self.poll_and_resubmit_everywhere(&job),
            Event::PollStormStep => self.poll_storm_step(),
            Event::InvalidRequest => self.send_invalid_request(),
            Event::Fault(f) => self.inject(f),
            Event::Repeated(request) => self.repeat(*request),
        }
    }

    /// The additional delay before a controller handles something, while it is paused or slow.
    fn processing_delay(&mut self, controller: usize) -> Micros {
        let n = &self.controllers[controller];
        let paused_for = n.paused_until.max(self.now) - self.now;
        if n.slow_until > self.now {
            return paused_for + ms(self.rng.random_range(100..900));
        }
        paused_for
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

    fn step(&mut self, controller: usize, commands: Vec<Command>) {
        let n = &mut self.controllers[controller];
        // Steady clocks drift by 0.025% per controller, by 0.05% at most among three; wall clocks are 20 ms apart.
        let own =
            Micros((self.now - n.started_at).0 * (100_000 + 25 * controller as i64) / 100_000);
        let wall_time = ms(1_700_000_000_000) + self.now + ms(20 * controller as i64);
        let Some(engine) = n.engine.as_mut() else {
            return;
        };
        let before = engine.items_examined();
        let effects = engine.step(own, wall_time, commands);
        // A shard that is dropped takes its count with it, so the difference can be negative.
        let examined = (engine.items_examined() - before).max(0);
        self.steps = (self.steps.0 + 1, self.steps.1 + examined);
        self.most_items_in_a_step = self.most_items_in_a_step.max(examined);
        let generation = n.generation;
        for f in effects {
            self.handle_effect(controller, generation, f);
        }
    }

    fn handle_effect(&mut self, controller: usize, generation: u64, f: Effect) {
        self.record_effect(controller, generation, &f);
        let d = self.network_delay();
        match f {
            Effect::Store { call, request } => {
                let slow = self.now < self.slow_store_until && self.rng.random_range(0..3) > 0;
                let d = if slow {
                    d + ms(self.rng.random_range(200..3_000))
                } else {
                    d
                };
                self.schedule_after(
                    d,
                    Event::Store {
                        controller,
                        generation,
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
                    self.check_duty(controller, &request);
                }
                self.schedule_after(
                    d,
                    Event::Cloud {
                        controller,
                        generation,
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
                self.check_orders(controller, &orders);
                self.check_fencing_token(controller, &machine, fencing_token);
                let d = d + self.answer_delay();
                self.schedule_after(
                    d,
                    Event::DirectOrders {
                        controller,
                        generation,
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
                if self.scale.machines >= MEASURED_FLEET_MACHINES {
                    self.largest_bytes.0 = self
                        .largest_bytes
                        .0
                        .max(serde_json::to_vec(&message).unwrap().len());
                }
                // During a network partition half of the messages are lost, and the others arrive when it ends.
                let cut = self.controllers[controller]
                    .peers_cut_until
                    .max(self.controllers[to].peers_cut_until);
                let held = cut > self.now && self.rng.random_range(0..2) == 0;
                let d = if held { cut - self.now + d } else { d };
                if (cut <= self.now || held) && !self.message_lost() {
                    let generation = self.controllers[to].generation;
                    self.maybe_repeat_to_peer(|| RepeatedRequest::Peer {
                        from: controller,
                        to,
                        message: message.clone(),
                    });
                    let command = Box::new(Command::Peer {
                        from: controller,
                        message,
                    });
                    self.schedule_after(
                        d,
                        Event::DeliverCommand {
                            controller: to,
                            generation,
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
                self.check_orders(controller, &orders);
                self.answer_heartbeat(
                    controller,
                    generation,
                    to,
                    HeartbeatAnswer::Orders(fencing_token, orders),
                );
            }
            Effect::Redirect { to, member } => {
                self.answer_heartbeat(
                    controller,
                    generation,
                    to,
                    HeartbeatAnswer::Redirect(member),
                );
            }
            Effect::HealthReply { .. } => {}
            Effect::Answer { to, answer } => {
                if let Some((request, at)) =
                    self.pending_requests.remove(&(controller, generation, to))
                {
                    if let Answer::Status {
                        id,
                        state: JobState::Cancelled,
                        ..
                    } = &answer
                    {
                        self.controllers[controller]
                            .reported_cancelled
                            .insert(id.clone());
                    }
                    self.check_user_answer(request, at, answer);
                }
            }
        }
    }

    fn send_to_controller(&mut self, controller: usize, generation: u64, command: Command) {
        let d = self.network_delay() + self.processing_delay(controller);
        self.schedule_after(
            d,
            Event::DeliverCommand {
                controller,
                generation,
                command: Box::new(command),
            },
        );
    }
}
