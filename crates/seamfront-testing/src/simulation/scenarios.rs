//! Contents of simulated runs: the jobs that users submit, the faults that are drawn, and the seeds.

use super::{
    ms, BTreeMap, Event, Fault, JobId, JobKind, JobSpec, Micros, Priority, Resources, RngExt,
    Scale, Simulation, CONTROLLERS, SMALL,
};

/// The claims on all shards.
pub const SHARD_CLAIMS: [&str; CONTROLLERS] = ["share/0", "share/1", "share/2"];

/// A random controller.
pub fn any_controller(simulation: &mut Simulation) -> usize {
    simulation.draw(0..CONTROLLERS as i64) as usize
}

impl Simulation {
    /// Draws a random job with number `n`.
    pub fn job(&mut self, n: u32) -> JobSpec {
        let kind = [
            JobKind::Array,
            JobKind::Array,
            JobKind::Gang,
            JobKind::Service,
        ][self.rng.random_range(0..4)];
        let tasks = match kind {
            JobKind::Array => self.rng.random_range(1..14),
            JobKind::Gang => self.rng.random_range(1..4),
            JobKind::Service => self.rng.random_range(1..4),
        };
        let priorities = [
            Priority::Critical,
            Priority::Urgent,
            Priority::Normal,
            Priority::BestEffort,
        ];
        let saves = self.rng.random_range(0..2) == 0;
        JobSpec {
            id: format!("j-{n:06}").as_str().into(),
            class: format!("{kind:?}"),
            team: ["a", "b", "c", "d"][self.rng.random_range(0..4)].into(),
            kind,
            priority: if kind == JobKind::Service {
                Priority::Critical
            } else {
                priorities[self.rng.random_range(1..4)]
            },
            tasks,
            task_resources: Resources::rounded_up(f64::from(self.rng.random_range(1..4)), 0.0, 4.0),
            types: None,
            zone: (self.rng.random_range(0..6) == 0).then(|| "x".into()),
            one_zone: kind == JobKind::Gang && self.rng.random_range(0..2) == 0,
            spread: kind == JobKind::Service && self.rng.random_range(0..2) == 0,
            spot: kind != JobKind::Service && self.rng.random_range(0..2) == 0,
            image: format!("img-{}", self.rng.random_range(0..4)),
            image_mb: self.rng.random_range(100..2_000),
            estimate: ms(8_000),
            checkpoint_interval: if saves { ms(5_000) } else { Micros::ZERO },
            checkpoint_time: if saves { ms(1_000) } else { Micros::ZERO },
            deadline: (self.rng.random_range(0..3) == 0).then(|| ms(60_000)),
            submitted: Micros::ZERO,
            dependencies: vec![],
            dependency_parts: 0,
        }
    }

    /// Makes all tasks of the job fail on every machine, as with a wrong specification.
    pub fn make_failing(&mut self, spec: &JobSpec) {
        self.ground_truth.failing_jobs.insert(spec.id.clone());
    }

    pub fn submit(&mut self, t: Micros, spec: JobSpec) {
        let id = spec.id.clone();
        self.ground_truth.jobs.insert(id.clone(), spec);
        self.schedule_at(t, Event::Submit { job: id });
    }

    /// Submits a pipeline: one job, several that depend on it, a gang that depends on all of these, and a last job.
    /// Returns their ids in this order.
    pub fn pipeline(&mut self, first: u32, at: i64) -> Vec<JobId> {
        let mut ids: Vec<JobId> = Vec::new();
        let width = self.rng.random_range(1..4);
        for step in 0..width + 3 {
            let mut spec = self.job(first + step);
            (spec.one_zone, spec.spread) = (false, false);
            spec.kind = if step == width + 1 {
                JobKind::Gang
            } else {
                JobKind::Array
            };
            spec.tasks = self.rng.random_range(1..4);
            spec.class = format!(
                "step {}",
                if step == 0 {
                    0
                } else {
                    1 + step.saturating_sub(width)
                }
            );
            spec.dependencies = match step {
                0 => vec![],
                s if s <= width => vec![ids[0].clone()],
                s if s == width + 1 => ids[1..].to_vec(),
                _ => vec![ids[ids.len() - 1].clone()],
            };
            let (id, later) = (
                spec.id.clone(),
                self.rng.random_range(0..3_000) * i64::from(step),
            );
            ids.push(id);
            self.submit(ms(at + later), spec);
        }
        ids
    }

    pub fn cancel(&mut self, t: Micros, job: JobId) {
        self.cancel_requested.insert(job.clone());
        self.schedule_at(t, Event::Cancel { job });
    }

    pub fn fault(&mut self, t: Micros, fault: Fault) {
        self.schedule_at(t, Event::Fault(fault));
    }

    pub fn draw(&mut self, n: std::ops::Range<i64>) -> i64 {
        self.rng.random_range(n)
    }
}

/// With `SEED=313` and `--nocapture`, the run with this seed logs at `LOG_LEVEL`.
pub fn init_logging_if_selected(seed: u64) {
    if std::env::var("SEED").is_ok_and(|s| s == seed.to_string()) {
        let level = std::env::var("LOG_LEVEL")
            .ok()
            .and_then(|l| l.parse().ok())
            .unwrap_or(tracing::Level::DEBUG);
        let _ = tracing_subscriber::fmt()
            .with_max_level(level)
            .without_time()
            .with_ansi(false)
            .try_init();
    }
}

/// Simulates a run: a start without faults, then `faults` until 90 s, then 300 s to finish all jobs. `faults` gets the
/// end of the faults in milliseconds.
pub fn simulate(seed: u64, faults: impl Fn(&mut Simulation, i64)) -> Simulation {
    simulate_at_scale(seed, SMALL, faults)
}

/// Like [`simulate`], with another scale.
pub fn simulate_at_scale(
    seed: u64,
    scale: Scale,
    faults: impl Fn(&mut Simulation, i64),
) -> Simulation {
    init_logging_if_selected(seed);
    let mut simulation = Simulation::sized(seed, scale);
    let faults_end_ms = 90_000;
    simulation.faults_end = ms(faults_end_ms);
    for n in 0..45 {
        let spec = simulation.job(n);
        let at = simulation.draw(500..faults_end_ms - 10_000);
        let id = spec.id.clone();
        let kind = spec.kind;
        simulation.submit(ms(at), spec);
        if kind == JobKind::Service || simulation.draw(0..4) == 0 {
            let later = simulation.draw(2_000..40_000);
            simulation.cancel(ms(at + later), id);
        }
    }
    faults(&mut simulation, faults_end_ms);
    simulation.run_until(ms(faults_end_ms + 300_000));
    assert!(
        simulation.ground_truth.tasks_started > 20,
        "vacuous run: only {} tasks started",
        simulation.ground_truth.tasks_started
    );
    assert!(
        simulation.accepted_jobs() >= 35,
        "only {} jobs were accepted",
        simulation.accepted_jobs()
    );
    let unfinished = simulation.unfinished_jobs();
    assert!(
        unfinished.is_empty(),
        "seed {seed}: unfinished at the end: {unfinished:#?}"
    );
    let underserved_groups = simulation.underserved_groups();
    assert!(
        underserved_groups.is_empty(),
        "seed {seed}: not served: {underserved_groups:#?}"
    );
    simulation
}

/// Injects random faults in pairs that overlap.
pub fn fault_pairs(simulation: &mut Simulation, faults_end_ms: i64) {
    draw_fault_pairs(simulation, faults_end_ms, 18);
}

/// Like [`fault_pairs`], with all kinds of faults.
pub fn fault_pairs_of_all_kinds(simulation: &mut Simulation, faults_end_ms: i64) {
    draw_fault_pairs(simulation, faults_end_ms, 24);
}

fn draw_fault_pairs(simulation: &mut Simulation, faults_end_ms: i64, kinds: i64) {
    simulation.fault(
        ms(3_000),
        Fault::CancelAtCompletion {
            until: ms(faults_end_ms),
        },
    );
    for k in 0..4 {
        for _ in 0..2 {
            let at = 8_000 + 20_000 * k + simulation.draw(0..4_000);
            let duration = simulation.draw(2_000..24_000);
            let until = ms((at + duration).min(faults_end_ms));
            let (controller, claim) = (
                simulation.draw(0..CONTROLLERS as i64) as usize,
                ["leader", "share/0", "share/1", "share/2"][simulation.draw(0..4) as usize],
            );
            let fault = match simulation.draw(0..kinds) {
                0 => Fault::DelayWrites { until },
                1 => Fault::LoseHeartbeats {
                    count: 3,
                    duration: ms(duration),
                },
                2 => Fault::DelayAnswers { until },
                3 => Fault::PauseController { controller, until },
                4 => Fault::SlowController { controller, until },
                5 => Fault::SlowStore { until },
                6 => Fault::CutZone {
                    zone: "x",
                    controller,
                    until,
                },
                7 => Fault::CrashHolder {
                    claim,
                    restart_after: ms(simulation.draw(50..6_000)),
                },
                8 => Fault::RefuseHolder { claim, until },
                9 => Fault::IsolateHolder { claim, until },
                10 => Fault::CancelRunning {
                    count: 4,
                    hang_for: ms(duration / 2),
                },
                11 => Fault::InvalidRequests { until },
                12 => Fault::DuplicateHeartbeats {
                    until: ms(at + 40_000),
                },
                13 => Fault::LoseAnswers {
                    count: 3,
                    duration: ms(duration),
                },
                14 => Fault::StoreOutage { until },
                15 => Fault::HangMachines {
                    count: 3,
                    duration: ms(duration),
                },
                16 => Fault::RestartMachines { count: 2 },
                18 => Fault::DelayCommands { until },
                19 => Fault::LoseCommitAnswers { until },
                20 => Fault::ReplayHeartbeats { until },
                21 => Fault::FastBoots { until },
                22 => Fault::PollEverywhere { until },
                23 => Fault::RepeatRequests {
                    until: ms(at + 40_000),
                },
                _ => Fault::Crash {
                    controllers: (0..CONTROLLERS).collect(),
                    restart_after: ms(simulation.draw(200..16_000)),
                },
            };
            simulation.fault(ms(at), fault);
        }
    }
}

/// Coverage counters: how often the situations that a test is about occurred.
pub type Coverage = BTreeMap<&'static str, u32>;

/// Simulates a run for each of the seeds; with `SOAK=20`, for twenty times as many.
pub fn simulate_seeds(
    seeds: std::ops::Range<u64>,
    faults: impl Fn(&mut Simulation, i64),
) -> Coverage {
    let mut coverage = Coverage::new();
    let soak = std::env::var("SOAK")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(1);
    let more = (1..soak).flat_map(|k| seeds.clone().map(move |s| s + 10_000 * k));
    for seed in seeds.clone().chain(more) {
        add_coverage(&mut coverage, simulate(seed, &faults).coverage);
    }
    coverage
}

/// Adds the counters of another run.
pub fn add_coverage(sum: &mut Coverage, coverage: Coverage) {
    for (what, n) in coverage {
        *sum.entry(what).or_default() += n;
    }
}

pub fn coverage_count(coverage: &Coverage, what: &str) -> u32 {
    coverage.get(what).copied().unwrap_or(0)
}

/// Four jobs of one task per second for two minutes, a quarter of them cancelled, while controllers crash.
pub fn stream_of_small_jobs(seed: u64) -> Simulation {
    init_logging_if_selected(seed);
    let mut simulation = Simulation::sized(
        seed,
        Scale {
            machines: 10,
            max_machines: 30,
            limits: [0; 10],
            ..SMALL
        },
    );
    let last = 120_000;
    simulation.faults_end = ms(last);
    for n in 0..480 {
        let mut spec = simulation.job(n);
        (spec.kind, spec.class, spec.tasks) = (JobKind::Array, "small".into(), 1);
        (spec.task_resources, spec.image_mb) = (Resources::rounded_up(1.0, 0.0, 1.0), 100);
        (spec.one_zone, spec.spread) = (false, false);
        let (id, at) = (spec.id.clone(), 250 * i64::from(n));
        simulation.submit(ms(at), spec);
        if n % 4 == 0 {
            let later = simulation.draw(100..9_000);
            simulation.cancel(ms(at + later), id);
        }
    }
    for k in 0..4 {
        let at = 15_000 + 25_000 * k + simulation.draw(0..8_000);
        let claim = ["leader", "share/0", "share/1", "share/2"][simulation.draw(0..4) as usize];
        let restart_after = ms(simulation.draw(100..5_500));
        simulation.fault(
            ms(at),
            Fault::CrashHolder {
                claim,
                restart_after,
            },
        );
    }
    simulation.run_until(ms(last + 240_000));
    assert_eq!(
        simulation.unfinished_jobs(),
        Vec::<String>::new(),
        "seed {seed}"
    );
    simulation
}

/// All teams constantly have more small tasks than their limits allow; some jobs are cancelled while their machines
/// hang or are cut off, and controllers crash.
pub fn teams_at_their_limits(seed: u64) -> Simulation {
    init_logging_if_selected(seed);
    let mut simulation = Simulation::sized(
        seed,
        Scale {
            machines: 9,
            max_machines: 18,
            limits: [6, 6, 6, 6, 0, 0, 0, 0, 0, 0],
            ..SMALL
        },
    );
    simulation.faults_end = ms(80_000);
    for n in 0..44 {
        let mut spec = simulation.job(n);
        (spec.kind, spec.class, spec.tasks) = (JobKind::Array, "small".into(), 6);
        (spec.team, spec.task_resources) = (
            ["a", "b", "c", "d"][n as usize % 4].into(),
            Resources::rounded_up(1.0, 0.0, 2.0),
        );
        (spec.zone, spec.one_zone, spec.spread) = (None, false, false);
        let at = simulation.draw(500..6_000);
        simulation.submit(ms(at), spec);
    }
    for k in 0..5 {
        let at = 11_000 + 13_000 * k;
        let (hang_for, duration) = (
            ms(simulation.draw(4_000..9_000)),
            ms(simulation.draw(5_000..14_000)),
        );
        simulation.fault(ms(at - 300), Fault::CutMachines { count: 2, duration });
        simulation.fault(ms(at), Fault::CancelRunning { count: 3, hang_for });
        let claim = if k % 2 == 0 {
            "leader"
        } else {
            ["share/0", "share/1", "share/2"][simulation.draw(0..3) as usize]
        };
        let restart_after = ms(simulation.draw(200..5_500));
        let later = simulation.draw(1_500..3_500);
        simulation.fault(
            ms(at + later),
            Fault::CrashHolder {
                claim,
                restart_after,
            },
        );
    }
    simulation.run_until(ms(320_000));
    assert_eq!(
        simulation.unfinished_jobs(),
        Vec::<String>::new(),
        "seed {seed}"
    );
    simulation
}
