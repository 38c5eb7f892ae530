//! Time to decode and apply a bundle, by the number of tenants.

use std::hint::black_box;
use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use notchwharf_config::bundle::Bundle;
use notchwharf_config::bundle::Serving;
use notchwharf_config::bundle::Tenant;
use notchwharf_config::bundle::key_digest;
use notchwharf_config::history::History;
use notchwharf_config::history::Record;

const MODELS: usize = 21;

fn bundle(tenants: usize) -> Bundle {
    let serving = |i| Serving {
        name: format!("serving-{i}"),
        model: format!("model-{i}"),
        adapter: None,
        version: "1".into(),
        replicas: 66,
    };
    let tenant = |i| Tenant {
        name: format!("tenant-{i}"),
        key_sha256: vec![key_digest(&format!("key-{i}"))],
        servings: vec![format!("serving-{}", i % MODELS)],
        services: Vec::new(),
        weight: 1,
        classes: Vec::new(),
    };
    Bundle {
        servings: (0..MODELS).map(serving).collect(),
        tenants: (0..tenants).map(tenant).collect(),
        services: Vec::new(),
    }
}

fn apply(c: &mut Criterion) {
    let mut group = c.benchmark_group("bundle");
    group.sample_size(10);
    group.measurement_time(Duration::from_secs(1));
    for tenants in [1_000, 4_000, 16_000] {
        let bundle = bundle(tenants);
        let digest = bundle.digest();
        let proposal = Record::proposal(None, "ana", bundle);
        let text = serde_json::to_vec(&proposal).expect("A record is representable.");
        println!("{tenants} tenants: {} bytes", text.len());
        group.bench_function(BenchmarkId::new("apply", tenants), |b| {
            b.iter(|| {
                let mut history = History::default();
                let record = serde_json::from_slice(&text).expect("The text is a valid record.");
                history.apply(0, record).expect("The proposal is accepted.");
                let sign_off = Record::sign_off(0, &digest, "rui");
                history
                    .apply(1, sign_off)
                    .expect("The sign-off is accepted.");
                black_box(history)
            });
        });
    }
    group.finish();
}

criterion_group!(benches, apply);
criterion_main!(benches);
