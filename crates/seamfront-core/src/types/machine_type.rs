//! Machine types on offer, and which jobs may use them.

use super::{Micros, Resources};
use serde::{Deserialize, Serialize};

/// A machine type on offer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name.
    pub name: String,
    /// Resources of such a machine.
    pub size: Resources,
    /// Capacity of the image cache, in MB.
    pub cache_mb: i64,
    /// Rate of fetching images, in MB a second.
    pub fetch_mb_s: i64,
    /// Thousandths of the currency unit per hour.
    pub price: i64,
    /// Price of a spot machine.
    pub spot_price: i64,
    /// Usual boot time.
    pub boot: Micros,
    /// Zones that offer it.
    pub zones: Vec<String>,
}

impl MachineType {
    /// Price of an hour, in thousandths of the currency unit.
    pub fn hourly_price(&self, spot: bool) -> i64 {
        if spot {
            self.spot_price
        } else {
            self.price
        }
    }
}

/// Whether tasks of this size may use machines of `size`, as [`JobSpec::suits`](super::JobSpec::suits) decides it.
/// `allowed` are the job's machine types.
pub fn suits(
    task_resources: Resources,
    allowed: Option<&[String]>,
    size: Resources,
    types: &[MachineType],
) -> bool {
    let plain = |t: &MachineType| {
        t.size.gpus == 0
            && t.size.fits(task_resources) > 0
            && allowed.is_none_or(|a| a.contains(&t.name))
    };
    task_resources.gpus > 0 || size.gpus == 0 || !types.iter().any(plain)
}
