//! Connects the store session with the engine: steps it and applies its events to the other components.

use super::Engine;
use crate::jobs::JobRegistry;
use crate::leader::Leader;
use crate::port::{Entry, StoreReply};
use crate::record::{decode, parse_part_key};
use crate::shard::{work_prefix, Shard, ShardPhase, StoredRecord};
use crate::store_session::{
    ClaimId, ReadRecords, SessionContext, SessionEvent, SessionRequest, StoreSession, TickInputs,
    ViewId,
};
use crate::types::{JobId, Micros};
use std::collections::BTreeMap;
use tracing::{info, warn};

/// Parts of work records by job and number.
type PartsByJob = BTreeMap<JobId, BTreeMap<u32, serde_json::Value>>;

impl Engine {
    /// Whether a claim was verified recently enough to act under it.
    pub(super) fn claim_verified(&self, claim: ClaimId) -> bool {
        self.store
            .last_verified(claim)
            .is_some_and(|sent| self.now - sent < self.settings.verification_ttl())
    }

    /// Stops acting under a claim immediately.
    pub(super) fn drop_claim(&mut self, claim: ClaimId, why: &str) {
        if self.store.release(claim, why) {
            self.claim_lost(claim);
        }
    }

    /// Applies the reply to a request for the changes of a view. True if the reply was usable.
    pub(super) fn apply_changes(&mut self, view_id: ViewId, reply: StoreReply) -> bool {
        self.with_session(|session, context| session.apply_changes(context, view_id, reply))
    }

    pub(super) fn store_session_tick(&mut self) {
        let inputs = TickInputs {
            duties_have_own_claims: self.duties.claims_active(),
            inbound_partitioned: self.inbound_partition.detected(),
            any_peer_ready: self.peers.any_ready(self.now),
            home_ready: self.peers.ready_for_transfer(self.now),
        };
        self.with_session(|session, context| session.tick(context, &inputs));
    }

    pub(super) fn session_reply(&mut self, request: SessionRequest, reply: StoreReply) {
        self.with_session(|session, context| session.reply(context, request, reply));
    }

    pub(super) fn with_session<R>(
        &mut self,
        call: impl FnOnce(&mut StoreSession, &mut SessionContext) -> R,
    ) -> R {
        let settings = self.settings.clone();
        let mut context = SessionContext::new(&settings, self.now);
        let result = call(&mut self.store, &mut context);
        let SessionContext { outbox, events, .. } = context;
        // No call produces both requests and events that lead to effects, so their order does not matter.
        self.send_outbox(outbox);
        for event in events {
            self.session_event(event);
        }
        result
    }

    fn session_event(&mut self, event: SessionEvent) {
        match event {
            SessionEvent::JobsRead { present } => {
                let known = self.jobs.keys();
                let absent: Vec<_> = known.filter(|id| !present.contains(id)).cloned().collect();
                for id in absent {
                    self.job_removed(&id);
                }
            }
            SessionEvent::JobChanged { spec, version } => self.job_changed(spec, version),
            SessionEvent::JobRemoved(id) => self.job_removed(&id),
            SessionEvent::MachinesRead { present } => {
                let known = self.machines.keys();
                let absent: Vec<_> = known.filter(|id| !present.contains(id)).cloned().collect();
                for id in absent {
                    self.machine_removed(&id);
                }
            }
            SessionEvent::MachineChanged {
                id,
                record,
                version,
            } => self.machine_changed(id, record, version),
            SessionEvent::MachineRemoved(id) => self.machine_removed(&id),
            SessionEvent::ClaimAcquired { claim, token } => self.claim_acquired(claim, token),
            SessionEvent::ClaimLost(claim) => self.claim_lost(claim),
            SessionEvent::RecordReadStarted { shard } => {
                if let Some(shard) = self.shards[shard].as_mut() {
                    shard.phase = ShardPhase::Loading;
                }
            }
            SessionEvent::RecordsRead(records) => self.complete_failover(records),
        }
    }

    fn claim_acquired(&mut self, claim: ClaimId, token: u64) {
        match claim {
            ClaimId::Leader => {
                let members = self.settings.members.len();
                self.leader = Some(Leader::new(Some(token), self.now, members));
            }
            ClaimId::Shard(index) => {
                let mut shard = Shard::new(index, token, self.now);
                for (id, machine) in &self.machines {
                    let record = &machine.record;
                    if record.shard == Some(index) {
                        let size = self.machine_type_size(&record.machine_type);
                        let version = machine.version;
                        shard.add_machine(id.clone(), record.clone(), version, size, self.now);
                    }
                }
                self.shards[index] = Some(shard);
            }
        }
    }

    fn claim_lost(&mut self, claim: ClaimId) {
        match claim {
            // A leader without a claim version is fenced by duties and does not depend on this claim.
            ClaimId::Leader => {
                self.leader = self.leader.take().filter(|l| l.claim_version().is_none());
            }
            ClaimId::Shard(shard) => self.shards[shard] = None,
        }
    }

    /// Completes the failover of a shard with the records of its predecessor.
    fn complete_failover(&mut self, read: ReadRecords) {
        let index = read.shard;
        let now = self.now;
        let Some(shard) = self.shards[index].as_mut() else {
            return;
        };
        let mut parts = parts_by_job(index, read.parts);
        let unreadable = adopt_records(shard, &self.jobs, read.records, &mut parts, now);
        for (id, job) in self.jobs.iter().filter(|(_, job)| job.shard == index) {
            shard.add_job(job.spec.clone(), job.version, now);
            shard.update_dependencies(id, job.effective_spec(), job.dependencies.blocked(), now);
        }
        // By then the predecessor may no longer act, and the leases of the agents that it last replied to have expired.
        let held_until = now
            + self.settings.verification_ttl().with_drift()
            + self.settings.lease.with_drift()
            + Micros::from_secs(1);
        for id in unreadable {
            shard.pause_unreadable_job(&id, held_until);
        }
        self.add_released_machines(index);
        self.with_shard(index, |shard, context| shard.finish_loading(context));
        info!(
            shard = index,
            fencing_token = self.store.held_token(ClaimId::Shard(index)),
            jobs_revision = self.store.revision(ViewId::Jobs),
            machines_revision = self.store.revision(ViewId::Machines),
            "records of the former holder read"
        );
    }

    /// Adds machines without a shard on which the shard's records place tasks. A machine that is being terminated
    /// exists until its record is deleted, and so do the tasks that the predecessor placed on it. A machine that by now
    /// belongs to another shard is not added, since it was empty when it was released.
    fn add_released_machines(&mut self, index: usize) {
        let now = self.now;
        let Some(shard) = self.shards[index].as_ref() else {
            return;
        };
        for id in shard.machines_outside_shard() {
            let machine = self.machines.get(&id);
            let Some(machine) = machine.filter(|machine| machine.record.shard.is_none()) else {
                continue;
            };
            let (record, version) = (machine.record.clone(), machine.version);
            let size = self.machine_type_size(&record.machine_type);
            if let Some(shard) = self.shards[index].as_mut() {
                shard.add_machine(id, record, version, size, now);
            }
        }
    }
}

fn parts_by_job(shard: usize, entries: Vec<Entry>) -> PartsByJob {
    let mut parts = PartsByJob::new();
    for entry in entries {
        if let Some((id, number)) = parse_part_key(shard, &entry.key) {
            parts.entry(id).or_default().insert(number, entry.value);
        }
    }
    parts
}

/// Gives a shard the records of its predecessor. Returns the jobs whose records cannot be read.
fn adopt_records(
    shard: &mut Shard,
    jobs: &JobRegistry,
    records: Vec<Entry>,
    parts: &mut PartsByJob,
    now: Micros,
) -> Vec<JobId> {
    let prefix = work_prefix(shard.index);
    let mut unreadable = Vec::new();
    for entry in records {
        let id = JobId::from(entry.key.strip_prefix(&prefix).unwrap_or(&entry.key));
        let live = jobs.get(&id).map(|job| (job.spec.clone(), job.version));
        let parts = parts.remove(&id).unwrap_or_default();
        let parts_end = parts.keys().next_back().map_or(0, |number| number + 1);
        match decode(entry.value, &parts) {
            Ok(record) => {
                let stored = StoredRecord {
                    record,
                    version: entry.version,
                    parts_end,
                };
                shard.adopt_record(id, live, stored, now);
            }
            Err(err) => {
                warn!(job = %id, %err, "unreadable work record");
                unreadable.push(id);
            }
        }
    }
    unreadable
}
