//! What one datagram of a peer costs to take in, against the number of peers.
//!
//! A host of a fleet that is not divided takes in some hundred of them a second from
//! each ten peers, so this is most of its processor time.

use std::hint::black_box;
use std::time::Instant;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use notchwharf_proto::messages;
use notchwharf_proto::messages::PeerMessage;
use notchwharf_proto::messages::Status;
use notchwharf_routing::balancer::Balancer;
use notchwharf_routing::balancer::Config;
use notchwharf_routing::balancer::Load;
use notchwharf_routing::balancer::Spec;
use notchwharf_routing::balancer::key_of;

const TARGETS: u32 = 153;
/// Targets at which a host runs something at a time.
const BUSY: u32 = 2;

fn places() -> Balancer {
    let mut places = Balancer::new(Config::default(), 1);
    for target in 0..TARGETS {
        let spec = Spec {
            service: "s".into(),
            data_centre: format!("d{}", target % 5),
            slots: 7,
            ..Spec::default()
        };
        places.upsert(&format!("i-{target:08x}"), spec);
    }
    places
}

/// Returns what a peer tells at a step: it runs something else each time.
fn datagram(peer: u32, step: u32) -> Vec<u8> {
    let loads = (0..BUSY).map(|n| messages::Load {
        target: key_of(&format!("i-{:08x}", (peer + step + n) % TARGETS)),
        online: 1,
        batch: 0,
    });
    messages::encode(&PeerMessage::Status(Status {
        host: format!("front-cluj-a-{peer}"),
        incarnation: 1_700_000_000_000,
        number: u64::from(step),
        store_up: true,
        config: 3,
        targets: 400,
        jobs: 4_000,
        loads: loads.collect(),
        ..Status::default()
    }))
}

fn take(places: &mut Balancer, bytes: &[u8], now: Instant) {
    let Some(PeerMessage::Status(status)) = messages::decode(bytes) else {
        return;
    };
    let loads = status.loads.iter().map(|told| {
        let load = Load {
            online: told.online,
            batch: told.batch,
        };
        (told.target, load)
    });
    places.set_peer_loads(&status.host, loads, status.failing, now);
}

fn news(c: &mut Criterion) {
    let now = Instant::now();
    let mut group = c.benchmark_group("news");
    for peers in [60, 360] {
        for (what, steps) in [("changed", 2), ("unchanged", 1)] {
            let mut places = places();
            let told: Vec<Vec<u8>> = (0..steps)
                .flat_map(|step| (0..peers).map(move |peer| datagram(peer, step)))
                .collect();
            let mut next = told.iter().cycle();
            group.bench_function(BenchmarkId::new(what, peers), |b| {
                b.iter(|| {
                    let bytes = next.next().map_or(&[][..], Vec::as_slice);
                    take(&mut places, black_box(bytes), now);
                });
            });
        }
    }
    group.finish();
}

criterion_group!(benches, news);
criterion_main!(benches);
