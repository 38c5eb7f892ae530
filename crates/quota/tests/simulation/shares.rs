//! The second way: each host has a bucket of its share, which follows its part of the
//! demand that hosts tell one another.

use notchwharf_quota::BucketParams;

use super::tank::Tank;

/// Part of a limit that is dealt evenly, so that a host without demand can begin.
const EVEN: f64 = 0.2;
/// Weight of the newest tick in a host's demand.
const NEW: f64 = 0.3;

pub struct Shares {
    tank: Tank,
    asked: f64,
    demand: f64,
    heard: Vec<f64>,
}

impl Shares {
    pub fn new(hosts: usize, terms: BucketParams, now_us: u64) -> Self {
        Self {
            tank: Tank::new(hosts, terms, now_us),
            asked: 0.0,
            demand: 0.0,
            heard: vec![0.0; hosts],
        }
    }

    pub fn set_limits(&mut self, terms: BucketParams) {
        self.tank.terms = terms;
    }

    pub fn tick(&mut self, alive: &[usize], own: usize, now_us: u64) -> f64 {
        self.tank.fill(now_us);
        self.demand = NEW * std::mem::take(&mut self.asked) + (1.0 - NEW) * self.demand;
        self.heard[own] = self.demand;
        let hosts = self.heard.len() as f64;
        // What hosts that are silent had remains theirs.
        let part = (alive.len() + 1) as f64 / hosts;
        let all: f64 = self.heard.iter().sum();
        let by_demand = if all > 0.0 {
            self.demand / all
        } else {
            1.0 / hosts
        };
        self.tank.share = (EVEN / hosts + (1.0 - EVEN) * by_demand).min(part);
        self.demand
    }

    pub fn heard(&mut self, from: usize, demand: f64) {
        self.heard[from] = demand;
    }

    pub fn take(&mut self, now_us: u64) -> bool {
        self.asked += 1.0;
        self.tank.take(now_us)
    }
}
