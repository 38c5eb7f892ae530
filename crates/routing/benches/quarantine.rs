//! Cost of deciding whether a request may be sent, with and without suspects.
//!
//! Without crashes the decision is a lookup in an empty table. With suspects the fingerprint
//! of the request has to be computed first, whose cost grows with the body. On one core with
//! SHA instructions (medians of one run): 0.4 ns without suspects; with 1,000 suspects,
//! fingerprint and decision take 0.9 us for a body of 1 KB and 307 us for one of 440 KB.
//!
//! For the parts of a prompt there is nothing to hash. With 10,000 suspected parts a decision on
//! three takes 11 ns if none is blamed, 0.11 us if three others are, and 0.24 us if the prompt has
//! one of them, which is to be tried (medians of one run).

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use notchwharf_routing::fingerprint;
use notchwharf_routing::fingerprint::Content;
use notchwharf_routing::prompt::PartId;
use notchwharf_routing::quarantine::Crash;
use notchwharf_routing::quarantine::Quarantine;
use notchwharf_routing::quarantine::parts;
use notchwharf_routing::quarantine::parts::Parts;

/// Number of suspects after many crashes: 125 crashes that ended eight requests each.
const SUSPECTS: u128 = 1_000;

/// Number of suspected parts.
const SUSPECTED_PARTS: u128 = 10_000;

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
    let mut empty = Quarantine::default();
    group.bench_function("nobody suspected", |b| {
        b.iter(|| decide(black_box(&mut empty), b"", now));
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

/// Returns a table of suspected parts, of which some are blamed.
fn suspected_parts(blamed: u128, now: Instant) -> Parts {
    let mut parts = Parts::default();
    for part in 0..SUSPECTED_PARTS {
        let crashes = if part < blamed { 4 } else { 1 };
        for incarnation in 0..crashes {
            let crash = parts::Crash {
                incarnation,
                request: incarnation,
                run_time: Duration::from_millis(100),
                has_begun: true,
                detected_at: now,
            };
            parts.record_crash(part, crash);
        }
    }
    parts
}

fn part_decisions(c: &mut Criterion) {
    let now = Instant::now();
    let mut group = c.benchmark_group("decision on parts");
    let cases: [(&str, u128, [PartId; 3]); 3] = [
        ("none blamed", 0, [1, 2, 3]),
        ("three blamed, none in the prompt", 3, [11, 12, 13]),
        ("three blamed, one in the prompt", 3, [11, 2, 13]),
    ];
    for (name, blamed, prompt) in cases {
        let mut table = suspected_parts(blamed, now);
        group.bench_function(name, |b| {
            b.iter(|| black_box(table.admit(black_box(&prompt), "a1", now)));
        });
    }
    group.finish();
}

criterion_group!(benches, decisions, part_decisions);
criterion_main!(benches);
