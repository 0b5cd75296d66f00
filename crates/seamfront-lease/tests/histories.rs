//! Seeded histories of several members in which everything goes wrong that can; all rules are checked after each event.

use seamfront_lease::port::Command;
use seamfront_lease::settings::{LeaseSettings, StoreLimits};
use seamfront_lease::time::Micros;
use seamfront_testing::member_simulation::{ms, Coverage, Faults, Simulation};

const HISTORIES: u64 = 40;
const TROUBLED: i64 = 240;
const QUIET: i64 = 180;

/// One thing goes wrong.
fn trouble(world: &mut Simulation) {
    let node = world.draw(0, world.members.len() as i64 - 1) as usize;
    let short = ms(world.draw(50, 3_000));
    let long = ms(world.draw(1_000, 60_000));
    let until = world.now + long;
    match world.draw(0, 17) {
        17 => world.faults.freeze_at_effects = (until, 8),
        0 | 1 => world.freeze(node, long),
        2 => world.freeze(node, short),
        3 => {
            // Most of all in the midst of a return.
            if let Some(holder) =
                world.holder(seamfront_testing::fleet_reconciler::TERMINATION_DUTY)
            {
                world.freeze(holder, ms(60_000));
            }
        }
        4 => world.crash(node, ms(200)),
        5 => world.crash(node, long),
        6 => world.faults.store_unavailable_until = world.now + Micros(long.0 / 3),
        7 => world.members[node].store_refused_until = until,
        8 => world.faults.store_slow_until = until,
        9 => world.faults.lose_replies = (until, 6),
        10 | 11 => world.faults.delay_requests = (until, 6),
        12 => world.faults.cloud_unavailable_until = until,
        13 => world.faults.no_capacity_until = until,
        14 => {
            let by = [ms(-5_000), ms(30_000), ms(-300), ms(3_000)][world.draw(0, 3) as usize];
            world.jump_clock(node, by);
        }
        15 => world.command(
            node,
            Command::Transfer {
                duty: seamfront_testing::fleet_reconciler::TERMINATION_DUTY.to_owned(),
                to: None,
            },
        ),
        _ => {
            let to = format!("n{}", world.draw(0, 2));
            world.command(
                node,
                Command::Transfer {
                    duty: seamfront_testing::fleet_reconciler::PROVISIONING_DUTY.to_owned(),
                    to: Some(to),
                },
            );
        }
    }
}

/// `HISTORIES=1000` plays so many: a long run.
fn histories() -> u64 {
    std::env::var("HISTORIES")
        .ok()
        .and_then(|count| count.parse().ok())
        .unwrap_or(HISTORIES)
}

/// `HISTORY=2` plays that one alone and prints what the members log.
fn chosen() -> Option<u64> {
    std::env::var("HISTORY").ok()?.parse().ok()
}

fn play(seed: u64) -> Coverage {
    let mut world = Simulation::new(seed, 3 + (seed % 3) as usize);
    let end = ms(TROUBLED * 1_000);
    while world.now < end {
        let pause = ms(world.draw(500, 8_000));
        world.run_for(pause);
        trouble(&mut world);
    }
    world.faults = Faults::default();
    for node in &mut world.members {
        node.store_refused_until = Micros::ZERO;
    }
    world.run_for(ms(QUIET * 1_000));
    world.churn = false;
    world.run_for(ms(60_000));
    world.check_final_state();
    world.coverage
}

#[test]
fn no_history_has_two_holders_nor_doubles() {
    let mut coverage = Coverage::default();
    if let Some(seed) = chosen() {
        let _ = tracing_subscriber::fmt()
            .without_time()
            .with_ansi(false)
            .try_init();
        play(seed);
        return;
    }
    for seed in 0..histories() {
        println!("seed {seed}");
        coverage.add(&play(seed));
    }
    println!("{coverage:?}");
    let seen = [
        ("duties taken", coverage.taken, 1_000),
        (
            "operations settled for a predecessor",
            coverage.settled_for_predecessor,
            1_000,
        ),
        (
            "effects whose permit had run out",
            coverage.not_permitted,
            20,
        ),
        ("requests carried out late", coverage.late_requests, 500),
        ("rentals carried out late", coverage.late_rentals, 100),
        ("tokens refused by the store", coverage.refused_tokens, 10),
        ("successors told", coverage.replaced, 500),
        ("duties handed over", coverage.handed_over, 200),
        (
            "answers after the replacement",
            coverage.answers_after_loss,
            50,
        ),
        ("settling interrupted", coverage.settling_interrupted, 20),
        ("freezes", coverage.freezes, 300),
        ("clocks that jumped", coverage.clock_jumps, 80),
    ];
    for (what, count, least) in seen {
        assert!(
            count >= least,
            "{what}: {count}, at least {least} are wanted"
        );
    }
}

/// An upgrade, with old processes that come back in its midst.
#[test]
fn old_and_new_versions_never_act_beside_each_other() {
    for seed in 0..20 {
        let former = |settings: &mut LeaseSettings| {
            settings.former_claim =
                Some(seamfront_testing::member_simulation::FORMER_CLAIM.to_owned());
        };
        let mut world = Simulation::with_settings(2_000 + seed, 3, former);
        for node in 0..3 {
            world.start_old_version(node);
        }
        world.run_for(ms(10_000));
        let mut upgraded = [false; 3];
        while upgraded != [true; 3] {
            let node = world.draw(0, 2) as usize;
            let time = ms(world.draw(100, 30_000));
            match world.draw(0, 5) {
                0 => world.freeze(node, time),
                1 if !upgraded[node] => world.start_old_version(node),
                2 => world.crash(node, ms(200)),
                3 => world.faults.lose_replies = (world.now + time, 4),
                _ => {
                    world.start(node);
                    upgraded[node] = true;
                }
            }
            let pause = ms(world.draw(100, 10_000));
            world.run_for(pause);
        }
        // One that was old when it was frozen comes back old, long after the switch.
        world.run_for(ms(20_000));
        world.start_old_version(0);
        world.run_for(ms(20_000));
        assert!(
            world.members[0]
                .old_version
                .as_ref()
                .is_none_or(|old| old.fencing_token.is_none()),
            "the former claim was taken"
        );
        world.start(0);
        world.run_for(ms(90_000));
        world.churn = false;
        world.run_for(ms(60_000));
        world.check_final_state();
    }
}

#[test]
fn limits_that_shrink_never_make_a_value_too_large() {
    for seed in 0..8 {
        let mut world = Simulation::new(1_000 + seed, 3);
        world.run_for(ms(20_000));
        let small = StoreLimits {
            value_bytes: 1_024,
            transaction_changes: 3,
            changes_per_second: 5,
        };
        world.shrink_limits(small);
        for _ in 0..20 {
            let pause = ms(world.draw(500, 4_000));
            world.run_for(pause);
            let node = world.draw(0, 2) as usize;
            world.crash(node, ms(300));
        }
        world.run_for(ms(60_000));
        world.churn = false;
        world.run_for(ms(60_000));
        world.check_final_state();
    }
}
