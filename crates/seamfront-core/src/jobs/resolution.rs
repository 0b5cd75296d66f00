//! Reading from the store what the graph lacks: ends of dependencies that are not live, and long dependency lists.

use super::dependency_graph::RetryState;
use super::records::dependency_parts_prefix;
use super::{end_key, DependencyListRead, DependencyRequest, EndRecord, JobContext, JobRegistry};
use crate::outbox::Outbox;
use crate::port::{Entry, StoreReply, StoreRequest};
use crate::types::{JobId, Micros};
use tracing::warn;

/// Reads of ends in flight at once, so that many dependencies leave the store room for everything else.
const MAX_END_READS_IN_FLIGHT: usize = 8;
/// Dependency lists whose reading is begun in one step.
const MAX_LIST_READS_PER_STEP: usize = 2;
/// Time from a reply to the next attempt.
pub(super) const RETRY_INTERVAL: Micros = Micros::from_millis(400);

impl JobRegistry {
    pub(super) fn read_unresolved_ends(
        &mut self,
        context: JobContext,
        outbox: &mut Outbox<DependencyRequest>,
    ) {
        let unresolved = &mut self.graph.unresolved;
        let in_flight = unresolved.values().filter(|read| read.in_flight).count();
        let due = unresolved
            .iter_mut()
            .filter(|(_, read)| read.due(context.now));
        for (id, read) in due.take(MAX_END_READS_IN_FLIGHT.saturating_sub(in_flight)) {
            *read = RetryState {
                in_flight: true,
                retry_at: context.now,
            };
            outbox.store(
                StoreRequest::Get { key: end_key(id) },
                DependencyRequest::End { id: id.clone() },
            );
        }
    }

    pub(super) fn unresolved_end_reply(
        &mut self,
        context: JobContext,
        id: &JobId,
        reply: StoreReply,
    ) {
        let Some(read) = self.graph.unresolved.get_mut(id) else {
            return;
        };
        read.retry(context.now + RETRY_INTERVAL);
        match reply {
            StoreReply::Entry(entry) => match serde_json::from_value::<EndRecord>(entry.value) {
                Ok(end) => {
                    self.ended.insert(id, end);
                    self.dependency_ended(context, id, end);
                }
                Err(e) => warn!(job = %id, %e, "unreadable end record"),
            },
            // Accepted a moment ago by another controller: the view will show it.
            StoreReply::Missing if self.live.contains_key(id) => {
                self.graph.unresolved.remove(id);
            }
            _ => {}
        }
    }

    pub(super) fn read_dependency_parts(
        &mut self,
        context: JobContext,
        outbox: &mut Outbox<DependencyRequest>,
    ) {
        let due = self
            .graph
            .unread
            .iter_mut()
            .filter(|(_, read)| read.due(context.now));
        for (id, read) in due.take(MAX_LIST_READS_PER_STEP) {
            let Some(job) = self.live.get(id) else {
                continue;
            };
            *read = RetryState {
                in_flight: true,
                retry_at: context.now,
            };
            let request = StoreRequest::List {
                prefix: dependency_parts_prefix(id),
                after: None,
            };
            let pending = DependencyListRead {
                id: id.clone(),
                version: job.version,
                entries: Vec::new(),
            };
            outbox.store(request, DependencyRequest::PartsRead(pending));
        }
    }

    pub(super) fn parts_reply(
        &mut self,
        context: JobContext,
        mut list: DependencyListRead,
        reply: StoreReply,
        outbox: &mut Outbox<DependencyRequest>,
    ) {
        let Some(read) = self.graph.unread.get_mut(&list.id) else {
            return;
        };
        let live = self.live.get(&list.id);
        if live.is_none_or(|job| job.version != list.version) {
            return;
        }
        read.retry(context.now + RETRY_INTERVAL);
        let StoreReply::Page { entries, more, .. } = reply else {
            return;
        };
        list.entries.extend(entries);
        if more {
            read.in_flight = true;
            let request = StoreRequest::List {
                prefix: dependency_parts_prefix(&list.id),
                after: list.entries.last().map(|entry| entry.key.clone()),
            };
            return outbox.store(request, DependencyRequest::PartsRead(list));
        }
        self.dependency_list_read(context, &list.id, list.entries);
    }

    /// All parts that the store has are read.
    fn dependency_list_read(&mut self, context: JobContext, id: &JobId, entries: Vec<Entry>) {
        let Some(job) = self.live.get_mut(id) else {
            return;
        };
        let lists: Vec<Vec<JobId>> = entries
            .into_iter()
            .filter_map(|entry| serde_json::from_value(entry.value).ok())
            .collect();
        if lists.len() < job.spec.dependency_parts as usize {
            return warn!(job = %id, "a part of the dependency list can't be read");
        }
        self.graph.unread.remove(id);
        job.dependencies.unread = false;
        self.add_dependencies(context, id, lists.into_iter().flatten().collect());
        self.unblock_if_ready(context, id);
        self.propagate_urgency(id);
    }
}
