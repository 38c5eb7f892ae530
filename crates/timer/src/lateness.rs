//! Detects process stalls by the lateness of periodic ticks.
//!
//! A host that was not scheduled for a second has not read its peers' messages and would
//! declare them all down. Failure detectors exclude the time reported here from the silence
//! of peers.

use std::time::Duration;
use std::time::Instant;

/// Measures the lateness of periodic ticks.
#[derive(Clone, Copy, Debug)]
pub struct Lateness {
    period: Duration,
    last: Instant,
}

impl Lateness {
    /// Returns a detector for ticks of the given period.
    pub fn new(period: Duration, now: Instant) -> Self {
        Self { period, last: now }
    }

    /// Records a tick; returns the time by which it exceeded its period if it came more than
    /// two periods after the previous tick, and zero otherwise. Smaller deviations are ordinary
    /// jitter.
    pub fn tick(&mut self, now: Instant) -> Duration {
        let gap = now.saturating_duration_since(self.last);
        self.last = now;
        match gap > 2 * self.period {
            true => gap - self.period,
            false => Duration::ZERO,
        }
    }
}
