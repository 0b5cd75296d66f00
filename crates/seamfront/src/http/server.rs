//! The HTTP server. One task accepts connections. Each connection is served by a task of its own until
//! the client closes it, it times out, or it is closed in favour of a new one.

use super::with_timeout;
use async_executor::LocalExecutor;
use async_h1::server::{ConnectionStatus, Server};
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use futures_lite::AsyncReadExt;
use http_types::{Method, Request, Response, StatusCode};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{debug, error, info};

/// Maximum size of a request's body in bytes.
pub const BODY_BYTES_MAX: u64 = 64 * 1024;
/// Time limit for receiving a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for waiting for the next request on a connection and serving it.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(75);
/// Delay after a connection could not be accepted.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// The kind of client that uses a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientKind {
    /// A user, or not known yet.
    User,
    /// An agent. Its connection is not closed for a new one while there are users' connections.
    Agent,
}

/// A request to the server.
pub struct IncomingRequest {
    /// Its method.
    pub method: Method,
    /// Its path, without the query.
    pub path: String,
    /// Its body; none if it is too long or was not received in time.
    pub body: Option<Vec<u8>>,
}

/// The response to a request.
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Body, as JSON.
    pub body: String,
    /// Seconds after which the client is to retry.
    pub retry_after: Option<u64>,
    /// The kind of client that receives it.
    pub client: ClientKind,
}

impl Reply {
    /// A response with a body.
    pub fn json(status: u16, body: String) -> Reply {
        Reply {
            status,
            body,
            retry_after: None,
            client: ClientKind::User,
        }
    }

    /// A response with an error message.
    pub fn error(status: u16, message: &str) -> Reply {
        Reply::json(status, serde_json::json!({ "error": message }).to_string())
    }

    /// A response that asks the client to retry after a number of seconds.
    pub fn retry_later(seconds: u64) -> Reply {
        let mut reply = Reply::error(503, "come back later");
        reply.retry_after = Some(seconds.max(1));
        reply
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ConnectionId(u64);

struct Connection {
    last_used: Instant,
    client: ClientKind,
    stream: TcpStream,
}

/// Open connections of the server. When there are too many, the least recently used connection of a
/// user is closed.
#[derive(Clone, Default)]
struct Connections {
    open: Rc<RefCell<BTreeMap<ConnectionId, Connection>>>,
}

impl Connections {
    /// Closes one connection if there are `max_connections`: a user's if there is any, else an agent's.
    fn close_one_if_full(&self, max_connections: usize) {
        let open = self.open.borrow();
        if open.len() < max_connections {
            return;
        }
        let least_recent_user = open
            .values()
            .filter(|connection| connection.client == ClientKind::User)
            .min_by_key(|connection| connection.last_used);
        let least_recent = || open.values().min_by_key(|connection| connection.last_used);
        if let Some(connection) = least_recent_user.or_else(least_recent) {
            let _ = connection.stream.shutdown(Shutdown::Both);
        }
    }

    fn insert(&self, id: ConnectionId, stream: TcpStream) {
        let connection = Connection {
            last_used: Instant::now(),
            client: ClientKind::User,
            stream,
        };
        self.open.borrow_mut().insert(id, connection);
    }

    /// Records that a connection was used. Once it is an agent's, it remains one.
    fn mark_used(&self, id: ConnectionId, client: ClientKind) {
        if let Some(connection) = self.open.borrow_mut().get_mut(&id) {
            connection.last_used = Instant::now();
            if client == ClientKind::Agent {
                connection.client = client;
            }
        }
    }

    fn remove(&self, id: ConnectionId) {
        self.open.borrow_mut().remove(&id);
    }
}

/// Serves at most `max_connections` connections. Returns only if it can't listen on `bind`.
pub async fn serve<F, Fut>(
    executor: &'static LocalExecutor<'static>,
    bind: SocketAddr,
    max_connections: usize,
    handle: F,
) -> std::io::Result<()>
where
    F: Fn(IncomingRequest) -> Fut + Clone + 'static,
    Fut: Future<Output = Reply> + 'static,
{
    let listener = TcpListener::bind(bind).await?;
    info!(%bind, "listening");
    let connections = Connections::default();
    let mut last_id = 0u64;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                // Most likely the process has no file descriptors left, so a connection is closed
                // before the next attempt.
                error!(%bind, %error, "accept failed");
                connections.close_one_if_full(0);
                Timer::after(ACCEPT_RETRY).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        connections.close_one_if_full(max_connections);
        last_id += 1;
        let id = ConnectionId(last_id);
        connections.insert(id, stream.clone());
        let (connections, handle) = (connections.clone(), handle.clone());
        let connection = async move {
            if let Err(error) = serve_connection(stream, &connections, id, handle).await {
                debug!(%error, "connection ended");
            }
            connections.remove(id);
        };
        executor.spawn(connection).detach();
    }
}

async fn serve_connection<F, Fut>(
    stream: TcpStream,
    connections: &Connections,
    id: ConnectionId,
    handle: F,
) -> http_types::Result<()>
where
    F: Fn(IncomingRequest) -> Fut,
    Fut: Future<Output = Reply>,
{
    let endpoint = |request: Request| {
        let (connections, handle) = (connections.clone(), &handle);
        async move {
            let incoming = read_request(request).await;
            let complete = incoming.body.is_some();
            let reply = handle(incoming).await;
            connections.mark_used(id, reply.client);
            Ok(to_response(reply, complete))
        }
    };
    let mut server = Server::new(stream, endpoint);
    loop {
        match with_timeout(CONNECTION_TIMEOUT, server.accept_one()).await {
            Some(Ok(ConnectionStatus::KeepAlive)) => {}
            Some(Ok(_)) | None => return Ok(()),
            Some(Err(error)) => return Err(error),
        }
    }
}

/// Reads a request and its body, unless that is too long or late.
async fn read_request(mut request: Request) -> IncomingRequest {
    let mut body = Vec::new();
    // Reading one byte more than allowed tells whether the body is too long.
    let mut limited = request.take_body().take(BODY_BYTES_MAX + 1);
    let read = with_timeout(BODY_TIMEOUT, limited.read_to_end(&mut body)).await;
    let complete = matches!(read, Some(Ok(_))) && body.len() as u64 <= BODY_BYTES_MAX;
    IncomingRequest {
        method: request.method(),
        path: request.url().path().to_owned(),
        body: complete.then_some(body),
    }
}

/// The HTTP response of a reply. After an incomplete request the connection can't be reused.
fn to_response(reply: Reply, request_complete: bool) -> Response {
    let status = StatusCode::try_from(reply.status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.insert_header("content-type", "application/json");
    if let Some(seconds) = reply.retry_after {
        response.insert_header("retry-after", seconds.to_string());
    }
    if !request_complete {
        response.insert_header("connection", "close");
    }
    response.set_body(reply.body);
    // Set again, since `set_body` has overwritten it.
    response.insert_header("content-type", "application/json");
    response
}
