//! The first way: each host counts what it let in and tells the count; a bucket of the
//! whole limit, kept on each host, falls by what is heard.

use notchwharf_quota::BucketParams;

use super::tank::Tank;

/// Silence after which a host's part is left to it.
const SILENT_US: u64 = 400_000;

pub struct Counts {
    tank: Tank,
    own: u64,
    heard: Vec<(u64, u64)>,
}

impl Counts {
    pub fn new(hosts: usize, terms: BucketParams, now_us: u64) -> Self {
        Self {
            tank: Tank::new(hosts, terms, now_us),
            own: 0,
            heard: vec![(0, 0); hosts],
        }
    }

    pub fn set_limits(&mut self, terms: BucketParams) {
        self.tank.terms = terms;
    }

    pub fn tick(&mut self, _alive: &[usize], now_us: u64) -> u64 {
        self.tank.fill(now_us);
        let is_heard = |(_, at): &&(u64, u64)| *at > 0 && now_us - at < SILENT_US;
        let heard = self.heard.iter().filter(is_heard).count();
        self.tank.share = (heard + 1) as f64 / self.heard.len() as f64;
        self.own
    }

    pub fn heard(&mut self, from: usize, total: u64, now_us: u64) {
        self.tank.fill(now_us);
        let (before, _) = self.heard[from];
        // One that has started again counts from nothing.
        let more = if total < before {
            total
        } else {
            total - before
        };
        self.tank.level -= more as f64;
        self.heard[from] = (total, now_us);
    }

    pub fn take(&mut self, now_us: u64) -> bool {
        let is_given = self.tank.take(now_us);
        self.own += u64::from(is_given);
        is_given
    }
}
