//! Submissions that can never run are refused with the reason, and hold up no others.

use seamfront_core::port::{Answer, StoreRequest, SubmissionError, Write};
use seamfront_core::types::*;
use seamfront_testing::engine_harness::EngineHarness;
use seamfront_testing::shard_harness::{job, settings};
use seamfront_testing::store::Store;

/// The lowest limits that the pages name for values and changes of a transaction.
const VALUE_BYTES: usize = 2_048;
const TRANSACTION_CHANGES: usize = 16;
/// Cores of the only machine type.
const CORES: f64 = 16.0;

/// A controller that has loaded its views, with one machine type in these zones.
fn controller(zones: &[&str]) -> EngineHarness {
    let machine_type = MachineType {
        name: "m".into(),
        size: Resources::rounded_down(CORES, 0.0, 64.0),
        cache_mb: 1_000,
        fetch_mb_s: 100,
        price: 1_000,
        spot_price: 300,
        boot: Micros::from_secs(20),
        zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
    };
    let mut store = Store::with_limits(100, VALUE_BYTES, TRANSACTION_CHANGES);
    let types = Write::Put {
        key: "types".into(),
        value: serde_json::to_value(vec![machine_type]).expect("it can be encoded"),
        lease: None,
    };
    let request = StoreRequest::CompareAndSwap {
        conditions: vec![],
        writes: vec![types],
    };
    store.execute(Micros::ZERO, &request);
    let settings = Settings {
        value_bytes: VALUE_BYTES,
        max_txn_changes: TRANSACTION_CHANGES,
        ..settings()
    };
    let mut harness = EngineHarness::new(settings, store);
    harness.run(Micros::from_secs(2));
    harness
}

fn gang(id: &str, tasks: u32, cores: f64) -> JobSpec {
    JobSpec {
        kind: JobKind::Gang,
        task_resources: Resources::rounded_up(cores, 0.0, 0.01),
        ..(*job(id, tasks)).clone()
    }
}

/// The answer to a submission of this job alone.
fn answer_to(zones: &[&str], spec: JobSpec) -> Answer {
    let mut harness = controller(zones);
    harness.submit(1, spec);
    harness.run(Micros::from_secs(1));
    harness.answers.remove(&1).expect("it is answered")
}

fn accepted(answer: &Answer) -> bool {
    matches!(answer, Answer::Status { created: true, .. })
}

/// Guards against gangs that are accepted and can never be recorded. Whole machines are needed by each task, by some
/// tasks together, or by many.
#[test]
fn a_gang_that_needs_more_machines_than_its_record_can_name_is_refused() {
    for (tasks, cores, expected) in [
        (400, 16.0, true),
        (600, 16.0, true),
        (1_000, 16.0, false),
        (4_000, 16.0, false),
        (4_000, 1.0, true),
        (9_000, 1.0, true),
        (12_000, 1.0, false),
        (100_000, 0.01, true),
        (100_000, 16.0, false),
    ] {
        let answer = answer_to(&["z"], gang("j-000001", tasks, cores));
        assert_eq!(
            accepted(&answer),
            expected,
            "{tasks} of {cores}: {answer:?}"
        );
        if !expected {
            assert!(matches!(
                answer,
                Answer::Rejected(SubmissionError::TooManyMachines { needed, most }) if needed > most
            ));
        }
    }
}

/// Guards against gangs that are accepted and can never be placed: half of a spread gang may be in one zone.
#[test]
fn a_spread_gang_that_may_use_one_zone_only_is_refused() {
    let spread = |tasks: u32| JobSpec {
        spread: true,
        ..gang("j-000001", tasks, 1.0)
    };
    assert!(accepted(&answer_to(&["x", "y"], spread(4))));
    assert!(accepted(&answer_to(&["x"], spread(1))));
    let refused = Answer::Rejected(SubmissionError::OneZoneOnly);
    assert_eq!(answer_to(&["x"], spread(4)), refused);
    let bound = JobSpec {
        zone: Some("x".into()),
        ..spread(4)
    };
    assert_eq!(answer_to(&["x", "y"], bound), refused);
    let together = JobSpec {
        one_zone: true,
        ..spread(2)
    };
    assert_eq!(answer_to(&["x", "y"], together), refused);
}

/// Guards against a submission that the store can't take and that makes all others of its batch fail with it, again
/// with each retry: the store answers the whole transaction with 400.
#[test]
fn a_job_with_texts_that_the_store_does_not_take_is_refused_and_others_are_accepted() {
    let mut harness = controller(&["z"]);
    harness.submit(1, (*job("j-000001", 1)).clone());
    let long = JobSpec {
        class: "c".repeat(VALUE_BYTES),
        ..(*job("j-000002", 1)).clone()
    };
    harness.submit(2, long);
    harness.submit(3, (*job("j-000003", 1)).clone());
    harness.run(Micros::from_secs(1));
    assert!(accepted(&harness.answers[&1]));
    assert!(accepted(&harness.answers[&3]));
    assert!(matches!(
        harness.answers[&2],
        Answer::Rejected(SubmissionError::TextsTooLong { bytes, most }) if bytes > most
    ));
}
