//! The decision whether a request may begin, and what is told of those that wait, against
//! the number of workspaces that are known and of targets with room.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use notchwharf_waiting::Held;
use notchwharf_waiting::Line;
use notchwharf_waiting::Open;
use notchwharf_waiting::Request;
use notchwharf_waiting::Shares;
use notchwharf_waiting::Told;

const SERVICE: u32 = 1;
/// Requests that wait at this host, and at each of its peers.
const WAITING: u32 = 6;
/// Other hosts of the data centre.
const PEERS: u32 = 20;

fn shares(workspaces: u32) -> Shares {
    let mut shares = Shares::default();
    for workspace in 0..workspaces {
        let held = vec![Held {
            workspace,
            weight: 10.0,
            places: 1,
        }];
        shares.tell(&format!("h{workspace}"), held);
    }
    shares
}

fn line(now: Instant) -> Line {
    let mut line = Line::default();
    for workspace in 0..WAITING {
        let request = Request {
            service: SERVICE,
            workspace,
            priority: 0,
            since: now,
            latest: now + Duration::from_millis(200),
        };
        line.enter(request, now);
    }
    let told = Told {
        service: SERVICE,
        priority: 0,
        level: 0,
        age: Duration::from_millis(20),
    };
    for peer in 0..PEERS {
        line.tell(&format!("h{peer}"), &[told; WAITING as usize], &[], now);
    }
    line
}

fn may_begin(c: &mut Criterion) {
    let mut group = c.benchmark_group("may begin");
    for (workspaces, targets) in [(73, 15), (16_000, 153)] {
        let now = Instant::now();
        let (mut line, shares) = (line(now), shares(workspaces));
        let open: Vec<Open> = (0..targets)
            .map(|target| Open { target, places: 1 })
            .collect();
        let id = BenchmarkId::from_parameter(format!("{workspaces} workspaces, {targets} targets"));
        group.bench_function(id, |b| {
            b.iter(|| {
                let first = line.first(SERVICE, &shares);
                first.map(|first| line.may_begin(black_box(&first), &open, 200.0, now))
            });
        });
    }
    group.finish();
}

fn told(c: &mut Criterion) {
    let now = Instant::now();
    let (line, shares) = (line(now), shares(16_000));
    c.bench_function("tell what waits", |b| {
        b.iter(|| black_box(line.told(&shares, now)));
    });
}

criterion_group!(benches, may_begin, told);
criterion_main!(benches);
