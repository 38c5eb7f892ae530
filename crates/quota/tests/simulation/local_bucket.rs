//! Local token bucket of the first two strategies, sized by a share of the limit.

use notchwharf_quota::BucketParams;

pub struct LocalBucket {
    pub params: BucketParams,
    pub tokens: f64,
    pub share: f64,
    updated_at_us: u64,
}

impl LocalBucket {
    /// Returns an empty bucket with the share of one of `hosts` hosts.
    pub fn new(hosts: usize, params: BucketParams, now_us: u64) -> Self {
        Self {
            params,
            tokens: 0.0,
            share: 1.0 / hosts as f64,
            updated_at_us: now_us,
        }
    }

    pub fn refill(&mut self, now_us: u64) {
        let elapsed_s = now_us.saturating_sub(self.updated_at_us) as f64 / 1e6;
        let refilled = self.tokens + self.params.refill_per_s * self.share * elapsed_s;
        self.tokens = refilled.min(self.params.capacity * self.share);
        self.updated_at_us = now_us;
    }

    pub fn take(&mut self, now_us: u64) -> bool {
        self.refill(now_us);
        let is_admitted = self.tokens >= 1.0;
        if is_admitted {
            self.tokens -= 1.0;
        }
        is_admitted
    }
}
