//! Provisioning requests in flight, and offers that the cloud has refused.

use crate::capacity::{Offer, ProvisioningRecord, UnavailableOffer};
use crate::machine::MachineRecord;
use crate::port::{CloudRequest, ListedMachine};
use crate::types::{MachineId, Micros};
use std::collections::BTreeMap;
use tracing::info;

/// How much a listed machine's age may be off.
const LISTED_AGE_SLACK: Micros = Micros::from_secs(1);
/// A former leader sent its requests at most this long before its successor reads the records of them.
const FORMER_REQUEST_AGE: Micros = Micros::from_secs(30);
/// Provisioning requests in flight from which on no others are started.
const MAX_IN_FLIGHT: usize = 6;
/// An offer without capacity is not requested for this long, times the refusals in a row.
const UNAVAILABLE_FOR: Micros = Micros::from_secs(15);
/// Refusals in a row that still prolong that time.
const MAX_COUNTED_REFUSALS: u32 = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProvisioningStep {
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
pub(super) struct Provisioning {
    pub(super) record: ProvisioningRecord,
    pub(super) step: ProvisioningStep,
    /// When the cloud may have been asked first.
    pub(super) requested_at: Option<Micros>,
    pub(super) retry_at: Micros,
    /// Provisioned machines whose records are not known to be written.
    pub(super) machines: Vec<MachineId>,
}

impl Provisioning {
    pub(super) fn new(record: ProvisioningRecord) -> Self {
        Provisioning {
            record,
            step: ProvisioningStep::Recording,
            requested_at: None,
            retry_at: Micros::ZERO,
            machines: Vec::new(),
        }
    }

    /// One that a former leader has recorded.
    pub(super) fn of_former_leader(record: ProvisioningRecord, now: Micros) -> Self {
        Provisioning {
            record,
            step: ProvisioningStep::Ready,
            requested_at: Some(now - FORMER_REQUEST_AGE),
            retry_at: now,
            machines: Vec::new(),
        }
    }

    pub(super) fn due(&self, step: ProvisioningStep, now: Micros) -> bool {
        self.step == step && self.retry_at <= now
    }

    pub(super) fn offer(&self) -> Offer {
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

    pub(super) fn cloud_request(&self, name: &str) -> CloudRequest {
        CloudRequest::Provision {
            name: name.to_owned(),
            kind: self.record.kind.clone(),
            zone: self.record.zone.clone(),
            spot: self.record.spot,
            count: self.record.count,
        }
    }

    pub(super) fn machine_record(&self) -> MachineRecord {
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
pub(super) enum FormerRecords {
    #[default]
    Unread,
    Reading,
    Read,
}

/// Provisioning requests and what the cloud has refused.
#[derive(Debug, Default)]
pub(super) struct ProvisioningState {
    pub(super) former_records: FormerRecords,
    pub(super) in_flight: BTreeMap<String, Provisioning>,
    /// Number of the last provisioning request of this leader.
    pub(super) last_number: u64,
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

    /// The cloud has provisioned fewer machines than requested.
    pub(super) fn partly_available(&mut self, offer: Offer, now: Micros) {
        let until = now + UNAVAILABLE_FOR;
        let refusals = 1;
        self.unavailable_offers
            .insert(offer, UnavailableOffer { until, refusals });
    }

    /// The cloud has provisioned nothing.
    pub(super) fn no_capacity(&mut self, name: &str, offer: Offer, now: Micros) {
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
