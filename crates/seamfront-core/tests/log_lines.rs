//! Log lines that tell the story of an incident, and the bound on lines about frequent events.

use seamfront_core::port::{Exit, Heartbeat, TaskState};
use seamfront_core::shard::Shard;
use seamfront_core::types::*;
use seamfront_testing::log_capture::lines_of;
use seamfront_testing::shard_harness::{heartbeat, job, s, ShardHarness, CLAIM_TOKEN};

#[test]
fn a_task_in_the_wrong_place_is_logged_once_with_what_was_last_ordered_and_forgotten_there() {
    let mut harness = ShardHarness::new(1, 1);
    let running = [("j-0", 3, TaskState::Running)];
    harness.heartbeat(s(101), &heartbeat("i-0", 1, 1, CLAIM_TOKEN, &running));
    let exited = [("j-0", 3, TaskState::Exited(Exit::Error))];
    harness.heartbeat(s(102), &heartbeat("i-0", 1, 2, CLAIM_TOKEN, &exited));
    let again = |sequence| heartbeat("i-0", 1, sequence, CLAIM_TOKEN, &running);
    let lines = lines_of(|| {
        harness.heartbeat(s(103), &again(3));
        harness.heartbeat(s(104), &again(4));
    });
    assert_eq!(lines.len(), 1, "{lines:?}");
    for part in [
        "WARN",
        "tasks were not placed on this machine",
        "machine=i-0",
        "first=j-0/0",
        "attempt=3",
        "controller=a",
        "fencing_token=50",
        "token_shown=50",
        "incarnation=1",
        "last_forgotten=j-0/0@3 token 50 at 102.000 s",
    ] {
        assert!(lines[0].contains(part), "no {part:?} in {}", lines[0]);
    }
}

/// Tasks of many jobs fail: the events are counted in one line.
#[test]
fn failed_tasks_are_counted_in_one_line() {
    const TASKS: usize = 7;
    let mut harness = ShardHarness::new(TASKS, TASKS);
    let status = |sequence: u64, state| -> Vec<Heartbeat> {
        (0..TASKS)
            .map(|n| {
                let job = format!("j-{n}");
                let machine = format!("i-{n}");
                heartbeat(&machine, 1, sequence, CLAIM_TOKEN, &[(&job, 3, state)])
            })
            .collect()
    };
    for heartbeat in status(1, TaskState::Running) {
        harness.heartbeat(s(101), &heartbeat);
    }
    let lines = lines_of(|| {
        for heartbeat in status(2, TaskState::Exited(Exit::Error)) {
            harness.heartbeat(s(102), &heartbeat);
        }
        for t in 102..108 {
            harness.with(s(t), Shard::tick);
        }
    });
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].contains("shard activity"), "{lines:?}");
    assert!(lines[0].contains("failed=7"), "{lines:?}");
}

#[test]
fn tasks_are_not_called_misplaced_while_the_records_are_being_read() {
    let mut shard = Shard::new(0, CLAIM_TOKEN, s(100));
    let mut harness = ShardHarness::new(1, 0);
    std::mem::swap(&mut harness.shard, &mut shard);
    let size = Resources::rounded_down(8.0, 0.0, 32.0);
    let machine = &shard.machines[&MachineId::from("i-0")];
    harness
        .shard
        .add_machine(machine.id.clone(), machine.record.clone(), 7, size, s(100));
    harness.shard.add_job(job("j-0", 1), 5, s(100));
    let running = [("j-0", 3, TaskState::Running)];
    let lines = lines_of(|| {
        harness.heartbeat(s(101), &heartbeat("i-0", 1, 1, CLAIM_TOKEN, &running));
    });
    assert_eq!(lines, Vec::<String>::new());
}
