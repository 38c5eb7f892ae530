//! Conversion of times to and from milliseconds, and randomized delays.

use std::ops::Range;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rand::RngExt as _;

/// Returns the time of day in milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    // With a clock before 1970, times are wrong anyway; only their order matters.
    since.map_or(0, millis)
}

/// Returns a duration in whole milliseconds, saturating.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Sleeps for a random time within a range in milliseconds.
pub(crate) async fn sleep_random(range_ms: Range<u64>) {
    let delay_ms = rand::rng().random_range(range_ms);
    tokio::time::sleep(ms(delay_ms)).await;
}

/// Returns the duration of a setting in milliseconds.
pub(crate) fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Exponential backoff with a maximum. Each pause is multiplied by a random factor around one, so
/// that hosts that failed together do not retry together.
#[derive(Debug)]
pub(crate) struct Backoff {
    pause: Duration,
    max: Duration,
}

impl Backoff {
    pub(crate) fn new(min: Duration, max: Duration) -> Self {
        Self { pause: min, max }
    }

    /// Sleeps for the next pause.
    pub(crate) async fn wait(&mut self) {
        let factor = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(self.pause.mul_f64(factor)).await;
        self.pause = (self.pause * 2).min(self.max);
    }
}
