//! The scheduler's own writes: when they are sent, and what follows from their replies.

use super::transactions::{write_key, write_outcome, ShardTransaction, WriteBatch};
use super::{Engine, Pending};
use crate::port::{StoreReply, StoreRequest};
use crate::shard::{Shard, ShardPhase, ShardWrite, WriteOutcome};
use crate::store_session::ClaimId;

/// The schedulers' part of what the store takes, in thousandths; the rest is left to users.
const SCHEDULERS_PART: i64 = 850;
/// However busy the others are, a controller keeps one part in so many of its even share.
const LEAST_PART: i64 = 4;
/// Operations in a transaction for each of its writes, about.
const OPERATIONS_PER_WRITE: usize = 3;
/// Most writes of a shard in one flush.
const MAX_WRITES_PER_FLUSH: usize = 12;
/// Writes that the end of a job counts for.
const END_WRITES: usize = 3;

impl Engine {
    /// How many writes wait here: for tasks to start, for jobs to end, for machines to be adopted.
    pub(super) fn pending_write_count(&self) -> usize {
        self.shards
            .iter()
            .flatten()
            .map(Shard::pending_write_count)
            .sum::<usize>()
            + self.leader_pending_writes()
    }

    /// This controller's part of what the store takes, in thousandths of a write a second. It is divided by what waits
    /// where, as the controllers announce it, since one shard may need most of it while others need nothing; a silent
    /// controller keeps the part of the shards that it holds.
    pub(super) fn write_rate(&self) -> i64 {
        let members = self.settings.members.len() as i64;
        let total = self.settings.write_rps * SCHEDULERS_PART;
        let demand = self.peers.write_demand(self.now);
        let kept: i64 = demand
            .silent
            .iter()
            .map(|member| self.store.shards_of(*member) as i64)
            .sum();
        let part = total * (members - kept) / members * demand.own / demand.total.max(1);
        part.max(total / (LEAST_PART * members))
    }

    pub(super) fn refill_write_budget(&mut self) {
        let rate = self.write_rate();
        self.write_pacer.refill(self.now, rate);
    }

    /// Sends the writes of all shards that are due, as far as the budget goes.
    pub(super) fn flush_writes(&mut self) {
        // What gathers within a moment is written together.
        let interval = self.settings.ask_every().over(2);
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
                // An end may fail for its user's sake; it must not take others with it.
                ShardWrite::End { .. } => {
                    self.write_pacer.spend(END_WRITES);
                    self.send_shard_writes(shard, version, vec![write]);
                }
                ShardWrite::Read { .. } => self.send_shard_read(shard, version, write),
                // One in parts fills a transaction by itself.
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
        if let Some(rest) = batch.into_rest() {
            self.send_shard_writes(shard, version, rest);
        }
    }

    /// The writes of a shard that may be sent now, with the version of its claim.
    fn due_shard_writes(&mut self, shard: usize) -> Option<(u64, Vec<ShardWrite>)> {
        let available = self.write_pacer.available_writes();
        if available == 0 || !self.lease_valid(ClaimId::Shard(shard)) {
            return None;
        }
        let most = (self.settings.txn_ops / OPERATIONS_PER_WRITE).clamp(1, MAX_WRITES_PER_FLUSH);
        let (now, layout) = (self.now, self.layout());
        self.with_shard(shard, |s, _| {
            let writes = match s.phase {
                ShardPhase::Ready => s.due_writes(now, available.min(most), &layout),
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
        let mut transaction = ShardTransaction::new(shard, version, self.settings.txn_ops);
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
            self.with_shard(shard, |s, context| s.written(context, write, outcome));
        }
    }
}
