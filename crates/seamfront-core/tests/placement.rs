//! Properties of placement and quota, checked on random machines and jobs from fixed seeds.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use seamfront_core::machine::{Machine, MachineRecord};
use seamfront_core::placement::{
    Availability, FillPolicy, FreeCapacity, Machines, PlacementRequest,
};
use seamfront_core::quota::{within_limit, Quota};
use seamfront_core::types::*;
use std::collections::{BTreeMap, BTreeSet};

fn spec(rng: &mut StdRng) -> JobSpec {
    JobSpec {
        id: "j-1".into(),
        class: "c".into(),
        team: "t".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks: rng.random_range(1..9),
        task_resources: Resources::rounded_up(
            f64::from(rng.random_range(1..4)),
            0.0,
            f64::from(rng.random_range(1..9)),
        ),
        types: (rng.random_range(0..3) == 0).then(|| vec!["a".into()]),
        zone: (rng.random_range(0..4) == 0).then(|| "x".into()),
        one_zone: rng.random_range(0..3) == 0,
        spread: rng.random_range(0..3) == 0,
        spot: rng.random_range(0..2) == 0,
        image: "i".into(),
        image_mb: 100,
        estimate: Micros::ZERO,
        checkpoint_interval: Micros::ZERO,
        checkpoint_time: Micros::ZERO,
        deadline: None,
        submitted: Micros::ZERO,
        dependencies: vec![],
        dependency_parts: 0,
    }
}

/// A request to place tasks of this job, without preferences.
fn request<'a>(spec: &'a JobSpec, avoid: &'a BTreeMap<MachineId, Micros>) -> PlacementRequest<'a> {
    PlacementRequest {
        spec,
        avoid,
        now: Micros::ZERO,
        types: &[],
        accelerator_idle_timeout: None,
        require_cached_image: false,
        few_machines: false,
    }
}

#[test]
fn chosen_machines_meet_all_constraints_and_are_never_overfilled() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut placed = 0;
    for _ in 0..3_000 {
        let job = spec(&mut rng);
        let machines: Machines = (0..rng.random_range(1..7))
            .map(|k| {
                let pick = |rng: &mut StdRng, of: [&str; 2]| of[rng.random_range(0..2)].to_owned();
                let record = MachineRecord {
                    shard: Some(0),
                    machine_type: pick(&mut rng, ["a", "b"]),
                    zone: pick(&mut rng, ["x", "y"]),
                    spot: rng.random_range(0..2) == 0,
                };
                let size = Resources::rounded_down(f64::from(rng.random_range(1..9)), 0.0, 16.0);
                let id = MachineId::from(format!("m-{k}").as_str());
                (id.clone(), Machine::new(id, record, 1, size, Micros::ZERO))
            })
            .collect();
        let capacity = FreeCapacity::of(machines.values());
        let avoid = BTreeMap::from([("m-0".into(), Micros::from_secs(9))]);
        let placement = request(&job, &avoid);
        let partial = rng.random_range(0..2) == 0;
        let chosen = placement.choose(
            &machines,
            &capacity,
            Availability::Now,
            &BTreeMap::new(),
            job.tasks,
            if partial {
                FillPolicy::Partial
            } else {
                FillPolicy::AllOrNothing
            },
        );
        assert!(chosen.len() as u32 <= job.tasks);
        assert!(
            partial || chosen.is_empty() || chosen.len() as u32 == job.tasks,
            "a partial placement was chosen"
        );
        let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
        for k in &chosen {
            let m = &machines[&capacity.machines[*k].id];
            assert!(
                job.allows(&m.record.machine_type, &m.record.zone, m.record.spot)
                    && m.id.as_str() != "m-0"
            );
            *zones.entry(&m.record.zone).or_default() += 1;
        }
        assert!(!job.one_zone || zones.len() <= 1);
        assert!(zones.values().all(|n| *n <= job.max_tasks_per_zone()));
        for (k, machine) in capacity.machines.iter().enumerate() {
            let taken = chosen.iter().filter(|g| **g == k).count() as i64;
            assert!(
                taken <= machine.free.fits(job.task_resources),
                "machine {k} is overfilled"
            );
        }
        if !partial && !job.spread && chosen.is_empty() {
            // If nothing was chosen, the machines that the job may use must indeed lack room for all its tasks.
            let room_in = |z: Option<&str>| {
                let allowed = |m: &&Machine| {
                    job.allows(&m.record.machine_type, &m.record.zone, m.record.spot)
                        && m.id.as_str() != "m-0"
                };
                let candidates = machines
                    .values()
                    .filter(allowed)
                    .filter(|m| z.is_none_or(|z| z == m.record.zone));
                candidates
                    .map(|m| m.free().fits(job.task_resources))
                    .sum::<i64>()
            };
            let room = if job.one_zone {
                room_in(Some("x")).max(room_in(Some("y")))
            } else {
                room_in(None)
            };
            assert!(
                room < i64::from(job.tasks),
                "nothing was chosen for {} tasks although {room} fit",
                job.tasks
            );
        }
        placed += chosen.len();
    }
    assert!(
        placed > 2_000,
        "too few tasks were placed for a meaningful test: {placed}"
    );
}

/// Guards against gangs that are spread over more machines than their record can name: without the flag, the fullest
/// machines come first.
#[test]
fn a_job_for_few_machines_goes_to_those_with_the_most_room() {
    let mut job = spec(&mut StdRng::seed_from_u64(9));
    (job.types, job.zone, job.one_zone, job.spread) = (None, None, false, false);
    (job.tasks, job.task_resources) = (8, Resources::rounded_up(1.0, 0.0, 1.0));
    let machines: Machines = (0..8)
        .map(|k| {
            let record = MachineRecord {
                shard: Some(0),
                machine_type: "a".into(),
                zone: "x".into(),
                spot: false,
            };
            let id = MachineId::from(format!("m-{k}").as_str());
            let size = Resources::rounded_down(8.0, 0.0, 16.0);
            let mut machine = Machine::new(id.clone(), record, 1, size, Micros::ZERO);
            let free = if k == 5 { 8 } else { 1 };
            machine.used = job.task_resources.times(8 - free);
            (id, machine)
        })
        .collect();
    let capacity = FreeCapacity::of(machines.values());
    let avoid = BTreeMap::new();
    let distinct = |few_machines: bool| {
        let mut placement = request(&job, &avoid);
        placement.few_machines = few_machines;
        let chosen = placement.choose(
            &machines,
            &capacity,
            Availability::Now,
            &BTreeMap::new(),
            job.tasks,
            FillPolicy::AllOrNothing,
        );
        assert_eq!(chosen.len(), 8);
        chosen.into_iter().collect::<BTreeSet<usize>>().len()
    };
    assert_eq!((distinct(false), distinct(true)), (8, 1));
}

#[test]
fn quota_headroom_never_lets_a_team_exceed_its_limit() {
    let mut rng = StdRng::seed_from_u64(8);
    let limit = Resources::rounded_down(20.0, 0.0, 0.0);
    let team = Team {
        name: "t".into(),
        guarantee: Resources::default(),
        limit,
    };
    let mut quota = Quota::default();
    let mut charged: Vec<Resources> = Vec::new();
    for _ in 0..5_000 {
        let task_resources =
            Resources::rounded_up(f64::from(rng.random_range(1..50)) / 10.0, 1.0, 1.0);
        if quota.headroom(&team, task_resources, Resources::default()) > 0
            && rng.random_range(0..3) > 0
        {
            quota.charge("t", task_resources);
            charged.push(task_resources);
        } else if !charged.is_empty() {
            let k = rng.random_range(0..charged.len());
            quota.release("t", charged.swap_remove(k));
        }
        let used = quota.used("t");
        assert!(used.cpus <= limit.cpus && used.cpus >= 0);
        assert_eq!(used.cpus, charged.iter().map(|task| task.cpus).sum::<i64>());
    }
    let mut job = spec(&mut rng);
    job.task_resources = Resources::rounded_up(6.0, 0.0, 1.0);
    job.tasks = 4;
    assert!(
        within_limit(&team, &job),
        "the limit needs to fit only one task of an array"
    );
    job.kind = JobKind::Gang;
    assert!(
        !within_limit(&team, &job),
        "the limit needs to fit all tasks of a gang"
    );
}
