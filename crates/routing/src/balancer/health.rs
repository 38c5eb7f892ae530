//! Passive health checking: outlier detection based on the responses of a target.
//!
//! Active health checks were rejected: each costs a request, and a target can pass them while
//! failing its callers.

use std::time::Duration;
use std::time::Instant;

/// Duration of the first ejection after a failure; the requests of about ten latency objectives
/// go to other targets meanwhile.
const EJECTION_MIN: Duration = Duration::from_millis(400);
/// Maximum duration of an ejection after repeated failures.
const EJECTION_MAX: Duration = Duration::from_secs(5);
/// Duration of an ejection after the target was full: its queue advances several times a second.
const FULL_EJECTION: Duration = Duration::from_millis(60);
/// Weight of a new measurement in the moving average of first-event times.
const FIRST_EVENT_WEIGHT: f64 = 0.3;
/// Factor by which a target's first-event time exceeds the service's median if it is slow.
const SLOW_FACTOR: f64 = 2.5;
/// Weight of a new response in the moving average of the failure rate.
const FAILURE_WEIGHT: f64 = 0.25;
/// Weight of a failed online request. Healthy targets hardly ever fail one, and a target that
/// fails immediately looks idle and attracts more than its share of the following requests.
const ONLINE_FAILURE_WEIGHT: f64 = 0.45;
/// Failure rate above which a target is ejected. One failed online request or two failed items
/// in a row exceed it; items that fail on any target do not.
const FAILURE_RATE_MAX: f64 = 0.4;
/// Failure rate below which the ejection backoff is reset.
const FAILURE_RATE_RESET: f64 = 0.1;

/// The health of a target, derived from its responses.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    ejected_until: Option<Instant>,
    /// Ejections since the target was last healthy.
    ejections: u32,
    failure_rate: f64,
    /// Moving average of the time to the first event, in seconds.
    first_event_s: Option<f64>,
    /// Whether the current ejection is due to failures rather than a full queue.
    is_failing: bool,
}

impl Health {
    /// Records that the target could not be reached or closed the connection mid-response.
    pub(super) fn record_connection_failure(&mut self, now: Instant) {
        self.failure_rate = self.failure_rate.max(FAILURE_RATE_MAX);
        self.eject(now);
    }

    /// Records that the target responded to an online request with a failure.
    pub(super) fn record_request_failure(&mut self, now: Instant) {
        self.record_weighted_failure(ONLINE_FAILURE_WEIGHT, now);
    }

    /// Records that the target responded to an item with a failure, which the item itself may
    /// have caused.
    pub(super) fn record_item_failure(&mut self, now: Instant) {
        self.record_weighted_failure(FAILURE_WEIGHT, now);
    }

    /// Records that a peer reports failures of the target, so that the next failure at this host
    /// counts as a repeated one.
    pub(super) fn record_peer_failure(&mut self) {
        self.failure_rate = self.failure_rate.max(FAILURE_RATE_MAX);
        self.ejections = self.ejections.max(1);
    }

    fn record_weighted_failure(&mut self, weight: f64, now: Instant) {
        self.failure_rate += (1.0 - self.failure_rate) * weight;
        if self.failure_rate > FAILURE_RATE_MAX {
            self.eject(now);
        }
    }

    fn eject(&mut self, now: Instant) {
        if self.is_ejected(now) && self.is_failing {
            return;
        }
        let duration = EJECTION_MIN * 2u32.saturating_pow(self.ejections.min(8));
        self.ejections = self.ejections.saturating_add(1);
        self.is_failing = true;
        self.extend_ejection(now + duration.min(EJECTION_MAX));
    }

    /// Records that the target rejected a request because it was full.
    pub(super) fn record_rejection(&mut self, now: Instant) {
        if !self.is_ejected(now) {
            self.is_failing = false;
        }
        self.extend_ejection(now + FULL_EJECTION);
    }

    fn extend_ejection(&mut self, until: Instant) {
        self.ejected_until = self.ejected_until.max(Some(until));
    }

    /// Records that the target responded normally.
    pub(super) fn record_success(&mut self, first_event: Option<Duration>) {
        self.failure_rate *= 1.0 - FAILURE_WEIGHT;
        if self.failure_rate < FAILURE_RATE_RESET {
            self.ejections = 0;
        }
        let Some(took) = first_event else {
            return;
        };
        let took = took.as_secs_f64();
        let mean = self.first_event_s.unwrap_or(took);
        self.first_event_s = Some(mean + (took - mean) * FIRST_EVENT_WEIGHT);
    }

    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns whether the target is ejected because of failures.
    pub(super) fn is_failing(&self, now: Instant) -> bool {
        self.is_failing && self.is_ejected(now)
    }

    pub(super) fn first_event_time(&self) -> Option<Duration> {
        self.first_event_s.map(Duration::from_secs_f64)
    }

    pub(super) fn is_slow(&self, typical: Option<Duration>) -> bool {
        let (Some(own), Some(typical)) = (self.first_event_s, typical) else {
            return false;
        };
        own > typical.as_secs_f64() * SLOW_FACTOR
    }
}
