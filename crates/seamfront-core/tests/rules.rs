//! Simulated runs of several engines under injected faults, each drawn from a seed. After every step all invariants are
//! checked against what actually runs on the machines. No outside system is needed.

use seamfront_core::types::*;
use seamfront_testing::simulation::recording::scenario;
use seamfront_testing::simulation::scenarios::simulate;
use seamfront_testing::simulation::{ms, Fault, Simulation, CONTROLLERS};

fn random_faults(simulation: &mut Simulation, faults_end_ms: i64) {
    for _ in 0..7 {
        let at = simulation.draw(5_000..faults_end_ms - 12_000);
        let duration = simulation.draw(1_000..25_000);
        let until = ms((at + duration).min(faults_end_ms));
        let controller = simulation.draw(0..CONTROLLERS as i64) as usize;
        let deliver_late = simulation.draw(0..2) == 0;
        let fault = match simulation.draw(0..17) {
            0 => Fault::Crash {
                controllers: vec![controller],
                restart_after: ms(simulation.draw(100..6_000)),
            },
            1 => Fault::Crash {
                controllers: vec![controller, (controller + 1) % CONTROLLERS],
                restart_after: ms(5_000),
            },
            2 => Fault::Crash {
                controllers: (0..CONTROLLERS).collect(),
                restart_after: ms(simulation.draw(200..6_000)),
            },
            3 => Fault::StoreOutage { until },
            4 => Fault::RefuseController { controller, until },
            5 => Fault::CutStore {
                controller,
                until,
                deliver_late,
            },
            6 => Fault::CutAgents {
                controller,
                until,
                deliver_late,
            },
            7 => Fault::CutPeers { controller, until },
            8 => Fault::CloudOutage { until },
            12 => Fault::CutLinks {
                controller,
                count: 4,
                until,
            },
            13 => Fault::LoseAnswers {
                count: 3,
                duration: ms(duration),
            },
            14 => Fault::DuplicateHeartbeats {
                until: ms(at + 40_000),
            },
            15 => Fault::RestartMachines { count: 2 },
            16 => Fault::Crash {
                controllers: vec![controller],
                restart_after: ms(simulation.draw(20..600)),
            },
            9 => Fault::KillMachines {
                count: simulation.draw(1..4) as usize,
            },
            10 => Fault::HangMachines {
                count: 2,
                duration: ms(duration),
            },
            _ if deliver_late => Fault::CutMachines {
                count: 3,
                duration: ms(duration),
            },
            _ => Fault::PreemptionNotice { count: 2 },
        };
        simulation.fault(ms(at), fault);
    }
}

/// The tests of this file detect when one of these safeguards is missing: with each of them removed on purpose, at
/// least one test failed, with the violation named after the colon.
/// - a task is ordered only after the record of its placement is written (`Phase::Recording`): `ran_twice`
/// - a task counts as absent only if it is missing in a heartbeat that shows the current fencing token, while no
///   command is unsettled (`Shard::apply_heartbeat`): `quota`
/// - an unanswered command stays unsettled (`Shard::apply_direct_outcome`): `quota`, unfinished jobs
/// - a lease counts as expired only from the time of `Machine::lease_expiry`: `ran_twice`
/// - start orders that went only to an earlier incarnation are void in a later one (`Shard::apply_heartbeat`):
///   `ran_twice`
/// - a holder acts only for a limited time without verifying its claim (`Settings::verification_ttl`): `ran_cancelled`
/// - the fencing token is the larger of the versions of claim and record (`Machine::fencing_token`): unfinished jobs
/// - a scheduling cycle observes the team's limit: `quota`
///
/// No test failed when only the claim's version was removed from the conditions of every write: the version of the
/// record itself, a condition of the same transaction, is a second safeguard against the same error.
#[test]
fn invariants_hold_under_random_overlapping_faults() {
    scenario("rules.no_rule_breaks_under_random_overlapping_troubles");
    for seed in (0..40).chain(136..137) {
        simulate(seed, random_faults);
    }
}

#[test]
fn all_jobs_end_without_faults() {
    scenario("rules.a_quiet_day_gets_everything_done");
    for seed in 100..104 {
        simulate(seed, |_, _| {});
    }
}

#[test]
fn invariants_hold_when_controllers_crash_during_elections() {
    scenario("rules.crashes_in_the_middle_of_elections");
    for seed in 200..212 {
        simulate(seed, |simulation, _| {
            for k in 0..6 {
                let at = 10_000 + k * 9_000 + simulation.draw(0..6_000);
                let controller = simulation.draw(0..CONTROLLERS as i64) as usize;
                let restart_after = ms(simulation.draw(100..5_000));
                simulation.fault(
                    ms(at),
                    Fault::Crash {
                        controllers: vec![controller],
                        restart_after,
                    },
                );
                let second_crash_at = at + simulation.draw(50..4_500);
                let other = (controller + 1) % CONTROLLERS;
                let restart_after = ms(simulation.draw(100..1_000));
                simulation.fault(
                    ms(second_crash_at),
                    Fault::Crash {
                        controllers: vec![other],
                        restart_after,
                    },
                );
            }
        });
    }
}

/// A holder that is refused only by the store continues for a while, and another controller takes over. Cancellations,
/// starts and answers of the two must not contradict each other.
#[test]
fn invariants_hold_when_the_store_refuses_one_controller() {
    scenario("rules.refused_by_the_state_service_alone");
    for seed in 300..330 {
        simulate(seed, |simulation, _| {
            for k in 0..3 {
                let at = 12_000 + k * 26_000;
                let controller = simulation.draw(0..CONTROLLERS as i64) as usize;
                simulation.fault(
                    ms(at),
                    Fault::RefuseController {
                        controller,
                        until: ms(at + 24_000),
                    },
                );
                if simulation.draw(0..3) > 0 {
                    let until = ms(at + 24_000);
                    simulation.fault(ms(at + 100), Fault::CutPeers { controller, until });
                    simulation.fault(
                        ms(at + 4_500),
                        Fault::CutLinks {
                            controller,
                            count: 5,
                            until,
                        },
                    );
                }
            }
        });
    }
}

/// A holder that cannot learn that it has been replaced acts for at most `Settings::verification_ttl`. Meanwhile some
/// of its machines have turned to the new holder, and others hang after the last message of the old one.
#[test]
fn invariants_hold_when_a_holder_is_cut_off_for_longer_than_it_may_act() {
    scenario("rules.a_holder_cut_off_for_longer_than_it_may_act");
    for seed in 350..362 {
        simulate(seed, |simulation, _| {
            let at = simulation.draw(8_000..16_000);
            let controller = simulation.draw(0..CONTROLLERS as i64) as usize;
            let until = ms(at + 70_000);
            if simulation.draw(0..2) == 0 {
                simulation.fault(ms(at), Fault::RefuseController { controller, until });
            } else {
                simulation.fault(
                    ms(at),
                    Fault::CutStore {
                        controller,
                        until,
                        deliver_late: true,
                    },
                );
            }
            simulation.fault(ms(at), Fault::CutPeers { controller, until });
            for k in 0..3 {
                simulation.fault(
                    ms(at + 4_500 + 2_000 * k),
                    Fault::CutLinks {
                        controller,
                        count: 3,
                        until,
                    },
                );
                simulation.fault(
                    ms(at + 10_500 + 1_500 * k),
                    Fault::HangMachines {
                        count: 2,
                        duration: ms(9_000),
                    },
                );
            }
        });
    }
}

#[test]
fn invariants_hold_when_a_controller_is_cut_off_from_the_store_and_its_transactions_execute_late() {
    scenario("rules.cut_from_the_state_service_with_late_transactions");
    for seed in 400..416 {
        simulate(seed, |simulation, _| {
            for k in 0..3 {
                let at = 10_000 + k * 25_000;
                let controller = simulation.draw(0..CONTROLLERS as i64) as usize;
                let until = ms(at + simulation.draw(3_000..24_000));
                simulation.fault(
                    ms(at),
                    Fault::CutStore {
                        controller,
                        until,
                        deliver_late: true,
                    },
                );
                simulation.fault(ms(at), Fault::CutPeers { controller, until });
                simulation.fault(
                    ms(at + 2_000),
                    Fault::CutLinks {
                        controller,
                        count: 4,
                        until,
                    },
                );
                let duration = ms(simulation.draw(3_000..20_000));
                simulation.fault(ms(at + 500), Fault::HangMachines { count: 2, duration });
            }
        });
    }
}

#[test]
fn invariants_hold_when_machines_hang_are_cut_off_or_preempted() {
    scenario("rules.machines_that_hang_are_cut_or_taken");
    for seed in 500..512 {
        simulate(seed, |simulation, _| {
            for k in 0..6 {
                let at = 8_000 + k * 12_000;
                let duration = ms(simulation.draw(2_000..22_000));
                simulation.fault(ms(at), Fault::HangMachines { count: 2, duration });
                simulation.fault(ms(at + 3_000), Fault::CutMachines { count: 2, duration });
                simulation.fault(ms(at + 5_000), Fault::PreemptionNotice { count: 1 });
            }
        });
    }
}

/// Heartbeats of some machines keep arriving, at one controller after the other, while no answer or command reaches
/// these machines. Where a controller crashes as this begins, they never receive the new holder's fencing token.
#[test]
fn invariants_hold_when_heartbeats_arrive_but_answers_and_commands_are_lost() {
    scenario("rules.reports_arrive_but_answers_and_commands_do_not");
    for seed in 600..616 {
        simulate(seed, |simulation, _| {
            for k in 0..4 {
                let at = 8_000 + k * 19_000 + simulation.draw(0..5_000);
                let duration = ms(simulation.draw(3_000..40_000));
                simulation.fault(ms(at), Fault::LoseAnswers { count: 3, duration });
                if simulation.draw(0..2) == 0 {
                    let controller = simulation.draw(0..CONTROLLERS as i64) as usize;
                    let restart_after = ms(simulation.draw(50..6_000));
                    simulation.fault(
                        ms(at + 300),
                        Fault::Crash {
                            controllers: vec![controller],
                            restart_after,
                        },
                    );
                }
            }
        });
    }
}

/// Heartbeats arrive a second time, from seconds to well over a lease late, also at holders that have just acquired the
/// shard's claim and have seen nothing newer.
#[test]
fn invariants_hold_when_duplicate_heartbeats_arrive_late() {
    scenario("rules.late_copies_of_reports_prove_nothing");
    for seed in 700..720 {
        simulate(seed, |simulation, faults_end_ms| {
            simulation.fault(
                ms(1_000),
                Fault::DuplicateHeartbeats {
                    until: ms(faults_end_ms),
                },
            );
            for k in 0..6 {
                let at = 9_000 + k * 12_000 + simulation.draw(0..4_000);
                let controller = simulation.draw(0..CONTROLLERS as i64) as usize;
                let fault = match simulation.draw(0..5) {
                    0 => Fault::Crash {
                        controllers: vec![controller],
                        restart_after: ms(simulation.draw(20..900)),
                    },
                    1 => Fault::Crash {
                        controllers: (0..CONTROLLERS).collect(),
                        restart_after: ms(simulation.draw(20..5_000)),
                    },
                    2 => Fault::HangMachines {
                        count: 3,
                        duration: ms(simulation.draw(2_000..20_000)),
                    },
                    3 => Fault::CutLinks {
                        controller,
                        count: 5,
                        until: ms(at + 15_000),
                    },
                    _ => Fault::KillMachines { count: 2 },
                };
                simulation.fault(ms(at), fault);
            }
        });
    }
}

/// Controllers and agents restart within a fraction of a second, in the middle of elections, drains and takeovers,
/// while duplicate heartbeats and delayed transactions of the former incarnation arrive.
#[test]
fn invariants_hold_when_controllers_and_agents_restart_within_a_fraction_of_a_second() {
    scenario("rules.back_within_a_fraction_of_a_second");
    for seed in 800..816 {
        simulate(seed, |simulation, faults_end_ms| {
            simulation.fault(
                ms(1_000),
                Fault::DuplicateHeartbeats {
                    until: ms(faults_end_ms),
                },
            );
            for k in 0..8 {
                let at = 8_000 + k * 9_000 + simulation.draw(0..4_000);
                let controller = simulation.draw(0..CONTROLLERS as i64) as usize;
                let deliver_late = simulation.draw(0..2) == 0;
                let (duration, crash_delay, restart_after, agent_restart_delay) = (
                    simulation.draw(200..5_000),
                    simulation.draw(0..300),
                    simulation.draw(10..500),
                    simulation.draw(0..4_500),
                );
                simulation.fault(
                    ms(at),
                    Fault::CutStore {
                        controller,
                        until: ms(at + duration),
                        deliver_late,
                    },
                );
                simulation.fault(
                    ms(at + crash_delay),
                    Fault::Crash {
                        controllers: vec![controller],
                        restart_after: ms(restart_after),
                    },
                );
                simulation.fault(
                    ms(at + agent_restart_delay),
                    Fault::RestartMachines { count: 2 },
                );
            }
        });
    }
}

/// A gang needs nearly all of its team's limit, while small jobs of the same team keep arriving that would use up
/// whatever is released.
#[test]
fn a_gang_near_its_teams_limit_is_not_starved_by_small_jobs() {
    scenario("rules.a_gang_as_large_as_its_teams_limit_gets_its_turn");
    for seed in 850..854 {
        let mut simulation = Simulation::new(seed);
        simulation.faults_end = ms(300_000);
        let mut gang = simulation.job(0);
        (gang.kind, gang.class, gang.team, gang.priority) =
            (JobKind::Gang, "gang".into(), "b".into(), Priority::Urgent);
        (gang.tasks, gang.task_resources) = (3, Resources::rounded_up(3.0, 0.0, 4.0));
        (gang.one_zone, gang.spread, gang.zone, gang.spot) = (false, false, None, true);
        for n in 1..85 {
            let mut small = gang.clone();
            (small.id, small.kind, small.class) = (
                format!("j-{n:06}").as_str().into(),
                JobKind::Array,
                "small".into(),
            );
            small.tasks = 1;
            simulation.submit(ms(3_200 * i64::from(n)), small);
        }
        simulation.submit(ms(8_000), gang);
        simulation.run_until(ms(300_000));
        assert_eq!(
            simulation.underserved_groups(),
            Vec::<String>::new(),
            "seed {seed}"
        );
    }
}

/// Without faults, a start that is in flight as its job is cancelled is stopped by the answer to the next heartbeat, so
/// no task starts later than that (`check_late_starts`).
#[test]
fn no_task_starts_long_after_a_confirmed_cancellation() {
    scenario("rules.nothing_starts_long_after_a_confirmed_cancellation");
    let mut late_starts = 0;
    for seed in 800..806 {
        let mut simulation = Simulation::new(seed);
        simulation.faults_end = ms(1_000);
        for n in 0..60 {
            let spec = simulation.job(n);
            let (at, id) = (simulation.draw(31_000..110_000), spec.id.clone());
            simulation.submit(ms(at), spec);
            let cancel_delay = simulation.draw(0..5_000);
            simulation.cancel(ms(at + cancel_delay), id);
        }
        simulation.run_until(ms(200_000));
        late_starts += simulation
            .coverage
            .get("a task started after its cancellation was confirmed")
            .copied()
            .unwrap_or(0);
    }
    assert!(
        late_starts > 0,
        "vacuous runs: no start was in flight as its job was cancelled"
    );
}
