//! The switch from one claim that carries all duties to a claim for each.
//!
//! While a member may still run a version that knows no duties, the former claim carries them all. Once every member has
//! said that it knows duties, the holder of the former claim ends it for good and records the switch, in one
//! transaction. What then stands in the former claim's key can't be taken over by an old process that comes back.

use super::state::Pending;
use super::{DutyManager, RETRY_DELAY};
use crate::keys;
use crate::record::{self, FormerClaimRecord, SwitchRecord, FORMAT};
use crate::store::{StoreReply, StoreRequest, Write};
use tracing::info;

impl DutyManager {
    /// Whether duties have their own claims.
    pub fn duties_in_force(&self) -> bool {
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
            || self.switch_busy
            || self.now < self.switch_next
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
        self.switch_busy = true;
        let mut conditions = vec![(key.clone(), version), (keys::SWITCH.to_owned(), 0)];
        conditions.extend(versions);
        let nobody = record::write(&FormerClaimRecord {
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
                value: nobody,
                lease: None,
            },
            Write::Put {
                key: keys::SWITCH.to_owned(),
                value: record::write(&switch),
                lease: None,
            },
        ];
        self.store(
            StoreRequest::CompareAndSwap { conditions, writes },
            Pending::Switch,
        );
    }

    pub(super) fn switched(&mut self, reply: &StoreReply) {
        self.switch_busy = false;
        self.switch_next = self.now + RETRY_DELAY;
        if matches!(reply, StoreReply::Committed { .. }) {
            info!("all members support duties; the former claim has ended");
        }
    }
}
