//! Taking claims on duties, proving them and losing them.

use super::*;
use crate::log::Unfinished;
use crate::record::{self, ClaimRecord, FORMAT};
use crate::spread;

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
        let ours = |c: &SeenClaim| c.member == *me && Some(c.lease) == self.session.lease;
        let mine = claim.as_ref().is_some_and(ours);
        duty.free_since = claim.is_none().then_some(self.now);
        duty.claim = claim;
        let held = duty.holding.as_ref().map(|holding| holding.token);
        if held.is_some_and(|token| token < version || (token == version && !mine)) {
            self.lose(index, LossReason::Replaced);
        }
        self.tell_successor(index);
    }

    /// Says once who holds what was lost here.
    fn tell_successor(&mut self, index: usize) {
        let duty = &mut self.duties[index];
        let (Some(token), Some(claim)) = (duty.lost, &duty.claim) else {
            return;
        };
        if claim.version <= token || claim.member.is_empty() {
            return;
        }
        duty.lost = None;
        let successor = Successor {
            member: claim.member.clone(),
            token: claim.version,
        };
        let name = duty.name.clone();
        info!(duty = %name, token, successor = %successor.member, successor_token = successor.token, "duty replaced");
        self.effects.push(Effect::Replaced {
            duty: name,
            token,
            successor,
        });
    }

    /// Ends holding a duty at once. Its token is never acted on again.
    pub(super) fn lose(&mut self, index: usize, reason: LossReason) {
        let duty = &mut self.duties[index];
        let Some(holding) = duty.holding.take() else {
            return;
        };
        duty.spent = duty.spent.max(holding.token);
        duty.lost = Some(holding.token);
        duty.handover_wanted = None;
        let name = duty.name.clone();
        if reason == LossReason::HandedOver {
            info!(duty = %name, token = holding.token, "duty given away");
        } else {
            warn!(duty = %name, token = holding.token, %reason, "duty lost");
        }
        self.end_requests(holding.log.unfinished());
        self.effects.push(Effect::Lost {
            duty: name,
            token: holding.token,
            reason,
        });
    }

    /// Tells what has become of requests under a token that is void.
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
    pub(super) fn token_refused(&mut self, index: usize, token: u64, reply: &StateReply) -> bool {
        let StateReply::Conflict { failed } = reply else {
            return false;
        };
        if !failed.contains(&self.claim_key(index)) {
            return false;
        }
        if self.held_token(index) == Some(token) {
            self.lose(index, LossReason::TokenRefused);
        }
        true
    }

    pub(super) fn held_token(&self, index: usize) -> Option<u64> {
        self.duties[index]
            .holding
            .as_ref()
            .map(|holding| holding.token)
    }

    pub(super) fn claims_tick(&mut self) {
        let Some(lease) = self.session.lease else {
            return;
        };
        if self.session.registered.is_none() || self.session.superseded || !self.view.loaded() {
            return;
        }
        if self.settings_differ() {
            return self.step_back();
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

    /// Of two members that came together with different settings, this one gives way.
    fn step_back(&mut self) {
        for index in 0..self.duties.len() {
            self.lose(index, LossReason::SettingsDiffer);
        }
    }

    fn claim_tick(&mut self, index: usize, lease: u64) {
        let duty = &self.duties[index];
        let expected = match &duty.claim {
            Some(claim) if claim.member == self.settings.member => {
                if claim.lease == lease && claim.version > duty.spent {
                    // Handed to us, or claimed by us and the answer was lost.
                    let version = claim.version;
                    return self.hold(index, version, None);
                }
                if self.leaving {
                    let version = claim.version;
                    return self.remove_claim(index, version);
                }
                // A former incarnation's, which can't come back, or one that we have given up. Answers to what was asked
                // under it may still come; a new version tells them apart.
                claim.version
            }
            Some(_) => return,
            None => {
                if self.leaving || !self.our_turn(index) {
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
        let apply = vec![Write::Put {
            key: key.clone(),
            value,
            lease: Some(lease),
        }];
        let sent = self.now;
        self.store(
            StateCall::Commit {
                when: vec![(key, expected)],
                apply,
            },
            Pending::Claim {
                duty: index,
                lease,
                sent,
            },
        );
    }

    /// The member with least to do claims first, the others each a moment later.
    fn our_turn(&mut self, index: usize) -> bool {
        let now = self.now;
        let since = *self.duties[index].free_since.get_or_insert(now);
        if let Some(holder) = self.group_holder(index) {
            let own = holder == self.settings.member;
            let rank = if own {
                0
            } else {
                1 + spread::rank(
                    &self.duties[index].name,
                    &self.settings.member,
                    &self.loads(),
                )
            };
            return now - since >= self.settings.takeover_step.times(rank as i64);
        }
        let rank = spread::rank(
            &self.duties[index].name,
            &self.settings.member,
            &self.loads(),
        );
        now - since >= self.settings.takeover_step.times(rank as i64)
    }

    /// Who holds most of the duties that belong together with this one.
    pub(super) fn group_holder(&self, index: usize) -> Option<String> {
        let together = &self.settings.together;
        if !together.contains(&self.duties[index].name) {
            return None;
        }
        let group = self
            .duties
            .iter()
            .filter(|duty| together.contains(&duty.name));
        let holders = group
            .filter_map(|duty| duty.claim.as_ref())
            .map(|claim| claim.member.as_str());
        spread::group_holder(holders.filter(|member| self.members.contains_key(*member)))
            .map(str::to_owned)
    }

    pub(super) fn claimed(&mut self, index: usize, lease: u64, sent: Micros, reply: StateReply) {
        self.duties[index].claim_busy = false;
        match reply {
            StateReply::Committed { revision } if self.session.lease == Some(lease) => {
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
            StateReply::NoSuchLease if self.session.lease == Some(lease) => self.lease_ended(),
            // The race is lost, or nobody knows: the view will tell.
            _ => self.duties[index].claim_next = self.now + RETRY,
        }
    }

    /// Begins holding a duty. Its claim is proven if it was taken by a request sent then.
    fn hold(&mut self, index: usize, token: u64, proven: Option<Micros>) {
        let mut proof = ClaimProof::default();
        if let Some(sent) = proven {
            proof.proven(sent);
        }
        let duty = &mut self.duties[index];
        duty.lost = None;
        duty.free_since = None;
        duty.holding = Some(Holding {
            token,
            since: self.now,
            phase: Phase::Loading,
            proof,
            proof_wanted: proven.is_none(),
            log: OperationLog::default(),
            log_busy: false,
            log_next: self.now,
        });
        let name = duty.name.clone();
        info!(duty = %name, token, "duty taken");
        self.effects.push(Effect::Taken { duty: name, token });
    }

    // ---- proofs --------------------------------------------------------------------------

    /// In the embedding program's time.
    pub(super) fn current_permit(&self, index: usize) -> Option<Permit> {
        let holding = self.duties[index].holding.as_ref()?;
        let permit = holding
            .proof
            .permit(holding.token, &self.session.proof, &self.settings)?;
        let valid = permit.valid(self.now);
        valid.then_some(Permit {
            until: permit.until - self.clock_offset,
            ..permit
        })
    }

    /// Proves all claims that need it with one transaction.
    pub(super) fn prove_tick(&mut self) {
        if self.prove_busy || self.now < self.prove_next {
            return;
        }
        let wanted = |duty: &Duty| {
            duty.holding
                .as_ref()
                .is_some_and(|holding| holding.proof_wanted)
        };
        if !self.duties.iter().any(wanted) {
            return;
        }
        let held =
            (0..self.duties.len()).filter_map(|index| Some((index, self.held_token(index)?)));
        let claims: Vec<(usize, u64)> = held.collect();
        self.prove_busy = true;
        let when = claims
            .iter()
            .map(|(index, token)| (self.claim_key(*index), *token))
            .collect();
        let sent = self.now;
        self.store(
            StateCall::Commit {
                when,
                apply: Vec::new(),
            },
            Pending::Prove { sent, claims },
        );
    }

    pub(super) fn proved(&mut self, sent: Micros, claims: &[(usize, u64)], reply: &StateReply) {
        self.prove_busy = false;
        match reply {
            StateReply::Committed { .. } => {
                for (index, token) in claims {
                    self.claim_proven(*index, *token, sent);
                }
            }
            StateReply::Conflict { .. } => {
                for (index, token) in claims {
                    self.token_refused(*index, *token, reply);
                }
            }
            _ => self.prove_next = self.now + RETRY,
        }
    }

    /// A transaction on the claim under this token has succeeded.
    pub(super) fn claim_proven(&mut self, index: usize, token: u64, sent: Micros) {
        let holding = self.duties[index]
            .holding
            .as_mut()
            .filter(|holding| holding.token == token);
        if let Some(holding) = holding {
            holding.proof.proven(sent);
            holding.proof_wanted = false;
        }
    }
}
