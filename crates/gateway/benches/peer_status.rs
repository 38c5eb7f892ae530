//! Cost of applying a peer's status datagram, by number of peers.
//!
//! In a fleet of a single cell a host receives some hundred datagrams per second from each ten
//! peers, which take most of its CPU time.

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
/// Number of targets at which a host runs requests at a time.
const BUSY_TARGETS: u32 = 2;

fn balancer() -> Balancer {
    let mut balancer = Balancer::new(Config::default(), 1);
    for target in 0..TARGETS {
        let spec = Spec {
            service: "s".into(),
            data_centre: format!("d{}", target % 5),
            slots: 7,
            ..Spec::default()
        };
        balancer.upsert(&format!("i-{target:08x}"), spec);
    }
    balancer
}

/// Returns a peer's status at a step; its loads differ at each step.
fn datagram(peer: u32, step: u32) -> Vec<u8> {
    let loads = (0..BUSY_TARGETS).map(|n| messages::Load {
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

fn apply(balancer: &mut Balancer, bytes: &[u8], now: Instant) {
    let Some(PeerMessage::Status(status)) = messages::decode(bytes) else {
        return;
    };
    let loads = status.loads.iter().map(|report| {
        let load = Load {
            online: report.online,
            batch: report.batch,
        };
        (report.target, load)
    });
    balancer.set_peer_loads(&status.host, loads, status.failing, now);
}

fn peer_status(c: &mut Criterion) {
    let now = Instant::now();
    let mut group = c.benchmark_group("peer_status");
    for peers in [60, 360] {
        for (what, steps) in [("changed", 2), ("unchanged", 1)] {
            let mut balancer = balancer();
            let datagrams: Vec<Vec<u8>> = (0..steps)
                .flat_map(|step| (0..peers).map(move |peer| datagram(peer, step)))
                .collect();
            let mut next = datagrams.iter().cycle();
            group.bench_function(BenchmarkId::new(what, peers), |b| {
                b.iter(|| {
                    let bytes = next.next().map_or(&[][..], Vec::as_slice);
                    apply(&mut balancer, black_box(bytes), now);
                });
            });
        }
    }
    group.finish();
}

criterion_group!(benches, peer_status);
criterion_main!(benches);
