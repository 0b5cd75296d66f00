//! Which controllers are known to read work records in parts.
//!
//! While an upgrade runs, some controllers may still run a version that reads whole records only. Each controller
//! that knows parts says so once, under `format/<member>`, for good: parts are written only when all members
//! have said so. Silence proves nothing, since an old process may be away for a while and come back old.

use crate::outbox::Outbox;
use crate::port::{Entry, StoreReply, StoreRequest, Write};
use crate::types::{Micros, Settings};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use tracing::info;

/// Value of `format/<member>`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormatRecord {
    /// Whether the member reads work records in parts.
    pub parts: bool,
}

const PREFIX: &str = "format/";
/// Time between two readings of all members' records, until all members have one.
const READ_INTERVAL: Micros = Micros::from_secs(3);
/// Time from our own record's write to the next reading.
const READ_AFTER_WRITE: Micros = Micros::from_millis(300);

fn format_key(member: &str) -> String {
    format!("{PREFIX}{member}")
}

/// An outstanding request about the members' stored-format versions.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FormatRequest {
    /// Reading of all members' records.
    Read,
    /// The write of our own record.
    Written,
}

/// The members' stored-format versions as this controller knows them.
#[derive(Debug, Default)]
pub(crate) struct FormatVersions {
    /// Members whose record says that they read parts.
    members: BTreeSet<String>,
    request_in_flight: bool,
    read_next: Micros,
}

impl FormatVersions {
    /// Whether every member is known to read records in parts.
    pub(crate) fn all_read_parts(&self, settings: &Settings) -> bool {
        settings.members.iter().all(|m| self.members.contains(m))
    }

    /// Reads the members' records when that is due.
    pub(crate) fn tick(
        &mut self,
        settings: &Settings,
        now: Micros,
        outbox: &mut Outbox<FormatRequest>,
    ) {
        if self.request_in_flight || now < self.read_next || self.all_read_parts(settings) {
            return;
        }
        self.request_in_flight = true;
        let request = StoreRequest::List {
            prefix: PREFIX.to_owned(),
            after: None,
        };
        outbox.store(request, FormatRequest::Read);
    }

    /// Takes in a reply of the store.
    pub(crate) fn reply(
        &mut self,
        settings: &Settings,
        now: Micros,
        request: FormatRequest,
        reply: StoreReply,
        outbox: &mut Outbox<FormatRequest>,
    ) {
        self.request_in_flight = false;
        match request {
            FormatRequest::Read => {
                self.read_next = now + READ_INTERVAL;
                if let StoreReply::Page { entries, .. } = reply {
                    self.records_read(settings, entries, outbox);
                }
            }
            // Whatever the outcome, the next reading shows it.
            FormatRequest::Written => self.read_next = now + READ_AFTER_WRITE,
        }
    }

    fn records_read(
        &mut self,
        settings: &Settings,
        entries: Vec<Entry>,
        outbox: &mut Outbox<FormatRequest>,
    ) {
        for entry in entries {
            let reads_parts = serde_json::from_value::<FormatRecord>(entry.value)
                .is_ok_and(|record| record.parts);
            if let Some(member) = entry.key.strip_prefix(PREFIX).filter(|_| reads_parts) {
                self.members.insert(member.to_owned());
            }
        }
        if self.all_read_parts(settings) {
            info!("all controllers read records in parts");
        }
        let own = &settings.members[settings.me];
        if !self.members.contains(own) {
            self.write_own_record(own, outbox);
        }
    }

    fn write_own_record(&mut self, own: &str, outbox: &mut Outbox<FormatRequest>) {
        self.request_in_flight = true;
        let key = format_key(own);
        let value = serde_json::to_value(FormatRecord { parts: true }).unwrap_or_default();
        let write = Write::Put {
            key: key.clone(),
            value,
            lease: None,
        };
        let request = StoreRequest::CompareAndSwap {
            conditions: vec![(key, 0)],
            writes: vec![write],
        };
        outbox.store(request, FormatRequest::Written);
    }
}
