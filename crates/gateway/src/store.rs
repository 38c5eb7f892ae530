//! Calls of the store, counted, timed and watched.
//!
//! Whether the store answers is a belief of the host that others depend on:
//! who takes over jobs, and whether a target's missing entry means anything.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::context::lock;
use crate::metrics::Counted;
use crate::metrics::Metrics;
use crate::metrics::Timed;
use crate::ports;
use crate::ports::Entry;
use crate::ports::Page;
use crate::ports::Read;
use crate::ports::StoreError;
use crate::ports::Stored;
use crate::ports::Tail;
use crate::ports::Topic;

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
    last_failure: Option<Instant>,
    last_answer: Option<Instant>,
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
    pub(crate) fn is_up_for(&self, time: Duration) -> bool {
        let health = lock(&self.health);
        let is_settled = health.regained_at.is_none_or(|at| at.elapsed() >= time);
        health.lost_since.is_none() && is_settled
    }

    /// Returns until when an outage of the store has effects that last a time
    /// beyond it; nothing if there are none now.
    pub(crate) fn troubled_until(&self, time: Duration) -> Option<Instant> {
        let now = Instant::now();
        let health = lock(&self.health);
        let until = match health.lost_since {
            Some(_) => now + time,
            None => health.last_failure.max(health.regained_at)? + time,
        };
        (until > now).then_some(until)
    }

    pub(crate) async fn append(
        &self,
        topic: Topic,
        part: u32,
        entries: Vec<Entry>,
    ) -> Result<u64, StoreError> {
        let started = Instant::now();
        let res = (self.calls.append)(topic, part, entries).await;
        self.note("append", topic, started.elapsed(), res.as_ref().err());
        res
    }

    pub(crate) async fn read(&self, read: Read) -> Result<Tail, StoreError> {
        let started = Instant::now();
        let topic = read.topic;
        let res = (self.calls.read)(read).await;
        self.note("read", topic, started.elapsed(), res.as_ref().err());
        res
    }

    pub(crate) async fn newest(
        &self,
        topic: Topic,
        part: u32,
        after: Option<String>,
    ) -> Result<Page, StoreError> {
        let started = Instant::now();
        let res = (self.calls.newest)(topic, part, after).await;
        self.note("newest", topic, started.elapsed(), res.as_ref().err());
        res
    }

    /// Returns the newest record of each key, and the offset from which later
    /// ones are to be read. Pages are no snapshot: what was written while they
    /// were read has that offset or a later one.
    pub(crate) async fn all_newest(
        &self,
        topic: Topic,
        part: u32,
    ) -> Result<(u64, Vec<Stored>), StoreError> {
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
        records.retain(|r| r.offset < end);
        records.sort_by_key(|r| r.offset);
        Ok((end, records))
    }

    fn note(&self, call: &'static str, topic: Topic, took: Duration, err: Option<&StoreError>) {
        let outcome = match err {
            None => "done",
            Some(StoreError::Refused(_)) => "refused",
            Some(StoreError::Unknown(_)) => "unknown",
            Some(StoreError::Expired) => "expired",
            Some(StoreError::NoRoom) => "no room",
        };
        self.metrics.count(Counted::Store, outcome);
        match err {
            None | Some(StoreError::Expired) => {
                self.metrics.time(Timed::StoreCall, call, took);
                self.answered();
            }
            Some(err) => {
                // When a call began says what its failure is evidence of.
                slog::warn!(self.logger, "store call failed"; "call" => call,
                    "topic" => ?topic, "error" => err.to_string(),
                    "took_ms" => took.as_millis());
                self.failed(call, *err);
            }
        }
    }

    fn answered(&self) {
        let mut health = lock(&self.health);
        health.failures = 0;
        health.last_answer = Some(Instant::now());
        if let Some(since) = health.lost_since.take() {
            health.regained_at = Some(Instant::now());
            drop(health);
            slog::info!(self.logger, "store regained"; "lost_ms" => since.elapsed().as_millis());
        }
    }

    fn failed(&self, call: &'static str, err: StoreError) {
        let now = Instant::now();
        let mut health = lock(&self.health);
        health.failures += 1;
        health.last_failure = Some(now);
        if health.failures < LOST_AFTER || health.lost_since.is_some() {
            return;
        }
        health.lost_since = Some(now);
        let answered = health
            .last_answer
            .map(|at| now.duration_since(at).as_millis());
        drop(health);
        slog::warn!(self.logger, "store lost"; "call" => call, "error" => err.to_string(),
            "last_answer_ms_ago" => answered);
    }
}
