//! Where a host sends what it tells, by the decisions of [`dissemination`].

use std::net::SocketAddr;
use std::time::Instant;

use notchwharf_routing::balancer::HostId;
use notchwharf_routing::cells::Cells;
use notchwharf_routing::dissemination;
use notchwharf_routing::dissemination::Due;
use notchwharf_routing::dissemination::Pace;
use notchwharf_routing::dissemination::Sender;

use super::Peer;
use crate::context::Context;
use crate::sync::lock;

/// Where to send.
#[derive(Debug, Default)]
pub(super) struct Receivers {
    pub(super) addrs: Vec<SocketAddr>,
    /// How hosts in other data centres are told, if they are now.
    pub(super) pace: Option<Pace>,
}

/// Returns where to send in this host's cell: to peers that live, and now and
/// then to the others.
pub(super) fn receivers(ctx: &Context, due: Due) -> Receivers {
    let now = Instant::now();
    let own = own(ctx, ctx.peers.neighbours.told(now));
    let mut known = lock(&ctx.peers.known);
    let told = {
        let peers: Vec<dissemination::Peer<'_>> = known.iter().map(peer).collect();
        dissemination::recipients(&own, &peers, due, now, &mut rand::rng())
    };
    let mut all: Vec<&mut Peer> = known.values_mut().collect();
    for place in &told.local {
        all[*place].told = Some(now);
    }
    let addrs = told.local.iter().chain(&told.remote);
    Receivers {
        addrs: addrs.map(|place| all[*place].addr).collect(),
        pace: told.pace,
    }
}

/// Returns where to pass on what hosts far away told.
pub(super) fn passed_on_to(ctx: &Context) -> Vec<SocketAddr> {
    let own = own(ctx, ctx.peers.neighbours.cells());
    let known = lock(&ctx.peers.known);
    let peers: Vec<dissemination::Peer<'_>> = known.iter().map(peer).collect();
    let told = dissemination::relay_recipients(&own, &peers);
    let all: Vec<&Peer> = known.values().collect();
    told.into_iter().map(|place| all[place].addr).collect()
}

fn own(ctx: &Context, cells: Cells) -> Sender<'_> {
    Sender {
        host: ctx.host(),
        data_centre: &ctx.settings.host.data_centre,
        cells,
    }
}

fn peer<'a>((host, peer): (&'a HostId, &'a Peer)) -> dissemination::Peer<'a> {
    dissemination::Peer {
        host,
        data_centre: peer.data_centre.as_deref(),
        is_alive: peer.is_alive,
        last_sent: peer.told,
    }
}
