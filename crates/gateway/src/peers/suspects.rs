//! What hosts tell one another of requests under which targets crash.
//!
//! A change is told at once to all hosts, also of other cells: each may be the next to
//! get the request. Datagrams get lost, so a crash is told twice. Hosts start anew or are
//! cut off, so each host also tells two others drawn at random what is worth it, twice a
//! second; hosts that were never reached by the first word have it within a second or
//! two. A host that starts asks one that runs, since the next request may be one that is
//! blamed, and the store, where these are written down, may be away. Nothing is sent
//! while nothing is suspected. Passing each word on at once was
//! rejected: it multiplies a message that nearly always arrives.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use notchwharf_listen::Phase;
use notchwharf_proto::messages;
use notchwharf_proto::messages::PeerMessage;
use notchwharf_quarantine::reports::REPORT_FANOUT;
use notchwharf_quarantine::reports::REPORT_INTERVAL;
use notchwharf_quarantine::reports::decode;
use notchwharf_quarantine::reports::encode;
use notchwharf_quarantine::reports::send_changes;
use notchwharf_routing::balancer::HostId;
use notchwharf_routing::quarantine::Report;
use notchwharf_startup::Dependency;
use rand::seq::IteratorRandom as _;

use super::loading;
use super::rpc;
use crate::context::Context;
use crate::metrics::Counted;
use crate::quarantine;
use crate::sync::lock;

/// Time between two peers that a host asks when it starts, and before the first: the
/// store answers sooner, if it does.
const ASK_GAP: Duration = Duration::from_millis(50);
/// Time for a peer's answer: many times the way between data centres.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after its start for which a host holds requests back until it knows what was
/// blamed: three beats of a peer, whose first one may be lost.
const CATCH_UP_MAX: Duration = Duration::from_millis(1_000);

/// Tells all hosts what changes, until the host stops.
pub(crate) async fn broadcast_changes(ctx: Arc<Context>) {
    let gate = Arc::clone(&ctx.suspects.gate);
    send_changes(gate, move |told| tell_all(&ctx, told)).await;
}

fn tell_all(ctx: &Context, told: &Report) {
    let addrs: Vec<SocketAddr> = {
        let known = lock(&ctx.peers.known);
        known.values().map(|peer| peer.addr).collect()
    };
    send(ctx, std::slice::from_ref(told), &addrs);
}

/// Tells a host that was not there before what is worth it.
pub(super) fn tell_newcomer(ctx: &Context, addr: SocketAddr) {
    send(ctx, &ctx.suspects.gate.periodic_reports(), &[addr]);
}

/// Tells others again until the host stops.
pub(super) async fn send_periodic_reports(ctx: Arc<Context>) {
    let mut ticks = ctx.timer.subscribe(REPORT_INTERVAL);
    while ticks.recv().await.is_some() && ctx.phase() != Phase::Stopped {
        let gate = &ctx.suspects.gate;
        if gate.is_empty() {
            continue;
        }
        let told = gate.periodic_reports();
        ctx.metrics.set("suspects", gate.len());
        let addrs: Vec<SocketAddr> = {
            let known = lock(&ctx.peers.known);
            let addrs = known.values().map(|peer| peer.addr);
            addrs.sample(&mut rand::rng(), REPORT_FANOUT)
        };
        send(&ctx, &told, &addrs);
    }
}

fn send(ctx: &Context, told: &[Report], addrs: &[SocketAddr]) {
    let Some(socket) = ctx.peers.socket.get() else {
        return;
    };
    for suspects in encode(told) {
        let host = ctx.host().to_owned();
        let bytes = messages::encode(&PeerMessage::Suspects(messages::Suspects {
            host,
            suspects,
        }));
        for addr in addrs {
            // Lost, it is told again.
            let _ = socket.try_send_to(&bytes, *addr);
            ctx.metrics.count(Counted::Datagrams, "suspects");
        }
    }
}

/// Returns what is known here, for a host that starts; nothing if this one has just
/// started itself.
pub(super) fn handed_over(ctx: &Context) -> Option<Vec<u8>> {
    if !ctx.startup.is_ready(Dependency::Suspects) {
        return None;
    }
    let told = ctx.suspects.gate.periodic_reports();
    let suspects: Vec<messages::Suspect> = encode(&told).into_iter().flatten().collect();
    Some(postcard::to_stdvec(&suspects).expect("Suspects are representable."))
}

/// Asks peers until it is known, from them or from the store, what was blamed before this
/// host started.
pub(crate) async fn catch_up(ctx: Arc<Context>) {
    while !ctx.startup.is_ready(Dependency::Suspects) && ctx.phase() < Phase::Leaving {
        if ctx.startup.uptime() > CATCH_UP_MAX {
            // Nobody is there to tell: holding all requests back would be worse.
            slog::warn!(ctx.logger, "nobody could tell what was blamed");
            return ctx.startup.mark_ready(Dependency::Suspects, "nobody");
        }
        // One without routes has just started itself.
        if let Some((host, addr)) = loading::peer(&ctx, |p| p.status.config > 0) {
            ask(&ctx, &host, addr).await;
        }
        tokio::time::sleep(ASK_GAP).await;
    }
}

async fn ask(ctx: &Arc<Context>, host: &HostId, addr: SocketAddr) {
    let answer = rpc::call(addr, rpc::SUSPECTS, Bytes::new(), ASK_TIMEOUT).await;
    // One that has just started, or that is gone; another is asked next.
    let Ok(bytes) = answer else {
        return ctx
            .metrics
            .count(Counted::Changes, "suspects not handed over");
    };
    match postcard::from_bytes::<Vec<messages::Suspect>>(&bytes) {
        Ok(suspects) => {
            for suspect in &suspects {
                quarantine::merge_report(ctx, host, &decode(suspect));
            }
            ctx.startup.mark_ready(Dependency::Suspects, host);
        }
        Err(err) => slog::error!(ctx.logger, "unreadable answer of a peer";
            "addr" => addr.to_string(), "error" => err.to_string()),
    }
}

/// Takes in what a host tells.
pub(super) fn take(ctx: &Arc<Context>, told: &messages::Suspects) {
    for suspect in &told.suspects {
        quarantine::merge_report(ctx, &told.host, &decode(suspect));
    }
}
