//! The decisions on items against the number of targets and of items that wait.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use notchwharf_routing::items::queue::Queue;
use notchwharf_routing::items::turn::Line;
use notchwharf_routing::items::turn::TOLD_MAX;
use notchwharf_routing::items::turn::Waiting;
use notchwharf_routing::places::Config;
use notchwharf_routing::places::Places;
use notchwharf_routing::places::Spec;
use notchwharf_routing::places::Want;

/// Items of one job.
const JOB: u64 = 10;
/// Other hosts, each with items that wait.
const PEERS: u64 = 62;

fn places(targets: u32) -> Places {
    let mut places = Places::new(Config::default(), 1);
    for target in 0..targets {
        let spec = Spec {
            service: "s".into(),
            data_centre: format!("d{}", target % 4),
            slots: 8,
            ..Spec::default()
        };
        places.upsert(&format!("t{target}"), spec);
    }
    places
}

fn queue(items: u64) -> Queue<u64, u64> {
    let mut queue = Queue::default();
    for item in 0..items {
        queue.push(1_000 + item / JOB, item, item);
    }
    queue
}

fn line(now: Instant) -> Line {
    let mut line = Line::default();
    for peer in 0..PEERS {
        // Due after what waits here, so that it is this host's turn.
        let waiting = queue(JOB * 3).waiting(TOLD_MAX).into_iter();
        let later = waiting.map(|w| Waiting {
            due_unix_ms: u64::MAX,
            ..w
        });
        let waiting = later.collect();
        line.tell(&format!("h{peer}"), waiting, now);
    }
    line
}

/// Which item next, whether it is this host's turn, and where it goes.
fn next(c: &mut Criterion) {
    let mut group = c.benchmark_group("next item");
    group.measurement_time(Duration::from_secs(1));
    group.warm_up_time(Duration::from_millis(300));
    let now = Instant::now();
    for (targets, items) in [(9, 100), (60, 1_000), (60, 10_000)] {
        let mut places = places(targets);
        let mut queue = queue(items);
        let line = line(now);
        let id = BenchmarkId::new(format!("{targets} targets"), items);
        group.bench_function(id, |b| {
            b.iter(|| {
                queue.put_late_behind(|item| *item == u64::MAX);
                let (next, _) = queue.peek()?;
                let want = Want {
                    service: "s",
                    data_centre: "d1",
                    affinity: 0,
                    tried: &[],
                    objective: None,
                    ahead: line.ahead(next.turn_unix_ms()),
                };
                black_box(places.choose_batch(&want, now))
            });
        });
    }
    group.finish();
}

/// What a host tells of what waits, with each datagram.
fn tell(c: &mut Criterion) {
    let mut group = c.benchmark_group("tell what waits");
    group.measurement_time(Duration::from_secs(1));
    group.warm_up_time(Duration::from_millis(300));
    for items in [100, 1_000, 10_000] {
        let queue = queue(items);
        group.bench_function(BenchmarkId::from_parameter(items), |b| {
            b.iter(|| black_box(queue.waiting(TOLD_MAX)));
        });
    }
    group.finish();
}

criterion_group!(benches, next, tell);
criterion_main!(benches);
