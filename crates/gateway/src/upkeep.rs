//! Removes what nobody can ask for any more from the store.
//!
//! The store keeps the newest record of each key for good, so records of jobs
//! that are over would pile up. One host, the same in the eyes of all, lists
//! the job records now and then and drops the keys of jobs that were over and
//! readable for long enough, of tries that were refused as long ago, and of
//! their payloads and results; then those of hosts that are gone. If two hosts
//! do so at once, the second drops what is dropped.
//!
//! Dropping a job's records when it is over was rejected: each host would have
//! to remember the keys of all records.

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

/// The name by which hosts agree on who does the upkeep.
const TASK: &str = "upkeep";
/// Part of the time for which jobs stay readable that is added before they are
/// dropped, and that passes between two rounds: clocks of hosts differ.
const MARGIN_PART: u64 = 2;
/// Keys dropped by one call.
const KEYS_MAX: usize = 200;

/// Does the upkeep while it is this host's to do.
pub(crate) async fn run(ctx: Arc<Context>) {
    let readable_ms = ctx.settings.batch.readable_ms;
    let margin_ms = readable_ms / MARGIN_PART;
    let mut ticks = ctx.timer.subscribe(Duration::from_millis(margin_ms));
    while ticks.recv().await.is_some() && ctx.phase() < Phase::Leaving {
        let before = unix_ms().saturating_sub(readable_ms + margin_ms);
        let forgotten = ctx.journal.forget_before(before);
        if forgotten > 0 {
            slog::info!(ctx.logger, "jobs forgotten"; "jobs" => forgotten);
        }
        let is_ours =
            peers::is_assigned_to_own_cell(&ctx, TASK) && ctx.peers.is_successor(ctx.host(), TASK);
        if !ctx.store.is_up() || !is_ours {
            continue;
        }
        if let Err(err) = round(&ctx, before).await {
            slog::warn!(ctx.logger, "upkeep broken off"; "error" => err.to_string());
        }
    }
}

async fn round(ctx: &Context, before: u64) -> Result<(), StoreError> {
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
        // A refused try belongs to no job and is as old as it says.
        let refused = submitted.filter(|_| matches!(applied, Applied::OverQuota { .. }));
        keys.push((record.entry.key, job, refused));
    }
    let over: Vec<&Job> = jobs
        .iter()
        .map(|(_, job)| job)
        .filter(|j| is_over(j, before))
        .collect();
    drop_blobs(ctx, &over).await?;
    quarantine::delete_expired(ctx).await?;
    progress::drop_stale(&ctx.store, |job| jobs.get(job).is_some_and(Job::is_open)).await?;
    let is_dropped = |job: &JobId, refused: &Option<u64>| match refused {
        Some(submitted) => *submitted < before,
        None => over.iter().any(|j| j.accepted.job == *job),
    };
    let dropped = keys
        .into_iter()
        .filter(|(_, job, refused)| is_dropped(job, refused));
    let dropped: Vec<Entry> = dropped.map(|(key, ..)| Entry::tombstone(key)).collect();
    if dropped.is_empty() {
        return Ok(());
    }
    slog::info!(ctx.logger, "job records dropped"; "jobs" => over.len(),
        "records" => dropped.len());
    // Refused tries go in the same call as the jobs that left no room for
    // them, or a host that lists the rest would accept them.
    ctx.store.append(Topic::Jobs, 0, dropped).await.map(|_| ())
}

/// Returns whether nobody can ask for a job any more.
pub(crate) fn is_over(job: &Job, before: u64) -> bool {
    !job.is_open() && job.accepted.submitted_unix_ms < before
}

async fn drop_blobs(ctx: &Context, over: &[&Job]) -> Result<(), StoreError> {
    for job in over {
        drop_all(ctx, Topic::Payloads, &job.accepted.payload).await?;
        for listed in &job.listed {
            if let Outcome::Completed(blobs) = &listed.outcome {
                drop_all(ctx, Topic::Results, blobs).await?;
            }
        }
    }
    Ok(())
}

async fn drop_all(ctx: &Context, topic: Topic, blobs: &[Blob]) -> Result<(), StoreError> {
    for blob in blobs {
        let keys: Vec<Entry> = blob.record_keys().map(Entry::tombstone).collect();
        for keys in keys.chunks(KEYS_MAX) {
            ctx.store.append(topic, blob.part, keys.to_vec()).await?;
        }
    }
    Ok(())
}
