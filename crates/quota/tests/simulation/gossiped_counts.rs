//! Gossiped counts: each host reports the number of requests it has admitted, and subtracts
//! the reported numbers of other hosts from a bucket of the whole limit.

use notchwharf_quota::BucketParams;

use super::local_bucket::LocalBucket;

/// Time without a report after which a host's share is left to it.
const SILENCE_TIMEOUT_US: u64 = 400_000;

pub struct GossipedCounts {
    bucket: LocalBucket,
    own_total: u64,
    received: Vec<(u64, u64)>,
}

impl GossipedCounts {
    pub fn new(hosts: usize, params: BucketParams, now_us: u64) -> Self {
        Self {
            bucket: LocalBucket::new(hosts, params, now_us),
            own_total: 0,
            received: vec![(0, 0); hosts],
        }
    }

    pub fn set_limits(&mut self, params: BucketParams) {
        self.bucket.params = params;
    }

    pub fn tick(&mut self, _alive: &[usize], now_us: u64) -> u64 {
        self.bucket.refill(now_us);
        let is_reporting = |(_, at): &&(u64, u64)| *at > 0 && now_us - at < SILENCE_TIMEOUT_US;
        let received = self.received.iter().filter(is_reporting).count();
        self.bucket.share = (received + 1) as f64 / self.received.len() as f64;
        self.own_total
    }

    pub fn receive(&mut self, from: usize, total: u64, now_us: u64) {
        self.bucket.refill(now_us);
        let (previous, _) = self.received[from];
        // A host that has restarted counts from zero.
        let increase = if total < previous {
            total
        } else {
            total - previous
        };
        self.bucket.tokens -= increase as f64;
        self.received[from] = (total, now_us);
    }

    pub fn take(&mut self, now_us: u64) -> bool {
        let is_admitted = self.bucket.take(now_us);
        self.own_total += u64::from(is_admitted);
        is_admitted
    }
}
