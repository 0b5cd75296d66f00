//! What a run consists of: the jobs that users submit, the faults drawn, and how many seeds are played.

use super::{
    ms, BTreeMap, Event, Fault, JobId, JobKind, JobSpec, Micros, Priority, Resources, RngExt,
    Scale, Simulation, NODES, SMALL,
};

/// The claims on all shards.
pub const SHARDS: [&str; NODES] = ["share/0", "share/1", "share/2"];

/// Any controller.
pub fn any_node(w: &mut Simulation) -> usize {
    w.draw(0..NODES as i64) as usize
}

impl Simulation {
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

    /// The job is submitted with a mistake: its tasks fail on every machine.
    pub fn fails_always(&mut self, spec: &JobSpec) {
        self.truth.failing.insert(spec.id.clone());
    }

    pub fn submit(&mut self, t: Micros, spec: JobSpec) {
        let id = spec.id.clone();
        self.truth.jobs.insert(id.clone(), spec);
        self.at(t, Event::Submit { job: id });
    }

    /// A pipeline: one job, several that need it, a gang that needs all of these, and a last one. Returns their
    /// names, the first one's first.
    pub fn pipeline(&mut self, first: u32, at: i64) -> Vec<JobId> {
        let mut ids: Vec<JobId> = Vec::new();
        let wide = self.rng.random_range(1..4);
        for step in 0..wide + 3 {
            let mut spec = self.job(first + step);
            (spec.one_zone, spec.spread) = (false, false);
            spec.kind = if step == wide + 1 {
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
                    1 + step.saturating_sub(wide)
                }
            );
            spec.dependencies = match step {
                0 => vec![],
                s if s <= wide => vec![ids[0].clone()],
                s if s == wide + 1 => ids[1..].to_vec(),
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
        self.wants_cancel.insert(job.clone());
        self.at(t, Event::Cancel { job });
    }

    pub fn fault(&mut self, t: Micros, fault: Fault) {
        self.at(t, Event::Fault(fault));
    }

    pub fn draw(&mut self, n: std::ops::Range<i64>) -> i64 {
        self.rng.random_range(n)
    }
}

/// With SEED=313 and --nocapture that history tells its story, as far as `LOG_LEVEL` says.
pub fn log_if_chosen(seed: u64) {
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

/// One history: a quiet start, then troubles, then time to get everything done.
pub fn history(seed: u64, faults: impl Fn(&mut Simulation, i64)) -> Simulation {
    history_of(seed, SMALL, faults)
}

/// The same in a world of another size.
pub fn history_of(seed: u64, scale: Scale, faults: impl Fn(&mut Simulation, i64)) -> Simulation {
    log_if_chosen(seed);
    let mut w = Simulation::sized(seed, scale);
    let troubles = 90_000;
    w.quiet_from = ms(troubles);
    for n in 0..45 {
        let spec = w.job(n);
        let at = w.draw(500..troubles - 10_000);
        let id = spec.id.clone();
        let kind = spec.kind;
        w.submit(ms(at), spec);
        if kind == JobKind::Service || w.draw(0..4) == 0 {
            let later = w.draw(2_000..40_000);
            w.cancel(ms(at + later), id);
        }
    }
    faults(&mut w, troubles);
    w.run_until(ms(troubles + 300_000));
    assert!(
        w.truth.started > 20,
        "the run proves nothing: {} tasks started",
        w.truth.started
    );
    assert!(
        w.accepted() >= 35,
        "only {} jobs were accepted",
        w.accepted()
    );
    let owed = w.owed();
    assert!(
        owed.is_empty(),
        "seed {seed}: not done in the end: {owed:#?}"
    );
    let not_served = w.not_served();
    assert!(
        not_served.is_empty(),
        "seed {seed}: not served: {not_served:#?}"
    );
    w
}

/// Troubles drawn in pairs that overlap.
pub fn pairs(w: &mut Simulation, troubles: i64) {
    draw_pairs(w, troubles, 18);
}

/// The same of all kinds of troubles.
pub fn pairs_of_all_kinds(w: &mut Simulation, troubles: i64) {
    draw_pairs(w, troubles, 23);
}

fn draw_pairs(w: &mut Simulation, troubles: i64, kinds: i64) {
    w.fault(
        ms(3_000),
        Fault::CancelAtCompletion {
            until: ms(troubles),
        },
    );
    for k in 0..4 {
        for _ in 0..2 {
            let at = 8_000 + 20_000 * k + w.draw(0..4_000);
            let lasts = w.draw(2_000..24_000);
            let until = ms((at + lasts).min(troubles));
            let (node, claim) = (
                w.draw(0..NODES as i64) as usize,
                ["leader", "share/0", "share/1", "share/2"][w.draw(0..4) as usize],
            );
            let fault = match w.draw(0..kinds) {
                0 => Fault::DelayWrites { until },
                1 => Fault::LoseReports {
                    count: 3,
                    lasts: ms(lasts),
                },
                2 => Fault::DelayAnswers { until },
                3 => Fault::PauseNode { node, until },
                4 => Fault::SlowNode { node, until },
                5 => Fault::SlowState { until },
                6 => Fault::CutZone {
                    zone: "x",
                    node,
                    until,
                },
                7 => Fault::CrashHolder {
                    claim,
                    back: ms(w.draw(50..6_000)),
                },
                8 => Fault::RefuseHolder { claim, until },
                9 => Fault::IsolateHolder { claim, until },
                10 => Fault::CancelRunning {
                    count: 4,
                    hang: ms(lasts / 2),
                },
                11 => Fault::InvalidRequests { until },
                12 => Fault::DuplicateReports {
                    until: ms(at + 40_000),
                },
                13 => Fault::LoseAnswers {
                    count: 3,
                    lasts: ms(lasts),
                },
                14 => Fault::Outage { until },
                15 => Fault::Hang {
                    count: 3,
                    lasts: ms(lasts),
                },
                16 => Fault::RestartMachines { count: 2 },
                18 => Fault::DelayCommands { until },
                19 => Fault::LoseCommitAnswers { until },
                20 => Fault::KeepReports { until },
                21 => Fault::FastBoots { until },
                22 => Fault::CloseLooks { until },
                _ => Fault::Crash {
                    nodes: (0..NODES).collect(),
                    back: ms(w.draw(200..16_000)),
                },
            };
            w.fault(ms(at), fault);
        }
    }
}

/// How often what a test is about happened.
pub type Coverage = BTreeMap<&'static str, u32>;

/// Plays histories with several seeds; SOAK=20 plays twenty times as many.
pub fn play(seeds: std::ops::Range<u64>, faults: impl Fn(&mut Simulation, i64)) -> Coverage {
    let mut coverage = Coverage::new();
    let soak = std::env::var("SOAK")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(1);
    let more = (1..soak).flat_map(|k| seeds.clone().map(move |s| s + 10_000 * k));
    for seed in seeds.clone().chain(more) {
        add_coverage(&mut coverage, history(seed, &faults).coverage);
    }
    coverage
}

/// Counts what another run reached as well.
pub fn add_coverage(sum: &mut Coverage, coverage: Coverage) {
    for (what, n) in coverage {
        *sum.entry(what).or_default() += n;
    }
}

pub fn count(coverage: &Coverage, what: &str) -> u32 {
    coverage.get(what).copied().unwrap_or(0)
}

/// One-task jobs at four a second for two minutes, a quarter of them called off, while controllers end.
pub fn stream_of_small_jobs(seed: u64) -> Simulation {
    log_if_chosen(seed);
    let mut w = Simulation::sized(
        seed,
        Scale {
            machines: 10,
            most: 30,
            limits: [0; 10],
            ..SMALL
        },
    );
    let last = 120_000;
    w.quiet_from = ms(last);
    for n in 0..480 {
        let mut spec = w.job(n);
        (spec.kind, spec.class, spec.tasks) = (JobKind::Array, "small".into(), 1);
        (spec.task_resources, spec.image_mb) = (Resources::rounded_up(1.0, 0.0, 1.0), 100);
        (spec.one_zone, spec.spread) = (false, false);
        let (id, at) = (spec.id.clone(), 250 * i64::from(n));
        w.submit(ms(at), spec);
        if n % 4 == 0 {
            let later = w.draw(100..9_000);
            w.cancel(ms(at + later), id);
        }
    }
    for k in 0..4 {
        let at = 15_000 + 25_000 * k + w.draw(0..8_000);
        let claim = ["leader", "share/0", "share/1", "share/2"][w.draw(0..4) as usize];
        let back = ms(w.draw(100..5_500));
        w.fault(ms(at), Fault::CrashHolder { claim, back });
    }
    w.run_until(ms(last + 240_000));
    assert_eq!(w.owed(), Vec::<String>::new(), "seed {seed}");
    w
}

/// Every team has more small tasks than its limit lets run, all the time; some of its jobs are called off while
/// their machines hang or are cut off, and controllers end.
pub fn teams_at_their_limits(seed: u64) -> Simulation {
    log_if_chosen(seed);
    let mut w = Simulation::sized(
        seed,
        Scale {
            machines: 9,
            most: 18,
            limits: [6, 6, 6, 6, 0, 0, 0, 0, 0, 0],
            ..SMALL
        },
    );
    w.quiet_from = ms(80_000);
    for n in 0..44 {
        let mut spec = w.job(n);
        (spec.kind, spec.class, spec.tasks) = (JobKind::Array, "small".into(), 6);
        (spec.team, spec.task_resources) = (
            ["a", "b", "c", "d"][n as usize % 4].into(),
            Resources::rounded_up(1.0, 0.0, 2.0),
        );
        (spec.zone, spec.one_zone, spec.spread) = (None, false, false);
        let at = w.draw(500..6_000);
        w.submit(ms(at), spec);
    }
    for k in 0..5 {
        let at = 11_000 + 13_000 * k;
        let (hang, lasts) = (ms(w.draw(4_000..9_000)), ms(w.draw(5_000..14_000)));
        w.fault(ms(at - 300), Fault::CutMachines { count: 2, lasts });
        w.fault(ms(at), Fault::CancelRunning { count: 3, hang });
        let claim = if k % 2 == 0 {
            "leader"
        } else {
            ["share/0", "share/1", "share/2"][w.draw(0..3) as usize]
        };
        let back = ms(w.draw(200..5_500));
        let later = w.draw(1_500..3_500);
        w.fault(ms(at + later), Fault::CrashHolder { claim, back });
    }
    w.run_until(ms(320_000));
    assert_eq!(w.owed(), Vec::<String>::new(), "seed {seed}");
    w
}
