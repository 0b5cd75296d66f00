//! The state of provisioning: requests in flight, and offers that the cloud has refused.

use crate::capacity::{Offer, ProvisioningRecord, UnavailableOffer};
use crate::machine::MachineRecord;
use crate::port::{CloudRequest, ListedMachine};
use crate::types::{MachineId, Micros};
use std::collections::BTreeMap;
use tracing::info;

/// Tolerance for the age of a machine in the cloud's list.
const LISTED_AGE_SLACK: Micros = Micros::from_secs(1);
/// A predecessor sent its requests at most this long before its successor reads their records.
const MAX_PREDECESSOR_REQUEST_AGE: Micros = Micros::from_secs(30);
/// While this many provisioning requests are in flight, plans start no further ones.
const MAX_IN_FLIGHT: usize = 6;
/// After a refusal an offer is not requested for this long, multiplied by the number of consecutive refusals.
const REFUSED_OFFER_BACKOFF: Micros = Micros::from_secs(15);
/// Maximum number of consecutive refusals that prolong the backoff.
const MAX_COUNTED_REFUSALS: u32 = 4;

/// The step that a provisioning request has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProvisioningStep {
    /// Its record is being written.
    Recording,
    /// Its record is stored; the request may be sent to the cloud.
    Ready,
    /// The request has been sent to the cloud.
    Requested,
    /// The cloud has replied; the records of the machines are being written.
    RecordingMachines,
}

/// A provisioning request in flight.
#[derive(Clone, Debug)]
pub(super) struct Provisioning {
    pub(super) record: ProvisioningRecord,
    pub(super) step: ProvisioningStep,
    /// The earliest time at which the request may have been sent to the cloud; `None` if it has not been sent.
    pub(super) requested_at: Option<Micros>,
    pub(super) retry_at: Micros,
    /// Provisioned machines whose records have not been confirmed as written.
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

    /// A request that a predecessor has recorded.
    pub(super) fn from_predecessor(record: ProvisioningRecord, now: Micros) -> Self {
        Provisioning {
            record,
            step: ProvisioningStep::Ready,
            requested_at: Some(now - MAX_PREDECESSOR_REQUEST_AGE),
            retry_at: now,
            machines: Vec::new(),
        }
    }

    pub(super) fn due(&self, step: ProvisioningStep, now: Micros) -> bool {
        self.step == step && self.retry_at <= now
    }

    pub(super) fn offer(&self) -> Offer {
        Offer {
            machine_type: self.record.machine_type.clone(),
            zone: self.record.zone.clone(),
            spot: self.record.spot,
        }
    }

    /// Whether the cloud may have provisioned this machine for the request, whose reply has not arrived. Such a machine
    /// is not adopted, since adoption could assign it to another shard than the one that it was provisioned for.
    fn may_have_provisioned(&self, machine: &ListedMachine, now: Micros) -> bool {
        let record = &self.record;
        let no_reply = self.step != ProvisioningStep::RecordingMachines;
        let requested_at = self.requested_at.filter(|_| no_reply);
        let young_enough = requested_at
            .is_some_and(|requested_at| machine.age <= now - requested_at + LISTED_AGE_SLACK);
        young_enough
            && machine.machine_type == record.machine_type
            && machine.zone == record.zone
            && machine.spot == record.spot
    }

    pub(super) fn cloud_request(&self, name: &str) -> CloudRequest {
        CloudRequest::Provision {
            name: name.to_owned(),
            machine_type: self.record.machine_type.clone(),
            zone: self.record.zone.clone(),
            spot: self.record.spot,
            count: self.record.count,
        }
    }

    pub(super) fn machine_record(&self) -> MachineRecord {
        MachineRecord {
            shard: Some(self.record.shard),
            machine_type: self.record.machine_type.clone(),
            zone: self.record.zone.clone(),
            spot: self.record.spot,
        }
    }
}

/// Whether the provisioning records of predecessors have been read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum PredecessorRecords {
    #[default]
    Unread,
    Reading,
    Read,
}

/// The state of provisioning.
#[derive(Debug, Default)]
pub(super) struct ProvisioningState {
    pub(super) predecessor_records: PredecessorRecords,
    /// Requests in flight by name.
    pub(super) in_flight: BTreeMap<String, Provisioning>,
    /// Number of the last provisioning request that this leader started.
    pub(super) last_request_number: u64,
    /// Offers that the cloud has refused.
    pub(super) unavailable_offers: BTreeMap<Offer, UnavailableOffer>,
}

impl ProvisioningState {
    /// Discards the requests in flight; they are read again from their records.
    pub(super) fn restart(&mut self) {
        self.in_flight.clear();
        self.predecessor_records = PredecessorRecords::Unread;
    }

    /// Whether a plan may start no further provisioning requests.
    pub(super) fn at_limit(&self) -> bool {
        self.in_flight.len() >= MAX_IN_FLIGHT
    }

    /// The records of the requests in flight.
    pub(super) fn records(&self) -> impl Iterator<Item = &ProvisioningRecord> {
        self.in_flight
            .values()
            .map(|provisioning| &provisioning.record)
    }

    /// Provisioned machines whose records have not been confirmed as written.
    pub(super) fn provisioned_machines(&self) -> impl Iterator<Item = &MachineId> {
        self.in_flight
            .values()
            .flat_map(|provisioning| provisioning.machines.iter())
    }

    /// Number of machine records that are still to be written.
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

    /// Notes that the cloud has provisioned fewer machines than requested.
    pub(super) fn partly_available(&mut self, offer: Offer, now: Micros) {
        let until = now + REFUSED_OFFER_BACKOFF;
        let refusals = 1;
        self.unavailable_offers
            .insert(offer, UnavailableOffer { until, refusals });
    }

    /// Notes that the cloud has no capacity for an offer.
    pub(super) fn no_capacity(&mut self, name: &str, offer: Offer, now: Micros) {
        let refusals = self.unavailable_offers.get(&offer).map_or(1, |previous| {
            (previous.refusals + 1).min(MAX_COUNTED_REFUSALS)
        });
        info!(name, kind = %offer.machine_type, zone = %offer.zone, spot = offer.spot, times = refusals, "no capacity");
        let until = now + REFUSED_OFFER_BACKOFF.times(i64::from(refusals));
        self.unavailable_offers
            .insert(offer, UnavailableOffer { until, refusals });
    }
}
