//! Jobs in one ordered stream that every host folds alike.
//!
//! A job is accepted, an item listed, a job ended or taken over by a record;
//! what counts is its place in the stream. The first of two that contradict
//! each other holds, so hosts agree without asking one another, and a record
//! that was appended twice counts once.
//!
//! ```
//! use notchwharf_ledger::jobs::{Accepted, Applied, ItemSpec, Jobs, Record};
//!
//! let mut jobs = Jobs::default();
//! let accepted = Accepted {
//!     job: "j1".into(), attempt: 1, host: "a1".into(), route: "r".into(),
//!     tokens_max: Some(100), submitted_unix_ms: 0,
//!     items: vec![ItemSpec { id: "i1".into(), tokens: 90 }], payload: vec![],
//! };
//! assert_eq!(jobs.apply(0, Record::Accepted(accepted.clone())), Applied::Accepted);
//! let more = Accepted { job: "j2".into(), attempt: 2, ..accepted };
//! assert_eq!(jobs.apply(1, Record::Accepted(more)), Applied::OverQuota { waiting: 90 });
//! ```
//!
//! [`crate::shard`] shards jobs among lease holders, which a log without
//! conditions and without lasting keys needs. Here the store orders all hosts'
//! appends and loses no newest record, so neither leases nor snapshots remain.

mod name;
mod record;
mod snapshot;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

pub use self::name::job_id;
pub use self::name::workspace_of;
pub use self::record::Accepted;
pub use self::record::Blob;
pub use self::record::ItemSpec;
pub use self::record::Outcome;
pub use self::record::Reason;
pub use self::record::Record;
pub use self::snapshot::Snapshot;

/// The name of a job, chosen by its caller.
pub type JobId = String;
/// The name of a host.
pub type HostId = String;
/// The number of one try to have a job accepted; unique in the fleet.
pub type AttemptId = u64;
/// A place in the stream.
pub type Offset = u64;

/// Tries that were refused and may still stand in the stream a second time.
/// Appends land seconds late at most, and refusals are rarer than one a
/// millisecond.
const REFUSED_MAX: usize = 4_096;

/// What a record did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The job was accepted by it, or by an earlier copy of it.
    Accepted,
    /// The job had been accepted before, by another try.
    Duplicate,
    /// The job does not fit the limit; it never runs by this try.
    OverQuota {
        /// Tokens of its workspace that wait on the route already.
        waiting: u64,
    },
    /// The host runs the job's items from now on.
    Taken,
    /// The item is listed by it.
    Listed,
    /// The job is ended.
    Ended,
    /// It changed nothing.
    Ignored(Ignored),
}

/// Why a record changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ignored {
    /// No such job was accepted.
    NoJob,
    /// Another host had taken over first.
    StaleEpoch,
    /// The item was listed before.
    AlreadyListed,
    /// The job has no such item.
    NoItem,
    /// The job had been ended before.
    AlreadyEnded,
}

/// An item that has ended, in the order in which items ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Its place in the caller's order.
    pub item: u32,
    /// How it ended.
    pub outcome: Outcome,
}

/// A job as the stream tells it.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its acceptance.
    pub accepted: Arc<Accepted>,
    /// The host that runs its items.
    pub owner: HostId,
    /// The host that ran them before; nothing if the owner took the job in.
    pub owner_before: Option<HostId>,
    /// The offset of the record by which the owner became it.
    pub epoch: Offset,
    /// Whether the caller ended it.
    pub is_ended: bool,
    /// Its items that have ended, each at its position for good.
    pub listed: Vec<Listed>,
    is_listed: Vec<bool>,
    waiting_tokens: u64,
}

impl Job {
    /// Returns whether items of the job are still to be run.
    pub fn is_open(&self) -> bool {
        !self.is_ended && self.listed.len() < self.accepted.items.len()
    }

    /// Returns whether an item has ended.
    pub fn is_listed(&self, item: u32) -> bool {
        self.is_listed.get(item as usize).copied().unwrap_or(true)
    }

    /// Returns the place of an item in the caller's order.
    pub fn item_index(&self, id: &str) -> Option<u32> {
        let place = self.accepted.items.iter().position(|item| item.id == id)?;
        u32::try_from(place).ok()
    }
}

/// What one limit on waiting tokens counts together: a workspace's items on a route.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Pool {
    workspace: Option<String>,
    route: String,
}

impl Pool {
    fn of(accepted: &Accepted) -> Self {
        Self {
            workspace: workspace_of(&accepted.job).map(str::to_owned),
            route: accepted.route.clone(),
        }
    }
}

/// The state that the stream's records lead to.
#[derive(Clone, Debug, Default)]
pub struct Jobs {
    jobs: HashMap<JobId, Job>,
    open: BTreeSet<JobId>,
    waiting: HashMap<Pool, u64>,
    refused: VecDeque<AttemptId>,
    end: Offset,
}

impl Jobs {
    /// Returns the offset that follows the last record applied.
    pub fn end(&self) -> Offset {
        self.end
    }

    /// Notes that the stream is known up to an offset, also where records
    /// before it are gone.
    pub fn advance(&mut self, end: Offset) {
        self.end = self.end.max(end);
    }

    /// Returns a job.
    pub fn get(&self, job: &str) -> Option<&Job> {
        self.jobs.get(job)
    }

    /// Returns all jobs.
    pub fn iter(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.jobs.iter()
    }

    /// Returns the jobs with items that are still to be run.
    pub fn open(&self) -> impl Iterator<Item = &Job> {
        self.open.iter().filter_map(|job| self.jobs.get(job))
    }

    /// Returns the tokens of items that wait on a route and belong to no workspace.
    pub fn waiting_tokens(&self, route: &str) -> u64 {
        self.waiting_tokens_of(None, route)
    }

    /// Returns the tokens of a workspace's items that wait on a route.
    pub fn waiting_tokens_of(&self, workspace: Option<&str>, route: &str) -> u64 {
        let pool = Pool {
            workspace: workspace.map(str::to_owned),
            route: route.to_owned(),
        };
        self.waiting_in(&pool)
    }

    fn waiting_in(&self, pool: &Pool) -> u64 {
        self.waiting.get(pool).copied().unwrap_or(0)
    }

    /// Forgets a job whose records were removed from the stream.
    pub fn remove_job(&mut self, job: &str) {
        self.open.remove(job);
        if let Some(job) = self.jobs.remove(job) {
            self.release(&Pool::of(&job.accepted), job.waiting_tokens);
        }
    }

    /// Applies the record at an offset.
    pub fn apply(&mut self, offset: Offset, record: Record) -> Applied {
        self.advance(offset + 1);
        match record {
            Record::Accepted(accepted) => self.accept(offset, accepted),
            Record::Taken { job, epoch, host } => self.take(offset, &job, epoch, host),
            Record::Listed { job, item, outcome } => self.list(&job, item, outcome),
            Record::Ended { job } => self.end_job(&job),
        }
    }

    fn accept(&mut self, offset: Offset, accepted: Accepted) -> Applied {
        if let Some(known) = self.jobs.get(&accepted.job) {
            if known.accepted.attempt == accepted.attempt {
                return Applied::Accepted;
            }
            return Applied::Duplicate;
        }
        let pool = Pool::of(&accepted);
        let waiting = self.waiting_in(&pool);
        if self.refused.contains(&accepted.attempt) {
            return Applied::OverQuota { waiting };
        }
        let tokens: u64 = accepted.items.iter().map(|i| u64::from(i.tokens)).sum();
        if accepted
            .tokens_max
            .is_some_and(|max| waiting + tokens > max)
        {
            self.refused.push_back(accepted.attempt);
            if self.refused.len() > REFUSED_MAX {
                self.refused.pop_front();
            }
            return Applied::OverQuota { waiting };
        }
        *self.waiting.entry(pool).or_default() += tokens;
        let job = Job {
            owner: accepted.host.clone(),
            owner_before: None,
            epoch: offset,
            is_ended: false,
            listed: Vec::new(),
            is_listed: vec![false; accepted.items.len()],
            waiting_tokens: tokens,
            accepted: Arc::new(accepted),
        };
        let id = job.accepted.job.clone();
        if job.is_open() {
            self.open.insert(id.clone());
        }
        self.jobs.insert(id, job);
        Applied::Accepted
    }

    fn take(&mut self, offset: Offset, job: &str, epoch: Offset, host: HostId) -> Applied {
        let Some(job) = self.jobs.get_mut(job) else {
            return Applied::Ignored(Ignored::NoJob);
        };
        if job.epoch != epoch {
            return Applied::Ignored(Ignored::StaleEpoch);
        }
        job.owner_before = Some(std::mem::replace(&mut job.owner, host));
        job.epoch = offset;
        Applied::Taken
    }

    fn list(&mut self, job: &str, item: u32, outcome: Outcome) -> Applied {
        let Some(job) = self.jobs.get_mut(job) else {
            return Applied::Ignored(Ignored::NoJob);
        };
        let place = item as usize;
        let Some(is_listed) = job.is_listed.get_mut(place) else {
            return Applied::Ignored(Ignored::NoItem);
        };
        if std::mem::replace(is_listed, true) {
            return Applied::Ignored(Ignored::AlreadyListed);
        }
        job.listed.push(Listed { item, outcome });
        let tokens = u64::from(job.accepted.items[place].tokens);
        let tokens = tokens.min(job.waiting_tokens);
        job.waiting_tokens -= tokens;
        let pool = Pool::of(&job.accepted);
        if !job.is_open() {
            self.open.remove(&job.accepted.job);
        }
        self.release(&pool, tokens);
        Applied::Listed
    }

    fn end_job(&mut self, job: &str) -> Applied {
        let Some(job) = self.jobs.get_mut(job) else {
            return Applied::Ignored(Ignored::NoJob);
        };
        if std::mem::replace(&mut job.is_ended, true) {
            return Applied::Ignored(Ignored::AlreadyEnded);
        }
        let tokens = std::mem::take(&mut job.waiting_tokens);
        let pool = Pool::of(&job.accepted);
        self.open.remove(&job.accepted.job);
        self.release(&pool, tokens);
        Applied::Ended
    }

    fn release(&mut self, pool: &Pool, tokens: u64) {
        if let Some(waiting) = self.waiting.get_mut(pool) {
            debug_assert!(*waiting >= tokens, "Only what waits is released.");
            *waiting = waiting.saturating_sub(tokens);
        }
    }
}
