//! The running items by target.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use notchwharf_routing::balancer::TargetId;
use notchwharf_routing::items::preemption::Rank;
use notchwharf_routing::items::queue::Deadline;
use tokio::sync::oneshot;

use crate::backlog::Item;
use crate::backlog::ItemKey;
use crate::target::Running;

/// The running items.
#[derive(Debug, Default)]
pub(super) struct Registry {
    /// The number of the newest run.
    last_run: u64,
    by_target: HashMap<TargetId, Vec<Entry>>,
}

/// A running item. Dropping the entry frees the slot and cancels the item's task.
#[derive(Debug)]
pub(super) struct Entry {
    run: u64,
    key: ItemKey,
    rank: Rank,
    /// Whether it is not preempted: it settles a doubt once its target begins to answer.
    is_kept: Arc<AtomicBool>,
    _running: Running,
    _cancel: oneshot::Sender<()>,
}

/// The number of a run, the receiver that is notified when it is cancelled, and whether it is kept
/// from preemption.
pub(super) struct RunHandle {
    pub(super) run: u64,
    pub(super) cancelled: oneshot::Receiver<()>,
    pub(super) is_kept: Arc<AtomicBool>,
}

impl Registry {
    /// Returns the number of running items.
    pub(super) fn len(&self) -> usize {
        self.by_target.values().map(Vec::len).sum()
    }

    /// Adds an item that starts, and may be kept from preemption until its target answers.
    pub(super) fn add(
        &mut self,
        target: &TargetId,
        item: &Item,
        deadline: Deadline,
        running: Running,
        is_kept: bool,
    ) -> RunHandle {
        let is_kept = Arc::new(AtomicBool::new(is_kept));
        let (cancel, cancelled) = oneshot::channel();
        self.last_run += 1;
        let run = self.last_run;
        let entry = Entry {
            run,
            key: item.key.clone(),
            rank: Rank {
                is_late: deadline.is_late,
                due_unix_ms: deadline.due_unix_ms,
                run,
            },
            is_kept: Arc::clone(&is_kept),
            _running: running,
            _cancel: cancel,
        };
        let at_target = self.by_target.entry(target.clone()).or_default();
        at_target.push(entry);
        RunHandle {
            run,
            cancelled,
            is_kept,
        }
    }

    /// Removes an item by the number of its run.
    pub(super) fn take(&mut self, target: &str, run: u64) -> Option<Entry> {
        self.take_at(target, |entries| entries.iter().position(|e| e.run == run))
    }

    /// Removes the item of the greatest preemption rank at a target.
    pub(super) fn take_to_preempt(&mut self, target: &str) -> Option<Entry> {
        self.take_at(target, |entries| {
            let preemptible = entries.iter().enumerate();
            let preemptible = preemptible.filter(|(_, e)| !e.is_kept.load(Ordering::Relaxed));
            let preempted = preemptible.max_by_key(|(_, e)| e.rank);
            preempted.map(|(index, _)| index)
        })
    }

    /// Removes the items for which a predicate returns false.
    pub(super) fn take_except(&mut self, is_retained: impl Fn(&ItemKey) -> bool) -> Vec<Entry> {
        let mut taken = Vec::new();
        for entries in self.by_target.values_mut() {
            let (retained, removed) = entries.drain(..).partition(|e| is_retained(&e.key));
            *entries = retained;
            taken.extend::<Vec<Entry>>(removed);
        }
        self.by_target.retain(|_, entries| !entries.is_empty());
        taken
    }

    fn take_at(
        &mut self,
        target: &str,
        index: impl FnOnce(&[Entry]) -> Option<usize>,
    ) -> Option<Entry> {
        let entries = self.by_target.get_mut(target)?;
        let entry = entries.remove(index(entries)?);
        if entries.is_empty() {
            self.by_target.remove(target);
        }
        Some(entry)
    }
}
