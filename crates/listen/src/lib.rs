//! Accepts and serves HTTP connections, and drains them when the host shuts down.
//!
//! [`serve`] takes a listener, the phase of the host's lifecycle and a handler. Every interface
//! of a host uses it, so all interfaces shut down in the same way.
//!
//! Connections are admitted by an [`Entrance`], which counts what their callers occupy: the handler
//! finds the [`Connection`] in the extensions of its request, and reserves there what it keeps. A connection
//! that has to give way to others is reset.
//!
//! A response of HTTP/1.0 without a length ends with its connection. If its body fails, or the host stops
//! within it, the connection is reset, so that the response does not appear whole.

mod drain;
mod socket;
mod turn;

use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::Version;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use notchwharf_intake::Connection;
use notchwharf_intake::Entrance;
use notchwharf_intake::RECEIVE_BUFFER_BYTES;
use notchwharf_intake::SEND_BUFFER_BYTES;
use notchwharf_telemetry::gauge::Gauge;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

pub use self::drain::Drain;
use self::socket::Reset;
use self::socket::Socket;
use self::turn::TurnBody;
use self::turn::Turns;

/// The smallest buffer size that hyper accepts.
const HEAD_BYTES_MIN: usize = 8_192;
/// The time for which the kernel keeps bytes that a caller does not read after its connection was closed.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(30);
/// The pause after a connection could not be accepted. Without it, a lack of descriptors would occupy a core.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A phase of a host's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The host cannot serve requests yet.
    Starting,
    /// The host serves requests.
    Ready,
    /// The host shuts down: it still serves requests, and connections end after their request.
    Leaving,
    /// The host accepts no connections, and closes open ones once they are idle.
    Closing,
    /// The host stops, and closes all connections.
    Stopped,
}

/// Limits on what clients send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of a request's head, in bytes.
    pub head_bytes_max: usize,
    /// The time limit for receiving a head, from its first byte.
    pub head_timeout: Duration,
    /// The time limit for the first byte and the rest of a head, from the end of the previous
    /// request.
    pub idle_timeout: Duration,
    /// The time after which a connection is reset whose caller does not read.
    pub write_timeout: Duration,
}

/// The configuration of [`serve`].
#[derive(Clone)]
pub struct Config {
    /// The phase of the host's lifecycle.
    pub phase: watch::Receiver<Phase>,
    /// Counts open connections.
    pub connections: Gauge,
    /// Admits connections.
    pub entrance: Entrance,
    /// Returns the limits for a new connection.
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

/// Accepts and serves connections until the phase is [`Phase::Closing`].
///
/// While the phase is [`Phase::Leaving`], connections are still accepted and requests served,
/// with `connection: close` in each response. A load balancer in front of the host may notice
/// the shutdown late, and each connection that is refused until then is a failed request.
pub async fn serve<F, R, B>(mut cfg: Config, listener: &TcpListener, handler: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data: Send, Error: Into<Box<dyn Error + Send + Sync>>> + Send + Unpin + 'static,
{
    bound_buffers(listener);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // Also returns if the sender of the phase was dropped.
            _ = cfg.phase.wait_for(|p| *p >= Phase::Closing) => return,
        };
        // An error such as a lack of file descriptors must not stop the listener.
        let Ok((socket, _)) = accepted else {
            cfg.entrance.record_failed_accept();
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // A caller whose connection is closed before a byte was read knows that nothing ran.
        if let Ok(connection) = cfg.entrance.admit().await {
            let serving = serve_connection(cfg.clone(), connection, socket, handler.clone());
            tokio::spawn(serving);
        }
    }
}

/// Bounds the kernel's buffers for the connections of a listener, and the time for which they outlive
/// their connections. They count as memory of the process, and grow to megabytes for each connection
/// otherwise.
fn bound_buffers(listener: &TcpListener) {
    let listener = SockRef::from(listener);
    // These fail only where sockets have no such option, and then no such buffers.
    let _ = listener.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    let _ = listener.set_send_buffer_size(SEND_BUFFER_BYTES);
    let _ = listener.set_tcp_user_timeout(Some(UNREAD_TIMEOUT));
}

/// Resets a connection that is dropped within a response whose end only the end of the connection marks.
struct CutGuard {
    turns: Turns,
    is_unmarked: Arc<AtomicBool>,
    reset: Reset,
}

impl Drop for CutGuard {
    fn drop(&mut self) {
        if self.turns.is_host_turn() && self.is_unmarked.load(Ordering::Relaxed) {
            self.reset.set();
        }
    }
}

async fn serve_connection<F, R, B>(
    cfg: Config,
    connection: Connection,
    socket: TcpStream,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data: Send, Error: Into<Box<dyn Error + Send + Sync>>> + Send + Unpin + 'static,
{
    // If this fails, small writes are only delayed.
    let _ = socket.set_nodelay(true);
    let _connection_guard = cfg.connections.enter();
    let limits = (cfg.limits)();
    let mut phase = cfg.phase;
    let response_phase = phase.clone();
    let ends_with_connection = Arc::new(AtomicBool::new(false));
    let is_unmarked = Arc::clone(&ends_with_connection);
    let turns = Turns::new(connection.clone());
    let service_turns = turns.clone();
    let service = service_fn(move |mut req: Request<Incoming>| {
        let turn = service_turns.begin();
        let is_closing = service_turns.connection().is_closing();
        req.extensions_mut().insert(service_turns.connection());
        let response = handler(req);
        let response_phase = response_phase.clone();
        let is_unmarked = Arc::clone(&is_unmarked);
        async move {
            if is_closing {
                // The connection is about to be dropped, and its caller may send the request
                // elsewhere.
                std::future::pending::<()>().await;
            }
            let mut resp = response.await;
            is_unmarked.store(resp.version() == Version::HTTP_10, Ordering::Relaxed);
            if *response_phase.borrow() >= Phase::Leaving {
                let close = HeaderValue::from_static("close");
                resp.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(resp.map(|body| TurnBody::new(body, turn)))
        }
    });
    let reset = Reset::default();
    let head_bytes_max = limits.head_bytes_max.max(HEAD_BYTES_MIN);
    let socket = Socket::new(socket, reset.clone(), turns.clone(), limits);
    let reset_if_broken = |served: hyper::Result<()>| {
        let is_body_broken = served.is_err_and(|err| err.is_user());
        if is_body_broken && ends_with_connection.load(Ordering::Relaxed) {
            reset.set();
        }
    };
    // The end of the response may be marked by the end of the connection only. A connection without
    // one is closed, as its caller may not have read the last response yet.
    let reset_if_answering = || {
        if turns.is_host_turn() {
            reset.set();
        }
    };
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(head_bytes_max)
        .serve_connection(TokioIo::new(socket), service);
    let mut conn = std::pin::pin!(conn);
    // Dropped before the connection, also if this task ends with the process.
    let _cut = CutGuard {
        turns: turns.clone(),
        is_unmarked: Arc::clone(&ends_with_connection),
        reset: reset.clone(),
    };
    tokio::select! {
        // First, so that no request begins on a connection that is told to close.
        biased;
        () = connection.closed() => return reset_if_answering(),
        // Errors are ignored: the client observes a broken connection itself.
        served = conn.as_mut() => return reset_if_broken(served),
        _ = phase.wait_for(|p| *p >= Phase::Closing) => {}
    }
    // Closes an idle connection now, and a busy one after its current request.
    conn.as_mut().graceful_shutdown();
    tokio::select! {
        biased;
        () = connection.closed() => reset_if_answering(),
        served = conn => reset_if_broken(served),
        _ = phase.wait_for(|p| *p == Phase::Stopped) => {}
    }
}
