//! Simulates loads against the routing decisions in virtual time.
//!
//! Simulated hosts run the code of `notchwharf-routing` that production runs: the
//! balancer, the order of batch items, the queue summaries that hosts exchange,
//! and preemption. Everything around it is modelled: targets that slow down while
//! they process prompts, status updates with a delay, arrival rates that change
//! in steps, and hosts that freeze. A simulation reports what callers experience.
//!
//! It does not replace a benchmark: it has no connections, no store and no
//! crashes, so its results are valid only where a benchmark of the real system
//! agrees. It evaluates one decision under one load in about a second, with the
//! same result for the same seed.

pub mod bound;
pub mod error;
pub mod load;
pub mod outcome;
pub mod policy;
pub mod report;
pub mod simulation;

mod host;
mod target;
