//! Duties with a single holder: which there are, and with what each of the leader's effects is fenced.
//!
//! Where duties are off, and until every controller knows them, the leader's claim carries renting, returning and moving.
//! Afterwards each has a claim and a token of its own. What they do on the outside is recorded first all the same:
//! `rent/<name>` before the cloud is asked, `share: null` in a machine's record before it is returned.

use crate::types::{Micros, Settings};
use seamfront_lease::settings::{LeaseSettings, StoreLimits};
use seamfront_lease::DutyManager;
use tracing::error;

/// The duty of removing records that outlived their jobs.
pub const GARBAGE_COLLECTION: &str = "cleaning";
/// The leader's claim, which carried all of this before.
pub const LEADER_CLAIM: &str = "leader";
/// The longest that the adapters wait for the state service.
const STORE_ANSWER: Micros = Micros::from_millis(1_500);
/// Duties may use one part in so many of the writes that the store takes.
const WRITES_PART: i64 = 20;

/// What the leader does, by duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FleetDuty {
    /// Renting machines, and taking in those that are listed.
    ScaleOut,
    /// Giving machines up and returning them.
    ScaleIn,
    /// Moving machines between shards.
    Rebalance,
}

impl FleetDuty {
    pub(crate) const ALL: [FleetDuty; 3] = [
        FleetDuty::ScaleOut,
        FleetDuty::ScaleIn,
        FleetDuty::Rebalance,
    ];

    /// Its name in the store.
    pub(crate) fn name(self) -> &'static str {
        match self {
            FleetDuty::ScaleOut => "renting",
            FleetDuty::ScaleIn => "returning",
            FleetDuty::Rebalance => "moving",
        }
    }
}

/// The right to an effect: the key that fences it, its version, and until when the effect may begin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Fence {
    pub(crate) key: String,
    pub(crate) fencing_token: u64,
    /// None: the leader's claim, which sets no time for single effects.
    pub(crate) until: Option<Micros>,
}

/// The lease settings that follow from a controller's own.
pub fn lease_settings(settings: &Settings) -> LeaseSettings {
    let members: Vec<&str> = settings.members.iter().map(String::as_str).collect();
    let limits = StoreLimits {
        value_bytes: settings.value_bytes,
        transaction_changes: settings.txn_ops,
        changes_per_second: (settings.write_rps / WRITES_PART).max(1),
    };
    let fleet = FleetDuty::ALL.map(FleetDuty::name);
    let duties: Vec<&str> = [GARBAGE_COLLECTION].into_iter().chain(fleet).collect();
    let mut lease_settings =
        LeaseSettings::new(&settings.members[settings.me], &members, &duties, limits);
    lease_settings.lease = settings.tuning.claim_ttl;
    lease_settings.store_answer = STORE_ANSWER;
    lease_settings.together = fleet.map(str::to_owned).to_vec();
    lease_settings.former_claim = Some(LEADER_CLAIM.to_owned());
    lease_settings
}

/// None where duties are off.
pub(crate) fn manager(settings: &Settings) -> Option<DutyManager> {
    if !settings.tuning.duties {
        return None;
    }
    match DutyManager::new(lease_settings(settings)) {
        Ok(manager) => Some(manager),
        Err(error) => {
            error!(%error, "duties are off: their settings can't be used");
            None
        }
    }
}
