//! The scheduler's own writes to the store: sends them within the write budget and handles their replies.

use super::transactions::{write_key, write_outcome, ShardTransaction, WriteBatch};
use super::{Engine, Pending};
use crate::port::{StoreReply, StoreRequest};
use crate::shard::{Shard, ShardPhase, ShardWrite, WriteOutcome};
use crate::store_session::ClaimId;

/// Fraction of the store's write rate for the schedulers of all controllers, in thousandths; the rest is left to users.
const SCHEDULER_RATE_PERMILLE: i64 = 850;
/// Each controller gets at least its equal fraction of the write rate divided by this, however busy the others are.
const MIN_RATE_DIVISOR: i64 = 4;
/// Approximate number of operations that a write takes in a transaction.
const OPERATIONS_PER_WRITE: usize = 3;
/// Maximum number of writes of a shard in one flush.
const MAX_WRITES_PER_FLUSH: usize = 12;
/// Number of writes that the end of a job is charged as.
const WRITES_PER_JOB_END: usize = 3;

impl Engine {
    /// Number of writes pending here: for tasks to start, for jobs to end, for machines to be adopted.
    pub(super) fn pending_write_count(&self) -> usize {
        self.shards
            .iter()
            .flatten()
            .map(Shard::pending_write_count)
            .sum::<usize>()
            + self.leader_pending_writes()
    }

    /// This controller's fraction of the store's write rate, in milliwrites per second. The rate is divided in
    /// proportion to the pending writes that the controllers announce, since one shard may need most of it while others
    /// need nothing. For a silent controller, the fraction of the shards that it holds is set aside.
    pub(super) fn write_rate(&self) -> i64 {
        let members = self.settings.members.len() as i64;
        let total = self.settings.write_rps * SCHEDULER_RATE_PERMILLE;
        let demand = self.peers.write_demand(self.now);
        let shards_of_silent: i64 = demand
            .silent
            .iter()
            .map(|member| self.store.shards_of(*member) as i64)
            .sum();
        let rate =
            total * (members - shards_of_silent) / members * demand.own / demand.total.max(1);
        rate.max(total / (MIN_RATE_DIVISOR * members))
    }

    pub(super) fn refill_write_budget(&mut self) {
        let rate = self.write_rate();
        self.write_pacer.refill(self.now, rate);
    }

    /// Sends the due writes of all shards held here, as far as the write budget allows.
    pub(super) fn flush_writes(&mut self) {
        // Writes that become due within this interval are batched.
        let interval = self.settings.min_request_interval().divided_by(2);
        let Some(flush) = self.write_pacer.start_flush(self.now, interval) else {
            return;
        };
        let shards = self.shards.len();
        for shard in (0..shards).map(|k| (k + flush) % shards) {
            self.flush_shard_writes(shard);
        }
    }

    fn flush_shard_writes(&mut self, shard: usize) {
        let Some((version, writes)) = self.due_shard_writes(shard) else {
            return;
        };
        let mut batch = WriteBatch::default();
        for write in writes {
            match &write {
                // Sent alone: it may fail because the user cancels the job at the same time, and must not make other
                // writes fail with it.
                ShardWrite::End { .. } => {
                    self.write_pacer.spend(WRITES_PER_JOB_END);
                    self.send_shard_writes(shard, version, vec![write]);
                }
                ShardWrite::Read { .. } => self.send_shard_read(shard, version, write),
                // A record in parts fills a transaction by itself.
                ShardWrite::Record { changes, .. } if !changes.is_empty() => {
                    self.write_pacer.spend(1 + changes.len());
                    self.send_shard_writes(shard, version, vec![write]);
                }
                _ => {
                    self.write_pacer.spend(1);
                    if let Some(full) = batch.add(write) {
                        self.send_shard_writes(shard, version, full);
                    }
                }
            }
        }
        if let Some(rest) = batch.into_remaining() {
            self.send_shard_writes(shard, version, rest);
        }
    }

    /// The writes of a shard that may be sent now, and the version of the shard's claim.
    fn due_shard_writes(&mut self, shard: usize) -> Option<(u64, Vec<ShardWrite>)> {
        let available = self.write_pacer.available_writes();
        if available == 0 || !self.claim_verified(ClaimId::Shard(shard)) {
            return None;
        }
        let max_writes =
            (self.settings.max_txn_changes / OPERATIONS_PER_WRITE).clamp(1, MAX_WRITES_PER_FLUSH);
        let (now, layout) = (self.now, self.layout());
        self.with_shard(shard, |s, _| {
            let writes = match s.phase {
                ShardPhase::Ready => s.due_writes(now, available.min(max_writes), &layout),
                _ => Vec::new(),
            };
            (s.version, writes)
        })
    }

    fn send_shard_read(&mut self, shard: usize, version: u64, read: ShardWrite) {
        let key = write_key(shard, &read);
        let pending = Pending::Shard {
            shard,
            version,
            shard_writes: vec![read],
        };
        self.send_to_store(StoreRequest::Get { key }, pending);
    }

    fn send_shard_writes(&mut self, shard: usize, version: u64, shard_writes: Vec<ShardWrite>) {
        let mut transaction = ShardTransaction::new(shard, version, self.settings.max_txn_changes);
        for write in &shard_writes {
            transaction.add(write);
        }
        let pending = Pending::Shard {
            shard,
            version,
            shard_writes,
        };
        self.send_to_store(transaction.into_request(), pending);
    }

    pub(super) fn shard_reply(
        &mut self,
        shard: usize,
        version: u64,
        shard_writes: &[ShardWrite],
        reply: &StoreReply,
    ) {
        let claim = ClaimId::Shard(shard);
        if self.store.held_token(claim) != Some(version) {
            return;
        }
        if let StoreReply::Conflict { failed } = reply {
            if failed.contains(&claim.to_string()) {
                return self.drop_claim(claim, "a write failed on the claim");
            }
        }
        if matches!(reply, StoreReply::Refused) {
            self.write_pacer.store_refused(self.now);
        }
        for write in shard_writes {
            let outcome = write_outcome(write, &write_key(shard, write), reply);
            if let (ShardWrite::End { job, tasks, .. }, WriteOutcome::Done(_)) = (write, outcome) {
                self.job_completed(job, *tasks);
            }
            self.with_shard(shard, |s, context| {
                s.apply_write_outcome(context, write, outcome);
            });
        }
    }
}
