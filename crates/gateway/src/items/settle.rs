//! Records how items ended.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use notchwharf_ledger::jobs::Outcome;
use notchwharf_ledger::jobs::Reason;
use notchwharf_ledger::jobs::Record;
use notchwharf_listen::Phase;

use crate::backlog::Item;
use crate::context::Context;
use crate::metrics::Counted;
use crate::ports::Topic;
use crate::sync::lock;

/// Time for which a record of an item is tried; the store may be down long.
const RECORD_TIMEOUT: Duration = Duration::from_secs(120);

/// Pause before a result is written again.
const WRITE_PAUSE: Duration = Duration::from_millis(200);

/// Lists an item as failed.
pub(super) fn give_up(ctx: &Arc<Context>, item: &Item, reason: Reason) {
    slog::info!(ctx.logger, "item given up"; "job" => item.key.0.as_str(),
        "id" => item.forward.id.as_str(), "reason" => ?reason, "failures" => item.failures);
    is_ending(ctx, item);
    let record = Record::Listed {
        job: item.key.0.clone(),
        item: item.key.1,
        outcome: Outcome::Failed(reason),
    };
    ctx.metrics.count(Counted::Items, "given up");
    tokio::spawn(list(Arc::clone(ctx), record));
}

/// Records the end of an item.
async fn list(ctx: Arc<Context>, record: Record) {
    let _unsettled = ctx.items.unsettled.enter();
    let job = record.job().clone();
    let deadline = Instant::now() + RECORD_TIMEOUT;
    if let Err(err) = ctx.journal.append(record, deadline).await {
        slog::error!(ctx.logger, "end of an item not recorded"; "job" => job, "error" => ?err);
    }
}

/// Writes an item's text and records its end.
pub(super) async fn complete(ctx: Arc<Context>, item: Item) {
    let _unsettled = ctx.items.unsettled.enter();
    let (job, number) = &item.key;
    let key = format!("{job}/{number}/{}", ctx.writer_id);
    let text = bytes::Bytes::from(item.text);
    let deadline = Instant::now() + RECORD_TIMEOUT;
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
            Err(err) if Instant::now() >= deadline || ctx.phase() == Phase::Stopped => {
                slog::error!(ctx.logger, "result not written"; "job" => job.as_str(),
                    "id" => item.forward.id.as_str(), "error" => err.to_string());
                return;
            }
            Err(_) => tokio::time::sleep(WRITE_PAUSE).await,
        }
    };
    let record = Record::Listed {
        job: job.clone(),
        item: *number,
        outcome: Outcome::Completed(blobs),
    };
    list(Arc::clone(&ctx), record).await;
}

/// Notes that an item's end is about to be recorded.
pub(super) fn is_ending(ctx: &Context, item: &Item) {
    lock(&ctx.items.backlog).settled(&item.key);
    ctx.progress.settled(&item.key);
}
