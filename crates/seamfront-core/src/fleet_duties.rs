//! Duties with a single holder: which there are, and what fences each of the leader's effects.
//!
//! Where duties are off, and until every controller supports them, the leader's claim covers scaling out, scaling in and
//! rebalancing. Afterwards each duty has a claim and a fencing token of its own. Their effects on the outside are
//! recorded first in either case: `rent/<name>` before the cloud is asked to provision, `share: null` in a machine's
//! record before the machine is terminated.

use crate::types::{Micros, Settings};
use seamfront_lease::keys;
use seamfront_lease::port::{Command as DutyCommand, Effect as DutyEffect};
use seamfront_lease::settings::{LeaseSettings, StoreLimits};
use seamfront_lease::DutyManager;
use tracing::error;

/// Name of the duty of removing records that outlived their jobs.
pub const GARBAGE_COLLECTION: &str = "cleaning";
/// Key of the leader's claim, which covers the fleet's duties where these have no claims of their own.
pub const LEADER_CLAIM: &str = "leader";
/// The longest time that the adapters wait for the state service.
const STORE_REPLY_TIMEOUT: Micros = Micros::from_millis(1_500);
/// Duties may use this fraction (one in so many) of the writes that the store takes.
const WRITE_RATE_DIVISOR: i64 = 20;

/// A duty of the fleet: what the leader does, in parts that may each be held by another controller.
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
    /// All of them.
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

/// A value for each of the fleet's duties.
#[derive(Clone, Debug, Default)]
pub(crate) struct PerFleetDuty<T> {
    scale_out: T,
    scale_in: T,
    rebalance: T,
}

impl<T> PerFleetDuty<T> {
    /// The values that `value` gives, in the order of [`FleetDuty::ALL`].
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

/// What fences a duty's writes: they fail once the key has another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Fence {
    /// The key of the claim.
    pub(crate) key: String,
    /// Its version under which the duty is held.
    pub(crate) fencing_token: u64,
}

/// The right to act on the outside now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EffectPermit {
    /// The effect must begin before this time. None under the leader's claim, which bounds no single effects.
    pub(crate) until: Option<Micros>,
}

/// The lease settings that follow from a controller's own.
pub fn lease_settings(settings: &Settings) -> LeaseSettings {
    let members: Vec<&str> = settings.members.iter().map(String::as_str).collect();
    let limits = StoreLimits {
        value_bytes: settings.value_bytes,
        transaction_changes: settings.txn_ops,
        changes_per_second: (settings.write_rps / WRITE_RATE_DIVISOR).max(1),
    };
    let fleet = FleetDuty::ALL.map(FleetDuty::name);
    let duties: Vec<&str> = [GARBAGE_COLLECTION].into_iter().chain(fleet).collect();
    let mut lease_settings =
        LeaseSettings::new(&settings.members[settings.me], &members, &duties, limits);
    lease_settings.lease = settings.tuning.claim_ttl;
    lease_settings.store_answer = STORE_REPLY_TIMEOUT;
    lease_settings.affinity_group = fleet.map(str::to_owned).to_vec();
    lease_settings.former_claim = Some(LEADER_CLAIM.to_owned());
    lease_settings
}

/// The duties of this controller.
pub(crate) struct Duties {
    /// None where duties are off.
    manager: Option<DutyManager>,
}

impl Duties {
    /// The duties of a controller that has just started.
    pub(crate) fn new(settings: &Settings) -> Duties {
        Duties {
            manager: manager(settings),
        }
    }

    /// Whether duties are on.
    pub(crate) fn enabled(&self) -> bool {
        self.manager.is_some()
    }

    /// Whether duties have claims of their own by now.
    pub(crate) fn in_force(&self) -> bool {
        self.manager
            .as_ref()
            .is_some_and(DutyManager::duties_in_force)
    }

    /// Takes in commands and returns the effects, in order.
    pub(crate) fn step(&mut self, now: Micros, commands: Vec<DutyCommand>) -> Vec<DutyEffect> {
        self.manager
            .as_mut()
            .map_or_else(Vec::new, |manager| manager.step(now, commands))
    }

    /// The fencing token of a duty that may be performed here.
    pub(crate) fn fencing_token(&self, duty: &str) -> Option<u64> {
        self.manager.as_ref()?.fencing_token(duty)
    }

    /// Whether any of the fleet's duties may be performed here.
    pub(crate) fn holds_any_of_fleet(&self) -> bool {
        FleetDuty::ALL
            .iter()
            .any(|duty| self.fencing_token(duty.name()).is_some())
    }

    /// What fences a duty of the fleet that is held here.
    pub(crate) fn fence(&self, duty: FleetDuty) -> Option<Fence> {
        let fencing_token = self.fencing_token(duty.name())?;
        let key = keys::claim(duty.name());
        Some(Fence { key, fencing_token })
    }

    /// Whether a duty of the fleet may act on the outside now. Requests a verification of its lease where the last one is
    /// too old.
    pub(crate) fn effect_permit(&mut self, duty: FleetDuty) -> Option<EffectPermit> {
        self.fencing_token(duty.name())?;
        let manager = self.manager.as_mut()?;
        manager.request_verification(duty.name());
        let permit = manager.permit(duty.name())?;
        Some(EffectPermit {
            until: Some(permit.until),
        })
    }

    /// The members that hold any of the fleet's duties, as indices in ascending order.
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

/// The manager of the duties; None where duties are off.
fn manager(settings: &Settings) -> Option<DutyManager> {
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
