//! Batch throughput beside the harm to online latency, policy by policy.
//!
//! ```sh
//! cargo run --release -p notchwharf-standins --example policy
//! ```

use hdrhistogram::Histogram;
use notchwharf_routing::slots;
use notchwharf_standins::lab;
use notchwharf_standins::lab::Outcome;
use notchwharf_standins::lab::Policy;
use notchwharf_standins::lab::Scenario;

const SEEDS: [u64; 3] = [1, 2, 3];

const SCHOOL: Scenario = Scenario {
    name: "12 targets, 1 ms",
    hosts: 9,
    targets: 12,
    data_centres: 3,
    inter_dc_latency_us: 1_000,
    online_per_s: 60.0,
    burst_factor: 3.0,
    burst_interval_us: 6_000_000,
    burst_duration_us: 1_000_000,
    duration_us: 60_000_000,
};

const PERMITS: Scenario = Scenario {
    name: "18 targets, 0.5 ms",
    hosts: 12,
    targets: 18,
    inter_dc_latency_us: 500,
    online_per_s: 90.0,
    ..SCHOOL
};

fn main() {
    let direct = slots::Config::default();
    let small = slots::Config {
        reserve_max: 1,
        ..direct
    };
    let policies = [
        ("online alone", Policy::OnlineOnly),
        ("batch alone", Policy::BatchOnly),
        ("direct 32", Policy::Direct(direct, 32)),
        ("direct 24", Policy::Direct(direct, 24)),
        ("direct 20", Policy::Direct(direct, 20)),
        ("direct 16", Policy::Direct(direct, 16)),
        ("reserve of 1", Policy::Direct(small, 32)),
        ("reserve of 1, 24", Policy::Direct(small, 24)),
        ("through holder", Policy::ThroughHolder(direct)),
        ("split 1/2", Policy::Split(usize::MAX)),
        ("none", Policy::Unlimited),
        ("tokens", Policy::Tokens(direct)),
    ];
    for scenario in [SCHOOL, PERMITS] {
        println!("\n{}: medians of {} runs", scenario.name, SEEDS.len());
        println!(
            "{:16} {:>9} {:>9} {:>9} {:>9} {:>7} {:>7} {:>9} {:>9} {:>6} {:>8} {:>8}",
            "policy",
            "ft p50",
            "ft p99",
            "it p50",
            "it p99",
            "of all",
            "of left",
            "preempt",
            "shed",
            "left",
            "yield99",
            "refill"
        );
        let mut alone = None;
        let mut batch_alone = 1.0;
        for (label, policy) in policies {
            let policy = match policy {
                Policy::Split(_) => Policy::Split(scenario.targets / 2),
                other => other,
            };
            let runs: Vec<Outcome> = SEEDS
                .iter()
                .map(|s| lab::run(scenario, policy, *s))
                .collect();
            let row = Row::of(&runs);
            let base = *alone.get_or_insert(row);
            if policy == Policy::BatchOnly {
                batch_alone = row.batch;
            }
            let ratio = |a: f64, b: f64| if b > 0.0 { a / b } else { 0.0 };
            let all = ratio(row.batch, batch_alone);
            println!(
                "{label:16} {:9.2} {:9.2} {:9.2} {:9.2} {:6.1}% {:6.1}% {:9.0} {:9.0} {:5.1}% {:6.1}ms {:6.0}ms",
                ratio(row.first.0, base.first.0),
                ratio(row.first.1, base.first.1),
                ratio(row.inter.0, base.inter.0),
                ratio(row.inter.1, base.inter.1),
                all * 100.0,
                ratio(all, row.left) * 100.0,
                row.preempted,
                row.rejected,
                row.left * 100.0,
                row.yields / 1e3,
                row.refill / 1e3,
            );
            if policy == Policy::OnlineOnly {
                println!(
                    "{:15} {:7.1}ms {:7.1}ms {:7.1}ms {:7.1}ms",
                    "  in time",
                    row.first.0 / 1e3,
                    row.first.1 / 1e3,
                    row.inter.0 / 1e3,
                    row.inter.1 / 1e3
                );
            }
        }
    }
}

#[derive(Clone, Copy)]
struct Row {
    first: (f64, f64),
    inter: (f64, f64),
    batch: f64,
    preempted: f64,
    rejected: f64,
    left: f64,
    yields: f64,
    refill: f64,
}

impl Row {
    fn of(runs: &[Outcome]) -> Self {
        let at = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64;
        let median = |of: &dyn Fn(&Outcome) -> f64| {
            let mut all: Vec<f64> = runs.iter().map(of).collect();
            all.sort_by(f64::total_cmp);
            all[all.len() / 2]
        };
        Self {
            first: (
                median(&|o| at(&o.first_us, 0.5)),
                median(&|o| at(&o.first_us, 0.99)),
            ),
            inter: (
                median(&|o| at(&o.inter_us, 0.5)),
                median(&|o| at(&o.inter_us, 0.99)),
            ),
            batch: median(&|o| o.batch_tokens as f64),
            preempted: median(&|o| o.preempted as f64),
            rejected: median(&|o| o.rejected as f64),
            left: median(&|o| o.unused_share),
            yields: median(&|o| at(&o.preemption_us, 0.99)),
            refill: median(&|o| at(&o.refill_us, 0.5)),
        }
    }
}
