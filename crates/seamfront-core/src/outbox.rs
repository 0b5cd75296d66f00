//! What the owner of a part of the state sends out in a step.
//!
//! Owners do not know the engine: they put requests into an [`Outbox`], each with a value of their own that says what
//! the reply is for. The engine drains it right after the call and gives the requests their call ids in that order.

use crate::port::{CloudRequest, Effect, PeerMessage, StoreRequest};
use crate::types::Micros;

/// One thing to be sent.
pub(crate) enum Outgoing<R> {
    /// A request to the key-value store.
    Store {
        /// The request.
        request: StoreRequest,
        /// What its reply is for.
        pending: R,
    },
    /// A request to the cloud.
    Cloud {
        /// The request.
        request: CloudRequest,
        /// It may be sent only before this time.
        until: Option<Micros>,
        /// What its reply is for.
        pending: R,
    },
    /// A message to the controller that owns a shard, be it this one.
    ShardOwner {
        /// The shard.
        shard: usize,
        /// The message.
        message: PeerMessage,
    },
    /// An effect without a reply.
    Effect(Effect),
}

/// Outgoing requests and effects of one owner, in order. `R` is the owner's enum of outstanding requests.
pub(crate) struct Outbox<R> {
    outgoing: Vec<Outgoing<R>>,
}

impl<R> Outbox<R> {
    /// An empty outbox.
    pub(crate) fn new() -> Self {
        Outbox {
            outgoing: Vec::new(),
        }
    }

    /// Sends a request to the store.
    pub(crate) fn store(&mut self, request: StoreRequest, pending: R) {
        self.outgoing.push(Outgoing::Store { request, pending });
    }

    /// Sends a request to the cloud, but only before `until`.
    pub(crate) fn cloud(&mut self, request: CloudRequest, until: Option<Micros>, pending: R) {
        self.outgoing.push(Outgoing::Cloud {
            request,
            until,
            pending,
        });
    }

    /// Sends a message to the controller that owns a shard.
    pub(crate) fn shard_owner(&mut self, shard: usize, message: PeerMessage) {
        self.outgoing.push(Outgoing::ShardOwner { shard, message });
    }

    /// Sends an effect that has no reply.
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
