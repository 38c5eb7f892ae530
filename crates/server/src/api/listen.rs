//! Connections: accepted, served, and let end when the host leaves.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;

use hyper::Request;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use notchwharf_config::settings::ms;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::body::Response;
use crate::context::Context;
use crate::context::Phase;

/// Accepts connections until the host closes.
///
/// While the host leaves, connections are still accepted and requests served,
/// each with word that the connection ends after it: the balancer may need a
/// moment to notice, and a connection refused is a request cut.
pub(crate) async fn serve<F, R>(ctx: Arc<Context>, listener: TcpListener, handler: F)
where
    F: Fn(Arc<Context>, Request<Incoming>) -> R + Copy + Send + Sync + 'static,
    R: Future<Output = Response> + Send + 'static,
{
    let mut phase = ctx.phase.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|p| *p >= Phase::Closing) => return,
        };
        // Running out of descriptors must not end the server.
        let Ok((socket, _)) = accepted else {
            tokio::task::yield_now().await;
            continue;
        };
        tokio::spawn(connection(Arc::clone(&ctx), socket, handler));
    }
}

async fn connection<F, R>(ctx: Arc<Context>, socket: TcpStream, handler: F)
where
    F: Fn(Arc<Context>, Request<Incoming>) -> R + Copy + Send + Sync + 'static,
    R: Future<Output = Response> + Send + 'static,
{
    let _ = socket.set_nodelay(true);
    let _open = ctx.connections.enter();
    let limits = &ctx.settings.limits;
    let head_max = usize::try_from(limits.header_bytes_max).unwrap_or(usize::MAX);
    let mut phase = ctx.phase.subscribe();
    let shared = Arc::clone(&ctx);
    let service = service_fn(move |req| {
        let ctx = Arc::clone(&shared);
        async move { Ok::<_, Infallible>(answer(ctx, req, handler).await) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(ms(limits.header_timeout_ms))
        .max_buf_size(head_max)
        .serve_connection(TokioIo::new(socket), service);
    let mut conn = std::pin::pin!(conn);
    tokio::select! {
        // A connection that breaks is the caller's to notice.
        _ = conn.as_mut() => return,
        _ = phase.wait_for(|p| *p >= Phase::Closing) => {}
    }
    // An idle connection ends here, a busy one after its request.
    conn.as_mut().graceful_shutdown();
    tokio::select! {
        _ = conn => {}
        _ = phase.wait_for(|p| *p == Phase::Stopped) => {}
    }
}

async fn answer<F, R>(ctx: Arc<Context>, req: Request<Incoming>, handler: F) -> Response
where
    F: Fn(Arc<Context>, Request<Incoming>) -> R,
    R: Future<Output = Response>,
{
    let mut resp = handler(Arc::clone(&ctx), req).await;
    if ctx.phase() >= Phase::Leaving {
        let close = HeaderValue::from_static("close");
        resp.headers_mut().insert(CONNECTION, close);
    }
    resp
}
