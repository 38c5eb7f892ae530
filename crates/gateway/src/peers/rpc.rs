//! Calls between hosts: an HTTP request and a response, each with a binary body.
//!
//! Each call opens a new connection: calls are rare, and a pooled connection may have failed
//! unnoticed.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use notchwharf_answers::error;
use notchwharf_answers::read_whole;
use notchwharf_intake::Intake;
use notchwharf_intake::Reservation;
use notchwharf_intake::error::Shortage;
use notchwharf_proto::records::ChangesRequest;
use notchwharf_proto::records::ChangesResponse;
use notchwharf_proto::records::encode_changes;
use notchwharf_routing::discovery;
use notchwharf_telemetry::gauge::Gauge;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::contact;
use super::departures;
use super::host_list;
use super::origins;
use super::suspects;
use super::versions;
use crate::context::Context;
use crate::jobs;
use crate::spread::RESPONSE_TARGETS_MAX;
use crate::sync::lock;

/// Maximum size of a response in bytes: a host's memory bounds the job records that it has.
const RESPONSE_BYTES_MAX: usize = 128 << 20;
/// Maximum size of a request in bytes: several times the largest submission.
const REQUEST_BYTES_MAX: usize = 32 << 20;
/// Time within which a peer sends a whole request: more than any caller waits.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// The path of requests for changes of routes, targets and hosts.
pub(super) const CHANGES: &str = "/changes";
/// The path of requests for the job records.
pub(super) const RECORDS: &str = "/records";
/// The path of requests for the requests under which targets have crashed.
pub(super) const SUSPECTS: &str = "/suspects";
/// The path of introductions by hosts that cannot read the host list.
pub(super) const CONTACTS: &str = "/contacts";
/// The path of requests for the origin of a stream.
pub(super) const STREAM_ORIGINS: &str = "/stream-origins";
/// The path of requests for the versions of targets.
pub(super) const TARGET_VERSIONS: &str = "/target-versions";
/// The path of requests for the targets that have said that they leave.
pub(super) const DEPARTURES: &str = "/departures";
/// The path of calls about jobs.
pub(super) const JOBS: &str = "/jobs";

/// Timeout of connecting to a peer: many times the latency between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

const BROKEN: CallError = CallError::Lost("connection to peer broke");

/// Why there is no response from a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// The peer was not reached.
    NotSent(&'static str),
    /// The peer may have executed the call.
    Lost(&'static str),
    /// The peer has answered, and there is no room for the answer.
    NoRoom(Shortage),
}

impl CallError {
    /// Returns a short description of the reason.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::NotSent(reason) | Self::Lost(reason) => reason,
            Self::NoRoom(_) => "no room for the answer",
        }
    }
}

/// Calls a peer.
pub(super) async fn call(
    addr: SocketAddr,
    path: &str,
    body: Bytes,
    timeout: Duration,
) -> Result<Bytes, CallError> {
    let socket = connect(addr).await?;
    let called = async { collect(exchange(socket, path, body).await?).await };
    in_time(timeout, called).await
}

/// Calls a peer for a caller: so many copies of the answer are reserved before it is read.
pub(super) async fn call_within_budget(
    intake: &Intake,
    copies: u64,
    addr: SocketAddr,
    body: Bytes,
    timeout: Duration,
) -> Result<(Bytes, Reservation), CallError> {
    let socket = connect(addr).await?;
    let called = async {
        let resp = exchange(socket, JOBS, body).await?;
        // Peers announce the length of each answer.
        let len = resp.body().size_hint().exact();
        let reserved = intake.reserve(copies.saturating_mul(len.unwrap_or(u64::MAX)));
        let reserved = reserved.await.map_err(CallError::NoRoom)?;
        Ok((collect(resp).await?, reserved))
    };
    in_time(timeout, called).await
}

async fn in_time<T>(
    timeout: Duration,
    called: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    let called = tokio::time::timeout(timeout, called).await;
    called.unwrap_or(Err(CallError::Lost("peer did not answer in time")))
}

async fn connect(addr: SocketAddr) -> Result<TcpStream, CallError> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
    match connecting.await {
        Err(_) => Err(CallError::NotSent("connecting timed out")),
        Ok(Err(_)) => Err(CallError::NotSent("connection refused")),
        Ok(Ok(socket)) => Ok(socket),
    }
}

/// Sends a call, and returns the response before its body is read.
async fn exchange(
    socket: TcpStream,
    path: &str,
    body: Bytes,
) -> Result<Response<Incoming>, CallError> {
    let conn = hyper::client::conn::http1::handshake(TokioIo::new(socket)).await;
    let (mut sender, conn) = conn.map_err(|_| CallError::NotSent("no handshake"))?;
    tokio::spawn(conn);
    let req = Request::post(path).header("host", "peer");
    let req = req.body(Full::new(body));
    let req = req.map_err(|_| CallError::NotSent("malformed call"))?;
    let resp = sender.send_request(req).await.map_err(|_| BROKEN)?;
    if resp.status() != StatusCode::OK {
        return Err(CallError::Lost("peer could not answer"));
    }
    Ok(resp)
}

async fn collect(resp: Response<Incoming>) -> Result<Bytes, CallError> {
    let body = read_whole(resp, RESPONSE_BYTES_MAX).await;
    body.map_err(|err| match err {
        error::Read::TooLong => CallError::Lost("peer's answer too long"),
        error::Read::Broken => BROKEN,
        error::Read::Head(_) | error::Read::NotMarked => CallError::Lost("peer's answer broken"),
    })
}

/// Serves calls of peers until the host stops.
pub(super) async fn serve(ctx: Arc<Context>, listener: Arc<TcpListener>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = ctx.stopped() => return,
        };
        // An error such as a lack of file descriptors must not end the service.
        let Ok((socket, _)) = accepted else {
            tokio::task::yield_now().await;
            continue;
        };
        let shared = Arc::clone(&ctx);
        // Kept until the connection is closed, so that a transfer counts until its last byte is
        // sent.
        let in_progress: Arc<Mutex<Option<Gauge>>> = Arc::default();
        let service = service_fn(move |req: Request<Incoming>| {
            let ctx = Arc::clone(&shared);
            let in_progress = Arc::clone(&in_progress);
            async move { Ok::<_, std::convert::Infallible>(respond(&ctx, req, &in_progress).await) }
        });
        tokio::spawn(async move {
            let conn = hyper::server::conn::http1::Builder::new();
            // If the connection breaks, the peer retries.
            let _ = conn.serve_connection(TokioIo::new(socket), service).await;
        });
    }
}

/// Returns records for a peer, unless too many transfers are in progress.
fn transfer_records(
    ctx: &Context,
    in_progress: &Mutex<Option<Gauge>>,
    get: impl FnOnce(&Context) -> Vec<u8>,
) -> Option<Vec<u8>> {
    *lock(in_progress) = Some(ctx.peers.bootstrap.begin_transfer()?);
    Some(get(ctx))
}

/// Returns the changes that a peer requests, unless too many responses are in progress.
fn changes(ctx: &Context, body: &[u8], in_progress: &Mutex<Option<Gauge>>) -> Option<Vec<u8>> {
    let Ok(request) = postcard::from_bytes::<ChangesRequest>(body) else {
        slog::warn!(ctx.logger, "invalid request for changes from peer");
        return None;
    };
    *lock(in_progress) = Some(ctx.peers.bootstrap.begin_response()?);
    let targets = discovery::Position {
        from: request.targets_from,
        after: request.targets_after,
    };
    let response = ChangesResponse {
        config: ctx.catalog.config_after(request.config),
        evacuated: ctx.catalog.evacuated_after(request.config),
        targets: ctx.catalog.targets_since(&targets, RESPONSE_TARGETS_MAX),
        hosts: host_list::since(ctx, request.hosts_from),
        reading: ctx.catalog.reading(Instant::now()),
    };
    Some(encode_changes(&response))
}

fn records(ctx: &Context) -> Vec<u8> {
    ctx.journal.jobs().snapshot().encode()
}

async fn respond(
    ctx: &Arc<Context>,
    req: Request<Incoming>,
    in_progress: &Mutex<Option<Gauge>>,
) -> Response<Full<Bytes>> {
    let path = req.uri().path().to_owned();
    let body = Limited::new(req.into_body(), REQUEST_BYTES_MAX);
    if path == JOBS {
        let call = tokio::time::timeout(REQUEST_TIMEOUT, read_job_call(ctx, body)).await;
        return match call.ok().flatten() {
            Some(call) => response(jobs::handle_forwarded(ctx, call).await),
            None => response(None),
        };
    }
    // A request that is incomplete, too long or too slow needs no response: the peer has closed the
    // connection or has given up.
    let body = tokio::time::timeout(REQUEST_TIMEOUT, body.collect()).await;
    let body = body.ok().and_then(Result::ok);
    let body = body.map(http_body_util::Collected::to_bytes);
    let response_body = match (path.as_str(), body) {
        (CHANGES, Some(body)) => changes(ctx, &body, in_progress),
        (RECORDS, _) if ctx.journal.is_loaded() => transfer_records(ctx, in_progress, records),
        (CONTACTS, Some(body)) => contact::respond(ctx, &body),
        (SUSPECTS, _) => suspects::snapshot(ctx),
        (DEPARTURES, _) => Some(departures::respond(ctx)),
        (STREAM_ORIGINS, Some(body)) => origins::respond(ctx, &body),
        (TARGET_VERSIONS, Some(body)) => versions::respond(ctx, &body),
        _ => None,
    };
    response(response_body.map(Bytes::from))
}

/// Reads a call about a job, for which room is reserved first. A call without room is read, too, and
/// discarded: a peer whose connection is closed while it sends cannot tell that nothing ran.
async fn read_job_call(
    ctx: &Context,
    mut body: Limited<Incoming>,
) -> Option<(Bytes, Result<Reservation, Shortage>)> {
    let len = body.size_hint().exact().unwrap_or(REQUEST_BYTES_MAX as u64);
    let reserved = ctx.callers.intake.reserve(jobs::CALL_COPIES * len).await;
    if reserved.is_ok() {
        return Some((body.collect().await.ok()?.to_bytes(), reserved));
    }
    while let Some(frame) = body.frame().await {
        frame.ok()?;
    }
    Some((Bytes::new(), reserved))
}

fn response(body: Option<Bytes>) -> Response<Full<Bytes>> {
    let status = match body {
        Some(_) => StatusCode::OK,
        None => StatusCode::BAD_REQUEST,
    };
    let mut resp = Response::new(Full::new(body.unwrap_or_default()));
    *resp.status_mut() = status;
    resp
}
