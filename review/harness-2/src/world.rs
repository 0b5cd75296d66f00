//! The cloud, the machines with their workers, and the ledger of what ran where. Everything follows PROTOCOL.

use crate::http;
use crate::json::{number, object, text, Json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The largest body of a request.
pub const BODY_BYTES: usize = 64 * 1024;

#[derive(Clone)]
pub struct MachineType {
    pub name: &'static str,
    pub cores: f64,
    pub accelerators: f64,
    pub ram_gb: f64,
    pub hourly: f64,
    pub spot_price: f64,
    pub boot_s: f64,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub zones: &'static [&'static str],
}

#[derive(Clone, Copy)]
pub struct Times {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
    pub list_lag_s: f64,
}

#[derive(Clone)]
pub struct Job {
    pub id: String,
    pub team: String,
    pub kind: &'static str,
    pub priority: &'static str,
    pub tasks: u32,
    pub cores: f64,
    pub accelerators: f64,
    pub ram_gb: f64,
    pub image: String,
    pub pull_gb: f64,
    pub types: Option<Vec<&'static str>>,
    pub zone: Option<&'static str>,
    pub one_zone: bool,
    pub scatter: bool,
    pub spot: bool,
    pub estimate_s: f64,
    pub class: String,
    pub needs: Vec<String>,
    /// How long a task runs. Services run until they are stopped.
    pub run_s: f64,
    /// It was submitted with a mistake: its tasks fail on every machine after this time.
    pub mistake_s: Option<f64>,
    // ---- what became of it ----
    pub accepted: Option<Instant>,
    pub withdrawn: Option<Instant>,
    pub done: BTreeSet<u32>,
    pub starts: u32,
    pub last_start: Option<Instant>,
    pub losses: u32,
}

impl Job {
    pub fn new(id: &str, team: &str, kind: &'static str, tasks: u32, cores: f64, ram_gb: f64) -> Job {
        Job {
            id: id.to_owned(),
            team: team.to_owned(),
            kind,
            priority: if kind == "service" { "critical" } else { "normal" },
            tasks,
            cores,
            accelerators: 0.0,
            ram_gb,
            image: "img".to_owned(),
            pull_gb: 0.1,
            types: None,
            zone: None,
            one_zone: false,
            scatter: false,
            spot: false,
            estimate_s: if kind == "service" { 0.0 } else { 5.0 },
            class: "class".to_owned(),
            needs: Vec::new(),
            run_s: 5.0,
            mistake_s: None,
            accepted: None,
            withdrawn: None,
            done: BTreeSet::new(),
            starts: 0,
            last_start: None,
            losses: 0,
        }
    }

    pub fn body(&self) -> String {
        let types = self.types.as_ref().map_or(Json::Null, |types| Json::List(types.iter().map(|name| text(*name)).collect()));
        let mut body = object([
            ("id", text(self.id.as_str())),
            ("fornada", text(self.class.as_str())),
            ("equipe", text(self.team.as_str())),
            ("feitio", text(self.kind)),
            ("vez", text(self.priority)),
            ("paes", number(self.tasks)),
            ("cores", number(self.cores)),
            ("accelerators", number(self.accelerators)),
            ("ram_gb", number(self.ram_gb)),
            ("receita", text(self.image.as_str())),
            ("pull_gb", number(self.pull_gb)),
            ("modelos", types),
            ("praca", self.zone.map_or(Json::Null, text)),
            ("one_zone", Json::Bool(self.one_zone)),
            ("scatter", Json::Bool(self.scatter)),
            ("emprestados", Json::Bool(self.spot)),
            ("assa_s", number(self.estimate_s)),
            ("vira_s", number(0.0)),
            ("guarda_s", number(0.0)),
            ("entrega_s", Json::Null),
        ]);
        if !self.needs.is_empty() {
            body.set("espera", Json::List(self.needs.iter().map(|id| text(id.as_str())).collect()));
        }
        body.to_string()
    }
}

#[derive(Clone, Copy, PartialEq)]
pub enum State {
    Pulling { until: Instant },
    Gathering { since: Instant },
    Running { until: Option<Instant> },
    Exited { why: &'static str },
}

#[derive(Clone)]
pub struct Task {
    pub state: State,
}

impl Task {
    fn on_machine(&self) -> bool {
        matches!(self.state, State::Gathering { .. } | State::Running { .. })
    }
}

/// A start of a task: job, number, attempt.
pub type TaskKey = (String, u32, u64);

pub struct Machine {
    pub id: String,
    pub addr: Option<SocketAddr>,
    pub kind: MachineType,
    pub zone: &'static str,
    pub spot: bool,
    pub rented: Instant,
    pub up: Instant,
    /// It was deleted, taken or has died.
    pub gone: Option<Instant>,
    /// It stopped by itself: still listed as running for 30 s.
    pub died: bool,
    pub hangs: bool,
    /// No report leaves and no command arrives.
    pub cut: bool,
    /// Reports arrive; answers and commands are lost.
    pub deaf: bool,
    /// No report leaves; commands arrive.
    pub mute: bool,
    pub session: u64,
    pub session_began: Instant,
    pub answered_sent: Option<Instant>,
    pub count: u64,
    pub token: u64,
    pub token_told: Instant,
    pub tasks: BTreeMap<TaskKey, Task>,
    pub images: BTreeSet<String>,
    pub changed: bool,
    pub last_report: Option<Instant>,
    pub sessions_lost: u32,
    pub tasks_lost_with_sessions: usize,
    pub oversized: u32,
}

pub struct World {
    pub began: Instant,
    pub times: Times,
    pub types: Vec<MachineType>,
    /// Most machines by type, zone and kind.
    pub capacity: BTreeMap<(&'static str, &'static str, bool), usize>,
    pub jobs: BTreeMap<String, Job>,
    pub machines: BTreeMap<String, Machine>,
    pub limits: BTreeMap<String, (f64, f64)>,
    pub controllers: Vec<SocketAddr>,
    pub members: Vec<String>,
    pub record: Vec<String>,
    pub broken: Vec<String>,
    pub rentals: BTreeMap<String, Vec<String>>,
    pub rent_requests: u32,
    pub boot_factor: f64,
    pub cloud_out: bool,
    pub seed: u64,
    /// This share of direct commands is held up for 2 to 16 s, unanswered, and carried out once.
    pub late_commands: f64,
    /// Of this share of the reports a copy arrives again, 2 to 40 s later.
    pub late_reports: f64,
}

impl Machine {
    /// A machine that hangs may go on within its lease only.
    fn lease_over(&self, now: Instant, lease_s: f64) -> bool {
        now.duration_since(self.answered_sent.unwrap_or(self.session_began)).as_secs_f64() > lease_s
    }
}

pub type Shared = Arc<Mutex<World>>;

impl World {
    pub fn note(&mut self, line: impl Into<String>) {
        let line = format!("{:8.3} {}", self.began.elapsed().as_secs_f64(), line.into());
        self.record.push(line);
    }

    pub fn violation(&mut self, line: impl Into<String>) {
        let line = line.into();
        self.note(format!("BROKEN {line}"));
        self.broken.push(line);
    }

    pub fn random(&mut self) -> f64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        (self.seed >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn add_machine(&mut self, kind: &str, zone: &'static str, spot: bool, boot_s: f64) -> Option<String> {
        let kind = self.types.iter().find(|t| t.name == kind)?.clone();
        let live = self.machines.values().filter(|m| m.gone.is_none() && m.kind.name == kind.name && m.zone == zone && m.spot == spot);
        if live.count() >= self.capacity.get(&(kind.name, zone, spot)).copied().unwrap_or(0) {
            return None;
        }
        let id = format!("i-{:06}", self.machines.len() + 1);
        let now = Instant::now();
        // A machine without boot time was up before the test began.
        let earlier = if boot_s == 0.0 { now.checked_sub(Duration::from_secs(60)).unwrap_or(now) } else { now };
        let machine = Machine {
            id: id.clone(),
            addr: None,
            kind,
            zone,
            spot,
            rented: earlier,
            up: now + Duration::from_secs_f64(boot_s),
            gone: None,
            died: false,
            hangs: false,
            cut: false,
            deaf: false,
            mute: false,
            session: 1,
            session_began: now + Duration::from_secs_f64(boot_s),
            answered_sent: None,
            count: 0,
            token: 0,
            token_told: now,
            tasks: BTreeMap::new(),
            images: BTreeSet::new(),
            changed: false,
            last_report: None,
            sessions_lost: 0,
            tasks_lost_with_sessions: 0,
            oversized: 0,
        };
        self.machines.insert(id.clone(), machine);
        Some(id)
    }

    /// A machine hangs, or goes on: what runs on it stands still meanwhile.
    pub fn hang(&mut self, id: &str, hangs: bool, lasted: Duration) {
        let Some(m) = self.machines.get_mut(id) else { return };
        if m.hangs && !hangs {
            for task in m.tasks.values_mut() {
                match &mut task.state {
                    State::Running { until: Some(until) } => *until += lasted,
                    State::Pulling { until } => *until += lasted,
                    _ => {}
                }
            }
        }
        m.hangs = hangs;
        self.note(format!("machine {id} hangs: {hangs}"));
    }

    /// The machine is gone with everything on it.
    pub fn remove_machine(&mut self, id: &str, why: &str) {
        let Some(m) = self.machines.get_mut(id) else { return };
        if m.gone.is_some() {
            return;
        }
        m.gone = Some(Instant::now());
        let tasks: Vec<String> = m.tasks.iter().filter(|t| t.1.on_machine()).map(|(k, _)| format!("{}/{}", k.0, k.1)).collect();
        m.tasks.clear();
        self.note(format!("machine {id} gone: {why}; tasks on it: {tasks:?}"));
    }

    /// Brings the tasks of a machine up to now.
    fn advance(&mut self, id: &str) {
        let now = Instant::now();
        let Some(m) = self.machines.get_mut(id) else { return };
        if m.hangs || m.gone.is_some() || now < m.up {
            return;
        }
        let lease = Duration::from_secs_f64(self.times.lease_s);
        let from = m.answered_sent.unwrap_or(m.session_began);
        if now.duration_since(from) > lease {
            m.session += 1;
            m.session_began = now;
            m.answered_sent = None;
            m.sessions_lost += 1;
            let lost = std::mem::take(&mut m.tasks);
            m.tasks_lost_with_sessions += lost.len();
            m.changed = true;
            let session = m.session;
            for (job, _, _) in lost.keys() {
                if let Some(job) = self.jobs.get_mut(job) {
                    job.losses += 1;
                }
            }
            let first = lost.keys().next().map(|k| format!("{}/{}", k.0, k.1));
            self.note(format!("machine {id}: lease over, session {session} begins; {} tasks killed, first {first:?}", lost.len()));
            return;
        }
        let due: Vec<TaskKey> = m.tasks.iter().filter(|(_, t)| matches!(t.state, State::Pulling { until } if until <= now)).map(|(k, _)| k.clone()).collect();
        for key in due {
            self.got_image(id, &key, now);
        }
        let alone = self.lost_peers(id);
        let Some(m) = self.machines.get_mut(id) else { return };
        let mut ended = Vec::new();
        for (key, task) in &mut m.tasks {
            if alone.contains(key) {
                task.state = State::Exited { why: "peers" };
                m.changed = true;
                ended.push((key.clone(), "peers"));
                continue;
            }
            let Some(job) = self.jobs.get(&key.0) else { continue };
            match task.state {
                State::Running { until: Some(until) } if until <= now => {
                    let why = if job.mistake_s.is_some() { "error" } else { "done" };
                    task.state = State::Exited { why };
                    m.changed = true;
                    ended.push((key.clone(), why));
                }
                State::Gathering { since } if now.duration_since(since).as_secs_f64() > self.times.gang_wait_s => {
                    task.state = State::Exited { why: "alone" };
                    m.changed = true;
                    ended.push((key.clone(), "alone"));
                }
                _ => {}
            }
        }
        for (key, why) in ended {
            self.note(format!("task {}/{} attempt {} on {id} exited: {why}", key.0, key.1, key.2));
            if let Some(job) = self.jobs.get_mut(&key.0).filter(|_| why == "done") {
                if job.kind == "group" {
                    job.done.extend(0..job.tasks);
                } else {
                    job.done.insert(key.1);
                }
            }
        }
    }

    /// Running gang tasks on a machine of whose gang another task is gone, stopped or hangs.
    fn lost_peers(&self, id: &str) -> Vec<TaskKey> {
        let Some(m) = self.machines.get(id) else { return Vec::new() };
        let running = m.tasks.iter().filter(|(_, t)| matches!(t.state, State::Running { .. })).map(|(key, _)| key);
        let lost = |key: &&TaskKey| {
            let Some(job) = self.jobs.get(&key.0).filter(|job| job.kind == "group") else { return false };
            let well = self.machines.values().filter(|m| !m.hangs && m.gone.is_none()).flat_map(|m| &m.tasks).filter(|(k, t)| {
                k.0 == key.0 && k.2 == key.2 && matches!(t.state, State::Running { .. } | State::Exited { why: "done" })
            });
            (well.count() as u32) < job.tasks && job.done.is_empty()
        };
        running.filter(lost).cloned().collect()
    }

    /// Number of a job's tasks that run.
    pub fn running(&self, id: &str) -> usize {
        let tasks = self.machines.values().flat_map(|m| &m.tasks);
        tasks.filter(|(key, task)| key.0 == id && matches!(task.state, State::Running { .. })).count()
    }

    /// For how many seconds all tasks of a service have run.
    pub fn ran_for(&self, id: &str) -> f64 {
        self.jobs.get(id).and_then(|job| job.last_start).map_or(0.0, |at| at.elapsed().as_secs_f64())
    }

    /// Whether a task of a waiting array fits on a machine now, and its team is under its limit.
    pub fn has_room(&self, id: &str) -> Option<String> {
        let job = self.jobs.get(id)?;
        let (mut cpus, mut gpus) = (job.cores, job.accelerators);
        for (key, task) in self.machines.values().flat_map(|m| &m.tasks) {
            if let Some(other) = self.jobs.get(&key.0).filter(|o| o.team == job.team && task.on_machine()) {
                cpus += other.cores;
                gpus += other.accelerators;
            }
        }
        let (cpus_max, gpus_max) = self.limits.get(&job.team).copied().unwrap_or_default();
        if (cpus_max > 0.0 && cpus > cpus_max) || (gpus_max > 0.0 && gpus > gpus_max) {
            return None;
        }
        let fits = |m: &&Machine| {
            let used = m.tasks.iter().filter(|(_, t)| !matches!(t.state, State::Exited { .. }));
            let (mut cores, mut gpus, mut ram) = (m.kind.cores, m.kind.accelerators, m.kind.ram_gb);
            for other in used.filter_map(|(key, _)| self.jobs.get(&key.0)) {
                cores -= other.cores;
                gpus -= other.accelerators;
                ram -= other.ram_gb;
            }
            m.gone.is_none()
                && m.up < Instant::now()
                && (job.spot || !m.spot)
                && job.zone.is_none_or(|zone| zone == m.zone)
                && job.types.as_ref().is_none_or(|types| types.contains(&m.kind.name))
                && cores >= job.cores
                && gpus >= job.accelerators
                && ram >= job.ram_gb
        };
        self.machines.values().find(fits).map(|m| m.id.clone())
    }

    /// A task has its image: from now on it is on the machine.
    fn got_image(&mut self, id: &str, key: &TaskKey, now: Instant) {
        let Some(job) = self.jobs.get(&key.0).cloned() else { return };
        let Some(m) = self.machines.get_mut(id) else { return };
        m.changed = true;
        m.images.insert(job.image.clone());
        let (zone, kind, spot) = (m.zone, m.kind.name, m.spot);
        let Some(task) = m.tasks.get_mut(key) else { return };
        let attempt = key.2;
        if job.done.contains(&key.1) {
            task.state = State::Exited { why: "done" };
            return;
        }
        task.state = match job.kind {
            "group" => State::Gathering { since: now },
            "service" => State::Running { until: None },
            _ => State::Running { until: Some(now + Duration::from_secs_f64(job.mistake_s.unwrap_or(job.run_s))) },
        };
        let name = format!("{}/{}", key.0, key.1);
        self.note(format!("task {name} attempt {attempt} starts on {id}"));
        if let Some(job) = self.jobs.get_mut(&key.0) {
            job.starts += 1;
            job.last_start = Some(now);
        }
        let elsewhere: Vec<String> = self
            .machines
            .values()
            .filter(|other| other.id != id && !(other.hangs && other.lease_over(now, self.times.lease_s)))
            .filter(|other| other.tasks.iter().any(|(k, t)| (&k.0, k.1) == (&key.0, key.1) && t.on_machine()))
            .map(|other| other.id.clone())
            .collect();
        if !elsewhere.is_empty() {
            self.violation(format!("ran_twice: {name} starts on {id} while it is on {elsewhere:?}"));
        }
        if job.withdrawn.is_some_and(|at| now.duration_since(at).as_secs_f64() > self.times.cancel_s) {
            self.violation(format!("ran_cancelled: {name} starts on {id}"));
        }
        let allowed = job.types.as_ref().is_none_or(|types| types.contains(&kind)) && job.zone.is_none_or(|z| z == zone) && (job.spot || !spot);
        if !allowed {
            self.violation(format!("wrong_place: {name} starts on {id} ({kind}, {zone}, spot {spot})"));
        }
        if job.one_zone || job.scatter {
            let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
            for other in self.machines.values() {
                let here = other.tasks.iter().filter(|(k, t)| k.0 == key.0 && t.on_machine()).count() as u32;
                *zones.entry(other.zone).or_default() += here;
            }
            zones.retain(|_, n| *n > 0);
            if (job.one_zone && zones.len() > 1) || (job.scatter && zones.get(zone).is_some_and(|n| *n > job.tasks.div_ceil(2))) {
                self.violation(format!("wrong_place: {name} starts on {id} in {zone}; tasks by zone {zones:?}"));
            }
        }
        for needed in &job.needs {
            let over = self.jobs.get(needed).is_some_and(|n| n.done.len() as u32 == n.tasks);
            if !over {
                self.violation(format!("too_early: {name} starts before {needed} is done"));
            }
        }
        self.check_quota(&job.team);
        if job.kind == "group" {
            self.gather(&job, attempt, now);
        }
    }

    fn gather(&mut self, job: &Job, attempt: u64, now: Instant) {
        let ready = |t: &(&TaskKey, &Task)| t.0 .0 == job.id && t.0 .2 == attempt && matches!(t.1.state, State::Gathering { .. });
        let count = self.machines.values().flat_map(|m| m.tasks.iter()).filter(ready).count();
        if count as u32 == job.tasks {
            let until = Some(now + Duration::from_secs_f64(job.mistake_s.unwrap_or(job.run_s)));
            for m in self.machines.values_mut() {
                for (key, task) in &mut m.tasks {
                    if key.0 == job.id && key.2 == attempt && matches!(task.state, State::Gathering { .. }) {
                        task.state = State::Running { until };
                        m.changed = true;
                    }
                }
            }
        }
    }

    fn check_quota(&mut self, team: &str) {
        let Some((cpus_max, gpus_max)) = self.limits.get(team).copied() else { return };
        let (mut cpus, mut gpus) = (0.0, 0.0);
        for m in self.machines.values() {
            for (key, task) in &m.tasks {
                let job = self.jobs.get(&key.0);
                if let Some(job) = job.filter(|job| job.team == team && task.on_machine()) {
                    cpus += job.cores;
                    gpus += job.accelerators;
                }
            }
        }
        if (cpus_max > 0.0 && cpus > cpus_max + 1e-6) || (gpus_max > 0.0 && gpus > gpus_max + 1e-6) {
            self.violation(format!("quota: {team} uses {cpus} CPUs and {gpus} GPUs"));
        }
    }

    /// Cancelled tasks that are still on a machine.
    pub fn check_cancelled(&mut self) {
        let now = Instant::now();
        let mut late = Vec::new();
        for m in self.machines.values() {
            for (key, task) in &m.tasks {
                let withdrawn = self.jobs.get(&key.0).and_then(|job| job.withdrawn);
                if task.on_machine() && withdrawn.is_some_and(|at| now.duration_since(at).as_secs_f64() > self.times.cancel_s) {
                    late.push(format!("ran_cancelled: {}/{} is still on {}", key.0, key.1, m.id));
                }
            }
        }
        for line in late {
            if !self.broken.contains(&line) {
                self.violation(line);
            }
        }
    }

    fn carry_out(&mut self, id: &str, orders: &[Json]) {
        for order in orders {
            let name = order.get("pao").str();
            let Some((job, index)) = name.rsplit_once('/') else { continue };
            let attempt = order.get("tentativa").u64().unwrap_or(0);
            let key: TaskKey = (job.to_owned(), index.parse().unwrap_or(0), attempt);
            match order.get("ordem").str() {
                "run" => self.run(id, key),
                "stop" => self.stop(id, &key),
                "clear" => {
                    let Some(m) = self.machines.get_mut(id) else { return };
                    if m.tasks.get(&key).is_some_and(|t| matches!(t.state, State::Exited { .. })) {
                        m.tasks.remove(&key);
                    }
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, id: &str, key: TaskKey) {
        let now = Instant::now();
        let job = self.jobs.get(&key.0).cloned();
        let Some(m) = self.machines.get_mut(id) else { return };
        if m.tasks.contains_key(&key) {
            return;
        }
        m.changed = true;
        let (mut cpus, mut gpus, mut ram) = (m.kind.cores, m.kind.accelerators, m.kind.ram_gb);
        let mut in_use = false;
        for (other, task) in &m.tasks {
            if let Some(job) = self.jobs.get(&other.0).filter(|_| !matches!(task.state, State::Exited { .. })) {
                cpus -= job.cores;
                gpus -= job.accelerators;
                ram -= job.ram_gb;
                in_use |= (&other.0, other.1) == (&key.0, key.1);
            }
        }
        let state = match job.filter(|job| key.1 < job.tasks) {
            None => State::Exited { why: "unknown" },
            Some(_) if in_use => State::Exited { why: "in_use" },
            Some(job) if job.cores <= cpus + 1e-6 && job.accelerators <= gpus + 1e-6 && job.ram_gb <= ram + 1e-6 => {
                let fetch = if m.images.contains(&job.image) { 0.0 } else { job.pull_gb / m.kind.fetch_gb_per_s };
                State::Pulling { until: now + Duration::from_secs_f64(fetch) }
            }
            Some(_) => State::Exited { why: "no_room" },
        };
        m.tasks.insert(key, Task { state });
    }

    fn stop(&mut self, id: &str, key: &TaskKey) {
        let Some(m) = self.machines.get_mut(id) else { return };
        let Some(task) = m.tasks.get_mut(key) else { return };
        if !matches!(task.state, State::Exited { .. }) {
            task.state = State::Exited { why: "halted" };
            m.changed = true;
            self.note(format!("task {}/{} attempt {} on {id} stopped by command", key.0, key.1, key.2));
        }
    }

    /// The worker's report.
    fn report(&mut self, id: &str) -> String {
        let Some(m) = self.machines.get_mut(id) else { return String::new() };
        m.count += 1;
        let tasks = m.tasks.iter().map(|(key, task)| {
            let (state, why) = match task.state {
                State::Pulling { .. } => ("pulling", None),
                State::Gathering { .. } => ("gathering", None),
                State::Running { .. } => ("running", None),
                State::Exited { why } => ("exited", Some(why)),
            };
            let mut entry = object([
                ("pao", text(format!("{}/{}", key.0, key.1))),
                ("tentativa", number(key.2)),
                ("ponto", text(state)),
            ]);
            if let Some(why) = why {
                entry.set("motivo", text(why));
            }
            entry
        });
        object([
            ("fornalha", text(m.id.as_str())),
            ("addr", text(m.addr.map_or(String::new(), |a| a.to_string()))),
            ("modelo", text(m.kind.name)),
            ("praca", text(m.zone)),
            ("emprestados", Json::Bool(m.spot)),
            ("turno", number(m.session)),
            ("conta", number(m.count)),
            ("bastao", number(m.token)),
            ("aviso_s", Json::Null),
            ("paes", Json::List(tasks.collect())),
        ])
        .to_string()
    }
}

/// Starts the worker of a machine once it is up. Its threads end with the machine.
pub fn start_worker(world: &Shared, id: String) {
    let (shared, name) = (world.clone(), id.clone());
    let addr = http::serve(move |method, path, body| commands(&shared, &name, method, path, body));
    world.lock().unwrap().machines.get_mut(&id).unwrap().addr = Some(addr);
    let shared = world.clone();
    std::thread::spawn(move || worker(&shared, &id));
}

/// `POST /commands` and `GET /status`.
fn commands(world: &Shared, id: &str, method: &str, path: &str, body: &[u8]) -> http::Answer {
    let late = world.lock().unwrap().late_commands;
    if late > 0.0 && crate::store::chance() < late {
        let (world, id, method, path, body) = (world.clone(), id.to_owned(), method.to_owned(), path.to_owned(), body.to_vec());
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_secs_f64(2.0 + 14.0 * crate::store::chance()));
            commands_now(&world, &id, &method, &path, &body)
        });
        std::thread::sleep(Duration::from_secs(5));
        return None;
    }
    commands_now(world, id, method, path, body)
}

fn commands_now(world: &Shared, id: &str, method: &str, path: &str, body: &[u8]) -> http::Answer {
    loop {
        {
            let mut world = world.lock().unwrap();
            let m = world.machines.get(id)?;
            if m.gone.is_some() {
                return None;
            }
            if m.deaf {
                return None;
            }
            if !m.hangs && !m.cut {
                world.advance(id);
                if method == "GET" && path == "/status" {
                    return Some((200, world.report(id)));
                }
                let body = Json::parse(body)?;
                let (Some(token), Some(session)) = (body.get("bastao").u64(), body.get("turno").u64()) else {
                    return Some((400, "{}".into()));
                };
                let m = world.machines.get_mut(id)?;
                if token < m.token || session != m.session {
                    return Some((409, world.report(id)));
                }
                if token > m.token {
                    m.token = token;
                    m.changed = true;
                }
                world.carry_out(id, body.get("ordens").list());
                world.advance(id);
                return Some((200, world.report(id)));
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn worker(world: &Shared, id: &str) {
    let mut node = {
        let mut world = world.lock().unwrap();
        (world.random() * 1000.0) as usize % world.controllers.len()
    };
    let mut next = Instant::now();
    loop {
        std::thread::sleep(Duration::from_millis(10));
        let now = Instant::now();
        let (to, report, session) = {
            let mut w = world.lock().unwrap();
            w.advance(id);
            let Some(m) = w.machines.get(id) else { return };
            if m.gone.is_some() {
                return;
            }
            if m.hangs || m.cut || m.mute || now < m.up {
                continue;
            }
            let since = m.last_report.map_or(Duration::from_secs(60), |t| now.duration_since(t));
            if now < next && !(m.changed && since >= Duration::from_millis(500)) {
                continue;
            }
            let spread = 0.75 + 0.5 * w.random();
            next = now + Duration::from_secs_f64(w.times.report_s * spread);
            let report = w.report(id);
            let to = w.controllers[node];
            let m = w.machines.get_mut(id).unwrap();
            m.changed = false;
            m.last_report = Some(now);
            let session = m.session;
            if report.len() > BODY_BYTES {
                // A request body may be at most 64 KiB, and a report holds all tasks: it can't be sent.
                m.oversized += 1;
                let (tasks, first) = (m.tasks.len(), m.oversized == 1);
                if first {
                    w.note(format!("machine {id}: report of {} bytes with {tasks} tasks is above 64 KiB", report.len()));
                }
                continue;
            }
            (to, report, session)
        };
        let answer = http::call(to, "POST", "/hello", &report, Duration::from_secs(4));
        let late = world.lock().unwrap().late_reports;
        if late > 0.0 && crate::store::chance() < late {
            let (world, report) = (world.clone(), report.clone());
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_secs_f64(2.0 + 38.0 * crate::store::chance()));
                let controllers = world.lock().unwrap().controllers.clone();
                for to in controllers {
                    let _ = http::call(to, "POST", "/hello", &report, Duration::from_secs(2));
                }
            });
        }
        let mut w = world.lock().unwrap();
        let members = w.members.clone();
        let half_lease = Duration::from_secs_f64(w.times.lease_s / 2.0);
        let Some(m) = w.machines.get_mut(id) else { return };
        if m.gone.is_some() {
            return;
        }
        match answer {
            _ if m.cut || m.hangs || m.mute => {}
            _ if m.deaf => {
                node = (node + 1) % members.len();
                next = now + Duration::from_secs(5);
            }
            Some((200, body)) => {
                let Some(body) = Json::parse(&body) else { continue };
                let Some(token) = body.get("bastao").u64() else { continue };
                if session != m.session || token < m.token {
                    continue;
                }
                if token > m.token {
                    m.token = token;
                    if now.duration_since(m.token_told) > half_lease {
                        m.changed = true;
                        m.token_told = now;
                    }
                }
                m.answered_sent = Some(now);
                w.advance(id);
                w.carry_out(id, body.get("ordens").list());
            }
            Some((421, body)) => {
                let named = Json::parse(&body).unwrap_or_default();
                let named = members.iter().position(|member| member == named.get("mestre").str());
                match named {
                    Some(other) if other != node => {
                        node = other;
                        next = now;
                    }
                    _ => {
                        node = (node + 1) % members.len();
                        next = now + Duration::from_secs(1);
                    }
                }
                m.last_report = None;
            }
            _ => {
                node = (node + 1) % members.len();
                next = now + Duration::from_secs(1);
                m.last_report = None;
            }
        }
    }
}

/// Serves the cloud's interface.
pub fn start_cloud(world: &Shared) -> SocketAddr {
    let shared = world.clone();
    http::serve(move |method, path, body| cloud(&shared, method, path, body))
}

fn cloud(shared: &Shared, method: &str, path: &str, body: &[u8]) -> http::Answer {
    std::thread::sleep(Duration::from_millis(40));
    let (resource, query) = path.split_once('?').unwrap_or((path, ""));
    let query: BTreeMap<&str, &str> = query.split('&').filter_map(|part| part.split_once('=')).collect();
    let body = Json::parse(body).unwrap_or_default();
    let mut world = shared.lock().unwrap();
    if world.cloud_out {
        return Some((503, "{\"error\":\"trouble\"}".into()));
    }
    match (method, resource) {
        ("GET", "/machine_types") => {
            let types = world.types.iter().map(|t| {
                object([
                    ("name", text(t.name)),
                    ("cores", number(t.cores)),
                    ("accelerators", number(t.accelerators)),
                    ("ram_gb", number(t.ram_gb)),
                    ("cache_gb", number(t.cache_gb)),
                    ("fetch_gb_per_s", number(t.fetch_gb_per_s)),
                    ("hourly", number(t.hourly)),
                    ("spot_price", number(t.spot_price)),
                    ("boot_s", number(t.boot_s)),
                    ("pracas", Json::List(t.zones.iter().map(|z| text(*z)).collect())),
                ])
            });
            Some((200, object([("modelos", Json::List(types.collect()))]).to_string()))
        }
        ("POST", "/hosts") => {
            let name = body.get("encomenda").str().to_owned();
            if let Some(ids) = world.rentals.get(&name) {
                let ids = ids.iter().map(|id| text(id.as_str())).collect();
                return Some((200, object([("fornalhas", Json::List(ids))]).to_string()));
            }
            world.rent_requests += 1;
            let kind = world.types.iter().find(|t| t.name == body.get("modelo").str())?.clone();
            let zone = kind.zones.iter().find(|z| **z == body.get("praca").str())?;
            let mut ids = Vec::new();
            for _ in 0..body.get("count").u64().unwrap_or(0).min(50) {
                let boot = kind.boot_s * world.boot_factor * (0.8 + 0.4 * world.random());
                match world.add_machine(kind.name, zone, body.get("emprestados").bool(), boot) {
                    Some(id) => ids.push(id),
                    None => break,
                }
            }
            world.note(format!("cloud: rent {body} -> {ids:?}"));
            if ids.is_empty() {
                return Some((503, "{\"error\":\"no capacity\"}".into()));
            }
            world.rentals.insert(name, ids.clone());
            drop(world);
            for id in &ids {
                start_worker(shared, id.clone());
            }
            let ids = ids.into_iter().map(text).collect();
            Some((200, object([("fornalhas", Json::List(ids))]).to_string()))
        }
        ("POST", "/hosts/delete") => {
            let ids: Vec<String> = body.get("fornalhas").list().iter().map(|id| id.str().to_owned()).collect();
            for id in ids {
                world.remove_machine(&id, "deleted by the controllers");
            }
            Some((200, "{}".into()))
        }
        ("GET", "/hosts") => {
            let now = Instant::now();
            let lag = Duration::from_secs_f64(world.times.list_lag_s);
            let after = query.get("after").copied().unwrap_or("");
            let listed = world.machines.values().filter(|m| m.id.as_str() > after).filter(|m| {
                let shown = lag + if m.died { Duration::from_secs(30) } else { Duration::ZERO };
                m.rented + lag <= now && m.gone.is_none_or(|gone| gone + shown > now)
            });
            let listed = listed.map(|m| {
                object([
                    ("id", text(m.id.as_str())),
                    ("addr", text(m.addr.map_or(String::new(), |a| a.to_string()))),
                    ("modelo", text(m.kind.name)),
                    ("praca", text(m.zone)),
                    ("emprestados", Json::Bool(m.spot)),
                    ("ponto", text(if m.up + lag <= now { "running" } else { "starting" })),
                    ("held_s", number((now - lag).saturating_duration_since(m.rented).as_secs_f64())),
                ])
            });
            Some((200, object([("fornalhas", Json::List(listed.collect())), ("more", Json::Bool(false))]).to_string()))
        }
        _ => Some((400, "{}".into())),
    }
}
