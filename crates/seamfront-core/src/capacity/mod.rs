//! How many machines of which kind: a pure plan from what the shards tell. Carrying it out is the
//! leader's business.

use crate::boot_times::BootTimes;
use crate::machine::MachineRecord;
use crate::port::{MachineView, ResourceRequest};
use crate::types::{MachineId, MachineType, Micros, Priority, Resources, Tuning};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

mod planner;
mod provisioning;

/// `rent/<name>`: written before the cloud is asked, so that a successor repeats the same request
/// under the same name instead of renting twice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProvisioningRecord {
    /// The shard that the machines are for.
    #[serde(rename = "share")]
    pub shard: usize,
    /// Machine type.
    pub kind: String,
    /// Zone.
    pub zone: String,
    /// Whether spot machines are asked for.
    pub spot: bool,
    /// How many.
    pub count: u32,
}

/// Type, zone and spot or not: what the cloud may be asked for.
pub type Offer = (String, String, bool);

/// A machine as the plan sees it.
pub struct Supply<'a> {
    /// Name.
    pub id: &'a MachineId,
    /// The shard that owns it.
    pub shard: usize,
    /// Its record in the state service.
    pub record: &'a MachineRecord,
    /// What it has in all.
    pub size: Resources,
    /// What its owner last told of it.
    pub view: Option<&'a MachineView>,
    /// Since it was assigned to its shard.
    pub age: Micros,
}

impl Supply<'_> {
    fn up(&self) -> bool {
        self.view.is_some_and(|v| v.up && !v.bad && !v.leaving)
    }
    fn bad(&self) -> bool {
        self.view.is_some_and(|v| v.bad)
    }
    fn reserved_for_gang(&self) -> bool {
        self.view.is_some_and(|v| v.reserved_for_gang)
    }
    fn idle(&self) -> Option<Micros> {
        self.view.and_then(|v| v.idle)
    }
}

/// All that a plan is made from.
pub struct ClusterSnapshot<'a> {
    /// The time of the plan.
    pub now: Micros,
    /// What waits, with the shard in which it does.
    pub requests: Vec<(usize, &'a ResourceRequest)>,
    /// All machines that are assigned to a shard.
    pub machines: Vec<Supply<'a>>,
    /// Rentals that are under way.
    pub provisionings: Vec<&'a ProvisioningRecord>,
    /// Machine types on offer.
    pub types: &'a [MachineType],
    /// Offers that the cloud has refused: until when, and how often in a row.
    pub unavailable_offers: &'a BTreeMap<Offer, (Micros, u32)>,
    /// Operators' settings.
    pub tuning: &'a Tuning,
    /// How long machines take until they are up.
    pub boot_times: &'a BootTimes,
    /// Machines that are being cleared for another shard.
    pub draining: &'a BTreeMap<MachineId, (usize, Micros)>,
}

/// What the leader should do now.
#[derive(Debug, Default)]
pub struct Plan {
    /// Machines to be moved, with the shard that they go to.
    pub moves: Vec<(MachineId, usize)>,
    /// Machines to be returned.
    pub terminations: Vec<MachineId>,
    /// To be cleared of lesser work than that of this priority, for this shard.
    pub drains: Vec<(MachineId, usize, Priority)>,
    /// Rentals to be begun.
    pub provisionings: Vec<ProvisioningRecord>,
}

/// A machine that costs less than this part of the costliest that is offered is cheap: work does not
/// wait for it, and it is kept longer. (What the fleet spends says nothing: a large one spends so much
/// that every machine would be cheap.)
const CHEAP_PART: i64 = 5;
const CHEAP_FACTOR: i64 = 4;

/// Makes a plan; the same picture gives the same plan.
pub fn plan(snapshot: &ClusterSnapshot) -> Plan {
    let mut planner = planner::Planner::new(snapshot);
    for (shard, request) in planner::in_order(snapshot) {
        planner.satisfy(shard, request);
    }
    planner.scale_in_idle();
    planner.into_plan()
}

/// What an hour of such a machine costs.
pub fn hourly_price(types: &[MachineType], kind: &str, spot: bool) -> i64 {
    types
        .iter()
        .find(|t| t.name == kind)
        .map_or(0, |t| if spot { t.spot_price } else { t.price })
}

fn cheap(types: &[MachineType], price: i64) -> bool {
    types
        .iter()
        .map(|t| t.price)
        .max()
        .is_some_and(|most| price * CHEAP_PART < most)
}
