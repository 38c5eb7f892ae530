//! Records of targets' entries, how they are read, and what they change.

use std::time::Instant;

use crate::balancer::Spec;
use crate::balancer::TargetId;

/// A record of a target's entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record<V> {
    /// The target.
    pub id: TargetId,
    /// The record's place in the store's order.
    pub offset: u64,
    /// The entry; nothing if it is gone.
    pub value: Option<V>,
}

/// When a reading of entries was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadInfo {
    /// When it was asked for.
    pub requested_at: Instant,
    /// When its answer came.
    pub answered_at: Instant,
    /// Whether it went to the newest record there was.
    pub is_at_end: bool,
}

impl ReadInfo {
    /// Returns a reading that went to the newest record.
    pub fn at_end(requested_at: Instant, answered_at: Instant) -> Self {
        Self {
            requested_at,
            answered_at,
            is_at_end: true,
        }
    }
}

/// What becomes of the targets in use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change<E> {
    /// A target is as described.
    Put {
        /// The target.
        id: TargetId,
        /// Where its record stands.
        offset: u64,
        /// What its entry says.
        spec: Spec,
    },
    /// An entry cannot be read, so it names no target. What it said before may
    /// be over: a target that leaves would get requests for good. A living one
    /// writes its entry again with its next heartbeat.
    Unreadable {
        /// The target.
        id: TargetId,
        /// Where its record stands.
        offset: u64,
        /// What is wrong.
        error: E,
    },
    /// An entry is gone and its target with it.
    Removed {
        /// The target.
        id: TargetId,
        /// Up to where the store's order was known.
        offset: u64,
    },
    /// An entry is gone that may only have lapsed; its target stays for now.
    Retained {
        /// The target.
        id: TargetId,
        /// Up to where the store's order was known.
        offset: u64,
        /// Until when it stays if nothing else happens.
        until: Instant,
    },
}
