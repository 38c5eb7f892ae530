//! Which item of a job runs next, and which can still be served in time.
//!
//! Decisions on items are here, without I/O or clocks, so that a test or a load
//! player runs the code that runs in production. [`usual`] tells how long an
//! item still takes, [`turn`] which hosts come first when a place falls free.

pub mod turn;
pub mod usual;
