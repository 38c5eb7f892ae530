//! Reads results and bodies of items.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use notchwharf_intake::Reservation;
use notchwharf_ledger::jobs::Blob;
use notchwharf_ledger::jobs::Listed;
use notchwharf_ledger::jobs::Outcome;

use super::ItemResult;
use super::JobResult;
use super::Payload;
use super::ResultPage;
use super::forwarding::Call;
use super::forwarding::run_or_forward;
use super::label;
use super::not_now;
use super::shortage_error;
use super::sync;
use crate::blobs::concat;
use crate::context::Context;
use crate::error::JobError;
use crate::metrics::Counted;
use crate::ports::StoreError;
use crate::ports::Topic;
use crate::time::millis;

/// Maximum bytes of a page of more than one result.
const PAGE_BYTES_MAX: usize = 900 << 10;

/// Copies of results that exist while they are read: the records and the texts.
const RESULT_COPIES: u64 = 2;
/// Copies of a job that exist while the body of an item is read: the records, the whole and the items.
const BODY_COPIES: u64 = 3;

/// Maximum staleness of the job records at which a host responds without reading them again:
/// what one host has returned, all must return within a second.
const STALENESS_MAX: Duration = Duration::from_millis(600);

/// Reads results from a position on, waiting for the first one if there is none yet. The texts are
/// reserved until they are dropped.
///
/// # Errors
///
/// Returns an error if the job does not exist, or if the job records or the results cannot be
/// read now.
pub async fn read_results(
    ctx: &Context,
    job: &str,
    from: usize,
    wait: Duration,
) -> JobResult<ResultPage> {
    let call = Call::Read {
        job: job.to_owned(),
        from,
        wait,
    };
    let res = run_or_forward(ctx, &call, try_read(ctx, job, from, wait), keep_page).await;
    ctx.metrics.count(Counted::Jobs, label("read", &res));
    if let Err(err) = &res {
        slog::info!(ctx.logger, "results not read"; "id" => job, "from" => from,
            "outcome" => err.to_string(), "records_end" => ctx.journal.jobs().end(),
            "records_age_ms" => ctx.journal.staleness().map(millis));
    }
    res
}

pub(super) async fn try_read(
    ctx: &Context,
    job: &str,
    from: usize,
    wait: Duration,
) -> JobResult<ResultPage> {
    let deadline = tokio::time::Instant::now() + wait;
    let mut changed = ctx.journal.watch();
    let mut listed = listed_count(ctx, job);
    if listed.is_none_or(|listed| from >= listed) {
        sync_if_stale(ctx).await?;
        if listed.is_none() {
            sync(ctx).await?;
        }
        listed = listed_count(ctx, job);
    }
    let mut count = listed.ok_or(JobError::NotFound)?;
    while count <= from && !is_closed(ctx, job) {
        // A timeout is not an error: the page then has the results recorded so far, if any.
        if tokio::time::timeout_at(deadline, changed.changed())
            .await
            .is_err()
        {
            break;
        }
        count = listed_count(ctx, job).ok_or(JobError::NotFound)?;
    }
    page_from(ctx, job, from).await
}

/// Returns the number of a job's recorded results.
fn listed_count(ctx: &Context, job: &str) -> Option<usize> {
    ctx.journal.jobs().get(job).map(|j| j.listed.len())
}

/// Returns whether a job gets no more results.
fn is_closed(ctx: &Context, job: &str) -> bool {
    ctx.journal.jobs().get(job).is_none_or(|j| !j.is_open())
}

async fn sync_if_stale(ctx: &Context) -> JobResult<()> {
    if ctx
        .journal
        .staleness()
        .is_none_or(|age| age > STALENESS_MAX)
    {
        sync(ctx).await?;
    }
    Ok(())
}

async fn page_from(ctx: &Context, job: &str, from: usize) -> JobResult<ResultPage> {
    let (accepted, listed) = {
        let jobs = ctx.journal.jobs();
        let state = jobs.get(job).ok_or(JobError::NotFound)?;
        let listed = state.listed.get(from..).unwrap_or_default().to_vec();
        (Arc::clone(&state.accepted), listed)
    };
    let mut page = ResultPage {
        total: accepted.items.len(),
        next: from,
        results: Vec::new(),
    };
    let fitting = fitting(&listed);
    let blobs: Vec<Blob> = fitting.iter().flat_map(blobs).cloned().collect();
    let mut reserved = reserve(ctx, RESULT_COPIES, &blobs).await?;
    let mut parts = ctx.blobs.read_all(Topic::Results, &blobs).await.into_iter();
    for entry in fitting {
        let text = match &entry.outcome {
            Outcome::Failed(_) => None,
            Outcome::Completed(blobs) => {
                let parts: Result<Vec<Bytes>, StoreError> =
                    parts.by_ref().take(blobs.len()).collect();
                match parts {
                    Ok(parts) => Some(concat(parts)),
                    // The results read so far are returned.
                    Err(_) if !page.results.is_empty() => break,
                    Err(err) => {
                        slog::warn!(ctx.logger, "result not read"; "job" => job,
                            "error" => err.to_string());
                        return Err(not_now(ctx, "a result cannot be read"));
                    }
                }
            }
        };
        page.next += 1;
        let item = accepted.items[entry.item as usize].id.clone();
        let text = text.map(|text| keep(text, &mut reserved));
        page.results.push(ItemResult { item, text });
    }
    Ok(page)
}

/// Returns a text that is reserved until it is dropped.
fn keep(text: Bytes, reserved: &mut Reservation) -> Bytes {
    reserved.split(text.len() as u64).keep(text)
}

/// Returns a page whose texts are reserved until they are dropped.
fn keep_page(mut page: ResultPage, mut reserved: Reservation) -> ResultPage {
    for result in &mut page.results {
        let text = result.text.take();
        result.text = text.map(|text| keep(text, &mut reserved));
    }
    page
}

/// Reserves what blobs occupy while they are read for a caller.
async fn reserve(ctx: &Context, copies: u64, blobs: &[Blob]) -> JobResult<Reservation> {
    let bytes: u64 = blobs.iter().map(|b| u64::from(b.bytes)).sum();
    let reserved = ctx.callers.intake.reserve(copies * bytes).await;
    reserved.map_err(|shortage| shortage_error(ctx, shortage))
}

/// Returns the results that fit into one page: at least the first one.
fn fitting(listed: &[Listed]) -> &[Listed] {
    let mut bytes = 0;
    let sizes = listed.iter().map(|entry| {
        let sizes = blobs(entry).iter().map(|b| b.bytes as usize);
        sizes.sum::<usize>()
    });
    let count = sizes.take_while(|size| {
        bytes += size;
        bytes <= PAGE_BYTES_MAX
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

/// Returns the body of an item, which is reserved until it is dropped.
///
/// # Errors
///
/// Returns an error if the item does not exist, or if the job records or the item cannot be
/// read now.
pub async fn read_item_body(ctx: &Context, job: &str, item: &str) -> JobResult<Bytes> {
    let call = Call::Body {
        job: job.to_owned(),
        item: item.to_owned(),
    };
    let keep_body = |body: Bytes, reserved: Reservation| reserved.keep(body);
    let res = run_or_forward(ctx, &call, try_body(ctx, job, item), keep_body).await;
    ctx.metrics.count(Counted::Jobs, label("body", &res));
    if let Err(err) = &res {
        slog::info!(ctx.logger, "item's body not read"; "id" => job, "item" => item,
            "outcome" => err.to_string(), "records_end" => ctx.journal.jobs().end());
    }
    res
}

pub(super) async fn try_body(ctx: &Context, job: &str, item: &str) -> JobResult<Bytes> {
    if ctx.journal.jobs().get(job).is_none() {
        sync(ctx).await?;
    }
    let (accepted, index) = {
        let jobs = ctx.journal.jobs();
        let state = jobs
            .get(job)
            .filter(|j| !j.is_ended)
            .ok_or(JobError::NotFound)?;
        let index = state.item_index(item).ok_or(JobError::NotFound)?;
        (Arc::clone(&state.accepted), index as usize)
    };
    let reserved = reserve(ctx, BODY_COPIES, &accepted.payload).await?;
    let payload = Payload::read(ctx, &accepted).await;
    let payload = payload.map_err(|_| not_now(ctx, "the items cannot be read"))?;
    let item = payload
        .items
        .into_iter()
        .nth(index)
        .ok_or(JobError::NotFound)?;
    Ok(reserved.keep(item.body))
}
