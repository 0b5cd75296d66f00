//! HTTP/1.1 in both directions, by async-h1: a server with bounded connections and bodies, and a
//! small client that keeps connections and tells a request that was never sent from one whose
//! outcome is unknown.

mod client;
mod server;

pub use client::{CallError, Client, Response};
pub use server::{serve, Audience, IncomingRequest, Reply, BODY_MAX};

use async_io::Timer;
use futures_lite::FutureExt;
use serde::Serialize;
use std::future::Future;
use std::time::Duration;

/// Runs a future for at most so long; none when the time is up.
pub async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    async { Some(future.await) }
        .or(async {
            Timer::after(limit).await;
            None
        })
        .await
}

/// The JSON text of a struct of the wire.
pub(crate) fn json_text(body: &impl Serialize) -> String {
    // Only maps with keys other than strings can't be written, and no struct of the wire has one.
    serde_json::to_string(body).unwrap_or_default()
}
