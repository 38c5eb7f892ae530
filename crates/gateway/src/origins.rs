//! Decides at which origin a resumed stream may go on, and keeps the origins of streams.
//!
//! The invariant: a request that goes on with a stream runs only at targets of the version that
//! sent the stream's first event, and only on evidence of that version: a record of this host,
//! or of a peer. A caller that names no stream can only be served while its service has one
//! version alone, as far back as streams may be resumed. Anything else is refused, since a guess may
//! join two versions.

mod records;

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use notchwharf_config::routes::Route;
use notchwharf_listen::Phase;
use notchwharf_origins::Lookup;
use notchwharf_origins::Origin;
use notchwharf_origins::Origins;
use notchwharf_origins::StreamKey;
use notchwharf_origins::history::Unsure;
use notchwharf_origins::history::VersionHistory;
use notchwharf_startup::Dependency;

use crate::catalog;
use crate::context::Context;
use crate::context::Until;
use crate::error::Failure;
use crate::metrics::Counted;
use crate::online::Resumption;
use crate::peers::origins as peer_origins;
use crate::peers::origins::PeerLookup;
use crate::sync::lock;

/// Maximum number of streams of which a host keeps the origin; about 6 MB.
const ORIGINS_MAX: usize = 32_768;
/// Time beyond its caller's deadline for which an origin is kept, as the deadline of an attempt
/// may be shorter than the time for which its caller waits.
const KEEP_AFTER_DEADLINE: Duration = Duration::from_secs(5);
/// Maximum time for which an origin is kept.
const KEEP_MAX: Duration = Duration::from_secs(600);
/// Time for which one version must have served alone before a stream that its caller doesn't
/// name can have begun only there: callers wait less long for a whole response.
const ALONE_MIN: Duration = Duration::from_secs(60);
/// Maximum time for which the store or peers are asked for an origin or the newest versions. Callers
/// give a stream up after a gap of two seconds.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(500);
/// Retry delay if a peer that may know the origin didn't answer.
const UNANSWERED_RETRY: Duration = Duration::from_millis(100);
/// Interval of removing expired records and updating gauges.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// The origins known to this host.
pub(crate) struct StreamOrigins {
    table: Mutex<Origins>,
    /// Streams that this host forwards, with the number of requests for each.
    running: Mutex<HashMap<StreamKey, usize>>,
    /// The versions of each service.
    pub(crate) history: Arc<Mutex<VersionHistory>>,
}

impl Default for StreamOrigins {
    fn default() -> Self {
        Self {
            table: Mutex::new(Origins::new(ORIGINS_MAX)),
            running: Mutex::default(),
            history: Arc::default(),
        }
    }
}

/// How a host knows the origin of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Evidence {
    /// It has a record.
    OwnRecord,
    /// A peer has one.
    PeerRecord(String),
    /// The service has had one version alone.
    OnlyVersion,
}

impl Evidence {
    fn label(&self) -> &'static str {
        match self {
            Self::OwnRecord => "own record",
            Self::PeerRecord(_) => "peer's record",
            Self::OnlyVersion => "only version",
        }
    }
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::PeerRecord(host) => f.write_str(host),
            Self::OwnRecord | Self::OnlyVersion => f.write_str(self.label()),
        }
    }
}

/// The origin at which a request goes on with a stream.
#[derive(Clone, Debug)]
pub(crate) struct Resumed {
    /// The stream; `None` if its caller doesn't name it.
    pub(crate) stream: Option<StreamKey>,
    /// Its origin.
    pub(crate) origin: Arc<Origin>,
    /// How that is known.
    pub(crate) evidence: Evidence,
    /// The age of the record, if there is one.
    pub(crate) age: Option<Duration>,
}

/// Returns the key of the stream that a request began.
pub(crate) fn key(workspace: Option<&str>, host: &str, request: &str) -> StreamKey {
    notchwharf_origins::key(workspace, host, request)
}

/// Finds the origin of a stream that a caller takes up again. `service` is the one to which a
/// new request would go.
///
/// # Errors
///
/// Returns why the stream cannot go on; nothing ran.
pub(crate) async fn find(
    ctx: &Arc<Context>,
    resumption: &Resumption,
    stream_key: impl Fn(&str) -> StreamKey,
    route: &Route,
    service: &str,
    deadline: Instant,
) -> Result<Resumed, Failure> {
    let found = match resumption {
        Resumption::Malformed => Err(Failure::Malformed {
            reason: "the resumed stream is not named by one request id",
        }),
        Resumption::Unnamed { .. } => {
            let startup = &ctx.startup;
            startup
                .wait_ready_until(Dependency::Targets, deadline)
                .await;
            startup
                .wait_ready_until(Dependency::Versions, deadline)
                .await;
            // The stream began before, at a version that another host may have heard of first.
            let since = Instant::now();
            let deadline = deadline.min(since + LOOKUP_TIMEOUT);
            match catalog::confirm_targets(ctx, since, deadline).await {
                true => only_version(ctx, service),
                // Another host may be in step.
                false => Err(Failure::NotResumable {
                    reason: "unnamed stream, targets not confirmed",
                    retry_after: Some(UNANSWERED_RETRY),
                }),
            }
        }
        Resumption::Named { stream, .. } => find_named(ctx, stream_key(stream), deadline).await,
    };
    let found = found.and_then(|resumed| check_route(route, resumed));
    let outcome = match &found {
        Ok(resumed) => resumed.evidence.label(),
        Err(Failure::NotResumable { reason, .. }) => reason,
        Err(failure) => failure.label(),
    };
    ctx.metrics.count(Counted::Resumptions, outcome);
    found
}

async fn find_named(
    ctx: &Arc<Context>,
    stream: StreamKey,
    deadline: Instant,
) -> Result<Resumed, Failure> {
    let known = lock(&ctx.origins.table).get(stream, Instant::now());
    match known {
        Lookup::Known {
            origin,
            recorded_at,
        } => {
            return Ok(Resumed {
                stream: Some(stream),
                origin,
                evidence: Evidence::OwnRecord,
                age: Some(recorded_at.elapsed()),
            });
        }
        Lookup::Conflicting => return Err(not_resumable("conflicting records")),
        Lookup::Unknown => {}
    }
    let deadline = deadline.min(Instant::now() + LOOKUP_TIMEOUT);
    match peer_origins::find(ctx, stream, deadline).await {
        PeerLookup::Known { host, origin, age } => Ok(Resumed {
            stream: Some(stream),
            origin: Arc::new(origin),
            evidence: Evidence::PeerRecord(host),
            age: Some(age),
        }),
        PeerLookup::Conflicting => Err(not_resumable("conflicting records")),
        PeerLookup::Unknown => Err(not_resumable("unknown stream")),
        PeerLookup::Unanswered => Err(Failure::NotResumable {
            reason: "peers did not answer",
            retry_after: Some(UNANSWERED_RETRY),
        }),
    }
}

fn only_version(ctx: &Context, service: &str) -> Result<Resumed, Failure> {
    let history = lock(&ctx.origins.history);
    let version = history.only(service, ALONE_MIN, Instant::now());
    let version = version.map_err(|unsure| match unsure {
        Unsure::Several => not_resumable("unnamed stream, several versions"),
        // Another host may know.
        Unsure::PastUnknown => Failure::NotResumable {
            reason: "unnamed stream, earlier versions not known",
            retry_after: Some(UNANSWERED_RETRY),
        },
    })?;
    Ok(Resumed {
        stream: None,
        origin: Arc::new(Origin {
            service: service.to_owned(),
            version: version.to_owned(),
        }),
        evidence: Evidence::OnlyVersion,
        age: None,
    })
}

/// Checks that the route still leads to the stream's service.
fn check_route(route: &Route, resumed: Resumed) -> Result<Resumed, Failure> {
    let mut shares = route.shares.iter();
    if shares.any(|share| share.weight > 0 && share.service == resumed.origin.service) {
        return Ok(resumed);
    }
    Err(not_resumable("the route leads to another service"))
}

/// Returns the failure of a stream that cannot go on at any host.
pub(crate) fn not_resumable(reason: &'static str) -> Failure {
    Failure::NotResumable {
        reason,
        retry_after: None,
    }
}

/// A stream that this host forwards; its origin is sent to hosts that start in the meantime.
pub(crate) struct RunningStream {
    ctx: Arc<Context>,
    stream: StreamKey,
}

impl Drop for RunningStream {
    fn drop(&mut self) {
        let mut running = lock(&self.ctx.origins.running);
        if let Some(count) = running.get_mut(&self.stream) {
            *count -= 1;
            if *count == 0 {
                running.remove(&self.stream);
            }
        }
    }
}

/// Records the origin of a stream, here and at peers, before its first event is forwarded.
pub(crate) fn record(
    ctx: &Arc<Context>,
    stream: StreamKey,
    origin: &Origin,
    caller_deadline: Instant,
) -> RunningStream {
    let now = Instant::now();
    let keep = caller_deadline.saturating_duration_since(now) + KEEP_AFTER_DEADLINE;
    let keep = keep.min(KEEP_MAX);
    lock(&ctx.origins.table).record(stream, origin, now + keep, now);
    *lock(&ctx.origins.running).entry(stream).or_default() += 1;
    peer_origins::send_copies(ctx, stream, origin, keep);
    RunningStream {
        ctx: Arc::clone(ctx),
        stream,
    }
}

/// Records the origin of a stream that a peer forwards.
pub(crate) fn record_copy(ctx: &Context, stream: StreamKey, origin: &Origin, keep: Duration) {
    let now = Instant::now();
    let expires_at = now + keep.min(KEEP_MAX);
    lock(&ctx.origins.table).record(stream, origin, expires_at, now);
}

/// Returns what this host has recorded of a stream.
pub(crate) fn recorded(ctx: &Context, stream: StreamKey) -> Lookup {
    lock(&ctx.origins.table).get(stream, Instant::now())
}

/// Returns the streams that this host forwards, with their origins and for how long these are
/// kept.
pub(crate) fn running(ctx: &Context) -> Vec<(StreamKey, Arc<Origin>, Duration)> {
    let now = Instant::now();
    let streams: Vec<StreamKey> = lock(&ctx.origins.running).keys().copied().collect();
    let table = lock(&ctx.origins.table);
    let known = streams.into_iter().filter_map(|stream| {
        let (origin, expires_at) = table.expiring(stream)?;
        Some((stream, origin, expires_at.saturating_duration_since(now)))
    });
    known.collect()
}

/// Starts to record versions, and to forget origins and versions.
pub(crate) fn start(ctx: &Arc<Context>) {
    ctx.spawn_duty(
        "record versions",
        Until::Phase(Phase::Leaving),
        records::run,
    );
    ctx.spawn_duty("forget origins", Until::Phase(Phase::Stopped), run);
}

/// Removes expired records and updates gauges until the host stops.
async fn run(ctx: Arc<Context>) {
    let mut ticks = ctx.timer.subscribe(UPDATE_INTERVAL);
    while ticks.recv().await.is_some() && ctx.phase() != Phase::Stopped {
        let now = Instant::now();
        let mut table = lock(&ctx.origins.table);
        table.expire(now);
        ctx.metrics.set("stream_origins", table.len());
        let evicted = usize::try_from(table.evicted()).unwrap_or(usize::MAX);
        ctx.metrics.set("stream_origins_evicted", evicted);
        drop(table);
        let mut history = lock(&ctx.origins.history);
        if ctx.startup.is_ready(Dependency::Targets) {
            history.begin(now);
        }
        for (service, version, targets) in history.counts() {
            let version = version.unwrap_or("unknown");
            ctx.metrics
                .set(&format!("targets {service} {version}"), targets);
        }
        history.forget(ALONE_MIN, now);
    }
}
