//! Online requests: finds the route, dispatches the request to a target and forwards the
//! response.
//!
//! Three outcomes are distinguished throughout. A request that did not run may be offered to
//! another target or refused. One that may have run is sent again only if its route allows
//! that. One whose response has started is forwarded as it arrives; a resumable stream that is
//! interrupted continues at another target within the same response, after its last complete
//! event.

mod body;
mod dispatch;
mod slot;
mod trace;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use notchwharf_config::gateway::WaitAtHosts;
use notchwharf_config::routes::Kind;
use notchwharf_config::routes::Route;
use notchwharf_config::routes::Table;
use notchwharf_ledger::rendezvous::hash;

use crate::RequestId;
use crate::access;
use crate::access::Caller;
use crate::access::Identified;
use crate::access::RequestHead;
use crate::context::Context;
use crate::error::Failure;
use crate::limits;
use crate::limits::Permit;
use crate::metrics::Counted;
use crate::origins;
use crate::origins::Resumed;
use crate::ports::Body;
use crate::ports::ForwardedRequest;
use crate::waiting::SchedulingParams;

use self::dispatch::Dispatch;
use self::trace::Trace;

/// Retry delay for a request that was read as an online one before its route became a batch
/// route.
const BATCH_ROUTE_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Weight of a workspace without a rate limit when slots are shared, in requests per second:
/// that of a large workspace.
const UNLIMITED_WEIGHT: f64 = 100.0;
/// Deadline of a request that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request as it is forwarded.
    pub forwarded: ForwardedRequest,
    /// The host that it names.
    pub host: String,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// A hash of the prompt's shared prefix.
    pub affinity: u64,
    /// The stream that it takes up again, if any.
    pub resumption: Option<Resumption>,
}

/// A stream that its caller takes up again after an interruption.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resumption {
    /// Its caller names it.
    Named {
        /// The id of the request that brought its first event.
        stream: RequestId,
        /// The number of the last event that the caller received, if it is one.
        last_event: Option<u64>,
    },
    /// Its caller only says which event it received last.
    Unnamed {
        /// The number of that event, if it is one.
        last_event: Option<u64>,
    },
    /// Its caller doesn't name it by one request id.
    Malformed,
}

impl Resumption {
    /// Returns the request that brought the stream's first event, if the caller names it.
    fn stream(&self) -> Option<&str> {
        match self {
            Self::Named { stream, .. } => Some(stream),
            Self::Unnamed { .. } | Self::Malformed => None,
        }
    }

    /// Returns the number of the last event that the caller received, if it names one.
    fn last_event(&self) -> Option<u64> {
        match self {
            Self::Named { last_event, .. } | Self::Unnamed { last_event } => *last_event,
            Self::Malformed => None,
        }
    }
}

/// A target's response as it is forwarded to the caller.
pub struct ForwardedResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Body,
    /// Whether the end of the body may be marked by a length or chunks. Otherwise its target did not
    /// mark it either, so that the response may not be whole although the body has no error.
    pub is_end_marked: bool,
}

impl std::fmt::Debug for ForwardedResponse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Answer")
            .field("status", &self.status)
            .finish_non_exhaustive()
    }
}

/// Serves a request. Dropping the future or the response's body cancels it.
///
/// # Errors
///
/// Returns why there is no response of a target, and whether the request may have run.
pub async fn serve(
    ctx: &Arc<Context>,
    mut req: Request,
    arrived: Instant,
) -> Result<ForwardedResponse, Failure> {
    let Identified { table, caller } = identify_caller(ctx, &req, arrived).await?;
    let route = find_route(ctx, &table, &req)?;
    if req.forwarded.id.is_empty() {
        // No answer could name it, and targets reject it.
        let reason = "it has no id";
        return Err(Failure::Malformed { reason });
    }
    access::set_workspace(ctx, &mut req.forwarded.headers, &caller);
    req.forwarded.workspace = caller.name().map(str::to_owned);
    let wait = req.deadline.map_or(route.timeout, |d| d.min(route.timeout));
    let mut trace = Trace::new(ctx, &req, &route, table.version(), arrived);
    let deadline = arrived + wait;
    if !ctx.drain.admits(deadline) {
        let failure = Failure::stopped();
        trace.fail(&failure);
        return Err(failure);
    }
    let permit = before_stop(ctx, admit(ctx, &caller, &route, deadline)).await;
    let permit = permit.inspect_err(|failure| trace.fail(failure))?;
    let resumed = find_origin(ctx, &req, &route, deadline, &mut trace);
    let resumed = before_stop(ctx, resumed).await;
    let resumed = resumed.inspect_err(|failure| trace.fail(failure))?;
    let scheduling = queues_at_hosts(ctx, &table).then(|| scheduling_params(&caller, &route));
    let dispatch = Dispatch::new(ctx, req, route, trace, permit, deadline)
        .with_scheduling(scheduling)
        .with_resumed(resumed);
    dispatch.run().await
}

/// Waits for what a request needs before it is sent, until the host's service ends.
async fn before_stop<T>(
    ctx: &Context,
    part: impl Future<Output = Result<T, Failure>>,
) -> Result<T, Failure> {
    let done = ctx.drain.within(part).await;
    done.unwrap_or_else(|| Err(Failure::stopped()))
}

/// Finds the origin of the stream that a request takes up again; `None` for a new stream.
async fn find_origin(
    ctx: &Arc<Context>,
    req: &Request,
    route: &Route,
    deadline: Instant,
    trace: &mut Trace,
) -> Result<Option<Resumed>, Failure> {
    let resumption = req.resumption.as_ref();
    let Some(resumption) = resumption.filter(|_| route.kind == Kind::Stream) else {
        return Ok(None);
    };
    let started = Instant::now();
    let service = route.select_service(hash(&req.forwarded.id));
    let service = service.map_or("", String::as_str);
    let key = |stream: &str| origins::key(req.forwarded.workspace.as_deref(), &req.host, stream);
    let resumed = origins::find(ctx, resumption, key, route, service, deadline).await?;
    trace.record_origin(&resumed, started.elapsed());
    Ok(Some(resumed))
}

/// Identifies the caller.
async fn identify_caller(
    ctx: &Context,
    req: &Request,
    arrived: Instant,
) -> Result<Identified, Failure> {
    let head = RequestHead {
        id: &req.forwarded.id,
        host: &req.host,
        path: path_of(req),
        headers: &req.forwarded.headers,
    };
    let deadline = arrived + req.deadline.unwrap_or(DEFAULT_DEADLINE);
    let identified = access::identify_request(ctx, head, deadline);
    let identified = before_stop(ctx, identified).await;
    identified.inspect_err(|failure| {
        ctx.metrics.count(Counted::Requests, failure.label());
    })
}

/// Finds the route of the request.
fn find_route(ctx: &Context, table: &Table, req: &Request) -> Result<Arc<Route>, Failure> {
    let route = table.find(&req.host, path_of(req)).cloned();
    let route = route.ok_or_else(|| {
        trace::log_no_route(ctx, req, table.version());
        Failure::NoRoute
    })?;
    if route.kind == Kind::Batch && req.forwarded.method == Method::POST {
        // It was read as an online request by an older route table. A target would run the
        // whole job as a single request that nobody sent.
        return Err(Failure::NotRun {
            retry_after: BATCH_ROUTE_RETRY_AFTER,
            reason: "the route takes jobs",
        });
    }
    Ok(route)
}

/// Returns whether requests wait at hosts while all slots are in use.
fn queues_at_hosts(ctx: &Context, table: &Table) -> bool {
    match ctx.settings.online.wait_at_hosts {
        WaitAtHosts::Never => false,
        WaitAtHosts::Workspaces => table.workspaces().is_some(),
        WaitAtHosts::Always => true,
    }
}

/// Returns a request's parameters in the wait queue. The priority of its workspace takes
/// precedence over that of its route. The weight is the workspace's rate limit, since slots
/// are shared in proportion to the rates that workspaces were promised.
fn scheduling_params(caller: &Caller, route: &Route) -> SchedulingParams {
    let workspace = caller.workspace();
    let limit = workspace.and_then(|workspace| workspace.limit);
    SchedulingParams {
        priority: workspace
            .and_then(|workspace| workspace.priority)
            .unwrap_or(route.priority),
        weight: limit.map_or(UNLIMITED_WEIGHT, |limit| limit.per_s),
    }
}

/// Checks the request against the limit of its workspace.
async fn admit(
    ctx: &Arc<Context>,
    caller: &Caller,
    route: &Route,
    deadline: Instant,
) -> Result<Option<Permit>, Failure> {
    match caller.workspace() {
        Some(workspace) => limits::admit(ctx, workspace, route.objective, deadline).await,
        None => Ok(None),
    }
}

fn path_of(req: &Request) -> &str {
    req.forwarded.path.split('?').next().unwrap_or_default()
}
