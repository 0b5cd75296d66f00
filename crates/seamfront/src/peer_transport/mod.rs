//! gRPC between controllers: tonic's services over hyper's HTTP/2 on async-io. Messages only save
//! time; correctness does not depend on their arrival.

mod client;
mod server;

pub use client::deliver;
pub use server::serve;

use async_executor::LocalExecutor;
use seamfront_core::port::PeerMessage;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::marker::PhantomData;
use std::time::Duration;
use tonic::codec::{Codec, DecodeBuf, Decoder, EncodeBuf, Encoder};
use tonic::Status;

/// The service that `build.rs` generates.
mod wire {
    // Generated code can't be changed to satisfy the lints.
    #![allow(clippy::all, clippy::pedantic)]
    include!(concat!(env!("OUT_DIR"), "/seamfront.Mesh.rs"));
}

/// Timeout of each step of a delivery: the connection, the HTTP/2 handshake, the call.
const STEP_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a message in bytes.
const MESSAGE_BYTES_MAX: usize = 1 << 20;

/// Runs hyper's connection tasks on this process's executor.
#[derive(Clone, Copy)]
struct ConnectionExecutor(&'static LocalExecutor<'static>);

impl<F: Future<Output: 'static> + 'static> hyper::rt::Executor<F> for ConnectionExecutor {
    fn execute(&self, future: F) {
        self.0.spawn(future).detach();
    }
}

/// A message with its sender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender's member name.
    pub from: String,
    /// The message.
    pub message: PeerMessage,
}

/// The response to a message, which acknowledges its arrival.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Receipt {}

/// Encodes messages as JSON, like the other protocols of this process; gRPC prescribes no encoding.
pub struct JsonCodec<E, D>(PhantomData<(E, D)>);

impl<E, D> Default for JsonCodec<E, D> {
    fn default() -> Self {
        JsonCodec(PhantomData)
    }
}

/// Encodes messages as JSON.
pub struct JsonEncoder<E>(PhantomData<E>);
/// Decodes messages from JSON.
pub struct JsonDecoder<D>(PhantomData<D>);

impl<E: Serialize + Send + 'static, D: DeserializeOwned + Send + 'static> Codec
    for JsonCodec<E, D>
{
    type Encode = E;
    type Decode = D;
    type Encoder = JsonEncoder<E>;
    type Decoder = JsonDecoder<D>;

    fn encoder(&mut self) -> Self::Encoder {
        JsonEncoder(PhantomData)
    }

    fn decoder(&mut self) -> Self::Decoder {
        JsonDecoder(PhantomData)
    }
}

impl<E: Serialize> Encoder for JsonEncoder<E> {
    type Item = E;
    type Error = Status;

    fn encode(&mut self, item: E, dst: &mut EncodeBuf<'_>) -> Result<(), Status> {
        use tonic::codegen::Bytes;
        let bytes =
            Bytes::from(serde_json::to_vec(&item).map_err(|e| Status::internal(e.to_string()))?);
        buffer::put(dst, &bytes);
        Ok(())
    }
}

impl<D: DeserializeOwned> Decoder for JsonDecoder<D> {
    type Item = D;
    type Error = Status;

    fn decode(&mut self, src: &mut DecodeBuf<'_>) -> Result<Option<D>, Status> {
        let bytes = buffer::take(src);
        if bytes.is_empty() {
            return Ok(None);
        }
        serde_json::from_slice(&bytes)
            .map(Some)
            .map_err(|e| Status::invalid_argument(e.to_string()))
    }
}

/// Copies bytes into and out of tonic's buffers.
mod buffer {
    use bytes::{Buf, BufMut};

    pub fn put(dst: &mut impl BufMut, bytes: &[u8]) {
        dst.put_slice(bytes);
    }

    pub fn take(src: &mut impl Buf) -> Vec<u8> {
        let mut out = vec![0; src.remaining()];
        src.copy_to_slice(&mut out);
        out
    }
}
