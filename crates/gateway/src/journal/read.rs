//! Reads the log when a caller or the state of this host requires it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use notchwharf_listen::Phase;
use tokio::sync::mpsc;

use super::PARTITION;
use super::SyncRequest;
use crate::context::Context;
use crate::peers;
use crate::ports::Read;
use crate::ports::StoreError;
use crate::ports::Topic;
use crate::sync::lock;
use crate::time::ms;
use crate::time::sleep_random;

/// Maximum bytes of a read.
const READ_BYTES: u64 = 1 << 20;

/// Maximum staleness at a host that runs no items. It is also the time to detect an outage of
/// the store.
const IDLE_STALENESS_MAX: Duration = Duration::from_secs(2);

/// Maximum staleness at a host that runs items: a job may have ended or been taken over, and
/// its items must stop within three seconds.
const OWNER_STALENESS_MAX: Duration = Duration::from_secs(1);

/// Random delay after a failed listing: about the duration of a listing.
const LOAD_RETRY_DELAY_MS: std::ops::Range<u64> = 50..350;

pub(super) async fn read_loop(
    ctx: Arc<Context>,
    requests: Arc<tokio::sync::Mutex<mpsc::UnboundedReceiver<SyncRequest>>>,
) {
    let mut requests = requests.lock().await;
    let mut ticks = ctx.timer.subscribe(ms(ctx.settings.store.poll_ms));
    while ctx.phase() != Phase::Stopped {
        let mut waiting = Vec::new();
        if ctx.journal.is_loaded() {
            tokio::select! {
                request = requests.recv() => waiting.extend(request),
                _ = ticks.recv() => {
                    if !is_due(&ctx) {
                        continue;
                    }
                }
            }
        } else if lock(&ctx.journal.state).read_at.is_none() && !ctx.store.is_up() {
            let _ = ticks.recv().await;
        }
        while let Ok(request) = requests.try_recv() {
            waiting.push(request);
        }
        let res = read_to_end(&ctx).await;
        for request in waiting {
            // The caller may have stopped waiting.
            let _ = request.send(res);
        }
    }
}

/// Returns whether the log is to be read without a request.
fn is_due(ctx: &Context) -> bool {
    let journal = &ctx.journal;
    let (end, read_at) = {
        let state = lock(&journal.state);
        (state.jobs.end(), state.read_at)
    };
    let is_behind = journal.peer_end.load(Ordering::Relaxed) > end;
    if is_behind && journal.waiting.count() > 0 {
        return true;
    }
    let staleness_max = if ctx.items.is_idle() {
        IDLE_STALENESS_MAX
    } else {
        OWNER_STALENESS_MAX
    };
    read_at.is_none_or(|at| at.elapsed() >= staleness_max)
}

/// Loads the state from a peer, or lists the log.
async fn load(ctx: &Context) -> Result<(), StoreError> {
    if let Some(snapshot) = peers::fetch_job_records(ctx).await {
        ctx.journal.restore(ctx, snapshot);
        return Ok(());
    }
    let listing = ctx.store.all_newest(Topic::Jobs, PARTITION).await;
    let listing = match listing {
        Ok(listing) => listing,
        Err(err) => {
            // Without a random delay, hosts that start together would retry at the same time.
            sleep_random(LOAD_RETRY_DELAY_MS).await;
            return Err(err);
        }
    };
    ctx.journal.rebuild(ctx, listing.end, listing.before_end());
    Ok(())
}

/// Loads the log if necessary, and reads it to its end.
async fn read_to_end(ctx: &Context) -> Result<(), StoreError> {
    let journal = &ctx.journal;
    let started = Instant::now();
    if !journal.is_loaded() {
        load(ctx).await?;
    }
    loop {
        let from = journal.jobs().end();
        let read = Read {
            topic: Topic::Jobs,
            part: PARTITION,
            from,
            bytes_max: READ_BYTES,
            wait: Duration::ZERO,
        };
        let tail = ctx.store.read(read).await;
        if tail == Err(StoreError::Expired) {
            slog::warn!(ctx.logger, "job records expired before they were read; loading them again"; "from" => from);
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
