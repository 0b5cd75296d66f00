//! The process round the core: one task owns the engine and works through a bounded queue of
//! commands in batches; sockets and timers are small tasks of the same executor.

use crate::http::{self, Client, Incoming, Reply};
use crate::settings::Service;
use crate::{cloud_client, peer_transport, store_client, user_api, worker_api};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use http_types::Method;
use seamfront_core::port::{ClientRequestId, CloudReply, Command, Effect, PeerMessage};
use seamfront_core::types::{JobId, Micros};
use seamfront_core::Engine;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
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

const QUEUE: usize = 8_192;
const BATCH: usize = 512;
const TICK: Duration = Duration::from_millis(50);
const ANSWER_TIME: Duration = Duration::from_millis(4_500);
const MESH_QUEUE: usize = 64;

type Waiting = Rc<RefCell<BTreeMap<ClientRequestId, Sender<Reply>>>>;

/// What connection tasks need to hand a request to the engine.
#[derive(Clone)]
struct RequestRouter {
    queue: Sender<Command>,
    waiting: Waiting,
    next: Rc<Cell<ClientRequestId>>,
}

impl RequestRouter {
    /// Queues a command and waits for its answer. A full queue is told at once.
    async fn ask(&self, command: impl FnOnce(ClientRequestId) -> Command) -> Reply {
        let to = self.next.get() + 1;
        self.next.set(to);
        let (tx, rx) = async_channel::bounded(1);
        self.waiting.borrow_mut().insert(to, tx);
        if self.queue.try_send(command(to)).is_err() {
            self.waiting.borrow_mut().remove(&to);
            return Reply::later(1);
        }
        let reply = http::within(ANSWER_TIME, rx.recv()).await;
        self.waiting.borrow_mut().remove(&to);
        reply
            .and_then(Result::ok)
            .unwrap_or_else(|| Reply::later(1))
    }

    async fn handle(&self, req: Incoming) -> Reply {
        let path: Vec<&str> = req.path.trim_start_matches('/').split('/').collect();
        let post = req.method == Method::Post;
        let get = req.method == Method::Get;
        match path.as_slice() {
            ["up"] if get => self.ask(|to| Command::Health { to }).await,
            ["hello"] if post => {
                let Some(body) = req.body else {
                    return Reply::error(400, "body: too long");
                };
                match worker_api::parse_heartbeat(&body) {
                    Ok(heartbeat) => {
                        let mut r = self
                            .ask(|to| Command::Heartbeat {
                                to,
                                heartbeat: Box::new(heartbeat),
                            })
                            .await;
                        r.worker = true;
                        r
                    }
                    Err(why) => Reply::error(400, &why),
                }
            }
            ["submissions"] if post => {
                let Some(body) = req.body else {
                    return Reply::error(400, "body: too long");
                };
                match user_api::parse_submission(&body) {
                    Ok(spec) => {
                        self.ask(|to| Command::Submit {
                            to,
                            spec: Box::new(spec),
                        })
                        .await
                    }
                    Err(why) => Reply::error(400, &why),
                }
            }
            ["submissions", id] if get => match user_api::valid_id(id) {
                true => {
                    self.ask(|to| Command::Poll {
                        to,
                        id: JobId::from(*id),
                    })
                    .await
                }
                false => Reply::error(404, "no such job"),
            },
            ["submissions", id, "abort"] if post => match user_api::valid_id(id) {
                true => {
                    self.ask(|to| Command::Cancel {
                        to,
                        id: JobId::from(*id),
                    })
                    .await
                }
                false => Reply::error(404, "no such job"),
            },
            ["up" | "hello" | "submissions"] | ["submissions", _] | ["submissions", _, "abort"] => {
                Reply::error(405, "method not allowed")
            }
            _ => Reply::error(404, "no such path"),
        }
    }
}

/// Sends effects on their way.
struct EffectExecutor {
    ex: &'static LocalExecutor<'static>,
    client: Client,
    settings: Rc<Service>,
    queue: Sender<Command>,
    waiting: Waiting,
    peers: Vec<Option<Sender<PeerMessage>>>,
    /// When the engine's time began.
    start: Instant,
}

impl EffectExecutor {
    fn reply(&self, to: ClientRequestId, reply: Reply) {
        if let Some(tx) = self.waiting.borrow_mut().remove(&to) {
            let _ = tx.try_send(reply);
        }
    }

    fn carry_out(&self, effect: Effect) {
        let (client, queue, settings) = (
            self.client.clone(),
            self.queue.clone(),
            self.settings.clone(),
        );
        let start = self.start;
        match effect {
            Effect::Answer { to, answer } => self.reply(to, user_api::reply(&answer)),
            Effect::HeartbeatReply {
                to,
                fencing_token,
                orders,
            } => self.reply(to, worker_api::orders_reply(fencing_token, &orders)),
            Effect::Redirect { to, member } => {
                let name = member.and_then(|m| settings.core.members.get(m));
                self.reply(to, worker_api::elsewhere_reply(name.map(String::as_str)));
            }
            Effect::Healthy { to, yes } => {
                let r = if yes {
                    Reply::json(200, "{}".to_owned())
                } else {
                    Reply::error(503, "not ready")
                };
                self.reply(to, r);
            }
            Effect::Store { call, request } => self.spawn(async move {
                let reply = store_client::call(&client, settings.state, &request).await;
                let _ = queue.send(Command::Store { call, reply }).await;
            }),
            Effect::Cloud {
                call,
                request,
                until,
            } => self.spawn(async move {
                // The process may have been stopped since the engine's step, for however long.
                let reply = if until.is_some_and(|until| start.elapsed() >= duration(until)) {
                    CloudReply::Failed
                } else {
                    cloud_client::call(&client, settings.cloud, &request).await
                };
                let _ = queue.send(Command::Cloud { call, reply }).await;
            }),
            Effect::SendDirect {
                call,
                machine,
                addr,
                incarnation,
                fencing_token,
                orders,
            } => self.spawn(async move {
                let outcome =
                    worker_api::direct(&client, &addr, incarnation, fencing_token, &orders).await;
                let _ = queue
                    .send(Command::DirectResult {
                        call,
                        machine,
                        outcome,
                    })
                    .await;
            }),
            Effect::SendToPeer { to, message } => {
                if let Some(Some(peer)) = self.peers.get(to) {
                    // A peer that can't be reached misses what is old anyway by then.
                    let _ = peer.try_send(message);
                }
            }
        }
    }

    fn spawn(&self, f: impl std::future::Future<Output = ()> + 'static) {
        self.ex.spawn(f).detach();
    }
}

fn duration(time: Micros) -> Duration {
    Duration::from_micros(time.0.max(0) as u64)
}

/// Runs a controller until its process ends.
pub fn run(settings: Service) -> Result<(), RunError> {
    // Lives as long as the process, which ends only by being killed.
    let ex: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
    let settings = Rc::new(settings);
    let core = &settings.core;
    info!(member = %core.members[core.me], verification_ttl_s = core.verification_ttl().as_secs_decimal(), "starting");
    if !core.verification_ttl_fits() {
        warn!("cancel_s leaves no room beyond lease_s: machines that can't be reached are deleted before a cancellation falls due");
    }
    let (queue, commands) = async_channel::bounded::<Command>(QUEUE);
    let waiting: Waiting = Rc::default();
    let client = Client::default();
    let router = RequestRouter {
        queue: queue.clone(),
        waiting: waiting.clone(),
        next: Rc::default(),
    };
    let me = core.members[core.me].clone();
    let mut peers = Vec::new();
    for (k, name) in core.members.iter().enumerate() {
        if k == core.me {
            peers.push(None);
            continue;
        }
        let (tx, rx) = async_channel::bounded(MESH_QUEUE);
        peers.push(Some(tx));
        ex.spawn(peer_transport::deliver(
            ex,
            me.clone(),
            name.clone(),
            settings.peers[k],
            rx,
        ))
        .detach();
    }
    let out = EffectExecutor {
        ex,
        client: client.clone(),
        settings: settings.clone(),
        queue: queue.clone(),
        waiting,
        peers,
        start: Instant::now(),
    };

    // What remains of the sockets is for our own calls.
    let most = settings.sockets * 8 / 10;
    let bind = settings.bind;
    let server = http::serve(ex, bind, most, move |req| {
        let router = router.clone();
        async move { router.handle(req).await }
    });
    let mesh = peer_transport::serve(ex, settings.mesh, core.members.clone(), queue);
    let engine = Engine::new(core.clone());
    async_io::block_on(ex.run(async move {
        let owner = own(engine, commands, out);
        let failed = async { server.await.map_err(RunError::from) }
            .or(async { mesh.await.map_err(RunError::from) });
        failed
            .or(async {
                owner.await;
                Ok(())
            })
            .await
    }))
}

/// The one owner of the engine.
async fn own(mut engine: Engine, commands: Receiver<Command>, out: EffectExecutor) {
    let start = out.start;
    let mut swept = start;
    loop {
        let first = async { commands.recv().await.ok() }
            .or(async {
                Timer::after(TICK).await;
                None
            })
            .await;
        let mut batch: Vec<Command> = first.into_iter().collect();
        while batch.len() < BATCH {
            match commands.try_recv() {
                Ok(c) => batch.push(c),
                Err(_) => break,
            }
        }
        let now = Micros(start.elapsed().as_micros() as i64);
        let wall = match SystemTime::now().duration_since(UNIX_EPOCH) {
            Ok(d) => Micros(d.as_micros() as i64),
            Err(e) => {
                error!(%e, "the time of day is before 1970");
                Micros::ZERO
            }
        };
        for effect in engine.step(now, wall, batch) {
            out.carry_out(effect);
        }
        if swept.elapsed() > Duration::from_secs(5) {
            swept = Instant::now();
            out.client.sweep();
        }
    }
}
