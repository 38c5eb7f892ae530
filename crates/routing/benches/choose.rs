//! Duration of the routing decision by number of targets.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use notchwharf_routing::table::Config;
use notchwharf_routing::table::Report;
use notchwharf_routing::table::Table;

/// Number of models, each served by an equal share of the targets.
const MODELS: usize = 21;

fn table(targets: usize, models: usize) -> Table {
    let now = Instant::now();
    let mut table = Table::new(Config::default(), 1);
    for i in 0..targets {
        let report = Report {
            is_for_online: true,
            models: vec![format!("m{}", i % models)],
            ..Report::default()
        };
        table.upsert(&format!("t{i}"), report, now);
    }
    table
}

fn choose(c: &mut Criterion) {
    let mut group = c.benchmark_group("choose");
    group.measurement_time(Duration::from_secs(1));
    group.warm_up_time(Duration::from_millis(300));
    for (label, models) in [("one model", 1), ("21 models", MODELS)] {
        for targets in [12, 100, 400, 1_400] {
            let mut table = table(targets, models);
            let now = Instant::now();
            let mut prefix = 0_u64;
            let id = BenchmarkId::new(label, targets);
            group.bench_function(id, |b| {
                b.iter(|| {
                    prefix = prefix.wrapping_add(0x9E37_79B9);
                    black_box(table.choose("m0", prefix, &[], now))
                });
            });
        }
    }
    group.finish();
}

criterion_group!(benches, choose);
criterion_main!(benches);
