//! Garbage collection of records that remain after their job has ended: parts of work records and parts of dependency
//! lists. It is a duty with a lease and a fencing token of its own, so one controller at a time performs it.
//!
//! Records are removed only if their job's end record is in the store: then the job can never exist again, and no write
//! in flight can need the records. The version of the end record, the absence of the work record's head and the duty's
//! fencing token are conditions of the removal.

use crate::fleet_duties::GARBAGE_COLLECTION;
use crate::jobs::end_key;
use crate::outbox::Outbox;
use crate::port::{Entry, StoreReply, StoreRequest, Write};
use crate::types::{JobId, Micros, Settings};
use seamfront_lease::port::{Command as DutyCommand, CommitOutcome, RequestId};
use std::collections::BTreeMap;
use tracing::info;

/// Time between the end of a pass and the start of the next one.
const PASS_INTERVAL: Micros = Micros::from_secs(120);
/// Delay of the next pass after a request that failed or whose outcome is unknown.
const RETRY_DELAY: Micros = Micros::from_secs(2);
/// Operations in a removal's transaction besides the removed records: conditions and changes for the claim, the
/// operation log, the end record and the head of the work record.
const RESERVED_OPERATIONS: usize = 4;

/// Key prefixes of the records that may be garbage, in the order in which a pass reads them.
const PREFIXES: [&str; 2] = ["part/", "needs/"];

/// What a record belongs to: a job and, for a part of a work record, the head of that work record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RecordOwner {
    job: JobId,
    /// Key of the head of the work record; a part without its head has no meaning. `None` for other records.
    head: Option<String>,
}

impl RecordOwner {
    /// Reads the owner from a record's key; `None` if the key has an unknown form.
    fn from_key(key: &str) -> Option<RecordOwner> {
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

/// Records of one owner that are removed if its job has ended.
#[derive(Debug)]
struct CandidateRecords {
    owner: RecordOwner,
    keys: Vec<String>,
}

/// A pass over all records that may be garbage.
#[derive(Debug, Default)]
enum Pass {
    /// No pass is under way.
    #[default]
    Idle,
    /// The keys with a prefix are read page by page, and the records of each page are examined.
    Reading {
        /// Index into [`PREFIXES`].
        prefix: usize,
        /// The last key that was read.
        after: Option<String>,
        /// Whether there are further pages with this prefix.
        more: bool,
        /// Records of the last page that are still to be examined.
        candidates: Vec<CandidateRecords>,
    },
}

/// The next step of a pass.
enum PassStep {
    /// A request is to be sent to the store.
    Request(StoreRequest, CollectionRequest),
    /// The pass goes on to the next prefix.
    NextPrefix,
    /// The pass is completed.
    Completed,
}

/// The garbage collector of this controller. It is active while the controller holds the duty.
#[derive(Debug, Default)]
pub(crate) struct GarbageCollector {
    pass: Pass,
    request_in_flight: bool,
    next_request_at: Micros,
    last_removal: RequestId,
    /// Number of records removed in this pass.
    removed: usize,
}

/// An outstanding read request of the garbage collector.
pub(crate) enum CollectionRequest {
    /// A page of keys.
    ListRecords,
    /// The end record of the job that owns the records examined.
    ReadEndRecord,
}

impl GarbageCollector {
    /// Stops the pass; the next one starts at `next` at the earliest.
    pub(crate) fn reset(&mut self, next: Micros) {
        self.pass = Pass::Idle;
        self.request_in_flight = false;
        self.next_request_at = next;
    }

    /// Continues the pass, or starts one if it is due. Called only while this controller holds the duty.
    pub(crate) fn tick(&mut self, now: Micros, outbox: &mut Outbox<CollectionRequest>) {
        if self.request_in_flight || now < self.next_request_at {
            return;
        }
        if let Pass::Idle = self.pass {
            self.start_pass();
        }
        match self.next_step() {
            PassStep::Request(request, pending) => {
                self.request_in_flight = true;
                outbox.store(request, pending);
            }
            PassStep::NextPrefix => {}
            PassStep::Completed => {
                if self.removed > 0 {
                    info!(removed = self.removed, "records of ended jobs removed");
                }
                self.reset(now + PASS_INTERVAL);
            }
        }
    }

    fn start_pass(&mut self) {
        self.removed = 0;
        self.pass = Pass::Reading {
            prefix: 0,
            after: None,
            more: true,
            candidates: Vec::new(),
        };
    }

    fn next_step(&mut self) -> PassStep {
        let Pass::Reading {
            prefix,
            after,
            more,
            candidates,
        } = &mut self.pass
        else {
            return PassStep::NextPrefix;
        };
        if let Some(records) = candidates.last() {
            let request = StoreRequest::Get {
                key: end_key(&records.owner.job),
            };
            return PassStep::Request(request, CollectionRequest::ReadEndRecord);
        }
        if *more {
            let request = StoreRequest::List {
                prefix: PREFIXES[*prefix].to_owned(),
                after: after.clone(),
            };
            return PassStep::Request(request, CollectionRequest::ListRecords);
        }
        if *prefix + 1 < PREFIXES.len() {
            *prefix += 1;
            *after = None;
            *more = true;
            return PassStep::NextPrefix;
        }
        PassStep::Completed
    }

    /// Handles a page of keys. Records of live jobs are kept.
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
            return self.reset(now + RETRY_DELAY);
        };
        let Pass::Reading {
            after,
            more,
            candidates,
            ..
        } = &mut self.pass
        else {
            return;
        };
        *more = further_pages;
        if let Some(last) = entries.last() {
            *after = Some(last.key.clone());
        }
        *candidates = candidate_records(entries, is_live);
    }

    /// Handles the reply to the read of an end record. If the job has ended, returns the command that removes its
    /// records.
    pub(crate) fn owner_end_reply(
        &mut self,
        settings: &Settings,
        now: Micros,
        reply: StoreReply,
    ) -> Option<DutyCommand> {
        self.request_in_flight = false;
        let Pass::Reading { candidates, .. } = &mut self.pass else {
            return None;
        };
        match reply {
            StoreReply::Entry(end) => {
                let records = candidates.last()?;
                self.last_removal += 1;
                self.request_in_flight = true;
                let max_records = records_per_removal(settings);
                Some(removal_command(
                    self.last_removal,
                    records,
                    &end,
                    max_records,
                ))
            }
            // The job has not ended, or has not been submitted yet.
            StoreReply::Missing => {
                candidates.pop();
                None
            }
            _ => {
                self.reset(now + RETRY_DELAY);
                None
            }
        }
    }

    /// Handles the outcome of a removal.
    pub(crate) fn removal_reply(
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
        let Pass::Reading { candidates, .. } = &mut self.pass else {
            return;
        };
        match outcome {
            CommitOutcome::Committed(_) => {
                let Some(records) = candidates.last_mut() else {
                    return;
                };
                let removed = records.keys.len().min(records_per_removal(settings));
                records.keys.drain(..removed);
                self.removed += removed;
                if records.keys.is_empty() {
                    candidates.pop();
                }
            }
            // A condition does not hold: the records may be in use.
            CommitOutcome::Conflict(_) => {
                candidates.pop();
            }
            _ => self.reset(now + RETRY_DELAY),
        }
    }
}

/// Maximum number of records that one transaction removes.
fn records_per_removal(settings: &Settings) -> usize {
    settings
        .max_txn_changes
        .saturating_sub(RESERVED_OPERATIONS)
        .max(1)
}

/// The records of a page that belong to no live job, grouped by owner.
fn candidate_records(
    entries: Vec<Entry>,
    is_live: impl Fn(&JobId) -> bool,
) -> Vec<CandidateRecords> {
    let mut by_owner: BTreeMap<RecordOwner, Vec<String>> = BTreeMap::new();
    for entry in entries {
        // Records whose keys have an unknown form are kept.
        let Some(owner) = RecordOwner::from_key(&entry.key) else {
            continue;
        };
        if !is_live(&owner.job) {
            by_owner.entry(owner).or_default().push(entry.key);
        }
    }
    by_owner
        .into_iter()
        .map(|(owner, keys)| CandidateRecords { owner, keys })
        .collect()
}

/// The command that removes up to `max_records` of an owner's records, on condition that the job has ended and the head
/// of the work record does not exist.
fn removal_command(
    request: RequestId,
    records: &CandidateRecords,
    end: &Entry,
    max_records: usize,
) -> DutyCommand {
    let mut conditions = vec![(end.key.clone(), end.version)];
    conditions.extend(records.owner.head.iter().map(|head| (head.clone(), 0)));
    let writes = records
        .keys
        .iter()
        .take(max_records)
        .map(|key| Write::Delete { key: key.clone() })
        .collect();
    DutyCommand::Commit {
        request,
        duty: GARBAGE_COLLECTION.to_owned(),
        conditions,
        writes,
    }
}
