//! A large fleet without the bench: what is asked of the store, how large messages get and how much is
//! looked at, through a burst, a restart of all controllers and the loss of a tenth of the machines.
//! Counted, never timed.

use seamfront_core::types::*;
use seamfront_testing::simulation::recording::scenario;
use seamfront_testing::simulation::{ms, Fault, Scale, Simulation};

fn fleet(nodes: usize, machines: usize, state_rps: i64, write_rps: i64) -> Scale {
    let most = machines + machines / 20;
    Scale {
        nodes,
        teams: 10,
        machines,
        most,
        page: 500,
        state_rps,
        write_rps,
        times: (5, 26, 46),
        ..seamfront_testing::simulation::SMALL
    }
}

/// Two hundred jobs, a third of them at once.
fn jobs(w: &mut Simulation) {
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

fn day(seed: u64, scale: Scale) {
    let mut w = Simulation::sized(seed, scale);
    w.quiet_from = ms(40_000);
    jobs(&mut w);
    w.fault(
        ms(15_000),
        Fault::Crash {
            nodes: (0..scale.nodes).collect(),
            back: ms(3_000),
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
        w.truth.started > 10_000,
        "the run proves nothing: {} tasks started",
        w.truth.started
    );
    assert_eq!(w.not_served(), Vec::<String>::new());
    let seconds: Vec<(u32, u32)> = (0..120)
        .map(|s| w.asked_of_store.get(&s).copied().unwrap_or_default())
        .collect();
    for five in seconds.windows(5) {
        let (requests, writes) = five
            .iter()
            .fold((0, 0), |sum, s| (sum.0 + s.0, sum.1 + s.1));
        // One second's worth may come as a burst on top.
        assert!(
            i64::from(requests) <= 6 * scale.state_rps,
            "{requests} requests in five seconds: {seconds:?}"
        );
        assert!(
            i64::from(writes) <= 6 * scale.write_rps,
            "{writes} writes in five seconds: {seconds:?}"
        );
    }
    let (message, commit) = w.largest;
    assert!(commit <= 60 * 1024, "a transaction of {commit} bytes");
    assert!(
        message <= 256 * 1024,
        "a message of {message} bytes between controllers"
    );
}

#[test]
fn two_thousand_machines_and_seven_controllers() {
    scenario("size.two_thousand_machines_and_seven_controllers");
    day(900, fleet(7, 2_000, 350, 100));
}

#[test]
fn two_thousand_machines_and_three_controllers() {
    scenario("size.two_thousand_machines_and_three_controllers");
    day(901, fleet(3, 2_000, 1_000, 400));
}

/// As large as the operators' fleets and a quarter more, also as three controllers hold it.
#[test]
fn five_thousand_machines_and_seven_controllers() {
    scenario("size.five_thousand_machines_and_seven_controllers");
    day(903, fleet(7, 5_000, 875, 250));
}

#[test]
fn five_thousand_machines_and_three_controllers() {
    scenario("size.five_thousand_machines_and_three_controllers");
    day(904, fleet(3, 5_000, 2_500, 1_000));
}

/// Work follows what changes, not how many machines there are: with twice as many and the same jobs, a
/// step looks at hardly more. (There are more steps, since each report is one.) A walk over a shard's machines
/// in each step fails this.
#[test]
fn a_step_looks_at_no_more_in_a_fleet_twice_as_large() {
    scenario("size.a_step_looks_at_no_more_in_a_fleet_twice_as_large");
    let items_examined = |machines: usize| {
        let mut w = Simulation::sized(902, fleet(3, machines, 1_000, 400));
        w.quiet_from = ms(1_000);
        jobs(&mut w);
        w.run_until(ms(60_000));
        assert!(
            w.truth.started > 5_000,
            "the run proves nothing: {} tasks started",
            w.truth.started
        );
        let (steps, items_examined) = w.steps;
        items_examined as f64 / steps as f64
    };
    let (small, large) = (items_examined(1_000), items_examined(2_000));
    assert!(
        large < 1.3 * small,
        "{small:.0} items in a step, and {large:.0} with twice as many machines"
    );
}
