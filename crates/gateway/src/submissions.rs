//! Numbers of the submissions of this process.
//!
//! A host must know whether it is the process that accepted a job: only then has nobody run the
//! job's items before. The position in the log does not tell, since a host that restarts may load the
//! records from a peer that has not yet read those of the host's own jobs.

use std::collections::HashSet;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use notchwharf_ledger::jobs::AttemptId;

use crate::sync::lock;

/// Gives numbers to submissions. The upper half of a number identifies the process.
#[derive(Debug)]
pub(crate) struct Submissions {
    process: u32,
    next: AtomicU32,
    /// Submissions of this process whose items it has loaded.
    loaded: Mutex<HashSet<AttemptId>>,
}

impl Submissions {
    pub(crate) fn new() -> Self {
        Self {
            process: rand::random(),
            next: AtomicU32::new(0),
            loaded: Mutex::default(),
        }
    }

    /// Returns the number of a new submission.
    pub(crate) fn next_id(&self) -> AttemptId {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        AttemptId::from(self.process) << u32::BITS | AttemptId::from(number)
    }

    /// Records that the items of a submission are loaded; returns whether this process made the
    /// submission and loads them for the first time. It loads them again if it has lost the job
    /// records and got them anew.
    pub(crate) fn is_first_load(&self, id: AttemptId) -> bool {
        let is_own = id >> u32::BITS == AttemptId::from(self.process);
        is_own && lock(&self.loaded).insert(id)
    }
}
