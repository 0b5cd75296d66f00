//! The server of the peer transport: queues the messages of other controllers for the engine.

use super::wire::mesh_server::{Mesh, MeshServer};
use super::{ConnectionExecutor, Envelope, Receipt, MESSAGE_BYTES_MAX};
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use seamfront_core::port::Command;
use smol_hyper::rt::FuturesIo;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tonic::{Request, Response, Status};
use tower_service::Service;
use tracing::debug;

/// Implements the gRPC service. Only members may send messages.
struct MessageHandler {
    members: Vec<String>,
    commands: Sender<Command>,
}

#[tonic::async_trait]
impl Mesh for MessageHandler {
    async fn deliver(&self, request: Request<Envelope>) -> Result<Response<Receipt>, Status> {
        let Envelope { from, message } = request.into_inner();
        let Some(from) = self.members.iter().position(|member| *member == from) else {
            return Err(Status::permission_denied("not a member"));
        };
        // A full queue means overload. The message may be dropped: the peer's next one will be more
        // recent.
        match self.commands.try_send(Command::Peer { from, message }) {
            Ok(()) => Ok(Response::new(Receipt {})),
            Err(_) => Err(Status::resource_exhausted("busy")),
        }
    }
}

/// Maximum number of open connections from peers.
const CONNECTIONS_MAX: usize = 32;
/// Delay after a connection could not be accepted.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Receives messages from the other controllers. Returns only if it can't listen on `bind`.
pub async fn serve(
    executor: &'static LocalExecutor<'static>,
    bind: SocketAddr,
    members: Vec<String>,
    commands: Sender<Command>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(bind).await?;
    let handler = MessageHandler { members, commands };
    let service = MeshServer::new(handler).max_decoding_message_size(MESSAGE_BYTES_MAX);
    let open = Rc::new(Cell::new(0usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_RETRY).await;
            continue;
        };
        if open.get() >= CONNECTIONS_MAX {
            continue;
        }
        let _ = stream.set_nodelay(true);
        open.set(open.get() + 1);
        let (service, open) = (service.clone(), open.clone());
        let connection = async move {
            serve_connection(executor, stream, service).await;
            open.set(open.get() - 1);
        };
        executor.spawn(connection).detach();
    }
}

async fn serve_connection(
    executor: &'static LocalExecutor<'static>,
    stream: TcpStream,
    service: MeshServer<MessageHandler>,
) {
    let handler = hyper::service::service_fn(move |request| {
        let mut service = service.clone();
        async move { service.call(request).await }
    });
    let connection = hyper::server::conn::http2::Builder::new(ConnectionExecutor(executor))
        .serve_connection(FuturesIo::new(stream), handler);
    if let Err(error) = connection.await {
        debug!(%error, "connection of a peer ended");
    }
}
