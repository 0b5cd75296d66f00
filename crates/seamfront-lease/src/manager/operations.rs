//! Records, performs and settles the operations of held duties.

use super::state::{Holding, Pending, Phase};
use super::{DutyManager, FENCED_QUEUE_MAX, RETRY_DELAY};
use crate::keys;
use crate::log::{FencedCommit, LogProgress, OperationLog, Reread};
use crate::port::{Effect, LossReason, Outcome, Rejection, RequestId};
use crate::record::{self, LogRecord, RecordError};
use crate::store::{StoreReply, StoreRequest, Write};
use crate::time::Micros;
use serde_json::Value;
use tracing::info;

/// Delay before a duty is claimed again whose log could not be read.
const UNREADABLE_RETRY_DELAY: Micros = Micros::from_secs(10);

impl DutyManager {
    pub(super) fn begin(&mut self, request: RequestId, duty: &str, payload: Value) {
        let (max_open, limits) = (self.settings.open_operations, self.settings.limits);
        let begun = match self.active_holding(duty) {
            Ok(holding) => holding.log.begin(request, payload, max_open, &limits),
            Err(rejection) => Err(rejection),
        };
        if let Err(rejection) = begun {
            self.effects.push(Effect::Rejected { request, rejection });
        }
    }

    fn active_holding(&mut self, duty: &str) -> Result<&mut Holding, Rejection> {
        let index = self.duty_index(duty).ok_or(Rejection::UnknownDuty)?;
        let holding = self.duties[index]
            .holding
            .as_mut()
            .ok_or(Rejection::NotHeld)?;
        match holding.phase {
            Phase::Active => Ok(holding),
            Phase::Transferring { .. } => Err(Rejection::Transferring),
            Phase::Loading | Phase::Settling => Err(Rejection::NotHeld),
        }
    }

    pub(super) fn operations_tick(&mut self, index: usize) {
        self.log_read_tick(index);
        self.phase_tick(index);
        self.perform_tick(index);
        self.log_write_tick(index);
    }

    // ---- the log -------------------------------------------------------------------------

    /// Reads the log. Since the claim is already held, updates that a predecessor still has in flight fail.
    fn log_read_tick(&mut self, index: usize) {
        let now = self.now;
        let duty = &mut self.duties[index];
        let Some(holding) = duty.holding.as_mut() else {
            return;
        };
        let wanted = holding.phase == Phase::Loading || holding.log.needs_reread();
        if !wanted || holding.log_in_flight || now < holding.log_retry_at {
            return;
        }
        holding.log_in_flight = true;
        let (key, fencing_token) = (keys::log(&duty.name), holding.fencing_token);
        self.send_request(
            StoreRequest::Get { key },
            Pending::LogRead {
                duty: index,
                fencing_token,
            },
        );
    }

    pub(super) fn log_read(&mut self, index: usize, fencing_token: u64, reply: StoreReply) {
        if self.held_token(index) != Some(fencing_token) {
            return;
        }
        let key = keys::log(&self.duties[index].name);
        let stored = match reply {
            StoreReply::Entry(entry) => {
                record::decode::<LogRecord>(&key, &entry.value).map(|r| (entry.version, Some(r)))
            }
            StoreReply::Missing => Ok((0, None)),
            _ => {
                let now = self.now;
                if let Some(holding) = self.duties[index].holding.as_mut() {
                    holding.log_in_flight = false;
                    holding.log_retry_at = now + RETRY_DELAY;
                }
                return;
            }
        };
        match stored {
            Ok((version, record)) => self.log_decoded(index, version, record),
            Err(error) => self.log_unreadable(index, &error),
        }
    }

    fn log_decoded(&mut self, index: usize, version: u64, stored: Option<LogRecord>) {
        let now = self.now;
        let Some(holding) = self.duties[index].holding.as_mut() else {
            return;
        };
        holding.log_in_flight = false;
        if holding.phase == Phase::Loading {
            holding.log = OperationLog::loaded(holding.fencing_token, version, stored);
            holding.phase = Phase::Settling;
            let (open, duty) = (holding.log.open(), &self.duties[index].name);
            if open > 0 {
                info!(%duty, open, "settling operations of a predecessor");
            }
            return;
        }
        match holding.log.reread(version, stored.as_ref(), now) {
            Reread::Applied(progress) => self.log_progress(index, progress),
            Reread::NotApplied => {}
            Reread::WrittenByOther => self.lose(index, LossReason::TokenRefused),
        }
    }

    /// Releases the duty, so that a member that can read its log may hold it. The log is left unchanged.
    fn log_unreadable(&mut self, index: usize, error: &RecordError) {
        self.warn_unreadable(error);
        let fencing_token = self.held_token(index);
        self.lose(index, LossReason::UnreadableLog);
        self.duties[index].unreadable_until = self.now + UNREADABLE_RETRY_DELAY;
        if let Some(fencing_token) = fencing_token {
            self.remove_claim(index, fencing_token);
        }
    }

    fn log_write_tick(&mut self, index: usize) {
        let budget = self.budget.available();
        let (now, limits) = (self.now, self.settings.limits);
        let duty = &mut self.duties[index];
        let Some(holding) = duty.holding.as_mut() else {
            return;
        };
        if !budget
            || now < holding.log_retry_at
            || matches!(holding.phase, Phase::Transferring { sent: true, .. })
        {
            return;
        }
        let Some(write) = holding.log.next_write(&limits) else {
            return;
        };
        let (key, fencing_token) = (keys::log(&duty.name), holding.fencing_token);
        let mut conditions = vec![
            (keys::claim(&duty.name), fencing_token),
            (key.clone(), write.version),
        ];
        conditions.extend(write.conditions);
        let mut writes = vec![Write::Put {
            key,
            value: write.value,
            lease: None,
        }];
        writes.extend(write.writes);
        self.budget.spend(writes.len());
        let sent = self.now;
        self.send_request(
            StoreRequest::CompareAndSwap { conditions, writes },
            Pending::LogWrite {
                duty: index,
                fencing_token,
                sent,
            },
        );
    }

    pub(super) fn log_written(
        &mut self,
        index: usize,
        fencing_token: u64,
        sent: Micros,
        reply: &StoreReply,
    ) {
        if self.token_refused(index, fencing_token, reply) {
            return;
        }
        let now = self.now;
        let log_key = keys::log(&self.duties[index].name);
        let holding = self.duties[index]
            .holding
            .as_mut()
            .filter(|holding| holding.fencing_token == fencing_token);
        let Some(holding) = holding else { return };
        let progress = match reply {
            StoreReply::Committed { revision } => {
                let progress = holding.log.written(*revision, now);
                self.claim_verified(index, fencing_token, sent);
                progress
            }
            StoreReply::Refused => {
                holding.log_retry_at = now + RETRY_DELAY;
                holding.log.refused()
            }
            StoreReply::Conflict { failed } if !failed.contains(&log_key) => {
                holding.log.conflicted(failed.clone())
            }
            // A late copy has changed the log, or the outcome is unknown.
            _ => {
                holding.log.write_outcome_unknown();
                LogProgress::default()
            }
        };
        self.log_progress(index, progress);
    }

    fn log_progress(&mut self, index: usize, progress: LogProgress) {
        let duty = self.duties[index].name.clone();
        for begun in progress.began {
            self.effects.push(Effect::Began {
                request: begun.request,
                duty: duty.clone(),
                operation: begun.operation,
            });
        }
        for ended in progress.settled {
            self.effects.push(Effect::Settled {
                duty: duty.clone(),
                operation: ended.operation,
                settlement: ended.settlement,
            });
        }
        if let Some(fenced) = progress.fenced {
            self.effects.push(Effect::Committed {
                request: fenced.request,
                outcome: fenced.outcome,
            });
        }
    }

    // ---- performing ----------------------------------------------------------------------

    /// Makes the duty active once all operations of predecessors are settled and the claim is verified.
    fn phase_tick(&mut self, index: usize) {
        let permitted = self.current_permit(index).is_some();
        let duty = &mut self.duties[index];
        let Some(holding) = duty.holding.as_mut() else {
            return;
        };
        if holding.phase != Phase::Settling || holding.log.unsettled() {
            return;
        }
        if !permitted {
            holding.verification_due = true;
            return;
        }
        holding.phase = Phase::Active;
        info!(duty = %duty.name, fencing_token = holding.fencing_token, "duty active");
        let (name, fencing_token) = (duty.name.clone(), holding.fencing_token);
        self.effects.push(Effect::Active {
            duty: name,
            fencing_token,
        });
    }

    /// Applies the outcome of an attempt to perform an operation.
    pub(super) fn performed(
        &mut self,
        duty: &str,
        operation: record::OperationName,
        attempt: u64,
        outcome: Outcome,
    ) {
        let now = self.now;
        let holding = self
            .duty_index(duty)
            .and_then(|index| self.duties[index].holding.as_mut());
        if let Some(holding) = holding {
            holding.log.finish_attempt(operation, attempt, outcome, now);
        }
    }

    fn perform_tick(&mut self, index: usize) {
        while let Some(name) = self.due_operation(index) {
            let permit = self.current_permit(index);
            let attempt = self.next_id();
            let duty = &mut self.duties[index];
            let Some(holding) = duty.holding.as_mut() else {
                return;
            };
            let Some(permit) = permit else {
                holding.verification_due = true;
                return;
            };
            let Some(operation) = holding.log.begin_attempt(name, attempt) else {
                return;
            };
            let settling = name.fencing_token != holding.fencing_token;
            let duty = duty.name.clone();
            self.effects.push(Effect::Perform {
                duty,
                operation,
                attempt,
                permit,
                settling,
            });
        }
    }

    fn due_operation(&self, index: usize) -> Option<record::OperationName> {
        let holding = self.duties[index].holding.as_ref()?;
        match holding.phase {
            Phase::Settling | Phase::Active => holding.log.due(self.now),
            Phase::Loading | Phase::Transferring { .. } => None,
        }
    }

    // ---- fenced commits ------------------------------------------------------------------

    pub(super) fn fenced_commit(
        &mut self,
        request: RequestId,
        duty: &str,
        conditions: Vec<(String, u64)>,
        writes: Vec<Write>,
    ) {
        let limits = self.settings.limits;
        let commit = FencedCommit {
            request,
            conditions,
            writes,
        };
        let accepted = match self.active_holding(duty) {
            Ok(holding) => holding.log.queue_commit(commit, FENCED_QUEUE_MAX, &limits),
            Err(rejection) => Err(rejection),
        };
        if let Err(rejection) = accepted {
            self.effects.push(Effect::Rejected { request, rejection });
        }
    }
}
