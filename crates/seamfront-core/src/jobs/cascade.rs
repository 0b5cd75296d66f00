//! Cancellation of live jobs with a cancelled dependency.

use super::dependency_graph::RetryState;
use super::resolution::RETRY_INTERVAL;
use super::{end_conditions, end_writes, DependencyRequest, EndRecord, JobContext, JobRegistry};
use crate::outbox::Outbox;
use crate::port::{StoreReply, StoreRequest};
use crate::types::{JobId, Micros};
use tracing::info;

/// The holder of a job's shard cancels it at once. Other controllers do so after this delay, in case the holder has
/// not.
const NON_HOLDER_DELAY: Micros = Micros::from_secs(3);
/// Maximum number of jobs cancelled in one transaction.
const MAX_CANCELLATIONS_PER_BATCH: usize = 16;

/// A cancellation to be made of a job with a cancelled dependency.
#[derive(Debug)]
pub(super) struct CascadeCancellation {
    /// The cancelled dependency.
    dependency: JobId,
    request: RetryState,
    /// Whether the job gets a transaction of its own: one that it shared with other jobs has failed with a conflict.
    unbatched: bool,
}

impl JobRegistry {
    /// Schedules the cancellation of a live job, unless it is scheduled already.
    pub(super) fn schedule_cascade(&mut self, context: JobContext, id: &JobId, dependency: &JobId) {
        let Some(job) = self.live.get(id) else { return };
        let delay = if context.shards.held_here(job.shard) {
            Micros::ZERO
        } else {
            NON_HOLDER_DELAY
        };
        let cascade = CascadeCancellation {
            dependency: dependency.clone(),
            request: RetryState {
                in_flight: false,
                retry_at: context.now + delay,
            },
            unbatched: false,
        };
        self.graph.cascades.entry(id.clone()).or_insert(cascade);
    }

    /// Sends the cancellations that are due, several in a transaction.
    pub(super) fn cancel_dependents(
        &mut self,
        context: JobContext,
        outbox: &mut Outbox<DependencyRequest>,
    ) {
        // The end of a job takes two writes.
        let batch_size =
            (context.settings.max_txn_changes / 2).clamp(1, MAX_CANCELLATIONS_PER_BATCH);
        let mut batched = Vec::new();
        let mut batches: Vec<Vec<JobId>> = Vec::new();
        let due = self
            .graph
            .cascades
            .iter_mut()
            .filter(|(_, cascade)| cascade.request.due(context.now));
        for (id, cascade) in due.take(batch_size * 2) {
            cascade.request.in_flight = true;
            if cascade.unbatched {
                batches.push(vec![id.clone()]);
            } else {
                batched.push(id.clone());
            }
        }
        batches.extend(batched.chunks(batch_size).map(<[JobId]>::to_vec));
        for ids in batches {
            self.send_cancellations(ids, outbox);
        }
    }

    fn send_cancellations(&self, ids: Vec<JobId>, outbox: &mut Outbox<DependencyRequest>) {
        let (mut conditions, mut writes) = (Vec::new(), Vec::new());
        for id in &ids {
            let Some(job) = self.live.get(id) else {
                continue;
            };
            let end = EndRecord {
                cancelled: true,
                tasks: job.spec.tasks,
            };
            conditions.extend(end_conditions(id, job.version));
            writes.extend(end_writes(id, end));
        }
        if !writes.is_empty() {
            outbox.store(
                StoreRequest::CompareAndSwap { conditions, writes },
                DependencyRequest::CascadeCancel { ids },
            );
        }
    }

    pub(super) fn cascade_reply(&mut self, context: JobContext, ids: &[JobId], reply: &StoreReply) {
        for id in ids {
            let Some(job) = self.live.get(id) else {
                continue;
            };
            let tasks = job.spec.tasks;
            if let StoreReply::Committed { .. } = reply {
                let cascade = self.graph.cascades.get(id);
                let dependency = cascade.map_or("", |cascade| cascade.dependency.as_str());
                info!(job = %id, %dependency, "cancelled with a dependency");
                let end = EndRecord {
                    cancelled: true,
                    tasks,
                };
                self.end_confirmed(context, id, end);
            } else if let Some(cascade) = self.graph.cascades.get_mut(id) {
                // A job that has ended in the meantime makes the whole transaction fail, so each job is retried in a
                // transaction of its own. The view will show the end of that job.
                cascade.unbatched |= matches!(reply, StoreReply::Conflict { .. });
                cascade.request.retry(context.now + RETRY_INTERVAL);
            }
        }
    }
}
