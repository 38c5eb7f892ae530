//! Reads what a job's items say, and how far other hosts had got with them.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

use notchwharf_config::routes::JobPolicy;
use notchwharf_ledger::jobs::Accepted;
use notchwharf_ledger::jobs::HostId;
use notchwharf_ledger::jobs::Offset;
use notchwharf_ledger::jobs::workspace_of;

use super::sync;
use crate::backlog::Item;
use crate::context::Context;
use crate::jobs::Payload;
use crate::ports::ForwardedRequest;
use crate::sync::lock;

/// Pause before a job's items are read again.
const LOAD_PAUSE: Duration = Duration::from_millis(200);

/// Time after which items are due for which no time is told: they come after
/// all that callers wait for, and not after jobs of the next hours.
const DUE_MAX: Duration = Duration::from_secs(600);

/// Reads the items of a job.
pub(super) async fn load(ctx: Arc<Context>, epoch: Offset, accepted: Arc<Accepted>) {
    let job = &accepted.job;
    match Payload::read(&ctx, &accepted).await {
        Ok(payload) => {
            let mut items = to_items(&ctx, &accepted, payload);
            resume(&ctx, &accepted, epoch, &mut items).await;
            let jobs = ctx.journal.jobs();
            lock(&ctx.items.backlog).loaded(epoch, job, items, &jobs);
        }
        Err(err) => {
            slog::warn!(ctx.logger, "job's items not read"; "job" => job.as_str(),
                "error" => err.to_string());
            tokio::time::sleep(LOAD_PAUSE).await;
            lock(&ctx.items.backlog).not_loaded(job);
            sync(&ctx);
        }
    }
    ctx.items.wake();
    ctx.peers.notify();
}

/// Lets items go on from where other hosts, or this one before it started
/// again, had got with them.
async fn resume(ctx: &Context, accepted: &Accepted, epoch: Offset, items: &mut [Item]) {
    let job = &accepted.job;
    let owner_before = ctx
        .journal
        .jobs()
        .get(job)
        .and_then(|j| j.owner_before.clone());
    if owner_before.is_none() && !ctx.journal.is_older_than_listing(epoch) {
        return;
    }
    let hosts: Vec<HostId> = owner_before
        .into_iter()
        .chain([ctx.host().to_owned()])
        .collect();
    let mut found = match ctx.progress.read(job, &hosts).await {
        Ok(found) => found,
        Err(err) => {
            slog::warn!(ctx.logger, "progress of items not read, they begin anew";
                "job" => job.as_str(), "error" => err.to_string());
            return;
        }
    };
    slog::info!(ctx.logger, "progress of items read"; "job" => job.as_str(),
        "hosts" => hosts.join(","), "items" => items.len(), "with_progress" => found.len());
    for item in items {
        if let Some(saved) = found.remove(&item.key.1) {
            item.resume(saved);
        }
    }
}

/// Returns the time after which items of a job are due. Without an objective
/// they are when they may be given up: before that, they wait for others.
fn due(terms: &JobPolicy) -> Duration {
    let times = [terms.objective, terms.abandon_after];
    let told = times.into_iter().find(|time| !time.is_zero());
    told.unwrap_or(DUE_MAX)
}

fn to_items(ctx: &Context, accepted: &Accepted, payload: Payload) -> Vec<Item> {
    let host = payload.host;
    let table = ctx.table();
    let route = table.as_ref().and_then(|t| t.by_name(&accepted.route));
    let due_after = route.map_or(DUE_MAX, |route| due(&route.jobs));
    let is_told_apart = table.as_ref().is_some_and(|t| t.workspaces().is_some());
    let workspace = workspace_of(&accepted.job);
    let specs = accepted.items.iter();
    let both = specs.zip(payload.items).zip(0..);
    let items = both.map(|((spec, item), number)| {
        let mut headers = item.headers();
        if is_told_apart || workspace.is_some() {
            (ctx.decode.set_workspace)(&mut headers, workspace);
        }
        Item {
            size: (ctx.decode.size)(&headers),
            key: (accepted.job.clone(), number),
            route: accepted.route.clone(),
            host: host.clone(),
            forward: Arc::new(ForwardedRequest {
                id: spec.id.clone(),
                method: hyper::Method::POST,
                headers,
                path: item.path,
                body: item.body.into(),
                workspace: workspace.map(str::to_owned),
            }),
            text: Vec::new(),
            last_event: None,
            failures: 0,
            blamed: 0,
            failed_at: Vec::new(),
            saved_event: None,
            saved_failures: 0,
            submitted_unix_ms: accepted.submitted_unix_ms,
            due_after,
            known_since: Instant::now(),
            fingerprint: OnceLock::new(),
        }
    });
    items.collect()
}
