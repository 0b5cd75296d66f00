//! The HTTP server. One task accepts connections and each connection is served by a task of its
//! own, until the client closes it, falls silent, or it is closed to make room for another.

use super::within;
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

/// Bytes of a request's body at the most.
pub const BODY_MAX: u64 = 64 * 1024;
/// How long a client may take to send a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// A request or a silence on one connection may take no longer than this.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(75);
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Whose connection it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// A user's, or not known yet.
    User,
    /// A worker's: it is never closed in favour of a user's.
    Worker,
}

/// A request that came in.
pub struct IncomingRequest {
    /// Its method.
    pub method: Method,
    /// Its path, without the query.
    pub path: String,
    /// None: longer than allowed, or not received in time.
    pub body: Option<Vec<u8>>,
}

/// The response to a request.
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// JSON.
    pub body: String,
    /// Seconds after which the client is to retry.
    pub retry_after: Option<u64>,
    /// Whom it goes to.
    pub audience: Audience,
}

impl Reply {
    /// A response with a body.
    pub fn json(status: u16, body: String) -> Reply {
        Reply {
            status,
            body,
            retry_after: None,
            audience: Audience::User,
        }
    }

    /// A response that names an error.
    pub fn error(status: u16, why: &str) -> Reply {
        Reply::json(status, serde_json::json!({ "error": why }).to_string())
    }

    /// Asks the client to retry after so many seconds.
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
    audience: Audience,
    stream: TcpStream,
}

/// Open connections of the server. When there are too many, the user's that has been idle longest
/// is closed.
#[derive(Clone, Default)]
struct Connections {
    open: Rc<RefCell<BTreeMap<ConnectionId, Connection>>>,
}

impl Connections {
    fn make_room(&self, max_connections: usize) {
        let open = self.open.borrow();
        if open.len() < max_connections {
            return;
        }
        let oldest_user = open
            .values()
            .filter(|connection| connection.audience == Audience::User)
            .min_by_key(|connection| connection.last_used);
        let oldest = || open.values().min_by_key(|connection| connection.last_used);
        if let Some(connection) = oldest_user.or_else(oldest) {
            let _ = connection.stream.shutdown(Shutdown::Both);
        }
    }

    fn insert(&self, id: ConnectionId, stream: TcpStream) {
        let connection = Connection {
            last_used: Instant::now(),
            audience: Audience::User,
            stream,
        };
        self.open.borrow_mut().insert(id, connection);
    }

    /// Notes that a connection was used. Once a worker's, it stays one.
    fn mark_used(&self, id: ConnectionId, audience: Audience) {
        if let Some(connection) = self.open.borrow_mut().get_mut(&id) {
            connection.last_used = Instant::now();
            if audience == Audience::Worker {
                connection.audience = audience;
            }
        }
    }

    fn remove(&self, id: ConnectionId) {
        self.open.borrow_mut().remove(&id);
    }
}

/// Serves at most `max_connections` connections until the listener fails.
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
            Err(e) => {
                // Out of sockets, most likely: close a connection before the next attempt.
                error!(%e, "accept failed");
                connections.make_room(0);
                Timer::after(ACCEPT_RETRY).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        connections.make_room(max_connections);
        last_id += 1;
        let id = ConnectionId(last_id);
        connections.insert(id, stream.clone());
        let (connections, handle) = (connections.clone(), handle.clone());
        let connection = async move {
            if let Err(e) = serve_connection(stream, &connections, id, handle).await {
                debug!(%e, "connection ended");
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
            let incoming = receive(request).await;
            let complete = incoming.body.is_some();
            let reply = handle(incoming).await;
            connections.mark_used(id, reply.audience);
            Ok(response(reply, complete))
        }
    };
    let mut server = Server::new(stream, endpoint);
    loop {
        match within(CONNECTION_TIMEOUT, server.accept_one()).await {
            Some(Ok(ConnectionStatus::KeepAlive)) => {}
            Some(Ok(_)) | None => return Ok(()),
            Some(Err(e)) => return Err(e),
        }
    }
}

/// Reads the body of a request as far as it is allowed to go.
async fn receive(mut request: Request) -> IncomingRequest {
    let mut body = Vec::new();
    // A byte more than allowed shows that the body is too long.
    let mut limited = request.take_body().take(BODY_MAX + 1);
    let read = within(BODY_TIMEOUT, limited.read_to_end(&mut body)).await;
    let complete = matches!(read, Some(Ok(_))) && body.len() as u64 <= BODY_MAX;
    IncomingRequest {
        method: request.method(),
        path: request.url().path().to_owned(),
        body: complete.then_some(body),
    }
}

/// The response on the wire. After an incomplete request the connection can't be used again.
fn response(reply: Reply, request_complete: bool) -> Response {
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
    // Setting the body has overwritten the type of the content.
    response.insert_header("content-type", "application/json");
    response
}
