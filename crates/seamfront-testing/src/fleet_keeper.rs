//! Keeps a fleet at a size: one duty rents machines, one returns them, one takes in machines that nobody knows. It holds
//! no state that matters: all of it is in the store, under `machine/`, or in the operation logs.

use seamfront_lease::port::{Command, Effect, Outcome, RequestId};
use seamfront_lease::record::{Operation, OperationName, Settlement};
use seamfront_lease::store::Write;
use seamfront_lease::time::Micros;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

pub const RENTING: &str = "renting";
pub const RETURNING: &str = "returning";
pub const CLEANING: &str = "cleaning";
pub const MACHINE_PREFIX: &str = "machine/";

/// What an operation is to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// Provision so many machines.
    #[serde(rename = "rent")]
    Provision { count: usize },
    /// Return these machines.
    Return { machines: Vec<String> },
}

impl Work {
    /// The work of an operation.
    pub fn of(operation: &Operation) -> Option<Work> {
        Work::deserialize(&operation.payload).ok()
    }

    fn payload(&self) -> Value {
        serde_json::to_value(self).unwrap_or_default()
    }
}

/// The name of an operation's order at the cloud.
pub fn order_name(duty: &str, operation: OperationName) -> String {
    format!("{duty}-{operation}")
}

/// Rented machines get their records with the end of the operation.
pub fn provisioned(machines: &[String]) -> Outcome {
    let put = |name: &String| Write::Put {
        key: machine_key(name),
        value: json!({"known": true}),
        lease: None,
    };
    Outcome::Done {
        writes: machines.iter().map(put).collect(),
    }
}

/// Returned machines lose their records with the end of the operation.
pub fn returned(machines: &[String]) -> Outcome {
    Outcome::Done {
        writes: machines
            .iter()
            .map(|name| Write::Delete {
                key: machine_key(name),
            })
            .collect(),
    }
}

pub fn machine_key(name: &str) -> String {
    format!("{MACHINE_PREFIX}{name}")
}

/// How many machines one order asks for at the most.
const ORDER: usize = 3;
/// A machine must be unknown for so long before it is taken in: its order may be open, and lists are late.
const UNKNOWN_FOR: Micros = Micros::from_secs(30);

/// Decides what to begin. It knows machines from a list of records that is read again and again.
#[derive(Default)]
pub struct Keeper {
    target: usize,
    /// Duties that may be performed here.
    active: BTreeSet<String>,
    next_request: RequestId,
    /// Machines by the last list that was read.
    listed: Option<BTreeSet<String>>,
    /// What was rented since that list was asked for, and since the one that is under way was.
    rented_before: BTreeSet<String>,
    rented_since: BTreeSet<String>,
    /// Number of the list that was asked for last, and of the first that counts: a duty's holder relies on none that was
    /// asked for before it was active.
    list_number: u64,
    first_list: u64,
    /// Rentals that are begun and not settled, with their counts.
    renting: BTreeMap<RequestId, usize>,
    orders: BTreeMap<OperationName, RequestId>,
    /// Machines that were chosen for return under the present token.
    returning: BTreeSet<String>,
    unknown: BTreeMap<String, Unknown>,
}

/// A machine that the cloud lists and nobody has recorded.
#[derive(Default)]
struct Unknown {
    /// What the first list of records told that was read after it was seen. Before that it may only be that the last list
    /// is old: a machine whose return has ended since is still listed by the cloud for a while.
    confirmed: Option<Confirmed>,
}

/// A machine that a list of records does not name, though it was seen before that was asked for.
struct Confirmed {
    since: Micros,
    /// Orders that were open then and still are: one of them may have rented it, and would record it once more when it
    /// ends, perhaps after it was returned.
    orders: BTreeSet<OperationName>,
}

impl Keeper {
    pub fn new(target: usize) -> Keeper {
        Keeper {
            target,
            ..Keeper::default()
        }
    }

    /// A list of records is asked for; whatever is rented from now on may not be in it.
    pub fn list_begins(&mut self) -> u64 {
        let since = std::mem::take(&mut self.rented_since);
        self.rented_before.extend(since);
        self.list_number += 1;
        self.list_number
    }

    /// Takes the recorded machines, and the orders that the log of renting shows as open.
    pub fn list_read(
        &mut self,
        now: Micros,
        number: u64,
        machines: BTreeSet<String>,
        open: &BTreeSet<OperationName>,
    ) {
        if number != self.list_number || number < self.first_list {
            return;
        }
        self.listed = Some(machines);
        self.rented_before.clear();
        let listed = self.listed.iter().flatten().collect::<BTreeSet<_>>();
        self.unknown.retain(|name, _| !listed.contains(name));
        for unknown in self.unknown.values_mut() {
            match &mut unknown.confirmed {
                Some(confirmed) => confirmed.orders.retain(|order| open.contains(order)),
                None => {
                    unknown.confirmed = Some(Confirmed {
                        since: now,
                        orders: open.clone(),
                    });
                }
            }
        }
    }

    pub fn wants_list(&self) -> bool {
        !self.active.is_empty()
    }

    /// Takes what the manager tells.
    pub fn observe(&mut self, effect: &Effect, machines_of: impl Fn(&Operation) -> Vec<String>) {
        match effect {
            Effect::Active { duty, .. } => {
                self.active.insert(duty.clone());
                self.listed = None;
                self.first_list = self.list_number + 1;
            }
            Effect::Lost { duty, .. } => {
                self.active.remove(duty);
                match duty.as_str() {
                    RENTING => {
                        self.renting.clear();
                        self.orders.clear();
                    }
                    RETURNING => self.returning.clear(),
                    _ => self.unknown.clear(),
                }
            }
            Effect::Began {
                request, operation, ..
            } if self.renting.contains_key(request) => {
                self.orders.insert(*operation, *request);
            }
            Effect::Settled {
                operation,
                settlement,
                ..
            } => {
                if let Some(request) = self.orders.remove(&operation.name) {
                    self.renting.remove(&request);
                }
                if *settlement == Settlement::Done
                    && matches!(Work::of(operation), Some(Work::Provision { .. }))
                {
                    self.rented_since.extend(machines_of(operation));
                }
            }
            Effect::Rejected { request, .. } => {
                self.renting.remove(request);
            }
            _ => {}
        }
    }

    fn request(&mut self) -> RequestId {
        self.next_request += 1;
        self.next_request
    }

    /// Rents what is missing. A machine counts as long as any record of it may be there.
    pub fn provision(&mut self) -> Option<Command> {
        if !self.active.contains(RENTING) {
            return None;
        }
        let provisioned = self.rented_before.union(&self.rented_since);
        let known = self
            .listed
            .as_ref()?
            .iter()
            .chain(provisioned)
            .collect::<BTreeSet<_>>()
            .len();
        let under_way: usize = self.renting.values().sum();
        let count = self.target.saturating_sub(known + under_way).min(ORDER);
        if count == 0 {
            return None;
        }
        let request = self.request();
        self.renting.insert(request, count);
        Some(Command::Begin {
            request,
            duty: RENTING.to_owned(),
            payload: Work::Provision { count }.payload(),
        })
    }

    /// Returns one machine, the `choice`-th of those that are known.
    pub fn give_back(&mut self, choice: usize) -> Option<Command> {
        if !self.active.contains(RETURNING) {
            return None;
        }
        let candidates: Vec<&String> = self.listed.as_ref()?.difference(&self.returning).collect();
        let name = (*candidates.get(choice % candidates.len().max(1))?).clone();
        self.returning.insert(name.clone());
        let payload = Work::Return {
            machines: vec![name],
        }
        .payload();
        Some(Command::Begin {
            request: self.request(),
            duty: RETURNING.to_owned(),
            payload,
        })
    }

    /// Takes in machines that the cloud has listed for long and that have no record.
    pub fn take_in(&mut self, now: Micros, cloud: &BTreeSet<String>) -> Vec<Command> {
        if !self.active.contains(CLEANING) {
            return Vec::new();
        }
        let Some(listed) = self.listed.as_ref() else {
            return Vec::new();
        };
        let unknown: BTreeSet<&String> = cloud.difference(listed).collect();
        self.unknown.retain(|name, _| unknown.contains(name));
        let mut due = Vec::new();
        for name in unknown {
            let seen = self.unknown.entry(name.clone()).or_default();
            let nobodys = |c: &Confirmed| c.orders.is_empty() && now - c.since > UNKNOWN_FOR;
            if seen.confirmed.as_ref().is_some_and(nobodys) {
                due.push(name.clone());
            }
        }
        due.into_iter().map(|name| self.adoption(&name)).collect()
    }

    fn adoption(&mut self, name: &str) -> Command {
        self.unknown.remove(name);
        let key = machine_key(name);
        let writes = vec![Write::Put {
            key: key.clone(),
            value: json!({"adopted": true}),
            lease: None,
        }];
        Command::Commit {
            request: self.request(),
            duty: CLEANING.to_owned(),
            conditions: vec![(key, 0)],
            writes,
        }
    }
}
