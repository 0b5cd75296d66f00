//! The machine types on offer: read from the store, or else asked of the cloud.

use super::{info, warn, CloudRequest, Engine, MachineType, Micros, StoreReply, StoreRequest};

/// An outstanding request for the machine types on offer.
pub(crate) enum MachineTypesRequest {
    FromStore,
    FromCloud,
}

impl Engine {
    /// Types are kept in the store too, so that a controller that starts during an outage of the
    /// cloud knows them.
    pub(super) fn types_tick(&mut self) {
        if !self.types.is_empty() || self.types_busy || self.now < self.types_next {
            return;
        }
        self.types_busy = true;
        self.types_next = self.now + Micros::from_millis(700);
        self.send_to_store(
            StoreRequest::Get {
                key: "types".to_owned(),
            },
            MachineTypesRequest::FromStore,
        );
    }

    pub(crate) fn types_known(&mut self, types: Vec<MachineType>) {
        if types.is_empty() {
            return;
        }
        if self.types.is_empty() {
            info!(types = types.len(), "machine types known");
        }
        self.types = types;
        let machines: Vec<_> = self
            .machines
            .iter()
            .map(|(id, (r, v))| (id.clone(), r.clone(), *v))
            .collect();
        for (id, record, version) in machines {
            self.machine_changed(id, record, version);
        }
    }

    /// Routes a reply of the store to what asked for it.
    pub(crate) fn machine_types_reply(&mut self, request: MachineTypesRequest, reply: StoreReply) {
        match request {
            MachineTypesRequest::FromStore => {
                self.types_busy = false;
                match reply {
                    StoreReply::Entry(e) => match serde_json::from_value(e.value) {
                        Ok(types) => self.types_known(types),
                        Err(e) => warn!(%e, "unreadable record of machine types"),
                    },
                    StoreReply::Missing => {
                        self.types_busy = true;
                        self.send_to_cloud(
                            CloudRequest::MachineTypes,
                            None,
                            MachineTypesRequest::FromCloud,
                        );
                    }
                    _ => {}
                }
            }
            // The cloud's replies come by [`Engine::cloud_reply`].
            MachineTypesRequest::FromCloud => {}
        }
    }
}
