//! Boot times of machines, as the leader has recently observed them.
//!
//! The cloud states a usual boot time for each type. Some machines take several times as long, a few never come up but
//! are still charged, and at times all boots are much faster or slower. Late machines are therefore detected by the
//! observed boot times. A machine that is not up is presumed failed only if one that was provisioned later is up: while
//! no machine boots, replacing machines would only restart their boots.

use crate::types::{MachineId, Micros};
use std::collections::{BTreeMap, VecDeque};

/// Number of recent boots that are kept for each type.
const RECENT_BOOTS: usize = 16;
/// Added to expected boot times for the cloud's reply, the write of the machine's record and its first heartbeats.
const BOOT_TIME_MARGIN: Micros = Micros::from_secs(5);

/// Observed boots of one machine type.
#[derive(Clone, Debug, Default)]
struct TypeBootTimes {
    /// Durations of the most recent boots, the newest last.
    recent: VecDeque<Micros>,
    /// The latest time at which a machine that has come up was provisioned.
    latest_provisioned: Micros,
}

/// A machine that was provisioned and is not yet known to be up.
#[derive(Clone, Debug)]
struct Booting {
    machine_type: String,
    provisioned_at: Micros,
}

/// Boots observed by this leader, and the machines that are booting.
#[derive(Clone, Debug, Default)]
pub struct BootTimes {
    kinds: BTreeMap<String, TypeBootTimes>,
    booting: BTreeMap<MachineId, Booting>,
}

impl BootTimes {
    /// Records that a machine was provisioned, unless it is known already.
    pub fn provisioned(&mut self, id: MachineId, machine_type: &str, now: Micros) {
        self.booting.entry(id).or_insert_with(|| Booting {
            machine_type: machine_type.to_owned(),
            provisioned_at: now,
        });
    }

    /// Records the boot times of the booting machines that are up now.
    pub fn record_boots(&mut self, now: Micros, up: impl Fn(&MachineId) -> bool) {
        let kinds = &mut self.kinds;
        self.booting.retain(|id, booting| {
            if !up(id) {
                return true;
            }
            let observed = kinds.entry(booting.machine_type.clone()).or_default();
            observed.latest_provisioned = observed.latest_provisioned.max(booting.provisioned_at);
            observed.recent.push_back(now - booting.provisioned_at);
            if observed.recent.len() > RECENT_BOOTS {
                observed.recent.pop_front();
            }
            false
        });
    }

    /// Drops booting machines that no longer exist.
    pub fn retain(&mut self, keep: impl Fn(&MachineId) -> bool) {
        self.booting.retain(|id, _| keep(id));
    }

    /// The boot time that seven in eight of the recent boots did not exceed: the slowest few are outliers.
    fn slow_boot_time(&self, machine_type: &str) -> Option<Micros> {
        let mut recent: Vec<Micros> = self
            .kinds
            .get(machine_type)?
            .recent
            .iter()
            .copied()
            .collect();
        recent.sort_unstable();
        recent.get(recent.len().saturating_sub(1) * 7 / 8).copied()
    }

    /// The time after which a booting machine is late, so that plans no longer count on it. It is never less than one
    /// and a half times the usual boot time, since a period of fast boots may end at any time.
    pub fn late_after(&self, machine_type: &str, usual: Micros) -> Micros {
        match self.slow_boot_time(machine_type) {
            Some(slow) => slow.max(usual).times(3).divided_by(2) + BOOT_TIME_MARGIN,
            None => usual.times(2) + BOOT_TIME_MARGIN.times(2),
        }
    }

    /// Whether a machine has probably failed: it takes more than twice the time of recent slow boots, and a machine of
    /// its type that was provisioned later is up.
    pub fn presumed_failed(&self, id: &MachineId, usual: Micros, now: Micros) -> bool {
        let Some(booting) = self.booting.get(id) else {
            return false;
        };
        let (Some(slow), Some(observed)) = (
            self.slow_boot_time(&booting.machine_type),
            self.kinds.get(&booting.machine_type),
        ) else {
            return false;
        };
        now - booting.provisioned_at > slow.max(usual).times(2) + BOOT_TIME_MARGIN
            && observed.latest_provisioned > booting.provisioned_at
    }
}
