//! Stand-in for the workers, and the truth about what runs where. The rules are checked here, on
//! this truth, never on what an engine believes.

use seamfront_core::port::{Exit, Heartbeat, Order, TaskState, TaskStatus};
use seamfront_core::types::{JobId, JobKind, JobSpec, MachineId, Micros, Resources, TaskKey, Team};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
pub struct Task {
    pub attempt: u64,
    pub state: TaskState,
    /// When the image is there, then when the work is done.
    pub until: Micros,
    pub waiting_since: Micros,
    pub stopped: Option<Micros>,
}

impl Task {
    /// From having its image until it exits.
    pub fn on_machine(&self) -> bool {
        matches!(
            self.state,
            TaskState::Waiting | TaskState::Running | TaskState::Saving
        )
    }
}

pub struct Worker {
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub size: Resources,
    pub up_at: Micros,
    pub rented_at: Micros,
    pub dead: bool,
    pub hung_until: Micros,
    pub incarnation: u64,
    pub sequence: u64,
    pub fencing_token: u64,
    pub tasks: BTreeMap<TaskKey, Task>,
    pub lease_from: Micros,
    /// Since when its reports have been answered without a longer gap.
    pub steady_from: Micros,
    pub target: usize,
    pub in_flight: Option<(u64, Micros)>,
    pub next_report: Micros,
    pub notice_at: Option<Micros>,
}

impl Worker {
    /// What is not taken by tasks that have not exited.
    pub fn free(&self, jobs: &BTreeMap<JobId, JobSpec>) -> Resources {
        let mut free = self.size;
        for (k, _) in self
            .tasks
            .iter()
            .filter(|(_, t)| !matches!(t.state, TaskState::Exited(_)))
        {
            free.sub(jobs[&k.job].task_resources);
        }
        free
    }
}

pub struct Truth {
    pub workers: BTreeMap<MachineId, Worker>,
    pub jobs: BTreeMap<JobId, JobSpec>,
    pub teams: Vec<Team>,
    pub completed: BTreeMap<JobId, BTreeSet<u32>>,
    /// Jobs that were submitted with a mistake: their tasks fail on every machine.
    pub failing: BTreeSet<JobId>,
    /// How often such a task has failed since that was last counted.
    pub failures: u32,
    /// When a user was told that the job is cancelled.
    pub cancelled: BTreeMap<JobId, Micros>,
    pub cancel: Micros,
    pub gang_wait: Micros,
    pub gang_peer: Micros,
    pub lease: Micros,
    pub broken: Vec<String>,
    pub started: u64,
    /// Tasks that started after their job's cancellation was confirmed, with when that was.
    pub started_cancelled: Vec<(TaskKey, Micros)>,
    /// Leases that ended under tasks.
    pub leases_ended: u64,
    /// When the first task of a job began.
    pub began: BTreeMap<JobId, Micros>,
    /// Machines that may have tasks of a job, so that a large world needs no search for them.
    pub holders: BTreeMap<JobId, BTreeSet<MachineId>>,
}

fn all_of(job: &JobId) -> std::ops::RangeInclusive<TaskKey> {
    let at = |index| TaskKey {
        job: job.clone(),
        index,
    };
    at(0)..=at(u32::MAX)
}

impl Truth {
    pub fn heartbeat(&mut self, id: &MachineId) -> Heartbeat {
        let w = self.workers.get_mut(id).unwrap();
        w.sequence += 1;
        Heartbeat {
            machine: id.clone(),
            addr: id.to_string(),
            incarnation: w.incarnation,
            sequence: w.sequence,
            fencing_token: w.fencing_token,
            preemption_notice: w.notice_at.map(|_| Micros::from_secs(5)),
            tasks: w
                .tasks
                .iter()
                .map(|(k, t)| TaskStatus {
                    task: k.clone(),
                    attempt: t.attempt,
                    state: t.state,
                })
                .collect(),
        }
    }

    pub fn obey(
        &mut self,
        now: Micros,
        id: &MachineId,
        orders: &[Order],
        run: impl Fn(&JobSpec) -> (Micros, bool),
    ) {
        for o in orders {
            let w = self.workers.get_mut(id).unwrap();
            match o {
                Order::Start { task, attempt } => {
                    if w.tasks.get(task).is_some_and(|t| t.attempt == *attempt) {
                        continue;
                    }
                    let Some(spec) = self.jobs.get(&task.job) else {
                        continue;
                    };
                    let free = w.free(&self.jobs);
                    let live = w
                        .tasks
                        .get(task)
                        .is_some_and(|t| !matches!(t.state, TaskState::Exited(_)));
                    let state = if live {
                        // Refused; the worker would show both, which one map entry can't: drop it.
                        continue;
                    } else if free.fits(spec.task_resources) < 1 {
                        TaskState::Exited(Exit::NoRoom)
                    } else {
                        TaskState::Fetching
                    };
                    let (fetch, _) = run(spec);
                    let t = Task {
                        attempt: *attempt,
                        state,
                        until: now + fetch,
                        waiting_since: now,
                        stopped: None,
                    };
                    w.tasks.insert(task.clone(), t);
                    self.holders
                        .entry(task.job.clone())
                        .or_default()
                        .insert(id.clone());
                }
                Order::Stop {
                    task,
                    attempt,
                    grace,
                } => {
                    let Some(t) = w.tasks.get_mut(task).filter(|t| t.attempt == *attempt) else {
                        continue;
                    };
                    let spec = &self.jobs[&task.job];
                    let saves = t.state == TaskState::Running
                        && spec.supports_checkpoints()
                        && *grace >= spec.checkpoint_time;
                    match t.state {
                        TaskState::Exited(_) => {}
                        TaskState::Saving if *grace > Micros::ZERO => {}
                        _ if saves => {
                            t.state = TaskState::Saving;
                            t.until = now + spec.checkpoint_time;
                            t.stopped = Some(now);
                        }
                        _ => t.state = TaskState::Exited(Exit::Stopped { saved: false }),
                    }
                }
                Order::Forget { task, attempt } => {
                    let ended =
                        |t: &Task| t.attempt == *attempt && matches!(t.state, TaskState::Exited(_));
                    if w.tasks.get(task).is_some_and(ended) {
                        w.tasks.remove(task);
                        if w.tasks.range(all_of(&task.job)).next().is_none() {
                            self.holders.get_mut(&task.job).map(|h| h.remove(id));
                        }
                    }
                }
            }
        }
    }

    fn everywhere<'a>(
        &'a self,
        job: &'a JobId,
    ) -> impl Iterator<Item = (&'a MachineId, &'a Worker, u32, &'a Task)> {
        let holders = self.holders.get(job).into_iter().flatten();
        let up = holders
            .filter_map(|id| self.workers.get_key_value(id))
            .filter(|(_, w)| !w.dead);
        up.flat_map(move |(id, w)| {
            w.tasks
                .range(all_of(job))
                .map(move |(k, t)| (id, w, k.index, t))
        })
    }

    /// The rules that hold at the moment a task comes to be on a machine.
    fn check_start(&mut self, now: Micros, id: &MachineId, key: &TaskKey) {
        self.started += 1;
        self.began.entry(key.job.clone()).or_insert(now);
        let spec = self.jobs[&key.job].clone();
        let w = &self.workers[id];
        let mut bad = Vec::new();
        let others: Vec<(String, MachineId, u32)> = self
            .everywhere(&key.job)
            .filter(|(m, _, i, t)| t.on_machine() && !(*m == id && *i == key.index))
            .map(|(m, w, i, _)| (w.zone.clone(), m.clone(), i))
            .collect();
        if let Some(o) = others.iter().find(|o| o.2 == key.index) {
            bad.push(format!("ran_twice: {key} on {id} and {}", o.1));
        }
        if !spec.allows(&w.kind, &w.zone, w.spot) {
            bad.push(format!("wrong_place: {key} on {id}"));
        }
        if spec.one_zone && others.iter().any(|o| o.0 != w.zone) {
            bad.push(format!(
                "wrong_place: {key} in another zone than its siblings"
            ));
        }
        let same = others.iter().filter(|o| o.0 == w.zone).count() as u32 + 1;
        if same > spec.max_tasks_per_zone() {
            bad.push(format!("wrong_place: {key} makes {same} in one zone"));
        }
        if let Some(confirmed) = self.cancelled.get(&key.job) {
            self.started_cancelled.push((key.clone(), *confirmed));
        }
        if self
            .cancelled
            .get(&key.job)
            .is_some_and(|t| now - *t > self.cancel)
        {
            bad.push(format!("ran_cancelled: {key} started"));
        }
        let done =
            |n: &JobId| self.completed.get(n).map_or(0, |c| c.len() as u32) == self.jobs[n].tasks;
        if let Some(n) = spec.dependencies.iter().find(|n| !done(n)) {
            bad.push(format!("too_early: {key} started before {n} was done"));
        }
        let team = self.teams.iter().find(|t| t.name == spec.team).unwrap();
        let mut used = Resources::default();
        let limited = team.limit.cpus > 0 || team.limit.gpus > 0;
        for job in self
            .holders
            .keys()
            .filter(|j| limited && self.jobs[*j].team == team.name)
        {
            used.add(
                self.jobs[job]
                    .task_resources
                    .times(self.everywhere(job).filter(|x| x.3.on_machine()).count() as i64),
            );
        }
        if (team.limit.cpus > 0 && used.cpus > team.limit.cpus)
            || (team.limit.gpus > 0 && used.gpus > team.limit.gpus)
        {
            bad.push(format!("quota: {key} makes {used:?} of {}", team.name));
        }
        self.broken.extend(
            bad.into_iter()
                .map(|b| format!("{:.3} {b}", now.as_secs_decimal())),
        );
    }

    /// Since when a user has known that a job which this one needs, directly or through others, is cancelled.
    pub fn called_off(&self, id: &JobId) -> Option<Micros> {
        let mut since: Option<Micros> = None;
        let mut seen = BTreeSet::new();
        let mut todo = vec![id.clone()];
        while let Some(id) = todo.pop() {
            for n in self.jobs[&id]
                .dependencies
                .iter()
                .filter(|n| seen.insert((*n).clone()))
            {
                since = since
                    .into_iter()
                    .chain(self.cancelled.get(n).copied())
                    .min();
                todo.push(n.clone());
            }
        }
        since
    }

    /// Everything that happens at workers by itself.
    pub fn advance(&mut self, now: Micros, work: impl Fn(&JobSpec) -> Micros) {
        let ids: Vec<MachineId> = self.workers.keys().cloned().collect();
        let mut began = Vec::new();
        for id in &ids {
            let w = self.workers.get_mut(id).unwrap();
            if w.dead || w.up_at > now {
                continue;
            }
            if now - w.lease_from > self.lease {
                w.incarnation += 1;
                self.leases_ended += u64::from(w.tasks.values().any(Task::on_machine));
                w.tasks.clear();
                w.lease_from = now;
                w.in_flight = None;
            }
            if w.hung_until > now {
                continue;
            }
            for (k, t) in &mut w.tasks {
                let spec = &self.jobs[&k.job];
                match t.state {
                    TaskState::Fetching if t.until <= now => {
                        began.push((id.clone(), k.clone()));
                        t.waiting_since = now;
                        t.until = now + work(spec);
                        t.state = if spec.kind == JobKind::Gang {
                            TaskState::Waiting
                        } else {
                            TaskState::Running
                        };
                    }
                    TaskState::Running
                        if spec.kind != JobKind::Gang
                            && self.failing.contains(&k.job)
                            && t.until <= now =>
                    {
                        t.state = TaskState::Exited(Exit::Error);
                        self.failures += 1;
                    }
                    TaskState::Running if spec.kind == JobKind::Array && t.until <= now => {
                        t.state = TaskState::Exited(Exit::Done);
                        self.completed
                            .entry(k.job.clone())
                            .or_default()
                            .insert(k.index);
                    }
                    TaskState::Saving if t.until <= now => {
                        t.state = TaskState::Exited(Exit::Stopped { saved: true });
                    }
                    TaskState::Waiting if now - t.waiting_since > self.gang_wait => {
                        t.state = TaskState::Exited(Exit::GangIncomplete);
                    }
                    _ => {}
                }
            }
        }
        for (id, key) in began {
            self.check_start(now, &id, &key);
        }
        self.gangs(now, &work);
        for (job, told_at) in self.cancelled.clone() {
            if now - told_at > self.cancel {
                let left: Vec<String> = self
                    .everywhere(&job)
                    .filter(|x| x.3.on_machine())
                    .map(|(m, _, i, _)| {
                        format!(
                            "{:.3} ran_cancelled: {job}/{i} still on {m}",
                            now.as_secs_decimal()
                        )
                    })
                    .collect();
                self.broken.extend(left);
            }
        }
    }

    fn gangs(&mut self, now: Micros, work: &impl Fn(&JobSpec) -> Micros) {
        let held = self
            .holders
            .iter()
            .filter(|h| !h.1.is_empty())
            .map(|h| &self.jobs[h.0]);
        let gangs: Vec<JobSpec> = held.filter(|j| j.kind == JobKind::Gang).cloned().collect();
        for spec in gangs {
            let members: Vec<(MachineId, u32, u64, TaskState, Micros, bool)> = self
                .everywhere(&spec.id)
                .map(|(m, w, i, t)| {
                    (
                        m.clone(),
                        i,
                        t.attempt,
                        t.state,
                        t.until,
                        w.hung_until > now,
                    )
                })
                .collect();
            let Some(attempt) = members.iter().map(|m| m.2).max() else {
                continue;
            };
            let here: Vec<_> = members.iter().filter(|m| m.2 == attempt).collect();
            let in_state = |s: TaskState| here.iter().filter(|m| m.3 == s && !m.5).count() as u32;
            let awake = |m: &&&(MachineId, u32, u64, TaskState, Micros, bool)| !m.5;
            if in_state(TaskState::Waiting) == spec.tasks {
                let until = now + work(&spec);
                for m in &here {
                    let key = TaskKey {
                        job: spec.id.clone(),
                        index: m.1,
                    };
                    let t = self
                        .workers
                        .get_mut(&m.0)
                        .unwrap()
                        .tasks
                        .get_mut(&key)
                        .unwrap();
                    (t.state, t.until) = (TaskState::Running, until);
                }
            } else if in_state(TaskState::Running) == spec.tasks {
                if here.iter().all(|m| m.4 <= now) {
                    let failing = self.failing.contains(&spec.id);
                    for m in &here {
                        let key = TaskKey {
                            job: spec.id.clone(),
                            index: m.1,
                        };
                        let exit = if failing { Exit::Error } else { Exit::Done };
                        self.workers
                            .get_mut(&m.0)
                            .unwrap()
                            .tasks
                            .get_mut(&key)
                            .unwrap()
                            .state = TaskState::Exited(exit);
                        if failing {
                            self.failures += 1;
                            continue;
                        }
                        self.completed
                            .entry(spec.id.clone())
                            .or_default()
                            .insert(m.1);
                    }
                }
            } else {
                // Some run, some do not: after a while those that run notice.
                let peer = self.gang_peer;
                for m in here
                    .iter()
                    .filter(|m| m.3 == TaskState::Running)
                    .filter(awake)
                {
                    let key = TaskKey {
                        job: spec.id.clone(),
                        index: m.1,
                    };
                    let t = self
                        .workers
                        .get_mut(&m.0)
                        .unwrap()
                        .tasks
                        .get_mut(&key)
                        .unwrap();
                    match t.stopped {
                        None => t.stopped = Some(now),
                        Some(s) if now - s > peer => t.state = TaskState::Exited(Exit::PeerLost),
                        _ => {}
                    }
                }
            }
        }
    }
}
