//! Takes over jobs whose owners are down, leave, or do not reach the store.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use notchwharf_ledger::jobs::JobId;
use notchwharf_ledger::jobs::Offset;
use notchwharf_ledger::jobs::Record;
use notchwharf_listen::Phase;

use crate::context::Context;
use crate::peers;
use crate::peers::STORE_OUTAGE_MAX;
use crate::time::ms;

/// Time between two looks at jobs whose owners are gone.
const TAKE_OVER_TICK: Duration = Duration::from_millis(250);

/// Time after a peer was lost in which its jobs are looked for: it is lost to
/// all hosts within that time.
const TAKE_OVER_TIME: Duration = Duration::from_secs(2);

/// Takes over jobs whose owners are down, leave, or do not reach the store.
pub(super) async fn take_over(ctx: Arc<Context>) {
    let mut ticks = ctx.timer.subscribe(TAKE_OVER_TICK);
    // Peers make themselves heard in this time.
    let settled = ctx.started + 2 * ms(ctx.settings.peers.down_ms);
    while ticks.recv().await.is_some() && ctx.phase() < Phase::Leaving {
        // After an outage others may have the store back too and not have said
        // so yet.
        let has_store = ctx.store.has_been_up_for(STORE_OUTAGE_MAX) && ctx.journal.is_loaded();
        if Instant::now() < settled || !has_store {
            continue;
        }
        let is_old = ctx.journal.age().is_none_or(|age| age > TAKE_OVER_TICK);
        if is_old
            && ctx.peers.has_lost_peer_within(TAKE_OVER_TIME)
            && ctx.journal.sync().await.is_err()
        {
            continue;
        }
        for (job, epoch, owner) in orphans(&ctx) {
            slog::info!(ctx.logger, "taking a job over"; "job" => job.as_str(),
                "owner" => owner, "epoch" => epoch);
            let record = Record::Taken {
                job,
                epoch,
                host: ctx.host().to_owned(),
            };
            let deadline = Instant::now() + TAKE_OVER_TICK;
            // Not done, it is tried again; done by another host, it is theirs.
            let _ = ctx.journal.append(record, deadline).await;
        }
    }
}

fn orphans(ctx: &Context) -> Vec<(JobId, Offset, String)> {
    let jobs = ctx.journal.jobs();
    let orphans = jobs.open().filter(|job| {
        job.owner != ctx.host()
            && peers::is_responsible_for(ctx, &job.owner)
            && !ctx.peers.retains_jobs(&job.owner)
            && ctx.peers.is_successor(ctx.host(), &job.accepted.job)
    });
    let orphans = orphans.map(|job| (job.accepted.job.clone(), job.epoch, job.owner.clone()));
    orphans.collect()
}
