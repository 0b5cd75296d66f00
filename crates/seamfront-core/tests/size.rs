//! Large fleets in the simulation: the load on the store, the sizes of messages and transactions, and the work per
//! step, through a burst of submissions, a restart of all controllers and the loss of a tenth of the machines.
//! Everything is counted and nothing is timed, so the results do not depend on the speed of the computer.

use seamfront_core::types::*;
use seamfront_testing::simulation::recording::scenario;
use seamfront_testing::simulation::{ms, Fault, Scale, Simulation};

fn fleet(controllers: usize, machines: usize, store_rps: i64, write_rps: i64) -> Scale {
    let most = machines + machines / 20;
    Scale {
        controllers,
        teams: 10,
        machines,
        max_machines: most,
        page: 500,
        store_rps,
        write_rps,
        times: (5, 26, 46),
        ..seamfront_testing::simulation::SMALL
    }
}

/// Submits two hundred jobs, a third of them within two seconds.
fn submit_jobs(w: &mut Simulation) {
    for n in 0..200 {
        let mut spec = w.job(n);
        spec.team = ["d", "e", "f", "g", "h", "i", "j"][n as usize % 7].into();
        match spec.kind {
            JobKind::Array => spec.tasks = w.draw(60..350) as u32,
            JobKind::Service => spec.tasks = w.draw(4..17) as u32,
            JobKind::Gang => spec.tasks = w.draw(1..9) as u32,
        }
        let at = if n % 3 == 0 {
            w.draw(20_000..22_000)
        } else {
            w.draw(500..30_000)
        };
        w.submit(ms(at), spec);
    }
}

fn check_load_and_sizes(seed: u64, scale: Scale) {
    let mut w = Simulation::sized(seed, scale);
    w.faults_end = ms(40_000);
    submit_jobs(&mut w);
    w.fault(
        ms(15_000),
        Fault::Crash {
            controllers: (0..scale.controllers).collect(),
            restart_after: ms(3_000),
        },
    );
    w.fault(
        ms(35_000),
        Fault::KillMachines {
            count: scale.machines / 10,
        },
    );
    w.run_until(ms(120_000));
    assert!(
        w.ground_truth.tasks_started > 10_000,
        "too few tasks were started for a meaningful test: {}",
        w.ground_truth.tasks_started
    );
    assert_eq!(w.underserved_groups(), Vec::<String>::new());
    let seconds: Vec<(u32, u32)> = (0..120)
        .map(|s| w.store_load.get(&s).copied().unwrap_or_default())
        .collect();
    for five_seconds in seconds.windows(5) {
        let (requests, writes) = five_seconds
            .iter()
            .fold((0, 0), |sum, s| (sum.0 + s.0, sum.1 + s.1));
        // The store's rate limits allow a burst of one second's worth on top.
        assert!(
            i64::from(requests) <= 6 * scale.store_rps,
            "{requests} requests in five seconds: {seconds:?}"
        );
        assert!(
            i64::from(writes) <= 6 * scale.write_rps,
            "{writes} writes in five seconds: {seconds:?}"
        );
    }
    let (message, commit) = w.largest_bytes;
    assert!(commit <= 60 * 1024, "a transaction of {commit} bytes");
    assert!(
        message <= 256 * 1024,
        "a message of {message} bytes between controllers"
    );
}

#[test]
fn two_thousand_machines_and_seven_controllers() {
    scenario("size.two_thousand_machines_and_seven_controllers");
    check_load_and_sizes(900, fleet(7, 2_000, 350, 100));
}

#[test]
fn two_thousand_machines_and_three_controllers() {
    scenario("size.two_thousand_machines_and_three_controllers");
    check_load_and_sizes(901, fleet(3, 2_000, 1_000, 400));
}

/// A quarter more machines than the largest fleet in production, here with seven controllers and below with three.
#[test]
fn five_thousand_machines_and_seven_controllers() {
    scenario("size.five_thousand_machines_and_seven_controllers");
    check_load_and_sizes(903, fleet(7, 5_000, 875, 250));
}

#[test]
fn five_thousand_machines_and_three_controllers() {
    scenario("size.five_thousand_machines_and_three_controllers");
    check_load_and_sizes(904, fleet(3, 5_000, 2_500, 1_000));
}

/// The work of a step depends on what has changed, not on the number of machines: with twice as many machines and the
/// same jobs, the items examined per step hardly increase. (There are more steps, since each heartbeat causes one.) A
/// step that iterates over all machines of a shard fails this test.
#[test]
fn work_per_step_does_not_grow_with_the_number_of_machines() {
    scenario("size.a_step_looks_at_no_more_in_a_fleet_twice_as_large");
    let items_per_step = |machines: usize| {
        let mut w = Simulation::sized(902, fleet(3, machines, 1_000, 400));
        w.faults_end = ms(1_000);
        submit_jobs(&mut w);
        w.run_until(ms(60_000));
        assert!(
            w.ground_truth.tasks_started > 5_000,
            "too few tasks were started for a meaningful test: {}",
            w.ground_truth.tasks_started
        );
        let (steps, items) = w.steps;
        items as f64 / steps as f64
    };
    let (small, large) = (items_per_step(1_000), items_per_step(2_000));
    assert!(
        large < 1.3 * small,
        "{small:.0} items per step, and {large:.0} with twice as many machines"
    );
}
