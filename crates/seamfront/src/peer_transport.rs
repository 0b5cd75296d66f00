//! gRPC between controllers: tonic's services over hyper's HTTP/2 on async-io. What is said here
//! only saves time; nothing depends on its arriving.

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use seamfront_core::port::{Command, PeerMessage};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smol_hyper::rt::FuturesIo;
use std::future::Future;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tonic::codec::{Codec, DecodeBuf, Decoder, EncodeBuf, Encoder};
use tonic::{Request, Response, Status};
use tower_service::Service;
use tracing::{debug, info, warn};

use crate::http::within;

mod wire {
    #![allow(clippy::all)]
    include!(concat!(env!("OUT_DIR"), "/seamfront.Mesh.rs"));
}
use wire::mesh_client::MeshClient;
use wire::mesh_server::{Mesh, MeshServer};

const CALL_TIME: Duration = Duration::from_millis(1_000);
const AGAIN: Duration = Duration::from_millis(400);
const MESSAGE_MAX: usize = 1 << 20;

/// A message with its sender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// Name of the sender.
    pub from: String,
    /// The message.
    pub message: PeerMessage,
}

/// The answer to a message: that it has arrived.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Receipt {}

/// gRPC leaves the encoding of messages open; these are JSON, like everything else here.
pub struct JsonCodec<E, D>(PhantomData<(E, D)>);

impl<E, D> Default for JsonCodec<E, D> {
    fn default() -> Self {
        JsonCodec(PhantomData)
    }
}

/// Writes messages as JSON.
pub struct JsonEncoder<E>(PhantomData<E>);
/// Reads messages from JSON.
pub struct JsonDecoder<D>(PhantomData<D>);

impl<E: Serialize + Send + 'static, D: DeserializeOwned + Send + 'static> Codec
    for JsonCodec<E, D>
{
    type Encode = E;
    type Decode = D;
    type Encoder = JsonEncoder<E>;
    type Decoder = JsonDecoder<D>;

    fn encoder(&mut self) -> Self::Encoder {
        JsonEncoder(PhantomData)
    }

    fn decoder(&mut self) -> Self::Decoder {
        JsonDecoder(PhantomData)
    }
}

impl<E: Serialize> Encoder for JsonEncoder<E> {
    type Item = E;
    type Error = Status;

    fn encode(&mut self, item: E, dst: &mut EncodeBuf<'_>) -> Result<(), Status> {
        use tonic::codegen::Bytes;
        let bytes =
            Bytes::from(serde_json::to_vec(&item).map_err(|e| Status::internal(e.to_string()))?);
        hyper_buf::put(dst, &bytes);
        Ok(())
    }
}

impl<D: DeserializeOwned> Decoder for JsonDecoder<D> {
    type Item = D;
    type Error = Status;

    fn decode(&mut self, src: &mut DecodeBuf<'_>) -> Result<Option<D>, Status> {
        let bytes = hyper_buf::take(src);
        if bytes.is_empty() {
            return Ok(None);
        }
        serde_json::from_slice(&bytes)
            .map(Some)
            .map_err(|e| Status::invalid_argument(e.to_string()))
    }
}

mod hyper_buf {
    use bytes::{Buf, BufMut};

    pub fn put(dst: &mut impl BufMut, bytes: &[u8]) {
        dst.put_slice(bytes);
    }

    pub fn take(src: &mut impl Buf) -> Vec<u8> {
        let mut out = vec![0; src.remaining()];
        src.copy_to_slice(&mut out);
        out
    }
}

// ---- server ------------------------------------------------------------------------------

struct Inbox {
    members: Vec<String>,
    queue: Sender<Command>,
}

#[tonic::async_trait]
impl Mesh for Inbox {
    async fn deliver(&self, request: Request<Envelope>) -> Result<Response<Receipt>, Status> {
        let Envelope { from, message } = request.into_inner();
        let Some(from) = self.members.iter().position(|m| *m == from) else {
            return Err(Status::permission_denied("not a member"));
        };
        // A full queue means overload; the peer will say the newer thing soon.
        match self.queue.try_send(Command::Peer { from, message }) {
            Ok(()) => Ok(Response::new(Receipt {})),
            Err(_) => Err(Status::resource_exhausted("busy")),
        }
    }
}

#[derive(Clone, Copy)]
struct Spawn(&'static LocalExecutor<'static>);

impl<F: Future<Output: 'static> + 'static> hyper::rt::Executor<F> for Spawn {
    fn execute(&self, f: F) {
        self.0.spawn(f).detach();
    }
}

const CONNECTIONS_MAX: usize = 32;

/// Takes messages of the other controllers.
pub async fn serve(
    ex: &'static LocalExecutor<'static>,
    bind: SocketAddr,
    members: Vec<String>,
    queue: Sender<Command>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(bind).await?;
    let service = MeshServer::new(Inbox { members, queue }).max_decoding_message_size(MESSAGE_MAX);
    let open = std::rc::Rc::new(std::cell::Cell::new(0usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(Duration::from_millis(50)).await;
            continue;
        };
        if open.get() >= CONNECTIONS_MAX {
            continue;
        }
        let _ = stream.set_nodelay(true);
        open.set(open.get() + 1);
        let (service, open) = (service.clone(), open.clone());
        ex.spawn(async move {
            let handler = hyper::service::service_fn(move |req| {
                let mut service = service.clone();
                async move { service.call(req).await }
            });
            let conn = hyper::server::conn::http2::Builder::new(Spawn(ex))
                .serve_connection(FuturesIo::new(stream), handler);
            if let Err(e) = conn.await {
                debug!(%e, "a peer's connection ended");
            }
            open.set(open.get() - 1);
        })
        .detach();
    }
}

// ---- client ------------------------------------------------------------------------------

struct Http2(hyper::client::conn::http2::SendRequest<tonic::body::Body>);

impl Service<http::Request<tonic::body::Body>> for Http2 {
    type Response = http::Response<hyper::body::Incoming>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, hyper::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), hyper::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, req: http::Request<tonic::body::Body>) -> Self::Future {
        Box::pin(self.0.send_request(req))
    }
}

async fn connect(ex: &'static LocalExecutor<'static>, to: SocketAddr) -> Option<MeshClient<Http2>> {
    let stream = within(CALL_TIME, TcpStream::connect(to)).await?.ok()?;
    let _ = stream.set_nodelay(true);
    let handshake = hyper::client::conn::http2::handshake(Spawn(ex), FuturesIo::new(stream));
    let (sender, connection) = within(CALL_TIME, handshake).await?.ok()?;
    ex.spawn(async move {
        if let Err(e) = connection.await {
            debug!(%e, "connection to a peer ended");
        }
    })
    .detach();
    let origin = http::Uri::builder()
        .scheme("http")
        .authority(to.to_string())
        .path_and_query("/")
        .build()
        .ok()?;
    Some(MeshClient::with_origin(Http2(sender), origin).max_decoding_message_size(MESSAGE_MAX))
}

/// Delivers what is queued for one peer, in order; what can't be delivered is dropped.
pub async fn deliver(
    ex: &'static LocalExecutor<'static>,
    me: String,
    peer: String,
    to: SocketAddr,
    queue: Receiver<PeerMessage>,
) {
    let mut client: Option<MeshClient<Http2>> = None;
    let mut reached = false;
    while let Ok(message) = queue.recv().await {
        if client.is_none() {
            client = connect(ex, to).await;
        }
        let Some(c) = client.as_mut() else {
            if reached {
                warn!(peer, "peer not reached");
                reached = false;
            }
            Timer::after(AGAIN).await;
            while queue.try_recv().is_ok() {}
            continue;
        };
        let sent = within(
            CALL_TIME,
            c.deliver(Envelope {
                from: me.clone(),
                message,
            }),
        )
        .await;
        match sent {
            Some(Ok(_)) => {
                if !reached {
                    info!(peer, "peer reached");
                    reached = true;
                }
            }
            other => {
                debug!(peer, answer = ?other.map(|r| r.map(|_| ())), "peer did not take a message");
                client = None;
            }
        }
    }
}
