//! Plays loads over the product's decisions in virtual time.
//!
//! Hosts run the code of `notchwharf-routing` that production runs: places,
//! the order of items, turns and what gives way. Around it stand targets that
//! slow while they read prompts, news that takes time, callers that come in
//! steps, and hosts that freeze. A play answers in what callers get.
//!
//! It is no second bench: it knows no connections, no store and no crashes, and
//! its word counts only where the bench agrees. What it is for is a look at one
//! decision under one load, in a second and the same each time.

pub mod bound;
pub mod error;
pub mod load;
pub mod outcome;
pub mod play;
pub mod policy;
pub mod report;

mod host;
mod target;
