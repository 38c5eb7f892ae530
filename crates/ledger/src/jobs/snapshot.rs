//! Snapshots of the complete state, from which a starting host initializes its own.
//!
//! Hundreds of hosts that start at the same time cannot all read the whole stream; a host
//! that has already applied it sends its state to the others. Derived state is omitted and
//! recomputed by the receiver. The runs of items follow the rest, and their admissions follow the
//! runs: hosts of earlier builds read a snapshot without them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::Accepted;
use super::Admissions;
use super::AttemptId;
use super::HostId;
use super::Job;
use super::JobId;
use super::Jobs;
use super::Listed;
use super::Offset;
use super::QuotaScope;
use super::Runs;

/// The state after all records of the stream up to an offset.
///
/// ```
/// use notchwharf_ledger::jobs::{Jobs, Record};
///
/// let mut jobs = Jobs::default();
/// jobs.apply(6, Record::Ended { job: "j1".into() });
/// assert_eq!(Jobs::restore(jobs.snapshot()).end(), 7);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    jobs: Vec<JobState>,
    refused: Vec<AttemptId>,
    end: Offset,
    #[serde(skip)]
    runs: RunsByJob,
    #[serde(skip)]
    admissions: BTreeMap<JobId, Admissions>,
}

/// The runs of items that owners have reported.
type RunsByJob = BTreeMap<JobId, BTreeMap<u32, Runs>>;

/// The reason why a snapshot can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// The bytes are not a valid encoding.
    Malformed,
    /// A host of an earlier build sent it, which does not know the runs of items. A host that
    /// starts from it would count them from the beginning.
    WithoutRuns,
}

impl std::fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Malformed => f.write_str("the snapshot is malformed"),
            Self::WithoutRuns => f.write_str("the snapshot lacks the runs of items"),
        }
    }
}

impl std::error::Error for SnapshotError {}

impl Snapshot {
    /// Encodes the snapshot.
    ///
    /// # Panics
    ///
    /// Never: the codec can represent every value of this type.
    pub fn encode(&self) -> Vec<u8> {
        let bytes = postcard::to_stdvec(self).expect("Snapshots can always be encoded.");
        let bytes = postcard::to_extend(&self.runs, bytes).expect("Runs can always be encoded.");
        postcard::to_extend(&self.admissions, bytes).expect("Admissions can always be encoded.")
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid encoding, or were encoded by an earlier build.
    pub fn decode(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let (snapshot, rest): (Self, _) =
            postcard::take_from_bytes(bytes).map_err(|_| SnapshotError::Malformed)?;
        if rest.is_empty() {
            return Err(SnapshotError::WithoutRuns);
        }
        let (runs, rest) = postcard::take_from_bytes(rest).map_err(|_| SnapshotError::Malformed)?;
        // Without them copies of earlier admissions count again, which is safe.
        let admissions = match rest.is_empty() {
            true => BTreeMap::new(),
            false => postcard::from_bytes(rest).map_err(|_| SnapshotError::Malformed)?,
        };
        Ok(Self {
            runs,
            admissions,
            ..snapshot
        })
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct JobState {
    accepted: Accepted,
    owner: HostId,
    owner_before: Option<HostId>,
    epoch: Offset,
    ended: bool,
    listed: Vec<Listed>,
}

impl Jobs {
    /// Returns a snapshot of the state, with the jobs sorted by name.
    pub fn snapshot(&self) -> Snapshot {
        let mut jobs: Vec<JobState> = self.jobs.values().map(JobState::of).collect();
        jobs.sort_by(|a, b| a.accepted.job.cmp(&b.accepted.job));
        let reported = self.jobs.iter().filter(|(_, job)| !job.runs.is_empty());
        let runs = reported.map(|(id, job)| (id.clone(), job.runs.clone()));
        let admitted = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.admissions.is_empty());
        let admissions = admitted.map(|(id, job)| (id.clone(), job.admissions.clone()));
        Snapshot {
            jobs,
            refused: self.refused_attempts.iter().copied().collect(),
            end: self.end,
            runs: runs.collect(),
            admissions: admissions.collect(),
        }
    }

    /// Returns the state from which a snapshot was taken.
    pub fn restore(mut snapshot: Snapshot) -> Self {
        let mut waiting: HashMap<QuotaScope, u64> = HashMap::new();
        let mut open = BTreeSet::new();
        let mut jobs = HashMap::new();
        for state in snapshot.jobs {
            let runs = snapshot.runs.remove(&state.accepted.job);
            let admissions = snapshot.admissions.remove(&state.accepted.job);
            let job = Job {
                admissions: admissions.unwrap_or_default(),
                ..state.restore(runs.unwrap_or_default())
            };
            *waiting.entry(QuotaScope::of(&job.accepted)).or_default() += job.waiting_tokens;
            if job.is_open() {
                open.insert(job.accepted.job.clone());
            }
            jobs.insert(job.accepted.job.clone(), job);
        }
        Self {
            jobs,
            open,
            waiting,
            refused_attempts: snapshot.refused.into(),
            end: snapshot.end,
        }
    }
}

impl JobState {
    fn of(job: &Job) -> Self {
        Self {
            accepted: Accepted::clone(&job.accepted),
            owner: job.owner.clone(),
            owner_before: job.owner_before.clone(),
            epoch: job.epoch,
            ended: job.is_ended,
            listed: job.listed.clone(),
        }
    }

    fn restore(self, runs: BTreeMap<u32, Runs>) -> Job {
        let items = &self.accepted.items;
        let mut is_listed = vec![false; items.len()];
        for listed in &self.listed {
            // An index outside of the job's items has no tokens to count.
            if let Some(is_item_listed) = is_listed.get_mut(listed.item as usize) {
                *is_item_listed = true;
            }
        }
        let open_items = items.iter().zip(&is_listed);
        let open_items = open_items.filter(|(_, is_listed)| !**is_listed && !self.ended);
        let waiting_tokens = open_items.map(|(item, _)| u64::from(item.tokens)).sum();
        Job {
            owner: self.owner,
            owner_before: self.owner_before,
            epoch: self.epoch,
            is_ended: self.ended,
            listed: self.listed,
            is_listed,
            waiting_tokens,
            runs,
            admissions: Admissions::default(),
            accepted: Arc::new(self.accepted),
        }
    }
}
