//! A view of all keys with one prefix: read once, then kept up by long-lived requests for changes.

use crate::store::{Entry, StoreReply, StoreRequest};
use crate::time::Micros;
use serde_json::Value;
use std::collections::BTreeMap;

/// One key's change, or what a reading showed.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Key.
    pub key: String,
    /// Its value; None if it is not there.
    pub value: Option<Value>,
    /// Revision of the change, or of the reading that did not show it.
    pub version: u64,
}

/// What a reply means for the view.
#[derive(Clone, Debug, PartialEq)]
pub enum ViewUpdate {
    /// Nothing new is known; ask again after a pause.
    Failed,
    /// A page of a reading; there are more.
    Partial,
    /// A complete listing. Keys that are known and not in it were deleted.
    Read {
        /// All keys.
        entries: Vec<Change>,
        /// The revision of the reading.
        revision: u64,
    },
    /// Changes since. Once they are taken in, [`View::reached`] is to be called with the revision.
    Changed {
        /// The changes, in order.
        changes: Vec<Change>,
        /// The revision up to which these are all.
        revision: u64,
    },
    /// The changes asked for are not kept any more: all is read anew.
    TooOld,
}

/// The view's progress. What it shows is kept by whoever owns it.
#[derive(Debug, Default)]
pub struct View {
    loaded: bool,
    seen: u64,
    listing: Option<Listing>,
}

/// A reading of all keys, page by page.
#[derive(Debug, Default)]
struct Listing {
    /// Revision of the first page.
    revision: u64,
    entries: BTreeMap<String, Entry>,
}

impl View {
    /// Whether all keys have been read once.
    pub fn loaded(&self) -> bool {
        self.loaded
    }

    /// The revision up to which all changes are in.
    pub fn seen(&self) -> u64 {
        self.seen
    }

    /// The next request.
    pub fn request(&self, prefix: &str, wait: Micros) -> StoreRequest {
        let prefix = prefix.to_owned();
        if self.loaded && self.listing.is_none() {
            return StoreRequest::Watch {
                prefix,
                after: self.seen,
                wait,
            };
        }
        let after = self
            .listing
            .as_ref()
            .and_then(|listing| listing.entries.keys().next_back().cloned());
        StoreRequest::List { prefix, after }
    }

    /// All changes up to this revision have been taken in.
    pub fn reached(&mut self, revision: u64) {
        self.seen = self.seen.max(revision);
    }

    /// Takes the reply to a request.
    pub fn take(&mut self, reply: StoreReply) -> ViewUpdate {
        match reply {
            StoreReply::Page {
                entries,
                more,
                revision,
            } => self.take_page(entries, more, revision),
            StoreReply::Changes { revision, events } => {
                // Two replies may hold the same change; the older must not undo the newer.
                let new = events.into_iter().filter(|event| event.2 > self.seen);
                let changes = new
                    .map(|(key, value, version)| Change {
                        key,
                        value,
                        version,
                    })
                    .collect();
                ViewUpdate::Changed { changes, revision }
            }
            StoreReply::TooOld => {
                self.loaded = false;
                ViewUpdate::TooOld
            }
            _ => ViewUpdate::Failed,
        }
    }

    fn take_page(&mut self, entries: Vec<Entry>, more: bool, revision: u64) -> ViewUpdate {
        let listing = self.listing.get_or_insert_with(|| Listing {
            revision,
            entries: BTreeMap::new(),
        });
        listing
            .entries
            .extend(entries.into_iter().map(|entry| (entry.key.clone(), entry)));
        if more {
            return ViewUpdate::Partial;
        }
        let Listing { revision, entries } = self.listing.take().unwrap_or_default();
        self.loaded = true;
        self.seen = self.seen.max(revision);
        let changes = entries.into_values().map(|entry| Change {
            key: entry.key,
            value: Some(entry.value),
            version: entry.version,
        });
        ViewUpdate::Read {
            entries: changes.collect(),
            revision,
        }
    }
}
