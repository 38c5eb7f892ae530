//! Records of targets' entries, when they were read, and the changes that result from them.

use std::time::Instant;

use crate::balancer::Spec;
use crate::balancer::TargetId;

/// A record of a target's entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record<V> {
    /// The target.
    pub id: TargetId,
    /// The offset of the record in the store's log.
    pub offset: u64,
    /// The entry; `None` if it was removed.
    pub value: Option<V>,
}

/// When entries were read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadInfo {
    /// When the read was requested.
    pub requested_at: Instant,
    /// When the response arrived.
    pub answered_at: Instant,
    /// Whether the read reached the newest record.
    pub is_at_end: bool,
}

impl ReadInfo {
    /// Returns a read that reached the newest record.
    pub fn at_end(requested_at: Instant, answered_at: Instant) -> Self {
        Self {
            requested_at,
            answered_at,
            is_at_end: true,
        }
    }
}

/// A change to the targets in use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change<E> {
    /// A target was added or updated.
    Put {
        /// The target.
        id: TargetId,
        /// The offset of its record.
        offset: u64,
        /// The description in its entry.
        spec: Spec,
    },
    /// An entry cannot be decoded, so its target is no longer used. The previous entry may
    /// be outdated: if the target is shutting down, it would be sent requests indefinitely.
    /// A live target writes its entry again with its next heartbeat.
    Unreadable {
        /// The target.
        id: TargetId,
        /// The offset of its record.
        offset: u64,
        /// Why the entry cannot be decoded.
        error: E,
    },
    /// An entry was removed, and its target with it.
    Removed {
        /// The target.
        id: TargetId,
        /// The offset up to which the log was known.
        offset: u64,
    },
    /// An entry is missing that may only have expired; its target is retained for now.
    Retained {
        /// The target.
        id: TargetId,
        /// The offset up to which the log was known.
        offset: u64,
        /// The time until which it is retained unless something changes.
        until: Instant,
    },
}
