//! Who calls, and whether they may.
//!
//! A host cannot tell a key that nobody ever held from one that a configuration added
//! which it has not read yet. So an unknown key is refused for good only by a
//! configuration that was the newest one when the request arrived; otherwise the host
//! looks again, and if it cannot, the request is refused as not run. A key that is
//! known is served by what the host knows, unless the settings ask for strictness:
//! then what it knows must have been confirmed within their time.
//!
//! Serving unknown keys while the store is away was rejected: a key that was taken
//! away would come back to life with each outage.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hyper::HeaderMap;
use notchwharf_config::access::KeyError;
use notchwharf_config::access::WorkspacePolicy;
use notchwharf_config::routes::Table;

use crate::catalog;
use crate::context::Context;
use crate::error::AuthError;
use crate::error::Failure;
use crate::metrics::Counted;
use crate::time::millis;
use crate::time::ms;

/// Longest time for which a request waits until it is known whether its key is a new
/// one: two looks at a store that answers within its timeout, and less than a third of
/// the time that callers wait.
const LOOK_MAX: Duration = Duration::from_millis(800);
/// When to come back if a host could not look: the next try meets another one.
const OTHER_HOST_RETRY: Duration = Duration::from_millis(50);
/// When to come back while no configuration is known.
const NOT_READY_RETRY: Duration = Duration::from_millis(500);

/// Who calls.
#[derive(Clone, Debug, PartialEq)]
pub enum Caller {
    /// The configuration does not tell callers apart.
    Unidentified,
    /// Anybody; the route is a public one.
    Public,
    /// A workspace, by one of its keys.
    Workspace(Arc<WorkspacePolicy>),
}

impl Caller {
    /// Returns the workspace, if it is one.
    pub fn workspace(&self) -> Option<&Arc<WorkspacePolicy>> {
        match self {
            Self::Workspace(holder) => Some(holder),
            Self::Unidentified | Self::Public => None,
        }
    }

    /// Returns the workspace's name, if it is one.
    pub(crate) fn name(&self) -> Option<&str> {
        self.workspace().map(|holder| holder.name.as_str())
    }
}

/// Who calls, by which version of the routes.
pub struct Identified {
    /// The routes.
    pub table: Arc<Table>,
    /// The caller.
    pub caller: Caller,
}

/// A request as far as it says who sends it and where to.
#[derive(Clone, Copy, Debug)]
pub struct RequestHead<'a> {
    /// Its name, for log lines.
    pub id: &'a str,
    /// The host that it names.
    pub host: &'a str,
    /// Its path without the query.
    pub path: &'a str,
    /// Its headers.
    pub headers: &'a HeaderMap,
}

/// Finds out who sends a request; on a public route anybody may.
///
/// # Errors
///
/// Returns that nobody does who may, or that the host cannot tell.
pub async fn identify_request(
    ctx: &Context,
    presented: RequestHead<'_>,
    deadline: Instant,
) -> Result<Identified, Failure> {
    let RequestHead { host, path, .. } = presented;
    let is_public = |table: &Table| table.find(host, path).is_none_or(|route| route.public);
    identify(ctx, presented, deadline, is_public).await
}

/// Finds out who calls about a job. The call names no route: without a key it is about
/// a job of a public one, if the host has such.
///
/// # Errors
///
/// Returns that nobody does who may, or that the host cannot tell.
pub async fn identify_job_caller(
    ctx: &Context,
    presented: RequestHead<'_>,
) -> Result<Caller, Failure> {
    let deadline = Instant::now() + LOOK_MAX;
    let is_keyless = (ctx.decode.key)(presented.headers) == Err(KeyError::Missing);
    let is_public = |table: &Table| is_keyless && table.has_public_jobs(presented.host);
    let identified = identify(ctx, presented, deadline, is_public).await?;
    Ok(identified.caller)
}

async fn identify(
    ctx: &Context,
    presented: RequestHead<'_>,
    deadline: Instant,
    is_public: impl Fn(&Table) -> bool,
) -> Result<Identified, Failure> {
    let RequestHead { id, headers, .. } = presented;
    let arrived = Instant::now();
    let until = deadline.min(arrived + LOOK_MAX);
    loop {
        let table = ctx
            .wait_for_routes(deadline)
            .await
            .ok_or(Failure::NotReady {
                retry_after: NOT_READY_RETRY,
            })?;
        let is_public = is_public(&table);
        let reason = match caller(ctx, &table, headers, is_public) {
            Ok(Caller::Workspace(_)) if !may_serve(ctx, arrived) => {
                if catalog::confirm(ctx, arrived, until).await {
                    continue;
                }
                return Err(unconfirmed(ctx, id, "the configuration may be old"));
            }
            Ok(caller) => return Ok(Identified { table, caller }),
            Err(reason) => reason,
        };
        let may_be_new = matches!(reason, AuthError::Unknown | AuthError::Removed);
        if !may_be_new || ctx.catalog.is_confirmed(arrived) {
            return Err(refused(ctx, id, &table, reason));
        }
        if !catalog::confirm(ctx, arrived, until).await {
            return Err(unconfirmed(ctx, id, "the key may be a new one"));
        }
    }
}

/// Returns whether the configuration is new enough to serve keys by it.
fn may_serve(ctx: &Context, now: Instant) -> bool {
    ctx.settings.access.confirm_within_ms.is_none_or(|within| {
        let since = now.checked_sub(ms(within)).unwrap_or(ctx.started);
        ctx.catalog.is_confirmed(since)
    })
}

fn caller(
    ctx: &Context,
    table: &Table,
    headers: &HeaderMap,
    is_public: bool,
) -> Result<Caller, AuthError> {
    let Some(workspaces) = table.workspaces() else {
        return Ok(Caller::Unidentified);
    };
    if is_public {
        return Ok(Caller::Public);
    }
    let key = (ctx.decode.key)(headers).map_err(AuthError::NoKey)?;
    let holder = workspaces.by_key(key).cloned();
    holder.map(Caller::Workspace).ok_or_else(|| {
        if ctx.catalog.was_removed(key) {
            AuthError::Removed
        } else {
            AuthError::Unknown
        }
    })
}

/// Puts the true workspace in place of whatever a caller sent about itself; a
/// request that nobody tells apart stays as it came.
pub(crate) fn set_workspace(ctx: &Context, headers: &mut HeaderMap, caller: &Caller) {
    if *caller != Caller::Unidentified {
        (ctx.decode.set_workspace)(headers, caller.name());
    }
}

fn refused(ctx: &Context, id: &str, table: &Table, reason: AuthError) -> Failure {
    ctx.metrics.count(Counted::Access, reason.label());
    slog::info!(ctx.logger, "caller refused"; "id" => id, "reason" => reason.label(),
        "routes_version" => table.version(),
        "routes_age_ms" => ctx.catalog.config_age().map(millis));
    Failure::Unauthorized(reason)
}

fn unconfirmed(ctx: &Context, id: &str, reason: &'static str) -> Failure {
    ctx.metrics.count(Counted::Access, "unconfirmed");
    slog::info!(ctx.logger, "caller not known for sure"; "id" => id, "reason" => reason,
        "routes_version" => ctx.table().map(|t| t.version()),
        "routes_age_ms" => ctx.catalog.config_age().map(millis));
    Failure::NotRun {
        retry_after: OTHER_HOST_RETRY,
        reason,
    }
}
