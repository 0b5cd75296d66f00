//! A view of all keys with one prefix: listed once, then updated by watch requests.

use crate::store::{Entry, StoreReply, StoreRequest};
use crate::time::Micros;
use serde_json::Value;
use std::collections::BTreeMap;

/// The change of one key, or its state in a listing.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Key.
    pub key: String,
    /// Its value. None if the key does not exist.
    pub value: Option<Value>,
    /// Revision of the key's last change, or of the listing from which it is missing.
    pub version: u64,
}

/// What a reply means for the view.
#[derive(Clone, Debug, PartialEq)]
pub enum ViewUpdate {
    /// There was no usable reply. The request is repeated after a delay.
    Failed,
    /// A page of a listing, with more to follow.
    Partial,
    /// A complete listing. Known keys that are missing from it were deleted.
    Read {
        /// All keys.
        entries: Vec<Change>,
        /// Revision of the listing.
        revision: u64,
    },
    /// Changes since the last update. Once they are applied, [`View::mark_applied`] must be called with the revision.
    Changed {
        /// The changes, in order.
        changes: Vec<Change>,
        /// The revision up to which the changes are complete.
        revision: u64,
    },
    /// The requested changes are no longer kept. All keys are listed again.
    Compacted,
}

/// The progress of a view. Its owner keeps the contents.
#[derive(Debug, Default)]
pub struct View {
    loaded: bool,
    revision: u64,
    listing: Option<Listing>,
}

/// A listing of all keys that is being read page by page.
#[derive(Debug, Default)]
struct Listing {
    /// Revision of the first page.
    revision: u64,
    entries: BTreeMap<String, Entry>,
}

impl View {
    /// Whether all keys have been listed once.
    pub fn loaded(&self) -> bool {
        self.loaded
    }

    /// The revision up to which all changes have been applied.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The next request.
    pub fn request(&self, prefix: &str, wait: Micros) -> StoreRequest {
        let prefix = prefix.to_owned();
        if self.loaded && self.listing.is_none() {
            return StoreRequest::Watch {
                prefix,
                after: self.revision,
                wait,
            };
        }
        let after = self
            .listing
            .as_ref()
            .and_then(|listing| listing.entries.keys().next_back().cloned());
        StoreRequest::List { prefix, after }
    }

    /// Records that all changes up to this revision have been applied.
    pub fn mark_applied(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Interprets the reply to a request.
    pub fn handle_reply(&mut self, reply: StoreReply) -> ViewUpdate {
        match reply {
            StoreReply::Page {
                entries,
                more,
                revision,
            } => self.add_page(entries, more, revision),
            StoreReply::Changes { revision, events } => {
                // Two replies may contain the same change; an older one must not overwrite a newer one.
                let new = events.into_iter().filter(|event| event.2 > self.revision);
                let changes = new
                    .map(|(key, value, version)| Change {
                        key,
                        value,
                        version,
                    })
                    .collect();
                ViewUpdate::Changed { changes, revision }
            }
            StoreReply::Compacted => {
                self.loaded = false;
                ViewUpdate::Compacted
            }
            _ => ViewUpdate::Failed,
        }
    }

    fn add_page(&mut self, entries: Vec<Entry>, more: bool, revision: u64) -> ViewUpdate {
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
        self.revision = self.revision.max(revision);
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
