//! The leader's capacity plan: which machines are drained for a gang of another shard, and how observed boot times
//! decide when a machine counts as late or failed.

use seamfront_core::boot_times::BootTimes;
use seamfront_core::capacity::{
    plan, ClusterSnapshot, Offer, Plan, ShardRequest, Supply, UnavailableOffer,
};
use seamfront_core::machine::MachineRecord;
use seamfront_core::port::{MachineView, ResourceRequest};
use seamfront_core::types::*;
use std::collections::BTreeMap;

fn s(n: i64) -> Micros {
    Micros::from_secs(n)
}

fn machine_size() -> Resources {
    Resources::rounded_down(64.0, 8.0, 256.0)
}

/// The request of a gang that still lacks `count` of its `total` machines with eight accelerators, and must start
/// within `left` seconds.
fn gang_request(job: &str, count: u32, total: u32, left: i64) -> ResourceRequest {
    ResourceRequest {
        job: job.into(),
        task_resources: Resources::rounded_up(57.0, 8.0, 200.0),
        count,
        total,
        all_or_nothing: true,
        one_zone: true,
        reserved_zone: None,
        spread: false,
        priority: Priority::Urgent,
        guaranteed: false,
        starving: false,
        types: None,
        zone: None,
        spot: false,
        image_mb: 7_000,
        estimate: s(200),
        waiting_time: s(20),
        time_until_start_by: Some(s(left)),
        service: false,
    }
}

/// A machine reserved for a gang, with tasks of normal priority in the capacity that the gang leaves free.
fn reserved_machine(id: &str) -> MachineView {
    MachineView {
        id: id.into(),
        version: 7,
        reachable: true,
        used: Resources::rounded_up(7.0, 0.0, 14.0),
        used_by_services: Resources::default(),
        idle: None,
        reserved_for_gang: true,
        released: false,
        condemned: false,
        preemption_notice: false,
        highest_priority: Some(Priority::Normal),
        eviction_loss: s(9),
    }
}

/// The plan for one machine in shard 1 that is reserved for a gang there. No machine can be provisioned.
fn plan_for(requests: &[(usize, ResourceRequest)]) -> Plan {
    let types = [MachineType {
        name: "big".into(),
        size: machine_size(),
        cache_mb: 70_000,
        fetch_mb_s: 200,
        price: 24_000,
        spot_price: 10_000,
        boot: s(50),
        zones: vec!["x".into()],
    }];
    let record = MachineRecord {
        shard: Some(1),
        machine_type: "big".into(),
        zone: "x".into(),
        spot: false,
    };
    let (id, view) = (MachineId::from("i-0"), reserved_machine("i-0"));
    let offer = Offer {
        machine_type: "big".into(),
        zone: "x".into(),
        spot: false,
    };
    let refusal = UnavailableOffer {
        until: s(900),
        refusals: 3,
    };
    let unavailable = BTreeMap::from([(offer, refusal)]);
    let machine = Supply {
        id: &id,
        shard: 1,
        record: &record,
        size: machine_size(),
        view: Some(&view),
        age: s(90),
    };
    plan(&ClusterSnapshot {
        now: s(500),
        requests: requests
            .iter()
            .map(|(shard, request)| ShardRequest {
                shard: *shard,
                request,
            })
            .collect(),
        machines: vec![machine],
        provisionings: vec![],
        types: &types,
        unavailable_offers: &unavailable,
        tuning: &Tuning::default(),
        boot_times: &BootTimes::default(),
        draining: &BTreeMap::new(),
    })
}

/// Two gangs of different shards each still lack one machine. The gang that comes first in the scheduling order keeps
/// its reserved machine, although tasks of lower priority run there too. If the machine moved back and forth between
/// the shards, neither gang would ever start.
#[test]
fn machine_reserved_for_a_gang_is_drained_only_for_a_gang_that_precedes_it() {
    let (sooner, later) = (60, 90);
    for (reserving_left, drains) in [(sooner, 0), (later, 1)] {
        let reserving = gang_request("j-1", 1, 2, reserving_left);
        let other = gang_request(
            "j-2",
            1,
            1,
            if reserving_left == sooner {
                later
            } else {
                sooner
            },
        );
        let plan = plan_for(&[(1, reserving), (2, other)]);
        assert_eq!(
            plan.drains.len(),
            drains,
            "the reserving gang has {reserving_left} s left: {:?}",
            plan.drains
        );
        assert!(plan.terminations.is_empty());
    }
}

/// The gang has reserved all machines that it needs and waits until tasks of lower priority there have stopped. It no
/// longer requests machines, and keeps its reservation.
#[test]
fn machine_being_freed_for_a_gang_is_not_drained_for_another() {
    assert!(plan_for(&[(2, gang_request("j-2", 1, 1, 10))])
        .drains
        .is_empty());
}

/// Boots of machines, with the second at which each was provisioned and, in `up`, at which some of them came up.
fn boot_times(provisioned: &[(&str, i64)], up: &[(&str, i64)]) -> BootTimes {
    let mut boot_times = BootTimes::default();
    for (id, at) in provisioned {
        boot_times.provisioned((*id).into(), "big", s(*at));
    }
    for (id, at) in up {
        boot_times.record_boots(s(*at), |booted| booted.as_str() == *id);
    }
    boot_times
}

/// While no machine comes up, or as long as nothing is known, replacing machines would only restart their boots.
#[test]
fn late_machine_is_presumed_failed_once_one_provisioned_later_is_up() {
    let late: MachineId = "i-0".into();
    let only_earlier_up = boot_times(&[("i-1", 0), ("i-0", 5)], &[("i-1", 50)]);
    let later_up = boot_times(&[("i-0", 5), ("i-1", 6)], &[("i-1", 56)]);
    let none_up = boot_times(&[("i-0", 5), ("i-1", 6)], &[]);
    for (boot_times, presumed_failed) in
        [(only_earlier_up, false), (later_up, true), (none_up, false)]
    {
        assert!(
            !boot_times.presumed_failed(&late, s(50), s(100)),
            "presumed failed too soon"
        );
        assert_eq!(
            boot_times.presumed_failed(&late, s(50), s(120)),
            presumed_failed
        );
    }
}

/// The plan counts on a provisioned machine for as long as boots currently take, and no longer. A machine that comes up
/// late or never is replaced; one that is as slow as all others is not provisioned twice.
#[test]
fn time_until_a_machine_counts_as_late_follows_observed_boot_times() {
    let unknown = BootTimes::default().late_after("big", s(50));
    let slow = boot_times(&[("i-1", 0), ("i-2", 0)], &[("i-1", 190), ("i-2", 200)])
        .late_after("big", s(50));
    let fast = boot_times(&[("i-1", 0)], &[("i-1", 2)]).late_after("big", s(50));
    assert!(slow > s(250), "all boots are slow: {slow:?}");
    assert!(
        fast >= s(75) && fast < unknown,
        "the next boot may take as long as usual: {fast:?}"
    );
}
