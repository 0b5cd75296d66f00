//! Amounts of CPUs, accelerators and memory.

use serde::{Deserialize, Serialize};

/// Resources that a task needs or a machine has. They are counted in thousandths, so that sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a CPU.
    #[serde(rename = "c")]
    pub cpus: i64,
    /// Thousandths of an accelerator.
    #[serde(rename = "g")]
    pub gpus: i64,
    /// Thousandths of a GB of memory.
    #[serde(rename = "r")]
    pub ram: i64,
}

impl Resources {
    /// Converts what a task needs, rounding up: a task must never be counted smaller than it is.
    pub fn rounded_up(cpus: f64, gpus: f64, ram: f64) -> Resources {
        let up = |x: f64| (x * 1e3 - 1e-6).ceil() as i64;
        Resources {
            cpus: up(cpus),
            gpus: up(gpus),
            ram: up(ram),
        }
    }

    /// Converts what a machine or a quota offers, rounding down: neither must ever be counted larger than it is.
    pub fn rounded_down(cpus: f64, gpus: f64, ram: f64) -> Resources {
        let down = |x: f64| (x * 1e3 + 1e-6).floor() as i64;
        Resources {
            cpus: down(cpus),
            gpus: down(gpus),
            ram: down(ram),
        }
    }

    /// Adds `o`.
    pub fn add(&mut self, o: Resources) {
        self.cpus += o.cpus;
        self.gpus += o.gpus;
        self.ram += o.ram;
    }

    /// Subtracts `o`; the result may be negative.
    pub fn sub(&mut self, o: Resources) {
        self.cpus -= o.cpus;
        self.gpus -= o.gpus;
        self.ram -= o.ram;
    }

    /// The resources of `n` tasks of this size.
    pub fn times(self, n: i64) -> Resources {
        Resources {
            cpus: self.cpus * n,
            gpus: self.gpus * n,
            ram: self.ram * n,
        }
    }

    /// How many tasks of size `task` fit into this capacity; `i64::MAX` if they need nothing.
    pub fn fits(self, task: Resources) -> i64 {
        let fitting = |available: i64, needed: i64| {
            if needed <= 0 {
                i64::MAX
            } else {
                available.max(0) / needed
            }
        };
        fitting(self.cpus, task.cpus)
            .min(fitting(self.gpus, task.gpus))
            .min(fitting(self.ram, task.ram))
    }
}
