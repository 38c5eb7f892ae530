//! Follows a topic: its newest records first, then each new one.

use std::sync::Arc;
use std::time::Duration;

use crate::context::Context;
use crate::ports::Read;
use crate::ports::StoreError;
use crate::ports::Stored;
use crate::ports::Topic;

/// Bytes read at once.
const READ_BYTES: u64 = 1 << 20;
/// First pause after a call failed.
const PAUSE_MIN: Duration = Duration::from_millis(100);
/// Longest pause: what was missed must be known soon after the store is back.
const PAUSE_MAX: Duration = Duration::from_millis(400);

/// What was read.
#[derive(Debug)]
pub(crate) enum Seen {
    /// The newest record of every key, as of an offset.
    All(u64, Vec<Stored>),
    /// Records that follow those before, and the offset that follows them.
    More(u64, Vec<Stored>),
}

/// How a topic is read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    /// Time that a reading waits for a record.
    pub(crate) wait: Duration,
    /// Time between two readings that find records: what is written meanwhile
    /// is read together.
    pub(crate) gap: Duration,
}

/// Follows a topic until the host stops.
pub(crate) async fn follow(
    ctx: Arc<Context>,
    topic: Topic,
    pace: Pace,
    mut sink: impl FnMut(&Arc<Context>, Seen),
) {
    let followed = async {
        let mut from = None;
        let mut pause = PAUSE_MIN;
        loop {
            match step(&ctx, topic, from, pace.wait).await {
                Ok(seen) => {
                    let (Seen::All(end, _) | Seen::More(end, _)) = &seen;
                    from = Some(*end);
                    pause = PAUSE_MIN;
                    let is_empty = matches!(&seen, Seen::More(_, records) if records.is_empty());
                    sink(&ctx, seen);
                    if !is_empty {
                        tokio::time::sleep(pace.gap).await;
                    }
                }
                Err(StoreError::Expired) => {
                    slog::info!(ctx.logger, "records expired, listing anew";
                        "topic" => ?topic, "from" => from);
                    from = None;
                }
                // The store's wrapper has counted and logged it.
                Err(_) => {
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(PAUSE_MAX);
                }
            }
        }
    };
    tokio::select! {
        () = followed => {}
        () = ctx.stopped() => {}
    }
}

async fn step(
    ctx: &Context,
    topic: Topic,
    from: Option<u64>,
    wait: Duration,
) -> Result<Seen, StoreError> {
    let Some(from) = from else {
        let (end, records) = ctx.store.all_newest(topic, 0).await?;
        return Ok(Seen::All(end, records));
    };
    let read = Read {
        topic,
        part: 0,
        from,
        bytes_max: READ_BYTES,
        wait,
    };
    let tail = ctx.store.read(read).await?;
    // A read may end before the newest record: go on behind the last one.
    let end = tail.records.last().map_or(from, |r| r.offset + 1);
    Ok(Seen::More(end, tail.records))
}
