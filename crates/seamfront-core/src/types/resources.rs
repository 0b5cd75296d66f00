//! Amounts of resources.

use serde::{Deserialize, Serialize};

/// Resources that a task needs or a machine has, in thousandths so that sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a CPU.
    #[serde(rename = "c")]
    pub cpus: i64,
    /// Thousandths of an accelerator.
    #[serde(rename = "g")]
    pub gpus: i64,
    /// Thousandths of a GB.
    #[serde(rename = "r")]
    pub ram: i64,
}

impl Resources {
    /// Rounds up: a task must never be counted smaller than it is.
    pub fn needed(cpus: f64, gpus: f64, ram: f64) -> Resources {
        let up = |x: f64| (x * 1e3 - 1e-6).ceil() as i64;
        Resources {
            cpus: up(cpus),
            gpus: up(gpus),
            ram: up(ram),
        }
    }

    /// Rounds down: a machine or a limit must never be counted larger than it is.
    pub fn offered(cpus: f64, gpus: f64, ram: f64) -> Resources {
        let down = |x: f64| (x * 1e3 + 1e-6).floor() as i64;
        Resources {
            cpus: down(cpus),
            gpus: down(gpus),
            ram: down(ram),
        }
    }

    /// Adds.
    pub fn add(&mut self, o: Resources) {
        self.cpus += o.cpus;
        self.gpus += o.gpus;
        self.ram += o.ram;
    }

    /// Subtracts; may go below zero.
    pub fn sub(&mut self, o: Resources) {
        self.cpus -= o.cpus;
        self.gpus -= o.gpus;
        self.ram -= o.ram;
    }

    /// The resources of `n` such tasks.
    pub fn times(self, n: i64) -> Resources {
        Resources {
            cpus: self.cpus * n,
            gpus: self.gpus * n,
            ram: self.ram * n,
        }
    }

    /// How many tasks of size `task` fit into this free capacity.
    pub fn fits(self, task: Resources) -> i64 {
        let part = |have: i64, want: i64| {
            if want <= 0 {
                i64::MAX
            } else {
                have.max(0) / want
            }
        };
        part(self.cpus, task.cpus)
            .min(part(self.gpus, task.gpus))
            .min(part(self.ram, task.ram))
    }
}
