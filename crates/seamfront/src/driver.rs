//! The process round the core: one task owns the engine and works through a bounded queue of
//! commands in batches; sockets and timers are small tasks of the same executor.

use crate::http::{self, Client, Incoming, Reply};
use crate::settings::Service;
use crate::{cloud, mesh, state, users, workers};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use http_types::Method;
use seamfront_core::port::*;
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

type Waiting = Rc<RefCell<BTreeMap<ReplyTo, Sender<Reply>>>>;

/// What connection tasks need to hand a request to the engine.
#[derive(Clone)]
struct Desk {
    queue: Sender<Command>,
    waiting: Waiting,
    next: Rc<Cell<ReplyTo>>,
}

impl Desk {
    /// Queues a command and waits for its answer. A full queue is told at once.
    async fn ask(&self, command: impl FnOnce(ReplyTo) -> Command) -> Reply {
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
                match workers::parse_report(&body) {
                    Ok(report) => {
                        let mut r = self
                            .ask(|to| Command::Report {
                                to,
                                report: Box::new(report),
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
                match users::parse_submission(&body) {
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
            ["submissions", id] if get => match users::valid_id(id) {
                true => {
                    self.ask(|to| Command::Poll {
                        to,
                        id: JobId::from(*id),
                    })
                    .await
                }
                false => Reply::error(404, "no such job"),
            },
            ["submissions", id, "abort"] if post => match users::valid_id(id) {
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
struct Out {
    ex: &'static LocalExecutor<'static>,
    client: Client,
    settings: Rc<Service>,
    queue: Sender<Command>,
    waiting: Waiting,
    peers: Vec<Option<Sender<MeshMessage>>>,
    /// When the engine's time began.
    start: Instant,
}

impl Out {
    fn reply(&self, to: ReplyTo, reply: Reply) {
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
            Effect::Answer { to, answer } => self.reply(to, users::reply(&answer)),
            Effect::Orders { to, token, orders } => {
                self.reply(to, workers::orders_reply(token, &orders))
            }
            Effect::Elsewhere { to, member } => {
                let name = member.and_then(|m| settings.core.members.get(m));
                self.reply(to, workers::elsewhere_reply(name.map(String::as_str)));
            }
            Effect::Healthy { to, yes } => {
                let r = if yes {
                    Reply::json(200, "{}".to_owned())
                } else {
                    Reply::error(503, "not ready")
                };
                self.reply(to, r);
            }
            Effect::State { call, request } => self.spawn(async move {
                let reply = state::call(&client, settings.state, &request).await;
                let _ = queue.send(Command::State { call, reply }).await;
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
                    cloud::call(&client, settings.cloud, &request).await
                };
                let _ = queue.send(Command::Cloud { call, reply }).await;
            }),
            Effect::Direct {
                call,
                machine,
                addr,
                session,
                token,
                orders,
            } => self.spawn(async move {
                let outcome = workers::direct(&client, &addr, session, token, &orders).await;
                let _ = queue
                    .send(Command::Direct {
                        call,
                        machine,
                        outcome,
                    })
                    .await;
            }),
            Effect::Mesh { to, message } => {
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
    info!(member = %core.members[core.me], acting_s = core.acting_time().as_secs_decimal(), "starting");
    if !core.acting_time_fits() {
        warn!("cancel_s leaves no room beyond lease_s: machines that can't be reached are deleted before a cancellation falls due");
    }
    let (queue, commands) = async_channel::bounded::<Command>(QUEUE);
    let waiting: Waiting = Rc::default();
    let client = Client::default();
    let desk = Desk {
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
        ex.spawn(mesh::deliver(
            ex,
            me.clone(),
            name.clone(),
            settings.peers[k],
            rx,
        ))
        .detach();
    }
    let out = Out {
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
        let desk = desk.clone();
        async move { desk.handle(req).await }
    });
    let mesh = mesh::serve(ex, settings.mesh, core.members.clone(), queue);
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
async fn own(mut engine: Engine, commands: Receiver<Command>, out: Out) {
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
