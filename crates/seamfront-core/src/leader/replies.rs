//! Handling of the replies to the leader's requests.

use super::{FencedRequest, Leader, LeaderContext, LeaderEvent, LeaderOutbox, LeaderRequest};
use crate::port::{CloudReply, StoreReply};
use crate::types::Micros;

/// Time without requests to the cloud after one that failed.
const CLOUD_BACKOFF: Micros = Micros::from_millis(700);

impl Leader {
    /// Handles a reply of the store. Replies to requests sent under another fencing token are ignored.
    pub(crate) fn store_reply(
        &mut self,
        context: &mut LeaderContext,
        outbox: &mut LeaderOutbox,
        pending: FencedRequest,
        reply: StoreReply,
    ) -> Option<LeaderEvent> {
        let FencedRequest {
            fencing_token,
            request,
        } = pending;
        let duty = request.duty();
        let fence = context
            .fence(duty)
            .filter(|fence| fence.fencing_token == fencing_token)?;
        if let StoreReply::Conflict { failed } = &reply {
            if failed.contains(&fence.key) {
                return Some(LeaderEvent::FenceRefused {
                    duty,
                    fencing_token,
                });
            }
        }
        match request {
            LeaderRequest::ListProvisioningRecords { entries } => {
                self.predecessor_records_reply(context, outbox, entries, reply);
            }
            LeaderRequest::RecordProvisioning { name } => self.provisioning_recorded(&name, &reply),
            LeaderRequest::RecordMachines { name, ids, last } => {
                self.provisioned_machines_recorded(context.now, &name, &ids, last, &reply);
            }
            LeaderRequest::AssignMachines { ids, .. } => {
                for id in ids {
                    self.writes_in_flight.remove(&id);
                }
            }
            LeaderRequest::DeleteMachineRecords | LeaderRequest::RecordMachineTypes => {}
            // Replies of the cloud are handled by [`Leader::cloud_reply`].
            LeaderRequest::MachineTypes
            | LeaderRequest::ListMachines
            | LeaderRequest::Provision { .. }
            | LeaderRequest::Terminate { .. } => {}
        }
        None
    }

    /// Handles a reply of the cloud. Replies to requests sent under another fencing token are ignored.
    pub(crate) fn cloud_reply(
        &mut self,
        context: &mut LeaderContext,
        outbox: &mut LeaderOutbox,
        pending: FencedRequest,
        reply: CloudReply,
    ) -> Option<LeaderEvent> {
        let request = pending.request;
        context
            .fence(request.duty())
            .filter(|fence| fence.fencing_token == pending.fencing_token)?;
        if matches!(reply, CloudReply::Failed) {
            self.cloud_backoff_until = context.now + CLOUD_BACKOFF;
        }
        match request {
            LeaderRequest::MachineTypes => return self.types_reply(context, outbox, reply),
            LeaderRequest::ListMachines => self.list_reply(context, outbox, reply),
            LeaderRequest::Provision { name } => self.provision_reply(context.now, &name, reply),
            LeaderRequest::Terminate { ids } => {
                self.terminate_reply(context, outbox, &ids, &reply);
            }
            // Replies of the store are handled by [`Leader::store_reply`].
            LeaderRequest::ListProvisioningRecords { .. }
            | LeaderRequest::RecordProvisioning { .. }
            | LeaderRequest::RecordMachines { .. }
            | LeaderRequest::AssignMachines { .. }
            | LeaderRequest::DeleteMachineRecords
            | LeaderRequest::RecordMachineTypes => {}
        }
        None
    }
}
