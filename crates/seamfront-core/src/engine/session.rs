//! The store session's part of the engine: its steps, and what its events mean to others.

use super::Engine;
use crate::jobs::JobRegistry;
use crate::leader::Leader;
use crate::port::{Entry, StoreReply};
use crate::record::{decode, parse_part_key};
use crate::shard::{work_prefix, Shard, ShardPhase, StoredRecord};
use crate::store_session::{
    ClaimId, ReadRecords, SessionContext, SessionEvent, SessionRequest, StoreSession, TickInputs,
    Topic,
};
use crate::types::{JobId, Micros};
use std::collections::BTreeMap;
use tracing::{debug, warn};

/// Parts of work records by job and number.
type PartsByJob = BTreeMap<JobId, BTreeMap<u32, serde_json::Value>>;

impl Engine {
    /// Whether a claim was verified recently enough to act under it.
    pub(super) fn lease_valid(&self, claim: ClaimId) -> bool {
        self.store
            .last_verified(claim)
            .is_some_and(|sent| self.now - sent < self.settings.verification_ttl())
    }

    /// Ends acting under a claim at once.
    pub(super) fn drop_claim(&mut self, claim: ClaimId, why: &str) {
        if self.store.release(claim, why) {
            self.claim_lost(claim);
        }
    }

    /// Takes in the changes of a view that were asked for. True if the reply was usable.
    pub(super) fn apply_changes(&mut self, topic: Topic, reply: StoreReply) -> bool {
        self.with_session(|session, context| session.apply_changes(context, topic, reply))
    }

    pub(super) fn store_session_tick(&mut self) {
        let inputs = TickInputs {
            duties_in_force: self.duties.in_force(),
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
        // No call makes both requests and events that lead to effects, so their order does not matter.
        self.flush(outbox);
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
                    self.job_vanished(&id);
                }
            }
            SessionEvent::JobChanged { spec, version } => self.job_appeared(spec, version),
            SessionEvent::JobRemoved(id) => self.job_vanished(&id),
            SessionEvent::MachinesRead { present } => {
                let known = self.machines.keys();
                let absent: Vec<_> = known.filter(|id| !present.contains(id)).cloned().collect();
                for id in absent {
                    self.machine_vanished(&id);
                }
            }
            SessionEvent::MachineChanged {
                id,
                record,
                version,
            } => self.machine_changed(id, record, version),
            SessionEvent::MachineRemoved(id) => self.machine_vanished(&id),
            SessionEvent::ClaimAcquired { claim, token } => self.claim_acquired(claim, token),
            SessionEvent::ClaimLost(claim) => self.claim_lost(claim),
            SessionEvent::RecordReadStarted { shard } => {
                if let Some(shard) = self.shards[shard].as_mut() {
                    shard.phase = ShardPhase::Loading;
                }
            }
            SessionEvent::RecordsRead(records) => self.take_over(records),
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
                        let size = self.type_size(&record.kind);
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
            // Without a version it rests on duties, not on this claim.
            ClaimId::Leader => {
                self.leader = self.leader.take().filter(|l| l.claim_version().is_none());
            }
            ClaimId::Shard(shard) => self.shards[shard] = None,
        }
    }

    /// A shard goes on from the records of its former owner.
    fn take_over(&mut self, read: ReadRecords) {
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
        let over = now
            + self.settings.verification_ttl().with_drift()
            + self.settings.lease.with_drift()
            + Micros::from_secs(1);
        for id in unreadable {
            shard.pause_unreadable_job(&id, over);
        }
        self.add_released_machines(index);
        self.with_shard(index, |shard, context| shard.finish_loading(context));
        debug!(shard = index, "records read");
    }

    /// A machine that is being terminated exists until its record is deleted, and so does what the former owner placed
    /// on it. One that belongs to another shard by now was empty when it was released.
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
            let size = self.type_size(&record.kind);
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

/// Gives a shard the records of its former owner. Returns the jobs whose records can't be read.
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
