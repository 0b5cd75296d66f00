//! The key-value store that leases, claims and logs are kept in: requests and replies.

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
    /// Read the keys with a prefix, a page at a time.
    List {
        /// Prefix of the keys.
        prefix: String,
        /// The last key of the page before.
        after: Option<String>,
    },
    /// Compare versions, then write; all or nothing.
    CompareAndSwap {
        /// Keys with the versions that they must have, 0 for none.
        conditions: Vec<(String, u64)>,
        /// Changes; without any the versions are only compared.
        writes: Vec<Write>,
    },
    /// Get a lease.
    GrantLease {
        /// How long it lasts without being renewed.
        ttl: Micros,
    },
    /// Renew a lease.
    RenewLease {
        /// The lease.
        lease: u64,
    },
    /// Wait for changes after a revision.
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// The revision after which changes are wanted.
        after: u64,
        /// How long to wait for one.
        wait: Micros,
    },
}

/// A change in a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// Write a key, attached to a lease or not.
    Put {
        /// Key.
        key: String,
        /// Value.
        value: Value,
        /// The lease that the key ends with.
        lease: Option<u64>,
    },
    /// Remove a key.
    Delete {
        /// Key.
        key: String,
    },
}

/// A key as it is stored.
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
    /// The key asked for.
    Entry(Entry),
    /// There is no such key.
    Missing,
    /// A page of keys.
    Page {
        /// The keys, in order.
        entries: Vec<Entry>,
        /// Whether there are more after the last.
        more: bool,
        /// The store's revision.
        revision: u64,
    },
    /// The transaction was carried out.
    Committed {
        /// Its revision, or the present one if it only compared.
        revision: u64,
    },
    /// A condition did not hold; nothing was changed.
    Conflict {
        /// Keys whose version is another.
        failed: Vec<String>,
    },
    /// A lease was granted.
    Lease {
        /// Its name.
        id: u64,
    },
    /// The lease has its full time again.
    Renewed,
    /// Deletions have no value.
    Changes {
        /// The revision up to which these are all changes.
        revision: u64,
        /// Key, value and revision of each change.
        events: Vec<(String, Option<Value>, u64)>,
    },
    /// The changes asked for are not kept any more.
    TooOld,
    /// The lease has ended.
    NoSuchLease,
    /// 429 or 503, or the connection was never made: certainly not executed.
    Refused,
    /// No reply: may have been executed, or may be later.
    Unknown,
}
