//! Requests to the key-value store that holds leases, claims and operation logs, and its replies.

use crate::time::Micros;
use serde_json::Value;

/// A request to the key-value store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreRequest {
    /// Read one key.
    Get {
        /// Key.
        key: String,
    },
    /// Read the keys with a prefix, in pages.
    List {
        /// Prefix of the keys.
        prefix: String,
        /// The last key of the previous page.
        after: Option<String>,
    },
    /// Compare the versions of keys and, if all match, apply the changes in one transaction.
    CompareAndSwap {
        /// Keys and their expected versions, 0 for a key that must not exist.
        conditions: Vec<(String, u64)>,
        /// The changes; if there are none, the versions are only compared.
        writes: Vec<Write>,
    },
    /// Create a lease.
    GrantLease {
        /// How long it lasts without renewal.
        ttl: Micros,
    },
    /// Renew a lease.
    RenewLease {
        /// Id of the lease.
        lease: u64,
    },
    /// Wait for changes after a revision.
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// The revision after which changes are wanted.
        after: u64,
        /// Maximum time to wait for a change.
        wait: Micros,
    },
}

/// A change of one key in a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// Write a key, optionally attached to a lease.
    Put {
        /// Key.
        key: String,
        /// Value.
        value: Value,
        /// Id of the lease whose end deletes the key.
        lease: Option<u64>,
    },
    /// Delete a key.
    Delete {
        /// Key.
        key: String,
    },
}

/// A stored key and its value.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Value,
    /// Revision of its last change.
    pub version: u64,
}

/// A reply of the key-value store.
#[derive(Clone, Debug)]
pub enum StoreReply {
    /// The requested key.
    Entry(Entry),
    /// The key does not exist.
    Missing,
    /// A page of keys.
    Page {
        /// The keys in ascending order.
        entries: Vec<Entry>,
        /// Whether there are more keys after the last.
        more: bool,
        /// Revision of the store.
        revision: u64,
    },
    /// The transaction was applied.
    Committed {
        /// Its revision, or the store's current one if there were no changes to apply.
        revision: u64,
    },
    /// A condition did not hold; nothing was changed.
    Conflict {
        /// Keys whose version differs from the expected one.
        failed: Vec<String>,
    },
    /// A lease was granted.
    Lease {
        /// Id of the lease.
        id: u64,
    },
    /// The lease was renewed for its full duration.
    Renewed,
    /// The changes after a revision. Deletions have no value.
    Changes {
        /// The revision up to which the changes are complete.
        revision: u64,
        /// Key, value and revision of each change.
        events: Vec<(String, Option<Value>, u64)>,
    },
    /// The requested changes are no longer kept.
    Compacted,
    /// The lease has expired.
    NoSuchLease,
    /// HTTP status 429 or 503, or no connection could be made: the request was certainly not executed.
    Refused,
    /// No reply: the request may have been executed, or may still be.
    Unknown,
}
