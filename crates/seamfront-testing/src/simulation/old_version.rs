//! Stand-in for a controller that still runs the version in production. It writes only old formats and ignores what it
//! does not know: dependencies in job records, parts of work records, and the records of the versions that others run.

use super::{Simulation, StoreReply, StoreRequest, Write};
use serde_json::Value;

/// Fields of job records that the version in production does not know.
const UNKNOWN_FIELDS: [&str; 2] = ["needs", "needs_parts"];

fn remove_unknown_fields(value: &mut Value) {
    if let Some(object) = value.as_object_mut() {
        for field in UNKNOWN_FIELDS {
            object.remove(field);
        }
    }
}

impl Simulation {
    /// Starts all controllers with the version in production; they run it until they are upgraded.
    pub fn start_with_old_version(&mut self) {
        for controller in &mut self.controllers {
            controller.old_version = true;
        }
    }

    /// Whether this controller runs the version in production, which would never make this request.
    pub(super) fn unknown_to_old_version(&self, controller: usize, request: &StoreRequest) -> bool {
        let unknown = |key: &str| key.starts_with("format/") || key.starts_with("part/");
        self.controllers[controller].old_version
            && match request {
                StoreRequest::Get { key } => unknown(key),
                StoreRequest::List { prefix, .. } | StoreRequest::Watch { prefix, .. } => {
                    unknown(prefix)
                }
                StoreRequest::CompareAndSwap { writes, .. } => writes.iter().any(|w| match w {
                    Write::Put { key, .. } | Write::Delete { key } => unknown(key),
                }),
                StoreRequest::GrantLease { .. } | StoreRequest::RenewLease { .. } => false,
            }
    }

    /// Replaces the answer to a request that the version in production would not make: a list without entries, or a
    /// refusal.
    pub(super) fn answer_to_unknown(&self, request: &StoreRequest) -> StoreReply {
        match request {
            StoreRequest::List { .. } => StoreReply::Page {
                entries: Vec::new(),
                more: false,
                revision: self.store.revision,
            },
            _ => StoreReply::Refused,
        }
    }

    /// Removes from an answer what the version in production does not know. A record in parts would be unreadable to
    /// it, and it would start the tasks again: reading one is a violation, caused by the new version.
    pub(super) fn as_old_version_reads(
        &mut self,
        controller: usize,
        reply: StoreReply,
    ) -> StoreReply {
        if !self.controllers[controller].old_version {
            return reply;
        }
        let mut reply = reply;
        let values: Vec<(&String, &mut Value)> = match &mut reply {
            StoreReply::Entry(e) => vec![(&e.key, &mut e.value)],
            StoreReply::Page { entries, .. } => {
                entries.iter_mut().map(|e| (&e.key, &mut e.value)).collect()
            }
            StoreReply::Changes { events, .. } => events
                .iter_mut()
                .filter_map(|(key, value, _)| Some((&*key, value.as_mut()?)))
                .collect(),
            _ => Vec::new(),
        };
        let mut misread = Vec::new();
        for (key, value) in values {
            if key.starts_with("job/") {
                remove_unknown_fields(value);
            }
            if key.starts_with("work/") && value.get("parts").is_some() {
                misread.push(format!("the old version read a record in parts: {key}"));
            }
        }
        self.ground_truth.violations.extend(misread);
        reply
    }
}
