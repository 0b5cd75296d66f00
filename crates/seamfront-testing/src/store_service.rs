//! Stand-ins of outside systems, served on loopback.

use crate::{http, store};
use seamfront_core::port::{Entry, StoreReply, StoreRequest, Write as Put};
use seamfront_core::types::Micros;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A watch is answered after so long, whatever it asks for.
const LONGEST_WATCH: Duration = Duration::from_secs(2);

fn query(path: &str) -> BTreeMap<&str, &str> {
    let q = path.split_once('?').map_or("", |p| p.1);
    q.split('&').filter_map(|kv| kv.split_once('=')).collect()
}

fn pair(e: Entry) -> Value {
    json!({"key": e.key, "data": e.value, "rasura": e.version})
}

/// The state service.
#[derive(Clone)]
pub struct StateService {
    pub store: Arc<Mutex<store::Store>>,
    begin: Instant,
}

impl Default for StateService {
    fn default() -> Self {
        Self::new()
    }
}

impl StateService {
    pub fn new() -> StateService {
        StateService {
            store: Arc::new(Mutex::new(store::Store::with_page(100))),
            begin: Instant::now(),
        }
    }

    pub fn now(&self) -> Micros {
        Micros(self.begin.elapsed().as_micros() as i64)
    }

    /// Answers one request.
    pub fn handle(&self, method: &str, path: &str, body: &Value) -> (u16, Value) {
        let request = parse(method, path, body);
        let end = Instant::now() + LONGEST_WATCH.min(hold_of(&request));
        loop {
            if let Some(reply) = self.execute(&request, Instant::now() >= end) {
                return answer(&request, reply);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn execute(&self, request: &StoreRequest, over: bool) -> Option<StoreReply> {
        let now = self.now();
        let mut store = self.store.lock().unwrap();
        store.expire(now);
        let mut request = request.clone();
        if let StoreRequest::Watch { wait, .. } = &mut request {
            if over {
                *wait = Micros::ZERO;
            }
        }
        store.execute(now, &request)
    }
}

pub fn state_service() -> SocketAddr {
    let service = StateService::new();
    http::serve(move |method, path, body| service.handle(method, path, &body))
}

fn hold_of(request: &StoreRequest) -> Duration {
    match request {
        StoreRequest::Watch { wait, .. } => Duration::from_micros(wait.0 as u64),
        _ => Duration::ZERO,
    }
}

fn parse(method: &str, path: &str, body: &Value) -> StoreRequest {
    let q = query(path);
    let text = |k: &str| q.get(k).map(std::string::ToString::to_string);
    let number = |k: &str| q.get(k).and_then(|s| s.parse::<u64>().ok()).unwrap_or(0);
    let bare = path.split('?').next().unwrap_or("");
    let parts: Vec<&str> = bare.trim_start_matches('/').splitn(3, '/').collect();
    match (method, parts.as_slice()) {
        ("GET", ["kv"]) => StoreRequest::List {
            prefix: text("prefix").unwrap_or_default(),
            after: text("after"),
        },
        ("GET", ["kv", ..]) => StoreRequest::Get {
            key: bare["/kv/".len()..].to_owned(),
        },
        ("GET", ["changes"]) => StoreRequest::Watch {
            prefix: text("prefix").unwrap_or_default(),
            after: number("after"),
            wait: Micros::from_millis(number("hold_ms") as i64),
        },
        ("POST", ["grants"]) => StoreRequest::GrantLease {
            ttl: Micros::from_millis(body["ttl_ms"].as_i64().unwrap_or(0)),
        },
        ("POST", ["grants", id, "renew"]) => StoreRequest::RenewLease {
            lease: id.parse().unwrap_or(0),
        },
        _ => parse_commit(body),
    }
}

fn parse_commit(body: &Value) -> StoreRequest {
    let list = |k: &str| body[k].as_array().cloned().unwrap_or_default();
    let name = |v: &Value| v.as_str().unwrap_or("").to_owned();
    let conditions = list("when")
        .iter()
        .map(|w| (name(&w["key"]), w["rasura"].as_u64().unwrap_or(0)))
        .collect();
    let change = |a: &Value| match a.get("write") {
        Some(k) => Put::Put {
            key: name(k),
            value: a["data"].clone(),
            lease: a["vale"].as_u64(),
        },
        None => Put::Delete {
            key: name(&a["remove"]),
        },
    };
    StoreRequest::CompareAndSwap {
        conditions,
        writes: list("apply").iter().map(change).collect(),
    }
}

fn answer(request: &StoreRequest, reply: StoreReply) -> (u16, Value) {
    match reply {
        StoreReply::Entry(e) => (200, pair(e)),
        StoreReply::Missing => (404, json!({"caderno": 0})),
        StoreReply::Page {
            entries,
            more,
            revision,
        } => {
            let pairs: Vec<Value> = entries.into_iter().map(pair).collect();
            (
                200,
                json!({"pairs": pairs, "more": more, "caderno": revision}),
            )
        }
        StoreReply::Committed { revision } => (200, json!({ "caderno": revision })),
        StoreReply::Conflict { failed } => (409, json!({"failed": failed, "caderno": 0})),
        StoreReply::Lease { id } => (200, json!({ "vale": id })),
        StoreReply::Renewed => (200, json!({})),
        StoreReply::NoSuchLease if matches!(request, StoreRequest::CompareAndSwap { .. }) => {
            (400, json!({"error": "no such lease"}))
        }
        StoreReply::Changes { revision, events } => {
            let event = |(k, v, r): (String, Option<Value>, u64)| match v {
                Some(v) => json!({"write": k, "data": v, "rasura": r}),
                None => json!({"remove": k, "rasura": r}),
            };
            let events: Vec<Value> = events.into_iter().map(event).collect();
            (200, json!({"caderno": revision, "events": events}))
        }
        _ => (404, json!({})),
    }
}
