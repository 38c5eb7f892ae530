//! Suspects while crashes from before a host's start may be unknown to it.
//!
//! One that was in a crash since may have been in many before, so it waits. Waiting until all is known
//! was rejected: the records may be unreadable for long, and a part of half of a route's prompts would
//! withhold them all meanwhile, after a single crash. So it is tried in the end, and the next trial
//! comes later by a factor: during an outage of minutes, what is to blame crashes few more targets.

use std::time::Duration;
use std::time::Instant;

/// Time after a crash before a suspect is tried. Longer than the records take to be read, unless the
/// store or the topic fails.
const WAIT: Duration = Duration::from_secs(10);

/// How much longer the wait is after each further crash, and the most of those that count.
const WAIT_GROWTH: u32 = 4;
const GROWTHS_MAX: u32 = 5;

/// Time within which crashes are of one moment, as when many targets crash at once: they don't show that a
/// trial crashed a target.
const MOMENT: Duration = Duration::from_millis(500);

/// Returns how long a suspect waits after the last of some crashes.
pub(super) fn wait_after(crashes: impl Iterator<Item = Instant>) -> Duration {
    let mut detected_at: Vec<Instant> = crashes.collect();
    detected_at.sort_unstable();
    let pairs = detected_at.windows(2);
    let moments_after_first = pairs.filter(|pair| pair[1] - pair[0] >= MOMENT).count();
    let growths = u32::try_from(moments_after_first).unwrap_or(GROWTHS_MAX);
    WAIT * WAIT_GROWTH.pow(growths.min(GROWTHS_MAX))
}
