//! Takes over jobs whose owners are down, shut down, or do not reach the store.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use notchwharf_ledger::jobs::Job;
use notchwharf_ledger::jobs::JobId;
use notchwharf_ledger::jobs::Offset;
use notchwharf_ledger::jobs::Record;
use notchwharf_listen::Phase;

use crate::context::Context;
use crate::peers;
use crate::peers::STORE_OUTAGE_MAX;
use crate::time::ms;

/// Interval of checks for jobs to take over.
const TICK: Duration = Duration::from_millis(250);

/// Time after the loss of a peer for which the job records are read before each check. All
/// hosts detect the loss within that time.
const PEER_LOSS_WINDOW: Duration = Duration::from_secs(2);

/// Takes over jobs whose owners are down, shut down, or do not reach the store.
pub(super) async fn run(ctx: Arc<Context>) {
    let mut ticks = ctx.timer.subscribe(TICK);
    // Until then this host has received messages of all live peers.
    let peers_known_at = ctx.started + 2 * ms(ctx.settings.peers.down_ms);
    while ticks.recv().await.is_some() && ctx.phase() < Phase::Leaving {
        // After an outage of the store, peers may have reconnected as well without having
        // reported it yet.
        let has_store = ctx.store.has_been_up_for(STORE_OUTAGE_MAX) && ctx.journal.is_loaded();
        if Instant::now() < peers_known_at || !has_store {
            continue;
        }
        let is_stale = ctx.journal.staleness().is_none_or(|age| age > TICK);
        if is_stale
            && ctx.peers.has_lost_peer_within(PEER_LOSS_WINDOW)
            && ctx.journal.sync().await.is_err()
        {
            continue;
        }
        for (job, epoch, owner) in jobs_to_take_over(&ctx) {
            if !is_still_to_take_over(&ctx, &job, epoch) {
                continue;
            }
            slog::info!(ctx.logger, "taking over job"; "job" => job.as_str(),
                "owner" => owner, "epoch" => epoch);
            let record = Record::Taken {
                job,
                epoch,
                host: ctx.host().to_owned(),
            };
            let deadline = Instant::now() + TICK;
            // After a failure the next check retries. If another host was first, it owns the
            // job.
            let _ = ctx.journal.append(record, deadline).await;
        }
    }
}

/// Returns the open jobs that this host is to take over, with their epochs and owners.
fn jobs_to_take_over(ctx: &Context) -> Vec<(JobId, Offset, String)> {
    let jobs = ctx.journal.jobs();
    let orphaned = jobs.open().filter(|job| is_to_take_over(ctx, job));
    let orphaned = orphaned.map(|job| (job.accepted.job.clone(), job.epoch, job.owner.clone()));
    orphaned.collect()
}

/// Returns whether this host is to take a job over, whose owner does not run it.
fn is_to_take_over(ctx: &Context, job: &Job) -> bool {
    job.owner != ctx.host()
        && peers::is_responsible_for(ctx, &job.owner)
        && !ctx.peers.retains_jobs(&job.owner)
        && ctx.peers.is_successor(ctx.host(), &job.accepted.job)
}

/// Returns whether a job that was to be taken over still is. The records of those before it may
/// have taken seconds, in which its owner may have returned, or this host begun to shut down.
fn is_still_to_take_over(ctx: &Context, job: &str, epoch: Offset) -> bool {
    let jobs = ctx.journal.jobs();
    let job = jobs.get(job).filter(|j| j.is_open() && j.epoch == epoch);
    ctx.phase() < Phase::Leaving && job.is_some_and(|job| is_to_take_over(ctx, job))
}
