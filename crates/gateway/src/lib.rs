//! Serves routed requests and jobs on stateless hosts.
//!
//! [`ports`] is the interface that an adapter implements: a store of ordered topics, targets that
//! run requests, and decoders for configuration and target records. An adapter calls
//! [`online::serve`] for requests and the functions of [`jobs`] for jobs, and responds to callers
//! in its own protocol. [`lifecycle::Host`] starts and stops a host.
//!
//! All durable state is kept in the store: [`journal`] applies the job records, `catalog` follows
//! routes and targets. Any other state of a host is received from its peers by datagram and may be
//! lost without harm.

pub mod access;
mod backlog;
pub mod blobs;
mod catalog;
mod cleanup;
pub mod context;
mod cpu_time;
pub mod error;
mod fingerprint;
mod follower;
pub mod intake;
mod items;
pub mod jobs;
pub mod journal;
pub mod lifecycle;
mod limits;
pub mod metrics;
pub mod online;
mod origins;
mod peers;
pub mod ports;
mod progress;
pub mod proof;
mod quarantine;
mod spread;
mod sse;
mod store;
mod submissions;
mod sync;
mod target;
mod time;
mod waiting;

/// The ID of a request, chosen by its caller.
pub type RequestId = String;
