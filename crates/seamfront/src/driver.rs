//! Runs the engine. One task owns the engine and processes a bounded queue of commands in batches;
//! sockets and timers are separate tasks of the same single-threaded executor.
//!
//! | task | reads | writes | ends |
//! | --- | --- | --- | --- |
//! | engine | the queue of commands | effects | never |
//! | HTTP server, peer server | sockets | the queue of commands | if it can't listen, which ends the process |
//! | each connection | a socket | the queue of commands | with the connection |
//! | each peer | its queue of messages | a connection to the peer | never |
//! | each request to the store, the cloud or an agent | a socket | the queue of commands | after its outcome |

use crate::effects::EffectExecutor;
use crate::http::{self, Client};
use crate::peer_transport;
use crate::router::{PendingReplies, RequestRouter};
use crate::settings::ControllerSettings;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use seamfront_core::port::{Command, Effect, PeerMessage};
use seamfront_core::types::{Micros, Settings};
use seamfront_core::Engine;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tracing::{error, info, warn};

/// Why a controller cannot run.
#[derive(Debug, Error)]
pub enum RunError {
    /// A listening socket cannot be opened.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// Why not.
        source: std::io::Error,
    },
}

/// Capacity of the engine's command queue. While it is full, clients are asked to retry and messages of
/// peers are refused.
const COMMAND_QUEUE_MAX: usize = 8_192;
/// Maximum number of commands in one step of the engine.
const BATCH_MAX: usize = 512;
/// The engine is stepped at least this often, also without commands.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Duration of a step from which on it is logged.
const SLOW_STEP: Duration = Duration::from_millis(500);
/// Capacity of the queue of messages to one peer.
const PEER_QUEUE_MAX: usize = 64;
/// How often idle outgoing connections are checked for expiry.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Runs a controller until its process ends. Returns only if it can't listen.
pub fn run(settings: ControllerSettings) -> Result<(), RunError> {
    // Leaked, since its tasks borrow it until the process ends.
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
    let settings = Rc::new(settings);
    log_start(&settings.core);
    let (commands, command_queue) = async_channel::bounded::<Command>(COMMAND_QUEUE_MAX);
    let pending = PendingReplies::default();
    let effects = EffectExecutor {
        executor,
        client: Client::default(),
        settings: settings.clone(),
        commands: commands.clone(),
        pending: pending.clone(),
        peers: start_peers(executor, &settings),
        start: Instant::now(),
    };
    let engine = Engine::new(settings.core.clone());
    let servers = serve(executor, &settings, commands, pending);
    async_io::block_on(executor.run(async move {
        servers
            .or(async {
                run_engine(engine, command_queue, effects).await;
                Ok(())
            })
            .await
    }))
}

fn log_start(core: &Settings) {
    info!(member = %core.members[core.member_index], verification_ttl_s = core.verification_ttl().as_secs_decimal(), "starting");
    if !core.verification_ttl_fits() {
        warn!(
            cancel_s = core.cancellation_time.as_secs_decimal(),
            lease_s = core.lease.as_secs_decimal(),
            "cancel_s leaves too little time beyond lease_s: silent machines that may run a cancelled task are terminated before its cancellation is due"
        );
    }
}

/// Starts a task for each other member that delivers messages to it. Returns their queues by member;
/// none for this process.
fn start_peers(
    executor: &'static LocalExecutor<'static>,
    settings: &ControllerSettings,
) -> Vec<Option<Sender<PeerMessage>>> {
    let core = &settings.core;
    let own_name = &core.members[core.member_index];
    let start_peer = |(member, name): (usize, &String)| {
        if member == core.member_index {
            return None;
        }
        let (sender, queue) = async_channel::bounded(PEER_QUEUE_MAX);
        let address = settings.peers[member];
        let deliver =
            peer_transport::deliver(executor, own_name.clone(), name.clone(), address, queue);
        executor.spawn(deliver).detach();
        Some(sender)
    };
    core.members.iter().enumerate().map(start_peer).collect()
}

/// Serves users, agents and peers. Returns only if one of the listening sockets can't be opened.
async fn serve(
    executor: &'static LocalExecutor<'static>,
    settings: &ControllerSettings,
    commands: Sender<Command>,
    pending: PendingReplies,
) -> Result<(), RunError> {
    let router = RequestRouter::new(commands.clone(), pending);
    // The remaining fifth is for connections to the store, the cloud, agents and peers.
    let max_connections = settings.sockets * 8 / 10;
    let clients = http::serve(executor, settings.bind, max_connections, move |request| {
        let router = router.clone();
        async move { router.handle(request).await }
    });
    let members = settings.core.members.clone();
    let peers = peer_transport::serve(executor, settings.mesh, members, commands);
    async { clients.await.map_err(listen_error(settings.bind)) }
        .or(async { peers.await.map_err(listen_error(settings.mesh)) })
        .await
}

fn listen_error(address: SocketAddr) -> impl FnOnce(std::io::Error) -> RunError {
    move |source| RunError::Listen { address, source }
}

/// Steps the engine with the queued commands and executes its effects. The engine's clock starts at
/// zero with the process.
async fn run_engine(mut engine: Engine, commands: Receiver<Command>, effects: EffectExecutor) {
    let start = effects.start;
    let mut last_idle_check = start;
    loop {
        let batch = next_batch(&commands).await;
        let now = Micros(start.elapsed().as_micros() as i64);
        for effect in measured_step(&mut engine, now, batch) {
            effects.execute(effect);
        }
        if last_idle_check.elapsed() > IDLE_CHECK_INTERVAL {
            last_idle_check = Instant::now();
            effects.client.close_expired();
        }
    }
}

/// Steps the engine, and warns of a step that has taken long: until it ends, nobody is answered.
fn measured_step(engine: &mut Engine, now: Micros, batch: Vec<Command>) -> Vec<Effect> {
    let begun = Instant::now();
    let examined_before = engine.items_examined();
    let commands = batch.len();
    let effects = engine.step(now, wall_time(), batch);
    let elapsed = begun.elapsed();
    if elapsed >= SLOW_STEP {
        let items = engine.items_examined() - examined_before;
        let (ms, effects) = (elapsed.as_millis() as u64, effects.len());
        warn!(ms, commands, items, effects, "slow step");
    }
    effects
}

/// Waits for a command for at most one tick, and takes the others that are queued.
async fn next_batch(commands: &Receiver<Command>) -> Vec<Command> {
    let first = async { commands.recv().await.ok() }
        .or(async {
            Timer::after(TICK_INTERVAL).await;
            None
        })
        .await;
    let mut batch: Vec<Command> = first.into_iter().collect();
    while batch.len() < BATCH_MAX {
        match commands.try_recv() {
            Ok(command) => batch.push(command),
            Err(_) => break,
        }
    }
    batch
}

/// Time since the Unix epoch.
fn wall_time() -> Micros {
    match SystemTime::now().duration_since(UNIX_EPOCH) {
        Ok(elapsed) => Micros(elapsed.as_micros() as i64),
        Err(error) => {
            error!(%error, "system clock is set before 1970");
            Micros::ZERO
        }
    }
}
