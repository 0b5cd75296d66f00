//! Provisioning, from the request in the plan to the records of the provisioned machines.

use super::provisioning_state::{PredecessorRecords, Provisioning, ProvisioningStep};
use super::{Leader, LeaderContext, LeaderOutbox, LeaderRequest};
use crate::capacity::{Offer, ProvisioningRecord};
use crate::fleet_duties::FleetDuty;
use crate::machine::machine_key;
use crate::port::{CloudReply, Entry, StoreReply, StoreRequest, Write};
use crate::shard::machine_write;
use crate::types::{MachineId, Micros};
use tracing::{debug, info, warn};

/// Prefix of the keys of provisioning records.
const RECORD_PREFIX: &str = "rent/";
/// Minimum interval between provisioning requests to the cloud.
const REQUEST_INTERVAL: Micros = Micros::from_millis(250);
/// Delay before a request whose outcome is unknown is repeated.
const REQUEST_RETRY_DELAY: Micros = Micros::from_secs(1);
/// Delay before machine records are written again if there is no reply to the first write.
const RECORD_TIMEOUT: Micros = Micros::from_secs(3);
/// Delay before machine records are written again after a failed write.
const RECORD_RETRY_DELAY: Micros = Micros::from_millis(500);

fn record_key(name: &str) -> String {
    format!("{RECORD_PREFIX}{name}")
}

fn list_request(after: Option<String>) -> StoreRequest {
    StoreRequest::List {
        prefix: RECORD_PREFIX.to_owned(),
        after,
    }
}

impl Leader {
    /// Whether the provisioning records of predecessors have been read. Starts reading them if that has not been done.
    pub(super) fn predecessor_records_read(
        &mut self,
        context: &LeaderContext,
        outbox: &mut LeaderOutbox,
    ) -> bool {
        if self.provisioning.predecessor_records == PredecessorRecords::Unread {
            self.provisioning.predecessor_records = PredecessorRecords::Reading;
            let entries = Vec::new();
            let request = LeaderRequest::ListProvisioningRecords { entries };
            self.read(context, outbox, list_request(None), request);
        }
        self.provisioning.predecessor_records == PredecessorRecords::Read
    }

    /// Handles a page of predecessors' provisioning records. After the last page all of their requests are repeated.
    pub(super) fn predecessor_records_reply(
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
            let request = LeaderRequest::ListProvisioningRecords { entries };
            return self.read(context, outbox, list_request(after), request);
        }
        for entry in entries {
            let name = entry.key.strip_prefix(RECORD_PREFIX).unwrap_or(&entry.key);
            match serde_json::from_value(entry.value) {
                Ok(record) => {
                    info!(name, "repeating a predecessor's provisioning request");
                    let provisioning = Provisioning::from_predecessor(record, context.now);
                    self.provisioning
                        .in_flight
                        .insert(name.to_owned(), provisioning);
                }
                Err(error) => warn!(name, %error, "unreadable provisioning record ignored"),
            }
        }
        self.provisioning.predecessor_records = PredecessorRecords::Read;
    }

    /// Sends the next provisioning request that is due, and writes the records of provisioned machines.
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
            // The records can wait for the write budget, since the machines are booting in the meantime.
            if context.write_pacer.has_budget() {
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
        self.send_to_cloud(context, outbox, cloud_request, request);
    }

    /// Writes the records of provisioned machines. The machines of a predecessor's request may need several
    /// transactions; the last one removes the provisioning record.
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
        let max_records = context.settings.max_txn_changes.saturating_sub(1).max(1);
        let last = ids.len() <= max_records;
        ids.truncate(max_records);
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

    /// Starts provisioning by writing its record; the request to the cloud follows once that is stored.
    pub(super) fn start_provisioning(
        &mut self,
        context: &mut LeaderContext,
        outbox: &mut LeaderOutbox,
        record: ProvisioningRecord,
    ) {
        let Some(fence) = context.fence(FleetDuty::ScaleOut) else {
            return;
        };
        self.provisioning.last_request_number += 1;
        // Unique for ever, since no two claims have the same fencing token.
        let name = format!(
            "r-{}-{}",
            fence.fencing_token, self.provisioning.last_request_number
        );
        debug!(name, kind = %record.machine_type, zone = %record.zone, spot = record.spot, count = record.count, shard = record.shard, "provisioning machines");
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

    /// Handles the outcome of writing a provisioning record.
    pub(super) fn provisioning_recorded(&mut self, name: &str, reply: &StoreReply) {
        let StoreReply::Committed { .. } = reply else {
            // The record may have been written nevertheless. No request was sent to the cloud under this name, so a
            // successor that finds the record may send it.
            self.provisioning.in_flight.remove(name);
            return;
        };
        if let Some(provisioning) = self.provisioning.in_flight.get_mut(name) {
            provisioning.step = ProvisioningStep::Ready;
        }
    }

    /// Handles the outcome of writing the records of provisioned machines.
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

    /// Handles the cloud's reply to a provisioning request.
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
                // The outcome is unknown: the request is repeated under the same name, so that the cloud does not
                // provision twice.
                provisioning.step = ProvisioningStep::Ready;
                provisioning.retry_at = now + REQUEST_RETRY_DELAY;
            }
        }
    }

    fn machines_provisioned(&mut self, now: Micros, name: &str, offer: Offer, ids: Vec<MachineId>) {
        let Some(provisioning) = self.provisioning.in_flight.get_mut(name) else {
            return;
        };
        let record = &provisioning.record;
        info!(name, kind = %record.machine_type, zone = %record.zone, spot = record.spot, count = record.count, shard = record.shard, machines = ?ids.iter().map(|id| id.as_str()).collect::<Vec<_>>(), "machines provisioned");
        for id in &ids {
            self.boot_times
                .provisioned(id.clone(), &record.machine_type, now);
        }
        let complete = ids.len() as u32 >= provisioning.record.count;
        provisioning.machines = ids;
        if complete {
            self.provisioning.unavailable_offers.remove(&offer);
        } else {
            self.provisioning.partly_available(offer, now);
        }
    }
}
