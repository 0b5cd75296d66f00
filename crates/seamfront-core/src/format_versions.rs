//! Which controllers are known to read records in parts.
//!
//! While an upgrade runs, some controllers may still run a version that reads whole records only. Each controller
//! that knows parts says so once, under `format/<member>`, for good: parts are written only when all members
//! have said so. Silence proves nothing, since an old process may be away for a while and come back old.

use crate::engine::Engine;
use crate::port::{StoreReply, StoreRequest, Write};
use crate::types::Micros;
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
/// How often it is asked who has said so, until all have.
const ASK_EVERY: Micros = Micros::from_secs(3);

/// What is known of the members' versions.
#[derive(Debug, Default)]
pub(crate) struct Formats {
    /// Members whose record was read.
    members: BTreeSet<String>,
    busy: bool,
    ask_at: Micros,
}

fn format_key(member: &str) -> String {
    format!("{PREFIX}{member}")
}

/// An outstanding request about the members' stored-format versions.
pub(crate) enum FormatRequest {
    Read,
    Written,
}

impl Engine {
    /// Routes a reply of the store to what asked for it.
    pub(crate) fn format_reply(&mut self, request: FormatRequest, reply: StoreReply) {
        match request {
            FormatRequest::Read => self.formats_read(reply),
            FormatRequest::Written => self.format_written(),
        }
    }

    /// Whether every member is known to read records in parts.
    pub(crate) fn all_read_parts(&self) -> bool {
        self.settings
            .members
            .iter()
            .all(|m| self.formats.members.contains(m))
    }

    pub(crate) fn formats_tick(&mut self) {
        if self.formats.busy
            || self.now < self.formats.ask_at
            || !self.store.loaded()
            || self.all_read_parts()
        {
            return;
        }
        self.formats.busy = true;
        self.send_to_store(
            StoreRequest::List {
                prefix: PREFIX.to_owned(),
                after: None,
            },
            FormatRequest::Read,
        );
    }

    pub(crate) fn formats_read(&mut self, reply: StoreReply) {
        self.formats.busy = false;
        self.formats.ask_at = self.now + ASK_EVERY;
        let StoreReply::Page { entries, .. } = reply else {
            return;
        };
        for e in entries {
            let known = serde_json::from_value::<FormatRecord>(e.value).is_ok_and(|f| f.parts);
            if let Some(member) = e.key.strip_prefix(PREFIX).filter(|_| known) {
                self.formats.members.insert(member.to_owned());
            }
        }
        if self.all_read_parts() {
            info!("all controllers read records in parts");
        }
        let own = &self.settings.members[self.settings.me];
        if !self.formats.members.contains(own) {
            self.formats.busy = true;
            let key = format_key(own);
            let value = serde_json::to_value(FormatRecord { parts: true }).unwrap_or_default();
            let writes = vec![Write::Put {
                key: key.clone(),
                value,
                lease: None,
            }];
            self.send_to_store(
                StoreRequest::CompareAndSwap {
                    conditions: vec![(key, 0)],
                    writes,
                },
                FormatRequest::Written,
            );
        }
    }

    /// Whatever the outcome, the next reading tells.
    pub(crate) fn format_written(&mut self) {
        self.formats.busy = false;
        self.formats.ask_at = self.now + Micros::from_millis(300);
    }
}
