//! Load accounting: requests counted at this host and reported by other hosts.
//!
//! A peer reports its complete load rather than changes, so each report replaces the previous
//! one and errors from lost messages don't accumulate.

use std::collections::HashMap;
use std::time::Instant;

use super::Balancer;
use super::Target;
use super::TargetKey;

/// Divisor of a target's slots: once this fraction is taken, slots are scarce. Below it, a host
/// with outdated counts still finds free slots.
const SCARCE_DIVISOR: u32 = 4;

/// Requests that are running or queued at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Online requests.
    pub online: u32,
    /// Items of batch jobs.
    pub batch: u32,
}

impl Load {
    /// Returns the total number of requests.
    pub fn total(self) -> u32 {
        self.online + self.batch
    }

    pub(super) fn add(&mut self, other: Self) {
        self.online += other.online;
        self.batch += other.batch;
    }

    fn sub(&mut self, other: Self) {
        self.online = self.online.saturating_sub(other.online);
        self.batch = self.batch.saturating_sub(other.batch);
    }
}

/// The last report of a peer, or of the hosts of another cell.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct Peer {
    /// Load by target; searched linearly, since a host uses few targets at a time.
    pub(super) loads: Vec<(TargetKey, Load)>,
    /// Targets that the peer reports as failing, if its reports are considered.
    pub(super) failing: Vec<TargetKey>,
}

impl Peer {
    pub(super) fn load(&self, key: TargetKey) -> Option<Load> {
        let entry = self.loads.iter().find(|(other, _)| *other == key);
        entry.map(|(_, load)| *load)
    }
}

impl Balancer {
    /// Returns the load of this host by target.
    pub fn own_loads(&self) -> impl Iterator<Item = (TargetKey, Load)> {
        let active = self.active.iter().filter_map(|id| self.targets.get(id));
        active.map(|t| (t.key, t.own))
    }

    /// Returns the load of all hosts at a target, as last reported.
    pub fn load(&self, id: &str) -> Load {
        self.targets.get(id).map(Target::load).unwrap_or_default()
    }

    /// Returns whether at least a quarter of a target's slots are taken, so that changes of its
    /// load are sent to other hosts immediately.
    pub fn has_scarce_slots(&self, id: &str) -> bool {
        let target = self.targets.get(id);
        target.is_some_and(|t| t.load().total().saturating_mul(SCARCE_DIVISOR) >= t.slots)
    }

    /// Returns the number of slots in use and the total number of slots, at targets that receive
    /// new requests. Requests in a target's queue use no slot.
    pub fn slot_usage(&self) -> (u32, u32) {
        let open = self.targets.values().filter(|t| !t.is_closed);
        open.fold((0, 0), |(used, all), t| {
            let slots = t.slots;
            (used + t.load().total().min(slots), all + slots)
        })
    }

    /// Replaces the reported load of a peer. Returns whether it changed; at low load, most
    /// reports are unchanged.
    ///
    /// `failing` must be empty for a peer in another data centre: a target may fail for callers
    /// in one data centre only.
    pub fn set_peer_loads(
        &mut self,
        host: &str,
        loads: impl IntoIterator<Item = (TargetKey, Load)>,
        failing: Vec<TargetKey>,
        now: Instant,
    ) -> bool {
        let reported = Peer {
            loads: loads.into_iter().collect(),
            failing,
        };
        let before = match self.peers.get_mut(host) {
            Some(known) if *known == reported => return false,
            Some(known) => std::mem::take(known),
            None => Peer::default(),
        };
        self.replace(&before, &reported, now);
        match self.peers.get_mut(host) {
            Some(known) => *known = reported,
            None => {
                self.peers.insert(host.to_owned(), reported);
            }
        }
        true
    }

    /// Replaces the total load of the hosts of another cell. Returns whether it changed.
    pub fn set_cell_loads(
        &mut self,
        cell: &str,
        loads: Vec<(TargetKey, Load)>,
        now: Instant,
    ) -> bool {
        let reported = Peer {
            loads,
            failing: Vec::new(),
        };
        let before = self.cells.remove(cell).unwrap_or_default();
        let is_changed = before != reported;
        self.replace(&before, &reported, now);
        self.cells.insert(cell.to_owned(), reported);
        is_changed
    }

    /// Removes the load of all other cells.
    pub fn clear_cells(&mut self) {
        for (_, cell) in std::mem::take(&mut self.cells) {
            self.subtract(&cell);
        }
    }

    /// Removes the load of a cell that has failed or left. Returns whether the cell was known.
    pub fn remove_cell(&mut self, cell: &str) -> bool {
        let Some(cell) = self.cells.remove(cell) else {
            return false;
        };
        self.subtract(&cell);
        true
    }

    /// Returns the total load of this host and its peers by target, which is what a cell reports
    /// to other cells.
    pub fn total_loads(&self) -> Vec<(TargetKey, Load)> {
        let mut total: HashMap<TargetKey, Load> = self.own_loads().collect();
        for (key, load) in self.peers.values().flat_map(|peer| &peer.loads) {
            total.entry(*key).or_default().add(*load);
        }
        total.into_iter().collect()
    }

    fn replace(&mut self, before: &Peer, reported: &Peer, now: Instant) {
        self.subtract(before);
        for (key, load) in &reported.loads {
            if let Some(target) = self.target_by_key(*key) {
                target.others.add(*load);
                target.update_full_at(now);
            }
        }
        for key in &reported.failing {
            let is_new = !before.failing.contains(key);
            if let Some(target) = self.target_by_key(*key) {
                target.failing_peers += 1;
                if is_new {
                    target.health.record_peer_failure();
                }
            }
        }
    }

    /// Returns the targets that are failing for this host.
    pub fn failing(&self, now: Instant) -> Vec<TargetKey> {
        let failing = self.targets.values().filter(|t| t.health.is_failing(now));
        failing.map(|t| t.key).collect()
    }

    /// Returns whether a target is failing for this host or a peer that reports it.
    pub fn is_failing(&self, id: &str, now: Instant) -> bool {
        let target = self.targets.get(id);
        target.is_some_and(|t| t.failing_peers > 0 || t.health.is_failing(now))
    }

    /// Removes the load of a failed peer, whose connections have ended with it.
    pub fn remove_peer(&mut self, host: &str) {
        if let Some(peer) = self.peers.remove(host) {
            self.subtract(&peer);
        }
    }

    fn subtract(&mut self, peer: &Peer) {
        for (key, load) in &peer.loads {
            if let Some(target) = self.target_by_key(*key) {
                target.others.sub(*load);
            }
        }
        for key in &peer.failing {
            if let Some(target) = self.target_by_key(*key) {
                target.failing_peers = target.failing_peers.saturating_sub(1);
            }
        }
    }

    fn target_by_key(&mut self, key: TargetKey) -> Option<&mut Target> {
        let id = self.keys.get(&key)?;
        self.targets.get_mut(id)
    }

    /// Counts an online request at a target.
    pub fn begin_online(&mut self, id: &str, now: Instant) {
        self.update_own(id, |own| own.online += 1);
        if let Some(target) = self.targets.get_mut(id) {
            target.update_full_at(now);
        }
    }

    /// Counts the end of an online request.
    pub fn end_online(&mut self, id: &str) {
        self.update_own(id, |own| own.online = own.online.saturating_sub(1));
    }

    /// Counts an item at a target.
    pub fn begin_batch(&mut self, id: &str) {
        self.update_own(id, |own| own.batch += 1);
    }

    /// Counts the end of an item's run.
    pub fn end_batch(&mut self, id: &str) {
        self.update_own(id, |own| own.batch = own.batch.saturating_sub(1));
    }

    fn update_own(&mut self, id: &str, change: impl FnOnce(&mut Load)) {
        // The target may have been removed in the meantime.
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        change(&mut target.own);
        if target.own.total() == 0 {
            self.active.remove(id);
        } else if !self.active.contains(id) {
            self.active.insert(id.to_owned());
        }
    }
}
