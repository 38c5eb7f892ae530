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
/// Share of a new answer in the running share of failures.
const FAULT_WEIGHT: f64 = 0.25;
/// The same for a failed online request. Sound targets hardly ever fail one,
/// and a target that fails at once draws more than its share of the next.
const ONLINE_FAULT_WEIGHT: f64 = 0.45;
/// Share of failures from which a target is left alone: one failed online
/// request reaches it, or two failed items in a row; items that fail wherever
/// they run do not.
const FAULT_MAX: f64 = 0.4;
/// Share of failures below which a target's earlier ones are forgotten.
const FAULT_FORGOTTEN: f64 = 0.1;

/// What requests met at a target.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    ejected_until: Option<Instant>,
    /// Ejections since the target was last sound.
    ejections: u32,
    faults: f64,
    pace_s: Option<f64>,
    /// Whether the pause is for failures, and not for a full queue.
    is_failing: bool,
}

impl Health {
    /// Notes that it could not be reached or broke off.
    pub(super) fn failed(&mut self, now: Instant) {
        self.faults = self.faults.max(FAULT_MAX);
        self.eject(now);
    }

    /// Notes that it answered an online request that it failed.
    pub(super) fn failed_request(&mut self, now: Instant) {
        self.note_fault(ONLINE_FAULT_WEIGHT, now);
    }

    /// Notes that it answered that it failed an item, which may be the item's
    /// fault.
    pub(super) fn failed_item(&mut self, now: Instant) {
        self.note_fault(FAULT_WEIGHT, now);
    }

    /// Notes that it fails a peer: the next failure here is not the first.
    pub(super) fn suspected(&mut self) {
        self.faults = self.faults.max(FAULT_MAX);
        self.ejections = self.ejections.max(1);
    }

    fn note_fault(&mut self, weight: f64, now: Instant) {
        self.faults += (1.0 - self.faults) * weight;
        if self.faults > FAULT_MAX {
            self.eject(now);
        }
    }

    fn eject(&mut self, now: Instant) {
        if self.is_ejected(now) && self.is_failing {
            return;
        }
        let pause = EJECT_MIN * 2u32.saturating_pow(self.ejections.min(8));
        self.ejections = self.ejections.saturating_add(1);
        self.is_failing = true;
        self.pause(now + pause.min(EJECT_MAX));
    }

    /// Notes that it was full.
    pub(super) fn refused(&mut self, now: Instant) {
        if !self.is_ejected(now) {
            self.is_failing = false;
        }
        self.pause(now + FULL_PAUSE);
    }

    fn pause(&mut self, until: Instant) {
        self.ejected_until = self.ejected_until.max(Some(until));
    }

    /// Notes that it answered well.
    pub(super) fn answered(&mut self, first_event: Option<Duration>) {
        self.faults *= 1.0 - FAULT_WEIGHT;
        if self.faults < FAULT_FORGOTTEN {
            self.ejections = 0;
        }
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

    /// Returns whether it is left alone since it fails.
    pub(super) fn is_failing(&self, now: Instant) -> bool {
        self.is_failing && self.is_ejected(now)
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
