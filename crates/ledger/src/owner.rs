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

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Ignored;
use crate::error::Refused;
use crate::job::Counts;
use crate::job::Failure;
use crate::job::File;
use crate::job::Job;
use crate::job::Phase;
use crate::job::Spec;
use crate::job::State;
use crate::queue::Queue;
use crate::record::BlobId;
use crate::record::Dropped;
use crate::record::Entry;
use crate::record::Epoch;
use crate::record::FileId;
use crate::record::HostId;
use crate::record::Incarnation;
use crate::record::ItemIndex;
use crate::record::JobId;
use crate::record::KeyId;
use crate::record::Offset;
use crate::record::Place;
use crate::record::Record;
use crate::record::RecordId;
use crate::shard::Outcome;
use crate::shard::Shard;

/// First pause before an append is sent again.
const RESEND_MIN: Duration = Duration::from_millis(50);
/// Longest pause before an append is sent again.
const RESEND_MAX: Duration = Duration::from_secs(1);
/// Most entries in one append.
const ENTRIES_MAX: usize = 4_096;
/// Most ended jobs, lots and keys dropped in one tick.
const DROPS_MAX: usize = 64;

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
    pub lease: Duration,
    /// Time between two renewals.
    pub renew: Duration,
    /// Least time between two appends.
    pub commit: Duration,
    /// Time after which a command that waits for the log is answered anyway.
    pub reply_timeout: Duration,
    /// Attempts after which an item fails for good.
    pub attempts_max: u8,
    /// Time after which an item is handed out again whatever its host says.
    pub item_timeout: Duration,
    /// Time after a claim in which hosts report what they run.
    pub grace: Duration,
    /// Records between two snapshots.
    pub snapshot_records: u64,
    /// Age of blobs and snapshots at which they are written again.
    pub carry_after: Duration,
    /// Time for which ended jobs and keys are kept.
    pub readable: Duration,
}

impl Config {
    /// Returns a configuration that suits a fleet of about twelve hosts.
    pub fn new(host: &str, incarnation: Incarnation) -> Self {
        Self {
            host: host.into(),
            incarnation,
            lease: Duration::from_secs(6),
            renew: Duration::from_millis(1_500),
            commit: Duration::from_millis(20),
            reply_timeout: Duration::from_secs(3),
            attempts_max: 3,
            item_timeout: Duration::from_secs(600),
            grace: Duration::from_secs(1),
            snapshot_records: 4_096,
            carry_after: Duration::from_secs(64_800),
            readable: Duration::from_secs(259_200),
        }
    }
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed.
    Tick,
    /// A record was read from the shard's stream.
    Tail {
        /// Its offset.
        offset: Offset,
        /// The record.
        record: Record,
    },
    /// The reader of the stream has reached its end.
    CaughtUp,
    /// The append sent last may or may not have taken effect.
    AppendLost,
    /// Somebody asks something.
    Ask {
        /// What identifies the command.
        token: Token,
        /// What is asked.
        command: Command,
    },
    /// Whether this host should hold the shard.
    Preferred(bool),
    /// Least time between two appends, for the fleet to keep to its budget.
    Pace(Duration),
    /// A host is dead or has started again.
    HostGone {
        /// The host.
        host: HostId,
        /// Its newest incarnation that is gone.
        incarnation: Incarnation,
    },
    /// A snapshot was written.
    Saved {
        /// Its parts.
        parts: Vec<BlobId>,
        /// The last offset that it covers.
        upto: Offset,
    },
    /// A snapshot or the blobs of a job could not be written.
    SaveFailed,
    /// The blobs of a job were written again.
    Carried {
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
        res: Result<Reply, Refused>,
    },
    /// Write these bytes as a snapshot, then say [`Input::Saved`].
    Save {
        /// The state.
        bytes: Vec<u8>,
        /// The last offset that it covers.
        upto: Offset,
    },
    /// Write these blobs again, then say [`Input::Carried`].
    Carry {
        /// The job that they belong to.
        job: JobId,
        /// The blobs.
        blobs: Vec<BlobId>,
    },
}

/// What can be asked of the owner of a shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Keep an uploaded lot.
    PutFile(File),
    /// Return a lot.
    GetFile {
        /// The lot.
        file: FileId,
        /// The customer who asks.
        tenant: String,
    },
    /// Accept a job.
    CreateJob(Spec),
    /// Return a job.
    GetJob {
        /// The job.
        job: JobId,
        /// The customer who asks; an operator asks without.
        tenant: Option<String>,
    },
    /// Return the jobs of a customer, or all for an operator.
    ListJobs {
        /// The customer.
        tenant: Option<String>,
    },
    /// Cancel a job.
    CancelJob {
        /// The job.
        job: JobId,
        /// The customer who asks; an operator asks without.
        tenant: Option<String>,
    },
    /// Return where final answers of a job's items stand.
    Answers {
        /// The job.
        job: JobId,
        /// The customer who asks.
        tenant: String,
        /// The first item.
        from: ItemIndex,
        /// The greatest number of items.
        max: u32,
    },
    /// Hand out items.
    Take {
        /// The serving that a target is free for.
        serving: String,
        /// The greatest number of items.
        max: u32,
        /// The host that will run them.
        host: HostId,
        /// That host's incarnation.
        incarnation: Incarnation,
    },
    /// A host reports what it runs, to a new owner.
    Running {
        /// The items.
        items: Vec<(JobId, ItemIndex)>,
        /// The host.
        host: HostId,
        /// That host's incarnation.
        incarnation: Incarnation,
    },
    /// A host reports what became of an item.
    Settle {
        /// The job.
        job: JobId,
        /// The item.
        item: ItemIndex,
        /// What became of it.
        verdict: Verdict,
    },
    /// A host gives items back that it has not finished.
    Return {
        /// The items.
        items: Vec<(JobId, ItemIndex)>,
    },
    /// Record that a call that must not be repeated is about to be sent.
    KeyStart {
        /// The key.
        key: KeyId,
        /// The digest of the call.
        digest: String,
    },
    /// Record where the answer to such a call stands.
    KeyEnd {
        /// The key.
        key: KeyId,
        /// The place.
        place: Place,
    },
    /// Record that such a call was never sent.
    KeyUnsent {
        /// The key.
        key: KeyId,
    },
}

/// What became of an item on a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// It ran to its end; the result stands there.
    Done(Place),
    /// It can never be done.
    Failed(Failure),
    /// The target failed under it, after as many failures before.
    TargetFailed {
        /// The attempts that failed before.
        before: u8,
    },
}

/// The answer to a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The command took effect.
    Done,
    /// A lot.
    File(File),
    /// A job.
    Job(Box<View>),
    /// Jobs.
    Jobs(Vec<View>),
    /// Items to run.
    Work(Vec<Work>),
    /// Where final answers stand.
    Answers {
        /// The answers, by item.
        answers: Vec<Answer>,
        /// The item to ask from next; none at the end.
        next: Option<ItemIndex>,
    },
    /// The call was answered before; the answer stands there.
    Ended(Place),
}

/// An item handed out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// The job.
    pub job: JobId,
    /// The item.
    pub item: ItemIndex,
    /// The customer.
    pub tenant: String,
    /// Where the payload stands.
    pub place: Place,
    /// How often a target failed under it; not zero means it runs alone.
    pub attempts: u8,
}

/// A job as callers see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// The job.
    pub id: JobId,
    /// The customer.
    pub tenant: String,
    /// The lot.
    pub file: FileId,
    /// The endpoint that every item asks for.
    pub endpoint: String,
    /// The caller's own labels.
    pub metadata: std::collections::BTreeMap<String, String>,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub created_unix_ms: u64,
    /// Where it stands.
    pub state: State,
    /// How many items stand where.
    pub counts: Counts,
}

/// The final answer of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The item.
    pub item: ItemIndex,
    /// Where the payload stands.
    pub payload: Place,
    /// The result, or why there is none.
    pub outcome: Result<Place, Failure>,
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
    pub fn held(&self) -> Option<Epoch> {
        self.held
    }

    /// Returns the servings that have items to hand out.
    pub fn backlog(&self) -> Vec<String> {
        if self.held.is_none() {
            return Vec::new();
        }
        self.queue.servings()
    }

    /// Returns how many items hosts run.
    pub fn running(&self) -> usize {
        self.queue.out_len()
    }

    /// Takes an input in and returns what is to be done.
    pub fn step(&mut self, now: Now, input: Input) -> Vec<Effect> {
        match input {
            Input::Tick => self.tick(now),
            Input::Tail { offset, record } => self.tail(now, offset, &record),
            Input::CaughtUp => self.caught_up = true,
            Input::AppendLost => self.append_lost(now),
            Input::Ask { token, command } => self.ask(now, token, command),
            Input::Preferred(preferred) => self.preferred = preferred,
            Input::Pace(pace) => self.pace = pace,
            Input::HostGone { host, incarnation } => {
                self.queue.host_gone(self.shard.jobs(), &host, incarnation);
            }
            Input::Saved { parts, upto } => self.saved(now, parts, upto),
            Input::SaveFailed => self.saving = false,
            Input::Carried { job, blobs } => self.carried(now, job, blobs),
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
        if offset < self.shard.next() {
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
            self.valid_until = outstanding.first_sent + self.cfg.lease;
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

    fn refuse_all(&mut self) {
        let refused = self.not_owner();
        let pending = std::mem::take(&mut self.pending);
        for token in pending.into_iter().filter_map(|p| p.token) {
            self.reply(token, Err(refused.clone()));
        }
    }

    fn confirm(&mut self, outcomes: Vec<Outcome>) {
        let Some(outstanding) = self.outstanding.take() else {
            return;
        };
        let entries = outstanding.record.entries;
        for ((token, entry), outcome) in outstanding.tokens.into_iter().zip(entries).zip(outcomes) {
            if let Some(token) = token {
                let res = self.confirmed(&entry, outcome);
                self.reply(token, res);
            }
        }
    }

    fn confirmed(&self, entry: &Entry, outcome: Outcome) -> Result<Reply, Refused> {
        match (entry, outcome) {
            (_, Err(Ignored::Fenced)) => Err(self.not_owner()),
            (_, Err(ignored)) => Err(Refused::Invalid(ignored)),
            (Entry::File(file), Ok(())) => self.file(&file.id, &file.tenant),
            (Entry::Job(spec), Ok(())) => self.view(&spec.id, None),
            (Entry::Cancel { job }, Ok(())) => self.view(job, None),
            (_, Ok(())) => Ok(Reply::Done),
        }
    }

    /// Follows what a record means for items that hosts run.
    fn track(&mut self, record: &Record, outcomes: &[Outcome]) {
        if self.held.is_none() {
            return;
        }
        let counted = record.entries.iter().zip(outcomes);
        for (entry, _) in counted.filter(|(_, outcome)| outcome.is_ok()) {
            match entry {
                Entry::Job(spec) => {
                    if let Some(job) = self.shard.jobs().get(&spec.id) {
                        self.queue.add(job);
                    }
                }
                Entry::Done { job, item, .. } | Entry::Failed { job, item, .. } => {
                    self.queue.settle(job, *item);
                }
                Entry::Attempt { job, item, .. } => self.after_attempt(job, *item),
                Entry::Snapshot { .. } => self.records_since_snapshot = 0,
                _ => {}
            }
        }
    }

    /// Fails what the holder before this one could not any more.
    fn fail_exhausted(&mut self, now: Now) {
        let max = self.cfg.attempts_max;
        let mut exhausted = Vec::new();
        for (id, job) in self.shard.jobs() {
            let items = (0..).zip(&job.items);
            let spent = items.filter(|(_, i)| i.phase == Phase::Pending && i.attempts >= max);
            exhausted.extend(spent.map(|(item, slot)| (id.clone(), item, slot.attempts)));
        }
        for (job, item, attempts) in exhausted {
            let failure = Failure::AttemptsExhausted { attempts };
            self.push(None, now.at, Entry::Failed { job, item, failure });
        }
    }

    fn after_attempt(&mut self, job: &str, item: ItemIndex) {
        let slot = self
            .shard
            .jobs()
            .get(job)
            .and_then(|j| j.items.get(item as usize));
        let Some(slot) = slot.filter(|i| i.phase == Phase::Pending) else {
            return;
        };
        let attempts = slot.attempts;
        if attempts < self.cfg.attempts_max {
            self.queue
                .give_back(self.shard.jobs(), (job.to_owned(), item));
            return;
        }
        let entry = Entry::Failed {
            job: job.to_owned(),
            item,
            failure: Failure::AttemptsExhausted { attempts },
        };
        self.push(None, self.heard_at, entry);
    }

    fn append_lost(&mut self, now: Now) {
        if let Some(outstanding) = &mut self.outstanding {
            outstanding.resend_at = Some(now.at + outstanding.pause);
            outstanding.pause = (outstanding.pause * 2).min(RESEND_MAX);
        }
    }

    fn resend(&mut self, now: Now) {
        let fenced = self.outstanding.as_ref().is_some_and(|o| self.is_void(o));
        if fenced {
            self.give_up_outstanding();
            return;
        }
        if let Some(outstanding) = &mut self.outstanding
            && outstanding.resend_at.is_some_and(|at| now.at >= at)
        {
            outstanding.resend_at = None;
            // The validity of the lease counts from the first sending, which
            // is the earliest moment at which the log can have taken it.
            let record = outstanding.record.clone();
            self.effects.push(Effect::Append(record));
        }
    }

    /// Returns whether a record cannot take effect any more.
    fn is_void(&self, outstanding: &Outstanding) -> bool {
        let epoch = outstanding.record.epoch;
        let current = self.shard.lease().map(|l| l.epoch);
        if epoch.is_some() {
            return current != epoch;
        }
        match outstanding.record.entries.first() {
            Some(Entry::Claim { supersedes, seen }) => {
                let last = self.shard.lease().map_or(0, |l| l.last);
                *supersedes != current || last > *seen
            }
            _ => true,
        }
    }

    fn give_up_outstanding(&mut self) {
        let refused = self.not_owner();
        if let Some(outstanding) = self.outstanding.take() {
            for token in outstanding.tokens.into_iter().flatten() {
                self.reply(token, Err(refused.clone()));
            }
        }
    }

    /// Answers commands that have waited too long for the log.
    fn answer_overdue(&mut self, now: Now) {
        let timeout = self.cfg.reply_timeout;
        let overdue = |since: Instant| now.at.duration_since(since) >= timeout;
        let mut late = Vec::new();
        self.pending.retain_mut(|pending| {
            let Some(token) = pending.token.filter(|_| overdue(pending.since)) else {
                return true;
            };
            late.push((token, Refused::LogDown));
            // Reports of hosts are kept: they cost work to make again.
            pending.token = None;
            is_report(&pending.entry)
        });
        if let Some(outstanding) = &mut self.outstanding
            && overdue(outstanding.first_sent)
        {
            let tokens = outstanding.tokens.iter_mut();
            late.extend(tokens.filter_map(|t| t.take().map(|t| (t, Refused::Unknown))));
        }
        for (token, refused) in late {
            self.reply(token, Err(refused));
        }
    }

    fn maybe_claim(&mut self, now: Now) {
        if !self.preferred || !self.caught_up || self.outstanding.is_some() {
            return;
        }
        let silent = now.at.duration_since(self.heard_at) >= self.cfg.lease;
        let (supersedes, seen) = match self.shard.lease() {
            Some(_) if !silent => return,
            Some(lease) => (Some(lease.epoch), lease.last),
            None => (None, 0),
        };
        let claim = Entry::Claim { supersedes, seen };
        self.send(now, None, vec![None], vec![claim]);
    }

    fn maybe_release(&mut self, now: Now) {
        let settled = now.at.duration_since(self.held_since) >= self.cfg.grace;
        let quiet = self.outstanding.is_none() && self.pending.is_empty();
        if settled && quiet {
            self.push(None, now.at, Entry::Release);
        }
    }

    fn flush(&mut self, now: Now) {
        let Some(epoch) = self.held else {
            return;
        };
        if self.outstanding.is_some() {
            return;
        }
        let last_sent = self.last_sent;
        let due = |pause| last_sent.is_none_or(|at| now.at.duration_since(at) >= pause);
        if self.pending.is_empty() && due(self.cfg.renew) {
            self.push(None, now.at, Entry::Renew);
        }
        if self.pending.is_empty() || !due(self.cfg.commit.max(self.pace)) {
            return;
        }
        let count = self.pending.len().min(ENTRIES_MAX);
        let batch: Vec<Pending> = self.pending.drain(..count).collect();
        let tokens = batch.iter().map(|p| p.token).collect();
        let entries = batch.into_iter().map(|p| p.entry).collect();
        self.send(now, Some(epoch), tokens, entries);
    }

    fn send(
        &mut self,
        now: Now,
        epoch: Option<Epoch>,
        tokens: Vec<Option<Token>>,
        entries: Vec<Entry>,
    ) {
        debug_assert!(self.outstanding.is_none(), "One append at a time.");
        let record = Record {
            id: RecordId {
                host: self.cfg.host.clone(),
                incarnation: self.cfg.incarnation,
                seq: self.next_seq,
            },
            epoch,
            snapshot: self.shard.snapshot(),
            entries,
        };
        self.next_seq += 1;
        self.last_sent = Some(now.at);
        self.effects.push(Effect::Append(record.clone()));
        self.outstanding = Some(Outstanding {
            record,
            tokens,
            first_sent: now.at,
            resend_at: None,
            pause: RESEND_MIN,
        });
    }

    fn push(&mut self, token: Option<Token>, since: Instant, entry: Entry) {
        self.pending.push(Pending {
            token,
            since,
            entry,
        });
    }

    fn reply(&mut self, token: Token, res: Result<Reply, Refused>) {
        self.effects.push(Effect::Reply { token, res });
    }

    fn not_owner(&self) -> Refused {
        let lease = self.shard.lease();
        let holder = lease
            .map(|l| l.holder.clone())
            .filter(|holder| *holder != self.cfg.host);
        Refused::NotOwner { holder }
    }

    fn ask(&mut self, now: Now, token: Token, command: Command) {
        if self.held.is_none() {
            let refused = self.not_owner();
            self.reply(token, Err(refused));
            return;
        }
        match self.answer(now, command) {
            Answered::Now(res) => self.reply(token, res),
            Answered::After(entry) => {
                if self.log_down(now) && !is_report(&entry) {
                    self.reply(token, Err(Refused::LogDown));
                    return;
                }
                self.push(Some(token), now.at, entry);
                self.flush(now);
            }
        }
    }

    /// Returns whether the lease has lapsed for want of a confirmed append.
    ///
    /// Nobody else can have taken the shard through the log in an outage, but
    /// this host cannot tell an outage from being cut off.
    fn log_down(&self, now: Now) -> bool {
        let late = |o: &Outstanding| now.at.duration_since(o.first_sent) >= self.cfg.reply_timeout;
        now.at >= self.valid_until || self.outstanding.as_ref().is_some_and(late)
    }

    fn answer(&mut self, now: Now, command: Command) -> Answered {
        match command {
            Command::PutFile(file) => Answered::After(Entry::File(file)),
            Command::GetFile { file, tenant } => Answered::Now(self.file(&file, &tenant)),
            Command::CreateJob(spec) => {
                if self.shard.jobs().contains_key(&spec.id) {
                    return Answered::Now(self.view(&spec.id, Some(&spec.tenant)));
                }
                Answered::After(Entry::Job(spec))
            }
            Command::GetJob { job, tenant } => Answered::Now(self.view(&job, tenant.as_deref())),
            Command::ListJobs { tenant } => Answered::Now(Ok(self.list(tenant.as_deref()))),
            Command::CancelJob { job, tenant } => self.cancel(job, tenant.as_deref()),
            Command::Answers {
                job,
                tenant,
                from,
                max,
            } => Answered::Now(self.answers(&job, &tenant, from, max)),
            Command::Take {
                serving,
                max,
                host,
                incarnation,
            } => Answered::Now(self.take(now, &serving, max, (&host, incarnation))),
            Command::Running {
                items,
                host,
                incarnation,
            } => {
                for key in items {
                    self.queue.mark_running(key, (&host, incarnation), now.at);
                }
                Answered::Now(Ok(Reply::Done))
            }
            Command::Settle { job, item, verdict } => self.settle(job, item, verdict),
            Command::Return { items } => {
                for key in items {
                    self.queue.give_back(self.shard.jobs(), key);
                }
                Answered::Now(Ok(Reply::Done))
            }
            Command::KeyStart { key, digest } => self.start_key(now, key, digest),
            Command::KeyEnd { key, place } => Answered::After(Entry::KeyEnd { key, place }),
            Command::KeyUnsent { key } => Answered::After(Entry::KeyUnsent { key }),
        }
    }

    fn file(&self, file: &str, tenant: &str) -> Result<Reply, Refused> {
        self.shard
            .files()
            .get(file)
            .filter(|f| f.tenant == tenant)
            .map(|f| Reply::File(f.clone()))
            .ok_or(Refused::Invalid(Ignored::Unknown))
    }

    fn job(&self, job: &str, tenant: Option<&str>) -> Result<&Job, Refused> {
        self.shard
            .jobs()
            .get(job)
            .filter(|j| tenant.is_none_or(|t| t == j.spec.tenant))
            .ok_or(Refused::Invalid(Ignored::Unknown))
    }

    fn view(&self, job: &str, tenant: Option<&str>) -> Result<Reply, Refused> {
        let job = self.job(job, tenant)?;
        Ok(Reply::Job(Box::new(View::of(job))))
    }

    fn list(&self, tenant: Option<&str>) -> Reply {
        let wanted = |j: &&Job| tenant.is_none_or(|t| t == j.spec.tenant);
        Reply::Jobs(
            self.shard
                .jobs()
                .values()
                .filter(wanted)
                .map(View::of)
                .collect(),
        )
    }

    fn cancel(&self, job: JobId, tenant: Option<&str>) -> Answered {
        match self.job(&job, tenant) {
            Err(refused) => Answered::Now(Err(refused)),
            Ok(found) if found.state() != State::InProgress => {
                Answered::Now(Ok(Reply::Job(Box::new(View::of(found)))))
            }
            Ok(_) => Answered::After(Entry::Cancel { job }),
        }
    }

    fn answers(
        &self,
        job: &str,
        tenant: &str,
        from: ItemIndex,
        max: u32,
    ) -> Result<Reply, Refused> {
        let job = self.job(job, Some(tenant))?;
        let upto = job.counts.total.min(from.saturating_add(max.max(1)));
        let answers = (from..upto)
            .filter_map(|item| Answer::of(job, item))
            .collect();
        let next = (upto < job.counts.total).then_some(upto);
        Ok(Reply::Answers { answers, next })
    }

    fn take(
        &mut self,
        now: Now,
        serving: &str,
        max: u32,
        host: (&HostId, Incarnation),
    ) -> Result<Reply, Refused> {
        if now.at >= self.valid_until {
            return Err(Refused::LogDown);
        }
        if now.at.duration_since(self.held_since) < self.cfg.grace {
            // Hosts still report what they run; handing it out would run it
            // twice for nothing.
            return Ok(Reply::Work(Vec::new()));
        }
        let jobs = self.shard.jobs();
        let works = self.queue.take(jobs, serving, max as usize, host, now.at);
        Ok(Reply::Work(works))
    }

    fn settle(&self, job: JobId, item: ItemIndex, verdict: Verdict) -> Answered {
        let known = match self.job(&job, None) {
            Err(refused) => return Answered::Now(Err(refused)),
            Ok(known) => known,
        };
        if known.cancelled {
            return Answered::Now(Err(Refused::Invalid(Ignored::Cancelled)));
        }
        Answered::After(match verdict {
            Verdict::Done(place) => Entry::Done { job, item, place },
            Verdict::Failed(failure) => Entry::Failed { job, item, failure },
            Verdict::TargetFailed { before } => Entry::Attempt { job, item, before },
        })
    }

    fn start_key(&self, now: Now, key: KeyId, digest: String) -> Answered {
        let at_unix_ms = now.unix_ms;
        match self.shard.keys().get(&key) {
            None => Answered::After(Entry::KeyStart {
                key,
                digest,
                at_unix_ms,
            }),
            Some(known) if known.digest != digest => {
                Answered::Now(Err(Refused::Invalid(Ignored::OtherBody)))
            }
            Some(known) => Answered::Now(
                known
                    .end
                    .map(Reply::Ended)
                    .ok_or(Refused::Invalid(Ignored::Started)),
            ),
        }
    }

    fn maybe_save(&mut self, now: Now) {
        let many = self.records_since_snapshot >= self.cfg.snapshot_records;
        let age_ms = now.unix_ms.saturating_sub(self.snapshot_unix_ms);
        let old = age_ms >= millis(self.cfg.carry_after) && self.records_since_snapshot > 0;
        if self.saving || !(many || old) {
            return;
        }
        self.saving = true;
        let upto = self.shard.next().saturating_sub(1);
        let bytes = self.shard.save();
        self.effects.push(Effect::Save { bytes, upto });
    }

    fn saved(&mut self, now: Now, parts: Vec<BlobId>, upto: Offset) {
        self.saving = false;
        if self.held.is_none() {
            return;
        }
        self.records_since_snapshot = 0;
        self.snapshot_unix_ms = now.unix_ms;
        self.push(None, now.at, Entry::Snapshot { parts, upto });
    }

    fn carried(&mut self, now: Now, job: JobId, blobs: Vec<(BlobId, BlobId)>) {
        self.saving = false;
        let at_unix_ms = now.unix_ms;
        let entry = Entry::Moved {
            job,
            blobs,
            at_unix_ms,
        };
        self.push(None, now.at, entry);
    }

    /// Drops what need not be kept and carries forward what must.
    fn drop_expired(&mut self, now: Now) {
        if self.outstanding.is_some() || !self.pending.is_empty() {
            return;
        }
        let age = |since_ms: u64| Duration::from_millis(now.unix_ms.saturating_sub(since_ms));
        let keep = self.cfg.readable;
        let carry = self.cfg.carry_after;
        let files = self.shard.files().values();
        let files = files
            .filter(|f| age(f.created_unix_ms) >= carry)
            .map(|f| Dropped::File(f.id.clone()));
        let keys = self.shard.keys().iter();
        let keys = keys
            .filter(|(_, key)| age(key.at_unix_ms) >= carry.min(keep))
            .map(|(id, _)| Dropped::Key(id.clone()));
        let jobs = self.shard.jobs().values();
        let jobs = jobs
            .filter(|j| j.state() != State::InProgress && age(j.spec.created_unix_ms) >= keep)
            .map(|j| Dropped::Job(j.spec.id.clone()));
        let dropped: Vec<Dropped> = files.chain(keys).chain(jobs).take(DROPS_MAX).collect();
        for what in dropped {
            self.push(None, now.at, Entry::Drop(what));
        }
        self.maybe_carry(now);
    }

    fn maybe_carry(&mut self, now: Now) {
        if self.saving {
            return;
        }
        let carry_ms = millis(self.cfg.carry_after);
        let old = |j: &&Job| now.unix_ms.saturating_sub(j.blobs_unix_ms) >= carry_ms;
        let Some(job) = self.shard.jobs().values().find(old) else {
            return;
        };
        let effect = Effect::Carry {
            job: job.spec.id.clone(),
            blobs: blobs_of(job),
        };
        self.saving = true;
        self.effects.push(effect);
    }
}

enum Answered {
    Now(Result<Reply, Refused>),
    After(Entry),
}

impl View {
    fn of(job: &Job) -> Self {
        Self {
            id: job.spec.id.clone(),
            tenant: job.spec.tenant.clone(),
            file: job.spec.file.clone(),
            endpoint: job.spec.manifest.endpoint.clone(),
            metadata: job.spec.metadata.clone(),
            created_unix_ms: job.spec.created_unix_ms,
            state: job.state(),
            counts: job.counts,
        }
    }
}

impl Answer {
    fn of(job: &Job, item: ItemIndex) -> Option<Self> {
        let slot = job.items.get(item as usize)?;
        let outcome = match slot.phase {
            Phase::Pending => return None,
            Phase::Done => Ok(slot.result),
            Phase::Failed => {
                let (_, failure) = job.failures.iter().find(|(i, _)| *i == item)?;
                Err(failure.clone())
            }
        };
        let payload = job.spec.manifest.place(item)?;
        Some(Self {
            item,
            payload,
            outcome,
        })
    }
}

/// Returns the blobs that a job refers to, each once.
fn blobs_of(job: &Job) -> Vec<BlobId> {
    let payloads = job.spec.manifest.chunks.iter().map(|c| c.blob);
    let done = job.items.iter().filter(|i| i.phase == Phase::Done);
    let results = done.map(|i| BlobId {
        stream: i.result.stream,
        offset: i.result.offset,
    });
    let all: std::collections::BTreeSet<(u16, Offset)> = payloads
        .chain(results)
        .map(|b| (b.stream, b.offset))
        .collect();
    all.into_iter()
        .map(|(stream, offset)| BlobId { stream, offset })
        .collect()
}

/// Returns whether an entry reports work that a host has done.
fn is_report(entry: &Entry) -> bool {
    matches!(
        entry,
        Entry::Done { .. } | Entry::Failed { .. } | Entry::Attempt { .. } | Entry::KeyEnd { .. }
    )
}

fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
