//! Shared test code of the other crates: stand-ins for outside systems, deterministic simulations, and harnesses.
//!
//! | module | contents |
//! | --- | --- |
//! | [`store`] | the key-value store, in memory |
//! | [`store_service`] | the same, served over HTTP on loopback |
//! | [`cloud`] | the cloud API, with a ledger of every machine |
//! | [`http`] | the part of HTTP/1.1 that the stand-ins need |
//! | [`controller_process`] | the real program as a child process |
//! | [`simulation`] | several engines with a store, a cloud, machines, users and a network; a seed determines the run |
//! | [`member_simulation`] | several members that hold duties, with a store and a cloud; a seed determines the run |
//! | [`fleet_reconciler`] | the work that the members of that simulation and of the examples do under their duties |
//! | [`shard_harness`] | one shard, driven step by step |
//! | [`engine_harness`] | one engine with a store of its own |
//! | [`log_capture`] | the log lines of a piece of code |
//!
//! This crate is a development dependency only and is never published.
#![forbid(unsafe_code)]

pub mod cloud;
pub mod controller_process;
pub mod engine_harness;
pub mod fleet_reconciler;
pub mod http;
pub mod log_capture;
pub mod member_simulation;
pub mod shard_harness;
pub mod simulation;
pub mod store;
pub mod store_service;
