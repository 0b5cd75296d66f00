//! Views of key ranges of the store: each is read once and then kept up to date by watch requests.

use super::claim::{Claim, ClaimId, ClaimValue};
use super::{SessionContext, SessionEvent, SessionRequest, StoreSession, RETRY_INTERVAL};
use crate::machine::MachineRecord;
use crate::port::{StoreReply, StoreRequest};
use crate::types::{JobId, JobSpec, MachineId, Micros};
use seamfront_lease::view::{Change, View, ViewUpdate};
use std::collections::BTreeSet;
use std::rc::Rc;
use tracing::warn;

/// How long the store may wait for a change before it replies to a watch request.
const WATCH_MAX_WAIT: Micros = Micros::from_secs(20);
/// The same for machines: fencing tokens are raised to revisions that this view has reached.
const MACHINE_WATCH_MAX_WAIT: Micros = Micros::from_secs(2);

/// Identifies a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ViewId {
    /// Live jobs.
    Jobs,
    /// Machines.
    Machines,
    /// Claims on shards.
    Shards,
    /// The claim to leadership.
    Leader,
}

impl ViewId {
    /// All views, in the order of [`StoreSession::watches`].
    pub(super) const ALL: [ViewId; 4] = [
        ViewId::Jobs,
        ViewId::Machines,
        ViewId::Shards,
        ViewId::Leader,
    ];

    fn prefix(self) -> &'static str {
        match self {
            ViewId::Jobs => "job/",
            ViewId::Machines => "machine/",
            ViewId::Shards => "share/",
            ViewId::Leader => "leader",
        }
    }

    fn max_wait(self) -> Micros {
        match self {
            ViewId::Machines => MACHINE_WATCH_MAX_WAIT,
            ViewId::Jobs | ViewId::Shards | ViewId::Leader => WATCH_MAX_WAIT,
        }
    }

    /// The key without the prefix of the view.
    fn strip_prefix(self, key: &str) -> &str {
        key.strip_prefix(self.prefix()).unwrap_or(key)
    }
}

/// A view of all keys with one prefix, and the state of the request that keeps it up to date.
#[derive(Debug, Default)]
pub(super) struct Watch {
    view: View,
    request_in_flight: bool,
    retry_at: Micros,
}

impl Watch {
    /// Whether the view has been read completely.
    pub(super) fn loaded(&self) -> bool {
        self.view.loaded()
    }

    /// Revision up to which the view contains all changes.
    pub(super) fn revision(&self) -> u64 {
        self.view.revision()
    }

    /// Whether the view is loaded and at least as new as this revision.
    pub(super) fn reaches(&self, revision: u64) -> bool {
        self.loaded() && self.revision() >= revision
    }
}

impl StoreSession {
    pub(super) fn watch(&self, view_id: ViewId) -> &Watch {
        &self.watches[view_id as usize]
    }

    fn watch_mut(&mut self, view_id: ViewId) -> &mut Watch {
        &mut self.watches[view_id as usize]
    }

    /// A request for the changes after the view's revision, to which the store replies without waiting.
    pub(crate) fn changes_request(&self, view_id: ViewId) -> StoreRequest {
        StoreRequest::Watch {
            prefix: view_id.prefix().to_owned(),
            after: self.watch(view_id).revision(),
            wait: Micros::ZERO,
        }
    }

    pub(super) fn watch_tick(&mut self, context: &mut SessionContext, view_id: ViewId) {
        let watch = self.watch_mut(view_id);
        if watch.request_in_flight || context.now < watch.retry_at {
            return;
        }
        watch.request_in_flight = true;
        let request = watch.view.request(view_id.prefix(), view_id.max_wait());
        context
            .outbox
            .store(request, SessionRequest::Watch(view_id));
    }

    pub(super) fn watch_reply(
        &mut self,
        context: &mut SessionContext,
        view_id: ViewId,
        reply: StoreReply,
    ) {
        let now = context.now;
        let pause = context.settings.min_request_interval();
        let watch = self.watch_mut(view_id);
        watch.request_in_flight = false;
        let update = watch.view.handle_reply(reply);
        watch.retry_at = match &update {
            ViewUpdate::Failed => now + RETRY_INTERVAL,
            // The next watch starts after a pause: otherwise every single change would cost each controller a request.
            ViewUpdate::Changed { .. } | ViewUpdate::Compacted => now + pause,
            ViewUpdate::Partial | ViewUpdate::Read { .. } => now,
        };
        self.view_updated(context, view_id, update);
    }

    /// Applies the reply to [`StoreSession::changes_request`]. True if the reply was usable.
    pub(crate) fn apply_changes(
        &mut self,
        context: &mut SessionContext,
        view_id: ViewId,
        reply: StoreReply,
    ) -> bool {
        let update = self.watch_mut(view_id).view.handle_reply(reply);
        let usable = matches!(update, ViewUpdate::Changed { .. } | ViewUpdate::Compacted);
        self.view_updated(context, view_id, update);
        usable
    }

    fn view_updated(&mut self, context: &mut SessionContext, view_id: ViewId, update: ViewUpdate) {
        match update {
            ViewUpdate::Changed { changes, revision } => {
                for change in changes {
                    self.entry_changed(context, view_id, change);
                }
                self.watch_mut(view_id).view.mark_applied(revision);
            }
            ViewUpdate::Read { entries, revision } => {
                self.remove_absent(context, view_id, &entries, revision);
                for entry in entries {
                    self.entry_changed(context, view_id, entry);
                }
            }
            ViewUpdate::Compacted => warn!(
                prefix = view_id.prefix(),
                "revision compacted; reading the view anew"
            ),
            ViewUpdate::Failed | ViewUpdate::Partial => {}
        }
    }

    /// Reports the removal of everything that a complete read of the view does not contain.
    fn remove_absent(
        &mut self,
        context: &mut SessionContext,
        view_id: ViewId,
        entries: &[Change],
        revision: u64,
    ) {
        let names = entries.iter().map(|entry| view_id.strip_prefix(&entry.key));
        match view_id {
            ViewId::Jobs => {
                let present = names.map(JobId::from).collect();
                context.events.push(SessionEvent::JobsRead { present });
            }
            ViewId::Machines => {
                let present = names.map(MachineId::from).collect();
                context.events.push(SessionEvent::MachinesRead { present });
            }
            ViewId::Shards | ViewId::Leader => {
                let present: BTreeSet<&str> =
                    entries.iter().map(|entry| entry.key.as_str()).collect();
                for claim in self.claim_ids() {
                    let in_view = (claim == ClaimId::Leader) == (view_id == ViewId::Leader);
                    if in_view && !present.contains(claim.to_string().as_str()) {
                        self.claim_changed(context, claim, None, revision);
                    }
                }
            }
        }
    }

    fn entry_changed(&mut self, context: &mut SessionContext, view_id: ViewId, change: Change) {
        let name = view_id.strip_prefix(&change.key);
        let version = change.version;
        match view_id {
            ViewId::Jobs => match change.value.map(serde_json::from_value::<JobSpec>) {
                Some(Ok(spec)) => context.events.push(SessionEvent::JobChanged {
                    spec: Rc::new(spec),
                    version,
                }),
                Some(Err(e)) => warn!(job = name, %e, "unreadable job record"),
                None => context
                    .events
                    .push(SessionEvent::JobRemoved(JobId::from(name))),
            },
            ViewId::Machines => {
                let id = MachineId::from(name);
                match change.value.map(serde_json::from_value::<MachineRecord>) {
                    Some(Ok(record)) => context.events.push(SessionEvent::MachineChanged {
                        id,
                        record,
                        version,
                    }),
                    Some(Err(e)) => warn!(machine = name, %e, "unreadable machine record"),
                    None => context.events.push(SessionEvent::MachineRemoved(id)),
                }
            }
            ViewId::Shards => {
                if let Some(claim) = self.claim_by_number(name) {
                    self.claim_entry_changed(context, claim, change.value, version);
                }
            }
            ViewId::Leader => {
                self.claim_entry_changed(context, ClaimId::Leader, change.value, version);
            }
        }
    }

    /// The claim of the key `share/<number>`. The number after the last shard denotes leadership, as in all earlier
    /// versions.
    fn claim_by_number(&self, number: &str) -> Option<ClaimId> {
        let number: usize = number.parse().ok()?;
        match number.cmp(&self.shard_claims.len()) {
            std::cmp::Ordering::Less => Some(ClaimId::Shard(number)),
            std::cmp::Ordering::Equal => Some(ClaimId::Leader),
            std::cmp::Ordering::Greater => None,
        }
    }

    fn claim_entry_changed(
        &mut self,
        context: &mut SessionContext,
        claim: ClaimId,
        value: Option<serde_json::Value>,
        version: u64,
    ) {
        let members = &context.settings.members;
        let seen = value
            .and_then(|value| serde_json::from_value::<ClaimValue>(value).ok())
            .and_then(|value| {
                let member = members.iter().position(|name| *name == value.member)?;
                Some(Claim {
                    version,
                    member,
                    lease: value.lease,
                })
            });
        self.claim_changed(context, claim, seen, version);
    }
}
