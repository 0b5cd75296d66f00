//! How long machines take until they are up, as the leader has observed it lately.
//!
//! The cloud states a usual boot time for each type. Some machines take several times as long, a few never come up and
//! are charged all the same, and at times all boots are much faster or slower. Which machines are late is judged by the
//! boots observed. A machine that never came up is presumed failed only if one that was provisioned after it is up: while
//! nothing boots, replacing machines would only start their boots anew.

use crate::types::{MachineId, Micros};
use std::collections::{BTreeMap, VecDeque};

/// Number of boots of a type that are remembered.
const RECENT_BOOTS: usize = 16;
/// Added to expected boot times, for the cloud's reply, the machine's record and its first heartbeats.
const SLACK: Micros = Micros::from_secs(5);

/// Boots observed of one type.
#[derive(Clone, Debug, Default)]
struct TypeBootTimes {
    /// How long the latest boots took.
    recent: VecDeque<Micros>,
    /// Of the machines that are up, when the one provisioned last was provisioned.
    newest_up_since: Micros,
}

/// A machine that was provisioned and is not known to be up.
#[derive(Clone, Debug)]
struct Booting {
    kind: String,
    since: Micros,
}

/// Boots observed by a leader, and the machines that are booting.
#[derive(Clone, Debug, Default)]
pub struct BootTimes {
    kinds: BTreeMap<String, TypeBootTimes>,
    booting: BTreeMap<MachineId, Booting>,
}

impl BootTimes {
    /// A machine was provisioned.
    pub fn provisioned(&mut self, id: MachineId, kind: &str, now: Micros) {
        self.booting.entry(id).or_insert_with(|| Booting {
            kind: kind.to_owned(),
            since: now,
        });
    }

    /// Records the boots of those booting machines that are up now.
    pub fn record_boots(&mut self, now: Micros, up: impl Fn(&MachineId) -> bool) {
        let kinds = &mut self.kinds;
        self.booting.retain(|id, booting| {
            if !up(id) {
                return true;
            }
            let known = kinds.entry(booting.kind.clone()).or_default();
            known.newest_up_since = known.newest_up_since.max(booting.since);
            known.recent.push_back(now - booting.since);
            if known.recent.len() > RECENT_BOOTS {
                known.recent.pop_front();
            }
            false
        });
    }

    /// Forgets machines that are gone.
    pub fn retain(&mut self, keep: impl Fn(&MachineId) -> bool) {
        self.booting.retain(|id, _| keep(id));
    }

    /// The boot time that seven in eight of the latest boots did not exceed: the few slowest say nothing of the others.
    fn slow_boot(&self, kind: &str) -> Option<Micros> {
        let mut recent: Vec<Micros> = self.kinds.get(kind)?.recent.iter().copied().collect();
        recent.sort_unstable();
        recent.get(recent.len().saturating_sub(1) * 7 / 8).copied()
    }

    /// A machine that is not up after this time is late: plans do not count on it any more. The time is never less than
    /// one and a half times the usual one, since a period of fast boots may end at any time.
    pub fn late_after(&self, kind: &str, usual: Micros) -> Micros {
        match self.slow_boot(kind) {
            Some(slow) => slow.max(usual).times(3).over(2) + SLACK,
            None => usual.times(2) + SLACK.times(2),
        }
    }

    /// Whether a machine has probably failed: it takes twice as long as slow ones lately, and one that was provisioned
    /// after it is up.
    pub fn presumed_failed(&self, id: &MachineId, usual: Micros, now: Micros) -> bool {
        let Some(booting) = self.booting.get(id) else {
            return false;
        };
        let (Some(slow), Some(known)) =
            (self.slow_boot(&booting.kind), self.kinds.get(&booting.kind))
        else {
            return false;
        };
        now - booting.since > slow.max(usual).times(2) + SLACK
            && known.newest_up_since > booting.since
    }
}
