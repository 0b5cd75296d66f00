//! Faults that on-call engineers have met: machines that boot late or never, controllers that are unresponsive for long
//! or reach only a part of the systems they need, and jobs that fail on every machine. Each test injects them into
//! simulated runs together with other faults; all invariants are checked, and coverage counters show that the
//! situations occurred.

use seamfront_core::types::*;
use seamfront_testing::simulation::recording::scenario;
use seamfront_testing::simulation::scenarios::{
    add_coverage, any_controller, coverage_count, simulate, simulate_seeds, Coverage, SHARD_CLAIMS,
};
use seamfront_testing::simulation::{ms, Fault, Scale, Simulation, CONTROLLERS, SMALL};

/// Once the faults are over, no machine that never boots is still provisioned and paid for, whichever controllers have
/// led since it was provisioned.
#[test]
fn machines_that_never_boot_are_terminated_while_leaders_change() {
    scenario("on_call.machines_come_up_late_or_never_while_leaders_change");
    let mut coverage = Coverage::new();
    for seed in 2_000..2_012 {
        let simulation = simulate(seed, |simulation, faults_end_ms| {
            let percent = [100, 400, 800][simulation.draw(0..3) as usize];
            simulation.fault(
                ms(1_000),
                Fault::BadBoots {
                    until: ms(faults_end_ms),
                    never: 30,
                    percent,
                },
            );
            for k in 0..4 {
                let at = 9_000 + 19_000 * k + simulation.draw(0..6_000);
                let fault = match simulation.draw(0..3) {
                    0 => Fault::CrashHolder {
                        claim: "leader",
                        restart_after: ms(simulation.draw(100..6_000)),
                    },
                    1 => Fault::CloudOutage {
                        until: ms(at + 9_000),
                    },
                    _ => Fault::KillMachines { count: 2 },
                };
                simulation.fault(ms(at), fault);
            }
        });
        assert_eq!(
            simulation.never_booting(),
            [],
            "seed {seed}: machines that never boot were not terminated"
        );
        add_coverage(&mut coverage, simulation.coverage);
    }
    assert!(
        coverage_count(&coverage, "a machine was rented that never comes up") > 20,
        "{coverage:?}"
    );
}

/// For a while no machine boots at all, and then all boot within moments. Meanwhile the machines that run are used, and
/// in the end all jobs are done.
#[test]
fn all_jobs_end_when_no_machine_boots_and_then_all_boot_at_once() {
    scenario("on_call.nothing_boots_or_everything_at_once");
    let coverage = simulate_seeds(2_020..2_030, |simulation, _| {
        simulation.fault(
            ms(1_000),
            Fault::BadBoots {
                until: ms(40_000),
                never: 100,
                percent: 100,
            },
        );
        simulation.fault(
            ms(40_000),
            Fault::BadBoots {
                until: ms(80_000),
                never: 0,
                percent: 5,
            },
        );
        simulation.fault(ms(20_000), Fault::KillMachines { count: 2 });
        let at = simulation.draw(30_000..60_000);
        simulation.fault(
            ms(at),
            Fault::CrashHolder {
                claim: "leader",
                restart_after: ms(400),
            },
        );
    });
    assert!(
        coverage_count(&coverage, "a machine was rented that never comes up") > 20,
        "{coverage:?}"
    );
    assert!(
        coverage_count(
            &coverage,
            "a machine was rented that boots faster or slower"
        ) > 5,
        "{coverage:?}"
    );
}

/// Controllers are frozen for up to a minute while their clocks run on, or are cut off from everything with all
/// messages in flight held back: first one, then a second one as well, and the first one again within seconds of its
/// return. Meanwhile users cancel jobs.
#[test]
fn invariants_hold_when_controllers_are_unresponsive_for_a_minute_while_jobs_are_cancelled() {
    scenario("on_call.controllers_are_silent_for_a_minute_while_jobs_are_cancelled");
    let coverage = simulate_seeds(2_040..2_054, |simulation, _| {
        let first = any_controller(simulation);
        let second = (first + 1) % CONTROLLERS;
        for (k, controller) in [first, second, first].into_iter().enumerate() {
            let at = [8_000, 9_500, 71_500][k];
            let until = ms(at + [60_000, 45_000, 15_000][k]);
            if simulation.draw(0..2) == 0 {
                simulation.fault(ms(at), Fault::PauseController { controller, until });
            } else {
                simulation.fault(
                    ms(at),
                    Fault::CutStore {
                        controller,
                        until,
                        deliver_late: true,
                    },
                );
                simulation.fault(
                    ms(at),
                    Fault::CutAgents {
                        controller,
                        until,
                        deliver_late: true,
                    },
                );
                simulation.fault(ms(at), Fault::CutPeers { controller, until });
            }
        }
        for at in [10_000, 22_000, 68_500, 73_000] {
            let hang_for = ms(simulation.draw(0..8_000));
            simulation.fault(ms(at), Fault::CancelRunning { count: 3, hang_for });
        }
        simulation.fault(ms(8_000), Fault::DuplicateHeartbeats { until: ms(85_000) });
    });
    assert!(
        coverage_count(&coverage, "leadership was taken") > 20,
        "{coverage:?}"
    );
}

/// A controller reaches agents but not the store, or the store but no agents, or is refused by the store alone, for
/// less than a lease of 12 s or for longer. One that cannot serve its agents transfers its shards to other members.
#[test]
fn claims_of_partly_disconnected_controllers_are_taken_over_without_flapping() {
    scenario("on_call.a_controller_sees_a_part_of_what_it_needs");
    let coverage = simulate_seeds(2_060..2_076, |simulation, _| {
        for k in 0..3 {
            let at = 9_000 + 26_000 * k;
            let controller = any_controller(simulation);
            let until = ms(at + [5_000, 11_000, 24_000][simulation.draw(0..3) as usize]);
            let deliver_late = simulation.draw(0..2) == 0;
            let fault = match simulation.draw(0..4) {
                0 => Fault::CutStore {
                    controller,
                    until,
                    deliver_late,
                },
                1 => Fault::RefuseController { controller, until },
                _ => Fault::CutAgents {
                    controller,
                    until,
                    deliver_late,
                },
            };
            simulation.fault(ms(at), fault);
            simulation.fault(
                ms(at + 3_000),
                Fault::CancelRunning {
                    count: 3,
                    hang_for: Micros::ZERO,
                },
            );
        }
    });
    let claims = coverage_count(&coverage, "a claim was taken");
    assert!(
        claims > 16 * 5,
        "too few claims were acquired: {coverage:?}"
    );
    assert!(
        claims < 16 * 40,
        "claims moved back and forth between members: {coverage:?}"
    );
}

/// Jobs that fail everywhere stay known and are retried until their users cancel them. All other jobs are done as if
/// the failing ones did not exist.
#[test]
fn jobs_that_fail_on_every_machine_do_not_hinder_others_until_they_are_cancelled() {
    scenario("on_call.jobs_that_fail_on_every_machine_until_they_are_cancelled");
    let coverage = simulate_seeds(2_080..2_092, |simulation, _| {
        for n in 100..112 {
            let mut spec = simulation.job(n);
            if spec.team == "b" {
                spec.team = "d".into();
            }
            spec.class = format!("{} with a mistake", spec.class);
            let (id, at) = (spec.id.clone(), simulation.draw(500..30_000));
            simulation.make_failing(&spec);
            simulation.submit(ms(at), spec);
            let cancel_delay = simulation.draw(25_000..60_000);
            simulation.cancel(ms(at + cancel_delay), id);
        }
        for k in 0..3 {
            let at = 14_000 + 22_000 * k + simulation.draw(0..6_000);
            let claim = SHARD_CLAIMS[simulation.draw(0..3) as usize];
            let restart_after = ms(simulation.draw(100..6_000));
            simulation.fault(
                ms(at),
                Fault::CrashHolder {
                    claim,
                    restart_after,
                },
            );
        }
    });
    assert!(
        coverage_count(
            &coverage,
            "a task failed since its job was submitted with a mistake"
        ) > 100,
        "{coverage:?}"
    );
}

/// Polls use at most a fifth of the store's request rate, however many there are: polls that arrive within a moment
/// share one verification. Submissions and cancellations continue, and no answer is older than an earlier one (the
/// simulation checks this).
#[test]
fn polls_use_at_most_a_fifth_of_the_store_rate_at_fifty_times_their_usual_rate() {
    scenario("on_call.users_ask_fifty_times_as_often");
    let simulate_polls = |factor: i64| {
        let mut store_requests = 0;
        let mut coverage = Coverage::new();
        for seed in 2_100..2_106 {
            let simulation = simulate(seed, |simulation, _| {
                simulation.fault(
                    ms(15_000),
                    Fault::PollStorm {
                        until: ms(75_000),
                        factor,
                    },
                );
                simulation.fault(
                    ms(30_000),
                    Fault::CancelRunning {
                        count: 4,
                        hang_for: Micros::ZERO,
                    },
                );
                simulation.fault(
                    ms(50_000),
                    Fault::CrashHolder {
                        claim: "leader",
                        restart_after: ms(3_000),
                    },
                );
            });
            store_requests += (20..70)
                .map(|second| simulation.store_load[&second].0)
                .sum::<u32>();
            add_coverage(&mut coverage, simulation.coverage);
        }
        (
            store_requests,
            coverage_count(&coverage, "a question was asked besides the usual ones"),
        )
    };
    let ((usual_requests, usual_polls), (storm_requests, storm_polls)) =
        (simulate_polls(1), simulate_polls(50));
    assert!(
        storm_polls > 20 * usual_polls && storm_polls > 10_000,
        "{usual_polls} polls at the usual rate, {storm_polls} at fifty times that"
    );
    let fifth_of_rate = 6 * 50 * SMALL.store_rps as u32 / 5;
    assert!(
        storm_requests < usual_requests + fifth_of_rate,
        "{usual_requests} requests to the store at the usual rate, {storm_requests} at fifty times that"
    );
    assert!(
        storm_requests < 2 * usual_requests,
        "{usual_requests} requests to the store at the usual rate, {storm_requests} at fifty times that"
    );
}

/// At the first start no existing machine has a record, and more machines are being provisioned all the time. Only
/// machines that a provisioning request in flight may have created must wait for its answer before they are adopted.
#[test]
fn existing_machines_are_adopted_while_others_are_being_provisioned() {
    scenario("on_call.machines_at_hand_are_adopted_while_others_are_being_rented");
    for seed in 2_120..2_124 {
        let mut simulation = Simulation::sized(
            seed,
            Scale {
                machines: 60,
                max_machines: 90,
                write_rps: 16,
                limits: [0; 10],
                ..SMALL
            },
        );
        simulation.faults_end = ms(1_000);
        simulation.fault(ms(1), Fault::SlowProvisioning { until: ms(60_000) });
        for n in 0..20 {
            let mut spec = simulation.job(n);
            (spec.kind, spec.tasks, spec.types) = (JobKind::Array, 30, Some(vec!["large".into()]));
            let at = 500 * i64::from(n);
            simulation.submit(ms(at), spec);
        }
        simulation.run_until(ms(25_000));
        assert!(
            simulation.count_keys("machine/") >= 60,
            "seed {seed}: only {} of 60 machines adopted after 25 s",
            simulation.count_keys("machine/")
        );
        assert!(
            coverage_count(
                &simulation.coverage,
                "the cloud took seconds to answer a request for machines"
            ) > 3
        );
    }
}

/// One team runs a parameter sweep of thousands of tasks of a few seconds each, at the lowest priority, beside the jobs
/// of other teams and while holders crash. The sweep's load on the store grows with its running tasks and the ranges of
/// task numbers in its record, not with its size.
#[test]
fn a_large_parameter_sweep_causes_fewer_writes_than_tasks_while_holders_crash() {
    const TASKS: u32 = 4_000;
    scenario("on_call.a_sweep_of_many_short_tasks_beside_the_others_work");
    for seed in 2_130..2_133 {
        let mut simulation = Simulation::sized(
            seed,
            Scale {
                machines: 16,
                max_machines: 20,
                limits: [0; 10],
                ..SMALL
            },
        );
        simulation.faults_end = ms(90_000);
        for n in 0..30 {
            let mut spec = simulation.job(n);
            spec.team = ["a", "b", "c"][n as usize % 3].into();
            let (id, service, at) = (
                spec.id.clone(),
                spec.kind == JobKind::Service,
                2_000 * i64::from(n),
            );
            simulation.submit(ms(at), spec);
            if service {
                simulation.cancel(ms(at + 60_000), id);
            }
        }
        let mut sweep = simulation.job(99);
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
        simulation.submit(ms(15_000), sweep);
        simulation.fault(
            ms(40_000),
            Fault::CrashHolder {
                claim: "leader",
                restart_after: ms(5_000),
            },
        );
        simulation.fault(
            ms(60_000),
            Fault::CrashHolder {
                claim: "share/0",
                restart_after: ms(300),
            },
        );
        simulation.run_until(ms(390_000));
        assert_eq!(
            simulation.unfinished_jobs(),
            Vec::<String>::new(),
            "seed {seed}"
        );
        assert_eq!(
            simulation.underserved_groups(),
            Vec::<String>::new(),
            "seed {seed}"
        );
        let writes: u32 = simulation.store_load.values().map(|second| second.1).sum();
        assert!(
            writes < TASKS,
            "seed {seed}: {writes} writes for {TASKS} tasks and thirty other jobs"
        );
    }
}
