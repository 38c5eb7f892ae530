//! Accepts connections with the configured limits and the phases of this host.

use std::future::Future;
use std::sync::Arc;

use hyper::Request;
use hyper::body::Incoming;
use notchwharf_config::settings::ms;
use notchwharf_intake::Entrance;
use notchwharf_listen::Config;
use notchwharf_listen::Limits;
use tokio::net::TcpListener;

use super::body::Response;
use crate::context::Context;

/// Accepts connections until the phase `Closing`.
pub(crate) async fn serve<F, R>(
    ctx: Arc<Context>,
    listener: TcpListener,
    entrance: Entrance,
    handler: F,
) where
    F: Fn(Arc<Context>, Request<Incoming>) -> R + Copy + Send + Sync + 'static,
    R: Future<Output = Response> + Send + 'static,
{
    let limits = &ctx.settings.limits;
    let limits = Limits {
        head_bytes_max: usize::try_from(limits.header_bytes_max).unwrap_or(usize::MAX),
        head_timeout: ms(limits.header_timeout_ms),
        idle_timeout: ms(limits.header_timeout_ms),
        write_timeout: ms(limits.body_timeout_ms),
    };
    let cfg = Config {
        phase: ctx.phase.subscribe(),
        connections: ctx.connections.clone(),
        entrance,
        limits: Arc::new(move || limits),
    };
    let handler = move |req| handler(Arc::clone(&ctx), req);
    notchwharf_listen::serve(cfg, &listener, handler).await;
}
