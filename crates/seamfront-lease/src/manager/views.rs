//! The view of claims, members, versions, move requests and the switch record.

use super::state::{Pending, SeenClaim, SeenMember, SeenMove};
use super::{DutyManager, RETRY_DELAY};
use crate::keys;
use crate::record::{self, ClaimRecord, MemberRecord, MoveRecord, VersionRecord};
use crate::store::StoreReply;
use crate::time::Micros;
use crate::view::{Change, ViewUpdate};
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;
use tracing::warn;

/// Maximum time that the store may hold a watch request.
const WATCH_WAIT: Micros = Micros::from_secs(20);
/// Delay before the next watch request, so that one reply covers several changes.
const WATCH_INTERVAL: Micros = Micros::from_millis(50);

impl DutyManager {
    pub(super) fn view_tick(&mut self) {
        if self.view_in_flight || self.now < self.view_request_at {
            return;
        }
        self.view_in_flight = true;
        let request = self.view.request(keys::CONTROL_PREFIX, WATCH_WAIT);
        self.send_request(request, Pending::View);
    }

    pub(super) fn view_reply(&mut self, reply: StoreReply) {
        self.view_in_flight = false;
        self.view_request_at = self.now + WATCH_INTERVAL;
        match self.view.handle_reply(reply) {
            ViewUpdate::Failed => self.view_request_at = self.now + RETRY_DELAY,
            ViewUpdate::Partial | ViewUpdate::Compacted => self.view_request_at = self.now,
            ViewUpdate::Changed { changes, revision } => {
                for change in changes {
                    self.apply_change(change);
                }
                self.view.mark_applied(revision);
            }
            ViewUpdate::Read { entries, revision } => self.view_read(entries, revision),
        }
    }

    fn view_read(&mut self, entries: Vec<Change>, revision: u64) {
        let present: BTreeSet<&String> = entries.iter().map(|entry| &entry.key).collect();
        let gone: Vec<String> = self
            .seen_keys
            .iter()
            .filter(|key| !present.contains(key))
            .cloned()
            .collect();
        for key in gone {
            self.apply_change(Change {
                key,
                value: None,
                version: revision,
            });
        }
        for entry in entries {
            self.apply_change(entry);
        }
    }

    fn apply_change(&mut self, change: Change) {
        if change.value.is_some() {
            self.seen_keys.insert(change.key.clone());
        } else {
            self.seen_keys.remove(&change.key);
        }
        let key = change.key.as_str();
        if let Some(duty) = key.strip_prefix(keys::CLAIM_PREFIX) {
            return self.claim_key_changed(duty, &change);
        }
        if let Some(member) = key.strip_prefix(keys::MEMBER_PREFIX) {
            return self.member_changed(member, &change);
        }
        if let Some(member) = key.strip_prefix(keys::VERSION_PREFIX) {
            return self.version_changed(member, &change);
        }
        if let Some(duty) = key.strip_prefix(keys::MOVE_PREFIX) {
            return self.move_changed(duty, &change);
        }
        if key == keys::SWITCH {
            self.switch = self.parse(&change);
        }
    }

    /// Decodes a changed value. None if it was deleted or is unreadable.
    fn parse<T: DeserializeOwned>(&mut self, change: &Change) -> Option<T> {
        match record::decode(&change.key, change.value.as_ref()?) {
            Ok(value) => Some(value),
            Err(error) => {
                self.warn_unreadable(&error);
                None
            }
        }
    }

    fn claim_key_changed(&mut self, duty: &str, change: &Change) {
        let Some(index) = self.duty_index(duty) else {
            if self.first_occurrence(format!("unknown duty {duty}")) {
                warn!(duty, "claim on a duty that is not in the settings");
            }
            return;
        };
        let claim: Option<ClaimRecord> = self.parse(change);
        if claim.is_none() && change.value.is_some() {
            // The claim is held, though the holder is unknown: the duty is not free.
            let unknown = SeenClaim {
                version: change.version,
                member: String::new(),
                lease: 0,
            };
            return self.claim_changed(index, Some(unknown), change.version);
        }
        let seen = claim.map(|c| SeenClaim {
            version: change.version,
            member: c.member,
            lease: c.lease,
        });
        self.claim_changed(index, seen, change.version);
    }

    fn member_changed(&mut self, member: &str, change: &Change) {
        let older = self
            .members
            .get(member)
            .is_some_and(|seen| seen.version > change.version);
        if older {
            return;
        }
        let record: Option<MemberRecord> = self.parse(change);
        let seen = record.map(|record| SeenMember {
            record,
            version: change.version,
        });
        if member == self.settings.member {
            self.own_record_changed(seen.as_ref());
        } else if seen.is_some() && !self.settings.members.iter().any(|name| name == member) {
            if self.first_occurrence(format!("unknown member {member}")) {
                warn!(
                    member,
                    "member that is not in the settings; no duty is transferred to it"
                );
            }
            return;
        }
        match seen {
            Some(seen) => self.members.insert(member.to_owned(), seen),
            None => self.members.remove(member),
        };
    }

    fn version_changed(&mut self, member: &str, change: &Change) {
        let record: Option<VersionRecord> = self.parse(change);
        if record.is_some() {
            self.versions.insert(member.to_owned(), change.version);
        } else {
            self.versions.remove(member);
        }
    }

    fn move_changed(&mut self, duty: &str, change: &Change) {
        let request: Option<MoveRecord> = self.parse(change);
        match request {
            Some(record) => {
                let seen = SeenMove {
                    record,
                    version: change.version,
                };
                self.moves.insert(duty.to_owned(), seen)
            }
            None => self.moves.remove(duty),
        };
    }
}
