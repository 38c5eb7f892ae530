//! Connects the log distributor to the peers of this host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt as _;
use notchwharf_proto::records::ChangesRequest;
use notchwharf_proto::records::ChangesResponse;

use super::list;
use super::loading;
use super::relay;
use super::rpc;
use crate::catalog;
use crate::catalog::Versions;
use crate::context::Context;
use crate::spread::ChangesResult;
use crate::spread::Links;
use crate::spread::Neighbour;
use crate::sync::lock;

/// Timeout of a request for changes.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(600);

/// Returns the peer operations of this host.
pub(super) fn new(ctx: &Arc<Context>) -> Links {
    let shared = || Arc::clone(ctx);
    let (near, ahead, sender, end, taker, waker) =
        (shared(), shared(), shared(), shared(), shared(), shared());
    Links {
        neighbours: Box::new(move || neighbours(&near)),
        newer_peer: Box::new(move || peer_ahead(&ahead)),
        send: Box::new(move |addr, news| sender.peers.send_to(addr, news)),
        request: Box::new(|addr, request| request_changes(addr, request).boxed()),
        hosts_end: Box::new(move || list::end(&end)),
        apply: Box::new(move |operator_records, hosts| {
            let ctx = Arc::clone(&taker);
            async move {
                list::take_changes(&ctx, hosts);
                if let Some(config) = operator_records.config {
                    catalog::take_from_peer(&ctx, config).await;
                }
                if let Some(evacuated) = operator_records.evacuated {
                    catalog::take_evacuated(&ctx, evacuated);
                }
            }
            .boxed()
        }),
        targets_changed: Box::new(move || waker.items.wake()),
    }
}

/// Returns the other hosts of the data centre that are not marked silent; `None` in a fleet
/// of a single cell.
fn neighbours(ctx: &Context) -> Option<Vec<Neighbour>> {
    if !ctx.peers.neighbours.cells().is_divided() {
        return None;
    }
    let known = lock(&ctx.peers.known);
    let near = known
        .iter()
        .filter(|(_, peer)| relay::is_near(ctx, peer) && !peer.is_marked_silent);
    Some(near.map(|(host, peer)| (host.clone(), peer.addr)).collect())
}

fn peer_ahead(ctx: &Context) -> Option<SocketAddr> {
    let peer = loading::peer(ctx, |peer| {
        let versions = Versions {
            config: peer.status.config,
            targets: peer.status.targets,
        };
        ctx.catalog.is_behind(versions)
    });
    peer.map(|(_, addr)| addr)
}

async fn request_changes(addr: SocketAddr, request: ChangesRequest) -> ChangesResult {
    let body = postcard::to_stdvec(&request).expect("Requests are representable.");
    let answer = rpc::call(addr, rpc::CHANGES, body.into(), REQUEST_TIMEOUT).await;
    let bytes = answer.map_err(rpc::CallError::reason)?;
    postcard::from_bytes::<ChangesResponse>(&bytes).map_err(|_| "invalid response")
}
