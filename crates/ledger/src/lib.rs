//! Replicated state of jobs, items and idempotency keys, stored as records in the platform's
//! log.
//!
//! The log totally orders the records of each stream. Every decision on which hosts must
//! agree is a [`record::Record`] in a stream, and its outcome is a pure fold over that
//! stream: [`shard::Shard`] for jobs, items and keys, and [`fleet::Fleet`] for the leases on
//! targets. [`owner::Owner`] is the state machine of the one host that holds a shard's
//! lease. [`rendezvous`] ranks the hosts that should hold a shard or target.
//!
//! Where the platform's store orders records and retains the newest record of each key
//! permanently, [`jobs`] is the fold over one stream that needs no leases.
//!
//! Each kind of stream has its own record type: [`record::Record`], [`fleet::Record`] and
//! [`jobs::Record`]. Tenant is another word for workspace.
//!
//! Nothing here performs I/O, reads a clock or uses global randomness: times and records
//! are inputs, and appends and replies are returned as effects.

pub mod error;
pub mod fleet;
pub mod job;
pub mod jobs;
pub mod owner;
mod queue;
pub mod record;
pub mod rendezvous;
pub mod shard;
