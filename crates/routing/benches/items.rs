//! The decisions on items against the number of targets and of items that wait.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use notchwharf_routing::balancer::Balancer;
use notchwharf_routing::balancer::Config;
use notchwharf_routing::balancer::Criteria;
use notchwharf_routing::balancer::Spec;
use notchwharf_routing::items::peer_queues::DUE_TIMES_MAX;
use notchwharf_routing::items::peer_queues::PeerQueues;
use notchwharf_routing::items::peer_queues::QueuedItems;
use notchwharf_routing::items::queue::Queue;

/// Items of one job.
const JOB: u64 = 10;
/// Other hosts, each with items that wait.
const PEERS: u64 = 62;

fn places(targets: u32) -> Balancer {
    let mut places = Balancer::new(Config::default(), 1);
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

fn line(now: Instant) -> PeerQueues {
    let mut line = PeerQueues::default();
    for peer in 0..PEERS {
        // Due after what waits here, so that it is this host's turn.
        let waiting = queue(JOB * 3).summary(DUE_TIMES_MAX).into_iter();
        let later = waiting.map(|w| QueuedItems {
            due_unix_ms: u64::MAX,
            ..w
        });
        let waiting = later.collect();
        line.update(&format!("h{peer}"), waiting, now);
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
                queue.demote_late(|item| *item == u64::MAX);
                let (next, _) = queue.peek()?;
                let want = Criteria {
                    service: "s",
                    data_centre: "d1",
                    affinity: 0,
                    tried: &[],
                    objective: None,
                    ahead: line.ahead(next.sort_key_unix_ms()),
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
            b.iter(|| black_box(queue.summary(DUE_TIMES_MAX)));
        });
    }
    group.finish();
}

criterion_group!(benches, next, tell);
criterion_main!(benches);
