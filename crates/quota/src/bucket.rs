//! A bucket of requests that may still go.

use std::time::Duration;
use std::time::Instant;

use crate::limit::BucketParams;

/// What one request takes. A little less than one counts as one: sums of parts are
/// not exact.
const ONE: f64 = 1.0 - 1e-9;
/// The longest time that is named for a bucket that hardly fills.
const WAIT_MAX: Duration = Duration::from_secs(60);
/// The latest time to come back while there is room before: a third of what callers
/// wait, beyond which they do not heed it.
const TURN_MAX: Duration = Duration::from_millis(1_500);

/// A bucket, as it was at some time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    level: f64,
    at: Instant,
    /// When whoever was refused last was told to come back.
    told: Instant,
}

impl Bucket {
    pub(crate) fn new(level: f64, now: Instant) -> Self {
        Self {
            level,
            at: now,
            told: now,
        }
    }

    /// Lets in what has flowed since; more than its capacity runs over.
    pub(crate) fn fill(&mut self, terms: BucketParams, now: Instant) {
        let passed = now.saturating_duration_since(self.at);
        let filled = self.level + terms.refill_per_s * passed.as_secs_f64();
        self.level = filled.min(terms.capacity);
        self.at = self.at.max(now);
    }

    /// Adds requests; more than the capacity runs over.
    pub(crate) fn add(&mut self, requests: f64, terms: BucketParams) {
        self.level = (self.level + requests).min(terms.capacity);
    }

    /// Takes a request out that is there or flows in within a time; returns when it is
    /// there.
    pub(crate) fn take(&mut self, terms: BucketParams, within: Duration) -> Option<Duration> {
        if self.level >= ONE {
            self.level -= 1.0;
            return Some(Duration::ZERO);
        }
        let wait = self.wait(terms);
        if wait > within {
            return None;
        }
        self.level -= 1.0;
        Some(wait)
    }

    /// Puts a request back that did not go.
    pub(crate) fn put_back(&mut self, terms: BucketParams) {
        self.add(1.0, terms);
    }

    /// Returns when to come back. Those who are refused are told one time after the
    /// other, as requests flow in, so that they do not all come at the first.
    pub(crate) fn retry_after(&mut self, terms: BucketParams, now: Instant) -> Duration {
        let between = Duration::try_from_secs_f64(1.0 / terms.refill_per_s).unwrap_or(WAIT_MAX);
        let first = now + self.wait(terms);
        let turn = first.max(self.told + between.min(WAIT_MAX));
        let latest = first.max(now + TURN_MAX);
        self.told = turn.min(latest);
        self.told.saturating_duration_since(now)
    }

    /// Returns when there is one again.
    fn wait(&self, terms: BucketParams) -> Duration {
        let missing = (1.0 - self.level).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / terms.refill_per_s);
        wait.map_or(WAIT_MAX, |wait| wait.min(WAIT_MAX))
    }
}
