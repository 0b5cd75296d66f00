//! Balancing: which member should hold which duty. Pure functions of what all members see.

use std::cmp::Reverse;
use std::collections::BTreeMap;

/// What counts for one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberLoad {
    /// Its name.
    pub member: String,
    /// Duties that it holds.
    pub duties: u64,
    /// How busy it is besides, in percent.
    pub load: u64,
}

/// What holding one duty counts, in percent of load.
const DUTY_SCORE: u64 = 100;
/// Load beyond this does not count.
const LOAD_MAX: u64 = 100;

impl MemberLoad {
    fn score(&self) -> u64 {
        self.duties * DUTY_SCORE + self.load.min(LOAD_MAX)
    }
}

/// A member's rank for a free duty: the least loaded first, different duties in different order.
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

/// Who should hold the duties of an affinity group: whoever holds most of them, the first by name among equals. None:
/// nobody holds any.
pub fn group_holder<'a>(holders: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let counts = count_by_holder(holders);
    let (holder, _) = counts
        .into_iter()
        .max_by_key(|(member, count)| (*count, Reverse(*member)))?;
    Some(holder)
}

/// The member that a duty should go to, if its holder has clearly more load. Moving one and moving it back can't both
/// be right: the receiver must remain below what the holder has left.
pub fn receiver<'a>(holder: &str, members: &'a [MemberLoad]) -> Option<&'a str> {
    let own = members.iter().find(|m| m.member == holder)?;
    if own.duties == 0 {
        return None;
    }
    let others = members.iter().filter(|m| m.member != holder);
    let least = others.min_by_key(|m| (m.score(), m.member.clone()))?;
    (least.score() + 2 * DUTY_SCORE <= own.score()).then_some(least.member.as_str())
}

/// How many duties each member holds.
pub fn count_by_holder<'a>(holders: impl Iterator<Item = &'a str>) -> BTreeMap<&'a str, u64> {
    let mut counts = BTreeMap::new();
    for holder in holders {
        *counts.entry(holder).or_default() += 1;
    }
    counts
}

/// The same at every member and in every version, so that all agree on the order.
fn hash(duty: &str, member: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let bytes = duty.bytes().chain([0]).chain(member.bytes());
    bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
