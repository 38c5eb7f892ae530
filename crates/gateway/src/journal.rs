//! The stream of job records: reads it, folds it, appends to it.
//!
//! Every record has a key of its own, so the store keeps all of them for good
//! and a host that starts lists them, in the order of their offsets, and goes on
//! from there. An append without an answer is made again under another key; the
//! fold counts the first copy.
//!
//! Waiting reads were rejected: with a record every few milliseconds each would
//! return at once, on every host. Hosts read a few times a second, at once when
//! somebody asks for what they do not know, and sooner when a peer is ahead.

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
use notchwharf_telemetry::gauge::Gauge;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use self::append::Append;
use crate::context::Context;
use crate::ports::StoreError;
use crate::ports::StoredRecord;
use crate::sync::lock;
use crate::upkeep;
use crate::work;
use crate::work::Part;

/// The only partition: one order for all jobs, a few records a second.
const PART: u32 = 0;

/// Outcomes of records that are remembered: more than any host appends while
/// one of its appends is under way.
const RECENT_MAX: usize = 4_096;

/// Why a record is not known to be in the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotAppended {
    /// It is not there and will not be.
    NotDone(StoreError),
    /// It may be there, or come there.
    Unknown,
}

/// The stream as this host knows it.
#[derive(Debug)]
pub struct Journal {
    state: Mutex<State>,
    changed: watch::Sender<Offset>,
    told_end: AtomicU64,
    /// Callers that wait for records.
    waiting: Gauge,
    appends: OnceLock<mpsc::UnboundedSender<Append>>,
    asks: OnceLock<mpsc::UnboundedSender<Ask>>,
}

#[derive(Debug, Default)]
struct State {
    jobs: Jobs,
    recent: VecDeque<(Offset, Applied)>,
    read_at: Option<Instant>,
    is_loaded: bool,
    /// The end of the stream when this host listed it.
    listed_end: Offset,
}

/// The stream's end, while a caller waits for it to move.
#[derive(Debug)]
pub(crate) struct Watch {
    changed: watch::Receiver<Offset>,
    _waiting: Gauge,
}

impl Watch {
    /// Waits until more of the stream is known.
    pub(crate) async fn changed(&mut self) {
        // The sender lives as long as the journal.
        let _ = self.changed.changed().await;
    }
}

type Ask = oneshot::Sender<Result<(), StoreError>>;

impl Default for Journal {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            changed: watch::Sender::new(0),
            told_end: AtomicU64::new(0),
            waiting: Gauge::default(),
            appends: OnceLock::new(),
            asks: OnceLock::new(),
        }
    }
}

/// Jobs, while they are looked at.
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
    /// Returns the jobs as far as the stream is known.
    pub fn jobs(&self) -> View<'_> {
        View(lock(&self.state))
    }

    /// Returns whether the stream has been read from its beginning.
    pub fn is_loaded(&self) -> bool {
        lock(&self.state).is_loaded
    }

    /// Returns whether a record was there before this host listed the stream.
    pub(crate) fn is_older_than_listing(&self, offset: Offset) -> bool {
        offset < lock(&self.state).listed_end
    }

    /// Returns how long ago the stream was read to its end.
    pub fn age(&self) -> Option<Duration> {
        lock(&self.state).read_at.map(|at| at.elapsed())
    }

    /// Returns a receiver of the stream's end as it becomes known.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Offset> {
        self.changed.subscribe()
    }

    /// Returns a receiver of the stream's end as it becomes known, while a
    /// caller waits for it: as long as the receiver lives, the stream is read
    /// as soon as a peer is ahead.
    pub(crate) fn watch(&self) -> Watch {
        Watch {
            changed: self.changed.subscribe(),
            _waiting: self.waiting.enter(),
        }
    }

    /// Notes how far a peer knows the stream.
    pub(crate) fn told(&self, end: Offset) {
        self.told_end.fetch_max(end, Ordering::Relaxed);
    }

    /// Reads the stream to its end, as of now or later.
    ///
    /// # Errors
    ///
    /// Returns the store's failure.
    pub async fn sync(&self) -> Result<(), StoreError> {
        const STOPPED: StoreError = StoreError::Refused("the host stops");
        let (done, answer) = oneshot::channel();
        let asks = self.asks.get().ok_or(STOPPED)?;
        asks.send(done).map_err(|_| STOPPED)?;
        answer.await.unwrap_or(Err(STOPPED))
    }

    /// Appends a record; returns what it did at its place in the stream.
    ///
    /// # Errors
    ///
    /// Returns whether it may be there if that is not known at the deadline.
    pub async fn append(&self, record: Record, deadline: Instant) -> Result<Applied, NotAppended> {
        let stopped = NotAppended::NotDone(StoreError::Refused("the host stops"));
        let (done, answer) = oneshot::channel();
        let append = Append {
            record,
            deadline,
            may_be_done: false,
            done,
        };
        let appends = self.appends.get().ok_or(stopped)?;
        appends.send(append).map_err(|_| stopped)?;
        answer.await.unwrap_or(Err(NotAppended::Unknown))
    }

    /// Forgets jobs that were submitted before a time of day and are over;
    /// returns how many.
    pub(crate) fn forget_before(&self, unix_ms: u64) -> usize {
        let mut state = lock(&self.state);
        let over = state
            .jobs
            .iter()
            .filter(|(_, job)| upkeep::is_over(job, unix_ms));
        let over: Vec<JobId> = over.map(|(id, _)| id.clone()).collect();
        for job in &over {
            state.jobs.remove_job(job);
        }
        over.len()
    }

    fn apply(&self, ctx: &Context, records: Vec<StoredRecord>) {
        if records.is_empty() {
            return;
        }
        let end = {
            let mut state = lock(&self.state);
            work::timed(&ctx.metrics, Part::Records, || {
                for record in records {
                    state.apply(ctx, record);
                }
            });
            state.jobs.end()
        };
        self.changed.send_replace(end);
    }

    fn rebuild(&self, ctx: &Context, end: Offset, records: Vec<StoredRecord>) {
        let mut fresh = State::default();
        let count = records.len();
        for record in records {
            fresh.apply(ctx, record);
        }
        fresh.jobs.advance(end);
        fresh.is_loaded = true;
        fresh.listed_end = end;
        slog::info!(ctx.logger, "job records loaded"; "records" => count, "end" => end,
            "jobs" => fresh.jobs.iter().count());
        *lock(&self.state) = fresh;
        self.changed.send_replace(end);
    }

    /// Takes in what a peer knows of the jobs.
    fn restore(&self, ctx: &Context, snapshot: Snapshot) {
        let jobs = Jobs::restore(snapshot);
        let end = jobs.end();
        slog::info!(ctx.logger, "job records taken from a peer"; "end" => end,
            "jobs" => jobs.iter().count());
        *lock(&self.state) = State {
            jobs,
            is_loaded: true,
            listed_end: end,
            ..State::default()
        };
        self.changed.send_replace(end);
    }

    fn outcome(&self, offset: Offset) -> Option<Applied> {
        let state = lock(&self.state);
        let found = state
            .recent
            .iter()
            .rev()
            .find(|(known, _)| *known == offset);
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
        // A dropped key: its job was forgotten.
        let Some(value) = record.entry.value else {
            return;
        };
        let Some(record) = Record::decode(&value) else {
            slog::error!(ctx.logger, "unreadable job record"; "offset" => offset);
            return;
        };
        let job = record.job().clone();
        let applied = self.jobs.apply(offset, record);
        if let Applied::Ignored(why) = applied
            && why != Ignored::AlreadyListed
        {
            slog::info!(ctx.logger, "job record ignored"; "job" => job, "offset" => offset,
                "why" => ?why);
        }
        self.recent.push_back((offset, applied));
        if self.recent.len() > RECENT_MAX {
            self.recent.pop_front();
        }
    }
}

/// Starts to read and append.
pub(crate) fn start(ctx: &Arc<Context>) {
    let (asks, asked) = mpsc::unbounded_channel();
    let (appends, appended) = mpsc::unbounded_channel();
    // The context is new, so nothing was set in it before.
    let _ = ctx.journal.asks.set(asks);
    let _ = ctx.journal.appends.set(appends);
    tokio::spawn(read::read_loop(Arc::clone(ctx), asked));
    tokio::spawn(append::append_loop(Arc::clone(ctx), appended));
}
