//! The items that run now, target by target.

use std::collections::HashMap;

use notchwharf_routing::balancer::TargetId;
use notchwharf_routing::items::preemption::Rank;
use notchwharf_routing::items::queue::Deadline;
use tokio::sync::oneshot;

use crate::backlog::Item;
use crate::backlog::ItemKey;
use crate::target::Running;

/// The items that run now.
#[derive(Debug, Default)]
pub(super) struct Registry {
    number: u64,
    by_target: HashMap<TargetId, Vec<Entry>>,
}

/// An item that runs. Dropped, it is not counted any more and its task is told.
#[derive(Debug)]
pub(super) struct Entry {
    number: u64,
    key: ItemKey,
    spare: Rank,
    _running: Running,
    _cancel: oneshot::Sender<()>,
}

/// What a running item holds: its number, and word when it is cut.
pub(super) struct Ticket {
    pub(super) number: u64,
    pub(super) cancelled: oneshot::Receiver<()>,
}

impl Registry {
    /// Returns the number of items that run.
    pub(super) fn len(&self) -> usize {
        self.by_target.values().map(Vec::len).sum()
    }

    /// Adds an item that begins to run.
    pub(super) fn add(
        &mut self,
        target: &TargetId,
        item: &Item,
        place: Deadline,
        running: Running,
    ) -> Ticket {
        let (cancel, cancelled) = oneshot::channel();
        self.number += 1;
        let number = self.number;
        let entry = Entry {
            number,
            key: item.key.clone(),
            spare: Rank {
                is_late: place.is_late,
                due_unix_ms: place.due_unix_ms,
                run: number,
            },
            _running: running,
            _cancel: cancel,
        };
        let at_target = self.by_target.entry(target.clone()).or_default();
        at_target.push(entry);
        Ticket { number, cancelled }
    }

    /// Takes out an item by its number.
    pub(super) fn take(&mut self, target: &str, number: u64) -> Option<Entry> {
        self.take_at(target, |entries| {
            entries.iter().position(|e| e.number == number)
        })
    }

    /// Takes out the item at a target that can best be spared.
    pub(super) fn take_spare(&mut self, target: &str) -> Option<Entry> {
        self.take_at(target, |entries| {
            let spare = entries.iter().enumerate().max_by_key(|(_, e)| e.spare);
            spare.map(|(place, _)| place)
        })
    }

    /// Takes out the items that are not wanted any more.
    pub(super) fn take_unwanted(&mut self, is_wanted: impl Fn(&ItemKey) -> bool) -> Vec<Entry> {
        let mut all_unwanted = Vec::new();
        for entries in self.by_target.values_mut() {
            let (wanted, unwanted) = entries.drain(..).partition(|e| is_wanted(&e.key));
            *entries = wanted;
            all_unwanted.extend::<Vec<Entry>>(unwanted);
        }
        self.by_target.retain(|_, entries| !entries.is_empty());
        all_unwanted
    }

    fn take_at(
        &mut self,
        target: &str,
        place: impl FnOnce(&[Entry]) -> Option<usize>,
    ) -> Option<Entry> {
        let entries = self.by_target.get_mut(target)?;
        let entry = entries.remove(place(entries)?);
        if entries.is_empty() {
            self.by_target.remove(target);
        }
        Some(entry)
    }
}
