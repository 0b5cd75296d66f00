//! The single-holder duties of the scheduler, and the fences for their writes and cloud requests.
//!
//! If duties are disabled, and until every controller supports them, the leader's claim covers scale-out, scale-in and
//! rebalancing. Afterwards each duty has its own claim and fencing token. In both cases the intent is recorded before
//! the cloud is called: `rent/<name>` before machines are provisioned, and `share: null` in a machine's record before
//! the machine is terminated.

use crate::types::{Micros, Settings};
use seamfront_lease::keys;
use seamfront_lease::port::{Command as DutyCommand, Effect as DutyEffect};
use seamfront_lease::settings::{LeaseSettings, StoreLimits};
use seamfront_lease::DutyManager;
use tracing::error;

/// Name in the store of the duty that removes leftover records of ended jobs.
pub const GARBAGE_COLLECTION: &str = "cleaning";
/// Key of the leader's claim, which covers the fleet duties while they have no claims of their own.
pub const LEADER_CLAIM: &str = "leader";
/// The longest time that the adapters wait for a reply of the key-value store.
const STORE_REPLY_TIMEOUT: Micros = Micros::from_millis(1_500);
/// The duties' writes may use one part in this many of the store's write rate.
const WRITE_RATE_DIVISOR: i64 = 20;

/// A duty of the leader that concerns the fleet of machines. Each may be held by a different controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FleetDuty {
    /// Provisioning machines, and adopting those that the cloud lists without a record.
    ScaleOut,
    /// Unassigning machines and terminating them.
    ScaleIn,
    /// Moving machines between shards.
    Rebalance,
}

impl FleetDuty {
    /// All fleet duties.
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

/// A value for each fleet duty.
#[derive(Clone, Debug, Default)]
pub(crate) struct PerFleetDuty<T> {
    scale_out: T,
    scale_in: T,
    rebalance: T,
}

impl<T> PerFleetDuty<T> {
    /// Calls `value` for each duty, in the order of [`FleetDuty::ALL`].
    pub(crate) fn from_fn(mut value: impl FnMut(FleetDuty) -> T) -> Self {
        PerFleetDuty {
            scale_out: value(FleetDuty::ScaleOut),
            scale_in: value(FleetDuty::ScaleIn),
            rebalance: value(FleetDuty::Rebalance),
        }
    }

    /// The value of a duty.
    pub(crate) fn get(&self, duty: FleetDuty) -> &T {
        match duty {
            FleetDuty::ScaleOut => &self.scale_out,
            FleetDuty::ScaleIn => &self.scale_in,
            FleetDuty::Rebalance => &self.rebalance,
        }
    }
}

/// The fence of a duty's writes: they are conditional on the version of the claim, so they fail once the claim has
/// changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Fence {
    /// The key of the claim.
    pub(crate) key: String,
    /// The version of the claim under which the duty is held.
    pub(crate) fencing_token: u64,
}

/// The right to begin an effect outside of the store now, such as a request to the cloud.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EffectPermit {
    /// The effect must begin before this time. None under the leader's claim, which sets no bound for single effects.
    pub(crate) until: Option<Micros>,
}

/// The lease settings derived from a controller's settings.
pub fn lease_settings(settings: &Settings) -> LeaseSettings {
    let members: Vec<&str> = settings.members.iter().map(String::as_str).collect();
    let limits = StoreLimits {
        value_bytes: settings.value_bytes,
        transaction_changes: settings.max_txn_changes,
        changes_per_second: (settings.write_rps / WRITE_RATE_DIVISOR).max(1),
    };
    let fleet = FleetDuty::ALL.map(FleetDuty::name);
    let duties: Vec<&str> = [GARBAGE_COLLECTION].into_iter().chain(fleet).collect();
    let mut lease_settings = LeaseSettings::new(
        &settings.members[settings.member_index],
        &members,
        &duties,
        limits,
    );
    lease_settings.lease = settings.tuning.claim_ttl;
    lease_settings.store_answer = STORE_REPLY_TIMEOUT;
    lease_settings.affinity_group = fleet.map(str::to_owned).to_vec();
    lease_settings.former_claim = Some(LEADER_CLAIM.to_owned());
    lease_settings
}

/// The duties of this controller.
pub(crate) struct Duties {
    /// None if duties are disabled.
    manager: Option<DutyManager>,
}

impl Duties {
    /// The duties of a controller that has just started.
    pub(crate) fn new(settings: &Settings) -> Duties {
        Duties {
            manager: new_manager(settings),
        }
    }

    /// Whether duties are enabled.
    pub(crate) fn enabled(&self) -> bool {
        self.manager.is_some()
    }

    /// Whether the duties have claims of their own, in place of the leader's claim.
    pub(crate) fn claims_active(&self) -> bool {
        self.manager
            .as_ref()
            .is_some_and(DutyManager::duties_have_own_claims)
    }

    /// Applies commands and returns the resulting effects in order.
    pub(crate) fn step(&mut self, now: Micros, commands: Vec<DutyCommand>) -> Vec<DutyEffect> {
        self.manager
            .as_mut()
            .map_or_else(Vec::new, |manager| manager.step(now, commands))
    }

    /// The fencing token of a duty, if this controller may perform it.
    pub(crate) fn fencing_token(&self, duty: &str) -> Option<u64> {
        self.manager.as_ref()?.fencing_token(duty)
    }

    /// Whether this controller may perform any fleet duty.
    pub(crate) fn holds_any_fleet_duty(&self) -> bool {
        FleetDuty::ALL
            .iter()
            .any(|duty| self.fencing_token(duty.name()).is_some())
    }

    /// The fence of a fleet duty that this controller holds.
    pub(crate) fn fence(&self, duty: FleetDuty) -> Option<Fence> {
        let fencing_token = self.fencing_token(duty.name())?;
        let key = keys::claim(duty.name());
        Some(Fence { key, fencing_token })
    }

    /// The permit to begin an effect of a fleet duty now, if there is one. Requests a new verification of the duty's
    /// claim if the last one is too old.
    pub(crate) fn effect_permit(&mut self, duty: FleetDuty) -> Option<EffectPermit> {
        self.fencing_token(duty.name())?;
        let manager = self.manager.as_mut()?;
        manager.request_verification(duty.name());
        let permit = manager.permit(duty.name())?;
        Some(EffectPermit {
            until: Some(permit.until),
        })
    }

    /// Indices of the members that hold any fleet duty, in ascending order.
    pub(crate) fn fleet_holders(&self, members: &[String]) -> Vec<usize> {
        let Some(manager) = &self.manager else {
            return Vec::new();
        };
        let mut holders: Vec<usize> = FleetDuty::ALL
            .iter()
            .filter_map(|duty| manager.holder(duty.name()))
            .filter_map(|name| members.iter().position(|member| member == name))
            .collect();
        holders.sort_unstable();
        holders.dedup();
        holders
    }
}

/// Creates the duty manager; None if duties are disabled.
fn new_manager(settings: &Settings) -> Option<DutyManager> {
    if !settings.tuning.duties {
        return None;
    }
    match DutyManager::new(lease_settings(settings)) {
        Ok(manager) => Some(manager),
        Err(error) => {
            error!(%error, "duties are disabled: their lease settings are invalid");
            None
        }
    }
}
