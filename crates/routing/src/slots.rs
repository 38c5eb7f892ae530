//! Sharing of a target's slots between online and batch streams.
//!
//! The host that holds a target's lease sends all of its batch streams. Batch may use the target's
//! limit minus the online streams minus a reserve, and batch streams are cancelled as soon as
//! online streams need their slots. The reserve follows the largest recent increase in online
//! streams, so that another increase of this size requires no cancellation.
//!
//! ```
//! use std::time::Instant;
//! use notchwharf_routing::slots::{Config, Slots};
//!
//! let now = Instant::now();
//! let mut slots = Slots::new(Config { reserve_min: 1, ..Config::default() }, now);
//! assert_eq!(slots.available(8, now), 7);
//! for id in 0..7 { slots.begin(id, now); }
//! slots.set_online("a1", 3, now);
//! assert_eq!(slots.preempt(8, now).len(), 2);
//! ```
//!
//! A cancelled stream loses only time: its output is kept, and it is resumed later on any target.
//! The most recently started streams are cancelled first, since they have the least progress in
//! the target's cache.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// The identifier of a batch stream of a target.
pub type StreamId = u64;

/// Time for which the largest increase in online streams is remembered.
const INCREASE_WINDOW: Duration = Duration::from_secs(2);
/// Time after which the last report of a host expires.
const REPORT_TTL: Duration = Duration::from_secs(3);

/// Configuration of [`Slots`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Minimum number of slots reserved for online streams.
    pub reserve_min: u32,
    /// Maximum number of slots reserved for online streams.
    pub reserve_max: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            reserve_min: 1,
            reserve_max: 8,
        }
    }
}

/// The slots of one target.
///
/// Invariant: a stream runs from `begin` to `end`, at most once.
#[derive(Clone, Debug)]
pub struct Slots {
    cfg: Config,
    online: HashMap<String, (u32, Instant)>,
    running: BTreeMap<StreamId, Instant>,
    /// Lowest recent number of online streams.
    low: (u32, Instant),
    /// Largest recent increase in online streams.
    increase: (u32, Instant),
    exclusive: Option<StreamId>,
}

impl Slots {
    /// Returns slots without streams.
    pub fn new(cfg: Config, now: Instant) -> Self {
        Self {
            cfg,
            online: HashMap::new(),
            running: BTreeMap::new(),
            low: (0, now),
            increase: (0, now),
            exclusive: None,
        }
    }

    /// Sets the number of online streams of a host at the target.
    pub fn set_online(&mut self, host: &str, streams: u32, now: Instant) {
        let before = self.online_streams(now);
        self.online.insert(host.to_owned(), (streams, now));
        let after = self.online_streams(now);
        self.update_increase(before, after, now);
    }

    /// Returns the number of online streams at the target according to unexpired reports.
    pub fn online_streams(&self, now: Instant) -> u32 {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < REPORT_TTL;
        self.online
            .values()
            .filter(|(_, at)| is_fresh(*at))
            .map(|(streams, _)| streams)
            .sum()
    }

    /// Returns the number of running batch streams.
    pub fn batch_streams(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of batch streams that may be started now.
    pub fn available(&self, limit: u32, now: Instant) -> u32 {
        if self.exclusive.is_some() {
            return 0;
        }
        let unavailable = self.online_streams(now) + self.reserve(now) + self.batch_streams();
        limit.saturating_sub(unavailable)
    }

    /// Returns whether an item that requires exclusive batch use may be started now.
    pub fn can_start_exclusive(&self, limit: u32, now: Instant) -> bool {
        self.running.is_empty() && self.available(limit, now) > 0
    }

    /// Records the start of a batch stream.
    pub fn begin(&mut self, id: StreamId, now: Instant) {
        let before = self.running.insert(id, now);
        debug_assert!(before.is_none(), "A stream starts once.");
    }

    /// Records the start of a batch stream that excludes all other batch streams.
    pub fn begin_exclusive(&mut self, id: StreamId, now: Instant) {
        self.begin(id, now);
        self.exclusive = Some(id);
    }

    /// Records that a batch stream has ended or was cancelled.
    pub fn end(&mut self, id: StreamId) {
        self.running.remove(&id);
        if self.exclusive == Some(id) {
            self.exclusive = None;
        }
    }

    /// Returns the batch streams to cancel now, the most recently started first.
    ///
    /// Streams are not cancelled to restore the reserve: it is meant to be used, and is restored as
    /// batch streams end.
    pub fn preempt(&self, limit: u32, now: Instant) -> Vec<StreamId> {
        let excess = (self.online_streams(now) + self.batch_streams()).saturating_sub(limit);
        let mut streams: Vec<(Instant, StreamId)> =
            self.running.iter().map(|(id, at)| (*at, *id)).collect();
        streams.sort_unstable_by(|a, b| b.cmp(a));
        streams
            .into_iter()
            .take(excess as usize)
            .map(|(_, id)| id)
            .collect()
    }

    fn reserve(&self, now: Instant) -> u32 {
        let is_fresh = now.saturating_duration_since(self.increase.1) < INCREASE_WINDOW;
        let increase = if is_fresh { self.increase.0 } else { 0 };
        // Slots already taken since the lowest count need not be reserved again.
        let rest = increase.saturating_sub(self.online_streams(now).saturating_sub(self.low.0));
        rest.clamp(self.cfg.reserve_min, self.cfg.reserve_max)
    }

    fn update_increase(&mut self, before: u32, after: u32, now: Instant) {
        let is_low_expired = now.saturating_duration_since(self.low.1) >= INCREASE_WINDOW;
        if after < self.low.0 || is_low_expired {
            self.low = (after.min(before), now);
        }
        let increase = after.saturating_sub(self.low.0);
        let is_expired = now.saturating_duration_since(self.increase.1) >= INCREASE_WINDOW;
        if increase >= self.increase.0 || is_expired {
            self.increase = (increase, now);
        }
    }
}
