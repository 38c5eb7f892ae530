//! Online requests: from a route to a target and back.
//!
//! Three outcomes stay apart to the end: a request that did not run may be
//! offered to another target or refused; one that may have run is sent again
//! only if it may run twice; one whose answer has begun is passed on as it
//! comes. A stream that may be resumed goes on at another target within the
//! same answer, after its last whole event.

mod flow;
mod placing;
mod sending;
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

use crate::access;
use crate::access::Caller;
use crate::access::Identified;
use crate::access::RequestHead;
use crate::context::Context;
use crate::error::Failure;
use crate::limits;
use crate::limits::Permit;
use crate::metrics::Counted;
use crate::ports::Body;
use crate::ports::ForwardedRequest;
use crate::waiting::Standing;

use self::sending::Sending;
use self::trace::Trace;

/// When to come back if the route has just begun to take jobs.
const TAKES_JOBS_RETRY: Duration = Duration::from_millis(50);
/// What a workspace without a limit counts as that shares places with others: one that may
/// send as many requests a second as a large one.
const UNLIMITED_WEIGHT: f64 = 100.0;
/// Time that a caller is taken to wait who does not say.
const NO_DEADLINE: Duration = Duration::from_secs(60);

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request as it is passed on.
    pub forward: ForwardedRequest,
    /// The host that it names.
    pub host: String,
    /// Time that the caller waits.
    pub deadline: Option<Duration>,
    /// A hash of the prompt's shared beginning.
    pub affinity: u64,
}

/// A target's answer on its way to the caller.
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Body,
}

impl std::fmt::Debug for Answer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Answer")
            .field("status", &self.status)
            .finish_non_exhaustive()
    }
}

/// Serves a request. Dropping the future or the answer's body stops it.
///
/// # Errors
///
/// Returns why there is no answer of a target, and whether it may have run.
pub async fn serve(
    ctx: &Arc<Context>,
    mut req: Request,
    arrived: Instant,
) -> Result<Answer, Failure> {
    let Identified { table, caller } = who_calls(ctx, &req, arrived).await?;
    let route = which_route(ctx, &table, &req)?;
    access::set_workspace(ctx, &mut req.forward.headers, &caller);
    req.forward.workspace = caller.name().map(str::to_owned);
    let wait = req.deadline.map_or(route.timeout, |d| d.min(route.timeout));
    let mut trace = Trace::new(ctx, &req.forward, &route, table.version(), arrived);
    let deadline = arrived + wait;
    let permit = may_it(ctx, &caller, &route, deadline).await;
    let permit = permit.inspect_err(|failure| trace.failed(failure))?;
    let standing = waits_at_hosts(ctx, &table).then(|| standing(&caller, &route));
    let sending = Sending::new(ctx, req, route, trace, permit, deadline).standing(standing);
    sending.send_whole().await
}

/// Finds out who calls.
async fn who_calls(ctx: &Context, req: &Request, arrived: Instant) -> Result<Identified, Failure> {
    let presented = RequestHead {
        id: &req.forward.id,
        host: &req.host,
        path: path_of(req),
        headers: &req.forward.headers,
    };
    let deadline = arrived + req.deadline.unwrap_or(NO_DEADLINE);
    let identified = access::identify_request(ctx, presented, deadline).await;
    identified.inspect_err(|failure| {
        ctx.metrics.count(Counted::Requests, failure.label());
    })
}

/// Finds the route that answers.
fn which_route(ctx: &Context, table: &Table, req: &Request) -> Result<Arc<Route>, Failure> {
    let route = table.find(&req.host, path_of(req)).cloned();
    let route = route.ok_or_else(|| {
        trace::no_route(ctx, req, table.version());
        Failure::NoRoute
    })?;
    if route.kind == Kind::Batch && req.forward.method == Method::POST {
        // Whoever took it for an online request knew other routes. A target would run the
        // job as one request that nobody sent.
        return Err(Failure::NotRun {
            retry_after: TAKES_JOBS_RETRY,
            reason: "the route takes jobs",
        });
    }
    Ok(route)
}

/// Returns whether requests wait at hosts while all places are taken.
fn waits_at_hosts(ctx: &Context, table: &Table) -> bool {
    match ctx.settings.online.wait_at_hosts {
        WaitAtHosts::Never => false,
        WaitAtHosts::Workspaces => table.workspaces().is_some(),
        WaitAtHosts::Always => true,
    }
}

/// Returns what a request's place among those that wait follows from: the rank of its
/// workspace before that of its route, and what the workspace may send. Places are shared
/// in proportion to that: it is what its callers were promised.
fn standing(caller: &Caller, route: &Route) -> Standing {
    let workspace = caller.workspace();
    let limit = workspace.and_then(|workspace| workspace.limit);
    Standing {
        priority: workspace
            .and_then(|workspace| workspace.priority)
            .unwrap_or(route.priority),
        weight: limit.map_or(UNLIMITED_WEIGHT, |limit| limit.per_s),
    }
}

/// Finds out whether its workspace may send it now.
async fn may_it(
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
    req.forward.path.split('?').next().unwrap_or_default()
}
