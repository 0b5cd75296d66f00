//! Stand-in for the cloud, with a ledger of every machine that was ever rented.

use seamfront_lease::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A line of the ledger.
#[derive(Clone, Debug)]
pub struct Machine {
    pub provisioned_at: Micros,
    pub returned: Option<Micros>,
}

#[derive(Default)]
pub struct Cloud {
    pub ledger: BTreeMap<String, Machine>,
    live: BTreeSet<String>,
    orders: BTreeMap<String, Vec<String>>,
    /// Orders that were refused once.
    refused: BTreeSet<String>,
    /// Machines of orders that were refused, then asked for once more by a request that came late.
    pub rented_after_refusal: usize,
    /// Requests that asked for an order that was rented already.
    pub repeated_orders: usize,
    /// Names of machines in returns that were gone already.
    pub repeated_returns: usize,
}

impl Cloud {
    /// Rents machines under a name: once only, whoever repeats it. None: no capacity.
    pub fn provision(
        &mut self,
        now: Micros,
        order: &str,
        count: usize,
        capacity: bool,
    ) -> Option<Vec<String>> {
        if let Some(machines) = self.orders.get(order) {
            self.repeated_orders += 1;
            return Some(machines.clone());
        }
        if !capacity {
            self.refused.insert(order.to_owned());
            return None;
        }
        if self.refused.contains(order) {
            self.rented_after_refusal += count;
        }
        let mut machines = Vec::new();
        for _ in 0..count {
            let name = format!("i-{:06}", self.ledger.len() + 1);
            self.ledger.insert(
                name.clone(),
                Machine {
                    provisioned_at: now,
                    returned: None,
                },
            );
            self.live.insert(name.clone());
            machines.push(name);
        }
        self.orders.insert(order.to_owned(), machines.clone());
        Some(machines)
    }

    /// Machines of an order.
    pub fn machines_of(&self, order: &str) -> Vec<String> {
        self.orders.get(order).cloned().unwrap_or_default()
    }

    /// Returns machines; unknown names are ignored.
    pub fn delete(&mut self, now: Micros, machines: &[String]) {
        for name in machines {
            match self
                .ledger
                .get_mut(name)
                .filter(|machine| machine.returned.is_none())
            {
                Some(machine) => {
                    machine.returned = Some(now);
                    self.live.remove(name);
                }
                None => self.repeated_returns += 1,
            }
        }
    }

    /// Machines as the list showed them at that time.
    pub fn listed(&self, at: Micros) -> Vec<String> {
        let shown = |machine: &Machine| {
            machine.provisioned_at <= at && machine.returned.is_none_or(|returned| returned > at)
        };
        self.ledger
            .iter()
            .filter(|(_, machine)| shown(machine))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Machines that are paid for.
    pub fn live(&self) -> &BTreeSet<String> {
        &self.live
    }
}
