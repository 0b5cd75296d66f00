//! The one owner of all state of a controller. Commands come in batches, effects go out; time is
//! given, never asked for. Same commands, same times, same effects.

use crate::fleet_duties::Duties;
use crate::format_versions::{FormatRequest, FormatVersions};
use crate::garbage_collector::{CollectionRequest, GarbageCollector};
use crate::jobs::{DependencyRequest, JobRegistry};
use crate::leader::{FencedRequest, Leader};
use crate::machine::MachineRecord;
use crate::outbox::{Outbox, Outgoing};
use crate::port::{
    CallId, ClientRequestId, CloudReply, CloudRequest, Command, Effect, Heartbeat, PeerMessage,
    Progress, StoreReply, StoreRequest, Write,
};
use crate::record::Layout;
use crate::shard::{
    machine_write, work_key, Context, Shard, ShardPhase, ShardWrite, StatusSource, WriteOutcome,
};
use crate::store_session::{SessionRequest, StoreSession};
use crate::types::{JobId, MachineId, MachineType, Micros, Resources, Settings};
use crate::user_api::{UserApi, UserRequest};
use std::collections::BTreeMap;
use std::rc::Rc;
use tracing::{info, trace, warn};

mod fleet;
mod jobs;
mod machine_types;
use machine_types::MachineTypesRequest;
mod peers;
mod writes;

/// What is known of another controller.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// When it was last heard.
    pub heard: Micros,
    /// Since when it has called itself ready.
    pub ready_since: Option<Micros>,
    /// Writes that it had waiting when it was last heard of.
    pub pending_writes: usize,
}

/// Waiting jobs that the leader is told of at once: a message between controllers has its bound.
const NEEDS_MAX: usize = 1_000;

/// What a call's answer is for.
pub(crate) enum Pending {
    Session(SessionRequest),
    User(UserRequest),
    Dependency(DependencyRequest),
    Collection(CollectionRequest),
    Format(FormatRequest),
    MachineTypes(MachineTypesRequest),
    Shard {
        shard: usize,
        version: u64,
        shard_writes: Vec<ShardWrite>,
    },
    Leader(FencedRequest),
    Duty {
        call: CallId,
    },
}

impl From<SessionRequest> for Pending {
    fn from(request: SessionRequest) -> Self {
        Pending::Session(request)
    }
}

impl From<UserRequest> for Pending {
    fn from(request: UserRequest) -> Self {
        Pending::User(request)
    }
}

impl From<DependencyRequest> for Pending {
    fn from(request: DependencyRequest) -> Self {
        Pending::Dependency(request)
    }
}

impl From<CollectionRequest> for Pending {
    fn from(request: CollectionRequest) -> Self {
        Pending::Collection(request)
    }
}

impl From<FormatRequest> for Pending {
    fn from(request: FormatRequest) -> Self {
        Pending::Format(request)
    }
}

impl From<MachineTypesRequest> for Pending {
    fn from(request: MachineTypesRequest) -> Self {
        Pending::MachineTypes(request)
    }
}

/// The scheduler of one controller: commands in, effects out.
pub struct Engine {
    pub(crate) settings: Rc<Settings>,
    pub(crate) now: Micros,
    pub(crate) wall_time: Micros,
    pub(crate) effects: Vec<Effect>,
    calls: BTreeMap<CallId, Pending>,
    next_call: CallId,
    pub(crate) store: StoreSession,
    pub(crate) jobs: JobRegistry,
    pub(crate) machines: BTreeMap<MachineId, (MachineRecord, u64)>,
    /// Since when each has been the shard's that it is.
    pub(crate) machine_since: BTreeMap<MachineId, Micros>,
    pub(crate) shards: Vec<Option<Shard>>,
    pub(crate) leader: Option<Leader>,
    /// By slot: sending time of the last state request that proved the claim with a view of
    /// cancellations as new.
    pub(crate) last_verified: Vec<Option<Micros>>,
    user_api: UserApi,
    format_versions: FormatVersions,
    pub(crate) duties: Duties,
    pub(crate) garbage_collector: GarbageCollector,
    pub(crate) types: Vec<MachineType>,
    types_busy: bool,
    types_next: Micros,
    pub(crate) peers: Vec<Peer>,
    /// When any worker was last heard of, whoever owns its machine.
    last_worker_heartbeat: Micros,
    inbound_partition_since: Option<Micros>,
    alive_next: Micros,
    leader_update_next: Micros,
    progress_next: Micros,
    last_progress: BTreeMap<JobId, Progress>,
    /// Tokens of the bucket that paces the scheduler's own writes, in thousandths.
    pub(crate) write_budget: i64,
    write_first: usize,
    /// What was last told to the others.
    pending_writes: usize,
    write_filled: Micros,
    write_rest: Micros,
    write_next: Micros,
    pub(crate) leader_work_done: i64,
}

impl Engine {
    /// A controller that has just begun: it knows nothing of what it did before.
    pub fn new(settings: Settings) -> Engine {
        let n = settings.members.len();
        Engine {
            now: Micros::ZERO,
            wall_time: Micros::ZERO,
            effects: Vec::new(),
            calls: BTreeMap::new(),
            next_call: 1,
            store: StoreSession::new(n),
            jobs: JobRegistry::default(),
            machines: BTreeMap::new(),
            machine_since: BTreeMap::new(),
            shards: (0..n).map(|_| None).collect(),
            leader: None,
            last_verified: vec![None; n + 1],
            user_api: UserApi::default(),
            format_versions: FormatVersions::default(),
            duties: Duties::new(&settings),
            garbage_collector: GarbageCollector::default(),
            types: Vec::new(),
            types_busy: false,
            types_next: Micros::ZERO,
            peers: vec![Peer::default(); n],
            last_worker_heartbeat: Micros::ZERO,
            inbound_partition_since: None,
            alive_next: Micros::ZERO,
            leader_update_next: Micros::ZERO,
            progress_next: Micros::ZERO,
            last_progress: BTreeMap::new(),
            write_budget: 0,
            write_first: 0,
            pending_writes: 0,
            write_filled: Micros::ZERO,
            write_rest: Micros::ZERO,
            write_next: Micros::ZERO,
            leader_work_done: 0,
            settings: Rc::new(settings),
        }
    }

    /// `now` is a steady clock's, `wall_time` the time of day; both only ever come from here.
    pub fn step(&mut self, now: Micros, wall_time: Micros, commands: Vec<Command>) -> Vec<Effect> {
        self.now = now;
        self.wall_time = wall_time;
        for c in commands {
            self.take(c);
        }
        self.tick();
        std::mem::take(&mut self.effects)
    }

    fn take(&mut self, command: Command) {
        match command {
            Command::Submit { to, spec } => {
                self.with_user_api(|api, context| api.submit(context, to, *spec))
            }
            Command::Poll { to, id } => {
                self.with_user_api(|api, context| api.poll(context, to, id))
            }
            Command::Cancel { to, id } => {
                self.with_user_api(|api, context| api.cancel(context, to, id))
            }
            Command::Heartbeat { to, heartbeat } => self.heartbeat(to, &heartbeat),
            Command::DirectResult {
                call,
                machine,
                outcome,
            } => {
                let shard = self.shards.iter().position(|s| {
                    s.as_ref()
                        .is_some_and(|s| s.machines.contains_key(&machine))
                });
                if let Some(k) = shard {
                    self.with_shard(k, |s, context| {
                        s.direct_result(context, call, &machine, outcome)
                    });
                }
            }
            Command::Store { call, reply } => self.store_reply(call, reply),
            Command::Cloud { call, reply } => self.cloud_reply(call, reply),
            Command::Peer { from, message } => self.peer_message(from, message),
            Command::Health { to } => {
                let yes = self.healthy();
                self.effects.push(Effect::Healthy { to, yes });
            }
        }
    }

    fn tick(&mut self) {
        self.detect_inbound_partition();
        self.store_session_tick();
        self.types_tick();
        self.format_versions_tick();
        self.duties_tick();
        for k in 0..self.shards.len() {
            self.with_shard(k, |s, context| {
                s.tick(context);
                s.run_scheduling_cycle(context);
            });
        }
        self.fill_write_budget();
        self.leader_tick();
        self.dependencies_tick();
        self.with_user_api(|api, context| api.flush(context));
        self.flush_writes();
        for k in 0..self.shards.len() {
            self.with_shard(k, |s, context| s.send_directs(context));
        }
        self.send_periodic_messages();
    }

    /// How much was looked at since the start by the shards held now and by the leader. What a step costs
    /// follows from it, and unlike time it is the same on every machine.
    pub fn work_done(&self) -> i64 {
        self.leader_work_done
            + self
                .shards
                .iter()
                .flatten()
                .map(|s| s.work_done.get())
                .sum::<i64>()
    }

    // ---- plumbing ------------------------------------------------------------------------

    pub(crate) fn lease_valid(&self, slot: usize) -> bool {
        self.last_verified[slot].is_some_and(|t| self.now - t < self.settings.verification_ttl())
    }

    pub(crate) fn with_shard<R>(
        &mut self,
        k: usize,
        f: impl FnOnce(&mut Shard, &mut Context) -> R,
    ) -> Option<R> {
        let (lease_valid, layout) = (self.lease_valid(k), self.layout());
        let settings = self.settings.clone();
        let shard = self.shards.get_mut(k)?.as_mut()?;
        let calls = &mut self.next_call;
        let types = &self.types;
        let mut context = Context {
            settings: &settings,
            now: self.now,
            wall_time: self.wall_time,
            types,
            effects: &mut self.effects,
            calls,
            lease_valid,
            layout,
        };
        Some(f(shard, &mut context))
    }

    /// How work records may be laid out now.
    pub(crate) fn layout(&self) -> Layout {
        if self.format_versions.all_read_parts(&self.settings) {
            return Layout::in_parts(self.settings.value_bytes, self.settings.txn_ops);
        }
        Layout::single(self.settings.value_bytes)
    }

    /// Hands out what an owner has put into its outbox, in that order.
    fn flush<R: Into<Pending>>(&mut self, outbox: Outbox<R>) {
        for outgoing in outbox {
            match outgoing {
                Outgoing::Store { request, pending } => self.send_to_store(request, pending),
                Outgoing::Cloud {
                    request,
                    until,
                    pending,
                } => self.send_to_cloud(request, until, pending),
                Outgoing::ShardOwner { shard, message } => self.notify_holder(shard, message),
                Outgoing::Effect(effect) => self.effects.push(effect),
            }
        }
    }

    fn format_versions_tick(&mut self) {
        if !self.store.loaded() {
            return;
        }
        let mut outbox = Outbox::new();
        self.format_versions
            .tick(&self.settings, self.now, &mut outbox);
        self.flush(outbox);
    }

    fn format_versions_reply(&mut self, request: FormatRequest, reply: StoreReply) {
        let mut outbox = Outbox::new();
        self.format_versions
            .reply(&self.settings, self.now, request, reply, &mut outbox);
        self.flush(outbox);
    }

    fn call(&mut self, pending: Pending) -> CallId {
        let id = self.next_call;
        self.next_call += 1;
        self.calls.insert(id, pending);
        id
    }

    pub(crate) fn send_to_store(&mut self, request: StoreRequest, pending: impl Into<Pending>) {
        let call = self.call(pending.into());
        self.effects.push(Effect::Store { call, request });
    }

    /// Asks the cloud; with a time, only until then.
    pub(crate) fn send_to_cloud(
        &mut self,
        request: CloudRequest,
        until: Option<Micros>,
        pending: impl Into<Pending>,
    ) {
        let call = self.call(pending.into());
        self.effects.push(Effect::Cloud {
            call,
            request,
            until,
        });
    }

    pub(crate) fn type_size(&self, kind: &str) -> Resources {
        self.types
            .iter()
            .find(|t| t.name == kind)
            .map(|t| t.size)
            .unwrap_or_default()
    }

    fn store_reply(&mut self, call: CallId, reply: StoreReply) {
        let Some(pending) = self.calls.remove(&call) else {
            return;
        };
        trace!(call, ?reply, "store replied");
        if !matches!(reply, StoreReply::Refused | StoreReply::Unknown) {
            self.store.last_reply = self.now;
        }
        match pending {
            Pending::Session(request) => self.session_reply(request, reply),
            Pending::User(request) => self.user_reply(request, reply),
            Pending::Dependency(request) => self.dependency_reply(request, reply),
            Pending::Collection(request) => self.collection_reply(request, reply),
            Pending::Format(request) => self.format_versions_reply(request, reply),
            Pending::MachineTypes(request) => self.machine_types_reply(request, reply),
            Pending::Shard {
                shard,
                version,
                shard_writes,
            } => self.shard_reply(shard, version, &shard_writes, &reply),
            Pending::Leader(request) => self.leader_store_reply(request, reply),
            Pending::Duty { call } => self.duty_reply(call, reply),
        }
    }

    fn cloud_reply(&mut self, call: CallId, reply: CloudReply) {
        match self.calls.remove(&call) {
            Some(Pending::Leader(request)) => self.leader_cloud_reply(request, reply),
            Some(Pending::MachineTypes(MachineTypesRequest::FromCloud)) => {
                self.types_busy = false;
                if let CloudReply::MachineTypes(types) = reply {
                    self.types_known(types);
                }
            }
            _ => {}
        }
    }

    // ---- machines ------------------------------------------------------------------------

    pub(crate) fn machine_changed(&mut self, id: MachineId, record: MachineRecord, version: u64) {
        let size = self.type_size(&record.kind);
        let before = self.machines.insert(id.clone(), (record.clone(), version));
        if before.is_none_or(|b| b.0.shard != record.shard) {
            self.machine_since.insert(id.clone(), self.now);
        }
        for k in 0..self.shards.len() {
            let (id, record) = (id.clone(), record.clone());
            let now = self.now;
            self.with_shard(k, |s, _| {
                if record.shard == Some(k) {
                    s.add_machine(id, record, version, size, now);
                } else {
                    s.machine_moved(&id, record, version);
                }
            });
        }
    }

    pub(crate) fn machine_vanished(&mut self, id: &MachineId) {
        self.machines.remove(id);
        self.machine_since.remove(id);
        for k in 0..self.shards.len() {
            self.with_shard(k, |s, context| s.machine_deleted(context, id));
        }
    }

    /// Answers a worker's report: with orders if its machine is ours and the claim stands, else by
    /// naming the owner.
    fn heartbeat(&mut self, to: ClientRequestId, heartbeat: &Heartbeat) {
        self.last_worker_heartbeat = self.now;
        let owner = self
            .machines
            .get(&heartbeat.machine)
            .and_then(|m| m.0.shard);
        let Some(k) = owner else {
            return self.effects.push(Effect::Redirect { to, member: None });
        };
        let lease_valid = self.lease_valid(k);
        if self.shards[k].is_none() {
            let member = self.store.claims[k]
                .as_ref()
                .map(|c| c.member)
                .filter(|m| *m != self.settings.me);
            return self.effects.push(Effect::Redirect { to, member });
        }
        let now = self.now;
        let held = self.shards[k].as_ref();
        let known = held.and_then(|s| {
            Some((
                s.machines.get(&heartbeat.machine)?.fencing_token(s.version),
                s.claimed_at,
            ))
        });
        if let Some((_, claimed_at)) = known.filter(|k| k.0 < heartbeat.fencing_token) {
            // Somebody newer commands it, and would wait for its lease to end if we held it here. Where
            // our claim was not proven for as long as it could last alone, that is lost as a whole.
            let last_verified = self.last_verified[k].unwrap_or(claimed_at);
            if now - last_verified > self.settings.tuning.claim_ttl {
                self.drop_claim(k, "a worker has seen a newer token");
            }
            return self.effects.push(Effect::Redirect { to, member: None });
        }
        let orders = self.with_shard(k, |s, context| {
            let m = s.machines.get(&heartbeat.machine)?;
            if !lease_valid
                || (m.ignores_replies() && heartbeat.fencing_token != m.fencing_token(s.version))
            {
                return None;
            }
            let ready = s.phase == ShardPhase::Ready;
            if !s.apply_heartbeat(context, heartbeat, StatusSource::WorkerHeartbeat) {
                return None;
            }
            let orders = if ready {
                s.orders(context, heartbeat)
            } else {
                Vec::new()
            };
            let m = s.machines.get_mut(&heartbeat.machine)?;
            m.reply_sent(now, s.version);
            Some((m.fencing_token(s.version), orders))
        });
        match orders.flatten() {
            Some((fencing_token, orders)) => self.effects.push(Effect::HeartbeatReply {
                to,
                fencing_token,
                orders,
            }),
            None => self.effects.push(Effect::Redirect { to, member: None }),
        }
    }
}
