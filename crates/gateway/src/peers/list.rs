//! The list of hosts in the store: this host's entry, and those of others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use notchwharf_listen::Phase;
use notchwharf_routing::places::HostId;
use serde::Deserialize;
use serde::Serialize;

use super::Peer;
use super::cell;
use crate::context::Context;
use crate::follow::Pace;
use crate::follow::Reading;
use crate::ports::Entry;
use crate::ports::Topic;
use crate::sync::lock;

/// How the list of hosts is read. It changes seldom, and a host that is known
/// to one other is known to all by its own datagrams.
pub(super) const PACE: Pace = Pace {
    wait: Duration::from_secs(10),
    gap: Duration::from_millis(700),
    pause_max: Duration::from_millis(400),
};

/// Pause before the host's own entry is written again.
const ENTRY_PAUSE: Duration = Duration::from_millis(300);

/// A host's entry in the store.
#[derive(Debug, Serialize, Deserialize)]
struct Listing {
    addr: SocketAddr,
    data_centre: String,
}

/// Writes this host's entry.
pub(super) async fn enter(ctx: Arc<Context>) {
    let listing = Listing {
        addr: ctx.settings.host.peer_listen,
        data_centre: ctx.settings.host.data_centre.clone(),
    };
    let value = postcard::to_stdvec(&listing).expect("Listings are representable.");
    let entry = Entry {
        key: ctx.host().to_owned(),
        value: Some(value.into()),
    };
    while ctx.phase() < Phase::Leaving {
        let res = ctx.store.append(Topic::Hosts, 0, vec![entry.clone()]).await;
        if res.is_ok() {
            return;
        }
        tokio::time::sleep(ENTRY_PAUSE).await;
    }
}

/// Drops this host's entry; without it others find out by its silence.
pub(crate) async fn leave(ctx: &Context) {
    let entry = Entry {
        key: ctx.host().to_owned(),
        value: None,
    };
    if let Err(err) = ctx.store.append(Topic::Hosts, 0, vec![entry]).await {
        slog::warn!(ctx.logger, "host's entry not dropped"; "error" => err.to_string());
    }
}

pub(super) fn take(ctx: &Arc<Context>, reading: Reading) {
    // The reader tries again, and the store's wrapper has logged why.
    let Ok(seen) = reading.seen else {
        ctx.peers.loading.list_tried();
        return;
    };
    for record in seen.records() {
        let host = record.entry.key;
        if host == ctx.host() {
            continue;
        }
        let Some(value) = record.entry.value else {
            slog::info!(ctx.logger, "host left the list"; "peer" => host.as_str());
            forget(ctx, &host);
            continue;
        };
        match postcard::from_bytes::<Listing>(&value) {
            Ok(listing) => know(ctx, host, &listing),
            Err(err) => slog::error!(ctx.logger, "unreadable host entry";
                "peer" => host, "error" => err.to_string()),
        }
    }
    cell::divide(ctx);
    ctx.peers.loading.list_read();
    ctx.peers.tell();
}

fn know(ctx: &Context, host: HostId, listing: &Listing) {
    let addr = listing.addr;
    let mut known = lock(&ctx.peers.known);
    let peer = known.entry(host.clone()).or_insert_with(|| {
        slog::info!(ctx.logger, "host known"; "peer" => host, "addr" => addr.to_string());
        Peer::new(addr)
    });
    peer.addr = addr;
    peer.data_centre = Some(listing.data_centre.clone());
}

fn forget(ctx: &Context, host: &str) {
    let is_silent = lock(&ctx.peers.known)
        .get(host)
        .is_some_and(|p| !p.is_alive);
    if is_silent {
        lock(&ctx.peers.known).remove(host);
    }
}
