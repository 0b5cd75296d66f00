//! Runs the engine. One task owns the engine and works through a bounded queue of
//! commands in batches; sockets and timers are small tasks of the same single-threaded executor.
//!
//! | task | reads | writes | ends |
//! | --- | --- | --- | --- |
//! | engine | the queue of commands | effects | never |
//! | HTTP server, peer server | sockets | the queue of commands | when its listener fails, and the process with it |
//! | each connection | a socket | the queue of commands | with the connection |
//! | each peer | its queue of messages | a connection to the peer | never |
//! | each request to store, cloud or worker | a socket | the queue of commands | after its outcome |

use crate::effects::EffectExecutor;
use crate::http::{self, Client};
use crate::peer_transport;
use crate::router::{PendingReplies, RequestRouter};
use crate::settings::Service;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use seamfront_core::port::{Command, PeerMessage};
use seamfront_core::types::{Micros, Settings};
use seamfront_core::Engine;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tracing::{error, info, warn};

/// Why the program cannot run.
#[derive(Debug, Error)]
pub enum RunError {
    /// A socket cannot be opened.
    #[error("can't listen: {0}")]
    Listen(#[from] std::io::Error),
}

/// Commands that can wait for the engine.
const COMMAND_QUEUE_MAX: usize = 8_192;
/// Commands of one step of the engine at the most.
const BATCH_MAX: usize = 512;
/// The engine steps at least this often.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Messages that can wait for one peer.
const PEER_QUEUE_MAX: usize = 64;
/// How often idle connections are looked through.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Runs a controller until its process ends.
pub fn run(settings: Service) -> Result<(), RunError> {
    // Lives as long as the process, which ends only by being killed.
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
    let listeners = listen(executor, &settings, commands, pending);
    async_io::block_on(executor.run(async move {
        listeners
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
        warn!("cancel_s leaves no room beyond lease_s: machines that can't be reached are deleted before a cancellation falls due");
    }
}

/// Starts a task for each other member that delivers messages to it; returns their queues.
fn start_peers(
    executor: &'static LocalExecutor<'static>,
    settings: &Service,
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

/// Serves clients and peers until a listener fails.
async fn listen(
    executor: &'static LocalExecutor<'static>,
    settings: &Service,
    commands: Sender<Command>,
    pending: PendingReplies,
) -> Result<(), RunError> {
    let router = RequestRouter::new(commands.clone(), pending);
    // The rest of the sockets is for this process's own requests.
    let max_connections = settings.sockets * 8 / 10;
    let clients = http::serve(executor, settings.bind, max_connections, move |request| {
        let router = router.clone();
        async move { router.handle(request).await }
    });
    let members = settings.core.members.clone();
    let peers = peer_transport::serve(executor, settings.mesh, members, commands);
    async { clients.await.map_err(RunError::from) }
        .or(async { peers.await.map_err(RunError::from) })
        .await
}

/// The one owner of the engine. Its time is what has passed since the process started.
async fn run_engine(mut engine: Engine, commands: Receiver<Command>, effects: EffectExecutor) {
    let start = effects.start;
    let mut idle_checked = start;
    loop {
        let batch = next_batch(&commands).await;
        let now = Micros(start.elapsed().as_micros() as i64);
        for effect in engine.step(now, wall_time(), batch) {
            effects.execute(effect);
        }
        if idle_checked.elapsed() > IDLE_CHECK_INTERVAL {
            idle_checked = Instant::now();
            effects.client.close_idle();
        }
    }
}

/// Waits for a command, for one tick at most, and takes what else is queued.
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

/// Time since 1970.
fn wall_time() -> Micros {
    match SystemTime::now().duration_since(UNIX_EPOCH) {
        Ok(elapsed) => Micros(elapsed.as_micros() as i64),
        Err(e) => {
            error!(%e, "the time of day is before 1970");
            Micros::ZERO
        }
    }
}
