//! Machines of a shard, and the evidence of what is on them.

use crate::port::CallId;
use crate::types::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// `machine/<id>`. Its version is part of the machine's token, so rewriting it fences the machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// None while it is being returned to the cloud.
    #[serde(rename = "share")]
    pub shard: Option<usize>,
    /// Machine type.
    pub kind: String,
    /// Zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// Key of a machine's record.
pub fn machine_key(id: &MachineId) -> String {
    format!("machine/{id}")
}

/// Orders sent straight to a worker. While they are unsettled they may still be carried out.
#[derive(Clone, Debug)]
pub struct Direct {
    /// The call that carries them.
    pub call: CallId,
    /// The token that they carry.
    pub token: u64,
    /// The worker's session that they are meant for.
    pub session: u64,
    /// No answer came. Settled only by a higher token seen, a new session, or the machine's end.
    pub unknown: bool,
}

/// So many answers in a row that a worker shows no sign of are no accident.
const UNHEEDED_MAX: u32 = 4;
/// So many different jobs have to fail on a machine for it to be suspected.
const FAULTS_OF_MACHINE: usize = 2;
/// Completed tasks on which a machine's pace is judged.
pub const PACE_TASKS: i64 = 10;
const PACE_SLOW: i64 = 190;

/// A machine of a shard, with the evidence of what is on it.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Name.
    pub id: MachineId,
    /// Its record in the state service.
    pub record: MachineRecord,
    /// Version of that record.
    pub version: u64,
    /// What it has in all.
    pub size: Amounts,
    /// What the tasks placed here take.
    pub used: Amounts,
    /// Tasks placed here.
    pub tasks: BTreeSet<TaskKey>,
    /// Not placed by us, yet shown by the worker as not ended: they take room and are stopped.
    pub strays: BTreeMap<TaskKey, (u64, Amounts)>,
    /// Where its worker takes direct commands.
    pub addr: Option<String>,
    /// Its worker's session, 0 if never heard.
    pub session: u64,
    /// When its present session was first heard of, by whatever message.
    pub session_seen: Option<Micros>,
    /// Sequence number of the newest message seen in that session.
    pub seq: u64,
    /// The highest token that its worker has shown.
    pub seen_token: u64,
    /// Since when this holder has had it.
    pub owned_since: Micros,
    /// Any report newer than those seen before. It may be a copy that the network held back, or come
    /// from a machine that hears no answers.
    pub last_report: Option<Micros>,
    /// The last report that showed our present token: fresh, and from a worker that hears us.
    pub heeded: Option<Micros>,
    /// Answers to its reports since then that it showed no sign of: how many, and since when.
    pub unheeded: Option<(u32, Micros)>,
    /// Something shows that our answers do not arrive: the token is raised, to see whether the new
    /// one does.
    pub challenge: bool,
    /// Last 200 to a report of it by this holder: its lease counts from before that.
    pub last_ok: Option<Micros>,
    /// The direct command that is not settled yet.
    pub direct: Option<Direct>,
    /// When the cloud will take it back.
    pub notice: Option<Micros>,
    /// Since when it has been let go for the leader.
    pub released: Option<Micros>,
    /// Being emptied for another shard's more important work.
    pub clearing: Option<Micros>,
    /// Since when nothing has been on it.
    pub idle_since: Option<Micros>,
    /// A gang that waits for its places holds room here: see [`crate::port::MachineView`].
    pub gathered: bool,
    /// Since when nothing here uses its accelerators, which are what it is paid for.
    pub unused_since: Option<Micros>,
    /// Images that it has, with their size in MB, the least recently used first.
    pub images: Vec<(String, i64)>,
    /// Images that tasks placed here wait for. Fetches at the same time share the machine's rate.
    pub fetching: BTreeMap<String, i64>,
    /// What is placed here, or which images are here, has changed since `fetching` was made.
    pub fetches_changed: bool,
    /// Different jobs that failed here since something last went well.
    pub faults: BTreeSet<JobId>,
    /// Not worth keeping: it is much slower than its kind.
    pub suspect: bool,
    /// Tasks completed here lately, and the sum of their run times in percent of their jobs' means.
    pub pace: (i64, i64),
    /// To be returned whatever is on it.
    pub hopeless: bool,
    /// Its record is being written.
    pub writing: bool,
    /// A write that gives it up was made and may still be applied: if it comes back meanwhile, nothing must
    /// be placed here that would be returned with it.
    pub giving_up: bool,
    /// Refused for lack of room: our count and the worker's differ; wait for that to settle.
    pub full_until: Micros,
    /// Its lease ended and its worker has not been heard since.
    pub expired: bool,
}

impl Machine {
    /// A machine that has just come to this holder.
    pub fn new(
        id: MachineId,
        record: MachineRecord,
        version: u64,
        size: Amounts,
        now: Micros,
    ) -> Self {
        Machine {
            id,
            record,
            version,
            size,
            used: Amounts::default(),
            tasks: BTreeSet::new(),
            strays: BTreeMap::new(),
            addr: None,
            session: 0,
            session_seen: None,
            seq: 0,
            seen_token: 0,
            owned_since: now,
            last_report: None,
            heeded: None,
            unheeded: None,
            challenge: false,
            last_ok: None,
            direct: None,
            notice: None,
            released: None,
            clearing: None,
            idle_since: None,
            gathered: false,
            unused_since: None,
            images: Vec::new(),
            fetching: BTreeMap::new(),
            fetches_changed: true,
            faults: BTreeSet::new(),
            suspect: false,
            pace: (0, 0),
            hopeless: false,
            writing: false,
            giving_up: false,
            full_until: Micros::ZERO,
            expired: false,
        }
    }

    /// Both are revisions of one counter, so every later owner's token is higher.
    pub fn token(&self, claim_version: u64) -> u64 {
        claim_version.max(self.version)
    }

    /// What is not taken by tasks placed here.
    pub fn free(&self) -> Amounts {
        let mut f = self.size;
        f.sub(self.used);
        f
    }

    /// Nothing is placed, shown or ordered here.
    pub fn empty(&self) -> bool {
        self.tasks.is_empty() && self.strays.is_empty() && self.direct.is_none()
    }

    /// May new tasks be put here? Only where the worker has shown our present token: a report
    /// without it may be late by any time, or come from a machine that hears nothing.
    pub fn usable(&self, now: Micros, report: Micros, claim_version: u64) -> bool {
        self.record.shard.is_some()
            && self.seen_token == self.token(claim_version)
            && self
                .heeded
                .is_some_and(|t| now - t <= report.times(2) + Micros::from_secs(1))
            && self.notice.is_none()
            && self.released.is_none()
            && self.clearing.is_none()
            && !self.leaving()
            && !self.expired
            && !self.suspected()
            && self.full_until <= now
    }

    /// Different jobs have failed here.
    pub fn failing(&self) -> bool {
        self.faults.len() >= FAULTS_OF_MACHINE
    }

    /// Not worth keeping: jobs fail here, or it is much slower than its kind.
    pub fn suspected(&self) -> bool {
        self.suspect || self.failing()
    }

    /// It was judged hopeless, or a write that gives it up may be applied: whatever were started here now would be
    /// returned with it.
    pub fn leaving(&self) -> bool {
        self.hopeless || self.giving_up
    }

    /// How long it has not been heard.
    pub fn silent_for(&self, now: Micros) -> Micros {
        now - self
            .last_report
            .unwrap_or(self.owned_since)
            .max(self.owned_since)
    }

    /// How long it has reported without showing what it was answered.
    pub fn deaf_for(&self, now: Micros) -> Micros {
        self.unheeded.map_or(Micros::ZERO, |u| now - u.1)
    }

    /// Counts an answer to a report that did not show our present token.
    pub fn answered(&mut self, now: Micros, claim_version: u64) {
        self.last_ok = Some(now);
        if self.seen_token < self.token(claim_version) {
            let (n, since) = self.unheeded.unwrap_or((0, now));
            self.unheeded = Some((n + 1, since));
        }
    }

    /// Its reports arrive and our answers do not. While such a machine may hold tasks it is answered
    /// no more, so that its lease, which those answers might renew, is known to end.
    pub fn hears_nothing(&self) -> bool {
        self.unheeded.is_some_and(|u| u.0 >= UNHEEDED_MAX) && !self.tasks.is_empty()
    }

    /// When nothing that was ordered before can still be on it: its lease has run out, be it on
    /// this holder's last answer, on the start of its session, or, for what was not heard of yet, on the
    /// last answer that any former holder may have given (`acting` after the claim).
    pub fn lease_over_at(&self, claim_version: u64, lease: Micros, acting: Micros) -> Micros {
        let former = self.owned_since + acting.with_drift();
        let answered = self.last_ok.max(self.session_seen);
        let last = match answered {
            // Once the worker has shown our token it drops whatever a former holder answers.
            Some(ok) if self.seen_token >= self.token(claim_version) => ok,
            Some(ok) => ok.max(former),
            None => former,
        };
        last + lease.with_drift() + Micros::from_millis(200)
    }

    /// Plain work may fill a machine with accelerators while these are used now and then, but must
    /// not keep it from becoming empty when they are not.
    pub fn takes_plain(&self, now: Micros, keep: Micros) -> bool {
        self.size.gpus == 0 || self.unused_since.is_none_or(|t| now - t < keep.over(2))
    }

    /// Whether an image is here.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(i, _)| i == image)
    }

    /// Machines of a type differ by a tenth; one that is much slower than the others is not worth
    /// its price. Judged on enough tasks, since single ones differ for reasons of their own.
    pub fn completed(&mut self, ran: Micros, mean: Micros) {
        let percent = 100 * ran.0 / mean.0.max(1);
        self.pace = (self.pace.0 + 1, self.pace.1 + percent.min(400));
        if self.pace.0 >= PACE_TASKS {
            if self.pace.1 > PACE_SLOW * self.pace.0 {
                self.suspect = true;
            }
            self.pace = (0, 0);
        }
    }

    /// What must be fetched before a task with this image can start, in MB.
    pub fn to_fetch(&self, image: &str, mb: i64) -> i64 {
        if self.has_image(image) {
            return 0;
        }
        let others: i64 = self
            .fetching
            .iter()
            .filter(|(i, _)| *i != image)
            .map(|(_, mb)| mb)
            .sum();
        others + mb
    }

    /// The worker keeps the most recently used images as far as its cache goes.
    pub fn used_image(&mut self, image: &str, mb: i64, cache_mb: i64) {
        self.images.retain(|(i, _)| i != image);
        self.images.push((image.to_owned(), mb));
        while self.images.len() > 1 && self.images.iter().map(|i| i.1).sum::<i64>() > cache_mb {
            self.images.remove(0);
        }
    }
}
