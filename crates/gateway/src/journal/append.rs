//! Appends records, those of many callers in one call.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use notchwharf_ledger::jobs::Applied;
use notchwharf_ledger::jobs::Offset;
use notchwharf_ledger::jobs::Record;
use notchwharf_listen::Phase;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::NotAppended;
use super::PART;
use crate::context::Context;
use crate::ports::Entry;
use crate::ports::StoreError;
use crate::ports::StoredRecord;
use crate::ports::Topic;

/// Records in one append: well below the bytes that a call may carry.
const APPEND_RECORDS_MAX: usize = 256;

/// Pause after an append that failed.
const APPEND_PAUSE: Duration = Duration::from_millis(60);

#[derive(Debug)]
pub(super) struct Append {
    pub(super) record: Record,
    pub(super) deadline: Instant,
    pub(super) may_be_done: bool,
    pub(super) done: oneshot::Sender<Result<Applied, NotAppended>>,
}

pub(super) async fn append_loop(ctx: Arc<Context>, mut appended: mpsc::UnboundedReceiver<Append>) {
    let mut queue: VecDeque<Append> = VecDeque::new();
    let mut number = 0;
    loop {
        if queue.is_empty() {
            match appended.recv().await {
                Some(append) => queue.push_back(append),
                None => return,
            }
        }
        while let Ok(append) = appended.try_recv() {
            queue.push_back(append);
        }
        let count = queue.len().min(APPEND_RECORDS_MAX);
        let batch: Vec<Append> = queue.drain(..count).collect();
        let entries = batch.iter().map(|append| {
            number += 1;
            let key = format!("{}.{number:x}", ctx.writer_id);
            let value = Some(append.record.encode().into());
            Entry { key, value }
        });
        match ctx.store.append(Topic::Jobs, PART, entries.collect()).await {
            Ok(offset) => settle(&ctx, offset, batch),
            Err(err) => {
                for append in retried(batch, err).into_iter().rev() {
                    queue.push_front(append);
                }
                tokio::time::sleep(APPEND_PAUSE).await;
            }
        }
        if ctx.phase() == Phase::Stopped {
            return;
        }
    }
}

/// Answers those whose time is over, and returns the others.
fn retried(batch: Vec<Append>, err: StoreError) -> Vec<Append> {
    let now = Instant::now();
    let mut again = Vec::new();
    for mut append in batch {
        append.may_be_done |= matches!(err, StoreError::Unknown(_));
        if now < append.deadline && !append.done.is_closed() {
            again.push(append);
            continue;
        }
        let failure = if append.may_be_done {
            NotAppended::Unknown
        } else {
            NotAppended::NotDone(err)
        };
        // Whoever appended may have gone.
        let _ = append.done.send(Err(failure));
    }
    again
}

/// Tells those who appended what their records did.
fn settle(ctx: &Arc<Context>, offset: Offset, batch: Vec<Append>) {
    let journal = &ctx.journal;
    let is_next = journal.jobs().end() == offset && journal.is_loaded();
    if is_next {
        // Nobody wrote in between: what the records do is known already.
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
            let applied = read_back(&ctx, offset, append.deadline).await;
            // Whoever appended may have gone.
            let _ = append.done.send(applied.ok_or(NotAppended::Unknown));
        }
    });
}

async fn read_back(ctx: &Context, offset: Offset, deadline: Instant) -> Option<Applied> {
    loop {
        let applied = ctx.journal.outcome(offset);
        if applied.is_some() {
            return applied;
        }
        if ctx.journal.sync().await.is_err() {
            tokio::time::sleep(APPEND_PAUSE).await;
        }
        if Instant::now() >= deadline {
            return ctx.journal.outcome(offset);
        }
    }
}
