//! The newest entries of a log, replicated between hosts.
//!
//! A host reads or lists the log, or receives what another host has applied
//! ([`Replica::since`]). Results of these may arrive late, since a read is in progress while
//! changes of another host are applied.
//!
//! ```
//! use notchwharf_spread::replica::{Record, Replica};
//!
//! let put = |offset, value| Record { key: "h1", offset, value: Some(value) };
//! let (mut reader, mut follower) = (Replica::new(100), Replica::new(100));
//! reader.apply_read(vec![put(0, 1), put(1, 2)]);
//! let applied = follower.apply_delta(reader.since(follower.end()));
//! assert_eq!(applied, [put(1, 2)]);
//! assert_eq!(follower.end(), 2);
//! ```

use std::collections::HashMap;
use std::collections::HashSet;
use std::hash::Hash;

use crate::changes::Changes;

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record<K, V> {
    /// The key.
    pub key: K,
    /// The offset of the record.
    pub offset: u64,
    /// The value; `None` if the entry was removed.
    pub value: Option<V>,
}

/// Changes in an offset range, or all entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta<K, V> {
    /// The start of the offset range.
    pub from: u64,
    /// The end of the offset range, exclusive.
    pub to: u64,
    /// Whether the records are the complete set of entries.
    pub is_complete: bool,
    /// The records.
    pub records: Vec<Record<K, V>>,
}

/// The newest entries of a log, their recent changes, and the offset up to which they are known.
#[derive(Clone, Debug)]
pub struct Replica<K, V> {
    entries: HashMap<K, (u64, V)>,
    changes: Changes<K>,
    end: u64,
}

impl<K: Clone + Eq + Hash, V: Clone> Replica<K, V> {
    /// Returns a replica without entries that retains a number of changes. A host that is further
    /// behind is sent all entries.
    pub fn new(changes_retained: usize) -> Self {
        Self {
            entries: HashMap::new(),
            changes: Changes::new(changes_retained),
            end: 0,
        }
    }

    /// Returns the offset up to which the log is known.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Returns the entries with their offsets.
    pub fn entries(&self) -> impl Iterator<Item = (&K, u64, &V)> {
        self.entries
            .iter()
            .map(|(key, (offset, value))| (key, *offset, value))
    }

    /// Applies records read from the log; returns those that took effect. Records below the end
    /// were in progress while a newer state arrived, which may contain their removal.
    pub fn apply_read(&mut self, mut records: Vec<Record<K, V>>) -> Vec<Record<K, V>> {
        let known_to = self.end;
        records.retain(|record| record.offset >= known_to);
        if let Some(last) = records.last() {
            self.end = last.offset + 1;
        }
        self.apply_all(None, records)
    }

    /// Applies a listing of all entries as of an offset, some of which may be newer; returns the
    /// records that took effect, and removals of the entries that it lacks. Does nothing if a
    /// newer state is known.
    pub fn apply_listing(&mut self, end: u64, records: Vec<Record<K, V>>) -> Vec<Record<K, V>> {
        if end < self.end {
            return Vec::new();
        }
        self.end = end;
        self.changes.skip_to(end);
        let mut removals = self.removals(end, &records);
        removals.extend(records);
        self.apply_all(Some(end), removals)
    }

    /// Applies what another host sent; returns the records that took effect, and removals of the
    /// entries that a complete set lacks. Does nothing if earlier changes are missing.
    pub fn apply_delta(&mut self, delta: Delta<K, V>) -> Vec<Record<K, V>> {
        if delta.from > self.end || delta.to <= self.end {
            return Vec::new();
        }
        if delta.is_complete {
            return self.apply_listing(delta.to, delta.records);
        }
        let known_to = self.end;
        self.end = delta.to;
        let mut records = delta.records;
        records.retain(|record| record.offset >= known_to);
        self.apply_all(Some(known_to), records)
    }

    /// Returns what another host is missing from an offset on.
    pub fn since(&self, from: u64) -> Delta<K, V> {
        let record = |key: &K, offset| Record {
            key: key.clone(),
            offset,
            value: self.entries.get(key).map(|(_, value)| value.clone()),
        };
        let changes = self.changes.since(from);
        let is_complete = changes.is_none();
        let records = match changes {
            Some(changes) => changes
                .into_iter()
                .map(|(at, key)| record(key, at))
                .collect(),
            None => self.entries().map(|(key, at, _)| record(key, at)).collect(),
        };
        Delta {
            from: if is_complete { 0 } else { from },
            to: self.end.max(from),
            is_complete,
            records,
        }
    }

    /// Returns removals of the entries that a listing lacks. An entry that is newer than the
    /// listing is not missing from it.
    fn removals(&self, end: u64, listed: &[Record<K, V>]) -> Vec<Record<K, V>> {
        let listed: HashSet<&K> = listed.iter().map(|record| &record.key).collect();
        let older = self.entries.iter().filter(|(_, (offset, _))| *offset < end);
        let missing = older.filter(|(key, _)| !listed.contains(key));
        let removal = |(key, _): (&K, _)| Record {
            key: key.clone(),
            offset: end - 1,
            value: None,
        };
        missing.map(removal).collect()
    }

    /// Applies records, of which a summary covers the log from an offset on; returns those that
    /// took effect.
    fn apply_all(
        &mut self,
        summary_from: Option<u64>,
        mut records: Vec<Record<K, V>>,
    ) -> Vec<Record<K, V>> {
        records.retain(|record| self.apply(summary_from, record));
        records
    }

    /// Applies a record; returns whether it took effect. A change is indexed even if it did not:
    /// another host may request the changes from here.
    fn apply(&mut self, summary_from: Option<u64>, record: &Record<K, V>) -> bool {
        let first = summary_from.unwrap_or(record.offset);
        self.changes
            .push_range(first, record.offset, record.key.clone());
        let newest = self.entries.get(&record.key).map(|(offset, _)| *offset);
        let is_older = match record.value {
            Some(_) => newest.is_some_and(|newest| newest >= record.offset),
            None => newest.is_some_and(|newest| newest > record.offset),
        };
        if is_older {
            return false;
        }
        match &record.value {
            Some(value) => {
                let entry = (record.offset, value.clone());
                self.entries.insert(record.key.clone(), entry);
            }
            None => {
                self.entries.remove(&record.key);
            }
        }
        true
    }
}
