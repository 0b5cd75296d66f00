//! Event loop that runs [`DutyManager`]: timers, requests with timeouts, and the check of each permit immediately
//! before its effect. It installs nothing global in the process and ends only when its command queue is closed.

use crate::manager::DutyManager;
use crate::permit::Permit;
use crate::port::{Command, Effect, Outcome};
use crate::record::Operation;
use crate::store::{StoreReply, StoreRequest};
use crate::time::Micros;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use rustix::time::{clock_gettime, ClockId};
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// Interval between steps when there are no commands and no replies.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of commands handled in one step.
const BATCH_MAX: usize = 256;
/// Capacity of the queue of replies to the manager.
const REPLY_QUEUE_MAX: usize = 1_024;

/// A client of the key-value store.
pub trait StoreClient: 'static {
    /// Sends a request and returns its reply, or [`StoreReply::Unknown`] if none arrives.
    fn call(&self, request: StoreRequest) -> impl Future<Output = StoreReply>;
}

/// Performs operations on an external system.
pub trait Performer: 'static {
    /// Makes one attempt to perform an operation. The operation's name must be the idempotency key of the external
    /// request, so that a repeated attempt has no further effect.
    fn perform(&self, duty: &str, operation: &Operation) -> impl Future<Output = Outcome>;
}

/// A monotonic clock that includes the time during which the machine is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct SteadyClock;

impl SteadyClock {
    /// Time since the machine booted.
    pub fn now(self) -> Micros {
        let time = clock_gettime(ClockId::Boottime);
        Micros(time.tv_sec * 1_000_000 + time.tv_nsec / 1_000)
    }
}

/// The event loop with its connections.
pub struct Driver<S, P> {
    /// Client of the key-value store.
    pub store: Rc<S>,
    /// Performs the operations of the duties.
    pub performer: Rc<P>,
    /// Commands from the embedding program.
    pub commands: Receiver<Command>,
    /// Events for the embedding program. Those that it does not read in time are dropped, counted and logged.
    pub events: Sender<Effect>,
    /// Timeout of one attempt to perform an operation. The outcome is unknown once it has passed.
    pub perform_timeout: Duration,
}

/// Sends the manager's requests to the store and to the performer, each in a task of its own.
struct RequestRunner<S, P> {
    store: Rc<S>,
    performer: Rc<P>,
    replies: Sender<Command>,
    store_timeout: Duration,
    perform_timeout: Duration,
}

impl<S: StoreClient, P: Performer> Driver<S, P> {
    /// Runs until the command queue is closed.
    pub async fn run(self, mut manager: DutyManager) {
        let executor = LocalExecutor::new();
        let (replies, reply_queue) = async_channel::bounded(REPLY_QUEUE_MAX);
        let store_timeout = Duration::from_micros(manager.settings().store_answer.0.max(0) as u64);
        let runner = Rc::new(RequestRunner {
            store: self.store,
            performer: self.performer,
            replies,
            store_timeout,
            perform_timeout: self.perform_timeout,
        });
        let (commands, events) = (self.commands, self.events);
        let dropped = Cell::new(0u64);
        let steps = async {
            while let Some(batch) = next_batch(&commands, &reply_queue).await {
                for effect in manager.step(SteadyClock.now(), batch) {
                    execute(&executor, &runner, &events, &dropped, effect);
                }
            }
        };
        executor.run(steps).await;
    }
}

/// Waits for a command, a reply or the next tick, and adds what else is queued. None if the command queue is closed.
async fn next_batch(
    commands: &Receiver<Command>,
    replies: &Receiver<Command>,
) -> Option<Vec<Command>> {
    let command = async { commands.recv().await.ok().map(Some) };
    let reply = async { replies.recv().await.ok().map(Some) };
    let tick = async {
        Timer::after(TICK_INTERVAL).await;
        Some(None)
    };
    let first = command.or(reply).or(tick).await?;
    let mut batch: Vec<Command> = first.into_iter().collect();
    for queue in [commands, replies] {
        while batch.len() < BATCH_MAX {
            let Ok(command) = queue.try_recv() else { break };
            batch.push(command);
        }
    }
    Some(batch)
}

fn execute<S: StoreClient, P: Performer>(
    executor: &LocalExecutor<'_>,
    runner: &Rc<RequestRunner<S, P>>,
    events: &Sender<Effect>,
    dropped: &Cell<u64>,
    effect: Effect,
) {
    let runner = runner.clone();
    match effect {
        Effect::Store { call, request } => executor
            .spawn(async move { runner.send_to_store(call, request).await })
            .detach(),
        Effect::Perform {
            duty,
            operation,
            attempt,
            permit,
            settling: _,
        } => {
            executor
                .spawn(async move { runner.perform(duty, operation, attempt, permit).await })
                .detach();
        }
        event => {
            if events.try_send(event).is_err() {
                dropped.set(dropped.get() + 1);
                warn!(
                    dropped = dropped.get(),
                    "event dropped: the embedding program does not read them in time"
                );
            }
        }
    }
}

impl<S: StoreClient, P: Performer> RequestRunner<S, P> {
    async fn send_to_store(&self, call: u64, request: StoreRequest) {
        let wait = match &request {
            StoreRequest::Watch { wait, .. } => Duration::from_micros(wait.0.max(0) as u64),
            _ => Duration::ZERO,
        };
        let reply = with_timeout(self.store_timeout + wait, self.store.call(request)).await;
        let reply = reply.unwrap_or(StoreReply::Unknown);
        let _ = self.replies.send(Command::Store { call, reply }).await;
    }

    async fn perform(&self, duty: String, operation: Operation, attempt: u64, permit: Permit) {
        let name = operation.name;
        // The process may have been suspended for any length of time since the manager's step.
        let outcome = if permit.valid(SteadyClock.now()) {
            with_timeout(
                self.perform_timeout,
                self.performer.perform(&duty, &operation),
            )
            .await
            .unwrap_or(Outcome::Unknown)
        } else {
            Outcome::NotPermitted
        };
        let _ = self
            .replies
            .send(Command::Performed {
                duty,
                operation: name,
                attempt,
                outcome,
            })
            .await;
    }
}

/// Runs a future with a timeout. None if the timeout expires first.
async fn with_timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let limited = async {
        Timer::after(limit).await;
        None
    };
    async { Some(future.await) }.or(limited).await
}
