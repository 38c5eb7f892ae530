//! Jobs, items and idempotency keys as records in the platform's log.
//!
//! The log gives every stream one total order. Every decision that hosts must
//! agree on is a [`record::Record`] in a stream, and its outcome is a pure fold
//! over that stream: [`shard::Shard`] for jobs, items and keys, and
//! [`fleet::Fleet`] for the leases on targets. [`owner::Owner`] is what the one
//! host that holds a shard's lease decides. [`rendezvous`] says which host
//! should try to hold what.
//!
//! Where the platform's store orders records and keeps the newest of each key
//! for good, [`jobs`] is the fold over one stream that needs no leases.
//!
//! Nothing here does I/O, reads a clock or uses global randomness: time and
//! records come in as inputs, and appends and answers go out as effects.

pub mod error;
pub mod fleet;
pub mod job;
pub mod jobs;
pub mod owner;
mod queue;
pub mod record;
pub mod rendezvous;
pub mod shard;
