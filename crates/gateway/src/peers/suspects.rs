//! Exchange of reports on requests and parts of prompts under which targets crash.
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
use notchwharf_quarantine::reports::Batch;
use notchwharf_quarantine::reports::REPORT_FANOUT;
use notchwharf_quarantine::reports::REPORT_INTERVAL;
use notchwharf_quarantine::reports::decode;
use notchwharf_quarantine::reports::decode_part;
use notchwharf_quarantine::reports::decode_snapshot;
use notchwharf_quarantine::reports::encode;
use notchwharf_quarantine::reports::encode_parts;
use notchwharf_quarantine::reports::encode_snapshot;
use notchwharf_quarantine::reports::send_changes;
use notchwharf_routing::balancer::HostId;
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
    send_changes(gate, move |batch| send_to_all(&ctx, batch)).await;
}

fn send_to_all(ctx: &Context, batch: &Batch) {
    let addrs: Vec<SocketAddr> = {
        let known = lock(&ctx.peers.known);
        known.values().map(|peer| peer.addr).collect()
    };
    send(ctx, batch, &addrs);
}

/// Returns the relevant reports.
fn periodic_reports(ctx: &Context) -> Batch {
    let gate = &ctx.suspects.gate;
    Batch {
        requests: gate.periodic_reports(),
        parts: gate.periodic_part_reports(),
    }
}

/// Sends the relevant reports to a host that was not alive before.
pub(super) fn send_to_new_host(ctx: &Context, addr: SocketAddr) {
    send(ctx, &periodic_reports(ctx), &[addr]);
}

/// Sends the relevant reports periodically to random hosts, until the host stops.
pub(super) async fn send_periodic_reports(ctx: Arc<Context>) {
    let mut ticks = ctx.timer.subscribe(REPORT_INTERVAL);
    while ticks.recv().await.is_some() && ctx.phase() != Phase::Stopped {
        let gate = &ctx.suspects.gate;
        if gate.is_empty() && !gate.has_parts() {
            continue;
        }
        let reports = periodic_reports(&ctx);
        ctx.metrics.set("suspects", gate.len());
        let (suspected, blamed) = gate.part_counts();
        ctx.metrics.set("suspected_parts", suspected);
        ctx.metrics.set("blamed_parts", blamed);
        let addrs: Vec<SocketAddr> = {
            let known = lock(&ctx.peers.known);
            let addrs = known.values().map(|peer| peer.addr);
            addrs.sample(&mut rand::rng(), REPORT_FANOUT)
        };
        send(&ctx, &reports, &addrs);
    }
}

fn send(ctx: &Context, reports: &Batch, addrs: &[SocketAddr]) {
    let host = || ctx.host().to_owned();
    let requests = encode(&reports.requests).into_iter().map(|suspects| {
        let host = host();
        PeerMessage::Suspects(messages::Suspects { host, suspects })
    });
    let parts = encode_parts(&reports.parts).into_iter().map(|parts| {
        let host = host();
        PeerMessage::SuspectParts(messages::SuspectParts { host, parts })
    });
    let Some(socket) = ctx.peers.socket.get() else {
        return;
    };
    for message in requests.chain(parts) {
        let bytes = messages::encode(&message);
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
    Some(encode_snapshot(&periodic_reports(ctx)))
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
    match decode_snapshot(&bytes) {
        Ok(batch) => {
            for report in &batch.requests {
                quarantine::merge_report(ctx, host, report);
            }
            for report in &batch.parts {
                quarantine::merge_part_report(ctx, host, report);
            }
            ctx.suspects.set_known(host);
            ctx.startup.mark_ready(Dependency::Suspects, host);
        }
        Err(err) => slog::error!(ctx.logger, "invalid response from peer";
            "addr" => addr.to_string(), "error" => err.to_string()),
    }
}

/// Applies reports on parts received from a host.
pub(super) fn apply_part_reports(ctx: &Arc<Context>, reports: &messages::SuspectParts) {
    for part in &reports.parts {
        quarantine::merge_part_report(ctx, &reports.host, &decode_part(part));
    }
}

/// Applies reports received from a host.
pub(super) fn apply_reports(ctx: &Arc<Context>, reports: &messages::Suspects) {
    for suspect in &reports.suspects {
        quarantine::merge_report(ctx, &reports.host, &decode(suspect));
    }
}
