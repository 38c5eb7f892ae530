//! What a host decides about one shard: to claim it, to append, to answer.
//!
//! Feed [`Owner::step`] with inputs and carry its effects out. It never trusts
//! that an append took effect: a command is answered only when its record was
//! read back from the log, in the order that the log gave.
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
//! One append is outstanding at a time, and all that comes meanwhile goes into
//! the next (group commit). That bounds a shard's appends to one for each
//! commit interval, at the price of up to that interval in added latency.

mod answer;
mod command;
mod commit;
mod upkeep;

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

/// What identifies a command to whoever sent it.
pub type Token = u64;

/// A moment, on the clock that only goes forward and on the calendar.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// The moment, for leases and timeouts.
    pub at: Instant,
    /// Milliseconds since the Unix epoch, for what callers see and for expiry.
    pub unix_ms: u64,
}

/// How an owner behaves.
#[derive(Clone, Debug)]
pub struct Config {
    /// This host.
    pub host: HostId,
    /// This host's incarnation.
    pub incarnation: Incarnation,
    /// Silence of a holder after which this host may claim.
    pub lease_duration: Duration,
    /// Time between two renewals.
    pub renew_interval: Duration,
    /// Least time between two appends.
    pub commit_interval: Duration,
    /// Time after which a command that waits for the log is answered anyway.
    pub reply_timeout: Duration,
    /// Attempts after which an item fails for good.
    pub attempts_max: u8,
    /// Time after which an item is handed out again whatever its host says.
    pub item_timeout: Duration,
    /// Time after a claim in which hosts report what they run.
    pub takeover_grace: Duration,
    /// Records between two snapshots.
    pub snapshot_records: u64,
    /// Age of blobs and snapshots at which they are written again.
    pub rewrite_after: Duration,
    /// Time for which ended jobs and keys are kept.
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

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed.
    Tick,
    /// A record was read from the shard's stream.
    RecordRead {
        /// Its offset.
        offset: Offset,
        /// The record.
        record: Record,
    },
    /// The reader of the stream has reached its end.
    CaughtUp,
    /// The append sent last may or may not have taken effect.
    AppendUnconfirmed,
    /// Somebody asks something.
    Command {
        /// What identifies the command.
        token: Token,
        /// What is asked.
        command: Command,
    },
    /// Whether this host should hold the shard.
    Preferred(bool),
    /// Least time between two appends, for the fleet to keep to its budget.
    AppendInterval(Duration),
    /// A host is dead or has started again.
    HostFailed {
        /// The host.
        host: HostId,
        /// Its newest incarnation that is gone.
        incarnation: Incarnation,
    },
    /// A snapshot was written.
    SnapshotSaved {
        /// Its parts.
        parts: Vec<BlobId>,
        /// The last offset that it covers.
        upto: Offset,
    },
    /// A snapshot or the blobs of a job could not be written.
    BlobWriteFailed,
    /// The blobs of a job were written again.
    BlobsRewritten {
        /// The job.
        job: JobId,
        /// Old and new places.
        blobs: Vec<(BlobId, BlobId)>,
    },
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Append this record to the shard's stream.
    Append(Record),
    /// Answer a command.
    Reply {
        /// What identifies the command.
        token: Token,
        /// The answer.
        res: Result<Reply, CommandError>,
    },
    /// Write these bytes as a snapshot, then say [`Input::SnapshotSaved`].
    SaveSnapshot {
        /// The state.
        bytes: Vec<u8>,
        /// The last offset that it covers.
        upto: Offset,
    },
    /// Write these blobs again, then say [`Input::BlobsRewritten`].
    RewriteBlobs {
        /// The job that they belong to.
        job: JobId,
        /// The blobs.
        blobs: Vec<BlobId>,
    },
}

#[derive(Debug)]
struct Pending {
    token: Option<Token>,
    since: Instant,
    entry: Entry,
}

#[derive(Debug)]
struct Outstanding {
    record: Record,
    tokens: Vec<Option<Token>>,
    first_sent: Instant,
    resend_at: Option<Instant>,
    pause: Duration,
}

/// What a host knows and decides about one shard.
///
/// Invariant: at most one append is outstanding, and only its record or a
/// later one can be the next of this incarnation.
#[derive(Debug)]
pub struct Owner {
    cfg: Config,
    shard: Shard,
    queue: Queue,
    preferred: bool,
    pace: Duration,
    caught_up: bool,
    held: Option<Epoch>,
    held_since: Instant,
    valid_until: Instant,
    heard_at: Instant,
    last_sent: Option<Instant>,
    next_seq: u64,
    pending: Vec<Pending>,
    outstanding: Option<Outstanding>,
    records_since_snapshot: u64,
    snapshot_unix_ms: u64,
    saving: bool,
    effects: Vec<Effect>,
}

impl Owner {
    /// Returns an owner that knows nothing of its shard yet.
    pub fn new(cfg: Config, now: Now) -> Self {
        Self::resume(cfg, Shard::default(), now)
    }

    /// Returns an owner that starts from a snapshot.
    pub fn resume(cfg: Config, shard: Shard, now: Now) -> Self {
        Self {
            cfg,
            shard,
            queue: Queue::default(),
            preferred: false,
            pace: Duration::ZERO,
            caught_up: false,
            held: None,
            held_since: now.at,
            valid_until: now.at,
            heard_at: now.at,
            last_sent: None,
            next_seq: 1,
            pending: Vec::new(),
            outstanding: None,
            records_since_snapshot: 0,
            snapshot_unix_ms: now.unix_ms,
            saving: false,
            effects: Vec::new(),
        }
    }

    /// Returns the state folded so far.
    pub fn shard(&self) -> &Shard {
        &self.shard
    }

    /// Returns the epoch under which this host holds the shard, if it does.
    pub fn held_epoch(&self) -> Option<Epoch> {
        self.held
    }

    /// Returns the servings that have items to hand out.
    pub fn pending_servings(&self) -> Vec<String> {
        if self.held.is_none() {
            return Vec::new();
        }
        self.queue.servings()
    }

    /// Returns how many items hosts run.
    pub fn running_count(&self) -> usize {
        self.queue.out_len()
    }

    /// Takes an input in and returns what is to be done.
    pub fn step(&mut self, now: Now, input: Input) -> Vec<Effect> {
        match input {
            Input::Tick => self.tick(now),
            Input::RecordRead { offset, record } => self.tail(now, offset, &record),
            Input::CaughtUp => self.caught_up = true,
            Input::AppendUnconfirmed => self.append_lost(now),
            Input::Command { token, command } => self.ask(now, token, command),
            Input::Preferred(preferred) => self.preferred = preferred,
            Input::AppendInterval(pace) => self.pace = pace,
            Input::HostFailed { host, incarnation } => {
                self.queue.host_gone(self.shard.jobs(), &host, incarnation);
            }
            Input::SnapshotSaved { parts, upto } => self.saved(now, parts, upto),
            Input::BlobWriteFailed => self.saving = false,
            Input::BlobsRewritten { job, blobs } => self.carried(now, job, blobs),
        }
        std::mem::take(&mut self.effects)
    }

    fn tick(&mut self, now: Now) {
        self.answer_overdue(now);
        self.resend(now);
        if self.held.is_none() {
            self.maybe_claim(now);
            return;
        }
        self.queue
            .expire(self.shard.jobs(), self.cfg.item_timeout, now.at);
        self.drop_expired(now);
        self.maybe_save(now);
        if !self.preferred {
            self.maybe_release(now);
        }
        self.flush(now);
    }

    fn tail(&mut self, now: Now, offset: Offset, record: &Record) {
        if offset < self.shard.next_offset() {
            return;
        }
        let was_last = self.shard.lease().map(|l| l.last);
        // A gap cannot happen here: the shell reads every offset, and starts
        // from a snapshot where the log has dropped some.
        let Ok(outcomes) = self.shard.apply(offset, record) else {
            debug_assert!(false, "The reader skipped records.");
            return;
        };
        self.records_since_snapshot += 1;
        if self.shard.lease().map(|l| l.last) != was_last {
            self.heard_at = now.at;
        }
        let mine = self
            .outstanding
            .as_ref()
            .is_some_and(|o| o.record.id == record.id);
        self.notice_lease(now, mine);
        self.track(record, &outcomes);
        if mine {
            self.confirm(outcomes);
        }
    }

    /// Compares the lease folded with the one held so far.
    fn notice_lease(&mut self, now: Now, confirmed: bool) {
        let mine = self.shard.lease().filter(|lease| {
            lease.holder == self.cfg.host && lease.incarnation == self.cfg.incarnation
        });
        let epoch = mine.map(|lease| lease.epoch);
        if epoch.is_some()
            && confirmed
            && let Some(outstanding) = &self.outstanding
        {
            self.valid_until = outstanding.first_sent + self.cfg.lease_duration;
        }
        if epoch == self.held {
            return;
        }
        self.held = epoch;
        self.held_since = now.at;
        if epoch.is_some() {
            self.queue = Queue::rebuild(self.shard.jobs());
            self.fail_exhausted(now);
            return;
        }
        self.queue = Queue::default();
        self.saving = false;
        self.refuse_all();
    }
}
