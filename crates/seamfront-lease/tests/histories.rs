//! Seeded simulated runs of several members under fault injection, upgrades and shrinking store limits. The invariants
//! are checked after each event, and the final state at the end of each run.

use seamfront_lease::port::Command;
use seamfront_lease::settings::{LeaseSettings, StoreLimits};
use seamfront_lease::time::Micros;
use seamfront_testing::member_simulation::{ms, Coverage, Faults, Simulation};

/// Number of seeds, unless the environment sets another.
const DEFAULT_SEEDS: u64 = 40;
/// Length of the phase with faults.
const FAULT_SECONDS: i64 = 240;
/// Length of the phase without faults that follows, in which the members recover.
const RECOVERY_SECONDS: i64 = 180;

/// Injects one random fault, or transfers a duty.
fn inject_fault(simulation: &mut Simulation) {
    let member = simulation.draw(0, simulation.members.len() as i64 - 1) as usize;
    let short = ms(simulation.draw(50, 3_000));
    let long = ms(simulation.draw(1_000, 60_000));
    let until = simulation.now + long;
    match simulation.draw(0, 17) {
        17 => simulation.faults.freeze_at_effects = (until, 8),
        0 | 1 => simulation.freeze(member, long),
        2 => simulation.freeze(member, short),
        3 => {
            // Freezes the holder of the termination duty, above all in the middle of a termination.
            if let Some(holder) =
                simulation.holder(seamfront_testing::fleet_reconciler::TERMINATION_DUTY)
            {
                simulation.freeze(holder, ms(60_000));
            }
        }
        4 => simulation.crash(member, ms(200)),
        5 => simulation.crash(member, long),
        6 => simulation.faults.store_unavailable_until = simulation.now + Micros(long.0 / 3),
        7 => simulation.members[member].store_refused_until = until,
        8 => simulation.faults.store_slow_until = until,
        9 => simulation.faults.lose_replies = (until, 6),
        10 | 11 => simulation.faults.delay_requests = (until, 6),
        12 => simulation.faults.cloud_unavailable_until = until,
        13 => simulation.faults.no_capacity_until = until,
        14 => {
            let by = [ms(-5_000), ms(30_000), ms(-300), ms(3_000)][simulation.draw(0, 3) as usize];
            simulation.jump_clock(member, by);
        }
        15 => simulation.command(
            member,
            Command::Transfer {
                duty: seamfront_testing::fleet_reconciler::TERMINATION_DUTY.to_owned(),
                to: None,
            },
        ),
        _ => {
            let to = format!("n{}", simulation.draw(0, 2));
            simulation.command(
                member,
                Command::Transfer {
                    duty: seamfront_testing::fleet_reconciler::PROVISIONING_DUTY.to_owned(),
                    to: Some(to),
                },
            );
        }
    }
}

/// Number of seeds: `HISTORIES=1000` simulates that many, for a long run.
fn seed_count() -> u64 {
    std::env::var("HISTORIES")
        .ok()
        .and_then(|count| count.parse().ok())
        .unwrap_or(DEFAULT_SEEDS)
}

/// `HISTORY=2` simulates only that seed, and prints the log lines of the members.
fn selected_seed() -> Option<u64> {
    std::env::var("HISTORY").ok()?.parse().ok()
}

fn simulate(seed: u64) -> Coverage {
    let mut simulation = Simulation::new(seed, 3 + (seed % 3) as usize);
    let end = ms(FAULT_SECONDS * 1_000);
    while simulation.now < end {
        let pause = ms(simulation.draw(500, 8_000));
        simulation.run_for(pause);
        inject_fault(&mut simulation);
    }
    simulation.faults = Faults::default();
    for member in &mut simulation.members {
        member.store_refused_until = Micros::ZERO;
    }
    simulation.run_for(ms(RECOVERY_SECONDS * 1_000));
    simulation.churn = false;
    simulation.run_for(ms(60_000));
    simulation.check_final_state();
    simulation.coverage
}

#[test]
fn random_faults_never_allow_two_holders_or_duplicate_machine_operations() {
    let mut coverage = Coverage::default();
    if let Some(seed) = selected_seed() {
        let _ = tracing_subscriber::fmt()
            .without_time()
            .with_ansi(false)
            .try_init();
        simulate(seed);
        return;
    }
    for seed in 0..seed_count() {
        println!("seed {seed}");
        coverage.add(&simulate(seed));
    }
    println!("{coverage:?}");
    let minimum_counts = [
        ("claims acquired", coverage.claims_acquired, 1_000),
        (
            "attempts to settle a predecessor's operation",
            coverage.settled_for_predecessor,
            1_000,
        ),
        (
            "effects not begun since their permit had expired",
            coverage.not_permitted,
            20,
        ),
        ("transactions executed late", coverage.late_requests, 500),
        (
            "provisioning requests executed late",
            coverage.late_provisionings,
            100,
        ),
        (
            "fencing tokens refused by the store",
            coverage.refused_tokens,
            10,
        ),
        (
            "successors reported to a former holder",
            coverage.replaced,
            500,
        ),
        ("duties lost by a transfer", coverage.transferred, 200),
        (
            "outcomes that arrived after the claim was lost",
            coverage.outcomes_after_loss,
            50,
        ),
        (
            "duties lost while settling",
            coverage.settling_interrupted,
            20,
        ),
        ("freezes", coverage.freezes, 300),
        ("clock jumps", coverage.clock_jumps, 80),
    ];
    for (situation, count, minimum) in minimum_counts {
        assert!(
            count >= minimum,
            "{situation}: {count}, expected at least {minimum}"
        );
    }
}

/// Members are upgraded one by one, under faults, while processes of the old version are restarted.
#[test]
fn old_and_new_versions_never_act_side_by_side_during_an_upgrade() {
    for seed in 0..20 {
        let set_former_claim = |settings: &mut LeaseSettings| {
            settings.former_claim =
                Some(seamfront_testing::member_simulation::FORMER_CLAIM.to_owned());
        };
        let mut simulation = Simulation::with_settings(2_000 + seed, 3, set_former_claim);
        for member in 0..3 {
            simulation.start_old_version(member);
        }
        simulation.run_for(ms(10_000));
        let mut upgraded = [false; 3];
        while upgraded != [true; 3] {
            let member = simulation.draw(0, 2) as usize;
            let duration = ms(simulation.draw(100, 30_000));
            match simulation.draw(0, 5) {
                0 => simulation.freeze(member, duration),
                1 if !upgraded[member] => simulation.start_old_version(member),
                2 => simulation.crash(member, ms(200)),
                3 => simulation.faults.lose_replies = (simulation.now + duration, 4),
                _ => {
                    simulation.start(member);
                    upgraded[member] = true;
                }
            }
            let pause = ms(simulation.draw(100, 10_000));
            simulation.run_for(pause);
        }
        // A process of the old version comes back long after the switch to duties.
        simulation.run_for(ms(20_000));
        simulation.start_old_version(0);
        simulation.run_for(ms(20_000));
        assert!(
            simulation.members[0]
                .old_version
                .as_ref()
                .is_none_or(|old| old.fencing_token.is_none()),
            "a process of the old version acquired the former claim after the switch"
        );
        simulation.start(0);
        simulation.run_for(ms(90_000));
        simulation.churn = false;
        simulation.run_for(ms(60_000));
        simulation.check_final_state();
    }
}

/// The simulated store panics at a value or transaction that exceeds its limits.
#[test]
fn shrinking_store_limits_and_crashes_never_make_a_value_too_large() {
    for seed in 0..8 {
        let mut simulation = Simulation::new(1_000 + seed, 3);
        simulation.run_for(ms(20_000));
        let small = StoreLimits {
            value_bytes: 1_024,
            transaction_changes: 3,
            changes_per_second: 5,
        };
        simulation.shrink_limits(small);
        for _ in 0..20 {
            let pause = ms(simulation.draw(500, 4_000));
            simulation.run_for(pause);
            let member = simulation.draw(0, 2) as usize;
            simulation.crash(member, ms(300));
        }
        simulation.run_for(ms(60_000));
        simulation.churn = false;
        simulation.run_for(ms(60_000));
        simulation.check_final_state();
    }
}
