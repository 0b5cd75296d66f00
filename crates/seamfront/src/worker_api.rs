//! The workers' protocol, both directions.

use crate::http::{Client, Failure, Reply};
use http_types::Method;
use seamfront_core::port::{DirectOutcome, Exit, Heartbeat, Order, TaskState, TaskStatus};
use seamfront_core::types::{Micros, TaskKey};
use serde::Deserialize;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;
use tracing::warn;

const DIRECT_TIME: Duration = Duration::from_millis(2_500);
/// Every line of a response stays below 64 KiB; what does not fit goes with the next reply.
const ORDERS_MAX: usize = 400;

#[derive(Deserialize)]
struct WireHeartbeat {
    fornalha: String,
    addr: String,
    turno: u64,
    conta: u64,
    #[serde(default)]
    bastao: u64,
    #[serde(default)]
    aviso_s: Option<f64>,
    #[serde(default)]
    paes: Vec<WireTask>,
}

#[derive(Deserialize)]
struct WireTask {
    pao: String,
    tentativa: u64,
    ponto: String,
    #[serde(default)]
    motivo: Option<String>,
    #[serde(default)]
    saved: Option<bool>,
}

/// Reads a task's name on the wire.
pub fn task_key(s: &str) -> Option<TaskKey> {
    let (job, index) = s.rsplit_once('/')?;
    Some(TaskKey {
        job: job.into(),
        index: index.parse().ok()?,
    })
}

fn task_state(t: &WireTask) -> Option<TaskState> {
    Some(match t.ponto.as_str() {
        "pulling" => TaskState::Fetching,
        "gathering" => TaskState::Waiting,
        "running" => TaskState::Running,
        "saving" => TaskState::Saving,
        "exited" => TaskState::Exited(match t.motivo.as_deref()? {
            "done" => Exit::Done,
            "halted" => Exit::Stopped {
                saved: t.saved.unwrap_or(false),
            },
            "peers" => Exit::Peers,
            "alone" => Exit::Alone,
            "error" => Exit::Error,
            "no_room" => Exit::NoRoom,
            "in_use" => Exit::Busy,
            "unknown" => Exit::Unknown,
            _ => return None,
        }),
        _ => return None,
    })
}

/// A report with anything in it that is not understood is refused whole: half a report would be
/// false evidence.
pub fn parse_heartbeat(body: &[u8]) -> Result<Heartbeat, String> {
    let w: WireHeartbeat = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let mut tasks = Vec::with_capacity(w.paes.len());
    for t in &w.paes {
        let task = task_key(&t.pao).ok_or_else(|| format!("paes.pao: `{}`", t.pao))?;
        let state = task_state(t).ok_or_else(|| format!("paes.ponto: `{}`", t.ponto))?;
        tasks.push(TaskStatus {
            task,
            attempt: t.tentativa,
            state,
        });
    }
    let preemption_notice = match w.aviso_s {
        Some(s) if !s.is_finite() => return Err("aviso_s".to_owned()),
        s => s.map(Micros::from_secs_decimal),
    };
    Ok(Heartbeat {
        machine: w.fornalha.as_str().into(),
        addr: w.addr,
        incarnation: w.turno,
        sequence: w.conta,
        fencing_token: w.bastao,
        preemption_notice,
        tasks,
    })
}

fn orders_json(orders: &[Order]) -> Vec<Value> {
    let one = |o: &Order| match o {
        Order::Start { task, attempt } => {
            json!({"ordem": "run", "pao": task.to_string(), "tentativa": attempt})
        }
        Order::Stop {
            task,
            attempt,
            grace,
        } => json!({
            "ordem": "stop", "pao": task.to_string(), "tentativa": attempt, "folga_s": grace.as_secs_decimal()
        }),
        Order::Forget { task, attempt } => {
            json!({"ordem": "clear", "pao": task.to_string(), "tentativa": attempt})
        }
    };
    orders.iter().take(ORDERS_MAX).map(one).collect()
}

/// The answer to a report, with orders.
pub fn orders_reply(fencing_token: u64, orders: &[Order]) -> Reply {
    let mut r = Reply::json(
        200,
        json!({"bastao": fencing_token, "ordens": orders_json(orders)}).to_string(),
    );
    r.worker = true;
    r
}

/// The answer to a report that another controller should get.
pub fn elsewhere_reply(member: Option<&str>) -> Reply {
    let body = member.map_or_else(|| json!({}), |m| json!({ "mestre": m }));
    Reply::json(421, body.to_string())
}

/// Sends orders straight to a worker.
pub async fn direct(
    client: &Client,
    addr: &str,
    incarnation: u64,
    fencing_token: u64,
    orders: &[Order],
) -> DirectOutcome {
    let Ok(to) = addr.parse::<SocketAddr>() else {
        return DirectOutcome::NotSent;
    };
    let body =
        json!({"bastao": fencing_token, "turno": incarnation, "ordens": orders_json(orders)});
    let sent = client
        .call(
            to,
            Method::Post,
            "/commands",
            Some(body.to_string().into_bytes()),
            DIRECT_TIME,
        )
        .await;
    match sent {
        Err(Failure::NotSent) => DirectOutcome::NotSent,
        Err(Failure::Unknown) => DirectOutcome::Unknown,
        Ok((200 | 409, bytes)) => match parse_heartbeat(&bytes) {
            Ok(heartbeat) => DirectOutcome::Settled {
                heartbeat: Box::new(heartbeat),
            },
            Err(why) => {
                warn!(addr, why, "odd answer of a worker");
                DirectOutcome::Unknown
            }
        },
        Ok((status, _)) => {
            warn!(addr, status, "odd answer of a worker");
            DirectOutcome::Unknown
        }
    }
}
