//! Rentals, from the plan to the machines' records.

use super::*;

/// How much a listed machine's age may be off.
const LISTED_AGE_SLACK: Micros = Micros::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RentStep {
    /// Its name is being recorded.
    Recording,
    /// Recorded; the cloud may be asked.
    Ready,
    Asking,
    /// Answered; the machines' records are being written.
    Settling,
}

#[derive(Clone, Debug)]
pub(super) struct Rent {
    pub(super) record: RentRecord,
    pub(super) step: RentStep,
    /// When the cloud may have been asked first.
    pub(super) asked_at: Option<Micros>,
    pub(super) retry_at: Micros,
    pub(super) got: Vec<MachineId>,
}

impl Rent {
    /// Whether the cloud may have rented this machine for it, and the answer is not known: such a machine is not
    /// adopted, or it would go to another shard than the one that it was rented for.
    pub(super) fn may_have_rented(&self, m: &Listed, now: Micros) -> bool {
        let r = &self.record;
        let unanswered = self.step != RentStep::Settling;
        let since = self.asked_at.filter(|_| unanswered);
        let in_time = since.is_some_and(|asked| m.age <= now - asked + LISTED_AGE_SLACK);
        in_time && m.kind == r.kind && m.zone == r.zone && m.spot == r.spot
    }
}

impl Engine {
    pub(super) fn rents_tick(&mut self) {
        let now = self.now;
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        if now < l.cloud_rest {
            return;
        }
        let due = l
            .rents
            .iter()
            .find(|(_, r)| r.step == RentStep::Ready && r.retry_at <= now);
        if let Some(name) = due.map(|d| d.0.clone()) {
            if let Some(r) = l.rents.get_mut(&name) {
                r.step = RentStep::Asking;
                r.asked_at = r.asked_at.or(Some(now));
                l.cloud_rest = now + Micros::from_millis(250);
                let (kind, zone) = (r.record.kind.clone(), r.record.zone.clone());
                let request = CloudCall::Rent {
                    name: name.clone(),
                    kind,
                    zone,
                    spot: r.record.spot,
                    count: r.record.count,
                };
                self.leader_cloud(request, LeaderCall::Rent { name });
            }
        }
        let Some(l) = self.leader.as_ref() else {
            return;
        };
        let settle: Vec<String> = l
            .rents
            .iter()
            .filter(|(_, r)| r.step == RentStep::Settling && r.retry_at <= now)
            .map(|r| r.0.clone())
            .collect();
        for name in settle {
            // They boot meanwhile: their records can wait for what the store takes.
            if self.write_budget > 0 {
                self.settle_rent(&name);
            }
        }
    }

    /// Transactions give the machines their records, and the last one forgets the request: what a former leader
    /// rented may be more than one takes.
    pub(super) fn settle_rent(&mut self, name: &str) {
        let now = self.now;
        let known = &self.machines;
        let Some(r) = self.leader.as_mut().and_then(|l| l.rents.get_mut(name)) else {
            return;
        };
        r.retry_at = now + Micros::from_secs(3);
        let mut new: Vec<MachineId> = r
            .got
            .iter()
            .filter(|id| !known.contains_key(id))
            .cloned()
            .collect();
        let most = self.cfg.txn_ops.saturating_sub(1).max(1);
        let last = new.len() <= most;
        new.truncate(most);
        let record = MachineRecord {
            shard: Some(r.record.shard),
            kind: r.record.kind.clone(),
            zone: r.record.zone.clone(),
            spot: r.record.spot,
        };
        let value = serde_json::to_value(&record).unwrap_or_default();
        let when = new.iter().map(|id| (machine_key(id), 0)).collect();
        let mut apply: Vec<Write> = new
            .iter()
            .map(|id| Write::Put {
                key: machine_key(id),
                value: value.clone(),
                lease: None,
            })
            .collect();
        if last {
            apply.push(Write::Delete {
                key: format!("rent/{name}"),
            });
        }
        self.leader_commit(
            when,
            apply,
            LeaderCall::SettleRent {
                name: name.to_owned(),
                ids: new,
                last,
            },
        );
    }

    pub(super) fn start_rent(&mut self, record: RentRecord) {
        let Some(token) = self.fleet_token(FleetDuty::Renting) else {
            return;
        };
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        l.counter += 1;
        // Unique for ever: no two claims have the same version.
        let name = format!("r-{token}-{}", l.counter);
        info!(name, kind = %record.kind, zone = %record.zone, spot = record.spot, count = record.count, shard = record.shard, "renting");
        let value = serde_json::to_value(&record).unwrap_or_default();
        let rent = Rent {
            record,
            step: RentStep::Recording,
            asked_at: None,
            retry_at: Micros::ZERO,
            got: Vec::new(),
        };
        l.rents.insert(name.clone(), rent);
        let key = format!("rent/{name}");
        let apply = vec![Write::Put {
            key: key.clone(),
            value,
            lease: None,
        }];
        self.leader_commit(vec![(key, 0)], apply, LeaderCall::RecordRent { name });
    }
}
