//! Online requests, from admission to the complete response or a typed failure.
//!
//! A chat completion has no side effects and can be repeated. An interrupted stream is
//! therefore resumed where it stopped, on the same target or another, within the retry
//! budget and the deadline.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use notchwharf_config::bundle::Class;
use notchwharf_config::settings::ms;
use notchwharf_membership::fact::Target;
use notchwharf_proto::datagram;
use notchwharf_proto::datagram::Datagram;
use notchwharf_routing::budget;
use notchwharf_routing::table::Refusal;
use tokio::sync::mpsc;

use crate::bundle::Route;
use crate::context::Context;
use crate::context::lock;
use crate::context::post;
use crate::dispatch::OnlineStreams;
use crate::exchange;
use crate::exchange::Observation;
use crate::exchange::Progress;
use crate::exchange::StreamError;
use crate::exchange::TargetRequest;
use crate::exchange::Timeouts;
use crate::metrics::Counted;
use crate::metrics::Timed;
use crate::quarantine;
use notchwharf_listen::Phase;

/// Interval at which the stream count of a target is sent again.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// A validated online request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) tenant: String,
    pub(crate) route: Route,
    pub(crate) target_request: TargetRequest,
    pub(crate) prefix: u64,
    pub(crate) deadline: Instant,
}

/// Why a request has no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No target accepted the request; it was not run.
    NotRun(Refusal),
    /// A target rejected the request as invalid, with this status.
    Rejected(u16),
    /// The deadline of the request has passed.
    DeadlineExceeded,
    /// Targets crashed while running such a request; it was not run.
    Quarantined {
        /// Time after which the request may be retried.
        retry_after: Duration,
    },
    /// Targets failed, and no further attempt is allowed.
    TargetsFailed,
    /// The caller has disconnected.
    Disconnected,
}

/// Runs a request and sends its text to `output_tx` as it arrives.
///
/// # Errors
///
/// Returns a [`Failure`] if there is no complete response.
pub(crate) async fn run(
    ctx: &Arc<Context>,
    mut req: Request,
    output_tx: Option<mpsc::UnboundedSender<String>>,
) -> Result<Progress, Failure> {
    let started_at = Instant::now();
    let mut progress = Progress::default();
    let mut tried = Vec::new();
    let mut was_sent = false;
    let mut backoff = budget::backoff(rand::random());
    loop {
        let run_guard = match quarantine::admit(ctx, &req).await {
            Ok(run_guard) => run_guard,
            Err(_) if was_sent => return Err(Failure::TargetsFailed),
            Err(failure) => return Err(failure),
        };
        let chosen = choose(ctx, &mut req, &tried);
        let target = match chosen {
            Ok(target) => target,
            Err(_) if was_sent && tried.len() > 1 => return Err(Failure::TargetsFailed),
            Err(_) if was_sent => {
                // The only target is the one that failed; it may have recovered.
                tried.clear();
                wait_backoff(&mut backoff, req.deadline).await?;
                if !lock(&ctx.budget).withdraw() {
                    return Err(Failure::TargetsFailed);
                }
                continue;
            }
            Err(refusal) => return Err(Failure::NotRun(refusal)),
        };
        let incarnation = quarantine::incarnation_of(ctx, &target);
        let attempt_started_at = Instant::now();
        let result = run_on(ctx, &req, &target, &mut progress, output_tx.as_ref()).await;
        let err = match result {
            Ok(()) => {
                lock(&ctx.budget).deposit();
                quarantine::record_success(ctx, &req);
                let elapsed = started_at.elapsed();
                ctx.metrics
                    .time(Timed::Total, Class::Online, &req.tenant, elapsed);
                return Ok(progress);
            }
            Err(err) => err,
        };
        if err == StreamError::Disconnected {
            quarantine::check_crash(
                ctx,
                &req,
                &target,
                incarnation,
                attempt_started_at.elapsed(),
            )
            .await;
        }
        // Another run of a suspect request may start only once the outcome of this one
        // is known.
        drop(run_guard);
        was_sent |= !matches!(err, StreamError::NotSent | StreamError::Rejected(_));
        ctx.metrics.count(Counted::Retries, err.label());
        match err {
            StreamError::DeadlineExceeded => return Err(Failure::DeadlineExceeded),
            StreamError::Rejected(status @ (400 | 413 | 422)) => {
                return Err(Failure::Rejected(status));
            }
            StreamError::Rejected(404 | 429 | 503) => {}
            _ => ctx.table().record_failure(&target, Instant::now()),
        }
        tried.push(target);
        if output_tx
            .as_ref()
            .is_some_and(mpsc::UnboundedSender::is_closed)
        {
            return Err(Failure::Disconnected);
        }
        if !lock(&ctx.budget).withdraw() {
            return Err(Failure::TargetsFailed);
        }
        wait_backoff(&mut backoff, req.deadline).await?;
    }
}

async fn wait_backoff(
    backoff: &mut impl Iterator<Item = Duration>,
    deadline: Instant,
) -> Result<(), Failure> {
    let delay = backoff.next().unwrap_or_default();
    if Instant::now() + delay >= deadline {
        return Err(Failure::DeadlineExceeded);
    }
    tokio::time::sleep(delay).await;
    Ok(())
}

fn choose(ctx: &Context, req: &mut Request, tried: &[String]) -> Result<String, Refusal> {
    let now = Instant::now();
    let mut table = ctx.table();
    let choice = table.choose(&req.route.fingerprint, req.prefix, tried, now);
    let Err(Refusal::NoTarget { .. }) = choice else {
        req.target_request
            .fingerprint
            .clone_from(&req.route.fingerprint);
        return choice;
    };
    // During a roll-out, the previous version serves until a target is ready with the
    // new one.
    let Some(previous) = req.route.previous.clone() else {
        return choice;
    };
    if table.is_served(&req.route.fingerprint) {
        return choice;
    }
    let chosen = table.choose(&previous, req.prefix, tried, now)?;
    req.target_request.fingerprint = previous;
    Ok(chosen)
}

/// Counts a stream at a target until dropped.
struct InFlight<'a> {
    ctx: &'a Context,
    target: &'a str,
}

impl<'a> InFlight<'a> {
    fn begin(ctx: &'a Context, target: &'a str) -> Self {
        ctx.table().begin(target);
        report_stream_count(ctx, target);
        Self { ctx, target }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.ctx.table().end(self.target);
        report_stream_count(self.ctx, self.target);
    }
}

/// Reports to the target's lease holder how many online streams this host has there.
fn report_stream_count(ctx: &Context, target: &str) {
    let streams = ctx.table().own_streams(target);
    let host = ctx.host().clone();
    if let Some(dispatcher) = ctx.dispatcher(target) {
        post(&dispatcher, OnlineStreams { host, streams });
        return;
    }
    let Some(addr) = holder_addr(ctx, target) else {
        return;
    };
    let update = Datagram::Online {
        host,
        target: target.to_owned(),
        streams,
    };
    let bytes = datagram::encode(&update);
    ctx.metrics
        .add(Counted::GossipBytes, "notices sent", bytes.len() as u64);
    if let Some(socket) = ctx.update_socket.get() {
        // A lost count is sent again with the next report or expires at the holder.
        let _ = socket.try_send_to(&bytes, addr);
    }
}

/// Repeats the stream counts while streams are open, in case a datagram was lost.
pub(crate) async fn resend_stream_counts(ctx: Arc<Context>) {
    let mut ticks = ctx.timer.subscribe(REPORT_INTERVAL);
    while ticks.recv().await.is_some() && ctx.phase() != Phase::Stopped {
        let targets = ctx.table().targets_in_use();
        for target in targets {
            report_stream_count(&ctx, &target);
        }
    }
}

fn holder_addr(ctx: &Context, target: &str) -> Option<std::net::SocketAddr> {
    let view = ctx.view();
    let Target { holder, .. } = view.targets.get(target)?;
    let addr = view.hosts.get(holder.as_ref()?)?.addr.as_ref()?;
    Some(addr.gossip)
}

async fn run_on(
    ctx: &Arc<Context>,
    req: &Request,
    target: &str,
    progress: &mut Progress,
    output_tx: Option<&mpsc::UnboundedSender<String>>,
) -> Result<(), StreamError> {
    let url = ctx.target_url(target).ok_or(StreamError::NotSent)?;
    let _in_flight = InFlight::begin(ctx, target);
    let timeouts = Timeouts {
        deadline: req.deadline,
        idle: ms(ctx.settings.online.idle_timeout_ms),
    };
    let mut is_first = progress.tokens == 0;
    let inter_token_histogram = ctx
        .metrics
        .timing(Timed::InterToken, Class::Online, &req.tenant);
    let observe = |observation: Observation<'_>| match observation {
        Observation::Load(load) => {
            let streams = load.running + load.waiting;
            ctx.table()
                .set_reported_streams(target, streams, Instant::now());
        }
        Observation::Output {
            text,
            tokens,
            elapsed,
        } => {
            let now = Instant::now();
            if is_first {
                ctx.table().record_first_token(target, elapsed, now);
                let metrics = &ctx.metrics;
                metrics.time(Timed::FirstToken, Class::Online, &req.tenant, elapsed);
            } else {
                let elapsed = elapsed / tokens.max(1);
                ctx.table().record_inter_token(target, elapsed, now);
                inter_token_histogram.record(elapsed);
            }
            is_first = false;
            if let Some(output_tx) = output_tx {
                // A disconnected caller is detected by `closed` below.
                let _ = output_tx.send(text.to_owned());
            }
        }
    };
    let exchange = exchange::run(
        &ctx.targets,
        &url,
        &req.target_request,
        timeouts,
        progress,
        observe,
    );
    let Some(output_tx) = output_tx else {
        return exchange.await;
    };
    tokio::select! {
        result = exchange => result,
        () = output_tx.closed() => {
            let _ = ctx.targets.cancel(&url, &req.target_request.request_id).await;
            Err(StreamError::Disconnected)
        }
    }
}
