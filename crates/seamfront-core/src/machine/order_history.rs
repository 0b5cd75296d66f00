//! The last orders to a machine's agent, for the log line about a task that was not ordered there.

use crate::port::Order;
use crate::types::{Micros, TaskKey};
use std::fmt;

/// An order about one attempt of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PastOrder {
    /// The task.
    pub task: TaskKey,
    /// Number of the attempt.
    pub attempt: u64,
    /// The fencing token that the order carried.
    pub fencing_token: u64,
    /// When it was sent.
    pub sent: Micros,
}

impl fmt::Display for PastOrder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sent = self.sent.as_secs_decimal();
        write!(
            f,
            "{}@{} token {} at {sent:.3} s",
            self.task, self.attempt, self.fencing_token
        )
    }
}

/// The last orders that this holder sent to an agent.
#[derive(Clone, Debug, Default)]
pub struct OrderHistory {
    /// The last start order.
    pub started: Option<PastOrder>,
    /// The last order to forget an attempt.
    pub forgotten: Option<PastOrder>,
}

impl OrderHistory {
    /// Records the last order of each kind in a message.
    pub fn record(&mut self, orders: &[Order], fencing_token: u64, sent: Micros) {
        let past_order = |task: &TaskKey, attempt: u64| PastOrder {
            task: task.clone(),
            attempt,
            fencing_token,
            sent,
        };
        let started = orders.iter().rev().find_map(|order| match order {
            Order::Start { task, attempt } => Some(past_order(task, *attempt)),
            _ => None,
        });
        let forgotten = orders.iter().rev().find_map(|order| match order {
            Order::Forget { task, attempt } => Some(past_order(task, *attempt)),
            _ => None,
        });
        self.started = started.or(self.started.take());
        self.forgotten = forgotten.or(self.forgotten.take());
    }
}
