//! Compares strategies for sharing a limit among hosts, on the same seeds: `cargo run
//! --release -p notchwharf-quota --example ways`. At 1,000 hosts the first two strategies
//! take long.

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use notchwharf_config::access::RateLimit;
use simulation::Fleet;
use simulation::Strategy;
use simulation::scenarios::LARGE;
use simulation::scenarios::SECOND;
use simulation::scenarios::SMALL;
use simulation::scenarios::WARM_UP;
use simulation::scenarios::random_schedule;
use simulation::scenarios::send_load;
use simulation::scenarios::step_load;

fn main() {
    for hosts in [12, 61, 300, 1_000] {
        for strategy in [
            Strategy::GossipedCounts,
            Strategy::DemandShares,
            Strategy::LeasedShares,
        ] {
            let simulate = |limit: RateLimit, reached: usize, demand: &dyn Fn(u64) -> f64| {
                let mut fleet = Fleet::new(strategy, hosts, limit, 5);
                let reached: Vec<usize> = (0..reached.min(hosts)).collect();
                let span = WARM_UP..WARM_UP + 20 * SECOND;
                send_load(&mut fleet, span.clone(), &reached, demand);
                fleet.run_until(WARM_UP);
                let before = fleet.bytes;
                fleet.run_until(span.end + SECOND);
                let (sent, admitted) = fleet.sent_and_admitted(span.start, span.end, &reached);
                let nominal = limit.per_s * 20.0 + limit.burst;
                let bytes = (fleet.bytes - before) as f64 / 20.0 / hosts as f64;
                let excess = fleet.excess(limit, 0).unwrap_or(0.0);
                (
                    sent,
                    sent - admitted,
                    admitted as f64 / nominal,
                    excess,
                    bytes,
                )
            };
            for (name, limit) in [("large", LARGE), ("small", SMALL)] {
                for reached in [3, hosts] {
                    let step = simulate(limit, reached, &step_load(0.9 * limit.per_s));
                    let flood = simulate(limit, reached, &|_| 7.5 / 1.6 * limit.per_s);
                    println!(
                        "{hosts} hosts, {strategy:?}, {name} at {reached}: below the limit {} of {} \
                         refused; flood {:.2} of the limit, {:.0} above the bounds; {:.0} bytes/s per host",
                        step.1, step.0, flood.2, flood.3, flood.4
                    );
                }
            }
        }
    }
    for strategy in [
        Strategy::GossipedCounts,
        Strategy::DemandShares,
        Strategy::LeasedShares,
    ] {
        let excesses = (0..300).filter_map(|seed| random_schedule(strategy, seed));
        let excesses: Vec<f64> = excesses.collect();
        let worst = excesses.iter().copied().fold(0.0, f64::max);
        println!(
            "{strategy:?}: {} of 300 random schedules exceeded a window, by up to {worst:.0}",
            excesses.len()
        );
    }
}
