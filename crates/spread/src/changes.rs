//! Bounded index of the keys that changed in a log, ordered by offset.
//!
//! Heartbeat records that repeat the current value are not indexed, so a peer that requests
//! the changes since an offset receives only effective ones. Values are stored by the
//! caller; a key without a value has been removed.
//!
//! The records themselves are not retained: the caller already stores the latest value of
//! each key, and older values are never requested.
//!
//! A key may be known to have changed in a range rather than at an offset: another host sends
//! each key once, with its newest change. Such a change counts from the start of the range when
//! changes are sent in pages, so that a page names every key that changed within it.
//!
//! Raising a change that arrives late to the newest offset was rejected: a receiver that stores
//! the raised offset takes the key's next records for older ones.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::hash::Hash;

/// The most recent changes of a log, by key.
#[derive(Clone, Debug)]
pub struct Changes<K> {
    /// The changes by their newest offset and order of arrival.
    recent: BTreeMap<(u64, u64), Change<K>>,
    /// The number of changes received, by which those at the same offset are ordered.
    pushed: u64,
    capacity: usize,
    complete_from: u64,
    end: u64,
}

/// Changes of a key.
#[derive(Clone, Debug)]
struct Change<K> {
    key: K,
    /// The offset below which the key is known not to have changed.
    first: u64,
}

/// Keys that changed, each once with the offset of its newest change and ordered by it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page<'a, K> {
    /// The keys that changed before `to`. Their newest change may be at or after it.
    pub changes: Vec<(u64, &'a K)>,
    /// The offset from which to continue; `None` if no changes follow.
    pub to: Option<u64>,
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
        self.push_range(offset, offset, key);
    }

    /// Records that a key changed in a range of offsets, the last time at `offset`.
    pub fn push_range(&mut self, first: u64, offset: u64, key: K) {
        self.end = self.end.max(offset + 1);
        if offset < self.complete_from {
            return;
        }
        let first = first.min(offset);
        let change = Change { key, first };
        self.recent.insert((offset, self.pushed), change);
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
        self.page(offset, usize::MAX).map(|page| page.changes)
    }

    /// Returns about `limit` of the keys that changed at or after an offset: all that may have
    /// changed before the page's end. `None` if the index is not complete from that offset on.
    pub fn page(&self, offset: u64, limit: usize) -> Option<Page<'_, K>> {
        if offset < self.complete_from {
            return None;
        }
        let mut keys: HashMap<&K, (u64, u64)> = HashMap::new();
        for ((newest, _), change) in self.recent.range((offset, 0)..) {
            let first = change.first.max(offset);
            let (known_first, known_newest) = keys.entry(&change.key).or_insert((first, *newest));
            *known_first = first.min(*known_first);
            *known_newest = *newest;
        }
        let changes = keys.into_iter();
        let mut changes: Vec<_> = changes
            .map(|(key, (first, newest))| (first, newest, key))
            .collect();
        let mut to = None;
        if changes.len() > limit {
            let (_, last, _) =
                changes.select_nth_unstable_by_key(limit.max(1) - 1, |change| change.0);
            let last = last.0;
            let count = changes.len();
            changes.retain(|(first, ..)| *first <= last);
            to = (changes.len() < count).then_some(last + 1);
        }
        changes.sort_unstable_by_key(|(_, newest, _)| *newest);
        let changes = changes.into_iter().map(|(_, newest, key)| (newest, key));
        Some(Page {
            changes: changes.collect(),
            to,
        })
    }
}
