//! Transfers duties to other members: to balance load, at an operator's request, or because this member is leaving.

use super::state::{Duty, Pending, Phase, SeenClaim, TransferTarget};
use super::{DutyManager, RETRY_DELAY};
use crate::balancing;
use crate::keys;
use crate::port::LossReason;
use crate::record::{self, ClaimRecord, FORMAT};
use crate::store::{StoreReply, StoreRequest, Write};
use crate::time::Micros;
use tracing::{info, warn};

/// A transfer whose transaction can't be sent within this time is cancelled.
const TRANSFER_TIMEOUT: Micros = Micros::from_secs(10);
/// Delay before a duty is transferred after a failed attempt.
const TRANSFER_RETRY_DELAY: Micros = Micros::from_secs(2);

impl DutyManager {
    /// Transfers one duty at a time, and only once none of its requests is in flight.
    pub(super) fn transfer_tick(&mut self) {
        let transferring = |duty: &Duty| {
            matches!(
                duty.holding.as_ref().map(|h| &h.phase),
                Some(Phase::Transferring { .. })
            )
        };
        match self.duties.iter().position(transferring) {
            Some(index) => self.continue_transfer(index),
            None => self.begin_transfer(),
        }
    }

    fn begin_transfer(&mut self) {
        for index in 0..self.duties.len() {
            let Some(holding) = self.duties[index].holding.as_ref() else {
                continue;
            };
            if holding.phase != Phase::Active || self.now < self.duties[index].claim_retry_at {
                continue;
            }
            if self.leaving
                && self
                    .loads()
                    .iter()
                    .all(|member| member.member == self.settings.member)
            {
                self.release(index);
                continue;
            }
            let Some(to) = self.transfer_target(index) else {
                continue;
            };
            let since = self.now;
            let duty = &mut self.duties[index];
            duty.transfer_requested = None;
            info!(duty = %duty.name, %to, "transferring duty");
            if let Some(holding) = duty.holding.as_mut() {
                holding.phase = Phase::Transferring {
                    to,
                    since,
                    sent: false,
                };
            }
            return;
        }
    }

    /// The member that should hold this duty instead: by an operator's request, the embedding program's request, or
    /// load.
    fn transfer_target(&mut self, index: usize) -> Option<String> {
        if let Some(to) = self.move_request_target(index) {
            return Some(to);
        }
        let duty = &self.duties[index];
        let me = self.settings.member.as_str();
        let loads = self.loads();
        let others = || loads.iter().filter(|member| member.member != me);
        let least = || others().min_by_key(|member| (member.duties, member.load, &member.member));
        match &duty.transfer_requested {
            Some(TransferTarget::Member(to)) => {
                return others()
                    .find(|member| member.member == *to)
                    .map(|member| member.member.clone())
            }
            Some(TransferTarget::LeastLoaded) => {
                return least().map(|member| member.member.clone())
            }
            None if self.leaving => return least().map(|member| member.member.clone()),
            None => {}
        }
        let held_for = self.now - duty.holding.as_ref()?.since;
        if held_for < self.settings.rebalance_after {
            return None;
        }
        if self.settings.affinity_group.contains(&duty.name) {
            return self.group_holder(index).filter(|holder| holder != me);
        }
        let target = balancing::rebalance_target(me, &loads)?;
        Some(target.to_owned())
    }

    /// The member to which an operator has requested to move this duty, if that member is up.
    fn move_request_target(&mut self, index: usize) -> Option<String> {
        let name = self.duties[index].name.clone();
        let to = self.moves.get(&name)?.record.to.clone();
        if to == self.settings.member {
            return None;
        }
        let up = self
            .members
            .get(&to)
            .is_some_and(|seen| !seen.record.leaving);
        if up {
            return Some(to);
        }
        if self.first_occurrence(format!("move {name} {to}")) {
            warn!(duty = %name, %to, "move requested to a member that is down; the duty stays until it is up");
        }
        None
    }

    fn continue_transfer(&mut self, index: usize) {
        let Some(holding) = self.duties[index].holding.as_ref() else {
            return;
        };
        let Phase::Transferring { to, since, sent } = holding.phase.clone() else {
            return;
        };
        if sent {
            return;
        }
        let busy =
            holding.log.performing() || holding.log.writing() || holding.log.has_queued_commits();
        if !busy {
            return self.send_transfer(index, &to);
        }
        if self.now - since > TRANSFER_TIMEOUT {
            info!(duty = %self.duties[index].name, "duty transfer cancelled: an operation is still in flight");
            self.cancel_transfer(index);
        }
    }

    /// Cancels a transfer. The duty stays here.
    fn cancel_transfer(&mut self, index: usize) {
        self.duties[index].claim_retry_at = self.now + TRANSFER_RETRY_DELAY;
        if let Some(holding) = self.duties[index].holding.as_mut() {
            holding.phase = Phase::Active;
        }
    }

    /// Makes the target the holder in one transaction, so that the duty is never without a holder and never has two.
    /// Once the transaction is sent, nothing is done here under the claim unless the transaction is known to have
    /// failed.
    fn send_transfer(&mut self, index: usize, to: &str) {
        let Some(target) = self
            .members
            .get(to)
            .filter(|seen| !seen.record.leaving)
            .cloned()
        else {
            return self.cancel_transfer(index);
        };
        let Some(holding) = self.duties[index].holding.as_mut() else {
            return;
        };
        if let Phase::Transferring { sent, .. } = &mut holding.phase {
            *sent = true;
        }
        let fencing_token = holding.fencing_token;
        let key = self.claim_key(index);
        let lease = target.record.lease;
        let value = record::encode(&ClaimRecord {
            format: FORMAT,
            member: to.to_owned(),
            lease,
        });
        let mut conditions = vec![
            (key.clone(), fencing_token),
            (keys::member(to), target.version),
        ];
        let mut writes = vec![Write::Put {
            key,
            value,
            lease: Some(lease),
        }];
        let name = &self.duties[index].name;
        if let Some(request) = self.moves.get(name).filter(|seen| seen.record.to == to) {
            conditions.push((keys::move_request(name), request.version));
            writes.push(Write::Delete {
                key: keys::move_request(name),
            });
        }
        let pending = Pending::Transfer {
            duty: index,
            fencing_token,
            to: to.to_owned(),
        };
        self.send_request(StoreRequest::CompareAndSwap { conditions, writes }, pending);
    }

    pub(super) fn transferred(
        &mut self,
        index: usize,
        fencing_token: u64,
        to: &str,
        reply: &StoreReply,
    ) {
        if self.token_refused(index, fencing_token, reply)
            || self.held_token(index) != Some(fencing_token)
        {
            return;
        }
        match reply {
            StoreReply::Committed { revision } => {
                self.lose(index, LossReason::Transferred);
                let lease = self.members.get(to).map_or(0, |seen| seen.record.lease);
                let claim = SeenClaim {
                    version: *revision,
                    member: to.to_owned(),
                    lease,
                };
                self.claim_changed(index, Some(claim), *revision);
            }
            // Certainly not applied: the target is no longer a member, or the store refused the request.
            StoreReply::Conflict { .. } | StoreReply::NoSuchLease | StoreReply::Refused => {
                self.cancel_transfer(index);
            }
            // It may still be applied. The token is given up. If the claim stays with this member, it is acquired again
            // under a new token, and a late copy of the transfer fails.
            _ => self.lose(index, LossReason::Transferred),
        }
    }

    /// Releases a duty when there is no other member to transfer it to.
    fn release(&mut self, index: usize) {
        let Some(fencing_token) = self.held_token(index) else {
            return;
        };
        self.lose(index, LossReason::Transferred);
        self.remove_claim(index, fencing_token);
    }

    /// Deletes this member's claim of this version.
    pub(super) fn remove_claim(&mut self, index: usize, version: u64) {
        self.duties[index].claim_in_flight = true;
        let key = self.claim_key(index);
        let writes = vec![Write::Delete { key: key.clone() }];
        self.send_request(
            StoreRequest::CompareAndSwap {
                conditions: vec![(key, version)],
                writes,
            },
            Pending::Release { duty: index },
        );
    }

    pub(super) fn released(&mut self, index: usize, reply: &StoreReply) {
        let duty = &mut self.duties[index];
        duty.claim_in_flight = false;
        duty.claim_retry_at = self.now + RETRY_DELAY;
        let ours = duty
            .claim
            .as_ref()
            .is_some_and(|claim| claim.version <= duty.last_released_token);
        if ours && matches!(reply, StoreReply::Committed { .. }) {
            // The claim is cleared before the view shows its deletion; otherwise it would be overwritten as one of an
            // earlier incarnation.
            duty.claim = None;
            duty.free_since = Some(self.now);
        }
    }
}
