//! The HTTP client: one request at a time on each connection, idle connections are kept.

use super::within;
use async_net::TcpStream;
use http_types::{Method, Request, Url};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Idle connections that are kept for one destination at the most.
const IDLE_MAX: usize = 6;
/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// No connection was made: the request can't arrive.
    #[error("not sent")]
    NotSent,
    /// It may have arrived, or may yet.
    #[error("outcome unknown")]
    Unknown,
}

/// What a server responded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

struct IdleConnection {
    stream: TcpStream,
    since: Instant,
}

impl IdleConnection {
    fn is_fresh(&self) -> bool {
        self.since.elapsed() < IDLE_TIMEOUT
    }
}

/// Idle connections of one process, by destination.
#[derive(Clone, Default)]
pub struct Client {
    idle: Rc<RefCell<BTreeMap<SocketAddr, VecDeque<IdleConnection>>>>,
}

impl Client {
    /// Sends one request and waits for its response, within a time limit.
    pub async fn call(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<Response, CallError> {
        let stream = match self.take_idle(to) {
            Some(stream) => stream,
            None => connect(to, limit).await?,
        };
        let exchange = async {
            let request = request(to, method, path, body)?;
            self.exchange(to, stream, request).await
        };
        within(limit, exchange)
            .await
            .unwrap_or(Err(CallError::Unknown))
    }

    async fn exchange(
        &self,
        to: SocketAddr,
        stream: TcpStream,
        request: Request,
    ) -> Result<Response, CallError> {
        let mut response = async_h1::connect(stream.clone(), request)
            .await
            .map_err(|_| CallError::Unknown)?;
        let status = response.status() as u16;
        let closing = response
            .header("connection")
            .is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"));
        let body = response
            .body_bytes()
            .await
            .map_err(|_| CallError::Unknown)?;
        if !closing {
            self.keep(to, stream);
        }
        Ok(Response { status, body })
    }

    fn take_idle(&self, to: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&to)?;
        while let Some(connection) = connections.pop_back() {
            if connection.is_fresh() {
                return Some(connection.stream);
            }
        }
        idle.remove(&to);
        None
    }

    fn keep(&self, to: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(to).or_default();
        if connections.len() < IDLE_MAX {
            connections.push_back(IdleConnection {
                stream,
                since: Instant::now(),
            });
        }
    }

    /// Closes connections that have been idle for long, so that machines that are gone leave no
    /// sockets.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(IdleConnection::is_fresh);
            !connections.is_empty()
        });
    }
}

async fn connect(to: SocketAddr, limit: Duration) -> Result<TcpStream, CallError> {
    let connected = within(CONNECT_TIMEOUT.min(limit), TcpStream::connect(to)).await;
    let Some(Ok(stream)) = connected else {
        return Err(CallError::NotSent);
    };
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

fn request(
    to: SocketAddr,
    method: Method,
    path: &str,
    body: Option<Vec<u8>>,
) -> Result<Request, CallError> {
    let url = Url::parse(&format!("http://{to}{path}")).map_err(|_| CallError::NotSent)?;
    let mut request = Request::new(method, url);
    if let Some(body) = body {
        request.insert_header("content-type", "application/json");
        request.set_body(body);
    }
    Ok(request)
}
