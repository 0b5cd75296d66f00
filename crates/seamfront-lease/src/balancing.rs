//! Decides which member should hold which duty. The functions are pure and depend only on state that all members see.

use std::cmp::Reverse;
use std::collections::BTreeMap;

/// The load of a member, by which members are compared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberLoad {
    /// The member's name.
    pub member: String,
    /// Number of duties that it holds.
    pub duties: u64,
    /// Its load from other work, in percent.
    pub load: u64,
}

/// Score of one held duty, in percent of load.
const DUTY_SCORE: u64 = 100;
/// Load above this is ignored.
const LOAD_MAX_PERCENT: u64 = 100;

impl MemberLoad {
    fn score(&self) -> u64 {
        self.duties * DUTY_SCORE + self.load.min(LOAD_MAX_PERCENT)
    }
}

/// A member's rank among the candidates for a free duty, 0 being the first to claim it. The least loaded come first;
/// equally loaded members are ordered by a hash, which differs from duty to duty so that free duties spread over the
/// members. A member that is not in the list ranks last.
pub fn rank(duty: &str, member: &str, members: &[MemberLoad]) -> usize {
    let Some(own) = members.iter().find(|m| m.member == member) else {
        return members.len();
    };
    let own_key = (own.score(), hash(duty, member));
    members
        .iter()
        .filter(|m| (m.score(), hash(duty, &m.member)) < own_key)
        .count()
}

/// The member that should hold all duties of an affinity group, given the holder of each: the one that holds most of
/// them, and the first by name of several. None if the group has no holder.
pub fn group_holder<'a>(holders: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let counts = count_by_holder(holders);
    let (holder, _) = counts
        .into_iter()
        .max_by_key(|(member, count)| (*count, Reverse(*member)))?;
    Some(holder)
}

/// The member that one of the holder's duties should be transferred to, if the holder's load is clearly higher. After
/// the transfer the target's score must not exceed the holder's, so that transferring the duty back is never due as
/// well.
pub fn rebalance_target<'a>(holder: &str, members: &'a [MemberLoad]) -> Option<&'a str> {
    let own = members.iter().find(|m| m.member == holder)?;
    if own.duties == 0 {
        return None;
    }
    let others = members.iter().filter(|m| m.member != holder);
    let least = others.min_by_key(|m| (m.score(), m.member.clone()))?;
    (least.score() + 2 * DUTY_SCORE <= own.score()).then_some(least.member.as_str())
}

/// Number of duties that each member holds.
pub fn count_by_holder<'a>(holders: impl Iterator<Item = &'a str>) -> BTreeMap<&'a str, u64> {
    let mut counts = BTreeMap::new();
    for holder in holders {
        *counts.entry(holder).or_default() += 1;
    }
    counts
}

/// FNV-1a hash. It must stay the same in all versions, so that all members agree on the order.
fn hash(duty: &str, member: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let bytes = duty.bytes().chain([0]).chain(member.bytes());
    bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
