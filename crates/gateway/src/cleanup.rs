//! Deletes expired jobs and related records from the store.
//!
//! The store keeps the newest record of each key forever, so the records of closed jobs would
//! accumulate. One host, selected by hashing, periodically lists the job records and deletes
//! those of closed jobs whose retention time is over, of submissions that were refused as long
//! ago, and the payloads and results of these jobs. It also deletes outdated quarantine records
//! and the progress of items whose jobs are closed. If two hosts do so at once, the second
//! deletes keys that are already deleted, which has no effect.
//!
//! Deleting the records of a job when it closes was rejected: each host would have to remember
//! the keys of all records.

use std::sync::Arc;
use std::time::Duration;

use notchwharf_ledger::jobs::Applied;
use notchwharf_ledger::jobs::Blob;
use notchwharf_ledger::jobs::Job;
use notchwharf_ledger::jobs::JobId;
use notchwharf_ledger::jobs::Jobs;
use notchwharf_ledger::jobs::Outcome;
use notchwharf_ledger::jobs::Record;

use crate::context::Context;
use crate::peers;
use crate::ports::Entry;
use crate::ports::StoreError;
use crate::ports::Topic;
use crate::progress;
use crate::quarantine;
use crate::time::unix_ms;
use notchwharf_listen::Phase;

/// The name that is hashed to select the host.
const TASK: &str = "upkeep";
/// Divisor of the retention time that gives the interval of rounds, and the margin added to
/// the retention time because the clocks of hosts differ.
const MARGIN_DIVISOR: u64 = 2;
/// Maximum number of keys deleted by one call.
const KEYS_MAX: usize = 200;

/// Forgets expired jobs in memory, and deletes expired records from the store while this host
/// is the selected one.
pub(crate) async fn run(ctx: Arc<Context>) {
    let retention_ms = ctx.settings.batch.readable_ms;
    let margin_ms = retention_ms / MARGIN_DIVISOR;
    let mut ticks = ctx.timer.subscribe(Duration::from_millis(margin_ms));
    while ticks.recv().await.is_some() && ctx.phase() < Phase::Leaving {
        let expiry_unix_ms = unix_ms().saturating_sub(retention_ms + margin_ms);
        let removed = ctx.journal.remove_expired(expiry_unix_ms);
        if removed > 0 {
            slog::info!(ctx.logger, "expired jobs removed from memory"; "jobs" => removed);
        }
        let is_selected =
            peers::is_assigned_to_own_cell(&ctx, TASK) && ctx.peers.is_successor(ctx.host(), TASK);
        if !ctx.store.is_up() || !is_selected {
            continue;
        }
        if let Err(err) = run_round(&ctx, expiry_unix_ms).await {
            slog::warn!(ctx.logger, "deletion of expired records failed";
                "error" => err.to_string());
        }
    }
}

async fn run_round(ctx: &Context, expiry_unix_ms: u64) -> Result<(), StoreError> {
    let records = ctx.store.all_newest(Topic::Jobs, 0).await?.before_end();
    let mut jobs = Jobs::default();
    let mut keys: Vec<(String, JobId, Option<u64>)> = Vec::new();
    for record in records {
        let Some(decoded) = record.entry.value.as_deref().and_then(Record::decode) else {
            continue;
        };
        let job = decoded.job().clone();
        let submitted = match &decoded {
            Record::Accepted(accepted) => Some(accepted.submitted_unix_ms),
            _ => None,
        };
        let applied = jobs.apply(record.offset, decoded);
        // A refused submission belongs to no job, so its own timestamp counts.
        let refused = submitted.filter(|_| matches!(applied, Applied::OverQuota { .. }));
        keys.push((record.entry.key, job, refused));
    }
    let expired: Vec<&Job> = jobs
        .iter()
        .map(|(_, job)| job)
        .filter(|j| is_expired(j, expiry_unix_ms))
        .collect();
    delete_blobs(ctx, &expired).await?;
    quarantine::delete_expired(ctx).await?;
    progress::delete_stale(&ctx.store, |job| jobs.get(job).is_some_and(Job::is_open)).await?;
    let is_deleted = |job: &JobId, refused: &Option<u64>| match refused {
        Some(submitted) => *submitted < expiry_unix_ms,
        None => expired.iter().any(|j| j.accepted.job == *job),
    };
    let deleted = keys
        .into_iter()
        .filter(|(_, job, refused)| is_deleted(job, refused));
    let deleted: Vec<Entry> = deleted.map(|(key, ..)| Entry::tombstone(key)).collect();
    if deleted.is_empty() {
        return Ok(());
    }
    slog::info!(ctx.logger, "expired job records deleted"; "jobs" => expired.len(),
        "records" => deleted.len());
    // Refused submissions are deleted in the same call as the jobs that exhausted the quota.
    // Otherwise a host that lists the remaining records would accept them.
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
