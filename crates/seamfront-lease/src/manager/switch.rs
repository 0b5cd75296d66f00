//! The switch from the former claim, which covers all duties, to a claim for each duty. Once every member has recorded
//! that it supports duties, the holder of the former claim replaces it permanently and writes the switch record, in one
//! transaction. The value left in the former claim's key keeps processes of old versions from acquiring it.

use super::state::Pending;
use super::{DutyManager, RETRY_DELAY};
use crate::keys;
use crate::record::{self, FormerClaimRecord, SwitchRecord, FORMAT};
use crate::store::{StoreReply, StoreRequest, Write};
use tracing::info;

impl DutyManager {
    /// Whether duties have claims of their own.
    pub fn duties_have_own_claims(&self) -> bool {
        self.settings.former_claim.is_none() || self.switch.is_some()
    }

    pub(super) fn switch_tick(&mut self) {
        let Some(key) = self.settings.former_claim.clone() else {
            return;
        };
        let Some(version) = self.former_claim else {
            return;
        };
        if self.switch.is_some()
            || self.switch_in_flight
            || self.now < self.switch_retry_at
            || !self.view.loaded()
        {
            return;
        }
        let known: Option<Vec<(String, u64)>> = self
            .settings
            .members
            .iter()
            .map(|m| Some((keys::version(m), *self.versions.get(m)?)))
            .collect();
        let Some(versions) = known else { return };
        self.switch_in_flight = true;
        let mut conditions = vec![(key.clone(), version), (keys::SWITCH.to_owned(), 0)];
        conditions.extend(versions);
        let placeholder = record::encode(&FormerClaimRecord {
            member: String::new(),
            lease: 0,
        });
        let switch = SwitchRecord {
            format: FORMAT,
            by: self.settings.member.clone(),
            ended: version,
        };
        let writes = vec![
            Write::Put {
                key,
                value: placeholder,
                lease: None,
            },
            Write::Put {
                key: keys::SWITCH.to_owned(),
                value: record::encode(&switch),
                lease: None,
            },
        ];
        self.send_request(
            StoreRequest::CompareAndSwap { conditions, writes },
            Pending::Switch,
        );
    }

    pub(super) fn switched(&mut self, reply: &StoreReply) {
        self.switch_in_flight = false;
        self.switch_retry_at = self.now + RETRY_DELAY;
        if matches!(reply, StoreReply::Committed { .. }) {
            info!("all members support duties; the former claim has ended");
        }
    }
}
