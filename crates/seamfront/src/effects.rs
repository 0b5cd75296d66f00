//! Executes the engine's effects. Replies and messages to peers are passed to the tasks that wait for
//! them. Each request to the key-value store, the cloud or an agent runs as a task of its own, which
//! queues the outcome as a command.

use crate::http::{Client, Reply};
use crate::router::PendingReplies;
use crate::settings::ControllerSettings;
use crate::{cloud_client, store_client, user_api, worker_api};
use async_channel::Sender;
use async_executor::LocalExecutor;
use seamfront_core::port::{
    CallId, ClientRequestId, CloudReply, CloudRequest, Command, Effect, Order, PeerMessage,
    StoreRequest,
};
use seamfront_core::types::{MachineId, Micros};
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Executes effects through the adapters.
pub(crate) struct EffectExecutor {
    pub executor: &'static LocalExecutor<'static>,
    pub client: Client,
    pub settings: Rc<ControllerSettings>,
    /// The engine's queue, for the outcomes of requests.
    pub commands: Sender<Command>,
    pub pending: PendingReplies,
    /// Queues of messages by member; none for this process.
    pub peers: Vec<Option<Sender<PeerMessage>>>,
    /// The instant at which the engine's clock is zero.
    pub start: Instant,
}

impl EffectExecutor {
    /// Starts an effect without waiting for its outcome.
    pub fn execute(&self, effect: Effect) {
        match effect {
            Effect::Answer { to, answer } => self.reply(to, user_api::reply(&answer)),
            Effect::HeartbeatReply {
                to,
                fencing_token,
                orders,
            } => self.reply(to, worker_api::orders_reply(fencing_token, &orders)),
            Effect::Redirect { to, member } => self.redirect(to, member),
            Effect::HealthReply { to, ready } => self.reply(to, health_reply(ready)),
            Effect::Store { call, request } => self.store(call, request),
            Effect::Cloud {
                call,
                request,
                until,
            } => self.cloud(call, request, until),
            Effect::SendDirect {
                call,
                machine,
                addr,
                incarnation,
                fencing_token,
                orders,
            } => self.send_direct(DirectOrders {
                call,
                machine,
                addr,
                incarnation,
                fencing_token,
                orders,
            }),
            Effect::SendToPeer { to, message } => self.send_to_peer(to, message),
        }
    }

    fn reply(&self, to: ClientRequestId, reply: Reply) {
        self.pending.complete(to, reply);
    }

    fn redirect(&self, to: ClientRequestId, member: Option<usize>) {
        let name = member.and_then(|member| self.settings.core.members.get(member));
        self.reply(to, worker_api::elsewhere_reply(name.map(String::as_str)));
    }

    fn store(&self, call: CallId, request: StoreRequest) {
        let (client, commands) = (self.client.clone(), self.commands.clone());
        let address = self.settings.store;
        self.spawn(async move {
            let reply = store_client::call(&client, address, &request).await;
            let _ = commands.send(Command::Store { call, reply }).await;
        });
    }

    fn cloud(&self, call: CallId, request: CloudRequest, until: Option<Micros>) {
        let (client, commands) = (self.client.clone(), self.commands.clone());
        let (address, start) = (self.settings.cloud, self.start);
        self.spawn(async move {
            // The process may have been suspended for any time since the engine's step, so the
            // deadline is checked right before the request is sent.
            let reply = if until.is_some_and(|until| start.elapsed() >= to_duration(until)) {
                CloudReply::Failed
            } else {
                cloud_client::call(&client, address, &request).await
            };
            let _ = commands.send(Command::Cloud { call, reply }).await;
        });
    }

    fn send_direct(&self, direct: DirectOrders) {
        let (client, commands) = (self.client.clone(), self.commands.clone());
        self.spawn(async move {
            let outcome = worker_api::direct(
                &client,
                &direct.addr,
                direct.incarnation,
                direct.fencing_token,
                &direct.orders,
            )
            .await;
            let result = Command::DirectResult {
                call: direct.call,
                machine: direct.machine,
                outcome,
            };
            let _ = commands.send(result).await;
        });
    }

    fn send_to_peer(&self, to: usize, message: PeerMessage) {
        if let Some(Some(peer)) = self.peers.get(to) {
            // The queue is full only while the peer can't be reached. The message may be dropped: it
            // would be outdated when it arrived.
            let _ = peer.try_send(message);
        }
    }

    fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        self.executor.spawn(future).detach();
    }
}

/// Orders that are sent to an agent without waiting for its next heartbeat.
struct DirectOrders {
    call: CallId,
    machine: MachineId,
    addr: String,
    incarnation: u64,
    fencing_token: u64,
    orders: Vec<Order>,
}

fn health_reply(ready: bool) -> Reply {
    if ready {
        Reply::json(200, "{}".to_owned())
    } else {
        Reply::error(503, "not ready")
    }
}

fn to_duration(time: Micros) -> Duration {
    Duration::from_micros(time.0.max(0) as u64)
}
