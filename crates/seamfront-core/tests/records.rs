//! Work records that are split over several keys: their encoding, and simulated runs with small values, also with
//! controllers of the version in production side by side.

use seamfront_core::job::Job;
use seamfront_core::ranges::RangeSet;
use seamfront_core::record::{
    decode, encode, parse_part_key, part_key, EncodedRecord, Layout, TaskRun, WorkRecord,
};
use seamfront_core::record_size::max_gang_machines;
use seamfront_core::shard::Shard;
use seamfront_core::types::*;
use seamfront_testing::shard_harness::{heartbeat, job, s, ShardHarness, CLAIM_TOKEN};
use seamfront_testing::simulation::recording::scenario;
use seamfront_testing::simulation::scenarios::{
    add_coverage, coverage_count, fault_pairs_of_all_kinds, init_logging_if_selected, Coverage,
};
use seamfront_testing::simulation::{ms, Fault, Scale, Simulation, CONTROLLERS, SMALL};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The largest value that the store is going to accept, in bytes.
const VALUE_BYTES: usize = 2_048;
/// Bytes that the values of a transaction may take, so that it stays below 64 KiB with its keys and conditions.
const MAX_TRANSACTION_BYTES: usize = 60_000;
/// The largest number of changes in a transaction that the store is going to accept.
const TRANSACTION_CHANGES: usize = 16;

fn small_layout() -> Layout {
    Layout::in_parts(VALUE_BYTES, TRANSACTION_CHANGES)
}

/// The record of a gang with one member per machine.
fn gang_record(members: u32) -> WorkRecord {
    let mut done = RangeSet::default();
    for index in (0..members).step_by(5) {
        done.insert(index);
    }
    WorkRecord {
        team: "t".into(),
        task_resources: Resources::rounded_up(1.0, 0.0, 2.0),
        epoch: 7,
        draining: true,
        attempts: (0..members).map(|index| (index, 2)).collect(),
        next_attempt: 12,
        done,
        placed: (0..members)
            .map(|k| {
                (
                    format!("i-{k:06}").as_str().into(),
                    vec![TaskRun::new(k, k + 1, 7)],
                )
            })
            .collect(),
        failures: 1,
    }
}

fn numbered_parts(encoded: &EncodedRecord) -> BTreeMap<u32, Value> {
    encoded
        .parts
        .iter()
        .cloned()
        .enumerate()
        .map(|(number, part)| (number as u32, part))
        .collect()
}

#[test]
fn records_that_exceed_one_value_are_split_into_parts_that_fit() {
    for members in [1, 10, 60, 200, 300] {
        let record = gang_record(members);
        let encoded = encode(&record, &small_layout(), &[]).expect("there is room");
        assert!(encoded
            .parts
            .iter()
            .chain([&encoded.head])
            .all(|v| v.to_string().len() <= VALUE_BYTES));
        assert_eq!(
            encoded.parts.is_empty(),
            encoded.head == serde_json::to_value(&record).unwrap()
        );
        assert!(
            encoded.parts.len() + 4 <= TRANSACTION_CHANGES,
            "{members}: {} parts",
            encoded.parts.len()
        );
        assert_eq!(
            decode(encoded.head.clone(), &numbered_parts(&encoded)).unwrap(),
            record
        );
    }
    assert!(
        encode(&gang_record(200), &Layout::single(VALUE_BYTES), &[]).is_none(),
        "a record must not be split while an old version may read it"
    );
    assert!(encode(&gang_record(5_000), &small_layout(), &[]).is_none());
}

#[test]
fn replacing_a_machine_changes_one_part_only() {
    let mut record = gang_record(200);
    let before = encode(&record, &small_layout(), &[]).unwrap();
    record.placed.remove(&MachineId::from("i-000100"));
    record
        .placed
        .insert("i-000100x".into(), vec![TaskRun::new(100, 101, 8)]);
    let after = encode(&record, &small_layout(), &before.boundaries).unwrap();
    let changed = before
        .parts
        .iter()
        .zip(&after.parts)
        .filter(|(a, b)| a != b)
        .count();
    assert_eq!((before.parts.len(), changed), (after.parts.len(), 1));
}

#[test]
fn a_record_with_a_missing_part_is_not_decoded() {
    let encoded = encode(&gang_record(200), &small_layout(), &[]).unwrap();
    let mut parts = numbered_parts(&encoded);
    parts.remove(&1);
    assert!(decode(encoded.head.clone(), &parts).is_err());
    // Parts beyond the record's count, left over from when it was larger, are ignored.
    let mut parts = numbered_parts(&encoded);
    parts.insert(99, json!({"p": {"i-9": [[0, 1, 1]]}}));
    assert_eq!(decode(encoded.head, &parts).unwrap(), gang_record(200));
}

/// The stored format is fixed literally, since later versions must read what this one has stored.
#[test]
fn stored_format_of_a_record_in_parts() {
    let head = json!({"team": "t", "need": {"c": 1000, "g": 0, "r": 2000}, "e": 7, "dr": true, "n": 12, "pk": 1, "parts": 2});
    let parts = BTreeMap::from([
        (
            0,
            json!({"a": [[0, 2]], "d": [[0, 1]], "p": {"i-0": [[0, 1, 7]]}}),
        ),
        (
            1,
            json!({"d": [[4, 5]], "p": {"i-1": [[1, 3, 7], [5, 6, 8]]}}),
        ),
    ]);
    let record = decode(head.clone(), &parts).unwrap();
    assert_eq!(
        (record.attempts, record.done.count(), record.placed.len()),
        (vec![(0, 2)], 2, 2)
    );
    assert_eq!(
        record.placed[&MachineId::from("i-1")],
        [TaskRun::new(1, 3, 7), TaskRun::new(5, 6, 8)]
    );
    // The version in production cannot mistake the head for a whole record.
    assert!(serde_json::from_value::<WorkRecord>(head).is_err());
    assert_eq!(part_key(2, &"j-7".into(), 3), "part/2/j-7/00003");
    assert_eq!(
        parse_part_key(2, "part/2/j-7/00003"),
        Some(("j-7".into(), 3))
    );
}

fn scale_with_small_values(machines: usize) -> Scale {
    Scale {
        value_bytes: VALUE_BYTES,
        max_txn_changes: TRANSACTION_CHANGES,
        machines,
        max_machines: machines + 12,
        limits: [0; 10],
        page: 40,
        ..SMALL
    }
}

/// Submits an urgent gang whose members need this many CPUs each. Machines have four.
fn submit_large_gang(simulation: &mut Simulation, n: u32, members: u32, cpus: f64) -> JobId {
    let mut spec = simulation.job(n);
    (spec.kind, spec.class, spec.team, spec.tasks) =
        (JobKind::Gang, "large".into(), "a".into(), members);
    (spec.task_resources, spec.priority) =
        (Resources::rounded_up(cpus, 0.0, 1.0), Priority::Urgent);
    (spec.zone, spec.one_zone, spec.spread, spec.spot) = (None, false, false, true);
    spec.image_mb = 100;
    let id = spec.id.clone();
    simulation.submit(ms(15_000), spec);
    id
}

/// A gang of 200 members is placed, drained when a machine fails, adopted by a successor when its holder crashes, and
/// done. Another gang is cancelled while it runs.
#[test]
fn a_gang_whose_record_is_split_is_done_while_holders_crash_and_a_machine_fails() {
    scenario("records.a_gang_of_two_hundred_members_runs_with_small_values");
    let mut coverage = Coverage::new();
    for seed in 3_000..3_003 {
        init_logging_if_selected(seed);
        let mut simulation = Simulation::sized(seed, scale_with_small_values(210));
        simulation.faults_end = ms(90_000);
        let first = submit_large_gang(&mut simulation, 1, 200, 3.0);
        let shard = simulation.shard_claim(&first);
        simulation.fault(
            ms(24_000),
            Fault::CrashHolder {
                claim: shard,
                restart_after: ms(5_000),
            },
        );
        simulation.fault(ms(40_000), Fault::KillMachines { count: 1 });
        simulation.fault(ms(44_000), Fault::DelayWrites { until: ms(60_000) });
        simulation.fault(
            ms(50_000),
            Fault::CrashHolder {
                claim: shard,
                restart_after: ms(300),
            },
        );
        let second = submit_large_gang(&mut simulation, 2, 180, 3.0);
        simulation.cancel(ms(70_000), second);
        simulation.run_until(ms(400_000));
        assert_eq!(
            simulation.unfinished_jobs(),
            Vec::<String>::new(),
            "seed {seed}"
        );
        assert_eq!(
            simulation.count_keys("part/"),
            0,
            "seed {seed}: parts were not removed with their record"
        );
        add_coverage(&mut coverage, simulation.coverage);
    }
    assert!(
        coverage_count(&coverage, "a record was written in parts") > 20,
        "{coverage:?}"
    );
    assert!(
        coverage_count(&coverage, "a record in parts was read by a new holder") > 4,
        "{coverage:?}"
    );
}

/// Guards against gangs that are accepted and never begin (`docs/incidents/gangs-counted-by-members.md`): each member was
/// counted as if it had a machine of its own in the record and had used up an attempt. Four members fit on a machine.
#[test]
fn a_gang_of_many_members_begins_where_they_share_machines() {
    scenario("records.gangs_of_many_members_share_machines");
    let large_values = (SMALL.value_bytes, SMALL.max_txn_changes);
    let small_values = (VALUE_BYTES, TRANSACTION_CHANGES);
    for (members, (value_bytes, max_txn_changes)) in [(400, small_values), (900, large_values)] {
        init_logging_if_selected(3_200);
        let scale = Scale {
            value_bytes,
            max_txn_changes,
            ..scale_with_small_values(members as usize / 4 + 5)
        };
        let mut simulation = Simulation::sized(3_200, scale);
        simulation.faults_end = ms(1_000);
        submit_large_gang(&mut simulation, 1, members, 1.0);
        simulation.run_until(ms(105_000));
        assert_eq!(
            simulation.unfinished_jobs(),
            Vec::<String>::new(),
            "{members} members, values of {value_bytes} bytes"
        );
    }
}

/// Limits of the store on values and on changes in a transaction: those of all deployments, and those that two of them
/// announce.
const STORE_LIMITS: [(usize, usize); 3] = [
    (SMALL.value_bytes, SMALL.max_txn_changes),
    (16 * 1024, SMALL.max_txn_changes),
    (VALUE_BYTES, TRANSACTION_CHANGES),
];

/// Guards against arrays whose tasks are placed and whose record can then not be written: with as many tasks placed as the
/// headroom allows, each on a machine of its own, the record is written, also as machines come and go.
#[test]
fn the_record_of_an_array_with_all_tasks_that_may_be_placed_can_be_written() {
    let limits_of_values = [(VALUE_BYTES, SMALL.max_txn_changes)];
    for (value_bytes, max_txn_changes) in STORE_LIMITS.into_iter().chain(limits_of_values) {
        let layout = Layout::in_parts(value_bytes, max_txn_changes);
        for done_step in [1, 2, 7] {
            let mut array = Job::new(job("j-000001", 100_000), 5, Micros::ZERO);
            array.next_attempt = 99_998;
            (0..600).step_by(done_step).for_each(|index| {
                array.done.insert(index);
            });
            let placed = array.record_headroom(&layout);
            assert!(placed > 100, "a vacuous test with {placed} tasks");
            let mut boundaries = Vec::new();
            for round in 0..6 {
                let mut record = array.to_record();
                // In each round other machines, so that entries move from part to part.
                let machine = |k: u32| format!("i-{:010}", (k * (1 + round)) % 100_003);
                record.placed = (0..placed)
                    .map(|k| (k, TaskRun::new(90_000 + k, 90_001 + k, 99_998)))
                    .map(|(k, run)| (machine(k).as_str().into(), vec![run]))
                    .collect();
                assert_eq!(record.placed.len(), placed as usize);
                let encoded = encode(&record, &layout, &boundaries).unwrap_or_else(|| {
                    panic!("{placed} tasks, values of {value_bytes} bytes, round {round}")
                });
                assert!(encoded.parts.len() + 4 <= max_txn_changes);
                assert!(encoded.bytes <= MAX_TRANSACTION_BYTES);
                boundaries = encoded.boundaries;
            }
        }
    }
}

/// Guards against capacity that is held for a gang whose record would be too large: such a gang may wait for long.
#[test]
fn a_gang_whose_record_would_be_too_large_leaves_its_capacity_to_others() {
    let mut harness = ShardHarness::new(6, 0);
    // A record of this size names three machines.
    harness.settings.value_bytes = 300;
    let gang = JobSpec {
        kind: JobKind::Gang,
        priority: Priority::Urgent,
        task_resources: Resources::rounded_up(5.0, 0.0, 1.0),
        ..(*job("j-1", 6)).clone()
    };
    let array = JobSpec {
        task_resources: Resources::rounded_up(4.0, 0.0, 1.0),
        ..(*job("j-2", 1)).clone()
    };
    harness.shard.add_job(Rc::new(gang), 5, s(100));
    harness.shard.add_job(Rc::new(array), 6, s(100));
    for machine in 0..6 {
        let shown = heartbeat(&format!("i-{machine}"), 1, 1, CLAIM_TOKEN, &[]);
        harness.heartbeat(s(101), &shown);
    }
    harness.with(s(102), Shard::run_scheduling_cycle);
    assert!(!harness.placed("j-1"));
    assert!(harness.placed("j-2"));
}

/// The figures that `docs/operating.md` states for gangs of 400, 4,000 and 40,000 tasks.
#[test]
fn records_name_as_many_machines_as_the_operating_page_says() {
    let figures = STORE_LIMITS.map(|(value_bytes, max_txn_changes)| {
        let layout = Layout::in_parts(value_bytes, max_txn_changes);
        [400, 4_000, 40_000].map(|tasks| max_gang_machines(&job("j-000001", tasks), &layout))
    });
    let usual = [1_544, 1_458, 1_381];
    assert_eq!(figures, [usual, usual, [653, 616, 583]]);
}

/// Guards against gangs whose record is counted as fitting and then can't be written: on as many machines as a
/// submission may need, a gang of any size fits by the count, and its record can be written, in its first attempt and after
/// thousands. Also while a member fails.
#[test]
fn the_record_of_a_gang_on_as_many_machines_as_are_accepted_can_be_written() {
    for (value_bytes, max_txn_changes) in STORE_LIMITS {
        let layout = Layout::in_parts(value_bytes, max_txn_changes);
        for tasks in [1, 2, 16, 400, 800, 5_000, 40_000, 100_000] {
            let spec = Rc::new(JobSpec {
                kind: JobKind::Gang,
                ..(*job("j-000001", tasks)).clone()
            });
            let machines = max_gang_machines(&spec, &layout).min(tasks as usize);
            for epoch in [1, 9_999] {
                let mut gang = Job::new(spec.clone(), 5, Micros::ZERO);
                gang.gang.as_mut().expect("it is a gang").epoch = epoch;
                let names: Vec<MachineId> = (0..machines)
                    .map(|k| format!("i-{k:010}").as_str().into())
                    .collect();
                assert!(gang.gang_fits_record(&layout, names.iter()));
                assert!(gang.gang_fits_record_anywhere(&layout, machines));
                let mut record = gang.to_record();
                let members_before = |k: usize| (k * tasks as usize / machines) as u32;
                record.placed = (0..machines)
                    .map(|k| TaskRun::new(members_before(k), members_before(k + 1), epoch))
                    .zip(names)
                    .map(|(run, name)| (name, vec![run]))
                    .collect();
                record.attempts = vec![(tasks - 1, 2)];
                let encoded = encode(&record, &layout, &[]).unwrap_or_else(|| {
                    panic!("{tasks} members on {machines} machines, values of {value_bytes} bytes")
                });
                assert!(encoded.parts.len() + 4 <= max_txn_changes);
                assert!(encoded.bytes <= MAX_TRANSACTION_BYTES);
                assert!(encoded
                    .parts
                    .iter()
                    .chain([&encoded.head])
                    .all(|value| value.to_string().len() <= value_bytes));
                let decoded = decode(encoded.head.clone(), &numbered_parts(&encoded));
                assert_eq!(decoded.unwrap(), record);
            }
        }
    }
}

/// Controllers of the version in production and of this one run side by side and are upgraded one by one under faults
/// of all kinds. Afterwards a pipeline of dependent jobs and a job whose record is split into parts are submitted.
#[test]
fn all_jobs_end_while_controllers_are_upgraded_one_by_one_under_faults() {
    scenario("records.old_and_new_versions_run_side_by_side");
    let mut coverage = Coverage::new();
    for seed in 3_100..3_116 {
        init_logging_if_selected(seed);
        let mut simulation = Simulation::sized(seed, scale_with_small_values(110));
        simulation.faults_end = ms(150_000);
        simulation.start_with_old_version();
        for n in 0..40 {
            let spec = simulation.job(n);
            let (at, id, service) = (
                simulation.draw(500..110_000),
                spec.id.clone(),
                spec.kind == JobKind::Service,
            );
            simulation.submit(ms(at), spec);
            if service || simulation.draw(0..4) == 0 {
                let cancel_delay = simulation.draw(2_000..30_000);
                simulation.cancel(ms(at + cancel_delay), id);
            }
        }
        // Jobs with more tasks than a record in one value holds: one while the old version still reads, one afterwards.
        for (n, at) in [(90, 4_000), (91, 110_000)] {
            let mut large = simulation.job(n);
            (large.kind, large.class, large.team, large.tasks) =
                (JobKind::Array, "large".into(), "a".into(), 300);
            (large.task_resources, large.zone) = (Resources::rounded_up(3.0, 0.0, 1.0), None);
            (large.one_zone, large.spread) = (false, false);
            simulation.submit(ms(at), large);
        }
        fault_pairs_of_all_kinds(&mut simulation, 90_000);
        simulation.fault(ms(5_000), Fault::DelayWrites { until: ms(100_000) });
        for controller in 0..CONTROLLERS {
            let at = 20_000 + 25_000 * controller as i64 + simulation.draw(0..8_000);
            let restart_after = ms(simulation.draw(300..5_000));
            // A controller that crashes before its upgrade restarts with the old version.
            simulation.fault(
                ms(at - 9_000),
                Fault::Crash {
                    controllers: vec![controller],
                    restart_after: ms(1_000),
                },
            );
            simulation.fault(
                ms(at),
                Fault::Upgrade {
                    controller,
                    restart_after,
                },
            );
        }
        let at = simulation.draw(95_000..105_000);
        simulation.pipeline(200, at);
        simulation.run_until(ms(480_000));
        assert_eq!(
            simulation.unfinished_jobs(),
            Vec::<String>::new(),
            "seed {seed}"
        );
        add_coverage(&mut coverage, simulation.coverage);
    }
    assert!(
        coverage_count(&coverage, "a controller was upgraded while others had been") > 20,
        "{coverage:?}"
    );
    assert!(
        coverage_count(&coverage, "an old controller ended beside new ones") > 10,
        "{coverage:?}"
    );
    assert!(
        coverage_count(&coverage, "a record was written in parts") > 20,
        "{coverage:?}"
    );
}
