//! Provisioning, from the plan to the records of the provisioned machines.

use super::{Leader, LeaderContext, LeaderOutbox, LeaderRequest};
use crate::capacity::{Offer, ProvisioningRecord, UnavailableOffer};
use crate::fleet_duties::FleetDuty;
use crate::machine::{machine_key, MachineRecord};
use crate::port::{
    CloudReply, CloudRequest, Entry, ListedMachine, StoreReply, StoreRequest, Write,
};
use crate::shard::machine_write;
use crate::types::{MachineId, Micros};
use std::collections::BTreeMap;
use tracing::{debug, info, warn};

/// Prefix of the keys of provisioning records.
const RECORD_PREFIX: &str = "rent/";
/// How much a listed machine's age may be off.
const LISTED_AGE_SLACK: Micros = Micros::from_secs(1);
/// A former leader sent its requests at most this long before its successor reads the records of them.
const FORMER_REQUEST_AGE: Micros = Micros::from_secs(30);
/// Provisioning requests in flight from which on no others are started.
const MAX_IN_FLIGHT: usize = 6;
/// Time between two provisioning requests to the cloud.
const REQUEST_INTERVAL: Micros = Micros::from_millis(250);
/// Delay before a request is repeated whose outcome is unknown.
const REQUEST_RETRY_DELAY: Micros = Micros::from_secs(1);
/// Delay before machine records are written again if the reply to their write does not come.
const RECORD_TIMEOUT: Micros = Micros::from_secs(3);
/// Delay before machine records are written again after a write that failed.
const RECORD_RETRY_DELAY: Micros = Micros::from_millis(500);
/// An offer without capacity is not requested for this long, times the refusals in a row.
const UNAVAILABLE_FOR: Micros = Micros::from_secs(15);
/// Refusals in a row that still prolong that time.
const MAX_COUNTED_REFUSALS: u32 = 4;

fn record_key(name: &str) -> String {
    format!("{RECORD_PREFIX}{name}")
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProvisioningStep {
    /// Its record is being written.
    Recording,
    /// Recorded; the cloud may be asked.
    Ready,
    /// The cloud has been asked.
    Requested,
    /// The cloud has replied; the machines' records are being written.
    RecordingMachines,
}

/// A provisioning request that is not completed.
#[derive(Clone, Debug)]
struct Provisioning {
    record: ProvisioningRecord,
    step: ProvisioningStep,
    /// When the cloud may have been asked first.
    requested_at: Option<Micros>,
    retry_at: Micros,
    /// Provisioned machines whose records are not known to be written.
    machines: Vec<MachineId>,
}

impl Provisioning {
    fn new(record: ProvisioningRecord) -> Self {
        Provisioning {
            record,
            step: ProvisioningStep::Recording,
            requested_at: None,
            retry_at: Micros::ZERO,
            machines: Vec::new(),
        }
    }

    /// One that a former leader has recorded.
    fn of_former_leader(record: ProvisioningRecord, now: Micros) -> Self {
        Provisioning {
            record,
            step: ProvisioningStep::Ready,
            requested_at: Some(now - FORMER_REQUEST_AGE),
            retry_at: now,
            machines: Vec::new(),
        }
    }

    fn due(&self, step: ProvisioningStep, now: Micros) -> bool {
        self.step == step && self.retry_at <= now
    }

    fn offer(&self) -> Offer {
        Offer {
            kind: self.record.kind.clone(),
            zone: self.record.zone.clone(),
            spot: self.record.spot,
        }
    }

    /// Whether the cloud may have provisioned this machine for it, and its reply is not known: such a machine is not
    /// adopted, or it could go to another shard than the one that it was provisioned for.
    fn may_have_provisioned(&self, machine: &ListedMachine, now: Micros) -> bool {
        let record = &self.record;
        let no_reply = self.step != ProvisioningStep::RecordingMachines;
        let requested_at = self.requested_at.filter(|_| no_reply);
        let young_enough = requested_at
            .is_some_and(|requested_at| machine.age <= now - requested_at + LISTED_AGE_SLACK);
        young_enough
            && machine.kind == record.kind
            && machine.zone == record.zone
            && machine.spot == record.spot
    }

    fn cloud_request(&self, name: &str) -> CloudRequest {
        CloudRequest::Provision {
            name: name.to_owned(),
            kind: self.record.kind.clone(),
            zone: self.record.zone.clone(),
            spot: self.record.spot,
            count: self.record.count,
        }
    }

    fn machine_record(&self) -> MachineRecord {
        MachineRecord {
            shard: Some(self.record.shard),
            kind: self.record.kind.clone(),
            zone: self.record.zone.clone(),
            spot: self.record.spot,
        }
    }
}

/// Whether the records that former leaders left have been read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum FormerRecords {
    #[default]
    Unread,
    Reading,
    Read,
}

/// Provisioning requests and what the cloud has refused.
#[derive(Debug, Default)]
pub(super) struct ProvisioningState {
    former_records: FormerRecords,
    in_flight: BTreeMap<String, Provisioning>,
    /// Number of the last provisioning request of this leader.
    last_number: u64,
    pub(super) unavailable_offers: BTreeMap<Offer, UnavailableOffer>,
}

impl ProvisioningState {
    /// Forgets the requests in flight; their records are read again.
    pub(super) fn restart(&mut self) {
        self.in_flight.clear();
        self.former_records = FormerRecords::Unread;
    }

    /// Whether no further provisioning requests may be started.
    pub(super) fn at_limit(&self) -> bool {
        self.in_flight.len() >= MAX_IN_FLIGHT
    }

    /// The records of the requests in flight.
    pub(super) fn records(&self) -> impl Iterator<Item = &ProvisioningRecord> {
        self.in_flight
            .values()
            .map(|provisioning| &provisioning.record)
    }

    /// Provisioned machines whose records are not known to be written.
    pub(super) fn provisioned_machines(&self) -> impl Iterator<Item = &MachineId> {
        self.in_flight
            .values()
            .flat_map(|provisioning| provisioning.machines.iter())
    }

    /// How many machine records are still to be written.
    pub(super) fn pending_writes(&self) -> usize {
        self.in_flight
            .values()
            .filter(|provisioning| provisioning.step == ProvisioningStep::RecordingMachines)
            .map(|provisioning| provisioning.machines.len())
            .sum()
    }

    /// Whether the cloud may have provisioned this machine for a request in flight.
    pub(super) fn may_have_provisioned(&self, machine: &ListedMachine, now: Micros) -> bool {
        self.in_flight
            .values()
            .any(|provisioning| provisioning.may_have_provisioned(machine, now))
    }

    fn no_capacity(&mut self, name: &str, offer: Offer, now: Micros) {
        let refusals = self
            .unavailable_offers
            .get(&offer)
            .map_or(1, |former| (former.refusals + 1).min(MAX_COUNTED_REFUSALS));
        info!(name, kind = %offer.kind, zone = %offer.zone, spot = offer.spot, times = refusals, "no capacity");
        let until = now + UNAVAILABLE_FOR.times(i64::from(refusals));
        self.unavailable_offers
            .insert(offer, UnavailableOffer { until, refusals });
    }
}

fn list_request(after: Option<String>) -> StoreRequest {
    StoreRequest::List {
        prefix: RECORD_PREFIX.to_owned(),
        after,
    }
}

impl Leader {
    /// Whether the provisioning records of former leaders have been read; starts to read them.
    pub(super) fn former_provisionings_read(
        &mut self,
        context: &LeaderContext,
        outbox: &mut LeaderOutbox,
    ) -> bool {
        if self.provisioning.former_records == FormerRecords::Unread {
            self.provisioning.former_records = FormerRecords::Reading;
            let entries = Vec::new();
            let request = LeaderRequest::ListProvisionings { entries };
            self.read(context, outbox, list_request(None), request);
        }
        self.provisioning.former_records == FormerRecords::Read
    }

    /// Takes in a page of former leaders' provisioning records. All of them are repeated once the last page is here.
    pub(super) fn former_records_reply(
        &mut self,
        context: &LeaderContext,
        outbox: &mut LeaderOutbox,
        mut entries: Vec<Entry>,
        reply: StoreReply,
    ) {
        let mut complete = false;
        if let StoreReply::Page {
            entries: page,
            more,
            ..
        } = reply
        {
            entries.extend(page);
            complete = !more;
        }
        if !complete {
            let after = entries.last().map(|entry| entry.key.clone());
            let request = LeaderRequest::ListProvisionings { entries };
            return self.read(context, outbox, list_request(after), request);
        }
        for entry in entries {
            let name = entry.key.strip_prefix(RECORD_PREFIX).unwrap_or(&entry.key);
            match serde_json::from_value(entry.value) {
                Ok(record) => {
                    info!(name, "repeating a former leader's provisioning request");
                    let provisioning = Provisioning::of_former_leader(record, context.now);
                    self.provisioning
                        .in_flight
                        .insert(name.to_owned(), provisioning);
                }
                Err(error) => warn!(name, %error, "unreadable provisioning record"),
            }
        }
        self.provisioning.former_records = FormerRecords::Read;
    }

    /// Sends the next provisioning request that is due, and records the machines that the cloud has provisioned.
    pub(super) fn provisioning_tick(
        &mut self,
        context: &mut LeaderContext,
        outbox: &mut LeaderOutbox,
    ) {
        let now = context.now;
        if now < self.cloud_backoff_until {
            return;
        }
        self.request_next_provisioning(context, outbox);
        let due: Vec<String> = self
            .provisioning
            .in_flight
            .iter()
            .filter(|(_, provisioning)| provisioning.due(ProvisioningStep::RecordingMachines, now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            // The machines boot meanwhile: their records can wait until the store takes them.
            if *context.write_budget > 0 {
                self.record_provisioned_machines(context, outbox, &name);
            }
        }
    }

    fn request_next_provisioning(&mut self, context: &LeaderContext, outbox: &mut LeaderOutbox) {
        let now = context.now;
        let due = self
            .provisioning
            .in_flight
            .iter_mut()
            .find(|(_, provisioning)| provisioning.due(ProvisioningStep::Ready, now));
        let Some((name, provisioning)) = due else {
            return;
        };
        provisioning.step = ProvisioningStep::Requested;
        provisioning.requested_at = provisioning.requested_at.or(Some(now));
        self.cloud_backoff_until = now + REQUEST_INTERVAL;
        let name = name.clone();
        let cloud_request = provisioning.cloud_request(&name);
        let request = LeaderRequest::Provision { name };
        self.ask_cloud(context, outbox, cloud_request, request);
    }

    /// Writes the records of provisioned machines; the last transaction removes the provisioning record. What a former
    /// leader has provisioned may be more than one transaction takes.
    fn record_provisioned_machines(
        &mut self,
        context: &mut LeaderContext,
        outbox: &mut LeaderOutbox,
        name: &str,
    ) {
        let Some(provisioning) = self.provisioning.in_flight.get_mut(name) else {
            return;
        };
        provisioning.retry_at = context.now + RECORD_TIMEOUT;
        let mut ids: Vec<MachineId> = provisioning
            .machines
            .iter()
            .filter(|id| !context.machines.contains_key(id))
            .cloned()
            .collect();
        let most = context.settings.txn_ops.saturating_sub(1).max(1);
        let last = ids.len() <= most;
        ids.truncate(most);
        let record = provisioning.machine_record();
        let conditions = ids.iter().map(|id| (machine_key(id), 0)).collect();
        let mut writes: Vec<Write> = ids.iter().map(|id| machine_write(id, &record)).collect();
        if last {
            writes.push(Write::Delete {
                key: record_key(name),
            });
        }
        let name = name.to_owned();
        let request = LeaderRequest::RecordMachines { name, ids, last };
        self.commit(context, outbox, conditions, writes, request);
    }

    /// Starts provisioning: its record is written before the cloud is asked.
    pub(super) fn start_provisioning(
        &mut self,
        context: &mut LeaderContext,
        outbox: &mut LeaderOutbox,
        record: ProvisioningRecord,
    ) {
        let Some(fence) = context.fence(FleetDuty::ScaleOut) else {
            return;
        };
        self.provisioning.last_number += 1;
        // Unique for ever: no two claims have the same fencing token.
        let name = format!(
            "r-{}-{}",
            fence.fencing_token, self.provisioning.last_number
        );
        info!(name, kind = %record.kind, zone = %record.zone, spot = record.spot, count = record.count, shard = record.shard, "provisioning machines");
        let key = record_key(&name);
        let write = Write::Put {
            key: key.clone(),
            value: serde_json::to_value(&record).unwrap_or_default(),
            lease: None,
        };
        self.provisioning
            .in_flight
            .insert(name.clone(), Provisioning::new(record));
        let request = LeaderRequest::RecordProvisioning { name };
        self.commit(context, outbox, vec![(key, 0)], vec![write], request);
    }

    /// Takes in the outcome of writing a provisioning record.
    pub(super) fn provisioning_recorded(&mut self, name: &str, reply: &StoreReply) {
        let StoreReply::Committed { .. } = reply else {
            // Whether it was recorded is unknown: the cloud was not asked under this name, and a successor that finds
            // the record may ask.
            self.provisioning.in_flight.remove(name);
            return;
        };
        if let Some(provisioning) = self.provisioning.in_flight.get_mut(name) {
            provisioning.step = ProvisioningStep::Ready;
        }
    }

    /// Takes in the outcome of writing provisioned machines' records.
    pub(super) fn provisioned_machines_recorded(
        &mut self,
        now: Micros,
        name: &str,
        ids: &[MachineId],
        last: bool,
        reply: &StoreReply,
    ) {
        let committed = matches!(reply, StoreReply::Committed { .. });
        if committed && last {
            if let Some(provisioning) = self.provisioning.in_flight.remove(name) {
                let machines = provisioning.machines.len();
                debug!(name, machines, "provisioning completed");
            }
            return;
        }
        let Some(provisioning) = self.provisioning.in_flight.get_mut(name) else {
            return;
        };
        if committed {
            provisioning.machines.retain(|id| !ids.contains(id));
            provisioning.retry_at = now;
        } else {
            provisioning.retry_at = now + RECORD_RETRY_DELAY;
        }
    }

    /// Takes in the cloud's reply to a provisioning request.
    pub(super) fn provision_reply(&mut self, now: Micros, name: &str, reply: CloudReply) {
        let Some(provisioning) = self.provisioning.in_flight.get_mut(name) else {
            return;
        };
        let offer = provisioning.offer();
        provisioning.step = ProvisioningStep::RecordingMachines;
        provisioning.retry_at = now;
        match reply {
            CloudReply::Provisioned(ids) => self.machines_provisioned(now, name, offer, ids),
            CloudReply::NoCapacity => self.provisioning.no_capacity(name, offer, now),
            _ => {
                // Unknown: the same name again, under which the cloud provisions nothing twice.
                provisioning.step = ProvisioningStep::Ready;
                provisioning.retry_at = now + REQUEST_RETRY_DELAY;
            }
        }
    }

    fn machines_provisioned(&mut self, now: Micros, name: &str, offer: Offer, ids: Vec<MachineId>) {
        let Some(provisioning) = self.provisioning.in_flight.get_mut(name) else {
            return;
        };
        info!(name, machines = ?ids.iter().map(|id| id.as_str()).collect::<Vec<_>>(), "machines provisioned");
        for id in &ids {
            self.boot_times
                .provisioned(id.clone(), &provisioning.record.kind, now);
        }
        let offers = &mut self.provisioning.unavailable_offers;
        if (ids.len() as u32) < provisioning.record.count {
            let until = now + UNAVAILABLE_FOR;
            let refusals = 1;
            offers.insert(offer, UnavailableOffer { until, refusals });
        } else {
            offers.remove(&offer);
        }
        provisioning.machines = ids;
    }
}
