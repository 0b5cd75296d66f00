//! The state machine of a gang: drains, their verdicts and the attempts that members are charged.

use seamfront_core::gang::*;

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
