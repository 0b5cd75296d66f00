//! A share as its one holder runs it: jobs of its teams on its machines.
//!
//! Order of things, always: decide → record → order → evidence → record → forget.

use crate::fleet::{machine_key, Direct, Machine, MachineRecord};
use crate::gang::{Member, Verdict};
use crate::job::*;
use crate::port::*;
use crate::quota::Quota;
use crate::types::*;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tracing::{debug, info, warn};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SharePhase {
    /// Claimed, but the view of cancellations is not known to be as new as the claim.
    Proving,
    /// Reading the former holder's records.
    Loading,
    Ready,
}

pub struct Ctx<'a> {
    pub cfg: &'a Settings,
    pub now: Micros,
    /// Time of day, only for order and deadlines of jobs.
    pub wall: Micros,
    pub types: &'a [MachineType],
    pub fx: &'a mut Vec<Effect>,
    /// The name of the next call.
    pub calls: &'a mut CallId,
    /// The claim was proven recently enough to answer reports and to send commands.
    pub acting: bool,
}

/// Why a task is known to be gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gone {
    Exited(Exit),
    /// Its order never reached the worker, or its machine is gone.
    Lost,
}

/// A write that the engine should make for this share, with what it stands for.
#[derive(Clone, Debug)]
pub enum ShareWrite {
    Record {
        job: JobId,
        gen: u64,
        version: u64,
        value: serde_json::Value,
    },
    End {
        job: JobId,
        job_version: u64,
        record_version: u64,
        tasks: u32,
    },
    DropRecord {
        job: JobId,
        version: u64,
    },
    Read {
        job: JobId,
    },
    /// Raises a machine's token, or gives the machine up.
    Machine {
        machine: MachineId,
        version: u64,
        record: MachineRecord,
    },
}

pub struct Share {
    pub index: usize,
    pub version: u64,
    pub claimed_at: Micros,
    pub phase: SharePhase,
    pub jobs: BTreeMap<JobId, Job>,
    pub machines: BTreeMap<MachineId, Machine>,
    pub quota: Quota,
    pub needs: Vec<Need>,
    pub dirty: bool,
    pub last_round: Micros,
    /// What the last round looked at: the next one rests in proportion.
    pub round_cost: i64,
    /// What was looked at in all: machines, tasks and entries of lists, for the tests that bound it.
    pub looked: Cell<i64>,
    /// Machines that the last round held for gangs.
    pub(crate) gathered: BTreeSet<MachineId>,
    look_next: Micros,
    /// Machines where tasks may wait for a direct start.
    unsent: BTreeSet<MachineId>,
    /// When machines are looked through again for what must be written of them.
    machine_writes_next: Micros,
}

/// How long a machine stays released without the leader taking it.
const RELEASE_KEPT: Micros = Micros::from_secs(5);

/// How often machines are looked through for what time alone has changed.
const LOOK_EVERY: Micros = Micros::from_millis(100);

/// How often a job's record is written for the sake of results alone.
const RESULTS_EVERY: Micros = Micros::from_secs(1);

/// How long a machine may take to be emptied for another share before it is used again.
const CLEARING_KEPT: Micros = Micros::from_secs(30);

pub fn work_prefix(share: usize) -> String {
    format!("work/{share}/")
}

pub fn work_key(share: usize, job: &JobId) -> String {
    format!("work/{share}/{job}")
}

impl Share {
    pub fn new(index: usize, version: u64, now: Micros) -> Share {
        Share {
            index,
            version,
            claimed_at: now,
            phase: SharePhase::Proving,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            quota: Quota::default(),
            needs: Vec::new(),
            dirty: true,
            last_round: Micros::ZERO,
            round_cost: 0,
            looked: Cell::new(0),
            gathered: BTreeSet::new(),
            look_next: Micros::ZERO,
            unsent: BTreeSet::new(),
            machine_writes_next: Micros::ZERO,
        }
    }

    // ---- jobs ----------------------------------------------------------------------------

    pub fn add_job(&mut self, spec: Rc<JobSpec>, version: u64, now: Micros) {
        let id = spec.id.clone();
        self.jobs.entry(id).or_insert_with(|| Job::new(spec, version, now));
        self.dirty = true;
    }

    /// Whether a job waits for others to be done, and what it asks for as things stand: how important it is and
    /// until when it must be done also follow from the jobs that need it.
    pub fn chained(&mut self, id: &JobId, spec: Rc<JobSpec>, waits: bool, now: Micros) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.waits && !waits {
            job.waiting_since = now;
        }
        (job.spec, job.waits) = (spec, waits);
        self.dirty = true;
    }

    /// Takes over a record of the former holder's. A job that has ended since (it is missing from
    /// the view of live jobs, which is newer than the claim) is only cleared away.
    pub fn adopt_record(
        &mut self,
        id: JobId,
        live: Option<(Rc<JobSpec>, u64)>,
        record: WorkRecord,
        version: u64,
        now: Micros,
    ) {
        let ended = live.is_none();
        let (spec, job_version) = live.unwrap_or_else(|| (Rc::new(leftover_spec(&id, &record)), 0));
        let mut job = Job::new(spec, job_version, now);
        job.adopt(record, version, now);
        if ended {
            job.ending = Some(Ending::Cancelled);
        } else if job.done.count() == job.spec.tasks {
            job.ending = Some(Ending::Completing);
        }
        for (i, p) in &mut job.tasks {
            self.quota.take(&job.spec.team, job.spec.need);
            if ended {
                p.stop = Some(Stop { cause: Cause::Cancelled, grace: Micros::ZERO, since: now });
            }
            if let Some(m) = self.machines.get_mut(&p.machine) {
                m.used.add(job.spec.need);
                m.fetches_changed = true;
                m.tasks.insert(TaskKey { job: id.clone(), index: *i });
            }
        }
        self.jobs.insert(id, job);
        self.dirty = true;
    }

    /// Machines that records name and this share does not have.
    pub fn placed_elsewhere(&self) -> BTreeSet<MachineId> {
        let named = self.jobs.values().flat_map(|j| j.tasks.values().map(|p| &p.machine));
        named.filter(|id| !self.machines.contains_key(*id)).cloned().collect()
    }

    /// After all records are read: what stands on machines that no longer exist is gone.
    pub fn loaded(&mut self, ctx: &mut Ctx) {
        self.phase = SharePhase::Ready;
        let lost: Vec<TaskKey> = self
            .jobs
            .iter()
            .flat_map(|(id, j)| {
                j.tasks
                    .iter()
                    .filter(|(_, p)| !self.machines.contains_key(&p.machine))
                    .map(|(i, _)| TaskKey { job: id.clone(), index: *i })
            })
            .collect();
        for t in lost {
            self.gone(ctx, &t, Gone::Lost);
        }
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.settle_job(ctx, &id);
        }
        info!(share = self.index, jobs = self.jobs.len(), machines = self.machines.len(), "share ready");
    }

    /// `job/<id>` is gone from the store: the job has ended, by us or by its user.
    pub fn job_ended(&mut self, ctx: &mut Ctx, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        match job.ending {
            // Whatever became of our own unanswered write, all tasks are done.
            Some(Ending::Completing) => {
                job.ending = Some(Ending::Done);
                stop_rest(job, ctx.now);
            }
            Some(_) => return,
            None => {
                info!(job = %id, "cancelled: stopping what runs");
                job.ending = Some(Ending::Cancelled);
                let mut never_sent = Vec::new();
                for (i, p) in &mut job.tasks {
                    if p.phase == Phase::Recording {
                        never_sent.push(TaskKey { job: id.clone(), index: *i });
                    }
                    p.stop = Some(Stop { cause: Cause::Cancelled, grace: Micros::ZERO, since: ctx.now });
                }
                for t in never_sent {
                    self.gone(ctx, &t, Gone::Lost);
                }
            }
        }
        self.settle_job(ctx, id);
        self.dirty = true;
    }

    /// Drops a job that has ended once nothing of it is left, record included.
    fn settle_job(&mut self, ctx: &mut Ctx, id: &JobId) {
        self.check_gang(ctx, id);
        let Some(job) = self.jobs.get(id) else { return };
        let over = matches!(job.ending, Some(Ending::Done | Ending::Cancelled));
        if over && job.tasks.is_empty() && job.record.version == Some(0) && !job.record.in_flight {
            self.jobs.remove(id);
        }
    }

    // ---- machines ------------------------------------------------------------------------

    pub fn add_machine(&mut self, id: MachineId, record: MachineRecord, version: u64, size: Amounts, now: Micros) {
        match self.machines.get_mut(&id) {
            Some(m) => {
                if version > m.version {
                    m.version = version;
                    // Kept or given back by the leader, or fenced anew by ourselves.
                    m.released = None;
                    m.clearing = None;
                }
                // The engine's view may be behind what we wrote ourselves: one that we gave up a moment ago
                // would be used again.
                if version >= m.version {
                    m.record = record;
                }
                m.size = size;
            }
            None => {
                let mut m = Machine::new(id.clone(), record, version, size, now);
                for (job, j) in &self.jobs {
                    for (i, _) in j.tasks.iter().filter(|(_, p)| p.machine == id) {
                        m.used.add(j.spec.need);
                        m.tasks.insert(TaskKey { job: job.clone(), index: *i });
                    }
                }
                self.unsent.insert(id.clone());
                self.machines.insert(id, m);
            }
        }
        self.dirty = true;
    }

    /// The machine's record says that it is another share's or is being returned.
    pub fn machine_moved(&mut self, id: &MachineId, record: MachineRecord, version: u64) {
        let Some(m) = self.machines.get_mut(id) else { return };
        if m.tasks.is_empty() && m.direct.is_none() {
            self.machines.remove(id);
        } else {
            // Being returned with tasks on it: they are gone when the record is, or their lease.
            m.record = MachineRecord { share: None, ..record };
            m.version = version;
        }
        self.dirty = true;
    }

    /// The cloud has answered that it is deleted, so everything on it is gone.
    pub fn machine_deleted(&mut self, ctx: &mut Ctx, id: &MachineId) {
        let Some(m) = self.machines.remove(id) else { return };
        info!(machine = %id, tasks = m.tasks.len(), "machine is gone");
        for t in m.tasks {
            self.gone(ctx, &t, Gone::Lost);
        }
        self.dirty = true;
    }

    // ---- evidence ------------------------------------------------------------------------

    /// The task is on no machine any more: frees its place, quota, zone and number.
    fn gone(&mut self, ctx: &mut Ctx, task: &TaskKey, why: Gone) {
        self.take_away(ctx, task, why);
        self.settle_job(ctx, &task.job);
    }

    fn take_away(&mut self, ctx: &mut Ctx, task: &TaskKey, why: Gone) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(p) = job.tasks.remove(&task.index) else { return };
        self.quota.give(&job.spec.team, job.spec.need);
        let machine = self.machines.get_mut(&p.machine);
        let silent = machine.as_ref().is_none_or(|m| m.silent_for(ctx.now) > ctx.cfg.report.times(2));
        if let Some(m) = machine {
            if m.tasks.remove(task) {
                m.used.sub(job.spec.need);
            }
            m.fetches_changed = true;
        }
        debug!(task = %task, machine = %p.machine, epoch = p.attempt, ?why, stop = ?p.stop.map(|s| s.cause), "task gone");
        job.record.touch();
        self.dirty = true;
        if job.waiting_since == Micros::ZERO || job.tasks.is_empty() {
            job.waiting_since = ctx.now;
        }
        let blamed = why == Gone::Exited(Exit::Error);
        if blamed {
            let after = Micros::from_secs(120);
            job.avoid.insert(p.machine.clone(), ctx.now + after);
            job.errors += 1;
            // A job that fails wherever it goes is slowed down, so that it harms nobody.
            if job.errors >= 3 {
                let pause = Micros::from_secs(2 << (job.errors - 3).min(5));
                job.paused_until = ctx.now + pause;
            }
            warn!(job = %task.job, machine = %p.machine, errors = job.errors, "task failed");
            if job.errors <= 3 {
                if let Some(m) = self.machines.get_mut(&p.machine) {
                    m.faults.insert(task.job.clone());
                    if m.faults.len() >= 2 && !m.suspect {
                        warn!(machine = %p.machine, "different jobs fail here: machine suspected");
                        m.suspect = true;
                    }
                }
            }
        }
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        match why {
            Gone::Exited(Exit::Done) => {
                job.errors = 0;
                let ran = p.running_since.map(|t| ctx.now - t).filter(|_| job.spec.kind == Kind::Array);
                if let Some(m) = self.machines.get_mut(&p.machine) {
                    m.faults.clear();
                    if let Some(ran) = ran.filter(|_| job.ran.0 >= 3) {
                        let before = m.suspect;
                        m.completed(ran, job.ran.1.over(job.ran.0));
                        if m.suspect && !before {
                            warn!(machine = %p.machine, "much slower than its kind: machine suspected");
                        }
                    }
                }
                if let Some(ran) = ran {
                    job.ran = (job.ran.0 + 1, job.ran.1 + ran);
                }
                if job.spec.kind != Kind::Service {
                    self.task_done(task);
                }
                return;
            }
            Gone::Exited(Exit::NoRoom) => {
                if let Some(m) = self.machines.get_mut(&p.machine) {
                    m.full_until = ctx.now + Micros::from_secs(3);
                }
            }
            Gone::Exited(Exit::Busy | Exit::Unknown) => {
                job.avoid.insert(p.machine.clone(), ctx.now + Micros::from_secs(5));
                job.paused_until = job.paused_until.max(ctx.now + Micros::from_secs(1));
            }
            _ => {}
        }
        if job.gang.is_some() {
            let trigger = match (why, p.stop) {
                (_, Some(_)) => None,
                // Told by a sibling: the one that failed is the one whose machine is silent.
                (Gone::Exited(Exit::Peers), _) => self.silent_member(ctx, &task.job),
                (Gone::Exited(Exit::Error | Exit::Alone), _) => Some(task.index),
                // A reserved member that was never ordered did not fail.
                (Gone::Lost, _) if p.phase > Phase::Recording && silent => Some(task.index),
                _ => None,
            };
            self.drain_gang(ctx, &task.job, trigger, Cause::Peers, Micros::ZERO);
            if let Some(g) = self.jobs.get_mut(&task.job).and_then(|j| j.gang.as_mut()) {
                g.gone(task.index);
            }
        }
    }

    fn task_done(&mut self, task: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        if !job.live() {
            return;
        }
        if let Some(g) = &mut job.gang {
            // They complete together: when one is done, all are.
            g.all_done();
            job.done = crate::ranges::Ranges::full(job.spec.tasks);
        } else if task.index < job.spec.tasks {
            job.done.insert(task.index);
        }
        job.done_gen = job.record.touch();
        if job.done.count() == job.spec.tasks {
            info!(job = %task.job, "all tasks done");
            job.ending = Some(Ending::Completing);
        }
    }

    // ---- gangs ---------------------------------------------------------------------------

    fn drain_gang(&mut self, ctx: &mut Ctx, id: &JobId, trigger: Option<u32>, cause: Cause, grace: Micros) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if !job.live() {
            return;
        }
        let Some(g) = &mut job.gang else { return };
        let epoch = g.epoch;
        if !g.drain(trigger) {
            return;
        }
        info!(gang = %id, epoch, trigger = ?trigger, ?cause, members = job.tasks.len(), "gang drain started");
        let mut unsent = Vec::new();
        for (i, p) in &mut job.tasks {
            if p.phase == Phase::Recording {
                unsent.push(TaskKey { job: id.clone(), index: *i });
            } else if p.stop.is_none() {
                p.stop = Some(Stop { cause, grace, since: ctx.now });
            }
        }
        job.record.touch();
        for t in unsent {
            self.gone(ctx, &t, Gone::Lost);
        }
        self.check_gang(ctx, id);
    }

    fn silent_member(&self, ctx: &Ctx, id: &JobId) -> Option<u32> {
        let job = self.jobs.get(id)?;
        let silent = |p: &Placement| {
            let m = self.machines.get(&p.machine);
            m.is_none_or(|m| m.silent_for(ctx.now) > ctx.cfg.report.times(3).over(2))
        };
        job.tasks.iter().find(|(_, p)| silent(p)).map(|(i, _)| *i)
    }

    /// Gives the verdict once nothing of the gang runs.
    fn check_gang(&mut self, ctx: &mut Ctx, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if !job.live() || !job.tasks.is_empty() {
            return;
        }
        let Some(g) = &mut job.gang else { return };
        if g.draining {
            // Members that were never placed again after a takeover are gone all the same.
            for m in &mut g.members {
                if matches!(m, Member::Preempting | Member::Pending | Member::Running) {
                    *m = Member::Preempted;
                }
            }
        }
        let Some(verdict) = g.complete(ctx.cfg.tuning.retry_limit) else { return };
        info!(gang = %id, epoch = g.epoch, ?verdict, "gang drain completed");
        if verdict == Verdict::Failed {
            // The protocol knows no failed job and every accepted job must run: it pauses.
            // Not for longer than leaves it several tries within the time in which it should begin.
            let pause = Micros::from_secs(5 << job.parks.min(3));
            job.parks += 1;
            job.paused_until = ctx.now + pause;
            g.readmit();
            warn!(gang = %id, parks = job.parks, "gang parked");
        }
        job.waiting_since = ctx.now;
        job.record.touch();
        self.dirty = true;
    }

    // ---- stopping ------------------------------------------------------------------------

    /// Time that a task is given to save; nothing where it can't.
    fn grace(spec: &JobSpec) -> Micros {
        if spec.saves() {
            spec.save + spec.save.over(5) + Micros::from_millis(500)
        } else {
            Micros::ZERO
        }
    }

    /// Stops one task for others' sake; of a gang, all.
    pub fn evict(&mut self, ctx: &mut Ctx, task: &TaskKey, cause: Cause) {
        let grace = self.jobs.get(&task.job).map_or(Micros::ZERO, |j| Self::grace(&j.spec));
        self.evict_with(ctx, task, cause, grace);
    }

    pub fn evict_with(&mut self, ctx: &mut Ctx, task: &TaskKey, cause: Cause, grace: Micros) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(p) = job.tasks.get_mut(&task.index) else { return };
        if p.stop.is_some() || job.ending.is_some() {
            return;
        }
        info!(task = %task, machine = %p.machine, ?cause, "stopping task");
        if job.gang.is_some() {
            self.drain_gang(ctx, &task.job, None, cause, grace);
        } else if p.phase == Phase::Recording {
            self.gone(ctx, task, Gone::Lost);
        } else {
            p.stop = Some(Stop { cause, grace, since: ctx.now });
        }
    }

    // ---- reports -------------------------------------------------------------------------

    /// Takes in what a worker shows. `hello` marks reports of its own, the only ones whose
    /// omissions count: an answer to a command may overtake orders in an earlier reply.
    /// Only a report that shows our present token proves anything: others may be copies that come
    /// much later than they were sent, to a holder that has seen nothing newer.
    /// Returns false for a message older than one already seen.
    pub fn take_report(&mut self, ctx: &mut Ctx, report: &Report, hello: bool) -> bool {
        let id = report.machine.clone();
        let Some(m) = self.machines.get_mut(&id) else { return false };
        if (report.session, report.seq) <= (m.session, m.seq) {
            return false;
        }
        let new_session = report.session > m.session && m.session > 0;
        if new_session {
            info!(machine = %id, session = report.session, "worker began a new session");
            // Answered all the time, and yet its lease ran out.
            m.challenge |= m.last_ok.is_some_and(|t| ctx.now - t < ctx.cfg.lease);
        }
        if report.session > m.session {
            m.session_seen = Some(ctx.now);
        }
        (m.session, m.seq) = (report.session, report.seq);
        m.seen_token = m.seen_token.max(report.token);
        let token = m.token(self.version);
        let fresh = report.token == token;
        // An answer to a command renews no lease: a worker that reaches no controller may answer commands
        // until its lease ends, and after that in a new session, and must not be taken for one that reports.
        if hello {
            m.addr = Some(report.addr.clone());
            m.last_report = Some(ctx.now);
            if fresh {
                (m.heeded, m.unheeded, m.expired) = (Some(ctx.now), None, false);
            }
        }
        let had_notice = m.notice.is_some();
        m.notice = report.notice.map(|n| ctx.now + n);
        if let Some(d) = &m.direct {
            // An older session's commands are refused, and so are those below the highest token.
            if d.unknown && (report.session > d.session || report.token > d.token) {
                debug!(machine = %id, token = d.token, "unanswered command can't arrive any more");
                m.direct = None;
            }
        }
        let settled = m.direct.is_none();
        let evidence = hello && settled;
        let first_notice = !had_notice && m.notice.is_some();

        let placed: Vec<TaskKey> = m.tasks.iter().cloned().collect();
        self.looked.set(self.looked.get() + (placed.len() + report.tasks.len()) as i64);
        m.strays.clear();
        let mut shown: BTreeMap<&TaskKey, &TaskReport> = BTreeMap::new();
        for t in &report.tasks {
            shown.insert(&t.task, t);
        }
        for key in placed.iter().filter(|_| fresh) {
            let Some(p) = self.jobs.get(&key.job).and_then(|j| j.tasks.get(&key.index)) else { continue };
            if p.phase > Phase::Recording && p.session > 0 && p.session < report.session && !shown.contains_key(key) {
                // Sent for an earlier session: that one ended with all that was in it.
                self.gone(ctx, key, Gone::Lost);
                continue;
            }
            match shown.get(key) {
                Some(t) if t.attempt == p.attempt => self.task_shown(ctx, &id, key, t.state),
                _ if p.phase <= Phase::Recording || !evidence => {}
                _ => self.task_omitted(ctx, &id, key),
            }
        }
        for t in &report.tasks {
            self.unplaced_shown(&id, t, fresh);
        }
        if first_notice {
            info!(machine = %id, "machine will be taken back");
            self.leave_machine(ctx, &id);
        }
        true
    }

    fn task_shown(&mut self, ctx: &mut Ctx, machine: &MachineId, key: &TaskKey, state: TaskState) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let spec = job.spec.clone();
        let Some(p) = job.tasks.get_mut(&key.index) else { return };
        if let TaskState::Exited(exit) = state {
            return self.gone(ctx, key, Gone::Exited(exit));
        }
        let phase = match state {
            TaskState::Fetching => Phase::Fetching,
            TaskState::Waiting => Phase::Waiting,
            TaskState::Saving => Phase::Saving,
            _ => Phase::Running,
        };
        let m = self.machines.get_mut(machine);
        if let Some(m) = m {
            p.session = m.session;
            if phase > Phase::Fetching && p.phase <= Phase::Fetching {
                m.fetches_changed = true;
                let cache = ctx.types.iter().find(|t| t.name == m.record.kind).map_or(0, |t| t.cache_mb);
                m.used_image(&spec.image, spec.image_mb, cache);
            }
        }
        if phase == Phase::Running && p.running_since.is_none() {
            p.running_since = Some(ctx.now);
            debug!(task = %key, machine = %machine, epoch = p.attempt, "task runs");
        }
        p.phase = phase;
        if let Some(g) = &mut job.gang {
            g.claimed(key.index);
        }
    }

    /// A report that must show the task if it were there does not: it is not on the machine.
    fn task_omitted(&mut self, ctx: &mut Ctx, machine: &MachineId, key: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(p) = job.tasks.get_mut(&key.index) else { return };
        // What a former holder recorded may have ended long before it fell: it writes down what has gone with the
        // next change, and may have given the place, and the team's limit, to another job by then. So what
        // is adopted and not there is gone, and is decided anew like all that waits.
        let (adopted, sent) = (p.gen == 0, p.session > 0);
        if p.phase == Phase::Ordered && p.stop.is_none() && job.live() && !adopted {
            // The order got lost on its way, or was never sent: it goes with the next reply.
            if sent {
                if let Some(m) = self.machines.get_mut(machine) {
                    m.challenge = true;
                }
            }
            return;
        }
        debug!(task = %key, machine = %machine, "omitted by a newer report");
        self.gone(ctx, key, Gone::Lost);
    }

    /// Shown by the worker, but not (or not any more) placed there by us.
    fn unplaced_shown(&mut self, machine: &MachineId, t: &TaskReport, fresh: bool) {
        let placement = self.jobs.get(&t.task.job).and_then(|j| j.tasks.get(&t.task.index));
        if placement.is_some_and(|p| p.machine == *machine && p.attempt == t.attempt) {
            return;
        }
        let job = self.jobs.get(&t.task.job);
        if let TaskState::Exited(exit) = t.state {
            let counts = job.is_some_and(|j| {
                fresh
                    && j.live()
                    && j.spec.kind == Kind::Array
                    && t.task.index < j.spec.tasks
                    && !j.done.contains(t.task.index)
                    && !j.tasks.contains_key(&t.task.index)
            });
            if exit == Exit::Done && counts {
                self.task_done(&t.task);
            }
            return;
        }
        let need = job.map_or(Amounts::default(), |j| j.spec.need);
        warn!(task = %t.task, machine = %machine, attempt = t.attempt, "task was not placed here; stopping it");
        if let Some(m) = self.machines.get_mut(machine) {
            m.strays.insert(t.task.clone(), (t.attempt, need));
        }
    }

    /// Everything that can be saved leaves a machine that is about to be taken; what saves nothing
    /// may as well run on, and ends with it at the worst.
    fn leave_machine(&mut self, ctx: &mut Ctx, id: &MachineId) {
        let Some(m) = self.machines.get(id) else { return };
        let tasks: Vec<TaskKey> = m.tasks.iter().cloned().collect();
        for t in tasks {
            let Some(job) = self.jobs.get(&t.job) else { continue };
            let moves = job.spec.saves() || job.spec.kind != Kind::Array;
            if moves {
                self.evict(ctx, &t, Cause::Moving);
            }
        }
    }

    /// The orders for a reply to the worker's report, in the order it must carry them out.
    pub fn orders(&mut self, ctx: &mut Ctx, report: &Report) -> Vec<Order> {
        let id = &report.machine;
        let Some(m) = self.machines.get(id) else { return Vec::new() };
        let mut orders = Vec::new();
        let unsettled = m.direct.is_some();
        // What a late copy shows may be long over: it stops what has no place here, nothing else.
        let fresh = report.token == m.token(self.version);
        for t in &report.tasks {
            let key = &t.task;
            let job = self.jobs.get(&key.job);
            match t.state {
                TaskState::Exited(exit) => {
                    // A result must be recorded first, and an unsettled command could start a
                    // forgotten attempt anew.
                    let recorded = job.is_none_or(|j| {
                        matches!(j.ending, Some(Ending::Done | Ending::Cancelled))
                            || exit != Exit::Done
                            || (j.live() && j.record.written >= j.done_gen)
                    });
                    if fresh && recorded && !unsettled {
                        orders.push(Order::Forget { task: key.clone(), attempt: t.attempt });
                    }
                }
                _ if m.strays.contains_key(key) => {
                    orders.push(Order::Stop { task: key.clone(), attempt: t.attempt, grace: Micros::ZERO });
                }
                _ => {}
            }
        }
        let tasks: Vec<TaskKey> = m.tasks.iter().cloned().collect();
        let session = m.session;
        // A write that gives it up may be applied: what was started here then would be returned with it.
        let usable = m.record.share.is_some() && !m.giving_up;
        for key in tasks {
            let Some(job) = self.jobs.get_mut(&key.job) else { continue };
            let live = job.live();
            let Some(p) = job.tasks.get_mut(&key.index) else { continue };
            if p.phase == Phase::Recording {
                continue;
            }
            if let Some(stop) = p.stop {
                let waited = ctx.now - stop.since;
                let overdue = waited > stop.grace + ctx.cfg.gang_peer + Micros::from_secs(2);
                let grace = if overdue { Micros::ZERO } else { stop.grace };
                orders.push(Order::Stop { task: key.clone(), attempt: p.attempt, grace });
            } else if p.phase == Phase::Ordered && live && usable && fresh && p.not_before <= ctx.now {
                p.session = session;
                orders.push(Order::Start { task: key.clone(), attempt: p.attempt });
            }
        }
        orders
    }

    /// Starts that should not wait for the next report go straight to the worker, at most one
    /// message at a time, and only to one that has shown our token and reports.
    pub fn send_directs(&mut self, ctx: &mut Ctx) {
        if !ctx.acting || self.phase != SharePhase::Ready {
            return;
        }
        self.look(self.unsent.len());
        self.unsent.retain(|id| {
            let Some(m) = self.machines.get_mut(id).filter(|m| !m.tasks.is_empty()) else { return false };
            if m.direct.is_some() || !m.usable(ctx.now, ctx.cfg.report, self.version) {
                return true;
            }
            let token = m.token(self.version);
            let Some(addr) = m.addr.clone() else { return true };
            let mut orders = Vec::new();
            let mut later = false;
            for key in &m.tasks {
                let Some(job) = self.jobs.get_mut(&key.job).filter(|j| j.live()) else { continue };
                let Some(p) = job.tasks.get_mut(&key.index) else { continue };
                let fresh = p.phase == Phase::Ordered && p.session == 0 && p.stop.is_none();
                later |= fresh && p.not_before > ctx.now;
                if fresh && p.not_before <= ctx.now {
                    p.session = m.session;
                    orders.push(Order::Start { task: key.clone(), attempt: p.attempt });
                }
            }
            if orders.is_empty() {
                return later;
            }
            debug!(machine = %id, token, orders = orders.len(), "starting tasks directly");
            let call = *ctx.calls;
            *ctx.calls += 1;
            m.direct = Some(Direct { call, token, session: m.session, unknown: false });
            ctx.fx.push(Effect::Direct { call, machine: id.clone(), addr, session: m.session, token, orders });
            later
        });
    }

    /// The outcome of one call settles no other: one that was made before the machine left this share and
    /// came back, or before the share did, says nothing of what is under way now.
    pub fn direct_result(&mut self, ctx: &mut Ctx, call: CallId, id: &MachineId, outcome: DirectOutcome) {
        let current = |m: &&mut Machine| m.direct.as_ref().is_some_and(|d| d.call == call);
        let Some(m) = self.machines.get_mut(id).filter(current) else { return };
        match outcome {
            DirectOutcome::Settled { report } => {
                m.direct = None;
                self.take_report(ctx, &report, false);
            }
            DirectOutcome::NotSent => m.direct = None,
            DirectOutcome::Unknown => {
                if let Some(d) = &mut m.direct {
                    warn!(machine = %id, token = d.token, "command unanswered; raising the token");
                    d.unknown = true;
                }
            }
        }
        self.dirty = true;
    }

    pub(crate) fn look(&self, items: usize) {
        self.looked.set(self.looked.get() + items as i64);
    }

    // ---- time ----------------------------------------------------------------------------

    pub fn tick(&mut self, ctx: &mut Ctx) {
        if self.phase != SharePhase::Ready || ctx.now < self.look_next {
            return;
        }
        self.look_next = ctx.now + LOOK_EVERY;
        self.look(4 * self.machines.len());
        let acting = ctx.cfg.acting_time();
        let version = self.version;
        let over: Vec<MachineId> = self
            .machines
            .values()
            // One placed just before the end is looked at again.
            .filter(|m| !m.expired || !m.tasks.is_empty())
            .filter(|m| m.lease_over_at(version, ctx.cfg.lease, acting) < ctx.now)
            .map(|m| m.id.clone())
            .collect();
        for id in over {
            let Some(m) = self.machines.get_mut(&id) else { continue };
            m.expired = true;
            m.direct = None;
            m.strays.clear();
            let tasks: Vec<TaskKey> = m.tasks.iter().cloned().collect();
            if !tasks.is_empty() {
                warn!(machine = %id, tasks = tasks.len(), "lease is over: its tasks are gone");
            }
            for t in tasks {
                // Also what was never sent: it would never be, and would hold its number for ever.
                self.gone(ctx, &t, Gone::Lost);
            }
        }
        self.judge_machines(ctx);
        for m in self.machines.values_mut() {
            let idle = m.empty() && m.record.share.is_some();
            // Time to boot is not idle time, or a machine would be returned as soon as it is up.
            let up = m.last_report.is_some();
            if let Some(since) = m.clearing {
                if idle && m.released.is_none() {
                    m.released = Some(ctx.now);
                } else if !idle && ctx.now - since > CLEARING_KEPT {
                    m.clearing = None;
                }
            }
            let jobs = &self.jobs;
            let uses = |t: &TaskKey| jobs.get(&t.job).is_some_and(|j| j.spec.need.gpus > 0);
            if m.size.gpus == 0 || !up || m.tasks.iter().any(uses) {
                m.unused_since = None;
            } else if m.unused_since.is_none() {
                m.unused_since = Some(ctx.now);
            }
            if !idle || !up {
                m.idle_since = None;
            } else if m.idle_since.is_none() {
                m.idle_since = Some(m.unused_since.unwrap_or(ctx.now));
            }
        }
    }

    // ---- records -------------------------------------------------------------------------

    /// How many jobs wait for a write: the demand by which controllers divide what the store takes.
    pub fn writes_awaited(&self) -> usize {
        self.jobs.values().filter(|j| j.record.awaited() || j.ending == Some(Ending::Completing)).count()
    }

    /// Up to `budget` writes that are due now: what somebody waits for comes first, and of that what
    /// waits for longest. The engine makes them under this share's claim and reports back through
    /// [`Share::written`].
    pub fn writes(&mut self, now: Micros, budget: usize, value_bytes: usize) -> Vec<ShareWrite> {
        let mut out = Vec::new();
        let look = now >= self.machine_writes_next;
        self.look(if look { self.machines.len() } else { 0 } + self.jobs.len());
        for (id, m) in self.machines.iter_mut().filter(|_| look) {
            if out.len() >= budget.div_ceil(2) {
                // Tokens of a thousand machines must not keep tasks from being started.
                break;
            }
            if m.writing || m.record.share.is_none() {
                continue;
            }
            let mut record = m.record.clone();
            let unsettled = m.direct.as_ref().is_some_and(|d| d.unknown && d.token == m.version.max(self.version));
            let unsettled = unsettled || m.challenge;
            // Released and not used by the leader: rewriting the record makes a late move of its fail.
            let kept = m.released.is_some_and(|t| now - t > RELEASE_KEPT);
            if m.hopeless {
                record.share = None;
            } else if !unsettled && !kept {
                continue;
            }
            m.writing = true;
            m.giving_up |= record.share.is_none();
            out.push(ShareWrite::Machine { machine: id.clone(), version: m.version, record });
        }
        if look && out.is_empty() {
            self.machine_writes_next = now + LOOK_EVERY;
        }
        // Results alone are recorded now and then: until then their workers keep them.
        let rested = |j: &Job| now - j.record.asked_at >= RESULTS_EVERY;
        let mut due: Vec<(bool, Priority, Micros, JobId)> = self
            .jobs
            .iter()
            .filter(|(_, j)| !j.record.in_flight)
            .filter(|(_, j)| match j.ending {
                Some(Ending::Completing) => true,
                Some(_) => j.tasks.is_empty() && j.record.version != Some(0),
                None => j.record.dirty() && (j.record.awaited() || rested(j)),
            })
            .map(|(id, j)| {
                let awaited = j.record.awaited() || j.ending == Some(Ending::Completing);
                (!awaited, j.spec.priority, j.record.asked_at, id.clone())
            })
            .collect();
        due.sort();
        for (_, _, _, id) in due {
            if out.len() >= budget {
                break;
            }
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            job.record.in_flight = true;
            job.record.asked_at = now;
            let write = match (job.record.version, job.ending) {
                (None, _) => ShareWrite::Read { job: id },
                (Some(v), Some(Ending::Completing)) => {
                    ShareWrite::End { job: id, job_version: job.version, record_version: v, tasks: job.spec.tasks }
                }
                (Some(v), Some(_)) => ShareWrite::DropRecord { job: id, version: v },
                (Some(v), None) => match serde_json::to_value(job.to_record()) {
                    // Written by a former holder for a store that took more: nothing is placed for it until enough
                    // of it has gone. The old record names all that is placed meanwhile.
                    Ok(value) if value.to_string().len() > value_bytes => {
                        job.record.in_flight = false;
                        continue;
                    }
                    Ok(value) => ShareWrite::Record { job: id, gen: job.record.gen, version: v, value },
                    Err(_) => continue,
                },
            };
            out.push(write);
        }
        out
    }

    /// The outcome of a record's write: the new version, or None if that must be read first.
    pub fn written(&mut self, ctx: &mut Ctx, write: &ShareWrite, outcome: WriteOutcome) {
        let (job_id, gen) = match write {
            ShareWrite::Machine { machine, record, .. } => {
                if let Some(m) = self.machines.get_mut(machine) {
                    m.writing = false;
                    // Giving it up may be applied late, when it has long come back: rewriting the record
                    // makes that fail.
                    m.challenge |= record.share.is_none() && outcome == WriteOutcome::Unclear;
                    m.giving_up &= outcome != WriteOutcome::Refused || m.challenge;
                    if let WriteOutcome::Done(v) = outcome {
                        m.version = m.version.max(v);
                        m.challenge = false;
                        m.giving_up = false;
                        m.released = None;
                        m.clearing = None;
                        m.record = record.clone();
                    }
                }
                return;
            }
            ShareWrite::Record { job, gen, .. } => (job, *gen),
            ShareWrite::End { job, .. } | ShareWrite::DropRecord { job, .. } | ShareWrite::Read { job } => (job, 0),
        };
        let Some(job) = self.jobs.get_mut(job_id) else { return };
        job.record.in_flight = false;
        match outcome {
            WriteOutcome::Refused => return,
            WriteOutcome::Unclear => {
                job.record.version = None;
                return;
            }
            WriteOutcome::Done(v) => match write {
                ShareWrite::Record { .. } => {
                    job.record.version = Some(v);
                    job.record.written = job.record.written.max(gen);
                    let placed: Vec<u32> = job
                        .tasks
                        .iter_mut()
                        .filter(|(_, p)| p.phase == Phase::Recording && p.gen <= gen)
                        .map(|(i, p)| {
                            p.phase = Phase::Ordered;
                            p.since = ctx.now;
                            self.unsent.insert(p.machine.clone());
                            *i
                        })
                        .collect();
                    if let Some(g) = &mut job.gang {
                        for i in placed {
                            g.recorded(i);
                        }
                    }
                }
                ShareWrite::End { .. } => {
                    info!(job = %job_id, "job recorded as done");
                    job.ending = Some(Ending::Done);
                    job.record.version = Some(0);
                    stop_rest(job, ctx.now);
                }
                ShareWrite::DropRecord { .. } => job.record.version = Some(0),
                ShareWrite::Read { .. } => job.record.version = Some(v),
                ShareWrite::Machine { .. } => {}
            },
        }
        let id = job_id.clone();
        self.settle_job(ctx, &id);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Applied, at this version. For a read: the version found, 0 if there is none.
    Done(u64),
    /// Not applied, and never will be.
    Refused,
    /// May be applied late, or the version was not the expected one.
    Unclear,
}

/// Members of a gang complete together, so there is hardly ever anything left to stop.
fn stop_rest(job: &mut Job, now: Micros) {
    for p in job.tasks.values_mut() {
        p.stop = Some(Stop { cause: Cause::Cancelled, grace: Micros::ZERO, since: now });
    }
}

/// What is known of an ended job from its work record alone, enough to clear it away.
fn leftover_spec(id: &JobId, r: &WorkRecord) -> JobSpec {
    let placed = r.placed.values().flatten().map(|run| run.1).max().unwrap_or(0);
    JobSpec {
        id: id.clone(),
        class: String::new(),
        team: r.team.clone(),
        kind: Kind::Array,
        priority: Priority::BestEffort,
        tasks: placed,
        need: r.need,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        image: String::new(),
        image_mb: 0,
        estimate: Micros::ZERO,
        checkpoint: Micros::ZERO,
        save: Micros::ZERO,
        deadline: None,
        submitted: Micros::ZERO,
        needs: Vec::new(),
        needs_parts: 0,
    }
}

pub fn machine_write(machine: &MachineId, record: &MachineRecord) -> Write {
    Write::Put { key: machine_key(machine), value: serde_json::to_value(record).unwrap_or_default(), lease: None }
}
