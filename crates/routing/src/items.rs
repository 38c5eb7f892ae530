//! Scheduling and preemption of batch job items.
//!
//! These decisions use neither I/O nor clocks, so that tests and load simulations run the
//! production code. [`queue`] orders the items of one host, [`peer_queues`] decides which host may
//! take a free slot, [`preemption`] selects the running item to preempt, and [`estimate`]
//! predicts the remaining duration of an item.

pub mod estimate;
pub mod peer_queues;
pub mod preemption;
pub mod queue;
