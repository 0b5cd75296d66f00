//! The state service, as PROTOCOL has it, with one address for each controller so that one of them can be refused.

use crate::http;
use crate::json::{number, object, text, Json};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How many changes the service keeps.
const KEPT: usize = 10_000;

#[derive(Clone)]
struct Entry {
    value: Json,
    version: u64,
    lease: Option<u64>,
}

#[derive(Default)]
pub struct Faults {
    /// All requests are answered 503.
    pub outage: bool,
    /// The requests of these controllers are answered 503.
    pub refused: Vec<bool>,
    /// Connections of these controllers hang: nothing is carried out, nothing answered.
    pub cut: Vec<bool>,
    /// This share of transactions gets no answer; they are carried out 2 to 12 s later, or at once.
    pub late_writes: f64,
    pub late_at_once: bool,
    /// Added to each answer.
    pub slow: Duration,
}

struct State {
    keys: BTreeMap<String, Entry>,
    revision: u64,
    /// Lease id to its end and its duration.
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
    log: VecDeque<(u64, String, Option<Json>)>,
    faults: Faults,
    requests: Bucket,
    writes: Bucket,
    value_bytes: usize,
    txn_ops: usize,
}

/// A limit by the second that allows bursts of one second's worth.
struct Bucket {
    rate: f64,
    left: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket { rate, left: rate, at: Instant::now() }
    }

    fn take(&mut self, amount: f64) -> bool {
        let now = Instant::now();
        self.left = (self.left + now.duration_since(self.at).as_secs_f64() * self.rate).min(self.rate);
        self.at = now;
        if self.left < amount {
            return false;
        }
        self.left -= amount;
        true
    }
}

#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    pub addresses: Vec<SocketAddr>,
}

pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: usize,
    pub txn_ops: usize,
}

impl Store {
    pub fn start(controllers: usize, limits: &Limits) -> Store {
        let state = Arc::new(Mutex::new(State {
            keys: BTreeMap::new(),
            revision: 1,
            leases: BTreeMap::new(),
            last_lease: 0,
            log: VecDeque::new(),
            faults: Faults { outage: false, refused: vec![false; controllers], cut: vec![false; controllers], ..Faults::default() },
            requests: Bucket::new(limits.rps),
            writes: Bucket::new(limits.write_rps),
            value_bytes: limits.value_kb * 1024,
            txn_ops: limits.txn_ops,
        }));
        let serve = |controller: usize| {
            let state = state.clone();
            http::serve(move |method, path, body| handle(&state, controller, method, path, body))
        };
        let addresses = (0..controllers).map(serve).collect();
        Store { state, addresses }
    }

    /// Changes the faults. When an outage ends, every lease has its full time again.
    pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
        let mut state = self.state.lock().unwrap();
        let before = state.faults.outage;
        change(&mut state.faults);
        if before && !state.faults.outage {
            let now = Instant::now();
            state.leases.values_mut().for_each(|lease| lease.0 = now + lease.1);
        }
    }
}

fn handle(state: &Arc<Mutex<State>>, controller: usize, method: &str, path: &str, body: &[u8]) -> http::Answer {
    std::thread::sleep(Duration::from_millis(2));
    let (resource, query) = path.split_once('?').unwrap_or((path, ""));
    let query: BTreeMap<&str, &str> = query.split('&').filter_map(|part| part.split_once('=')).collect();
    let hold = query.get("hold_ms").and_then(|ms| ms.parse().ok()).unwrap_or(0u64).min(60_000);
    let end = Instant::now() + Duration::from_millis(hold);
    let shared = state;
    {
        let mut state = state.lock().unwrap();
        if state.faults.cut[controller] {
            drop(state);
            std::thread::sleep(Duration::from_secs(25));
            return None;
        }
        if state.faults.outage || state.faults.refused[controller] {
            return Some((503, "{}".into()));
        }
        if !state.requests.take(1.0) {
            return Some((429, "{}".into()));
        }
        state.expire();
        if resource != "/changes" {
            let slow = state.faults.slow;
            if resource == "/commit" && state.faults.late_writes > 0.0 && chance() < state.faults.late_writes {
                if state.faults.late_at_once {
                    state.execute(method, resource, &query, body);
                } else {
                    let (shared, body) = (shared.clone(), body.to_vec());
                    std::thread::spawn(move || {
                        std::thread::sleep(Duration::from_secs_f64(2.0 + 10.0 * chance()));
                        let mut state = shared.lock().unwrap();
                        state.expire();
                        state.execute("POST", "/commit", &BTreeMap::new(), &body);
                    });
                }
                drop(state);
                std::thread::sleep(Duration::from_secs(8));
                return None;
            }
            let answer = state.execute(method, resource, &query, body);
            drop(state);
            std::thread::sleep(slow);
            return Some(answer);
        }
    }
    let prefix = query.get("prefix").copied().unwrap_or("");
    let after: u64 = query.get("after").and_then(|text| text.parse().ok()).unwrap_or(0);
    loop {
        {
            let mut state = state.lock().unwrap();
            state.expire();
            // Open watches wait during an outage.
            if !state.faults.outage && !state.faults.refused[controller] && !state.faults.cut[controller] {
                let kept_from = if state.log.len() < KEPT { 0 } else { state.log[0].0 };
                if after < kept_from {
                    return Some((410, "{}".into()));
                }
                let events: Vec<Json> = state.events(prefix, after);
                if !events.is_empty() || Instant::now() >= end {
                    let answer = object([("caderno", number(state.revision)), ("events", Json::List(events))]);
                    return Some((200, answer.to_string()));
                }
            } else if Instant::now() >= end + Duration::from_secs(40) {
                return None;
            }
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A random number from 0 to 1.
pub fn chance() -> f64 {
    use std::hash::{BuildHasher, Hasher};
    let hash = std::collections::hash_map::RandomState::new().build_hasher().finish();
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

impl State {
    fn expire(&mut self) {
        if self.faults.outage {
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> = self.leases.iter().filter(|(_, lease)| lease.0 < now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let attached = self.keys.iter().filter(|(_, entry)| entry.lease == Some(lease));
        let attached: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        if !attached.is_empty() {
            self.revision += 1;
        }
        for key in attached {
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.record(key, None);
        }
    }

    fn record(&mut self, key: &str, value: Option<Json>) {
        self.log.push_back((self.revision, key.to_owned(), value));
        if self.log.len() > KEPT {
            self.log.pop_front();
        }
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<Json> {
        // From the newest backwards, since most watches ask for the last few changes.
        let newer = self.log.iter().rev().take_while(|(revision, _, _)| *revision > after);
        let mut events: Vec<Json> = newer
            .filter(|(_, key, _)| key.starts_with(prefix))
            .map(|(revision, key, value)| match value {
                Some(value) => object([("write", text(key.as_str())), ("data", value.clone()), ("rasura", number(revision))]),
                None => object([("remove", text(key.as_str())), ("rasura", number(revision))]),
            })
            .collect();
        events.reverse();
        events
    }

    fn execute(&mut self, method: &str, resource: &str, query: &BTreeMap<&str, &str>, body: &[u8]) -> (u16, String) {
        let body = Json::parse(body).unwrap_or_default();
        let segments: Vec<&str> = resource.trim_start_matches('/').splitn(3, '/').collect();
        let revision = |state: &State| ("caderno", number(state.revision));
        match (method, segments.as_slice()) {
            ("GET", ["kv"]) => {
                let prefix = query.get("prefix").copied().unwrap_or("");
                let after = query.get("after").copied().unwrap_or("");
                let page = query.get("page").and_then(|text| text.parse().ok()).unwrap_or(1_000).min(1_000);
                let matching = self.keys.range(prefix.to_owned()..).take_while(|(key, _)| key.starts_with(prefix));
                let mut pairs = Vec::new();
                let (mut more, mut bytes) = (false, 0);
                for (key, entry) in matching.filter(|(key, _)| key.as_str() > after) {
                    let pair = object([("key", text(key.as_str())), ("data", entry.value.clone()), ("rasura", number(entry.version))]);
                    bytes += pair.to_string().len();
                    if pairs.len() >= page || bytes > 512 * 1024 {
                        more = true;
                        break;
                    }
                    pairs.push(pair);
                }
                (200, object([("pairs", Json::List(pairs)), ("more", Json::Bool(more)), revision(self)]).to_string())
            }
            ("GET", ["kv", ..]) => {
                let key = &resource["/kv/".len()..];
                match self.keys.get(key) {
                    Some(entry) => {
                        let mut answer = object([("key", text(key)), ("data", entry.value.clone()), ("rasura", number(entry.version))]);
                        if let Some(lease) = entry.lease {
                            answer.set("vale", number(lease));
                        }
                        (200, answer.to_string())
                    }
                    None => (404, object([revision(self)]).to_string()),
                }
            }
            ("POST", ["commit"]) => self.commit(&body),
            ("POST", ["grants"]) => {
                let ttl = Duration::from_millis(body.get("ttl_ms").u64().unwrap_or(0).clamp(100, 600_000));
                self.last_lease += 1;
                self.leases.insert(self.last_lease, (Instant::now() + ttl, ttl));
                (200, object([("vale", number(self.last_lease))]).to_string())
            }
            ("POST", ["grants", id, "renew"]) => match self.leases.get_mut(&id.parse().unwrap_or(0)) {
                Some(lease) => {
                    lease.0 = Instant::now() + lease.1;
                    (200, "{}".into())
                }
                None => (404, "{}".into()),
            },
            ("DELETE", ["grants", id]) => {
                self.end_lease(id.parse().unwrap_or(0));
                (200, "{}".into())
            }
            _ => (400, "{}".into()),
        }
    }

    fn commit(&mut self, body: &Json) -> (u16, String) {
        let (when, apply) = (body.get("when").list(), body.get("apply").list());
        if body.to_string().len() > 64 * 1024 || apply.len() > self.txn_ops || when.len() > 4 * self.txn_ops {
            return (400, "{\"error\":\"too large\"}".into());
        }
        if apply.iter().any(|change| change.get("data").to_string().len() > self.value_bytes) {
            return (400, "{\"error\":\"value too large\"}".into());
        }
        if !apply.is_empty() && !self.writes.take(apply.len() as f64) {
            return (429, "{}".into());
        }
        let expired = |change: &Json| change.get("vale").u64().is_some_and(|lease| !self.leases.contains_key(&lease));
        if apply.iter().any(expired) {
            return (400, "{\"error\":\"no such lease\"}".into());
        }
        let version = |key: &str| self.keys.get(key).map_or(0, |entry| entry.version);
        let failed = when.iter().filter(|c| version(c.get("key").str()) != c.get("rasura").u64().unwrap_or(0));
        let failed: Vec<Json> = failed.map(|condition| condition.get("key").clone()).collect();
        if !failed.is_empty() {
            return (409, object([("failed", Json::List(failed)), ("caderno", number(self.revision))]).to_string());
        }
        if !apply.is_empty() {
            self.revision += 1;
        }
        for change in apply {
            if let Json::Text(key) = change.get("write") {
                let entry = Entry { value: change.get("data").clone(), version: self.revision, lease: change.get("vale").u64() };
                self.keys.insert(key.clone(), entry);
                self.record(key, Some(change.get("data").clone()));
            } else {
                self.remove(change.get("remove").str());
            }
        }
        (200, object([("caderno", number(self.revision))]).to_string())
    }
}
