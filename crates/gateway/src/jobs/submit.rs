//! Submits and ends jobs.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use notchwharf_config::routes::Kind;
use notchwharf_ledger::jobs::Accepted;
use notchwharf_ledger::jobs::Applied;
use notchwharf_ledger::jobs::Record;
use notchwharf_ledger::jobs::workspace_of;

use super::JobResult;
use super::Payload;
use super::Submission;
use super::forwarding::Call;
use super::forwarding::run_or_forward;
use super::label;
use super::not_now;
use super::sync;
use crate::context::Context;
use crate::error::JobError;
use crate::journal::AppendError;
use crate::metrics::Counted;
use crate::ports::Topic;
use crate::time::millis;
use crate::time::unix_ms;

/// Retry delay if a job exceeds the limit on waiting tokens: about the time in which a few
/// items complete.
const QUOTA_RETRY: Duration = Duration::from_secs(1);

/// Timeout of the record of an acceptance or an end, below the timeout of callers.
const RECORD_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Submits a job. The call is idempotent.
///
/// # Errors
///
/// Returns why the job was not accepted, or [`JobError::Unknown`] if it may have been.
pub async fn submit(ctx: &Arc<Context>, submission: Submission) -> JobResult<()> {
    let job = submission.job.clone();
    let items = submission.items.len();
    let started = Instant::now();
    let call = Call::Submit(submission.clone());
    let res = run_or_forward(ctx, &call, try_submit(ctx, submission), |(), _| ()).await;
    let outcome = res
        .as_ref()
        .err()
        .map_or("accepted".into(), ToString::to_string);
    ctx.metrics.count(Counted::Jobs, label("accepted", &res));
    slog::info!(ctx.logger, "job submitted"; "id" => job.as_str(), "items" => items,
        "outcome" => outcome, "took_ms" => millis(started.elapsed()),
        "records_end" => ctx.journal.jobs().end(),
        "records_age_ms" => ctx.journal.staleness().map(millis));
    res
}

pub(super) async fn try_submit(ctx: &Context, submission: Submission) -> JobResult<()> {
    if ctx.journal.jobs().get(&submission.job).is_some() {
        return Ok(());
    }
    let table = ctx
        .table()
        .ok_or_else(|| not_now(ctx, "no configuration"))?;
    let route = table.find(&submission.host, &submission.path);
    let route = route
        .filter(|r| r.kind == Kind::Batch)
        .ok_or(JobError::NoRoute)?;
    if !ctx.store.is_up() || !ctx.journal.is_loaded() {
        return Err(not_now(ctx, "the store is away"));
    }
    let (specs, items): (Vec<_>, Vec<_>) = submission.items.into_iter().unzip();
    let tokens: u64 = specs.iter().map(|s| u64::from(s.tokens)).sum();
    let tokens_max = route.jobs.tokens_max;
    let exceeds_limit = || {
        let workspace = workspace_of(&submission.job);
        let jobs = ctx.journal.jobs();
        let waiting = jobs.waiting_tokens_of(workspace, &route.name);
        tokens_max.is_some_and(|max| waiting + tokens > max)
    };
    if exceeds_limit() {
        // The records known so far may be stale, so they are read again before a refusal.
        sync(ctx).await?;
        if exceeds_limit() {
            return Err(over_quota());
        }
    }
    let payload = Payload {
        host: submission.host,
        items,
    };
    let attempt = ctx.submissions.next_id();
    let job = submission.job.clone();
    let bytes = postcard::to_stdvec(&payload).expect("Payloads are representable.");
    let key = format!("{}/{attempt:x}", submission.job);
    let blobs = ctx
        .blobs
        .write(Topic::Payloads, &submission.job, &key, bytes.into())
        .await;
    // A payload without the record of the acceptance has no effect.
    let payload = blobs.map_err(|_| not_now(ctx, "the store does not take the items"))?;
    let record = Record::Accepted(Accepted {
        job: submission.job,
        attempt,
        host: ctx.host().to_owned(),
        route: route.name.clone(),
        tokens_max,
        submitted_unix_ms: unix_ms(),
        items: specs,
        payload,
    });
    match ctx
        .journal
        .append(record, Instant::now() + RECORD_TIMEOUT)
        .await
    {
        Ok(Applied::OverQuota { .. }) => Err(over_quota()),
        Ok(_) => Ok(()),
        Err(AppendError::NotDone(err)) => {
            slog::info!(ctx.logger, "job not accepted"; "id" => job, "proof" => err.to_string());
            Err(not_now(ctx, "the store does not take the job"))
        }
        Err(AppendError::Unknown) => Err(JobError::Unknown),
    }
}

fn over_quota() -> JobError {
    JobError::OverQuota {
        retry_after: QUOTA_RETRY,
    }
}

/// Ends a job. The call is idempotent.
///
/// # Errors
///
/// Returns an error if the job does not exist, or if its end was not or may not have been
/// recorded.
pub async fn end(ctx: &Context, job: &str) -> JobResult<()> {
    let call = Call::End {
        job: job.to_owned(),
    };
    let res = run_or_forward(ctx, &call, try_end(ctx, job), |(), _| ()).await;
    ctx.metrics.count(Counted::Jobs, label("ended", &res));
    let outcome = res
        .as_ref()
        .err()
        .map_or("ended".into(), ToString::to_string);
    slog::info!(ctx.logger, "job ended"; "id" => job, "outcome" => outcome);
    res
}

pub(super) async fn try_end(ctx: &Context, job: &str) -> JobResult<()> {
    if ctx.journal.jobs().get(job).is_none() {
        sync(ctx).await?;
    }
    let is_ended = ctx.journal.jobs().get(job).map(|j| j.is_ended);
    if is_ended.ok_or(JobError::NotFound)? {
        return Ok(());
    }
    let record = Record::Ended {
        job: job.to_owned(),
    };
    match ctx
        .journal
        .append(record, Instant::now() + RECORD_TIMEOUT)
        .await
    {
        Ok(_) => Ok(()),
        Err(AppendError::NotDone(_)) => Err(not_now(ctx, "the store does not take the end")),
        Err(AppendError::Unknown) => Err(JobError::Unknown),
    }
}
