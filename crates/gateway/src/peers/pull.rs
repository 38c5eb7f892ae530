//! Routes and targets from a peer that knows newer ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;

use super::rpc;
use crate::catalog;
use crate::context::Context;
use crate::sync::lock;

/// Time for which a peer may know newer routes or targets before it is asked for
/// them: the store tells everyone within the pause between two readings, 300 ms, and
/// an answer. With 250 ms hosts whose next reading was due asked peers as well, 1,465
/// times on a day on which many targets came and went.
pub(super) const AHEAD_MAX: Duration = Duration::from_millis(500);

/// Time for a call of a peer.
const PULL_TIMEOUT: Duration = Duration::from_millis(600);

/// Time between two calls of peers: one that is ahead is asked at once, the
/// others seldom know more.
const PULL_GAP: Duration = Duration::from_millis(250);

/// Returns whether it is time to ask a peer for what it knows.
pub(super) fn may_pull(ctx: &Context) -> bool {
    let mut pulled_at = lock(&ctx.peers.pulled_at);
    if pulled_at.is_some_and(|at| at.elapsed() < PULL_GAP) {
        return false;
    }
    *pulled_at = Some(Instant::now());
    true
}

/// Takes routes and targets from a peer.
pub(super) async fn pull(ctx: Arc<Context>, addr: SocketAddr) {
    let pulled = rpc::call(addr, rpc::SNAPSHOT, Bytes::new(), PULL_TIMEOUT).await;
    let snapshot = match pulled {
        Ok(bytes) => postcard::from_bytes(&bytes).map_err(|err| err.to_string()),
        Err(err) => Err(err.reason().to_owned()),
    };
    match snapshot {
        Ok(snapshot) => {
            catalog::take_snapshot(&ctx, snapshot).await;
        }
        Err(detail) => slog::warn!(ctx.logger, "peer not asked";
            "addr" => addr.to_string(), "error" => detail),
    }
}

/// Returns the routes and targets that this host knows, for a peer.
pub(super) fn snapshot(ctx: &Context) -> Vec<u8> {
    let snapshot = ctx.catalog.snapshot();
    postcard::to_stdvec(&snapshot).expect("Snapshots are representable.")
}
