//! A machine's pace and its lease, by themselves.

use seamfront_core::machine::{Machine, MachineRecord, PACE_SAMPLE_TASKS};
use seamfront_core::types::*;

fn machine() -> Machine {
    let record = MachineRecord {
        shard: Some(0),
        machine_type: "m".into(),
        zone: "z".into(),
        spot: false,
    };
    Machine::new(
        "i-1".into(),
        record,
        7,
        Resources::rounded_down(4.0, 0.0, 16.0),
        Micros::ZERO,
    )
}

#[test]
fn a_machine_much_slower_than_its_jobs_elsewhere_is_suspected() {
    let (mut slow, mut fair) = (machine(), machine());
    for k in 0..PACE_SAMPLE_TASKS {
        slow.health
            .record_run(Micros::from_secs(20), Micros::from_secs(10));
        // One long task among ordinary ones tells nothing about the machine.
        fair.health.record_run(
            Micros::from_secs(if k == 0 { 35 } else { 11 }),
            Micros::from_secs(10),
        );
    }
    assert!(slow.health.slow && !fair.health.slow);
}

/// Until the worker has shown the present token, a former holder may have kept its lease alive.
#[test]
fn a_lease_is_over_only_when_no_former_holder_can_have_renewed_it() {
    let (lease, lease_valid) = (Micros::from_secs(10), Micros::from_secs(20));
    let mut m = machine();
    m.lifecycle.owned_since = Micros::from_secs(100);
    assert!(m.lease_expiry(9, lease, lease_valid) >= Micros::from_secs(130));
    m.agent.last_reply = Some(Micros::from_secs(101));
    assert!(m.lease_expiry(9, lease, lease_valid) >= Micros::from_secs(130));
    m.fencing.highest_seen_token = 9;
    let over = m.lease_expiry(9, lease, lease_valid);
    assert!(over >= Micros::from_secs(111) && over < Micros::from_secs(112));
}
