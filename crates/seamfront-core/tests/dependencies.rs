//! Jobs that wait for others, in the seeded world: none starts before all that it needs is done, and none outlives
//! the cancellation of one that it needs (`too_early` and `orphaned` are checked after each step).

use seamfront_core::types::*;
use seamfront_testing::simulation::recording::scenario;
use seamfront_testing::simulation::scenarios::{
    count, fault_pairs, fault_pairs_of_all_kinds, simulate_seeds as play_histories, Coverage,
};
use seamfront_testing::simulation::{ms, Fault, Scale, Simulation, SMALL};
use std::ops::Range;

/// Pipelines among the usual jobs, some of whose jobs are called off, with troubles.
fn play(seeds: Range<u64>, faults: impl Fn(&mut Simulation, i64)) -> Coverage {
    play_histories(seeds, |w, troubles| {
        for k in 0..6 {
            let at = w.draw(1_000..60_000);
            let ids = w.pipeline(200 + 10 * k, at);
            if w.draw(0..3) == 0 {
                let which = w.draw(0..ids.len() as i64) as usize;
                let later = w.draw(1_000..30_000);
                w.cancel(ms(at + later), ids[which].clone());
            }
        }
        faults(w, troubles);
    })
}

const CALLED_OFF: &str = "a job was cancelled with one that it needs";

/// Seen to fail when a job was released without the store's word on those that it needs (`too_early`), and when
/// nobody cancelled what needs a cancelled job (orphaned).
#[test]
fn chains_on_quiet_days() {
    scenario("chains.chains_on_quiet_days");
    let coverage = play(2_000..2_006, |_, _| {});
    assert!(count(&coverage, CALLED_OFF) > 3, "{coverage:?}");
}

#[test]
fn chains_under_troubles_in_pairs() {
    scenario("chains.chains_under_troubles_in_pairs");
    let coverage = play(2_100..2_130, fault_pairs);
    assert!(count(&coverage, CALLED_OFF) > 20, "{coverage:?}");
}

#[test]
fn chains_under_all_kinds_of_troubles_in_pairs() {
    scenario("chains.chains_under_all_kinds_of_troubles_in_pairs");
    let coverage = play(2_700..2_730, fault_pairs_of_all_kinds);
    assert!(count(&coverage, CALLED_OFF) > 20, "{coverage:?}");
}

/// What the scheduler adds between two steps of a chain, across shards and with room at hand: from the durable end of
/// the last needed job to the order that starts the next.
#[test]
fn the_next_step_is_ordered_soon_after_the_last_needed_job_has_ended() {
    scenario("chains.the_next_step_is_ordered_soon_after_the_last_needed_job_has_ended");
    let mut waits = Vec::new();
    for seed in 2_800..2_808 {
        let mut w = Simulation::sized(
            seed,
            Scale {
                machines: 24,
                max_machines: 40,
                limits: [0; 10],
                ..SMALL
            },
        );
        w.faults_end = ms(1_000);
        for k in 0..8 {
            w.pipeline(200 + 10 * k, 5_000 + 6_000 * i64::from(k));
        }
        w.run_until(ms(200_000));
        assert_eq!(w.unfinished(), Vec::<String>::new(), "seed {seed}");
        waits.extend(w.dependency_waits());
    }
    waits.sort();
    let at = |percent: usize| waits[(waits.len() - 1) * percent / 100];
    println!(
        "{} steps: median {:?}, 90% {:?}, most {:?}",
        waits.len(),
        at(50),
        at(90),
        at(100)
    );
    assert!(waits.len() > 100, "{} steps", waits.len());
    // Those that take longer wait for a machine of another shard or for one that boots.
    assert!(
        at(50) <= ms(250) && at(90) <= ms(5_000),
        "median {:?}, 90% {:?}",
        at(50),
        at(90)
    );
}

/// The first jobs are called off as they end: `done` lets the rest go on, a cancellation ends it.
#[test]
fn a_cancellation_meets_the_end_of_what_others_need() {
    scenario("chains.a_cancellation_meets_the_end_of_what_others_need");
    let coverage = play(2_200..2_210, |w, troubles| {
        w.fault(
            ms(1_000),
            Fault::CancelAtCompletion {
                until: ms(troubles),
            },
        );
        w.fault(ms(1_000), Fault::DelayWrites { until: ms(40_000) });
    });
    assert!(
        count(
            &coverage,
            "a cancellation, a question and a submission met a job's end"
        ) > 50,
        "{coverage:?}"
    );
    assert!(count(&coverage, CALLED_OFF) > 5, "{coverage:?}");
}

fn gap(w: &mut Simulation, _troubles: i64) {
    for (k, claim) in [(0, "share/0"), (1, "share/1")] {
        let at = 14_000 + 38_000 * k;
        w.fault(
            ms(at),
            Fault::RefuseHolder {
                claim,
                until: ms(at + 14_000),
            },
        );
        let spell = w.draw(700..3_000);
        w.fault(
            ms(at + 100),
            Fault::CancelRunning {
                count: 9,
                hang: Micros::ZERO,
            },
        );
        w.fault(
            ms(at + spell),
            Fault::StoreOutage {
                until: ms(at + spell + 34_000),
            },
        );
        if w.draw(0..2) == 0 {
            let back = ms(w.draw(50..3_000));
            w.fault(
                ms(at + spell + 500),
                Fault::CrashHolder {
                    claim: "share/2",
                    back,
                },
            );
        }
    }
}

/// The gap: what is cancelled as one is refused, and then all, is cancelled with everything that needs it; nobody is
/// told anything else once the store is back.
#[test]
fn chains_are_called_off_in_the_gap() {
    scenario("chains.chains_are_called_off_in_the_gap");
    let coverage = play(2_300..2_312, gap);
    // A submission that named a cancelled job in a view that was behind was called queued (orphaned).
    play(22_302..22_303, gap);
    assert!(count(&coverage, CALLED_OFF) > 10, "{coverage:?}");
}

#[test]
fn holders_end_while_chains_go_on() {
    scenario("chains.holders_end_while_chains_go_on");
    let coverage = play(2_400..2_412, |w, _| {
        for k in 0..8 {
            let back = ms(w.draw(50..6_000));
            let claim = ["share/0", "share/1", "share/2"][k as usize % 3];
            w.fault(ms(6_000 + 9_000 * k), Fault::CrashHolder { claim, back });
        }
    });
    assert!(count(&coverage, CALLED_OFF) > 5, "{coverage:?}");
}

/// The store takes little in a value and a transaction: records, long lists of needed jobs and what many chains ask
/// for at once stay within it (the stand-in asserts that), and large arrays run all the same.
#[test]
fn small_values_and_transactions_are_enough() {
    scenario("chains.small_values_and_transactions_are_enough");
    for seed in 2_500..2_504 {
        let scale = Scale {
            value_bytes: 2_048,
            txn_ops: 16,
            machines: 10,
            max_machines: 30,
            ..SMALL
        };
        let mut w = Simulation::sized(seed, scale);
        w.faults_end = ms(120_000);
        let mut small = Vec::new();
        for n in 0..400 {
            let mut spec = w.job(1_000 + n);
            (spec.kind, spec.class, spec.team, spec.tasks) =
                (JobKind::Array, "small".into(), "d".into(), 1);
            (spec.task_resources, spec.zone, spec.spot) =
                (Resources::rounded_up(1.0, 0.0, 1.0), None, true);
            small.push(spec.id.clone());
            w.submit(ms(500 + 100 * i64::from(n)), spec);
        }
        let mut last = w.job(1);
        (last.kind, last.class, last.team, last.tasks) =
            (JobKind::Array, "last".into(), "d".into(), 2);
        (last.zone, last.spread, last.one_zone, last.dependencies) = (None, false, false, small);
        w.submit(ms(45_000), last);
        let mut large = w.job(2);
        (large.kind, large.class, large.team, large.tasks) =
            (JobKind::Array, "large".into(), "d".into(), 400);
        (large.task_resources, large.zone) = (Resources::rounded_up(1.0, 0.0, 1.0), None);
        w.submit(ms(2_000), large);
        for k in 0..4 {
            w.fault(
                ms(20_000 + 20_000 * k),
                Fault::CrashHolder {
                    claim: "share/0",
                    back: ms(4_500),
                },
            );
            w.fault(ms(24_000 + 20_000 * k), Fault::KillMachines { count: 1 });
        }
        w.run_until(ms(420_000));
        assert_eq!(w.unfinished(), Vec::<String>::new(), "seed {seed}");
    }
}
