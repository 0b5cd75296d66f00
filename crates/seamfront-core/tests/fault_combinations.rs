//! Combinations of faults in simulated runs. All invariants are checked after every step, all jobs must end, and tests
//! of a specific combination assert by coverage counters that it occurred. `docs/fault-combinations.md` lists the
//! combinations with the code that handles each of them.

use seamfront_core::types::*;
use seamfront_testing::simulation::recording::scenario;
use seamfront_testing::simulation::scenarios::{
    add_coverage, any_controller, coverage_count, simulate_seeds, stream_of_small_jobs,
    teams_at_their_limits, Coverage, SHARD_CLAIMS,
};
use seamfront_testing::simulation::{ms, Fault, Simulation, CONTROLLERS};

/// Submits a random job of the simulation after applying `change` to it.
fn submit_changed_job(simulation: &mut Simulation, n: u32, at: i64, change: impl Fn(&mut JobSpec)) {
    let mut spec = simulation.job(n);
    if spec.team == "b" {
        // Team `b` has a small limit and could not finish additional jobs before the end of the run.
        spec.team = "d".into();
    }
    change(&mut spec);
    simulation.submit(ms(at), spec);
}

/// The most important combination. The store refuses one holder alone, users cancel jobs through other controllers, and
/// shortly afterwards the store is down for everybody, for longer than a cancellation may take to come into effect.
/// Meanwhile agents still send heartbeats to the old holder, and some of the machines hang and recover.
#[test]
fn invariants_hold_when_jobs_are_cancelled_between_a_refused_holder_and_a_store_outage() {
    scenario("fault_combinations.cancelled_as_one_is_refused_and_then_all");
    let coverage = simulate_seeds(1_000..1_016, |simulation, _| {
        for (k, claim) in [(0, SHARD_CLAIMS[0]), (1, SHARD_CLAIMS[1])] {
            let at = 14_000 + 38_000 * k;
            let outage_delay = simulation.draw(700..4_500);
            simulation.fault(
                ms(at),
                Fault::RefuseHolder {
                    claim,
                    until: ms(at + 14_000),
                },
            );
            let hang_for = ms(simulation.draw(0..14_000));
            let (cancel_delay, count) = (simulation.draw(0..outage_delay - 300), 6);
            simulation.fault(
                ms(at + cancel_delay),
                Fault::CancelRunning { count, hang_for },
            );
            simulation.fault(
                ms(at + outage_delay),
                Fault::StoreOutage {
                    until: ms(at + outage_delay + 34_000),
                },
            );
            if simulation.draw(0..3) == 0 {
                let controller = any_controller(simulation);
                let restart_after = ms(simulation.draw(50..900));
                simulation.fault(
                    ms(at + outage_delay + 3_000),
                    Fault::Crash {
                        controllers: vec![controller],
                        restart_after,
                    },
                );
            }
        }
    });
    assert!(
        coverage_count(
            &coverage,
            "a running job was cancelled while a controller was refused"
        ) > 20,
        "{coverage:?}"
    );
    assert!(
        coverage_count(&coverage, "a machine hung as its job was cancelled") > 5,
        "{coverage:?}"
    );
}

#[test]
fn invariants_hold_when_delayed_transactions_execute_after_newer_ones() {
    scenario("fault_combinations.transactions_carried_out_late_after_newer_ones");
    let coverage = simulate_seeds(1_020..1_032, |simulation, faults_end_ms| {
        simulation.fault(
            ms(5_000),
            Fault::DelayWrites {
                until: ms(faults_end_ms),
            },
        );
        for k in 0..4 {
            let at = 12_000 + 18_000 * k + simulation.draw(0..6_000);
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
            "a late transaction was carried out after newer ones"
        ) > 50,
        "{coverage:?}"
    );
    assert!(
        coverage_count(&coverage, "a late transaction failed") > 5,
        "{coverage:?}"
    );
}

#[test]
fn invariants_hold_when_a_zone_and_a_controller_are_cut_off_for_longer_than_a_lease() {
    scenario("fault_combinations.a_zone_with_a_controller_cut_off_for_longer_than_a_lease");
    let coverage = simulate_seeds(1_040..1_050, |simulation, _| {
        for k in 0..2 {
            let at = 10_000 + 40_000 * k;
            // Longer than the agents' lease of 12 s.
            let duration = 20_000 + 12_000 * k;
            let (controller, zone) = (any_controller(simulation), if k == 0 { "x" } else { "y" });
            simulation.fault(
                ms(at),
                Fault::CutZone {
                    zone,
                    controller,
                    until: ms(at + duration),
                },
            );
            simulation.fault(
                ms(at + 5_000),
                Fault::CancelRunning {
                    count: 4,
                    hang_for: Micros::ZERO,
                },
            );
        }
    });
    assert!(
        coverage_count(
            &coverage,
            "a running job was cancelled while a controller was refused"
        ) > 5,
        "{coverage:?}"
    );
}

#[test]
fn invariants_hold_when_jobs_are_cancelled_polled_and_resubmitted_as_they_complete() {
    scenario("fault_combinations.cancellations_questions_and_submissions_meet_a_jobs_end");
    let coverage = simulate_seeds(1_060..1_070, |simulation, faults_end_ms| {
        simulation.fault(
            ms(3_000),
            Fault::CancelAtCompletion {
                until: ms(faults_end_ms),
            },
        );
    });
    assert!(
        coverage_count(
            &coverage,
            "a cancellation, a question and a submission met a job's end"
        ) > 50,
        "{coverage:?}"
    );
}

#[test]
fn invariants_hold_when_users_send_invalid_requests() {
    scenario("fault_combinations.requests_that_make_no_sense_change_nothing");
    let coverage = simulate_seeds(1_070..1_078, |simulation, faults_end_ms| {
        simulation.fault(
            ms(3_000),
            Fault::InvalidRequests {
                until: ms(faults_end_ms),
            },
        );
    });
    assert!(
        coverage_count(&coverage, "a job that is done was cancelled") > 50,
        "{coverage:?}"
    );
    assert!(
        coverage_count(&coverage, "an unfinished job was submitted again") > 50,
        "{coverage:?}"
    );
}

#[test]
fn invariants_hold_when_controllers_crash_as_a_shard_is_transferred_back() {
    scenario("fault_combinations.handed_over_and_back_all_end_and_one_returns_at_once");
    let coverage = simulate_seeds(1_080..1_092, |simulation, _| {
        for k in 0..5 {
            let at = 9_000 + 15_000 * k + simulation.draw(0..3_000);
            let claim = SHARD_CLAIMS[(k % 3) as usize];
            let restart_after = ms(simulation.draw(4_500..6_500));
            simulation.fault(
                ms(at),
                Fault::CrashHolder {
                    claim,
                    restart_after,
                },
            );
            let restart_after = ms(simulation.draw(50..900));
            // As the shard is transferred back to its home member, its holder crashes and restarts within a second. In
            // every other round all controllers crash 200 ms later.
            let transfer_at = at + 7_500 + simulation.draw(0..3_000);
            simulation.fault(
                ms(transfer_at),
                Fault::CrashHolder {
                    claim,
                    restart_after,
                },
            );
            if k % 2 == 0 {
                let restart_delay = if k == 0 { 300 } else { 4_200 };
                simulation.fault(
                    ms(transfer_at + 200),
                    Fault::Crash {
                        controllers: (0..CONTROLLERS).collect(),
                        restart_after: ms(restart_delay),
                    },
                );
            }
            simulation.fault(
                ms(transfer_at),
                Fault::SlowStore {
                    until: ms(transfer_at + 2_500),
                },
            );
        }
    });
    assert!(
        coverage_count(&coverage, "leadership was taken") > 60,
        "{coverage:?}"
    );
}

#[test]
fn invariants_hold_when_a_slow_store_refuses_the_leader_and_then_everybody() {
    scenario("fault_combinations.a_slow_state_service_refuses_the_leader_and_then_everybody");
    let coverage = simulate_seeds(1_100..1_110, |simulation, _| {
        simulation.fault(ms(10_000), Fault::SlowStore { until: ms(85_000) });
        for k in 0..2 {
            let at = 14_000 + 38_000 * k;
            simulation.fault(
                ms(at),
                Fault::RefuseHolder {
                    claim: "leader",
                    until: ms(at + 8_000),
                },
            );
            simulation.fault(
                ms(at + 500),
                Fault::CancelRunning {
                    count: 5,
                    hang_for: Micros::ZERO,
                },
            );
            let outage_at = at + simulation.draw(3_000..7_000);
            simulation.fault(
                ms(outage_at),
                Fault::StoreOutage {
                    until: ms(outage_at + 32_000),
                },
            );
        }
    });
    assert!(
        coverage_count(
            &coverage,
            "a running job was cancelled while a controller was refused"
        ) > 2,
        "{coverage:?}"
    );
}

/// The leader changes at least ten times within two minutes in every run, also during a store outage.
#[test]
fn invariants_hold_through_ten_leader_failovers_in_two_minutes() {
    scenario("fault_combinations.leaders_change_ten_times_in_two_minutes");
    for seed in 1_120..1_128 {
        let coverage = simulate_seeds(seed..seed + 1, |simulation, _| {
            for k in 0..12 {
                let at = 5_000 + 7_000 * k;
                let restart_after = ms(if k % 3 == 0 { 400 } else { 5_000 });
                simulation.fault(
                    ms(at),
                    Fault::CrashHolder {
                        claim: "leader",
                        restart_after,
                    },
                );
            }
            let at = simulation.draw(20_000..50_000);
            simulation.fault(
                ms(at),
                Fault::StoreOutage {
                    until: ms(at + 6_000),
                },
            );
        });
        assert!(
            coverage_count(&coverage, "leadership was taken") >= 10,
            "seed {seed}: {coverage:?}"
        );
    }
}

#[test]
fn invariants_hold_when_heartbeats_of_earlier_incarnations_arrive_late() {
    scenario("fault_combinations.old_reports_after_newer_ones_of_another_session_or_attempt");
    let coverage = simulate_seeds(1_140..1_150, |simulation, faults_end_ms| {
        simulation.fault(
            ms(1_000),
            Fault::DuplicateHeartbeats {
                until: ms(faults_end_ms),
            },
        );
        for k in 0..9 {
            simulation.fault(ms(8_000 + 9_000 * k), Fault::RestartMachines { count: 3 });
        }
    });
    assert!(
        coverage_count(&coverage, "a copy from an earlier session arrived") > 20,
        "{coverage:?}"
    );
}

#[test]
fn invariants_hold_when_jobs_bound_to_one_zone_lose_machines() {
    scenario("fault_combinations.jobs_bound_to_a_zone_lose_machines");
    let coverage = simulate_seeds(1_160..1_170, |simulation, _| {
        for n in 100..120 {
            let at = simulation.draw(500..70_000);
            submit_changed_job(simulation, n, at, |spec| {
                (spec.kind, spec.class, spec.one_zone, spec.spread) =
                    (JobKind::Array, "bound".into(), true, false);
            });
        }
        for k in 0..6 {
            simulation.fault(ms(8_000 + 12_000 * k), Fault::KillMachines { count: 2 });
            simulation.fault(
                ms(11_000 + 12_000 * k),
                Fault::PreemptionNotice { count: 1 },
            );
        }
    });
    assert!(
        coverage_count(&coverage, "a job bound to one zone lost a machine") > 20,
        "{coverage:?}"
    );
}

#[test]
fn invariants_hold_when_holders_crash_while_machines_are_cut_off_or_receive_nothing() {
    scenario("fault_combinations.a_leader_ends_while_machines_are_out_of_reach_or_hear_nothing");
    let coverage = simulate_seeds(1_180..1_190, |simulation, _| {
        for k in 0..4 {
            let at = 9_000 + 19_000 * k;
            let duration = ms(simulation.draw(6_000..26_000));
            let restart_after = ms(simulation.draw(100..8_000));
            let fault = match k % 2 {
                0 => Fault::CutMachines { count: 4, duration },
                _ => Fault::LoseAnswers { count: 4, duration },
            };
            simulation.fault(ms(at), fault);
            simulation.fault(
                ms(at + 300),
                Fault::CrashHolder {
                    claim: SHARD_CLAIMS[(k % 3) as usize],
                    restart_after,
                },
            );
            simulation.fault(
                ms(at + 600),
                Fault::CrashHolder {
                    claim: "leader",
                    restart_after,
                },
            );
        }
    });
    assert!(
        coverage_count(
            &coverage,
            "a controller ended while machines with tasks were out of reach"
        ) > 10,
        "{coverage:?}"
    );
}

/// All heartbeats of some machines are lost, for up to longer than a lease, while commands still reach them. A task
/// that such a command starts must end with the agent's lease, which no heartbeat renews.
#[test]
fn invariants_hold_when_commands_reach_machines_whose_heartbeats_are_lost() {
    scenario("fault_combinations.machines_that_reach_no_controller_obey_commands");
    let coverage = simulate_seeds(1_200..1_224, |simulation, _| {
        for k in 0..5 {
            let at = 8_000 + 15_000 * k;
            let duration = ms(simulation.draw(3_000..30_000));
            simulation.fault(ms(at), Fault::LoseHeartbeats { count: 3, duration });
        }
        for n in 100..140 {
            let at = simulation.draw(5_000..85_000);
            submit_changed_job(simulation, n, at, |spec| {
                (spec.kind, spec.tasks, spec.priority) = (JobKind::Array, 2, Priority::Urgent);
            });
        }
    });
    assert!(
        coverage_count(
            &coverage,
            "a command was carried out by a machine that reaches no controller"
        ) > 20,
        "{coverage:?}"
    );
}

#[test]
fn invariants_hold_when_a_holder_is_cut_off_from_store_and_peers_but_not_from_agents() {
    scenario(
        "fault_combinations.a_leader_without_state_service_and_peers_goes_on_with_its_workers",
    );
    let coverage = simulate_seeds(1_240..1_252, |simulation, _| {
        for k in 0..2 {
            let at = 10_000 + 40_000 * k;
            let claim = if k == 0 {
                "leader"
            } else {
                SHARD_CLAIMS[simulation.draw(0..3) as usize]
            };
            simulation.fault(
                ms(at),
                Fault::IsolateHolder {
                    claim,
                    until: ms(at + 34_000),
                },
            );
            for n in 0..3 {
                let hang_for = ms(simulation.draw(0..9_000));
                simulation.fault(
                    ms(at + 500 + 2_500 * n),
                    Fault::CancelRunning { count: 3, hang_for },
                );
            }
        }
    });
    assert!(
        coverage_count(
            &coverage,
            "a running job was cancelled while a controller was refused"
        ) > 20,
        "{coverage:?}"
    );
}

#[test]
fn invariants_hold_when_all_controllers_are_down_for_longer_than_a_lease() {
    scenario("fault_combinations.all_controllers_away_for_longer_than_a_lease");
    let coverage = simulate_seeds(1_260..1_268, |simulation, _| {
        for at in [12_000, 50_000] {
            let restart_after = ms(simulation.draw(13_000..26_000));
            simulation.fault(
                ms(at),
                Fault::Crash {
                    controllers: (0..CONTROLLERS).collect(),
                    restart_after,
                },
            );
        }
    });
    assert!(
        coverage_count(&coverage, "a lease ended under running tasks") > 10,
        "{coverage:?}"
    );
}

#[test]
fn invariants_hold_when_commands_and_answers_are_delayed_by_seconds() {
    scenario("fault_combinations.commands_and_answers_held_up_for_seconds");
    let coverage = simulate_seeds(1_280..1_292, |simulation, faults_end_ms| {
        simulation.fault(
            ms(5_000),
            Fault::DelayAnswers {
                until: ms(faults_end_ms),
            },
        );
        for k in 0..6 {
            let duration = ms(simulation.draw(1_000..10_000));
            simulation.fault(
                ms(9_000 + 12_000 * k),
                Fault::HangMachines { count: 3, duration },
            );
        }
    });
    assert!(
        coverage_count(&coverage, "a command was carried out late") > 10,
        "{coverage:?}"
    );
}

#[test]
fn quota_holds_when_a_shard_fails_over_while_machines_are_cut_off() {
    scenario(
        "fault_combinations.a_team_at_its_limit_as_the_leader_changes_and_machines_cannot_be_asked",
    );
    let coverage = simulate_seeds(1_300..1_320, |simulation, _| {
        for n in 100..118 {
            let at = simulation.draw(500..80_000);
            submit_changed_job(simulation, n, at, |spec| {
                (spec.team, spec.kind, spec.tasks) = ("b".into(), JobKind::Array, 3);
                spec.task_resources = Resources::rounded_up(2.0, 0.0, 4.0);
            });
        }
        for k in 0..4 {
            let at = 10_000 + 18_000 * k;
            let duration = ms(simulation.draw(5_000..20_000));
            simulation.fault(ms(at), Fault::CutMachines { count: 5, duration });
            simulation.fault(
                ms(at + 1_000),
                Fault::CrashHolder {
                    claim: SHARD_CLAIMS[(k % 3) as usize],
                    restart_after: ms(5_500),
                },
            );
            simulation.fault(
                ms(at + 2_000),
                Fault::CancelRunning {
                    count: 4,
                    hang_for: ms(3_000),
                },
            );
        }
    });
    assert!(
        coverage_count(&coverage, "a team stood at its limit as a controller ended") > 5,
        "{coverage:?}"
    );
}

#[test]
fn invariants_hold_when_delayed_heartbeat_copies_reach_a_new_holder() {
    scenario("fault_combinations.a_held_report_arrives_at_the_new_leader");
    let coverage = simulate_seeds(1_320..1_332, |simulation, faults_end_ms| {
        simulation.fault(
            ms(1_000),
            Fault::DuplicateHeartbeats {
                until: ms(faults_end_ms),
            },
        );
        for k in 0..9 {
            let at = 8_000 + 9_000 * k;
            let restart_after = ms(if k % 2 == 0 { 300 } else { 5_500 });
            simulation.fault(
                ms(at),
                Fault::CrashHolder {
                    claim: SHARD_CLAIMS[(k % 3) as usize],
                    restart_after,
                },
            );
        }
    });
    assert!(
        coverage_count(
            &coverage,
            "a copy arrived at a controller that began after it was sent"
        ) > 5,
        "{coverage:?}"
    );
}

#[test]
fn invariants_hold_when_holders_crash_between_the_ends_of_a_jobs_tasks() {
    scenario("fault_combinations.small_jobs_end_far_apart_across_a_change_of_leader");
    let coverage = simulate_seeds(1_340..1_350, |simulation, _| {
        for n in 100..140 {
            let (at, tasks) = (simulation.draw(500..80_000), simulation.draw(2..4) as u32);
            submit_changed_job(simulation, n, at, |spec| {
                (spec.kind, spec.tasks) = (JobKind::Array, tasks);
            });
        }
        for k in 0..8 {
            let at = 8_000 + 10_000 * k;
            let restart_after = ms(simulation.draw(100..6_000));
            simulation.fault(
                ms(at),
                Fault::CrashHolder {
                    claim: SHARD_CLAIMS[(k % 3) as usize],
                    restart_after,
                },
            );
        }
    });
    assert!(
        coverage_count(
            &coverage,
            "a controller ended between the ends of a small job's tasks"
        ) > 10,
        "{coverage:?}"
    );
}

#[test]
fn invariants_hold_when_all_machines_are_full_and_messages_are_slow() {
    scenario("fault_combinations.more_work_than_room_over_slow_links");
    let coverage = simulate_seeds(1_360..1_366, |simulation, faults_end_ms| {
        simulation.fault(
            ms(3_000),
            Fault::DelayAnswers {
                until: ms(faults_end_ms),
            },
        );
        for n in 100..145 {
            let at = simulation.draw(500..85_000);
            submit_changed_job(simulation, n, at, |spec| {
                let urgent = n % 2 == 0;
                spec.priority = if urgent {
                    Priority::Urgent
                } else {
                    Priority::BestEffort
                };
                (spec.kind, spec.class) = (
                    JobKind::Array,
                    if urgent { "urgent" } else { "lesser" }.into(),
                );
            });
        }
        for k in 0..3 {
            let controller = any_controller(simulation);
            simulation.fault(
                ms(10_000 + 25_000 * k),
                Fault::SlowController {
                    controller,
                    until: ms(25_000 + 25_000 * k),
                },
            );
        }
    });
    assert!(
        coverage_count(&coverage, "no machine had room") > 20,
        "{coverage:?}"
    );
}

/// A controller that was frozen while its clocks ran on must not act on anything that has expired in the meantime.
#[test]
fn invariants_hold_when_a_controller_freezes_and_others_take_over() {
    scenario("fault_combinations.a_controller_stands_still_while_others_take_over");
    simulate_seeds(1_380..1_392, |simulation, _| {
        for k in 0..4 {
            let at = 8_000 + 20_000 * k;
            let duration = simulation.draw(3_000..18_000);
            let controller = any_controller(simulation);
            simulation.fault(
                ms(at),
                Fault::PauseController {
                    controller,
                    until: ms(at + duration),
                },
            );
            simulation.fault(
                ms(at + 4_800),
                Fault::CancelRunning {
                    count: 3,
                    hang_for: Micros::ZERO,
                },
            );
        }
    });
}

/// Random faults are injected in overlapping pairs.
#[test]
fn invariants_hold_under_pairs_of_faults() {
    scenario("fault_combinations.troubles_in_pairs");
    simulate_seeds(
        1_400..1_440,
        seamfront_testing::simulation::scenarios::fault_pairs,
    );
}

/// In this run a machine was once terminated with tasks that had been started after the decision to decommission it
/// (`docs/incidents/started-while-given-up.md`).
#[test]
fn a_machine_that_recovers_while_it_is_decommissioned_is_not_terminated_with_tasks() {
    scenario("fault_combinations.a_machine_that_comes_back_while_it_is_given_up");
    simulate_seeds(
        41_407..41_408,
        seamfront_testing::simulation::scenarios::fault_pairs,
    );
}

#[test]
fn invariants_hold_when_jobs_are_cancelled_while_a_shard_fails_over() {
    scenario("fault_combinations.jobs_are_cancelled_as_the_work_of_a_controller_changes_hands");
    let coverage = simulate_seeds(1_500..1_512, |simulation, _| {
        for k in 0..4 {
            let at = 9_000 + 19_000 * k;
            // The claim expires within 4 s. It is transferred back 3 s after its home member is ready again.
            let restart_after = ms(simulation.draw(300..6_000));
            simulation.fault(
                ms(at),
                Fault::CrashHolder {
                    claim: SHARD_CLAIMS[(k % 3) as usize],
                    restart_after,
                },
            );
            for n in 0..5 {
                let jitter = simulation.draw(0..1_800);
                simulation.fault(
                    ms(at + 1_800 * n + jitter),
                    Fault::CancelRunning {
                        count: 3,
                        hang_for: Micros::ZERO,
                    },
                );
            }
        }
    });
    assert!(
        coverage_count(
            &coverage,
            "a running job was cancelled as its share changed hands"
        ) > 20,
        "{coverage:?}"
    );
}

#[test]
fn quota_holds_when_cancelled_tasks_are_out_of_reach_and_controllers_crash() {
    scenario("fault_combinations.every_team_at_its_limit_as_cancelled_tasks_are_out_of_reach_and_the_leader_changes");
    let mut coverage = Coverage::new();
    for seed in 1_520..1_540 {
        add_coverage(&mut coverage, teams_at_their_limits(seed).coverage);
    }
    let situation =
        "every team stood at its limit, a cancelled task was out of reach and a controller ended";
    assert!(coverage_count(&coverage, situation) > 5, "{coverage:?}");
}

#[test]
fn delayed_commands_of_a_former_holder_are_refused_after_those_of_the_new_holder() {
    scenario("fault_combinations.a_command_of_a_former_leader_arrives_after_the_new_leaders");
    let coverage = simulate_seeds(1_540..1_556, |simulation, faults_end_ms| {
        simulation.fault(
            ms(3_000),
            Fault::DelayCommands {
                until: ms(faults_end_ms),
            },
        );
        for k in 0..6 {
            let at = 8_000 + 13_000 * k + simulation.draw(0..3_000);
            let claim = SHARD_CLAIMS[(k % 3) as usize];
            let restart_after = ms(simulation.draw(100..6_000));
            let fault = match k % 2 {
                0 => Fault::CrashHolder {
                    claim,
                    restart_after,
                },
                _ => Fault::IsolateHolder {
                    claim,
                    until: ms(at + 11_000),
                },
            };
            simulation.fault(ms(at), fault);
        }
    });
    let refused = "a former holder's command arrived after the new holder's and was refused";
    assert!(coverage_count(&coverage, refused) > 5, "{coverage:?}");
    assert!(
        coverage_count(
            &coverage,
            "a former holder's command arrived before the new holder's"
        ) > 5,
        "{coverage:?}"
    );
}

#[test]
fn invariants_hold_when_holders_crash_while_new_machines_get_work_and_writes_are_delayed() {
    scenario(
        "fault_combinations.new_machines_get_work_at_once_while_writes_lag_and_the_leader_ends",
    );
    let coverage = simulate_seeds(1_560..1_572, |simulation, faults_end_ms| {
        simulation.fault(
            ms(1_000),
            Fault::FastBoots {
                until: ms(faults_end_ms),
            },
        );
        for k in 0..5 {
            let at = 7_000 + 16_000 * k;
            simulation.fault(
                ms(at),
                Fault::SlowStore {
                    until: ms(at + 9_000),
                },
            );
            simulation.fault(
                ms(at),
                Fault::DelayWrites {
                    until: ms(at + 9_000),
                },
            );
            // Most machines are killed, so that new ones are provisioned.
            simulation.fault(ms(at), Fault::KillMachines { count: 6 });
            for n in 0..4 {
                let claim = if n % 2 == 0 {
                    "leader"
                } else {
                    SHARD_CLAIMS[simulation.draw(0..3) as usize]
                };
                let restart_after = ms(simulation.draw(50..900));
                simulation.fault(
                    ms(at + 2_000 + 2_000 * n),
                    Fault::CrashHolder {
                        claim,
                        restart_after,
                    },
                );
            }
        }
    });
    let situation = "a controller ended while a new machine had work and writes lagged";
    assert!(coverage_count(&coverage, situation) > 5, "{coverage:?}");
}

#[test]
fn invariants_hold_when_old_heartbeats_reach_every_controller_as_a_claim_is_acquired() {
    scenario("fault_combinations.old_reports_reach_every_controller_as_a_new_leader_begins");
    let coverage = simulate_seeds(1_580..1_592, |simulation, faults_end_ms| {
        simulation.fault(
            ms(1_000),
            Fault::ReplayHeartbeats {
                until: ms(faults_end_ms),
            },
        );
        for k in 0..6 {
            let at = 9_000 + 13_000 * k;
            let claim = if k % 2 == 0 {
                "leader"
            } else {
                SHARD_CLAIMS[(k % 3) as usize]
            };
            let restart_after = ms(if k % 2 == 0 { 300 } else { 5_500 });
            simulation.fault(
                ms(at),
                Fault::CrashHolder {
                    claim,
                    restart_after,
                },
            );
            simulation.fault(ms(at - 1_000), Fault::RestartMachines { count: 2 });
        }
    });
    let situation = "an old report reached every controller as a claim was taken";
    assert!(coverage_count(&coverage, situation) > 50, "{coverage:?}");
    assert!(
        coverage_count(&coverage, "a copy from an earlier session arrived") > 20,
        "{coverage:?}"
    );
}

#[test]
fn invariants_hold_when_only_the_answers_to_transactions_are_lost() {
    scenario("fault_combinations.only_the_answer_to_a_transaction_is_lost_while_others_read_it");
    let coverage = simulate_seeds(1_600..1_612, |simulation, faults_end_ms| {
        simulation.fault(
            ms(3_000),
            Fault::LoseCommitAnswers {
                until: ms(faults_end_ms),
            },
        );
        simulation.fault(
            ms(3_000),
            Fault::PollEverywhere {
                until: ms(faults_end_ms),
            },
        );
        for k in 0..3 {
            let at = 15_000 + 22_000 * k;
            let claim = SHARD_CLAIMS[(k % 3) as usize];
            let restart_after = ms(simulation.draw(100..6_000));
            simulation.fault(
                ms(at),
                Fault::CrashHolder {
                    claim,
                    restart_after,
                },
            );
            simulation.fault(
                ms(at + 3_000),
                Fault::CancelRunning {
                    count: 3,
                    hang_for: Micros::ZERO,
                },
            );
        }
    });
    let situation = "others read what was written by a transaction whose answer was lost";
    assert!(coverage_count(&coverage, situation) > 100, "{coverage:?}");
}

#[test]
fn invariants_hold_when_users_poll_all_controllers_within_milliseconds() {
    scenario("fault_combinations.users_ask_at_all_controllers_within_milliseconds");
    let coverage = simulate_seeds(1_620..1_634, |simulation, faults_end_ms| {
        simulation.fault(
            ms(1_000),
            Fault::PollEverywhere {
                until: ms(faults_end_ms),
            },
        );
        simulation.fault(
            ms(2_000),
            Fault::CancelAtCompletion {
                until: ms(faults_end_ms),
            },
        );
        for k in 0..4 {
            let at = 10_000 + 19_000 * k;
            simulation.fault(
                ms(at),
                Fault::CancelRunning {
                    count: 3,
                    hang_for: Micros::ZERO,
                },
            );
            let fault = match k {
                0 => Fault::SlowStore {
                    until: ms(at + 8_000),
                },
                1 => Fault::RefuseHolder {
                    claim: SHARD_CLAIMS[1],
                    until: ms(at + 8_000),
                },
                2 => Fault::DelayWrites {
                    until: ms(at + 8_000),
                },
                _ => Fault::CrashHolder {
                    claim: SHARD_CLAIMS[2],
                    restart_after: ms(400),
                },
            };
            simulation.fault(ms(at), fault);
        }
    });
    assert!(
        coverage_count(
            &coverage,
            "users asked at all controllers within milliseconds"
        ) > 300,
        "{coverage:?}"
    );
}

/// Four jobs of one task per second for two minutes, a quarter of them cancelled, while holders crash: all jobs end,
/// and the store's request rates are exceeded only briefly, around failovers.
#[test]
fn a_stream_of_small_jobs_stays_within_the_store_rates_while_holders_crash() {
    scenario("fault_combinations.one_task_jobs_come_four_a_second_a_quarter_cancelled");
    for seed in 1_640..1_644 {
        let simulation = stream_of_small_jobs(seed);
        assert_eq!(simulation.accepted_jobs(), 480, "seed {seed}");
        let writes = |from: i64| {
            (from..from + 10)
                .filter_map(|second| simulation.store_load.get(&second))
                .map(|load| load.1)
                .sum::<u32>()
        };
        let most_writes = (0..150).map(writes).max().unwrap_or(0);
        assert!(
            most_writes <= 1_100,
            "seed {seed}: {most_writes} writes within ten seconds"
        );
        let refused = coverage_count(
            &simulation.coverage,
            "the state service refused for its rate",
        );
        assert!(
            refused <= 20,
            "seed {seed}: the store refused {refused} requests for their rate"
        );
    }
}

#[test]
fn invariants_hold_under_pairs_of_faults_of_all_kinds() {
    scenario("fault_combinations.all_kinds_of_troubles_in_pairs");
    simulate_seeds(
        1_700..1_740,
        seamfront_testing::simulation::scenarios::fault_pairs_of_all_kinds,
    );
}
