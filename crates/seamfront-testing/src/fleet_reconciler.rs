//! Keeps a fleet of machines at a target size under three duties: one provisions machines, one terminates them, and one
//! adopts machines that have no record in the store. A restart loses nothing: the durable state is in the store, as
//! records under `machine/` and as operation logs.

use seamfront_lease::port::{Command, Effect, Outcome, RequestId};
use seamfront_lease::record::{Operation, OperationName, Settlement};
use seamfront_lease::store::Write;
use seamfront_lease::time::Micros;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

pub const PROVISIONING_DUTY: &str = "renting";
pub const TERMINATION_DUTY: &str = "returning";
pub const ADOPTION_DUTY: &str = "cleaning";
/// Prefix of the keys under which machines are recorded.
pub const MACHINE_PREFIX: &str = "machine/";

/// The payload of an operation of these duties.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetOperation {
    #[serde(rename = "rent")]
    Provision { count: usize },
    #[serde(rename = "return")]
    Terminate { machines: Vec<String> },
}

impl FleetOperation {
    /// Decodes the payload of a recorded operation. Returns `None` if it is not one of this kind.
    pub fn of(operation: &Operation) -> Option<FleetOperation> {
        FleetOperation::deserialize(&operation.payload).ok()
    }

    fn payload(&self) -> Value {
        serde_json::to_value(self).unwrap_or_default()
    }
}

/// The name of an operation's request to the cloud API. It is the same for every attempt, so that the cloud recognizes
/// repeated ones.
pub fn provisioning_request_name(duty: &str, operation: OperationName) -> String {
    format!("{duty}-{operation}")
}

/// The outcome of an operation that provisioned these machines: their records are written in the transaction that
/// records its end.
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

/// The outcome of an operation that terminated these machines: their records are deleted in the transaction that
/// records its end.
pub fn terminated(machines: &[String]) -> Outcome {
    Outcome::Done {
        writes: machines
            .iter()
            .map(|name| Write::Delete {
                key: machine_key(name),
            })
            .collect(),
    }
}

/// The key of a machine's record.
pub fn machine_key(name: &str) -> String {
    format!("{MACHINE_PREFIX}{name}")
}

const MAX_MACHINES_PER_REQUEST: usize = 3;
/// How long a machine must be without a record before it is adopted: its provisioning operation may still be open, and
/// the cloud's list lags behind.
const ADOPTION_DELAY: Micros = Micros::from_secs(30);

/// Decides which operations to begin. It learns the recorded machines from a list that is read from the store again and
/// again.
#[derive(Default)]
pub struct FleetReconciler {
    target: usize,
    /// Duties that this member may perform now.
    active_duties: BTreeSet<String>,
    /// Id of the last request that was made.
    last_request: RequestId,
    /// The machines in the last list that was read; `None` before the first one that counts.
    recorded: Option<BTreeSet<String>>,
    /// Machines whose provisioning settled after the list in `recorded` was begun, which may therefore lack them. The
    /// first set was settled before the latest list was begun, and will be in that one; the second set since then.
    provisioned_before_list: BTreeSet<String>,
    provisioned_since_list: BTreeSet<String>,
    /// Number of the latest list that was begun, and of the first that counts: a new holder of a duty must not rely on a
    /// list begun before it was active.
    latest_list: u64,
    first_valid_list: u64,
    /// Machine counts of the provisioning requests that were begun and are not settled.
    pending_provisions: BTreeMap<RequestId, usize>,
    /// The request that began each provisioning operation.
    requests_by_operation: BTreeMap<OperationName, RequestId>,
    /// Machines chosen for termination under the current fencing token.
    chosen_for_termination: BTreeSet<String>,
    unrecorded: BTreeMap<String, UnrecordedMachine>,
}

/// A machine that the cloud lists and that has no record.
#[derive(Default)]
struct UnrecordedMachine {
    /// Set by the first list of records that is read after the machine was seen. Until then the known list may just be
    /// outdated: a machine whose termination has settled in the meantime is still listed by the cloud for a while.
    confirmed: Option<ConfirmedAbsence>,
}

/// A machine was seen in the cloud's list, and a list of records that was read later doesn't contain it.
struct ConfirmedAbsence {
    since: Micros,
    /// Provisioning operations that were open then and still are. One of them may have provisioned the machine, and would
    /// record it again at its end, perhaps after the machine was terminated.
    open_operations: BTreeSet<OperationName>,
}

impl FleetReconciler {
    pub fn new(target: usize) -> FleetReconciler {
        FleetReconciler {
            target,
            ..FleetReconciler::default()
        }
    }

    /// Must be called just before a list of records is read; returns the list's number. The list may lack machines that
    /// are provisioned from now on.
    pub fn begin_list(&mut self) -> u64 {
        let since = std::mem::take(&mut self.provisioned_since_list);
        self.provisioned_before_list.extend(since);
        self.latest_list += 1;
        self.latest_list
    }

    /// Applies a list of recorded machines, together with the open operations in the log of the provisioning duty. An
    /// outdated list is ignored.
    pub fn apply_list(
        &mut self,
        now: Micros,
        number: u64,
        machines: BTreeSet<String>,
        open: &BTreeSet<OperationName>,
    ) {
        if number != self.latest_list || number < self.first_valid_list {
            return;
        }
        self.recorded = Some(machines);
        self.provisioned_before_list.clear();
        let recorded = self.recorded.iter().flatten().collect::<BTreeSet<_>>();
        self.unrecorded.retain(|name, _| !recorded.contains(name));
        for machine in self.unrecorded.values_mut() {
            match &mut machine.confirmed {
                Some(absence) => absence
                    .open_operations
                    .retain(|operation| open.contains(operation)),
                None => {
                    machine.confirmed = Some(ConfirmedAbsence {
                        since: now,
                        open_operations: open.clone(),
                    });
                }
            }
        }
    }

    /// Whether a list of records should be read now: only a member that performs a duty needs one.
    pub fn needs_list(&self) -> bool {
        !self.active_duties.is_empty()
    }

    /// Updates the state from an effect of the duty manager. `machines_of` returns the machines that an operation has
    /// provisioned.
    pub fn observe(&mut self, effect: &Effect, machines_of: impl Fn(&Operation) -> Vec<String>) {
        match effect {
            Effect::Active { duty, .. } => {
                self.active_duties.insert(duty.clone());
                self.recorded = None;
                self.first_valid_list = self.latest_list + 1;
            }
            Effect::Lost { duty, .. } => {
                self.active_duties.remove(duty);
                match duty.as_str() {
                    PROVISIONING_DUTY => {
                        self.pending_provisions.clear();
                        self.requests_by_operation.clear();
                    }
                    TERMINATION_DUTY => self.chosen_for_termination.clear(),
                    _ => self.unrecorded.clear(),
                }
            }
            Effect::Began {
                request, operation, ..
            } if self.pending_provisions.contains_key(request) => {
                self.requests_by_operation.insert(*operation, *request);
            }
            Effect::Settled {
                operation,
                settlement,
                ..
            } => {
                if let Some(request) = self.requests_by_operation.remove(&operation.name) {
                    self.pending_provisions.remove(&request);
                }
                if *settlement == Settlement::Done
                    && matches!(
                        FleetOperation::of(operation),
                        Some(FleetOperation::Provision { .. })
                    )
                {
                    self.provisioned_since_list.extend(machines_of(operation));
                }
            }
            Effect::Rejected { request, .. } => {
                self.pending_provisions.remove(request);
            }
            _ => {}
        }
    }

    fn next_request(&mut self) -> RequestId {
        self.last_request += 1;
        self.last_request
    }

    /// Begins to provision machines if there are fewer than the target. Machines that may have a record count, and so do
    /// those of requests that are not settled.
    pub fn provision(&mut self) -> Option<Command> {
        if !self.active_duties.contains(PROVISIONING_DUTY) {
            return None;
        }
        let provisioned = self
            .provisioned_before_list
            .union(&self.provisioned_since_list);
        let known = self
            .recorded
            .as_ref()?
            .iter()
            .chain(provisioned)
            .collect::<BTreeSet<_>>()
            .len();
        let pending: usize = self.pending_provisions.values().sum();
        let count = self
            .target
            .saturating_sub(known + pending)
            .min(MAX_MACHINES_PER_REQUEST);
        if count == 0 {
            return None;
        }
        let request = self.next_request();
        self.pending_provisions.insert(request, count);
        Some(Command::Begin {
            request,
            duty: PROVISIONING_DUTY.to_owned(),
            payload: FleetOperation::Provision { count }.payload(),
        })
    }

    /// Begins to terminate one recorded machine. `choice` selects it by index, modulo the number of candidates.
    pub fn terminate(&mut self, choice: usize) -> Option<Command> {
        if !self.active_duties.contains(TERMINATION_DUTY) {
            return None;
        }
        let candidates: Vec<&String> = self
            .recorded
            .as_ref()?
            .difference(&self.chosen_for_termination)
            .collect();
        let name = (*candidates.get(choice % candidates.len().max(1))?).clone();
        self.chosen_for_termination.insert(name.clone());
        let payload = FleetOperation::Terminate {
            machines: vec![name],
        }
        .payload();
        Some(Command::Begin {
            request: self.next_request(),
            duty: TERMINATION_DUTY.to_owned(),
            payload,
        })
    }

    /// Records machines that the cloud lists and that have been without a record for longer than [`ADOPTION_DELAY`].
    pub fn adopt(&mut self, now: Micros, cloud: &BTreeSet<String>) -> Vec<Command> {
        if !self.active_duties.contains(ADOPTION_DUTY) {
            return Vec::new();
        }
        let Some(recorded) = self.recorded.as_ref() else {
            return Vec::new();
        };
        let unrecorded: BTreeSet<&String> = cloud.difference(recorded).collect();
        self.unrecorded.retain(|name, _| unrecorded.contains(name));
        let mut due = Vec::new();
        for name in unrecorded {
            let machine = self.unrecorded.entry(name.clone()).or_default();
            let is_due = |absence: &ConfirmedAbsence| {
                absence.open_operations.is_empty() && now - absence.since > ADOPTION_DELAY
            };
            if machine.confirmed.as_ref().is_some_and(is_due) {
                due.push(name.clone());
            }
        }
        due.into_iter()
            .map(|name| self.adoption_command(&name))
            .collect()
    }

    fn adoption_command(&mut self, name: &str) -> Command {
        self.unrecorded.remove(name);
        let key = machine_key(name);
        let writes = vec![Write::Put {
            key: key.clone(),
            value: json!({"adopted": true}),
            lease: None,
        }];
        Command::Commit {
            request: self.next_request(),
            duty: ADOPTION_DUTY.to_owned(),
            conditions: vec![(key, 0)],
            writes,
        }
    }
}
