//! Routes the requests of the HTTP server: each becomes a command to the engine, whose reply is
//! awaited.

use crate::http::{self, ClientKind, IncomingRequest, Reply};
use crate::{user_api, worker_api};
use async_channel::Sender;
use http_types::Method;
use seamfront_core::port::{ClientRequestId, Command};
use seamfront_core::types::JobId;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// How long a request waits for the engine's reply before the client is asked to retry.
const REPLY_TIMEOUT: Duration = Duration::from_millis(4_500);
/// Seconds after which a client is to retry if the engine did not reply.
const RETRY_AFTER_S: u64 = 1;

/// Clients' requests that await the engine's reply. An entry exists only while the connection's task
/// waits for it.
#[derive(Clone, Default)]
pub(crate) struct PendingReplies {
    senders: Rc<RefCell<BTreeMap<ClientRequestId, Sender<Reply>>>>,
}

impl PendingReplies {
    /// Passes the engine's reply to the connection's task, if it still waits.
    pub fn complete(&self, request: ClientRequestId, reply: Reply) {
        if let Some(sender) = self.remove(request) {
            let _ = sender.try_send(reply);
        }
    }

    fn insert(&self, request: ClientRequestId, sender: Sender<Reply>) {
        self.senders.borrow_mut().insert(request, sender);
    }

    fn remove(&self, request: ClientRequestId) -> Option<Sender<Reply>> {
        self.senders.borrow_mut().remove(&request)
    }
}

/// Passes requests of connections to the engine. Clones share the same state.
#[derive(Clone)]
pub(crate) struct RequestRouter {
    commands: Sender<Command>,
    pending: PendingReplies,
    last_request: Rc<Cell<ClientRequestId>>,
}

impl RequestRouter {
    pub fn new(commands: Sender<Command>, pending: PendingReplies) -> RequestRouter {
        RequestRouter {
            commands,
            pending,
            last_request: Rc::default(),
        }
    }

    /// Replies to a request according to its path and method.
    pub async fn handle(&self, request: IncomingRequest) -> Reply {
        let path: Vec<&str> = request.path.trim_start_matches('/').split('/').collect();
        let post = request.method == Method::Post;
        let get = request.method == Method::Get;
        match path.as_slice() {
            ["up"] if get => self.call_engine(|to| Command::HealthCheck { to }).await,
            ["hello"] if post => self.heartbeat(request.body).await,
            ["submissions"] if post => self.submit(request.body).await,
            ["submissions", id] if get => self.poll(id).await,
            ["submissions", id, "abort"] if post => self.cancel(id).await,
            ["up" | "hello" | "submissions"] | ["submissions", _] | ["submissions", _, "abort"] => {
                Reply::error(405, "method not allowed")
            }
            _ => Reply::error(404, "no such path"),
        }
    }

    async fn heartbeat(&self, body: Option<Vec<u8>>) -> Reply {
        let Some(body) = body else {
            return body_too_long();
        };
        let heartbeat = match worker_api::parse_heartbeat(&body) {
            Ok(heartbeat) => Box::new(heartbeat),
            Err(error) => return Reply::error(400, &error.to_string()),
        };
        let mut reply = self
            .call_engine(|to| Command::Heartbeat { to, heartbeat })
            .await;
        reply.client = ClientKind::Agent;
        reply
    }

    async fn submit(&self, body: Option<Vec<u8>>) -> Reply {
        let Some(body) = body else {
            return body_too_long();
        };
        let spec = match user_api::parse_submission(&body) {
            Ok(spec) => Box::new(spec),
            Err(error) => return Reply::error(400, &error.to_string()),
        };
        self.call_engine(|to| Command::Submit { to, spec }).await
    }

    async fn poll(&self, id: &str) -> Reply {
        if !user_api::valid_id(id) {
            return no_such_job();
        }
        let id = JobId::from(id);
        self.call_engine(|to| Command::Poll { to, id }).await
    }

    async fn cancel(&self, id: &str) -> Reply {
        if !user_api::valid_id(id) {
            return no_such_job();
        }
        let id = JobId::from(id);
        self.call_engine(|to| Command::Cancel { to, id }).await
    }

    /// Queues a command and waits for the engine's reply. If the queue is full, the client is
    /// immediately asked to retry later.
    async fn call_engine(&self, command: impl FnOnce(ClientRequestId) -> Command) -> Reply {
        let request = self.last_request.get() + 1;
        self.last_request.set(request);
        let (sender, receiver) = async_channel::bounded(1);
        self.pending.insert(request, sender);
        if self.commands.try_send(command(request)).is_err() {
            self.pending.remove(request);
            return Reply::retry_later(RETRY_AFTER_S);
        }
        let reply = http::with_timeout(REPLY_TIMEOUT, receiver.recv()).await;
        self.pending.remove(request);
        reply
            .and_then(Result::ok)
            .unwrap_or_else(|| Reply::retry_later(RETRY_AFTER_S))
    }
}

fn body_too_long() -> Reply {
    Reply::error(400, "body: too long")
}

fn no_such_job() -> Reply {
    Reply::error(404, "no such job")
}
