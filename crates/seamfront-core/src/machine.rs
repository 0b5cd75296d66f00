//! Machines of a shard, and the evidence of what is on them.

use crate::port::CallId;
use crate::types::{JobId, MachineId, Micros, Resources, TaskKey};
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
pub struct DirectCommand {
    /// The call that carries them.
    pub call: CallId,
    /// The token that they carry.
    pub fencing_token: u64,
    /// The worker's session that they are meant for.
    pub incarnation: u64,
    /// No answer came. Settled only by a higher token seen, a new session, or the machine's end.
    pub unknown: bool,
}

/// So many answers in a row that a worker shows no sign of are no accident.
const MAX_UNACKNOWLEDGED_REPLIES: u32 = 4;
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
    pub size: Resources,
    /// What the tasks placed here take.
    pub used: Resources,
    /// Tasks placed here.
    pub tasks: BTreeSet<TaskKey>,
    /// Not placed by us, yet shown by the worker as not ended: they take room and are stopped.
    pub unexpected_tasks: BTreeMap<TaskKey, (u64, Resources)>,
    /// Where its worker takes direct commands.
    pub addr: Option<String>,
    /// Its worker's session, 0 if never heard.
    pub incarnation: u64,
    /// When its present session was first heard of, by whatever message.
    pub incarnation_seen_at: Option<Micros>,
    /// Sequence number of the newest message seen in that session.
    pub sequence: u64,
    /// The highest token that its worker has shown.
    pub highest_seen_token: u64,
    /// Since when this holder has had it.
    pub owned_since: Micros,
    /// Any report newer than those seen before. It may be a copy that the network held back, or come
    /// from a machine that hears no answers.
    pub last_heartbeat: Option<Micros>,
    /// The last report that showed our present token: fresh, and from a worker that hears us.
    pub last_acknowledged: Option<Micros>,
    /// Answers to its reports since then that it showed no sign of: how many, and since when.
    pub unacknowledged: Option<(u32, Micros)>,
    /// Something shows that our answers do not arrive: the token is raised, to see whether the new
    /// one does.
    pub token_raise_due: bool,
    /// Last 200 to a report of it by this holder: its lease counts from before that.
    pub last_reply: Option<Micros>,
    /// The direct command that is not settled yet.
    pub direct: Option<DirectCommand>,
    /// When the cloud will take it back.
    pub preemption_deadline: Option<Micros>,
    /// Since when it has been let go for the leader.
    pub released_since: Option<Micros>,
    /// Being emptied for another shard's more important work.
    pub draining_since: Option<Micros>,
    /// Since when nothing has been on it.
    pub idle_since: Option<Micros>,
    /// A gang that waits for its places holds room here: see [`crate::port::MachineView`].
    pub reserved_for_gang: bool,
    /// Since when nothing here uses its accelerators, which are what it is paid for.
    pub accelerators_unused_since: Option<Micros>,
    /// Images that it has, with their size in MB, the least recently used first.
    pub images: Vec<(String, i64)>,
    /// Images that tasks placed here wait for. Fetches at the same time share the machine's rate.
    pub fetching: BTreeMap<String, i64>,
    /// What is placed here, or which images are here, has changed since `fetching` was made.
    pub fetches_changed: bool,
    /// Different jobs that failed here since something last went well.
    pub failed_jobs: BTreeSet<JobId>,
    /// Not worth keeping: it is much slower than its kind.
    pub slow: bool,
    /// Tasks completed here lately, and the sum of their run times in percent of their jobs' means.
    pub pace: (i64, i64),
    /// To be returned whatever is on it.
    pub condemned: bool,
    /// Its record is being written.
    pub write_in_flight: bool,
    /// A write that gives it up was made and may still be applied: if it comes back meanwhile, nothing must
    /// be placed here that would be returned with it.
    pub decommission_pending: bool,
    /// Refused for lack of room: our count and the worker's differ; wait for that to settle.
    pub full_until: Micros,
    /// Its lease ended and its worker has not been heard since.
    pub lease_expired: bool,
}

impl Machine {
    /// A machine that has just come to this holder.
    pub fn new(
        id: MachineId,
        record: MachineRecord,
        version: u64,
        size: Resources,
        now: Micros,
    ) -> Self {
        Machine {
            id,
            record,
            version,
            size,
            used: Resources::default(),
            tasks: BTreeSet::new(),
            unexpected_tasks: BTreeMap::new(),
            addr: None,
            incarnation: 0,
            incarnation_seen_at: None,
            sequence: 0,
            highest_seen_token: 0,
            owned_since: now,
            last_heartbeat: None,
            last_acknowledged: None,
            unacknowledged: None,
            token_raise_due: false,
            last_reply: None,
            direct: None,
            preemption_deadline: None,
            released_since: None,
            draining_since: None,
            idle_since: None,
            reserved_for_gang: false,
            accelerators_unused_since: None,
            images: Vec::new(),
            fetching: BTreeMap::new(),
            fetches_changed: true,
            failed_jobs: BTreeSet::new(),
            slow: false,
            pace: (0, 0),
            condemned: false,
            write_in_flight: false,
            decommission_pending: false,
            full_until: Micros::ZERO,
            lease_expired: false,
        }
    }

    /// Both are revisions of one counter, so every later owner's token is higher.
    pub fn fencing_token(&self, claim_version: u64) -> u64 {
        claim_version.max(self.version)
    }

    /// What is not taken by tasks placed here.
    pub fn free(&self) -> Resources {
        let mut f = self.size;
        f.sub(self.used);
        f
    }

    /// Nothing is placed, shown or ordered here.
    pub fn empty(&self) -> bool {
        self.tasks.is_empty() && self.unexpected_tasks.is_empty() && self.direct.is_none()
    }

    /// May new tasks be put here? Only where the worker has shown our present token: a report
    /// without it may be late by any time, or come from a machine that hears nothing.
    pub fn usable(&self, now: Micros, heartbeat_interval: Micros, claim_version: u64) -> bool {
        self.record.shard.is_some()
            && self.highest_seen_token == self.fencing_token(claim_version)
            && self
                .last_acknowledged
                .is_some_and(|t| now - t <= heartbeat_interval.times(2) + Micros::from_secs(1))
            && self.preemption_deadline.is_none()
            && self.released_since.is_none()
            && self.draining_since.is_none()
            && !self.decommissioning()
            && !self.lease_expired
            && !self.quarantined()
            && self.full_until <= now
    }

    /// Different jobs have failed here.
    pub fn failing(&self) -> bool {
        self.failed_jobs.len() >= FAULTS_OF_MACHINE
    }

    /// Not worth keeping: jobs fail here, or it is much slower than its kind.
    pub fn quarantined(&self) -> bool {
        self.slow || self.failing()
    }

    /// It was judged hopeless, or a write that gives it up may be applied: whatever were started here now would be
    /// returned with it.
    pub fn decommissioning(&self) -> bool {
        self.condemned || self.decommission_pending
    }

    /// How long it has not been heard.
    pub fn silent_for(&self, now: Micros) -> Micros {
        now - self
            .last_heartbeat
            .unwrap_or(self.owned_since)
            .max(self.owned_since)
    }

    /// How long it has reported without showing what it was answered.
    pub fn unacknowledged_for(&self, now: Micros) -> Micros {
        self.unacknowledged.map_or(Micros::ZERO, |u| now - u.1)
    }

    /// Counts an answer to a report that did not show our present token.
    pub fn reply_sent(&mut self, now: Micros, claim_version: u64) {
        self.last_reply = Some(now);
        if self.highest_seen_token < self.fencing_token(claim_version) {
            let (n, since) = self.unacknowledged.unwrap_or((0, now));
            self.unacknowledged = Some((n + 1, since));
        }
    }

    /// Its reports arrive and our answers do not. While such a machine may hold tasks it is answered
    /// no more, so that its lease, which those answers might renew, is known to end.
    pub fn ignores_replies(&self) -> bool {
        self.unacknowledged
            .is_some_and(|u| u.0 >= MAX_UNACKNOWLEDGED_REPLIES)
            && !self.tasks.is_empty()
    }

    /// When nothing that was ordered before can still be on it: its lease has run out, be it on
    /// this holder's last answer, on the start of its session, or, for what was not heard of yet, on the
    /// last answer that any former holder may have given (`lease_valid` after the claim).
    pub fn lease_expiry(&self, claim_version: u64, lease: Micros, lease_valid: Micros) -> Micros {
        let former = self.owned_since + lease_valid.with_drift();
        let answered = self.last_reply.max(self.incarnation_seen_at);
        let last = match answered {
            // Once the worker has shown our token it drops whatever a former holder answers.
            Some(ok) if self.highest_seen_token >= self.fencing_token(claim_version) => ok,
            Some(ok) => ok.max(former),
            None => former,
        };
        last + lease.with_drift() + Micros::from_millis(200)
    }

    /// Plain work may fill a machine with accelerators while these are used now and then, but must
    /// not keep it from becoming empty when they are not.
    pub fn accepts_cpu_only_work(&self, now: Micros, keep: Micros) -> bool {
        self.size.gpus == 0
            || self
                .accelerators_unused_since
                .is_none_or(|t| now - t < keep.over(2))
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
                self.slow = true;
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
