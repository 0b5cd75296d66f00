//! The client of the consensus-backed key-value store.

use crate::http::{self, CallError, Client, Response};
use http_types::Method;
use seamfront_core::port::{Entry, StoreReply, StoreRequest, Write};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tracing::warn;

const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Number of entries on one page of a list.
const PAGE_SIZE: u32 = 300;
/// Number of bytes of an unexpected response that are logged.
const LOGGED_BODY_BYTES_MAX: usize = 300;
/// The text by which a response with status 400 says that the lease of a write has expired.
const NO_SUCH_LEASE: &str = "no such lease";
const MICROS_PER_MILLI: i64 = 1_000;

#[derive(Deserialize)]
struct WirePair {
    key: String,
    #[serde(default, rename = "data")]
    value: Value,
    #[serde(rename = "rasura")]
    version: u64,
}

impl From<WirePair> for Entry {
    fn from(pair: WirePair) -> Entry {
        Entry {
            key: pair.key,
            value: pair.value,
            version: pair.version,
        }
    }
}

#[derive(Deserialize)]
struct WirePage {
    pairs: Vec<WirePair>,
    #[serde(default)]
    more: bool,
    #[serde(rename = "caderno")]
    revision: u64,
}

#[derive(Deserialize)]
struct WireRevision {
    #[serde(rename = "caderno")]
    revision: u64,
}

#[derive(Deserialize)]
struct WireFailed {
    #[serde(default)]
    failed: Vec<String>,
}

#[derive(Deserialize)]
struct WireLease {
    #[serde(rename = "vale")]
    lease: u64,
}

#[derive(Deserialize)]
struct WireChanges {
    #[serde(rename = "caderno")]
    revision: u64,
    #[serde(default)]
    events: Vec<WireEvent>,
}

#[derive(Deserialize)]
struct WireEvent {
    #[serde(rename = "write")]
    written: Option<String>,
    #[serde(rename = "remove")]
    removed: Option<String>,
    #[serde(default, rename = "data")]
    value: Value,
    #[serde(rename = "rasura")]
    version: u64,
}

#[derive(Serialize)]
struct WireCondition<'a> {
    key: &'a str,
    #[serde(rename = "rasura")]
    version: u64,
}

/// A write; fields in the order of their names on the wire.
#[derive(Serialize)]
#[serde(untagged)]
enum WireWrite<'a> {
    Put {
        #[serde(rename = "data")]
        value: &'a Value,
        #[serde(rename = "vale", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
        #[serde(rename = "write")]
        key: &'a str,
    },
    Delete {
        #[serde(rename = "remove")]
        key: &'a str,
    },
}

/// A transaction; fields in the order of their names on the wire.
#[derive(Serialize)]
struct WireCompareAndSwap<'a> {
    #[serde(rename = "apply", skip_serializing_if = "Vec::is_empty")]
    writes: Vec<WireWrite<'a>>,
    #[serde(rename = "when")]
    conditions: Vec<WireCondition<'a>>,
}

#[derive(Serialize)]
struct WireGrant {
    ttl_ms: i64,
}

fn compare_and_swap<'a>(
    conditions: &'a [(String, u64)],
    writes: &'a [Write],
) -> WireCompareAndSwap<'a> {
    let condition = |(key, version): &'a (String, u64)| WireCondition {
        key,
        version: *version,
    };
    let write = |write: &'a Write| match write {
        Write::Put { key, value, lease } => WireWrite::Put {
            value,
            lease: *lease,
            key,
        },
        Write::Delete { key } => WireWrite::Delete { key },
    };
    WireCompareAndSwap {
        writes: writes.iter().map(write).collect(),
        conditions: conditions.iter().map(condition).collect(),
    }
}

/// An HTTP request to the key-value store.
struct StoreCall {
    method: Method,
    path: String,
    body: Option<String>,
    timeout: Duration,
}

impl StoreCall {
    fn get(path: String) -> StoreCall {
        StoreCall {
            method: Method::Get,
            path,
            body: None,
            timeout: CALL_TIMEOUT,
        }
    }

    fn post(path: String, body: Option<String>) -> StoreCall {
        StoreCall {
            method: Method::Post,
            path,
            body,
            timeout: CALL_TIMEOUT,
        }
    }
}

impl From<&StoreRequest> for StoreCall {
    fn from(request: &StoreRequest) -> StoreCall {
        match request {
            StoreRequest::Get { key } => StoreCall::get(format!("/kv/{key}")),
            StoreRequest::List { prefix, after } => {
                let after = after
                    .as_ref()
                    .map_or(String::new(), |after| format!("&after={after}"));
                StoreCall::get(format!("/kv?prefix={prefix}{after}&page={PAGE_SIZE}"))
            }
            StoreRequest::CompareAndSwap { conditions, writes } => {
                let body = http::json_text(&compare_and_swap(conditions, writes));
                StoreCall::post("/commit".to_owned(), Some(body))
            }
            StoreRequest::GrantLease { ttl } => {
                let ttl_ms = ttl.0 / MICROS_PER_MILLI;
                let body = http::json_text(&WireGrant { ttl_ms });
                StoreCall::post("/grants".to_owned(), Some(body))
            }
            StoreRequest::RenewLease { lease } => {
                StoreCall::post(format!("/grants/{lease}/renew"), None)
            }
            StoreRequest::Watch {
                prefix,
                after,
                wait,
            } => {
                let hold_ms = wait.0 / MICROS_PER_MILLI;
                let path = format!("/changes?prefix={prefix}&after={after}&hold_ms={hold_ms}");
                StoreCall {
                    timeout: CALL_TIMEOUT + Duration::from_millis(hold_ms.max(0) as u64),
                    ..StoreCall::get(path)
                }
            }
        }
    }
}

/// Sends a request of the engine to the key-value store and returns the outcome.
pub async fn call(client: &Client, to: SocketAddr, request: &StoreRequest) -> StoreReply {
    let StoreCall {
        method,
        path,
        body,
        timeout,
    } = StoreCall::from(request);
    let body = body.map(String::into_bytes);
    match client.call(to, method, &path, body, timeout).await {
        Err(CallError::NotSent) => StoreReply::Refused,
        Err(CallError::Unknown) => StoreReply::Unknown,
        Ok(Response {
            status: 429 | 503, ..
        }) => StoreReply::Refused,
        Ok(response) => parse_reply(request, &response)
            .unwrap_or_else(|| unexpected_response(request, &response)),
    }
}

/// Logs a response that the protocol does not have, and returns what is known of the outcome.
fn unexpected_response(request: &StoreRequest, response: &Response) -> StoreReply {
    let status = response.status;
    let shown = response.body.len().min(LOGGED_BODY_BYTES_MAX);
    let text = String::from_utf8_lossy(&response.body[..shown]).into_owned();
    warn!(
        status,
        text,
        ?request,
        "unexpected response of the key-value store"
    );
    // The store does not execute a request that it rejects as malformed.
    if status == 400 {
        StoreReply::Refused
    } else {
        StoreReply::Unknown
    }
}

fn parse_json<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

/// Translates a response to the request; none if the protocol has no such response.
fn parse_reply(request: &StoreRequest, response: &Response) -> Option<StoreReply> {
    let body = response.body.as_slice();
    Some(match (request, response.status) {
        (StoreRequest::Get { .. }, 200) => StoreReply::Entry(parse_json::<WirePair>(body)?.into()),
        (StoreRequest::Get { .. }, 404) => StoreReply::Missing,
        (StoreRequest::List { .. }, 200) => {
            let page: WirePage = parse_json(body)?;
            StoreReply::Page {
                entries: page.pairs.into_iter().map(Entry::from).collect(),
                more: page.more,
                revision: page.revision,
            }
        }
        (StoreRequest::CompareAndSwap { .. }, 200) => StoreReply::Committed {
            revision: parse_json::<WireRevision>(body)?.revision,
        },
        (StoreRequest::CompareAndSwap { .. }, 409) => StoreReply::Conflict {
            failed: parse_json::<WireFailed>(body)?.failed,
        },
        (StoreRequest::CompareAndSwap { .. }, 400)
            if String::from_utf8_lossy(body).contains(NO_SUCH_LEASE) =>
        {
            StoreReply::NoSuchLease
        }
        (StoreRequest::GrantLease { .. }, 200) => StoreReply::Lease {
            id: parse_json::<WireLease>(body)?.lease,
        },
        (StoreRequest::RenewLease { .. }, 200) => StoreReply::Renewed,
        (StoreRequest::RenewLease { .. }, 404) => StoreReply::NoSuchLease,
        (StoreRequest::Watch { .. }, 410) => StoreReply::Compacted,
        (StoreRequest::Watch { .. }, 200) => watch_reply(parse_json(body)?)?,
        _ => return None,
    })
}

/// The events of a watch in the order of their versions; none if one is neither a write nor a
/// removal.
fn watch_reply(wire: WireChanges) -> Option<StoreReply> {
    let mut events = Vec::new();
    for event in wire.events {
        match (event.written, event.removed) {
            (Some(key), _) => events.push((key, Some(event.value), event.version)),
            (None, Some(key)) => events.push((key, None, event.version)),
            (None, None) => return None,
        }
    }
    events.sort_by_key(|(_, _, version)| *version);
    Some(StoreReply::Changes {
        revision: wire.revision,
        events,
    })
}
