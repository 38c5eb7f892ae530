//! Calls about jobs: submit, read results, read an item's body, end.
//!
//! Any host answers for any job. It says that there is none only after reading
//! the job records to their end; when it cannot read them it says so.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use notchwharf_config::routes::Kind;
use notchwharf_ledger::jobs::Accepted;
use notchwharf_ledger::jobs::Applied;
use notchwharf_ledger::jobs::ItemSpec;
use notchwharf_ledger::jobs::Outcome;
use notchwharf_ledger::jobs::Record;
use serde::Deserialize;
use serde::Serialize;

use crate::context::Context;
use crate::context::unix_ms;
use crate::error::Lot;
use crate::journal::NotAppended;
use crate::metrics::Counted;
use crate::ports::StoreError;
use crate::ports::Topic;

/// When to come back if this host does not reach the store and others do: the
/// caller finds another host at once.
const OTHER_HOST_RETRY: Duration = Duration::from_millis(50);
/// When to come back if no host reaches the store: outages last some seconds,
/// and callers wait a third of their time at most.
const STORE_RETRY: Duration = Duration::from_millis(1_300);
/// When to come back after a route's limit left no room: about the time in
/// which a few items end.
const QUOTA_RETRY: Duration = Duration::from_secs(1);
/// Time for the record of an acceptance or an end: below what callers wait.
const RECORD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Bytes of results that one reading returns at most, where there are more
/// than one.
const READ_BYTES_MAX: usize = 900 << 10;
/// Age of the newest reading of the job records up to which a host answers
/// without another: what one host has shown, all must show within a second.
const AGE_MAX: Duration = Duration::from_millis(600);

/// A job as its caller submits it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The job's name.
    pub job: String,
    /// The host that the request named.
    pub host: String,
    /// The path of the request.
    pub path: String,
    /// The items.
    pub items: Vec<(ItemSpec, PayloadItem)>,
}

/// What an item says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PayloadItem {
    /// The path of its request.
    pub path: String,
    /// The headers of its request.
    pub headers: Vec<(String, String)>,
    /// The body of its request.
    pub body: Vec<u8>,
}

impl PayloadItem {
    /// Returns the headers; those that HTTP cannot carry are left out, which
    /// the adapter has refused before.
    pub(crate) fn headers(&self) -> HeaderMap {
        let pairs = self.headers.iter().filter_map(|(name, value)| {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            let value = HeaderValue::from_str(value).ok()?;
            Some((name, value))
        });
        pairs.collect()
    }
}

/// What the items of a job say.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Payload {
    pub(crate) host: String,
    pub(crate) items: Vec<PayloadItem>,
}

impl Payload {
    pub(crate) async fn read(ctx: &Context, accepted: &Accepted) -> Result<Self, StoreError> {
        let mut bytes = Vec::new();
        for blob in &accepted.payload {
            let part = ctx.blobs.read(Topic::Payloads, blob).await?;
            bytes.extend_from_slice(&part);
        }
        postcard::from_bytes(&bytes).map_err(|_| StoreError::Expired)
    }
}

/// A result as it is read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemResult {
    /// The item's name.
    pub item: String,
    /// Its whole text; nothing if it was given up.
    pub text: Option<Bytes>,
}

/// Results from a position on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reading {
    /// The number of the job's items.
    pub total: usize,
    /// The position that follows the last result.
    pub next: usize,
    /// The results.
    pub results: Vec<ItemResult>,
}

type Res<T> = Result<T, Lot>;

fn not_now(ctx: &Context, reason: &'static str) -> Lot {
    let retry_after = if ctx.peers.with_store() > 0 {
        OTHER_HOST_RETRY
    } else {
        STORE_RETRY
    };
    Lot::NotNow {
        retry_after,
        reason,
    }
}

/// Takes a job in; repeated, it says so again.
///
/// # Errors
///
/// Returns why the job was not taken in, and whether it may have been.
pub async fn submit(ctx: &Arc<Context>, submission: Submission) -> Res<()> {
    let job = submission.job.clone();
    let items = submission.items.len();
    let started = Instant::now();
    let res = try_submit(ctx, submission).await;
    let outcome = res
        .as_ref()
        .err()
        .map_or("accepted".into(), ToString::to_string);
    ctx.metrics.count(Counted::Jobs, label("accepted", &res));
    slog::info!(ctx.logger, "job submitted"; "id" => job.as_str(), "items" => items,
        "outcome" => outcome, "took_ms" => millis(started.elapsed()),
        "records_end" => ctx.journal.jobs().end(),
        "records_age_ms" => ctx.journal.age().map(millis));
    res
}

async fn try_submit(ctx: &Arc<Context>, submission: Submission) -> Res<()> {
    if ctx.journal.jobs().get(&submission.job).is_some() {
        return Ok(());
    }
    let table = ctx
        .table()
        .ok_or_else(|| not_now(ctx, "no configuration"))?;
    let route = table.find(&submission.host, &submission.path);
    let route = route
        .filter(|r| r.kind == Kind::Batch)
        .ok_or(Lot::NoRoute)?;
    if !ctx.store.is_up() || !ctx.journal.is_loaded() {
        return Err(not_now(ctx, "the store is away"));
    }
    let (specs, items): (Vec<_>, Vec<_>) = submission.items.into_iter().unzip();
    let tokens: u64 = specs.iter().map(|s| u64::from(s.tokens)).sum();
    let tokens_max = route.jobs.tokens_max;
    let is_over = || {
        let waiting = ctx.journal.jobs().waiting_tokens(&route.name);
        tokens_max.is_some_and(|max| waiting + tokens > max)
    };
    if is_over() {
        // What is known may be old: look again before the job is refused.
        sync(ctx).await?;
        if is_over() {
            return Err(over_quota());
        }
    }
    let payload = Payload {
        host: submission.host,
        items,
    };
    let attempt: u64 = rand::random();
    let bytes = postcard::to_stdvec(&payload).expect("Payloads are representable.");
    let key = format!("{}/{attempt:x}", submission.job);
    let blobs = ctx
        .blobs
        .write(Topic::Payloads, &submission.job, &key, bytes.into())
        .await;
    // Without its acceptance a payload means nothing.
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
        Err(NotAppended::NotDone(_)) => Err(not_now(ctx, "the store does not take the job")),
        Err(NotAppended::Unknown) => Err(Lot::Unknown),
    }
}

fn over_quota() -> Lot {
    Lot::OverQuota {
        retry_after: QUOTA_RETRY,
    }
}

async fn sync(ctx: &Context) -> Res<()> {
    let synced = ctx.journal.sync().await;
    synced.map_err(|_| not_now(ctx, "the job records cannot be read"))
}

/// Reads results from a position on, waiting if there is none yet.
///
/// # Errors
///
/// Returns that there is no such job, or that the host cannot tell.
pub async fn read(ctx: &Context, job: &str, from: usize, wait: Duration) -> Res<Reading> {
    let res = try_read(ctx, job, from, wait).await;
    ctx.metrics.count(Counted::Jobs, label("read", &res));
    if let Err(err) = &res {
        slog::info!(ctx.logger, "results not read"; "id" => job, "from" => from,
            "outcome" => err.to_string(), "records_end" => ctx.journal.jobs().end(),
            "records_age_ms" => ctx.journal.age().map(millis));
    }
    res
}

async fn try_read(ctx: &Context, job: &str, from: usize, wait: Duration) -> Res<Reading> {
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
    let mut known = listed.ok_or(Lot::NotFound)?;
    while known <= from && !is_over(ctx, job) {
        // Both ends of the wait are looked at below.
        if tokio::time::timeout_at(deadline, changed.changed())
            .await
            .is_err()
        {
            break;
        }
        known = self::listed(ctx, job).ok_or(Lot::NotFound)?;
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
        let known = jobs.get(job).ok_or(Lot::NotFound)?;
        let listed = known.listed.get(from..).unwrap_or_default().to_vec();
        (Arc::clone(&known.accepted), listed)
    };
    let mut reading = Reading {
        total: accepted.items.len(),
        next: from,
        results: Vec::new(),
    };
    let mut bytes = 0;
    for entry in listed {
        let blobs = match &entry.outcome {
            Outcome::Completed(blobs) => Some(blobs),
            Outcome::Failed(_) => None,
        };
        let size: usize = blobs
            .iter()
            .flat_map(|b| b.iter())
            .map(|b| b.bytes as usize)
            .sum();
        if bytes + size > READ_BYTES_MAX && !reading.results.is_empty() {
            break;
        }
        let text = match blobs {
            None => None,
            Some(blobs) => match text(ctx, blobs).await {
                Ok(text) => Some(text),
                // What is here already is worth having.
                Err(_) if !reading.results.is_empty() => break,
                Err(err) => {
                    slog::warn!(ctx.logger, "result not read"; "job" => job,
                        "error" => err.to_string());
                    return Err(not_now(ctx, "a result cannot be read"));
                }
            },
        };
        bytes += size;
        reading.next += 1;
        let item = accepted.items[entry.item as usize].id.clone();
        reading.results.push(ItemResult { item, text });
    }
    Ok(reading)
}

async fn text(ctx: &Context, blobs: &[notchwharf_ledger::jobs::Blob]) -> Result<Bytes, StoreError> {
    if let [blob] = blobs {
        return ctx.blobs.read(Topic::Results, blob).await;
    }
    let mut whole = Vec::new();
    for blob in blobs {
        whole.extend_from_slice(&ctx.blobs.read(Topic::Results, blob).await?);
    }
    Ok(whole.into())
}

/// Returns the body of an item.
///
/// # Errors
///
/// Returns that there is no such item, or that the host cannot tell.
pub async fn body(ctx: &Context, job: &str, item: &str) -> Res<Bytes> {
    let res = try_body(ctx, job, item).await;
    ctx.metrics.count(Counted::Jobs, label("body", &res));
    if let Err(err) = &res {
        slog::info!(ctx.logger, "item's body not read"; "id" => job, "item" => item,
            "outcome" => err.to_string(), "records_end" => ctx.journal.jobs().end());
    }
    res
}

async fn try_body(ctx: &Context, job: &str, item: &str) -> Res<Bytes> {
    if ctx.journal.jobs().get(job).is_none() {
        sync(ctx).await?;
    }
    let (accepted, place) = {
        let jobs = ctx.journal.jobs();
        let known = jobs.get(job).filter(|j| !j.ended).ok_or(Lot::NotFound)?;
        let place = known.item(item).ok_or(Lot::NotFound)?;
        (Arc::clone(&known.accepted), place as usize)
    };
    let payload = Payload::read(ctx, &accepted).await;
    let payload = payload.map_err(|_| not_now(ctx, "the items cannot be read"))?;
    let item = payload.items.into_iter().nth(place).ok_or(Lot::NotFound)?;
    Ok(item.body.into())
}

/// Ends a job; repeated, it does nothing.
///
/// # Errors
///
/// Returns that there is no such job, or that the end may not be recorded.
pub async fn end(ctx: &Context, job: &str) -> Res<()> {
    let res = try_end(ctx, job).await;
    ctx.metrics.count(Counted::Jobs, label("ended", &res));
    let outcome = res
        .as_ref()
        .err()
        .map_or("ended".into(), ToString::to_string);
    slog::info!(ctx.logger, "job ended"; "id" => job, "outcome" => outcome);
    res
}

async fn try_end(ctx: &Context, job: &str) -> Res<()> {
    if ctx.journal.jobs().get(job).is_none() {
        sync(ctx).await?;
    }
    let is_ended = ctx.journal.jobs().get(job).map(|j| j.ended);
    if is_ended.ok_or(Lot::NotFound)? {
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
        Err(NotAppended::NotDone(_)) => Err(not_now(ctx, "the store does not take the end")),
        Err(NotAppended::Unknown) => Err(Lot::Unknown),
    }
}

fn label<T>(done: &'static str, res: &Res<T>) -> &'static str {
    match res {
        Ok(_) => done,
        Err(Lot::Malformed(_)) => "malformed",
        Err(Lot::NoRoute) => "no route",
        Err(Lot::OverQuota { .. }) => "over quota",
        Err(Lot::NotNow { .. }) => "not now",
        Err(Lot::Unknown) => "unknown",
        Err(Lot::NotFound) => "not found",
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
