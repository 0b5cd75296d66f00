//! The one owner of all state of a controller. Commands come in batches, effects go out; time is
//! given, never asked for. Same commands, same times, same effects.

use crate::chains::{Chain, Chains, Question};
use crate::fleet::MachineRecord;
use crate::leader::{Leader, LeaderCall};
use crate::link::Link;
use crate::port::*;
use crate::share::*;
use crate::types::*;
use crate::users::{EndRecord, Users, Wish};
use std::collections::BTreeMap;
use std::rc::Rc;
use tracing::{info, trace, warn};

#[derive(Clone, Debug)]
pub struct LiveJob {
    pub spec: Rc<JobSpec>,
    /// Version of `job/<id>`, which is written once only.
    pub version: u64,
    pub share: usize,
    pub chain: Chain,
}

#[derive(Clone, Debug, Default)]
pub struct Peer {
    pub heard: Micros,
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
    List(usize),
    Watch(usize),
    Claim { slot: usize, lease: u64 },
    HandBack { slot: usize, version: u64 },
    Prove { sent: Micros, claims: Vec<(usize, u64)> },
    ProveView { sent: Micros, claims: Vec<(usize, u64)>, revision: u64 },
    Fleet { share: usize, version: u64 },
    Records { share: usize, version: u64 },
    Share { share: usize, version: u64, writes: Vec<ShareWrite> },
    Submit { batch: Vec<(ReplyTo, Rc<JobSpec>)> },
    Doubt { to: ReplyTo, spec: Rc<JobSpec>, why: String, end: bool },
    NeedKnown { to: ReplyTo, spec: Rc<JobSpec>, left: Vec<JobId>, end: bool },
    NeedsWritten { to: ReplyTo, spec: Rc<JobSpec>, parts: Vec<Vec<JobId>>, next: usize },
    SubmitCancelled { to: ReplyTo, spec: Rc<JobSpec> },
    NeedsRead { id: JobId, version: u64, got: Vec<Entry> },
    NeedEnd { id: JobId },
    Orphans { ids: Vec<JobId> },
    Confirm { polls: Vec<(ReplyTo, JobId)> },
    Refresh { polls: Vec<Question>, revision: u64 },
    LookUp { to: ReplyTo, id: JobId, wish: Wish },
    LookUpEnd { to: ReplyTo, id: JobId },
    Cancel { to: ReplyTo, id: JobId, end: EndRecord },
    Leader { version: u64, call: LeaderCall },
    TypesRead,
    TypesAsked,
}

pub struct Engine {
    pub(crate) cfg: Rc<Settings>,
    pub(crate) now: Micros,
    pub(crate) wall: Micros,
    pub(crate) fx: Vec<Effect>,
    calls: BTreeMap<CallId, Pending>,
    next_call: CallId,
    pub(crate) link: Link,
    pub(crate) jobs: BTreeMap<JobId, LiveJob>,
    pub(crate) machines: BTreeMap<MachineId, (MachineRecord, u64)>,
    /// Since when each has been the share's that it is.
    pub(crate) machine_since: BTreeMap<MachineId, Micros>,
    pub(crate) shares: Vec<Option<Share>>,
    pub(crate) leader: Option<Leader>,
    /// By slot: sending time of the last state request that proved the claim with a view of
    /// cancellations as new.
    pub(crate) proven: Vec<Option<Micros>>,
    pub(crate) users: Users,
    pub(crate) chains: Chains,
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
    pub fn new(cfg: Settings) -> Engine {
        let n = cfg.members.len();
        Engine {
            now: Micros::ZERO,
            wall: Micros::ZERO,
            fx: Vec::new(),
            calls: BTreeMap::new(),
            next_call: 1,
            link: Link::new(n),
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            machine_since: BTreeMap::new(),
            shares: (0..n).map(|_| None).collect(),
            leader: None,
            proven: vec![None; n + 1],
            users: Users::default(),
            chains: Chains::default(),
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
        std::mem::take(&mut self.fx)
    }

    fn take(&mut self, command: Command) {
        match command {
            Command::Submit { to, spec } => self.submit(to, *spec),
            Command::Poll { to, id } => self.poll(to, id),
            Command::Cancel { to, id } => self.cancel(to, id),
            Command::Report { to, report } => self.report(to, &report),
            Command::Direct { call, machine, outcome } => {
                let share =
                    self.shares.iter().position(|s| s.as_ref().is_some_and(|s| s.machines.contains_key(&machine)));
                if let Some(k) = share {
                    self.with_share(k, |s, ctx| s.direct_result(ctx, call, &machine, outcome));
                }
            }
            Command::State { call, reply } => self.state_reply(call, reply),
            Command::Cloud { call, reply } => self.cloud_reply(call, reply),
            Command::Mesh { from, message } => self.mesh(from, message),
            Command::Health { to } => {
                let yes = self.healthy();
                self.fx.push(Effect::Healthy { to, yes });
            }
        }
    }

    fn tick(&mut self) {
        self.listen();
        self.link_tick();
        self.types_tick();
        for k in 0..self.shares.len() {
            self.with_share(k, |s, ctx| {
                s.tick(ctx);
                s.round(ctx);
            });
        }
        self.fill_write_budget();
        self.leader_tick();
        self.chains_tick();
        self.users_flush();
        self.flush_writes();
        for k in 0..self.shares.len() {
            self.with_share(k, |s, ctx| s.send_directs(ctx));
        }
        self.talk();
    }

    /// How much was looked at since the start by the shares held now and by the leader. What a step costs
    /// follows from it, and unlike time it is the same on every machine.
    pub fn looked(&self) -> i64 {
        self.leader_looked + self.shares.iter().flatten().map(|s| s.looked.get()).sum::<i64>()
    }

    // ---- plumbing ------------------------------------------------------------------------

    pub(crate) fn acting(&self, slot: usize) -> bool {
        self.proven[slot].is_some_and(|t| self.now - t < self.cfg.acting_time())
    }

    pub(crate) fn with_share<R>(&mut self, k: usize, f: impl FnOnce(&mut Share, &mut Ctx) -> R) -> Option<R> {
        let acting = self.acting(k);
        let cfg = self.cfg.clone();
        let share = self.shares.get_mut(k)?.as_mut()?;
        let calls = &mut self.next_call;
        let types = &self.types;
        let mut ctx = Ctx { cfg: &cfg, now: self.now, wall: self.wall, types, fx: &mut self.fx, calls, acting };
        Some(f(share, &mut ctx))
    }

    fn call(&mut self, pending: Pending) -> CallId {
        let id = self.next_call;
        self.next_call += 1;
        self.calls.insert(id, pending);
        id
    }

    pub(crate) fn state(&mut self, request: StateCall, pending: Pending) {
        let call = self.call(pending);
        self.fx.push(Effect::State { call, request });
    }

    pub(crate) fn cloud(&mut self, request: CloudCall, pending: Pending) {
        let call = self.call(pending);
        self.fx.push(Effect::Cloud { call, request });
    }

    pub(crate) fn answer(&mut self, to: ReplyTo, answer: Answer) {
        self.fx.push(Effect::Answer { to, answer });
    }

    pub(crate) fn type_size(&self, kind: &str) -> Amounts {
        self.types.iter().find(|t| t.name == kind).map(|t| t.size).unwrap_or_default()
    }

    fn state_reply(&mut self, call: CallId, reply: StateReply) {
        let Some(pending) = self.calls.remove(&call) else { return };
        trace!(call, ?reply, "state answered");
        if !matches!(reply, StateReply::Refused | StateReply::Unknown) {
            self.link.last_ok = self.now;
        }
        match pending {
            Pending::Grant | Pending::Renew => self.lease_reply(reply),
            Pending::List(k) => self.list_reply(k, reply),
            Pending::Watch(k) => self.watch_reply(k, reply),
            Pending::Claim { slot, lease } => self.claim_reply(slot, lease, reply),
            Pending::HandBack { slot, version } => self.hand_back_reply(slot, version, &reply),
            Pending::Prove { sent, claims } => self.prove_reply(sent, claims, reply),
            Pending::ProveView { sent, claims, revision } => self.prove_view_reply(sent, claims, revision, reply),
            Pending::Fleet { share, version } => self.fleet_reply(share, version, reply),
            Pending::Records { share, version } => self.records_reply(share, version, reply),
            Pending::Share { share, version, writes } => self.share_reply(share, version, &writes, &reply),
            Pending::Submit { batch } => self.submit_reply(batch, reply),
            Pending::Doubt { to, spec, why, end } => self.doubt_reply(to, spec, why, end, reply),
            Pending::NeedKnown { to, spec, left, end } => self.need_known_reply(to, spec, left, end, reply),
            Pending::NeedsWritten { to, spec, parts, next } => self.needs_written(to, spec, parts, next, &reply),
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
            Pending::TypesRead => {
                self.types_busy = false;
                match reply {
                    StateReply::Entry(e) => match serde_json::from_value(e.value) {
                        Ok(types) => self.types_known(types),
                        Err(e) => warn!(%e, "unreadable record of machine types"),
                    },
                    StateReply::Missing => {
                        self.types_busy = true;
                        self.cloud(CloudCall::Types, Pending::TypesAsked);
                    }
                    _ => {}
                }
            }
            Pending::TypesAsked => {}
        }
    }

    fn cloud_reply(&mut self, call: CallId, reply: CloudReply) {
        match self.calls.remove(&call) {
            Some(Pending::Leader { version, call }) => self.leader_cloud_reply(version, call, reply),
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
        self.state(StateCall::Get { key: "types".to_owned() }, Pending::TypesRead);
    }

    pub(crate) fn types_known(&mut self, types: Vec<MachineType>) {
        if types.is_empty() {
            return;
        }
        if self.types.is_empty() {
            info!(types = types.len(), "machine types known");
        }
        self.types = types;
        let machines: Vec<_> = self.machines.iter().map(|(id, (r, v))| (id.clone(), r.clone(), *v)).collect();
        for (id, record, version) in machines {
            self.machine_changed(id, record, version);
        }
    }

    // ---- machines ------------------------------------------------------------------------

    pub(crate) fn machine_changed(&mut self, id: MachineId, record: MachineRecord, version: u64) {
        let size = self.type_size(&record.kind);
        let before = self.machines.insert(id.clone(), (record.clone(), version));
        if before.is_none_or(|b| b.0.share != record.share) {
            self.machine_since.insert(id.clone(), self.now);
        }
        for k in 0..self.shares.len() {
            let (id, record) = (id.clone(), record.clone());
            let now = self.now;
            self.with_share(k, |s, _| {
                if record.share == Some(k) {
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
        for k in 0..self.shares.len() {
            self.with_share(k, |s, ctx| s.machine_deleted(ctx, id));
        }
    }

    /// Answers a worker's report: with orders if its machine is ours and the claim stands, else by
    /// naming the owner.
    fn report(&mut self, to: ReplyTo, report: &Report) {
        self.last_hello = self.now;
        let owner = self.machines.get(&report.machine).and_then(|m| m.0.share);
        let Some(k) = owner else {
            return self.fx.push(Effect::Elsewhere { to, member: None });
        };
        let acting = self.acting(k);
        if self.shares[k].is_none() {
            let member = self.link.claims[k].as_ref().map(|c| c.member).filter(|m| *m != self.cfg.me);
            return self.fx.push(Effect::Elsewhere { to, member });
        }
        let now = self.now;
        let held = self.shares[k].as_ref();
        let known = held.and_then(|s| Some((s.machines.get(&report.machine)?.token(s.version), s.claimed_at)));
        if let Some((_, claimed_at)) = known.filter(|k| k.0 < report.token) {
            // Somebody newer commands it, and would wait for its lease to end if we held it here. Where
            // our claim was not proven for as long as it could last alone, that is lost as a whole.
            let proven = self.proven[k].unwrap_or(claimed_at);
            if now - proven > self.cfg.tuning.claim_ttl {
                self.drop_slot(k, "a worker has seen a newer token");
            }
            return self.fx.push(Effect::Elsewhere { to, member: None });
        }
        let orders = self.with_share(k, |s, ctx| {
            let m = s.machines.get(&report.machine)?;
            if !acting || (m.hears_nothing() && report.token != m.token(s.version)) {
                return None;
            }
            let ready = s.phase == SharePhase::Ready;
            if !s.take_report(ctx, report, true) {
                return None;
            }
            let orders = if ready { s.orders(ctx, report) } else { Vec::new() };
            let m = s.machines.get_mut(&report.machine)?;
            m.answered(now, s.version);
            Some((m.token(s.version), orders))
        });
        match orders.flatten() {
            Some((token, orders)) => self.fx.push(Effect::Orders { to, token, orders }),
            None => self.fx.push(Effect::Elsewhere { to, member: None }),
        }
    }

    // ---- the scheduler's own writes -------------------------------------------------------

    /// How many writes wait here: for tasks to start, for jobs to end, for machines to be adopted.
    fn writes_awaited(&self) -> usize {
        self.shares.iter().flatten().map(Share::writes_awaited).sum::<usize>() + self.leader_writes_awaited()
    }

    /// This controller's part of what the store takes, in thousandths of a write a second. Most of
    /// it is the schedulers', the rest is left to users. It is divided by what waits where, as the
    /// controllers tell each other, since one share may need most of it while others need nothing;
    /// who is not heard of keeps the part of the shares that it holds.
    pub(crate) fn write_rate(&self) -> i64 {
        let n = self.cfg.members.len() as i64;
        let total = self.cfg.write_rps * 850;
        let (mut own, mut all) = (0, 0);
        let mut unheard = 0;
        for (k, p) in self.peers.iter().enumerate() {
            if k == self.cfg.me {
                own = self.awaited as i64 + 1;
                all += own;
            } else if self.now - p.heard < Micros::from_secs(2) && p.heard > Micros::ZERO {
                all += p.awaited as i64 + 1;
            } else {
                let holds = |c: &&Option<crate::link::Claim>| c.as_ref().is_some_and(|c| c.member == k);
                unheard += self.link.claims[..self.leader_slot()].iter().filter(holds).count() as i64;
            }
        }
        (total * (n - unheard) / n * own / all.max(1)).max(total / (4 * n))
    }

    fn fill_write_budget(&mut self) {
        let rate = self.write_rate();
        let passed = (self.now - self.write_filled).0.clamp(0, 1_000_000);
        self.write_filled = self.now;
        self.write_budget = (self.write_budget + rate * passed / 1_000_000).min(rate / 2);
    }

    fn flush_writes(&mut self) {
        if self.now < self.write_rest.max(self.write_next) {
            return;
        }
        // What gathers within a moment is written together.
        self.write_next = self.now + self.cfg.ask_every().over(2);
        // Where several shares are held, another is first each time.
        self.write_first += 1;
        let (first, shares) = (self.write_first, self.shares.len());
        for k in (0..shares).map(|k| (k + first) % shares) {
            let budget = (self.write_budget / 1_000).max(0) as usize;
            let most = (self.cfg.txn_ops / 3).clamp(1, 12);
            if budget == 0 || !self.acting(k) {
                continue;
            }
            let now = self.now;
            let bytes = self.cfg.value_bytes;
            let ready = |s: &mut Share| match s.phase {
                SharePhase::Ready => s.writes(now, budget.min(most), bytes),
                _ => Vec::new(),
            };
            let Some((version, writes)) = self.with_share(k, |s, _| (s.version, ready(s))) else { continue };
            let mut records = Vec::new();
            let mut bytes = 0;
            for w in writes {
                match &w {
                    // An end may fail for its user's sake; it must not take others with it.
                    ShareWrite::End { .. } => {
                        self.write_budget -= 3_000;
                        self.send_share_writes(k, version, vec![w]);
                    }
                    ShareWrite::Read { job } => {
                        let key = work_key(k, job);
                        let pending = Pending::Share { share: k, version, writes: vec![w] };
                        self.state(StateCall::Get { key }, pending);
                    }
                    _ => {
                        self.write_budget -= 1_000;
                        let size =
                            if let ShareWrite::Record { value, .. } = &w { value.to_string().len() } else { 200 };
                        if bytes + size > 40_000 && !records.is_empty() {
                            self.send_share_writes(k, version, std::mem::take(&mut records));
                            bytes = 0;
                        }
                        bytes += size;
                        records.push(w);
                    }
                }
            }
            if !records.is_empty() {
                self.send_share_writes(k, version, records);
            }
        }
    }

    /// Every write on behalf of a share carries its claim's version, so that one that is applied
    /// late, after the share has passed on, fails.
    fn send_share_writes(&mut self, k: usize, version: u64, writes: Vec<ShareWrite>) {
        let mut when = vec![(self.slot_key(k), version)];
        let mut apply = Vec::new();
        for w in &writes {
            let key = self.write_key(k, w);
            match w {
                ShareWrite::Record { version, value, .. } => {
                    when.push((key.clone(), *version));
                    apply.push(Write::Put { key, value: value.clone(), lease: None });
                }
                ShareWrite::End { job, job_version, record_version, tasks } => {
                    let end = EndRecord { cancelled: false, tasks: *tasks };
                    let end_key = crate::users::end_key(job);
                    when.push((crate::users::job_key(job), *job_version));
                    when.push((end_key.clone(), 0));
                    let value = serde_json::to_value(end).unwrap_or_default();
                    apply.push(Write::Put { key: end_key, value, lease: None });
                    apply.push(Write::Delete { key: crate::users::job_key(job) });
                    if *record_version > 0 {
                        when.push((key.clone(), *record_version));
                        apply.push(Write::Delete { key });
                    }
                }
                ShareWrite::DropRecord { version, .. } => {
                    when.push((key.clone(), *version));
                    apply.push(Write::Delete { key });
                }
                ShareWrite::Machine { machine, version, record } => {
                    when.push((key, *version));
                    apply.push(machine_write(machine, record));
                }
                ShareWrite::Read { .. } => {}
            }
        }
        self.state(StateCall::Commit { when, apply }, Pending::Share { share: k, version, writes });
    }

    fn write_key(&self, k: usize, w: &ShareWrite) -> String {
        match w {
            ShareWrite::Machine { machine, .. } => crate::fleet::machine_key(machine),
            ShareWrite::Record { job, .. }
            | ShareWrite::End { job, .. }
            | ShareWrite::DropRecord { job, .. }
            | ShareWrite::Read { job } => work_key(k, job),
        }
    }

    fn share_reply(&mut self, k: usize, version: u64, writes: &[ShareWrite], reply: &StateReply) {
        if self.slot_version(k) != Some(version) {
            return;
        }
        if let StateReply::Conflict { failed } = reply {
            if failed.contains(&self.slot_key(k)) {
                return self.drop_slot(k, "claim proven lost");
            }
        }
        if matches!(reply, StateReply::Refused) {
            self.write_rest = self.now + Micros::from_millis(200);
        }
        for w in writes {
            let key = self.write_key(k, w);
            let outcome = match (w, reply) {
                (ShareWrite::Read { .. }, StateReply::Entry(e)) => WriteOutcome::Done(e.version),
                (ShareWrite::Read { .. }, StateReply::Missing) => WriteOutcome::Done(0),
                (_, StateReply::Committed { revision }) => WriteOutcome::Done(*revision),
                (_, StateReply::Refused) => WriteOutcome::Refused,
                // One failed condition fails all; those that held are simply made again.
                (ShareWrite::End { .. }, StateReply::Conflict { .. }) => WriteOutcome::Unclear,
                (_, StateReply::Conflict { failed }) if !failed.contains(&key) => WriteOutcome::Refused,
                _ => WriteOutcome::Unclear,
            };
            if let (ShareWrite::End { job, tasks, .. }, WriteOutcome::Done(_)) = (w, outcome) {
                self.users.ended.insert(job, EndRecord { cancelled: false, tasks: *tasks });
                self.job_over(job);
            }
            self.with_share(k, |s, ctx| s.written(ctx, w, outcome));
        }
    }

    // ---- between controllers ---------------------------------------------------------------

    /// No worker reaches this node, though some of its own did. Another node may hear them.
    pub(crate) fn deaf(&self) -> bool {
        self.deaf_since.is_some()
    }

    /// Without shares a node hears of no worker in any case, so it is believed again after a while.
    fn listen(&mut self) {
        let quiet = self.now - self.last_hello > self.cfg.report.times(3) + Micros::from_secs(2);
        let heard_once = |s: &Share| s.machines.values().any(|m| m.last_report.is_some() && m.record.share.is_some());
        let own = self.shares.iter().flatten().any(heard_once);
        match self.deaf_since {
            None if quiet && own => {
                warn!("no worker reaches this controller");
                self.deaf_since = Some(self.now);
            }
            Some(t) if !quiet || (!own && self.now - t > Micros::from_secs(30)) => self.deaf_since = None,
            _ => {}
        }
    }

    /// A peer that is ready hears workers, or it would not say so.
    pub(crate) fn peer_ready(&self) -> bool {
        (0..self.peers.len()).filter(|k| *k != self.cfg.me).any(|k| {
            let p = &self.peers[k];
            p.ready_since.is_some() && self.now - p.heard < Micros::from_secs(2)
        })
    }

    fn ready(&self) -> bool {
        self.link.loaded()
            && self.link.lease.is_some()
            && !self.types.is_empty()
            && self.now - self.link.last_ok < Micros::from_millis(2_500)
    }

    /// Can this node really take requests? When the store answers nobody, being taken out helps
    /// no user, who would only wait for the way back: then the node stays and says so itself. That
    /// nobody is served it knows only from peers that it hears; one that hears neither store nor
    /// peers is more likely cut off alone, and leaves.
    fn healthy(&self) -> bool {
        let me = self.cfg.me;
        let hears = |(k, p): (usize, &Peer)| k != me && self.now - p.heard < Micros::from_secs(2);
        let alone = self.peers.len() > 1 && !self.peers.iter().enumerate().any(hears);
        self.ready() || (self.link.loaded() && !self.types.is_empty() && !self.peer_ready() && !alone)
    }

    fn talk(&mut self) {
        let me = self.cfg.me;
        if self.now >= self.alive_next {
            self.alive_next = self.now + Micros::from_millis(500);
            let claims: Vec<(String, u64)> =
                (0..=self.leader_slot()).filter_map(|s| self.slot_version(s).map(|v| (self.slot_key(s), v))).collect();
            let ready = self.ready() && !self.deaf();
            let awaited = self.writes_awaited();
            self.awaited = awaited;
            for to in (0..self.peers.len()).filter(|k| *k != me) {
                let message = MeshMessage::Alive { ready, claims: claims.clone(), awaited };
                self.fx.push(Effect::Mesh { to, message });
            }
        }
        if self.now >= self.tell_next {
            self.tell_next = self.now + Micros::from_millis(400);
            for k in 0..self.shares.len() {
                let told = self.with_share(k, |s, ctx| {
                    (s.phase == SharePhase::Ready).then(|| (s.version, s.needs.clone(), s.views(ctx)))
                });
                if let Some((version, mut needs, machines)) = told.flatten() {
                    if needs.len() > NEEDS_MAX {
                        // The most important are first, and what is served makes room for the rest.
                        warn!(
                            share = k,
                            waiting = needs.len(),
                            told = NEEDS_MAX,
                            "more jobs wait than the leader is told of"
                        );
                        needs.truncate(NEEDS_MAX);
                    }
                    let message = MeshMessage::Share { share: k, version, needs, machines };
                    if self.leader.is_some() {
                        self.mesh(me, message);
                    } else if let Some(to) = self.link.claims[self.leader_slot()].as_ref().map(|c| c.member) {
                        self.fx.push(Effect::Mesh { to, message });
                    }
                }
            }
        }
        if self.now >= self.progress_next {
            self.progress_next = self.now + Micros::from_secs(1);
            let mut changed = Vec::new();
            for s in self.shares.iter().flatten() {
                for (id, j) in s.jobs.iter().filter(|j| j.1.live()) {
                    let counts = (j.done.count(), j.running());
                    if self.told.get(id) != Some(&counts) {
                        changed.push((id.clone(), counts.0, counts.1));
                    }
                }
            }
            let live = &self.jobs;
            self.told.retain(|id, _| live.contains_key(id));
            for c in &changed {
                self.told.insert(c.0.clone(), (c.1, c.2));
            }
            if !changed.is_empty() {
                for to in (0..self.peers.len()).filter(|k| *k != me) {
                    self.fx.push(Effect::Mesh { to, message: MeshMessage::Progress { jobs: changed.clone() } });
                }
            }
        }
    }

    pub(crate) fn tell_holder(&mut self, share: usize, message: MeshMessage) {
        if self.shares[share].is_some() {
            let me = self.cfg.me;
            self.mesh(me, message);
        } else if let Some(to) = self.link.claims[share].as_ref().map(|c| c.member) {
            if to != self.cfg.me {
                self.fx.push(Effect::Mesh { to, message });
            }
        }
    }

    fn mesh(&mut self, from: usize, message: MeshMessage) {
        match message {
            MeshMessage::Alive { ready, claims, awaited } => {
                let now = self.now;
                let Some(peer) = self.peers.get_mut(from) else { return };
                let gap = now - peer.heard > Micros::from_secs(2);
                peer.heard = now;
                peer.awaited = awaited;
                peer.ready_since = match (ready, peer.ready_since) {
                    (false, _) => None,
                    (true, Some(t)) if !gap => Some(t),
                    (true, _) => Some(now),
                };
                for (key, version) in claims {
                    for slot in 0..=self.leader_slot() {
                        // Told of a newer claim: ours is lost, whatever the store lets us know.
                        if self.slot_key(slot) == key && self.slot_version(slot).is_some_and(|v| v < version) {
                            self.drop_slot(slot, "a peer holds a newer claim");
                            self.link.claims[slot] = Some(crate::link::Claim { version, member: from, lease: 0 });
                        }
                    }
                }
            }
            MeshMessage::Share { share, version, needs, machines } => {
                // Held back by the network, a former holder's word may come after its share has passed
                // on: it must not count, least of all its opinion of machines.
                if self.link.claims.get(share).is_some_and(|c| c.as_ref().is_some_and(|c| c.version == version)) {
                    self.share_told(share, needs, machines);
                }
            }
            MeshMessage::Release { share, machines, above } => {
                let now = self.now;
                self.with_share(share, |s, ctx| s.release(ctx, &machines, above));
                self.tell_next = now;
            }
            MeshMessage::Cancelled { job, tasks } => {
                self.end_learned(&job, EndRecord { cancelled: true, tasks });
            }
            MeshMessage::Progress { jobs } => {
                for (id, done, running) in jobs {
                    if self.jobs.contains_key(&id) {
                        self.users.progress.insert(id, (done, running));
                    }
                }
            }
        }
    }
}
