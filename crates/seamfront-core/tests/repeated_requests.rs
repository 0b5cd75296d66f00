//! Requests that were carried out and answered arrive once more, seconds to minutes later. All invariants are checked
//! after every step of the simulated runs, and all jobs must end.

use seamfront_core::port::{DirectOutcome, Effect, Exit, Order, TaskState};
use seamfront_core::record::Layout;
use seamfront_core::shard::WriteOutcome;
use seamfront_core::types::*;
use seamfront_testing::shard_harness::{heartbeat, job, s, ShardHarness, CLAIM_TOKEN};
use seamfront_testing::simulation::recording::scenario;
use seamfront_testing::simulation::scenarios::{
    coverage_count, simulate, simulate_at_scale, simulate_seeds,
};
use seamfront_testing::simulation::{ms, Fault, Scale, Simulation, SMALL};

/// A token that the holder may raise the machine's token to.
const TOKEN_LIMIT: u64 = CLAIM_TOKEN + 20;

/// Schedules what waits and sends the direct commands that are due. Returns token and orders of the only command.
fn send_direct_command(harness: &mut ShardHarness, now: Micros) -> (u64, Vec<Order>) {
    harness.with(now, seamfront_core::shard::Shard::tick);
    harness.with(now, seamfront_core::shard::Shard::run_scheduling_cycle);
    let layout = Layout::single(harness.settings.value_bytes);
    for write in harness.shard.due_writes(now, 100, &layout) {
        harness.with(now, |shard, context| {
            shard.apply_write_outcome(context, &write, WriteOutcome::Done(60));
        });
    }
    harness.effects.clear();
    harness.with(now, |shard, context| shard.send_direct_commands(context));
    let mut sent = harness.effects.drain(..).filter_map(|effect| match effect {
        Effect::SendDirect {
            fencing_token,
            orders,
            ..
        } => Some((fencing_token, orders)),
        _ => None,
    });
    let command = sent.next().expect("a direct command is sent");
    assert!(sent.next().is_none());
    command
}

/// A shard whose only machine was sent the first task of `j-0` directly, in attempt 1, and has answered.
fn shard_with_answered_command() -> ShardHarness {
    let mut harness = ShardHarness::new(1, 0);
    harness.shard.add_job(job("j-0", 1), 5, s(100));
    harness.heartbeat(s(101), &heartbeat("i-0", 1, 1, CLAIM_TOKEN, &[]));
    let (token, orders) = send_direct_command(&mut harness, s(101));
    assert_eq!((token, orders.len()), (CLAIM_TOKEN, 1));
    let call = harness.next_call - 1;
    let reply = heartbeat("i-0", 1, 2, CLAIM_TOKEN, &[("j-0", 1, TaskState::Fetching)]);
    harness.with(s(101), |shard, context| {
        let outcome = DirectOutcome::Settled {
            heartbeat: Box::new(reply),
        };
        shard.apply_direct_outcome(context, call, &"i-0".into(), outcome);
    });
    harness
}

fn token_of(harness: &ShardHarness) -> u64 {
    harness.shard.machines[&MachineId::from("i-0")].fencing_token(CLAIM_TOKEN)
}

fn forgets(orders: &[Order]) -> bool {
    orders
        .iter()
        .any(|order| matches!(order, Order::Forget { .. }))
}

/// The agent would accept a copy of the command under an equal token, and start the forgotten attempt again.
#[test]
fn no_attempt_is_forgotten_under_the_token_of_an_answered_start_command() {
    for exit in [
        Exit::Error,
        Exit::Stopped { saved: true },
        Exit::PeerLost,
        Exit::GangIncomplete,
        Exit::NoRoom,
        Exit::OtherAttemptPresent,
        Exit::Unknown,
    ] {
        let mut harness = shard_with_answered_command();
        let exited = [("j-0", 1, TaskState::Exited(exit))];
        let orders = harness.heartbeat(s(102), &heartbeat("i-0", 1, 3, CLAIM_TOKEN, &exited));
        assert!(!forgets(&orders), "{exit:?}: {orders:?}");
        assert!(!harness.placed("j-0"), "{exit:?} frees the place at once");
        assert_eq!(token_of(&harness), CLAIM_TOKEN);

        harness.token_limit = TOKEN_LIMIT;
        let orders = harness.heartbeat(s(103), &heartbeat("i-0", 1, 4, CLAIM_TOKEN, &exited));
        assert!(forgets(&orders), "{exit:?}: {orders:?}");
        assert_eq!(token_of(&harness), TOKEN_LIMIT);
    }
}

/// The copy of a former holder's command has a lower token than any reply of the later holder.
#[test]
fn a_later_holder_lets_an_agent_forget_only_under_its_own_token() {
    const FORMER_TOKEN: u64 = CLAIM_TOKEN - 10;
    let mut harness = ShardHarness::new(1, 1);
    let exited = [("j-0", 3, TaskState::Exited(Exit::Error))];
    let orders = harness.heartbeat(s(101), &heartbeat("i-0", 1, 1, FORMER_TOKEN, &exited));
    assert!(!forgets(&orders), "{orders:?}");
    let orders = harness.heartbeat(s(102), &heartbeat("i-0", 1, 2, CLAIM_TOKEN, &exited));
    assert!(forgets(&orders), "{orders:?}");
    assert_eq!(token_of(&harness), CLAIM_TOKEN);
}

#[test]
fn the_next_start_command_carries_the_raised_token_without_waiting_for_a_heartbeat() {
    let mut harness = shard_with_answered_command();
    harness.token_limit = TOKEN_LIMIT;
    harness.shard.add_job(job("j-1", 1), 6, s(102));
    let exited = [("j-0", 1, TaskState::Exited(Exit::Stopped { saved: false }))];
    harness.heartbeat(s(102), &heartbeat("i-0", 1, 3, CLAIM_TOKEN, &exited));
    let (token, _) = send_direct_command(&mut harness, s(102));
    assert_eq!(token, TOKEN_LIMIT);
}

/// A reply that was on its way under the lower token is dropped, so the agent goes on showing that one for a while.
#[test]
fn a_machine_that_has_not_shown_the_raised_token_yet_is_not_given_up() {
    let mut harness = shard_with_answered_command();
    harness.token_limit = TOKEN_LIMIT;
    let exited = [("j-0", 1, TaskState::Exited(Exit::Unknown))];
    for sequence in 3..13 {
        let now = s(100 + 2 * sequence);
        harness.heartbeat(
            now,
            &heartbeat("i-0", 1, sequence as u64, CLAIM_TOKEN, &exited),
        );
        harness.with(now, seamfront_core::shard::Shard::tick);
        let machine = &harness.shard.machines[&MachineId::from("i-0")];
        assert_eq!(machine.agent.unacknowledged, None);
        assert!(!machine.lifecycle.condemned);
        assert!(machine.usable(now, s(2), CLAIM_TOKEN));
    }
}

#[test]
fn tokens_are_raised_only_for_machines_on_which_something_is_to_be_forgotten() {
    let mut harness = shard_with_answered_command();
    harness.token_limit = TOKEN_LIMIT;
    let running = [("j-0", 1, TaskState::Running)];
    harness.heartbeat(s(102), &heartbeat("i-0", 1, 3, CLAIM_TOKEN, &running));
    assert_eq!(token_of(&harness), CLAIM_TOKEN);
}

/// The refused second attempt is listed beside the live first one; neither hides the other.
#[test]
fn a_refused_attempt_beside_a_live_one_of_the_same_task_is_removed_alone() {
    let mut harness = shard_with_answered_command();
    let statuses = [
        ("j-0", 1, TaskState::Running),
        ("j-0", 7, TaskState::Exited(Exit::OtherAttemptPresent)),
    ];
    for (sequence, statuses) in [(3, statuses), (4, [statuses[1], statuses[0]])] {
        harness.heartbeat(
            s(102),
            &heartbeat("i-0", 1, sequence, CLAIM_TOKEN, &statuses),
        );
        assert!(harness.placed("j-0"));
    }
}

#[test]
fn a_machine_that_lists_too_many_exited_tasks_gets_no_further_ones() {
    let mut harness = ShardHarness::new(1, 0);
    let usable = |harness: &ShardHarness| {
        harness.shard.machines[&MachineId::from("i-0")].usable(s(102), s(2), CLAIM_TOKEN)
    };
    for (sequence, attempts, expected) in [(1, 400, true), (2, 401, false), (3, 10, true)] {
        let exited: Vec<_> = (1..=attempts)
            .map(|attempt| ("j-9", attempt, TaskState::Exited(Exit::Error)))
            .collect();
        harness.heartbeat(s(102), &heartbeat("i-0", 1, sequence, CLAIM_TOKEN, &exited));
        assert_eq!(usable(&harness), expected, "{attempts} exited tasks");
    }
}

/// Copies are made during the whole run, and arrive until 150 s later.
fn repeat_requests(simulation: &mut Simulation, faults_end_ms: i64) {
    let until = ms(faults_end_ms + 60_000);
    simulation.fault(ms(1_000), Fault::RepeatRequests { until });
}

/// Submits a random job of team `d`, which has no limit, after applying `change` to it.
fn submit_unbound_job(simulation: &mut Simulation, n: u32, at: i64, change: impl Fn(&mut JobSpec)) {
    let mut spec = simulation.job(n);
    spec.team = "d".into();
    (spec.zone, spec.one_zone, spec.spread) = (None, false, false);
    change(&mut spec);
    simulation.submit(ms(at), spec);
}

/// Simulates a run for each seed, with copies besides the given faults. No copy may start a task again. Each of the
/// situations must occur, and those that every run is about.
fn simulate_with_copies(
    seeds: std::ops::Range<u64>,
    situations: &[&str],
    faults: impl Fn(&mut Simulation, i64),
) {
    let coverage = simulate_seeds(seeds, |simulation, faults_end_ms| {
        repeat_requests(simulation, faults_end_ms);
        faults(simulation, faults_end_ms);
    });
    let usual = [
        ("a repeated command was carried out", 20),
        ("a repeated command was refused for its token", 100),
        ("a repeated transaction failed", 100),
        ("a message between controllers was repeated", 100),
        ("a request to the cloud was repeated", 10),
        ("a copy named a forgotten attempt", 100),
        ("a copy came more than a minute later", 20),
        ("the acceptance of a job was repeated", 20),
        ("the end of a job was repeated", 20),
        ("the write of a work record was repeated", 100),
        ("the removal of a work record was repeated", 20),
        ("the write of a machine record was repeated", 20),
        ("the write of a provisioning record was repeated", 10),
        ("the removal of a provisioning record was repeated", 10),
        ("the write of machine types was repeated", 10),
    ];
    let situations = situations.iter().map(|what| (*what, 5));
    for (what, at_least) in usual.into_iter().chain(situations) {
        assert!(
            coverage_count(&coverage, what) >= at_least,
            "{what}: {coverage:?}"
        );
    }
    let started_again = coverage_count(&coverage, "a repeated command started a task again");
    assert_eq!(started_again, 0, "{coverage:?}");
}

#[test]
fn answered_start_commands_that_arrive_again_start_nothing() {
    scenario("repeated_requests.alone");
    simulate_with_copies(7_000..7_010, &[], |_, _| {});
}

/// The way of the incident: tasks fail and are placed elsewhere.
#[test]
fn a_task_that_failed_and_was_placed_elsewhere_is_not_started_again_by_a_copy() {
    scenario("repeated_requests.failed_tasks");
    let situations = ["a copy named a task that was on another machine"];
    simulate_with_copies(7_020..7_030, &situations, |simulation, _| {
        for n in 100..108 {
            let mut spec = simulation.job(n);
            (spec.team, spec.kind, spec.tasks) = ("d".into(), JobKind::Array, 4);
            (spec.zone, spec.one_zone, spec.spread) = (None, false, false);
            let at = simulation.draw(2_000..60_000);
            let id = spec.id.clone();
            simulation.make_failing(&spec);
            simulation.submit(ms(at), spec);
            simulation.cancel(ms(at + 25_000), id);
        }
    });
}

#[test]
fn a_preempted_task_is_not_started_again_by_a_copy() {
    scenario("repeated_requests.preempted_tasks");
    let situations = ["a copy named a task that was on another machine"];
    simulate_with_copies(7_040..7_050, &situations, |simulation, _| {
        for n in 100..130 {
            let at = simulation.draw(2_000..80_000);
            let urgent = n % 2 == 0;
            submit_unbound_job(simulation, n, at, |spec| {
                spec.priority = if urgent {
                    Priority::Urgent
                } else {
                    Priority::BestEffort
                };
                spec.kind = if urgent {
                    JobKind::Gang
                } else {
                    JobKind::Array
                };
                spec.tasks = if urgent { 3 } else { 10 };
            });
        }
    });
}

#[test]
fn cancelled_tasks_are_not_started_again_by_copies() {
    scenario("repeated_requests.cancelled_tasks");
    let situations = ["a copy named a task of a cancelled job"];
    simulate_with_copies(7_060..7_070, &situations, |simulation, _| {
        for k in 0..9 {
            let hang_for = ms(simulation.draw(0..6_000) * (k % 2));
            simulation.fault(
                ms(8_000 + 9_000 * k),
                Fault::CancelRunning { count: 5, hang_for },
            );
        }
    });
}

#[test]
fn copies_start_nothing_after_a_controller_was_back_within_a_second() {
    scenario("repeated_requests.back_within_a_second");
    let situations = [
        "a copy of a former holder's command arrived",
        "the acquisition of a claim was repeated",
    ];
    simulate_with_copies(7_080..7_090, &situations, |simulation, _| {
        for k in 0..8 {
            let claim = ["share/0", "share/1", "share/2", "leader"][simulation.draw(0..4) as usize];
            let restart_after = ms(simulation.draw(50..900));
            for delay in [0, 1_500] {
                simulation.fault(
                    ms(8_000 + 10_000 * k + delay),
                    Fault::CrashHolder {
                        claim,
                        restart_after,
                    },
                );
            }
        }
    });
}

#[test]
fn copies_start_nothing_on_machines_that_hung_restarted_or_lost_answers() {
    scenario("repeated_requests.machines");
    let situations = ["a repeated command was refused for its incarnation"];
    simulate_with_copies(7_100..7_110, &situations, |simulation, _| {
        for k in 0..8 {
            let duration = ms(simulation.draw(2_000..14_000));
            let fault = match k % 4 {
                0 => Fault::HangMachines { count: 3, duration },
                1 => Fault::RestartMachines { count: 3 },
                2 => Fault::LoseAnswers { count: 3, duration },
                _ => Fault::DelayAnswers {
                    until: ms(8_000 + 10_000 * k + 9_000),
                },
            };
            simulation.fault(ms(8_000 + 10_000 * k), fault);
        }
    });
}

/// Saving takes long here, so that copies arrive meanwhile; jobs that are bound to one zone lose their machines.
#[test]
fn copies_start_nothing_of_tasks_that_save_or_whose_job_changed_its_zone() {
    scenario("repeated_requests.saving_and_zones");
    let situations = [
        "a copy named a task that was saving",
        "a copy named an old attempt of a gang",
        "a copy named a job that was in another zone",
    ];
    simulate_with_copies(7_160..7_180, &situations, |simulation, _| {
        for n in 100..130 {
            let at = simulation.draw(2_000..80_000);
            let urgent = n % 3 == 0;
            submit_unbound_job(simulation, n, at, |spec| {
                (spec.kind, spec.one_zone) = (JobKind::Gang, true);
                (spec.tasks, spec.spot) = (3, false);
                spec.priority = if urgent {
                    Priority::Urgent
                } else {
                    Priority::BestEffort
                };
                (spec.checkpoint_interval, spec.checkpoint_time) = (ms(5_000), ms(6_000));
            });
        }
        for k in 0..5 {
            simulation.fault(ms(10_000 + 15_000 * k), Fault::KillMachines { count: 2 });
        }
    });
}

/// Refused starts: the machines are given more tasks than they have room for.
#[test]
fn copies_of_refused_starts_start_nothing_once_there_is_room() {
    scenario("repeated_requests.refused_starts");
    let situations = ["a copy named an attempt that was refused"];
    simulate_with_copies(7_180..7_190, &situations, |simulation, _| {
        simulation.fault(ms(2_000), Fault::RefuseStarts { until: ms(90_000) });
    });
}

/// Duties have claims and records of their own.
#[test]
fn repeated_requests_break_nothing_while_duties_are_enabled() {
    scenario("repeated_requests.duties");
    let scale = Scale {
        duties: true,
        ..SMALL
    };
    let mut repeated = 0;
    for seed in 7_200..7_210 {
        let simulation = simulate_at_scale(seed, scale, |simulation, faults_end_ms| {
            repeat_requests(simulation, faults_end_ms);
            for k in 0..4 {
                let controller = simulation.draw(0..3) as usize;
                let restart_after = ms(simulation.draw(50..5_000));
                simulation.fault(
                    ms(12_000 + 18_000 * k),
                    Fault::Crash {
                        controllers: vec![controller],
                        restart_after,
                    },
                );
            }
        });
        repeated += coverage_count(&simulation.coverage, "a write for a duty was repeated");
    }
    assert!(repeated > 50, "{repeated} repeated writes for duties");
}

/// Simulates a run with copies, and goes on until what they bring back must be removed again.
fn simulate_past_last_copies(seed: u64) -> Simulation {
    let mut simulation = simulate(seed, |simulation, faults_end_ms| {
        repeat_requests(simulation, faults_end_ms);
        for k in 0..4 {
            simulation.fault(ms(10_000 + 15_000 * k), Fault::KillMachines { count: 2 });
        }
    });
    simulation.run_until(ms(480_000));
    simulation
}

/// The copy recreates the record of a machine that is gone. Such a machine never comes up, and is condemned for that.
#[test]
fn machine_records_that_copies_bring_back_are_removed() {
    scenario("repeated_requests.machine_records_that_are_back");
    let mut brought_back = 0;
    for seed in 7_120..7_126 {
        let simulation = simulate_past_last_copies(seed);
        brought_back += coverage_count(
            &simulation.coverage,
            "a repeated transaction wrote a machine record",
        );
        for key in simulation.stored_keys("machine/") {
            let id = MachineId::from(key.trim_start_matches("machine/"));
            let machine = &simulation.ground_truth.machines[&id];
            assert!(
                !machine.dead,
                "seed {seed}: {key} of a machine that is gone"
            );
        }
    }
    assert!(brought_back > 0);
}

#[test]
fn copies_bring_back_no_work_records_of_jobs_that_have_ended() {
    scenario("repeated_requests.work_records");
    for seed in 7_140..7_146 {
        let simulation = simulate_past_last_copies(seed);
        let failed = coverage_count(&simulation.coverage, "a repeated transaction failed");
        assert!(failed > 20, "seed {seed}: only {failed} copies failed");
        for key in simulation.stored_keys("work/") {
            let job = key.rsplit('/').next().unwrap_or_default();
            let live = !simulation.stored_keys(&format!("job/{job}")).is_empty();
            assert!(live, "seed {seed}: {key} of a job that has ended");
        }
    }
}
