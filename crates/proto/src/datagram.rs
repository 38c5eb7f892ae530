//! Datagrams that hosts holding leases on targets send one another over UDP.

use serde::Deserialize;
use serde::Serialize;

use crate::messages::SuspectParts;
use crate::messages::Suspects;

/// A datagram between hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// A gossip message, as encoded by the membership package.
    Gossip(Vec<u8>),
    /// The number of online streams that a host has open at a target whose lease the receiver
    /// holds. An absolute count rather than a difference, so a lost datagram does no harm.
    Online {
        /// The host that sends the streams.
        host: String,
        /// The target.
        target: String,
        /// The number of streams.
        streams: u32,
    },
    /// Requests that are suspected of crashing targets.
    Suspects(Suspects),
    /// Parts of prompts that are suspected of crashing targets. Hosts of earlier versions ignore
    /// it.
    SuspectParts(SuspectParts),
}

/// Encodes a datagram.
///
/// # Panics
///
/// Never: postcard can represent every value of the type.
pub fn encode(datagram: &Datagram) -> Vec<u8> {
    postcard::to_stdvec(datagram).expect("Datagrams are always representable.")
}

/// Decodes a datagram; returns `None` if the bytes are not one.
pub fn decode(bytes: &[u8]) -> Option<Datagram> {
    postcard::from_bytes(bytes).ok()
}
