//! Which item of a job runs next, and which gives way.
//!
//! Decisions on items are here, without I/O or clocks, so that a test or a load
//! player runs the code that runs in production. [`queue`] orders the items of
//! one host, [`turn`] the hosts when a place falls free, [`spare`] tells which
//! running item gives way, and [`usual`] how long one still takes.

pub mod estimate;
pub mod peer_queues;
pub mod preemption;
pub mod queue;
