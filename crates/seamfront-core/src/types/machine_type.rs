//! Machine types on offer, and the rule for which jobs may use types with accelerators.

use super::{Micros, Resources};
use serde::{Deserialize, Serialize};

/// A machine type on offer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name.
    pub name: String,
    /// All resources of a machine of this type.
    pub size: Resources,
    /// Capacity of the image cache, in MB.
    pub cache_mb: i64,
    /// Rate at which images are fetched, in MB per second.
    pub fetch_mb_s: i64,
    /// Price per hour of a regular machine, in thousandths of the currency unit.
    pub price: i64,
    /// Price per hour of a spot machine, in thousandths of the currency unit.
    pub spot_price: i64,
    /// Typical boot time.
    pub boot: Micros,
    /// Zones that offer it.
    pub zones: Vec<String>,
}

impl MachineType {
    /// Price per hour, in thousandths of the currency unit.
    pub fn hourly_price(&self, spot: bool) -> i64 {
        if spot {
            self.spot_price
        } else {
            self.price
        }
    }
}

/// Whether tasks of this size may use machines of `size`, judged by accelerators alone: see
/// [`JobSpec::accelerators_allowed`](super::JobSpec::accelerators_allowed). `allowed` lists the job's machine types;
/// `None` allows all.
pub fn accelerators_allowed(
    task_resources: Resources,
    allowed: Option<&[String]>,
    size: Resources,
    types: &[MachineType],
) -> bool {
    let suitable_without_accelerators = |t: &MachineType| {
        t.size.gpus == 0
            && t.size.fits(task_resources) > 0
            && allowed.is_none_or(|a| a.contains(&t.name))
    };
    task_resources.gpus > 0 || size.gpus == 0 || !types.iter().any(suitable_without_accelerators)
}
