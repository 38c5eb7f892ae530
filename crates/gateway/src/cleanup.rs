//! Deletes expired jobs and related records from the store.
//!
//! The store keeps the newest record of each key forever, so the records of closed jobs would
//! accumulate. One host, selected by hashing, periodically lists the job records and deletes
//! those of closed jobs whose retention time is over, the payloads and results of these jobs, and
//! the records of refused submissions. It also deletes outdated quarantine records and the progress
//! of items whose jobs are closed. If two hosts do so at once, the second deletes keys that are
//! already deleted, which has no effect.
//!
//! Whether a submission is refused follows from the records before it. So the records of a job
//! that was open when a submission was refused are deleted only in a later round than that of the
//! submission: otherwise a host that lists the rest would accept it.
//!
//! Deleting the records of a job when it closes was rejected: each host would have to remember
//! the keys of all records. So was deleting a refused submission together with the jobs before
//! it: a listing in several pages may miss the jobs and still hold the submission.

mod listing;

use std::sync::Arc;
use std::time::Duration;

use notchwharf_ledger::jobs::Blob;
use notchwharf_ledger::jobs::Job;
use notchwharf_ledger::jobs::Outcome;

use crate::context::Context;
use crate::peers;
use crate::ports::Entry;
use crate::ports::StoreError;
use crate::ports::Topic;
use crate::progress;
use crate::quarantine;
use crate::time::unix_ms;
use notchwharf_listen::Phase;

use self::listing::Listing;

/// The name that is hashed to select the host.
const TASK: &str = "upkeep";
/// Divisor of the retention time that gives the interval of rounds, and the margin added to
/// the retention time because the clocks of hosts differ. It is also the age at which refused
/// submissions are deleted: copies of their records arrive within seconds.
const MARGIN_DIVISOR: u64 = 2;
/// Maximum number of keys deleted by one call.
const KEYS_MAX: usize = 200;

/// Removes expired jobs from memory, and deletes expired records from the store while this host
/// is the selected one.
pub(crate) async fn run(ctx: Arc<Context>) {
    let retention_ms = ctx.settings.batch.readable_ms;
    let margin_ms = retention_ms / MARGIN_DIVISOR;
    let mut ticks = ctx.timer.subscribe(Duration::from_millis(margin_ms));
    while ticks.recv().await.is_some() && ctx.phase() < Phase::Leaving {
        let now_unix_ms = unix_ms();
        let expiry_unix_ms = now_unix_ms.saturating_sub(retention_ms + margin_ms);
        let removed = ctx.journal.remove_expired(expiry_unix_ms);
        if removed > 0 {
            slog::info!(ctx.logger, "expired jobs removed from memory"; "jobs" => removed);
        }
        let is_selected =
            peers::is_assigned_to_own_cell(&ctx, TASK) && ctx.peers.is_successor(ctx.host(), TASK);
        if !ctx.store.is_up() || !is_selected {
            continue;
        }
        let refused_expiry_unix_ms = now_unix_ms.saturating_sub(margin_ms);
        if let Err(err) = run_round(&ctx, expiry_unix_ms, refused_expiry_unix_ms).await {
            slog::warn!(ctx.logger, "deletion of expired records failed";
                "error" => err.to_string());
        }
    }
}

async fn run_round(
    ctx: &Context,
    expiry_unix_ms: u64,
    refused_expiry_unix_ms: u64,
) -> Result<(), StoreError> {
    let records = ctx.store.all_newest(Topic::Jobs, 0).await?.before_end();
    let listing = Listing::of(records);
    let jobs = &listing.jobs;
    let expired = listing.expired(expiry_unix_ms);
    delete_blobs(ctx, &expired).await?;
    quarantine::delete_expired(ctx).await?;
    progress::delete_stale(&ctx.store, |job| jobs.get(job).is_some_and(Job::is_open)).await?;
    let refused = listing.refused.iter();
    let refused = refused.filter(|r| r.submitted_unix_ms < refused_expiry_unix_ms);
    let refused_keys = refused.map(|r| &r.key);
    let expired_keys = expired.iter().flat_map(|job| listing.keys_of(job));
    let deleted: Vec<Entry> = refused_keys
        .chain(expired_keys)
        .map(|key| Entry::tombstone(key.clone()))
        .collect();
    if deleted.is_empty() {
        return Ok(());
    }
    slog::info!(ctx.logger, "expired job records deleted"; "jobs" => expired.len(),
        "refused" => listing.refused.len(), "records" => deleted.len());
    ctx.store.append(Topic::Jobs, 0, deleted).await.map(|_| ())
}

/// Returns whether a job is closed and was submitted before the expiry time.
pub(crate) fn is_expired(job: &Job, expiry_unix_ms: u64) -> bool {
    !job.is_open() && job.accepted.submitted_unix_ms < expiry_unix_ms
}

async fn delete_blobs(ctx: &Context, expired: &[&Job]) -> Result<(), StoreError> {
    for job in expired {
        delete_all(ctx, Topic::Payloads, &job.accepted.payload).await?;
        for listed in &job.listed {
            if let Outcome::Completed(blobs) = &listed.outcome {
                delete_all(ctx, Topic::Results, blobs).await?;
            }
        }
    }
    Ok(())
}

async fn delete_all(ctx: &Context, topic: Topic, blobs: &[Blob]) -> Result<(), StoreError> {
    for blob in blobs {
        let keys: Vec<Entry> = blob.record_keys().map(Entry::tombstone).collect();
        for keys in keys.chunks(KEYS_MAX) {
            ctx.store.append(topic, blob.part, keys.to_vec()).await?;
        }
    }
    Ok(())
}
