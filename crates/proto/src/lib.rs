//! The protocol between the system's own processes.
//!
//! [`peer`] is what one host calls on another, over JSON-RPC. [`datagram`] is
//! what hosts send over UDP: gossip, and notices too short-lived to be worth
//! an answer. [`messages`] takes the place of both where hosts share all targets, and
//! [`records`] holds the messages by which hosts share the store's log.

pub mod datagram;
pub mod messages;
pub mod peer;
pub mod records;
