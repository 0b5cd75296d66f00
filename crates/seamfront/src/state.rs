//! The state service's protocol.

use crate::http::{Client, Failure};
use http_types::Method;
use seamfront_core::port::{Entry, StateCall, StateReply, Write};
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

fn commit_body(when: &[(String, u64)], apply: &[Write]) -> Value {
    let when: Vec<Value> = when
        .iter()
        .map(|(k, v)| json!({"key": k, "rasura": v}))
        .collect();
    let apply: Vec<Value> = apply
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
    if apply.is_empty() {
        json!({ "when": when })
    } else {
        json!({"when": when, "apply": apply})
    }
}

/// Carries out a request of the engine's to the state service.
pub async fn call(client: &Client, to: SocketAddr, request: &StateCall) -> StateReply {
    let (method, path, body, limit) = match request {
        StateCall::Get { key } => (Method::Get, format!("/kv/{key}"), None, CALL_TIME),
        StateCall::List { prefix, after } => {
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
        StateCall::Commit { when, apply } => (
            Method::Post,
            "/commit".to_owned(),
            Some(commit_body(when, apply)),
            CALL_TIME,
        ),
        StateCall::Grant { ttl } => (
            Method::Post,
            "/grants".to_owned(),
            Some(json!({"ttl_ms": ttl.0 / 1_000})),
            CALL_TIME,
        ),
        StateCall::Renew { lease } => (
            Method::Post,
            format!("/grants/{lease}/renew"),
            None,
            CALL_TIME,
        ),
        StateCall::Changes {
            prefix,
            after,
            hold,
        } => {
            let ms = hold.0 / 1_000;
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
        Err(Failure::NotSent) => StateReply::Refused,
        Err(Failure::Unknown) => StateReply::Unknown,
        Ok((429 | 503, _)) => StateReply::Refused,
        Ok((status, bytes)) => understand(request, status, &bytes).unwrap_or_else(|| {
            let text = String::from_utf8_lossy(&bytes[..bytes.len().min(300)]).into_owned();
            warn!(status, text, ?request, "odd answer of the state service");
            // A refusal of the request as such was certainly not executed.
            if status == 400 {
                StateReply::Refused
            } else {
                StateReply::Unknown
            }
        }),
    }
}

fn understand(request: &StateCall, status: u16, bytes: &[u8]) -> Option<StateReply> {
    fn read<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
        serde_json::from_slice(bytes).ok()
    }
    Some(match (request, status) {
        (StateCall::Get { .. }, 200) => StateReply::Entry(read::<WirePair>(bytes)?.into()),
        (StateCall::Get { .. }, 404) => StateReply::Missing,
        (StateCall::List { .. }, 200) => {
            let p: WirePage = read(bytes)?;
            let entries = p.pairs.into_iter().map(Entry::from).collect();
            StateReply::Page {
                entries,
                more: p.more,
                revision: p.caderno,
            }
        }
        (StateCall::Commit { .. }, 200) => StateReply::Committed {
            revision: read::<WireRevision>(bytes)?.caderno,
        },
        (StateCall::Commit { .. }, 409) => StateReply::Conflict {
            failed: read::<WireFailed>(bytes)?.failed,
        },
        (StateCall::Commit { .. }, 400) => {
            let text = String::from_utf8_lossy(bytes);
            if !text.contains("no such lease") {
                return None;
            }
            StateReply::NoSuchLease
        }
        (StateCall::Grant { .. }, 200) => StateReply::Lease {
            id: read::<WireLease>(bytes)?.vale,
        },
        (StateCall::Renew { .. }, 200) => StateReply::Renewed,
        (StateCall::Renew { .. }, 404) => StateReply::NoSuchLease,
        (StateCall::Changes { .. }, 410) => StateReply::TooOld,
        (StateCall::Changes { .. }, 200) => {
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
            StateReply::Changes {
                revision: c.caderno,
                events,
            }
        }
        _ => return None,
    })
}
