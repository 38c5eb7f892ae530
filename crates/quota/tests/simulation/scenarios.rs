//! Request loads and faults of a simulated fleet.

use notchwharf_config::access::RateLimit;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::Fleet;
use super::Strategy;

pub const SECOND: u64 = 1_000_000;
/// Time by which a fleet has granted its leases and filled its buckets after a start.
pub const WARM_UP: u64 = 20 * SECOND;

pub const LARGE: RateLimit = RateLimit {
    per_s: 94.0,
    burst: 94.0,
};
pub const SMALL: RateLimit = RateLimit {
    per_s: 1.6,
    burst: 1.6,
};

/// Sends requests at a varying rate to the hosts that the caller's connections reach.
pub fn send_load(
    fleet: &mut Fleet,
    span: std::ops::Range<u64>,
    hosts: &[usize],
    per_s: impl Fn(u64) -> f64,
) {
    let mut at = span.start;
    while at < span.end {
        let host = hosts[fleet.rng.random_range(0..hosts.len())];
        let uniform: f64 = fleet.rng.random_range(1e-9..1.0);
        at += (-uniform.ln() / per_s(at - span.start) * 1e6) as u64 + 1;
        fleet.send(at, host);
    }
}

/// Returns a step load as observed from users: 2.2 s at 1.85 times the mean, 3 s at 0.378
/// times.
pub fn step_load(mean: f64) -> impl Fn(u64) -> f64 {
    move |us| {
        let is_high = us % (52 * SECOND / 10) >= 3 * SECOND;
        mean * if is_high { 1.85 } else { 0.378 }
    }
}

pub fn all_hosts(fleet: &Fleet) -> Vec<usize> {
    (0..fleet.hosts.len()).collect()
}

/// Injects a random fault into a fleet.
fn inject_fault(fleet: &mut Fleet, rng: &mut ChaCha8Rng) {
    let hosts = fleet.hosts.len();
    let host = rng.random_range(0..hosts);
    let now = fleet.now_us;
    match rng.random_range(0..10) {
        0 => fleet.kill(host),
        1 => (0..hosts).for_each(|host| fleet.kill(host)),
        2 | 3 => (0..hosts).for_each(|host| fleet.start(host)),
        4 => fleet.pause(host, now + rng.random_range(1..6) * SECOND),
        5 | 6 => {
            let partitions = rng.random_range(1..4);
            for host in &mut fleet.hosts {
                host.partition = rng.random_range(0..partitions);
            }
        }
        7 => fleet.is_store_down = rng.random_bool(0.5),
        8 => fleet.hosts.iter_mut().for_each(|host| host.partition = 0),
        _ => fleet.loss_rate = rng.random_range(0.0..0.3),
    }
}

/// Simulates a random schedule of faults; returns by how much a window was exceeded.
pub fn random_schedule(strategy: Strategy, seed: u64) -> Option<f64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let hosts = [3, 5, 12, 30][rng.random_range(0..4)];
    let limit = RateLimit {
        per_s: [0.5, 1.6, 10.0, 94.0][rng.random_range(0..4)],
        burst: rng.random_range(0.0..100.0),
    };
    let mut fleet = Fleet::new(strategy, hosts, limit, seed);
    let demand = limit.per_s * rng.random_range(0.5..10.0) + rng.random_range(0.0..20.0);
    let reached: Vec<usize> = (0..rng.random_range(1..=hosts)).collect();
    let end = 16 * SECOND;
    send_load(&mut fleet, 0..end, &reached, |_| demand);
    let mut at = 0;
    while at < end {
        at += rng.random_range(SECOND / 10..3 * SECOND);
        fleet.run_until(at.min(end));
        inject_fault(&mut fleet, &mut rng);
    }
    fleet.run_until(end + SECOND);
    fleet.excess(limit, 0)
}
