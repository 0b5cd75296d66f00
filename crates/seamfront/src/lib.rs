//! seamfront's adapters round the core: sockets, timers and settings. Each adapter owns the names
//! of its protocol; the core knows none of them.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod cloud;
pub mod driver;
pub mod duties;
pub mod http;
pub mod mesh;
pub mod settings;
pub mod state;
pub mod users;
pub mod workers;
