//! Reads results and bodies of items.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use notchwharf_ledger::jobs::Blob;
use notchwharf_ledger::jobs::Listed;
use notchwharf_ledger::jobs::Outcome;

use super::ItemResult;
use super::Payload;
use super::Reading;
use super::Res;
use super::label;
use super::not_now;
use super::passed_on::Call;
use super::passed_on::here_or_passed_on;
use super::sync;
use crate::blobs::joined;
use crate::context::Context;
use crate::error::JobError;
use crate::metrics::Counted;
use crate::ports::StoreError;
use crate::ports::Topic;
use crate::time::millis;

/// Bytes of results that one reading returns at most, where there are more
/// than one.
const READ_BYTES_MAX: usize = 900 << 10;

/// Age of the newest reading of the job records up to which a host answers
/// without another: what one host has shown, all must show within a second.
const AGE_MAX: Duration = Duration::from_millis(600);

/// Reads results from a position on, waiting if there is none yet.
///
/// # Errors
///
/// Returns that there is no such job, or that the host cannot tell.
pub async fn read(ctx: &Context, job: &str, from: usize, wait: Duration) -> Res<Reading> {
    let call = Call::Read {
        job: job.to_owned(),
        from,
        wait,
    };
    let res = here_or_passed_on(ctx, &call, try_read(ctx, job, from, wait)).await;
    ctx.metrics.count(Counted::Jobs, label("read", &res));
    if let Err(err) = &res {
        slog::info!(ctx.logger, "results not read"; "id" => job, "from" => from,
            "outcome" => err.to_string(), "records_end" => ctx.journal.jobs().end(),
            "records_age_ms" => ctx.journal.age().map(millis));
    }
    res
}

pub(super) async fn try_read(
    ctx: &Context,
    job: &str,
    from: usize,
    wait: Duration,
) -> Res<Reading> {
    let deadline = tokio::time::Instant::now() + wait;
    let mut changed = ctx.journal.watch();
    let mut listed = listed(ctx, job);
    if listed.is_none_or(|listed| from >= listed) {
        sync_if_old(ctx).await?;
        if listed.is_none() {
            sync(ctx).await?;
        }
        listed = self::listed(ctx, job);
    }
    let mut known = listed.ok_or(JobError::NotFound)?;
    while known <= from && !is_over(ctx, job) {
        // Both ends of the wait are looked at below.
        if tokio::time::timeout_at(deadline, changed.changed())
            .await
            .is_err()
        {
            break;
        }
        known = self::listed(ctx, job).ok_or(JobError::NotFound)?;
    }
    results(ctx, job, from).await
}

fn listed(ctx: &Context, job: &str) -> Option<usize> {
    ctx.journal.jobs().get(job).map(|j| j.listed.len())
}

/// Returns whether no more results of a job are to come.
fn is_over(ctx: &Context, job: &str) -> bool {
    ctx.journal.jobs().get(job).is_none_or(|j| !j.is_open())
}

async fn sync_if_old(ctx: &Context) -> Res<()> {
    if ctx.journal.age().is_none_or(|age| age > AGE_MAX) {
        sync(ctx).await?;
    }
    Ok(())
}

async fn results(ctx: &Context, job: &str, from: usize) -> Res<Reading> {
    let (accepted, listed) = {
        let jobs = ctx.journal.jobs();
        let known = jobs.get(job).ok_or(JobError::NotFound)?;
        let listed = known.listed.get(from..).unwrap_or_default().to_vec();
        (Arc::clone(&known.accepted), listed)
    };
    let mut reading = Reading {
        total: accepted.items.len(),
        next: from,
        results: Vec::new(),
    };
    let fitting = fitting(&listed);
    let blobs: Vec<Blob> = fitting.iter().flat_map(blobs).cloned().collect();
    let mut parts = ctx.blobs.read_all(Topic::Results, &blobs).await.into_iter();
    for entry in fitting {
        let text = match &entry.outcome {
            Outcome::Failed(_) => None,
            Outcome::Completed(blobs) => {
                let parts: Result<Vec<Bytes>, StoreError> =
                    parts.by_ref().take(blobs.len()).collect();
                match parts {
                    Ok(parts) => Some(joined(parts)),
                    // What is here already is worth having.
                    Err(_) if !reading.results.is_empty() => break,
                    Err(err) => {
                        slog::warn!(ctx.logger, "result not read"; "job" => job,
                            "error" => err.to_string());
                        return Err(not_now(ctx, "a result cannot be read"));
                    }
                }
            }
        };
        reading.next += 1;
        let item = accepted.items[entry.item as usize].id.clone();
        reading.results.push(ItemResult { item, text });
    }
    Ok(reading)
}

/// Returns the results that one reading may return: the first, and as many
/// more as stay below its bytes.
fn fitting(listed: &[Listed]) -> &[Listed] {
    let mut bytes = 0;
    let sizes = listed.iter().map(|entry| {
        let sizes = blobs(entry).iter().map(|b| b.bytes as usize);
        sizes.sum::<usize>()
    });
    let count = sizes.take_while(|size| {
        bytes += size;
        bytes <= READ_BYTES_MAX
    });
    let count = count.count().max(1).min(listed.len());
    &listed[..count]
}

fn blobs(entry: &Listed) -> &[Blob] {
    match &entry.outcome {
        Outcome::Completed(blobs) => blobs,
        Outcome::Failed(_) => &[],
    }
}

/// Returns the body of an item.
///
/// # Errors
///
/// Returns that there is no such item, or that the host cannot tell.
pub async fn body(ctx: &Context, job: &str, item: &str) -> Res<Bytes> {
    let call = Call::Body {
        job: job.to_owned(),
        item: item.to_owned(),
    };
    let res = here_or_passed_on(ctx, &call, try_body(ctx, job, item)).await;
    ctx.metrics.count(Counted::Jobs, label("body", &res));
    if let Err(err) = &res {
        slog::info!(ctx.logger, "item's body not read"; "id" => job, "item" => item,
            "outcome" => err.to_string(), "records_end" => ctx.journal.jobs().end());
    }
    res
}

pub(super) async fn try_body(ctx: &Context, job: &str, item: &str) -> Res<Bytes> {
    if ctx.journal.jobs().get(job).is_none() {
        sync(ctx).await?;
    }
    let (accepted, place) = {
        let jobs = ctx.journal.jobs();
        let known = jobs
            .get(job)
            .filter(|j| !j.is_ended)
            .ok_or(JobError::NotFound)?;
        let place = known.item_index(item).ok_or(JobError::NotFound)?;
        (Arc::clone(&known.accepted), place as usize)
    };
    let payload = Payload::read(ctx, &accepted).await;
    let payload = payload.map_err(|_| not_now(ctx, "the items cannot be read"))?;
    let item = payload
        .items
        .into_iter()
        .nth(place)
        .ok_or(JobError::NotFound)?;
    Ok(item.body.into())
}
