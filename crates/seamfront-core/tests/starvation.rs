//! Which jobs get capacity in a scheduling cycle, and which keep it: starving jobs, quota, reservations and preemption.
//! The tests drive a single shard without an engine.

use seamfront_core::types::*;
use seamfront_testing::shard_harness::{heartbeat, job, s, ShardHarness, CLAIM_TOKEN};
use std::rc::Rc;

/// A job array whose tasks need one of a machine's eight CPUs each.
fn job_array(id: &str, tasks: u32, priority: Priority, submitted: Micros) -> JobSpec {
    JobSpec {
        priority,
        submitted,
        ..(*job(id, tasks)).clone()
    }
}

/// A shard whose machines have shown its fencing token, after one scheduling cycle with these jobs pending.
fn harness_after_one_cycle(machines: usize, now: Micros, jobs: Vec<JobSpec>) -> ShardHarness {
    let mut harness = ShardHarness::new(machines, 0);
    for spec in jobs {
        harness.shard.add_job(Rc::new(spec), 5, now);
    }
    run_cycles(&mut harness, now, 1);
    harness
}

/// Runs `n` scheduling cycles, each after a heartbeat of every machine.
fn run_cycles(harness: &mut ShardHarness, now: Micros, n: i64) {
    for k in 0..n {
        let now = now + Micros::from_millis(600).times(k);
        for m in 0..harness.shard.machines.len() {
            harness.heartbeat(
                now,
                &heartbeat(&format!("i-{m}"), 1, 100 + now.0 as u64, CLAIM_TOKEN, &[]),
            );
        }
        harness.with(now, seamfront_core::shard::Shard::run_scheduling_cycle);
    }
}

/// Number of the job's tasks that are placed on machines.
fn placed_tasks(harness: &ShardHarness, id: &str) -> usize {
    harness.shard.jobs[&JobId::from(id)].tasks.len()
}

/// Ordered by age alone, all gangs that need more than their team's limit leaves would be late together. Arrays take
/// what the limit leaves, and gangs that lack only machines reserve those they find, so these are ordered by age.
#[test]
fn the_smallest_gang_goes_first_among_those_over_their_teams_limit() {
    for (kind, limit, deadline_missed, expected) in [
        (JobKind::Gang, 8.0, false, (0, 2)),
        (JobKind::Gang, 8.0, true, (8, 0)),
        (JobKind::Gang, 0.0, false, (8, 0)),
        (JobKind::Array, 8.0, false, (8, 0)),
    ] {
        let mut small = JobSpec {
            kind,
            ..job_array("j-1", 2, Priority::Normal, s(110))
        };
        // A job that has missed its deadline waits for those that can still meet theirs.
        small.deadline = deadline_missed.then(|| s(5));
        let large = JobSpec {
            kind,
            ..job_array("j-0", 8, Priority::Normal, s(100))
        };
        let mut harness = ShardHarness::new(1, 0);
        harness.settings.teams[0].limit = Resources::rounded_down(limit, 0.0, 0.0);
        for spec in [large, small] {
            harness.shard.add_job(Rc::new(spec), 5, s(120));
        }
        run_cycles(&mut harness, s(120), 1);
        assert_eq!(
            (placed_tasks(&harness, "j-0"), placed_tasks(&harness, "j-1")),
            expected,
            "{kind:?}, limit {limit}, deadline missed: {deadline_missed}"
        );
    }
}

/// A starving job of normal priority is placed before an urgent one. The urgent job must not preempt it in the
/// following cycles, over and over.
#[test]
fn a_job_placed_as_starving_is_not_preempted_by_a_later_urgent_job() {
    let now = s(400);
    let mut starving = job_array("j-0", 1, Priority::Normal, now - START_DEADLINE);
    starving.task_resources = Resources::rounded_up(8.0, 0.0, 1.0);
    let urgent = JobSpec {
        id: "j-1".into(),
        priority: Priority::Urgent,
        submitted: now,
        ..starving.clone()
    };
    let mut harness = harness_after_one_cycle(1, now, vec![starving, urgent]);
    run_cycles(&mut harness, now + s(1), 3);
    assert_eq!(
        (placed_tasks(&harness, "j-0"), placed_tasks(&harness, "j-1")),
        (1, 0)
    );
    let job = &harness.shard.jobs[&JobId::from("j-0")];
    assert!(
        job.tasks
            .values()
            .all(|p| p.stop.is_none() && p.attempt == 1),
        "it was preempted and placed again"
    );
}

/// A starving urgent gang exceeds its team's guarantee, and a later gang of the same priority is within another team's
/// guarantee. The later gang must not reclaim the capacity that the next cycle would give to the starving one again.
#[test]
fn a_gang_placed_as_starving_is_not_preempted_for_another_teams_guarantee() {
    let now = s(400);
    let gang = |id: &str, team: &str, submitted| JobSpec {
        kind: JobKind::Gang,
        team: team.into(),
        task_resources: Resources::rounded_up(8.0, 0.0, 1.0),
        ..job_array(id, 1, Priority::Urgent, submitted)
    };
    let mut harness = ShardHarness::new(1, 0);
    let guarantee = Resources::rounded_down(16.0, 0.0, 0.0);
    harness.settings.teams.push(Team {
        name: "u".into(),
        guarantee,
        limit: Resources::default(),
    });
    for spec in [
        gang("j-0", "t", now - START_DEADLINE),
        gang("j-1", "u", now),
    ] {
        harness.shard.add_job(Rc::new(spec), 5, now);
    }
    run_cycles(&mut harness, now, 4);
    assert_eq!(
        (placed_tasks(&harness, "j-0"), placed_tasks(&harness, "j-1")),
        (1, 0)
    );
    assert_eq!(
        harness.shard.jobs[&JobId::from("j-0")]
            .gang
            .as_ref()
            .unwrap()
            .epoch,
        1,
        "it was preempted and placed again"
    );
}

/// Fetching an image takes longer than a live service may wait, so capacity is reserved on machines that have the
/// image.
#[test]
fn capacity_for_live_services_is_reserved_on_machines_with_their_image() {
    let now = s(120);
    let mut harness = ShardHarness::new(3, 0);
    let live = JobSpec {
        kind: JobKind::Service,
        priority: Priority::Critical,
        image: "live".into(),
        ..(*job("j-0", 4)).clone()
    };
    harness.shard.add_job(Rc::new(live), 5, now);
    let machine_with_image = MachineId::from("i-1");
    harness
        .shard
        .machines
        .get_mut(&machine_with_image)
        .unwrap()
        .image_cache
        .use_image("live", 100, 1_000);
    harness.shard.add_job(
        Rc::new(job_array("j-1", 200, Priority::BestEffort, now)),
        5,
        now,
    );
    run_cycles(&mut harness, now, 1);
    assert_eq!(
        placed_tasks(&harness, "j-0"),
        4,
        "all tasks of the service are placed at once"
    );
    let free = harness.shard.machines[&machine_with_image].free().cpus;
    assert_eq!(
        free, 4_000,
        "capacity for one more such service is kept on the machine with its image"
    );
    assert_eq!(
        placed_tasks(&harness, "j-1"),
        16,
        "the remaining capacity is used"
    );
}

/// A job that waits for its dependencies takes no part of its team's guarantee from jobs that can run.
#[test]
fn a_job_blocked_on_dependencies_takes_no_part_of_its_teams_guarantee() {
    use seamfront_core::job::Job;
    use seamfront_core::quota::guaranteed;
    let team = Team {
        name: "t".into(),
        guarantee: Resources::rounded_down(4.0, 0.0, 0.0),
        limit: Resources {
            cpus: 0,
            gpus: 0,
            ram: 0,
        },
    };
    let mut first = Job::new(
        Rc::new(job_array("j-0", 4, Priority::Normal, s(1))),
        5,
        s(1),
    );
    let second = Job::new(
        Rc::new(job_array("j-1", 4, Priority::Normal, s(2))),
        5,
        s(2),
    );
    for (blocked, expected) in [(false, "j-0"), (true, "j-1")] {
        first.blocked = blocked;
        let within_guarantee =
            guaranteed(std::slice::from_ref(&team), [&first, &second].into_iter());
        assert_eq!(
            within_guarantee
                .iter()
                .map(seamfront_core::types::JobId::as_str)
                .collect::<Vec<_>>(),
            [expected]
        );
    }
    assert_eq!((first.unplaced(), second.unplaced()), (0, 4));
}

/// A team's limit admits one more gang, and two are waiting: tasks are preempted only for the first. Capacity that was
/// freed for the second would be filled and freed again for as long as it waits.
#[test]
fn tasks_are_preempted_only_for_gangs_that_their_teams_limit_admits() {
    let now = s(120);
    let machine_sized_job = |id: &str, team: &str, kind, priority| JobSpec {
        kind,
        team: team.into(),
        task_resources: Resources::rounded_up(8.0, 0.0, 1.0),
        ..job_array(id, 1, priority, now)
    };
    let mut harness = ShardHarness::new(4, 0);
    harness.settings.teams[0].limit = Resources::rounded_down(8.0, 0.0, 0.0);
    harness.settings.teams.push(Team {
        name: "u".into(),
        guarantee: Resources::default(),
        limit: Resources::default(),
    });
    for id in ["j-5", "j-6", "j-7", "j-8"] {
        harness.shard.add_job(
            Rc::new(machine_sized_job(
                id,
                "u",
                JobKind::Array,
                Priority::BestEffort,
            )),
            5,
            now,
        );
    }
    run_cycles(&mut harness, now, 1);
    mark_all_ordered(&mut harness);
    for id in ["j-0", "j-1"] {
        harness.shard.add_job(
            Rc::new(machine_sized_job(id, "t", JobKind::Gang, Priority::Urgent)),
            5,
            now,
        );
    }
    for k in 1..4 {
        harness.with(
            now + s(k),
            seamfront_core::shard::Shard::run_scheduling_cycle,
        );
    }
    assert_eq!(tasks_being_stopped(&harness), 1);
}

/// A shard with machines of eight CPUs. Each of `best_effort_jobs` is a best-effort job of team `u` that fills one
/// machine, and team `t` has a limit of two machines. The returned function makes urgent gangs of team `t` with one
/// member per machine.
fn harness_with_limit_of_two_machines(
    machines: usize,
    best_effort_jobs: &[&str],
    now: Micros,
) -> (ShardHarness, impl Fn(&str, u32, Micros) -> JobSpec) {
    let mut harness = ShardHarness::new(machines, 0);
    harness.settings.teams[0].limit = Resources::rounded_down(16.0, 0.0, 0.0);
    harness.settings.teams.push(Team {
        name: "u".into(),
        guarantee: Resources::default(),
        limit: Resources::default(),
    });
    for id in best_effort_jobs {
        let task_resources = Resources::rounded_up(8.0, 0.0, 1.0);
        let best_effort = JobSpec {
            team: "u".into(),
            task_resources,
            ..job_array(id, 1, Priority::BestEffort, now)
        };
        harness.shard.add_job(Rc::new(best_effort), 5, now);
    }
    run_cycles(&mut harness, now, 1);
    mark_all_ordered(&mut harness);
    let gang = |id: &str, tasks, submitted| JobSpec {
        kind: JobKind::Gang,
        task_resources: Resources::rounded_up(8.0, 0.0, 1.0),
        ..job_array(id, tasks, Priority::Urgent, submitted)
    };
    (harness, gang)
}

/// Number of tasks that are being stopped.
fn tasks_being_stopped(harness: &ShardHarness) -> usize {
    harness
        .shard
        .jobs
        .values()
        .flat_map(|j| j.tasks.values())
        .filter(|p| p.stop.is_some())
        .count()
}

/// Marks all placements as recorded and ordered.
fn mark_all_ordered(harness: &mut ShardHarness) {
    for j in harness.shard.jobs.values_mut() {
        j.tasks
            .values_mut()
            .for_each(|p| p.phase = seamfront_core::job::Phase::Ordered);
    }
}

/// Best-effort tasks are being preempted for a starving gang. A smaller gang that would find free capacity at once must
/// not use up the team's limit in the meantime, over and over.
#[test]
fn a_starving_gang_keeps_its_reserved_quota_while_tasks_are_preempted_for_it() {
    let now = s(500);
    let (mut harness, gang) = harness_with_limit_of_two_machines(3, &["j-5", "j-6"], now);
    harness
        .shard
        .add_job(Rc::new(gang("j-0", 2, now - START_DEADLINE)), 5, now);
    harness.shard.add_job(Rc::new(gang("j-1", 1, now)), 5, now);
    harness.with(
        now + s(1),
        seamfront_core::shard::Shard::run_scheduling_cycle,
    );
    assert!(
        tasks_being_stopped(&harness) > 0,
        "no task is preempted for the starving gang"
    );
    assert_eq!(
        (placed_tasks(&harness, "j-0"), placed_tasks(&harness, "j-1")),
        (0, 0)
    );
}

/// While a starving gang waits until its team's limit admits it, best-effort jobs do not fill the capacity that it will
/// need then.
#[test]
fn a_starving_gang_keeps_capacity_reserved_while_it_waits_for_quota() {
    let now = s(500);
    let (mut harness, gang) = harness_with_limit_of_two_machines(3, &[], now);
    harness.shard.add_job(Rc::new(gang("j-1", 1, now)), 5, now);
    harness.with(
        now + s(1),
        seamfront_core::shard::Shard::run_scheduling_cycle,
    );
    mark_all_ordered(&mut harness);
    harness
        .shard
        .add_job(Rc::new(gang("j-0", 2, now - START_DEADLINE)), 5, now);
    let best_effort = JobSpec {
        team: "u".into(),
        ..job_array("j-7", 40, Priority::BestEffort, now)
    };
    harness.shard.add_job(Rc::new(best_effort), 5, now);
    harness.with(
        now + s(2),
        seamfront_core::shard::Shard::run_scheduling_cycle,
    );
    assert_eq!(
        (
            placed_tasks(&harness, "j-1"),
            placed_tasks(&harness, "j-0"),
            placed_tasks(&harness, "j-7")
        ),
        (1, 0, 0)
    );
}
