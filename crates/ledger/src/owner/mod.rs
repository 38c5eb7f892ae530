//! State machine of a host for one shard: claims the lease, appends records and replies to
//! commands.
//!
//! Pass each input to [`Owner::step`] and execute the returned effects. The response to an
//! append is never taken as proof that it took effect: a command is answered only once its
//! record was read back from the log, in the log's order.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use notchwharf_ledger::owner::{Config, Effect, Input, Now, Owner};
//!
//! let start = Instant::now();
//! let at = |ms| Now { at: start + Duration::from_millis(ms), unix_ms: ms };
//! let mut owner = Owner::new(Config::new("a1", 1), at(0));
//! owner.step(at(0), Input::Preferred(true));
//! owner.step(at(0), Input::CaughtUp);
//! let effects = owner.step(at(1), Input::Tick);
//! assert!(matches!(effects[..], [Effect::Append(_)]));
//! ```
//!
//! At most one append is outstanding, and all entries that arrive in the meantime go into the
//! next one (group commit). This bounds a shard's appends to one per commit interval, at the
//! cost of up to one interval of added latency.

mod command;
mod commit;
mod execute;
mod maintenance;

use std::time::Duration;
use std::time::Instant;

use crate::error::CommandError;
use crate::queue::Queue;
use crate::record::BlobId;
use crate::record::Entry;
use crate::record::Epoch;
use crate::record::HostId;
use crate::record::Incarnation;
use crate::record::JobId;
use crate::record::Offset;
use crate::record::Record;
use crate::shard::Shard;

pub use self::command::Answer;
pub use self::command::Command;
pub use self::command::Reply;
pub use self::command::Verdict;
pub use self::command::View;
pub use self::command::Work;

/// Correlates a command with its reply; chosen by the sender of the command.
pub type Token = u64;

/// The current time of the monotonic and of the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// The monotonic time, for leases and timeouts.
    pub at: Instant,
    /// Milliseconds since the Unix epoch, for times shown to callers and for expiry.
    pub unix_ms: u64,
}

/// The configuration of an owner.
#[derive(Clone, Debug)]
pub struct Config {
    /// This host.
    pub host: HostId,
    /// This host's incarnation.
    pub incarnation: Incarnation,
    /// Time without a record of the holder after which this host may claim the lease.
    pub lease_duration: Duration,
    /// Time between two renewals.
    pub renew_interval: Duration,
    /// Minimum time between two appends.
    pub commit_interval: Duration,
    /// Time after which a command that waits for the log receives an error.
    pub reply_timeout: Duration,
    /// Number of failed attempts after which an item fails permanently.
    pub attempts_max: u8,
    /// Time after which an item is assigned again regardless of reports by its host.
    pub item_timeout: Duration,
    /// Time after a claim during which hosts report the items that they run.
    pub takeover_grace: Duration,
    /// Number of records between two snapshots.
    pub snapshot_records: u64,
    /// Age at which blobs and snapshots are rewritten, before they expire from the log.
    pub rewrite_after: Duration,
    /// Time since its acceptance after which a finished job is removed; also an upper bound on
    /// the retention of keys.
    pub retention: Duration,
}

impl Config {
    /// Returns a configuration that suits a fleet of about twelve hosts.
    pub fn new(host: &str, incarnation: Incarnation) -> Self {
        Self {
            host: host.into(),
            incarnation,
            lease_duration: Duration::from_secs(6),
            renew_interval: Duration::from_millis(1_500),
            commit_interval: Duration::from_millis(20),
            reply_timeout: Duration::from_secs(3),
            attempts_max: 3,
            item_timeout: Duration::from_secs(600),
            takeover_grace: Duration::from_secs(1),
            snapshot_records: 4_096,
            rewrite_after: Duration::from_secs(64_800),
            retention: Duration::from_secs(259_200),
        }
    }
}

/// An event that an owner processes.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A record was read from the shard's stream.
    RecordRead {
        /// The record's offset.
        offset: Offset,
        /// The record.
        record: Record,
    },
    /// The reader of the stream has reached its end.
    CaughtUp,
    /// It is unknown whether the last append took effect.
    AppendUnconfirmed,
    /// A command was received.
    Command {
        /// The token of the reply.
        token: Token,
        /// The command.
        command: Command,
    },
    /// Whether this host should hold the shard.
    Preferred(bool),
    /// The minimum time between two appends that keeps the fleet within its append budget.
    AppendInterval(Duration),
    /// A host has failed or restarted.
    HostFailed {
        /// The host.
        host: HostId,
        /// The newest incarnation of the host that no longer runs.
        incarnation: Incarnation,
    },
    /// A snapshot was written.
    SnapshotSaved {
        /// The parts of the snapshot.
        parts: Vec<BlobId>,
        /// The last offset that the snapshot includes.
        upto: Offset,
    },
    /// A snapshot or the blobs of a job could not be written.
    BlobWriteFailed,
    /// The blobs of a job were rewritten.
    BlobsRewritten {
        /// The job.
        job: JobId,
        /// The old and new location of each blob record.
        blobs: Vec<(BlobId, BlobId)>,
    },
}

/// An action that the caller of [`Owner::step`] executes.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Append this record to the shard's stream.
    Append(Record),
    /// Reply to a command.
    Reply {
        /// The token of the command.
        token: Token,
        /// The reply or the error.
        res: Result<Reply, CommandError>,
    },
    /// Write these bytes as a snapshot, then pass [`Input::SnapshotSaved`] or
    /// [`Input::BlobWriteFailed`].
    SaveSnapshot {
        /// The encoded state.
        bytes: Vec<u8>,
        /// The last offset that the snapshot includes.
        upto: Offset,
    },
    /// Rewrite these blobs, then pass [`Input::BlobsRewritten`] or
    /// [`Input::BlobWriteFailed`].
    RewriteBlobs {
        /// The job to which the blobs belong.
        job: JobId,
        /// The blobs.
        blobs: Vec<BlobId>,
    },
}

/// An entry that waits for the next append, and the command that it completes.
#[derive(Debug)]
struct Pending {
    token: Option<Token>,
    pending_since: Instant,
    entry: Entry,
}

/// The append whose record has not been read back yet.
#[derive(Debug)]
struct Outstanding {
    record: Record,
    /// The commands that the entries complete, in the order of the entries.
    tokens: Vec<Option<Token>>,
    first_sent_at: Instant,
    resend_at: Option<Instant>,
    resend_delay: Duration,
}

/// The state of a host for one shard, whether or not it holds the lease.
///
/// Invariant: at most one append is outstanding, so the next record of this incarnation in the
/// stream is that of the outstanding append or of a later one.
#[derive(Debug)]
pub struct Owner {
    cfg: Config,
    shard: Shard,
    queue: Queue,
    is_preferred: bool,
    append_interval: Duration,
    is_caught_up: bool,
    held_epoch: Option<Epoch>,
    held_since: Instant,
    lease_valid_until: Instant,
    /// The time at which a record last changed or renewed the lease.
    lease_renewed_at: Instant,
    last_append_at: Option<Instant>,
    next_seq: u64,
    pending: Vec<Pending>,
    outstanding: Option<Outstanding>,
    records_since_snapshot: u64,
    snapshot_unix_ms: u64,
    is_writing_blobs: bool,
    effects: Vec<Effect>,
}

impl Owner {
    /// Returns an owner with an empty state.
    pub fn new(cfg: Config, now: Now) -> Self {
        Self::resume(cfg, Shard::default(), now)
    }

    /// Returns an owner that starts from the state of a snapshot.
    pub fn resume(cfg: Config, shard: Shard, now: Now) -> Self {
        Self {
            cfg,
            shard,
            queue: Queue::default(),
            is_preferred: false,
            append_interval: Duration::ZERO,
            is_caught_up: false,
            held_epoch: None,
            held_since: now.at,
            lease_valid_until: now.at,
            lease_renewed_at: now.at,
            last_append_at: None,
            next_seq: 1,
            pending: Vec::new(),
            outstanding: None,
            records_since_snapshot: 0,
            snapshot_unix_ms: now.unix_ms,
            is_writing_blobs: false,
            effects: Vec::new(),
        }
    }

    /// Returns the state folded so far.
    pub fn shard(&self) -> &Shard {
        &self.shard
    }

    /// Returns the epoch under which this host holds the shard, if it does.
    pub fn held_epoch(&self) -> Option<Epoch> {
        self.held_epoch
    }

    /// Returns the servings that have queued items.
    pub fn pending_servings(&self) -> Vec<String> {
        if self.held_epoch.is_none() {
            return Vec::new();
        }
        self.queue.servings()
    }

    /// Returns the number of items assigned to hosts.
    pub fn running_count(&self) -> usize {
        self.queue.assigned_count()
    }

    /// Processes an input and returns the effects to execute.
    pub fn step(&mut self, now: Now, input: Input) -> Vec<Effect> {
        match input {
            Input::Tick => self.tick(now),
            Input::RecordRead { offset, record } => self.apply_record(now, offset, &record),
            Input::CaughtUp => self.is_caught_up = true,
            Input::AppendUnconfirmed => self.schedule_resend(now),
            Input::Command { token, command } => self.execute(now, token, command),
            Input::Preferred(is_preferred) => self.is_preferred = is_preferred,
            Input::AppendInterval(append_interval) => self.append_interval = append_interval,
            Input::HostFailed { host, incarnation } => {
                self.queue
                    .requeue_host(self.shard.jobs(), &host, incarnation);
            }
            Input::SnapshotSaved { parts, upto } => self.snapshot_saved(now, parts, upto),
            Input::BlobWriteFailed => self.is_writing_blobs = false,
            Input::BlobsRewritten { job, blobs } => self.blobs_rewritten(now, job, blobs),
        }
        std::mem::take(&mut self.effects)
    }

    fn tick(&mut self, now: Now) {
        self.time_out_commands(now);
        self.resend(now);
        if self.held_epoch.is_none() {
            self.maybe_claim(now);
            return;
        }
        self.queue
            .requeue_expired(self.shard.jobs(), self.cfg.item_timeout, now.at);
        self.remove_expired(now);
        self.maybe_save_snapshot(now);
        if !self.is_preferred {
            self.maybe_release(now);
        }
        self.flush(now);
    }

    fn apply_record(&mut self, now: Now, offset: Offset, record: &Record) {
        if offset < self.shard.next_offset() {
            return;
        }
        let previous_last = self.shard.lease().map(|l| l.last);
        // Gaps cannot occur: the caller reads every offset, or starts from a snapshot if
        // older records have expired.
        let Ok(outcomes) = self.shard.apply(offset, record) else {
            debug_assert!(false, "The reader skipped records.");
            return;
        };
        self.records_since_snapshot += 1;
        if self.shard.lease().map(|l| l.last) != previous_last {
            self.lease_renewed_at = now.at;
        }
        let is_own = self
            .outstanding
            .as_ref()
            .is_some_and(|o| o.record.id == record.id);
        self.update_lease(now, is_own);
        self.update_queue(record, &outcomes);
        if is_own {
            self.confirm(outcomes);
        }
    }

    /// Updates the state of this host's lease; `is_confirmed` is whether the outstanding append
    /// was just read back.
    fn update_lease(&mut self, now: Now, is_confirmed: bool) {
        let own_lease = self.shard.lease().filter(|lease| {
            lease.holder == self.cfg.host && lease.incarnation == self.cfg.incarnation
        });
        let epoch = own_lease.map(|lease| lease.epoch);
        if epoch.is_some()
            && is_confirmed
            && let Some(outstanding) = &self.outstanding
        {
            self.lease_valid_until = outstanding.first_sent_at + self.cfg.lease_duration;
        }
        if epoch == self.held_epoch {
            return;
        }
        self.held_epoch = epoch;
        self.held_since = now.at;
        if epoch.is_some() {
            self.queue = Queue::rebuild(self.shard.jobs());
            self.fail_exhausted(now);
            return;
        }
        self.queue = Queue::default();
        self.is_writing_blobs = false;
        self.reject_pending();
    }
}
