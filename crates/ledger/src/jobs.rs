//! Jobs in one totally ordered stream, which every host folds to the same state.
//!
//! Accepting a job, listing the outcome of an item, ending a job and taking it over are
//! records, and their order in the stream decides conflicts: the first of two conflicting
//! records takes effect. Hosts therefore agree without exchanging messages, and a record that
//! was appended twice takes effect once.
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
//! let second = Accepted { job: "j2".into(), attempt: 2, ..accepted };
//! assert_eq!(jobs.apply(1, Record::Accepted(second)), Applied::OverQuota { waiting: 90 });
//! ```
//!
//! [`crate::shard`] instead distributes jobs over shards with leases, which is necessary for
//! a log without conditional appends and permanent keys. Here the store orders the appends
//! of all hosts and always retains the newest record of a key, so neither leases nor
//! snapshots in the log are needed.

mod name;
mod record;
mod runs;
mod snapshot;

use std::collections::BTreeMap;
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
pub use self::runs::Attempts;
pub use self::runs::Report;
pub use self::runs::RunId;
pub use self::runs::Runs;
pub use self::runs::Step;
pub use self::snapshot::Snapshot;
pub use self::snapshot::SnapshotError;

/// The name of a job: the name chosen by its caller, prefixed with the workspace if it has one.
pub type JobId = String;
/// The name of a host.
pub type HostId = String;
/// The number of one attempt to submit a job; unique in the fleet.
pub type AttemptId = u64;
/// A position in the stream.
pub type Offset = u64;

/// Number of refused attempts that are remembered, because a duplicate of their record may
/// still follow in the stream. Duplicates arrive at most seconds later, and refusals are
/// rarer than one per millisecond.
const REFUSED_ATTEMPTS_MAX: usize = 4_096;

/// The effect of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The job was accepted by this record or by an earlier copy of it.
    Accepted,
    /// The job had already been accepted by another submission attempt.
    Duplicate,
    /// The job exceeds the limit on waiting tokens; this submission attempt never takes
    /// effect, even if its record is appended again.
    OverQuota {
        /// The workspace's tokens already waiting on the route.
        waiting: u64,
    },
    /// The host now owns the job and runs its items.
    Taken,
    /// The item's outcome was appended to the job's list.
    Listed,
    /// The job was ended.
    Ended,
    /// The item's runs after the report.
    Reported(Runs),
    /// The record had no effect.
    Ignored(Ignored),
}

/// The reason why a record had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ignored {
    /// No job with this name was accepted.
    NoJob,
    /// Another host had already taken the job over.
    StaleEpoch,
    /// The item had already been listed.
    AlreadyListed,
    /// The job has no item with this index.
    NoItem,
    /// The job had already been ended.
    AlreadyEnded,
}

/// An item with its final outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// The item's index in the caller's order.
    pub item: u32,
    /// The outcome.
    pub outcome: Outcome,
}

/// The state of a job.
#[derive(Clone, Debug)]
pub struct Job {
    /// The record that accepted the job.
    pub accepted: Arc<Accepted>,
    /// The host that runs the job's items.
    pub owner: HostId,
    /// The previous owner; `None` if the owner accepted the job.
    pub owner_before: Option<HostId>,
    /// The offset of the record by which the owner became the owner.
    pub epoch: Offset,
    /// Whether the caller ended the job.
    pub is_ended: bool,
    /// The items with a final outcome, in the order in which they were listed. Positions in
    /// this list never change.
    pub listed: Vec<Listed>,
    is_listed: Vec<bool>,
    waiting_tokens: u64,
    /// The runs of the items that an owner has reported.
    runs: BTreeMap<u32, Runs>,
    admissions: Admissions,
}

/// The admissions of a job's items by record. Copies of their records may follow in the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Admissions {
    counted: BTreeSet<(u32, RunId)>,
    withdrawn: BTreeSet<(u32, RunId)>,
}

impl Admissions {
    fn is_empty(&self) -> bool {
        self.counted.is_empty() && self.withdrawn.is_empty()
    }

    /// Counts an admission; returns whether it is new.
    fn count(&mut self, item: u32, run: RunId) -> bool {
        !self.withdrawn.contains(&(item, run)) && self.counted.insert((item, run))
    }

    /// Withdraws an admission; returns whether it had been counted.
    fn withdraw(&mut self, item: u32, run: RunId) -> bool {
        self.withdrawn.insert((item, run)) && self.counted.remove(&(item, run))
    }

    /// Removes those of an item that has a final outcome.
    fn remove(&mut self, item: u32) {
        self.counted.retain(|(number, _)| *number != item);
        self.withdrawn.retain(|(number, _)| *number != item);
    }
}

impl Job {
    /// Returns whether the job has items that are still to be run.
    pub fn is_open(&self) -> bool {
        !self.is_ended && self.listed.len() < self.accepted.items.len()
    }

    /// Returns whether a host runs the job's items since an epoch.
    pub fn is_run_by(&self, host: &str, epoch: Offset) -> bool {
        self.is_open() && self.owner == host && self.epoch == epoch
    }

    /// Returns whether an item has a final outcome; true for an index outside of the job's
    /// items.
    pub fn is_listed(&self, item: u32) -> bool {
        self.is_listed.get(item as usize).copied().unwrap_or(true)
    }

    /// Returns the runs of an item according to the log.
    pub fn runs(&self, item: u32) -> Runs {
        self.runs.get(&item).copied().unwrap_or_default()
    }

    /// Returns the index of an item in the caller's order.
    pub fn item_index(&self, id: &str) -> Option<u32> {
        let index = self.accepted.items.iter().position(|item| item.id == id)?;
        u32::try_from(index).ok()
    }
}

/// The scope of a limit on waiting tokens: the items of a workspace on a route.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct QuotaScope {
    workspace: Option<String>,
    route: String,
}

impl QuotaScope {
    fn of(accepted: &Accepted) -> Self {
        Self {
            workspace: workspace_of(&accepted.job).map(str::to_owned),
            route: accepted.route.clone(),
        }
    }
}

/// The state of all jobs, folded from the records of the stream.
#[derive(Clone, Debug, Default)]
pub struct Jobs {
    jobs: HashMap<JobId, Job>,
    open: BTreeSet<JobId>,
    waiting: HashMap<QuotaScope, u64>,
    refused_attempts: VecDeque<AttemptId>,
    end: Offset,
}

impl Jobs {
    /// Returns the offset that follows the last record that was applied or skipped.
    pub fn end(&self) -> Offset {
        self.end
    }

    /// Records that the stream was read up to an offset, even if earlier records are no longer
    /// retained.
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

    /// Returns the jobs that have items still to be run, sorted by name.
    pub fn open(&self) -> impl Iterator<Item = &Job> {
        self.open.iter().filter_map(|job| self.jobs.get(job))
    }

    /// Returns the number of tokens of items that wait on a route and belong to no workspace.
    pub fn waiting_tokens(&self, route: &str) -> u64 {
        self.waiting_tokens_of(None, route)
    }

    /// Returns the number of tokens of a workspace's items that wait on a route; `None` selects
    /// the items that belong to no workspace.
    pub fn waiting_tokens_of(&self, workspace: Option<&str>, route: &str) -> u64 {
        let scope = QuotaScope {
            workspace: workspace.map(str::to_owned),
            route: route.to_owned(),
        };
        self.waiting_tokens_in(&scope)
    }

    fn waiting_tokens_in(&self, scope: &QuotaScope) -> u64 {
        self.waiting.get(scope).copied().unwrap_or(0)
    }

    /// Removes a job whose records were removed from the stream.
    pub fn remove_job(&mut self, job: &str) {
        self.open.remove(job);
        if let Some(job) = self.jobs.remove(job) {
            self.release(&QuotaScope::of(&job.accepted), job.waiting_tokens);
        }
    }

    /// Applies the record at an offset.
    pub fn apply(&mut self, offset: Offset, record: Record) -> Applied {
        self.advance(offset + 1);
        match record {
            Record::Accepted(accepted) => self.accept(offset, accepted),
            Record::Taken { job, epoch, host } => self.take_over(offset, &job, epoch, host),
            Record::Listed { job, item, outcome } => self.list_item(&job, item, outcome),
            Record::Ended { job } => self.end_job(&job),
            Record::Reported {
                job,
                item,
                epoch,
                report,
            } => self.report_runs(&job, item, epoch, &report),
            Record::Withdrawn { job, item, run } => self.withdraw_run(&job, item, run),
        }
    }

    fn accept(&mut self, offset: Offset, accepted: Accepted) -> Applied {
        if let Some(known) = self.jobs.get(&accepted.job) {
            if known.accepted.attempt == accepted.attempt {
                return Applied::Accepted;
            }
            return Applied::Duplicate;
        }
        let scope = QuotaScope::of(&accepted);
        let waiting = self.waiting_tokens_in(&scope);
        if self.refused_attempts.contains(&accepted.attempt) {
            return Applied::OverQuota { waiting };
        }
        let tokens: u64 = accepted.items.iter().map(|i| u64::from(i.tokens)).sum();
        if accepted
            .tokens_max
            .is_some_and(|max| waiting + tokens > max)
        {
            self.refused_attempts.push_back(accepted.attempt);
            if self.refused_attempts.len() > REFUSED_ATTEMPTS_MAX {
                self.refused_attempts.pop_front();
            }
            return Applied::OverQuota { waiting };
        }
        *self.waiting.entry(scope).or_default() += tokens;
        let job = Job {
            owner: accepted.host.clone(),
            owner_before: None,
            epoch: offset,
            is_ended: false,
            listed: Vec::new(),
            is_listed: vec![false; accepted.items.len()],
            waiting_tokens: tokens,
            runs: BTreeMap::new(),
            admissions: Admissions::default(),
            accepted: Arc::new(accepted),
        };
        let id = job.accepted.job.clone();
        if job.is_open() {
            self.open.insert(id.clone());
        }
        self.jobs.insert(id, job);
        Applied::Accepted
    }

    fn take_over(&mut self, offset: Offset, job: &str, epoch: Offset, host: HostId) -> Applied {
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

    fn list_item(&mut self, job: &str, item: u32, outcome: Outcome) -> Applied {
        let Some(job) = self.jobs.get_mut(job) else {
            return Applied::Ignored(Ignored::NoJob);
        };
        let index = item as usize;
        let Some(is_listed) = job.is_listed.get_mut(index) else {
            return Applied::Ignored(Ignored::NoItem);
        };
        if std::mem::replace(is_listed, true) {
            return Applied::Ignored(Ignored::AlreadyListed);
        }
        job.listed.push(Listed { item, outcome });
        job.runs.remove(&item);
        job.admissions.remove(item);
        let tokens = u64::from(job.accepted.items[index].tokens);
        let tokens = tokens.min(job.waiting_tokens);
        job.waiting_tokens -= tokens;
        let scope = QuotaScope::of(&job.accepted);
        if !job.is_open() {
            self.open.remove(&job.accepted.job);
        }
        self.release(&scope, tokens);
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
        let scope = QuotaScope::of(&job.accepted);
        self.open.remove(&job.accepted.job);
        self.release(&scope, tokens);
        Applied::Ended
    }

    fn report_runs(&mut self, job: &str, item: u32, epoch: Offset, report: &Report) -> Applied {
        let job = match self.job_with_open_item(job, item) {
            Ok(job) => job,
            Err(reason) => return Applied::Ignored(reason),
        };
        let is_stale = job.epoch != epoch;
        // A host that was replaced is admitted to no run, but knows what its earlier ones came to.
        let is_empty = report.failed == 0 && !report.is_answered;
        if is_stale && is_empty {
            return Applied::Ignored(Ignored::StaleEpoch);
        }
        let runs = job.runs.entry(item).or_default();
        runs.learn(report);
        if is_stale {
            return Applied::Ignored(Ignored::StaleEpoch);
        }
        if let Some(run) = report.begins
            && job.admissions.count(item, run)
        {
            runs.admit(run);
        }
        Applied::Reported(*runs)
    }

    fn withdraw_run(&mut self, job: &str, item: u32, run: RunId) -> Applied {
        let job = match self.job_with_open_item(job, item) {
            Ok(job) => job,
            Err(reason) => return Applied::Ignored(reason),
        };
        let is_counted = job.admissions.withdraw(item, run);
        let runs = job.runs.entry(item).or_default();
        if is_counted {
            runs.withdraw();
        }
        Applied::Reported(*runs)
    }

    /// Returns the job of an item that has no final outcome.
    fn job_with_open_item(&mut self, job: &str, item: u32) -> Result<&mut Job, Ignored> {
        let job = self.jobs.get_mut(job).ok_or(Ignored::NoJob)?;
        if item as usize >= job.accepted.items.len() {
            return Err(Ignored::NoItem);
        }
        match job.is_listed(item) {
            true => Err(Ignored::AlreadyListed),
            false => Ok(job),
        }
    }

    /// Subtracts tokens that no longer wait.
    fn release(&mut self, scope: &QuotaScope, tokens: u64) {
        if let Some(waiting) = self.waiting.get_mut(scope) {
            debug_assert!(*waiting >= tokens, "Only waiting tokens are released.");
            *waiting = waiting.saturating_sub(tokens);
        }
    }
}
