//! Follows a topic: lists the newest record of each key, then reads new records.

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

/// Maximum bytes of a read.
const READ_BYTES: u64 = 1 << 20;
/// First delay after a failed call.
const BACKOFF_MIN: Duration = Duration::from_millis(100);

/// Records that were read.
#[derive(Debug)]
pub(crate) enum Records {
    /// The newest record of every key, as of an offset.
    Listed {
        /// The offset; some records may be newer, see [`Listing`].
        end: u64,
        /// The records.
        records: Vec<StoredRecord>,
    },
    /// The records that follow those of the previous read.
    Appended {
        /// The records.
        records: Vec<StoredRecord>,
        /// Whether the last one is the newest record of the topic.
        is_at_end: bool,
    },
}

impl Records {
    /// Returns the offset as of which all records were listed; `None` for an incremental read.
    pub(crate) fn listing_end(&self) -> Option<u64> {
        match self {
            Self::Listed { end, .. } => Some(*end),
            Self::Appended { .. } => None,
        }
    }

    /// Returns the records.
    pub(crate) fn records(self) -> Vec<StoredRecord> {
        let (Self::Listed { records, .. } | Self::Appended { records, .. }) = self;
        records
    }
}

/// One attempt to read.
#[derive(Debug)]
pub(crate) struct ReadAttempt {
    /// When the request was sent.
    pub(crate) requested_at: Instant,
    /// The records, or the store's failure.
    pub(crate) result: Result<Records, StoreError>,
}

/// How a topic is polled.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PollConfig {
    /// Time for which a read waits for records. A stalled connection is detected only after
    /// this time plus the store's timeout.
    pub(crate) wait: Duration,
    /// Pause after a read that returned records, so that records written in the meantime are
    /// read together.
    pub(crate) min_interval: Duration,
    /// Maximum delay after a failed call, so that missed records are read soon after the
    /// store recovers.
    pub(crate) backoff_max: Duration,
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

/// Reads topics.
#[derive(Clone)]
pub(crate) struct Follower {
    pub(crate) store: Store,
    pub(crate) logger: slog::Logger,
    pub(crate) phase: watch::Receiver<Phase>,
}

impl Follower {
    /// Follows a topic until the host stops, pausing while another host is the reader.
    /// Reads from an offset on, or lists all entries. The sink receives every attempt, except
    /// those whose records have expired, which are followed by a listing.
    pub(crate) async fn follow(
        self,
        topic: Topic,
        cfg: PollConfig,
        source: Source,
        mut sink: impl FnMut(ReadAttempt),
    ) {
        let mut phase = self.phase.clone();
        tokio::select! {
            () = self.poll(topic, cfg, source, &mut sink) => {}
            // The phase's sender is dropped only when the host has stopped.
            _ = phase.wait_for(|p| *p == Phase::Stopped) => {}
        }
    }

    async fn poll(
        &self,
        topic: Topic,
        cfg: PollConfig,
        mut source: Source,
        sink: &mut impl FnMut(ReadAttempt),
    ) {
        let mut from = (source.from)();
        let mut backoff = BACKOFF_MIN;
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
            let requested_at = Instant::now();
            // A read that does not wait detects the store's recovery soonest.
            let wait = if is_failing { Duration::ZERO } else { cfg.wait };
            let result = self.read_from(topic, from, wait).await;
            is_failing = result.is_err();
            let delay = match &result {
                Ok((next, records)) => {
                    from = Some(*next);
                    backoff = BACKOFF_MIN;
                    let is_empty =
                        matches!(records, Records::Appended { records, .. } if records.is_empty());
                    if is_empty {
                        Duration::ZERO
                    } else {
                        cfg.min_interval
                    }
                }
                Err(StoreError::Expired) => {
                    is_due = true;
                    slog::info!(self.logger, "records expired; listing the topic";
                        "topic" => ?topic, "from" => from);
                    from = None;
                    continue;
                }
                // The store's wrapper has counted and logged the failure.
                Err(_) => {
                    let delay = backoff;
                    backoff = (backoff * 2).min(cfg.backoff_max);
                    delay
                }
            };
            let result = result.map(|(_, records)| records);
            sink(ReadAttempt {
                requested_at,
                result,
            });
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
        }
    }

    /// Reads once without waiting: from an offset on, or a listing if there is none or its
    /// records have expired.
    pub(crate) async fn read_once(&self, topic: Topic, from: Option<u64>) -> ReadAttempt {
        let requested_at = Instant::now();
        let mut result = self.read_from(topic, from, Duration::ZERO).await;
        if matches!(result, Err(StoreError::Expired)) {
            result = self.read_from(topic, None, Duration::ZERO).await;
        }
        let result = result.map(|(_, records)| records);
        ReadAttempt {
            requested_at,
            result,
        }
    }

    /// Reads once; returns the offset of the next read and the records.
    async fn read_from(
        &self,
        topic: Topic,
        from: Option<u64>,
        wait: Duration,
    ) -> Result<(u64, Records), StoreError> {
        let Some(from) = from else {
            let Listing { end, records } = self.store.all_newest(topic, 0).await?;
            return Ok((end, Records::Listed { end, records }));
        };
        let read = Read {
            topic,
            part: 0,
            from,
            bytes_max: READ_BYTES,
            wait,
        };
        let tail = self.store.read(read).await?;
        // A read may end before the newest record, so the next one starts after the last
        // record read.
        let next = tail.records.last().map_or(from, |r| r.offset + 1);
        let records = Records::Appended {
            records: tail.records,
            is_at_end: next >= tail.end,
        };
        Ok((next, records))
    }
}
