//! Duties with a single holder, on top of a small key-value store with leases and transactions.
//!
//! A *duty* is work that only one member may perform at a time, such as provisioning machines. Each duty has a claim in
//! the store that is attached to its holder's lease; the claim's version is the fencing token. An effect outside of the
//! store is an *operation*: the holder records it under the token, performs it, and records its outcome. A successor
//! settles the open operations of its predecessor before it begins any of its own.
//!
//! [`DutyManager`] is a deterministic state machine: commands go in, effects come out, and time is an argument.
//! [`driver`] is the event loop that runs it. `docs/duties.md` contains the safety argument.
//!
//! ```
//! use seamfront_lease::port::Effect;
//! use seamfront_lease::settings::{LeaseSettings, StoreLimits};
//! use seamfront_lease::time::Micros;
//! use seamfront_lease::DutyManager;
//!
//! let limits = StoreLimits {
//!     value_bytes: 32 * 1024,
//!     transaction_changes: 48,
//!     changes_per_second: 100,
//! };
//! let settings = LeaseSettings::new("a", &["a", "b"], &["scale-out"], limits);
//! let mut manager = DutyManager::new(settings)?;
//! // The first step requests a lease and lists the current claims.
//! let effects = manager.step(Micros::ZERO, Vec::new());
//! assert!(effects.iter().all(|effect| matches!(effect, Effect::Store { .. })));
//! assert_eq!(manager.fencing_token("scale-out"), None);
//! # Ok::<(), seamfront_lease::settings::SettingsError>(())
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod balancing;
pub mod driver;
pub mod keys;
pub mod log;
pub mod manager;
pub mod permit;
pub mod port;
pub mod record;
pub mod settings;
pub mod store;
pub mod time;
pub mod view;

pub use manager::DutyManager;
