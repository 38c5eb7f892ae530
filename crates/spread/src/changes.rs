//! Bounded index of the keys that changed in a log, ordered by offset.
//!
//! Heartbeat records that repeat the current value are not indexed, so a peer that requests
//! the changes since an offset receives only effective ones. Values are stored by the
//! caller; a key without a value has been removed.
//!
//! The records themselves are not retained: the caller already stores the latest value of
//! each key, and older values are never requested.
//!
//! Raising a change that arrives late to the newest offset was rejected: a receiver that stores
//! the raised offset takes the key's next records for older ones.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::hash::Hash;

/// The most recent changes of a log, by key.
#[derive(Clone, Debug)]
pub struct Changes<K> {
    /// The keys by offset and order of arrival.
    recent: BTreeMap<(u64, u64), K>,
    pushed: u64,
    capacity: usize,
    complete_from: u64,
    end: u64,
}

impl<K: Clone + Eq + Hash> Changes<K> {
    /// Returns an empty index that retains up to `capacity` changes.
    pub fn new(capacity: usize) -> Self {
        Self {
            recent: BTreeMap::new(),
            pushed: 0,
            capacity: capacity.max(1),
            complete_from: 0,
            end: 0,
        }
    }

    /// Returns the offset that follows the newest change.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Returns the lowest offset from which the index is complete.
    pub fn complete_from(&self) -> u64 {
        self.complete_from
    }

    /// Records that a key changed at an offset. Changes may arrive in any order. A change below
    /// the offset from which the index is complete is not retained.
    pub fn push(&mut self, offset: u64, key: K) {
        self.end = self.end.max(offset + 1);
        if offset < self.complete_from {
            return;
        }
        self.recent.insert((offset, self.pushed), key);
        self.pushed += 1;
        while self.recent.len() > self.capacity {
            if let Some(((dropped, _), _)) = self.recent.pop_first() {
                self.complete_from = self.complete_from.max(dropped + 1);
            }
        }
    }

    /// Records that the log was skipped up to an offset, so earlier changes may be missing.
    pub fn skip_to(&mut self, offset: u64) {
        self.complete_from = self.complete_from.max(offset);
    }

    /// Returns the keys that changed at or after an offset, each once, ordered by their newest
    /// change; `None` if the index is not complete from that offset on.
    pub fn since(&self, offset: u64) -> Option<Vec<(u64, &K)>> {
        if offset < self.complete_from {
            return None;
        }
        let mut seen = HashSet::new();
        let newest_first = self.recent.range((offset, 0)..).rev();
        let newest_first = newest_first.filter(|(_, key)| seen.insert(*key));
        let newest_first = newest_first.map(|((at, _), key)| (*at, key));
        let mut changes: Vec<(u64, &K)> = newest_first.collect();
        changes.reverse();
        Some(changes)
    }
}
