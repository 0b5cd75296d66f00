//! Machines that the cloud lists and nobody has a record of.

use super::{
    capacity, info, machine_key, BTreeMap, BTreeSet, Engine, FleetDuty, LeaderRequest,
    ListedMachine, ListedState, MachineId, MachineRecord, Reverse,
};

impl Engine {
    /// Machines that the list shows and nobody has a record of: late requests, or those of the
    /// time before us. They go where they are needed, and are returned if nobody does.
    pub(super) fn adopt(&mut self, listed: &[ListedMachine]) {
        let Some(l) = self.leader.as_ref() else {
            return;
        };
        let mut counts: Vec<BTreeMap<(String, String, bool), usize>> =
            vec![BTreeMap::new(); self.settings.members.len()];
        for (r, _) in self.machines.values() {
            if let Some(s) = r.shard {
                *counts[s]
                    .entry((r.kind.clone(), r.zone.clone(), r.spot))
                    .or_default() += 1;
            }
        }
        let mut pending: BTreeSet<&MachineId> = l
            .provisionings
            .values()
            .flat_map(|r| r.got.iter())
            .collect();
        pending.extend(l.writes_in_flight.iter());
        let mut new: Vec<(MachineId, MachineRecord)> = Vec::new();
        let mut failed: Vec<(MachineId, Option<usize>)> = Vec::new();
        for m in listed {
            if l.terminated.contains_key(&m.id) || pending.contains(&m.id) {
                continue;
            }
            if self.machines.contains_key(&m.id) {
                if m.state == ListedState::Failed && self.machines[&m.id].0.shard.is_some() {
                    failed.push((m.id.clone(), None));
                }
                continue;
            }
            if l.provisionings
                .values()
                .any(|r| r.may_have_provisioned(m, self.now))
            {
                continue;
            }
            let key = (m.kind.clone(), m.zone.clone(), m.spot);
            let all = |c: &BTreeMap<_, usize>| c.values().sum::<usize>();
            let highest_priority = (0..counts.len())
                .min_by_key(|s| (counts[*s].get(&key).copied().unwrap_or(0), all(&counts[*s])));
            let shard = highest_priority.filter(|_| m.state != ListedState::Failed);
            if let Some(s) = shard {
                *counts[s].entry(key).or_default() += 1;
            }
            new.push((
                m.id.clone(),
                MachineRecord {
                    shard,
                    kind: m.kind.clone(),
                    zone: m.zone.clone(),
                    spot: m.spot,
                },
            ));
        }
        self.assign(failed);
        if let Some(l) = self.leader.as_mut() {
            let price = |r: &MachineRecord| {
                capacity::hourly_price(self.machine_types.all(), &r.kind, r.spot)
            };
            l.adoptions = new
                .into_iter()
                .map(|(id, record)| ((Reverse(price(&record)), id), record))
                .collect();
        }
    }

    /// Gives listed machines their records as fast as the store takes them: after a first start all
    /// of a large fleet come at once. The costliest are waited for most, and lose most by waiting.
    pub(super) fn adopt_tick(&mut self) {
        let room = self.leader_writes().min(self.settings.txn_ops / 2);
        let Some(l) = self
            .leader
            .as_mut()
            .filter(|l| !l.adoptions.is_empty() && room > 0)
        else {
            return;
        };
        let (mut ids, mut conditions, mut writes) = (Vec::new(), Vec::new(), Vec::new());
        while ids.len() < room {
            let Some(((_, id), record)) = l.adoptions.pop_first() else {
                break;
            };
            info!(machine = %id, shard = ?record.shard, "adopting a listed machine");
            conditions.push((machine_key(&id), 0));
            writes.push(crate::shard::machine_write(&id, &record));
            ids.push(id);
        }
        l.writes_in_flight.extend(ids.iter().cloned());
        self.leader_commit(
            conditions,
            writes,
            LeaderRequest::AssignMachines {
                duty: FleetDuty::ScaleOut,
                ids,
            },
        );
    }
}
