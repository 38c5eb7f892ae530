//! Token bucket parameters that keep a limit within its bounds.

use std::time::Duration;

use notchwharf_config::access::RateLimit;

/// Tolerated excess of limits, as specified by the platform: no period of length `window`
/// contains more than (rate x window + burst) x (1 + excess) + slack requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Period over which requests are counted.
    pub window: Duration,
    /// Fraction by which a limit may be exceeded.
    pub excess: f64,
    /// Additional requests beyond that fraction.
    pub slack: f64,
}

/// Fraction of the slack reserved for the allowance of holders without prior state: a few
/// seconds of a small workspace, whose bucket refills by one request per second. A large
/// workspace is admitted at its refill rate again, and needs the rest of the slack for uneven
/// arrivals below its limit.
const ALLOWANCE_FRACTION: f64 = 0.3;

/// Parameters of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketParams {
    /// Tokens added per second.
    pub refill_per_s: f64,
    /// Maximum number of tokens.
    pub capacity: f64,
    /// Tokens with which a bucket starts if its holder does not know what was admitted
    /// before, and no other holder has used the allowance within a window.
    pub allowance: f64,
}

impl BucketParams {
    /// Returns the parameters that keep every window within the bounds. A bucket admits at
    /// most its capacity and the tokens added during the window, and a bucket that replaces
    /// it admits the allowance in addition; the burst, the excess and the slack are divided
    /// between the two.
    pub fn new(limit: RateLimit, bounds: Bounds) -> Self {
        let nominal = limit.per_s * bounds.window.as_secs_f64() + limit.burst;
        let tolerance = nominal * bounds.excess + bounds.slack;
        let allowance = bounds.slack * ALLOWANCE_FRACTION;
        Self {
            refill_per_s: limit.per_s,
            capacity: limit.burst + tolerance - allowance,
            allowance,
        }
    }

    /// Returns the parameters scaled to a share of the limit.
    pub(crate) fn scale(self, share: f64) -> Self {
        Self {
            refill_per_s: self.refill_per_s * share,
            capacity: self.capacity * share,
            allowance: self.allowance * share,
        }
    }
}
