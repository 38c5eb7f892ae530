//! The protocol between the hosts of the system.
//!
//! [`peer`] defines the JSON-RPC interface of a host. [`datagram`] defines UDP datagrams:
//! gossip, and notifications that are too short-lived to need an acknowledgement.
//! [`messages`] replaces both where hosts share all targets, and [`records`] defines the
//! messages by which hosts share the records of the store's log.

pub mod datagram;
pub mod messages;
pub mod peer;
pub mod records;
