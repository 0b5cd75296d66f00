//! The member's lease and its records in the store.

use super::state::{Pending, SeenMember};
use super::{DutyManager, RETRY_DELAY};
use crate::keys;
use crate::permit::Verification;
use crate::port::{Effect, LossReason};
use crate::record::{self, MemberRecord, VersionRecord, FORMAT};
use crate::store::{StoreReply, StoreRequest, Write};
use crate::time::Micros;
use std::collections::BTreeSet;
use tracing::{info, warn};

/// Minimum interval between updates of the member's record because of its load.
const LOAD_UPDATE_INTERVAL: Micros = Micros::from_secs(5);
/// Minimum change of load, in percent, for which the record is updated.
const LOAD_CHANGE_MIN: u64 = 20;

/// The member's lease, and what it has registered under it.
#[derive(Debug, Default)]
pub(super) struct Membership {
    pub(super) lease: Option<u64>,
    /// All leases that this process has had. Keys attached to them can't belong to another process.
    own_leases: BTreeSet<u64>,
    pub(super) verification: Verification,
    renew_in_flight: bool,
    pub(super) renew_at: Micros,
    /// Version of the member's record, once it is written under the current lease.
    pub(super) registered: Option<u64>,
    /// Whether the record was ever written by this process.
    ever_registered: bool,
    written: Option<MemberRecord>,
    register_in_flight: bool,
    register_retry_at: Micros,
    load_update_at: Micros,
    pub(super) version_in_flight: bool,
    /// Another process runs under this member's name, and this one no longer takes part.
    pub(super) superseded: bool,
}

impl DutyManager {
    pub(super) fn membership_tick(&mut self) {
        if self.membership.superseded || self.left {
            return;
        }
        self.renew_tick();
        self.register_tick();
        self.version_tick();
    }

    fn renew_tick(&mut self) {
        if self.membership.renew_in_flight || self.now < self.membership.renew_at {
            return;
        }
        self.membership.renew_in_flight = true;
        let sent = self.now;
        match self.membership.lease {
            None => self.send_request(
                StoreRequest::GrantLease {
                    ttl: self.settings.lease,
                },
                Pending::Grant { sent },
            ),
            Some(lease) => self.send_request(
                StoreRequest::RenewLease { lease },
                Pending::Renew { sent, lease },
            ),
        }
    }

    pub(super) fn granted(&mut self, sent: Micros, reply: StoreReply) {
        self.membership.renew_in_flight = false;
        let StoreReply::Lease { id } = reply else {
            self.membership.renew_at = self.now + RETRY_DELAY;
            return;
        };
        info!(lease = id, "lease granted");
        self.membership.renew_at = self.now + self.settings.renew_every();
        self.membership.lease = Some(id);
        self.membership.own_leases.insert(id);
        self.membership.verification.confirm(sent);
    }

    pub(super) fn renewed(&mut self, sent: Micros, lease: u64, reply: StoreReply) {
        self.membership.renew_in_flight = false;
        if self.membership.lease != Some(lease) {
            return;
        }
        match reply {
            StoreReply::Renewed => {
                self.membership.verification.confirm(sent);
                self.membership.renew_at = sent + self.settings.renew_every();
            }
            StoreReply::NoSuchLease => self.lease_expired(),
            _ => self.membership.renew_at = self.now + RETRY_DELAY,
        }
    }

    /// The lease has expired, and the store has deleted all keys attached to it.
    pub(super) fn lease_expired(&mut self) {
        warn!("lease expired; all duties are lost");
        for index in 0..self.duties.len() {
            self.lose(index, LossReason::LeaseExpired);
        }
        self.membership.lease = None;
        self.membership.verification.clear();
        self.membership.registered = None;
        self.membership.written = None;
        self.membership.renew_at = self.now;
    }

    fn own_record(&self, lease: u64) -> MemberRecord {
        MemberRecord {
            format: FORMAT,
            lease,
            load: self.load,
            leaving: self.leaving,
            settings: self.settings.shared(),
        }
    }

    /// Writes the member's record, and updates it when other members should know of a change.
    fn register_tick(&mut self) {
        let Some(lease) = self.membership.lease else {
            return;
        };
        if !self.view.loaded()
            || self.membership.register_in_flight
            || self.now < self.membership.register_retry_at
        {
            return;
        }
        if self.settings_differ() {
            return;
        }
        let record = self.own_record(lease);
        if !self.record_outdated(&record) {
            return;
        }
        let key = keys::member(&self.settings.member);
        let stored = self.members.get(&self.settings.member);
        let other_process =
            stored.is_some_and(|seen| !self.membership.own_leases.contains(&seen.record.lease));
        if other_process && self.membership.ever_registered {
            return self.mark_superseded();
        }
        // The record of an earlier incarnation can be overwritten, since that process can't come back.
        let version = self
            .membership
            .registered
            .or(stored.map(|seen| seen.version))
            .unwrap_or(0);
        self.membership.register_in_flight = true;
        let value = record::encode(&record);
        let writes = vec![Write::Put {
            key: key.clone(),
            value,
            lease: Some(lease),
        }];
        self.send_request(
            StoreRequest::CompareAndSwap {
                conditions: vec![(key, version)],
                writes,
            },
            Pending::Register { record },
        );
    }

    fn record_outdated(&self, record: &MemberRecord) -> bool {
        let Some(written) = &self.membership.written else {
            return true;
        };
        let load_changed = written.load.abs_diff(record.load) >= LOAD_CHANGE_MIN
            && self.now >= self.membership.load_update_at;
        written.lease != record.lease || written.leaving != record.leaving || load_changed
    }

    pub(super) fn registered(&mut self, record: MemberRecord, reply: StoreReply) {
        self.membership.register_in_flight = false;
        self.membership.register_retry_at = self.now + RETRY_DELAY;
        if self.membership.lease != Some(record.lease) {
            return;
        }
        match reply {
            StoreReply::Committed { revision } => {
                self.membership.registered = Some(revision);
                self.membership.ever_registered = true;
                self.membership.load_update_at = self.now + LOAD_UPDATE_INTERVAL;
                let own = SeenMember {
                    record: record.clone(),
                    version: revision,
                };
                self.members.insert(self.settings.member.clone(), own);
                self.membership.written = Some(record);
            }
            StoreReply::NoSuchLease => self.lease_expired(),
            // The record's version is unknown. It is written again on top of what the view shows.
            _ => {
                self.membership.registered = None;
                self.membership.written = None;
            }
        }
    }

    /// Two processes under one name would take every claim from each other. The one that started first stops, since the
    /// other may be its successor.
    pub(super) fn mark_superseded(&mut self) {
        if self.membership.superseded {
            return;
        }
        warn!(member = %self.settings.member, "another process has this member's name; this one stops");
        self.membership.superseded = true;
        for index in 0..self.duties.len() {
            self.lose(index, LossReason::Superseded);
        }
    }

    pub(super) fn own_record_changed(&mut self, seen: Option<&SeenMember>) {
        let Some(seen) = seen else { return };
        if self.membership.own_leases.contains(&seen.record.lease) {
            if self.membership.lease == Some(seen.record.lease)
                && self.membership.registered.is_none()
            {
                self.membership.registered = Some(seen.version);
                self.membership.ever_registered = true;
                self.membership.written = Some(seen.record.clone());
            }
            return;
        }
        if self
            .membership
            .registered
            .is_some_and(|version| version < seen.version)
        {
            self.mark_superseded();
        }
    }

    /// Whether another live member runs with different settings. A member that starts later does not register; of two
    /// that start together, the one whose name sorts last gives way.
    pub(super) fn settings_differ(&mut self) -> bool {
        let own = self.settings.shared();
        let me = &self.settings.member;
        let registered = self.membership.registered.is_some();
        let others = self
            .members
            .iter()
            .filter(|(name, _)| *name != me && (!registered || *name < me));
        let difference = others.filter_map(|(name, seen)| {
            Some((name.clone(), own.difference(&seen.record.settings)?))
        });
        let Some((member, field)) = difference.min() else {
            return false;
        };
        if self.first_occurrence(format!("settings differ: {member} {field}")) {
            warn!(
                member,
                field, "settings differ from another member's; no duty is acquired"
            );
        }
        true
    }

    /// Records permanently that this member supports duties.
    fn version_tick(&mut self) {
        let known = self.versions.contains_key(&self.settings.member);
        if known
            || self.membership.version_in_flight
            || !self.view.loaded()
            || self.settings.former_claim.is_none()
        {
            return;
        }
        self.membership.version_in_flight = true;
        let key = keys::version(&self.settings.member);
        let value = record::encode(&VersionRecord { format: FORMAT });
        let writes = vec![Write::Put {
            key: key.clone(),
            value,
            lease: None,
        }];
        self.send_request(
            StoreRequest::CompareAndSwap {
                conditions: vec![(key, 0)],
                writes,
            },
            Pending::Version,
        );
    }

    pub(super) fn unregistered(&mut self, reply: &StoreReply) {
        self.membership.register_in_flight = false;
        let gone = matches!(
            reply,
            StoreReply::Committed { .. } | StoreReply::Conflict { .. }
        );
        if !gone {
            self.membership.register_retry_at = self.now + RETRY_DELAY;
            return;
        }
        info!("left; all duties are transferred");
        self.left = true;
        self.effects.push(Effect::Left);
    }

    /// Deletes the member's record once no duty is held.
    pub(super) fn leave_tick(&mut self) {
        let holds = self
            .duties
            .iter()
            .any(|duty| duty.holding.is_some() || duty.claim_in_flight);
        if !self.leaving
            || holds
            || self.membership.register_in_flight
            || self.now < self.membership.register_retry_at
        {
            return;
        }
        let leaving_registered = self
            .membership
            .written
            .as_ref()
            .is_some_and(|record| record.leaving);
        let (Some(version), true) = (self.membership.registered, leaving_registered) else {
            if self.membership.lease.is_none() || self.membership.superseded {
                self.left = true;
                self.effects.push(Effect::Left);
            }
            return;
        };
        let key = keys::member(&self.settings.member);
        self.membership.register_in_flight = true;
        let writes = vec![Write::Delete { key: key.clone() }];
        self.send_request(
            StoreRequest::CompareAndSwap {
                conditions: vec![(key, version)],
                writes,
            },
            Pending::Unregister,
        );
    }
}
