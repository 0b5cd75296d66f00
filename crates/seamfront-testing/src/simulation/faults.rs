//! Faults: what can go wrong in a run, and how each is brought about.

use super::{
    ms, workers, BTreeMap, BadBoots, Event, JobId, MachineId, Micros, PollStorm, RngExt,
    Simulation, TaskKey, TaskState, Team, Worker,
};

/// What can go wrong; each is drawn by the seed and ends by itself.
#[derive(Clone, Debug)]
pub enum Fault {
    Crash {
        nodes: Vec<usize>,
        back: Micros,
    },
    Outage {
        until: Micros,
    },
    Refused {
        node: usize,
        until: Micros,
    },
    CutState {
        node: usize,
        until: Micros,
        hold: bool,
    },
    CutWorkers {
        node: usize,
        until: Micros,
        hold: bool,
    },
    CutMesh {
        node: usize,
        until: Micros,
    },
    /// Between one node and some machines only: they go to another node, the rest stays.
    CutLinks {
        node: usize,
        count: usize,
        until: Micros,
    },
    CloudOutage {
        until: Micros,
    },
    KillMachines {
        count: usize,
    },
    Hang {
        count: usize,
        lasts: Micros,
    },
    CutMachines {
        count: usize,
        lasts: Micros,
    },
    Notice {
        count: usize,
    },
    /// Their reports arrive; answers and commands don't reach them.
    LoseAnswers {
        count: usize,
        lasts: Micros,
    },
    /// Reports sent until then are delivered again later, to any controller.
    DuplicateReports {
        until: Micros,
    },
    /// Down and back at once: what ran is gone.
    RestartMachines {
        count: usize,
    },
    /// A part of the transactions gets no answer and is carried out 2 to 12 s later, after newer ones.
    DelayWrites {
        until: Micros,
    },
    /// These reach no controller; commands reach them.
    LoseReports {
        count: usize,
        lasts: Micros,
    },
    /// Answers and commands to workers take seconds.
    DelayAnswers {
        until: Micros,
    },
    /// The controller stands still while its clocks run on.
    PauseNode {
        node: usize,
        until: Micros,
    },
    /// It computes several times slower: whatever reaches it waits.
    SlowNode {
        node: usize,
        until: Micros,
    },
    /// The state service takes up to seconds to answer.
    SlowState {
        until: Micros,
    },
    /// All machines of a zone and one controller hear one another and nobody else.
    CutZone {
        zone: &'static str,
        node: usize,
        until: Micros,
    },
    /// Whoever holds this claim then.
    CrashHolder {
        claim: &'static str,
        back: Micros,
    },
    /// The state service refuses the claim's holder alone.
    RefuseHolder {
        claim: &'static str,
        until: Micros,
    },
    /// The claim's holder loses the state service and the other controllers, not its workers or users.
    IsolateHolder {
        claim: &'static str,
        until: Micros,
    },
    /// Users call off that many jobs that run, at whatever controllers; some of their machines hang then.
    CancelRunning {
        count: usize,
        hang: Micros,
    },
    /// Jobs that end are called off, asked about and submitted again in that moment.
    CancelAtCompletion {
        until: Micros,
    },
    /// Its process is killed and comes back with the new version.
    Upgrade {
        node: usize,
        back: Micros,
    },
    /// A part of direct commands is held up, unanswered, and carried out once, 2 to 16 s late.
    DelayCommands {
        until: Micros,
    },
    /// A part of the transactions is carried out at once, and only the answer is lost.
    LoseCommitAnswers {
        until: Micros,
    },
    /// Copies of a part of the reports are kept until a claim changes hands, and then reach every controller.
    KeepReports {
        until: Micros,
    },
    /// The cloud takes seconds to answer requests for machines.
    SlowRentals {
        until: Micros,
    },
    /// Users ask about their jobs so many times as often.
    PollStorm {
        until: Micros,
        factor: i64,
    },
    /// Of the machines rented meanwhile so many of a hundred never come up, and the others take so many percent of the
    /// usual time.
    BadBoots {
        until: Micros,
        never: i64,
        percent: i64,
    },
    /// New machines are up within two seconds.
    FastBoots {
        until: Micros,
    },
    /// Users ask at all controllers within milliseconds after a job was accepted, ended or called off.
    CloseLooks {
        until: Micros,
    },
    /// Unfinished jobs are submitted again, done ones cancelled, impossible ones submitted.
    InvalidRequests {
        until: Micros,
    },
}

impl Simulation {
    pub(super) fn some_machines(&mut self, count: usize) -> Vec<MachineId> {
        let up: Vec<MachineId> = self
            .truth
            .workers
            .iter()
            .filter(|(_, w)| !w.dead && w.up_at <= self.now)
            .map(|w| w.0.clone())
            .collect();
        (0..count.min(up.len()))
            .map(|_| up[self.rng.random_range(0..up.len())].clone())
            .collect()
    }

    /// In what state of things a controller ends.
    pub(super) fn cover_crash(&mut self) {
        let now = self.now;
        let up = || self.truth.workers.iter().filter(|(_, w)| !w.dead);
        let apart = |id: &MachineId| {
            self.loses_answers(id) || self.cut_machines.get(id).is_some_and(|t| *t > now)
        };
        let out_of_reach =
            up().any(|(id, w)| apart(id) && w.tasks.values().any(super::workers::Task::on_machine));
        let cpus_by_team = |counts: fn(&workers::Task) -> bool| {
            let mut cpus: BTreeMap<&str, i64> = BTreeMap::new();
            for (k, _) in up()
                .flat_map(|(_, w)| w.tasks.iter())
                .filter(|(_, t)| counts(t))
            {
                let spec = &self.truth.jobs[&k.job];
                *cpus.entry(&spec.team).or_default() += spec.task_resources.cpus;
            }
            cpus
        };
        let used = cpus_by_team(workers::Task::on_machine);
        // Nothing more of the smallest size fits in.
        let full = |t: &&Team| {
            t.limit.cpus > 0
                && used
                    .get(t.name.as_str())
                    .is_some_and(|u| u + 1_000 > t.limit.cpus)
        };
        let at_limit = self.truth.teams.iter().any(|t| full(&t));
        let halfway = self.truth.completed.iter().any(|(id, done)| {
            let n = self.truth.jobs[id].tasks;
            (2..=3).contains(&n) && (done.len() as u32) < n && !self.final_answers.contains_key(id)
        });
        let mut limited = self
            .truth
            .teams
            .iter()
            .filter(|t| t.limit.cpus > 0)
            .peekable();
        // What still fetches its image holds its part of the limit as well.
        let held = cpus_by_team(|t| !matches!(t.state, TaskState::Exited(_)));
        let holds_all = |t: &Team| {
            held.get(t.name.as_str())
                .is_some_and(|u| u + 1_000 > t.limit.cpus)
        };
        let all_at_limit = limited.peek().is_some() && limited.all(holds_all);
        let stopping = |id: &MachineId, w: &Worker| {
            let called_off = |k: &TaskKey| self.truth.cancelled.contains_key(&k.job);
            let silent = apart(id) || w.hung_until > now;
            silent && w.tasks.iter().any(|(k, t)| t.on_machine() && called_off(k))
        };
        let stopping = up().any(|(id, w)| stopping(id, w));
        let new_machine =
            |w: &Worker| w.up_at <= now && now - w.up_at < ms(4_000) && !w.tasks.is_empty();
        let new_machine = up().any(|(_, w)| new_machine(w));
        let writes_lag = now < self.slow_state.max(self.delay_writes_until);
        if all_at_limit && stopping {
            self.cover("every team stood at its limit, a cancelled task was out of reach and a controller ended");
        }
        if new_machine && writes_lag {
            self.cover("a controller ended while a new machine had work and writes lagged");
        }
        if out_of_reach {
            self.cover("a controller ended while machines with tasks were out of reach");
        }
        if at_limit {
            self.cover("a team stood at its limit as a controller ended");
        }
        if halfway {
            self.cover("a controller ended between the ends of a small job's tasks");
        }
    }

    pub(super) fn inject(&mut self, f: Fault) {
        match f {
            Fault::Crash { nodes, back } => {
                self.cover_crash();
                for node in nodes {
                    if self.nodes[node].old && self.nodes.iter().any(|n| !n.old) {
                        self.cover("an old controller ended beside new ones");
                    }
                    self.nodes[node].engine = None;
                    self.nodes[node].life += 1;
                    self.after(back, Event::Boot { node });
                }
            }
            Fault::Outage { until } => {
                self.outage = until;
                // Leases stand still: as far as they go, the outage did not happen.
                let store = &mut self.store;
                store.refresh(until);
            }
            Fault::Refused { node, until } => self.nodes[node].refused = until,
            Fault::CutState { node, until, hold } => self.nodes[node].cut_state = (until, hold),
            Fault::CutWorkers { node, until, hold } => self.nodes[node].cut_workers = (until, hold),
            Fault::CutMesh { node, until } => self.nodes[node].cut_mesh = until,
            Fault::CutLinks { node, count, until } => {
                for id in self.some_machines(count) {
                    self.cut_links.insert((node, id), until);
                }
            }
            Fault::CloudOutage { until } => self.cloud_outage = until,
            Fault::KillMachines { count } => {
                for id in self.some_machines(count) {
                    let bound = |k: &TaskKey| {
                        self.truth.jobs[&k.job].one_zone || self.truth.jobs[&k.job].zone.is_some()
                    };
                    if self.truth.workers[&id].tasks.keys().any(bound) {
                        self.cover("a job bound to one zone lost a machine");
                    }
                    self.truth.workers.get_mut(&id).unwrap().dead = true;
                }
            }
            Fault::Hang { count, lasts } => {
                let until = self.now + lasts;
                for id in self.some_machines(count) {
                    self.truth.workers.get_mut(&id).unwrap().hung_until = until;
                }
            }
            Fault::CutMachines { count, lasts } => {
                let until = self.now + lasts;
                for id in self.some_machines(count) {
                    self.cut_machines.insert(id, until);
                }
            }
            Fault::LoseAnswers { count, lasts } => {
                let until = self.now + lasts;
                for id in self.some_machines(count) {
                    self.answers_lost.insert(id, until);
                }
            }
            Fault::DuplicateReports { until } => self.duplicate_reports_until = until,
            Fault::DelayWrites { until } => self.delay_writes_until = until,
            Fault::DelayAnswers { until } => self.delay_answers_until = until,
            Fault::PauseNode { node, until } => self.nodes[node].stalled = until,
            Fault::SlowNode { node, until } => self.nodes[node].slow = until,
            Fault::SlowState { until } => self.slow_state = until,
            Fault::CancelAtCompletion { until } => self.cancel_at_completion = until,
            Fault::Upgrade { node, back } => {
                if self.nodes.iter().any(|n| !n.old) && self.nodes[node].old {
                    self.cover("a controller was upgraded while others had been");
                }
                self.inject(Fault::Crash {
                    nodes: vec![node],
                    back,
                });
                self.nodes[node].old = false;
            }
            Fault::DelayCommands { until } => self.delay_commands_until = until,
            Fault::LoseCommitAnswers { until } => self.lose_commit_answers_until = until,
            Fault::KeepReports { until } => self.keep_reports_until = until,
            Fault::SlowRentals { until } => self.slow_rentals = until,
            Fault::PollStorm { until, factor } => {
                self.poll_storm = PollStorm { until, factor };
                self.at(self.now, Event::AskOften);
            }
            Fault::BadBoots {
                until,
                never,
                percent,
            } => {
                self.bad_boots = BadBoots {
                    until,
                    never,
                    percent,
                }
            }
            Fault::FastBoots { until } => self.fast_boots_until = until,
            Fault::CloseLooks { until } => self.close_looks_until = until,
            Fault::InvalidRequests { until } => {
                self.invalid_requests = until;
                self.at(self.now, Event::InvalidRequests);
            }
            Fault::LoseReports { count, lasts } => {
                let until = self.now + lasts;
                for id in self.some_machines(count) {
                    self.reports_lost.insert(id, until);
                }
            }
            Fault::CutZone { zone, node, until } => {
                (self.nodes[node].cut_state, self.nodes[node].cut_mesh) = ((until, true), until);
                let zones: Vec<(MachineId, bool)> = self
                    .truth
                    .workers
                    .iter()
                    .map(|(id, w)| (id.clone(), w.zone == zone))
                    .collect();
                for (id, inside) in zones {
                    for k in (0..self.scale.nodes).filter(|k| (*k == node) != inside) {
                        self.cut_links.insert((k, id.clone()), until);
                    }
                }
            }
            Fault::CrashHolder { claim, back } => {
                if let Some(node) = self.holder(claim) {
                    self.inject(Fault::Crash {
                        nodes: vec![node],
                        back,
                    });
                }
            }
            Fault::RefuseHolder { claim, until } => {
                if let Some(node) = self.holder(claim) {
                    self.inject(Fault::Refused { node, until });
                }
            }
            Fault::IsolateHolder { claim, until } => {
                if let Some(node) = self.holder(claim) {
                    self.inject(Fault::CutState {
                        node,
                        until,
                        hold: true,
                    });
                    self.inject(Fault::CutMesh { node, until });
                }
            }
            Fault::CancelRunning { count, hang } => {
                let mut running: BTreeMap<JobId, Vec<MachineId>> = BTreeMap::new();
                for (id, w) in self.truth.workers.iter().filter(|(_, w)| !w.dead) {
                    for (k, _) in w.tasks.iter().filter(|(_, t)| t.on_machine()) {
                        running.entry(k.job.clone()).or_default().push(id.clone());
                    }
                }
                running.retain(|job, _| !self.wants_cancel.contains(job));
                for (job, on) in running.into_iter().take(count) {
                    self.wants_cancel.insert(job.clone());
                    // Asked of several controllers at once: one of them may be refused by the store.
                    for k in 0..4 {
                        self.after(ms(40 * k), Event::Cancel { job: job.clone() });
                    }
                    for id in on.into_iter().filter(|_| hang > Micros::ZERO).take(2) {
                        self.cover("a machine hung as its job was cancelled");
                        self.truth.workers.get_mut(&id).unwrap().hung_until =
                            self.now + ms(150) + hang;
                    }
                }
            }
            Fault::RestartMachines { count } => {
                let now = self.now;
                for id in self.some_machines(count) {
                    let w = self.truth.workers.get_mut(&id).unwrap();
                    w.incarnation += 1;
                    w.tasks.clear();
                    (w.lease_from, w.in_flight) = (now, None);
                }
            }
            Fault::Notice { count } => {
                let at = self.now + ms(8_000);
                for id in self.some_machines(count) {
                    self.truth.workers.get_mut(&id).unwrap().notice_at = Some(at);
                }
            }
        }
    }
}
