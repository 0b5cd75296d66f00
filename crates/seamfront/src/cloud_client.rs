//! The client of the cloud API: machine types, provisioning, termination and the list of machines.

use crate::http::{self, Client, Response};
use http_types::Method;
use seamfront_core::port::{CloudReply, CloudRequest, ListedMachine, ListedState};
use seamfront_core::types::{MachineType, Micros, Resources};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tracing::{info, warn};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of machines on one page of the list.
const PAGE_SIZE: u32 = 500;
/// Number of bytes of an unexpected response that are logged.
const LOGGED_BODY_BYTES_MAX: usize = 200;
/// The text by which a response with status 503 says that no machines of the type are available.
const NO_CAPACITY: &str = "no capacity";

#[derive(Deserialize)]
struct WireTypes {
    #[serde(rename = "modelos")]
    types: Vec<WireType>,
}

#[derive(Deserialize)]
struct WireType {
    name: String,
    cores: f64,
    #[serde(default)]
    accelerators: f64,
    ram_gb: f64,
    #[serde(default)]
    cache_gb: f64,
    #[serde(default)]
    fetch_gb_per_s: f64,
    #[serde(default)]
    hourly: f64,
    #[serde(default)]
    spot_price: f64,
    #[serde(default)]
    boot_s: f64,
    #[serde(rename = "pracas")]
    zones: Vec<String>,
}

#[derive(Deserialize)]
struct WireProvisioned {
    #[serde(rename = "fornalhas")]
    machines: Vec<String>,
}

#[derive(Deserialize)]
struct WireList {
    #[serde(rename = "fornalhas")]
    machines: Vec<WireMachine>,
    #[serde(default)]
    more: bool,
}

#[derive(Deserialize)]
struct WireMachine {
    id: String,
    #[serde(rename = "modelo")]
    kind: String,
    #[serde(rename = "praca")]
    zone: String,
    #[serde(default, rename = "emprestados")]
    spot: bool,
    #[serde(rename = "ponto")]
    state: String,
    #[serde(default, rename = "held_s")]
    age_s: f64,
}

/// A request to provision machines; fields in the order of their names on the wire.
#[derive(Serialize)]
struct WireProvisionOrder<'a> {
    count: u32,
    #[serde(rename = "emprestados")]
    spot: bool,
    #[serde(rename = "encomenda")]
    name: &'a str,
    #[serde(rename = "modelo")]
    kind: &'a str,
    #[serde(rename = "praca")]
    zone: &'a str,
}

#[derive(Serialize)]
struct WireTermination<'a> {
    #[serde(rename = "fornalhas")]
    machines: Vec<&'a str>,
}

/// An amount in thousandths, the unit of the core.
fn milli(amount: f64) -> i64 {
    (amount * 1e3).round().clamp(0.0, 1e15) as i64
}

impl From<WireType> for MachineType {
    fn from(t: WireType) -> MachineType {
        MachineType {
            name: t.name,
            size: Resources::rounded_down(t.cores, t.accelerators, t.ram_gb),
            cache_mb: milli(t.cache_gb),
            fetch_mb_s: milli(t.fetch_gb_per_s),
            price: milli(t.hourly),
            spot_price: milli(t.spot_price),
            boot: Micros::from_secs_decimal(t.boot_s),
            zones: t.zones,
        }
    }
}

/// A machine of the list; none if its state is unknown.
fn listed_machine(m: WireMachine) -> Option<ListedMachine> {
    let state = match m.state.as_str() {
        "starting" => ListedState::Starting,
        "running" => ListedState::Running,
        "failed" => ListedState::Failed,
        _ => return None,
    };
    Some(ListedMachine {
        id: m.id.as_str().into(),
        machine_type: m.kind,
        zone: m.zone,
        spot: m.spot,
        state,
        age: Micros::from_secs_decimal(m.age_s),
    })
}

/// An HTTP request to the cloud.
struct CloudCall {
    method: Method,
    path: String,
    body: Option<String>,
}

impl CloudCall {
    fn get(path: impl Into<String>) -> CloudCall {
        CloudCall {
            method: Method::Get,
            path: path.into(),
            body: None,
        }
    }

    fn post(path: impl Into<String>, body: &impl Serialize) -> CloudCall {
        CloudCall {
            method: Method::Post,
            path: path.into(),
            body: Some(http::json_text(body)),
        }
    }
}

impl From<&CloudRequest> for CloudCall {
    fn from(request: &CloudRequest) -> CloudCall {
        match request {
            CloudRequest::MachineTypes => CloudCall::get("/machine_types"),
            CloudRequest::Provision {
                name,
                machine_type,
                zone,
                spot,
                count,
            } => {
                let order = WireProvisionOrder {
                    count: *count,
                    spot: *spot,
                    name,
                    kind: machine_type,
                    zone,
                };
                CloudCall::post("/hosts", &order)
            }
            CloudRequest::Terminate { machines } => {
                let machines = machines
                    .iter()
                    .map(seamfront_core::types::MachineId::as_str)
                    .collect();
                CloudCall::post("/hosts/delete", &WireTermination { machines })
            }
            CloudRequest::ListMachines { after } => {
                let after = after
                    .as_ref()
                    .map_or(String::new(), |after| format!("after={after}&"));
                CloudCall::get(format!("/hosts?{after}page={PAGE_SIZE}"))
            }
        }
    }
}

/// Sends a request of the engine to the cloud and returns the outcome.
pub async fn call(client: &Client, to: SocketAddr, request: &CloudRequest) -> CloudReply {
    let CloudCall { method, path, body } = CloudCall::from(request);
    let body = body.map(String::into_bytes);
    let response = match client.call(to, method, &path, body, CALL_TIMEOUT).await {
        Ok(response) => response,
        Err(error) => {
            info!(%error, ?request, "no response of the cloud");
            return CloudReply::Failed;
        }
    };
    parse_reply(request, &response).unwrap_or_else(|| {
        let shown = response.body.len().min(LOGGED_BODY_BYTES_MAX);
        let text = String::from_utf8_lossy(&response.body[..shown]).into_owned();
        let status = response.status;
        warn!(status, text, ?request, "unexpected response of the cloud");
        CloudReply::Failed
    })
}

/// Translates a response to the request; none if the protocol has no such response.
fn parse_reply(request: &CloudRequest, response: &Response) -> Option<CloudReply> {
    let body = &response.body;
    match (request, response.status) {
        (CloudRequest::MachineTypes, 200) => {
            let wire: WireTypes = serde_json::from_slice(body).ok()?;
            let types = wire.types.into_iter().map(MachineType::from).collect();
            Some(CloudReply::MachineTypes(types))
        }
        (CloudRequest::Provision { .. }, 200) => {
            let wire: WireProvisioned = serde_json::from_slice(body).ok()?;
            let machines = wire.machines.iter().map(|id| id.as_str().into()).collect();
            Some(CloudReply::Provisioned(machines))
        }
        (CloudRequest::Provision { .. }, 503)
            if String::from_utf8_lossy(body).contains(NO_CAPACITY) =>
        {
            Some(CloudReply::NoCapacity)
        }
        (CloudRequest::Terminate { .. }, 200) => Some(CloudReply::Terminated),
        (CloudRequest::ListMachines { .. }, 200) => {
            let wire: WireList = serde_json::from_slice(body).ok()?;
            Some(CloudReply::Page {
                machines: wire
                    .machines
                    .into_iter()
                    .filter_map(listed_machine)
                    .collect(),
                more: wire.more,
            })
        }
        _ => None,
    }
}
