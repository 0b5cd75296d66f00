//! Rentals, from the plan to the machines' records.

use super::{
    info, machine_key, CloudRequest, Engine, FleetDuty, LeaderRequest, ListedMachine, MachineId,
    MachineRecord, Micros, ProvisioningRecord, Write,
};

/// How much a listed machine's age may be off.
const LISTED_AGE_SLACK: Micros = Micros::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProvisioningStep {
    /// Its name is being recorded.
    Recording,
    /// Recorded; the cloud may be asked.
    Ready,
    Asking,
    /// Answered; the machines' records are being written.
    Settling,
}

#[derive(Clone, Debug)]
pub(super) struct Provisioning {
    pub(super) record: ProvisioningRecord,
    pub(super) step: ProvisioningStep,
    /// When the cloud may have been asked first.
    pub(super) asked_at: Option<Micros>,
    pub(super) retry_at: Micros,
    pub(super) got: Vec<MachineId>,
}

impl Provisioning {
    /// Whether the cloud may have rented this machine for it, and the answer is not known: such a machine is not
    /// adopted, or it would go to another shard than the one that it was rented for.
    pub(super) fn may_have_provisioned(&self, m: &ListedMachine, now: Micros) -> bool {
        let r = &self.record;
        let unanswered = self.step != ProvisioningStep::Settling;
        let since = self.asked_at.filter(|_| unanswered);
        let in_time = since.is_some_and(|asked| m.age <= now - asked + LISTED_AGE_SLACK);
        in_time && m.kind == r.kind && m.zone == r.zone && m.spot == r.spot
    }
}

impl Engine {
    pub(super) fn provisioning_tick(&mut self) {
        let now = self.now;
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        if now < l.cloud_backoff_until {
            return;
        }
        let due = l
            .provisionings
            .iter()
            .find(|(_, r)| r.step == ProvisioningStep::Ready && r.retry_at <= now);
        if let Some(name) = due.map(|d| d.0.clone()) {
            if let Some(r) = l.provisionings.get_mut(&name) {
                r.step = ProvisioningStep::Asking;
                r.asked_at = r.asked_at.or(Some(now));
                l.cloud_backoff_until = now + Micros::from_millis(250);
                let (kind, zone) = (r.record.kind.clone(), r.record.zone.clone());
                let request = CloudRequest::Provision {
                    name: name.clone(),
                    kind,
                    zone,
                    spot: r.record.spot,
                    count: r.record.count,
                };
                self.leader_cloud(request, LeaderRequest::Provision { name });
            }
        }
        let Some(l) = self.leader.as_ref() else {
            return;
        };
        let settle: Vec<String> = l
            .provisionings
            .iter()
            .filter(|(_, r)| r.step == ProvisioningStep::Settling && r.retry_at <= now)
            .map(|r| r.0.clone())
            .collect();
        for name in settle {
            // They boot meanwhile: their records can wait for what the store takes.
            if self.write_pacer.has_budget() {
                self.record_provisioned_machines(&name);
            }
        }
    }

    /// Transactions give the machines their records, and the last one forgets the request: what a former leader
    /// rented may be more than one takes.
    pub(super) fn record_provisioned_machines(&mut self, name: &str) {
        let now = self.now;
        let known = &self.machines;
        let Some(r) = self
            .leader
            .as_mut()
            .and_then(|l| l.provisionings.get_mut(name))
        else {
            return;
        };
        r.retry_at = now + Micros::from_secs(3);
        let mut new: Vec<MachineId> = r
            .got
            .iter()
            .filter(|id| !known.contains_key(id))
            .cloned()
            .collect();
        let most = self.settings.txn_ops.saturating_sub(1).max(1);
        let last = new.len() <= most;
        new.truncate(most);
        let record = MachineRecord {
            shard: Some(r.record.shard),
            kind: r.record.kind.clone(),
            zone: r.record.zone.clone(),
            spot: r.record.spot,
        };
        let value = serde_json::to_value(&record).unwrap_or_default();
        let conditions = new.iter().map(|id| (machine_key(id), 0)).collect();
        let mut writes: Vec<Write> = new
            .iter()
            .map(|id| Write::Put {
                key: machine_key(id),
                value: value.clone(),
                lease: None,
            })
            .collect();
        if last {
            writes.push(Write::Delete {
                key: format!("rent/{name}"),
            });
        }
        self.leader_commit(
            conditions,
            writes,
            LeaderRequest::RecordMachines {
                name: name.to_owned(),
                ids: new,
                last,
            },
        );
    }

    pub(super) fn start_provisioning(&mut self, record: ProvisioningRecord) {
        let Some(fencing_token) = self.fleet_token(FleetDuty::ScaleOut) else {
            return;
        };
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        l.counter += 1;
        // Unique for ever: no two claims have the same version.
        let name = format!("r-{fencing_token}-{}", l.counter);
        info!(name, kind = %record.kind, zone = %record.zone, spot = record.spot, count = record.count, shard = record.shard, "renting");
        let value = serde_json::to_value(&record).unwrap_or_default();
        let provisioning = Provisioning {
            record,
            step: ProvisioningStep::Recording,
            asked_at: None,
            retry_at: Micros::ZERO,
            got: Vec::new(),
        };
        l.provisionings.insert(name.clone(), provisioning);
        let key = format!("rent/{name}");
        let writes = vec![Write::Put {
            key: key.clone(),
            value,
            lease: None,
        }];
        self.leader_commit(
            vec![(key, 0)],
            writes,
            LeaderRequest::RecordProvisioning { name },
        );
    }
}
