//! The decision whether a request may begin, and what is told of those that wait, against
//! the number of workspaces that are known and of targets with room.

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

fn shares(workspaces: u32) -> SlotUsage {
    let mut shares = SlotUsage::default();
    for workspace in 0..workspaces {
        let held = vec![WorkspaceUsage {
            workspace,
            weight: 10.0,
            slots: 1,
        }];
        shares.update_peer(&format!("h{workspace}"), held);
    }
    shares
}

fn line(now: Instant) -> WaitQueue {
    let mut line = WaitQueue::default();
    for workspace in 0..WAITING {
        let request = Request {
            service: SERVICE,
            workspace,
            priority: 0,
            waiting_since: now,
            start_deadline: now + Duration::from_millis(200),
        };
        line.enqueue(request, now);
    }
    let told = RequestSummary {
        service: SERVICE,
        priority: 0,
        overuse_level: 0,
        age: Duration::from_millis(20),
    };
    for peer in 0..PEERS {
        line.update_peer(&format!("h{peer}"), &[told; WAITING as usize], &[], now);
    }
    line
}

fn may_start(c: &mut Criterion) {
    let mut group = c.benchmark_group("may begin");
    for (workspaces, targets) in [(73, 15), (16_000, 153)] {
        let now = Instant::now();
        let (mut line, shares) = (line(now), shares(workspaces));
        let open: Vec<FreeSlots> = (0..targets)
            .map(|target| FreeSlots { target, count: 1 })
            .collect();
        let id = BenchmarkId::from_parameter(format!("{workspaces} workspaces, {targets} targets"));
        group.bench_function(id, |b| {
            b.iter(|| {
                let first = line.first(SERVICE, &shares);
                first.map(|first| line.may_start(black_box(&first), &open, 200.0, now))
            });
        });
    }
    group.finish();
}

fn told(c: &mut Criterion) {
    let now = Instant::now();
    let (line, shares) = (line(now), shares(16_000));
    c.bench_function("tell what waits", |b| {
        b.iter(|| black_box(line.summary(&shares, now)));
    });
}

criterion_group!(benches, may_start, told);
criterion_main!(benches);
