//! Handing duties over on purpose: to balance load, at an operator's request, before the process ends.

use super::state::{Duty, HandoverTarget, Pending, Phase, SeenClaim};
use super::{DutyManager, RETRY_DELAY};
use crate::balancing;
use crate::keys;
use crate::port::LossReason;
use crate::record::{self, ClaimRecord, FORMAT};
use crate::store::{StoreReply, StoreRequest, Write};
use crate::time::Micros;
use tracing::{info, warn};

/// A handover that can't be sent within this time is cancelled.
const HANDOVER_TIMEOUT: Micros = Micros::from_secs(10);
/// After a handover that failed, the duty stays for so long.
const HANDOVER_RETRY_DELAY: Micros = Micros::from_secs(2);

impl DutyManager {
    /// One duty at a time is handed over, and only once nothing of it is in flight.
    pub(super) fn handover_tick(&mut self) {
        let handing = |duty: &Duty| {
            matches!(
                duty.holding.as_ref().map(|h| &h.phase),
                Some(Phase::HandingOver { .. })
            )
        };
        match self.duties.iter().position(handing) {
            Some(index) => self.continue_handover(index),
            None => self.begin_handover(),
        }
    }

    fn begin_handover(&mut self) {
        for index in 0..self.duties.len() {
            let Some(holding) = self.duties[index].holding.as_ref() else {
                continue;
            };
            if holding.phase != Phase::Active || self.now < self.duties[index].claim_next {
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
            let Some(to) = self.wanted_receiver(index) else {
                continue;
            };
            let since = self.now;
            let duty = &mut self.duties[index];
            duty.handover_wanted = None;
            info!(duty = %duty.name, %to, "transferring duty");
            if let Some(holding) = duty.holding.as_mut() {
                holding.phase = Phase::HandingOver {
                    to,
                    since,
                    sent: false,
                };
            }
            return;
        }
    }

    /// Who should hold this duty instead of us: by an operator's request, the embedding program's, or load.
    fn wanted_receiver(&mut self, index: usize) -> Option<String> {
        if let Some(to) = self.requested_receiver(index) {
            return Some(to);
        }
        let duty = &self.duties[index];
        let me = self.settings.member.as_str();
        let loads = self.loads();
        let others = || loads.iter().filter(|member| member.member != me);
        let least = || others().min_by_key(|member| (member.duties, member.load, &member.member));
        match &duty.handover_wanted {
            Some(HandoverTarget::Member(to)) => {
                return others()
                    .find(|member| member.member == *to)
                    .map(|member| member.member.clone())
            }
            Some(HandoverTarget::LeastLoaded) => {
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
        let receiver = balancing::receiver(me, &loads)?;
        Some(receiver.to_owned())
    }

    fn requested_receiver(&mut self, index: usize) -> Option<String> {
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
        if self.first_report(format!("move {name} {to}")) {
            warn!(duty = %name, %to, "move requested to a member that is down; the duty stays until it is up");
        }
        None
    }

    fn continue_handover(&mut self, index: usize) {
        let Some(holding) = self.duties[index].holding.as_ref() else {
            return;
        };
        let Phase::HandingOver { to, since, sent } = holding.phase.clone() else {
            return;
        };
        if sent {
            return;
        }
        let busy = holding.log.performing() || holding.log.writing() || holding.log.fenced_queued();
        if !busy {
            return self.transfer(index, &to);
        }
        if self.now - since > HANDOVER_TIMEOUT {
            info!(duty = %self.duties[index].name, "duty transfer cancelled: an operation is still in flight");
            self.keep(index);
        }
    }

    /// The duty stays here after all.
    fn keep(&mut self, index: usize) {
        self.duties[index].claim_next = self.now + HANDOVER_RETRY_DELAY;
        if let Some(holding) = self.duties[index].holding.as_mut() {
            holding.phase = Phase::Active;
        }
    }

    /// One transaction makes the receiver the holder: there is no moment without one, nor with two. Nothing is done here
    /// from its sending on, unless it is known to have failed.
    fn transfer(&mut self, index: usize, to: &str) {
        let Some(receiver) = self
            .members
            .get(to)
            .filter(|seen| !seen.record.leaving)
            .cloned()
        else {
            return self.keep(index);
        };
        let Some(holding) = self.duties[index].holding.as_mut() else {
            return;
        };
        if let Phase::HandingOver { sent, .. } = &mut holding.phase {
            *sent = true;
        }
        let fencing_token = holding.fencing_token;
        let key = self.claim_key(index);
        let lease = receiver.record.lease;
        let value = record::write(&ClaimRecord {
            format: FORMAT,
            member: to.to_owned(),
            lease,
        });
        let mut conditions = vec![
            (key.clone(), fencing_token),
            (keys::member(to), receiver.version),
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
        self.store(StoreRequest::CompareAndSwap { conditions, writes }, pending);
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
                self.lose(index, LossReason::HandedOver);
                let lease = self.members.get(to).map_or(0, |seen| seen.record.lease);
                let claim = SeenClaim {
                    version: *revision,
                    member: to.to_owned(),
                    lease,
                };
                self.claim_changed(index, Some(claim), *revision);
            }
            // Certainly not made: the receiver is not a member any more, or the store refused.
            StoreReply::Conflict { .. } | StoreReply::NoSuchLease | StoreReply::Refused => {
                self.keep(index)
            }
            // It may yet be made. Our token is given up; if the claim stays ours, it is claimed anew under another, and
            // the transfer fails if it comes then.
            _ => self.lose(index, LossReason::HandedOver),
        }
    }

    /// Gives a duty up when there is no other member to take it.
    fn release(&mut self, index: usize) {
        let Some(fencing_token) = self.held_token(index) else {
            return;
        };
        self.lose(index, LossReason::HandedOver);
        self.remove_claim(index, fencing_token);
    }

    /// Removes our claim of this version.
    pub(super) fn remove_claim(&mut self, index: usize, version: u64) {
        self.duties[index].claim_busy = true;
        let key = self.claim_key(index);
        let writes = vec![Write::Delete { key: key.clone() }];
        self.store(
            StoreRequest::CompareAndSwap {
                conditions: vec![(key, version)],
                writes,
            },
            Pending::Release { duty: index },
        );
    }

    pub(super) fn released(&mut self, index: usize, reply: &StoreReply) {
        let duty = &mut self.duties[index];
        duty.claim_busy = false;
        duty.claim_next = self.now + RETRY_DELAY;
        let ours = duty
            .claim
            .as_ref()
            .is_some_and(|claim| claim.version <= duty.last_released_token);
        if ours && matches!(reply, StoreReply::Committed { .. }) {
            // Before the view shows it, or it would be taken for a claim that is to be overwritten.
            duty.claim = None;
            duty.free_since = Some(self.now);
        }
    }
}
