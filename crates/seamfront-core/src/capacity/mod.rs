//! Capacity planning: decides how many machines of which type the cluster should have, and in which shards. A plan is a
//! pure function of a [`ClusterSnapshot`]; the leader carries it out.

use crate::boot_times::BootTimes;
use crate::machine::MachineRecord;
use crate::port::{MachineView, ResourceRequest};
use crate::types::{MachineId, MachineType, Micros, Priority, Resources, Tuning};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

mod demand;
mod planner;
mod provisioning;

/// A provisioning operation, stored at `rent/<name>` before the request is sent to the cloud. A successor can then
/// repeat the request under the same name, and nothing is provisioned twice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProvisioningRecord {
    /// The shard that the machines are for.
    #[serde(rename = "share")]
    pub shard: usize,
    /// Machine type.
    #[serde(rename = "kind")]
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether spot machines are requested.
    pub spot: bool,
    /// Number of machines.
    pub count: u32,
}

/// A kind of machine that the cloud offers: a type in a zone, as spot or ordinary machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offer {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether the machines are spot machines.
    pub spot: bool,
}

/// State of an offer for which the cloud has refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnavailableOffer {
    /// It is not requested again before this time.
    pub until: Micros,
    /// Number of refusals in a row.
    pub refusals: u32,
}

/// The drain of a machine: its less important work is preempted so that the machine can move to another shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draining {
    /// The shard that will get the machine.
    pub shard: usize,
    /// When the holder of the machine's present shard was asked to drain it.
    pub since: Micros,
}

/// A request for resources by pending work of a shard.
#[derive(Clone, Copy, Debug)]
pub struct ShardRequest<'a> {
    /// The shard.
    pub shard: usize,
    /// The request.
    pub request: &'a ResourceRequest,
}

/// A machine that belongs to a shard, with what the planner knows of it.
pub struct Supply<'a> {
    /// The machine.
    pub id: &'a MachineId,
    /// The shard that it is assigned to.
    pub shard: usize,
    /// Its record in the key-value store.
    pub record: &'a MachineRecord,
    /// Its total resources.
    pub size: Resources,
    /// The latest view of it that the holder of its shard has sent, if that is not too old.
    pub view: Option<&'a MachineView>,
    /// Time since it was assigned to its shard.
    pub age: Micros,
}

impl Supply<'_> {
    /// Whether it is reachable, and neither to be replaced nor about to be taken back by the cloud.
    fn usable(&self) -> bool {
        self.view
            .is_some_and(|v| v.reachable && !v.condemned && !v.preemption_notice)
    }

    /// Whether it is to be replaced.
    fn condemned(&self) -> bool {
        self.view.is_some_and(|v| v.condemned)
    }

    /// Whether a pending gang has capacity reserved on it.
    fn reserved_for_gang(&self) -> bool {
        self.view.is_some_and(|v| v.reserved_for_gang)
    }

    /// How long it has been idle, `None` if it is in use.
    fn idle(&self) -> Option<Micros> {
        self.view.and_then(|v| v.idle)
    }
}

/// The complete input of a plan.
pub struct ClusterSnapshot<'a> {
    /// The time of the snapshot.
    pub now: Micros,
    /// Resource requests of all shards.
    pub requests: Vec<ShardRequest<'a>>,
    /// All machines that are assigned to a shard.
    pub machines: Vec<Supply<'a>>,
    /// Provisioning operations in progress.
    pub provisionings: Vec<&'a ProvisioningRecord>,
    /// Machine types on offer.
    pub types: &'a [MachineType],
    /// Offers for which the cloud has refused a request.
    pub unavailable_offers: &'a BTreeMap<Offer, UnavailableOffer>,
    /// Settings made by operators.
    pub tuning: &'a Tuning,
    /// Boot times observed so far, and the machines that are booting.
    pub boot_times: &'a BootTimes,
    /// Machines that are being drained so that they can move to another shard.
    pub draining: &'a BTreeMap<MachineId, Draining>,
}

/// A planned move of an idle or drained machine to another shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MachineMove {
    /// The machine.
    pub machine: MachineId,
    /// The shard that gets the machine.
    pub to: usize,
}

/// A planned drain of a machine for another shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Drain {
    /// The machine.
    pub machine: MachineId,
    /// The shard that gets the machine.
    pub to: usize,
    /// Work with a lower priority than this is preempted.
    pub above: Priority,
}

/// Changes that the leader should make to the cluster now.
#[derive(Debug, Default)]
pub struct Plan {
    /// Machines to move to another shard.
    pub moves: Vec<MachineMove>,
    /// Machines to terminate.
    pub terminations: Vec<MachineId>,
    /// Machines to drain.
    pub drains: Vec<Drain>,
    /// Machines to provision.
    pub provisionings: Vec<ProvisioningRecord>,
}

/// A machine type is cheap if its price times this factor is below the highest price on offer. Cheap machines are
/// provisioned for a smaller backlog and kept longer when idle. The price is not compared with the cost of the whole
/// cluster, since every machine of a large cluster would then be cheap.
const CHEAP_PRICE_DIVISOR: i64 = 5;
/// Factor on the time for which idle machines are kept, if they are cheap.
const CHEAP_IDLE_FACTOR: i64 = 4;

/// Makes a plan. The same snapshot always gives the same plan.
pub fn plan(snapshot: &ClusterSnapshot) -> Plan {
    let mut planner = planner::Planner::new(snapshot);
    for request in planner::requests_in_order(snapshot) {
        planner.serve(request);
    }
    planner.scale_in_idle();
    planner.into_plan()
}

/// Price per hour of a machine of this type, in thousandths of the currency unit. Zero if the type is unknown.
pub fn hourly_price(types: &[MachineType], machine_type: &str, spot: bool) -> i64 {
    types
        .iter()
        .find(|t| t.name == machine_type)
        .map_or(0, |t| t.hourly_price(spot))
}

/// Whether a price is low compared with the most expensive type, see `CHEAP_PRICE_DIVISOR`.
fn is_cheap(types: &[MachineType], price: i64) -> bool {
    types
        .iter()
        .map(|t| t.price)
        .max()
        .is_some_and(|highest| price * CHEAP_PRICE_DIVISOR < highest)
}
