//! Users: what they ask, and the rules on what they are told.

use super::{
    ms, Answer, Asked, ClientRequestId, Command, Event, JobId, JobState, Micros, Node, PollStorm,
    Resources, RngExt, Simulation, Worker,
};

/// How often a user asks as a rule.
const USUAL_POLL_MS: i64 = 6_000;
const STORM_STEP_MS: i64 = 200;

impl Simulation {
    /// Controllers whose process runs.
    fn nodes_up(&self) -> Vec<usize> {
        (0..self.scale.nodes)
            .filter(|k| self.nodes[*k].engine.is_some())
            .collect()
    }

    pub(super) fn ask(&mut self, asked: Asked, command: impl FnOnce(ClientRequestId) -> Command) {
        let up = self.nodes_up();
        let again = match &asked {
            Asked::Submit { job } => Event::Submit { job: job.clone() },
            Asked::Poll { job } => Event::Poll { job: job.clone() },
            Asked::Cancel { job } => Event::Cancel { job: job.clone() },
            Asked::Impossible => Event::InvalidRequests,
            Asked::Heartbeat { .. } => unreachable!("workers ask by themselves"),
        };
        if up.is_empty() {
            return self.after(ms(1_500), again);
        }
        let node = up[self.rng.random_range(0..up.len())];
        self.next_reply += 1;
        let to = self.next_reply;
        let life = self.nodes[node].life;
        // Answers may be lost with a crash: then the user asks again.
        let asks_again =
            !matches!(asked, Asked::Poll { .. }) || self.now < self.quiet_from + ms(100_000);
        if asks_again && !matches!(asked, Asked::Impossible) {
            self.after(ms(6_000), again);
        }
        self.asked.insert((node, life, to), (asked, self.now));
        let d = self.delay() + self.processing_delay(node);
        self.after(
            d,
            Event::ToNode {
                node,
                life,
                command: Box::new(command(to)),
            },
        );
    }

    /// One question to one controller, without a repetition.
    fn ask_once(
        &mut self,
        node: usize,
        asked: Asked,
        command: impl FnOnce(ClientRequestId) -> Command,
    ) {
        self.next_reply += 1;
        let (to, life) = (self.next_reply, self.nodes[node].life);
        self.asked.insert((node, life, to), (asked, self.now));
        let d = Micros(self.rng.random_range(200..4_000)) + self.processing_delay(node);
        self.after(
            d,
            Event::ToNode {
                node,
                life,
                command: Box::new(command(to)),
            },
        );
    }

    /// If users look closely now: they ask at all controllers, three times within milliseconds.
    pub(super) fn look_closely(&mut self, job: &JobId) {
        if self.now >= self.close_looks_until || !self.accepted.contains(job) {
            return;
        }
        self.cover("users asked at all controllers within milliseconds");
        for at in [0, 4, 25] {
            self.after(ms(at), Event::AskAll { job: job.clone() });
        }
        if self.rng.random_range(0..5) == 0 {
            self.wants_cancel.insert(job.clone());
            self.after(ms(2), Event::Cancel { job: job.clone() });
        }
    }

    pub(super) fn ask_all(&mut self, job: &JobId) {
        for node in self.nodes_up() {
            let (id, spec) = (job.clone(), Box::new(self.truth.jobs[job].clone()));
            self.ask_once(node, Asked::Poll { job: job.clone() }, |to| Command::Poll {
                to,
                id,
            });
            self.ask_once(node, Asked::Submit { job: job.clone() }, |to| {
                Command::Submit { to, spec }
            });
        }
    }

    /// Besides the usual question every few seconds, about each unfinished job and at any controller.
    pub(super) fn ask_often(&mut self) {
        let PollStorm { until, factor } = self.poll_storm;
        if self.now >= until {
            return;
        }
        self.after(ms(STORM_STEP_MS), Event::AskOften);
        let up = self.nodes_up();
        let open: Vec<JobId> = self
            .accepted
            .iter()
            .filter(|j| !self.final_answers.contains_key(*j))
            .cloned()
            .collect();
        for job in open.iter().filter(|_| !up.is_empty()) {
            for _ in 0..factor {
                if self.rng.random_range(0..USUAL_POLL_MS) >= STORM_STEP_MS {
                    continue;
                }
                self.cover("a question was asked besides the usual ones");
                let node = up[self.rng.random_range(0..up.len())];
                let id = job.clone();
                self.ask_once(node, Asked::Poll { job: job.clone() }, |to| Command::Poll {
                    to,
                    id,
                });
            }
        }
    }

    /// What users do though it makes no sense.
    pub(super) fn invalid_requests(&mut self) {
        if self.now >= self.invalid_requests {
            return;
        }
        self.after(ms(700), Event::InvalidRequests);
        let known: Vec<JobId> = self.accepted.iter().cloned().collect();
        if known.is_empty() {
            return;
        }
        let job = known[self.rng.random_range(0..known.len())].clone();
        match self.final_answers.get(&job) {
            None => {
                self.cover("an unfinished job was submitted again");
                self.at(self.now, Event::Submit { job });
            }
            Some((JobState::Done, _)) => {
                self.cover("a job that is done was cancelled");
                self.at(self.now, Event::Cancel { job });
            }
            Some(_) => self.at(self.now, Event::Submit { job }),
        }
        let n = self.rng.random_range(500_000..999_999);
        let mut spec = self.job(n);
        match self.rng.random_range(0..3) {
            0 => spec.task_resources = Resources::rounded_up(900.0, 0.0, 1.0),
            1 => spec.team = "nobody".into(),
            _ => spec.types = Some(vec!["none".into()]),
        }
        self.impossible.insert(spec.id.clone());
        self.ask(Asked::Impossible, |to| Command::Submit {
            to,
            spec: Box::new(spec),
        });
    }

    /// An answer counts as older only if it was asked for after the newer one had been given.
    pub(super) fn check_user_answer(&mut self, asked: Asked, asked_at: Micros, answer: Answer) {
        let (job, submit) = match asked {
            Asked::Submit { job } => (job, true),
            Asked::Poll { job } | Asked::Cancel { job } => (job, false),
            Asked::Impossible => {
                if matches!(answer, Answer::Status { .. } | Answer::NotFound) {
                    self.truth
                        .broken
                        .push(format!("accepted though it can never run: {answer:?}"));
                }
                return;
            }
            Asked::Heartbeat { .. } => return,
        };
        let mut bad = Vec::new();
        if self.accepted.contains(&job) && !matches!(answer, Answer::RetryLater { .. }) {
            self.answered.insert(job.clone(), self.now);
        }
        match answer {
            Answer::Status { state, .. } => {
                if submit {
                    if self.accepted.insert(job.clone()) {
                        self.answered.insert(job.clone(), self.now);
                        self.look_closely(&job);
                        self.after(ms(3_000), Event::Poll { job: job.clone() });
                    }
                } else if !self.accepted.contains(&job) {
                    bad.push(format!("invented: {job}"));
                }
                if let Some((old, since)) = self.final_answers.get(&job) {
                    let final_too = matches!(state, JobState::Done | JobState::Cancelled);
                    if *old != state && (final_too || asked_at >= *since) {
                        bad.push(format!("went_back: {job} from {old:?} to {state:?}"));
                    }
                }
                let done = self.truth.completed.get(&job).map_or(0, |c| c.len() as u32);
                if let Some(since) = self.truth.called_off(&job) {
                    if state != JobState::Cancelled
                        && asked_at > since + self.settings.cancellation_time
                    {
                        bad.push(format!("orphaned: {job} is called {state:?}"));
                    }
                    if state == JobState::Cancelled {
                        self.cover("a job was cancelled with one that it needs");
                    }
                }
                match state {
                    JobState::Done => {
                        if done < self.truth.jobs[&job].tasks {
                            bad.push(format!("not_done: {job} with {done} tasks done"));
                        }
                        self.final_answers.entry(job).or_insert((state, self.now));
                    }
                    JobState::Cancelled => {
                        if !self.wants_cancel.contains(&job) && !self.needs_unwanted(&job) {
                            bad.push(format!("went_back: {job} cancelled by nobody"));
                        }
                        let runs = |w: &Worker| {
                            w.tasks.iter().any(|(k, t)| k.job == job && t.on_machine())
                        };
                        let runs = self.truth.workers.values().any(|w| !w.dead && runs(w));
                        if !self.truth.cancelled.contains_key(&job) && runs {
                            let apart = |n: &Node| n.refused.max(n.cut_state.0) > self.now;
                            if self.nodes.iter().any(apart) {
                                self.cover(
                                    "a running job was cancelled while a controller was refused",
                                );
                            }
                        }
                        let first = !self.truth.cancelled.contains_key(&job);
                        if first && runs && self.shard_changes_hands(&job) {
                            self.cover("a running job was cancelled as its share changed hands");
                        }
                        self.truth.cancelled.entry(job.clone()).or_insert(self.now);
                        self.final_answers
                            .entry(job.clone())
                            .or_insert((state, self.now));
                        if first {
                            self.look_closely(&job);
                        }
                    }
                    _ => {}
                }
            }
            Answer::NotFound | Answer::Rejected(_) if self.accepted.contains(&job) => {
                bad.push(format!("forgotten: {job}"));
            }
            _ => {}
        }
        self.truth.broken.extend(bad);
    }

    fn shard_changes_hands(&self, job: &JobId) -> bool {
        let shard = self.settings.shard_of(&self.truth.jobs[job].team);
        shard.is_some_and(|k| self.changes_hands(&format!("share/{k}")))
    }

    /// Whether users want a job cancelled that this one needs, directly or through others.
    pub(super) fn needs_unwanted(&self, id: &JobId) -> bool {
        self.truth.jobs[id]
            .dependencies
            .iter()
            .any(|n| self.wants_cancel.contains(n) || self.needs_unwanted(n))
    }
}
