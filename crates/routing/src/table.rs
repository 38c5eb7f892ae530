//! Routing table: selects the target of an online request.
//!
//! A request is routed by prompt prefix to the target that has processed this prefix before, unless
//! that target's load is much higher than the mean (rendezvous hashing with bounded loads);
//! otherwise to the less loaded of two random targets. Only targets that report exactly the
//! configured model, adapter and version are considered.
//!
//! ```
//! use std::time::Instant;
//! use notchwharf_routing::table::{Config, Report, Table};
//!
//! let now = Instant::now();
//! let mut table = Table::new(Config::default(), 7);
//! table.upsert("t1", Report { is_for_online: true, models: vec!["tutor/-/3".into()], ..Report::default() }, now);
//! let chosen = table.choose("tutor/-/3", 99, &[], now).unwrap();
//! assert_eq!(chosen, "t1");
//! ```
//!
//! A host knows its own streams exactly, and those of other hosts with a delay, from the load that
//! targets report with their responses. Therefore it compares two random targets rather than
//! choosing the least loaded one: hosts that see the same stale minimum would all choose it.

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

/// Time after which the load reported by a target expires.
const REPORTED_LOAD_TTL: Duration = Duration::from_secs(1);
/// Duration of the first ejection after a failure.
const EJECTION_MIN: Duration = Duration::from_millis(500);
/// Maximum duration of an ejection after repeated failures.
const EJECTION_MAX: Duration = Duration::from_secs(10);
/// Retry delay if no target serves the model or all are full.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Configuration of a [`Table`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Latency objectives of the concurrency limits.
    pub objectives: Objectives,
    /// Maximum number of concurrent streams per target.
    pub streams_max: u32,
    /// Maximum load of the target preferred by prefix, as a percentage of the mean load.
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

/// The reported state of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The incarnation of the target.
    pub incarnation: u64,
    /// Whether it is shutting down and must not receive new requests.
    pub is_leaving: bool,
    /// Whether it serves online requests.
    pub is_for_online: bool,
    /// Whether it serves batch items.
    pub is_for_batch: bool,
    /// Fingerprints (model, adapter, version) of the models that it serves.
    pub models: Vec<String>,
}

/// Why no target was chosen. The request was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No target serves the model.
    NoTarget {
        /// Time after which to retry.
        retry_after: Duration,
    },
    /// Every target that serves the model is full.
    Full {
        /// Time after which to retry.
        retry_after: Duration,
    },
}

#[derive(Debug)]
struct Target {
    id: TargetId,
    report: Report,
    hash: u64,
    /// Streams of this host.
    own: u32,
    /// Last load reported by the target.
    reported: Option<(u32, Instant)>,
    limit: Limit,
    ejected_until: Option<Instant>,
    /// Duration of the next ejection.
    ejection: Duration,
}

/// The targets and their load as known to one host.
#[derive(Debug)]
pub struct Table {
    cfg: Config,
    /// Targets are identified by index, so that a choice hashes no names.
    targets: Vec<Target>,
    indices_by_id: HashMap<TargetId, usize>,
    targets_by_model: HashMap<String, Vec<usize>>,
    rng: ChaCha8Rng,
}

impl Table {
    /// Returns a table without targets.
    pub fn new(cfg: Config, seed: u64) -> Self {
        Self {
            cfg,
            targets: Vec::new(),
            indices_by_id: HashMap::new(),
            targets_by_model: HashMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Adds a target or replaces its reported state.
    pub fn upsert(&mut self, id: &str, report: Report, now: Instant) {
        let index = self.index_or_insert(id, now);
        let target = &mut self.targets[index];
        if report.incarnation != target.report.incarnation {
            target.ejected_until = None;
            target.ejection = EJECTION_MIN;
        }
        if target.report.models != report.models {
            for model in &target.report.models {
                if let Some(indices) = self.targets_by_model.get_mut(model) {
                    indices.retain(|other| *other != index);
                }
            }
            for model in &report.models {
                let indices = self.targets_by_model.entry(model.clone()).or_default();
                indices.push(index);
            }
        }
        target.report = report;
    }

    fn index_or_insert(&mut self, id: &str, now: Instant) -> usize {
        if let Some(index) = self.indices_by_id.get(id) {
            return *index;
        }
        let index = self.targets.len();
        self.targets.push(Target {
            id: id.to_owned(),
            report: Report::default(),
            hash: xxh3_64_with_seed(id.as_bytes(), 0),
            own: 0,
            reported: None,
            limit: Limit::new(self.cfg.objectives, self.cfg.streams_max, now),
            ejected_until: None,
            ejection: EJECTION_MIN,
        });
        self.indices_by_id.insert(id.to_owned(), index);
        index
    }

    fn get(&self, id: &str) -> Option<&Target> {
        self.targets.get(*self.indices_by_id.get(id)?)
    }

    fn get_mut(&mut self, id: &str) -> Option<&mut Target> {
        self.targets.get_mut(*self.indices_by_id.get(id)?)
    }

    /// Returns whether a target may receive new online requests.
    pub fn is_available(&self, id: &str, now: Instant) -> bool {
        self.get(id).is_some_and(|t| t.is_available(now))
    }

    /// Returns whether any target that is not shutting down serves a model.
    pub fn is_served(&self, model: &str) -> bool {
        let indices = self.targets_by_model.get(model);
        indices.is_some_and(|indices| {
            indices
                .iter()
                .any(|index| !self.targets[*index].report.is_leaving)
        })
    }

    /// Returns the concurrency limit of a target.
    pub fn limit(&self, id: &str) -> u32 {
        let target = self.get(id);
        target.map_or(self.cfg.streams_max, |t| t.limit.streams())
    }

    /// Returns the targets at which this host has open streams.
    pub fn targets_in_use(&self) -> Vec<TargetId> {
        let in_use = self.targets.iter().filter(|t| t.own > 0);
        in_use.map(|t| t.id.clone()).collect()
    }

    /// Returns the number of open streams of this host at a target.
    pub fn own_streams(&self, id: &str) -> u32 {
        self.get(id).map_or(0, |t| t.own)
    }

    /// Returns the target for a request.
    ///
    /// `prefix` is a hash of the prompt prefix; targets in `tried` are excluded.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if no target is available.
    pub fn choose(
        &mut self,
        model: &str,
        prefix: u64,
        tried: &[TargetId],
        now: Instant,
    ) -> Result<TargetId, Refusal> {
        let none = Refusal::NoTarget {
            retry_after: RETRY_AFTER,
        };
        let indices = self.targets_by_model.get(model).ok_or(none)?;
        let mut candidates = Vec::with_capacity(indices.len());
        let mut load = 0_u32;
        let mut best: Option<(u64, usize)> = None;
        for index in indices {
            let target = &self.targets[*index];
            if !target.is_available(now) || tried.contains(&target.id) {
                continue;
            }
            let score = target.hash ^ prefix;
            let score = score.wrapping_mul(0x9E37_79B9_7F4A_7C15);
            let score = score ^ (score >> 32);
            if best.is_none_or(|(top, _)| score > top) {
                best = Some((score, candidates.len()));
            }
            let streams = target.load(now);
            load += streams;
            candidates.push((&target.id, streams, target.limit.streams()));
        }
        let Some((_, best)) = best else {
            return Err(none);
        };
        let count = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
        let bound = (load + 1) * self.cfg.affinity_load_percent / 100 / count + 1;
        let (id, streams, limit) = candidates[best];
        if streams < bound && streams < limit {
            return Ok(id.clone());
        }
        let a = self.rng.random_range(0..candidates.len());
        let b = self.rng.random_range(0..candidates.len());
        let (id, streams, limit) = if candidates[a].1 <= candidates[b].1 {
            candidates[a]
        } else {
            candidates[b]
        };
        if streams < limit {
            return Ok(id.clone());
        }
        let free = candidates
            .iter()
            .find(|(_, streams, limit)| streams < limit);
        free.map(|(id, _, _)| (*id).clone()).ok_or(Refusal::Full {
            retry_after: RETRY_AFTER,
        })
    }

    /// Records the start of a request at a target.
    pub fn begin(&mut self, id: &str) {
        if let Some(target) = self.get_mut(id) {
            target.own += 1;
        }
    }

    /// Records the end of a request at a target.
    pub fn end(&mut self, id: &str) {
        if let Some(target) = self.get_mut(id) {
            target.own = target.own.saturating_sub(1);
        }
    }

    /// Sets the number of streams that a target reported with a response.
    pub fn set_reported_streams(&mut self, id: &str, streams: u32, now: Instant) {
        if let Some(target) = self.get_mut(id) {
            target.reported = Some((streams, now));
        }
    }

    /// Records a time to the first token.
    pub fn record_first_token(&mut self, id: &str, took: Duration, now: Instant) {
        if let Some(target) = self.get_mut(id) {
            let running = target.load(now);
            target.limit.record_first_token(took, running, now);
            target.ejection = EJECTION_MIN;
        }
    }

    /// Records a time between two tokens.
    pub fn record_inter_token(&mut self, id: &str, took: Duration, now: Instant) {
        if let Some(target) = self.get_mut(id) {
            let running = target.load(now);
            target.limit.record_inter_token(took, running, now);
        }
    }

    /// Records a failure of a target, which ejects it temporarily.
    pub fn record_failure(&mut self, id: &str, now: Instant) {
        if let Some(target) = self.get_mut(id) {
            target.ejected_until = Some(now + target.ejection);
            target.ejection = (target.ejection * 2).min(EJECTION_MAX);
        }
    }
}

impl Target {
    fn is_available(&self, now: Instant) -> bool {
        let is_ejected = self.ejected_until.is_some_and(|until| now < until);
        !self.report.is_leaving && self.report.is_for_online && !is_ejected
    }

    fn load(&self, now: Instant) -> u32 {
        let is_fresh = |at: Instant| now.duration_since(at) < REPORTED_LOAD_TTL;
        let reported = self.reported.filter(|(_, at)| is_fresh(*at));
        reported.map_or(self.own, |(streams, _)| streams.max(self.own))
    }
}
