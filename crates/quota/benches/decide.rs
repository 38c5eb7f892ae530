//! Cost of a decision, from API key to admission, in a configuration of 16,000 workspaces.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use notchwharf_config::access::RateLimit;
use notchwharf_config::access::Workspace;
use notchwharf_config::access::Workspaces;
use notchwharf_quota::Bounds;
use notchwharf_quota::BucketParams;
use notchwharf_quota::Fleet;
use notchwharf_quota::Limiter;
use notchwharf_quota::workspace_key;

const WORKSPACES: usize = 16_000;

fn entries() -> Vec<Workspace> {
    let entry = |number: usize| Workspace {
        name: format!("workspace-{number}"),
        keys: (0..2)
            .map(|key| format!("key-of-{number}-{key}-abcdef"))
            .collect(),
        priority: Some(1),
        limit: Some(RateLimit {
            per_s: 1e6,
            burst: 1e6,
        }),
    };
    (0..WORKSPACES).map(entry).collect()
}

fn decisions(c: &mut Criterion) {
    let (workspaces, _) = Workspaces::new(entries());
    let bounds = Bounds {
        window: Duration::from_secs(5),
        excess: 0.1,
        slack: 20.0,
    };
    let limited = workspaces.iter().filter_map(|workspace| {
        let params = BucketParams::new(workspace.limit?, bounds);
        Some((workspace_key(&workspace.name), params))
    });
    let start = Instant::now();
    let mut limiter = Limiter::new(1, 0, start);
    limiter.set_limits(limited.collect(), start);
    let later = start + Duration::from_secs(5);
    let fleet = Fleet {
        members: &[1],
        is_complete: true,
        ..Fleet::default()
    };
    limiter.tick(&fleet, true, later);
    let now = later + Duration::from_millis(500);
    let mut group = c.benchmark_group("decision at 16,000 workspaces");
    group.bench_function("find the workspace of a key", |b| {
        b.iter(|| workspaces.by_key(black_box("key-of-12345-1-abcdef")));
    });
    group.bench_function("decide a request", |b| {
        b.iter(|| {
            let key = workspace_key(black_box("workspace-12345"));
            limiter.query(key, Duration::ZERO, now)
        });
    });
    group.finish();
    let mut group = c.benchmark_group("table of 16,000 workspaces");
    group.sample_size(10);
    group.bench_function("built", |b| {
        b.iter_with_setup(entries, |entries| black_box(Workspaces::new(entries)));
    });
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
