//! Retry times of refused requests.
//!
//! Callers that receive the same retry time return as the next burst, and callers that return
//! while the queue is as long as before are refused again. Retry times are therefore
//! staggered: the requests already waiting start first, then refused callers return one after
//! another in the order of their refusal, using a fraction of the slots that are freed.

use std::time::Duration;
use std::time::Instant;

/// Fraction of freed slots available to returning callers; the rest is left to new requests.
const RETRY_FRACTION: f64 = 0.5;

/// Longest retry time: bursts last a few seconds, and most callers give up after that.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(3);

/// Shortest retry time: an earlier retry costs a connection and finds the same queue.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);

/// Shortest interval between two retry times, used while the release rate is unknown.
const RETRY_INTERVAL_MIN: Duration = Duration::from_millis(10);

/// Retry times issued by one host.
#[derive(Clone, Debug, Default)]
pub struct RetrySchedule {
    last_retry_at: Option<Instant>,
}

impl RetrySchedule {
    /// Returns the time after which a caller refused now should retry: after `wait`, within
    /// which the requests ahead of it start, and after all callers refused before.
    /// `releases_per_s` slots are freed per second and shared by `hosts` hosts.
    pub fn next_retry_after(
        &mut self,
        wait: Duration,
        releases_per_s: f64,
        hosts: u32,
        now: Instant,
    ) -> Duration {
        let interval_s = f64::from(hosts.max(1)) / (releases_per_s * RETRY_FRACTION);
        let interval = Duration::try_from_secs_f64(interval_s).unwrap_or(RETRY_AFTER_MAX);
        let interval = interval.clamp(RETRY_INTERVAL_MIN, RETRY_AFTER_MAX);
        let earliest = now + wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
        let retry_at = self
            .last_retry_at
            .map_or(earliest, |last| (last + interval).max(earliest));
        let retry_at = retry_at.min(now + RETRY_AFTER_MAX);
        self.last_retry_at = Some(retry_at);
        retry_at.saturating_duration_since(now)
    }
}
