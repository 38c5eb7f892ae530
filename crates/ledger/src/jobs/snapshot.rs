//! The whole state of the fold, for a host that starts.
//!
//! Hundreds of hosts that start together cannot all list the stream; one that has
//! folded it hands its state on. What can be worked out again is left out.

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
use super::Pool;

/// The state that the stream's records up to an offset lead to.
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
    /// Returns the whole state, the jobs in the order of their names.
    pub fn snapshot(&self) -> Snapshot {
        let mut jobs: Vec<JobState> = self.jobs.values().map(JobState::of).collect();
        jobs.sort_by(|a, b| a.accepted.job.cmp(&b.accepted.job));
        Snapshot {
            jobs,
            refused: self.refused.iter().copied().collect(),
            end: self.end,
        }
    }

    /// Returns the state that a snapshot was made of.
    pub fn restore(snapshot: Snapshot) -> Self {
        let mut waiting: HashMap<Pool, u64> = HashMap::new();
        let mut open = BTreeSet::new();
        let mut jobs = HashMap::new();
        for state in snapshot.jobs {
            let job = state.restore();
            *waiting.entry(Pool::of(&job.accepted)).or_default() += job.waiting_tokens;
            if job.is_open() {
                open.insert(job.accepted.job.clone());
            }
            jobs.insert(job.accepted.job.clone(), job);
        }
        Self {
            jobs,
            open,
            waiting,
            refused: snapshot.refused.into(),
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
            // One that the job has not got is none that anybody waits for.
            if let Some(item) = is_listed.get_mut(listed.item as usize) {
                *item = true;
            }
        }
        let open = items.iter().zip(&is_listed);
        let open = open.filter(|(_, is_listed)| !**is_listed && !self.ended);
        let waiting_tokens = open.map(|(item, _)| u64::from(item.tokens)).sum();
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
