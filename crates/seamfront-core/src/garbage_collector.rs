//! The duty of removing records that belong to nothing any more: parts of work records and lists of needed jobs that
//! outlived their job. One controller at a time performs it, under a lease and a token of its own.
//!
//! A record goes only if its job's end is in the store: then the job can never be there again, so nothing that is under way
//! can want the record. The end's version, the absence of the record's head and the duty's token are conditions of the
//! removal.

use crate::engine::Engine;
use crate::fleet_duties::GARBAGE_COLLECTION;
use crate::jobs::end_key;
use crate::port::{Entry, StoreReply, StoreRequest, Write};
use crate::types::{JobId, Micros};
use seamfront_lease::port::{Command as DutyCommand, CommitOutcome, RequestId};
use std::collections::BTreeMap;
use tracing::info;

/// Time between two sweeps.
const SWEEP_EVERY: Micros = Micros::from_secs(120);
/// After an answer that tells nothing.
const RETRY: Micros = Micros::from_secs(2);
/// A removal's conditions and changes beside the records: the claim, the log, the end, the head.
const BESIDE: usize = 4;

/// What is swept, in order.
const PREFIXES: [&str; 2] = ["part/", "needs/"];

/// Records of one job that may belong to nothing.
#[derive(Debug)]
struct OrphanedRecords {
    job: JobId,
    /// The key without which they mean nothing.
    head: Option<String>,
    keys: Vec<String>,
}

#[derive(Debug, Default)]
enum Sweep {
    #[default]
    Resting,
    /// Reading the keys with a prefix, a page at a time, and looking at what each page shows.
    Reading {
        prefix: usize,
        after: Option<String>,
        more: bool,
        left: Vec<OrphanedRecords>,
    },
}

/// The duty while it is performed here.
#[derive(Debug, Default)]
pub(crate) struct GarbageCollector {
    sweep: Sweep,
    busy: bool,
    next: Micros,
    request: RequestId,
    /// Records removed in this sweep.
    removed: usize,
}

impl GarbageCollector {
    fn next_request(&mut self) -> RequestId {
        self.request += 1;
        self.request
    }

    /// Ends the sweep; the next begins anew.
    pub(crate) fn stop(&mut self, next: Micros) {
        self.sweep = Sweep::Resting;
        self.busy = false;
        self.next = next;
    }
}

/// The job that a record belongs to, and the head of what it is a part of.
fn owner(key: &str) -> Option<(JobId, Option<String>)> {
    if let Some(rest) = key.strip_prefix("part/") {
        let (shard, rest) = rest.split_once('/')?;
        let (job, _) = rest.rsplit_once('/')?;
        return Some((JobId::from(job), Some(format!("work/{shard}/{job}"))));
    }
    let (job, _) = key.strip_prefix("needs/")?.rsplit_once('/')?;
    Some((JobId::from(job), None))
}

/// An outstanding request of the garbage collector.
pub(crate) enum CollectionRequest {
    OrphanedRecords,
    OwnerEnd,
}

impl Engine {
    /// Routes a reply of the store to what asked for it.
    pub(crate) fn collection_reply(&mut self, request: CollectionRequest, reply: StoreReply) {
        match request {
            CollectionRequest::OrphanedRecords => self.orphaned_records_reply(reply),
            CollectionRequest::OwnerEnd => self.owner_end_reply(reply),
        }
    }

    pub(crate) fn sweep_tick(&mut self) {
        let now = self.now;
        if self.duty_token(GARBAGE_COLLECTION).is_none() {
            return;
        }
        let garbage_collector = &mut self.garbage_collector;
        if garbage_collector.busy || now < garbage_collector.next {
            return;
        }
        if let Sweep::Resting = garbage_collector.sweep {
            garbage_collector.removed = 0;
            garbage_collector.sweep = Sweep::Reading {
                prefix: 0,
                after: None,
                more: true,
                left: Vec::new(),
            };
        }
        let Sweep::Reading {
            prefix,
            after,
            more,
            left,
        } = &mut garbage_collector.sweep
        else {
            return;
        };
        let (request, pending) = if let Some(orphaned) = left.last() {
            (
                StoreRequest::Get {
                    key: end_key(&orphaned.job),
                },
                CollectionRequest::OwnerEnd,
            )
        } else if *more {
            let request = StoreRequest::List {
                prefix: PREFIXES[*prefix].to_owned(),
                after: after.clone(),
            };
            (request, CollectionRequest::OrphanedRecords)
        } else if *prefix + 1 < PREFIXES.len() {
            *prefix += 1;
            (*after, *more) = (None, true);
            return;
        } else {
            if garbage_collector.removed > 0 {
                info!(
                    removed = garbage_collector.removed,
                    "records of ended jobs removed"
                );
            }
            return garbage_collector.stop(now + SWEEP_EVERY);
        };
        garbage_collector.busy = true;
        self.send_to_store(request, pending);
    }

    pub(crate) fn orphaned_records_reply(&mut self, reply: StoreReply) {
        let now = self.now;
        let garbage_collector = &mut self.garbage_collector;
        garbage_collector.busy = false;
        let StoreReply::Page {
            entries,
            more: further,
            ..
        } = reply
        else {
            return garbage_collector.stop(now + RETRY);
        };
        let Sweep::Reading {
            after, more, left, ..
        } = &mut garbage_collector.sweep
        else {
            return;
        };
        *more = further;
        if let Some(last) = entries.last() {
            *after = Some(last.key.clone());
        }
        let mut found: BTreeMap<(JobId, Option<String>), Vec<String>> = BTreeMap::new();
        for entry in entries {
            // What can't be read is left alone.
            let Some(owner) = owner(&entry.key) else {
                continue;
            };
            if !self.jobs.contains_key(&owner.0) {
                found.entry(owner).or_default().push(entry.key);
            }
        }
        *left = found
            .into_iter()
            .map(|((job, head), keys)| OrphanedRecords { job, head, keys })
            .collect();
    }

    pub(crate) fn owner_end_reply(&mut self, reply: StoreReply) {
        let now = self.now;
        let most = self.settings.txn_ops.saturating_sub(BESIDE).max(1);
        let garbage_collector = &mut self.garbage_collector;
        garbage_collector.busy = false;
        let request = garbage_collector.request + 1;
        let Sweep::Reading { left, .. } = &mut garbage_collector.sweep else {
            return;
        };
        let command = match reply {
            StoreReply::Entry(end) => left
                .last_mut()
                .map(|orphaned| removal(request, orphaned, &end, most)),
            // Not ended, or not begun.
            StoreReply::Missing => {
                left.pop();
                None
            }
            _ => return garbage_collector.stop(now + RETRY),
        };
        let Some(command) = command else { return };
        garbage_collector.busy = true;
        garbage_collector.next_request();
        self.duty_step(vec![command]);
    }

    pub(crate) fn removal_done(&mut self, request: RequestId, outcome: &CommitOutcome) {
        let now = self.now;
        let garbage_collector = &mut self.garbage_collector;
        if request != garbage_collector.request {
            return;
        }
        garbage_collector.busy = false;
        let most = self.settings.txn_ops.saturating_sub(BESIDE).max(1);
        let Sweep::Reading { left, .. } = &mut garbage_collector.sweep else {
            return;
        };
        match outcome {
            CommitOutcome::Committed(_) => {
                let Some(orphaned) = left.last_mut() else {
                    return;
                };
                let taken = orphaned.keys.len().min(most);
                orphaned.keys.drain(..taken);
                garbage_collector.removed += taken;
                if orphaned.keys.is_empty() {
                    left.pop();
                }
            }
            // It belongs to something after all.
            CommitOutcome::Conflict(_) => {
                left.pop();
            }
            _ => garbage_collector.stop(now + RETRY),
        }
    }
}

/// Removes as many of a job's leftovers as one transaction takes, on condition that the job has ended and their head is
/// not there.
fn removal(
    request: RequestId,
    orphaned: &OrphanedRecords,
    end: &Entry,
    most: usize,
) -> DutyCommand {
    let mut conditions = vec![(end.key.clone(), end.version)];
    conditions.extend(orphaned.head.iter().map(|head| (head.clone(), 0)));
    let writes = orphaned
        .keys
        .iter()
        .take(most)
        .map(|key| Write::Delete { key: key.clone() })
        .collect();
    DutyCommand::Commit {
        request,
        duty: GARBAGE_COLLECTION.to_owned(),
        conditions,
        writes,
    }
}
