//! Calls of the store, counted, timed and watched.
//!
//! Whether the store answers is a belief of the host that others depend on:
//! who takes over jobs, and whether a target's missing entry means anything.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use notchwharf_routing::discovery::CallHistory;
use notchwharf_routing::discovery::Evidence;
use notchwharf_routing::discovery::Failure;

use crate::metrics::Counted;
use crate::metrics::Metrics;
use crate::metrics::Timed;
use crate::ports;
use crate::ports::Entry;
use crate::ports::Page;
use crate::ports::Read;
use crate::ports::StoreError;
use crate::ports::StoredRecord;
use crate::ports::Tail;
use crate::ports::Topic;
use crate::sync::lock;
use crate::time::millis;

/// Failures in a row after which the store counts as lost.
const LOST_AFTER: u32 = 2;

/// The store, with what is known of its health.
#[derive(Clone)]
pub(crate) struct Store {
    calls: ports::Store,
    metrics: Arc<Metrics>,
    logger: slog::Logger,
    health: Arc<Mutex<Health>>,
}

#[derive(Debug, Default)]
struct Health {
    failures: u32,
    lost_since: Option<Instant>,
    regained_at: Option<Instant>,
    /// How all calls have gone.
    calls: CallHistory,
    /// How those have that read the entries of targets.
    readings: CallHistory,
}

/// The newest record of each key.
#[derive(Debug)]
pub(crate) struct Listing {
    /// The offset from which later records are to be read.
    pub(crate) end: u64,
    /// The records in their order; some may be newer than the end.
    pub(crate) records: Vec<StoredRecord>,
}

impl Listing {
    /// Returns the records that stood before the end, for a reader that takes
    /// in each record once and goes on from there.
    pub(crate) fn before_end(mut self) -> Vec<StoredRecord> {
        self.records.retain(|r| r.offset < self.end);
        self.records
    }
}

impl Store {
    pub(crate) fn new(calls: ports::Store, metrics: Arc<Metrics>, logger: slog::Logger) -> Self {
        Self {
            calls,
            metrics,
            logger,
            health: Arc::default(),
        }
    }

    /// Returns whether the store answers, as far as known.
    pub(crate) fn is_up(&self) -> bool {
        lock(&self.health).lost_since.is_none()
    }

    /// Returns whether the store answers and has done so for a time.
    pub(crate) fn has_been_up_for(&self, time: Duration) -> bool {
        let health = lock(&self.health);
        let is_settled = health.regained_at.is_none_or(|at| at.elapsed() >= time);
        health.lost_since.is_none() && is_settled
    }

    /// Returns what is known for the judgement of targets' missing entries.
    pub(crate) fn evidence(&self) -> Evidence {
        let health = lock(&self.health);
        Evidence {
            reads: health.readings,
            calls: health.calls,
        }
    }

    pub(crate) async fn append(
        &self,
        topic: Topic,
        part: u32,
        entries: Vec<Entry>,
    ) -> Result<u64, StoreError> {
        let begun = Instant::now();
        let res = (self.calls.append)(topic, part, entries).await;
        self.note("append", topic, begun, res.as_ref().err());
        res
    }

    pub(crate) async fn read(&self, read: Read) -> Result<Tail, StoreError> {
        let begun = Instant::now();
        let topic = read.topic;
        let res = (self.calls.read)(read).await;
        self.note("read", topic, begun, res.as_ref().err());
        res
    }

    pub(crate) async fn newest(
        &self,
        topic: Topic,
        part: u32,
        after: Option<String>,
    ) -> Result<Page, StoreError> {
        let begun = Instant::now();
        let res = (self.calls.newest)(topic, part, after).await;
        self.note("newest", topic, begun, res.as_ref().err());
        res
    }

    /// Returns the newest record of each key. Pages are no snapshot: a record
    /// that was written while they were read has the listing's end as offset or
    /// a later one, and whoever goes on reading from the end reads it again.
    pub(crate) async fn all_newest(&self, topic: Topic, part: u32) -> Result<Listing, StoreError> {
        let mut page = self.newest(topic, part, None).await?;
        let end = page.end;
        let mut records = page.records;
        while page.has_more {
            let after = records.last().map(|r| r.entry.key.clone());
            page = self.newest(topic, part, after).await?;
            if page.records.is_empty() {
                break;
            }
            records.append(&mut page.records);
        }
        records.sort_by_key(|r| r.offset);
        Ok(Listing { end, records })
    }

    fn note(&self, call: &'static str, topic: Topic, begun: Instant, err: Option<&StoreError>) {
        let now = Instant::now();
        let took = now - begun;
        let outcome = match err {
            None => "done",
            Some(StoreError::Refused(_) | StoreError::Throttled) => "refused",
            Some(StoreError::Unknown(_)) => "unknown",
            Some(StoreError::Expired) => "expired",
            Some(StoreError::NoRoom) => "no room",
        };
        self.metrics.count(Counted::Store, outcome);
        let failure = match err {
            None | Some(StoreError::Expired) => {
                self.metrics.time(Timed::StoreCall, call, took);
                return self.answered(topic, now);
            }
            Some(StoreError::Refused(_)) => Failure::Refused,
            Some(StoreError::Unknown(_)) => Failure::Lost,
            Some(StoreError::Throttled | StoreError::NoRoom) => Failure::Throttled,
        };
        // When a call was begun says what its failure is evidence of.
        slog::warn!(self.logger, "store call failed"; "call" => call, "topic" => ?topic,
            "error" => err.map(ToString::to_string), "took_ms" => millis(took));
        self.failed(topic, begun, now, failure);
    }

    fn answered(&self, topic: Topic, now: Instant) {
        let mut health = lock(&self.health);
        health.failures = 0;
        health.calls.record_response(now);
        if topic == Topic::Targets {
            health.readings.record_response(now);
        }
        if let Some(since) = health.lost_since.take() {
            health.regained_at = Some(now);
            drop(health);
            slog::info!(self.logger, "store regained"; "lost_ms" => millis(now - since));
        }
    }

    fn failed(&self, topic: Topic, begun: Instant, now: Instant, failure: Failure) {
        let mut health = lock(&self.health);
        let is_late = health.calls.is_stale(begun, failure);
        let last_answer = health.calls.last_response();
        health.calls.record_failure(begun, now, failure);
        if topic == Topic::Targets {
            health.readings.record_failure(begun, now, failure);
        }
        if is_late {
            return;
        }
        health.failures += 1;
        if health.failures < LOST_AFTER || health.lost_since.is_some() {
            return;
        }
        health.lost_since = Some(now);
        drop(health);
        self.metrics.count(Counted::Changes, "store lost");
        slog::warn!(self.logger, "store lost";
            "last_answer_ms_ago" => last_answer.map(|at| millis(now - at)));
    }
}
