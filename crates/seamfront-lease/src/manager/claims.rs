//! Acquires, verifies and loses claims on duties.

use super::state::{Duty, HeldClaim, Holding, Pending, Phase, SeenClaim};
use super::{DutyManager, RETRY_DELAY};
use crate::balancing;
use crate::log::{OperationLog, UnfinishedRequests};
use crate::permit::{permit, Permit, Verification};
use crate::port::{CommitOutcome, Effect, LossReason, Rejection, Successor};
use crate::record::{self, ClaimRecord, FORMAT};
use crate::store::{StoreReply, StoreRequest, Write};
use crate::time::Micros;
use tracing::{info, warn};

impl DutyManager {
    pub(super) fn claim_changed(&mut self, index: usize, claim: Option<SeenClaim>, version: u64) {
        let duty = &mut self.duties[index];
        if duty
            .claim
            .as_ref()
            .is_some_and(|seen| seen.version > version)
        {
            return;
        }
        let me = &self.settings.member;
        let ours = |c: &SeenClaim| c.member == *me && Some(c.lease) == self.membership.lease;
        let mine = claim.as_ref().is_some_and(ours);
        duty.free_since = claim.is_none().then_some(self.now);
        duty.claim = claim;
        let held = duty.holding.as_ref().map(|holding| holding.fencing_token);
        if held.is_some_and(|fencing_token| {
            fencing_token < version || (fencing_token == version && !mine)
        }) {
            self.lose(index, LossReason::Replaced);
        }
        self.notify_replaced(index);
    }

    /// Tells the embedding program, once for each token, which member holds a duty that was lost here.
    fn notify_replaced(&mut self, index: usize) {
        let duty = &mut self.duties[index];
        let (Some(fencing_token), Some(claim)) = (duty.lost_token, &duty.claim) else {
            return;
        };
        if claim.version <= fencing_token || claim.member.is_empty() {
            return;
        }
        duty.lost_token = None;
        let successor = Successor {
            member: claim.member.clone(),
            fencing_token: claim.version,
        };
        let name = duty.name.clone();
        info!(duty = %name, fencing_token, successor = %successor.member, successor_token = successor.fencing_token, "duty replaced");
        self.effects.push(Effect::Replaced {
            duty: name,
            fencing_token,
            successor,
        });
    }

    /// Stops holding a duty at once. Its token is never used again.
    pub(super) fn lose(&mut self, index: usize, reason: LossReason) {
        let duty = &mut self.duties[index];
        let Some(holding) = duty.holding.take() else {
            return;
        };
        duty.last_released_token = duty.last_released_token.max(holding.fencing_token);
        duty.lost_token = Some(holding.fencing_token);
        duty.transfer_requested = None;
        let name = duty.name.clone();
        if reason == LossReason::Transferred {
            info!(duty = %name, fencing_token = holding.fencing_token, "duty transferred");
        } else {
            warn!(duty = %name, fencing_token = holding.fencing_token, %reason, "duty lost");
        }
        self.emit_unfinished(holding.log.unfinished());
        self.effects.push(Effect::Lost {
            duty: name,
            fencing_token: holding.fencing_token,
            reason,
        });
    }

    /// Emits the outcomes of requests that were unfinished when their token was lost.
    fn emit_unfinished(&mut self, unfinished: UnfinishedRequests) {
        for request in unfinished.unrecorded {
            self.effects.push(Effect::Rejected {
                request,
                rejection: Rejection::NotHeld,
            });
        }
        for request in unfinished.uncertain {
            self.effects.push(Effect::Uncertain { request });
        }
        for request in unfinished.unsent {
            self.effects.push(Effect::Committed {
                request,
                outcome: CommitOutcome::Lost,
            });
        }
        if let Some(request) = unfinished.fenced {
            self.effects.push(Effect::Committed {
                request,
                outcome: CommitOutcome::Unknown,
            });
        }
    }

    /// Whether the reply shows that a condition on this duty's claim has failed. The duty is lost if it is still held
    /// under that token.
    pub(super) fn token_refused(
        &mut self,
        index: usize,
        fencing_token: u64,
        reply: &StoreReply,
    ) -> bool {
        let StoreReply::Conflict { failed } = reply else {
            return false;
        };
        if !failed.contains(&self.claim_key(index)) {
            return false;
        }
        if self.held_token(index) == Some(fencing_token) {
            self.lose(index, LossReason::TokenRefused);
        }
        true
    }

    /// A transaction that the embedding program sent by itself failed on the token.
    pub(super) fn program_token_refused(&mut self, duty: &str, fencing_token: u64) {
        let index = self
            .duty_index(duty)
            .filter(|index| self.held_token(*index) == Some(fencing_token));
        if let Some(index) = index {
            self.lose(index, LossReason::TokenRefused);
        }
    }

    pub(super) fn held_token(&self, index: usize) -> Option<u64> {
        self.duties[index]
            .holding
            .as_ref()
            .map(|holding| holding.fencing_token)
    }

    pub(super) fn claims_tick(&mut self) {
        let Some(lease) = self.membership.lease else {
            return;
        };
        if self.membership.registered.is_none() || self.membership.superseded || !self.view.loaded()
        {
            return;
        }
        if self.settings_differ() {
            return self.give_up_duties();
        }
        if !self.duties_have_own_claims() {
            return;
        }
        for index in 0..self.duties.len() {
            let duty = &self.duties[index];
            let paused =
                duty.claim_in_flight || self.now < duty.claim_retry_at.max(duty.unreadable_until);
            if duty.holding.is_none() && !paused {
                self.try_claim(index, lease);
            }
        }
    }

    /// Gives up all duties because another member, which started at the same time, runs with different settings.
    fn give_up_duties(&mut self) {
        for index in 0..self.duties.len() {
            self.lose(index, LossReason::SettingsDiffer);
        }
    }

    fn try_claim(&mut self, index: usize, lease: u64) {
        let duty = &self.duties[index];
        let expected = match &duty.claim {
            Some(claim) if claim.member == self.settings.member => {
                if claim.lease == lease && claim.version > duty.last_released_token {
                    // Transferred to this member, or acquired by it in a request that got no reply.
                    let version = claim.version;
                    return self.begin_holding(index, version, None);
                }
                if self.leaving {
                    let version = claim.version;
                    return self.remove_claim(index, version);
                }
                // Acquired by an earlier incarnation, which can't come back, or released by this one. Replies to
                // requests under that token may still arrive; a new version distinguishes them.
                claim.version
            }
            Some(_) => return,
            None => {
                if self.leaving || !self.claim_delay_elapsed(index) {
                    return;
                }
                0
            }
        };
        self.duties[index].claim_in_flight = true;
        let key = self.claim_key(index);
        let value = record::encode(&ClaimRecord {
            format: FORMAT,
            member: self.settings.member.clone(),
            lease,
        });
        let writes = vec![Write::Put {
            key: key.clone(),
            value,
            lease: Some(lease),
        }];
        let sent = self.now;
        self.send_request(
            StoreRequest::CompareAndSwap {
                conditions: vec![(key, expected)],
                writes,
            },
            Pending::Claim {
                duty: index,
                lease,
                sent,
            },
        );
    }

    /// The least loaded member claims a free duty at once, each other one a takeover step after the one ranked before
    /// it.
    fn claim_delay_elapsed(&mut self, index: usize) -> bool {
        let now = self.now;
        let since = *self.duties[index].free_since.get_or_insert(now);
        let rank = self.takeover_rank(index);
        now - since >= self.settings.takeover_step.times(rank as i64)
    }

    /// The number of takeover steps that this member waits. The holder of the affinity group is ranked before all
    /// others.
    fn takeover_rank(&self, index: usize) -> usize {
        let member = &self.settings.member;
        let by_load = || balancing::rank(&self.duties[index].name, member, &self.loads());
        match self.group_holder(index) {
            Some(holder) if holder == *member => 0,
            Some(_) => 1 + by_load(),
            None => by_load(),
        }
    }

    /// The member that holds most duties of this duty's affinity group, if the duty belongs to it.
    pub(super) fn group_holder(&self, index: usize) -> Option<String> {
        let affinity_group = &self.settings.affinity_group;
        if !affinity_group.contains(&self.duties[index].name) {
            return None;
        }
        let group = self
            .duties
            .iter()
            .filter(|duty| affinity_group.contains(&duty.name));
        let holders = group
            .filter_map(|duty| duty.claim.as_ref())
            .map(|claim| claim.member.as_str());
        balancing::group_holder(holders.filter(|member| self.members.contains_key(*member)))
            .map(str::to_owned)
    }

    pub(super) fn claimed(&mut self, index: usize, lease: u64, sent: Micros, reply: StoreReply) {
        self.duties[index].claim_in_flight = false;
        match reply {
            StoreReply::Committed { revision } if self.membership.lease == Some(lease) => {
                let newer = self.duties[index]
                    .claim
                    .as_ref()
                    .is_some_and(|claim| claim.version > revision);
                if !newer && self.duties[index].holding.is_none() {
                    let member = self.settings.member.clone();
                    self.duties[index].claim = Some(SeenClaim {
                        version: revision,
                        member,
                        lease,
                    });
                    self.begin_holding(index, revision, Some(sent));
                }
            }
            StoreReply::NoSuchLease if self.membership.lease == Some(lease) => self.lease_expired(),
            // Another member was first, or the outcome is unknown: the view will show it.
            _ => self.duties[index].claim_retry_at = self.now + RETRY_DELAY,
        }
    }

    /// Starts holding a duty. `verified` is the time at which the request that acquired the claim was sent, or None if
    /// the claim must be verified first.
    fn begin_holding(&mut self, index: usize, fencing_token: u64, verified: Option<Micros>) {
        let mut verification = Verification::default();
        if let Some(sent) = verified {
            verification.confirm(sent);
        }
        let duty = &mut self.duties[index];
        duty.lost_token = None;
        duty.free_since = None;
        duty.holding = Some(Holding {
            fencing_token,
            since: self.now,
            phase: Phase::Loading,
            verification,
            verification_due: verified.is_none(),
            log: OperationLog::default(),
            log_in_flight: false,
            log_retry_at: self.now,
        });
        let name = duty.name.clone();
        info!(duty = %name, fencing_token, "duty acquired");
        self.effects.push(Effect::Acquired {
            duty: name,
            fencing_token,
        });
    }

    // ---- verification --------------------------------------------------------------------------

    /// The permit to act under a claim, if it is valid now. Its time is that of the embedding program's clock.
    pub(super) fn current_permit(&self, index: usize) -> Option<Permit> {
        let holding = self.duties[index].holding.as_ref()?;
        let permit = permit(
            holding.fencing_token,
            &holding.verification,
            &self.membership.verification,
            &self.settings,
        )?;
        let valid = permit.valid(self.now);
        valid.then_some(Permit {
            until: permit.until - self.clock_offset,
            ..permit
        })
    }

    /// Verifies all held claims in one transaction if at least one needs it.
    pub(super) fn verify_tick(&mut self) {
        if self.verify_in_flight || self.now < self.verify_retry_at {
            return;
        }
        let wanted = |duty: &Duty| {
            duty.holding
                .as_ref()
                .is_some_and(|holding| holding.verification_due)
        };
        if !self.duties.iter().any(wanted) {
            return;
        }
        let held = |duty| {
            let fencing_token = self.held_token(duty)?;
            Some(HeldClaim {
                duty,
                fencing_token,
            })
        };
        let claims: Vec<HeldClaim> = (0..self.duties.len()).filter_map(held).collect();
        self.verify_in_flight = true;
        let conditions = claims
            .iter()
            .map(|claim| (self.claim_key(claim.duty), claim.fencing_token))
            .collect();
        let sent = self.now;
        self.send_request(
            StoreRequest::CompareAndSwap {
                conditions,
                writes: Vec::new(),
            },
            Pending::Verify { sent, claims },
        );
    }

    pub(super) fn verify_reply(&mut self, sent: Micros, claims: &[HeldClaim], reply: &StoreReply) {
        self.verify_in_flight = false;
        match reply {
            StoreReply::Committed { .. } => {
                for claim in claims {
                    self.claim_verified(claim.duty, claim.fencing_token, sent);
                }
            }
            StoreReply::Conflict { .. } => {
                for claim in claims {
                    self.token_refused(claim.duty, claim.fencing_token, reply);
                }
            }
            _ => self.verify_retry_at = self.now + RETRY_DELAY,
        }
    }

    /// A transaction that was sent at this time, with the claim under this token among its conditions, has succeeded.
    pub(super) fn claim_verified(&mut self, index: usize, fencing_token: u64, sent: Micros) {
        let holding = self.duties[index]
            .holding
            .as_mut()
            .filter(|holding| holding.fencing_token == fencing_token);
        if let Some(holding) = holding {
            holding.verification.confirm(sent);
            holding.verification_due = false;
        }
    }
}
