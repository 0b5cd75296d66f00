//! Detection of slow machines, and when a machine's lease has certainly expired.

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
fn machine_much_slower_than_its_jobs_elsewhere_is_marked_slow() {
    let (mut slow, mut ordinary) = (machine(), machine());
    for k in 0..PACE_SAMPLE_TASKS {
        slow.health
            .record_run(Micros::from_secs(20), Micros::from_secs(10));
        // A single long task does not make a machine slow.
        ordinary.health.record_run(
            Micros::from_secs(if k == 0 { 35 } else { 11 }),
            Micros::from_secs(10),
        );
    }
    assert!(slow.health.slow && !ordinary.health.slow);
}

/// Until the agent has shown the current fencing token, a former holder may still have renewed its lease.
#[test]
fn lease_expires_only_when_no_former_holder_can_have_renewed_it() {
    let (lease, verification_ttl) = (Micros::from_secs(10), Micros::from_secs(20));
    let mut m = machine();
    m.lifecycle.owned_since = Micros::from_secs(100);
    assert!(m.lease_expiry(9, lease, verification_ttl) >= Micros::from_secs(130));
    m.agent.last_reply = Some(Micros::from_secs(101));
    assert!(m.lease_expiry(9, lease, verification_ttl) >= Micros::from_secs(130));
    m.fencing.highest_seen_token = 9;
    let expiry = m.lease_expiry(9, lease, verification_ttl);
    assert!(expiry >= Micros::from_secs(111) && expiry < Micros::from_secs(112));
}
