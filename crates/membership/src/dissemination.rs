//! Known facts and the number of times each pending fact has been sent.
//!
//! This exists so that a change costs each host a few sends and nothing afterwards. Sending
//! all facts in every message was rejected: at 360 hosts and 1,400 targets that alone would
//! exceed the budget of 2 KB per second.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::fact::Fact;
use crate::fact::Key;

/// Number of times that each host sends a fact, in addition to one for each doubling of the
/// number of hosts. Facts that are lost nevertheless are detected by comparing digests.
const SENDS_EXTRA: u32 = 2;
/// Facts considered for one datagram.
const CANDIDATES_MAX: usize = 64;

/// Known facts, and the number of times each pending fact has been sent.
#[derive(Debug, Default)]
pub(crate) struct Dissemination {
    facts: BTreeMap<Key, Fact>,
    pending: BTreeMap<Key, u32>,
    /// The pending facts, ordered by the number of sends.
    by_sends: BTreeSet<(u32, Key)>,
    host_count: usize,
    digest: u64,
}

impl Dissemination {
    pub(crate) fn facts(&self) -> impl Iterator<Item = &Fact> {
        self.facts.values()
    }

    pub(crate) fn get(&self, key: &Key) -> Option<&Fact> {
        self.facts.get(key)
    }

    pub(crate) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Merges a fact; returns whether this changed anything.
    pub(crate) fn merge(&mut self, fact: Fact) -> bool {
        let key = fact.key();
        let before = self.facts.get(&key).map_or(0, hash_of);
        let is_changed = match self.facts.get_mut(&key) {
            Some(known) => known.merge(&fact),
            None => {
                self.host_count += usize::from(matches!(fact, Fact::Host(..)));
                self.facts.insert(key.clone(), fact);
                true
            }
        };
        let after = self.facts.get(&key).map_or(0, hash_of);
        // The sum of the hashes does not depend on the order of arrival.
        self.digest = self.digest.wrapping_sub(before).wrapping_add(after);
        if is_changed {
            self.set_sends(key, Some(0));
        }
        is_changed
    }

    /// Returns pending facts that fit in `max` bytes, those with the fewest sends first.
    pub(crate) fn select(&mut self, max: usize) -> Vec<Fact> {
        let limit = SENDS_EXTRA + (usize::BITS - self.host_count.leading_zeros());
        let candidates: Vec<(u32, Key)> =
            self.by_sends.iter().take(CANDIDATES_MAX).cloned().collect();
        let mut left = max;
        let mut selected = Vec::new();
        for (sends, key) in candidates {
            let Some(fact) = self.facts.get(&key) else {
                continue;
            };
            let len = encoded_len(fact);
            if len > left {
                continue;
            }
            left -= len;
            selected.push(fact.clone());
            let next = (sends + 1 < limit).then_some(sends + 1);
            self.set_sends(key, next);
        }
        selected
    }

    fn set_sends(&mut self, key: Key, sends: Option<u32>) {
        let before = match sends {
            Some(sends) => self.pending.insert(key.clone(), sends),
            None => self.pending.remove(&key),
        };
        if let Some(before) = before {
            self.by_sends.remove(&(before, key.clone()));
        }
        if let Some(sends) = sends {
            self.by_sends.insert((sends, key));
        }
    }

    /// Returns a digest that is equal on two hosts that know the same facts.
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }
}

pub(crate) fn encoded_len(fact: &Fact) -> usize {
    postcard::to_stdvec(fact).map_or(usize::MAX, |bytes| bytes.len())
}

fn hash_of(fact: &Fact) -> u64 {
    let bytes = postcard::to_stdvec(fact).unwrap_or_default();
    xxhash_rust::xxh3::xxh3_64(&bytes)
}
