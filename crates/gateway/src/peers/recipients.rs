//! Recipients of status messages, selected by [`dissemination`].

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

/// The recipients of a status message.
#[derive(Debug, Default)]
pub(super) struct Recipients {
    pub(super) addrs: Vec<SocketAddr>,
    /// The pace of sending to remote data centres, if that is due now.
    pub(super) pace: Option<Pace>,
}

/// Returns the recipients in this host's cell: live peers, and occasionally the others.
pub(super) fn status_recipients(ctx: &Context, due: Due) -> Recipients {
    let now = Instant::now();
    let sender = sender(ctx, ctx.peers.cell_state.broadcast_cells(now));
    let mut known = lock(&ctx.peers.known);
    let chosen = {
        let peers: Vec<dissemination::Peer<'_>> = known.iter().map(peer).collect();
        dissemination::recipients(&sender, &peers, due, now, &mut rand::rng())
    };
    let mut all: Vec<&mut Peer> = known.values_mut().collect();
    for index in &chosen.local {
        all[*index].last_sent = Some(now);
    }
    let addrs = chosen.local.iter().chain(&chosen.remote);
    Recipients {
        addrs: addrs.map(|index| all[*index].addr).collect(),
        pace: chosen.pace,
    }
}

/// Returns the recipients of relayed statuses of remote hosts.
pub(super) fn relay_recipients(ctx: &Context) -> Vec<SocketAddr> {
    let sender = sender(ctx, ctx.peers.cell_state.cells());
    let known = lock(&ctx.peers.known);
    let peers: Vec<dissemination::Peer<'_>> = known.iter().map(peer).collect();
    let chosen = dissemination::relay_recipients(&sender, &peers);
    let all: Vec<&Peer> = known.values().collect();
    chosen.into_iter().map(|index| all[index].addr).collect()
}

fn sender(ctx: &Context, cells: Cells) -> Sender<'_> {
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
        last_sent: peer.last_sent,
    }
}
