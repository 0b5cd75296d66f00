//! Acquiring claims on duties, verifying them and losing them.

use super::state::{Duty, HeldClaim, Holding, Pending, Phase, SeenClaim};
use super::{DutyManager, RETRY_DELAY};
use crate::balancing;
use crate::log::{OperationLog, Unfinished};
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
        self.notify_successor(index);
    }

    /// Notifies the embedding program, once for each token, of who holds what was lost here.
    fn notify_successor(&mut self, index: usize) {
        let duty = &mut self.duties[index];
        let (Some(fencing_token), Some(claim)) = (duty.lost, &duty.claim) else {
            return;
        };
        if claim.version <= fencing_token || claim.member.is_empty() {
            return;
        }
        duty.lost = None;
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

    /// Ends holding a duty at once. Its token is never acted on again.
    pub(super) fn lose(&mut self, index: usize, reason: LossReason) {
        let duty = &mut self.duties[index];
        let Some(holding) = duty.holding.take() else {
            return;
        };
        duty.last_released_token = duty.last_released_token.max(holding.fencing_token);
        duty.lost = Some(holding.fencing_token);
        duty.handover_wanted = None;
        let name = duty.name.clone();
        if reason == LossReason::HandedOver {
            info!(duty = %name, fencing_token = holding.fencing_token, "duty transferred");
        } else {
            warn!(duty = %name, fencing_token = holding.fencing_token, %reason, "duty lost");
        }
        self.end_requests(holding.log.unfinished());
        self.effects.push(Effect::Lost {
            duty: name,
            fencing_token: holding.fencing_token,
            reason,
        });
    }

    /// Reports what has become of requests under a token that is void.
    fn end_requests(&mut self, unfinished: Unfinished) {
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

    /// Whether a condition on this duty's claim has failed under the token that is held. If so, it is lost.
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

    /// The embedding program's own write was refused for its token.
    pub(super) fn refused_elsewhere(&mut self, duty: &str, fencing_token: u64) {
        let index = self
            .index(duty)
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
        if !self.duties_in_force() {
            return;
        }
        for index in 0..self.duties.len() {
            let duty = &self.duties[index];
            let rests = duty.claim_busy || self.now < duty.claim_next.max(duty.unreadable_until);
            if duty.holding.is_none() && !rests {
                self.claim_tick(index, lease);
            }
        }
    }

    /// Of two members that started at the same time with different settings, this one gives up its duties.
    fn give_up_duties(&mut self) {
        for index in 0..self.duties.len() {
            self.lose(index, LossReason::SettingsDiffer);
        }
    }

    fn claim_tick(&mut self, index: usize, lease: u64) {
        let duty = &self.duties[index];
        let expected = match &duty.claim {
            Some(claim) if claim.member == self.settings.member => {
                if claim.lease == lease && claim.version > duty.last_released_token {
                    // Transferred to us, or claimed by us and the reply was lost.
                    let version = claim.version;
                    return self.hold(index, version, None);
                }
                if self.leaving {
                    let version = claim.version;
                    return self.remove_claim(index, version);
                }
                // A former incarnation's, which can't come back, or one that we have given up. Replies to requests made
                // under it may still come; a new version distinguishes them.
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
        self.duties[index].claim_busy = true;
        let key = self.claim_key(index);
        let value = record::write(&ClaimRecord {
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
        self.store(
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

    /// The least loaded member claims first, the others one takeover step after another.
    fn claim_delay_elapsed(&mut self, index: usize) -> bool {
        let now = self.now;
        let since = *self.duties[index].free_since.get_or_insert(now);
        let rank = self.takeover_rank(index);
        now - since >= self.settings.takeover_step.times(rank as i64)
    }

    /// How many takeover steps this member waits: the holder of the affinity group comes before all others.
    fn takeover_rank(&self, index: usize) -> usize {
        let member = &self.settings.member;
        let by_load = || balancing::rank(&self.duties[index].name, member, &self.loads());
        match self.group_holder(index) {
            Some(holder) if holder == *member => 0,
            Some(_) => 1 + by_load(),
            None => by_load(),
        }
    }

    /// Who holds most of the duties of the affinity group that this one belongs to.
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
        self.duties[index].claim_busy = false;
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
                    self.hold(index, revision, Some(sent));
                }
            }
            StoreReply::NoSuchLease if self.membership.lease == Some(lease) => self.lease_ended(),
            // The race is lost, or the outcome is unknown: the view will show it.
            _ => self.duties[index].claim_next = self.now + RETRY_DELAY,
        }
    }

    /// Begins holding a duty. Its claim is verified if it was acquired by a request sent then.
    fn hold(&mut self, index: usize, fencing_token: u64, verified: Option<Micros>) {
        let mut verification = Verification::default();
        if let Some(sent) = verified {
            verification.confirm(sent);
        }
        let duty = &mut self.duties[index];
        duty.lost = None;
        duty.free_since = None;
        duty.holding = Some(Holding {
            fencing_token,
            since: self.now,
            phase: Phase::Loading,
            verification,
            verification_due: verified.is_none(),
            log: OperationLog::default(),
            log_busy: false,
            log_next: self.now,
        });
        let name = duty.name.clone();
        info!(duty = %name, fencing_token, "duty acquired");
        self.effects.push(Effect::Taken {
            duty: name,
            fencing_token,
        });
    }

    // ---- verification --------------------------------------------------------------------------

    /// In the embedding program's time.
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

    /// Verifies all held claims with one transaction, if one of them needs it.
    pub(super) fn verify_tick(&mut self) {
        if self.verify_busy || self.now < self.verify_next {
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
        self.verify_busy = true;
        let conditions = claims
            .iter()
            .map(|claim| (self.claim_key(claim.duty), claim.fencing_token))
            .collect();
        let sent = self.now;
        self.store(
            StoreRequest::CompareAndSwap {
                conditions,
                writes: Vec::new(),
            },
            Pending::Verify { sent, claims },
        );
    }

    pub(super) fn verify_reply(&mut self, sent: Micros, claims: &[HeldClaim], reply: &StoreReply) {
        self.verify_busy = false;
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
            _ => self.verify_next = self.now + RETRY_DELAY,
        }
    }

    /// A transaction on the claim under this token has succeeded.
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
