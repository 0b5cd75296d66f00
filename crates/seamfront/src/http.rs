//! HTTP/1.1 both ways, by async-h1: a server with bounded connections and bodies, and a small
//! client that keeps connections and tells "never sent" from "unknown".

use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, FutureExt};
use http_types::{Method, Request, Response, StatusCode, Url};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{debug, error, info};

/// Bytes of a request's body at the most.
pub const BODY_MAX: u64 = 64 * 1024;
const BODY_TIME: Duration = Duration::from_secs(5);
/// A request or a silence on one connection may take no longer than this.
const QUIET_TIME: Duration = Duration::from_secs(75);

/// Runs a future for at most so long.
pub async fn within<T>(limit: Duration, f: impl Future<Output = T>) -> Option<T> {
    async { Some(f.await) }
        .or(async {
            Timer::after(limit).await;
            None
        })
        .await
}

// ---- client ------------------------------------------------------------------------------

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection was made: the request can't arrive.
    NotSent,
    /// It may have arrived, or may yet.
    Unknown,
}

type IdleList = VecDeque<(TcpStream, Instant)>;

/// Idle connections of one process, by destination.
#[derive(Clone, Default)]
pub struct Client {
    idle: Rc<RefCell<BTreeMap<SocketAddr, IdleList>>>,
}

const IDLE_MAX: usize = 6;
const IDLE_TIME: Duration = Duration::from_secs(20);
const CONNECT_TIME: Duration = Duration::from_millis(1_000);

impl Client {
    fn kept(&self, to: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&to)?;
        while let Some((s, t)) = list.pop_back() {
            if t.elapsed() < IDLE_TIME {
                return Some(s);
            }
        }
        idle.remove(&to);
        None
    }

    fn keep(&self, to: SocketAddr, s: TcpStream) {
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(to).or_default();
        if list.len() < IDLE_MAX {
            list.push_back((s, Instant::now()));
        }
    }

    /// Forgets connections that have been idle for long, so that gone machines leave no sockets.
    pub fn sweep(&self) {
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|(_, t)| t.elapsed() < IDLE_TIME);
            !list.is_empty()
        });
    }

    /// One request and its answer, within a time limit.
    pub async fn call(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<(u16, Vec<u8>), Failure> {
        let stream = match self.kept(to) {
            Some(s) => s,
            None => {
                let connect = within(CONNECT_TIME.min(limit), TcpStream::connect(to)).await;
                let Some(Ok(s)) = connect else {
                    return Err(Failure::NotSent);
                };
                let _ = s.set_nodelay(true);
                s
            }
        };
        let exchange = async {
            let url = Url::parse(&format!("http://{to}{path}")).map_err(|_| Failure::NotSent)?;
            let mut request = Request::new(method, url);
            if let Some(b) = body {
                request.insert_header("content-type", "application/json");
                request.set_body(b);
            }
            let mut response = async_h1::connect(stream.clone(), request)
                .await
                .map_err(|_| Failure::Unknown)?;
            let status = response.status() as u16;
            let closing = response
                .header("connection")
                .is_some_and(|c| c.as_str().eq_ignore_ascii_case("close"));
            let bytes = response.body_bytes().await.map_err(|_| Failure::Unknown)?;
            if !closing {
                self.keep(to, stream);
            }
            Ok((status, bytes))
        };
        within(limit, exchange)
            .await
            .unwrap_or(Err(Failure::Unknown))
    }
}

// ---- server ------------------------------------------------------------------------------

struct Connection {
    used: Instant,
    /// Workers' connections are never given up for users'.
    worker: bool,
    stream: TcpStream,
}

/// Open connections of the server; when there are too many, the longest idle of users goes.
#[derive(Clone, Default)]
pub struct Connections {
    open: Rc<RefCell<BTreeMap<u64, Connection>>>,
}

impl Connections {
    fn make_room(&self, most: usize) {
        let open = self.open.borrow();
        if open.len() < most {
            return;
        }
        let oldest = open.values().filter(|c| !c.worker).min_by_key(|c| c.used);
        if let Some(c) = oldest.or(open.values().min_by_key(|c| c.used)) {
            let _ = c.stream.shutdown(Shutdown::Both);
        }
    }
}

/// A request that came in.
pub struct Incoming {
    /// Its method.
    pub method: Method,
    /// Its path, with the query.
    pub path: String,
    /// None: longer than allowed.
    pub body: Option<Vec<u8>>,
}

/// An answer.
pub struct Reply {
    /// Status.
    pub status: u16,
    /// JSON.
    pub body: String,
    /// Seconds after which the client is to come back.
    pub retry_after: Option<u64>,
    /// Whether it goes to a worker.
    pub worker: bool,
    /// Whether the connection is closed afterwards.
    pub close: bool,
}

impl Reply {
    /// An answer with a body.
    pub fn json(status: u16, body: String) -> Reply {
        Reply {
            status,
            body,
            retry_after: None,
            worker: false,
            close: false,
        }
    }

    /// An answer that names an error.
    pub fn error(status: u16, why: &str) -> Reply {
        Reply::json(status, serde_json::json!({ "error": why }).to_string())
    }

    /// To come back later.
    pub fn later(seconds: u64) -> Reply {
        let mut r = Reply::error(503, "come back later");
        r.retry_after = Some(seconds.max(1));
        r
    }
}

/// Serves connections until the listener fails.
pub async fn serve<F, Fut>(
    ex: &'static async_executor::LocalExecutor<'static>,
    bind: SocketAddr,
    most: usize,
    handle: F,
) -> std::io::Result<()>
where
    F: Fn(Incoming) -> Fut + Clone + 'static,
    Fut: Future<Output = Reply> + 'static,
{
    let listener = TcpListener::bind(bind).await?;
    info!(%bind, "listening");
    let connections = Connections::default();
    let mut next = 0u64;
    loop {
        let stream = match listener.accept().await {
            Ok((s, _)) => s,
            Err(e) => {
                // Out of sockets, most likely: let some go before the next.
                error!(%e, "accept failed");
                connections.make_room(0);
                Timer::after(Duration::from_millis(20)).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        connections.make_room(most);
        next += 1;
        let id = next;
        let c = Connection {
            used: Instant::now(),
            worker: false,
            stream: stream.clone(),
        };
        connections.open.borrow_mut().insert(id, c);
        let (connections, handle) = (connections.clone(), handle.clone());
        ex.spawn(async move {
            let result = converse(stream, &connections, id, handle).await;
            if let Err(e) = result {
                debug!(%e, "connection ended");
            }
            connections.open.borrow_mut().remove(&id);
        })
        .detach();
    }
}

async fn converse<F, Fut>(
    stream: TcpStream,
    connections: &Connections,
    id: u64,
    handle: F,
) -> http_types::Result<()>
where
    F: Fn(Incoming) -> Fut,
    Fut: Future<Output = Reply>,
{
    let endpoint = |mut req: Request| {
        let (connections, handle) = (connections.clone(), &handle);
        async move {
            let mut body = Vec::new();
            let mut limited = req.take_body().take(BODY_MAX + 1);
            let whole = matches!(
                within(BODY_TIME, limited.read_to_end(&mut body)).await,
                Some(Ok(_))
            );
            let url = req.url();
            let path = url.path().to_owned();
            let fits = whole && body.len() as u64 <= BODY_MAX;
            let incoming = Incoming {
                method: req.method(),
                path,
                body: fits.then_some(body),
            };
            let reply = handle(incoming).await;
            if let Some(c) = connections.open.borrow_mut().get_mut(&id) {
                c.used = Instant::now();
                c.worker |= reply.worker;
            }
            let status =
                StatusCode::try_from(reply.status).unwrap_or(StatusCode::InternalServerError);
            let mut res = Response::new(status);
            res.insert_header("content-type", "application/json");
            if let Some(s) = reply.retry_after {
                res.insert_header("retry-after", s.to_string());
            }
            if reply.close || !fits {
                res.insert_header("connection", "close");
            }
            res.set_body(reply.body);
            res.insert_header("content-type", "application/json");
            Ok(res)
        }
    };
    let mut server = async_h1::server::Server::new(stream, endpoint);
    loop {
        match within(QUIET_TIME, server.accept_one()).await {
            Some(Ok(async_h1::server::ConnectionStatus::KeepAlive)) => {}
            Some(Ok(_)) | None => return Ok(()),
            Some(Err(e)) => return Err(e),
        }
    }
}
