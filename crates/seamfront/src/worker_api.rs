//! The protocol of the workers: their heartbeats, and orders to them.

use crate::http::{self, Audience, CallError, Client, Reply, Response};
use http_types::Method;
use seamfront_core::port::{DirectOutcome, Exit, Heartbeat, Order, TaskState, TaskStatus};
use seamfront_core::types::{Micros, TaskKey};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tracing::warn;

const DIRECT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Orders of one message at the most, so that it stays below 64 KiB; the rest goes with the next.
const ORDERS_MAX: usize = 400;

/// A heartbeat as it is on the wire.
#[derive(Deserialize)]
struct WireHeartbeat {
    #[serde(rename = "fornalha")]
    machine: String,
    addr: String,
    #[serde(rename = "turno")]
    incarnation: u64,
    #[serde(rename = "conta")]
    sequence: u64,
    #[serde(default, rename = "bastao")]
    fencing_token: u64,
    #[serde(default, rename = "aviso_s")]
    preemption_notice_s: Option<f64>,
    #[serde(default, rename = "paes")]
    tasks: Vec<WireTask>,
}

/// A task's status as it is on the wire.
#[derive(Deserialize)]
struct WireTask {
    #[serde(rename = "pao")]
    task: String,
    #[serde(rename = "tentativa")]
    attempt: u64,
    #[serde(rename = "ponto")]
    state: String,
    #[serde(default, rename = "motivo")]
    exit: Option<String>,
    #[serde(default)]
    saved: Option<bool>,
}

/// An order as it is on the wire; fields in the order of their names there.
#[derive(Serialize)]
struct WireOrder {
    #[serde(rename = "folga_s", skip_serializing_if = "Option::is_none")]
    grace_s: Option<f64>,
    #[serde(rename = "ordem")]
    order: &'static str,
    #[serde(rename = "pao")]
    task: String,
    #[serde(rename = "tentativa")]
    attempt: u64,
}

/// The response to a heartbeat.
#[derive(Serialize)]
struct WireOrders {
    #[serde(rename = "bastao")]
    fencing_token: u64,
    #[serde(rename = "ordens")]
    orders: Vec<WireOrder>,
}

/// Orders that are sent without a heartbeat to respond to.
#[derive(Serialize)]
struct WireDirectOrders {
    #[serde(flatten)]
    orders: WireOrders,
    #[serde(rename = "turno")]
    incarnation: u64,
}

/// The response to a heartbeat that belongs to another controller.
#[derive(Serialize)]
struct WireRedirect<'a> {
    #[serde(rename = "mestre", skip_serializing_if = "Option::is_none")]
    member: Option<&'a str>,
}

/// Why a heartbeat is refused; the text goes to the worker.
#[derive(Debug, Error)]
pub enum MalformedHeartbeat {
    /// The body is not JSON, or a field is missing or of another type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The name of a task is not `JOB/INDEX`.
    #[error("paes.pao: `{name}`")]
    TaskName {
        /// The name.
        name: String,
    },
    /// The state of a task is unknown.
    #[error("paes.ponto: `{state}`")]
    TaskState {
        /// The state.
        state: String,
    },
    /// The preemption notice is not a finite number of seconds.
    #[error("aviso_s")]
    PreemptionNotice,
}

/// Reads a task's name on the wire.
pub fn task_key(name: &str) -> Option<TaskKey> {
    let (job, index) = name.rsplit_once('/')?;
    Some(TaskKey {
        job: job.into(),
        index: index.parse().ok()?,
    })
}

fn task_state(task: &WireTask) -> Option<TaskState> {
    Some(match task.state.as_str() {
        "pulling" => TaskState::Fetching,
        "gathering" => TaskState::Waiting,
        "running" => TaskState::Running,
        "saving" => TaskState::Saving,
        "exited" => TaskState::Exited(exit(task)?),
        _ => return None,
    })
}

fn exit(task: &WireTask) -> Option<Exit> {
    Some(match task.exit.as_deref()? {
        "done" => Exit::Done,
        "halted" => Exit::Stopped {
            saved: task.saved.unwrap_or(false),
        },
        "peers" => Exit::PeerLost,
        "alone" => Exit::GangIncomplete,
        "error" => Exit::Error,
        "no_room" => Exit::NoRoom,
        "in_use" => Exit::OtherAttemptPresent,
        "unknown" => Exit::Unknown,
        _ => return None,
    })
}

fn task_status(wire: &WireTask) -> Result<TaskStatus, MalformedHeartbeat> {
    let task = task_key(&wire.task).ok_or_else(|| MalformedHeartbeat::TaskName {
        name: wire.task.clone(),
    })?;
    let state = task_state(wire).ok_or_else(|| MalformedHeartbeat::TaskState {
        state: wire.state.clone(),
    })?;
    Ok(TaskStatus {
        task,
        attempt: wire.attempt,
        state,
    })
}

/// Reads a heartbeat. One with an unknown value anywhere is refused whole: a part of it would be
/// false evidence.
pub fn parse_heartbeat(body: &[u8]) -> Result<Heartbeat, MalformedHeartbeat> {
    let wire: WireHeartbeat = serde_json::from_slice(body)?;
    let tasks = wire
        .tasks
        .iter()
        .map(task_status)
        .collect::<Result<_, _>>()?;
    let preemption_notice = match wire.preemption_notice_s {
        Some(seconds) if !seconds.is_finite() => return Err(MalformedHeartbeat::PreemptionNotice),
        seconds => seconds.map(Micros::from_secs_decimal),
    };
    Ok(Heartbeat {
        machine: wire.machine.as_str().into(),
        addr: wire.addr,
        incarnation: wire.incarnation,
        sequence: wire.sequence,
        fencing_token: wire.fencing_token,
        preemption_notice,
        tasks,
    })
}

fn wire_order(order: &Order) -> WireOrder {
    let (name, task, attempt, grace) = match order {
        Order::Start { task, attempt } => ("run", task, attempt, None),
        Order::Stop {
            task,
            attempt,
            grace,
        } => ("stop", task, attempt, Some(grace)),
        Order::Forget { task, attempt } => ("clear", task, attempt, None),
    };
    WireOrder {
        grace_s: grace.map(|grace| grace.as_secs_decimal()),
        order: name,
        task: task.to_string(),
        attempt: *attempt,
    }
}

fn wire_orders(fencing_token: u64, orders: &[Order]) -> WireOrders {
    WireOrders {
        fencing_token,
        orders: orders.iter().take(ORDERS_MAX).map(wire_order).collect(),
    }
}

/// The response to a heartbeat, with orders.
pub fn orders_reply(fencing_token: u64, orders: &[Order]) -> Reply {
    let mut reply = Reply::json(200, http::json_text(&wire_orders(fencing_token, orders)));
    reply.audience = Audience::Worker;
    reply
}

/// The response to a heartbeat that belongs to another controller.
pub fn elsewhere_reply(member: Option<&str>) -> Reply {
    Reply::json(421, http::json_text(&WireRedirect { member }))
}

/// Sends orders to a worker without waiting for its next heartbeat.
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
    let body = http::json_text(&WireDirectOrders {
        orders: wire_orders(fencing_token, orders),
        incarnation,
    });
    let sent = client
        .call(
            to,
            Method::Post,
            "/commands",
            Some(body.into_bytes()),
            DIRECT_TIMEOUT,
        )
        .await;
    match sent {
        Err(CallError::NotSent) => DirectOutcome::NotSent,
        Err(CallError::Unknown) => DirectOutcome::Unknown,
        Ok(Response {
            status: 200 | 409,
            body,
        }) => settled(addr, &body),
        Ok(Response { status, .. }) => {
            warn!(addr, status, "unexpected response of a worker");
            DirectOutcome::Unknown
        }
    }
}

fn settled(addr: &str, body: &[u8]) -> DirectOutcome {
    match parse_heartbeat(body) {
        Ok(heartbeat) => DirectOutcome::Settled {
            heartbeat: Box::new(heartbeat),
        },
        Err(error) => {
            let why = error.to_string();
            warn!(addr, why, "unexpected response of a worker");
            DirectOutcome::Unknown
        }
    }
}
