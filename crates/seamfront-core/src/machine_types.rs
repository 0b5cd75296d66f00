//! The machine types on offer: read from the store, or else asked of the cloud.
//!
//! They are kept in the store too, so that a controller that starts during an outage of the cloud knows them.

use crate::outbox::Outbox;
use crate::port::{CloudReply, CloudRequest, StoreReply, StoreRequest};
use crate::types::{MachineType, Micros, Resources};
use tracing::{info, warn};

/// The key under which the types are stored.
const KEY: &str = "types";
/// Time between two readings, until the types are known.
const READ_INTERVAL: Micros = Micros::from_millis(700);

/// An outstanding request for the machine types on offer.
pub(crate) enum MachineTypesRequest {
    /// The stored types are read.
    FromStore,
    /// The cloud is asked.
    FromCloud,
}

/// What others must know of a change of the types.
#[must_use]
pub(crate) enum MachineTypesEvent {
    /// There are new types: all sizes that follow from them are to be computed anew.
    Updated,
}

/// The machine types on offer as this controller knows them.
#[derive(Debug, Default)]
pub(crate) struct MachineTypes {
    types: Vec<MachineType>,
    request_in_flight: bool,
    next_read: Micros,
}

impl MachineTypes {
    /// Whether any types are known.
    pub(crate) fn known(&self) -> bool {
        !self.types.is_empty()
    }

    /// All types; none while they are not known.
    pub(crate) fn all(&self) -> &[MachineType] {
        &self.types
    }

    /// The size of machines of a type; nothing if the type is not known.
    pub(crate) fn size_of(&self, name: &str) -> Resources {
        let found = self.types.iter().find(|t| t.name == name);
        found.map(|t| t.size).unwrap_or_default()
    }

    /// Takes in the types that the cloud offers. An empty list says nothing.
    pub(crate) fn update(&mut self, types: Vec<MachineType>) -> Option<MachineTypesEvent> {
        if types.is_empty() {
            return None;
        }
        if !self.known() {
            info!(types = types.len(), "machine types known");
        }
        self.types = types;
        Some(MachineTypesEvent::Updated)
    }

    /// Reads the stored types while none are known.
    pub(crate) fn tick(&mut self, now: Micros, outbox: &mut Outbox<MachineTypesRequest>) {
        if self.known() || self.request_in_flight || now < self.next_read {
            return;
        }
        self.request_in_flight = true;
        self.next_read = now + READ_INTERVAL;
        let request = StoreRequest::Get {
            key: KEY.to_owned(),
        };
        outbox.store(request, MachineTypesRequest::FromStore);
    }

    /// Takes in the store's reply.
    pub(crate) fn store_reply(
        &mut self,
        reply: StoreReply,
        outbox: &mut Outbox<MachineTypesRequest>,
    ) -> Option<MachineTypesEvent> {
        self.request_in_flight = false;
        match reply {
            StoreReply::Entry(entry) => match serde_json::from_value(entry.value) {
                Ok(types) => self.update(types),
                Err(error) => {
                    warn!(%error, "unreadable record of machine types");
                    None
                }
            },
            StoreReply::Missing => {
                self.request_in_flight = true;
                let pending = MachineTypesRequest::FromCloud;
                outbox.cloud(CloudRequest::MachineTypes, None, pending);
                None
            }
            _ => None,
        }
    }

    /// Takes in the cloud's reply.
    pub(crate) fn cloud_reply(&mut self, reply: CloudReply) -> Option<MachineTypesEvent> {
        self.request_in_flight = false;
        match reply {
            CloudReply::MachineTypes(types) => self.update(types),
            _ => None,
        }
    }
}
