//! A harness that drives a single shard step by step, with heartbeats and scheduling cycles, without an engine around it.

use seamfront_core::job::Job;
use seamfront_core::machine::MachineRecord;
use seamfront_core::port::{CallId, Effect, Heartbeat, Order, TaskState, TaskStatus};
use seamfront_core::record::{Layout, TaskRun, WorkRecord};
use seamfront_core::shard::{Context, Shard, ShardWrite, StatusSource, StoredRecord, WriteOutcome};
use seamfront_core::types::{
    JobId, JobKind, JobSpec, Micros, Priority, Resources, Settings, TaskKey, Team, Tuning,
};
use std::rc::Rc;

/// Fencing token of the shard's claim.
pub const CLAIM_TOKEN: u64 = 50;

/// Short for a time in seconds.
pub fn s(seconds: i64) -> Micros {
    Micros::from_secs(seconds)
}

/// Settings of one of three members, with a single team that has neither a guarantee nor a limit.
pub fn settings() -> Settings {
    let team = Team {
        name: "t".into(),
        guarantee: Resources::default(),
        limit: Resources {
            cpus: 0,
            gpus: 0,
            ram: 0,
        },
    };
    Settings {
        members: vec!["a".into(), "b".into(), "c".into()],
        member_index: 0,
        teams: vec![team],
        objectives: vec![],
        heartbeat_interval: s(2),
        lease: s(12),
        gang_wait: s(15),
        gang_loss_detection: s(4),
        cancellation_time: s(30),
        store_rps: 250,
        write_rps: 100,
        value_bytes: 32 * 1024,
        max_txn_changes: 48,
        cloud_rps: 5,
        list_lag: s(5),
        tuning: Tuning::default(),
    }
}

/// A job array of tasks that need one CPU and 1 GB of memory each.
pub fn job(id: &str, tasks: u32) -> Rc<JobSpec> {
    Rc::new(JobSpec {
        id: id.into(),
        class: "c".into(),
        team: "t".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks,
        task_resources: Resources::rounded_up(1.0, 0.0, 1.0),
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        image: "img".into(),
        image_mb: 100,
        estimate: s(10),
        checkpoint_interval: Micros::ZERO,
        checkpoint_time: Micros::ZERO,
        deadline: None,
        submitted: Micros::ZERO,
        dependencies: vec![],
        dependency_parts: 0,
    })
}

/// A heartbeat of a machine's agent. The tasks are given as job, attempt and state; each is the first task of its job.
pub fn heartbeat(
    machine: &str,
    incarnation: u64,
    sequence: u64,
    fencing_token: u64,
    tasks: &[(&str, u64, TaskState)],
) -> Heartbeat {
    let status = |(job, attempt, state): &(&str, u64, TaskState)| TaskStatus {
        task: TaskKey {
            job: (*job).into(),
            index: 0,
        },
        attempt: *attempt,
        state: *state,
    };
    Heartbeat {
        machine: machine.into(),
        addr: "10.0.0.1:9000".into(),
        incarnation,
        sequence,
        fencing_token,
        preemption_notice: None,
        tasks: tasks.iter().map(status).collect(),
    }
}

/// A shard, with the settings and the effects of the engine that would drive it.
pub struct ShardHarness {
    pub settings: Settings,
    pub shard: Shard,
    /// Everything that the shard has asked for so far.
    pub effects: Vec<Effect>,
    /// Counter that the ids of store requests are taken from.
    pub next_call: CallId,
    /// The revision that fencing tokens may be raised up to; 0 for none.
    pub token_limit: u64,
}

impl ShardHarness {
    /// A shard that was taken over at second 100, with this many machines. On each of the first `placed` machines a task
    /// of its own job is recorded, in attempt 3.
    pub fn new(machines: usize, placed: usize) -> ShardHarness {
        let mut shard = Shard::new(0, CLAIM_TOKEN, s(100));
        let size = Resources::rounded_down(8.0, 0.0, 32.0);
        for k in 0..machines {
            let record = MachineRecord {
                shard: Some(0),
                machine_type: "m".into(),
                zone: "z".into(),
                spot: false,
            };
            shard.add_machine(format!("i-{k}").as_str().into(), record, 7, size, s(100));
        }
        for k in 0..placed {
            let spec = job(&format!("j-{k}"), 1);
            let mut recorded = Job::new(spec.clone(), 5, s(90));
            recorded.next_attempt = 4;
            let mut record: WorkRecord = recorded.to_record();
            record.placed.insert(
                format!("i-{k}").as_str().into(),
                vec![TaskRun::new(0, 1, 3)],
            );
            let stored = StoredRecord {
                record,
                version: 9,
                parts_end: 0,
            };
            shard.adopt_record(spec.id.clone(), Some((spec, 5)), stored, s(100));
        }
        let mut harness = ShardHarness {
            settings: settings(),
            shard,
            effects: Vec::new(),
            next_call: 1,
            token_limit: 0,
        };
        harness.with(s(100), seamfront_core::shard::Shard::finish_loading);
        harness
    }

    /// Runs a function on the shard with a context of this time.
    pub fn with<R>(&mut self, now: Micros, f: impl FnOnce(&mut Shard, &mut Context) -> R) -> R {
        let (effects, next_call) = (&mut self.effects, &mut self.next_call);
        let layout = Layout::single(self.settings.value_bytes);
        let mut context = Context {
            settings: &self.settings,
            now,
            wall_time: now,
            types: &[],
            effects,
            next_call,
            claim_verified: true,
            token_limit: self.token_limit,
            layout,
        };
        f(&mut self.shard, &mut context)
    }

    /// Applies a heartbeat and returns the orders of the reply, which counts as delivered, as after an HTTP status 200.
    pub fn heartbeat(&mut self, now: Micros, heartbeat: &Heartbeat) -> Vec<Order> {
        let orders = self.with(now, |shard, context| {
            if shard.apply_heartbeat(context, heartbeat, StatusSource::AgentHeartbeat) {
                shard.orders(context, heartbeat)
            } else {
                vec![]
            }
        });
        let version = self.shard.version;
        self.shard
            .machines
            .get_mut(&heartbeat.machine)
            .unwrap()
            .reply_sent(now, version);
        orders
    }

    /// Whether the job is known and has tasks on machines.
    pub fn placed(&self, job: &str) -> bool {
        self.shard
            .jobs
            .get(&JobId::from(job))
            .is_some_and(|job| !job.tasks.is_empty())
    }

    /// Completes the shard's due writes of machine records with this version. Returns the name of each machine, and
    /// whether its record still belongs to a shard.
    pub fn machine_writes(&mut self, now: Micros, version: u64) -> Vec<(String, bool)> {
        let mut written = Vec::new();
        for write in self.shard.due_writes(now, 100, &Layout::single(32 * 1024)) {
            if let ShardWrite::Machine {
                machine, record, ..
            } = &write
            {
                written.push((machine.to_string(), record.shard.is_some()));
                self.with(now, |shard, context| {
                    shard.apply_write_outcome(context, &write, WriteOutcome::Done(version));
                });
            }
        }
        written
    }
}
