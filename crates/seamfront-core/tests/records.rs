//! Work records that take several keys, alone and in the seeded world, also beside the version in production.

use seamfront_core::ranges::RangeSet;
use seamfront_core::record::{
    decode, encode, parse_part_key, part_key, EncodedRecord, Layout, TaskRun, WorkRecord,
};
use seamfront_core::types::*;
use seamfront_testing::simulation::recording::scenario;
use seamfront_testing::simulation::scenarios::{
    add_coverage, count, fault_pairs_of_all_kinds, init_logging_if_selected, Coverage,
};
use seamfront_testing::simulation::{ms, Fault, Scale, Simulation, CONTROLLERS, SMALL};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// The limits that the state service comes to have.
const VALUE: usize = 2_048;
const CHANGES: usize = 16;

fn small_layout() -> Layout {
    Layout::in_parts(VALUE, CHANGES)
}

/// A record of a gang with one member on each machine.
fn record(members: u32) -> WorkRecord {
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

fn parts_of(encoded: &EncodedRecord) -> BTreeMap<u32, Value> {
    encoded
        .parts
        .iter()
        .cloned()
        .enumerate()
        .map(|(number, part)| (number as u32, part))
        .collect()
}

#[test]
fn what_fits_is_written_whole_and_the_rest_in_parts_that_fit() {
    for members in [1, 10, 60, 200, 300] {
        let record = record(members);
        let encoded = encode(&record, &small_layout(), &[]).expect("there is room");
        assert!(encoded
            .parts
            .iter()
            .chain([&encoded.head])
            .all(|v| v.to_string().len() <= VALUE));
        assert_eq!(
            encoded.parts.is_empty(),
            encoded.head == serde_json::to_value(&record).unwrap()
        );
        assert!(
            encoded.parts.len() + 4 <= CHANGES,
            "{members}: {} parts",
            encoded.parts.len()
        );
        assert_eq!(
            decode(encoded.head.clone(), &parts_of(&encoded)).unwrap(),
            record
        );
    }
    assert!(
        encode(&record(200), &Layout::single(VALUE), &[]).is_none(),
        "no parts while an old version may read"
    );
    assert!(encode(&record(5_000), &small_layout(), &[]).is_none());
}

#[test]
fn most_parts_stay_as_they_are_when_a_machine_changes() {
    let mut record = record(200);
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
fn a_set_that_lacks_a_part_is_not_read() {
    let encoded = encode(&record(200), &small_layout(), &[]).unwrap();
    let mut parts = parts_of(&encoded);
    parts.remove(&1);
    assert!(decode(encoded.head.clone(), &parts).is_err());
    // Parts that a smaller record left behind mean nothing.
    let mut parts = parts_of(&encoded);
    parts.insert(99, json!({"p": {"i-9": [[0, 1, 1]]}}));
    assert_eq!(decode(encoded.head, &parts).unwrap(), record(200));
}

/// To the letter, since later versions must read what this one stored.
#[test]
fn the_stored_form_of_a_record_in_parts() {
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
    // The version in production cannot take the head for a whole record.
    assert!(serde_json::from_value::<WorkRecord>(head).is_err());
    assert_eq!(part_key(2, &"j-7".into(), 3), "part/2/j-7/00003");
    assert_eq!(
        parse_part_key(2, "part/2/j-7/00003"),
        Some(("j-7".into(), 3))
    );
}

fn small_values(machines: usize) -> Scale {
    Scale {
        value_bytes: VALUE,
        txn_ops: CHANGES,
        machines,
        max_machines: machines + 12,
        limits: [0; 10],
        page: 40,
        ..SMALL
    }
}

fn large_gang(w: &mut Simulation, n: u32, members: u32) -> JobId {
    let mut spec = w.job(n);
    (spec.kind, spec.class, spec.team, spec.tasks) =
        (JobKind::Gang, "large".into(), "a".into(), members);
    // One member on a machine.
    (spec.task_resources, spec.priority) = (Resources::rounded_up(3.0, 0.0, 1.0), Priority::Urgent);
    (spec.zone, spec.one_zone, spec.spread, spec.spot) = (None, false, false, true);
    spec.image_mb = 100;
    let id = spec.id.clone();
    w.submit(ms(15_000), spec);
    id
}

/// A gang of 200 members is placed, drained when a machine fails, adopted after its holder's end, and done; another is
/// called off while it runs.
#[test]
fn a_gang_of_two_hundred_members_runs_with_small_values() {
    scenario("records.a_gang_of_two_hundred_members_runs_with_small_values");
    let mut coverage = Coverage::new();
    for seed in 3_000..3_003 {
        init_logging_if_selected(seed);
        let mut w = Simulation::sized(seed, small_values(210));
        w.faults_end = ms(90_000);
        let first = large_gang(&mut w, 1, 200);
        let shard = w.shard_claim(&first);
        w.fault(
            ms(24_000),
            Fault::CrashHolder {
                claim: shard,
                back: ms(5_000),
            },
        );
        w.fault(ms(40_000), Fault::KillMachines { count: 1 });
        w.fault(ms(44_000), Fault::DelayWrites { until: ms(60_000) });
        w.fault(
            ms(50_000),
            Fault::CrashHolder {
                claim: shard,
                back: ms(300),
            },
        );
        let second = large_gang(&mut w, 2, 180);
        w.cancel(ms(70_000), second);
        w.run_until(ms(400_000));
        assert_eq!(w.unfinished(), Vec::<String>::new(), "seed {seed}");
        assert_eq!(
            w.count_keys("part/"),
            0,
            "seed {seed}: parts are removed with their record"
        );
        add_coverage(&mut coverage, w.coverage);
    }
    assert!(
        count(&coverage, "a record was written in parts") > 20,
        "{coverage:?}"
    );
    assert!(
        count(&coverage, "a record in parts was read by a new holder") > 4,
        "{coverage:?}"
    );
}

/// The version in production and this one side by side, upgraded one by one among all troubles; then chains and a
/// gang whose record takes parts.
#[test]
fn old_and_new_versions_run_side_by_side() {
    scenario("records.old_and_new_versions_run_side_by_side");
    let mut coverage = Coverage::new();
    for seed in 3_100..3_116 {
        init_logging_if_selected(seed);
        let mut w = Simulation::sized(seed, small_values(110));
        w.faults_end = ms(150_000);
        w.start_with_old_version();
        for n in 0..40 {
            let spec = w.job(n);
            let (at, id, service) = (
                w.draw(500..110_000),
                spec.id.clone(),
                spec.kind == JobKind::Service,
            );
            w.submit(ms(at), spec);
            if service || w.draw(0..4) == 0 {
                let later = w.draw(2_000..30_000);
                w.cancel(ms(at + later), id);
            }
        }
        // More members than one value records, while the old version still reads and after.
        for (n, at) in [(90, 4_000), (91, 110_000)] {
            let mut large = w.job(n);
            (large.kind, large.class, large.team, large.tasks) =
                (JobKind::Array, "large".into(), "a".into(), 300);
            (large.task_resources, large.zone) = (Resources::rounded_up(3.0, 0.0, 1.0), None);
            (large.one_zone, large.spread) = (false, false);
            w.submit(ms(at), large);
        }
        fault_pairs_of_all_kinds(&mut w, 90_000);
        w.fault(ms(5_000), Fault::DelayWrites { until: ms(100_000) });
        for controller in 0..CONTROLLERS {
            let at = 20_000 + 25_000 * controller as i64 + w.draw(0..8_000);
            let back = ms(w.draw(300..5_000));
            // One that dies before its turn comes back old.
            w.fault(
                ms(at - 9_000),
                Fault::Crash {
                    controllers: vec![controller],
                    back: ms(1_000),
                },
            );
            w.fault(ms(at), Fault::Upgrade { controller, back });
        }
        let at = w.draw(95_000..105_000);
        w.pipeline(200, at);
        w.run_until(ms(480_000));
        assert_eq!(w.unfinished(), Vec::<String>::new(), "seed {seed}");
        add_coverage(&mut coverage, w.coverage);
    }
    assert!(
        count(&coverage, "a controller was upgraded while others had been") > 20,
        "{coverage:?}"
    );
    assert!(
        count(&coverage, "an old controller ended beside new ones") > 10,
        "{coverage:?}"
    );
    assert!(
        count(&coverage, "a record was written in parts") > 20,
        "{coverage:?}"
    );
}
