//! Loads the items of a job and the progress that other hosts have made on them.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

use notchwharf_config::routes::JobPolicy;
use notchwharf_intake::Room;
use notchwharf_ledger::jobs::Accepted;
use notchwharf_ledger::jobs::Attempts;
use notchwharf_ledger::jobs::HostId;
use notchwharf_ledger::jobs::Offset;
use notchwharf_ledger::jobs::workspace_of;

use super::apply_records;
use super::late::OverdueRuns;
use crate::backlog::Item;
use crate::context::Context;
use crate::jobs::Payload;
use crate::metrics::Counted;
use crate::ports::ForwardedRequest;
use crate::sync::lock;

/// Delay before a job's items are read again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time after which items are due that have neither an objective nor a time limit: they run
/// after all items that callers wait for, and before jobs of the next hours.
const DEFAULT_DUE_AFTER: Duration = Duration::from_secs(600);

/// Loads the items of a job into the backlog.
pub(super) async fn load(ctx: Arc<Context>, epoch: Offset, accepted: Arc<Accepted>) {
    let job = &accepted.job;
    match Payload::read(&ctx, &accepted).await {
        Ok(payload) => {
            let is_own = is_own(&ctx, &accepted);
            let mut items = to_items(&ctx, epoch, &accepted, payload, is_own);
            if !is_own {
                resume(&ctx, &accepted, epoch, &mut items).await;
            }
            let jobs = ctx.journal.jobs();
            lock(&ctx.items.backlog).add_items(epoch, job, items, &jobs);
        }
        Err(err) => {
            slog::warn!(ctx.logger, "job's items not read"; "job" => job.as_str(),
                "error" => err.to_string());
            tokio::time::sleep(RETRY_DELAY).await;
            lock(&ctx.items.backlog).remove_unloaded(epoch, job);
            ctx.metrics.count(Counted::Jobs, "items read again");
            apply_records(&ctx);
        }
    }
    ctx.items.wake();
    ctx.peers.notify();
}

/// Returns whether this process has accepted a job and owns it since then, so that nobody has run its
/// items.
fn is_own(ctx: &Context, accepted: &Accepted) -> bool {
    let jobs = ctx.journal.jobs();
    let job = jobs.get(&accepted.job);
    let has_previous_owner = job.is_none_or(|job| job.owner_before.is_some());
    !has_previous_owner && ctx.submissions.is_first_load(accepted.attempt)
}

/// Restores the progress that the previous owner, or this host before a restart, has saved.
async fn resume(ctx: &Context, accepted: &Accepted, epoch: Offset, items: &mut [Item]) {
    let job = &accepted.job;
    let previous_owner = ctx
        .journal
        .jobs()
        .get(job)
        .and_then(|j| j.owner_before.clone());
    let hosts: Vec<HostId> = previous_owner
        .into_iter()
        .chain([ctx.host().to_owned()])
        .collect();
    let mut found = match ctx.progress.read(job, &hosts).await {
        Ok(found) => found,
        Err(err) => {
            slog::warn!(ctx.logger, "progress of items not read; they start over";
                "job" => job.as_str(), "error" => err.to_string());
            return;
        }
    };
    let with_failures = items.iter().filter(|i| i.attempts.runs().failed > 0);
    let with_failures = with_failures.count();
    slog::info!(ctx.logger, "progress of items read"; "job" => job.as_str(), "epoch" => epoch,
        "hosts" => hosts.join(","), "items" => items.len(), "with_progress" => found.len(),
        "with_failures" => with_failures);
    for item in items {
        if let Some(saved) = found.remove(&item.key.1) {
            item.resume(saved);
        }
    }
}

/// Returns the time after which items of a job are due. Without an objective they are due when
/// they may be abandoned; until then other items precede them.
fn due_after(policy: &JobPolicy) -> Duration {
    let times = [policy.objective, policy.abandon_after];
    let configured = times.into_iter().find(|time| !time.is_zero());
    configured.unwrap_or(DEFAULT_DUE_AFTER)
}

/// Returns the attempts of a job's items, in the caller's order.
fn attempts(ctx: &Context, accepted: &Accepted, is_own: bool) -> Vec<Attempts> {
    let jobs = ctx.journal.jobs();
    let job = jobs.get(&accepted.job);
    let numbers = (0..).take(accepted.items.len());
    let attempts = numbers.map(|number| match is_own {
        true => Attempts::of_accepted(),
        false => Attempts::of_owned(job.map(|job| job.runs(number)).unwrap_or_default()),
    });
    attempts.collect()
}

fn to_items(
    ctx: &Context,
    epoch: Offset,
    accepted: &Accepted,
    payload: Payload,
    is_own: bool,
) -> Vec<Item> {
    let host = payload.host;
    let table = ctx.table();
    let route = table.as_ref().and_then(|t| t.by_name(&accepted.route));
    let due_after = route.map_or(DEFAULT_DUE_AFTER, |route| due_after(&route.jobs));
    let has_workspaces = table.as_ref().is_some_and(|t| t.workspaces().is_some());
    let workspace = workspace_of(&accepted.job);
    let specs = accepted.items.iter();
    let pairs = specs.zip(payload.items);
    let attempts = attempts(ctx, accepted, is_own);
    let numbered = pairs.zip(attempts).zip(0..);
    let items = numbered.map(|(((spec, item), attempts), number)| {
        let mut headers = item.headers();
        if has_workspaces || workspace.is_some() {
            (ctx.decode.set_workspace)(&mut headers, workspace);
        }
        Item {
            size: (ctx.decode.size)(&headers),
            key: (accepted.job.clone(), number),
            epoch,
            route: accepted.route.clone(),
            host: host.clone(),
            request: Arc::new(ForwardedRequest {
                id: spec.id.clone(),
                method: hyper::Method::POST,
                headers,
                path: item.path,
                body: item.body.into(),
                workspace: workspace.map(str::to_owned),
            }),
            text: Vec::new(),
            last_event: None,
            unmarked_ends: 0,
            room: Room::default(),
            origin: None,
            waiting_since: None,
            attempts,
            undisturbed_since: Instant::now(),
            overdue: OverdueRuns::default(),
            silences: 0,
            waits_for_calm: false,
            failed_at: Vec::new(),
            saved_event: None,
            submitted_unix_ms: accepted.submitted_unix_ms,
            due_after,
            loaded_at: Instant::now(),
            fingerprint: OnceLock::new(),
            parts: OnceLock::new(),
        }
    });
    items.collect()
}
