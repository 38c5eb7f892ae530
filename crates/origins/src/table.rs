//! The origins that a host knows, by the hash of the request that began the stream.
//!
//! The table holds hashes rather than ids, so that an entry has a fixed size whatever callers
//! send. It is bounded: beyond the limit the entry that expires first is evicted, and its stream
//! can no longer be resumed. Evicting an arbitrary entry was rejected, since the one that
//! expires first is the least likely to be asked for.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_128;

/// Identifies a stream: a hash of the request that brought its first event.
pub type StreamKey = u128;

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Origin {
    /// The service.
    pub service: String,
    /// The version of the target's software.
    pub version: String,
}

/// Returns the key of the stream that a request began.
///
/// It covers the caller's workspace, if callers are identified, and the host name that the
/// request names, so that an id names no stream of another workspace.
pub fn key(workspace: Option<&str>, host: &str, request: &str) -> StreamKey {
    let mut bytes = Vec::with_capacity(host.len() + request.len() + 32);
    bytes.push(workspace.is_some().into());
    for part in [workspace.unwrap_or_default(), host, request] {
        // The length prefix keeps the boundaries between parts unambiguous.
        bytes.extend((part.len() as u64).to_be_bytes());
        bytes.extend(part.as_bytes());
    }
    xxh3_128(&bytes)
}

/// What a table knows of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// Its origin.
    Known {
        /// The origin.
        origin: Arc<Origin>,
        /// When it was first recorded here.
        recorded_at: Instant,
    },
    /// Its id was used for streams of several origins.
    Conflicting,
    /// There is no record of it.
    Unknown,
}

#[derive(Debug)]
struct Entry {
    /// `None` if records of the stream disagree.
    origin: Option<Arc<Origin>>,
    recorded_at: Instant,
    expires_at: Instant,
}

/// The origins of streams known to a host.
#[derive(Debug)]
pub struct Origins {
    entries_max: usize,
    entries: HashMap<StreamKey, Entry>,
    by_expiry: BTreeSet<(Instant, StreamKey)>,
    /// Each distinct origin once; there are few, and many streams of each.
    interned: HashSet<Arc<Origin>>,
    evicted: u64,
}

impl Origins {
    /// Returns an empty table of at most `entries_max` streams.
    pub fn new(entries_max: usize) -> Self {
        Self {
            entries_max,
            entries: HashMap::new(),
            by_expiry: BTreeSet::new(),
            interned: HashSet::new(),
            evicted: 0,
        }
    }

    /// Records the origin of a stream until a time, or the later one if it is known already.
    /// Records that disagree make the stream's origin unknowable for as long.
    pub fn record(&mut self, key: StreamKey, origin: &Origin, expires_at: Instant, now: Instant) {
        self.expire(now);
        let origin = self.intern(origin);
        let Some(entry) = self.entries.get_mut(&key) else {
            return self.insert(key, origin, expires_at, now);
        };
        if entry.origin.as_ref().is_some_and(|known| *known != origin) {
            entry.origin = None;
        }
        if expires_at > entry.expires_at {
            self.by_expiry.remove(&(entry.expires_at, key));
            self.by_expiry.insert((expires_at, key));
            entry.expires_at = expires_at;
        }
    }

    /// Returns what is known of a stream.
    pub fn get(&self, key: StreamKey, now: Instant) -> Lookup {
        let entry = self.entries.get(&key).filter(|e| now < e.expires_at);
        let Some(entry) = entry else {
            return Lookup::Unknown;
        };
        match &entry.origin {
            Some(origin) => Lookup::Known {
                origin: Arc::clone(origin),
                recorded_at: entry.recorded_at,
            },
            None => Lookup::Conflicting,
        }
    }

    /// Returns the origin of a stream and when its record expires.
    pub fn expiring(&self, key: StreamKey) -> Option<(Arc<Origin>, Instant)> {
        let entry = self.entries.get(&key)?;
        Some((entry.origin.clone()?, entry.expires_at))
    }

    /// Removes the records that have expired.
    pub fn expire(&mut self, now: Instant) {
        while let Some((expires_at, key)) = self.by_expiry.first().copied() {
            if expires_at > now {
                break;
            }
            self.by_expiry.remove(&(expires_at, key));
            self.entries.remove(&key);
        }
        self.interned.retain(|origin| Arc::strong_count(origin) > 1);
    }

    /// Returns the number of records, including expired ones that have not been removed.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns how many records were evicted before they expired.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    fn insert(&mut self, key: StreamKey, origin: Arc<Origin>, expires_at: Instant, now: Instant) {
        if self.entries.len() >= self.entries_max
            && let Some((_, first)) = self.by_expiry.pop_first()
        {
            self.entries.remove(&first);
            self.evicted += 1;
        }
        self.by_expiry.insert((expires_at, key));
        let entry = Entry {
            origin: Some(origin),
            recorded_at: now,
            expires_at,
        };
        self.entries.insert(key, entry);
    }

    fn intern(&mut self, origin: &Origin) -> Arc<Origin> {
        if let Some(known) = self.interned.get(origin) {
            return Arc::clone(known);
        }
        let origin = Arc::new(origin.clone());
        self.interned.insert(Arc::clone(&origin));
        origin
    }
}
