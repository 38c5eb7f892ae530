//! Connections of callers: accepted, served, and let end when the host leaves.
//!
//! [`serve`] takes a listener, the phase of the host's life and a handler. Use
//! it for every interface of a host, so that they all end alike.

use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use notchwharf_telemetry::gauge::Gauge;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// The least buffer for a request's head that the HTTP library takes.
const HEAD_BYTES_MIN: usize = 8_192;

/// Where a process is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It cannot serve yet.
    Starting,
    /// It takes requests.
    Ready,
    /// It finishes what it has.
    Leaving,
    /// It closes connections as they fall idle.
    Closing,
    /// It ends now.
    Stopped,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head at most.
    pub head_bytes_max: usize,
    /// Time for a head, from the end of the request before.
    pub head_timeout: Duration,
}

/// What a listener needs beside its handler.
#[derive(Clone)]
pub struct Config {
    /// The phase of the host's life.
    pub phase: watch::Receiver<Phase>,
    /// Counts open connections.
    pub connections: Gauge,
    /// Returns the bounds for a new connection.
    pub limits: Arc<dyn Fn() -> Limits + Send + Sync>,
}

impl std::fmt::Debug for Config {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Config")
            .field("phase", &*self.phase.borrow())
            .field("connections", &self.connections.count())
            .finish_non_exhaustive()
    }
}

/// Accepts connections until the host closes.
///
/// While the host leaves, connections are still accepted and requests served,
/// each with word that the connection ends after it: the balancer may need a
/// moment to notice, and a connection refused is a request cut.
pub async fn serve<F, R, B>(mut cfg: Config, listener: TcpListener, handler: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data: Send, Error: Into<Box<dyn Error + Send + Sync>>> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // Whoever started the host may be gone with it.
            _ = cfg.phase.wait_for(|p| *p >= Phase::Closing) => return,
        };
        // Running out of descriptors must not end the service.
        let Ok((socket, _)) = accepted else {
            tokio::task::yield_now().await;
            continue;
        };
        tokio::spawn(connection(cfg.clone(), socket, handler.clone()));
    }
}

async fn connection<F, R, B>(cfg: Config, socket: TcpStream, handler: F)
where
    F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data: Send, Error: Into<Box<dyn Error + Send + Sync>>> + Send + 'static,
{
    // Without it small pieces are only later.
    let _ = socket.set_nodelay(true);
    let _open = cfg.connections.enter();
    let limits = (cfg.limits)();
    let mut phase = cfg.phase;
    let told = phase.clone();
    let service = service_fn(move |req| {
        let answered = handler(req);
        let told = told.clone();
        async move {
            let mut resp = answered.await;
            if *told.borrow() >= Phase::Leaving {
                let close = HeaderValue::from_static("close");
                resp.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(resp)
        }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_bytes_max.max(HEAD_BYTES_MIN))
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
