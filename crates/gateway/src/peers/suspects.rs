//! What hosts tell one another of requests under which targets crash.
//!
//! A change is told at once to all hosts, also of other cells: each may be the next to
//! get the request. Datagrams get lost, so a crash is told twice. Hosts start anew or are
//! cut off, so each host also tells two others drawn at random what is worth it, twice a
//! second; hosts that were never reached by the first word have it within a second or
//! two. Nothing is sent while nothing is suspected. Passing each word on at once was
//! rejected: it multiplies a message that nearly always arrives.

use std::net::SocketAddr;
use std::sync::Arc;

use notchwharf_listen::Phase;
use notchwharf_proto::news;
use notchwharf_proto::news::News;
use notchwharf_quarantine::news::RETELL_GAP;
use notchwharf_quarantine::news::RETOLD_HOSTS;
use notchwharf_quarantine::news::decode;
use notchwharf_quarantine::news::encode;
use notchwharf_quarantine::news::tell_changes;
use notchwharf_routing::quarantine::Told;
use rand::seq::IteratorRandom as _;

use crate::context::Context;
use crate::metrics::Counted;
use crate::quarantine;
use crate::sync::lock;

/// Tells all hosts what changes, until the host stops.
pub(crate) async fn tell(ctx: Arc<Context>) {
    let gate = Arc::clone(&ctx.suspects.gate);
    tell_changes(gate, move |told| tell_all(&ctx, told)).await;
}

fn tell_all(ctx: &Context, told: &Told) {
    let addrs: Vec<SocketAddr> = {
        let known = lock(&ctx.peers.known);
        known.values().map(|peer| peer.addr).collect()
    };
    send(ctx, std::slice::from_ref(told), &addrs);
}

/// Tells a host that was not there before what is worth it.
pub(super) fn tell_newcomer(ctx: &Context, addr: SocketAddr) {
    send(ctx, &ctx.suspects.gate.retold(), &[addr]);
}

/// Tells others again until the host stops.
pub(super) async fn retell(ctx: Arc<Context>) {
    let mut ticks = ctx.timer.subscribe(RETELL_GAP);
    while ticks.recv().await.is_some() && ctx.phase() != Phase::Stopped {
        let gate = &ctx.suspects.gate;
        if gate.is_empty() {
            continue;
        }
        let told = gate.retold();
        ctx.metrics.set("suspects", gate.len());
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
    for suspects in encode(told) {
        let host = ctx.host().to_owned();
        let bytes = news::encode(&News::Suspects(news::Suspects { host, suspects }));
        for addr in addrs {
            // Lost, it is told again.
            let _ = socket.try_send_to(&bytes, *addr);
            ctx.metrics.count(Counted::Datagrams, "suspects");
        }
    }
}

/// Takes in what a host tells.
pub(super) fn take(ctx: &Arc<Context>, told: &news::Suspects) {
    for suspect in &told.suspects {
        quarantine::take(ctx, &told.host, &decode(suspect));
    }
}
