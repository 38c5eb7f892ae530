//! Demand-based shares: each host has a bucket whose share of the limit follows its fraction
//! of the demand that hosts report to one another.

use notchwharf_quota::BucketParams;

use super::local_bucket::LocalBucket;

/// Fraction of a limit divided evenly, so that a host without previous demand can admit.
const EVEN_FRACTION: f64 = 0.2;
/// Weight of the newest tick in the moving average of a host's demand.
const SMOOTHING: f64 = 0.3;

pub struct DemandShares {
    bucket: LocalBucket,
    requests: f64,
    demand: f64,
    reported: Vec<f64>,
}

impl DemandShares {
    pub fn new(hosts: usize, params: BucketParams, now_us: u64) -> Self {
        Self {
            bucket: LocalBucket::new(hosts, params, now_us),
            requests: 0.0,
            demand: 0.0,
            reported: vec![0.0; hosts],
        }
    }

    pub fn set_limits(&mut self, params: BucketParams) {
        self.bucket.params = params;
    }

    pub fn tick(&mut self, alive: &[usize], own: usize, now_us: u64) -> f64 {
        self.bucket.refill(now_us);
        self.demand =
            SMOOTHING * std::mem::take(&mut self.requests) + (1.0 - SMOOTHING) * self.demand;
        self.reported[own] = self.demand;
        let hosts = self.reported.len() as f64;
        // Silent hosts keep their shares.
        let max_share = (alive.len() + 1) as f64 / hosts;
        let all: f64 = self.reported.iter().sum();
        let by_demand = if all > 0.0 {
            self.demand / all
        } else {
            1.0 / hosts
        };
        self.bucket.share =
            (EVEN_FRACTION / hosts + (1.0 - EVEN_FRACTION) * by_demand).min(max_share);
        self.demand
    }

    pub fn receive(&mut self, from: usize, demand: f64) {
        self.reported[from] = demand;
    }

    pub fn take(&mut self, now_us: u64) -> bool {
        self.requests += 1.0;
        self.bucket.take(now_us)
    }
}
