//! Connects the log distributor to the peers of this host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt as _;
use notchwharf_proto::records::ChangesRequest;
use notchwharf_proto::records::decode_changes;

use super::bootstrap;
use super::host_list;
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
    let (local, newer, sender, end, applier, waker) =
        (shared(), shared(), shared(), shared(), shared(), shared());
    Links {
        neighbours: Box::new(move || neighbours(&local)),
        newer_peer: Box::new(move || newer_peer(&newer)),
        send: Box::new(move |addr, message| sender.peers.send_to(addr, message)),
        request: Box::new(|addr, request| request_changes(addr, request).boxed()),
        hosts_end: Box::new(move || host_list::end(&end)),
        apply: Box::new(move |operator_records, hosts| {
            let ctx = Arc::clone(&applier);
            async move {
                host_list::apply_changes(&ctx, hosts);
                if let Some(config) = operator_records.config {
                    catalog::apply_peer_config(&ctx, config).await;
                }
                if let Some(evacuated) = operator_records.evacuated {
                    catalog::apply_peer_evacuation(&ctx, evacuated);
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
    if !ctx.peers.cell_state.cells().is_divided() {
        return None;
    }
    let known = lock(&ctx.peers.known);
    let local = known
        .iter()
        .filter(|(_, peer)| relay::is_local(ctx, peer) && !peer.is_marked_silent);
    Some(
        local
            .map(|(host, peer)| (host.clone(), peer.addr))
            .collect(),
    )
}

fn newer_peer(ctx: &Context) -> Option<SocketAddr> {
    let peer = bootstrap::random_peer(ctx, |peer| {
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
    let response = rpc::call(addr, rpc::CHANGES, body.into(), REQUEST_TIMEOUT).await;
    let bytes = response.map_err(rpc::CallError::reason)?;
    decode_changes(&bytes).ok_or("invalid response")
}
