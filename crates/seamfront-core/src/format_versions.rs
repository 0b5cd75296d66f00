//! Tracks which controllers can read work records in parts.
//!
//! During a rolling upgrade some controllers may still run a version that reads whole records only. Each controller
//! that supports parts permanently records this under `format/<member>`, and parts are written only once all members
//! have done so. A member's absence does not count as support: it may be down for a while and restart with the old
//! version.

use crate::outbox::Outbox;
use crate::port::{Entry, StoreReply, StoreRequest, Write};
use crate::types::{Micros, Settings};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use tracing::info;

/// Value of the key `format/<member>`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormatRecord {
    /// Whether the member can read work records in parts.
    pub parts: bool,
}

const PREFIX: &str = "format/";
/// Interval between reads of all members' records, until every member has one.
const READ_INTERVAL: Micros = Micros::from_secs(3);
/// Delay from the reply to the write of this controller's own record to the next read.
const READ_DELAY_AFTER_WRITE: Micros = Micros::from_millis(300);

fn format_key(member: &str) -> String {
    format!("{PREFIX}{member}")
}

/// An outstanding request about the members' stored-format versions.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FormatRequest {
    /// Read of all members' records.
    ReadAll,
    /// Write of this controller's own record.
    WriteOwn,
}

/// The members' stored-format versions as far as this controller has read them.
#[derive(Debug, Default)]
pub(crate) struct FormatVersions {
    /// Members whose record says that they can read parts.
    parts_readers: BTreeSet<String>,
    request_in_flight: bool,
    next_read: Micros,
}

impl FormatVersions {
    /// Whether every member is known to be able to read records in parts.
    pub(crate) fn all_read_parts(&self, settings: &Settings) -> bool {
        settings
            .members
            .iter()
            .all(|m| self.parts_readers.contains(m))
    }

    /// Starts a read of the members' records if one is due.
    pub(crate) fn tick(
        &mut self,
        settings: &Settings,
        now: Micros,
        outbox: &mut Outbox<FormatRequest>,
    ) {
        if self.request_in_flight || now < self.next_read || self.all_read_parts(settings) {
            return;
        }
        self.request_in_flight = true;
        let request = StoreRequest::List {
            prefix: PREFIX.to_owned(),
            after: None,
        };
        outbox.store(request, FormatRequest::ReadAll);
    }

    /// Handles a reply of the store.
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
            FormatRequest::ReadAll => {
                self.next_read = now + READ_INTERVAL;
                if let StoreReply::Page { entries, .. } = reply {
                    self.apply_records(settings, entries, outbox);
                }
            }
            // The next read shows the outcome, also if the reply does not.
            FormatRequest::WriteOwn => self.next_read = now + READ_DELAY_AFTER_WRITE,
        }
    }

    fn apply_records(
        &mut self,
        settings: &Settings,
        entries: Vec<Entry>,
        outbox: &mut Outbox<FormatRequest>,
    ) {
        for entry in entries {
            let reads_parts = serde_json::from_value::<FormatRecord>(entry.value)
                .is_ok_and(|record| record.parts);
            if let Some(member) = entry.key.strip_prefix(PREFIX).filter(|_| reads_parts) {
                self.parts_readers.insert(member.to_owned());
            }
        }
        if self.all_read_parts(settings) {
            info!("all controllers read records in parts");
        }
        let own = &settings.members[settings.member_index];
        if !self.parts_readers.contains(own) {
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
        outbox.store(request, FormatRequest::WriteOwn);
    }
}
