//! The one owner of all state of a controller. Commands come in batches, effects go out; time is
//! given, never asked for. Same commands, same times, same effects.

use crate::chains::{Chain, Chains, Question};
use crate::cleaning::Cleaning;
use crate::fleet::MachineRecord;
use crate::formats::Formats;
use crate::leader::{Leader, LeaderCall};
use crate::port::*;
use crate::record::Layout;
use crate::shard::*;
use crate::store_session::StoreSession;
use crate::types::*;
use crate::users::{EndRecord, Users, Wish};
use seamfront_lease::DutyManager;
use std::collections::BTreeMap;
use std::rc::Rc;
use tracing::{info, trace, warn};

mod peers;
mod writes;

/// A live job in this controller's view.
#[derive(Clone, Debug)]
pub struct LiveJob {
    /// The job as it was accepted.
    pub spec: Rc<JobSpec>,
    /// Version of `job/<id>`, which is written once only.
    pub version: u64,
    /// The shard of its team.
    pub shard: usize,
    /// Its place in its chain.
    pub chain: Chain,
}

/// What is known of another controller.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// When it was last heard.
    pub heard: Micros,
    /// Since when it has called itself ready.
    pub ready_since: Option<Micros>,
    /// Writes that it had waiting when it was last heard of.
    pub awaited: usize,
}

/// Waiting jobs that the leader is told of at once: a message between controllers has its bound.
const NEEDS_MAX: usize = 1_000;

/// What a call's answer is for.
pub(crate) enum Pending {
    Grant,
    Renew,
    Watch(usize),
    Claim {
        slot: usize,
        lease: u64,
    },
    HandBack {
        slot: usize,
        version: u64,
    },
    Prove {
        sent: Micros,
        claims: Vec<(usize, u64)>,
    },
    ProveView {
        sent: Micros,
        claims: Vec<(usize, u64)>,
        revision: u64,
    },
    Fleet {
        shard: usize,
        version: u64,
    },
    Records {
        shard: usize,
        version: u64,
    },
    Shard {
        shard: usize,
        version: u64,
        writes: Vec<ShardWrite>,
    },
    Submit {
        batch: Vec<(ReplyTo, Rc<JobSpec>)>,
    },
    VerifyUnknown {
        to: ReplyTo,
        spec: Rc<JobSpec>,
        why: Impossible,
        end: bool,
    },
    NeedKnown {
        to: ReplyTo,
        spec: Rc<JobSpec>,
        left: Vec<JobId>,
        end: bool,
    },
    NeedsWritten {
        to: ReplyTo,
        spec: Rc<JobSpec>,
        parts: Vec<Vec<JobId>>,
        next: usize,
    },
    SubmitCancelled {
        to: ReplyTo,
        spec: Rc<JobSpec>,
    },
    NeedsRead {
        id: JobId,
        version: u64,
        got: Vec<Entry>,
    },
    NeedEnd {
        id: JobId,
    },
    Orphans {
        ids: Vec<JobId>,
    },
    Confirm {
        polls: Vec<(ReplyTo, JobId)>,
    },
    Refresh {
        polls: Vec<Question>,
        revision: u64,
    },
    LookUp {
        to: ReplyTo,
        id: JobId,
        wish: Wish,
    },
    LookUpEnd {
        to: ReplyTo,
        id: JobId,
    },
    Cancel {
        to: ReplyTo,
        id: JobId,
        end: EndRecord,
    },
    Leader {
        version: u64,
        call: LeaderCall,
    },
    Duty {
        call: CallId,
    },
    Leftovers,
    LeftoverEnd,
    FormatsRead,
    FormatWritten,
    TypesRead,
    TypesAsked,
}

/// The scheduler of one controller: commands in, effects out.
pub struct Engine {
    pub(crate) cfg: Rc<Settings>,
    pub(crate) now: Micros,
    pub(crate) wall: Micros,
    pub(crate) effects: Vec<Effect>,
    calls: BTreeMap<CallId, Pending>,
    next_call: CallId,
    pub(crate) store: StoreSession,
    pub(crate) jobs: BTreeMap<JobId, LiveJob>,
    pub(crate) machines: BTreeMap<MachineId, (MachineRecord, u64)>,
    /// Since when each has been the shard's that it is.
    pub(crate) machine_since: BTreeMap<MachineId, Micros>,
    pub(crate) shards: Vec<Option<Shard>>,
    pub(crate) leader: Option<Leader>,
    /// By slot: sending time of the last state request that proved the claim with a view of
    /// cancellations as new.
    pub(crate) proven: Vec<Option<Micros>>,
    pub(crate) users: Users,
    pub(crate) chains: Chains,
    pub(crate) formats: Formats,
    /// Where duties are on.
    pub(crate) duties: Option<DutyManager>,
    pub(crate) cleaning: Cleaning,
    pub(crate) types: Vec<MachineType>,
    types_busy: bool,
    types_next: Micros,
    pub(crate) peers: Vec<Peer>,
    /// When any worker was last heard of, whoever owns its machine.
    last_hello: Micros,
    deaf_since: Option<Micros>,
    alive_next: Micros,
    tell_next: Micros,
    progress_next: Micros,
    told: BTreeMap<JobId, (u32, u32)>,
    /// Tokens of the bucket that paces the scheduler's own writes, in thousandths.
    pub(crate) write_budget: i64,
    write_first: usize,
    /// What was last told to the others.
    awaited: usize,
    write_filled: Micros,
    write_rest: Micros,
    write_next: Micros,
    pub(crate) leader_looked: i64,
}

impl Engine {
    /// A controller that has just begun: it knows nothing of what it did before.
    pub fn new(cfg: Settings) -> Engine {
        let n = cfg.members.len();
        Engine {
            now: Micros::ZERO,
            wall: Micros::ZERO,
            effects: Vec::new(),
            calls: BTreeMap::new(),
            next_call: 1,
            store: StoreSession::new(n),
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            machine_since: BTreeMap::new(),
            shards: (0..n).map(|_| None).collect(),
            leader: None,
            proven: vec![None; n + 1],
            users: Users::default(),
            chains: Chains::default(),
            formats: Formats::default(),
            duties: crate::duties::manager(&cfg),
            cleaning: Cleaning::default(),
            types: Vec::new(),
            types_busy: false,
            types_next: Micros::ZERO,
            peers: vec![Peer::default(); n],
            last_hello: Micros::ZERO,
            deaf_since: None,
            alive_next: Micros::ZERO,
            tell_next: Micros::ZERO,
            progress_next: Micros::ZERO,
            told: BTreeMap::new(),
            write_budget: 0,
            write_first: 0,
            awaited: 0,
            write_filled: Micros::ZERO,
            write_rest: Micros::ZERO,
            write_next: Micros::ZERO,
            leader_looked: 0,
            cfg: Rc::new(cfg),
        }
    }

    /// `now` is a steady clock's, `wall` the time of day; both only ever come from here.
    pub fn step(&mut self, now: Micros, wall: Micros, commands: Vec<Command>) -> Vec<Effect> {
        self.now = now;
        self.wall = wall;
        for c in commands {
            self.take(c);
        }
        self.tick();
        std::mem::take(&mut self.effects)
    }

    fn take(&mut self, command: Command) {
        match command {
            Command::Submit { to, spec } => self.submit(to, *spec),
            Command::Poll { to, id } => self.poll(to, id),
            Command::Cancel { to, id } => self.cancel(to, id),
            Command::Report { to, report } => self.report(to, &report),
            Command::Direct {
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
            Command::State { call, reply } => self.state_reply(call, reply),
            Command::Cloud { call, reply } => self.cloud_reply(call, reply),
            Command::Mesh { from, message } => self.mesh(from, message),
            Command::Health { to } => {
                let yes = self.healthy();
                self.effects.push(Effect::Healthy { to, yes });
            }
        }
    }

    fn tick(&mut self) {
        self.listen();
        self.store_session_tick();
        self.types_tick();
        self.formats_tick();
        self.duties_tick();
        for k in 0..self.shards.len() {
            self.with_shard(k, |s, context| {
                s.tick(context);
                s.round(context);
            });
        }
        self.fill_write_budget();
        self.leader_tick();
        self.chains_tick();
        self.users_flush();
        self.flush_writes();
        for k in 0..self.shards.len() {
            self.with_shard(k, |s, context| s.send_directs(context));
        }
        self.talk();
    }

    /// How much was looked at since the start by the shards held now and by the leader. What a step costs
    /// follows from it, and unlike time it is the same on every machine.
    pub fn looked(&self) -> i64 {
        self.leader_looked
            + self
                .shards
                .iter()
                .flatten()
                .map(|s| s.looked.get())
                .sum::<i64>()
    }

    // ---- plumbing ------------------------------------------------------------------------

    pub(crate) fn acting(&self, slot: usize) -> bool {
        self.proven[slot].is_some_and(|t| self.now - t < self.cfg.acting_time())
    }

    pub(crate) fn with_shard<R>(
        &mut self,
        k: usize,
        f: impl FnOnce(&mut Shard, &mut Context) -> R,
    ) -> Option<R> {
        let (acting, layout) = (self.acting(k), self.layout());
        let cfg = self.cfg.clone();
        let shard = self.shards.get_mut(k)?.as_mut()?;
        let calls = &mut self.next_call;
        let types = &self.types;
        let mut context = Context {
            cfg: &cfg,
            now: self.now,
            wall: self.wall,
            types,
            effects: &mut self.effects,
            calls,
            acting,
            layout,
        };
        Some(f(shard, &mut context))
    }

    /// How work records may be laid out now.
    pub(crate) fn layout(&self) -> Layout {
        if self.all_read_parts() {
            return Layout::in_parts(self.cfg.value_bytes, self.cfg.txn_ops);
        }
        Layout::single(self.cfg.value_bytes)
    }

    fn call(&mut self, pending: Pending) -> CallId {
        let id = self.next_call;
        self.next_call += 1;
        self.calls.insert(id, pending);
        id
    }

    pub(crate) fn state(&mut self, request: StateCall, pending: Pending) {
        let call = self.call(pending);
        self.effects.push(Effect::State { call, request });
    }

    /// Asks the cloud; with a time, only until then.
    pub(crate) fn cloud(&mut self, request: CloudCall, until: Option<Micros>, pending: Pending) {
        let call = self.call(pending);
        self.effects.push(Effect::Cloud {
            call,
            request,
            until,
        });
    }

    pub(crate) fn answer(&mut self, to: ReplyTo, answer: Answer) {
        self.effects.push(Effect::Answer { to, answer });
    }

    pub(crate) fn type_size(&self, kind: &str) -> Amounts {
        self.types
            .iter()
            .find(|t| t.name == kind)
            .map(|t| t.size)
            .unwrap_or_default()
    }

    fn state_reply(&mut self, call: CallId, reply: StateReply) {
        let Some(pending) = self.calls.remove(&call) else {
            return;
        };
        trace!(call, ?reply, "state answered");
        if !matches!(reply, StateReply::Refused | StateReply::Unknown) {
            self.store.last_ok = self.now;
        }
        match pending {
            Pending::Grant | Pending::Renew => self.lease_reply(reply),
            Pending::Watch(k) => self.watch_reply(k, reply),
            Pending::Claim { slot, lease } => self.claim_reply(slot, lease, reply),
            Pending::HandBack { slot, version } => self.hand_back_reply(slot, version, &reply),
            Pending::Prove { sent, claims } => self.prove_reply(sent, claims, reply),
            Pending::ProveView {
                sent,
                claims,
                revision,
            } => self.prove_view_reply(sent, claims, revision, reply),
            Pending::Fleet { shard, version } => self.fleet_reply(shard, version, reply),
            Pending::Records { shard, version } => self.records_reply(shard, version, reply),
            Pending::Shard {
                shard,
                version,
                writes,
            } => self.shard_reply(shard, version, &writes, &reply),
            Pending::Submit { batch } => self.submit_reply(batch, reply),
            Pending::VerifyUnknown { to, spec, why, end } => {
                self.verify_unknown_reply(to, spec, why, end, reply)
            }
            Pending::NeedKnown {
                to,
                spec,
                left,
                end,
            } => self.need_known_reply(to, spec, left, end, reply),
            Pending::NeedsWritten {
                to,
                spec,
                parts,
                next,
            } => self.needs_written(to, spec, parts, next, &reply),
            Pending::SubmitCancelled { to, spec } => self.submit_cancelled_reply(to, &spec, &reply),
            Pending::NeedsRead { id, version, got } => self.needs_read(id, version, got, reply),
            Pending::NeedEnd { id } => self.need_end_reply(&id, reply),
            Pending::Orphans { ids } => self.orphans_reply(&ids, &reply),
            Pending::Refresh { polls, revision } => self.refresh_reply(polls, revision, reply),
            Pending::Confirm { polls } => self.confirm_reply(polls, reply),
            Pending::LookUp { to, id, wish } => self.look_up_reply(to, id, wish, reply),
            Pending::LookUpEnd { to, id } => self.look_up_end_reply(to, id, reply),
            Pending::Cancel { to, id, end } => self.cancel_reply(to, id, end, reply),
            Pending::Leader { version, call } => self.leader_state_reply(version, call, reply),
            Pending::Duty { call } => self.duty_reply(call, reply),
            Pending::Leftovers => self.leftovers_reply(reply),
            Pending::LeftoverEnd => self.leftover_end_reply(reply),
            Pending::FormatsRead => self.formats_read(reply),
            Pending::FormatWritten => self.format_written(),
            Pending::TypesRead => {
                self.types_busy = false;
                match reply {
                    StateReply::Entry(e) => match serde_json::from_value(e.value) {
                        Ok(types) => self.types_known(types),
                        Err(e) => warn!(%e, "unreadable record of machine types"),
                    },
                    StateReply::Missing => {
                        self.types_busy = true;
                        self.cloud(CloudCall::Types, None, Pending::TypesAsked);
                    }
                    _ => {}
                }
            }
            Pending::TypesAsked => {}
        }
    }

    fn cloud_reply(&mut self, call: CallId, reply: CloudReply) {
        match self.calls.remove(&call) {
            Some(Pending::Leader { version, call }) => {
                self.leader_cloud_reply(version, call, reply)
            }
            Some(Pending::TypesAsked) => {
                self.types_busy = false;
                if let CloudReply::Types(types) = reply {
                    self.types_known(types);
                }
            }
            _ => {}
        }
    }

    // ---- machine types -------------------------------------------------------------------

    /// Types are kept in the store too, so that a controller that starts during an outage of the
    /// cloud knows them.
    fn types_tick(&mut self) {
        if !self.types.is_empty() || self.types_busy || self.now < self.types_next {
            return;
        }
        self.types_busy = true;
        self.types_next = self.now + Micros::from_millis(700);
        self.state(
            StateCall::Get {
                key: "types".to_owned(),
            },
            Pending::TypesRead,
        );
    }

    pub(crate) fn types_known(&mut self, types: Vec<MachineType>) {
        if types.is_empty() {
            return;
        }
        if self.types.is_empty() {
            info!(types = types.len(), "machine types known");
        }
        self.types = types;
        let machines: Vec<_> = self
            .machines
            .iter()
            .map(|(id, (r, v))| (id.clone(), r.clone(), *v))
            .collect();
        for (id, record, version) in machines {
            self.machine_changed(id, record, version);
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
    fn report(&mut self, to: ReplyTo, report: &Report) {
        self.last_hello = self.now;
        let owner = self.machines.get(&report.machine).and_then(|m| m.0.shard);
        let Some(k) = owner else {
            return self.effects.push(Effect::Elsewhere { to, member: None });
        };
        let acting = self.acting(k);
        if self.shards[k].is_none() {
            let member = self.store.claims[k]
                .as_ref()
                .map(|c| c.member)
                .filter(|m| *m != self.cfg.me);
            return self.effects.push(Effect::Elsewhere { to, member });
        }
        let now = self.now;
        let held = self.shards[k].as_ref();
        let known = held.and_then(|s| {
            Some((
                s.machines.get(&report.machine)?.token(s.version),
                s.claimed_at,
            ))
        });
        if let Some((_, claimed_at)) = known.filter(|k| k.0 < report.token) {
            // Somebody newer commands it, and would wait for its lease to end if we held it here. Where
            // our claim was not proven for as long as it could last alone, that is lost as a whole.
            let proven = self.proven[k].unwrap_or(claimed_at);
            if now - proven > self.cfg.tuning.claim_ttl {
                self.drop_slot(k, "a worker has seen a newer token");
            }
            return self.effects.push(Effect::Elsewhere { to, member: None });
        }
        let orders = self.with_shard(k, |s, context| {
            let m = s.machines.get(&report.machine)?;
            if !acting || (m.hears_nothing() && report.token != m.token(s.version)) {
                return None;
            }
            let ready = s.phase == ShardPhase::Ready;
            if !s.take_report(context, report, true) {
                return None;
            }
            let orders = if ready {
                s.orders(context, report)
            } else {
                Vec::new()
            };
            let m = s.machines.get_mut(&report.machine)?;
            m.answered(now, s.version);
            Some((m.token(s.version), orders))
        });
        match orders.flatten() {
            Some((token, orders)) => self.effects.push(Effect::Orders { to, token, orders }),
            None => self.effects.push(Effect::Elsewhere { to, member: None }),
        }
    }
}
