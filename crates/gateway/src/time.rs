//! Times as settings, log lines and records have them.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Returns the time of day in milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    // A clock before 1970 is wrong whatever is made of it; only order counts.
    since.map_or(0, millis)
}

/// Returns a time in whole milliseconds, as log lines have it.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Returns a setting as a time.
pub(crate) fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}
