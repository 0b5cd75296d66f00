//! The scheduler of one controller as a deterministic state machine: each step takes a batch of commands and the
//! current time and returns effects. The same commands at the same times give the same effects.
//!
//! The engine routes commands and replies to its components, sends their requests in order, and passes on their events.

use crate::fleet_duties::Duties;
use crate::format_versions::{FormatRequest, FormatVersions};
use crate::garbage_collector::GarbageCollector;
use crate::jobs::JobRegistry;
use crate::known_machine::KnownMachine;
use crate::leader::Leader;
use crate::machine_types::{MachineTypes, MachineTypesRequest};
use crate::outbox::{Outbox, Outgoing};
use crate::port::{
    CallId, CloudReply, CloudRequest, Command, DirectOutcome, Effect, StoreReply, StoreRequest,
};
use crate::record::Layout;
use crate::shard::{Context, Shard};
use crate::store_session::{ClaimId, StoreSession};
use crate::types::{MachineId, Micros, Settings};
use crate::user_api::UserApi;
use crate::write_pacing::WritePacer;
use std::collections::BTreeMap;
use std::rc::Rc;
use tracing::trace;

mod fleet;
mod health;
mod jobs;
mod machines;
mod messages;
mod peers;
mod pending;
mod session;
mod transactions;
mod writes;

use health::InboundPartition;
use messages::PeriodicMessages;
use peers::Peers;
pub(crate) use pending::Pending;

/// The scheduler of one controller, which turns commands into effects.
pub struct Engine {
    settings: Rc<Settings>,
    now: Micros,
    wall_time: Micros,
    effects: Vec<Effect>,
    pending_calls: BTreeMap<CallId, Pending>,
    next_call: CallId,
    store: StoreSession,
    jobs: JobRegistry,
    machines: BTreeMap<MachineId, KnownMachine>,
    shards: Vec<Option<Shard>>,
    leader: Option<Leader>,
    user_api: UserApi,
    format_versions: FormatVersions,
    duties: Duties,
    garbage_collector: GarbageCollector,
    machine_types: MachineTypes,
    peers: Peers,
    inbound_partition: InboundPartition,
    periodic_messages: PeriodicMessages,
    write_pacer: WritePacer,
    leader_items_examined: i64,
}

impl Engine {
    /// Creates the engine of a controller that has just started, without any state of an earlier process.
    pub fn new(settings: Settings) -> Engine {
        let members = settings.members.len();
        Engine {
            now: Micros::ZERO,
            wall_time: Micros::ZERO,
            effects: Vec::new(),
            pending_calls: BTreeMap::new(),
            next_call: 1,
            store: StoreSession::new(members),
            jobs: JobRegistry::default(),
            machines: BTreeMap::new(),
            shards: (0..members).map(|_| None).collect(),
            leader: None,
            user_api: UserApi::default(),
            format_versions: FormatVersions::default(),
            duties: Duties::new(&settings),
            garbage_collector: GarbageCollector::default(),
            machine_types: MachineTypes::default(),
            peers: Peers::new(settings.member_index, members),
            inbound_partition: InboundPartition::default(),
            periodic_messages: PeriodicMessages::default(),
            write_pacer: WritePacer::default(),
            leader_items_examined: 0,
            settings: Rc::new(settings),
        }
    }

    /// Handles a batch of commands and returns the resulting effects. `now` is read from a monotonic clock, `wall_time`
    /// is the time of day; the engine itself reads no clock.
    pub fn step(&mut self, now: Micros, wall_time: Micros, commands: Vec<Command>) -> Vec<Effect> {
        self.now = now;
        self.wall_time = wall_time;
        for command in commands {
            self.dispatch(command);
        }
        self.tick();
        std::mem::take(&mut self.effects)
    }

    fn dispatch(&mut self, command: Command) {
        match command {
            Command::Submit { to, spec } => {
                self.with_user_api(|api, context| api.submit(context, to, *spec));
            }
            Command::Poll { to, id } => {
                self.with_user_api(|api, context| api.poll(context, to, id));
            }
            Command::Cancel { to, id } => {
                self.with_user_api(|api, context| api.cancel(context, to, id));
            }
            Command::Heartbeat { to, heartbeat } => self.heartbeat(to, &heartbeat),
            Command::DirectResult {
                call,
                machine,
                outcome,
            } => self.apply_direct_outcome(call, &machine, outcome),
            Command::Store { call, reply } => self.store_reply(call, reply),
            Command::Cloud { call, reply } => self.cloud_reply(call, reply),
            Command::Peer { from, message } => self.peer_message(from, message),
            Command::HealthCheck { to } => {
                let ready = self.healthy();
                self.effects.push(Effect::HealthReply { to, ready });
            }
        }
    }

    fn apply_direct_outcome(&mut self, call: CallId, machine: &MachineId, outcome: DirectOutcome) {
        let holds_machine = |shard: &Option<Shard>| {
            shard
                .as_ref()
                .is_some_and(|shard| shard.machines.contains_key(machine))
        };
        if let Some(shard) = self.shards.iter().position(holds_machine) {
            self.with_shard(shard, |s, context| {
                s.apply_direct_outcome(context, call, machine, outcome);
            });
        }
    }

    fn tick(&mut self) {
        self.detect_inbound_partition();
        self.store_session_tick();
        self.machine_types_tick();
        self.format_versions_tick();
        self.duties_tick();
        self.propagate_urgency();
        for shard in 0..self.shards.len() {
            self.with_shard(shard, |s, context| {
                s.tick(context);
                s.run_scheduling_cycle(context);
            });
        }
        self.refill_write_budget();
        self.leader_tick();
        self.dependencies_tick();
        self.with_user_api(|api, context| api.flush(context));
        self.flush_writes();
        for shard in 0..self.shards.len() {
            self.with_shard(shard, |s, context| s.send_direct_commands(context));
        }
        self.send_periodic_messages();
    }

    /// Number of items examined since the start by the leader, by the job registry and by the shards that are held now.
    /// It determines the cost of steps and, unlike time, is the same on every computer.
    pub fn items_examined(&self) -> i64 {
        self.leader_items_examined
            + self.jobs.items_examined
            + self
                .shards
                .iter()
                .flatten()
                .map(|s| s.items_examined.get())
                .sum::<i64>()
    }

    /// Calls a shard with its context. None if the shard is not held here.
    fn with_shard<R>(
        &mut self,
        shard: usize,
        call: impl FnOnce(&mut Shard, &mut Context) -> R,
    ) -> Option<R> {
        let claim_verified = self.claim_verified(ClaimId::Shard(shard));
        let token_limit = self.store.token_limit(ClaimId::Shard(shard));
        let layout = self.layout();
        let settings = self.settings.clone();
        let shard = self.shards.get_mut(shard)?.as_mut()?;
        let mut context = Context {
            settings: &settings,
            now: self.now,
            wall_time: self.wall_time,
            types: self.machine_types.all(),
            effects: &mut self.effects,
            next_call: &mut self.next_call,
            claim_verified,
            token_limit: token_limit.unwrap_or(0),
            layout,
        };
        Some(call(shard, &mut context))
    }

    /// The layout that new work records may use now.
    fn layout(&self) -> Layout {
        if self.format_versions.all_read_parts(&self.settings) {
            return Layout::in_parts(self.settings.value_bytes, self.settings.max_txn_changes);
        }
        Layout::single(self.settings.value_bytes)
    }

    /// Sends the contents of a component's outbox, in order.
    fn send_outbox<R: Into<Pending>>(&mut self, outbox: Outbox<R>) {
        for outgoing in outbox {
            match outgoing {
                Outgoing::Store { request, pending } => self.send_to_store(request, pending),
                Outgoing::Cloud {
                    request,
                    until,
                    pending,
                } => self.send_to_cloud(request, until, pending),
                Outgoing::ShardHolder { shard, message } => self.notify_holder(shard, message),
                Outgoing::Effect(effect) => self.effects.push(effect),
            }
        }
    }

    fn machine_types_tick(&mut self) {
        let mut outbox = Outbox::new();
        self.machine_types.tick(self.now, &mut outbox);
        self.send_outbox(outbox);
    }

    /// Handles a reply of the store; replies of the cloud API go to [`Engine::cloud_reply`].
    fn machine_types_reply(&mut self, request: MachineTypesRequest, reply: StoreReply) {
        let MachineTypesRequest::FromStore = request else {
            return;
        };
        let mut outbox = Outbox::new();
        let event = self.machine_types.store_reply(reply, &mut outbox);
        self.send_outbox(outbox);
        self.machine_types_event(event);
    }

    fn format_versions_tick(&mut self) {
        if !self.store.loaded() {
            return;
        }
        let mut outbox = Outbox::new();
        self.format_versions
            .tick(&self.settings, self.now, &mut outbox);
        self.send_outbox(outbox);
    }

    fn format_versions_reply(&mut self, request: FormatRequest, reply: StoreReply) {
        let mut outbox = Outbox::new();
        self.format_versions
            .reply(&self.settings, self.now, request, reply, &mut outbox);
        self.send_outbox(outbox);
    }

    /// Registers a new call and returns its id.
    fn register_call(&mut self, pending: Pending) -> CallId {
        let id = self.next_call;
        self.next_call += 1;
        self.pending_calls.insert(id, pending);
        id
    }

    /// Sends a request to the store.
    fn send_to_store(&mut self, request: StoreRequest, pending: impl Into<Pending>) {
        let call = self.register_call(pending.into());
        self.effects.push(Effect::Store { call, request });
    }

    /// Sends a request to the cloud API that must not be sent at or after `until`.
    fn send_to_cloud(
        &mut self,
        request: CloudRequest,
        until: Option<Micros>,
        pending: impl Into<Pending>,
    ) {
        let call = self.register_call(pending.into());
        self.effects.push(Effect::Cloud {
            call,
            request,
            until,
        });
    }

    /// Passes a reply of the store to the component that sent the request.
    fn store_reply(&mut self, call: CallId, reply: StoreReply) {
        let Some(pending) = self.pending_calls.remove(&call) else {
            return;
        };
        trace!(call, ?reply, "store replied");
        if !matches!(reply, StoreReply::Refused | StoreReply::Unknown) {
            self.store.store_replied(self.now);
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

    /// Passes a reply of the cloud API to the component that sent the request.
    fn cloud_reply(&mut self, call: CallId, reply: CloudReply) {
        match self.pending_calls.remove(&call) {
            Some(Pending::Leader(request)) => self.leader_cloud_reply(request, reply),
            Some(Pending::MachineTypes(MachineTypesRequest::FromCloud)) => {
                let event = self.machine_types.cloud_reply(reply);
                self.machine_types_event(event);
            }
            _ => {}
        }
    }
}
