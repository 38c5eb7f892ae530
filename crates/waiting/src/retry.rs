//! When those who were refused come back.
//!
//! Callers that are told the same time come back as the next burst, and those that come
//! back while the line is as long as before are refused again. So each is told a turn: the
//! line ahead drains first, and then they come one after the other, first refused, first
//! back, as a part of what drains.

use std::time::Duration;
use std::time::Instant;

/// Part of the places that fall free which those who come back may take: the other half is
/// for those who come for the first time.
const PART: f64 = 0.5;

/// Most time to a turn: most callers have gone by then, and a burst lasts some seconds.
const TURN_MAX: Duration = Duration::from_secs(3);

/// Least time to a turn: sooner costs a connection for a place in the same line.
const TURN_MIN: Duration = Duration::from_millis(50);

/// Least time between two turns, where nobody knows how fast places fall free.
const GAP_MIN: Duration = Duration::from_millis(10);

/// Turns that one host has given.
#[derive(Clone, Debug, Default)]
pub struct RetrySchedule {
    last: Option<Instant>,
}

impl RetrySchedule {
    /// Returns when a caller is to come back that was refused now: after `wait`, in which
    /// those ahead begin, and after those who were refused before. `drain_per_s` places
    /// fall free a second, for `hosts` hosts.
    pub fn next_retry_after(
        &mut self,
        wait: Duration,
        drain_per_s: f64,
        hosts: u32,
        now: Instant,
    ) -> Duration {
        let gap_s = f64::from(hosts.max(1)) / (drain_per_s * PART);
        let gap = Duration::try_from_secs_f64(gap_s).unwrap_or(TURN_MAX);
        let gap = gap.clamp(GAP_MIN, TURN_MAX);
        let earliest = now + wait.clamp(TURN_MIN, TURN_MAX);
        let turn = self
            .last
            .map_or(earliest, |last| (last + gap).max(earliest));
        let turn = turn.min(now + TURN_MAX);
        self.last = Some(turn);
        turn.saturating_duration_since(now)
    }
}
