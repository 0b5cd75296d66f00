//! Gang scheduling: the coordinated drain of a gang, after "Gang Preemption in Workron". This module is only the
//! state machine; placements, orders and records are the shard's.
//!
//! A gang is admitted whole. When a member fails, is preempted or must move, all members that may
//! have a process go to `Preempting` and get stop orders until they are known to be gone; the
//! epoch rises, and since it is also the attempt number, nothing of an older round can be taken
//! for the new one. Siblings get their attempt refunded when the drain starts, the trigger keeps
//! its own. Once nothing runs, a strict verdict decides.

use serde::{Deserialize, Serialize};

/// State of a gang's member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Member {
    /// Not placed.
    Blocked,
    /// Placed in this cycle; the record that allows it is not written yet, so nothing was ordered.
    Reserved,
    /// May be ordered to start. Unlike in the article it may have a process: replies get lost.
    Pending,
    /// Its worker has shown it.
    Running,
    /// Being stopped.
    Preempting,
    /// Known to be gone in this drain.
    Preempted,
    /// Its work is complete.
    Done,
    /// The gang has failed; it waits until it is readmitted.
    Failed,
}

/// The result of a gang's drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be admitted again.
    Blocked,
    /// A member has used up its attempts, or has ended.
    Failed,
}

/// A gang's drain state.
#[derive(Clone, Debug)]
pub struct Gang {
    /// Rises with each drain; also the attempt number of all members.
    pub epoch: u64,
    /// Whether a drain is under way.
    pub draining: bool,
    /// State of each member.
    pub members: Vec<Member>,
    /// Attempts that each member has used up.
    pub attempts: Vec<u32>,
}

impl Gang {
    /// A gang of that size, none of it placed.
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

    /// Reserves places for all members at once.
    pub fn reserve_all(&mut self) {
        debug_assert!(self.admissible());
        self.members.fill(Member::Reserved);
    }

    /// The record that allows the member is written: it may be ordered to start.
    pub fn recorded(&mut self, i: u32) {
        let m = &mut self.members[i as usize];
        if *m == Member::Reserved {
            *m = Member::Pending;
        }
    }

    /// The worker shows the member: this counts as an attempt.
    pub fn claimed(&mut self, i: u32) {
        let i = i as usize;
        if matches!(self.members[i], Member::Pending | Member::Reserved) {
            self.members[i] = Member::Running;
            self.attempts[i] += 1;
        }
    }

    /// Starts a drain. `trigger` is the member whose failure caused it; none where the gang is
    /// evicted for other work. Returns false if one is under way already.
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

    /// Completes the drain once no member runs: the gang has failed if any member has used up its attempts or ended.
    pub fn complete(&mut self, retry_limit: u32) -> Option<Verdict> {
        let busy = |m: &Member| matches!(m, Member::Running | Member::Pending | Member::Preempting);
        if !self.draining || self.members.iter().any(busy) {
            return None;
        }
        self.draining = false;
        let exhausted = self.attempts.iter().any(|a| *a >= retry_limit);
        let ended = self
            .members
            .iter()
            .any(|m| matches!(m, Member::Done | Member::Failed));
        if exhausted || ended {
            self.members.fill(Member::Failed);
            return Some(Verdict::Failed);
        }
        self.members.fill(Member::Blocked);
        Some(Verdict::Blocked)
    }

    /// Admits a failed gang again with all attempts: every accepted job must run.
    pub fn readmit(&mut self) {
        self.members.fill(Member::Blocked);
        self.attempts.fill(0);
    }
}
