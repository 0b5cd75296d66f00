//! The state service's protocol.

use crate::http::{Client, Failure};
use http_types::Method;
use seamfront_core::port::{Entry, StoreReply, StoreRequest, Write};
use serde::Deserialize;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;
use tracing::warn;

const CALL_TIME: Duration = Duration::from_millis(1_500);
const PAGE: u32 = 300;

#[derive(Deserialize)]
struct WirePair {
    key: String,
    #[serde(default)]
    data: Value,
    rasura: u64,
}

impl From<WirePair> for Entry {
    fn from(p: WirePair) -> Entry {
        Entry {
            key: p.key,
            value: p.data,
            version: p.rasura,
        }
    }
}

#[derive(Deserialize)]
struct WirePage {
    pairs: Vec<WirePair>,
    #[serde(default)]
    more: bool,
    caderno: u64,
}

#[derive(Deserialize)]
struct WireRevision {
    caderno: u64,
}

#[derive(Deserialize)]
struct WireFailed {
    #[serde(default)]
    failed: Vec<String>,
}

#[derive(Deserialize)]
struct WireLease {
    vale: u64,
}

#[derive(Deserialize)]
struct WireChanges {
    caderno: u64,
    #[serde(default)]
    events: Vec<WireEvent>,
}

#[derive(Deserialize)]
struct WireEvent {
    write: Option<String>,
    remove: Option<String>,
    #[serde(default)]
    data: Value,
    rasura: u64,
}

fn commit_body(conditions: &[(String, u64)], writes: &[Write]) -> Value {
    let conditions: Vec<Value> = conditions
        .iter()
        .map(|(k, v)| json!({"key": k, "rasura": v}))
        .collect();
    let writes: Vec<Value> = writes
        .iter()
        .map(|w| match w {
            Write::Put {
                key,
                value,
                lease: Some(l),
            } => json!({"write": key, "data": value, "vale": l}),
            Write::Put {
                key,
                value,
                lease: None,
            } => json!({"write": key, "data": value}),
            Write::Delete { key } => json!({"remove": key}),
        })
        .collect();
    if writes.is_empty() {
        json!({ "when": conditions })
    } else {
        json!({"when": conditions, "apply": writes})
    }
}

/// Carries out a request of the engine's to the state service.
pub async fn call(client: &Client, to: SocketAddr, request: &StoreRequest) -> StoreReply {
    let (method, path, body, limit) = match request {
        StoreRequest::Get { key } => (Method::Get, format!("/kv/{key}"), None, CALL_TIME),
        StoreRequest::List { prefix, after } => {
            let after = after
                .as_ref()
                .map_or(String::new(), |a| format!("&after={a}"));
            (
                Method::Get,
                format!("/kv?prefix={prefix}{after}&page={PAGE}"),
                None,
                CALL_TIME,
            )
        }
        StoreRequest::CompareAndSwap { conditions, writes } => (
            Method::Post,
            "/commit".to_owned(),
            Some(commit_body(conditions, writes)),
            CALL_TIME,
        ),
        StoreRequest::GrantLease { ttl } => (
            Method::Post,
            "/grants".to_owned(),
            Some(json!({"ttl_ms": ttl.0 / 1_000})),
            CALL_TIME,
        ),
        StoreRequest::RenewLease { lease } => (
            Method::Post,
            format!("/grants/{lease}/renew"),
            None,
            CALL_TIME,
        ),
        StoreRequest::Watch {
            prefix,
            after,
            wait,
        } => {
            let ms = wait.0 / 1_000;
            let path = format!("/changes?prefix={prefix}&after={after}&hold_ms={ms}");
            (
                Method::Get,
                path,
                None,
                CALL_TIME + Duration::from_millis(ms.max(0) as u64),
            )
        }
    };
    let body = body.map(|b| b.to_string().into_bytes());
    match client.call(to, method, &path, body, limit).await {
        Err(Failure::NotSent) => StoreReply::Refused,
        Err(Failure::Unknown) => StoreReply::Unknown,
        Ok((429 | 503, _)) => StoreReply::Refused,
        Ok((status, bytes)) => understand(request, status, &bytes).unwrap_or_else(|| {
            let text = String::from_utf8_lossy(&bytes[..bytes.len().min(300)]).into_owned();
            warn!(status, text, ?request, "odd answer of the state service");
            // A refusal of the request as such was certainly not executed.
            if status == 400 {
                StoreReply::Refused
            } else {
                StoreReply::Unknown
            }
        }),
    }
}

fn understand(request: &StoreRequest, status: u16, bytes: &[u8]) -> Option<StoreReply> {
    fn read<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
        serde_json::from_slice(bytes).ok()
    }
    Some(match (request, status) {
        (StoreRequest::Get { .. }, 200) => StoreReply::Entry(read::<WirePair>(bytes)?.into()),
        (StoreRequest::Get { .. }, 404) => StoreReply::Missing,
        (StoreRequest::List { .. }, 200) => {
            let p: WirePage = read(bytes)?;
            let entries = p.pairs.into_iter().map(Entry::from).collect();
            StoreReply::Page {
                entries,
                more: p.more,
                revision: p.caderno,
            }
        }
        (StoreRequest::CompareAndSwap { .. }, 200) => StoreReply::Committed {
            revision: read::<WireRevision>(bytes)?.caderno,
        },
        (StoreRequest::CompareAndSwap { .. }, 409) => StoreReply::Conflict {
            failed: read::<WireFailed>(bytes)?.failed,
        },
        (StoreRequest::CompareAndSwap { .. }, 400) => {
            let text = String::from_utf8_lossy(bytes);
            if !text.contains("no such lease") {
                return None;
            }
            StoreReply::NoSuchLease
        }
        (StoreRequest::GrantLease { .. }, 200) => StoreReply::Lease {
            id: read::<WireLease>(bytes)?.vale,
        },
        (StoreRequest::RenewLease { .. }, 200) => StoreReply::Renewed,
        (StoreRequest::RenewLease { .. }, 404) => StoreReply::NoSuchLease,
        (StoreRequest::Watch { .. }, 410) => StoreReply::TooOld,
        (StoreRequest::Watch { .. }, 200) => {
            let c: WireChanges = read(bytes)?;
            let mut events = Vec::new();
            for e in c.events {
                match (e.write, e.remove) {
                    (Some(k), _) => events.push((k, Some(e.data), e.rasura)),
                    (None, Some(k)) => events.push((k, None, e.rasura)),
                    _ => return None,
                }
            }
            events.sort_by_key(|e| e.2);
            StoreReply::Changes {
                revision: c.caderno,
                events,
            }
        }
        _ => return None,
    })
}
