//! Measures in virtual time how long duties are without a holder, and what they ask of the store, beside the leader's
//! claim of the scheduler. Writes a record for `seamfront-report`.
//!
//! ```text
//! cargo run --release -p seamfront --example measure_duties -- record.jsonl
//! ```

use seamfront_core::types::Micros;
use seamfront_lease::port::Command;
use seamfront_report::{Recorder, ReportError};
use seamfront_testing::fleet_reconciler::PROVISIONING_DUTY;
use seamfront_testing::member_simulation::{ms, Simulation};
use seamfront_testing::simulation::{self, Fault, Scale, SMALL};
use std::path::PathBuf;
use std::process::ExitCode;

/// Seeds that each fault is measured with.
const ROUNDS: u64 = 60;
/// Sizes of the cluster.
const MEMBERS: [usize; 3] = [3, 7, 32];
/// Clusters of this size and larger are measured without the leader's claim.
const LEADER_MEMBERS_LIMIT: usize = 32;
/// A gap longer than this is not recorded.
const GAP_MAX_MS: i64 = 120_000;
/// How often the holder is looked up.
const POLL_INTERVAL_MS: i64 = 10;
/// When faults begin; each seed adds up to a second.
const WARM_UP_MS: i64 = 25_000;
/// How long a fault lasts.
const FAULT_MS: i64 = 60_000;
const LOAD_WARM_UP_MS: i64 = 40_000;
/// How long requests are counted.
const LOAD_SECONDS: i64 = 300;
const GAPS: &str = "time without an active holder";
const REQUESTS: &str = "requests to the store a minute, by members";
const CHANGES: &str = "changes in the store a minute, by members";
const DUTIES: f64 = 4.0;

/// What happens to the holder.
#[derive(Clone, Copy)]
enum HolderFault {
    Crash,
    Freeze,
    Cut,
    Handover,
}

const HOLDER_FAULTS: [(HolderFault, &str); 4] = [
    (HolderFault::Crash, "crash, back after 60 s"),
    (HolderFault::Freeze, "frozen for 60 s"),
    (HolderFault::Cut, "cut off from the store for 60 s"),
    (HolderFault::Handover, "handed over"),
];

/// When the fault of a seed begins: seeds meet different phases of the timers.
fn fault_time(seed: u64) -> Micros {
    ms(WARM_UP_MS + (seed as i64 * 137) % 1_000)
}

/// The time from the fault until another member is active.
fn duty_gap(seed: u64, members: usize, fault: HolderFault) -> Option<Micros> {
    let mut world = Simulation::new(seed, members);
    world.run_for(fault_time(seed));
    let holder = world.holder(PROVISIONING_DUTY)?;
    let duration = ms(FAULT_MS);
    match fault {
        HolderFault::Crash => world.crash(holder, duration),
        HolderFault::Freeze => world.freeze(holder, duration),
        HolderFault::Cut => world.members[holder].store_refused_until = world.now + duration,
        HolderFault::Handover => {
            world.command(
                holder,
                Command::Transfer {
                    duty: PROVISIONING_DUTY.to_owned(),
                    to: None,
                },
            );
        }
    }
    let mut since = world.now;
    let last = world.now + ms(GAP_MAX_MS);
    while world.now < last {
        world.run_for(ms(POLL_INTERVAL_MS));
        match world.holder(PROVISIONING_DUTY) {
            // A handover begins when the holder stops; until then it is active. One that is frozen or cut off is not, though
            // its claim is still there.
            Some(now) if now == holder && matches!(fault, HolderFault::Handover) => {
                since = world.now;
            }
            Some(now) if now != holder => return Some(world.now - since),
            _ => {}
        }
    }
    None
}

/// The same for the leader's claim, until another controller has it.
fn leader_gap(seed: u64, members: usize) -> Option<Micros> {
    let scale = Scale {
        controllers: members,
        ..SMALL
    };
    let mut world = simulation::Simulation::sized(seed, scale);
    world.run_until(fault_time(seed));
    let holder = world.holder("leader")?;
    let begin = world.now;
    world.fault(
        world.now,
        Fault::Crash {
            controllers: vec![holder],
            back: ms(FAULT_MS),
        },
    );
    while world.now < begin + ms(GAP_MAX_MS) {
        let next = world.now + ms(POLL_INTERVAL_MS);
        world.run_until(next);
        if world.holder("leader").is_some_and(|now| now != holder) {
            return Some(world.now - begin);
        }
    }
    None
}

fn record_gaps(recorder: &mut Recorder, members: usize) -> Result<(), ReportError> {
    for (fault, name) in HOLDER_FAULTS {
        for seed in 0..ROUNDS {
            let Some(gap) = duty_gap(seed, members, fault) else {
                continue;
            };
            recorder.duration(
                GAPS,
                &format!("duty, {name}, {members} members"),
                gap.0 as u64,
            )?;
        }
    }
    if members < LEADER_MEMBERS_LIMIT {
        for seed in 0..ROUNDS {
            let Some(gap) = leader_gap(seed, members) else {
                continue;
            };
            recorder.duration(
                GAPS,
                &format!("leader's claim, crash, {members} members"),
                gap.0 as u64,
            )?;
        }
    }
    Ok(())
}

/// Requests and changes at rest, and while a machine is returned and another rented all the time.
fn record_load(recorder: &mut Recorder, members: usize) {
    for (churn, name) in [(false, "at rest"), (true, "while machines come and go")] {
        let mut world = Simulation::new(1, members);
        world.churn = churn;
        world.run_for(ms(LOAD_WARM_UP_MS));
        (world.store_requests, world.store_changes) = Default::default();
        let rented = world.cloud.ledger.len();
        world.run_for(ms(LOAD_SECONDS * 1_000));
        let minutes = LOAD_SECONDS as f64 / 60.0;
        let requests: u64 = world.store_requests.values().sum();
        let size = members as u64;
        recorder.count(
            REQUESTS,
            &format!("all duties, {name}"),
            size,
            requests as f64 / minutes,
        );
        recorder.count(
            CHANGES,
            &format!("each duty, {name}"),
            size,
            world.store_changes as f64 / minutes / DUTIES,
        );
        let machines = (world.cloud.ledger.len() - rented) as f64 / minutes;
        println!(
            "{members} members, {name}: {machines:.0} machines a minute, {:?}",
            world.store_requests
        );
    }
}

fn measure(path: &std::path::Path) -> Result<(), ReportError> {
    let mut recorder = Recorder::new("Duties: time without a holder, load on the store");
    for members in MEMBERS {
        record_gaps(&mut recorder, members)?;
        record_load(&mut recorder, members);
    }
    recorder.write(path)
}

fn main() -> ExitCode {
    let Some(path) = std::env::args_os().nth(1).map(PathBuf::from) else {
        eprintln!("usage: measure_duties RECORD");
        return ExitCode::from(2);
    };
    match measure(&path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("measure_duties: {error}");
            ExitCode::FAILURE
        }
    }
}
