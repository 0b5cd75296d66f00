//! Measures in virtual time how long duties have no active holder, compared with the scheduler's leader claim, and the
//! load of duties on the store. Writes a record for `seamfront-report`.
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

/// Number of seeds with which each fault is measured.
const SEEDS_PER_FAULT: u64 = 60;
/// Cluster sizes to measure, in members.
const CLUSTER_SIZES: [usize; 3] = [3, 7, 32];
/// The leader's claim is measured in smaller clusters only.
const LEADER_CLUSTER_SIZE_LIMIT: usize = 32;
/// Maximum time to wait for the next holder; a longer gap is not recorded.
const GAP_MAX_MS: i64 = 120_000;
/// Interval at which the holder is looked up.
const POLL_INTERVAL_MS: i64 = 10;
/// Virtual time before a fault is injected; each seed adds up to a second.
const WARM_UP_MS: i64 = 25_000;
/// Duration of a fault.
const FAULT_MS: i64 = 60_000;
/// Virtual time before requests are counted.
const LOAD_WARM_UP_MS: i64 = 40_000;
/// Virtual time during which requests are counted.
const LOAD_SECONDS: i64 = 300;
// Groups of the record: the series of a group are compared in one plot.
const GAPS: &str = "time without an active holder";
const REQUESTS: &str = "requests to the store a minute, by members";
const CHANGES: &str = "changes in the store a minute, by members";
/// Number of duties that the simulated members have.
const DUTIES: f64 = 4.0;

/// A fault of the holder, or a transfer of its duty.
#[derive(Clone, Copy)]
enum HolderFault {
    Crash,
    Freeze,
    Cut,
    Transfer,
}

const HOLDER_FAULTS: [(HolderFault, &str); 4] = [
    (HolderFault::Crash, "crash, back after 60 s"),
    (HolderFault::Freeze, "frozen for 60 s"),
    (HolderFault::Cut, "cut off from the store for 60 s"),
    (HolderFault::Transfer, "handed over"),
];

/// The time at which a seed injects its fault. It varies, so that faults occur at different phases of the timers.
fn fault_time(seed: u64) -> Micros {
    ms(WARM_UP_MS + (seed as i64 * 137) % 1_000)
}

/// The time from the fault until another member is active, if that happens within [`GAP_MAX_MS`].
fn duty_gap(seed: u64, members: usize, fault: HolderFault) -> Option<Micros> {
    let mut simulation = Simulation::new(seed, members);
    simulation.run_for(fault_time(seed));
    let holder = simulation.holder(PROVISIONING_DUTY)?;
    let duration = ms(FAULT_MS);
    match fault {
        HolderFault::Crash => simulation.crash(holder, duration),
        HolderFault::Freeze => simulation.freeze(holder, duration),
        HolderFault::Cut => {
            simulation.members[holder].store_refused_until = simulation.now + duration;
        }
        HolderFault::Transfer => {
            simulation.command(
                holder,
                Command::Transfer {
                    duty: PROVISIONING_DUTY.to_owned(),
                    to: None,
                },
            );
        }
    }
    let mut gap_start = simulation.now;
    let deadline = simulation.now + ms(GAP_MAX_MS);
    while simulation.now < deadline {
        simulation.run_for(ms(POLL_INTERVAL_MS));
        match simulation.holder(PROVISIONING_DUTY) {
            // In a transfer the gap begins when the holder stops acting. A frozen or cut holder does not act, although
            // its claim is still in the store.
            Some(current) if current == holder && matches!(fault, HolderFault::Transfer) => {
                gap_start = simulation.now;
            }
            Some(current) if current != holder => return Some(simulation.now - gap_start),
            _ => {}
        }
    }
    None
}

/// The time from a crash of the leader until another controller holds the leader's claim, if that happens within
/// [`GAP_MAX_MS`].
fn leader_gap(seed: u64, members: usize) -> Option<Micros> {
    let scale = Scale {
        controllers: members,
        ..SMALL
    };
    let mut simulation = simulation::Simulation::sized(seed, scale);
    simulation.run_until(fault_time(seed));
    let holder = simulation.holder("leader")?;
    let crashed_at = simulation.now;
    simulation.fault(
        simulation.now,
        Fault::Crash {
            controllers: vec![holder],
            restart_after: ms(FAULT_MS),
        },
    );
    while simulation.now < crashed_at + ms(GAP_MAX_MS) {
        let next = simulation.now + ms(POLL_INTERVAL_MS);
        simulation.run_until(next);
        if simulation
            .holder("leader")
            .is_some_and(|current| current != holder)
        {
            return Some(simulation.now - crashed_at);
        }
    }
    None
}

fn record_gaps(recorder: &mut Recorder, members: usize) -> Result<(), ReportError> {
    for (fault, name) in HOLDER_FAULTS {
        for seed in 0..SEEDS_PER_FAULT {
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
    if members < LEADER_CLUSTER_SIZE_LIMIT {
        for seed in 0..SEEDS_PER_FAULT {
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

/// Records requests to the store and changes in it, at rest and while machines are continually terminated and replaced.
fn record_load(recorder: &mut Recorder, members: usize) {
    for (churn, name) in [(false, "at rest"), (true, "while machines come and go")] {
        let mut simulation = Simulation::new(1, members);
        simulation.churn = churn;
        simulation.run_for(ms(LOAD_WARM_UP_MS));
        (simulation.store_requests, simulation.store_changes) = Default::default();
        let provisioned_before = simulation.cloud.ledger.len();
        simulation.run_for(ms(LOAD_SECONDS * 1_000));
        let minutes = LOAD_SECONDS as f64 / 60.0;
        let requests: u64 = simulation.store_requests.values().sum();
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
            simulation.store_changes as f64 / minutes / DUTIES,
        );
        let machines = (simulation.cloud.ledger.len() - provisioned_before) as f64 / minutes;
        println!(
            "{members} members, {name}: {machines:.0} machines a minute, {:?}",
            simulation.store_requests
        );
    }
}

fn measure(path: &std::path::Path) -> Result<(), ReportError> {
    let mut recorder = Recorder::new("Duties: time without a holder, load on the store");
    for members in CLUSTER_SIZES {
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
