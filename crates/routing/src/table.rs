//! Which target gets an online request.
//!
//! A request goes where its prompt's beginning was seen before, as long as
//! that target is not much busier than the rest (bounded load); otherwise to
//! the less busy of two drawn by chance. Only targets that report exactly the
//! model, adapter and version in force are considered.
//!
//! ```
//! use std::time::Instant;
//! use notchwharf_routing::table::{Config, Report, Table};
//!
//! let now = Instant::now();
//! let mut table = Table::new(Config::default(), 7);
//! table.upsert("t1", Report { online: true, holds: vec!["tutor/-/3".into()], ..Report::default() }, now);
//! let chosen = table.choose("tutor/-/3", 99, &[], now).unwrap();
//! assert_eq!(chosen, "t1");
//! ```
//!
//! The host sees its own streams exactly and those of others late, by what
//! targets tell with their answers. That is why two are compared rather than
//! the least busy of all taken: hosts that all see the same stale minimum
//! would all send there.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::limit::Limit;
use crate::limit::Objectives;

/// The name of a target.
pub type TargetId = String;

/// Time for which what a target told of its load counts.
const TOLD_FRESH: Duration = Duration::from_secs(1);
/// First pause after a target failed.
const EJECT_MIN: Duration = Duration::from_millis(500);
/// Longest pause after a target failed again and again.
const EJECT_MAX: Duration = Duration::from_secs(10);
/// When to come back if nothing holds the serving or all are full.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How the table behaves.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Objectives that limits follow.
    pub objectives: Objectives,
    /// Streams that a target is given at most.
    pub streams_max: u32,
    /// How much busier than the mean a target with the prefix may be, in
    /// percent.
    pub affinity_load_percent: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            objectives: Objectives {
                first_token: Duration::from_millis(750),
                inter_token: Duration::from_millis(26),
            },
            streams_max: 32,
            affinity_load_percent: 125,
        }
    }
}

/// What is known of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The target's incarnation.
    pub incarnation: u64,
    /// Whether it must get nothing new.
    pub is_leaving: bool,
    /// Whether it serves online work.
    pub is_for_online: bool,
    /// Whether it serves batch work.
    pub is_for_batch: bool,
    /// Fingerprints of what it can serve.
    pub models: Vec<String>,
}

/// Why no target was chosen; nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No target holds the serving.
    NoTarget {
        /// When to come back.
        retry_after: Duration,
    },
    /// Every target that holds it is full.
    Full {
        /// When to come back.
        retry_after: Duration,
    },
}

#[derive(Debug)]
struct Target {
    id: TargetId,
    report: Report,
    hash: u64,
    own: u32,
    told: Option<(u32, Instant)>,
    limit: Limit,
    ejected_until: Option<Instant>,
    pause: Duration,
}

/// Targets as one host sees them.
#[derive(Debug)]
pub struct Table {
    cfg: Config,
    /// Targets are numbered, so that a choice hashes no name.
    targets: Vec<Target>,
    numbers: HashMap<TargetId, usize>,
    holders: HashMap<String, Vec<usize>>,
    rng: ChaCha8Rng,
}

impl Table {
    /// Returns a table without targets.
    pub fn new(cfg: Config, seed: u64) -> Self {
        Self {
            cfg,
            targets: Vec::new(),
            numbers: HashMap::new(),
            holders: HashMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes in what is known of a target.
    pub fn upsert(&mut self, id: &str, report: Report, now: Instant) {
        let number = self.number(id, now);
        let target = &mut self.targets[number];
        if report.incarnation != target.report.incarnation {
            target.ejected_until = None;
            target.pause = EJECT_MIN;
        }
        if target.report.models != report.models {
            for held in &target.report.models {
                if let Some(ids) = self.holders.get_mut(held) {
                    ids.retain(|known| *known != number);
                }
            }
            for held in &report.models {
                let ids = self.holders.entry(held.clone()).or_default();
                ids.push(number);
            }
        }
        target.report = report;
    }

    fn number(&mut self, id: &str, now: Instant) -> usize {
        if let Some(number) = self.numbers.get(id) {
            return *number;
        }
        let number = self.targets.len();
        self.targets.push(Target {
            id: id.to_owned(),
            report: Report::default(),
            hash: xxh3_64_with_seed(id.as_bytes(), 0),
            own: 0,
            told: None,
            limit: Limit::new(self.cfg.objectives, self.cfg.streams_max, now),
            ejected_until: None,
            pause: EJECT_MIN,
        });
        self.numbers.insert(id.to_owned(), number);
        number
    }

    fn get(&self, id: &str) -> Option<&Target> {
        self.targets.get(*self.numbers.get(id)?)
    }

    fn get_mut(&mut self, id: &str) -> Option<&mut Target> {
        self.targets.get_mut(*self.numbers.get(id)?)
    }

    /// Returns whether a target may be given new online work.
    pub fn is_available(&self, id: &str, now: Instant) -> bool {
        self.get(id).is_some_and(|t| t.is_available(now))
    }

    /// Returns whether any target that is not leaving holds a fingerprint.
    pub fn is_served(&self, fingerprint: &str) -> bool {
        let ids = self.holders.get(fingerprint);
        ids.is_some_and(|ids| ids.iter().any(|id| !self.targets[*id].report.is_leaving))
    }

    /// Returns the limit on streams of a target.
    pub fn limit(&self, id: &str) -> u32 {
        let target = self.get(id);
        target.map_or(self.cfg.streams_max, |t| t.limit.streams())
    }

    /// Returns the targets at which this host has streams open.
    pub fn targets_in_use(&self) -> Vec<TargetId> {
        let busy = self.targets.iter().filter(|t| t.own > 0);
        busy.map(|t| t.id.clone()).collect()
    }

    /// Returns the streams that this host has open at a target.
    pub fn own_streams(&self, id: &str) -> u32 {
        self.get(id).map_or(0, |t| t.own)
    }

    /// Returns the target for a request.
    ///
    /// `prefix` is a hash of the prompt's beginning, and `tried` are targets
    /// not to be taken again.
    ///
    /// # Errors
    ///
    /// Returns why there is none; the request was not sent.
    pub fn choose(
        &mut self,
        fingerprint: &str,
        prefix: u64,
        tried: &[TargetId],
        now: Instant,
    ) -> Result<TargetId, Refusal> {
        let none = Refusal::NoTarget {
            retry_after: RETRY_AFTER,
        };
        let ids = self.holders.get(fingerprint).ok_or(none)?;
        let mut open = Vec::with_capacity(ids.len());
        let mut load = 0_u32;
        let mut best: Option<(u64, usize)> = None;
        for number in ids {
            let target = &self.targets[*number];
            if !target.is_available(now) || tried.contains(&target.id) {
                continue;
            }
            let score = target.hash ^ prefix;
            let score = score.wrapping_mul(0x9E37_79B9_7F4A_7C15);
            let score = score ^ (score >> 32);
            if best.is_none_or(|(top, _)| score > top) {
                best = Some((score, open.len()));
            }
            let busy = target.load(now);
            load += busy;
            open.push((&target.id, busy, target.limit.streams()));
        }
        let Some((_, best)) = best else {
            return Err(none);
        };
        let count = u32::try_from(open.len()).unwrap_or(u32::MAX);
        let bound = (load + 1) * self.cfg.affinity_load_percent / 100 / count + 1;
        let (id, busy, limit) = open[best];
        if busy < bound && busy < limit {
            return Ok(id.clone());
        }
        let a = self.rng.random_range(0..open.len());
        let b = self.rng.random_range(0..open.len());
        let (id, busy, limit) = if open[a].1 <= open[b].1 {
            open[a]
        } else {
            open[b]
        };
        if busy < limit {
            return Ok(id.clone());
        }
        let free = open.iter().find(|(_, busy, limit)| busy < limit);
        free.map(|(id, _, _)| (*id).clone()).ok_or(Refusal::Full {
            retry_after: RETRY_AFTER,
        })
    }

    /// Notes that a request goes to a target.
    pub fn begin(&mut self, id: &str) {
        if let Some(target) = self.get_mut(id) {
            target.own += 1;
        }
    }

    /// Notes that a request to a target has ended.
    pub fn end(&mut self, id: &str) {
        if let Some(target) = self.get_mut(id) {
            target.own = target.own.saturating_sub(1);
        }
    }

    /// Notes the load that a target told with an answer.
    pub fn set_reported_streams(&mut self, id: &str, streams: u32, now: Instant) {
        if let Some(target) = self.get_mut(id) {
            target.told = Some((streams, now));
        }
    }

    /// Notes a time to the first token.
    pub fn record_first_token(&mut self, id: &str, took: Duration, now: Instant) {
        if let Some(target) = self.get_mut(id) {
            let running = target.load(now);
            target.limit.record_first_token(took, running, now);
            target.pause = EJECT_MIN;
        }
    }

    /// Notes a time between tokens.
    pub fn record_inter_token(&mut self, id: &str, took: Duration, now: Instant) {
        if let Some(target) = self.get_mut(id) {
            let running = target.load(now);
            target.limit.record_inter_token(took, running, now);
        }
    }

    /// Notes that a target failed; it gets nothing for a while.
    pub fn record_failure(&mut self, id: &str, now: Instant) {
        if let Some(target) = self.get_mut(id) {
            target.ejected_until = Some(now + target.pause);
            target.pause = (target.pause * 2).min(EJECT_MAX);
        }
    }
}

impl Target {
    fn is_available(&self, now: Instant) -> bool {
        let ejected = self.ejected_until.is_some_and(|until| now < until);
        !self.report.is_leaving && self.report.is_for_online && !ejected
    }

    fn load(&self, now: Instant) -> u32 {
        let fresh = |at: Instant| now.duration_since(at) < TOLD_FRESH;
        let told = self.told.filter(|(_, at)| fresh(*at));
        told.map_or(self.own, |(streams, _)| streams.max(self.own))
    }
}
