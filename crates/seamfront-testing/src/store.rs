//! Stand-in for the state service.

use seamfront_lease::store::{Entry, StoreReply, StoreRequest, Write};
use seamfront_lease::time::Micros;
use serde_json::Value;
use std::collections::BTreeMap;

/// What the protocol allows in a transaction.
const TRANSACTION_BYTES: usize = 64 * 1024;

/// About what a change takes in a transaction's body.
pub fn size_of(write: &Write) -> usize {
    match write {
        Write::Put { key, value, .. } => key.len() + value.to_string().len() + 40,
        Write::Delete { key } => key.len() + 20,
    }
}

#[derive(Default)]
pub struct Store {
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    pub revision: u64,
    leases: BTreeMap<u64, (Micros, Micros)>,
    next_lease: u64,
    /// All changes in order: revision, key, value (none for a removal).
    pub log: Vec<(u64, String, Option<Value>)>,
    /// Entries in one answer.
    page: usize,
    value_bytes: usize,
    txn_ops: usize,
}

impl Store {
    pub fn with_page(page: usize) -> Store {
        Store::with(page, 32 * 1024, 48)
    }

    pub fn with(page: usize, value_bytes: usize, txn_ops: usize) -> Store {
        Store {
            page,
            value_bytes,
            txn_ops,
            ..Store::default()
        }
    }

    /// Takes less from now on.
    pub fn limit(&mut self, value_bytes: usize, txn_ops: usize) {
        self.value_bytes = value_bytes;
        self.txn_ops = txn_ops;
    }

    /// None: a watch with nothing to tell yet.
    pub fn execute(&mut self, now: Micros, call: &StoreRequest) -> Option<StoreReply> {
        Some(match call {
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
                let more = all.len() > self.page;
                let entries = all.into_iter().take(self.page).collect();
                StoreReply::Page {
                    entries,
                    more,
                    revision: self.revision,
                }
            }
            StoreRequest::CompareAndSwap { conditions, writes } => {
                let bad: Vec<String> = conditions
                    .iter()
                    .filter(|(k, v)| self.keys.get(k).map_or(0, |e| e.1) != *v)
                    .map(|w| w.0.clone())
                    .collect();
                let leases = writes.iter().filter_map(|w| match w {
                    Write::Put { lease, .. } => *lease,
                    Write::Delete { .. } => None,
                });
                if leases.into_iter().any(|l| !self.leases.contains_key(&l)) {
                    return Some(StoreReply::NoSuchLease);
                }
                if !bad.is_empty() {
                    return Some(StoreReply::Conflict { failed: bad });
                }
                let conditions = conditions.len();
                let bytes: usize = writes.iter().map(size_of).sum();
                assert!(bytes <= TRANSACTION_BYTES, "a transaction of {bytes} bytes");
                assert!(
                    writes.len() <= self.txn_ops && conditions <= 4 * self.txn_ops,
                    "a transaction is too large"
                );
                if !writes.is_empty() {
                    self.revision += 1;
                }
                for w in writes {
                    match w {
                        Write::Put { key, value, lease } => {
                            assert!(
                                value.to_string().len() <= self.value_bytes,
                                "value of {key} is too large"
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
                self.next_lease += 1;
                self.leases.insert(self.next_lease, (now + *ttl, *ttl));
                StoreReply::Lease {
                    id: self.next_lease,
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

    pub fn expire(&mut self, now: Micros) {
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|l| l.1 .0 < now)
            .map(|l| *l.0)
            .collect();
        for lease in over {
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

    /// Once an outage is over, every lease has its full time again.
    pub fn refresh(&mut self, now: Micros) {
        for l in self.leases.values_mut() {
            l.0 = now + l.1;
        }
    }
}
