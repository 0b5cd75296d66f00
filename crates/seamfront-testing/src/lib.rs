//! What the tests of the other crates share: stand-ins of outside systems, deterministic simulations, and harnesses.
//!
//! | module | what it stands for |
//! | --- | --- |
//! | [`store`] | the key-value store, in memory |
//! | [`store_service`] | the same, served over HTTP on loopback |
//! | [`cloud`] | the cloud, with a ledger of every machine |
//! | [`http`] | as much of HTTP/1.1 as the stand-ins need |
//! | [`controller_process`] | the real program as a child process |
//! | [`simulation`] | several engines with store, cloud, workers, users and a network; one seed, one history |
//! | [`member_simulation`] | several members that hold duties, with a store and a cloud; one seed, one history |
//! | [`fleet_reconciler`] | what the members of that simulation and of the examples do under their duties |
//! | [`shard_harness`] | one shard, driven step by step |
//!
//! It is a development dependency only, and is never published.
#![forbid(unsafe_code)]

pub mod cloud;
pub mod controller_process;
pub mod fleet_reconciler;
pub mod http;
pub mod member_simulation;
pub mod shard_harness;
pub mod simulation;
pub mod store;
pub mod store_service;
