//! Live and leaving hosts and targets, spread by gossip.
//!
//! [`fact`] says what is known and how two reports of one thing merge.
//! [`gossip`] decides whom to probe and what to tell. The platform's list is
//! one source among three: it lags, so a host's own observations and what its
//! peers report count as well. Older news never undoes newer.

pub mod fact;
pub mod gossip;
mod spread;
