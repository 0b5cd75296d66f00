//! Machines that the cloud lists and nobody has a record of.

use super::*;

impl Engine {
    /// Machines that the list shows and nobody has a record of: late requests, or those of the
    /// time before us. They go where they are needed, and are returned if nobody does.
    pub(super) fn adopt(&mut self, listed: &[Listed]) {
        let Some(l) = self.leader.as_ref() else {
            return;
        };
        let mut counts: Vec<BTreeMap<(String, String, bool), usize>> =
            vec![BTreeMap::new(); self.cfg.members.len()];
        for (r, _) in self.machines.values() {
            if let Some(s) = r.shard {
                *counts[s]
                    .entry((r.kind.clone(), r.zone.clone(), r.spot))
                    .or_default() += 1;
            }
        }
        let mut pending: BTreeSet<&MachineId> =
            l.rents.values().flat_map(|r| r.got.iter()).collect();
        pending.extend(l.writing.iter());
        let mut new: Vec<(MachineId, MachineRecord)> = Vec::new();
        let mut failed: Vec<(MachineId, Option<usize>)> = Vec::new();
        for m in listed {
            if l.gone.contains_key(&m.id) || pending.contains(&m.id) {
                continue;
            }
            if self.machines.contains_key(&m.id) {
                if m.state == ListedState::Failed && self.machines[&m.id].0.shard.is_some() {
                    failed.push((m.id.clone(), None));
                }
                continue;
            }
            if l.rents.values().any(|r| r.may_have_rented(m, self.now)) {
                continue;
            }
            let key = (m.kind.clone(), m.zone.clone(), m.spot);
            let all = |c: &BTreeMap<_, usize>| c.values().sum::<usize>();
            let least = (0..counts.len())
                .min_by_key(|s| (counts[*s].get(&key).copied().unwrap_or(0), all(&counts[*s])));
            let shard = least.filter(|_| m.state != ListedState::Failed);
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
            let price = |r: &MachineRecord| capacity::price_of(&self.types, &r.kind, r.spot);
            l.adopting = new
                .into_iter()
                .map(|(id, record)| ((Reverse(price(&record)), id), record))
                .collect();
        }
    }

    /// Gives listed machines their records as fast as the store takes them: after a first start all
    /// of a large fleet come at once. The costliest are waited for most, and lose most by waiting.
    pub(super) fn adopt_tick(&mut self) {
        let room = self.leader_writes().min(self.cfg.txn_ops / 2);
        let Some(l) = self
            .leader
            .as_mut()
            .filter(|l| !l.adopting.is_empty() && room > 0)
        else {
            return;
        };
        let (mut ids, mut when, mut apply) = (Vec::new(), Vec::new(), Vec::new());
        while ids.len() < room {
            let Some(((_, id), record)) = l.adopting.pop_first() else {
                break;
            };
            info!(machine = %id, shard = ?record.shard, "adopting a listed machine");
            when.push((machine_key(&id), 0));
            apply.push(crate::shard::machine_write(&id, &record));
            ids.push(id);
        }
        l.writing.extend(ids.iter().cloned());
        self.leader_commit(
            when,
            apply,
            LeaderCall::Machines {
                duty: FleetDuty::Renting,
                ids,
            },
        );
    }
}
