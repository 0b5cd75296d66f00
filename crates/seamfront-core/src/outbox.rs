//! Requests and effects that a component of the engine sends in one step.
//!
//! Components have no access to the engine: they put requests into an [`Outbox`], each with a value of their own type
//! that identifies the request when its reply arrives. The engine drains the outbox right after the call and assigns
//! call ids in that order.

use crate::port::{CloudRequest, Effect, PeerMessage, StoreRequest};
use crate::types::Micros;

/// One request, message or effect to be sent.
pub(crate) enum Outgoing<R> {
    /// A request to the key-value store.
    Store {
        /// The request.
        request: StoreRequest,
        /// Identifies the request when its reply arrives.
        pending: R,
    },
    /// A request to the cloud API.
    Cloud {
        /// The request.
        request: CloudRequest,
        /// The request must not be sent at or after this time.
        until: Option<Micros>,
        /// Identifies the request when its reply arrives.
        pending: R,
    },
    /// A message to the controller that holds a shard, which may be this one.
    ShardHolder {
        /// The shard.
        shard: usize,
        /// The message.
        message: PeerMessage,
    },
    /// An effect that has no reply.
    Effect(Effect),
}

/// Outgoing requests and effects of one component, in order. `R` is the component's enum of outstanding requests.
pub(crate) struct Outbox<R> {
    outgoing: Vec<Outgoing<R>>,
}

impl<R> Outbox<R> {
    /// Creates an empty outbox.
    pub(crate) fn new() -> Self {
        Outbox {
            outgoing: Vec::new(),
        }
    }

    /// Adds a request to the store.
    pub(crate) fn store(&mut self, request: StoreRequest, pending: R) {
        self.outgoing.push(Outgoing::Store { request, pending });
    }

    /// Adds a request to the cloud API that may only be sent before `until`.
    pub(crate) fn cloud(&mut self, request: CloudRequest, until: Option<Micros>, pending: R) {
        self.outgoing.push(Outgoing::Cloud {
            request,
            until,
            pending,
        });
    }

    /// Adds a message to the controller that holds a shard.
    pub(crate) fn shard_holder(&mut self, shard: usize, message: PeerMessage) {
        self.outgoing.push(Outgoing::ShardHolder { shard, message });
    }

    /// Adds an effect that has no reply.
    pub(crate) fn effect(&mut self, effect: Effect) {
        self.outgoing.push(Outgoing::Effect(effect));
    }
}

impl<R> IntoIterator for Outbox<R> {
    type Item = Outgoing<R>;
    type IntoIter = std::vec::IntoIter<Outgoing<R>>;

    fn into_iter(self) -> Self::IntoIter {
        self.outgoing.into_iter()
    }
}
