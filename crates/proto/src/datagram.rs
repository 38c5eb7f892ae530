//! What hosts send one another over UDP.

use serde::Deserialize;
use serde::Serialize;

use crate::messages::Suspects;

/// A datagram between hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// Gossip, in the form that the membership package gives it.
    Gossip(Vec<u8>),
    /// How many online streams a host has open at a target that the receiver
    /// holds. A count and not a difference, so that a lost one does no harm.
    Online {
        /// The host that sends them.
        host: String,
        /// The target.
        target: String,
        /// The number of streams.
        streams: u32,
    },
    /// Requests under which targets crashed.
    Suspects(Suspects),
}

/// Encodes a datagram.
///
/// # Panics
///
/// Never: the type holds nothing that the codec cannot represent.
pub fn encode(datagram: &Datagram) -> Vec<u8> {
    postcard::to_stdvec(datagram).expect("Datagrams are always representable.")
}

/// Decodes a datagram; returns nothing for anything else.
pub fn decode(bytes: &[u8]) -> Option<Datagram> {
    postcard::from_bytes(bytes).ok()
}
