//! The machine types that the cloud offers: read from the store, and requested from the cloud if none are stored.
//!
//! They are kept in the store so that a controller that starts during an outage of the cloud API knows them.

use crate::outbox::Outbox;
use crate::port::{CloudReply, CloudRequest, StoreReply, StoreRequest};
use crate::types::{MachineType, Micros, Resources};
use tracing::{info, warn};

/// Key of the types in the store.
const TYPES_KEY: &str = "types";
/// Interval between reads of the store until the types are known.
const READ_INTERVAL: Micros = Micros::from_millis(700);

/// An outstanding request for the machine types.
pub(crate) enum MachineTypesRequest {
    /// To the store, for the stored types.
    FromStore,
    /// To the cloud.
    FromCloud,
}

/// A change of the types that other components must handle.
#[must_use]
pub(crate) enum MachineTypesEvent {
    /// The types were updated: the sizes of all machines must be computed again.
    Updated,
}

/// The machine types that the cloud offers, as far as this controller knows them.
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

    /// All types; empty until they are known.
    pub(crate) fn all(&self) -> &[MachineType] {
        &self.types
    }

    /// The resources of a machine of a type; zero if the type is not known.
    pub(crate) fn size_of(&self, name: &str) -> Resources {
        let found = self.types.iter().find(|t| t.name == name);
        found.map(|t| t.size).unwrap_or_default()
    }

    /// Replaces the known types with those that the cloud offers. An empty list is ignored.
    pub(crate) fn update(&mut self, types: Vec<MachineType>) -> Option<MachineTypesEvent> {
        if types.is_empty() {
            return None;
        }
        if !self.known() {
            info!(types = types.len(), "machine types loaded");
        }
        self.types = types;
        Some(MachineTypesEvent::Updated)
    }

    /// Requests the stored types at intervals until any are known.
    pub(crate) fn tick(&mut self, now: Micros, outbox: &mut Outbox<MachineTypesRequest>) {
        if self.known() || self.request_in_flight || now < self.next_read {
            return;
        }
        self.request_in_flight = true;
        self.next_read = now + READ_INTERVAL;
        let request = StoreRequest::Get {
            key: TYPES_KEY.to_owned(),
        };
        outbox.store(request, MachineTypesRequest::FromStore);
    }

    /// Handles the store's reply. If no types are stored, they are requested from the cloud.
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
                    warn!(key = TYPES_KEY, %error, "stored machine types are unreadable");
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

    /// Handles the cloud's reply.
    pub(crate) fn cloud_reply(&mut self, reply: CloudReply) -> Option<MachineTypesEvent> {
        self.request_in_flight = false;
        match reply {
            CloudReply::MachineTypes(types) => self.update(types),
            _ => None,
        }
    }
}
