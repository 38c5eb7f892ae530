//! Versions of targets that this host learned of through a host that knows none.
//!
//! While hosts of an earlier build are replaced, one of them may be the reader that this host
//! follows. What it sends of targets has no versions, and entries that don't change are not sent
//! again. So a host asks random peers for the versions that it lacks. Listing the targets again
//! was rejected, since all other properties are known.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use notchwharf_listen::Phase;
use notchwharf_proto::records::TargetStart;

use super::bootstrap;
use super::rpc;
use crate::context::Context;

/// Interval of requests while any version is unknown.
const REQUEST_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of targets per request.
const TARGETS_MAX: usize = 500;
/// Timeout of a request: many times the latency between data centres.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(600);

/// Requests unknown versions until the host stops.
pub(super) async fn run(ctx: Arc<Context>) {
    let mut ticks = ctx.timer.subscribe(REQUEST_INTERVAL);
    while ticks.recv().await.is_some() && ctx.phase() != Phase::Stopped {
        let unknown = ctx.catalog.without_version(TARGETS_MAX);
        if !unknown.is_empty() {
            request(&ctx, unknown).await;
        }
    }
}

async fn request(ctx: &Context, unknown: Vec<TargetStart>) {
    let Some((_, addr)) = bootstrap::random_peer(ctx, |_| true) else {
        return;
    };
    let body = postcard::to_stdvec(&unknown).expect("Requests are representable.");
    let response = rpc::call(addr, rpc::TARGET_VERSIONS, body.into(), REQUEST_TIMEOUT).await;
    // A host of an earlier build doesn't answer; the next request goes to another one.
    let Ok(bytes) = response else {
        return;
    };
    match postcard::from_bytes::<Vec<Option<String>>>(&bytes) {
        Ok(versions) => {
            let pairs = unknown.into_iter().zip(versions);
            let known = pairs.filter_map(|(start, version)| Some((start, version?)));
            ctx.catalog.set_versions(known, Instant::now());
        }
        Err(err) => slog::error!(ctx.logger, "invalid response from peer";
            "addr" => addr.to_string(), "error" => err.to_string()),
    }
}

/// Returns the versions that a peer requests.
pub(super) fn respond(ctx: &Context, body: &[u8]) -> Option<Vec<u8>> {
    let starts: Vec<TargetStart> = postcard::from_bytes(body).ok()?;
    let versions = ctx.catalog.versions_of(&starts);
    Some(postcard::to_stdvec(&versions).expect("Versions are representable."))
}
