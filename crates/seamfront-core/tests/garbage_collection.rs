//! The duty of cleaning in the seeded world: records that belong to nothing go once their jobs have ended, nothing else
//! goes, and no rule is broken meanwhile.

use seamfront_testing::simulation::recording::scenario;
use seamfront_testing::simulation::scenarios::{fault_pairs_of_all_kinds, simulate_at_scale};
use seamfront_testing::simulation::{ms, Scale, Simulation, SMALL};

const DUTIES: Scale = Scale {
    duties: true,
    ..SMALL
};

fn leftovers(n: u32) -> [String; 2] {
    [
        format!("needs/j-{n:06}/00001"),
        format!("part/1/j-{n:06}/00000"),
    ]
}

/// One and a half times the time between two sweeps.
fn sweep(w: &mut Simulation) {
    let end = w.now + ms(180_000);
    w.run_until(end);
}

#[test]
fn only_records_of_ended_jobs_are_removed_under_troubles() {
    scenario("cleaning.only_records_of_ended_jobs_are_removed_under_troubles");
    for seed in 4_000..4_012 {
        let mut w = simulate_at_scale(seed, DUTIES, |w, troubles| {
            for n in 0..45 {
                w.put_key(&leftovers(n)[0]);
            }
            fault_pairs_of_all_kinds(w, troubles);
        });
        let ended = |w: &Simulation, n: u32| !w.stored_keys(&format!("end/j-{n:06}")).is_empty();
        // Nobody has submitted these; that may yet come, and what they need with it.
        for n in 900..920 {
            for key in leftovers(n) {
                w.put_key(&key);
            }
        }
        for n in (0..45).filter(|n| ended(&w, *n)).collect::<Vec<_>>() {
            w.put_key(&leftovers(n)[1]);
        }
        // A part with its head, though its job has ended: it belongs to that.
        w.put_key("work/1/j-000001");
        sweep(&mut w);
        for n in 0..45 {
            let [dependencies, part] = leftovers(n);
            assert_eq!(
                w.stored_keys(&dependencies).is_empty(),
                ended(&w, n),
                "seed {seed}: {dependencies}"
            );
            assert!(
                n == 1 || w.stored_keys(&part).is_empty(),
                "seed {seed}: {part}"
            );
        }
        assert!(
            !w.stored_keys("part/1/j-000001/").is_empty() || !ended(&w, 1),
            "a part whose head is there"
        );
        assert_eq!(w.stored_keys("needs/j-0009").len(), 20, "seed {seed}");
        assert_eq!(w.stored_keys("part/1/j-0009").len(), 20, "seed {seed}");
    }
}

/// Also with values and transactions that are far smaller, and more leftovers of one job than a transaction takes.
#[test]
fn many_leftovers_of_one_job_are_removed_in_several_transactions() {
    scenario("cleaning.many_leftovers_of_one_job_are_removed_in_several_transactions");
    let mut w = simulate_at_scale(
        4_100,
        Scale {
            value_bytes: 4_096,
            txn_ops: 16,
            ..DUTIES
        },
        |_, _| {},
    );
    let job = (0..45)
        .find(|n| !w.stored_keys(&format!("end/j-{n:06}")).is_empty())
        .expect("a job that has ended");
    for part in 0..100 {
        w.put_key(&format!("needs/j-{job:06}/{part:05}"));
    }
    sweep(&mut w);
    assert!(w.stored_keys("needs/").is_empty());
}

#[test]
fn without_duties_nothing_is_written_nor_removed() {
    scenario("cleaning.without_duties_nothing_is_written_nor_removed");
    let mut w = simulate_at_scale(4_200, SMALL, |_, _| {});
    w.put_key("needs/j-000001/00001");
    sweep(&mut w);
    assert_eq!(w.stored_keys("needs/").len(), 1);
    assert!(w.stored_keys("duty").is_empty());
}
