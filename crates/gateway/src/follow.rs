//! Follows a topic: its newest records first, then each new one.

use std::time::Duration;
use std::time::Instant;

use notchwharf_listen::Phase;
use tokio::sync::watch;

use crate::ports::Read;
use crate::ports::StoreError;
use crate::ports::StoredRecord;
use crate::ports::Topic;
use crate::store::Listing;
use crate::store::Store;

/// Bytes read at once.
const READ_BYTES: u64 = 1 << 20;
/// First pause after a call failed.
const PAUSE_MIN: Duration = Duration::from_millis(100);

/// What was read.
#[derive(Debug)]
pub(crate) enum Seen {
    /// The newest record of every key, as of an offset.
    All {
        /// The offset; some records may be newer, see [`Listing`].
        end: u64,
        /// The records.
        records: Vec<StoredRecord>,
    },
    /// Records that follow those before.
    More {
        /// The records.
        records: Vec<StoredRecord>,
        /// Whether the last one is the topic's newest.
        is_whole: bool,
    },
}

impl Seen {
    /// Returns the offset as of which all records were listed; `None` for an incremental read.
    pub(crate) fn listing_end(&self) -> Option<u64> {
        match self {
            Self::All { end, .. } => Some(*end),
            Self::More { .. } => None,
        }
    }

    /// Returns the records.
    pub(crate) fn records(self) -> Vec<StoredRecord> {
        let (Self::All { records, .. } | Self::More { records, .. }) = self;
        records
    }
}

/// One try to read.
#[derive(Debug)]
pub(crate) struct Reading {
    /// When it was begun.
    pub(crate) asked: Instant,
    /// What came of it.
    pub(crate) seen: Result<Seen, StoreError>,
}

/// How a topic is read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    /// Time that a reading waits for a record; also how long a connection may
    /// be silent unnoticed, beside the store's timeout.
    pub(crate) wait: Duration,
    /// Time between two readings that find records: what is written meanwhile
    /// is read together.
    pub(crate) gap: Duration,
    /// Longest pause after a call failed: what was missed must be known soon
    /// after the store is back.
    pub(crate) pause_max: Duration,
}

/// The start position of a topic and the conditions for reading it.
pub(crate) struct Source {
    /// Returns the offset from which to read; `None` to list all entries.
    pub(crate) from: Box<dyn Fn() -> Option<u64> + Send + Sync>,
    /// Whether this host reads the log itself.
    pub(crate) is_reader: watch::Receiver<bool>,
    /// Whether the topic is read once even if this host is not the reader.
    pub(crate) reads_first: bool,
}

/// What reading takes.
#[derive(Clone)]
pub(crate) struct Follower {
    pub(crate) store: Store,
    pub(crate) logger: slog::Logger,
    pub(crate) phase: watch::Receiver<Phase>,
}

impl Follower {
    /// Follows a topic until the host stops, pausing while another host is the reader.
    /// Reads from an offset on, or lists all entries. The sink receives the result of every
    /// attempt except those whose records have expired, which are followed by a listing.
    pub(crate) async fn follow(
        self,
        topic: Topic,
        pace: Pace,
        source: Source,
        mut sink: impl FnMut(Reading),
    ) {
        let mut phase = self.phase.clone();
        tokio::select! {
            () = self.read_on(topic, pace, source, &mut sink) => {}
            // A host whose phase nobody sets any more has stopped as well.
            _ = phase.wait_for(|p| *p == Phase::Stopped) => {}
        }
    }

    async fn read_on(
        &self,
        topic: Topic,
        pace: Pace,
        mut source: Source,
        sink: &mut impl FnMut(Reading),
    ) {
        let mut from = (source.from)();
        let mut pause = PAUSE_MIN;
        let mut is_failing = false;
        let mut is_due = source.reads_first;
        loop {
            if !std::mem::take(&mut is_due) && !*source.is_reader.borrow() {
                if source
                    .is_reader
                    .wait_for(|is_reader| *is_reader)
                    .await
                    .is_err()
                {
                    return;
                }
                from = (source.from)();
                is_failing = false;
            }
            let asked = Instant::now();
            // After a failure what matters is how soon the store is back.
            let wait = if is_failing {
                Duration::ZERO
            } else {
                pace.wait
            };
            let seen = self.step(topic, from, wait).await;
            is_failing = seen.is_err();
            let rest = match &seen {
                Ok((next, seen)) => {
                    from = Some(*next);
                    pause = PAUSE_MIN;
                    let is_empty = matches!(seen, Seen::More { records, .. } if records.is_empty());
                    if is_empty { Duration::ZERO } else { pace.gap }
                }
                Err(StoreError::Expired) => {
                    is_due = true;
                    slog::info!(self.logger, "records expired, listing anew";
                        "topic" => ?topic, "from" => from);
                    from = None;
                    continue;
                }
                // The store's wrapper has counted and logged it.
                Err(_) => {
                    let rest = pause;
                    pause = (pause * 2).min(pace.pause_max);
                    rest
                }
            };
            let seen = seen.map(|(_, seen)| seen);
            sink(Reading { asked, seen });
            if !rest.is_zero() {
                tokio::time::sleep(rest).await;
            }
        }
    }

    /// Reads once without waiting, from an offset on or all that there is.
    pub(crate) async fn once(&self, topic: Topic, from: Option<u64>) -> Reading {
        let asked = Instant::now();
        let mut seen = self.step(topic, from, Duration::ZERO).await;
        if matches!(seen, Err(StoreError::Expired)) {
            seen = self.step(topic, None, Duration::ZERO).await;
        }
        let seen = seen.map(|(_, seen)| seen);
        Reading { asked, seen }
    }

    /// Reads once; returns also where to go on.
    async fn step(
        &self,
        topic: Topic,
        from: Option<u64>,
        wait: Duration,
    ) -> Result<(u64, Seen), StoreError> {
        let Some(from) = from else {
            let Listing { end, records } = self.store.all_newest(topic, 0).await?;
            return Ok((end, Seen::All { end, records }));
        };
        let read = Read {
            topic,
            part: 0,
            from,
            bytes_max: READ_BYTES,
            wait,
        };
        let tail = self.store.read(read).await?;
        // A read may end before the newest record: go on behind the last one.
        let next = tail.records.last().map_or(from, |r| r.offset + 1);
        let seen = Seen::More {
            records: tail.records,
            is_whole: next >= tail.end,
        };
        Ok((next, seen))
    }
}
