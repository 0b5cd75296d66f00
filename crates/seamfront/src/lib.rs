//! The process that runs the scheduler's core: sockets, timers and settings.
//!
//! Each adapter owns the names of its protocol and maps them to the core's terms: [`user_api`] the
//! public API, [`worker_api`] the machines' agents, [`store_client`] the key-value store,
//! [`cloud_client`] the cloud, [`peer_transport`] the other controllers. The core knows none of
//! these names. [`driver`] joins the adapters to the engine.
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
