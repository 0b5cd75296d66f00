//! Views of what is stored: each is read once and then kept up by long-lived watch requests.

use super::claim::{Claim, ClaimId, ClaimValue};
use super::{SessionContext, SessionEvent, SessionRequest, StoreSession, RETRY_INTERVAL};
use crate::machine::MachineRecord;
use crate::port::{StoreReply, StoreRequest};
use crate::types::{JobId, JobSpec, MachineId, Micros};
use seamfront_lease::view::{Change, View, ViewUpdate};
use std::collections::BTreeSet;
use std::rc::Rc;
use tracing::warn;

/// How long the store may hold a watch request while nothing changes.
const WATCH_HOLD: Micros = Micros::from_secs(20);

/// What a view is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Topic {
    /// Live jobs.
    Jobs,
    /// Machines.
    Machines,
    /// Claims on shards.
    Shards,
    /// The claim to leadership.
    Leader,
}

impl Topic {
    /// All views, in the order of their watches.
    pub(super) const ALL: [Topic; 4] = [Topic::Jobs, Topic::Machines, Topic::Shards, Topic::Leader];

    fn prefix(self) -> &'static str {
        match self {
            Topic::Jobs => "job/",
            Topic::Machines => "machine/",
            Topic::Shards => "share/",
            Topic::Leader => "leader",
        }
    }

    fn name_in(self, key: &str) -> &str {
        key.strip_prefix(self.prefix()).unwrap_or(key)
    }
}

/// A view of all keys with one prefix, and the request that keeps it up.
#[derive(Debug, Default)]
pub(super) struct Watch {
    view: View,
    request_in_flight: bool,
    retry_at: Micros,
}

impl Watch {
    /// Whether all keys have been read once.
    pub(super) fn loaded(&self) -> bool {
        self.view.loaded()
    }

    /// The revision up to which all changes are in.
    pub(super) fn revision(&self) -> u64 {
        self.view.revision()
    }

    /// Whether the view is loaded and as new as this revision.
    pub(super) fn reaches(&self, revision: u64) -> bool {
        self.loaded() && self.revision() >= revision
    }
}

impl StoreSession {
    pub(super) fn watch(&self, topic: Topic) -> &Watch {
        &self.watches[topic as usize]
    }

    fn watch_mut(&mut self, topic: Topic) -> &mut Watch {
        &mut self.watches[topic as usize]
    }

    /// A request for the changes after the view's revision that is answered at once.
    pub(crate) fn changes_request(&self, topic: Topic) -> StoreRequest {
        StoreRequest::Watch {
            prefix: topic.prefix().to_owned(),
            after: self.watch(topic).revision(),
            wait: Micros::ZERO,
        }
    }

    pub(super) fn watch_tick(&mut self, context: &mut SessionContext, topic: Topic) {
        let watch = self.watch_mut(topic);
        if watch.request_in_flight || context.now < watch.retry_at {
            return;
        }
        watch.request_in_flight = true;
        let request = watch.view.request(topic.prefix(), WATCH_HOLD);
        context.outbox.store(request, SessionRequest::Watch(topic));
    }

    pub(super) fn watch_reply(
        &mut self,
        context: &mut SessionContext,
        topic: Topic,
        reply: StoreReply,
    ) {
        let now = context.now;
        let pause = context.settings.ask_every();
        let watch = self.watch_mut(topic);
        watch.request_in_flight = false;
        let update = watch.view.handle_reply(reply);
        watch.retry_at = match &update {
            ViewUpdate::Failed => now + RETRY_INTERVAL,
            // Not reopened at once: every change would cost each controller a request.
            ViewUpdate::Changed { .. } | ViewUpdate::TooOld => now + pause,
            ViewUpdate::Partial | ViewUpdate::Read { .. } => now,
        };
        self.view_updated(context, topic, update);
    }

    /// Takes in the reply to [`StoreSession::changes_request`]. True if it was usable.
    pub(crate) fn apply_changes(
        &mut self,
        context: &mut SessionContext,
        topic: Topic,
        reply: StoreReply,
    ) -> bool {
        let update = self.watch_mut(topic).view.handle_reply(reply);
        let usable = matches!(update, ViewUpdate::Changed { .. } | ViewUpdate::TooOld);
        self.view_updated(context, topic, update);
        usable
    }

    fn view_updated(&mut self, context: &mut SessionContext, topic: Topic, update: ViewUpdate) {
        match update {
            ViewUpdate::Changed { changes, revision } => {
                for change in changes {
                    self.entry_changed(context, topic, change);
                }
                self.watch_mut(topic).view.mark_applied(revision);
            }
            ViewUpdate::Read { entries, revision } => {
                self.remove_absent(context, topic, &entries, revision);
                for entry in entries {
                    self.entry_changed(context, topic, entry);
                }
            }
            ViewUpdate::TooOld => warn!(
                prefix = topic.prefix(),
                "revision compacted; reading the view anew"
            ),
            ViewUpdate::Failed | ViewUpdate::Partial => {}
        }
    }

    /// What was known and is not in a whole reading is gone.
    fn remove_absent(
        &mut self,
        context: &mut SessionContext,
        topic: Topic,
        entries: &[Change],
        revision: u64,
    ) {
        let names = entries.iter().map(|entry| topic.name_in(&entry.key));
        match topic {
            Topic::Jobs => {
                let present = names.map(JobId::from).collect();
                context.events.push(SessionEvent::JobsRead { present });
            }
            Topic::Machines => {
                let present = names.map(MachineId::from).collect();
                context.events.push(SessionEvent::MachinesRead { present });
            }
            Topic::Shards | Topic::Leader => {
                let present: BTreeSet<&str> =
                    entries.iter().map(|entry| entry.key.as_str()).collect();
                for claim in self.claim_ids() {
                    let viewed = (claim == ClaimId::Leader) == (topic == Topic::Leader);
                    if viewed && !present.contains(claim.to_string().as_str()) {
                        self.claim_changed(context, claim, None, revision);
                    }
                }
            }
        }
    }

    fn entry_changed(&mut self, context: &mut SessionContext, topic: Topic, change: Change) {
        let name = topic.name_in(&change.key);
        let version = change.version;
        match topic {
            Topic::Jobs => match change.value.map(serde_json::from_value::<JobSpec>) {
                Some(Ok(spec)) => context.events.push(SessionEvent::JobChanged {
                    spec: Rc::new(spec),
                    version,
                }),
                Some(Err(e)) => warn!(job = name, %e, "unreadable job record"),
                None => context
                    .events
                    .push(SessionEvent::JobRemoved(JobId::from(name))),
            },
            Topic::Machines => {
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
            Topic::Shards => {
                if let Some(claim) = self.claim_with_number(name) {
                    self.claim_entry_changed(context, claim, change.value, version);
                }
            }
            Topic::Leader => {
                self.claim_entry_changed(context, ClaimId::Leader, change.value, version);
            }
        }
    }

    /// The claim that `share/<number>` stands for. One past the last shard has always been taken for leadership.
    fn claim_with_number(&self, number: &str) -> Option<ClaimId> {
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
