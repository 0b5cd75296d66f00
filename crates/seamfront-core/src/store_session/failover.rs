//! Failover of a shard: reads the records of the predecessor so that the shard can continue from them.

use super::claim::ClaimId;
use super::{
    ReadRecords, SessionContext, SessionEvent, SessionRequest, StoreSession, ViewId, RETRY_INTERVAL,
};
use crate::port::{Entry, StoreReply, StoreRequest};
use crate::record::parts_prefix;
use crate::shard::work_prefix;
use crate::types::Micros;

/// The read of one shard's records. Everything that the predecessor recorded is older than the new claim, and it
/// recorded machines before the tasks on them. The view of machines must therefore reach the version of the claim
/// before the records are read: otherwise a task on a recently provisioned machine that is missing from the view would
/// be considered lost and placed again while it still runs.
#[derive(Debug)]
pub(super) struct RecordRead {
    /// Version of the claim under which the records are read.
    token: u64,
    records: Vec<Entry>,
    /// Parts of the records; None until all heads and whole records have been read.
    parts: Option<Vec<Entry>>,
    request_in_flight: bool,
    retry_at: Micros,
}

impl RecordRead {
    fn new(token: u64) -> Self {
        RecordRead {
            token,
            records: Vec::new(),
            parts: None,
            request_in_flight: false,
            retry_at: Micros::ZERO,
        }
    }

    fn due(&self, now: Micros) -> bool {
        !self.request_in_flight && self.retry_at <= now
    }

    /// Request for the next page.
    fn next_page(&self, shard: usize) -> StoreRequest {
        let (prefix, read) = match &self.parts {
            Some(parts) => (parts_prefix(shard), parts),
            None => (work_prefix(shard), &self.records),
        };
        let after = read.last().map(|entry| entry.key.clone());
        StoreRequest::List { prefix, after }
    }

    /// Adds a page. True if the read is complete.
    fn add_page(&mut self, entries: Vec<Entry>, more: bool) -> bool {
        if let Some(parts) = &mut self.parts {
            parts.extend(entries);
            !more
        } else {
            self.records.extend(entries);
            if !more {
                self.parts = Some(Vec::new());
            }
            false
        }
    }
}

impl StoreSession {
    pub(super) fn start_record_read(
        &mut self,
        context: &mut SessionContext,
        shard: usize,
        token: u64,
    ) {
        self.record_reads.insert(shard, RecordRead::new(token));
        context
            .events
            .push(SessionEvent::RecordReadStarted { shard });
    }

    pub(super) fn record_reads_tick(&mut self, context: &mut SessionContext) {
        let due: Vec<usize> = self
            .record_reads
            .iter()
            .filter(|(_, read)| read.due(context.now))
            .map(|(shard, _)| *shard)
            .collect();
        for shard in due {
            self.continue_record_read(context, shard);
        }
    }

    fn continue_record_read(&mut self, context: &mut SessionContext, shard: usize) {
        let held = self.held_token(ClaimId::Shard(shard));
        let Some(read) = self.record_reads.get_mut(&shard) else {
            return;
        };
        let token = read.token;
        if held != Some(token) {
            self.record_reads.remove(&shard);
            return;
        }
        read.request_in_flight = true;
        let next_page = read.next_page(shard);
        if self.watch(ViewId::Machines).reaches(token) {
            let pending = SessionRequest::Records { shard, token };
            context.outbox.store(next_page, pending);
        } else {
            let request = self.changes_request(ViewId::Machines);
            let pending = SessionRequest::MachineChanges { shard, token };
            context.outbox.store(request, pending);
        }
    }

    /// The read that a reply belongs to; None if it has been superseded.
    fn current_record_read(&mut self, shard: usize, token: u64) -> Option<&mut RecordRead> {
        self.record_reads
            .get_mut(&shard)
            .filter(|read| read.token == token)
    }

    pub(super) fn machine_changes_reply(
        &mut self,
        context: &mut SessionContext,
        shard: usize,
        token: u64,
        reply: StoreReply,
    ) {
        let usable = self.watch(ViewId::Machines).loaded()
            && self.apply_changes(context, ViewId::Machines, reply);
        let Some(read) = self.current_record_read(shard, token) else {
            return;
        };
        read.request_in_flight = false;
        if !usable {
            read.retry_at = context.now + RETRY_INTERVAL;
        }
    }

    pub(super) fn records_reply(
        &mut self,
        context: &mut SessionContext,
        shard: usize,
        token: u64,
        reply: StoreReply,
    ) {
        let Some(read) = self.current_record_read(shard, token) else {
            return;
        };
        read.request_in_flight = false;
        match reply {
            StoreReply::Page { entries, more, .. } => {
                if read.add_page(entries, more) {
                    self.record_read_completed(context, shard, token);
                }
            }
            // Retried after a pause: a store that refuses requests would otherwise get them in a tight loop.
            _ => read.retry_at = context.now + RETRY_INTERVAL,
        }
    }

    fn record_read_completed(&mut self, context: &mut SessionContext, shard: usize, token: u64) {
        let Some(read) = self.record_reads.remove(&shard) else {
            return;
        };
        let state = self.state_mut(ClaimId::Shard(shard));
        let Some(held) = state.held.as_mut().filter(|held| held.token == token) else {
            return;
        };
        held.records_read = true;
        context.events.push(SessionEvent::RecordsRead(ReadRecords {
            shard,
            records: read.records,
            parts: read.parts.unwrap_or_default(),
        }));
    }
}
