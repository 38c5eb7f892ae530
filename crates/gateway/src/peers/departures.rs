//! Targets that have said that they leave, as running hosts tell a host that starts.
//!
//! A heartbeat that the store carries out late may replace the entry of a target that leaves. Hosts that
//! have read both keep to the first; a host that starts reads the last one only. So it asks a few
//! running hosts before it sends to targets. Writing a corrected entry to the store was rejected, as
//! the entries belong to the targets.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use notchwharf_listen::Phase;
use notchwharf_proto::records::TargetStart;
use notchwharf_routing::balancer::HostId;
use notchwharf_startup::Dependency;
use rand::seq::IteratorRandom as _;

use super::rpc;
use crate::context::Context;
use crate::metrics::Counted;
use crate::sync::lock;

/// Number of hosts that are asked: each may have started after the late heartbeat itself.
const PEERS_ASKED: usize = 3;
/// Time after the start for which requests wait for the first answer, if there may be other hosts.
const WAIT: Duration = Duration::from_millis(300);
/// Time after the start for which hosts are asked.
const ASK_TIME: Duration = Duration::from_secs(2);
/// Pause between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a request: many times the latency between data centres.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(100);

/// Asks running hosts which targets have said that they leave, until enough have answered.
pub(super) async fn catch_up(ctx: Arc<Context>) {
    let mut asked = HashSet::new();
    while asked.len() < PEERS_ASKED
        && ctx.startup.uptime() < ASK_TIME
        && ctx.phase() < Phase::Leaving
    {
        if is_alone(&ctx) || ctx.startup.uptime() > WAIT {
            ctx.startup.mark_ready(Dependency::Departures, "nobody");
        }
        if let Some((host, addr)) = peer_to_ask(&ctx, &asked)
            && request(&ctx, addr).await
        {
            ctx.startup.mark_ready(Dependency::Departures, &host);
            asked.insert(host);
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    ctx.startup.mark_ready(Dependency::Departures, "nobody");
}

/// Returns whether the list of hosts has been read and names no other one.
fn is_alone(ctx: &Context) -> bool {
    ctx.peers.bootstrap.is_list_read() && lock(&ctx.peers.known).is_empty()
}

/// Returns a host that has been running for some time, as it has routes, and was not asked yet.
fn peer_to_ask(ctx: &Context, asked: &HashSet<HostId>) -> Option<(HostId, SocketAddr)> {
    let known = lock(&ctx.peers.known);
    let running = known
        .iter()
        .filter(|(host, peer)| peer.is_alive && peer.status.config > 0 && !asked.contains(*host));
    let (host, peer) = running.choose(&mut rand::rng())?;
    Some((host.clone(), peer.addr))
}

/// Asks a host; returns whether it has answered.
async fn request(ctx: &Context, addr: SocketAddr) -> bool {
    let response = rpc::call(addr, rpc::DEPARTURES, Bytes::new(), REQUEST_TIMEOUT).await;
    // The host has just failed, or is of an earlier build; another one is asked next.
    let Ok(bytes) = response else {
        ctx.metrics
            .count(Counted::Changes, "departures not handed over");
        return false;
    };
    match postcard::from_bytes::<Vec<TargetStart>>(&bytes) {
        Ok(starts) => {
            ctx.catalog.add_departures(starts, Instant::now());
            true
        }
        Err(err) => {
            slog::error!(ctx.logger, "invalid response from peer";
                "addr" => addr.to_string(), "error" => err.to_string());
            false
        }
    }
}

/// Returns the starts of targets that have said that they leave, as known to this host.
pub(super) fn respond(ctx: &Context) -> Vec<u8> {
    let starts = ctx.catalog.departures();
    postcard::to_stdvec(&starts).expect("Starts are representable.")
}
