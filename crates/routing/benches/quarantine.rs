//! What the decision costs whether a request may be sent, with and without suspects.
//!
//! On a day without crashes it is a look at an empty table. With suspects a request has
//! to be named first, which grows with its body. Before there was nothing. Measured on one
//! core with SHA instructions (medians of one run): 0.4 ns with nobody suspected; named and
//! decided beside 1,000 suspects 0.9 us with a body of 1 KB and 307 us with one of 440 KB.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use notchwharf_routing::fingerprint;
use notchwharf_routing::fingerprint::Content;
use notchwharf_routing::quarantine::Crash;
use notchwharf_routing::quarantine::Quarantine;

/// Requests that are suspected after many crashes: 125 with eight victims each.
const SUSPECTS: u128 = 1_000;

fn suspects(now: Instant) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for number in 0..SUSPECTS {
        let crash = Crash {
            incarnation: 1,
            run_time: Duration::from_millis(100),
            detected_at: now,
        };
        quarantine.record_crash(number, crash);
    }
    quarantine
}

fn decide(quarantine: &mut Quarantine, body: &[u8], now: Instant) {
    if quarantine.is_empty() {
        return;
    }
    let fingerprint = fingerprint::of(&Content {
        host: "a.example",
        method: "POST",
        path: "/a/b/c/1234",
        caller: b"",
        body,
    });
    black_box(quarantine.admit(fingerprint, "a1", now));
}

fn decisions(c: &mut Criterion) {
    let now = Instant::now();
    let mut group = c.benchmark_group("decision");
    let mut nobody = Quarantine::default();
    group.bench_function("nobody suspected", |b| {
        b.iter(|| decide(black_box(&mut nobody), b"", now));
    });
    let mut quarantine = suspects(now);
    for bytes in [1_000, 440_000] {
        let body = vec![7; bytes];
        group.bench_function(BenchmarkId::new("body", bytes), |b| {
            b.iter(|| decide(&mut quarantine, black_box(&body), now));
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
