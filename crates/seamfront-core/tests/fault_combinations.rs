//! Fault combinations: each test brings one about in the simulation, and asserts that it did.
//! `docs/fault-combinations.md` lists them with the code that holds each.

use seamfront_core::types::*;
use seamfront_testing::simulation::recording::scenario;
use seamfront_testing::simulation::scenarios::{
    add_coverage, any_controller, count, simulate_seeds, stream_of_small_jobs,
    teams_at_their_limits, Coverage, SHARD_CLAIMS,
};
use seamfront_testing::simulation::{ms, Fault, Simulation, CONTROLLERS};

/// The seeded world's jobs, with something changed.
fn submit(w: &mut Simulation, n: u32, at: i64, change: impl Fn(&mut JobSpec)) {
    let mut spec = w.job(n);
    if spec.team == "b" {
        // Its limit is small: with more than the usual jobs it would not be through in the time.
        spec.team = "d".into();
    }
    change(&mut spec);
    w.submit(ms(at), spec);
}

/// Before all others: the state service refuses one holder alone, jobs are cancelled through the others, and a
/// second later it is down for everybody, for longer than a cancellation has. Workers still report to the
/// old holder, and some of the machines hang and go on.
#[test]
fn cancelled_as_one_is_refused_and_then_all() {
    scenario("fault_combinations.cancelled_as_one_is_refused_and_then_all");
    let coverage = simulate_seeds(1_000..1_016, |w, _| {
        for (k, claim) in [(0, SHARD_CLAIMS[0]), (1, SHARD_CLAIMS[1])] {
            let at = 14_000 + 38_000 * k;
            let spell = w.draw(700..4_500);
            w.fault(
                ms(at),
                Fault::RefuseHolder {
                    claim,
                    until: ms(at + 14_000),
                },
            );
            let hang = ms(w.draw(0..14_000));
            let (soon, count) = (w.draw(0..spell - 300), 6);
            w.fault(ms(at + soon), Fault::CancelRunning { count, hang });
            w.fault(
                ms(at + spell),
                Fault::StoreOutage {
                    until: ms(at + spell + 34_000),
                },
            );
            if w.draw(0..3) == 0 {
                let controller = any_controller(w);
                let back = ms(w.draw(50..900));
                w.fault(
                    ms(at + spell + 3_000),
                    Fault::Crash {
                        controllers: vec![controller],
                        back,
                    },
                );
            }
        }
    });
    assert!(
        count(
            &coverage,
            "a running job was cancelled while a controller was refused"
        ) > 20,
        "{coverage:?}"
    );
    assert!(
        count(&coverage, "a machine hung as its job was cancelled") > 5,
        "{coverage:?}"
    );
}

#[test]
fn transactions_carried_out_late_after_newer_ones() {
    scenario("fault_combinations.transactions_carried_out_late_after_newer_ones");
    let coverage = simulate_seeds(1_020..1_032, |w, troubles| {
        w.fault(
            ms(5_000),
            Fault::DelayWrites {
                until: ms(troubles),
            },
        );
        for k in 0..4 {
            let at = 12_000 + 18_000 * k + w.draw(0..6_000);
            let claim = SHARD_CLAIMS[w.draw(0..3) as usize];
            let back = ms(w.draw(100..6_000));
            w.fault(ms(at), Fault::CrashHolder { claim, back });
        }
    });
    assert!(
        count(
            &coverage,
            "a late transaction was carried out after newer ones"
        ) > 50,
        "{coverage:?}"
    );
    assert!(
        count(&coverage, "a late transaction failed") > 5,
        "{coverage:?}"
    );
}

#[test]
fn a_zone_with_a_controller_cut_off_for_longer_than_a_lease() {
    scenario("fault_combinations.a_zone_with_a_controller_cut_off_for_longer_than_a_lease");
    let coverage = simulate_seeds(1_040..1_050, |w, _| {
        for k in 0..2 {
            let at = 10_000 + 40_000 * k;
            // Longer than a lease of 12 s.
            let lasts = 20_000 + 12_000 * k;
            let (controller, zone) = (any_controller(w), if k == 0 { "x" } else { "y" });
            w.fault(
                ms(at),
                Fault::CutZone {
                    zone,
                    controller,
                    until: ms(at + lasts),
                },
            );
            w.fault(
                ms(at + 5_000),
                Fault::CancelRunning {
                    count: 4,
                    hang: Micros::ZERO,
                },
            );
        }
    });
    assert!(
        count(
            &coverage,
            "a running job was cancelled while a controller was refused"
        ) > 5,
        "{coverage:?}"
    );
}

#[test]
fn cancellations_questions_and_submissions_meet_a_jobs_end() {
    scenario("fault_combinations.cancellations_questions_and_submissions_meet_a_jobs_end");
    let coverage = simulate_seeds(1_060..1_070, |w, troubles| {
        w.fault(
            ms(3_000),
            Fault::CancelAtCompletion {
                until: ms(troubles),
            },
        );
    });
    assert!(
        count(
            &coverage,
            "a cancellation, a question and a submission met a job's end"
        ) > 50,
        "{coverage:?}"
    );
}

#[test]
fn requests_that_make_no_sense_change_nothing() {
    scenario("fault_combinations.requests_that_make_no_sense_change_nothing");
    let coverage = simulate_seeds(1_070..1_078, |w, troubles| {
        w.fault(
            ms(3_000),
            Fault::InvalidRequests {
                until: ms(troubles),
            },
        );
    });
    assert!(
        count(&coverage, "a job that is done was cancelled") > 50,
        "{coverage:?}"
    );
    assert!(
        count(&coverage, "an unfinished job was submitted again") > 50,
        "{coverage:?}"
    );
}

#[test]
fn handed_over_and_back_all_end_and_one_returns_at_once() {
    scenario("fault_combinations.handed_over_and_back_all_end_and_one_returns_at_once");
    let coverage = simulate_seeds(1_080..1_092, |w, _| {
        for k in 0..5 {
            let at = 9_000 + 15_000 * k + w.draw(0..3_000);
            let claim = SHARD_CLAIMS[(k % 3) as usize];
            let back = ms(w.draw(4_500..6_500));
            w.fault(ms(at), Fault::CrashHolder { claim, back });
            let back = ms(w.draw(50..900));
            // As the shard goes home: its home member, or all, and one of them is back within a second.
            let home = at + 7_500 + w.draw(0..3_000);
            w.fault(ms(home), Fault::CrashHolder { claim, back });
            if k % 2 == 0 {
                let soon = if k == 0 { 300 } else { 4_200 };
                w.fault(
                    ms(home + 200),
                    Fault::Crash {
                        controllers: (0..CONTROLLERS).collect(),
                        back: ms(soon),
                    },
                );
            }
            w.fault(
                ms(home),
                Fault::SlowStore {
                    until: ms(home + 2_500),
                },
            );
        }
    });
    assert!(
        count(&coverage, "leadership was taken") > 60,
        "{coverage:?}"
    );
}

#[test]
fn a_slow_state_service_refuses_the_leader_and_then_everybody() {
    scenario("fault_combinations.a_slow_state_service_refuses_the_leader_and_then_everybody");
    let coverage = simulate_seeds(1_100..1_110, |w, _| {
        w.fault(ms(10_000), Fault::SlowStore { until: ms(85_000) });
        for k in 0..2 {
            let at = 14_000 + 38_000 * k;
            w.fault(
                ms(at),
                Fault::RefuseHolder {
                    claim: "leader",
                    until: ms(at + 8_000),
                },
            );
            w.fault(
                ms(at + 500),
                Fault::CancelRunning {
                    count: 5,
                    hang: Micros::ZERO,
                },
            );
            let down = at + w.draw(3_000..7_000);
            w.fault(
                ms(down),
                Fault::StoreOutage {
                    until: ms(down + 32_000),
                },
            );
        }
    });
    assert!(
        count(
            &coverage,
            "a running job was cancelled while a controller was refused"
        ) > 2,
        "{coverage:?}"
    );
}

/// At least ten times in two minutes in each of the runs, also inside an outage.
#[test]
fn leaders_change_ten_times_in_two_minutes() {
    scenario("fault_combinations.leaders_change_ten_times_in_two_minutes");
    for seed in 1_120..1_128 {
        let coverage = simulate_seeds(seed..seed + 1, |w, _| {
            for k in 0..12 {
                let at = 5_000 + 7_000 * k;
                let back = ms(if k % 3 == 0 { 400 } else { 5_000 });
                w.fault(
                    ms(at),
                    Fault::CrashHolder {
                        claim: "leader",
                        back,
                    },
                );
            }
            let at = w.draw(20_000..50_000);
            w.fault(
                ms(at),
                Fault::StoreOutage {
                    until: ms(at + 6_000),
                },
            );
        });
        assert!(
            count(&coverage, "leadership was taken") >= 10,
            "seed {seed}: {coverage:?}"
        );
    }
}

#[test]
fn old_reports_after_newer_ones_of_another_session_or_attempt() {
    scenario("fault_combinations.old_reports_after_newer_ones_of_another_session_or_attempt");
    let coverage = simulate_seeds(1_140..1_150, |w, troubles| {
        w.fault(
            ms(1_000),
            Fault::DuplicateHeartbeats {
                until: ms(troubles),
            },
        );
        for k in 0..9 {
            w.fault(ms(8_000 + 9_000 * k), Fault::RestartMachines { count: 3 });
        }
    });
    assert!(
        count(&coverage, "a copy from an earlier session arrived") > 20,
        "{coverage:?}"
    );
}

#[test]
fn jobs_bound_to_a_zone_lose_machines() {
    scenario("fault_combinations.jobs_bound_to_a_zone_lose_machines");
    let coverage = simulate_seeds(1_160..1_170, |w, _| {
        for n in 100..120 {
            let at = w.draw(500..70_000);
            submit(w, n, at, |s| {
                (s.kind, s.class, s.one_zone, s.spread) =
                    (JobKind::Array, "bound".into(), true, false);
            });
        }
        for k in 0..6 {
            w.fault(ms(8_000 + 12_000 * k), Fault::KillMachines { count: 2 });
            w.fault(
                ms(11_000 + 12_000 * k),
                Fault::PreemptionNotice { count: 1 },
            );
        }
    });
    assert!(
        count(&coverage, "a job bound to one zone lost a machine") > 20,
        "{coverage:?}"
    );
}

#[test]
fn a_leader_ends_while_machines_are_out_of_reach_or_hear_nothing() {
    scenario("fault_combinations.a_leader_ends_while_machines_are_out_of_reach_or_hear_nothing");
    let coverage = simulate_seeds(1_180..1_190, |w, _| {
        for k in 0..4 {
            let at = 9_000 + 19_000 * k;
            let lasts = ms(w.draw(6_000..26_000));
            let back = ms(w.draw(100..8_000));
            let fault = match k % 2 {
                0 => Fault::CutMachines { count: 4, lasts },
                _ => Fault::LoseAnswers { count: 4, lasts },
            };
            w.fault(ms(at), fault);
            w.fault(
                ms(at + 300),
                Fault::CrashHolder {
                    claim: SHARD_CLAIMS[(k % 3) as usize],
                    back,
                },
            );
            w.fault(
                ms(at + 600),
                Fault::CrashHolder {
                    claim: "leader",
                    back,
                },
            );
        }
    });
    assert!(
        count(
            &coverage,
            "a controller ended while machines with tasks were out of reach"
        ) > 10,
        "{coverage:?}"
    );
}

/// They reach no controller for longer than a lease, while commands reach them: what a command starts there
/// ends with a lease that no report renews.
#[test]
fn machines_that_reach_no_controller_obey_commands() {
    scenario("fault_combinations.machines_that_reach_no_controller_obey_commands");
    let coverage = simulate_seeds(1_200..1_224, |w, _| {
        for k in 0..5 {
            let at = 8_000 + 15_000 * k;
            let lasts = ms(w.draw(3_000..30_000));
            w.fault(ms(at), Fault::LoseHeartbeats { count: 3, lasts });
        }
        for n in 100..140 {
            let at = w.draw(5_000..85_000);
            submit(w, n, at, |s| {
                (s.kind, s.tasks, s.priority) = (JobKind::Array, 2, Priority::Urgent);
            });
        }
    });
    assert!(
        count(
            &coverage,
            "a command was carried out by a machine that reaches no controller"
        ) > 20,
        "{coverage:?}"
    );
}

#[test]
fn a_leader_without_state_service_and_peers_goes_on_with_its_workers() {
    scenario(
        "fault_combinations.a_leader_without_state_service_and_peers_goes_on_with_its_workers",
    );
    let coverage = simulate_seeds(1_240..1_252, |w, _| {
        for k in 0..2 {
            let at = 10_000 + 40_000 * k;
            let claim = if k == 0 {
                "leader"
            } else {
                SHARD_CLAIMS[w.draw(0..3) as usize]
            };
            w.fault(
                ms(at),
                Fault::IsolateHolder {
                    claim,
                    until: ms(at + 34_000),
                },
            );
            for n in 0..3 {
                let hang = ms(w.draw(0..9_000));
                w.fault(
                    ms(at + 500 + 2_500 * n),
                    Fault::CancelRunning { count: 3, hang },
                );
            }
        }
    });
    assert!(
        count(
            &coverage,
            "a running job was cancelled while a controller was refused"
        ) > 20,
        "{coverage:?}"
    );
}

#[test]
fn all_controllers_away_for_longer_than_a_lease() {
    scenario("fault_combinations.all_controllers_away_for_longer_than_a_lease");
    let coverage = simulate_seeds(1_260..1_268, |w, _| {
        for at in [12_000, 50_000] {
            let back = ms(w.draw(13_000..26_000));
            w.fault(
                ms(at),
                Fault::Crash {
                    controllers: (0..CONTROLLERS).collect(),
                    back,
                },
            );
        }
    });
    assert!(
        count(&coverage, "a lease ended under running tasks") > 10,
        "{coverage:?}"
    );
}

#[test]
fn commands_and_answers_held_up_for_seconds() {
    scenario("fault_combinations.commands_and_answers_held_up_for_seconds");
    let coverage = simulate_seeds(1_280..1_292, |w, troubles| {
        w.fault(
            ms(5_000),
            Fault::DelayAnswers {
                until: ms(troubles),
            },
        );
        for k in 0..6 {
            let lasts = ms(w.draw(1_000..10_000));
            w.fault(
                ms(9_000 + 12_000 * k),
                Fault::HangMachines { count: 3, lasts },
            );
        }
    });
    assert!(
        count(&coverage, "a command was carried out late") > 10,
        "{coverage:?}"
    );
}

#[test]
fn a_team_at_its_limit_as_the_leader_changes_and_machines_cannot_be_asked() {
    scenario(
        "fault_combinations.a_team_at_its_limit_as_the_leader_changes_and_machines_cannot_be_asked",
    );
    let coverage = simulate_seeds(1_300..1_320, |w, _| {
        for n in 100..118 {
            let at = w.draw(500..80_000);
            submit(w, n, at, |s| {
                (s.team, s.kind, s.tasks) = ("b".into(), JobKind::Array, 3);
                s.task_resources = Resources::rounded_up(2.0, 0.0, 4.0);
            });
        }
        for k in 0..4 {
            let at = 10_000 + 18_000 * k;
            let lasts = ms(w.draw(5_000..20_000));
            w.fault(ms(at), Fault::CutMachines { count: 5, lasts });
            w.fault(
                ms(at + 1_000),
                Fault::CrashHolder {
                    claim: SHARD_CLAIMS[(k % 3) as usize],
                    back: ms(5_500),
                },
            );
            w.fault(
                ms(at + 2_000),
                Fault::CancelRunning {
                    count: 4,
                    hang: ms(3_000),
                },
            );
        }
    });
    assert!(
        count(&coverage, "a team stood at its limit as a controller ended") > 5,
        "{coverage:?}"
    );
}

#[test]
fn a_held_report_arrives_at_the_new_leader() {
    scenario("fault_combinations.a_held_report_arrives_at_the_new_leader");
    let coverage = simulate_seeds(1_320..1_332, |w, troubles| {
        w.fault(
            ms(1_000),
            Fault::DuplicateHeartbeats {
                until: ms(troubles),
            },
        );
        for k in 0..9 {
            let at = 8_000 + 9_000 * k;
            let back = ms(if k % 2 == 0 { 300 } else { 5_500 });
            w.fault(
                ms(at),
                Fault::CrashHolder {
                    claim: SHARD_CLAIMS[(k % 3) as usize],
                    back,
                },
            );
        }
    });
    assert!(
        count(
            &coverage,
            "a copy arrived at a controller that began after it was sent"
        ) > 5,
        "{coverage:?}"
    );
}

#[test]
fn small_jobs_end_far_apart_across_a_change_of_leader() {
    scenario("fault_combinations.small_jobs_end_far_apart_across_a_change_of_leader");
    let coverage = simulate_seeds(1_340..1_350, |w, _| {
        for n in 100..140 {
            let (at, tasks) = (w.draw(500..80_000), w.draw(2..4) as u32);
            submit(w, n, at, |s| (s.kind, s.tasks) = (JobKind::Array, tasks));
        }
        for k in 0..8 {
            let at = 8_000 + 10_000 * k;
            let back = ms(w.draw(100..6_000));
            w.fault(
                ms(at),
                Fault::CrashHolder {
                    claim: SHARD_CLAIMS[(k % 3) as usize],
                    back,
                },
            );
        }
    });
    assert!(
        count(
            &coverage,
            "a controller ended between the ends of a small job's tasks"
        ) > 10,
        "{coverage:?}"
    );
}

#[test]
fn more_work_than_room_over_slow_links() {
    scenario("fault_combinations.more_work_than_room_over_slow_links");
    let coverage = simulate_seeds(1_360..1_366, |w, troubles| {
        w.fault(
            ms(3_000),
            Fault::DelayAnswers {
                until: ms(troubles),
            },
        );
        for n in 100..145 {
            let at = w.draw(500..85_000);
            submit(w, n, at, |s| {
                let urgent = n % 2 == 0;
                s.priority = if urgent {
                    Priority::Urgent
                } else {
                    Priority::BestEffort
                };
                (s.kind, s.class) = (
                    JobKind::Array,
                    if urgent { "urgent" } else { "lesser" }.into(),
                );
            });
        }
        for k in 0..3 {
            let controller = any_controller(w);
            w.fault(
                ms(10_000 + 25_000 * k),
                Fault::SlowController {
                    controller,
                    until: ms(25_000 + 25_000 * k),
                },
            );
        }
    });
    assert!(count(&coverage, "no machine had room") > 20, "{coverage:?}");
}

/// A controller that stands still while its clocks run on acts on nothing that is over.
#[test]
fn a_controller_stands_still_while_others_take_over() {
    scenario("fault_combinations.a_controller_stands_still_while_others_take_over");
    simulate_seeds(1_380..1_392, |w, _| {
        for k in 0..4 {
            let at = 8_000 + 20_000 * k;
            let lasts = w.draw(3_000..18_000);
            let controller = any_controller(w);
            w.fault(
                ms(at),
                Fault::PauseController {
                    controller,
                    until: ms(at + lasts),
                },
            );
            w.fault(
                ms(at + 4_800),
                Fault::CancelRunning {
                    count: 3,
                    hang: Micros::ZERO,
                },
            );
        }
    });
}

/// All kinds of troubles, drawn in pairs that overlap.
#[test]
fn troubles_in_pairs() {
    scenario("fault_combinations.troubles_in_pairs");
    simulate_seeds(
        1_400..1_440,
        seamfront_testing::simulation::scenarios::fault_pairs,
    );
}

/// A history in which a machine was returned with tasks that had been started after it was given up
/// (`docs/incidents/started-while-given-up.md`).
#[test]
fn a_machine_that_comes_back_while_it_is_given_up() {
    scenario("fault_combinations.a_machine_that_comes_back_while_it_is_given_up");
    simulate_seeds(
        41_407..41_408,
        seamfront_testing::simulation::scenarios::fault_pairs,
    );
}

#[test]
fn jobs_are_cancelled_as_the_work_of_a_controller_changes_hands() {
    scenario("fault_combinations.jobs_are_cancelled_as_the_work_of_a_controller_changes_hands");
    let coverage = simulate_seeds(1_500..1_512, |w, _| {
        for k in 0..4 {
            let at = 9_000 + 19_000 * k;
            // Its claim ends within 4 s, and goes back to it 3 s after it is ready again.
            let back = ms(w.draw(300..6_000));
            w.fault(
                ms(at),
                Fault::CrashHolder {
                    claim: SHARD_CLAIMS[(k % 3) as usize],
                    back,
                },
            );
            for n in 0..5 {
                let soon = w.draw(0..1_800);
                w.fault(
                    ms(at + 1_800 * n + soon),
                    Fault::CancelRunning {
                        count: 3,
                        hang: Micros::ZERO,
                    },
                );
            }
        }
    });
    assert!(
        count(
            &coverage,
            "a running job was cancelled as its share changed hands"
        ) > 20,
        "{coverage:?}"
    );
}

#[test]
fn every_team_at_its_limit_as_cancelled_tasks_are_out_of_reach_and_the_leader_changes() {
    scenario("fault_combinations.every_team_at_its_limit_as_cancelled_tasks_are_out_of_reach_and_the_leader_changes");
    let mut coverage = Coverage::new();
    for seed in 1_520..1_540 {
        add_coverage(&mut coverage, teams_at_their_limits(seed).coverage);
    }
    let reached =
        "every team stood at its limit, a cancelled task was out of reach and a controller ended";
    assert!(count(&coverage, reached) > 5, "{coverage:?}");
}

#[test]
fn a_command_of_a_former_leader_arrives_after_the_new_leaders() {
    scenario("fault_combinations.a_command_of_a_former_leader_arrives_after_the_new_leaders");
    let coverage = simulate_seeds(1_540..1_556, |w, troubles| {
        w.fault(
            ms(3_000),
            Fault::DelayCommands {
                until: ms(troubles),
            },
        );
        for k in 0..6 {
            let at = 8_000 + 13_000 * k + w.draw(0..3_000);
            let claim = SHARD_CLAIMS[(k % 3) as usize];
            let back = ms(w.draw(100..6_000));
            let fault = match k % 2 {
                0 => Fault::CrashHolder { claim, back },
                _ => Fault::IsolateHolder {
                    claim,
                    until: ms(at + 11_000),
                },
            };
            w.fault(ms(at), fault);
        }
    });
    let refused = "a former holder's command arrived after the new holder's and was refused";
    assert!(count(&coverage, refused) > 5, "{coverage:?}");
    assert!(
        count(
            &coverage,
            "a former holder's command arrived before the new holder's"
        ) > 5,
        "{coverage:?}"
    );
}

#[test]
fn new_machines_get_work_at_once_while_writes_lag_and_the_leader_ends() {
    scenario(
        "fault_combinations.new_machines_get_work_at_once_while_writes_lag_and_the_leader_ends",
    );
    let coverage = simulate_seeds(1_560..1_572, |w, troubles| {
        w.fault(
            ms(1_000),
            Fault::FastBoots {
                until: ms(troubles),
            },
        );
        for k in 0..5 {
            let at = 7_000 + 16_000 * k;
            w.fault(
                ms(at),
                Fault::SlowStore {
                    until: ms(at + 9_000),
                },
            );
            w.fault(
                ms(at),
                Fault::DelayWrites {
                    until: ms(at + 9_000),
                },
            );
            // Most machines go, so that new ones are rented.
            w.fault(ms(at), Fault::KillMachines { count: 6 });
            for n in 0..4 {
                let claim = if n % 2 == 0 {
                    "leader"
                } else {
                    SHARD_CLAIMS[w.draw(0..3) as usize]
                };
                let back = ms(w.draw(50..900));
                w.fault(
                    ms(at + 2_000 + 2_000 * n),
                    Fault::CrashHolder { claim, back },
                );
            }
        }
    });
    let reached = "a controller ended while a new machine had work and writes lagged";
    assert!(count(&coverage, reached) > 5, "{coverage:?}");
}

#[test]
fn old_reports_reach_every_controller_as_a_new_leader_begins() {
    scenario("fault_combinations.old_reports_reach_every_controller_as_a_new_leader_begins");
    let coverage = simulate_seeds(1_580..1_592, |w, troubles| {
        w.fault(
            ms(1_000),
            Fault::ReplayHeartbeats {
                until: ms(troubles),
            },
        );
        for k in 0..6 {
            let at = 9_000 + 13_000 * k;
            let claim = if k % 2 == 0 {
                "leader"
            } else {
                SHARD_CLAIMS[(k % 3) as usize]
            };
            let back = ms(if k % 2 == 0 { 300 } else { 5_500 });
            w.fault(ms(at), Fault::CrashHolder { claim, back });
            w.fault(ms(at - 1_000), Fault::RestartMachines { count: 2 });
        }
    });
    let reached = "an old report reached every controller as a claim was taken";
    assert!(count(&coverage, reached) > 50, "{coverage:?}");
    assert!(
        count(&coverage, "a copy from an earlier session arrived") > 20,
        "{coverage:?}"
    );
}

#[test]
fn only_the_answer_to_a_transaction_is_lost_while_others_read_it() {
    scenario("fault_combinations.only_the_answer_to_a_transaction_is_lost_while_others_read_it");
    let coverage = simulate_seeds(1_600..1_612, |w, troubles| {
        w.fault(
            ms(3_000),
            Fault::LoseCommitAnswers {
                until: ms(troubles),
            },
        );
        w.fault(
            ms(3_000),
            Fault::PollEverywhere {
                until: ms(troubles),
            },
        );
        for k in 0..3 {
            let at = 15_000 + 22_000 * k;
            let claim = SHARD_CLAIMS[(k % 3) as usize];
            let back = ms(w.draw(100..6_000));
            w.fault(ms(at), Fault::CrashHolder { claim, back });
            w.fault(
                ms(at + 3_000),
                Fault::CancelRunning {
                    count: 3,
                    hang: Micros::ZERO,
                },
            );
        }
    });
    let reached = "others read what was written by a transaction whose answer was lost";
    assert!(count(&coverage, reached) > 100, "{coverage:?}");
}

#[test]
fn users_ask_at_all_controllers_within_milliseconds() {
    scenario("fault_combinations.users_ask_at_all_controllers_within_milliseconds");
    let coverage = simulate_seeds(1_620..1_634, |w, troubles| {
        w.fault(
            ms(1_000),
            Fault::PollEverywhere {
                until: ms(troubles),
            },
        );
        w.fault(
            ms(2_000),
            Fault::CancelAtCompletion {
                until: ms(troubles),
            },
        );
        for k in 0..4 {
            let at = 10_000 + 19_000 * k;
            w.fault(
                ms(at),
                Fault::CancelRunning {
                    count: 3,
                    hang: Micros::ZERO,
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
                    back: ms(400),
                },
            };
            w.fault(ms(at), fault);
        }
    });
    assert!(
        count(
            &coverage,
            "users asked at all controllers within milliseconds"
        ) > 300,
        "{coverage:?}"
    );
}

/// Four one-task jobs a second for two minutes, a quarter of them called off: all are through, and the state
/// service's rates are kept but for the moments in which a claim changes hands.
#[test]
fn one_task_jobs_come_four_a_second_a_quarter_cancelled() {
    scenario("fault_combinations.one_task_jobs_come_four_a_second_a_quarter_cancelled");
    for seed in 1_640..1_644 {
        let w = stream_of_small_jobs(seed);
        assert_eq!(w.accepted(), 480, "seed {seed}");
        let writes = |from: i64| {
            (from..from + 10)
                .filter_map(|s| w.store_load.get(&s))
                .map(|s| s.1)
                .sum::<u32>()
        };
        let most = (0..150).map(writes).max().unwrap_or(0);
        assert!(most <= 1_100, "seed {seed}: {most} writes in ten seconds");
        let refused = count(&w.coverage, "the state service refused for its rate");
        assert!(
            refused <= 20,
            "seed {seed}: {refused} requests refused for their rate"
        );
    }
}

#[test]
fn all_kinds_of_troubles_in_pairs() {
    scenario("fault_combinations.all_kinds_of_troubles_in_pairs");
    simulate_seeds(
        1_700..1_740,
        seamfront_testing::simulation::scenarios::fault_pairs_of_all_kinds,
    );
}
