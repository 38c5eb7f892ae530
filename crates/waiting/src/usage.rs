//! Slots in use by each workspace, over all hosts that exchange their usage.
//!
//! Fairness is measured by slots in use: callers compete for slots for as long as their
//! requests run, however many requests there are. Measuring served requests or tokens was
//! rejected because they have to be averaged over a period, which adds a parameter, and a
//! host that has just started has no history of them.

use std::collections::HashMap;

use crate::HostId;
use crate::WorkspaceKey;

/// Number of workspaces reported to peers, those with the most slots: a host runs about ten
/// requests at a time, and a single caller's usage does not affect the levels.
const REPORTED_WORKSPACES_MAX: usize = 8;

/// Slots that a workspace may use without being compared with others: what a single caller
/// has in flight. Without it, the second request of a small workspace would be ordered after
/// all requests of a large one.
const EXEMPT_SLOTS: u32 = 2;

/// Multiple of the average usage per weight above which a workspace exceeds its fair share.
/// Requests do not arrive evenly; below this bound workspaces are ordered by age alone, which
/// keeps start times predictable.
const FAIR_SHARE_MARGIN: f64 = 1.25;

/// Highest overuse level; beyond it, the degree of overuse no longer matters.
const OVERUSE_LEVEL_MAX: u8 = 4;

/// Smallest weight; avoids a division by zero for a workspace whose limit is zero or invalid.
const WEIGHT_MIN: f64 = 0.1;

/// Largest weight; no fleet serves as many requests per second.
const WEIGHT_MAX: f64 = 1e6;

/// Slots in use by the requests that a host runs for a workspace, as it reports them to peers.
///
/// `notchwharf_proto::messages::HeldSlots` is the form on the wire, in which the weight is an
/// integer number of thousandths.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkspaceUsage {
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// Weight of its fair share relative to other workspaces.
    pub weight: f64,
    /// Number of slots in use.
    pub slots: u32,
}

/// Usage of one workspace, by this host and by all of its peers.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    weight: f64,
    own: u32,
    peers: u32,
}

impl Usage {
    fn total(self) -> u32 {
        self.own.saturating_add(self.peers)
    }
}

/// Slots in use by workspace.
#[derive(Clone, Debug, Default)]
pub struct SlotUsage {
    workspaces: HashMap<WorkspaceKey, Usage>,
    peers: HashMap<HostId, Vec<WorkspaceUsage>>,
    /// Slots in use over all workspaces.
    total_slots: u64,
    /// Sum of the weights of all workspaces that use slots.
    total_weight: f64,
}

impl SlotUsage {
    /// Counts a slot taken by a request of this host.
    pub fn acquire(&mut self, workspace: WorkspaceKey, weight: f64) {
        self.update(workspace, weight, |usage| usage.own += 1);
    }

    /// Counts the end of a request of this host.
    pub fn release(&mut self, workspace: WorkspaceKey) {
        self.update(workspace, 0.0, |usage| {
            usage.own = usage.own.saturating_sub(1)
        });
    }

    /// Replaces the usage reported by a peer.
    pub fn update_peer(&mut self, host: &str, usage: Vec<WorkspaceUsage>) {
        self.remove_peer(host);
        if usage.is_empty() {
            return;
        }
        for reported in &usage {
            self.update(reported.workspace, reported.weight, |entry| {
                entry.peers = entry.peers.saturating_add(reported.slots);
            });
        }
        self.peers.insert(host.to_owned(), usage);
    }

    /// Removes a peer that is down.
    pub fn remove_peer(&mut self, host: &str) {
        for reported in self.peers.remove(host).unwrap_or_default() {
            self.update(reported.workspace, 0.0, |usage| {
                usage.peers = usage.peers.saturating_sub(reported.slots);
            });
        }
    }

    /// Changes the usage of a workspace and updates the sums. `weight` applies only if the
    /// workspace has none yet.
    fn update(&mut self, workspace: WorkspaceKey, weight: f64, apply: impl FnOnce(&mut Usage)) {
        let usage = self.workspaces.entry(workspace).or_insert_with(|| Usage {
            weight: clamp_weight(weight),
            ..Usage::default()
        });
        let before = usage.total();
        apply(usage);
        let (after, weight) = (usage.total(), usage.weight);
        self.total_slots = (self.total_slots + u64::from(after)).saturating_sub(u64::from(before));
        match (before > 0, after > 0) {
            (false, true) => self.total_weight += weight,
            (true, false) => self.total_weight -= weight,
            _ => {}
        }
        if after == 0 {
            self.workspaces.remove(&workspace);
        }
        if self.workspaces.is_empty() {
            // Discards accumulated rounding errors.
            self.total_weight = 0.0;
        }
    }

    /// Returns the number of slots known to be in use by a workspace.
    pub fn slots_in_use(&self, workspace: WorkspaceKey) -> u32 {
        self.workspaces
            .get(&workspace)
            .map_or(0, |usage| usage.total())
    }

    /// Returns how far a workspace exceeds its fair share of all slots in use: 0 if it does
    /// not, and one more for each doubling.
    pub fn overuse_level(&self, workspace: WorkspaceKey) -> u8 {
        let Some(usage) = self.workspaces.get(&workspace) else {
            return 0;
        };
        if usage.total() <= EXEMPT_SLOTS || self.total_weight <= 0.0 {
            return 0;
        }
        let average = self.total_slots as f64 / self.total_weight;
        let ratio = f64::from(usage.total()) / usage.weight / average;
        let mut level = 0;
        let mut bound = FAIR_SHARE_MARGIN;
        while ratio > bound && level < OVERUSE_LEVEL_MAX {
            level += 1;
            bound *= 2.0;
        }
        level
    }

    /// Returns the usage that this host reports to its peers.
    pub fn summary(&self) -> Vec<WorkspaceUsage> {
        let in_use = self.workspaces.iter().filter(|(_, usage)| usage.own > 0);
        let mut summary: Vec<WorkspaceUsage> = in_use
            .map(|(workspace, usage)| WorkspaceUsage {
                workspace: *workspace,
                weight: usage.weight,
                slots: usage.own,
            })
            .collect();
        summary.sort_unstable_by_key(|usage| (u32::MAX - usage.slots, usage.workspace));
        summary.truncate(REPORTED_WORKSPACES_MAX);
        summary
    }
}

/// Returns a weight that is safe to divide by; NaN becomes the smallest weight.
fn clamp_weight(weight: f64) -> f64 {
    if weight >= WEIGHT_MIN {
        weight.min(WEIGHT_MAX)
    } else {
        WEIGHT_MIN
    }
}
