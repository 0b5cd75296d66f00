//! The coordinated drain of a gang, after "Gang Preemption in Workron". This module is only the
//! state machine; placements, orders and records are the share's.
//!
//! A gang is admitted whole. When a member fails, is preempted or must move, all members that may
//! have a process go to `Preempting` and get stop orders until they are known to be gone; the
//! epoch rises, and since it is also the attempt number, nothing of an older round can be taken
//! for the new one. Siblings get their attempt refunded when the drain starts, the trigger keeps
//! its own. Once nothing runs, a strict verdict decides.

use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Member {
    Blocked,
    /// Chosen in this round; the record that allows it is not written yet, so nothing was ordered.
    Reserved,
    /// May be ordered to start. Unlike in the post this may have a process: replies get lost.
    Pending,
    /// Its worker has shown it.
    Running,
    Preempting,
    /// Known to be gone in this drain.
    Preempted,
    Done,
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Blocked,
    Failed,
}

#[derive(Clone, Debug)]
pub struct Gang {
    pub epoch: u64,
    pub draining: bool,
    pub members: Vec<Member>,
    pub attempts: Vec<u32>,
}

impl Gang {
    pub fn new(size: u32) -> Gang {
        Gang {
            epoch: 1,
            draining: false,
            members: vec![Member::Blocked; size as usize],
            attempts: vec![0; size as usize],
        }
    }

    /// Only a gang that is blocked as a whole may be admitted.
    pub fn admissible(&self) -> bool {
        !self.draining && self.members.iter().all(|m| *m == Member::Blocked)
    }

    pub fn reserve_all(&mut self) {
        debug_assert!(self.admissible());
        self.members.fill(Member::Reserved);
    }

    /// The record that allows it is written: it may be ordered from now on.
    pub fn recorded(&mut self, i: u32) {
        let m = &mut self.members[i as usize];
        if *m == Member::Reserved {
            *m = Member::Pending;
        }
    }

    /// Its worker shows it: the claim that counts as an attempt.
    pub fn claimed(&mut self, i: u32) {
        let i = i as usize;
        if matches!(self.members[i], Member::Pending | Member::Reserved) {
            self.members[i] = Member::Running;
            self.attempts[i] += 1;
        }
    }

    /// Starts a drain. `trigger` is the member whose failure caused it; nobody's where the gang is
    /// stopped for others' sake. Returns false if one is under way already.
    pub fn drain(&mut self, trigger: Option<u32>) -> bool {
        if self.draining {
            return false;
        }
        self.draining = true;
        self.epoch += 1;
        for (i, m) in self.members.iter_mut().enumerate() {
            match *m {
                Member::Running => {
                    if trigger != Some(i as u32) && self.attempts[i] > 0 {
                        self.attempts[i] -= 1;
                    }
                    *m = Member::Preempting;
                }
                Member::Pending => {
                    // Failed before its worker ever showed it: the failure still counts.
                    if trigger == Some(i as u32) {
                        self.attempts[i] += 1;
                    }
                    *m = Member::Preempting;
                }
                Member::Reserved => *m = Member::Blocked,
                _ => {}
            }
        }
        true
    }

    /// The member is certainly on no machine any more.
    pub fn gone(&mut self, i: u32) {
        let m = &mut self.members[i as usize];
        if *m == Member::Preempting {
            *m = Member::Preempted;
        }
    }

    /// In this protocol one member's completion is the gang's: a recorded success, not a failure.
    pub fn all_done(&mut self) {
        self.draining = false;
        self.members.fill(Member::Done);
    }

    /// The strict verdict, given once nothing runs.
    pub fn complete(&mut self, retry_limit: u32) -> Option<Verdict> {
        let busy = |m: &Member| matches!(m, Member::Running | Member::Pending | Member::Preempting);
        if !self.draining || self.members.iter().any(busy) {
            return None;
        }
        self.draining = false;
        let spent = self.attempts.iter().any(|a| *a >= retry_limit);
        let ended = self.members.iter().any(|m| matches!(m, Member::Done | Member::Failed));
        if spent || ended {
            self.members.fill(Member::Failed);
            return Some(Verdict::Failed);
        }
        self.members.fill(Member::Blocked);
        Some(Verdict::Blocked)
    }

    /// A failed gang was accepted and must run some day: after its pause it starts anew.
    pub fn readmit(&mut self) {
        self.members.fill(Member::Blocked);
        self.attempts.fill(0);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn run(g: &mut Gang) {
        g.reserve_all();
        for i in 0..g.members.len() as u32 {
            g.recorded(i);
            g.claimed(i);
        }
    }

    fn drain(g: &mut Gang, trigger: Option<u32>) -> Verdict {
        assert!(g.drain(trigger));
        assert_eq!(g.complete(3), None, "verdict while members may run");
        for i in 0..g.members.len() as u32 {
            g.gone(i);
        }
        g.complete(3).expect("all are gone")
    }

    /// The post's own trace: refunding everybody would retry for ever, refunding at the end too.
    #[test]
    fn three_failures_of_one_member_fail_the_gang() {
        let mut g = Gang::new(3);
        for (round, attempts) in [(0, [1, 0, 0]), (1, [2, 0, 0])] {
            run(&mut g);
            assert_eq!(drain(&mut g, Some(0)), Verdict::Blocked, "round {round}");
            assert_eq!(g.attempts, attempts);
        }
        run(&mut g);
        assert_eq!(drain(&mut g, Some(0)), Verdict::Failed);
        g.readmit();
        assert!(g.admissible());
    }

    #[test]
    fn preemption_charges_nobody_however_often() {
        let mut g = Gang::new(2);
        for n in 1..20 {
            assert_eq!(g.epoch, n, "one epoch a round");
            run(&mut g);
            assert_eq!(drain(&mut g, None), Verdict::Blocked);
            assert_eq!(g.attempts, [0, 0]);
        }
    }

    /// Failures spread over members do not add up: only one member's own count decides.
    #[test]
    fn alternating_triggers_reach_the_limit_on_their_own_count() {
        let mut g = Gang::new(2);
        for k in 0..4 {
            run(&mut g);
            assert_eq!(drain(&mut g, Some(k % 2)), Verdict::Blocked);
        }
        run(&mut g);
        assert_eq!(drain(&mut g, Some(0)), Verdict::Failed);
    }

    #[test]
    fn reserved_members_have_nothing_to_stop_but_pending_ones_may() {
        let mut g = Gang::new(3);
        g.reserve_all();
        g.recorded(1);
        g.recorded(2);
        g.claimed(2);
        g.drain(Some(2));
        assert_eq!(g.members, [Member::Blocked, Member::Preempting, Member::Preempting]);
        assert!(!g.drain(Some(1)), "a second failure joins the drain under way");
        g.gone(2);
        assert_eq!(g.complete(3), None);
        g.gone(1);
        assert_eq!(g.complete(3), Some(Verdict::Blocked));
    }

    #[test]
    fn a_failed_member_decides_even_with_tries_left() {
        let mut g = Gang::new(2);
        run(&mut g);
        g.drain(None);
        g.gone(0);
        g.members[1] = Member::Failed;
        assert_eq!(g.complete(3), Some(Verdict::Failed));
    }
}
