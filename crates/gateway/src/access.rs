//! Identifies callers by their API keys, and decides whether they have access.
//!
//! A host can't distinguish an invalid key from one that was added in a configuration which
//! the host has not read yet. So a key is rejected as unknown only by a configuration that was
//! the newest one when the request arrived. Otherwise the host reads the configuration again,
//! and if it can't, refuses the request as not run. A known key is accepted by the
//! current configuration, unless the settings limit its age: then it must have been confirmed
//! within that time.
//!
//! Accepting unknown keys while the store is unavailable was rejected: each outage would make
//! removed keys valid again.

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

/// Longest time for which a request waits until the configuration is confirmed: two reads of a
/// store that responds within its timeout, and less than a third of the time that callers wait.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(800);
/// Retry delay if this host couldn't confirm the configuration: the retry is likely to reach
/// another host.
const OTHER_HOST_RETRY: Duration = Duration::from_millis(50);
/// Retry delay while no configuration is known.
const NOT_READY_RETRY: Duration = Duration::from_millis(500);

/// The caller of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Caller {
    /// Callers are not identified: the configuration has no workspaces.
    Unidentified,
    /// Any caller, on a public route.
    Public,
    /// A workspace, identified by one of its keys.
    Workspace(Arc<WorkspacePolicy>),
}

impl Caller {
    /// Returns the workspace, if it is one.
    pub fn workspace(&self) -> Option<&Arc<WorkspacePolicy>> {
        match self {
            Self::Workspace(workspace) => Some(workspace),
            Self::Unidentified | Self::Public => None,
        }
    }

    /// Returns the workspace's name, if it is one.
    pub(crate) fn name(&self) -> Option<&str> {
        self.workspace().map(|workspace| workspace.name.as_str())
    }
}

/// The caller of a request, and the route table by which it was identified.
pub struct Identified {
    /// The route table.
    pub table: Arc<Table>,
    /// The caller.
    pub caller: Caller,
}

/// The parts of a request that identify its caller and its route.
#[derive(Clone, Copy, Debug)]
pub struct RequestHead<'a> {
    /// The request's id, for log lines.
    pub id: &'a str,
    /// The host that the request names.
    pub host: &'a str,
    /// The path without the query.
    pub path: &'a str,
    /// The headers.
    pub headers: &'a HeaderMap,
}

/// Identifies the caller of a request; a public route needs no key.
///
/// # Errors
///
/// Returns that the caller has no access, or that the host can't decide.
pub async fn identify_request(
    ctx: &Context,
    head: RequestHead<'_>,
    deadline: Instant,
) -> Result<Identified, Failure> {
    let RequestHead { host, path, .. } = head;
    let is_public = |table: &Table| table.find(host, path).is_none_or(|route| route.public);
    identify(ctx, head, deadline, is_public).await
}

/// Identifies the caller of a job operation. It names no route: without a key it refers to a
/// job of a public route, if the host that it names has one.
///
/// # Errors
///
/// Returns that the caller has no access, or that the host can't decide.
pub async fn identify_job_caller(ctx: &Context, head: RequestHead<'_>) -> Result<Caller, Failure> {
    let deadline = Instant::now() + CONFIRM_TIMEOUT;
    let is_keyless = (ctx.decode.key)(head.headers) == Err(KeyError::Missing);
    let is_public = |table: &Table| is_keyless && table.has_public_jobs(head.host);
    let identified = identify(ctx, head, deadline, is_public).await?;
    Ok(identified.caller)
}

async fn identify(
    ctx: &Context,
    head: RequestHead<'_>,
    deadline: Instant,
    is_public: impl Fn(&Table) -> bool,
) -> Result<Identified, Failure> {
    let RequestHead { id, headers, .. } = head;
    let arrived = Instant::now();
    let confirm_deadline = deadline.min(arrived + CONFIRM_TIMEOUT);
    loop {
        let table = ctx
            .wait_for_routes(deadline)
            .await
            .ok_or(Failure::NotReady {
                retry_after: NOT_READY_RETRY,
            })?;
        let is_public = is_public(&table);
        let reason = match caller(ctx, &table, headers, is_public) {
            Ok(Caller::Workspace(_)) if !is_config_fresh(ctx, arrived) => {
                if catalog::confirm(ctx, arrived, confirm_deadline).await {
                    continue;
                }
                return Err(unconfirmed(ctx, id, "the configuration may be old"));
            }
            Ok(caller) => return Ok(Identified { table, caller }),
            Err(reason) => reason,
        };
        let may_be_new = matches!(reason, AuthError::Unknown | AuthError::Removed);
        if !may_be_new || ctx.catalog.is_confirmed(arrived) {
            return Err(reject(ctx, id, &table, reason));
        }
        if !catalog::confirm(ctx, arrived, confirm_deadline).await {
            return Err(unconfirmed(ctx, id, "the key may be a new one"));
        }
    }
}

/// Returns whether the configuration is recent enough to accept keys by it.
fn is_config_fresh(ctx: &Context, now: Instant) -> bool {
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
    let workspace = workspaces.by_key(key).cloned();
    workspace.map(Caller::Workspace).ok_or_else(|| {
        if ctx.catalog.was_removed(key) {
            AuthError::Removed
        } else {
            AuthError::Unknown
        }
    })
}

/// Sets the workspace in the headers to the identified one, replacing whatever the caller
/// sent. Headers of unidentified callers are left unchanged.
pub(crate) fn set_workspace(ctx: &Context, headers: &mut HeaderMap, caller: &Caller) {
    if *caller != Caller::Unidentified {
        (ctx.decode.set_workspace)(headers, caller.name());
    }
}

/// Counts and logs a request without access, and returns its failure.
fn reject(ctx: &Context, id: &str, table: &Table, reason: AuthError) -> Failure {
    ctx.metrics.count(Counted::Access, reason.label());
    slog::info!(ctx.logger, "caller refused"; "id" => id, "reason" => reason.label(),
        "routes_version" => table.version(),
        "routes_age_ms" => ctx.catalog.config_age().map(millis));
    Failure::Unauthorized(reason)
}

/// Counts and logs a request whose key can't be checked, and returns its failure.
fn unconfirmed(ctx: &Context, id: &str, reason: &'static str) -> Failure {
    ctx.metrics.count(Counted::Access, "unconfirmed");
    slog::info!(ctx.logger, "caller not confirmed"; "id" => id, "reason" => reason,
        "routes_version" => ctx.table().map(|t| t.version()),
        "routes_age_ms" => ctx.catalog.config_age().map(millis));
    Failure::NotRun {
        retry_after: OTHER_HOST_RETRY,
        reason,
    }
}
