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

use super::Peer;
use super::bootstrap;
use super::cell;
use super::rpc;
use crate::context::Context;
use crate::metrics::Counted;
use crate::quarantine;
use crate::quarantine::Reach;
use crate::sync::lock;
use crate::time::ms;

/// Number of hosts that follow the records in the store for each host that is not heard.
const FOLLOWERS: usize = 3;
/// Delay before a starting host's first request to a peer and between further ones: if the store is
/// available, it responds sooner.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a request: many times the latency between data centres.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(100);
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
/// received them itself, also if it has stopped waiting for them.
pub(super) fn snapshot(ctx: &Context) -> Option<Vec<u8>> {
    ctx.suspects.known()?;
    Some(encode_snapshot(&periodic_reports(ctx)))
}

/// Requests reports from peers until those from before this host's start are known, from a peer or
/// from the store. Requests wait for them, but not for longer than the store may take to answer a host
/// that is in touch with it; then only those wait that were in a crash since the start.
pub(crate) async fn catch_up(ctx: Arc<Context>) {
    let wait_max = ms(ctx.settings.targets.settle_ms);
    while ctx.suspects.known().is_none() && ctx.phase() < Phase::Leaving {
        let is_waiting = !ctx.startup.is_ready(Dependency::Suspects);
        if is_waiting && ctx.startup.uptime() > wait_max {
            slog::warn!(
                ctx.logger,
                "neither the store nor a peer provided the blamed requests; starting without them"
            );
            ctx.metrics
                .count(Counted::Changes, "started without blamed requests");
            ctx.startup.mark_ready(Dependency::Suspects, "nobody");
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

/// Decides anew whether this host follows the records of crashes.
pub(crate) fn update_reach(ctx: &Context) {
    let (silent, reach) = reach(ctx, ms(ctx.settings.peers.down_ms));
    ctx.metrics.set("silent_peers", silent);
    ctx.suspects.set_following(reach);
}

/// Returns how many of the other hosts this one does not hear, and whether it has to learn from the
/// store what they see. Hosts of other cells send nothing to this one, so they count as heard. One that
/// has not been heard yet counts as silent at once if anything is suspected, as do all before the list
/// has been read.
fn reach(ctx: &Context, down: Duration) -> (usize, Reach) {
    let cells = ctx.peers.cell_state.cells();
    let gate = &ctx.suspects.gate;
    let is_suspecting = gate.has_parts() || !gate.is_empty();
    let patience = match is_suspecting {
        true => Duration::ZERO,
        false => down,
    };
    if !ctx.peers.bootstrap.is_list_read() && ctx.startup.uptime() >= patience {
        return (0, Reach::Few);
    }
    let (silent, total) = {
        let known = lock(&ctx.peers.known);
        let own = known.iter().filter(|(host, peer)| {
            !peer.has_left && (!cells.is_divided() || cell::is_in_own_cell(ctx, cells, host, peer))
        });
        let own: Vec<(&HostId, &Peer)> = own.collect();
        let silent = own.iter().filter(|(_, peer)| {
            let silence_min = match peer.last_received {
                Some(_) => down,
                None => patience,
            };
            !peer.is_alive && peer.silence() >= silence_min
        });
        let silent: Vec<HostId> = silent.map(|(host, _)| (*host).clone()).collect();
        (silent, own.len())
    };
    if silent.is_empty() {
        return (0, Reach::All);
    }
    if silent.len() * 2 >= total {
        return (silent.len(), Reach::Few);
    }
    let follows = |host: &HostId| {
        let task = format!("records of crashes at {host}");
        ctx.peers.is_among_successors(ctx.host(), &task, FOLLOWERS)
    };
    let reach = match silent.iter().any(follows) {
        true => Reach::Most,
        false => Reach::All,
    };
    (silent.len(), reach)
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
