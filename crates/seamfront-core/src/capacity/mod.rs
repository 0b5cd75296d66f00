//! How many machines of which kind: a pure plan from what the shards tell. Carrying it out is the
//! leader's business.

use crate::boots::Boots;
use crate::fleet::MachineRecord;
use crate::port::{MachineView, Need};
use crate::types::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

mod planner;
mod renting;

/// `rent/<name>`: written before the cloud is asked, so that a successor repeats the same request
/// under the same name instead of renting twice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RentRecord {
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
    pub size: Amounts,
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
    fn gathered(&self) -> bool {
        self.view.is_some_and(|v| v.gathered)
    }
    fn idle(&self) -> Option<Micros> {
        self.view.and_then(|v| v.idle)
    }
}

/// All that a plan is made from.
pub struct Picture<'a> {
    /// The time of the plan.
    pub now: Micros,
    /// What waits, with the shard in which it does.
    pub needs: Vec<(usize, &'a Need)>,
    /// All machines that are assigned to a shard.
    pub machines: Vec<Supply<'a>>,
    /// Rentals that are under way.
    pub rents: Vec<&'a RentRecord>,
    /// Machine types on offer.
    pub types: &'a [MachineType],
    /// Offers that the cloud has refused: until when, and how often in a row.
    pub refused: &'a BTreeMap<Offer, (Micros, u32)>,
    /// Operators' settings.
    pub tuning: &'a Tuning,
    /// How long machines take until they are up.
    pub boots: &'a Boots,
    /// Machines that are being cleared for another shard.
    pub clearing: &'a BTreeMap<MachineId, (usize, Micros)>,
}

/// What the leader should do now.
#[derive(Debug, Default)]
pub struct Plan {
    /// Machines to be moved, with the shard that they go to.
    pub moves: Vec<(MachineId, usize)>,
    /// Machines to be returned.
    pub returns: Vec<MachineId>,
    /// To be cleared of lesser work than that of this priority, for this shard.
    pub clear: Vec<(MachineId, usize, Priority)>,
    /// Rentals to be begun.
    pub rents: Vec<RentRecord>,
}

/// A machine that costs less than this part of the costliest that is offered is cheap: work does not
/// wait for it, and it is kept longer. (What the fleet spends says nothing: a large one spends so much
/// that every machine would be cheap.)
const CHEAP_PART: i64 = 5;
const CHEAP_FACTOR: i64 = 4;

/// Makes a plan; the same picture gives the same plan.
pub fn plan(picture: &Picture) -> Plan {
    let mut planner = planner::Planner::new(picture);
    for (shard, need) in planner::in_order(picture) {
        planner.serve(shard, need);
    }
    planner.return_spare();
    planner.into_plan()
}

/// What an hour of such a machine costs.
pub fn price_of(types: &[MachineType], kind: &str, spot: bool) -> i64 {
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
