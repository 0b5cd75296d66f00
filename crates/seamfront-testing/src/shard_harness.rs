//! One share in the hand, no world round it: what it does with reports and rounds, step by step.

use seamfront_core::job::Job;
use seamfront_core::machine::MachineRecord;
use seamfront_core::port::{CallId, Effect, Heartbeat, Order, TaskState, TaskStatus};
use seamfront_core::record::{Layout, TaskRun, WorkRecord};
use seamfront_core::shard::{Context, Shard, ShardWrite, StatusSource, StoredRecord, WriteOutcome};
use seamfront_core::types::{
    JobId, JobKind, JobSpec, Micros, Priority, Resources, Settings, TaskKey, Team, Tuning,
};
use std::rc::Rc;

pub const CLAIM: u64 = 50;

pub fn s(n: i64) -> Micros {
    Micros::from_secs(n)
}

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
        me: 0,
        teams: vec![team],
        objectives: vec![],
        heartbeat_interval: s(2),
        lease: s(12),
        gang_wait: s(15),
        gang_peer: s(4),
        cancel: s(30),
        state_rps: 250,
        write_rps: 100,
        value_bytes: 32 * 1024,
        txn_ops: 48,
        cloud_rps: 5,
        list_lag: s(5),
        tuning: Tuning::default(),
    }
}

pub fn job(id: &str, tasks: u32) -> Rc<JobSpec> {
    Rc::new(JobSpec {
        id: id.into(),
        class: "c".into(),
        team: "t".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks,
        task_resources: Resources::needed(1.0, 0.0, 1.0),
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        image: "img".into(),
        image_mb: 100,
        estimate: s(10),
        checkpoint: Micros::ZERO,
        save: Micros::ZERO,
        deadline: None,
        submitted: Micros::ZERO,
        dependencies: vec![],
        dependency_parts: 0,
    })
}

pub fn heartbeat(
    machine: &str,
    incarnation: u64,
    sequence: u64,
    fencing_token: u64,
    tasks: &[(&str, u64, TaskState)],
) -> Heartbeat {
    let shown = |(job, attempt, state): &(&str, u64, TaskState)| TaskStatus {
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
        tasks: tasks.iter().map(shown).collect(),
    }
}

/// A shard that has just been taken over: `machines` machines, one task of attempt 3 recorded on
/// each of the first `placed`.
pub struct Held {
    pub settings: Settings,
    pub shard: Shard,
    pub effects: Vec<Effect>,
    pub calls: CallId,
}

impl Held {
    pub fn new(machines: usize, placed: usize) -> Held {
        let mut shard = Shard::new(0, CLAIM, s(100));
        let size = Resources::offered(8.0, 0.0, 32.0);
        for k in 0..machines {
            let record = MachineRecord {
                shard: Some(0),
                kind: "m".into(),
                zone: "z".into(),
                spot: false,
            };
            shard.add_machine(format!("i-{k}").as_str().into(), record, 7, size, s(100));
        }
        for k in 0..placed {
            let spec = job(&format!("j-{k}"), 1);
            let mut former = Job::new(spec.clone(), 5, s(90));
            former.next_attempt = 4;
            let mut record: WorkRecord = former.to_record();
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
        let mut held = Held {
            settings: settings(),
            shard,
            effects: Vec::new(),
            calls: 1,
        };
        held.with(s(100), seamfront_core::shard::Shard::finish_loading);
        held
    }

    pub fn with<R>(&mut self, now: Micros, f: impl FnOnce(&mut Shard, &mut Context) -> R) -> R {
        let (effects, calls) = (&mut self.effects, &mut self.calls);
        let layout = Layout::single(self.settings.value_bytes);
        let mut context = Context {
            settings: &self.settings,
            now,
            wall_time: now,
            types: &[],
            effects,
            calls,
            lease_valid: true,
            layout,
        };
        f(&mut self.shard, &mut context)
    }

    /// A report that is answered with 200, as the engine does it.
    pub fn heartbeat(&mut self, now: Micros, r: &Heartbeat) -> Vec<Order> {
        let orders = self.with(now, |s, context| {
            if s.apply_heartbeat(context, r, StatusSource::WorkerHeartbeat) {
                s.orders(context, r)
            } else {
                vec![]
            }
        });
        let version = self.shard.version;
        self.shard
            .machines
            .get_mut(&r.machine)
            .unwrap()
            .reply_sent(now, version);
        orders
    }

    pub fn placed(&self, job: &str) -> bool {
        self.shard
            .jobs
            .get(&JobId::from(job))
            .is_some_and(|j| !j.tasks.is_empty())
    }

    /// Carries out what the shard wants written of its machines; returns (name, still ours).
    pub fn machine_writes(&mut self, now: Micros, version: u64) -> Vec<(String, bool)> {
        let mut seen = Vec::new();
        for w in self.shard.due_writes(now, 100, &Layout::single(32 * 1024)) {
            if let ShardWrite::Machine {
                machine, record, ..
            } = &w
            {
                seen.push((machine.to_string(), record.shard.is_some()));
                self.with(now, |s, context| {
                    s.written(context, &w, WriteOutcome::Done(version));
                });
            }
        }
        seen
    }
}
