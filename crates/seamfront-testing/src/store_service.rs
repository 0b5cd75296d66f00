//! Serves the in-memory store on loopback, with the HTTP interface of the real key-value store.

use crate::{http, store};
use seamfront_core::port::{Entry, StoreReply, StoreRequest, Write};
use seamfront_core::types::Micros;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The longest that a watch is held open, however long the client asks for.
const MAX_WATCH: Duration = Duration::from_secs(2);
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);

fn query_parameters(path: &str) -> BTreeMap<&str, &str> {
    let query = path.split_once('?').map_or("", |parts| parts.1);
    query
        .split('&')
        .filter_map(|parameter| parameter.split_once('='))
        .collect()
}

/// An entry as the interface shows it.
fn entry_json(entry: Entry) -> Value {
    json!({"key": entry.key, "data": entry.value, "rasura": entry.version})
}

/// A store behind the HTTP interface; clones share it.
#[derive(Clone)]
pub struct StoreService {
    pub store: Arc<Mutex<store::Store>>,
    started_at: Instant,
}

impl Default for StoreService {
    fn default() -> Self {
        Self::new()
    }
}

impl StoreService {
    pub fn new() -> StoreService {
        StoreService {
            store: Arc::new(Mutex::new(store::Store::with_page_size(100))),
            started_at: Instant::now(),
        }
    }

    /// Time since the service was created.
    pub fn now(&self) -> Micros {
        Micros(self.started_at.elapsed().as_micros() as i64)
    }

    /// Responds to one request with a status and a JSON body. Blocks while a watch waits for changes.
    pub fn handle(&self, method: &str, path: &str, body: &Value) -> (u16, Value) {
        let request = parse_request(method, path, body);
        let end = Instant::now() + MAX_WATCH.min(watch_duration(&request));
        loop {
            if let Some(reply) = self.execute(&request, Instant::now() >= end) {
                return response(&request, reply);
            }
            std::thread::sleep(WATCH_POLL_INTERVAL);
        }
    }

    /// Returns `None` for a watch that has to wait. With `timed_out` a watch replies at once.
    fn execute(&self, request: &StoreRequest, timed_out: bool) -> Option<StoreReply> {
        let now = self.now();
        let mut store = self.store.lock().unwrap();
        store.expire(now);
        let mut request = request.clone();
        if let StoreRequest::Watch { wait, .. } = &mut request {
            if timed_out {
                *wait = Micros::ZERO;
            }
        }
        store.execute(now, &request)
    }
}

/// Serves a new, empty store and returns its address.
pub fn start_store_service() -> SocketAddr {
    let service = StoreService::new();
    http::serve(move |method, path, body| service.handle(method, path, &body))
}

fn watch_duration(request: &StoreRequest) -> Duration {
    match request {
        StoreRequest::Watch { wait, .. } => Duration::from_micros(wait.0 as u64),
        _ => Duration::ZERO,
    }
}

fn parse_request(method: &str, path: &str, body: &Value) -> StoreRequest {
    let query = query_parameters(path);
    let text = |name: &str| query.get(name).map(std::string::ToString::to_string);
    let number = |name: &str| {
        query
            .get(name)
            .and_then(|text| text.parse::<u64>().ok())
            .unwrap_or(0)
    };
    let resource = path.split('?').next().unwrap_or("");
    let segments: Vec<&str> = resource.trim_start_matches('/').splitn(3, '/').collect();
    match (method, segments.as_slice()) {
        ("GET", ["kv"]) => StoreRequest::List {
            prefix: text("prefix").unwrap_or_default(),
            after: text("after"),
        },
        ("GET", ["kv", ..]) => StoreRequest::Get {
            key: resource["/kv/".len()..].to_owned(),
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

/// A transaction; also stands for any request that the interface doesn't know.
fn parse_commit(body: &Value) -> StoreRequest {
    let list = |field: &str| body[field].as_array().cloned().unwrap_or_default();
    let string = |value: &Value| value.as_str().unwrap_or("").to_owned();
    let conditions = list("when")
        .iter()
        .map(|condition| {
            (
                string(&condition["key"]),
                condition["rasura"].as_u64().unwrap_or(0),
            )
        })
        .collect();
    let change = |change: &Value| match change.get("write") {
        Some(key) => Write::Put {
            key: string(key),
            value: change["data"].clone(),
            lease: change["vale"].as_u64(),
        },
        None => Write::Delete {
            key: string(&change["remove"]),
        },
    };
    StoreRequest::CompareAndSwap {
        conditions,
        writes: list("apply").iter().map(change).collect(),
    }
}

fn response(request: &StoreRequest, reply: StoreReply) -> (u16, Value) {
    match reply {
        StoreReply::Entry(entry) => (200, entry_json(entry)),
        StoreReply::Missing => (404, json!({"caderno": 0})),
        StoreReply::Page {
            entries,
            more,
            revision,
        } => {
            let pairs: Vec<Value> = entries.into_iter().map(entry_json).collect();
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
            let event = |(key, value, revision): (String, Option<Value>, u64)| match value {
                Some(value) => json!({"write": key, "data": value, "rasura": revision}),
                None => json!({"remove": key, "rasura": revision}),
            };
            let events: Vec<Value> = events.into_iter().map(event).collect();
            (200, json!({"caderno": revision, "events": events}))
        }
        _ => (404, json!({})),
    }
}
