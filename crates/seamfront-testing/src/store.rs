//! In-memory stand-in for the key-value store.

use seamfront_lease::store::{Entry, StoreReply, StoreRequest, Write};
use seamfront_lease::time::Micros;
use serde_json::Value;
use std::collections::BTreeMap;

/// Limit of the store's protocol.
const MAX_TRANSACTION_BYTES: usize = 64 * 1024;

/// Approximate size in bytes of a change in the body of a transaction.
pub fn size_of(write: &Write) -> usize {
    match write {
        Write::Put { key, value, .. } => key.len() + value.to_string().len() + 40,
        Write::Delete { key } => key.len() + 20,
    }
}

#[derive(Default)]
pub struct Store {
    /// By key: the value, its version (the revision of the last write), and the lease that the key is attached to.
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    pub revision: u64,
    /// By id: lease expiry and TTL.
    leases: BTreeMap<u64, (Micros, Micros)>,
    /// Id of the last lease that was granted.
    last_lease: u64,
    /// All changes in order: revision, key, value (`None` for a deletion).
    pub log: Vec<(u64, String, Option<Value>)>,
    /// Most entries in one reply to a list request.
    page_size: usize,
    value_bytes: usize,
    transaction_changes: usize,
}

impl Store {
    /// A store with the usual limits on values and transactions.
    pub fn with_page_size(page_size: usize) -> Store {
        Store::with_limits(page_size, 32 * 1024, 48)
    }

    pub fn with_limits(page_size: usize, value_bytes: usize, transaction_changes: usize) -> Store {
        Store {
            page_size,
            value_bytes,
            transaction_changes,
            ..Store::default()
        }
    }

    /// Changes the limits for later requests. What is stored stays, even if it is larger.
    pub fn set_limits(&mut self, value_bytes: usize, transaction_changes: usize) {
        self.value_bytes = value_bytes;
        self.transaction_changes = transaction_changes;
    }

    /// Executes a request. Returns `None` for a watch that has to wait, since nothing has changed yet.
    ///
    /// # Panics
    ///
    /// If a transaction exceeds a limit: the code under test has to keep to them.
    pub fn execute(&mut self, now: Micros, request: &StoreRequest) -> Option<StoreReply> {
        Some(match request {
            StoreRequest::Get { key } => match self.keys.get(key) {
                Some((v, version, _)) => StoreReply::Entry(Entry {
                    key: key.clone(),
                    value: v.clone(),
                    version: *version,
                }),
                None => StoreReply::Missing,
            },
            StoreRequest::List { prefix, after } => {
                let from = after.clone().unwrap_or_default();
                let all: Vec<Entry> = self
                    .keys
                    .range(prefix.clone()..)
                    .take_while(|(k, _)| k.starts_with(prefix.as_str()))
                    .filter(|(k, _)| **k > from)
                    .map(|(k, v)| Entry {
                        key: k.clone(),
                        value: v.0.clone(),
                        version: v.1,
                    })
                    .collect();
                let more = all.len() > self.page_size;
                let entries = all.into_iter().take(self.page_size).collect();
                StoreReply::Page {
                    entries,
                    more,
                    revision: self.revision,
                }
            }
            StoreRequest::CompareAndSwap { conditions, writes } => {
                let failed: Vec<String> = conditions
                    .iter()
                    .filter(|(k, v)| self.keys.get(k).map_or(0, |e| e.1) != *v)
                    .map(|condition| condition.0.clone())
                    .collect();
                let leases = writes.iter().filter_map(|w| match w {
                    Write::Put { lease, .. } => *lease,
                    Write::Delete { .. } => None,
                });
                if leases.into_iter().any(|l| !self.leases.contains_key(&l)) {
                    return Some(StoreReply::NoSuchLease);
                }
                if !failed.is_empty() {
                    return Some(StoreReply::Conflict { failed });
                }
                let conditions = conditions.len();
                let bytes: usize = writes.iter().map(size_of).sum();
                assert!(
                    bytes <= MAX_TRANSACTION_BYTES,
                    "transaction has {bytes} bytes, the limit is {MAX_TRANSACTION_BYTES}"
                );
                assert!(
                    writes.len() <= self.transaction_changes && conditions <= 4 * self.transaction_changes,
                    "transaction has {} changes and {conditions} conditions, the limits are {} and {}",
                    writes.len(),
                    self.transaction_changes,
                    4 * self.transaction_changes
                );
                if !writes.is_empty() {
                    self.revision += 1;
                }
                for w in writes {
                    match w {
                        Write::Put { key, value, lease } => {
                            assert!(
                                value.to_string().len() <= self.value_bytes,
                                "value of key {key} exceeds {} bytes",
                                self.value_bytes
                            );
                            self.keys
                                .insert(key.clone(), (value.clone(), self.revision, *lease));
                            self.log
                                .push((self.revision, key.clone(), Some(value.clone())));
                        }
                        Write::Delete { key } => self.remove(key),
                    }
                }
                StoreReply::Committed {
                    revision: self.revision,
                }
            }
            StoreRequest::GrantLease { ttl } => {
                self.last_lease += 1;
                self.leases.insert(self.last_lease, (now + *ttl, *ttl));
                StoreReply::Lease {
                    id: self.last_lease,
                }
            }
            StoreRequest::RenewLease { lease } => match self.leases.get_mut(lease) {
                Some(l) => {
                    l.0 = now + l.1;
                    StoreReply::Renewed
                }
                None => StoreReply::NoSuchLease,
            },
            StoreRequest::Watch {
                prefix,
                after,
                wait,
            } => {
                let from = self.log.partition_point(|(r, _, _)| r <= after);
                let events: Vec<(String, Option<Value>, u64)> = self.log[from..]
                    .iter()
                    .filter(|(_, k, _)| k.starts_with(prefix.as_str()))
                    .map(|(r, k, v)| (k.clone(), v.clone(), *r))
                    .collect();
                if events.is_empty() && *wait > Micros::ZERO {
                    return None;
                }
                StoreReply::Changes {
                    revision: self.revision,
                    events,
                }
            }
        })
    }

    fn remove(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.log.push((self.revision, key.to_owned(), None));
        }
    }

    /// Deletes the keys of every lease that has expired.
    pub fn expire(&mut self, now: Micros) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|l| l.1 .0 < now)
            .map(|l| *l.0)
            .collect();
        for lease in expired {
            self.leases.remove(&lease);
            let keys: Vec<String> = self
                .keys
                .iter()
                .filter(|k| k.1 .2 == Some(lease))
                .map(|k| k.0.clone())
                .collect();
            if !keys.is_empty() {
                self.revision += 1;
            }
            for k in keys {
                self.remove(&k);
            }
        }
    }

    /// Extends every lease to its full TTL, as the store does after an outage of its own.
    pub fn refresh(&mut self, now: Micros) {
        for l in self.leases.values_mut() {
            l.0 = now + l.1;
        }
    }
}
