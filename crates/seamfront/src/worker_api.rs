//! The protocol with the agents (the worker processes on the machines): their heartbeats, and the
//! orders to them.

use crate::http::{self, CallError, Client, ClientKind, Reply, Response};
use http_types::Method;
use seamfront_core::port::{DirectOutcome, Exit, Heartbeat, Order, TaskState, TaskStatus};
use seamfront_core::types::{Micros, TaskKey};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tracing::warn;

const DIRECT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum number of orders in one message, so that it stays below 64 KiB; the others go with the next
/// message.
const ORDERS_PER_MESSAGE_MAX: usize = 400;

/// A heartbeat.
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

/// A task's status in a heartbeat.
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

/// An order; fields in the order of their names on the wire.
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

/// The response to a heartbeat, with orders.
#[derive(Serialize)]
struct WireOrders {
    #[serde(rename = "bastao")]
    fencing_token: u64,
    #[serde(rename = "ordens")]
    orders: Vec<WireOrder>,
}

/// Orders that are sent directly, not in response to a heartbeat.
#[derive(Serialize)]
struct WireDirectOrders {
    #[serde(flatten)]
    orders: WireOrders,
    #[serde(rename = "turno")]
    incarnation: u64,
}

/// The response to a heartbeat that should go to another controller: that member, if known.
#[derive(Serialize)]
struct WireRedirect<'a> {
    #[serde(rename = "mestre", skip_serializing_if = "Option::is_none")]
    member: Option<&'a str>,
}

/// Why a heartbeat is refused; the message is sent to the agent.
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

/// Parses a task's name, `JOB/INDEX`.
pub fn parse_task_key(name: &str) -> Option<TaskKey> {
    let (job, index) = name.rsplit_once('/')?;
    Some(TaskKey {
        job: job.into(),
        index: index.parse().ok()?,
    })
}

fn parse_task_state(task: &WireTask) -> Option<TaskState> {
    Some(match task.state.as_str() {
        "pulling" => TaskState::Fetching,
        "gathering" => TaskState::Waiting,
        "running" => TaskState::Running,
        "saving" => TaskState::Saving,
        "exited" => TaskState::Exited(parse_exit(task)?),
        _ => return None,
    })
}

fn parse_exit(task: &WireTask) -> Option<Exit> {
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

fn parse_task_status(wire: &WireTask) -> Result<TaskStatus, MalformedHeartbeat> {
    let task = parse_task_key(&wire.task).ok_or_else(|| MalformedHeartbeat::TaskName {
        name: wire.task.clone(),
    })?;
    let state = parse_task_state(wire).ok_or_else(|| MalformedHeartbeat::TaskState {
        state: wire.state.clone(),
    })?;
    Ok(TaskStatus {
        task,
        attempt: wire.attempt,
        state,
    })
}

/// Parses a heartbeat. If any value in it is unknown the whole heartbeat is refused: without that part
/// it would misrepresent the machine.
pub fn parse_heartbeat(body: &[u8]) -> Result<Heartbeat, MalformedHeartbeat> {
    let wire: WireHeartbeat = serde_json::from_slice(body)?;
    let tasks = wire
        .tasks
        .iter()
        .map(parse_task_status)
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
        orders: orders
            .iter()
            .take(ORDERS_PER_MESSAGE_MAX)
            .map(wire_order)
            .collect(),
    }
}

/// The reply to a heartbeat, with orders.
pub fn orders_reply(fencing_token: u64, orders: &[Order]) -> Reply {
    let mut reply = Reply::json(200, http::json_text(&wire_orders(fencing_token, orders)));
    reply.client = ClientKind::Agent;
    reply
}

/// The reply to a heartbeat that should go to another controller: redirects the agent to that member,
/// if it is known.
pub fn elsewhere_reply(member: Option<&str>) -> Reply {
    Reply::json(421, http::json_text(&WireRedirect { member }))
}

/// Sends orders to an agent without waiting for its next heartbeat.
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
        }) => settled_outcome(addr, &body),
        Ok(Response { status, .. }) => {
            warn!(addr, status, "unexpected response of a worker");
            DirectOutcome::Unknown
        }
    }
}

/// The outcome of orders that an agent has responded to with its heartbeat.
fn settled_outcome(addr: &str, body: &[u8]) -> DirectOutcome {
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
