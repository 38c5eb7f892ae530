//! Token bucket; one token admits one request.

use std::time::Duration;
use std::time::Instant;

use crate::params::BucketParams;

/// Tokens needed to admit a request. Slightly less than one, because sums of shares are
/// inexact.
const TOKEN_MIN: f64 = 1.0 - 1e-9;
/// Longest wait that is returned for a bucket that hardly refills.
const WAIT_MAX: Duration = Duration::from_secs(60);
/// Longest retry time while tokens are available earlier: a third of the time for which
/// callers wait; they ignore longer retry times.
const RETRY_AFTER_MAX: Duration = Duration::from_millis(1_500);

/// A token bucket and the time of its last refill.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    tokens: f64,
    updated_at: Instant,
    /// Retry time of the last refused request.
    last_retry_at: Instant,
}

impl Bucket {
    pub(crate) fn new(tokens: f64, now: Instant) -> Self {
        Self {
            tokens,
            updated_at: now,
            last_retry_at: now,
        }
    }

    /// Adds the tokens accrued since the last refill, up to the capacity.
    pub(crate) fn refill(&mut self, params: BucketParams, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let refilled = self.tokens + params.refill_per_s * elapsed.as_secs_f64();
        self.tokens = refilled.min(params.capacity);
        self.updated_at = self.updated_at.max(now);
    }

    /// Adds tokens, up to the capacity.
    pub(crate) fn add(&mut self, tokens: f64, params: BucketParams) {
        self.tokens = (self.tokens + tokens).min(params.capacity);
    }

    /// Takes a token if one is available or accrues within the given time; returns the time
    /// until it is available.
    pub(crate) fn try_take(
        &mut self,
        params: BucketParams,
        max_wait: Duration,
    ) -> Option<Duration> {
        if self.tokens >= TOKEN_MIN {
            self.tokens -= 1.0;
            return Some(Duration::ZERO);
        }
        let wait = self.time_to_token(params);
        if wait > max_wait {
            return None;
        }
        self.tokens -= 1.0;
        Some(wait)
    }

    /// Returns the token of a request that was not run.
    pub(crate) fn refund(&mut self, params: BucketParams) {
        self.add(1.0, params);
    }

    /// Returns the retry time of a refused request. Retry times of successive requests are
    /// spaced at the refill rate, so that callers do not all return at once.
    pub(crate) fn next_retry_after(&mut self, params: BucketParams, now: Instant) -> Duration {
        let interval = Duration::try_from_secs_f64(1.0 / params.refill_per_s).unwrap_or(WAIT_MAX);
        let first = now + self.time_to_token(params);
        let retry_at = first.max(self.last_retry_at + interval.min(WAIT_MAX));
        let latest = first.max(now + RETRY_AFTER_MAX);
        self.last_retry_at = retry_at.min(latest);
        self.last_retry_at.saturating_duration_since(now)
    }

    /// Returns the time until a token is available.
    fn time_to_token(&self, params: BucketParams) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / params.refill_per_s);
        wait.map_or(WAIT_MAX, |wait| wait.min(WAIT_MAX))
    }
}
