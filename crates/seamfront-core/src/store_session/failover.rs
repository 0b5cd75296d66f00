//! Reading the former holder's records before a shard goes on.

use super::{
    debug, warn, work_prefix, BTreeMap, Engine, Entry, JobId, Load, Micros, SessionRequest,
    StoreReply, StoreRequest, Topic, MACHINES, RETRY,
};
use crate::record::{decode, parse_part_key, parts_prefix};
use crate::shard::StoredRecord;

impl Engine {
    pub(super) fn loads_tick(&mut self) {
        let due: Vec<usize> = self
            .store
            .loads
            .iter()
            .filter(|(_, l)| !l.busy && l.retry_at <= self.now)
            .map(|l| *l.0)
            .collect();
        for slot in due {
            let Some(load) = self.store.loads.get_mut(&slot) else {
                continue;
            };
            let version = load.version;
            let last = if load.parts.is_some() {
                load.parts.as_ref().and_then(|p| p.last())
            } else {
                load.entries.last()
            };
            let after = last.map(|e| e.key.clone());
            let reads_parts = load.parts.is_some();
            load.busy = true;
            if self.held_token(slot) != Some(version) {
                self.store.loads.remove(&slot);
                continue;
            }
            let fleet = &self.store.watches[MACHINES];
            if fleet.loaded() && fleet.seen() >= version {
                let prefix = if reads_parts {
                    parts_prefix(slot)
                } else {
                    work_prefix(slot)
                };
                let request = StoreRequest::List { prefix, after };
                self.send_to_store(
                    request,
                    SessionRequest::Records {
                        shard: slot,
                        version,
                    },
                );
            } else {
                let (prefix, after) = (Topic::Machines.prefix().to_owned(), fleet.seen());
                let request = StoreRequest::Watch {
                    prefix,
                    after,
                    wait: Micros::ZERO,
                };
                self.send_to_store(
                    request,
                    SessionRequest::Fleet {
                        shard: slot,
                        version,
                    },
                );
            }
        }
    }

    /// The load that an answer is for, if that still counts.
    pub(super) fn load(&mut self, slot: usize, version: u64) -> Option<&mut Load> {
        self.store
            .loads
            .get_mut(&slot)
            .filter(|l| l.version == version)
    }

    pub(crate) fn fleet_reply(&mut self, slot: usize, version: u64, reply: StoreReply) {
        let new = self.store.watches[MACHINES].loaded() && self.apply_changes(MACHINES, reply);
        let again = self.now + RETRY;
        let Some(load) = self.load(slot, version) else {
            return;
        };
        load.busy = false;
        if !new {
            load.retry_at = again;
        }
    }

    pub(crate) fn records_reply(&mut self, slot: usize, version: u64, reply: StoreReply) {
        let again = self.now + RETRY;
        let Some(load) = self.load(slot, version) else {
            return;
        };
        load.busy = false;
        match reply {
            StoreReply::Page { entries, more, .. } => {
                let first_part = load.parts.is_none() && !more;
                load.parts
                    .as_mut()
                    .unwrap_or(&mut load.entries)
                    .extend(entries);
                if first_part {
                    load.parts = Some(Vec::new());
                }
                if more || first_part {
                    return;
                }
            }
            _ => {
                // Not at once: a store that refuses would be asked in a tight loop.
                load.retry_at = again;
                return;
            }
        }
        let Some(load) = self.store.loads.remove(&slot) else {
            return;
        };
        if self.held_token(slot) == Some(version) {
            self.take_over(slot, load.entries, load.parts.unwrap_or_default());
        }
    }

    pub(super) fn take_over(&mut self, slot: usize, entries: Vec<Entry>, parts: Vec<Entry>) {
        let prefix = work_prefix(slot);
        let now = self.now;
        let Some(shard) = self.shards[slot].as_mut() else {
            return;
        };
        let mut parts_of: BTreeMap<JobId, BTreeMap<u32, serde_json::Value>> = BTreeMap::new();
        for e in parts {
            if let Some((id, number)) = parse_part_key(slot, &e.key) {
                parts_of.entry(id).or_default().insert(number, e.value);
            }
        }
        let mut unreadable = Vec::new();
        for e in entries {
            let id = JobId::from(e.key.strip_prefix(&prefix).unwrap_or(&e.key));
            let live = self.jobs.get(&id).map(|j| (j.spec.clone(), j.version));
            let parts = parts_of.remove(&id).unwrap_or_default();
            let parts_end = parts.keys().next_back().map_or(0, |number| number + 1);
            match decode(e.value, &parts) {
                Ok(record) => {
                    let stored = StoredRecord {
                        record,
                        version: e.version,
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
        for (id, j) in self.jobs.iter().filter(|j| j.1.shard == slot) {
            shard.add_job(j.spec.clone(), j.version, now);
            shard.update_dependencies(id, j.effective_spec(), j.dependencies.blocked(), now);
        }
        let over = now
            + self.settings.verification_ttl().with_drift()
            + self.settings.lease.with_drift()
            + Micros::from_secs(1);
        for id in unreadable {
            shard.hold_unreadable(&id, over);
        }
        // A machine that is being returned is there until its record is removed, and so is what the
        // former holder placed on it. One that is another shard's by now was let go empty.
        for id in shard.placed_elsewhere() {
            if let Some((record, v)) = self.machines.get(&id).filter(|m| m.0.shard.is_none()) {
                let size = self
                    .types
                    .iter()
                    .find(|t| t.name == record.kind)
                    .map(|t| t.size)
                    .unwrap_or_default();
                shard.add_machine(id, record.clone(), *v, size, now);
            }
        }
        self.with_shard(slot, |s, context| s.loaded(context));
        debug!(shard = slot, "records read");
    }
}
