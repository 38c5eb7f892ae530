//! What hosts tell one another of requests under which targets crash.
//!
//! A change is told at once to all hosts, also of other cells: each may be the next to
//! get the request. Datagrams get lost, so a crash is told twice. Hosts start anew or are
//! cut off, so each host also tells two others drawn at random what is worth it, twice a second; hosts that
//! were never reached by the first word have it within a second or two. Nothing is sent while nothing is
//! suspected. Passing each word on at once was rejected: it multiplies a message that
//! nearly always arrives.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use notchwharf_listen::Phase;
use notchwharf_proto::news;
use notchwharf_proto::news::News;
use notchwharf_routing::fingerprint::Fingerprint;
use notchwharf_routing::quarantine::Told;
use notchwharf_routing::quarantine::ToldCrash;
use rand::seq::IteratorRandom as _;

use crate::context::Context;
use crate::context::lock;
use crate::context::millis;
use crate::context::ms;
use crate::metrics::Counted;
use crate::quarantine;

/// Time after which a crash is told once more: longer than most disturbances of a link,
/// and less than requests like it take to come again.
const TELL_GAP: Duration = Duration::from_millis(50);

/// Time between two times that suspects are told again: several fit into the time in
/// which a host that was cut off must be as good as any other.
const RETELL_GAP: Duration = Duration::from_millis(500);

/// Hosts that are told again each time.
const RETOLD_HOSTS: usize = 2;

/// Bytes of a datagram: what the least link carries in one packet.
const BYTES_MAX: usize = 1_200;

/// Tells all hosts what is known of a request.
pub(crate) fn tell(ctx: &Context, fingerprint: Fingerprint) {
    let told = lock(ctx.suspects.table()).told(fingerprint, ctx.host(), Instant::now());
    let Some(told) = told else {
        return;
    };
    let addrs: Vec<SocketAddr> = {
        let known = lock(&ctx.peers.known);
        known.values().map(|peer| peer.addr).collect()
    };
    send(ctx, &[told], &addrs);
}

/// Tells all hosts of a crash under a request, now and once more: one datagram in thirty
/// may get lost, and a host that missed it would send the request to a target.
pub(crate) fn tell_crash(ctx: &Arc<Context>, fingerprint: Fingerprint) {
    tell(ctx, fingerprint);
    let ctx = Arc::clone(ctx);
    tokio::spawn(async move {
        tokio::time::sleep(TELL_GAP).await;
        tell(&ctx, fingerprint);
    });
}

/// Tells a host that was not there before what is worth it.
pub(super) fn tell_newcomer(ctx: &Context, addr: SocketAddr) {
    let told = lock(ctx.suspects.table()).retold(ctx.host(), Instant::now());
    send(ctx, &told, &[addr]);
}

/// Tells others again until the host stops.
pub(super) async fn retell(ctx: Arc<Context>) {
    let mut ticks = ctx.timer.subscribe(RETELL_GAP);
    while ticks.recv().await.is_some() && ctx.phase() != Phase::Stopped {
        let told = {
            let mut table = lock(ctx.suspects.table());
            if table.is_empty() {
                continue;
            }
            let now = Instant::now();
            table.forget_old(now);
            ctx.metrics.set("suspects", table.len());
            table.retold(ctx.host(), now)
        };
        let addrs: Vec<SocketAddr> = {
            let known = lock(&ctx.peers.known);
            let addrs = known.values().map(|peer| peer.addr);
            addrs.sample(&mut rand::rng(), RETOLD_HOSTS)
        };
        send(&ctx, &told, &addrs);
    }
}

fn send(ctx: &Context, told: &[Told], addrs: &[SocketAddr]) {
    let Some(socket) = ctx.peers.socket.get() else {
        return;
    };
    for suspects in parts(told) {
        let host = ctx.host().to_owned();
        let bytes = news::encode(&News::Suspects(news::Suspects { host, suspects }));
        for addr in addrs {
            // Lost, it is told again.
            let _ = socket.try_send_to(&bytes, *addr);
            ctx.metrics.count(Counted::Datagrams, "suspects");
        }
    }
}

/// Returns suspects in parts that each fit a datagram.
fn parts(told: &[Told]) -> Vec<Vec<news::Suspect>> {
    let mut parts: Vec<Vec<news::Suspect>> = Vec::new();
    let mut bytes = BYTES_MAX;
    for suspect in told.iter().map(encode) {
        let size = news::suspect_bytes(&suspect);
        bytes += size;
        match parts.last_mut() {
            Some(part) if bytes <= BYTES_MAX => part.push(suspect),
            _ => {
                bytes = size;
                parts.push(vec![suspect]);
            }
        }
    }
    parts
}

/// Takes in what a host tells.
pub(super) fn take(ctx: &Arc<Context>, told: &news::Suspects) {
    let now = Instant::now();
    for suspect in &told.suspects {
        quarantine::take(ctx, &told.host, &decode(suspect), now);
    }
}

fn encode(told: &Told) -> news::Suspect {
    let crashes = told.crashes.iter().map(|crash| news::Crash {
        life: crash.life,
        ran_ms: millis(crash.ran),
        age_ms: millis(crash.age),
    });
    news::Suspect {
        fingerprint: told.fingerprint,
        clearances: told.clearances,
        crashes: crashes.collect(),
        runs_since_ms: told.runs_since.map(millis),
    }
}

fn decode(suspect: &news::Suspect) -> Told {
    let crashes = suspect.crashes.iter().map(|crash| ToldCrash {
        life: crash.life,
        ran: ms(crash.ran_ms),
        age: ms(crash.age_ms),
    });
    Told {
        fingerprint: suspect.fingerprint,
        clearances: suspect.clearances,
        crashes: crashes.collect(),
        runs_since: suspect.runs_since_ms.map(ms),
    }
}
