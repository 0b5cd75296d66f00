//! Reading the former holder's records before a share goes on.

use super::*;

impl Engine {
    pub(super) fn loads_tick(&mut self) {
        let due: Vec<usize> =
            self.link.loads.iter().filter(|(_, l)| !l.busy && l.retry_at <= self.now).map(|l| *l.0).collect();
        for slot in due {
            let Some(load) = self.link.loads.get_mut(&slot) else { continue };
            let version = load.version;
            let after = load.entries.last().map(|e| e.key.clone());
            load.busy = true;
            if self.slot_version(slot) != Some(version) {
                self.link.loads.remove(&slot);
                continue;
            }
            let fleet = &self.link.watches[MACHINES];
            if fleet.loaded && fleet.seen >= version {
                let request = StateCall::List { prefix: work_prefix(slot), after };
                self.state(request, Pending::Records { share: slot, version });
            } else {
                let (prefix, after) = (Topic::Machines.prefix().to_owned(), fleet.seen);
                let request = StateCall::Changes { prefix, after, hold: Micros::ZERO };
                self.state(request, Pending::Fleet { share: slot, version });
            }
        }
    }

    /// The load that an answer is for, if that still counts.
    pub(super) fn load(&mut self, slot: usize, version: u64) -> Option<&mut Load> {
        self.link.loads.get_mut(&slot).filter(|l| l.version == version)
    }

    pub(crate) fn fleet_reply(&mut self, slot: usize, version: u64, reply: StateReply) {
        let new = self.link.watches[MACHINES].loaded && self.apply_changes(MACHINES, reply);
        let again = self.now + RETRY;
        let Some(load) = self.load(slot, version) else { return };
        load.busy = false;
        if !new {
            load.retry_at = again;
        }
    }

    pub(crate) fn records_reply(&mut self, slot: usize, version: u64, reply: StateReply) {
        let again = self.now + RETRY;
        let Some(load) = self.load(slot, version) else { return };
        load.busy = false;
        match reply {
            StateReply::Page { entries, more, .. } => {
                load.entries.extend(entries);
                if more {
                    return;
                }
            }
            _ => {
                // Not at once: a store that refuses would be asked in a tight loop.
                load.retry_at = again;
                return;
            }
        }
        let entries = self.link.loads.remove(&slot).map(|l| l.entries).unwrap_or_default();
        if self.slot_version(slot) == Some(version) {
            self.take_over(slot, entries);
        }
    }

    pub(super) fn take_over(&mut self, slot: usize, entries: Vec<Entry>) {
        let prefix = work_prefix(slot);
        let now = self.now;
        let Some(share) = self.shares[slot].as_mut() else { return };
        for e in entries {
            let id = JobId::from(e.key.strip_prefix(&prefix).unwrap_or(&e.key));
            let live = self.jobs.get(&id).map(|j| (j.spec.clone(), j.version));
            match serde_json::from_value(e.value) {
                Ok(record) => share.adopt_record(id, live, record, e.version, now),
                Err(err) => warn!(job = %id, %err, "unreadable work record"),
            }
        }
        for (id, j) in self.jobs.iter().filter(|j| j.1.share == slot) {
            share.add_job(j.spec.clone(), j.version, now);
            share.chained(id, j.spec_now(), j.chain.waits(), now);
        }
        // A machine that is being returned is there until its record is removed, and so is what the
        // former holder placed on it. One that is another share's by now was let go empty.
        for id in share.placed_elsewhere() {
            if let Some((record, v)) = self.machines.get(&id).filter(|m| m.0.share.is_none()) {
                let size = self.types.iter().find(|t| t.name == record.kind).map(|t| t.size).unwrap_or_default();
                share.add_machine(id, record.clone(), *v, size, now);
            }
        }
        self.with_share(slot, |s, ctx| s.loaded(ctx));
        debug!(share = slot, "records read");
    }
}
