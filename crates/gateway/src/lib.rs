//! Serves routed requests and jobs on hosts that keep nothing.
//!
//! [`ports`] is what an adapter fills: a store of ordered topics, targets that
//! run requests, and the meaning of configuration and target records. An
//! adapter calls [`online::serve`] for requests and the functions of [`jobs`]
//! for jobs, and answers callers in its own protocol. [`lifecycle::Host`] starts and
//! stops it all.
//!
//! Everything that lasts lies in the store: [`journal`] folds the job records,
//! `catalog` follows routes and targets. What a host knows beside that comes
//! from its peers by datagram and is lost without harm.

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
mod items;
pub mod jobs;
pub mod journal;
pub mod lifecycle;
mod limits;
pub mod metrics;
pub mod online;
mod peers;
pub mod ports;
mod progress;
mod quarantine;
mod spread;
mod sse;
mod store;
mod sync;
mod target;
mod time;
mod waiting;

/// The name of a request, chosen by its caller.
pub type RequestId = String;
