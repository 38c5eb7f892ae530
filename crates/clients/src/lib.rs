//! HTTP clients for the platform's log and host list and for targets.
//!
//! Every error states whether the call may have taken effect, because that determines
//! whether a retry is safe; see [`error::CallError::is_not_sent`].

pub mod blob;
pub mod error;
pub mod hosts;
pub mod http;
pub mod log;
pub mod target;
mod whole;
