//! The state machine of a gang: drains, their verdicts and the attempts that members are charged.

use seamfront_core::gang::*;
use seamfront_core::job::Job;
use seamfront_core::record::TaskRun;
use seamfront_core::types::{JobKind, JobSpec};
use seamfront_testing::shard_harness::{job, s};
use std::rc::Rc;

fn run_all_members(gang: &mut Gang) {
    gang.reserve_all();
    for i in 0..gang.members.len() as u32 {
        gang.mark_pending(i);
        gang.mark_running(i);
    }
}

fn drain_completely(gang: &mut Gang, trigger: Option<u32>) -> DrainOutcome {
    assert!(gang.drain(trigger));
    assert_eq!(
        gang.complete(3),
        None,
        "verdict while members may still run"
    );
    for i in 0..gang.members.len() as u32 {
        gang.mark_preempted(i);
    }
    gang.complete(3).expect("all members are gone")
}

/// The example of the article "Gang Preemption in Workron". The gang would be retried forever if the triggering member
/// got its attempt back too, or if attempts were given back only at the end of the drain.
#[test]
fn three_failures_of_one_member_fail_the_gang() {
    let mut gang = Gang::new(3);
    for (round, attempts) in [(0, [1, 0, 0]), (1, [2, 0, 0])] {
        run_all_members(&mut gang);
        assert_eq!(
            drain_completely(&mut gang, Some(0)),
            DrainOutcome::Blocked,
            "round {round}"
        );
        assert_eq!(gang.attempts, attempts);
    }
    run_all_members(&mut gang);
    assert_eq!(drain_completely(&mut gang, Some(0)), DrainOutcome::Failed);
    gang.readmit();
    assert!(gang.admissible());
}

#[test]
fn preemption_never_uses_up_attempts() {
    let mut gang = Gang::new(2);
    for n in 1..20 {
        assert_eq!(gang.epoch, n, "each drain raises the epoch by one");
        run_all_members(&mut gang);
        assert_eq!(drain_completely(&mut gang, None), DrainOutcome::Blocked);
        assert_eq!(gang.attempts, [0, 0]);
    }
}

/// Failures of different members do not add up.
#[test]
fn retry_limit_applies_to_each_member_separately() {
    let mut gang = Gang::new(2);
    for k in 0..4 {
        run_all_members(&mut gang);
        assert_eq!(
            drain_completely(&mut gang, Some(k % 2)),
            DrainOutcome::Blocked
        );
    }
    run_all_members(&mut gang);
    assert_eq!(drain_completely(&mut gang, Some(0)), DrainOutcome::Failed);
}

#[test]
fn drain_stops_pending_and_running_members_but_not_reserved_ones() {
    let mut gang = Gang::new(3);
    gang.reserve_all();
    gang.mark_pending(1);
    gang.mark_pending(2);
    gang.mark_running(2);
    gang.drain(Some(2));
    assert_eq!(
        gang.members,
        [Member::Blocked, Member::Preempting, Member::Preempting]
    );
    assert!(
        !gang.drain(Some(1)),
        "a second failure joins the drain in progress"
    );
    gang.mark_preempted(2);
    assert_eq!(gang.complete(3), None);
    gang.mark_preempted(1);
    assert_eq!(gang.complete(3), Some(DrainOutcome::Blocked));
}

#[test]
fn failed_member_fails_the_gang_despite_remaining_attempts() {
    let mut gang = Gang::new(2);
    run_all_members(&mut gang);
    gang.drain(None);
    gang.mark_preempted(0);
    gang.members[1] = Member::Failed;
    assert_eq!(gang.complete(3), Some(DrainOutcome::Failed));
}

/// Guards against attempts that failovers use up: a running member's current start was recorded as an attempt, and
/// charged again when its agent reported the member to the next holder. After a few failovers a gang that nobody had
/// failed was considered failed, and its record had an entry for each member.
#[test]
fn failovers_of_a_running_gang_use_up_no_attempts() {
    let spec = Rc::new(JobSpec {
        kind: JobKind::Gang,
        ..(*job("j-1", 3)).clone()
    });
    let mut holder = Job::new(spec.clone(), 5, s(90));
    let placed = (0..3).map(|k| {
        (
            format!("i-{k}").as_str().into(),
            vec![TaskRun::new(k, k + 1, 1)],
        )
    });
    let mut record = holder.to_record();
    record.placed = placed.collect();
    for version in 6..12 {
        holder = Job::new(spec.clone(), 5, s(100));
        holder.adopt(record, version, 0, s(100));
        let gang = holder.gang.as_mut().expect("the job is a gang");
        (0..3).for_each(|index| gang.mark_running(index));
        record = holder.to_record();
        assert_eq!(record.attempts, []);
    }
    let gang = holder.gang.as_mut().expect("the job is a gang");
    assert_eq!(drain_completely(gang, None), DrainOutcome::Blocked);
}
