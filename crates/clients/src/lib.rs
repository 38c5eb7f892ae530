//! Clients for what the platform gives: log, host list and targets.
//!
//! Every failure says whether the call may have taken effect, because the
//! promises rest on that: see [`error::CallError::is_not_sent`].

pub mod blob;
pub mod error;
pub mod hosts;
pub mod http;
pub mod log;
pub mod target;
