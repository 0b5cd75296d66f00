//! Capacity planning: how many machines of which type the cluster should have, and in which shards.
//!
//! A plan is a pure function of a [`ClusterSnapshot`]; the leader carries it out.

use crate::boot_times::BootTimes;
use crate::machine::MachineRecord;
use crate::port::{MachineView, ResourceRequest};
use crate::types::{MachineId, MachineType, Micros, Priority, Resources, Tuning};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

mod demand;
mod planner;
mod provisioning;

/// Value of `rent/<name>`: written before the cloud is asked, so that a successor repeats the same request under the
/// same name instead of provisioning twice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProvisioningRecord {
    /// The shard that the machines are for.
    #[serde(rename = "share")]
    pub shard: usize,
    /// Machine type.
    pub kind: String,
    /// Zone.
    pub zone: String,
    /// Whether spot machines are requested.
    pub spot: bool,
    /// How many machines.
    pub count: u32,
}

/// What the cloud may be asked to provision.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offer {
    /// Machine type.
    pub kind: String,
    /// Zone.
    pub zone: String,
    /// Whether it is for spot machines.
    pub spot: bool,
}

/// An offer that the cloud has refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnavailableOffer {
    /// Not requested again before this time.
    pub until: Micros,
    /// How often it was refused in a row.
    pub refusals: u32,
}

/// A machine that is being drained of less important work for another shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draining {
    /// The shard that it is for.
    pub shard: usize,
    /// When its owner was asked.
    pub since: Micros,
}

/// Resources that pending work of a shard needs.
#[derive(Clone, Copy, Debug)]
pub struct ShardRequest<'a> {
    /// The shard.
    pub shard: usize,
    /// The resources.
    pub request: &'a ResourceRequest,
}

/// A machine as the plan sees it.
pub struct Supply<'a> {
    /// The machine.
    pub id: &'a MachineId,
    /// The shard that owns it.
    pub shard: usize,
    /// Its record in the state service.
    pub record: &'a MachineRecord,
    /// All of its resources.
    pub size: Resources,
    /// What its shard's owner has last reported of it.
    pub view: Option<&'a MachineView>,
    /// Time since it was assigned to its shard.
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

/// Everything that a plan is made from.
pub struct ClusterSnapshot<'a> {
    /// The time of the plan.
    pub now: Micros,
    /// Requests of all shards.
    pub requests: Vec<ShardRequest<'a>>,
    /// All machines that are assigned to a shard.
    pub machines: Vec<Supply<'a>>,
    /// Provisioning in flight.
    pub provisionings: Vec<&'a ProvisioningRecord>,
    /// Machine types on offer.
    pub types: &'a [MachineType],
    /// Offers that the cloud has refused.
    pub unavailable_offers: &'a BTreeMap<Offer, UnavailableOffer>,
    /// Operators' settings.
    pub tuning: &'a Tuning,
    /// How long machines take until they are up.
    pub boot_times: &'a BootTimes,
    /// Machines that are being drained for another shard.
    pub draining: &'a BTreeMap<MachineId, Draining>,
}

/// An idle machine that is to be moved to another shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The machine.
    pub machine: MachineId,
    /// The shard that it goes to.
    pub to: usize,
}

/// A machine that is to be drained of less important work for another shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Drain {
    /// The machine.
    pub machine: MachineId,
    /// The shard that it is for.
    pub to: usize,
    /// Work of lower priority than this is preempted.
    pub above: Priority,
}

/// What the leader should do now.
#[derive(Debug, Default)]
pub struct Plan {
    /// Machines to be moved.
    pub moves: Vec<Move>,
    /// Machines to be terminated.
    pub terminations: Vec<MachineId>,
    /// Machines to be drained.
    pub drains: Vec<Drain>,
    /// Machines to be provisioned.
    pub provisionings: Vec<ProvisioningRecord>,
}

/// A machine that costs less than this fraction (one in so many) of the costliest type on offer is cheap: less work is
/// left waiting for it, and it is kept idle longer. What the whole cluster spends is no measure: for a large cluster
/// every machine would be cheap.
const CHEAP_PRICE_DIVISOR: i64 = 5;
/// Cheap machines are kept idle this many times as long.
const CHEAP_IDLE_FACTOR: i64 = 4;

/// Makes a plan; the same snapshot gives the same plan.
pub fn plan(snapshot: &ClusterSnapshot) -> Plan {
    let mut planner = planner::Planner::new(snapshot);
    for request in planner::requests_in_order(snapshot) {
        planner.satisfy(request);
    }
    planner.scale_in_idle();
    planner.into_plan()
}

/// Price of an hour of a machine of this type, in thousandths of the currency unit; zero for an unknown type.
pub fn hourly_price(types: &[MachineType], kind: &str, spot: bool) -> i64 {
    types
        .iter()
        .find(|t| t.name == kind)
        .map_or(0, |t| t.hourly_price(spot))
}

fn is_cheap(types: &[MachineType], price: i64) -> bool {
    types
        .iter()
        .map(|t| t.price)
        .max()
        .is_some_and(|highest| price * CHEAP_PRICE_DIVISOR < highest)
}
