//! The client of the peer transport: one task per peer delivers the messages of its queue in order.

use super::wire::mesh_client::MeshClient;
use super::{ConnectionExecutor, Envelope, MESSAGE_BYTES_MAX, STEP_TIMEOUT};
use crate::http::with_timeout;
use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpStream;
use seamfront_core::port::PeerMessage;
use smol_hyper::rt::FuturesIo;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tower_service::Service;
use tracing::{debug, info, warn};

/// Delay after a peer could not be reached.
const RECONNECT_DELAY: Duration = Duration::from_millis(400);

/// Adapts an HTTP/2 connection to the transport of a gRPC client.
struct Http2Channel(hyper::client::conn::http2::SendRequest<tonic::body::Body>);

impl Service<http::Request<tonic::body::Body>> for Http2Channel {
    type Response = http::Response<hyper::body::Incoming>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, hyper::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), hyper::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, request: http::Request<tonic::body::Body>) -> Self::Future {
        Box::pin(self.0.send_request(request))
    }
}

async fn connect(
    executor: &'static LocalExecutor<'static>,
    to: SocketAddr,
) -> Option<MeshClient<Http2Channel>> {
    let stream = with_timeout(STEP_TIMEOUT, TcpStream::connect(to))
        .await?
        .ok()?;
    let _ = stream.set_nodelay(true);
    let handshake =
        hyper::client::conn::http2::handshake(ConnectionExecutor(executor), FuturesIo::new(stream));
    let (sender, connection) = with_timeout(STEP_TIMEOUT, handshake).await?.ok()?;
    executor
        .spawn(async move {
            if let Err(error) = connection.await {
                debug!(%to, %error, "connection to a peer ended");
            }
        })
        .detach();
    let origin = http::Uri::builder()
        .scheme("http")
        .authority(to.to_string())
        .path_and_query("/")
        .build()
        .ok()?;
    Some(
        MeshClient::with_origin(Http2Channel(sender), origin)
            .max_decoding_message_size(MESSAGE_BYTES_MAX),
    )
}

/// Delivers the messages queued for one peer, in order, until the queue is closed. Messages that can't
/// be delivered are dropped.
pub async fn deliver(
    executor: &'static LocalExecutor<'static>,
    own_name: String,
    peer: String,
    address: SocketAddr,
    queue: Receiver<PeerMessage>,
) {
    let mut connection: Option<MeshClient<Http2Channel>> = None;
    let mut reachable = false;
    while let Ok(message) = queue.recv().await {
        if connection.is_none() {
            connection = connect(executor, address).await;
        }
        let Some(client) = connection.as_mut() else {
            if reachable {
                warn!(peer, "peer unreachable");
                reachable = false;
            }
            Timer::after(RECONNECT_DELAY).await;
            // The messages queued meanwhile are outdated.
            while queue.try_recv().is_ok() {}
            continue;
        };
        let envelope = Envelope {
            from: own_name.clone(),
            message,
        };
        match with_timeout(STEP_TIMEOUT, client.deliver(envelope)).await {
            Some(Ok(_)) => {
                if !reachable {
                    info!(peer, "peer reachable");
                    reachable = true;
                }
            }
            failed => {
                let response = failed.map(|result| result.map(|_| ()));
                debug!(peer, ?response, "message to a peer not delivered");
                connection = None;
            }
        }
    }
}
