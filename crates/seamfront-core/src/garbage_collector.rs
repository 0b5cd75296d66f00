//! The duty of removing records that belong to nothing any more: parts of work records and lists of needed jobs that
//! outlived their job. One controller at a time performs it, under a lease and a fencing token of its own.
//!
//! A record is removed only if its job's end record is in the store: then the job can never exist again, so no write in
//! flight can need the record. The end record's version, the absence of the work record's head and the duty's token are
//! conditions of the removal.

use crate::fleet_duties::GARBAGE_COLLECTION;
use crate::jobs::end_key;
use crate::outbox::Outbox;
use crate::port::{Entry, StoreReply, StoreRequest, Write};
use crate::types::{JobId, Micros, Settings};
use seamfront_lease::port::{Command as DutyCommand, CommitOutcome, RequestId};
use std::collections::BTreeMap;
use tracing::info;

/// Time between two sweeps.
const SWEEP_INTERVAL: Micros = Micros::from_secs(120);
/// Delay of the next sweep after a request that failed or whose outcome is unknown.
const RETRY_DELAY: Micros = Micros::from_secs(2);
/// A removal's conditions and changes beside the records: the claim, the log, the end, the head.
const OPERATIONS_BESIDE_RECORDS: usize = 4;

/// Prefixes of the keys that are swept, in order.
const PREFIXES: [&str; 2] = ["part/", "needs/"];

/// The job that a record belongs to, and the head of the work record that it is a part of.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RecordOwner {
    job: JobId,
    /// Key of the head without which the record means nothing.
    head: Option<String>,
}

impl RecordOwner {
    /// The owner that a key names.
    fn of_key(key: &str) -> Option<RecordOwner> {
        if let Some(rest) = key.strip_prefix("part/") {
            let (shard, rest) = rest.split_once('/')?;
            let (job, _) = rest.rsplit_once('/')?;
            return Some(RecordOwner {
                job: JobId::from(job),
                head: Some(format!("work/{shard}/{job}")),
            });
        }
        let (job, _) = key.strip_prefix("needs/")?.rsplit_once('/')?;
        Some(RecordOwner {
            job: JobId::from(job),
            head: None,
        })
    }
}

/// Records of one job that may be orphaned.
#[derive(Debug)]
struct OrphanedRecords {
    owner: RecordOwner,
    keys: Vec<String>,
}

#[derive(Debug, Default)]
enum Sweep {
    #[default]
    Idle,
    /// Reading the keys with a prefix a page at a time, and examining the records of each page.
    Reading {
        /// Index into [`PREFIXES`].
        prefix: usize,
        /// The last key read.
        after: Option<String>,
        /// Whether there are further pages.
        more: bool,
        /// Records of the page that are still to be examined.
        candidates: Vec<OrphanedRecords>,
    },
}

/// What the garbage collector sends next in a sweep.
enum SweepStep {
    Request(StoreRequest, CollectionRequest),
    NextPrefix,
    Completed,
}

/// The garbage collector of this controller; it runs while the duty is held here.
#[derive(Debug, Default)]
pub(crate) struct GarbageCollector {
    sweep: Sweep,
    request_in_flight: bool,
    next_request_at: Micros,
    last_removal: RequestId,
    /// Records removed in this sweep.
    removed: usize,
}

/// An outstanding request of the garbage collector.
pub(crate) enum CollectionRequest {
    /// A page of keys.
    OrphanedRecords,
    /// The end record of the job that records belong to.
    OwnerEnd,
}

impl GarbageCollector {
    /// Ends the sweep; the next one starts at `next` at the earliest.
    pub(crate) fn stop(&mut self, next: Micros) {
        self.sweep = Sweep::Idle;
        self.request_in_flight = false;
        self.next_request_at = next;
    }

    /// Continues the sweep, or starts one when it is due. Called only while the duty is held here.
    pub(crate) fn tick(&mut self, now: Micros, outbox: &mut Outbox<CollectionRequest>) {
        if self.request_in_flight || now < self.next_request_at {
            return;
        }
        if let Sweep::Idle = self.sweep {
            self.start_sweep();
        }
        match self.next_step() {
            SweepStep::Request(request, pending) => {
                self.request_in_flight = true;
                outbox.store(request, pending);
            }
            SweepStep::NextPrefix => {}
            SweepStep::Completed => {
                if self.removed > 0 {
                    info!(removed = self.removed, "records of ended jobs removed");
                }
                self.stop(now + SWEEP_INTERVAL);
            }
        }
    }

    fn start_sweep(&mut self) {
        self.removed = 0;
        self.sweep = Sweep::Reading {
            prefix: 0,
            after: None,
            more: true,
            candidates: Vec::new(),
        };
    }

    fn next_step(&mut self) -> SweepStep {
        let Sweep::Reading {
            prefix,
            after,
            more,
            candidates,
        } = &mut self.sweep
        else {
            return SweepStep::NextPrefix;
        };
        if let Some(orphaned) = candidates.last() {
            let request = StoreRequest::Get {
                key: end_key(&orphaned.owner.job),
            };
            return SweepStep::Request(request, CollectionRequest::OwnerEnd);
        }
        if *more {
            let request = StoreRequest::List {
                prefix: PREFIXES[*prefix].to_owned(),
                after: after.clone(),
            };
            return SweepStep::Request(request, CollectionRequest::OrphanedRecords);
        }
        if *prefix + 1 < PREFIXES.len() {
            *prefix += 1;
            *after = None;
            *more = true;
            return SweepStep::NextPrefix;
        }
        SweepStep::Completed
    }

    /// Takes in a page of keys. Records of live jobs are kept.
    pub(crate) fn page_reply(
        &mut self,
        now: Micros,
        reply: StoreReply,
        is_live: impl Fn(&JobId) -> bool,
    ) {
        self.request_in_flight = false;
        let StoreReply::Page {
            entries,
            more: further_pages,
            ..
        } = reply
        else {
            return self.stop(now + RETRY_DELAY);
        };
        let Sweep::Reading {
            after,
            more,
            candidates,
            ..
        } = &mut self.sweep
        else {
            return;
        };
        *more = further_pages;
        if let Some(last) = entries.last() {
            *after = Some(last.key.clone());
        }
        *candidates = orphaned_records(entries, is_live);
    }

    /// Takes in the end record of the job examined last; returns the removal of its records if the job has ended.
    pub(crate) fn owner_end_reply(
        &mut self,
        settings: &Settings,
        now: Micros,
        reply: StoreReply,
    ) -> Option<DutyCommand> {
        self.request_in_flight = false;
        let Sweep::Reading { candidates, .. } = &mut self.sweep else {
            return None;
        };
        match reply {
            StoreReply::Entry(end) => {
                let orphaned = candidates.last()?;
                self.last_removal += 1;
                self.request_in_flight = true;
                let most = records_per_removal(settings);
                Some(removal(self.last_removal, orphaned, &end, most))
            }
            // Not ended, or not begun.
            StoreReply::Missing => {
                candidates.pop();
                None
            }
            _ => {
                self.stop(now + RETRY_DELAY);
                None
            }
        }
    }

    /// Takes in the outcome of a removal.
    pub(crate) fn removal_done(
        &mut self,
        settings: &Settings,
        now: Micros,
        request: RequestId,
        outcome: &CommitOutcome,
    ) {
        if request != self.last_removal {
            return;
        }
        self.request_in_flight = false;
        let Sweep::Reading { candidates, .. } = &mut self.sweep else {
            return;
        };
        match outcome {
            CommitOutcome::Committed(_) => {
                let Some(orphaned) = candidates.last_mut() else {
                    return;
                };
                let removed = orphaned.keys.len().min(records_per_removal(settings));
                orphaned.keys.drain(..removed);
                self.removed += removed;
                if orphaned.keys.is_empty() {
                    candidates.pop();
                }
            }
            // The records are in use after all.
            CommitOutcome::Conflict(_) => {
                candidates.pop();
            }
            _ => self.stop(now + RETRY_DELAY),
        }
    }
}

/// How many records one transaction removes at most.
fn records_per_removal(settings: &Settings) -> usize {
    settings
        .txn_ops
        .saturating_sub(OPERATIONS_BESIDE_RECORDS)
        .max(1)
}

/// The records of a page that belong to no live job, by owner.
fn orphaned_records(entries: Vec<Entry>, is_live: impl Fn(&JobId) -> bool) -> Vec<OrphanedRecords> {
    let mut found: BTreeMap<RecordOwner, Vec<String>> = BTreeMap::new();
    for entry in entries {
        // Records with an unknown form of key are left alone.
        let Some(owner) = RecordOwner::of_key(&entry.key) else {
            continue;
        };
        if !is_live(&owner.job) {
            found.entry(owner).or_default().push(entry.key);
        }
    }
    found
        .into_iter()
        .map(|(owner, keys)| OrphanedRecords { owner, keys })
        .collect()
}

/// Removes as many of a job's records as one transaction takes, on condition that the job has ended and the records'
/// head does not exist.
fn removal(
    request: RequestId,
    orphaned: &OrphanedRecords,
    end: &Entry,
    most: usize,
) -> DutyCommand {
    let mut conditions = vec![(end.key.clone(), end.version)];
    conditions.extend(orphaned.owner.head.iter().map(|head| (head.clone(), 0)));
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
