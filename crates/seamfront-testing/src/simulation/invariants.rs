//! Checks of the whole world: what is still owed at the end, who was not served, who is passed over.

use super::{
    ms, BTreeMap, BTreeSet, CloudRequest, Event, JobId, JobKind, JobSpec, MachineId, Micros, Order,
    Resources, RngExt, Simulation, TaskState,
};

impl Simulation {
    /// What is still owed once everything has been quiet for long.
    pub fn owed(&self) -> Vec<String> {
        let mut owed = Vec::new();
        for id in &self.accepted {
            let spec = &self.truth.jobs[id];
            let done = self.truth.completed.get(id).map_or(0, |c| c.len() as u32) == spec.tasks;
            let over = self.final_answers.contains_key(id);
            match spec.kind {
                JobKind::Service if self.wants_cancel.contains(id) && !over => {
                    owed.push(format!("{id} not cancelled"));
                }
                JobKind::Service if !self.wants_cancel.contains(id) => {
                    let up = self.truth.workers.values().filter(|w| !w.dead);
                    let running = up
                        .flat_map(|w| w.tasks.iter())
                        .filter(|(k, t)| k.job == *id && t.state == TaskState::Running)
                        .count();
                    if running as u32 != spec.tasks {
                        owed.push(format!("{id}: {running} of {} replicas run", spec.tasks));
                    }
                }
                _ if !over => owed.push(format!(
                    "{id} {:?} not over (done {done}): {spec:?}",
                    spec.kind
                )),
                _ => {}
            }
        }
        owed
    }

    /// Classes, teams and the largest jobs of each class that were not served as the operators ask:
    /// at least half of each, and the largest begun within four minutes.
    pub fn not_served(&self) -> Vec<String> {
        let asked = |id: &&JobId| {
            let wanted = !self.wants_cancel.contains(*id) && self.truth.called_off(id).is_none();
            wanted || self.truth.began.contains_key(*id)
        };
        let mut groups: BTreeMap<String, (u32, u32)> = BTreeMap::new();
        for id in self.accepted.iter().filter(asked) {
            let spec = &self.truth.jobs[id];
            // What waits for others may begin once the last of them is done.
            let ready = spec
                .dependencies
                .iter()
                .filter_map(|n| self.ended.get(n))
                .max()
                .copied()
                .unwrap_or(Micros::ZERO);
            let began = self
                .truth
                .began
                .get(id)
                .map(|t| *t - ready.max(self.submitted[id]));
            let largest = self
                .accepted
                .iter()
                .map(|j| &self.truth.jobs[j])
                .filter(|j| j.class == spec.class);
            let size = |j: &JobSpec| i64::from(j.tasks) * j.task_resources.cpus;
            let largest = largest.map(size).max().unwrap_or(0);
            let mut names = vec![
                format!("class {}", spec.class),
                format!("team {}", spec.team),
            ];
            let mut served = began.is_some();
            if size(spec) * 4 >= largest * 3 {
                served &= began.is_some_and(|d| d <= ms(240_000));
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

    pub fn accepted(&self) -> usize {
        self.accepted.len()
    }

    pub(super) fn follow_completions(&mut self) {
        let over =
            |(id, done): (&JobId, &BTreeSet<u32>)| done.len() as u32 == self.truth.jobs[id].tasks;
        let ended: Vec<JobId> = self
            .truth
            .completed
            .iter()
            .filter(|c| !self.ended.contains_key(c.0) && over(*c))
            .map(|c| c.0.clone())
            .collect();
        for job in ended {
            self.ended.insert(job.clone(), self.now);
            self.look_closely(&job);
            if self.now < self.cancel_at_completion
                && self.accepted.contains(&job)
                && !self.final_answers.contains_key(&job)
            {
                self.cover("a cancellation, a question and a submission met a job's end");
                self.wants_cancel.insert(job.clone());
                for k in 0..4 {
                    let d = ms(self.rng.random_range(0..500));
                    self.after(d, Event::Cancel { job: job.clone() });
                    let event = if k == 0 {
                        Event::Submit { job: job.clone() }
                    } else {
                        Event::Poll { job: job.clone() }
                    };
                    let d = ms(self.rng.random_range(0..500));
                    self.after(d, event);
                }
            }
        }
    }

    /// Whoever acts on the cloud under a duty holds it, and so by the store.
    pub(super) fn check_duty(&mut self, node: usize, request: &CloudRequest) {
        let claim = match request {
            CloudRequest::Terminate { .. } => "duty/claim/returning",
            CloudRequest::MachineTypes
            | CloudRequest::ListMachines { .. }
            | CloudRequest::Provision { .. } => "duty/claim/renting",
        };
        self.cover("a duty acted on the cloud");
        if self.holder(claim) != Some(node) {
            let t = self.now.as_secs_decimal();
            self.truth
                .broken
                .push(format!("{t:.3} n{node} acts without {claim}: {request:?}"));
        }
    }

    pub(super) fn follow_claims(&mut self) {
        let shards = (0..self.scale.nodes).map(|k| format!("share/{k}"));
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
                self.deliver_kept_reports(&claim);
            }
        }
    }

    /// To every controller as the claim is taken, and once more to its holder when it has begun to act.
    fn deliver_kept_reports(&mut self, claim: &str) {
        let Some(holder) = self.holder(claim) else {
            return;
        };
        for (sent, heartbeat) in std::mem::take(&mut self.kept_reports) {
            self.cover("an old report reached every controller as a claim was taken");
            for node in 0..self.scale.nodes {
                let soon = ms(self.rng.random_range(0..200));
                self.after(
                    soon,
                    Event::DuplicateReport {
                        node,
                        sent,
                        heartbeat: Box::new(heartbeat.clone()),
                    },
                );
            }
            let later = ms(self.rng.random_range(500..4_000));
            self.after(
                later,
                Event::DuplicateReport {
                    node: holder,
                    sent,
                    heartbeat: Box::new(heartbeat),
                },
            );
        }
    }

    /// The claim on the share of a job's team.
    pub fn shard_key(&self, job: &JobId) -> &'static str {
        let shard = self
            .settings
            .shard_of(&self.truth.jobs[job].team)
            .expect("a known team");
        ["share/0", "share/1", "share/2"][shard]
    }

    /// Of each job that needs others and was started: from the durable end of the last of those, or its own submission
    /// if that is later, to the order of its first start.
    pub fn waits_after_needs(&self) -> Vec<Micros> {
        let mut waits = Vec::new();
        for (job, ordered) in &self.first_orders {
            let dependencies = &self.truth.jobs[job].dependencies;
            let last = dependencies
                .iter()
                .filter_map(|n| self.durable_ends.get(n))
                .max();
            if let Some(last) = last {
                waits.push(*ordered - (*last).max(self.submitted[job]));
            }
        }
        waits.sort();
        waits
    }

    /// How many keys with this prefix the state service holds.
    pub fn stored(&self, prefix: &str) -> usize {
        self.store
            .keys
            .keys()
            .filter(|k| k.starts_with(prefix))
            .count()
    }

    /// A claim that nobody holds, or that was taken a moment ago.
    pub(super) fn changes_hands(&self, claim: &str) -> bool {
        self.claims
            .get(claim)
            .is_some_and(|(v, since)| v.is_none() || self.now - *since < ms(3_000))
    }

    /// No controller orders a start of a job that it has itself called cancelled, however troubled the times.
    pub(super) fn check_orders(&mut self, node: usize, orders: &[Order]) {
        for o in orders {
            let Order::Start { task, .. } = o else {
                continue;
            };
            self.first_orders
                .entry(task.job.clone())
                .or_insert(self.now);
            if self.nodes[node].called_cancelled.contains(&task.job) {
                let t = self.now.as_secs_decimal();
                let bad = format!(
                    "{t:.3} start of {task} ordered by n{node}, which had called the job cancelled"
                );
                self.truth.broken.push(bad);
            }
        }
    }

    /// Starts after a confirmed cancellation are counted. Once the troubles are over, what was under way as the
    /// job was called off is stopped with the next reply: no start comes later than that.
    pub(super) fn check_late_starts(&mut self) {
        let settled = self.quiet_from + ms(30_000);
        let at_most = self.settings.heartbeat_interval.times(5).over(2) + ms(1_000);
        for (task, confirmed) in std::mem::take(&mut self.truth.started_cancelled) {
            self.cover("a task started after its cancellation was confirmed");
            if confirmed > settled && self.now - confirmed > at_most {
                let t = self.now.as_secs_decimal();
                self.truth.broken.push(format!(
                    "{t:.3} {task} started though cancelled at {confirmed:?}"
                ));
            }
        }
    }

    /// What can never run is in no record of the state service.
    pub(super) fn check_impossible_jobs(&mut self) {
        for id in &self.impossible {
            if self.store.keys.contains_key(&format!("job/{id}"))
                || self.store.keys.contains_key(&format!("end/{id}"))
            {
                self.truth
                    .broken
                    .push(format!("accepted though it can never run: {id}"));
            }
        }
    }

    /// Once all troubles are over, an accepted job is answered for at least every 75 s. Silence counts too.
    pub(super) fn check_answered(&mut self) {
        // Users poll on until then.
        if self.now > self.quiet_from + ms(100_000) {
            return;
        }
        let forgotten = |id: &&JobId| {
            let last = self
                .answered
                .get(*id)
                .copied()
                .unwrap_or(Micros::ZERO)
                .max(self.quiet_from);
            !self.final_answers.contains_key(*id) && self.now - last > ms(75_000)
        };
        let forgotten: Vec<String> = self
            .accepted
            .iter()
            .filter(forgotten)
            .map(|id| format!("forgotten: {id} was not answered for"))
            .collect();
        self.truth.broken.extend(forgotten);
    }

    /// Once the troubles are over, no job is left waiting for 90 s while a machine that fits has room and
    /// its team is under its limit. Gangs that need several places at once are not judged.
    pub(super) fn check_waiting_jobs(&mut self) {
        let since = self.quiet_from + ms(30_000);
        if self.now < since || self.now.0 / 100_000 % 10 != 0 {
            return;
        }
        let mut used: BTreeMap<&str, Resources> = BTreeMap::new();
        let mut room: BTreeMap<&MachineId, Resources> = BTreeMap::new();
        let mut placed: BTreeMap<&JobId, u32> = BTreeMap::new();
        for (id, w) in self
            .truth
            .workers
            .iter()
            .filter(|(_, w)| !w.dead && w.up_at <= self.now)
        {
            for (k, _) in w
                .tasks
                .iter()
                .filter(|(_, t)| !matches!(t.state, TaskState::Exited(_)))
            {
                let spec = &self.truth.jobs[&k.job];
                used.entry(&spec.team).or_default().add(spec.task_resources);
                *placed.entry(&k.job).or_default() += 1;
            }
            room.insert(id, w.free(&self.truth.jobs));
        }
        let mut waits = BTreeSet::new();
        let wanted =
            |id: &&JobId| !self.wants_cancel.contains(*id) && !self.final_answers.contains_key(*id);
        for id in self.accepted.iter().filter(wanted) {
            let spec = &self.truth.jobs[id];
            if spec
                .dependencies
                .iter()
                .any(|n| !self.ended.contains_key(n))
            {
                continue;
            }
            let done = self.truth.completed.get(id).map_or(0, |c| c.len() as u32);
            let whole = spec.kind == JobKind::Gang && spec.tasks > 1;
            if whole
                || spec.one_zone
                || spec.spread
                || done + placed.get(id).copied().unwrap_or(0) >= spec.tasks
            {
                continue;
            }
            let team = self
                .truth
                .teams
                .iter()
                .find(|t| t.name == spec.team)
                .unwrap();
            let mut sum = used.get(spec.team.as_str()).copied().unwrap_or_default();
            sum.add(spec.task_resources);
            let under = team.limit.cpus == 0 || sum.cpus <= team.limit.cpus;
            let fits = |m: &MachineId, free: &Resources| {
                let w = &self.truth.workers[m];
                spec.allows(&w.kind, &w.zone, w.spot)
                    && free.fits(spec.task_resources) > 0
                    && w.notice_at.is_none()
            };
            for (m, _) in room.iter().filter(|(m, free)| under && fits(m, free)) {
                waits.insert((id.clone(), (*m).clone()));
            }
        }
        self.passed_over.retain(|id, _| waits.contains(id));
        for (id, m) in waits {
            let since = *self
                .passed_over
                .entry((id.clone(), m.clone()))
                .or_insert(self.now);
            if self.now - since > ms(90_000) {
                let spec = &self.truth.jobs[&id];
                let t = self.now.as_secs_decimal();
                self.truth.broken.push(format!(
                    "{t:.3} left waiting for 90 s though {m} has room: {spec:?}"
                ));
            }
        }
    }
}
