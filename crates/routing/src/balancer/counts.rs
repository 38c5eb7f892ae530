//! What runs where: counted at this host, told by its peers.
//!
//! A peer tells all that it runs and not what has changed, so that what is told
//! replaces what was known, and nothing adds up wrongly for long.

use std::collections::HashMap;
use std::time::Instant;

use super::Balancer;
use super::Target;
use super::TargetKey;

/// Divisor of a target's places: once that part is taken, places count as scarce. Below
/// it, a host with outdated counts still finds free places.
const SCARCE_DIVISOR: u32 = 4;

/// Requests that run at a target or wait there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Online requests.
    pub online: u32,
    /// Items of jobs.
    pub batch: u32,
}

impl Load {
    /// Returns the sum.
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

/// What a peer told.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct Peer {
    /// A few targets: the list is searched from its start.
    pub(super) loads: Vec<(TargetKey, Load)>,
    /// Targets that fail as the peer sees them, where its word counts.
    pub(super) failing: Vec<TargetKey>,
}

impl Peer {
    pub(super) fn load(&self, key: TargetKey) -> Option<Load> {
        let known = self.loads.iter().find(|(known, _)| *known == key);
        known.map(|(_, load)| *load)
    }
}

impl Balancer {
    /// Returns what this host runs, target by target.
    pub fn own_loads(&self) -> impl Iterator<Item = (TargetKey, Load)> {
        let busy = self.busy.iter().filter_map(|id| self.targets.get(id));
        busy.map(|t| (t.key, t.own))
    }

    /// Returns what all hosts run at a target, as far as known.
    pub fn load(&self, id: &str) -> Load {
        self.targets.get(id).map(Target::load).unwrap_or_default()
    }

    /// Returns whether at least a quarter of a target's places are taken, so that changes of
    /// its load are sent to other hosts immediately.
    pub fn has_scarce_slots(&self, id: &str) -> bool {
        let target = self.targets.get(id);
        target.is_some_and(|t| t.load().total().saturating_mul(SCARCE_DIVISOR) >= t.slots)
    }

    /// Returns how many places are taken and how many there are, at targets that
    /// stay. Requests that wait in a target's queue take none.
    pub fn slot_usage(&self) -> (u32, u32) {
        let staying = self.targets.values().filter(|t| !t.is_closed);
        staying.fold((0, 0), |(taken, all), t| {
            let slots = t.slots;
            (taken + t.load().total().min(slots), all + slots)
        })
    }

    /// Takes in what a peer runs; it replaces what the peer ran before. Returns
    /// whether it differs: most of what is told in a calm hour does not.
    ///
    /// The peer's word on targets that fail is given if it counts: a target
    /// may fail callers in one data centre only, so that of a peer elsewhere
    /// does not.
    pub fn set_peer_loads(
        &mut self,
        host: &str,
        loads: impl IntoIterator<Item = (TargetKey, Load)>,
        failing: Vec<TargetKey>,
        now: Instant,
    ) -> bool {
        let told = Peer {
            loads: loads.into_iter().collect(),
            failing,
        };
        let before = match self.peers.get_mut(host) {
            Some(known) if *known == told => return false,
            Some(known) => std::mem::take(known),
            None => Peer::default(),
        };
        self.replace(&before, &told, now);
        match self.peers.get_mut(host) {
            Some(known) => *known = told,
            None => {
                self.peers.insert(host.to_owned(), told);
            }
        }
        true
    }

    /// Takes in what the hosts of another cell run together; it replaces what
    /// they ran before. Returns whether it differs.
    pub fn set_cell_loads(
        &mut self,
        cell: &str,
        loads: Vec<(TargetKey, Load)>,
        now: Instant,
    ) -> bool {
        let told = Peer {
            loads,
            failing: Vec::new(),
        };
        let before = self.cells.remove(cell).unwrap_or_default();
        let is_news = before != told;
        self.replace(&before, &told, now);
        self.cells.insert(cell.to_owned(), told);
        is_news
    }

    /// Forgets what the hosts of other cells run.
    pub fn clear_cells(&mut self) {
        for (_, cell) in std::mem::take(&mut self.cells) {
            self.subtract(&cell);
        }
    }

    /// Forgets what the hosts of a cell run: it is gone. Returns whether anything
    /// was known of it.
    pub fn remove_cell(&mut self, cell: &str) -> bool {
        let Some(cell) = self.cells.remove(cell) else {
            return false;
        };
        self.subtract(&cell);
        true
    }

    /// Returns what this host and its peers run, target by target: what a cell tells
    /// others of itself.
    pub fn total_loads(&self) -> Vec<(TargetKey, Load)> {
        let mut sum: HashMap<TargetKey, Load> = self.own_loads().collect();
        for (key, load) in self.peers.values().flat_map(|peer| &peer.loads) {
            sum.entry(*key).or_default().add(*load);
        }
        sum.into_iter().collect()
    }

    fn replace(&mut self, before: &Peer, told: &Peer, now: Instant) {
        self.subtract(before);
        for (key, load) in &told.loads {
            if let Some(target) = self.target_by_key(*key) {
                target.others.add(*load);
                target.note_load(now);
            }
        }
        for key in &told.failing {
            let is_news = !before.failing.contains(key);
            if let Some(target) = self.target_by_key(*key) {
                target.failing_at += 1;
                if is_news {
                    target.health.suspected();
                }
            }
        }
    }

    /// Returns the targets that fail as this host sees them.
    pub fn failing(&self, now: Instant) -> Vec<TargetKey> {
        let failing = self.targets.values().filter(|t| t.health.is_failing(now));
        failing.map(|t| t.key).collect()
    }

    /// Returns whether a target fails as this host or a peer near by sees it.
    pub fn is_failing(&self, id: &str, now: Instant) -> bool {
        let target = self.targets.get(id);
        target.is_some_and(|t| t.failing_at > 0 || t.health.is_failing(now))
    }

    /// Forgets what a peer runs: it is down, and its connections with it.
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
                target.failing_at = target.failing_at.saturating_sub(1);
            }
        }
    }

    fn target_by_key(&mut self, key: TargetKey) -> Option<&mut Target> {
        let id = self.keys.get(&key)?;
        self.targets.get_mut(id)
    }

    /// Counts an online request at a target.
    pub fn begin_online(&mut self, id: &str, now: Instant) {
        self.count(id, |own| own.online += 1);
        if let Some(target) = self.targets.get_mut(id) {
            target.note_load(now);
        }
    }

    /// Counts the end of an online request.
    pub fn end_online(&mut self, id: &str) {
        self.count(id, |own| own.online = own.online.saturating_sub(1));
    }

    /// Counts an item at a target.
    pub fn begin_batch(&mut self, id: &str) {
        self.count(id, |own| own.batch += 1);
    }

    /// Counts the end of an item's run.
    pub fn end_batch(&mut self, id: &str) {
        self.count(id, |own| own.batch = own.batch.saturating_sub(1));
    }

    fn count(&mut self, id: &str, change: impl FnOnce(&mut Load)) {
        // A target that has left in the meantime counts nothing any more.
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        change(&mut target.own);
        if target.own.total() == 0 {
            self.busy.remove(id);
        } else if !self.busy.contains(id) {
            self.busy.insert(id.to_owned());
        }
    }
}
