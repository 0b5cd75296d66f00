//! The garbage collection duty in simulated runs: leftover records are removed once their jobs have ended, nothing else
//! is removed, and all invariants hold.

use seamfront_testing::simulation::recording::scenario;
use seamfront_testing::simulation::scenarios::{fault_pairs_of_all_kinds, simulate_at_scale};
use seamfront_testing::simulation::{ms, Scale, Simulation, SMALL};

const DUTIES_ENABLED: Scale = Scale {
    duties: true,
    ..SMALL
};

/// Keys of leftover records of job `n`: a part of its dependency list and a part of its work record.
fn leftover_keys(n: u32) -> [String; 2] {
    [
        format!("needs/j-{n:06}/00001"),
        format!("part/1/j-{n:06}/00000"),
    ]
}

/// Runs for one and a half times the interval between two passes of the garbage collection.
fn run_past_next_pass(simulation: &mut Simulation) {
    let end = simulation.now + ms(180_000);
    simulation.run_until(end);
}

#[test]
fn only_records_of_ended_jobs_are_removed_under_faults_of_all_kinds() {
    scenario("cleaning.only_records_of_ended_jobs_are_removed_under_troubles");
    for seed in 4_000..4_012 {
        let mut simulation =
            simulate_at_scale(seed, DUTIES_ENABLED, |simulation, faults_end_ms| {
                for n in 0..45 {
                    simulation.put_key(&leftover_keys(n)[0]);
                }
                fault_pairs_of_all_kinds(simulation, faults_end_ms);
            });
        let ended = |simulation: &Simulation, n: u32| {
            !simulation.stored_keys(&format!("end/j-{n:06}")).is_empty()
        };
        // No job with these ids has been submitted. One still may be, and its dependency list with it.
        for n in 900..920 {
            for key in leftover_keys(n) {
                simulation.put_key(&key);
            }
        }
        for n in (0..45)
            .filter(|n| ended(&simulation, *n))
            .collect::<Vec<_>>()
        {
            simulation.put_key(&leftover_keys(n)[1]);
        }
        // A part belongs to its head as long as the head is stored, even if the job has ended.
        simulation.put_key("work/1/j-000001");
        run_past_next_pass(&mut simulation);
        for n in 0..45 {
            let [dependencies, part] = leftover_keys(n);
            assert_eq!(
                simulation.stored_keys(&dependencies).is_empty(),
                ended(&simulation, n),
                "seed {seed}: {dependencies}"
            );
            assert!(
                n == 1 || simulation.stored_keys(&part).is_empty(),
                "seed {seed}: {part}"
            );
        }
        assert!(
            !simulation.stored_keys("part/1/j-000001/").is_empty() || !ended(&simulation, 1),
            "a part was removed although its head is stored"
        );
        assert_eq!(
            simulation.stored_keys("needs/j-0009").len(),
            20,
            "seed {seed}"
        );
        assert_eq!(
            simulation.stored_keys("part/1/j-0009").len(),
            20,
            "seed {seed}"
        );
    }
}

/// The limits on values and transactions are far smaller here, and one job has more leftover records than a transaction
/// may change.
#[test]
fn many_leftover_records_of_one_job_are_removed_in_several_transactions() {
    scenario("cleaning.many_leftovers_of_one_job_are_removed_in_several_transactions");
    let mut simulation = simulate_at_scale(
        4_100,
        Scale {
            value_bytes: 4_096,
            max_txn_changes: 16,
            ..DUTIES_ENABLED
        },
        |_, _| {},
    );
    let job = (0..45)
        .find(|n| !simulation.stored_keys(&format!("end/j-{n:06}")).is_empty())
        .expect("a job that has ended");
    for part in 0..100 {
        simulation.put_key(&format!("needs/j-{job:06}/{part:05}"));
    }
    run_past_next_pass(&mut simulation);
    assert!(simulation.stored_keys("needs/").is_empty());
}

#[test]
fn nothing_is_written_or_removed_while_duties_are_disabled() {
    scenario("cleaning.without_duties_nothing_is_written_nor_removed");
    let mut simulation = simulate_at_scale(4_200, SMALL, |_, _| {});
    simulation.put_key("needs/j-000001/00001");
    run_past_next_pass(&mut simulation);
    assert_eq!(simulation.stored_keys("needs/").len(), 1);
    assert!(simulation.stored_keys("duty").is_empty());
}
