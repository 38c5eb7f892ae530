//! How much batch work a target is given beside online work.
//!
//! The one host that holds a target's lease sends all its batch work. It gives
//! batch the target's limit less online streams less a reserve, and takes
//! streams back the moment online work needs them. The reserve follows the
//! largest recent jump in online streams, so that the next such jump finds
//! room before any stream is cancelled.
//!
//! ```
//! use std::time::Instant;
//! use notchwharf_routing::slots::{Config, Slots};
//!
//! let now = Instant::now();
//! let mut slots = Slots::new(Config { reserve_min: 1, ..Config::default() }, now);
//! assert_eq!(slots.room(8, now), 7);
//! for id in 0..7 { slots.started(id, now); }
//! slots.online("a1", 3, now);
//! assert_eq!(slots.preempt(8, now).len(), 2);
//! ```
//!
//! A cancelled stream loses only time: what it generated is kept and it is
//! resumed later, here or elsewhere. The youngest are cancelled first, for
//! they have the least progress in the target's cache.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// What identifies a batch stream of a target.
pub type StreamId = u64;

/// Time over which jumps are remembered.
const JUMP_WINDOW: Duration = Duration::from_secs(2);
/// Time after which a host that said nothing counts for nothing.
const REPORT_FRESH: Duration = Duration::from_secs(3);

/// How slots are shared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Slots always left free for online work.
    pub reserve_min: u32,
    /// The most that the reserve may grow to.
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
/// Invariant: a stream is running from `started` to `ended`, once.
#[derive(Clone, Debug)]
pub struct Slots {
    cfg: Config,
    online: HashMap<String, (u32, Instant)>,
    running: BTreeMap<StreamId, Instant>,
    low: (u32, Instant),
    jump: (u32, Instant),
    alone: Option<StreamId>,
}

impl Slots {
    /// Returns slots without streams.
    pub fn new(cfg: Config, now: Instant) -> Self {
        Self {
            cfg,
            online: HashMap::new(),
            running: BTreeMap::new(),
            low: (0, now),
            jump: (0, now),
            alone: None,
        }
    }

    /// Takes in how many online streams a host has open at the target.
    pub fn set_online(&mut self, host: &str, streams: u32, now: Instant) {
        let before = self.online_streams(now);
        self.online.insert(host.to_owned(), (streams, now));
        let after = self.online_streams(now);
        self.follow_jump(before, after, now);
    }

    /// Returns the online streams at the target, as far as hosts told.
    pub fn online_streams(&self, now: Instant) -> u32 {
        let fresh = |at: Instant| now.saturating_duration_since(at) < REPORT_FRESH;
        self.online
            .values()
            .filter(|(_, at)| fresh(*at))
            .map(|(streams, _)| streams)
            .sum()
    }

    /// Returns the batch streams running.
    pub fn batch_streams(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Returns how many batch streams may be started now.
    pub fn available(&self, limit: u32, now: Instant) -> u32 {
        if self.alone.is_some() {
            return 0;
        }
        let taken = self.online_streams(now) + self.reserve(now) + self.batch_streams();
        limit.saturating_sub(taken)
    }

    /// Returns whether an item that must run alone may be started now.
    pub fn can_start_exclusive(&self, limit: u32, now: Instant) -> bool {
        self.running.is_empty() && self.available(limit, now) > 0
    }

    /// Notes that a batch stream was started.
    pub fn begin(&mut self, id: StreamId, now: Instant) {
        let before = self.running.insert(id, now);
        debug_assert!(before.is_none(), "A stream starts once.");
    }

    /// Notes that a batch stream was started that must run alone.
    pub fn begin_exclusive(&mut self, id: StreamId, now: Instant) {
        self.begin(id, now);
        self.alone = Some(id);
    }

    /// Notes that a batch stream has ended or was cancelled.
    pub fn end(&mut self, id: StreamId) {
        self.running.remove(&id);
        if self.alone == Some(id) {
            self.alone = None;
        }
    }

    /// Returns the batch streams to cancel now, the youngest first.
    ///
    /// The reserve is not defended by cancelling: it is there to be used, and
    /// is full again as batch streams end.
    pub fn preempt(&self, limit: u32, now: Instant) -> Vec<StreamId> {
        let over = (self.online_streams(now) + self.batch_streams()).saturating_sub(limit);
        let mut streams: Vec<(Instant, StreamId)> =
            self.running.iter().map(|(id, at)| (*at, *id)).collect();
        streams.sort_unstable_by(|a, b| b.cmp(a));
        streams
            .into_iter()
            .take(over as usize)
            .map(|(_, id)| id)
            .collect()
    }

    fn reserve(&self, now: Instant) -> u32 {
        let fresh = now.saturating_duration_since(self.jump.1) < JUMP_WINDOW;
        let jump = if fresh { self.jump.0 } else { 0 };
        // What a jump has taken already need not be reserved again.
        let still = jump.saturating_sub(self.online_streams(now).saturating_sub(self.low.0));
        still.clamp(self.cfg.reserve_min, self.cfg.reserve_max)
    }

    fn follow_jump(&mut self, before: u32, after: u32, now: Instant) {
        let stale = now.saturating_duration_since(self.low.1) >= JUMP_WINDOW;
        if after < self.low.0 || stale {
            self.low = (after.min(before), now);
        }
        let jump = after.saturating_sub(self.low.0);
        let old = now.saturating_duration_since(self.jump.1) >= JUMP_WINDOW;
        if jump >= self.jump.0 || old {
            self.jump = (jump, now);
        }
    }
}
