//! Benchmarks of the fold, snapshots and takeovers by number of items.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use criterion::BatchSize;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::Throughput;
use criterion::criterion_group;
use criterion::criterion_main;
use notchwharf_ledger::job::Chunk;
use notchwharf_ledger::job::Manifest;
use notchwharf_ledger::job::Spec;
use notchwharf_ledger::owner::Config;
use notchwharf_ledger::owner::Input;
use notchwharf_ledger::owner::Now;
use notchwharf_ledger::owner::Owner;
use notchwharf_ledger::record::BlobId;
use notchwharf_ledger::record::Entry;
use notchwharf_ledger::record::Place;
use notchwharf_ledger::record::Record;
use notchwharf_ledger::record::RecordId;
use notchwharf_ledger::shard::Shard;

const CHUNK_ITEMS: u32 = 1_000;
const RECORD_ENTRIES: u32 = 100;
const JOB_ITEMS_MAX: u32 = 230_000;

fn record(seq: u64, epoch: Option<u64>, entries: Vec<Entry>) -> Record {
    let id = RecordId {
        host: "a1".into(),
        incarnation: 1,
        seq,
    };
    Record {
        id,
        epoch,
        snapshot: None,
        entries,
    }
}

fn spec(id: u32, items: u32) -> Spec {
    let chunks = (0..items.div_ceil(CHUNK_ITEMS)).map(|i| Chunk {
        blob: BlobId {
            stream: 1,
            offset: u64::from(i),
        },
        first: i * CHUNK_ITEMS,
        len: u16::try_from(CHUNK_ITEMS.min(items - i * CHUNK_ITEMS)).unwrap_or(0),
    });
    Spec {
        id: format!("job-{id}"),
        tenant: "school".into(),
        file: format!("file-{id}"),
        metadata: std::collections::BTreeMap::new(),
        created_unix_ms: 0,
        weight: 1,
        manifest: Manifest {
            serving: "hints".into(),
            endpoint: "/v1/chat/completions".into(),
            chunks: chunks.collect(),
        },
    }
}

/// Returns the records of a shard with a number of items, half of them completed.
fn records(items: u32) -> Vec<Record> {
    let claim = Entry::Claim {
        supersedes: None,
        seen: 0,
    };
    let mut log = vec![record(1, None, vec![claim])];
    let mut seq = 1;
    let mut push = |log: &mut Vec<Record>, entries| {
        seq += 1;
        log.push(record(seq, Some(1), entries));
    };
    let sizes =
        (0..items.div_ceil(JOB_ITEMS_MAX)).map(|i| JOB_ITEMS_MAX.min(items - i * JOB_ITEMS_MAX));
    for (job, size) in (0..).zip(sizes) {
        push(&mut log, vec![Entry::Job(spec(job, size))]);
        for from in (0..size / 2).step_by(RECORD_ENTRIES as usize) {
            let done = (from..(from + RECORD_ENTRIES).min(size / 2)).map(|item| Entry::Done {
                job: format!("job-{job}"),
                item,
                place: Place {
                    offset: u64::from(item),
                    stream: 3,
                    index: 7,
                },
            });
            push(&mut log, done.collect());
        }
    }
    log
}

fn fold_all(records: &[Record]) -> Shard {
    let mut shard = Shard::default();
    for (i, record) in records.iter().enumerate() {
        // Offsets are consecutive, so the fold reports no gap.
        let _ = shard.apply(i as u64 + 1, record);
    }
    shard
}

fn takeover(bytes: &[u8]) -> Owner {
    let now = Now {
        at: Instant::now(),
        unix_ms: 0,
    };
    let shard = Shard::decode(bytes).expect("The snapshot is complete.");
    let next = shard.next_offset();
    let mut cfg = Config::new("a1", 1);
    cfg.host = "b1".into();
    let mut owner = Owner::resume(cfg, shard, now);
    let claim = Entry::Claim {
        supersedes: Some(1),
        seen: next,
    };
    let mut record = record(1, None, vec![claim]);
    record.id.host = "b1".into();
    owner.step(
        now,
        Input::RecordRead {
            offset: next,
            record,
        },
    );
    assert!(owner.held_epoch().is_some(), "The claim is granted.");
    owner
}

fn fold(c: &mut Criterion) {
    let mut group = c.benchmark_group("ledger");
    group.sample_size(10);
    group.measurement_time(Duration::from_secs(1));
    group.warm_up_time(Duration::from_millis(300));
    for items in [10_000, 100_000, 300_000, 1_000_000] {
        let records = records(items);
        let shard = fold_all(&records);
        let bytes = shard.encode();
        println!(
            "{items} items, half done: {} bytes of snapshot, {:.1} an item",
            bytes.len(),
            bytes.len() as f64 / f64::from(items)
        );
        group.throughput(Throughput::Elements(u64::from(items)));
        group.bench_function(BenchmarkId::new("fold", items), |b| {
            b.iter(|| black_box(fold_all(&records)));
        });
        group.bench_function(BenchmarkId::new("save", items), |b| {
            b.iter(|| black_box(shard.encode()));
        });
        group.bench_function(BenchmarkId::new("takeover", items), |b| {
            b.iter_batched(
                || (),
                |()| black_box(takeover(&bytes)),
                BatchSize::PerIteration,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, fold);
criterion_main!(benches);
