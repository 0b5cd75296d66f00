//! Stand-in for the machines and their agents, and with it the ground truth about what runs where. Invariants on tasks
//! are checked against this state, never against what an engine believes.

use seamfront_core::port::{Exit, Heartbeat, Order, TaskState, TaskStatus};
use seamfront_core::types::{JobId, JobKind, JobSpec, MachineId, Micros, Resources, TaskKey, Team};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
pub struct Task {
    pub attempt: u64,
    pub state: TaskState,
    /// While fetching, when the image is complete; while running, when the work is done; while saving, when the
    /// checkpoint is written.
    pub until: Micros,
    pub waiting_since: Micros,
    /// When the task was ordered to stop with a checkpoint, or when a gang member noticed that others do not run.
    pub stopped: Option<Micros>,
}

impl Task {
    /// Whether the task has its image and has not exited.
    pub fn on_machine(&self) -> bool {
        matches!(
            self.state,
            TaskState::Waiting | TaskState::Running | TaskState::Saving
        )
    }
}

/// A machine and its agent.
pub struct Machine {
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub size: Resources,
    /// When the machine has booted; `Micros::MAX` if it never boots.
    pub up_at: Micros,
    pub provisioned_at: Micros,
    /// Terminated, preempted or killed.
    pub dead: bool,
    pub hung_until: Micros,
    pub incarnation: u64,
    pub sequence: u64,
    pub fencing_token: u64,
    pub tasks: BTreeMap<TaskKey, Task>,
    /// Attempts that ended or were refused, and that are listed beside a later or a live attempt of the same task.
    pub other_attempts: BTreeMap<(TaskKey, u64), Exit>,
    /// Number of start orders that were accepted, for an attempt that the agent did not know.
    pub starts_accepted: u64,
    /// All attempts that were refused, also after they were forgotten.
    pub refused_attempts: BTreeSet<(TaskKey, u64)>,
    /// When the heartbeat was sent whose answer last renewed the lease.
    pub lease_renewed_at: Micros,
    /// Since when heartbeats have been answered without a gap of more than 6 s.
    pub steady_since: Micros,
    /// The controller that the next heartbeat goes to.
    pub target_controller: usize,
    /// Sequence number and time of the heartbeat that waits for its answer.
    pub in_flight: Option<(u64, Micros)>,
    pub next_heartbeat: Micros,
    /// When the cloud preempts the machine, once it has given notice.
    pub preempt_at: Option<Micros>,
}

impl Machine {
    /// Kills and forgets all tasks, as at the end of a lease.
    pub fn clear_tasks(&mut self) {
        self.tasks.clear();
        self.other_attempts.clear();
    }

    /// Whether the agent holds this attempt in any state, refused and exited ones included.
    pub fn holds(&self, task: &TaskKey, attempt: u64) -> bool {
        self.tasks.get(task).is_some_and(|t| t.attempt == attempt)
            || self.other_attempts.contains_key(&(task.clone(), attempt))
    }

    /// Resources that are not taken by tasks, except those that have exited.
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

/// The actual state of machines, jobs and tasks, and the violations of invariants found in it.
pub struct GroundTruth {
    pub machines: BTreeMap<MachineId, Machine>,
    pub jobs: BTreeMap<JobId, JobSpec>,
    pub teams: Vec<Team>,
    /// Completed tasks by job.
    pub completed: BTreeMap<JobId, BTreeSet<u32>>,
    /// Jobs whose specification is wrong, so that their tasks fail on every machine.
    pub failing_jobs: BTreeSet<JobId>,
    /// Failures of such tasks that are not in the coverage counters yet.
    pub failures: u32,
    /// When a user was first told that the job is cancelled.
    pub cancelled: BTreeMap<JobId, Micros>,
    /// Time within which the tasks of a cancelled job must be gone.
    pub cancel_timeout: Micros,
    /// How long a gang member waits for the others before it exits.
    pub gang_wait: Micros,
    /// How long a running gang member goes on without the others before it exits.
    pub gang_peer: Micros,
    pub lease: Micros,
    /// Violated invariants; any entry fails the run.
    pub violations: Vec<String>,
    pub tasks_started: u64,
    /// Tasks that started after their job's cancellation was confirmed, with the time of the confirmation.
    pub started_after_cancellation: Vec<(TaskKey, Micros)>,
    /// Leases that expired while the machine had tasks.
    pub leases_expired: u64,
    /// When the first task of each job started.
    pub first_started_at: BTreeMap<JobId, Micros>,
    /// Machines that may have tasks of a job: an index, so that large simulations need no search.
    pub machines_by_job: BTreeMap<JobId, BTreeSet<MachineId>>,
}

/// All tasks that the agent's heartbeat lists.
fn listed_tasks(machine: &Machine) -> Vec<TaskStatus> {
    let current = machine.tasks.iter().map(|(task, t)| TaskStatus {
        task: task.clone(),
        attempt: t.attempt,
        state: t.state,
    });
    let others = machine.other_attempts.iter();
    let others = others.map(|((task, attempt), exit)| TaskStatus {
        task: task.clone(),
        attempt: *attempt,
        state: TaskState::Exited(*exit),
    });
    current.chain(others).collect()
}

fn task_keys_of(job: &JobId) -> std::ops::RangeInclusive<TaskKey> {
    let at = |index| TaskKey {
        job: job.clone(),
        index,
    };
    at(0)..=at(u32::MAX)
}

impl GroundTruth {
    pub fn heartbeat(&mut self, id: &MachineId) -> Heartbeat {
        let machine = self.machines.get_mut(id).unwrap();
        machine.sequence += 1;
        Heartbeat {
            machine: id.clone(),
            addr: id.to_string(),
            incarnation: machine.incarnation,
            sequence: machine.sequence,
            fencing_token: machine.fencing_token,
            preemption_notice: machine.preempt_at.map(|_| Micros::from_secs(5)),
            tasks: listed_tasks(machine),
        }
    }

    pub fn apply_orders(
        &mut self,
        now: Micros,
        id: &MachineId,
        orders: &[Order],
        fetch_time: Micros,
        refuse_starts: bool,
    ) {
        for o in orders {
            let machine = self.machines.get_mut(id).unwrap();
            match o {
                Order::Start { task, attempt } => {
                    if machine.holds(task, *attempt) {
                        continue;
                    }
                    let Some(spec) = self.jobs.get(&task.job) else {
                        continue;
                    };
                    let free = machine.free(&self.jobs);
                    machine.starts_accepted += 1;
                    match machine.tasks.get(task).map(|t| (t.attempt, t.state)) {
                        Some((former, TaskState::Exited(exit))) => {
                            machine.other_attempts.insert((task.clone(), former), exit);
                        }
                        Some(_) => {
                            let refused = (task.clone(), *attempt);
                            let exit = Exit::OtherAttemptPresent;
                            machine.refused_attempts.insert(refused.clone());
                            machine.other_attempts.insert(refused, exit);
                            continue;
                        }
                        None => {}
                    }
                    let state = if refuse_starts || free.fits(spec.task_resources) < 1 {
                        machine.refused_attempts.insert((task.clone(), *attempt));
                        TaskState::Exited(Exit::NoRoom)
                    } else {
                        TaskState::Fetching
                    };
                    let t = Task {
                        attempt: *attempt,
                        state,
                        until: now + fetch_time,
                        waiting_since: now,
                        stopped: None,
                    };
                    machine.tasks.insert(task.clone(), t);
                    self.machines_by_job
                        .entry(task.job.clone())
                        .or_default()
                        .insert(id.clone());
                }
                Order::Stop {
                    task,
                    attempt,
                    grace,
                } => {
                    let Some(t) = machine
                        .tasks
                        .get_mut(task)
                        .filter(|t| t.attempt == *attempt)
                    else {
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
                    machine.other_attempts.remove(&(task.clone(), *attempt));
                    let ended =
                        |t: &Task| t.attempt == *attempt && matches!(t.state, TaskState::Exited(_));
                    if machine.tasks.get(task).is_some_and(ended) {
                        machine.tasks.remove(task);
                        if machine
                            .tasks
                            .range(task_keys_of(&task.job))
                            .next()
                            .is_none()
                        {
                            self.machines_by_job
                                .get_mut(&task.job)
                                .map(|h| h.remove(id));
                        }
                    }
                }
            }
        }
    }

    pub fn tasks_of_job<'a>(
        &'a self,
        job: &'a JobId,
    ) -> impl Iterator<Item = (&'a MachineId, &'a Machine, u32, &'a Task)> {
        let machine_ids = self.machines_by_job.get(job).into_iter().flatten();
        let up = machine_ids
            .filter_map(|id| self.machines.get_key_value(id))
            .filter(|(_, machine)| !machine.dead);
        up.flat_map(move |(id, machine)| {
            machine
                .tasks
                .range(task_keys_of(job))
                .map(move |(k, t)| (id, machine, k.index, t))
        })
    }

    /// Checks the invariants that hold when a task has its image and starts on a machine.
    fn check_start(&mut self, now: Micros, id: &MachineId, key: &TaskKey) {
        self.tasks_started += 1;
        self.first_started_at.entry(key.job.clone()).or_insert(now);
        let spec = self.jobs[&key.job].clone();
        let machine = &self.machines[id];
        let mut violations = Vec::new();
        let others: Vec<(String, MachineId, u32)> = self
            .tasks_of_job(&key.job)
            .filter(|(m, _, i, t)| t.on_machine() && !(*m == id && *i == key.index))
            .map(|(m, machine, i, _)| (machine.zone.clone(), m.clone(), i))
            .collect();
        if let Some(o) = others.iter().find(|o| o.2 == key.index) {
            violations.push(format!("ran_twice: {key} on {id} and {}", o.1));
        }
        if !spec.allows(&machine.kind, &machine.zone, machine.spot) {
            violations.push(format!("wrong_place: {key} on {id}"));
        }
        if spec.one_zone && others.iter().any(|o| o.0 != machine.zone) {
            violations.push(format!(
                "wrong_place: {key} in another zone than its siblings"
            ));
        }
        let same = others.iter().filter(|o| o.0 == machine.zone).count() as u32 + 1;
        if same > spec.max_tasks_per_zone() {
            violations.push(format!("wrong_place: {key} is task {same} in its zone"));
        }
        if let Some(confirmed) = self.cancelled.get(&key.job) {
            self.started_after_cancellation
                .push((key.clone(), *confirmed));
        }
        if self
            .cancelled
            .get(&key.job)
            .is_some_and(|t| now - *t > self.cancel_timeout)
        {
            violations.push(format!("ran_cancelled: {key} started"));
        }
        let done =
            |n: &JobId| self.completed.get(n).map_or(0, |c| c.len() as u32) == self.jobs[n].tasks;
        if let Some(n) = spec.dependencies.iter().find(|n| !done(n)) {
            violations.push(format!("too_early: {key} started before {n} was done"));
        }
        let team = self.teams.iter().find(|t| t.name == spec.team).unwrap();
        let mut used = Resources::default();
        let limited = team.limit.cpus > 0 || team.limit.gpus > 0;
        for job in self
            .machines_by_job
            .keys()
            .filter(|j| limited && self.jobs[*j].team == team.name)
        {
            used.add(
                self.jobs[job]
                    .task_resources
                    .times(self.tasks_of_job(job).filter(|x| x.3.on_machine()).count() as i64),
            );
        }
        if (team.limit.cpus > 0 && used.cpus > team.limit.cpus)
            || (team.limit.gpus > 0 && used.gpus > team.limit.gpus)
        {
            violations.push(format!(
                "quota: {key} raises the usage to {used:?} in team {}",
                team.name
            ));
        }
        self.violations.extend(
            violations
                .into_iter()
                .map(|b| format!("{:.3} {b}", now.as_secs_decimal())),
        );
    }

    /// When a user was first told that a direct or transitive dependency of the job is cancelled.
    pub fn dependency_cancelled_at(&self, id: &JobId) -> Option<Micros> {
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

    /// Advances machines and tasks to `now`: expired leases, fetched images, completions, failures and gangs.
    pub fn advance(&mut self, now: Micros, work: impl Fn(&JobSpec) -> Micros) {
        let ids: Vec<MachineId> = self.machines.keys().cloned().collect();
        let mut started = Vec::new();
        for id in &ids {
            let machine = self.machines.get_mut(id).unwrap();
            if machine.dead || machine.up_at > now {
                continue;
            }
            if now - machine.lease_renewed_at > self.lease {
                machine.incarnation += 1;
                self.leases_expired += u64::from(machine.tasks.values().any(Task::on_machine));
                machine.clear_tasks();
                machine.lease_renewed_at = now;
                machine.in_flight = None;
            }
            if machine.hung_until > now {
                continue;
            }
            for (k, t) in &mut machine.tasks {
                let spec = &self.jobs[&k.job];
                match t.state {
                    TaskState::Fetching if t.until <= now => {
                        started.push((id.clone(), k.clone()));
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
                            && self.failing_jobs.contains(&k.job)
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
        for (id, key) in started {
            self.check_start(now, &id, &key);
        }
        self.advance_gangs(now, &work);
        for (job, confirmed_at) in self.cancelled.clone() {
            if now - confirmed_at > self.cancel_timeout {
                let left: Vec<String> = self
                    .tasks_of_job(&job)
                    .filter(|x| x.3.on_machine())
                    .map(|(m, _, i, _)| {
                        format!(
                            "{:.3} ran_cancelled: {job}/{i} still on {m}",
                            now.as_secs_decimal()
                        )
                    })
                    .collect();
                self.violations.extend(left);
            }
        }
    }

    fn advance_gangs(&mut self, now: Micros, work: &impl Fn(&JobSpec) -> Micros) {
        let held = self
            .machines_by_job
            .iter()
            .filter(|h| !h.1.is_empty())
            .map(|h| &self.jobs[h.0]);
        let gangs: Vec<JobSpec> = held.filter(|j| j.kind == JobKind::Gang).cloned().collect();
        for spec in gangs {
            let members: Vec<(MachineId, u32, u64, TaskState, Micros, bool)> = self
                .tasks_of_job(&spec.id)
                .map(|(m, machine, i, t)| {
                    (
                        m.clone(),
                        i,
                        t.attempt,
                        t.state,
                        t.until,
                        machine.hung_until > now,
                    )
                })
                .collect();
            let Some(attempt) = members.iter().map(|m| m.2).max() else {
                continue;
            };
            let current: Vec<_> = members.iter().filter(|m| m.2 == attempt).collect();
            let in_state =
                |s: TaskState| current.iter().filter(|m| m.3 == s && !m.5).count() as u32;
            let awake = |m: &&&(MachineId, u32, u64, TaskState, Micros, bool)| !m.5;
            if in_state(TaskState::Waiting) == spec.tasks {
                let until = now + work(&spec);
                for m in &current {
                    let key = TaskKey {
                        job: spec.id.clone(),
                        index: m.1,
                    };
                    let t = self
                        .machines
                        .get_mut(&m.0)
                        .unwrap()
                        .tasks
                        .get_mut(&key)
                        .unwrap();
                    (t.state, t.until) = (TaskState::Running, until);
                }
            } else if in_state(TaskState::Running) == spec.tasks {
                if current.iter().all(|m| m.4 <= now) {
                    let failing = self.failing_jobs.contains(&spec.id);
                    for m in &current {
                        let key = TaskKey {
                            job: spec.id.clone(),
                            index: m.1,
                        };
                        let exit = if failing { Exit::Error } else { Exit::Done };
                        self.machines
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
                // Only some members run: these notice after `gang_peer` and exit.
                let peer = self.gang_peer;
                for m in current
                    .iter()
                    .filter(|m| m.3 == TaskState::Running)
                    .filter(awake)
                {
                    let key = TaskKey {
                        job: spec.id.clone(),
                        index: m.1,
                    };
                    let t = self
                        .machines
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
