//! The ways to share a limit against each other, on the same seeds: `cargo run --release
//! -p notchwharf-quota --example ways`. At 1,000 hosts the first two take long.

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use notchwharf_config::access::RateLimit;
use simulation::Fleet;
use simulation::Way;
use simulation::days::LARGE;
use simulation::days::SECOND;
use simulation::days::SMALL;
use simulation::days::WARM;
use simulation::days::drawn;
use simulation::days::load;
use simulation::days::steps;

fn main() {
    for hosts in [12, 61, 300, 1_000] {
        for way in [Way::Counts, Way::Shares, Way::Holders] {
            let played = |limit: RateLimit, reached: usize, demand: &dyn Fn(u64) -> f64| {
                let mut fleet = Fleet::new(way, hosts, limit, 5);
                let reached: Vec<usize> = (0..reached.min(hosts)).collect();
                let span = WARM..WARM + 20 * SECOND;
                load(&mut fleet, span.clone(), &reached, demand);
                fleet.run_until(WARM);
                let before = fleet.bytes;
                fleet.run_until(span.end + SECOND);
                let (sent, given) = fleet.counted(span.start, span.end, &reached);
                let owed = limit.per_s * 20.0 + limit.burst;
                let bytes = (fleet.bytes - before) as f64 / 20.0 / hosts as f64;
                let over = fleet.excess(limit, 0).unwrap_or(0.0);
                (sent, sent - given, given as f64 / owed, over, bytes)
            };
            for (name, limit) in [("large", LARGE), ("small", SMALL)] {
                for reached in [3, hosts] {
                    let below = played(limit, reached, &steps(0.9 * limit.per_s));
                    let flood = played(limit, reached, &|_| 7.5 / 1.6 * limit.per_s);
                    println!(
                        "{hosts} hosts, {way:?}, {name} at {reached}: below the limit {} of {} \
                         refused; flood {:.2} of the limit, {:.0} over; {:.0} bytes/s a host",
                        below.1, below.0, flood.2, flood.3, flood.4
                    );
                }
            }
        }
    }
    for way in [Way::Counts, Way::Shares, Way::Holders] {
        let broken = (0..300).filter_map(|seed| drawn(way, seed));
        let broken: Vec<f64> = broken.collect();
        let worst = broken.iter().copied().fold(0.0, f64::max);
        println!(
            "{way:?}: {} of 300 drawn schedules over, by {worst:.0}",
            broken.len()
        );
    }
}
