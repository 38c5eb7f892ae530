//! Cost of deciding whether a request may start and of reporting waiting requests, by the
//! number of known workspaces and of targets with free slots.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use notchwharf_waiting::FreeSlots;
use notchwharf_waiting::Request;
use notchwharf_waiting::RequestSummary;
use notchwharf_waiting::SlotUsage;
use notchwharf_waiting::WaitQueue;
use notchwharf_waiting::WorkspaceUsage;

const SERVICE: u32 = 1;
/// Requests that wait at this host, and at each of its peers.
const WAITING: u32 = 6;
/// Other hosts of the data centre.
const PEERS: u32 = 20;

fn usage(workspaces: u32) -> SlotUsage {
    let mut usage = SlotUsage::default();
    for workspace in 0..workspaces {
        let report = vec![WorkspaceUsage {
            workspace,
            weight: 10.0,
            slots: 1,
        }];
        usage.update_peer(&format!("h{workspace}"), report);
    }
    usage
}

fn queue(now: Instant) -> WaitQueue {
    let mut queue = WaitQueue::default();
    for workspace in 0..WAITING {
        let request = Request {
            service: SERVICE,
            workspace,
            priority: 0,
            waiting_since: now,
            start_deadline: now + Duration::from_millis(200),
        };
        queue.enqueue(request, now);
    }
    let waiting = RequestSummary {
        service: SERVICE,
        priority: 0,
        overuse_level: 0,
        age: Duration::from_millis(20),
    };
    for peer in 0..PEERS {
        queue.update_peer(&format!("h{peer}"), &[waiting; WAITING as usize], &[], now);
    }
    queue
}

fn may_start(c: &mut Criterion) {
    let mut group = c.benchmark_group("may start");
    for (workspaces, targets) in [(73, 15), (16_000, 153)] {
        let now = Instant::now();
        let (mut queue, usage) = (queue(now), usage(workspaces));
        let free: Vec<FreeSlots> = (0..targets)
            .map(|target| FreeSlots { target, count: 1 })
            .collect();
        let id = BenchmarkId::from_parameter(format!("{workspaces} workspaces, {targets} targets"));
        group.bench_function(id, |b| {
            b.iter(|| {
                let first = queue.first(SERVICE, &usage);
                first.map(|first| queue.may_start(black_box(&first), &free, 200.0, now))
            });
        });
    }
    group.finish();
}

fn report(c: &mut Criterion) {
    let now = Instant::now();
    let (queue, usage) = (queue(now), usage(16_000));
    c.bench_function("report waiting requests", |b| {
        b.iter(|| black_box(queue.summary(&usage, now)));
    });
}

criterion_group!(benches, may_start, report);
criterion_main!(benches);
