//! The requests of users, and the invariants on the answers they get.

use super::{
    ms, Answer, ClientRequestId, Command, Controller, Event, JobId, JobState, Machine, Micros,
    PendingRequest, PollStorm, Resources, RngExt, Simulation,
};

/// The usual interval between two polls about a job.
const USUAL_POLL_INTERVAL_MS: i64 = 6_000;
/// Interval between two steps of a poll storm.
const POLL_STORM_STEP_MS: i64 = 200;

impl Simulation {
    /// Controllers whose process runs.
    fn running_controllers(&self) -> Vec<usize> {
        (0..self.scale.controllers)
            .filter(|k| self.controllers[*k].engine.is_some())
            .collect()
    }

    /// Sends a request to a random running controller. All but invalid submissions are repeated every 6 s, polls until
    /// 100 s after the faults have ended.
    pub(super) fn send_request(
        &mut self,
        request: PendingRequest,
        command: impl FnOnce(ClientRequestId) -> Command,
    ) {
        let up = self.running_controllers();
        let again = match &request {
            PendingRequest::Submit { job } => Event::Submit { job: job.clone() },
            PendingRequest::Poll { job } => Event::Poll { job: job.clone() },
            PendingRequest::Cancel { job } => Event::Cancel { job: job.clone() },
            PendingRequest::InvalidSubmission => Event::InvalidRequest,
            PendingRequest::Heartbeat { .. } => {
                unreachable!("heartbeats are sent by send_heartbeat")
            }
        };
        if up.is_empty() {
            return self.schedule_after(ms(1_500), again);
        }
        let controller = up[self.rng.random_range(0..up.len())];
        self.next_request_id += 1;
        let to = self.next_request_id;
        let generation = self.controllers[controller].generation;
        // Repeated later, since the answer may be lost in a crash.
        let asks_again = !matches!(request, PendingRequest::Poll { .. })
            || self.now < self.faults_end + ms(100_000);
        if asks_again && !matches!(request, PendingRequest::InvalidSubmission) {
            self.schedule_after(ms(6_000), again);
        }
        self.pending_requests
            .insert((controller, generation, to), (request, self.now));
        let d = self.network_delay() + self.processing_delay(controller);
        self.schedule_after(
            d,
            Event::DeliverCommand {
                controller,
                generation,
                command: Box::new(command(to)),
            },
        );
    }

    /// Sends a request to one controller, without repeating it.
    fn send_request_once(
        &mut self,
        controller: usize,
        request: PendingRequest,
        command: impl FnOnce(ClientRequestId) -> Command,
    ) {
        self.next_request_id += 1;
        let (to, generation) = (
            self.next_request_id,
            self.controllers[controller].generation,
        );
        self.pending_requests
            .insert((controller, generation, to), (request, self.now));
        let d = Micros(self.rng.random_range(200..4_000)) + self.processing_delay(controller);
        self.schedule_after(
            d,
            Event::DeliverCommand {
                controller,
                generation,
                command: Box::new(command(to)),
            },
        );
    }

    /// While `Fault::PollEverywhere` is active, users poll all controllers three times within milliseconds.
    pub(super) fn poll_everywhere_if_enabled(&mut self, job: &JobId) {
        if self.now >= self.poll_everywhere_until || !self.accepted_jobs.contains(job) {
            return;
        }
        self.cover("users asked at all controllers within milliseconds");
        for at in [0, 4, 25] {
            self.schedule_after(ms(at), Event::PollEverywhere { job: job.clone() });
        }
        if self.rng.random_range(0..5) == 0 {
            self.cancel_requested.insert(job.clone());
            self.schedule_after(ms(2), Event::Cancel { job: job.clone() });
        }
    }

    /// Polls and resubmits the job once at every running controller.
    pub(super) fn poll_and_resubmit_everywhere(&mut self, job: &JobId) {
        for controller in self.running_controllers() {
            let (id, spec) = (job.clone(), Box::new(self.ground_truth.jobs[job].clone()));
            self.send_request_once(
                controller,
                PendingRequest::Poll { job: job.clone() },
                |to| Command::Poll { to, id },
            );
            self.send_request_once(
                controller,
                PendingRequest::Submit { job: job.clone() },
                |to| Command::Submit { to, spec },
            );
        }
    }

    /// Polls random controllers about each unfinished job, in addition to the usual polls every few seconds.
    pub(super) fn poll_storm_step(&mut self) {
        let PollStorm { until, factor } = self.poll_storm;
        if self.now >= until {
            return;
        }
        self.schedule_after(ms(POLL_STORM_STEP_MS), Event::PollStormStep);
        let up = self.running_controllers();
        let open: Vec<JobId> = self
            .accepted_jobs
            .iter()
            .filter(|j| !self.final_states.contains_key(*j))
            .cloned()
            .collect();
        for job in open.iter().filter(|_| !up.is_empty()) {
            for _ in 0..factor {
                if self.rng.random_range(0..USUAL_POLL_INTERVAL_MS) >= POLL_STORM_STEP_MS {
                    continue;
                }
                self.cover("a question was asked besides the usual ones");
                let controller = up[self.rng.random_range(0..up.len())];
                let id = job.clone();
                self.send_request_once(
                    controller,
                    PendingRequest::Poll { job: job.clone() },
                    |to| Command::Poll { to, id },
                );
            }
        }
    }

    /// Sends requests that users make by mistake: a repeated submission, the cancellation of an ended job, a job that
    /// can never run.
    pub(super) fn send_invalid_request(&mut self) {
        if self.now >= self.invalid_requests_until {
            return;
        }
        self.schedule_after(ms(700), Event::InvalidRequest);
        let known: Vec<JobId> = self.accepted_jobs.iter().cloned().collect();
        if known.is_empty() {
            return;
        }
        let job = known[self.rng.random_range(0..known.len())].clone();
        match self.final_states.get(&job) {
            None => {
                self.cover("an unfinished job was submitted again");
                self.schedule_at(self.now, Event::Submit { job });
            }
            Some((JobState::Done, _)) => {
                self.cover("a job that is done was cancelled");
                self.schedule_at(self.now, Event::Cancel { job });
            }
            Some(_) => self.schedule_at(self.now, Event::Submit { job }),
        }
        let n = self.rng.random_range(500_000..999_999);
        let mut spec = self.job(n);
        match self.rng.random_range(0..3) {
            0 => spec.task_resources = Resources::rounded_up(900.0, 0.0, 1.0),
            1 => spec.team = "nobody".into(),
            _ => spec.types = Some(vec!["none".into()]),
        }
        self.invalid_jobs.insert(spec.id.clone());
        self.send_request(PendingRequest::InvalidSubmission, |to| Command::Submit {
            to,
            spec: Box::new(spec),
        });
    }

    /// Checks an answer against the invariants. A non-final state after a final one is a violation only if the request
    /// was sent after the final answer had been given.
    pub(super) fn check_user_answer(
        &mut self,
        request: PendingRequest,
        requested_at: Micros,
        answer: Answer,
    ) {
        let (job, submit) = match request {
            PendingRequest::Submit { job } => (job, true),
            PendingRequest::Poll { job } | PendingRequest::Cancel { job } => (job, false),
            PendingRequest::InvalidSubmission => {
                if matches!(answer, Answer::Status { .. } | Answer::NotFound) {
                    self.ground_truth
                        .violations
                        .push(format!("accepted although it can never run: {answer:?}"));
                }
                return;
            }
            PendingRequest::Heartbeat { .. } => return,
        };
        let mut violations = Vec::new();
        if self.accepted_jobs.contains(&job) && !matches!(answer, Answer::RetryLater { .. }) {
            self.last_answered.insert(job.clone(), self.now);
        }
        match answer {
            Answer::Status { state, .. } => {
                if submit {
                    if self.accepted_jobs.insert(job.clone()) {
                        self.last_answered.insert(job.clone(), self.now);
                        self.poll_everywhere_if_enabled(&job);
                        self.schedule_after(ms(3_000), Event::Poll { job: job.clone() });
                    }
                } else if !self.accepted_jobs.contains(&job) {
                    violations.push(format!("invented: {job} was never accepted"));
                }
                if let Some((old, since)) = self.final_states.get(&job) {
                    let final_too = matches!(state, JobState::Done | JobState::Cancelled);
                    if *old != state && (final_too || requested_at >= *since) {
                        violations.push(format!("went_back: {job} from {old:?} to {state:?}"));
                    }
                }
                let done = self
                    .ground_truth
                    .completed
                    .get(&job)
                    .map_or(0, |c| c.len() as u32);
                if let Some(since) = self.ground_truth.dependency_cancelled_at(&job) {
                    if state != JobState::Cancelled
                        && requested_at > since + self.settings.cancellation_time
                    {
                        violations.push(format!(
                            "orphaned: {job} reported as {state:?} after a dependency was cancelled"
                        ));
                    }
                    if state == JobState::Cancelled {
                        self.cover("a job was cancelled with one that it needs");
                    }
                }
                match state {
                    JobState::Done => {
                        if done < self.ground_truth.jobs[&job].tasks {
                            violations.push(format!("not_done: {job} with {done} tasks done"));
                        }
                        self.final_states.entry(job).or_insert((state, self.now));
                    }
                    JobState::Cancelled => {
                        if !self.cancel_requested.contains(&job)
                            && !self.dependency_cancel_requested(&job)
                        {
                            violations
                                .push(format!("went_back: {job} cancelled without a request"));
                        }
                        let runs = |machine: &Machine| {
                            machine
                                .tasks
                                .iter()
                                .any(|(k, t)| k.job == job && t.on_machine())
                        };
                        let runs = self
                            .ground_truth
                            .machines
                            .values()
                            .any(|machine| !machine.dead && runs(machine));
                        if !self.ground_truth.cancelled.contains_key(&job) && runs {
                            let cut_off = |n: &Controller| {
                                n.store_refuses_until.max(n.store_cut.0) > self.now
                            };
                            if self.controllers.iter().any(cut_off) {
                                self.cover(
                                    "a running job was cancelled while a controller was refused",
                                );
                            }
                        }
                        let first = !self.ground_truth.cancelled.contains_key(&job);
                        if first && runs && self.shard_recently_transferred(&job) {
                            self.cover("a running job was cancelled as its share changed hands");
                        }
                        self.ground_truth
                            .cancelled
                            .entry(job.clone())
                            .or_insert(self.now);
                        self.final_states
                            .entry(job.clone())
                            .or_insert((state, self.now));
                        if first {
                            self.poll_everywhere_if_enabled(&job);
                        }
                    }
                    _ => {}
                }
            }
            Answer::NotFound | Answer::Rejected(_) if self.accepted_jobs.contains(&job) => {
                violations.push(format!(
                    "forgotten: {job} was accepted and is now unknown or rejected"
                ));
            }
            _ => {}
        }
        self.ground_truth.violations.extend(violations);
    }

    fn shard_recently_transferred(&self, job: &JobId) -> bool {
        let shard = self.settings.shard_of(&self.ground_truth.jobs[job].team);
        shard.is_some_and(|k| self.recently_transferred(&format!("share/{k}")))
    }

    /// Whether users have cancelled a direct or transitive dependency of this job.
    pub(super) fn dependency_cancel_requested(&self, id: &JobId) -> bool {
        self.ground_truth.jobs[id]
            .dependencies
            .iter()
            .any(|n| self.cancel_requested.contains(n) || self.dependency_cancel_requested(n))
    }
}
