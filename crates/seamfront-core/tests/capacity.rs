//! The leader's plan: whose machines may be cleared of lesser work, and for whom.

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

fn size() -> Resources {
    Resources::rounded_down(64.0, 8.0, 256.0)
}

/// A gang that still looks for `count` of its `total` machines of eight accelerators.
fn gang(job: &str, count: u32, total: u32, left: i64) -> ResourceRequest {
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

/// A machine that a gang holds, while ordinary work uses what the gang leaves of it.
fn held(id: &str) -> MachineView {
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

/// One machine in shard 1, held for a gang there; nothing can be rented.
fn plan_for(requests: &[(usize, ResourceRequest)]) -> Plan {
    let types = [MachineType {
        name: "big".into(),
        size: size(),
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
    let (id, view) = (MachineId::from("i-0"), held("i-0"));
    let offer = Offer {
        machine_type: "big".into(),
        zone: "x".into(),
        spot: false,
    };
    let refusal = UnavailableOffer {
        until: s(900),
        refusals: 3,
    };
    let refused = BTreeMap::from([(offer, refusal)]);
    let machine = Supply {
        id: &id,
        shard: 1,
        record: &record,
        size: size(),
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
        unavailable_offers: &refused,
        tuning: &Tuning::default(),
        boot_times: &BootTimes::default(),
        draining: &BTreeMap::new(),
    })
}

/// Two gangs of different shards each lack one of two machines. The one whose order comes first keeps what it holds,
/// although lesser work runs beside it; if the machine went to and fro, neither would ever begin.
#[test]
fn what_a_gang_holds_is_cleared_only_for_one_that_comes_before_it() {
    let (sooner, later) = (60, 90);
    for (holder_left, cleared) in [(sooner, 0), (later, 1)] {
        let holder = gang("j-1", 1, 2, holder_left);
        let other = gang(
            "j-2",
            1,
            1,
            if holder_left == sooner { later } else { sooner },
        );
        let plan = plan_for(&[(1, holder), (2, other)]);
        assert_eq!(
            plan.drains.len(),
            cleared,
            "holder's time left {holder_left}: {:?}",
            plan.drains
        );
        assert!(plan.terminations.is_empty());
    }
}

/// The holder has all that it needs and only waits until lesser work there has stopped: it looks for nothing any
/// more, and keeps what it holds.
#[test]
fn what_is_being_freed_for_a_gang_is_not_cleared_for_another() {
    assert!(plan_for(&[(2, gang("j-2", 1, 1, 10))]).drains.is_empty());
}

/// Boots of machines that were rented `started` seconds ago, of which `up` have come up after so many seconds.
fn boot_times(started: &[(&str, i64)], up: &[(&str, i64)]) -> BootTimes {
    let mut boot_times = BootTimes::default();
    for (id, at) in started {
        boot_times.provisioned((*id).into(), "big", s(*at));
    }
    for (id, at) in up {
        boot_times.record_boots(s(*at), |other| other.as_str() == *id);
    }
    boot_times
}

/// While nothing boots, or before anything is known, giving machines up would only mean to begin again.
#[test]
fn a_machine_that_never_comes_up_is_given_up_once_a_later_one_is_up() {
    let late: MachineId = "i-0".into();
    let only_earlier = boot_times(&[("i-1", 0), ("i-0", 5)], &[("i-1", 50)]);
    let later_too = boot_times(&[("i-0", 5), ("i-1", 6)], &[("i-1", 56)]);
    let nothing = boot_times(&[("i-0", 5), ("i-1", 6)], &[]);
    for (boot_times, presumed_failed) in
        [(only_earlier, false), (later_too, true), (nothing, false)]
    {
        assert!(
            !boot_times.presumed_failed(&late, s(50), s(100)),
            "too soon"
        );
        assert_eq!(
            boot_times.presumed_failed(&late, s(50), s(120)),
            presumed_failed
        );
    }
}

/// Work counts on what is rented as long as boots take now, and no longer: what comes late or never is replaced, and
/// what is slow like all others is not rented twice.
#[test]
fn how_long_work_counts_on_a_rented_machine_follows_the_boots_seen() {
    let unknown = BootTimes::default().late_after("big", s(50));
    let slow = boot_times(&[("i-1", 0), ("i-2", 0)], &[("i-1", 190), ("i-2", 200)])
        .late_after("big", s(50));
    let fast = boot_times(&[("i-1", 0)], &[("i-1", 2)]).late_after("big", s(50));
    assert!(slow > s(250), "all are slow now: {slow:?}");
    assert!(
        fast >= s(75) && fast < unknown,
        "the next may take as long as usual: {fast:?}"
    );
}
