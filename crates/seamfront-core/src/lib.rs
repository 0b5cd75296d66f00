//! The scheduling core of seamfront: a deterministic engine that does no I/O, reads no clock and starts no threads.
//!
//! It takes commands and the current time as arguments and returns effects; the same commands at the same times give
//! the same effects. `docs/architecture.md` describes the components of the engine, `docs/design.md` why it is safe.
//!
//! ```
//! use seamfront_core::port::{Command, Effect};
//! use seamfront_core::types::{Micros, Settings};
//! use seamfront_core::Engine;
//!
//! /// Drives an engine for half a second of monotonic time, starting at the given time of day.
//! fn drive(
//!     settings: Settings,
//!     time_of_day: Micros,
//!     mut next_commands: impl FnMut() -> Vec<Command>,
//!     mut execute: impl FnMut(Effect),
//! ) {
//!     let mut engine = Engine::new(settings);
//!     for step in 1..=10 {
//!         let now = Micros::from_millis(50).times(step);
//!         let effects = engine.step(now, time_of_day + now, next_commands());
//!         effects.into_iter().for_each(&mut execute);
//!     }
//! }
//! ```
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
pub mod record_size;
mod scheduling;
pub mod shard;
pub mod store_session;
mod timer;
pub mod types;
pub mod user_api;
mod write_pacing;

pub use engine::Engine;
