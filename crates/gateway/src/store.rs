//! Calls to the store, with metrics and tracking of its availability.
//!
//! The availability of the store decides whether jobs are taken over, and whether a missing entry
//! means that its target has ended.

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

/// Consecutive failures after which the store counts as unavailable.
const UNAVAILABLE_AFTER_FAILURES: u32 = 2;

/// The store and its availability.
#[derive(Clone)]
pub(crate) struct Store {
    port: ports::Store,
    metrics: Arc<Metrics>,
    logger: slog::Logger,
    health: Arc<Mutex<Health>>,
}

#[derive(Debug, Default)]
struct Health {
    failures: u32,
    unavailable_since: Option<Instant>,
    recovered_at: Option<Instant>,
    /// Duration of the newest call that was answered and did not wait for records.
    round_trip: Duration,
    /// Outcomes of all calls.
    calls: CallHistory,
    /// Outcomes of calls that read target entries.
    target_reads: CallHistory,
}

/// The newest record of each key.
#[derive(Debug)]
pub(crate) struct Listing {
    /// The offset from which to read later records.
    pub(crate) end: u64,
    /// The records in order of their offsets; some may be newer than the end.
    pub(crate) records: Vec<StoredRecord>,
}

impl Listing {
    /// Returns the records before the end, for a reader that continues from there and must apply
    /// each record only once.
    pub(crate) fn before_end(mut self) -> Vec<StoredRecord> {
        self.records.retain(|r| r.offset < self.end);
        self.records
    }
}

impl Store {
    pub(crate) fn new(port: ports::Store, metrics: Arc<Metrics>, logger: slog::Logger) -> Self {
        Self {
            port,
            metrics,
            logger,
            health: Arc::default(),
        }
    }

    /// Returns whether the store is considered available.
    pub(crate) fn is_up(&self) -> bool {
        lock(&self.health).unavailable_since.is_none()
    }

    /// Returns whether the store has been available for at least `time`.
    pub(crate) fn has_been_up_for(&self, time: Duration) -> bool {
        let health = lock(&self.health);
        let is_settled = health.recovered_at.is_none_or(|at| at.elapsed() >= time);
        health.unavailable_since.is_none() && is_settled
    }

    /// Returns the duration of the newest call that was answered, apart from reads, which may wait
    /// for records; zero before the first one.
    pub(crate) fn round_trip(&self) -> Duration {
        lock(&self.health).round_trip
    }

    /// Returns the evidence for deciding whether a target with a missing entry has ended.
    pub(crate) fn evidence(&self) -> Evidence {
        let health = lock(&self.health);
        Evidence {
            reads: health.target_reads,
            calls: health.calls,
        }
    }

    pub(crate) async fn append(
        &self,
        topic: Topic,
        part: u32,
        entries: Vec<Entry>,
    ) -> Result<u64, StoreError> {
        let started_at = Instant::now();
        let res = (self.port.append)(topic, part, entries).await;
        if res.is_ok() {
            lock(&self.health).round_trip = started_at.elapsed();
        }
        self.record_call("append", topic, started_at, res.as_ref().err());
        res
    }

    pub(crate) async fn read(&self, read: Read) -> Result<Tail, StoreError> {
        let started_at = Instant::now();
        let topic = read.topic;
        let res = (self.port.read)(read).await;
        self.record_call("read", topic, started_at, res.as_ref().err());
        res
    }

    pub(crate) async fn newest(
        &self,
        topic: Topic,
        part: u32,
        after: Option<String>,
    ) -> Result<Page, StoreError> {
        let started_at = Instant::now();
        let res = (self.port.newest)(topic, part, after).await;
        if res.is_ok() {
            lock(&self.health).round_trip = started_at.elapsed();
        }
        self.record_call("newest", topic, started_at, res.as_ref().err());
        res
    }

    /// Returns the newest record of each key. The pages are not a consistent snapshot: a record
    /// written while they are read has an offset at or after the listing's end, and is read again
    /// by callers that continue from the end.
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

    fn record_call(
        &self,
        call: &'static str,
        topic: Topic,
        started_at: Instant,
        err: Option<&StoreError>,
    ) {
        let now = Instant::now();
        let duration = now - started_at;
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
                self.metrics.time(Timed::StoreCall, call, duration);
                return self.record_response(topic, now);
            }
            Some(StoreError::Refused(_)) => Failure::Refused,
            Some(StoreError::Unknown(_)) => Failure::Lost,
            Some(StoreError::Throttled | StoreError::NoRoom) => Failure::Throttled,
        };
        // `took_ms` shows when the call started: a failure is evidence only for the time since
        // then.
        slog::warn!(self.logger, "store call failed"; "call" => call, "topic" => ?topic,
            "error" => err.map(ToString::to_string), "took_ms" => millis(duration));
        self.record_failure(topic, started_at, now, failure);
    }

    fn record_response(&self, topic: Topic, now: Instant) {
        let mut health = lock(&self.health);
        health.failures = 0;
        health.calls.record_response(now);
        if topic == Topic::Targets {
            health.target_reads.record_response(now);
        }
        if let Some(since) = health.unavailable_since.take() {
            health.recovered_at = Some(now);
            drop(health);
            slog::info!(self.logger, "store available again"; "lost_ms" => millis(now - since));
        }
    }

    fn record_failure(&self, topic: Topic, started_at: Instant, now: Instant, failure: Failure) {
        let mut health = lock(&self.health);
        let is_stale = health.calls.is_stale(started_at, failure);
        let last_response = health.calls.last_response();
        health.calls.record_failure(started_at, now, failure);
        if topic == Topic::Targets {
            health.target_reads.record_failure(started_at, now, failure);
        }
        if is_stale {
            return;
        }
        health.failures += 1;
        if health.failures < UNAVAILABLE_AFTER_FAILURES || health.unavailable_since.is_some() {
            return;
        }
        health.unavailable_since = Some(now);
        drop(health);
        self.metrics.count(Counted::Changes, "store lost");
        slog::warn!(self.logger, "store unavailable";
            "last_answer_ms_ago" => last_response.map(|at| millis(now - at)));
    }
}
