//! Stand-in for a controller that still runs the version in production. It writes old forms only and drops what it
//! does not know: needed jobs in job records, parts of work records, and which versions others run.

use super::{Simulation, StoreReply, StoreRequest, Write};
use serde_json::Value;

/// Fields of job records that the version in production does not know.
const UNKNOWN_FIELDS: [&str; 2] = ["needs", "needs_parts"];

fn forget_unknown_fields(value: &mut Value) {
    if let Some(object) = value.as_object_mut() {
        for field in UNKNOWN_FIELDS {
            object.remove(field);
        }
    }
}

impl Simulation {
    /// All controllers run the version in production until they are upgraded.
    pub fn start_with_old_version(&mut self) {
        for node in &mut self.nodes {
            node.old = true;
        }
    }

    /// Whether the version in production would never make this request.
    pub(super) fn unknown_to_old(&self, node: usize, request: &StoreRequest) -> bool {
        let foreign = |key: &str| key.starts_with("format/") || key.starts_with("part/");
        self.nodes[node].old
            && match request {
                StoreRequest::Get { key } => foreign(key),
                StoreRequest::List { prefix, .. } | StoreRequest::Watch { prefix, .. } => {
                    foreign(prefix)
                }
                StoreRequest::CompareAndSwap { writes, .. } => writes.iter().any(|w| match w {
                    Write::Put { key, .. } | Write::Delete { key } => foreign(key),
                }),
                StoreRequest::GrantLease { .. } | StoreRequest::RenewLease { .. } => false,
            }
    }

    /// What the version in production has in the place of that answer: it knows of no such keys.
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

    /// What the version in production makes of an answer. A record in parts would be unreadable to it, and its tasks
    /// would be started anew: that it ever reads one is an error of the new version.
    pub(super) fn as_old_version_reads(&mut self, node: usize, reply: StoreReply) -> StoreReply {
        if !self.nodes[node].old {
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
                forget_unknown_fields(value);
            }
            if key.starts_with("work/") && value.get("parts").is_some() {
                misread.push(format!("the old version read a record in parts: {key}"));
            }
        }
        self.truth.broken.extend(misread);
        reply
    }
}
