//! The controller process: it runs the engine of `seamfront-core` with real sockets, timers and
//! settings.
//!
//! Each adapter translates one protocol to the core's types, and only the adapter knows the names of
//! that protocol: [`user_api`] the public API, [`worker_api`] the agents on the machines,
//! [`store_client`] the key-value store, [`cloud_client`] the cloud API, [`peer_transport`] the other
//! controllers. [`driver`] connects the adapters to the engine, and [`duty_admin`] implements the
//! operators' commands on duties.
//!
//! ```no_run
//! use seamfront::{driver, settings};
//! use std::path::Path;
//!
//! let settings = settings::load(Path::new("settings.toml"))?;
//! driver::run(settings)?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod cloud_client;
pub mod driver;
pub mod duty_admin;
mod effects;
pub mod http;
pub mod peer_transport;
mod router;
pub mod settings;
pub mod store_client;
pub mod user_api;
pub mod worker_api;
