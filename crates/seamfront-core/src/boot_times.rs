//! How long machines take until they are up, as the leader has seen it lately.
//!
//! The cloud states a usual boot time for each type. Some machines take several times as long, a few never come up
//! and are charged all the same, and at times all boots are much faster or slower. What is late is judged by the boots
//! seen, and one that never came up is given up only if others that were rented after it are up: when nothing boots,
//! giving machines up would only mean to begin again.

use crate::types::{MachineId, Micros};
use std::collections::{BTreeMap, VecDeque};

/// Boots of a type that are remembered.
const KEPT: usize = 16;
/// Added to what is expected, for the cloud's answer, the machine's record and its first reports.
const SLACK: Micros = Micros::from_secs(5);

/// What is known of one type.
#[derive(Clone, Debug, Default)]
struct TypeBootTimes {
    /// How long the last ones took.
    recent: VecDeque<Micros>,
    /// When the latest rented of those that are up was rented.
    newest_up: Micros,
}

/// A machine that was rented and is not known to be up.
#[derive(Clone, Debug)]
struct Booting {
    kind: String,
    since: Micros,
}

/// Boots seen by a leader, and the machines whose boot it waits for.
#[derive(Clone, Debug, Default)]
pub struct BootTimes {
    kinds: BTreeMap<String, TypeBootTimes>,
    waiting: BTreeMap<MachineId, Booting>,
}

impl BootTimes {
    /// A machine was rented.
    pub fn provisioned(&mut self, id: MachineId, kind: &str, now: Micros) {
        self.waiting.entry(id).or_insert_with(|| Booting {
            kind: kind.to_owned(),
            since: now,
        });
    }

    /// Takes in which of the machines that are waited for are up.
    pub fn record_boots(&mut self, now: Micros, up: impl Fn(&MachineId) -> bool) {
        let kinds = &mut self.kinds;
        self.waiting.retain(|id, booting| {
            if !up(id) {
                return true;
            }
            let known = kinds.entry(booting.kind.clone()).or_default();
            known.newest_up = known.newest_up.max(booting.since);
            known.recent.push_back(now - booting.since);
            if known.recent.len() > KEPT {
                known.recent.pop_front();
            }
            false
        });
    }

    /// Forgets machines that are gone.
    pub fn retain(&mut self, keep: impl Fn(&MachineId) -> bool) {
        self.waiting.retain(|id, _| keep(id));
    }

    /// A slow boot as they are now; the few slowest tell nothing of the others.
    fn slow(&self, kind: &str) -> Option<Micros> {
        let mut recent: Vec<Micros> = self.kinds.get(kind)?.recent.iter().copied().collect();
        recent.sort_unstable();
        recent.get(recent.len().saturating_sub(1) * 7 / 8).copied()
    }

    /// A machine that is not up after this time is late: work does not count on it any more.
    /// Never less than half as long again as usual: fast boots end without notice.
    pub fn late_after(&self, kind: &str, usual: Micros) -> Micros {
        match self.slow(kind) {
            Some(slow) => slow.max(usual).times(3).over(2) + SLACK,
            None => usual.times(2) + SLACK.times(2),
        }
    }

    /// Whether a machine will hardly come up any more: it takes twice as long as slow ones lately, and one that
    /// was rented after it is up.
    pub fn presumed_failed(&self, id: &MachineId, usual: Micros, now: Micros) -> bool {
        let Some(booting) = self.waiting.get(id) else {
            return false;
        };
        let (Some(slow), Some(known)) = (self.slow(&booting.kind), self.kinds.get(&booting.kind))
        else {
            return false;
        };
        now - booting.since > slow.max(usual).times(2) + SLACK && known.newest_up > booting.since
    }
}
