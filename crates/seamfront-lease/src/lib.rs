//! Duties with a single holder, over a small key-value store with leases and transactions.
//!
//! A *duty* is work of which there must be one performer at a time, such as renting machines. Each duty has a claim
//! in the store, attached to its holder's lease; the claim's version is the fencing token. What a holder does outside
//! of the store is an *operation*: recorded under the token, performed, its outcome recorded. A successor settles the
//! open operations of its predecessor before it begins its own.
//!
//! [`DutyManager`] is the deterministic core: commands go in, effects come out, time is an argument. [`driver`] is a
//! thin loop that runs it. `docs/duties.md` holds the safety argument.
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
//! let settings = LeaseSettings::new("a", &["a", "b"], &["cleaning"], limits);
//! let mut manager = DutyManager::new(settings)?;
//! // The first step requests a lease and reads the present claims.
//! let effects = manager.step(Micros::ZERO, Vec::new());
//! assert!(effects.iter().all(|effect| matches!(effect, Effect::Store { .. })));
//! assert_eq!(manager.fencing_token("cleaning"), None);
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
