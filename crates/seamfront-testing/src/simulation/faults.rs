//! The faults of a simulated run and how each of them is injected.

use super::{
    machines, ms, BTreeMap, BadBoots, Event, JobId, Machine, MachineId, Micros, PollStorm, RngExt,
    Simulation, TaskKey, TaskState, Team,
};

/// A fault. Most faults end by themselves: at `until`, after `duration`, or when a crashed controller restarts after
/// `restart_after`. A fault that names a claim affects the holder of the claim at that time.
#[derive(Clone, Debug)]
pub enum Fault {
    /// The processes end at once and restart after `restart_after`.
    Crash {
        controllers: Vec<usize>,
        restart_after: Micros,
    },
    /// The store refuses all requests.
    StoreOutage { until: Micros },
    /// The store refuses all requests of one controller.
    RefuseController { controller: usize, until: Micros },
    /// Cuts the controller off from the store. With `deliver_late`, its requests are executed late, when the cut ends.
    CutStore {
        controller: usize,
        until: Micros,
        deliver_late: bool,
    },
    /// Cuts the controller off from all agents. With `deliver_late`, heartbeats and their answers arrive late, when the
    /// cut ends.
    CutAgents {
        controller: usize,
        until: Micros,
        deliver_late: bool,
    },
    /// Cuts the controller off from the other controllers. Half of the messages arrive late, when the cut ends.
    CutPeers { controller: usize, until: Micros },
    /// Cuts the links between one controller and `count` machines; their agents turn to another controller.
    CutLinks {
        controller: usize,
        count: usize,
        until: Micros,
    },
    /// The cloud API fails all requests.
    CloudOutage { until: Micros },
    /// The machines are gone for good, without notice.
    KillMachines { count: usize },
    /// The agents do nothing and answer nothing; their tasks make no progress.
    HangMachines { count: usize, duration: Micros },
    /// Cuts the machines off from all controllers.
    CutMachines { count: usize, duration: Micros },
    /// The cloud announces that it preempts the machines, and does so 8 s later.
    PreemptionNotice { count: usize },
    /// Heartbeats of these machines arrive; answers and commands don't reach them.
    LoseAnswers { count: usize, duration: Micros },
    /// A part of the heartbeats sent meanwhile is delivered a second time, 1 to 30 s later, to a random controller.
    DuplicateHeartbeats { until: Micros },
    /// The agents restart at once with a new incarnation, without the tasks that ran.
    RestartMachines { count: usize },
    /// A part of the transactions gets no answer and is executed 2 to 12 s later, possibly after newer ones.
    DelayWrites { until: Micros },
    /// Heartbeats of these machines are lost; commands reach them.
    LoseHeartbeats { count: usize, duration: Micros },
    /// A part of the answers and commands to agents is delayed by up to 6 s.
    DelayAnswers { until: Micros },
    /// The controller is frozen while its clocks run on.
    PauseController { controller: usize, until: Micros },
    /// The controller handles everything 100 to 900 ms late.
    SlowController { controller: usize, until: Micros },
    /// A part of the requests takes up to 3 s longer to reach the store.
    SlowStore { until: Micros },
    /// Network partition: all machines of a zone and one controller reach only one another.
    CutZone {
        zone: &'static str,
        controller: usize,
        until: Micros,
    },
    /// Crashes the holder of the claim.
    CrashHolder {
        claim: &'static str,
        restart_after: Micros,
    },
    /// The store refuses all requests of the claim's holder, and of nobody else.
    RefuseHolder { claim: &'static str, until: Micros },
    /// The claim's holder is cut off from the store and the other controllers, but not from agents and users.
    IsolateHolder { claim: &'static str, until: Micros },
    /// Users cancel up to `count` running jobs at random controllers. If `hang_for` is not zero, up to two machines of
    /// each job hang from then on until 150 ms and `hang_for` have passed.
    CancelRunning { count: usize, hang_for: Micros },
    /// Users cancel, poll and resubmit every job within half a second of its last task's completion.
    CancelAtCompletion { until: Micros },
    /// The process is killed and restarted with the new version.
    Upgrade {
        controller: usize,
        restart_after: Micros,
    },
    /// A part of the direct commands gets no answer and is carried out once, 2 to 16 s late.
    DelayCommands { until: Micros },
    /// A part of the transactions is executed at once, and only the answer is lost.
    LoseCommitAnswers { until: Micros },
    /// Copies of a part of the heartbeats are kept until a claim is acquired and then delivered to every controller.
    ReplayHeartbeats { until: Micros },
    /// The cloud takes 2 to 4 s to answer provisioning requests.
    SlowProvisioning { until: Micros },
    /// Users poll their jobs `factor` times as often in addition.
    PollStorm { until: Micros, factor: i64 },
    /// Of the machines provisioned meanwhile, `never` percent never boot, and the others take `percent` percent of the
    /// usual time.
    BadBoots {
        until: Micros,
        never: i64,
        percent: i64,
    },
    /// New machines boot within 2 s instead of up to 9 s.
    FastBoots { until: Micros },
    /// Users poll and resubmit a job at all controllers within milliseconds after it was accepted, completed or
    /// cancelled.
    PollEverywhere { until: Micros },
    /// Users resubmit unfinished jobs, cancel completed ones and submit jobs that can never run.
    InvalidRequests { until: Micros },
    /// A part of the commands, transactions, cloud requests and messages between controllers that were carried out and
    /// answered arrives once more, seconds to minutes later.
    RepeatRequests { until: Micros },
    /// Agents refuse a part of the start orders for lack of room.
    RefuseStarts { until: Micros },
}

impl Simulation {
    pub(super) fn random_machines(&mut self, count: usize) -> Vec<MachineId> {
        let up: Vec<MachineId> = self
            .ground_truth
            .machines
            .iter()
            .filter(|(_, machine)| !machine.dead && machine.up_at <= self.now)
            .map(|machine| machine.0.clone())
            .collect();
        (0..count.min(up.len()))
            .map(|_| up[self.rng.random_range(0..up.len())].clone())
            .collect()
    }

    /// Counts in which situations controllers crash.
    pub(super) fn cover_crash(&mut self) {
        let now = self.now;
        let up = || {
            self.ground_truth
                .machines
                .iter()
                .filter(|(_, machine)| !machine.dead)
        };
        let cut_off = |id: &MachineId| {
            self.loses_answers(id) || self.machines_cut_until.get(id).is_some_and(|t| *t > now)
        };
        let out_of_reach = up().any(|(id, machine)| {
            cut_off(id)
                && machine
                    .tasks
                    .values()
                    .any(super::machines::Task::on_machine)
        });
        let cpus_by_team = |counts: fn(&machines::Task) -> bool| {
            let mut cpus: BTreeMap<&str, i64> = BTreeMap::new();
            for (k, _) in up()
                .flat_map(|(_, machine)| machine.tasks.iter())
                .filter(|(_, t)| counts(t))
            {
                let spec = &self.ground_truth.jobs[&k.job];
                *cpus.entry(&spec.team).or_default() += spec.task_resources.cpus;
            }
            cpus
        };
        let used = cpus_by_team(machines::Task::on_machine);
        // A team is at its limit if not even a task of one CPU, the smallest size, fits in.
        let full = |t: &&Team| {
            t.limit.cpus > 0
                && used
                    .get(t.name.as_str())
                    .is_some_and(|u| u + 1_000 > t.limit.cpus)
        };
        let at_limit = self.ground_truth.teams.iter().any(|t| full(&t));
        let halfway = self.ground_truth.completed.iter().any(|(id, done)| {
            let n = self.ground_truth.jobs[id].tasks;
            (2..=3).contains(&n) && (done.len() as u32) < n && !self.final_states.contains_key(id)
        });
        let mut limited = self
            .ground_truth
            .teams
            .iter()
            .filter(|t| t.limit.cpus > 0)
            .peekable();
        // Tasks that are fetching their image count against the team's limit as well.
        let held = cpus_by_team(|t| !matches!(t.state, TaskState::Exited(_)));
        let holds_all = |t: &Team| {
            held.get(t.name.as_str())
                .is_some_and(|u| u + 1_000 > t.limit.cpus)
        };
        let all_at_limit = limited.peek().is_some() && limited.all(holds_all);
        let stopping = |id: &MachineId, machine: &Machine| {
            let cancelled = |k: &TaskKey| self.ground_truth.cancelled.contains_key(&k.job);
            let silent = cut_off(id) || machine.hung_until > now;
            silent
                && machine
                    .tasks
                    .iter()
                    .any(|(k, t)| t.on_machine() && cancelled(k))
        };
        let stopping = up().any(|(id, machine)| stopping(id, machine));
        let new_machine = |machine: &Machine| {
            machine.up_at <= now && now - machine.up_at < ms(4_000) && !machine.tasks.is_empty()
        };
        let new_machine = up().any(|(_, machine)| new_machine(machine));
        let writes_lag = now < self.slow_store_until.max(self.delay_writes_until);
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
            Fault::Crash {
                controllers,
                restart_after,
            } => {
                self.cover_crash();
                for controller in controllers {
                    if self.controllers[controller].old_version
                        && self.controllers.iter().any(|n| !n.old_version)
                    {
                        self.cover("an old controller ended beside new ones");
                    }
                    self.controllers[controller].engine = None;
                    self.controllers[controller].generation += 1;
                    self.schedule_after(restart_after, Event::StartController { controller });
                }
            }
            Fault::StoreOutage { until } => {
                self.store_outage_until = until;
                // An outage does not use up leases: at its end each has its full time to live.
                let store = &mut self.store;
                store.refresh(until);
            }
            Fault::RefuseController { controller, until } => {
                self.controllers[controller].store_refuses_until = until;
            }
            Fault::CutStore {
                controller,
                until,
                deliver_late,
            } => self.controllers[controller].store_cut = (until, deliver_late),
            Fault::CutAgents {
                controller,
                until,
                deliver_late,
            } => self.controllers[controller].agents_cut = (until, deliver_late),
            Fault::CutPeers { controller, until } => {
                self.controllers[controller].peers_cut_until = until;
            }
            Fault::CutLinks {
                controller,
                count,
                until,
            } => {
                for id in self.random_machines(count) {
                    self.links_cut_until.insert((controller, id), until);
                }
            }
            Fault::CloudOutage { until } => self.cloud_outage_until = until,
            Fault::KillMachines { count } => {
                for id in self.random_machines(count) {
                    let bound = |k: &TaskKey| {
                        self.ground_truth.jobs[&k.job].one_zone
                            || self.ground_truth.jobs[&k.job].zone.is_some()
                    };
                    if self.ground_truth.machines[&id].tasks.keys().any(bound) {
                        self.cover("a job bound to one zone lost a machine");
                    }
                    self.ground_truth.machines.get_mut(&id).unwrap().dead = true;
                }
            }
            Fault::HangMachines { count, duration } => {
                let until = self.now + duration;
                for id in self.random_machines(count) {
                    self.ground_truth.machines.get_mut(&id).unwrap().hung_until = until;
                }
            }
            Fault::CutMachines { count, duration } => {
                let until = self.now + duration;
                for id in self.random_machines(count) {
                    self.machines_cut_until.insert(id, until);
                }
            }
            Fault::LoseAnswers { count, duration } => {
                let until = self.now + duration;
                for id in self.random_machines(count) {
                    self.answers_lost_until.insert(id, until);
                }
            }
            Fault::DuplicateHeartbeats { until } => self.duplicate_heartbeats_until = until,
            Fault::DelayWrites { until } => self.delay_writes_until = until,
            Fault::DelayAnswers { until } => self.delay_answers_until = until,
            Fault::PauseController { controller, until } => {
                self.controllers[controller].paused_until = until;
            }
            Fault::SlowController { controller, until } => {
                self.controllers[controller].slow_until = until;
            }
            Fault::SlowStore { until } => self.slow_store_until = until,
            Fault::CancelAtCompletion { until } => self.cancel_at_completion_until = until,
            Fault::Upgrade {
                controller,
                restart_after,
            } => {
                if self.controllers.iter().any(|n| !n.old_version)
                    && self.controllers[controller].old_version
                {
                    self.cover("a controller was upgraded while others had been");
                }
                self.inject(Fault::Crash {
                    controllers: vec![controller],
                    restart_after,
                });
                self.controllers[controller].old_version = false;
            }
            Fault::DelayCommands { until } => self.delay_commands_until = until,
            Fault::LoseCommitAnswers { until } => self.lose_commit_answers_until = until,
            Fault::ReplayHeartbeats { until } => self.keep_heartbeats_until = until,
            Fault::SlowProvisioning { until } => self.slow_provisioning_until = until,
            Fault::PollStorm { until, factor } => {
                self.poll_storm = PollStorm { until, factor };
                self.schedule_at(self.now, Event::PollStormStep);
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
            Fault::PollEverywhere { until } => self.poll_everywhere_until = until,
            Fault::RefuseStarts { until } => self.refuse_starts_until = until,
            Fault::RepeatRequests { until } => self.repeat_requests_until = until,
            Fault::InvalidRequests { until } => {
                self.invalid_requests_until = until;
                self.schedule_at(self.now, Event::InvalidRequest);
            }
            Fault::LoseHeartbeats { count, duration } => {
                let until = self.now + duration;
                for id in self.random_machines(count) {
                    self.heartbeats_lost_until.insert(id, until);
                }
            }
            Fault::CutZone {
                zone,
                controller,
                until,
            } => {
                (
                    self.controllers[controller].store_cut,
                    self.controllers[controller].peers_cut_until,
                ) = ((until, true), until);
                let zones: Vec<(MachineId, bool)> = self
                    .ground_truth
                    .machines
                    .iter()
                    .map(|(id, machine)| (id.clone(), machine.zone == zone))
                    .collect();
                for (id, inside) in zones {
                    for k in (0..self.scale.controllers).filter(|k| (*k == controller) != inside) {
                        self.links_cut_until.insert((k, id.clone()), until);
                    }
                }
            }
            Fault::CrashHolder {
                claim,
                restart_after,
            } => {
                if let Some(controller) = self.holder(claim) {
                    self.inject(Fault::Crash {
                        controllers: vec![controller],
                        restart_after,
                    });
                }
            }
            Fault::RefuseHolder { claim, until } => {
                if let Some(controller) = self.holder(claim) {
                    self.inject(Fault::RefuseController { controller, until });
                }
            }
            Fault::IsolateHolder { claim, until } => {
                if let Some(controller) = self.holder(claim) {
                    self.inject(Fault::CutStore {
                        controller,
                        until,
                        deliver_late: true,
                    });
                    self.inject(Fault::CutPeers { controller, until });
                }
            }
            Fault::CancelRunning { count, hang_for } => {
                let mut running: BTreeMap<JobId, Vec<MachineId>> = BTreeMap::new();
                for (id, machine) in self
                    .ground_truth
                    .machines
                    .iter()
                    .filter(|(_, machine)| !machine.dead)
                {
                    for (k, _) in machine.tasks.iter().filter(|(_, t)| t.on_machine()) {
                        running.entry(k.job.clone()).or_default().push(id.clone());
                    }
                }
                running.retain(|job, _| !self.cancel_requested.contains(job));
                for (job, on) in running.into_iter().take(count) {
                    self.cancel_requested.insert(job.clone());
                    // Sent to several controllers, since the store may be refusing one of them.
                    for k in 0..4 {
                        self.schedule_after(ms(40 * k), Event::Cancel { job: job.clone() });
                    }
                    for id in on.into_iter().filter(|_| hang_for > Micros::ZERO).take(2) {
                        self.cover("a machine hung as its job was cancelled");
                        self.ground_truth.machines.get_mut(&id).unwrap().hung_until =
                            self.now + ms(150) + hang_for;
                    }
                }
            }
            Fault::RestartMachines { count } => {
                let now = self.now;
                for id in self.random_machines(count) {
                    let machine = self.ground_truth.machines.get_mut(&id).unwrap();
                    machine.incarnation += 1;
                    machine.clear_tasks();
                    (machine.lease_renewed_at, machine.in_flight) = (now, None);
                }
            }
            Fault::PreemptionNotice { count } => {
                let at = self.now + ms(8_000);
                for id in self.random_machines(count) {
                    self.ground_truth.machines.get_mut(&id).unwrap().preempt_at = Some(at);
                }
            }
        }
    }
}
