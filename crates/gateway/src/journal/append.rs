//! Appends the records of many callers in one call.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use notchwharf_ledger::jobs::Applied;
use notchwharf_ledger::jobs::Offset;
use notchwharf_ledger::jobs::Record;
use notchwharf_listen::Phase;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::AppendError;
use super::PARTITION;
use crate::context::Context;
use crate::ports::Entry;
use crate::ports::StoreError;
use crate::ports::StoredRecord;
use crate::ports::Topic;

/// Maximum number of records in one append: far below the maximum bytes of a call.
const APPEND_RECORDS_MAX: usize = 256;

/// Delay after a failed append.
const RETRY_DELAY: Duration = Duration::from_millis(60);

#[derive(Debug)]
pub(super) struct Append {
    pub(super) record: Record,
    pub(super) deadline: Instant,
    pub(super) may_be_appended: bool,
    pub(super) done: oneshot::Sender<Result<Applied, AppendError>>,
}

///
/// `number` numbers the records of this process; no two of them have the same key, also if the loop is
/// started again.
pub(super) async fn append_loop(
    ctx: Arc<Context>,
    requests: Arc<tokio::sync::Mutex<mpsc::UnboundedReceiver<Append>>>,
    number: Arc<AtomicU64>,
) {
    let mut requests = requests.lock().await;
    let mut queue: VecDeque<Append> = VecDeque::new();
    loop {
        if queue.is_empty() {
            match requests.recv().await {
                Some(append) => queue.push_back(append),
                None => return,
            }
        }
        while let Ok(append) = requests.try_recv() {
            queue.push_back(append);
        }
        let count = queue.len().min(APPEND_RECORDS_MAX);
        let batch: Vec<Append> = queue.drain(..count).collect();
        let entries = batch.iter().map(|append| {
            let number = number.fetch_add(1, Ordering::Relaxed) + 1;
            let key = format!("{}.{number:x}", ctx.writer_id);
            let value = Some(append.record.encode().into());
            Entry { key, value }
        });
        match ctx
            .store
            .append(Topic::Jobs, PARTITION, entries.collect())
            .await
        {
            Ok(offset) => report_outcomes(&ctx, offset, batch),
            Err(err) => {
                for append in to_retry(batch, err).into_iter().rev() {
                    queue.push_front(append);
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
        if ctx.phase() == Phase::Stopped {
            return;
        }
    }
}

/// Fails the appends whose deadline has passed, and returns the others.
fn to_retry(batch: Vec<Append>, err: StoreError) -> Vec<Append> {
    let now = Instant::now();
    let mut retried = Vec::new();
    for mut append in batch {
        append.may_be_appended |= matches!(err, StoreError::Unknown(_));
        if now < append.deadline && !append.done.is_closed() {
            retried.push(append);
            continue;
        }
        let failure = if append.may_be_appended {
            AppendError::Unknown
        } else {
            AppendError::NotDone(err)
        };
        // The caller may have stopped waiting.
        let _ = append.done.send(Err(failure));
    }
    retried
}

/// Reports the effects of appended records to the callers.
fn report_outcomes(ctx: &Arc<Context>, offset: Offset, batch: Vec<Append>) {
    let journal = &ctx.journal;
    let is_next = journal.jobs().end() == offset && journal.is_loaded();
    if is_next {
        // No other record was appended before these, so their effects are known without
        // reading them.
        let records = batch
            .iter()
            .zip(offset..)
            .map(|(append, offset)| StoredRecord {
                offset,
                entry: Entry {
                    key: String::new(),
                    value: Some(append.record.encode().into()),
                },
            });
        journal.apply(ctx, records.collect());
        ctx.peers.notify();
    }
    let ctx = Arc::clone(ctx);
    tokio::spawn(async move {
        for (append, offset) in batch.into_iter().zip(offset..) {
            let applied = wait_outcome(&ctx, offset, append.deadline).await;
            // The caller may have stopped waiting.
            let _ = append.done.send(applied.ok_or(AppendError::Unknown));
        }
    });
}

/// Reads the log until the effect of a record is known, or until the deadline.
async fn wait_outcome(ctx: &Context, offset: Offset, deadline: Instant) -> Option<Applied> {
    loop {
        let applied = ctx.journal.outcome(offset);
        if applied.is_some() {
            return applied;
        }
        if ctx.journal.sync().await.is_err() {
            tokio::time::sleep(RETRY_DELAY).await;
        }
        if Instant::now() >= deadline {
            return ctx.journal.outcome(offset);
        }
    }
}
