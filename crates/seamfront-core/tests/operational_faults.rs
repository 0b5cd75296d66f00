//! What on-call people met: machines that come up late or never, controllers that are silent for long or see only a
//! part of what they need, and jobs that fail on every machine. Each test brings it about in the seeded world, together
//! with older troubles, and asserts that it did.

use seamfront_core::types::*;
use seamfront_testing::simulation::recording::scenario;
use seamfront_testing::simulation::scenarios::{
    add_coverage, any_controller, count, simulate, simulate_seeds, Coverage, SHARD_CLAIMS,
};
use seamfront_testing::simulation::{ms, Fault, Scale, Simulation, CONTROLLERS, SMALL};

/// Nothing that never comes up is paid for once the troubles are over, whoever has led since it was rented.
#[test]
fn machines_come_up_late_or_never_while_leaders_change() {
    scenario("on_call.machines_come_up_late_or_never_while_leaders_change");
    let mut coverage = Coverage::new();
    for seed in 2_000..2_012 {
        let w = simulate(seed, |w, troubles| {
            let percent = [100, 400, 800][w.draw(0..3) as usize];
            w.fault(
                ms(1_000),
                Fault::BadBoots {
                    until: ms(troubles),
                    never: 30,
                    percent,
                },
            );
            for k in 0..4 {
                let at = 9_000 + 19_000 * k + w.draw(0..6_000);
                let fault = match w.draw(0..3) {
                    0 => Fault::CrashHolder {
                        claim: "leader",
                        back: ms(w.draw(100..6_000)),
                    },
                    1 => Fault::CloudOutage {
                        until: ms(at + 9_000),
                    },
                    _ => Fault::KillMachines { count: 2 },
                };
                w.fault(ms(at), fault);
            }
        });
        assert_eq!(w.never_booting(), [], "seed {seed}: paid for to the end");
        add_coverage(&mut coverage, w.coverage);
    }
    assert!(
        count(&coverage, "a machine was rented that never comes up") > 20,
        "{coverage:?}"
    );
}

/// For a while nothing boots at all, or everything within moments: what is up serves, and all is done in the end.
#[test]
fn nothing_boots_or_everything_at_once() {
    scenario("on_call.nothing_boots_or_everything_at_once");
    let coverage = simulate_seeds(2_020..2_030, |w, _| {
        w.fault(
            ms(1_000),
            Fault::BadBoots {
                until: ms(40_000),
                never: 100,
                percent: 100,
            },
        );
        w.fault(
            ms(40_000),
            Fault::BadBoots {
                until: ms(80_000),
                never: 0,
                percent: 5,
            },
        );
        w.fault(ms(20_000), Fault::KillMachines { count: 2 });
        let at = w.draw(30_000..60_000);
        w.fault(
            ms(at),
            Fault::CrashHolder {
                claim: "leader",
                back: ms(400),
            },
        );
    });
    assert!(
        count(&coverage, "a machine was rented that never comes up") > 20,
        "{coverage:?}"
    );
    assert!(
        count(
            &coverage,
            "a machine was rented that boots faster or slower"
        ) > 5,
        "{coverage:?}"
    );
}

/// Frozen for a minute, its clocks running on, or off the net with all that was under way held back; the leader, two at
/// once, and the same one again within seconds, while users cancel.
#[test]
fn controllers_are_silent_for_a_minute_while_jobs_are_cancelled() {
    scenario("on_call.controllers_are_silent_for_a_minute_while_jobs_are_cancelled");
    let coverage = simulate_seeds(2_040..2_054, |w, _| {
        let first = any_controller(w);
        let second = (first + 1) % CONTROLLERS;
        for (k, n) in [first, second, first].into_iter().enumerate() {
            let at = [8_000, 9_500, 71_500][k];
            let until = ms(at + [60_000, 45_000, 15_000][k]);
            if w.draw(0..2) == 0 {
                w.fault(
                    ms(at),
                    Fault::PauseController {
                        controller: n,
                        until,
                    },
                );
            } else {
                w.fault(
                    ms(at),
                    Fault::CutStore {
                        controller: n,
                        until,
                        hold: true,
                    },
                );
                w.fault(
                    ms(at),
                    Fault::CutAgents {
                        controller: n,
                        until,
                        hold: true,
                    },
                );
                w.fault(
                    ms(at),
                    Fault::CutPeers {
                        controller: n,
                        until,
                    },
                );
            }
        }
        for at in [10_000, 22_000, 68_500, 73_000] {
            let hang = ms(w.draw(0..8_000));
            w.fault(ms(at), Fault::CancelRunning { count: 3, hang });
        }
        w.fault(ms(8_000), Fault::DuplicateHeartbeats { until: ms(85_000) });
    });
    assert!(
        count(&coverage, "leadership was taken") > 20,
        "{coverage:?}"
    );
}

/// It sees workers and not the state service, the state service and no workers, or is refused by the state service
/// alone; for less than a lease of 12 s and for longer. Whoever cannot serve its workers hands its shards over.
#[test]
fn a_controller_sees_a_part_of_what_it_needs() {
    scenario("on_call.a_controller_sees_a_part_of_what_it_needs");
    let coverage = simulate_seeds(2_060..2_076, |w, _| {
        for k in 0..3 {
            let at = 9_000 + 26_000 * k;
            let n = any_controller(w);
            let until = ms(at + [5_000, 11_000, 24_000][w.draw(0..3) as usize]);
            let hold = w.draw(0..2) == 0;
            let fault = match w.draw(0..4) {
                0 => Fault::CutStore {
                    controller: n,
                    until,
                    hold,
                },
                1 => Fault::RefuseController {
                    controller: n,
                    until,
                },
                _ => Fault::CutAgents {
                    controller: n,
                    until,
                    hold,
                },
            };
            w.fault(ms(at), fault);
            w.fault(
                ms(at + 3_000),
                Fault::CancelRunning {
                    count: 3,
                    hang: Micros::ZERO,
                },
            );
        }
    });
    let claims = count(&coverage, "a claim was taken");
    assert!(claims > 16 * 5, "nobody took over: {coverage:?}");
    assert!(claims < 16 * 40, "claims went to and fro: {coverage:?}");
}

/// They stay known and are tried on until their users cancel them; all other jobs are done as if they were not there.
#[test]
fn jobs_that_fail_on_every_machine_until_they_are_cancelled() {
    scenario("on_call.jobs_that_fail_on_every_machine_until_they_are_cancelled");
    let coverage = simulate_seeds(2_080..2_092, |w, _| {
        for n in 100..112 {
            let mut spec = w.job(n);
            if spec.team == "b" {
                spec.team = "d".into();
            }
            spec.class = format!("{} with a mistake", spec.class);
            let (id, at) = (spec.id.clone(), w.draw(500..30_000));
            w.make_failing(&spec);
            w.submit(ms(at), spec);
            let later = w.draw(25_000..60_000);
            w.cancel(ms(at + later), id);
        }
        for k in 0..3 {
            let at = 14_000 + 22_000 * k + w.draw(0..6_000);
            let claim = SHARD_CLAIMS[w.draw(0..3) as usize];
            let back = ms(w.draw(100..6_000));
            w.fault(ms(at), Fault::CrashHolder { claim, back });
        }
    });
    assert!(
        count(
            &coverage,
            "a task failed since its job was submitted with a mistake"
        ) > 100,
        "{coverage:?}"
    );
}

/// Questions cost the state service a fifth of its rate at most, however many there are: those that come within a
/// moment share a confirmation. Submissions and cancellations go on, and nobody is told anything older (the world checks it).
#[test]
fn users_ask_fifty_times_as_often() {
    scenario("on_call.users_ask_fifty_times_as_often");
    let asked = |factor: i64| {
        let mut sum = 0;
        let mut coverage = Coverage::new();
        for seed in 2_100..2_106 {
            let w = simulate(seed, |w, _| {
                w.fault(
                    ms(15_000),
                    Fault::PollStorm {
                        until: ms(75_000),
                        factor,
                    },
                );
                w.fault(
                    ms(30_000),
                    Fault::CancelRunning {
                        count: 4,
                        hang: Micros::ZERO,
                    },
                );
                w.fault(
                    ms(50_000),
                    Fault::CrashHolder {
                        claim: "leader",
                        back: ms(3_000),
                    },
                );
            });
            sum += (20..70).map(|second| w.store_load[&second].0).sum::<u32>();
            add_coverage(&mut coverage, w.coverage);
        }
        (
            sum,
            count(&coverage, "a question was asked besides the usual ones"),
        )
    };
    let ((usual, few), (storm, many)) = (asked(1), asked(50));
    assert!(
        many > 20 * few && many > 10_000,
        "{few} and {many} questions"
    );
    let a_fifth = 6 * 50 * SMALL.state_rps as u32 / 5;
    assert!(
        storm < usual + a_fifth,
        "{usual} requests to the store at the usual rate, {storm} at fifty times that"
    );
    assert!(
        storm < 2 * usual,
        "{usual} requests to the store at the usual rate, {storm} at fifty times that"
    );
}

/// At the first start all machines at hand are without records, and more are asked for all the time. Only those that
/// may have been rented just then must wait for the answer.
#[test]
fn machines_at_hand_are_adopted_while_others_are_being_rented() {
    scenario("on_call.machines_at_hand_are_adopted_while_others_are_being_rented");
    for seed in 2_120..2_124 {
        let mut w = Simulation::sized(
            seed,
            Scale {
                machines: 60,
                max_machines: 90,
                write_rps: 16,
                limits: [0; 10],
                ..SMALL
            },
        );
        w.faults_end = ms(1_000);
        w.fault(ms(1), Fault::SlowProvisioning { until: ms(60_000) });
        for n in 0..20 {
            let mut spec = w.job(n);
            (spec.kind, spec.tasks, spec.types) = (JobKind::Array, 30, Some(vec!["large".into()]));
            let at = 500 * i64::from(n);
            w.submit(ms(at), spec);
        }
        w.run_until(ms(25_000));
        assert!(
            w.count_keys("machine/") >= 60,
            "seed {seed}: {} of 60 after 25 s",
            w.count_keys("machine/")
        );
        assert!(
            count(
                &w.coverage,
                "the cloud took seconds to answer a request for machines"
            ) > 3
        );
    }
}

/// One guest's sweep of thousands of tasks of seconds each, at the lowest priority, beside the others' work and with
/// controllers that end: what it costs the state service grows with its running tasks and its ranges, not with its size.
#[test]
fn a_sweep_of_many_short_tasks_beside_the_others_work() {
    const TASKS: u32 = 4_000;
    scenario("on_call.a_sweep_of_many_short_tasks_beside_the_others_work");
    for seed in 2_130..2_133 {
        let mut w = Simulation::sized(
            seed,
            Scale {
                machines: 16,
                max_machines: 20,
                limits: [0; 10],
                ..SMALL
            },
        );
        w.faults_end = ms(90_000);
        for n in 0..30 {
            let mut spec = w.job(n);
            spec.team = ["a", "b", "c"][n as usize % 3].into();
            let (id, service, at) = (
                spec.id.clone(),
                spec.kind == JobKind::Service,
                2_000 * i64::from(n),
            );
            w.submit(ms(at), spec);
            if service {
                w.cancel(ms(at + 60_000), id);
            }
        }
        let mut sweep = w.job(99);
        (sweep.kind, sweep.class, sweep.team, sweep.priority) = (
            JobKind::Array,
            "sweep".into(),
            "d".into(),
            Priority::BestEffort,
        );
        (sweep.tasks, sweep.task_resources, sweep.image_mb) =
            (TASKS, Resources::rounded_up(0.25, 0.0, 0.25), 100);
        (sweep.zone, sweep.one_zone, sweep.spread, sweep.spot) = (None, false, false, true);
        (sweep.deadline, sweep.checkpoint_interval, sweep.estimate) =
            (None, Micros::ZERO, ms(4_000));
        w.submit(ms(15_000), sweep);
        w.fault(
            ms(40_000),
            Fault::CrashHolder {
                claim: "leader",
                back: ms(5_000),
            },
        );
        w.fault(
            ms(60_000),
            Fault::CrashHolder {
                claim: "share/0",
                back: ms(300),
            },
        );
        w.run_until(ms(390_000));
        assert_eq!(w.unfinished(), Vec::<String>::new(), "seed {seed}");
        assert_eq!(w.not_served(), Vec::<String>::new(), "seed {seed}");
        let writes: u32 = w.store_load.values().map(|second| second.1).sum();
        assert!(
            writes < TASKS,
            "seed {seed}: {writes} writes for {TASKS} tasks and thirty other jobs"
        );
    }
}
