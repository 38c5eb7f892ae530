//! What a limit comes to.

use std::time::Duration;

use notchwharf_config::access::RateLimit;

/// By how much limits may be exceeded, as the platform states it: in no span of
/// `window` more than (rate x window + burst) x (1 + excess) + slack.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The span in which requests are counted.
    pub window: Duration,
    /// The part of a limit by which it may be exceeded.
    pub excess: f64,
    /// Requests beyond that.
    pub slack: f64,
}

/// Part of the slack that is kept for holders that have forgotten what was let in: some
/// seconds of a small workspace, whose bucket fills by one request a second. A large one
/// is let in again at its rate, and needs all else to come unevenly below its limit.
const ALLOWANCE_PART: f64 = 0.3;

/// A bucket that fills at a rate up to a capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketParams {
    /// Requests a second.
    pub refill_per_s: f64,
    /// Requests that fit.
    pub capacity: f64,
    /// Requests with which a bucket begins whose holder does not know what went before,
    /// if nobody else has begun so within a window.
    pub allowance: f64,
}

impl BucketParams {
    /// Returns the terms under which no span exceeds the bounds. A bucket lets in at
    /// most its capacity and what flows in during a span, and one that takes its place
    /// the allowance on top; the two share the burst, the excess and the slack.
    pub fn new(limit: RateLimit, bounds: Bounds) -> Self {
        let owed = limit.per_s * bounds.window.as_secs_f64() + limit.burst;
        let tolerance = owed * bounds.excess + bounds.slack;
        let allowance = bounds.slack * ALLOWANCE_PART;
        Self {
            refill_per_s: limit.per_s,
            capacity: limit.burst + tolerance - allowance,
            allowance,
        }
    }

    /// Returns the terms of a share.
    pub(crate) fn share(self, share: f64) -> Self {
        Self {
            refill_per_s: self.refill_per_s * share,
            capacity: self.capacity * share,
            allowance: self.allowance * share,
        }
    }
}
