//! Gang scheduling: the state machine for the coordinated drain of a gang, after the article "Gang Preemption in
//! Workron". Placements, orders and records are kept by the shard.
//!
//! A gang is admitted as a whole. When a member fails, is preempted or has to move, the gang is drained: all members
//! that may have a process become `Preempting` and get stop orders until they are known to be gone. The epoch rises
//! with each drain. It is also the attempt number, so that messages about an older attempt can't be mistaken for the
//! new one. A member whose failure triggered the drain is charged an attempt; the others get theirs back when the drain
//! starts. Once no member runs, the gang either may be admitted again or has failed, see [`DrainOutcome`].

use serde::{Deserialize, Serialize};

/// State of a gang's member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Member {
    /// Not placed.
    Blocked,
    /// Placed, but the record that lists the placement is not stored yet, so no order was sent.
    Reserved,
    /// May be ordered to start. Unlike in the article, it may already have a process, since the agent's reply can be
    /// lost.
    Pending,
    /// Reported by the agent of its machine.
    Running,
    /// Being stopped by a drain.
    Preempting,
    /// Known to be gone from its machine during a drain.
    Preempted,
    /// Its work is complete.
    Done,
    /// The gang has failed and was not readmitted yet.
    Failed,
}

/// Result of a completed drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainOutcome {
    /// The gang may be admitted again.
    Blocked,
    /// The gang has failed: a member has used up its attempts, or has ended.
    Failed,
}

/// The state of a gang's members, and of its drain.
#[derive(Clone, Debug)]
pub struct Gang {
    /// Number of the current attempt of all members, raised by each drain.
    pub epoch: u64,
    /// Whether a drain is in progress.
    pub draining: bool,
    /// State of each member, by task number.
    pub members: Vec<Member>,
    /// Attempts that each member has used up, by task number.
    pub attempts: Vec<u32>,
}

impl Gang {
    /// A gang of `size` members, none of them placed.
    pub fn new(size: u32) -> Gang {
        Gang {
            epoch: 1,
            draining: false,
            members: vec![Member::Blocked; size as usize],
            attempts: vec![0; size as usize],
        }
    }

    /// Whether the gang may be admitted: no drain is in progress and all members are blocked.
    pub fn admissible(&self) -> bool {
        !self.draining && self.members.iter().all(|m| *m == Member::Blocked)
    }

    /// Marks all members as reserved. The gang must be admissible.
    pub fn reserve_all(&mut self) {
        debug_assert!(self.admissible());
        self.members.fill(Member::Reserved);
    }

    /// The record that lists the member's placement is stored: the member may be ordered to start.
    pub fn mark_pending(&mut self, index: u32) {
        let member = &mut self.members[index as usize];
        if *member == Member::Reserved {
            *member = Member::Pending;
        }
    }

    /// The agent has reported the member, which uses up an attempt.
    pub fn mark_running(&mut self, index: u32) {
        let i = index as usize;
        if matches!(self.members[i], Member::Pending | Member::Reserved) {
            self.members[i] = Member::Running;
            self.attempts[i] += 1;
        }
    }

    /// Attempts that members have used up before their current start, by task number, without those that have used none.
    /// A member that is running has been charged for its current start; whoever adopts the gang charges it again when
    /// the agent reports the member.
    pub fn charged_attempts(&self) -> impl Iterator<Item = (u32, u32)> + '_ {
        let charged = self.members.iter().zip(&self.attempts).map(|(member, n)| {
            let current = u32::from(*member == Member::Running);
            n.saturating_sub(current)
        });
        (0..).zip(charged).filter(|(_, attempts)| *attempts > 0)
    }

    /// Starts a drain. `trigger` is the member whose failure caused it, or `None` if the gang is evicted for other
    /// work. Returns false if a drain is in progress already.
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
                    // It failed before its agent reported it; the failure counts all the same.
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

    /// The member is known to be gone from its machine.
    pub fn mark_preempted(&mut self, index: u32) {
        let member = &mut self.members[index as usize];
        if *member == Member::Preempting {
            *member = Member::Preempted;
        }
    }

    /// Marks all members as done. In this protocol, the completion of one member completes the whole gang; it is not a
    /// failure of the others.
    pub fn mark_all_done(&mut self) {
        self.draining = false;
        self.members.fill(Member::Done);
    }

    /// Completes the drain, unless a member may still run. The gang has failed if any member has used up `retry_limit`
    /// attempts or has ended. Returns `None` if no drain was completed.
    pub fn complete(&mut self, retry_limit: u32) -> Option<DrainOutcome> {
        let may_run =
            |m: &Member| matches!(m, Member::Running | Member::Pending | Member::Preempting);
        if !self.draining || self.members.iter().any(may_run) {
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
            return Some(DrainOutcome::Failed);
        }
        self.members.fill(Member::Blocked);
        Some(DrainOutcome::Blocked)
    }

    /// Makes a failed gang admissible again, with all attempts restored, because every accepted job must run.
    pub fn readmit(&mut self) {
        self.members.fill(Member::Blocked);
        self.attempts.fill(0);
    }
}
