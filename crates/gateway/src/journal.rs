//! The log of job records: reads it, applies its records to the state of the jobs, and appends
//! to it.
//!
//! Every record has a unique key, so the store keeps all of them until they are deleted, and a
//! host that starts lists them in the order of their offsets and continues from there. An
//! append with an unknown outcome is retried under another key; only the first copy of a
//! record takes effect.
//!
//! Reads that wait for new records were rejected: with a record every few milliseconds they
//! would return at once, on every host. Hosts read a few times a second, at once when a caller
//! needs records that may be missing, and sooner when a peer has read further.

mod append;
mod read;

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use notchwharf_ledger::jobs::Applied;
use notchwharf_ledger::jobs::Ignored;
use notchwharf_ledger::jobs::JobId;
use notchwharf_ledger::jobs::Jobs;
use notchwharf_ledger::jobs::Offset;
use notchwharf_ledger::jobs::Record;
use notchwharf_ledger::jobs::Snapshot;
use notchwharf_listen::Phase;
use notchwharf_telemetry::gauge::Gauge;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use self::append::Append;
use crate::cleanup;
use crate::context::Context;
use crate::context::Until;
use crate::cpu_time;
use crate::cpu_time::Activity;
use crate::ports::StoreError;
use crate::ports::StoredRecord;
use crate::sync::lock;

/// The only partition: it orders the records of all jobs, a few a second.
const PARTITION: u32 = 0;

/// Maximum number of record outcomes kept: more than any host appends while one of its appends
/// is in flight.
const RECENT_MAX: usize = 4_096;

/// Why a record is not known to be in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendError {
    /// The record was not appended and will not be.
    NotDone(StoreError),
    /// The record may have been or may still be appended.
    Unknown,
}

/// The log as far as this host has read it.
#[derive(Debug)]
pub struct Journal {
    state: Mutex<State>,
    changed: watch::Sender<Offset>,
    /// The greatest end of the log that a peer has reported.
    peer_end: AtomicU64,
    /// Callers that wait for records.
    waiting: Gauge,
    appends: OnceLock<mpsc::UnboundedSender<Append>>,
    syncs: OnceLock<mpsc::UnboundedSender<SyncRequest>>,
}

#[derive(Debug, Default)]
struct State {
    jobs: Jobs,
    /// The outcomes of the newest records.
    recent: VecDeque<(Offset, Applied)>,
    /// The start of the newest read that reached the end of the log.
    read_at: Option<Instant>,
    is_loaded: bool,
}

/// Notifies a caller when the known end of the log moves.
#[derive(Debug)]
pub(crate) struct Watch {
    changed: watch::Receiver<Offset>,
    _waiting: Gauge,
}

impl Watch {
    /// Waits until more of the log has been read.
    pub(crate) async fn changed(&mut self) {
        // The sender exists as long as the journal.
        let _ = self.changed.changed().await;
    }
}

/// A request to read the log to its end: the channel to which the result is sent.
type SyncRequest = oneshot::Sender<Result<(), StoreError>>;

impl Default for Journal {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            changed: watch::Sender::new(0),
            peer_end: AtomicU64::new(0),
            waiting: Gauge::default(),
            appends: OnceLock::new(),
            syncs: OnceLock::new(),
        }
    }
}

/// The jobs. Records are not applied while this exists, since it holds the lock.
pub struct View<'a>(MutexGuard<'a, State>);

impl std::fmt::Debug for View<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("View")
            .field("end", &self.0.jobs.end())
            .finish()
    }
}

impl std::ops::Deref for View<'_> {
    type Target = Jobs;

    fn deref(&self) -> &Jobs {
        &self.0.jobs
    }
}

impl Journal {
    /// Returns the jobs according to the records read so far.
    pub fn jobs(&self) -> View<'_> {
        View(lock(&self.state))
    }

    /// Returns whether the log has been loaded from its beginning.
    pub fn is_loaded(&self) -> bool {
        lock(&self.state).is_loaded
    }

    /// Returns the time since the log was read to its end.
    pub fn staleness(&self) -> Option<Duration> {
        lock(&self.state).read_at.map(|at| at.elapsed())
    }

    /// Returns a receiver of the known end of the log.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Offset> {
        self.changed.subscribe()
    }

    /// Returns a receiver for a waiting caller: until it is dropped, the log is read as soon as
    /// a peer has read further.
    pub(crate) fn watch(&self) -> Watch {
        Watch {
            changed: self.changed.subscribe(),
            _waiting: self.waiting.enter(),
        }
    }

    /// Records the end of the log that a peer has reported.
    pub(crate) fn record_peer_end(&self, end: Offset) {
        self.peer_end.fetch_max(end, Ordering::Relaxed);
    }

    /// Reads the log to its end, as of the time of the call or later.
    ///
    /// # Errors
    ///
    /// Returns the store's failure.
    pub async fn sync(&self) -> Result<(), StoreError> {
        const STOPPED: StoreError = StoreError::Refused("the host stops");
        let (done, result) = oneshot::channel();
        let syncs = self.syncs.get().ok_or(STOPPED)?;
        syncs.send(done).map_err(|_| STOPPED)?;
        result.await.unwrap_or(Err(STOPPED))
    }

    /// Appends a record and returns its effect at its offset.
    ///
    /// # Errors
    ///
    /// Returns an error if the record was not appended, or if its outcome is unknown at the
    /// deadline.
    pub async fn append(&self, record: Record, deadline: Instant) -> Result<Applied, AppendError> {
        let stopped = AppendError::NotDone(StoreError::Refused("the host stops"));
        let (done, result) = oneshot::channel();
        let append = Append {
            record,
            deadline,
            may_be_appended: false,
            done,
        };
        let appends = self.appends.get().ok_or(stopped)?;
        appends.send(append).map_err(|_| stopped)?;
        result.await.unwrap_or(Err(AppendError::Unknown))
    }

    /// Removes closed jobs that were submitted before a time from memory; returns their
    /// number.
    pub(crate) fn remove_expired(&self, expiry_unix_ms: u64) -> usize {
        let mut state = lock(&self.state);
        let expired = state
            .jobs
            .iter()
            .filter(|(_, job)| cleanup::is_expired(job, expiry_unix_ms));
        let expired: Vec<JobId> = expired.map(|(id, _)| id.clone()).collect();
        for job in &expired {
            state.jobs.remove_job(job);
        }
        expired.len()
    }

    fn apply(&self, ctx: &Context, records: Vec<StoredRecord>) {
        if records.is_empty() {
            return;
        }
        let end = {
            let mut state = lock(&self.state);
            cpu_time::measure(&ctx.metrics, Activity::ApplyRecords, || {
                for record in records {
                    state.apply(ctx, record);
                }
            });
            state.jobs.end()
        };
        self.changed.send_replace(end);
    }

    /// Replaces the state by that of a listing of the log.
    fn rebuild(&self, ctx: &Context, end: Offset, records: Vec<StoredRecord>) {
        let mut loaded = State::default();
        let count = records.len();
        for record in records {
            loaded.apply(ctx, record);
        }
        loaded.jobs.advance(end);
        loaded.is_loaded = true;
        slog::info!(ctx.logger, "job records loaded"; "records" => count, "end" => end,
            "jobs" => loaded.jobs.iter().count());
        *lock(&self.state) = loaded;
        self.changed.send_replace(end);
    }

    /// Replaces the state by a snapshot from a peer.
    fn restore(&self, ctx: &Context, snapshot: Snapshot) {
        let jobs = Jobs::restore(snapshot);
        let end = jobs.end();
        slog::info!(ctx.logger, "job records received from a peer"; "end" => end,
            "jobs" => jobs.iter().count());
        *lock(&self.state) = State {
            jobs,
            is_loaded: true,
            ..State::default()
        };
        self.changed.send_replace(end);
    }

    /// Returns the effect of a recent record.
    fn outcome(&self, offset: Offset) -> Option<Applied> {
        let state = lock(&self.state);
        let found = state
            .recent
            .iter()
            .rev()
            .find(|(recent, _)| *recent == offset);
        found.map(|(_, applied)| *applied)
    }
}

impl State {
    fn apply(&mut self, ctx: &Context, record: StoredRecord) {
        let offset = record.offset;
        if offset < self.jobs.end() {
            return;
        }
        self.jobs.advance(offset + 1);
        // A deleted key: its job has expired.
        let Some(value) = record.entry.value else {
            return;
        };
        let Some(record) = Record::decode(&value) else {
            slog::error!(ctx.logger, "invalid job record"; "offset" => offset);
            return;
        };
        let job = record.job().clone();
        let applied = self.jobs.apply(offset, record);
        if let Applied::Ignored(reason) = applied
            && reason != Ignored::AlreadyListed
        {
            slog::info!(ctx.logger, "job record ignored"; "job" => job, "offset" => offset,
                "why" => ?reason);
        }
        self.recent.push_back((offset, applied));
        if self.recent.len() > RECENT_MAX {
            self.recent.pop_front();
        }
    }
}

/// Starts reading and appending.
pub(crate) fn start(ctx: &Arc<Context>) {
    let (syncs, sync_requests) = mpsc::unbounded_channel();
    let (appends, append_requests) = mpsc::unbounded_channel();
    // The context is new, so neither was set before.
    let _ = ctx.journal.syncs.set(syncs);
    let _ = ctx.journal.appends.set(appends);
    let until = Until::Phase(Phase::Stopped);
    // Each start of a task takes over the requests from the one before.
    let sync_requests = Arc::new(tokio::sync::Mutex::new(sync_requests));
    ctx.spawn_duty("read job records", until, move |ctx| {
        read::read_loop(ctx, Arc::clone(&sync_requests))
    });
    let append_requests = Arc::new(tokio::sync::Mutex::new(append_requests));
    let number = Arc::new(AtomicU64::new(0));
    ctx.spawn_duty("append job records", until, move |ctx| {
        append::append_loop(ctx, Arc::clone(&append_requests), Arc::clone(&number))
    });
}
