//! Records the outcomes of items.
//!
//! An outcome is kept until it is recorded or the host stops, however long the store is unavailable:
//! the item has left the backlog, so nothing else would ever list it while this host owns the job.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use notchwharf_ledger::jobs::Applied;
use notchwharf_ledger::jobs::Outcome;
use notchwharf_ledger::jobs::Reason;
use notchwharf_ledger::jobs::Record;
use notchwharf_listen::Phase;

use crate::backlog::Item;
use crate::backlog::ItemKey;
use crate::context::Context;
use crate::metrics::Counted;
use crate::ports::Topic;
use crate::sync::lock;

/// Timeout of one attempt to record an outcome or a report; the store may be unavailable for longer.
pub(super) const RECORD_TIMEOUT: Duration = Duration::from_secs(120);

/// Delay before a result is written again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Records an item as failed.
pub(super) fn fail(ctx: &Arc<Context>, item: &Item, reason: Reason) {
    slog::info!(ctx.logger, "item failed permanently"; "job" => item.key.0.as_str(),
        "id" => item.request.id.as_str(), "reason" => ?reason, "failures" => item.attempts.runs().failed);
    stop_tracking(ctx, item);
    ctx.metrics.count(Counted::Items, "given up");
    let outcome = Outcome::Failed(reason);
    tokio::spawn(append(Arc::clone(ctx), item.key.clone(), outcome));
}

/// Appends the record of an item's outcome, and then discards the item's progress: if this host
/// ends before, the next owner needs it.
async fn append(ctx: Arc<Context>, key: ItemKey, outcome: Outcome) {
    let _unrecorded = ctx.items.unrecorded.enter();
    let (job, item) = key.clone();
    let record = Record::Listed { job, item, outcome };
    while ctx.phase() != Phase::Stopped {
        let deadline = Instant::now() + RECORD_TIMEOUT;
        match ctx.journal.append(record.clone(), deadline).await {
            Ok(applied) => {
                if applied != Applied::Listed {
                    slog::info!(ctx.logger, "outcome of an item had no effect"; "job" => &key.0,
                        "item" => key.1, "applied" => ?applied);
                }
                return ctx.progress.remove(&key);
            }
            Err(err) => slog::error!(ctx.logger, "outcome of an item not recorded yet";
                "job" => &key.0, "error" => ?err),
        }
    }
}

/// Writes an item's text and records the item as completed.
pub(super) async fn complete(ctx: Arc<Context>, item: Item) {
    let _unrecorded = ctx.items.unrecorded.enter();
    let (job, number) = &item.key;
    // This host may write another result of the item, of a run in a later epoch.
    let run: u64 = rand::random();
    let key = format!("{job}/{number}/{run:016x}");
    let text = bytes::Bytes::from(item.text);
    let blobs = loop {
        if text.is_empty() {
            break Vec::new();
        }
        match ctx
            .blobs
            .write(Topic::Results, job, &key, text.clone())
            .await
        {
            Ok(blobs) => break blobs,
            Err(err) if ctx.phase() == Phase::Stopped => {
                slog::error!(ctx.logger, "result not written"; "job" => job.as_str(),
                    "id" => item.request.id.as_str(), "error" => err.to_string());
                return;
            }
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    };
    append(ctx, item.key, Outcome::Completed(blobs)).await;
}

/// Removes an item whose outcome is about to be recorded from the backlog.
pub(super) fn stop_tracking(ctx: &Context, item: &Item) {
    lock(&ctx.items.backlog).remove(&item.key);
}
