//! The drain state machine by itself.

use seamfront_core::gang::*;

fn run(g: &mut Gang) {
    g.reserve_all();
    for i in 0..g.members.len() as u32 {
        g.mark_pending(i);
        g.mark_running(i);
    }
}

fn drain(g: &mut Gang, trigger: Option<u32>) -> DrainOutcome {
    assert!(g.drain(trigger));
    assert_eq!(g.complete(3), None, "verdict while members may run");
    for i in 0..g.members.len() as u32 {
        g.mark_preempted(i);
    }
    g.complete(3).expect("all are gone")
}

/// The post's own trace: refunding everybody would retry for ever, refunding at the end too.
#[test]
fn three_failures_of_one_member_fail_the_gang() {
    let mut g = Gang::new(3);
    for (round, attempts) in [(0, [1, 0, 0]), (1, [2, 0, 0])] {
        run(&mut g);
        assert_eq!(
            drain(&mut g, Some(0)),
            DrainOutcome::Blocked,
            "round {round}"
        );
        assert_eq!(g.attempts, attempts);
    }
    run(&mut g);
    assert_eq!(drain(&mut g, Some(0)), DrainOutcome::Failed);
    g.readmit();
    assert!(g.admissible());
}

#[test]
fn preemption_charges_nobody_however_often() {
    let mut g = Gang::new(2);
    for n in 1..20 {
        assert_eq!(g.epoch, n, "one epoch a round");
        run(&mut g);
        assert_eq!(drain(&mut g, None), DrainOutcome::Blocked);
        assert_eq!(g.attempts, [0, 0]);
    }
}

/// Failures spread over members do not add up: only one member's own count decides.
#[test]
fn alternating_triggers_reach_the_limit_on_their_own_count() {
    let mut g = Gang::new(2);
    for k in 0..4 {
        run(&mut g);
        assert_eq!(drain(&mut g, Some(k % 2)), DrainOutcome::Blocked);
    }
    run(&mut g);
    assert_eq!(drain(&mut g, Some(0)), DrainOutcome::Failed);
}

#[test]
fn reserved_members_have_nothing_to_stop_but_pending_ones_may() {
    let mut g = Gang::new(3);
    g.reserve_all();
    g.mark_pending(1);
    g.mark_pending(2);
    g.mark_running(2);
    g.drain(Some(2));
    assert_eq!(
        g.members,
        [Member::Blocked, Member::Preempting, Member::Preempting]
    );
    assert!(
        !g.drain(Some(1)),
        "a second failure joins the drain under way"
    );
    g.mark_preempted(2);
    assert_eq!(g.complete(3), None);
    g.mark_preempted(1);
    assert_eq!(g.complete(3), Some(DrainOutcome::Blocked));
}

#[test]
fn a_failed_member_decides_even_with_tries_left() {
    let mut g = Gang::new(2);
    run(&mut g);
    g.drain(None);
    g.mark_preempted(0);
    g.members[1] = Member::Failed;
    assert_eq!(g.complete(3), Some(DrainOutcome::Failed));
}
