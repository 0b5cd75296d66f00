//! Invariants that are checked during a simulated run, and what a test checks at its end: unfinished jobs and jobs
//! that were not served.

use super::{
    ms, BTreeMap, BTreeSet, CloudRequest, Event, JobId, JobKind, JobSpec, MachineId, Micros, Order,
    Resources, RngExt, Simulation, TaskState,
};

impl Simulation {
    /// Accepted jobs that are not in the state they must reach long after the last fault: services run completely or
    /// are cancelled on request, all other jobs have ended.
    pub fn unfinished_jobs(&self) -> Vec<String> {
        let mut unfinished = Vec::new();
        for id in &self.accepted_jobs {
            let spec = &self.ground_truth.jobs[id];
            let done = self
                .ground_truth
                .completed
                .get(id)
                .map_or(0, |c| c.len() as u32)
                == spec.tasks;
            let has_final_state = self.final_states.contains_key(id);
            match spec.kind {
                JobKind::Service if self.cancel_requested.contains(id) && !has_final_state => {
                    unfinished.push(format!("{id} not cancelled"));
                }
                JobKind::Service if !self.cancel_requested.contains(id) => {
                    let up = self
                        .ground_truth
                        .machines
                        .values()
                        .filter(|machine| !machine.dead);
                    let running = up
                        .flat_map(|machine| machine.tasks.iter())
                        .filter(|(k, t)| k.job == *id && t.state == TaskState::Running)
                        .count();
                    if running as u32 != spec.tasks {
                        unfinished.push(format!("{id}: {running} of {} replicas run", spec.tasks));
                    }
                }
                _ if !has_final_state => unfinished.push(format!(
                    "{id} {:?} has no final state (all tasks done: {done}): {spec:?}",
                    spec.kind
                )),
                _ => {}
            }
        }
        unfinished
    }

    /// Groups of jobs that were not served as the operators ask. The groups are all classes, all teams, and the
    /// largest jobs of each class (at least three quarters of the class's largest size). At least half of each group
    /// must have started, and a largest job counts only if it started within four minutes.
    pub fn underserved_groups(&self) -> Vec<String> {
        let counted = |id: &&JobId| {
            let wanted = !self.cancel_requested.contains(*id)
                && self.ground_truth.dependency_cancelled_at(id).is_none();
            wanted || self.ground_truth.first_started_at.contains_key(*id)
        };
        let mut groups: BTreeMap<String, (u32, u32)> = BTreeMap::new();
        for id in self.accepted_jobs.iter().filter(counted) {
            let spec = &self.ground_truth.jobs[id];
            // The wait of a job with dependencies is counted from the end of the last of them.
            let ready = spec
                .dependencies
                .iter()
                .filter_map(|n| self.completed_at.get(n))
                .max()
                .copied()
                .unwrap_or(Micros::ZERO);
            let wait = self
                .ground_truth
                .first_started_at
                .get(id)
                .map(|t| *t - ready.max(self.submitted_at[id]));
            let largest = self
                .accepted_jobs
                .iter()
                .map(|j| &self.ground_truth.jobs[j])
                .filter(|j| j.class == spec.class);
            let size = |j: &JobSpec| i64::from(j.tasks) * j.task_resources.cpus;
            let largest = largest.map(size).max().unwrap_or(0);
            let mut names = vec![
                format!("class {}", spec.class),
                format!("team {}", spec.team),
            ];
            let mut served = wait.is_some();
            if size(spec) * 4 >= largest * 3 {
                served &= wait.is_some_and(|d| d <= ms(240_000));
                names.push(format!("largest of {}", spec.class));
            }
            for n in names {
                let g = groups.entry(n).or_default();
                *g = (g.0 + u32::from(served), g.1 + 1);
            }
        }
        groups
            .into_iter()
            .filter(|(_, (served, all))| served * 2 < *all)
            .map(|(n, (served, all))| format!("{n}: {served} of {all}"))
            .collect()
    }

    pub fn accepted_jobs(&self) -> usize {
        self.accepted_jobs.len()
    }

    pub(super) fn track_completions(&mut self) {
        let complete = |(id, done): (&JobId, &BTreeSet<u32>)| {
            done.len() as u32 == self.ground_truth.jobs[id].tasks
        };
        let ended: Vec<JobId> = self
            .ground_truth
            .completed
            .iter()
            .filter(|c| !self.completed_at.contains_key(c.0) && complete(*c))
            .map(|c| c.0.clone())
            .collect();
        for job in ended {
            self.completed_at.insert(job.clone(), self.now);
            self.poll_everywhere_if_enabled(&job);
            if self.now < self.cancel_at_completion_until
                && self.accepted_jobs.contains(&job)
                && !self.final_states.contains_key(&job)
            {
                self.cover("a cancellation, a question and a submission met a job's end");
                self.cancel_requested.insert(job.clone());
                for k in 0..4 {
                    let d = ms(self.rng.random_range(0..500));
                    self.schedule_after(d, Event::Cancel { job: job.clone() });
                    let event = if k == 0 {
                        Event::Submit { job: job.clone() }
                    } else {
                        Event::Poll { job: job.clone() }
                    };
                    let d = ms(self.rng.random_range(0..500));
                    self.schedule_after(d, event);
                }
            }
        }
    }

    /// Invariant: a controller that calls the cloud under a duty holds that duty's claim in the store.
    pub(super) fn check_duty(&mut self, controller: usize, request: &CloudRequest) {
        let claim = match request {
            CloudRequest::Terminate { .. } => "duty/claim/returning",
            CloudRequest::MachineTypes
            | CloudRequest::ListMachines { .. }
            | CloudRequest::Provision { .. } => "duty/claim/renting",
        };
        self.cover("a duty acted on the cloud");
        if self.holder(claim) != Some(controller) {
            let t = self.now.as_secs_decimal();
            self.ground_truth.violations.push(format!(
                "{t:.3} n{controller} calls the cloud without holding {claim}: {request:?}"
            ));
        }
    }

    pub(super) fn track_claims(&mut self) {
        let shards = (0..self.scale.controllers).map(|k| format!("share/{k}"));
        for claim in shards.chain(["leader".to_owned()]) {
            let version = self.store.keys.get(&claim).map(|v| v.1);
            let known = self.claims.entry(claim.clone()).or_insert((None, self.now));
            if known.0 == version {
                continue;
            }
            *known = (version, self.now);
            if version.is_some() {
                self.cover("a claim was taken");
                if claim == "leader" {
                    self.cover("leadership was taken");
                }
                self.deliver_kept_heartbeats(&claim);
            }
        }
    }

    /// Delivers copies of old heartbeats to every controller as a claim is acquired, and once more to the new holder
    /// within the next 4 s, when it has begun to act.
    fn deliver_kept_heartbeats(&mut self, claim: &str) {
        let Some(holder) = self.holder(claim) else {
            return;
        };
        for (sent, heartbeat) in std::mem::take(&mut self.kept_heartbeats) {
            self.cover("an old report reached every controller as a claim was taken");
            for controller in 0..self.scale.controllers {
                let soon = ms(self.rng.random_range(0..200));
                self.schedule_after(
                    soon,
                    Event::DuplicateHeartbeat {
                        controller,
                        sent,
                        heartbeat: Box::new(heartbeat.clone()),
                    },
                );
            }
            let later = ms(self.rng.random_range(500..4_000));
            self.schedule_after(
                later,
                Event::DuplicateHeartbeat {
                    controller: holder,
                    sent,
                    heartbeat: Box::new(heartbeat),
                },
            );
        }
    }

    /// The claim on the shard that the job's team belongs to.
    pub fn shard_claim(&self, job: &JobId) -> &'static str {
        let shard = self
            .settings
            .shard_of(&self.ground_truth.jobs[job].team)
            .expect("the team of the job is configured");
        ["share/0", "share/1", "share/2"][shard]
    }

    /// For each job with dependencies that was started: the time from the stored end of its last dependency, or from
    /// its own submission if that is later, to the first order that starts one of its tasks. Sorted.
    pub fn dependency_waits(&self) -> Vec<Micros> {
        let mut waits = Vec::new();
        for (job, ordered) in &self.first_start_ordered {
            let dependencies = &self.ground_truth.jobs[job].dependencies;
            let last = dependencies
                .iter()
                .filter_map(|n| self.ended_in_store.get(n))
                .max();
            if let Some(last) = last {
                waits.push(*ordered - (*last).max(self.submitted_at[job]));
            }
        }
        waits.sort();
        waits
    }

    /// The number of stored keys with this prefix.
    pub fn count_keys(&self, prefix: &str) -> usize {
        self.store
            .keys
            .keys()
            .filter(|k| k.starts_with(prefix))
            .count()
    }

    /// Whether the claim is free or was acquired or released less than 3 s ago.
    pub(super) fn recently_transferred(&self, claim: &str) -> bool {
        self.claims
            .get(claim)
            .is_some_and(|(v, since)| v.is_none() || self.now - *since < ms(3_000))
    }

    /// Invariant: no controller orders the start of a job that it has itself reported as cancelled, whatever faults
    /// there are.
    pub(super) fn check_orders(&mut self, controller: usize, orders: &[Order]) {
        for o in orders {
            let Order::Start { task, .. } = o else {
                continue;
            };
            self.first_start_ordered
                .entry(task.job.clone())
                .or_insert(self.now);
            if self.controllers[controller]
                .reported_cancelled
                .contains(&task.job)
            {
                let t = self.now.as_secs_decimal();
                let violation = format!(
                    "{t:.3} start of {task} ordered by n{controller}, which had reported the job as cancelled"
                );
                self.ground_truth.violations.push(violation);
            }
        }
    }

    /// Invariant: whoever owns a machine has a higher fencing token than all that any other controller has ever sent it.
    /// Checked at each reply and command against the owner by the store at that moment.
    pub(super) fn check_fencing_token(&mut self, controller: usize, id: &MachineId, token: u64) {
        let Some((record, machine_version, _)) = self.store.keys.get(&format!("machine/{id}"))
        else {
            return;
        };
        let Some(shard) = record.get("share").and_then(serde_json::Value::as_u64) else {
            return;
        };
        let claim = format!("share/{shard}");
        let Some(claim_version) = self.claim_version(&claim) else {
            return;
        };
        if self.holder(&claim) == Some(controller) {
            return;
        }
        let owner_token = claim_version.max(*machine_version);
        if token >= owner_token {
            let t = self.now.as_secs_decimal();
            self.ground_truth.violations.push(format!(
                "{t:.3} n{controller} sent {id} token {token}, and its owner by {claim} has {owner_token}"
            ));
        }
    }

    /// Counts starts after a confirmed cancellation. Invariant: once the faults are over, a start that was in flight
    /// as the job was cancelled is stopped by the answer to the next heartbeat, so no task starts later than that.
    pub(super) fn check_late_starts(&mut self) {
        let check_from = self.faults_end + ms(30_000);
        let at_most = self.settings.heartbeat_interval.times(5).divided_by(2) + ms(1_000);
        for (task, confirmed) in std::mem::take(&mut self.ground_truth.started_after_cancellation) {
            self.cover("a task started after its cancellation was confirmed");
            if confirmed > check_from && self.now - confirmed > at_most {
                let t = self.now.as_secs_decimal();
                self.ground_truth.violations.push(format!(
                    "{t:.3} {task} started although its job was reported as cancelled at {confirmed:?}"
                ));
            }
        }
    }

    /// Invariant: the store has no record of a job that can never run.
    pub(super) fn check_invalid_jobs(&mut self) {
        for id in &self.invalid_jobs {
            if self.store.keys.contains_key(&format!("job/{id}"))
                || self.store.keys.contains_key(&format!("end/{id}"))
            {
                self.ground_truth
                    .violations
                    .push(format!("accepted although it can never run: {id}"));
            }
        }
    }

    /// Invariant: once the faults are over, polls about an accepted job are answered at least every 75 s.
    pub(super) fn check_answered(&mut self) {
        // Users stop polling 100 s after the last fault.
        if self.now > self.faults_end + ms(100_000) {
            return;
        }
        let forgotten = |id: &&JobId| {
            let last = self
                .last_answered
                .get(*id)
                .copied()
                .unwrap_or(Micros::ZERO)
                .max(self.faults_end);
            !self.final_states.contains_key(*id) && self.now - last > ms(75_000)
        };
        let forgotten: Vec<String> = self
            .accepted_jobs
            .iter()
            .filter(forgotten)
            .map(|id| format!("forgotten: no request about {id} was answered for 75 s"))
            .collect();
        self.ground_truth.violations.extend(forgotten);
    }

    /// Invariant: once the faults are over, no job waits for 90 s while the same suitable machine has room and its
    /// team is below its limit. Gangs of several tasks and jobs with zone constraints are not checked.
    pub(super) fn check_waiting_jobs(&mut self) {
        let since = self.faults_end + ms(30_000);
        if self.now < since || self.now.0 / 100_000 % 10 != 0 {
            return;
        }
        let mut used: BTreeMap<&str, Resources> = BTreeMap::new();
        let mut room: BTreeMap<&MachineId, Resources> = BTreeMap::new();
        let mut placed: BTreeMap<&JobId, u32> = BTreeMap::new();
        for (id, machine) in self
            .ground_truth
            .machines
            .iter()
            .filter(|(_, machine)| !machine.dead && machine.up_at <= self.now)
        {
            for (k, _) in machine
                .tasks
                .iter()
                .filter(|(_, t)| !matches!(t.state, TaskState::Exited(_)))
            {
                let spec = &self.ground_truth.jobs[&k.job];
                used.entry(&spec.team).or_default().add(spec.task_resources);
                *placed.entry(&k.job).or_default() += 1;
            }
            room.insert(id, machine.free(&self.ground_truth.jobs));
        }
        let mut waits = BTreeSet::new();
        let wanted = |id: &&JobId| {
            !self.cancel_requested.contains(*id) && !self.final_states.contains_key(*id)
        };
        for id in self.accepted_jobs.iter().filter(wanted) {
            let spec = &self.ground_truth.jobs[id];
            if spec
                .dependencies
                .iter()
                .any(|n| !self.completed_at.contains_key(n))
            {
                continue;
            }
            let done = self
                .ground_truth
                .completed
                .get(id)
                .map_or(0, |c| c.len() as u32);
            let multi_task_gang = spec.kind == JobKind::Gang && spec.tasks > 1;
            if multi_task_gang
                || spec.one_zone
                || spec.spread
                || done + placed.get(id).copied().unwrap_or(0) >= spec.tasks
            {
                continue;
            }
            let team = self
                .ground_truth
                .teams
                .iter()
                .find(|t| t.name == spec.team)
                .unwrap();
            let mut sum = used.get(spec.team.as_str()).copied().unwrap_or_default();
            sum.add(spec.task_resources);
            let below_limit = team.limit.cpus == 0 || sum.cpus <= team.limit.cpus;
            let fits = |m: &MachineId, free: &Resources| {
                let machine = &self.ground_truth.machines[m];
                spec.allows(&machine.kind, &machine.zone, machine.spot)
                    && free.fits(spec.task_resources) > 0
                    && machine.preempt_at.is_none()
            };
            for (m, _) in room.iter().filter(|(m, free)| below_limit && fits(m, free)) {
                waits.insert((id.clone(), (*m).clone()));
            }
        }
        self.waiting_with_room.retain(|id, _| waits.contains(id));
        for (id, m) in waits {
            let since = *self
                .waiting_with_room
                .entry((id.clone(), m.clone()))
                .or_insert(self.now);
            if self.now - since > ms(90_000) {
                let spec = &self.ground_truth.jobs[&id];
                let t = self.now.as_secs_decimal();
                self.ground_truth.violations.push(format!(
                    "{t:.3} waiting for 90 s although {m} has room: {spec:?}"
                ));
            }
        }
    }
}
