//! Exchange of reports on requests under which targets crash.
//!
//! Changes are sent immediately to all hosts, also of other cells, since any of them may receive
//! the next such request. As datagrams get lost, a crash is sent twice. Hosts restart or are
//! partitioned, so each host also sends its relevant reports to two random hosts twice a second,
//! which reaches a host that missed the first message within a second or two. A starting host
//! requests the reports from a running one, since the next request may be one that is blamed and
//! the store, where blamed requests are recorded, may be unavailable. Nothing is sent while nothing
//! is suspected. Relaying each message immediately was rejected: it multiplies a message that
//! nearly always arrives.

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

use super::bootstrap;
use super::rpc;
use crate::context::Context;
use crate::metrics::Counted;
use crate::quarantine;
use crate::sync::lock;

/// Delay before a starting host's first request to a peer and between further ones: if the store is
/// available, it responds sooner.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a request: many times the latency between data centres.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum time after its start for which a host delays requests until it knows which ones are
/// blamed: three heartbeats of a peer, the first of which may be lost.
const CATCH_UP_MAX: Duration = Duration::from_millis(1_000);

/// Sends changes to all hosts, until the host stops.
pub(crate) async fn broadcast_changes(ctx: Arc<Context>) {
    let gate = Arc::clone(&ctx.suspects.gate);
    send_changes(gate, move |report| send_to_all(&ctx, report)).await;
}

fn send_to_all(ctx: &Context, report: &Report) {
    let addrs: Vec<SocketAddr> = {
        let known = lock(&ctx.peers.known);
        known.values().map(|peer| peer.addr).collect()
    };
    send(ctx, std::slice::from_ref(report), &addrs);
}

/// Sends the relevant reports to a host that was not alive before.
pub(super) fn send_to_new_host(ctx: &Context, addr: SocketAddr) {
    send(ctx, &ctx.suspects.gate.periodic_reports(), &[addr]);
}

/// Sends the relevant reports periodically to random hosts, until the host stops.
pub(super) async fn send_periodic_reports(ctx: Arc<Context>) {
    let mut ticks = ctx.timer.subscribe(REPORT_INTERVAL);
    while ticks.recv().await.is_some() && ctx.phase() != Phase::Stopped {
        let gate = &ctx.suspects.gate;
        if gate.is_empty() {
            continue;
        }
        let reports = gate.periodic_reports();
        ctx.metrics.set("suspects", gate.len());
        let addrs: Vec<SocketAddr> = {
            let known = lock(&ctx.peers.known);
            let addrs = known.values().map(|peer| peer.addr);
            addrs.sample(&mut rand::rng(), REPORT_FANOUT)
        };
        send(&ctx, &reports, &addrs);
    }
}

fn send(ctx: &Context, reports: &[Report], addrs: &[SocketAddr]) {
    let Some(socket) = ctx.peers.socket.get() else {
        return;
    };
    for suspects in encode(reports) {
        let host = ctx.host().to_owned();
        let bytes = messages::encode(&PeerMessage::Suspects(messages::Suspects {
            host,
            suspects,
        }));
        for addr in addrs {
            // If this is lost, a later report replaces it.
            let _ = socket.try_send_to(&bytes, *addr);
            ctx.metrics.count(Counted::Datagrams, "suspects");
        }
    }
}

/// Returns the reports known to this host, for a starting host; `None` if this host has not yet
/// received them itself.
pub(super) fn snapshot(ctx: &Context) -> Option<Vec<u8>> {
    if !ctx.startup.is_ready(Dependency::Suspects) {
        return None;
    }
    let reports = ctx.suspects.gate.periodic_reports();
    let suspects: Vec<messages::Suspect> = encode(&reports).into_iter().flatten().collect();
    Some(postcard::to_stdvec(&suspects).expect("Suspects are representable."))
}

/// Requests reports from peers until those from before this host's start are known, from a peer or
/// from the store.
pub(crate) async fn catch_up(ctx: Arc<Context>) {
    while !ctx.startup.is_ready(Dependency::Suspects) && ctx.phase() < Phase::Leaving {
        if ctx.startup.uptime() > CATCH_UP_MAX {
            // No peer responds; delaying all requests further would be worse.
            slog::warn!(
                ctx.logger,
                "no peer provided the blamed requests; starting without them"
            );
            return ctx.startup.mark_ready(Dependency::Suspects, "nobody");
        }
        // A peer without routes has just started itself.
        if let Some((host, addr)) = bootstrap::random_peer(&ctx, |p| p.status.config > 0) {
            request_reports(&ctx, &host, addr).await;
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
}

async fn request_reports(ctx: &Arc<Context>, host: &HostId, addr: SocketAddr) {
    let response = rpc::call(addr, rpc::SUSPECTS, Bytes::new(), REQUEST_TIMEOUT).await;
    // The peer has just started or failed; another one is called next.
    let Ok(bytes) = response else {
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
        Err(err) => slog::error!(ctx.logger, "invalid response from peer";
            "addr" => addr.to_string(), "error" => err.to_string()),
    }
}

/// Applies reports received from a host.
pub(super) fn apply_reports(ctx: &Arc<Context>, reports: &messages::Suspects) {
    for suspect in &reports.suspects {
        quarantine::merge_report(ctx, &reports.host, &decode(suspect));
    }
}
