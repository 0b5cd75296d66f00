//! The scheduler's own writes: their pace, their transactions and their outcomes.

use super::{
    machine_write, work_key, Engine, JobId, Micros, Pending, Shard, ShardPhase, ShardWrite,
    StoreReply, StoreRequest, Write, WriteOutcome,
};
use crate::jobs::{end_conditions, end_writes, EndRecord};
use crate::record::part_key;

/// Bytes of records in one transaction, well below what the state service takes.
const TRANSACTION_BYTES: usize = 40_000;
/// About what a write takes that is no record of a job.
const SMALL_WRITE: usize = 200;

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

    /// This controller's part of what the store takes, in thousandths of a write a second. Most of
    /// it is the schedulers', the rest is left to users. It is divided by what waits where, as the
    /// controllers tell each other, since one shard may need most of it while others need nothing;
    /// who is not heard of keeps the part of the shards that it holds.
    pub(crate) fn write_rate(&self) -> i64 {
        let n = self.settings.members.len() as i64;
        let total = self.settings.write_rps * 850;
        let (mut own, mut all) = (0, 0);
        let mut unheard = 0;
        for (k, p) in self.peers.iter().enumerate() {
            if k == self.settings.me {
                own = self.pending_writes as i64 + 1;
                all += own;
            } else if self.now - p.heard < Micros::from_secs(2) && p.heard > Micros::ZERO {
                all += p.pending_writes as i64 + 1;
            } else {
                let holds = |c: &&Option<crate::store_session::Claim>| {
                    c.as_ref().is_some_and(|c| c.member == k)
                };
                unheard += self.store.claims[..self.leader_slot()]
                    .iter()
                    .filter(holds)
                    .count() as i64;
            }
        }
        (total * (n - unheard) / n * own / all.max(1)).max(total / (4 * n))
    }

    pub(super) fn fill_write_budget(&mut self) {
        let rate = self.write_rate();
        let passed = (self.now - self.write_filled).0.clamp(0, 1_000_000);
        self.write_filled = self.now;
        self.write_budget = (self.write_budget + rate * passed / 1_000_000).min(rate / 2);
    }

    pub(super) fn flush_writes(&mut self) {
        if self.now < self.write_rest.max(self.write_next) {
            return;
        }
        // What gathers within a moment is written together.
        self.write_next = self.now + self.settings.ask_every().over(2);
        // Where several shards are held, another is first each time.
        self.write_first += 1;
        let (first, shards) = (self.write_first, self.shards.len());
        for k in (0..shards).map(|k| (k + first) % shards) {
            let budget = (self.write_budget / 1_000).max(0) as usize;
            let most = (self.settings.txn_ops / 3).clamp(1, 12);
            if budget == 0 || !self.lease_valid(k) {
                continue;
            }
            let now = self.now;
            let layout = self.layout();
            let ready = |s: &mut Shard| match s.phase {
                ShardPhase::Ready => s.due_writes(now, budget.min(most), &layout),
                _ => Vec::new(),
            };
            let Some((version, shard_writes)) = self.with_shard(k, |s, _| (s.version, ready(s)))
            else {
                continue;
            };
            let mut records = Vec::new();
            let mut bytes = 0;
            for w in shard_writes {
                match &w {
                    // An end may fail for its user's sake; it must not take others with it.
                    ShardWrite::End { .. } => {
                        self.write_budget -= 3_000;
                        self.send_shard_writes(k, version, vec![w]);
                    }
                    ShardWrite::Read { job } => {
                        let key = work_key(k, job);
                        let pending = Pending::Shard {
                            shard: k,
                            version,
                            shard_writes: vec![w],
                        };
                        self.send_to_store(StoreRequest::Get { key }, pending);
                    }
                    // One in parts fills a transaction by itself.
                    ShardWrite::Record { changes, .. } if !changes.is_empty() => {
                        self.write_budget -= 1_000 * (1 + changes.len() as i64);
                        self.send_shard_writes(k, version, vec![w]);
                    }
                    _ => {
                        self.write_budget -= 1_000;
                        let size = if let ShardWrite::Record { record, .. } = &w {
                            record.bytes
                        } else {
                            SMALL_WRITE
                        };
                        if bytes + size > TRANSACTION_BYTES && !records.is_empty() {
                            self.send_shard_writes(k, version, std::mem::take(&mut records));
                            bytes = 0;
                        }
                        bytes += size;
                        records.push(w);
                    }
                }
            }
            if !records.is_empty() {
                self.send_shard_writes(k, version, records);
            }
        }
    }

    /// Every write on behalf of a shard carries its claim's version, so that one that is applied
    /// late, after the shard has passed on, fails.
    pub(super) fn send_shard_writes(
        &mut self,
        k: usize,
        version: u64,
        shard_writes: Vec<ShardWrite>,
    ) {
        let mut conditions = vec![(self.claim_key(k), version)];
        let mut writes = Vec::new();
        for w in &shard_writes {
            let key = self.write_key(k, w);
            match w {
                ShardWrite::Record {
                    job,
                    version,
                    record,
                    changes,
                    ..
                } => {
                    conditions.push((key.clone(), *version));
                    writes.push(Write::Put {
                        key,
                        value: record.head.clone(),
                        lease: None,
                    });
                    for (number, part) in changes {
                        let key = part_key(k, job, *number);
                        writes.push(match part {
                            Some(value) => Write::Put {
                                key,
                                value: value.clone(),
                                lease: None,
                            },
                            None => Write::Delete { key },
                        });
                    }
                }
                ShardWrite::End {
                    job,
                    job_version,
                    record_version,
                    parts_end,
                    tasks,
                } => {
                    let end = EndRecord {
                        cancelled: false,
                        tasks: *tasks,
                    };
                    conditions.extend(end_conditions(job, *job_version));
                    writes.extend(end_writes(job, end));
                    if *record_version > 0 {
                        conditions.push((key.clone(), *record_version));
                        writes.push(Write::Delete { key });
                        writes.extend(self.part_deletions(k, job, *parts_end));
                    }
                }
                ShardWrite::DropRecord {
                    job,
                    version,
                    parts_end,
                } => {
                    conditions.push((key.clone(), *version));
                    writes.push(Write::Delete { key });
                    writes.extend(self.part_deletions(k, job, *parts_end));
                }
                ShardWrite::Machine {
                    machine,
                    version,
                    record,
                } => {
                    conditions.push((key, *version));
                    writes.push(machine_write(machine, record));
                }
                ShardWrite::Read { .. } => {}
            }
        }
        self.send_to_store(
            StoreRequest::CompareAndSwap { conditions, writes },
            Pending::Shard {
                shard: k,
                version,
                shard_writes,
            },
        );
    }

    /// A part without its head means nothing: should there be more than a transaction takes, the rest stays.
    fn part_deletions(&self, k: usize, job: &JobId, parts_end: u32) -> Vec<Write> {
        let most = self.settings.txn_ops.saturating_sub(3);
        (0..parts_end)
            .rev()
            .take(most)
            .map(|number| Write::Delete {
                key: part_key(k, job, number),
            })
            .collect()
    }

    pub(super) fn write_key(&self, k: usize, w: &ShardWrite) -> String {
        match w {
            ShardWrite::Machine { machine, .. } => crate::machine::machine_key(machine),
            ShardWrite::Record { job, .. }
            | ShardWrite::End { job, .. }
            | ShardWrite::DropRecord { job, .. }
            | ShardWrite::Read { job } => work_key(k, job),
        }
    }

    pub(super) fn shard_reply(
        &mut self,
        k: usize,
        version: u64,
        shard_writes: &[ShardWrite],
        reply: &StoreReply,
    ) {
        if self.held_token(k) != Some(version) {
            return;
        }
        if let StoreReply::Conflict { failed } = reply {
            if failed.contains(&self.claim_key(k)) {
                return self.drop_claim(k, "claim proven lost");
            }
        }
        if matches!(reply, StoreReply::Refused) {
            self.write_rest = self.now + Micros::from_millis(200);
        }
        for w in shard_writes {
            let key = self.write_key(k, w);
            let outcome = match (w, reply) {
                (ShardWrite::Read { .. }, StoreReply::Entry(e)) => WriteOutcome::Done(e.version),
                (ShardWrite::Read { .. }, StoreReply::Missing) => WriteOutcome::Done(0),
                (_, StoreReply::Committed { revision }) => WriteOutcome::Done(*revision),
                (_, StoreReply::Refused) => WriteOutcome::Refused,
                // One failed condition fails all; those that held are simply made again.
                (ShardWrite::End { .. }, StoreReply::Conflict { .. }) => WriteOutcome::Unclear,
                (_, StoreReply::Conflict { failed }) if !failed.contains(&key) => {
                    WriteOutcome::Refused
                }
                _ => WriteOutcome::Unclear,
            };
            if let (ShardWrite::End { job, tasks, .. }, WriteOutcome::Done(_)) = (w, outcome) {
                self.job_completed(job, *tasks);
            }
            self.with_shard(k, |s, context| s.written(context, w, outcome));
        }
    }
}
