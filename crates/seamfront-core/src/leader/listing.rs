//! Reading the cloud's lists of machine types and of machines.

use super::{Leader, LeaderContext, LeaderEvent, LeaderOutbox, LeaderRequest};
use crate::port::{CloudReply, CloudRequest, ListedMachine, Write};
use crate::types::Micros;

/// Key of the record of machine types.
const TYPES_KEY: &str = "types";
/// Interval between reads of the machine types.
const TYPES_INTERVAL: Micros = Micros::from_secs(30);
/// Minimum interval between reads of the list of machines.
const MIN_LIST_INTERVAL: Micros = Micros::from_secs(2);
/// Delay before a failed read is repeated.
const RETRY_DELAY: Micros = Micros::from_secs(2);

/// The state of reading the cloud's lists.
#[derive(Debug)]
pub(super) struct ListingState {
    /// The machines on the pages read so far.
    machines: Vec<ListedMachine>,
    list_in_flight: bool,
    next_list_at: Micros,
    types_in_flight: bool,
    next_types_at: Micros,
}

impl ListingState {
    pub(super) fn new(now: Micros) -> Self {
        ListingState {
            machines: Vec::new(),
            list_in_flight: false,
            next_list_at: now,
            types_in_flight: false,
            next_types_at: now,
        }
    }

    /// Discards the pages read so far. Replies to requests sent under another fencing token will be ignored.
    pub(super) fn restart(&mut self) {
        self.machines.clear();
        self.list_in_flight = false;
        self.types_in_flight = false;
    }
}

impl Leader {
    /// Requests the machine types and the next page of the list of machines when they are due.
    pub(super) fn listing_tick(&mut self, context: &LeaderContext, outbox: &mut LeaderOutbox) {
        let now = context.now;
        if now < self.cloud_backoff_until {
            return;
        }
        if !self.listing.types_in_flight && now >= self.listing.next_types_at {
            self.listing.types_in_flight = true;
            self.send_to_cloud(
                context,
                outbox,
                CloudRequest::MachineTypes,
                LeaderRequest::MachineTypes,
            );
        }
        if !self.listing.list_in_flight && now >= self.listing.next_list_at {
            self.listing.list_in_flight = true;
            let after = self.listing.machines.last().map(|m| m.id.clone());
            let cloud_request = CloudRequest::ListMachines { after };
            self.send_to_cloud(context, outbox, cloud_request, LeaderRequest::ListMachines);
        }
    }

    /// Handles the cloud's machine types and writes them to the store.
    pub(super) fn types_reply(
        &mut self,
        context: &mut LeaderContext,
        outbox: &mut LeaderOutbox,
        reply: CloudReply,
    ) -> Option<LeaderEvent> {
        self.listing.types_in_flight = false;
        let CloudReply::MachineTypes(types) = reply else {
            self.listing.next_types_at = context.now + RETRY_DELAY;
            return None;
        };
        self.listing.next_types_at = context.now + TYPES_INTERVAL;
        let write = Write::Put {
            key: TYPES_KEY.to_owned(),
            value: serde_json::to_value(&types).unwrap_or_default(),
            lease: None,
        };
        self.commit(
            context,
            outbox,
            Vec::new(),
            vec![write],
            LeaderRequest::RecordMachineTypes,
        );
        Some(LeaderEvent::MachineTypesListed(types))
    }

    /// Handles a page of the list of machines.
    pub(super) fn list_reply(
        &mut self,
        context: &mut LeaderContext,
        outbox: &mut LeaderOutbox,
        reply: CloudReply,
    ) {
        self.listing.list_in_flight = false;
        let CloudReply::Page { machines, more } = reply else {
            self.listing.machines.clear();
            self.listing.next_list_at = context.now + RETRY_DELAY;
            return;
        };
        self.listing.machines.extend(machines);
        if !more {
            let interval = context
                .settings
                .list_lag
                .divided_by(3)
                .max(MIN_LIST_INTERVAL);
            self.listing.next_list_at = context.now + interval;
            let listed = std::mem::take(&mut self.listing.machines);
            self.machines_listed(context, outbox, &listed);
        }
    }
}
