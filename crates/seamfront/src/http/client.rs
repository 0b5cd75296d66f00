//! The HTTP client: one request at a time on each connection; idle connections are kept for reuse.

use super::with_timeout;
use async_net::TcpStream;
use http_types::{Method, Request, Url};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Maximum number of idle connections to one destination.
const IDLE_PER_DESTINATION_MAX: usize = 6;
/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a call got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// The request was not sent and can't arrive: no connection was made, or its URL is invalid.
    #[error("request not sent: can't connect, or invalid URL")]
    NotSent,
    /// The request may have arrived, or may still arrive.
    #[error("request sent without a complete response: its outcome is unknown")]
    Unknown,
}

/// A server's response.
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
    fn is_reusable(&self) -> bool {
        self.since.elapsed() < IDLE_TIMEOUT
    }
}

/// An HTTP client; clones share its idle connections.
#[derive(Clone, Default)]
pub struct Client {
    /// By destination, the most recently used last.
    idle: Rc<RefCell<BTreeMap<SocketAddr, VecDeque<IdleConnection>>>>,
}

impl Client {
    /// Sends a request and waits for the response. The timeout bounds the exchange, and separately the
    /// connection attempt, which may also take no longer than a second.
    pub async fn call(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<Response, CallError> {
        let stream = match self.take_idle(to) {
            Some(stream) => stream,
            None => connect(to, timeout).await?,
        };
        let exchange = async {
            let request = build_request(to, method, path, body)?;
            self.exchange(to, stream, request).await
        };
        with_timeout(timeout, exchange)
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
            self.put_idle(to, stream);
        }
        Ok(Response { status, body })
    }

    fn take_idle(&self, to: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&to)?;
        while let Some(connection) = connections.pop_back() {
            if connection.is_reusable() {
                return Some(connection.stream);
            }
        }
        idle.remove(&to);
        None
    }

    fn put_idle(&self, to: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(to).or_default();
        if connections.len() < IDLE_PER_DESTINATION_MAX {
            connections.push_back(IdleConnection {
                stream,
                since: Instant::now(),
            });
        }
    }

    /// Closes connections that have been idle for too long, so that terminated machines leave no open
    /// sockets.
    pub fn close_expired(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(IdleConnection::is_reusable);
            !connections.is_empty()
        });
    }
}

async fn connect(to: SocketAddr, timeout: Duration) -> Result<TcpStream, CallError> {
    let connected = with_timeout(CONNECT_TIMEOUT.min(timeout), TcpStream::connect(to)).await;
    let Some(Ok(stream)) = connected else {
        return Err(CallError::NotSent);
    };
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

fn build_request(
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
