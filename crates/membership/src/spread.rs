//! Facts still to be told, and how often each was told.
//!
//! This exists so that a change costs each host a few sends and then nothing:
//! telling everything in each message was rejected, since at 360 hosts and
//! 1,400 targets it alone would exceed the allowance of 2 KB a second.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::fact::Fact;
use crate::fact::Key;

/// Sends of a fact by each host beyond one for each doubling of the number of
/// hosts. What is lost all the same is found by comparing digests.
const SENDS_EXTRA: u32 = 2;
/// Facts looked at for one datagram.
const LOOKED_AT_MAX: usize = 64;

/// Facts known, and how often each is still to be told.
#[derive(Debug, Default)]
pub(crate) struct Spread {
    facts: BTreeMap<Key, Fact>,
    fresh: BTreeMap<Key, u32>,
    /// The same, the least told first.
    order: BTreeSet<(u32, Key)>,
    hosts: usize,
    digest: u64,
}

impl Spread {
    pub(crate) fn facts(&self) -> impl Iterator<Item = &Fact> {
        self.facts.values()
    }

    pub(crate) fn get(&self, key: &Key) -> Option<&Fact> {
        self.facts.get(key)
    }

    pub(crate) fn has_fresh(&self) -> bool {
        !self.fresh.is_empty()
    }

    /// Merges a fact in; returns whether it was news.
    pub(crate) fn merge(&mut self, fact: Fact) -> bool {
        let key = fact.key();
        let before = self.facts.get(&key).map_or(0, hash_of);
        let news = match self.facts.get_mut(&key) {
            Some(known) => known.merge(&fact),
            None => {
                self.hosts += usize::from(matches!(fact, Fact::Host(..)));
                self.facts.insert(key.clone(), fact);
                true
            }
        };
        let after = self.facts.get(&key).map_or(0, hash_of);
        // The sum of hashes does not depend on the order of arrival.
        self.digest = self.digest.wrapping_sub(before).wrapping_add(after);
        if news {
            self.set_sent(key, Some(0));
        }
        news
    }

    /// Returns facts to tell that fit in `max` bytes, the least told first.
    pub(crate) fn pick(&mut self, max: usize) -> Vec<Fact> {
        let limit = SENDS_EXTRA + (usize::BITS - self.hosts.leading_zeros());
        let first: Vec<(u32, Key)> = self.order.iter().take(LOOKED_AT_MAX).cloned().collect();
        let mut left = max;
        let mut picked = Vec::new();
        for (sent, key) in first {
            let Some(fact) = self.facts.get(&key) else {
                continue;
            };
            let len = encoded_len(fact);
            if len > left {
                continue;
            }
            left -= len;
            picked.push(fact.clone());
            let again = (sent + 1 < limit).then_some(sent + 1);
            self.set_sent(key, again);
        }
        picked
    }

    fn set_sent(&mut self, key: Key, sent: Option<u32>) {
        let before = match sent {
            Some(sent) => self.fresh.insert(key.clone(), sent),
            None => self.fresh.remove(&key),
        };
        if let Some(before) = before {
            self.order.remove(&(before, key.clone()));
        }
        if let Some(sent) = sent {
            self.order.insert((sent, key));
        }
    }

    /// Returns a number that two hosts share when they know the same.
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
