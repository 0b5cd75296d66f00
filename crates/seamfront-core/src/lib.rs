//! The scheduling core of seamfront: a deterministic engine without input or output, clock or
//! threads. `docs/design.md` is the map.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod boot_times;
pub mod capacity;
pub mod engine;
pub mod fleet_duties;
mod format_versions;
pub mod gang;
mod garbage_collector;
pub mod job;
mod jobs;
mod known_machine;
mod leader;
pub mod machine;
mod machine_types;
mod outbox;
pub mod placement;
pub mod port;
pub mod quota;
pub mod ranges;
pub mod record;
mod scheduling;
pub mod shard;
pub mod store_session;
pub mod types;
pub mod user_api;
mod write_pacing;

pub use engine::Engine;
