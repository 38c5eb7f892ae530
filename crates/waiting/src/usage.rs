//! How many places each workspace holds, over the hosts that tell one another.
//!
//! Places held were chosen as what is shared out: callers take places from each other for
//! as long as their requests run, however many these are. Requests or tokens served would
//! have to be remembered over some time, which is a constant more, and a host that starts
//! would know nothing of them.

use std::collections::HashMap;

use crate::HostId;
use crate::WorkspaceKey;

/// Workspaces of which a host tells how many places they hold, those with most: a host
/// runs some ten requests at a time, and what one caller holds does not count.
const TOLD_MAX: usize = 8;

/// Places that a workspace may hold without being compared with others: what a single
/// caller has under way at a time. Without it the second request of a small workspace would
/// come after all of a large one.
const FREE_PLACES: u32 = 2;

/// Times the usual share above which a workspace takes more than its part. Requests come in
/// no even stream, and all whose part is about the same wait by age alone: then a request
/// knows when it begins.
const EXCESS: f64 = 1.25;

/// Most levels: beyond, it does not matter any more by how much a part is exceeded.
const LEVEL_MAX: u8 = 4;

/// Least weight of a workspace: one whose limit is zero or unsound must not divide by it.
const WEIGHT_MIN: f64 = 0.1;

/// Greatest weight: no fleet serves as many requests a second.
const WEIGHT_MAX: f64 = 1e6;

/// Places that a workspace holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkspaceUsage {
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// What it may hold against others.
    pub weight: f64,
    /// How many places it holds.
    pub slots: u32,
}

/// What is known of one workspace.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    weight: f64,
    own: u32,
    others: u32,
}

impl Known {
    fn held(self) -> u32 {
        self.own.saturating_add(self.others)
    }
}

/// Places that workspaces hold.
#[derive(Clone, Debug, Default)]
pub struct SlotUsage {
    known: HashMap<WorkspaceKey, Known>,
    peers: HashMap<HostId, Vec<WorkspaceUsage>>,
    /// The sum of places over all workspaces.
    held: u64,
    /// The sum of the weights of all that hold places.
    weight: f64,
}

impl SlotUsage {
    /// Counts a place that a request of this host takes.
    pub fn acquire(&mut self, workspace: WorkspaceKey, weight: f64) {
        self.change(workspace, weight, |known| known.own += 1);
    }

    /// Counts the end of a request of this host.
    pub fn release(&mut self, workspace: WorkspaceKey) {
        self.change(workspace, 0.0, |known| {
            known.own = known.own.saturating_sub(1)
        });
    }

    /// Takes in what is held at a peer; it replaces what was known.
    pub fn update_peer(&mut self, host: &str, held: Vec<WorkspaceUsage>) {
        self.remove_peer(host);
        if held.is_empty() {
            return;
        }
        for one in &held {
            self.change(one.workspace, one.weight, |known| {
                known.others = known.others.saturating_add(one.slots);
            });
        }
        self.peers.insert(host.to_owned(), held);
    }

    /// Forgets a peer: it is down.
    pub fn remove_peer(&mut self, host: &str) {
        for one in self.peers.remove(host).unwrap_or_default() {
            self.change(one.workspace, 0.0, |known| {
                known.others = known.others.saturating_sub(one.slots);
            });
        }
    }

    /// Changes what is known of a workspace, and the sums with it. The weight counts if it
    /// is not known.
    fn change(&mut self, workspace: WorkspaceKey, weight: f64, change: impl FnOnce(&mut Known)) {
        let known = self.known.entry(workspace).or_insert_with(|| Known {
            weight: sound(weight),
            ..Known::default()
        });
        let before = known.held();
        change(known);
        let (after, weight) = (known.held(), known.weight);
        self.held = (self.held + u64::from(after)).saturating_sub(u64::from(before));
        match (before > 0, after > 0) {
            (false, true) => self.weight += weight,
            (true, false) => self.weight -= weight,
            _ => {}
        }
        if after == 0 {
            self.known.remove(&workspace);
        }
        if self.known.is_empty() {
            // What rounding has left over.
            self.weight = 0.0;
        }
    }

    /// Returns how many places a workspace holds, as far as known.
    pub fn slots_in_use(&self, workspace: WorkspaceKey) -> u32 {
        self.known.get(&workspace).map_or(0, |known| known.held())
    }

    /// Returns how far a workspace exceeds its part of all places that are held: 0 if it
    /// does not, and one more with each doubling.
    pub fn overuse_level(&self, workspace: WorkspaceKey) -> u8 {
        let Some(known) = self.known.get(&workspace) else {
            return 0;
        };
        if known.held() <= FREE_PLACES || self.weight <= 0.0 {
            return 0;
        }
        let usual = self.held as f64 / self.weight;
        let times = f64::from(known.held()) / known.weight / usual;
        let mut level = 0;
        let mut bound = EXCESS;
        while times > bound && level < LEVEL_MAX {
            level += 1;
            bound *= 2.0;
        }
        level
    }

    /// Returns what this host tells its peers.
    pub fn summary(&self) -> Vec<WorkspaceUsage> {
        let own = self.known.iter().filter(|(_, known)| known.own > 0);
        let mut held: Vec<WorkspaceUsage> = own
            .map(|(workspace, known)| WorkspaceUsage {
                workspace: *workspace,
                weight: known.weight,
                slots: known.own,
            })
            .collect();
        held.sort_unstable_by_key(|one| (u32::MAX - one.slots, one.workspace));
        held.truncate(TOLD_MAX);
        held
    }
}

/// Returns a weight that can be divided by; no number is the least.
fn sound(weight: f64) -> f64 {
    if weight >= WEIGHT_MIN {
        weight.min(WEIGHT_MAX)
    } else {
        WEIGHT_MIN
    }
}
