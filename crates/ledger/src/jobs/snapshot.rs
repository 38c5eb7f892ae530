//! Snapshots of the complete state, from which a starting host initializes its own.
//!
//! Hundreds of hosts that start at the same time cannot all read the whole stream; a host
//! that has already applied it sends its state to the others. Derived state is omitted and
//! recomputed by the receiver.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::Accepted;
use super::AttemptId;
use super::HostId;
use super::Job;
use super::Jobs;
use super::Listed;
use super::Offset;
use super::QuotaScope;

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
        Snapshot {
            jobs,
            refused: self.refused_attempts.iter().copied().collect(),
            end: self.end,
        }
    }

    /// Returns the state from which a snapshot was taken.
    pub fn restore(snapshot: Snapshot) -> Self {
        let mut waiting: HashMap<QuotaScope, u64> = HashMap::new();
        let mut open = BTreeSet::new();
        let mut jobs = HashMap::new();
        for state in snapshot.jobs {
            let job = state.restore();
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

    fn restore(self) -> Job {
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
            accepted: Arc::new(self.accepted),
        }
    }
}
