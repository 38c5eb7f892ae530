//! Targets that have said that they leave.
//!
//! A target leaves once. An entry that says otherwise, for the same start of the target, was written
//! before and carried out later: a heartbeat that was under way when the target wrote that it leaves, or
//! a call without an answer that the store executes seconds later. Such an entry counts as one of a
//! leaving target, also if the entry was removed in between. Only a new start ends that.
//!
//! Using the number of an entry's heartbeat was rejected: the platform does not say that it increases over
//! all writes of a target. Waiting for a second entry that says the same was rejected too: until a
//! heartbeat has passed nobody could use a target that starts again under its name.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use crate::balancer::Spec;
use crate::balancer::TargetId;

/// Maximum number of starts that are remembered: those that leave a large fleet in several releases.
const DEPARTED_MAX: usize = 8_192;

/// When a target started, in milliseconds of Unix time, if it says so.
type StartedUnixMs = Option<u64>;

/// The starts of targets that have said that they leave.
#[derive(Clone, Debug, Default)]
pub(super) struct Departed {
    starts: HashMap<TargetId, BTreeSet<StartedUnixMs>>,
    /// The same in the order in which they were added.
    order: VecDeque<(TargetId, StartedUnixMs)>,
    /// Number of entries that said that a target which leaves is ready.
    late_entries: u64,
}

impl Departed {
    pub(super) fn late_entries(&self) -> u64 {
        self.late_entries
    }

    /// Returns the description of a target as it counts, and remembers that the target leaves.
    pub(super) fn apply(&mut self, id: &str, spec: Spec) -> Spec {
        let starts = self.starts.get(id);
        if starts.is_some_and(|starts| starts.contains(&spec.started_unix_ms)) {
            self.late_entries += u64::from(!spec.is_leaving);
            return Spec {
                is_leaving: true,
                ..spec
            };
        }
        if spec.is_leaving {
            self.add(id, spec.started_unix_ms);
        }
        spec
    }

    /// Returns the starts that have said that they leave.
    pub(super) fn starts(&self) -> impl Iterator<Item = &(TargetId, StartedUnixMs)> {
        self.order.iter()
    }

    /// Remembers a start that has said that it leaves.
    pub(super) fn add(&mut self, id: &str, start: StartedUnixMs) {
        if !self.starts.entry(id.to_owned()).or_default().insert(start) {
            return;
        }
        self.order.push_back((id.to_owned(), start));
        if self.order.len() <= DEPARTED_MAX {
            return;
        }
        let Some((id, start)) = self.order.pop_front() else {
            return;
        };
        if let Some(starts) = self.starts.get_mut(&id) {
            starts.remove(&start);
            if starts.is_empty() {
                self.starts.remove(&id);
            }
        }
    }
}
