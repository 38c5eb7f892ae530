//! The bucket of a host in the first two ways: its share of the limit.

use notchwharf_quota::BucketParams;

pub struct Tank {
    pub terms: BucketParams,
    pub level: f64,
    pub share: f64,
    at_us: u64,
}

impl Tank {
    /// Returns an empty one, with the part of one host of so many.
    pub fn new(hosts: usize, terms: BucketParams, now_us: u64) -> Self {
        Self {
            terms,
            level: 0.0,
            share: 1.0 / hosts as f64,
            at_us: now_us,
        }
    }

    pub fn fill(&mut self, now_us: u64) {
        let passed = now_us.saturating_sub(self.at_us) as f64 / 1e6;
        let filled = self.level + self.terms.refill_per_s * self.share * passed;
        self.level = filled.min(self.terms.capacity * self.share);
        self.at_us = now_us;
    }

    pub fn take(&mut self, now_us: u64) -> bool {
        self.fill(now_us);
        let is_given = self.level >= 1.0;
        if is_given {
            self.level -= 1.0;
        }
        is_given
    }
}
