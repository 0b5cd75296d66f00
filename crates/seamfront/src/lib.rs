//! seamfront's adapters round the core: sockets, timers and settings. Each adapter owns the names
//! of its protocol; the core knows none of them.
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
