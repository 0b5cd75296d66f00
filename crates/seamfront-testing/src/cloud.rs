//! In-memory stand-in for the cloud API, with a ledger of every machine that was ever provisioned.

use seamfront_lease::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// When a machine was provisioned and terminated.
#[derive(Clone, Debug)]
pub struct LedgerEntry {
    pub provisioned_at: Micros,
    pub terminated_at: Option<Micros>,
}

#[derive(Default)]
pub struct Cloud {
    /// By machine name; entries are never removed.
    pub ledger: BTreeMap<String, LedgerEntry>,
    live: BTreeSet<String>,
    /// The machines that each provisioning request got, by the name of the request.
    provisioned: BTreeMap<String, Vec<String>>,
    /// Names of the requests that were refused at least once.
    refused: BTreeSet<String>,
    /// Machines provisioned for a request that had been refused before: a delayed copy of it arrived once there was
    /// capacity again.
    pub provisioned_after_refusal: usize,
    /// Requests that repeated one for which machines had been provisioned already.
    pub repeated_provisions: usize,
    /// Machine names in termination requests that were unknown or terminated already.
    pub repeated_terminations: usize,
}

impl Cloud {
    /// Provisions `count` machines under the name of the request. The call is idempotent: a repeated name gets the
    /// machines of the first request. Returns `None` if there is no capacity.
    pub fn provision(
        &mut self,
        now: Micros,
        request: &str,
        count: usize,
        has_capacity: bool,
    ) -> Option<Vec<String>> {
        if let Some(machines) = self.provisioned.get(request) {
            self.repeated_provisions += 1;
            return Some(machines.clone());
        }
        if !has_capacity {
            self.refused.insert(request.to_owned());
            return None;
        }
        if self.refused.contains(request) {
            self.provisioned_after_refusal += count;
        }
        let mut machines = Vec::new();
        for _ in 0..count {
            let name = format!("i-{:06}", self.ledger.len() + 1);
            self.ledger.insert(
                name.clone(),
                LedgerEntry {
                    provisioned_at: now,
                    terminated_at: None,
                },
            );
            self.live.insert(name.clone());
            machines.push(name);
        }
        self.provisioned
            .insert(request.to_owned(), machines.clone());
        Some(machines)
    }

    /// The machines that were provisioned for this request.
    pub fn machines_of(&self, request: &str) -> Vec<String> {
        self.provisioned.get(request).cloned().unwrap_or_default()
    }

    /// Terminates machines. Names that are unknown or terminated already are only counted.
    pub fn terminate(&mut self, now: Micros, machines: &[String]) {
        for name in machines {
            match self
                .ledger
                .get_mut(name)
                .filter(|machine| machine.terminated_at.is_none())
            {
                Some(machine) => {
                    machine.terminated_at = Some(now);
                    self.live.remove(name);
                }
                None => self.repeated_terminations += 1,
            }
        }
    }

    /// The machines that existed at this time. Callers pass an earlier time to simulate a list that lags behind.
    pub fn list_at(&self, at: Micros) -> Vec<String> {
        let existed = |machine: &LedgerEntry| {
            machine.provisioned_at <= at
                && machine
                    .terminated_at
                    .is_none_or(|terminated_at| terminated_at > at)
        };
        self.ledger
            .iter()
            .filter(|(_, machine)| existed(machine))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Machines that are provisioned and not terminated, and therefore billed.
    pub fn live(&self) -> &BTreeSet<String> {
        &self.live
    }
}
