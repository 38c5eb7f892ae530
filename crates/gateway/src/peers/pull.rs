//! Routes and targets from a peer that knows newer ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Empty;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::catalog;
use crate::catalog::Snapshot;
use crate::context::Context;
use crate::context::lock;

/// Time for which a peer may know newer routes before it is asked for them:
/// the store usually tells everyone within milliseconds.
pub(super) const AHEAD_MAX: Duration = Duration::from_millis(250);

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
    let pulled = tokio::time::timeout(PULL_TIMEOUT, fetch(addr)).await;
    match pulled {
        Ok(Ok(snapshot)) => catalog::take_snapshot(&ctx, snapshot),
        Ok(Err(detail)) => slog::warn!(ctx.logger, "peer not asked";
            "addr" => addr.to_string(), "error" => detail),
        Err(_) => slog::warn!(ctx.logger, "peer not asked";
            "addr" => addr.to_string(), "error" => "timed out"),
    }
}

async fn fetch(addr: SocketAddr) -> Result<Snapshot, String> {
    let socket = TcpStream::connect(addr)
        .await
        .map_err(|err| err.to_string())?;
    let conn = hyper::client::conn::http1::handshake(TokioIo::new(socket)).await;
    let (mut sender, conn) = conn.map_err(|err| err.to_string())?;
    tokio::spawn(conn);
    let req = Request::get("/snapshot").header("host", "peer");
    let req = req
        .body(Empty::<Bytes>::new())
        .map_err(|err| err.to_string())?;
    let resp = sender
        .send_request(req)
        .await
        .map_err(|err| err.to_string())?;
    let body = resp
        .into_body()
        .collect()
        .await
        .map_err(|err| err.to_string())?;
    postcard::from_bytes(&body.to_bytes()).map_err(|err| err.to_string())
}

/// Answers peers that ask for routes and targets.
pub(super) async fn serve(ctx: Arc<Context>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = ctx.stopped() => return,
        };
        // Running out of descriptors must not end the service.
        let Ok((socket, _)) = accepted else {
            tokio::task::yield_now().await;
            continue;
        };
        let shared = Arc::clone(&ctx);
        let service = service_fn(move |_: Request<Incoming>| {
            let snapshot = lock(&shared.catalog).snapshot();
            let bytes = postcard::to_stdvec(&snapshot).expect("Snapshots are representable.");
            let body = Full::new(Bytes::from(bytes));
            async move { Ok::<_, std::convert::Infallible>(Response::new(body)) }
        });
        tokio::spawn(async move {
            let conn = hyper::server::conn::http1::Builder::new();
            // A peer that goes away in between asks again.
            let _ = conn.serve_connection(TokioIo::new(socket), service).await;
        });
    }
}
