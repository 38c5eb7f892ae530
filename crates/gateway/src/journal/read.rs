//! Reads the stream as often as somebody needs it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use notchwharf_listen::Phase;
use tokio::sync::mpsc;

use super::Ask;
use super::PART;
use crate::context::Context;
use crate::peers;
use crate::ports::Read;
use crate::ports::StoreError;
use crate::ports::Topic;
use crate::sync::lock;
use crate::time::ms;
use crate::time::sleep_random;

/// Bytes read at once.
const READ_BYTES: u64 = 1 << 20;

/// Age of a reading after which a host reads that nobody has asked: also how
/// soon an outage of the store is noticed.
const IDLE_AGE_MAX: Duration = Duration::from_secs(2);

/// Age of a reading after which a host reads that runs items: their job may
/// have been ended or taken over, and items stop within three seconds of it.
const OWNER_AGE_MAX: Duration = Duration::from_secs(1);

/// Pause after a listing failed, drawn: about what one takes.
const LOAD_PAUSE_MS: std::ops::Range<u64> = 50..350;

pub(super) async fn read_loop(ctx: Arc<Context>, mut asked: mpsc::UnboundedReceiver<Ask>) {
    let mut ticks = ctx.timer.subscribe(ms(ctx.settings.store.poll_ms));
    while ctx.phase() != Phase::Stopped {
        let mut asks = Vec::new();
        if ctx.journal.is_loaded() {
            tokio::select! {
                ask = asked.recv() => asks.extend(ask),
                _ = ticks.recv() => {
                    if !is_due(&ctx) {
                        continue;
                    }
                }
            }
        } else if lock(&ctx.journal.state).read_at.is_none() && !ctx.store.is_up() {
            let _ = ticks.recv().await;
        }
        while let Ok(ask) = asked.try_recv() {
            asks.push(ask);
        }
        let res = catch_up(&ctx).await;
        for ask in asks {
            // Whoever asked may have gone.
            let _ = ask.send(res);
        }
    }
}

fn is_due(ctx: &Context) -> bool {
    let journal = &ctx.journal;
    let (end, read_at) = {
        let state = lock(&journal.state);
        (state.jobs.end(), state.read_at)
    };
    let is_behind = journal.told_end.load(Ordering::Relaxed) > end;
    if is_behind && journal.waiting.count() > 0 {
        return true;
    }
    let age_max = if ctx.items.is_idle() {
        IDLE_AGE_MAX
    } else {
        OWNER_AGE_MAX
    };
    read_at.is_none_or(|at| at.elapsed() >= age_max)
}

/// Takes the records in from a peer, or lists them.
async fn load(ctx: &Context) -> Result<(), StoreError> {
    if let Some(snapshot) = peers::fetch_job_records(ctx).await {
        ctx.journal.restore(ctx, snapshot);
        return Ok(());
    }
    let listing = ctx.store.all_newest(Topic::Jobs, PART).await;
    let listing = match listing {
        Ok(listing) => listing,
        Err(err) => {
            // Hosts that start together would all ask again at once.
            sleep_random(LOAD_PAUSE_MS).await;
            return Err(err);
        }
    };
    ctx.journal.rebuild(ctx, listing.end, listing.before_end());
    Ok(())
}

async fn catch_up(ctx: &Context) -> Result<(), StoreError> {
    let journal = &ctx.journal;
    let started = Instant::now();
    if !journal.is_loaded() {
        load(ctx).await?;
    }
    loop {
        let from = journal.jobs().end();
        let read = Read {
            topic: Topic::Jobs,
            part: PART,
            from,
            bytes_max: READ_BYTES,
            wait: Duration::ZERO,
        };
        let tail = ctx.store.read(read).await;
        if tail == Err(StoreError::Expired) {
            slog::warn!(ctx.logger, "job records expired unread, loading anew"; "from" => from);
            lock(&journal.state).is_loaded = false;
        }
        let tail = tail?;
        let is_end = tail.records.last().is_none_or(|r| r.offset + 1 >= tail.end);
        journal.apply(ctx, tail.records);
        if is_end {
            lock(&journal.state).read_at = Some(started);
            return Ok(());
        }
    }
}
