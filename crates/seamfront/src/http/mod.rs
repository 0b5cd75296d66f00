//! HTTP/1.1 over async-h1: a server that bounds the number of connections and the size of bodies, and
//! a client that reuses connections and distinguishes a request that was never sent from one whose
//! outcome is unknown.

mod client;
mod server;

pub use client::{CallError, Client, Response};
pub use server::{serve, ClientKind, IncomingRequest, Reply, BODY_BYTES_MAX};

use async_io::Timer;
use futures_lite::FutureExt;
use serde::Serialize;
use std::future::Future;
use std::time::Duration;

/// Awaits a future with a timeout; none if the timeout has elapsed.
pub async fn with_timeout<T>(timeout: Duration, future: impl Future<Output = T>) -> Option<T> {
    async { Some(future.await) }
        .or(async {
            Timer::after(timeout).await;
            None
        })
        .await
}

/// A wire struct as JSON.
pub(crate) fn json_text(body: &impl Serialize) -> String {
    // Fails only for maps whose keys are not strings, which no wire struct has.
    serde_json::to_string(body).unwrap_or_default()
}
