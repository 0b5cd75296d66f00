//! Cancellation of jobs with a cancelled dependency.

use super::dependency_graph::RetryState;
use super::resolution::RETRY_INTERVAL;
use super::{end_conditions, end_writes, DependencyRequest, EndRecord, JobContext, JobRegistry};
use crate::outbox::Outbox;
use crate::port::{StoreReply, StoreRequest};
use crate::types::{JobId, Micros};
use tracing::info;

/// The holder of the shard cancels at once; other controllers do so after this time, in case nobody has.
const OTHERS_CANCEL_AFTER: Micros = Micros::from_secs(3);
/// Most jobs cancelled in one transaction.
const MAX_CANCELLATIONS_PER_BATCH: usize = 16;

/// A job that is to be cancelled because a dependency is.
#[derive(Debug)]
pub(super) struct CascadeCancellation {
    /// The cancelled dependency.
    dependency: JobId,
    request: RetryState,
    /// It made a transaction with others fail, and is tried by itself.
    alone: bool,
}

impl JobRegistry {
    pub(super) fn schedule_cascade(&mut self, context: JobContext, id: &JobId, dependency: &JobId) {
        let Some(job) = self.live.get(id) else { return };
        let delay = if context.shards.held_here(job.shard) {
            Micros::ZERO
        } else {
            OTHERS_CANCEL_AFTER
        };
        let cascade = CascadeCancellation {
            dependency: dependency.clone(),
            request: RetryState {
                in_flight: false,
                retry_at: context.now + delay,
            },
            alone: false,
        };
        self.graph.cascades.entry(id.clone()).or_insert(cascade);
    }

    /// Cancels the jobs whose turn it is, several in a transaction.
    pub(super) fn cancel_dependents(
        &mut self,
        context: JobContext,
        outbox: &mut Outbox<DependencyRequest>,
    ) {
        let batch_size = (context.settings.txn_ops / 2).clamp(1, MAX_CANCELLATIONS_PER_BATCH);
        let mut together = Vec::new();
        let mut batches: Vec<Vec<JobId>> = Vec::new();
        let due = self
            .graph
            .cascades
            .iter_mut()
            .filter(|(_, cascade)| cascade.request.due(context.now));
        for (id, cascade) in due.take(batch_size * 2) {
            cascade.request.in_flight = true;
            if cascade.alone {
                batches.push(vec![id.clone()]);
            } else {
                together.push(id.clone());
            }
        }
        batches.extend(together.chunks(batch_size).map(<[JobId]>::to_vec));
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
                // One that has ended meanwhile must not keep the others from it; the view will show it.
                cascade.alone |= matches!(reply, StoreReply::Conflict { .. });
                cascade.request.retry(context.now + RETRY_INTERVAL);
            }
        }
    }
}
