//! A thin loop round [`DutyManager`]: timers, calls with time-outs, and the last look at the clock before an effect.
//! It installs nothing in the process and ends only when its queue of commands is closed.

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

/// How often the manager is woken when nothing happens.
const TICK: Duration = Duration::from_millis(50);
/// Commands that are taken in one step at the most.
const BATCH: usize = 256;
const QUEUE: usize = 1_024;

/// A client of the store.
pub trait StoreClient: 'static {
    /// Carries out a request. A request without an answer is [`StoreReply::Unknown`].
    fn call(&self, request: StoreRequest) -> impl Future<Output = StoreReply>;
}

/// Whoever performs operations on the outside.
pub trait Performer: 'static {
    /// Performs an operation once. Its name must reach the outside as the name of the request, so that a repetition does
    /// nothing twice.
    fn perform(&self, duty: &str, operation: &Operation) -> impl Future<Output = Outcome>;
}

/// A steady clock that goes on while the machine sleeps.
#[derive(Clone, Copy, Debug, Default)]
pub struct SteadyClock;

impl SteadyClock {
    /// The time since the machine was started.
    pub fn now(self) -> Micros {
        let time = clock_gettime(ClockId::Boottime);
        Micros(time.tv_sec * 1_000_000 + time.tv_nsec / 1_000)
    }
}

/// What the driver needs.
pub struct Driver<S, P> {
    /// The store.
    pub store: Rc<S>,
    /// Performs operations.
    pub performer: Rc<P>,
    /// Commands of the embedding program.
    pub commands: Receiver<Command>,
    /// What the embedding program is told. What it does not read in time is dropped and counted.
    pub events: Sender<Effect>,
    /// The longest that one attempt of an operation may take.
    pub perform_time: Duration,
}

struct Calls<S, P> {
    store: Rc<S>,
    performer: Rc<P>,
    answers: Sender<Command>,
    store_time: Duration,
    perform_time: Duration,
}

impl<S: StoreClient, P: Performer> Driver<S, P> {
    /// Runs until the queue of commands is closed.
    pub async fn run(self, mut manager: DutyManager) {
        let executor = LocalExecutor::new();
        let (answers, answered) = async_channel::bounded(QUEUE);
        let store_time = Duration::from_micros(manager.settings().store_answer.0.max(0) as u64);
        let calls = Rc::new(Calls {
            store: self.store,
            performer: self.performer,
            answers,
            store_time,
            perform_time: self.perform_time,
        });
        let (commands, events) = (self.commands, self.events);
        let dropped = Cell::new(0u64);
        let steps = async {
            while let Some(batch) = next_batch(&commands, &answered).await {
                for effect in manager.step(SteadyClock.now(), batch) {
                    carry_out(&executor, &calls, &events, &dropped, effect);
                }
            }
        };
        executor.run(steps).await;
    }
}

/// Waits for a command, an answer, or the next tick. None: the embedding program has gone.
async fn next_batch(
    commands: &Receiver<Command>,
    answered: &Receiver<Command>,
) -> Option<Vec<Command>> {
    let command = async { commands.recv().await.ok().map(Some) };
    let answer = async { answered.recv().await.ok().map(Some) };
    let tick = async {
        Timer::after(TICK).await;
        Some(None)
    };
    let first = command.or(answer).or(tick).await?;
    let mut batch: Vec<Command> = first.into_iter().collect();
    for queue in [commands, answered] {
        while batch.len() < BATCH {
            let Ok(command) = queue.try_recv() else { break };
            batch.push(command);
        }
    }
    Some(batch)
}

fn carry_out<S: StoreClient, P: Performer>(
    executor: &LocalExecutor<'_>,
    calls: &Rc<Calls<S, P>>,
    events: &Sender<Effect>,
    dropped: &Cell<u64>,
    effect: Effect,
) {
    let calls = calls.clone();
    match effect {
        Effect::Store { call, request } => executor
            .spawn(async move { calls.ask(call, request).await })
            .detach(),
        Effect::Perform {
            duty,
            operation,
            attempt,
            permit,
            settling: _,
        } => {
            executor
                .spawn(async move { calls.perform(duty, operation, attempt, permit).await })
                .detach();
        }
        event => {
            if events.try_send(event).is_err() {
                dropped.set(dropped.get() + 1);
                warn!(
                    dropped = dropped.get(),
                    "an event was dropped: nobody reads them"
                );
            }
        }
    }
}

impl<S: StoreClient, P: Performer> Calls<S, P> {
    async fn ask(&self, call: u64, request: StoreRequest) {
        let wait = match &request {
            StoreRequest::Watch { wait, .. } => Duration::from_micros(wait.0.max(0) as u64),
            _ => Duration::ZERO,
        };
        let reply = within(self.store_time + wait, self.store.call(request)).await;
        let reply = reply.unwrap_or(StoreReply::Unknown);
        let _ = self.answers.send(Command::Store { call, reply }).await;
    }

    async fn perform(&self, duty: String, operation: Operation, attempt: u64, permit: Permit) {
        let name = operation.name;
        // The process may have been stopped since the manager's step, for however long.
        let outcome = if permit.valid(SteadyClock.now()) {
            within(self.perform_time, self.performer.perform(&duty, &operation))
                .await
                .unwrap_or(Outcome::Unknown)
        } else {
            Outcome::NotPermitted
        };
        let _ = self
            .answers
            .send(Command::Performed {
                duty,
                operation: name,
                attempt,
                outcome,
            })
            .await;
    }
}

/// Runs a future for at most so long.
async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let limited = async {
        Timer::after(limit).await;
        None
    };
    async { Some(future.await) }.or(limited).await
}
