//! Who gets room in a round, and who keeps it. One share in the hand.

// Reports are sent elsewhere.

use seamfront_core::types::*;
use seamfront_testing::shard_harness::{heartbeat, job, s, ShardHarness, CLAIM};
use std::rc::Rc;

/// An array of tasks that take one of a machine's eight processors each.
fn array(id: &str, tasks: u32, priority: Priority, submitted: Micros) -> JobSpec {
    JobSpec {
        priority,
        submitted,
        ..(*job(id, tasks)).clone()
    }
}

/// Machines that have shown our token, and jobs that wait; then one round.
fn after_a_round(machines: usize, now: Micros, jobs: Vec<JobSpec>) -> ShardHarness {
    let mut h = ShardHarness::new(machines, 0);
    for spec in jobs {
        h.shard.add_job(Rc::new(spec), 5, now);
    }
    rounds(&mut h, now, 1);
    h
}

fn rounds(h: &mut ShardHarness, now: Micros, n: i64) {
    for k in 0..n {
        let now = now + Micros::from_millis(600).times(k);
        for m in 0..h.shard.machines.len() {
            h.heartbeat(
                now,
                &heartbeat(&format!("i-{m}"), 1, 100 + now.0 as u64, CLAIM, &[]),
            );
        }
        h.with(now, seamfront_core::shard::Shard::run_scheduling_cycle);
    }
}

fn placed(h: &ShardHarness, id: &str) -> usize {
    h.shard.jobs[&JobId::from(id)].tasks.len()
}

/// By age alone all that ask for more than their team's limit leaves would be late together. Arrays take
/// what there is, and gangs that lack machines hold what they find: these go by time.
#[test]
fn of_gangs_over_their_teams_limit_the_smallest_goes_first() {
    for (kind, limit, late, expected) in [
        (JobKind::Gang, 8.0, false, (0, 2)),
        (JobKind::Gang, 8.0, true, (8, 0)),
        (JobKind::Gang, 0.0, false, (8, 0)),
        (JobKind::Array, 8.0, false, (8, 0)),
    ] {
        let mut small = JobSpec {
            kind,
            ..array("j-1", 2, Priority::Normal, s(110))
        };
        // The time by which it should have been done has passed: it waits for what can be in time.
        small.deadline = late.then(|| s(5));
        let large = JobSpec {
            kind,
            ..array("j-0", 8, Priority::Normal, s(100))
        };
        let mut h = ShardHarness::new(1, 0);
        h.settings.teams[0].limit = Resources::rounded_down(limit, 0.0, 0.0);
        for spec in [large, small] {
            h.shard.add_job(Rc::new(spec), 5, s(120));
        }
        rounds(&mut h, s(120), 1);
        assert_eq!(
            (placed(&h, "j-0"), placed(&h, "j-1")),
            expected,
            "{kind:?}, {limit}, {late}"
        );
    }
}

/// An ordinary job that has its turn goes before an urgent one; what comes after it must not take its place
/// away again, round after round.
#[test]
fn what_began_by_its_turn_is_not_stopped_by_what_comes_after_it() {
    let now = s(400);
    let mut old = array("j-0", 1, Priority::Normal, now - START_DEADLINE);
    old.task_resources = Resources::rounded_up(8.0, 0.0, 1.0);
    let urgent = JobSpec {
        id: "j-1".into(),
        priority: Priority::Urgent,
        submitted: now,
        ..old.clone()
    };
    let mut h = after_a_round(1, now, vec![old, urgent]);
    rounds(&mut h, now + s(1), 3);
    assert_eq!((placed(&h, "j-0"), placed(&h, "j-1")), (1, 0));
    let job = &h.shard.jobs[&JobId::from("j-0")];
    assert!(
        job.tasks
            .values()
            .all(|p| p.stop.is_none() && p.attempt == 1),
        "it was stopped and placed anew"
    );
}

/// An urgent gang that has its turn is beyond its team's guarantee, and one of the same priority that comes after it
/// lies within another team's: it may not reclaim the place that the first would be given again in the next round.
#[test]
fn what_began_by_its_turn_is_not_reclaimed_for_a_guarantee() {
    let now = s(400);
    let gang = |id: &str, team: &str, submitted| JobSpec {
        kind: JobKind::Gang,
        team: team.into(),
        task_resources: Resources::rounded_up(8.0, 0.0, 1.0),
        ..array(id, 1, Priority::Urgent, submitted)
    };
    let mut h = ShardHarness::new(1, 0);
    let guarantee = Resources::rounded_down(16.0, 0.0, 0.0);
    h.settings.teams.push(Team {
        name: "u".into(),
        guarantee,
        limit: Resources::default(),
    });
    for spec in [
        gang("j-0", "t", now - START_DEADLINE),
        gang("j-1", "u", now),
    ] {
        h.shard.add_job(Rc::new(spec), 5, now);
    }
    rounds(&mut h, now, 4);
    assert_eq!((placed(&h, "j-0"), placed(&h, "j-1")), (1, 0));
    assert_eq!(
        h.shard.jobs[&JobId::from("j-0")]
            .gang
            .as_ref()
            .unwrap()
            .epoch,
        1,
        "it was stopped and placed anew"
    );
}

/// A fetch takes longer than a live service may wait.
#[test]
fn room_for_live_services_is_kept_where_their_images_are() {
    let now = s(120);
    let mut h = ShardHarness::new(3, 0);
    let live = JobSpec {
        kind: JobKind::Service,
        priority: Priority::Critical,
        image: "live".into(),
        ..(*job("j-0", 4)).clone()
    };
    h.shard.add_job(Rc::new(live), 5, now);
    let busy = MachineId::from("i-1");
    h.shard
        .machines
        .get_mut(&busy)
        .unwrap()
        .image_cache
        .use_image("live", 100, 1_000);
    h.shard.add_job(
        Rc::new(array("j-1", 200, Priority::BestEffort, now)),
        5,
        now,
    );
    rounds(&mut h, now, 1);
    assert_eq!(placed(&h, "j-0"), 4, "it starts at once");
    let free = h.shard.machines[&busy].free().cpus;
    assert_eq!(
        free, 4_000,
        "room for one more like it is left where its image is"
    );
    assert_eq!(placed(&h, "j-1"), 16, "and the rest is used");
}

/// What waits for other jobs takes no part of its team's guarantee from those that can run.
#[test]
fn a_waiting_job_holds_no_part_of_a_guarantee() {
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
    let mut first = Job::new(Rc::new(array("j-0", 4, Priority::Normal, s(1))), 5, s(1));
    let second = Job::new(Rc::new(array("j-1", 4, Priority::Normal, s(2))), 5, s(2));
    for (blocked, inside) in [(false, "j-0"), (true, "j-1")] {
        first.blocked = blocked;
        let found = guaranteed(std::slice::from_ref(&team), [&first, &second].into_iter());
        assert_eq!(
            found
                .iter()
                .map(seamfront_core::types::JobId::as_str)
                .collect::<Vec<_>>(),
            [inside]
        );
    }
    assert_eq!((first.unplaced(), second.unplaced()), (0, 4));
}

/// A team may run one more gang, and two wait: only the first has lesser work stopped. Room that was freed for the
/// other would be filled again, and be freed again, for as long as it waits.
#[test]
fn lesser_work_is_stopped_only_for_what_the_limit_lets_run() {
    let now = s(120);
    let whole = |id: &str, team: &str, kind, priority| JobSpec {
        kind,
        team: team.into(),
        task_resources: Resources::rounded_up(8.0, 0.0, 1.0),
        ..array(id, 1, priority, now)
    };
    let mut h = ShardHarness::new(4, 0);
    h.settings.teams[0].limit = Resources::rounded_down(8.0, 0.0, 0.0);
    h.settings.teams.push(Team {
        name: "u".into(),
        guarantee: Resources::default(),
        limit: Resources::default(),
    });
    for id in ["j-5", "j-6", "j-7", "j-8"] {
        h.shard.add_job(
            Rc::new(whole(id, "u", JobKind::Array, Priority::BestEffort)),
            5,
            now,
        );
    }
    rounds(&mut h, now, 1);
    order_all(&mut h);
    for id in ["j-0", "j-1"] {
        h.shard.add_job(
            Rc::new(whole(id, "t", JobKind::Gang, Priority::Urgent)),
            5,
            now,
        );
    }
    for k in 1..4 {
        h.with(
            now + s(k),
            seamfront_core::shard::Shard::run_scheduling_cycle,
        );
    }
    assert_eq!(stopped(&h), 1);
}

/// Machines of eight processors with their tasks of best effort ordered there, and room for two such tasks under the
/// limit of the team whose gangs take a machine a member.
fn held_with_limit_for_two(
    machines: usize,
    busy: &[&str],
    now: Micros,
) -> (ShardHarness, impl Fn(&str, u32, Micros) -> JobSpec) {
    let mut h = ShardHarness::new(machines, 0);
    h.settings.teams[0].limit = Resources::rounded_down(16.0, 0.0, 0.0);
    h.settings.teams.push(Team {
        name: "u".into(),
        guarantee: Resources::default(),
        limit: Resources::default(),
    });
    for id in busy {
        let task_resources = Resources::rounded_up(8.0, 0.0, 1.0);
        let lesser = JobSpec {
            team: "u".into(),
            task_resources,
            ..array(id, 1, Priority::BestEffort, now)
        };
        h.shard.add_job(Rc::new(lesser), 5, now);
    }
    rounds(&mut h, now, 1);
    order_all(&mut h);
    let gang = |id: &str, tasks, submitted| JobSpec {
        kind: JobKind::Gang,
        task_resources: Resources::rounded_up(8.0, 0.0, 1.0),
        ..array(id, tasks, Priority::Urgent, submitted)
    };
    (h, gang)
}

/// Tasks that are being stopped.
fn stopped(h: &ShardHarness) -> usize {
    h.shard
        .jobs
        .values()
        .flat_map(|j| j.tasks.values())
        .filter(|p| p.stop.is_some())
        .count()
}

/// The records of all placements are written.
fn order_all(h: &mut ShardHarness) {
    for j in h.shard.jobs.values_mut() {
        j.tasks
            .values_mut()
            .for_each(|p| p.phase = seamfront_core::job::Phase::Ordered);
    }
}

/// Lesser work is being stopped for an overdue gang: a smaller one that finds free room at once must not use up the
/// limit meanwhile, again and again.
#[test]
fn an_overdue_gang_keeps_its_part_of_the_limit_while_room_is_freed_for_it() {
    let now = s(500);
    let (mut h, gang) = held_with_limit_for_two(3, &["j-5", "j-6"], now);
    h.shard
        .add_job(Rc::new(gang("j-0", 2, now - START_DEADLINE)), 5, now);
    h.shard.add_job(Rc::new(gang("j-1", 1, now)), 5, now);
    h.with(
        now + s(1),
        seamfront_core::shard::Shard::run_scheduling_cycle,
    );
    assert!(stopped(&h) > 0, "room is being freed");
    assert_eq!((placed(&h, "j-0"), placed(&h, "j-1")), (0, 0));
}

/// While an overdue gang waits for its part of the limit, lesser work does not fill the room that it will need then.
#[test]
fn an_overdue_gang_holds_room_while_it_waits_for_the_limit() {
    let now = s(500);
    let (mut h, gang) = held_with_limit_for_two(3, &[], now);
    h.shard.add_job(Rc::new(gang("j-1", 1, now)), 5, now);
    h.with(
        now + s(1),
        seamfront_core::shard::Shard::run_scheduling_cycle,
    );
    order_all(&mut h);
    h.shard
        .add_job(Rc::new(gang("j-0", 2, now - START_DEADLINE)), 5, now);
    let lesser = JobSpec {
        team: "u".into(),
        ..array("j-7", 40, Priority::BestEffort, now)
    };
    h.shard.add_job(Rc::new(lesser), 5, now);
    h.with(
        now + s(2),
        seamfront_core::shard::Shard::run_scheduling_cycle,
    );
    assert_eq!(
        (placed(&h, "j-1"), placed(&h, "j-0"), placed(&h, "j-7")),
        (1, 0, 0)
    );
}
