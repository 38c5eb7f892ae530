//! Compares policies: batch throughput and the impact on online latency.
//!
//! Columns: time to first token (ft) and between tokens (it) relative to online work
//! alone, batch tokens relative to batch work alone (of all) and to the capacity that
//! online work leaves (of left), preemptions, rejected online requests (shed), that
//! capacity (left), 99th percentile of the preemption latency (yield99), and median
//! refill time after a burst (refill).
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

const SMALL: Scenario = Scenario {
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

const LARGE: Scenario = Scenario {
    name: "18 targets, 0.5 ms",
    hosts: 12,
    targets: 18,
    inter_dc_latency_us: 500,
    online_per_s: 90.0,
    ..SMALL
};

fn main() {
    let direct = slots::Config::default();
    let small_reserve = slots::Config {
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
        ("reserve of 1", Policy::Direct(small_reserve, 32)),
        ("reserve of 1, 24", Policy::Direct(small_reserve, 24)),
        ("through holder", Policy::ThroughHolder(direct)),
        ("split 1/2", Policy::Split(usize::MAX)),
        ("none", Policy::Unlimited),
        ("tokens", Policy::Tokens(direct)),
    ];
    for scenario in [SMALL, LARGE] {
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
        let mut baseline = None;
        let mut batch_only_tokens = 1.0;
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
            let base = *baseline.get_or_insert(row);
            if policy == Policy::BatchOnly {
                batch_only_tokens = row.batch_tokens;
            }
            let ratio = |a: f64, b: f64| if b > 0.0 { a / b } else { 0.0 };
            let batch_share = ratio(row.batch_tokens, batch_only_tokens);
            println!(
                "{label:16} {:9.2} {:9.2} {:9.2} {:9.2} {:6.1}% {:6.1}% {:9.0} {:9.0} {:5.1}% {:6.1}ms {:6.0}ms",
                ratio(row.first_us.0, base.first_us.0),
                ratio(row.first_us.1, base.first_us.1),
                ratio(row.inter_us.0, base.inter_us.0),
                ratio(row.inter_us.1, base.inter_us.1),
                batch_share * 100.0,
                ratio(batch_share, row.unused_share) * 100.0,
                row.preempted,
                row.rejected,
                row.unused_share * 100.0,
                row.preemption_us / 1e3,
                row.refill_us / 1e3,
            );
            if policy == Policy::OnlineOnly {
                println!(
                    "{:15} {:7.1}ms {:7.1}ms {:7.1}ms {:7.1}ms",
                    "  absolute",
                    row.first_us.0 / 1e3,
                    row.first_us.1 / 1e3,
                    row.inter_us.0 / 1e3,
                    row.inter_us.1 / 1e3
                );
            }
        }
    }
}

#[derive(Clone, Copy)]
struct Row {
    first_us: (f64, f64),
    inter_us: (f64, f64),
    batch_tokens: f64,
    preempted: f64,
    rejected: f64,
    unused_share: f64,
    preemption_us: f64,
    refill_us: f64,
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
            first_us: (
                median(&|o| at(&o.first_us, 0.5)),
                median(&|o| at(&o.first_us, 0.99)),
            ),
            inter_us: (
                median(&|o| at(&o.inter_us, 0.5)),
                median(&|o| at(&o.inter_us, 0.99)),
            ),
            batch_tokens: median(&|o| o.batch_tokens as f64),
            preempted: median(&|o| o.preempted as f64),
            rejected: median(&|o| o.rejected as f64),
            unused_share: median(&|o| o.unused_share),
            preemption_us: median(&|o| at(&o.preemption_us, 0.99)),
            refill_us: median(&|o| at(&o.refill_us, 0.5)),
        }
    }
}
