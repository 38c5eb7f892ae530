//! Whether a target is worth asking, judged by what requests met there.
//!
//! Health checks were rejected: they cost a request each, and a target can
//! answer them well and its callers badly.

use std::time::Duration;
use std::time::Instant;

/// First pause after a target failed: about ten objectives' worth of requests
/// go elsewhere meanwhile.
const EJECT_MIN: Duration = Duration::from_millis(400);
/// Longest pause after a target failed again and again.
const EJECT_MAX: Duration = Duration::from_secs(5);
/// Pause after a target was full: its queue moves several times a second.
const FULL_PAUSE: Duration = Duration::from_millis(60);
/// Share of a new measurement in the running mean.
const PACE_WEIGHT: f64 = 0.3;
/// How many times slower than usual a target is before it counts as slow.
const SLOW_FACTOR: f64 = 2.5;

/// What requests met at a target.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    ejected_until: Option<Instant>,
    failures: u32,
    pace_s: Option<f64>,
}

impl Health {
    pub(super) fn failed(&mut self, now: Instant) {
        let pause = EJECT_MIN * 2u32.saturating_pow(self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        self.eject(now + pause.min(EJECT_MAX));
    }

    pub(super) fn refused(&mut self, now: Instant) {
        self.eject(now + FULL_PAUSE);
    }

    fn eject(&mut self, until: Instant) {
        self.ejected_until = self.ejected_until.max(Some(until));
    }

    pub(super) fn answered(&mut self, first_event: Option<Duration>) {
        self.failures = 0;
        let Some(took) = first_event else {
            return;
        };
        let took = took.as_secs_f64();
        let mean = self.pace_s.unwrap_or(took);
        self.pace_s = Some(mean + (took - mean) * PACE_WEIGHT);
    }

    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    pub(super) fn pace(&self) -> Option<Duration> {
        self.pace_s.map(Duration::from_secs_f64)
    }

    pub(super) fn is_slow(&self, usual: Option<Duration>) -> bool {
        let (Some(pace), Some(usual)) = (self.pace_s, usual) else {
            return false;
        };
        pace > usual.as_secs_f64() * SLOW_FACTOR
    }
}
