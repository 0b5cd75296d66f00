//! The scheduling core of seamfront: a deterministic engine without input or output, clock or
//! threads. `docs/design.md` is the map.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod boots;
pub mod capacity;
pub mod chains;
mod cleaning;
pub mod duties;
pub mod engine;
pub mod fleet;
mod formats;
pub mod gang;
pub mod job;
pub mod leader;
pub mod placement;
pub mod port;
pub mod quota;
pub mod ranges;
pub mod record;
mod rounds;
pub mod shard;
pub mod store_session;
pub mod types;
pub mod users;

pub use engine::Engine;
