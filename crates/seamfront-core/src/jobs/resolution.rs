//! Reads from the store what the dependency graph lacks: how dependencies that are not live ended, and the remaining
//! parts of long dependency lists.

use super::dependency_graph::RetryState;
use super::records::dependency_parts_prefix;
use super::{end_key, DependencyListRead, DependencyRequest, EndRecord, JobContext, JobRegistry};
use crate::outbox::Outbox;
use crate::port::{Entry, StoreReply, StoreRequest};
use crate::types::{JobId, Micros};
use tracing::warn;

/// Maximum number of reads of ends in flight, so that many dependencies leave store capacity for other requests.
const MAX_END_READS_IN_FLIGHT: usize = 8;
/// Maximum number of dependency lists whose read is started in one step.
const MAX_LIST_READS_PER_STEP: usize = 2;
/// Delay between a reply and the next attempt.
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
                DependencyRequest::ReadEnd { id: id.clone() },
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
                Err(e) => {
                    warn!(job = %id, %e, "can't parse the end record of a dependency; it is read again");
                }
            },
            // Another controller accepted the dependency a moment ago, and it is live now: the view will show its end.
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
            .incomplete_lists
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
            let list = DependencyListRead {
                id: id.clone(),
                version: job.version,
                entries: Vec::new(),
            };
            outbox.store(request, DependencyRequest::ReadParts(list));
        }
    }

    pub(super) fn parts_reply(
        &mut self,
        context: JobContext,
        mut list: DependencyListRead,
        reply: StoreReply,
        outbox: &mut Outbox<DependencyRequest>,
    ) {
        let Some(read) = self.graph.incomplete_lists.get_mut(&list.id) else {
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
            return outbox.store(request, DependencyRequest::ReadParts(list));
        }
        self.apply_dependency_list(context, &list.id, list.entries);
    }

    /// Adds the dependencies from the parts that the store has. If not all parts are there, the list is read again.
    fn apply_dependency_list(&mut self, context: JobContext, id: &JobId, entries: Vec<Entry>) {
        let Some(job) = self.live.get_mut(id) else {
            return;
        };
        let lists: Vec<Vec<JobId>> = entries
            .into_iter()
            .filter_map(|entry| serde_json::from_value(entry.value).ok())
            .collect();
        let expected = job.spec.dependency_parts as usize;
        if lists.len() < expected {
            let found = lists.len();
            return warn!(job = %id, found, expected, "parts of the dependency list are missing or unreadable; it is read again");
        }
        self.graph.incomplete_lists.remove(id);
        job.dependencies.list_incomplete = false;
        self.add_dependencies(context, id, lists.into_iter().flatten().collect());
        self.unblock_if_ready(context, id);
        self.queue_urgency(id);
    }
}
