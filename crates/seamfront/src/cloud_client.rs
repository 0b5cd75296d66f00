//! The cloud's protocol.

use crate::http::Client;
use http_types::Method;
use seamfront_core::port::{CloudReply, CloudRequest, ListedMachine, ListedState};
use seamfront_core::types::{MachineType, Micros, Resources};
use serde::Deserialize;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tracing::{info, warn};

const CALL_TIME: Duration = Duration::from_secs(5);

#[derive(Deserialize)]
struct WireTypes {
    modelos: Vec<WireType>,
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
    pracas: Vec<String>,
}

#[derive(Deserialize)]
struct WireRented {
    fornalhas: Vec<String>,
}

#[derive(Deserialize)]
struct WireList {
    fornalhas: Vec<WireMachine>,
    #[serde(default)]
    more: bool,
}

#[derive(Deserialize)]
struct WireMachine {
    id: String,
    modelo: String,
    praca: String,
    #[serde(default)]
    emprestados: bool,
    ponto: String,
    #[serde(default)]
    held_s: f64,
}

fn milli(x: f64) -> i64 {
    (x * 1e3).round().clamp(0.0, 1e15) as i64
}

impl From<WireType> for MachineType {
    fn from(t: WireType) -> MachineType {
        MachineType {
            name: t.name,
            size: Resources::offered(t.cores, t.accelerators, t.ram_gb),
            cache_mb: milli(t.cache_gb),
            fetch_mb_s: milli(t.fetch_gb_per_s),
            price: milli(t.hourly),
            spot_price: milli(t.spot_price),
            boot: Micros::from_secs_decimal(t.boot_s),
            zones: t.pracas,
        }
    }
}

fn listed(m: WireMachine) -> Option<ListedMachine> {
    let state = match m.ponto.as_str() {
        "starting" => ListedState::Starting,
        "running" => ListedState::Running,
        "failed" => ListedState::Failed,
        _ => return None,
    };
    Some(ListedMachine {
        id: m.id.as_str().into(),
        kind: m.modelo,
        zone: m.praca,
        spot: m.emprestados,
        state,
        age: Micros::from_secs_decimal(m.held_s),
    })
}

/// Carries out a request of the engine's to the cloud.
pub async fn call(client: &Client, to: SocketAddr, request: &CloudRequest) -> CloudReply {
    let (method, path, body) = match request {
        CloudRequest::MachineTypes => (Method::Get, "/machine_types".to_owned(), None),
        CloudRequest::Provision {
            name,
            kind,
            zone,
            spot,
            count,
        } => {
            let body = json!({"encomenda": name, "modelo": kind, "praca": zone, "emprestados": spot, "count": count});
            (Method::Post, "/hosts".to_owned(), Some(body))
        }
        CloudRequest::Terminate { machines } => {
            let names: Vec<&str> = machines.iter().map(|m| m.as_str()).collect();
            (
                Method::Post,
                "/hosts/delete".to_owned(),
                Some(json!({ "fornalhas": names })),
            )
        }
        CloudRequest::ListMachines { after } => {
            let after = after
                .as_ref()
                .map_or(String::new(), |a| format!("after={a}&"));
            (Method::Get, format!("/hosts?{after}page=500"), None)
        }
    };
    let body = body.map(|b| b.to_string().into_bytes());
    let (status, bytes) = match client.call(to, method, &path, body, CALL_TIME).await {
        Ok(r) => r,
        Err(e) => {
            info!(?e, ?request, "the cloud did not answer");
            return CloudReply::Failed;
        }
    };
    let reply = match (request, status) {
        (CloudRequest::MachineTypes, 200) => {
            serde_json::from_slice::<WireTypes>(&bytes).ok().map(|t| {
                CloudReply::MachineTypes(t.modelos.into_iter().map(MachineType::from).collect())
            })
        }
        (CloudRequest::Provision { .. }, 200) => {
            serde_json::from_slice::<WireRented>(&bytes).ok().map(|r| {
                CloudReply::Provisioned(r.fornalhas.iter().map(|f| f.as_str().into()).collect())
            })
        }
        (CloudRequest::Provision { .. }, 503)
            if String::from_utf8_lossy(&bytes).contains("no capacity") =>
        {
            Some(CloudReply::NoCapacity)
        }
        (CloudRequest::Terminate { .. }, 200) => Some(CloudReply::Terminated),
        (CloudRequest::ListMachines { .. }, 200) => serde_json::from_slice::<WireList>(&bytes)
            .ok()
            .map(|l| CloudReply::Page {
                machines: l.fornalhas.into_iter().filter_map(listed).collect(),
                more: l.more,
            }),
        _ => None,
    };
    reply.unwrap_or_else(|| {
        let text = String::from_utf8_lossy(&bytes[..bytes.len().min(200)]).into_owned();
        warn!(status, text, ?request, "the cloud refused");
        CloudReply::Failed
    })
}
