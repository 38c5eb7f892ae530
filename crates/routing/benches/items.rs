//! Duration of scheduling decisions by number of targets and queued items.

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

/// Items per job.
const JOB_ITEMS: u64 = 10;
/// Other hosts, each with queued items.
const PEERS: u64 = 62;

fn balancer(targets: u32) -> Balancer {
    let mut balancer = Balancer::new(Config::default(), 1);
    for target in 0..targets {
        let spec = Spec {
            service: "s".into(),
            data_centre: format!("d{}", target % 4),
            slots: 8,
            ..Spec::default()
        };
        balancer.upsert(&format!("t{target}"), spec);
    }
    balancer
}

fn queue(items: u64) -> Queue<u64, u64> {
    let mut queue = Queue::default();
    for item in 0..items {
        queue.push(1_000 + item / JOB_ITEMS, item, item);
    }
    queue
}

fn peer_queues(now: Instant) -> PeerQueues {
    let mut peer_queues = PeerQueues::default();
    for peer in 0..PEERS {
        // Due after the items of this host, so that this host may start the next one.
        let queued = queue(JOB_ITEMS * 3).summary(DUE_TIMES_MAX).into_iter();
        let later = queued.map(|group| QueuedItems {
            due_unix_ms: u64::MAX,
            ..group
        });
        let queued = later.collect();
        peer_queues.update(&format!("h{peer}"), queued, now);
    }
    peer_queues
}

/// Selects the next item, checks for earlier items of other hosts, and chooses a target.
fn next(c: &mut Criterion) {
    let mut group = c.benchmark_group("next item");
    group.measurement_time(Duration::from_secs(1));
    group.warm_up_time(Duration::from_millis(300));
    let now = Instant::now();
    for (targets, items) in [(9, 100), (60, 1_000), (60, 10_000)] {
        let mut balancer = balancer(targets);
        let mut queue = queue(items);
        let peer_queues = peer_queues(now);
        let id = BenchmarkId::new(format!("{targets} targets"), items);
        group.bench_function(id, |b| {
            b.iter(|| {
                queue.demote_late(|item| *item == u64::MAX);
                let (next, _) = queue.peek()?;
                let criteria = Criteria {
                    service: "s",
                    data_centre: "d1",
                    affinity: 0,
                    tried: &[],
                    objective: None,
                    ahead: peer_queues.ahead(next.sort_key_unix_ms()),
                    version: None,
                };
                black_box(balancer.choose_batch(&criteria, now))
            });
        });
    }
    group.finish();
}

/// Summarizes the queued items for a datagram.
fn summary(c: &mut Criterion) {
    let mut group = c.benchmark_group("queue summary");
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

criterion_group!(benches, next, summary);
criterion_main!(benches);
