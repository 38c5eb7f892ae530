//! The running items by target.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use notchwharf_routing::balancer::TargetId;
use notchwharf_routing::items::preemption::Rank;
use notchwharf_routing::items::queue::Deadline;
use tokio::sync::oneshot;
use tokio::sync::oneshot::error::TryRecvError;

use crate::backlog::Item;
use crate::backlog::ItemKey;
use crate::context::Context;
use crate::sync::lock;
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
#[derive(Debug)]
pub(super) struct RunHandle {
    run: u64,
    cancelled: oneshot::Receiver<()>,
    is_kept: Arc<AtomicBool>,
}

/// The place of a run at its target. Dropping it removes the run and frees its slot.
pub(super) struct Place {
    ctx: Arc<Context>,
    target: TargetId,
    handle: RunHandle,
}

impl Place {
    /// Returns the place of a run that was added at a target.
    pub(super) fn new(ctx: &Arc<Context>, target: &TargetId, handle: RunHandle) -> Self {
        Self {
            ctx: Arc::clone(ctx),
            target: target.clone(),
            handle,
        }
    }

    /// Returns whether the run was cancelled.
    pub(super) fn is_cancelled(&mut self) -> bool {
        !matches!(self.handle.cancelled.try_recv(), Err(TryRecvError::Empty))
    }

    /// Waits until the run is cancelled.
    pub(super) async fn cancelled(&mut self) {
        // The sender is dropped.
        let _ = (&mut self.handle.cancelled).await;
    }

    /// Keeps the run from preemption.
    pub(super) fn keep(&self) {
        self.handle.is_kept.store(true, Ordering::Relaxed);
    }

    /// Lets the run be preempted.
    pub(super) fn end_keeping(&self) {
        self.handle.is_kept.store(false, Ordering::Relaxed);
    }
}

impl fmt::Debug for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Place")
            .field("target", &self.target)
            .field("run", &self.handle.run)
            .finish_non_exhaustive()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let entry = lock(&self.ctx.items.running).take(&self.target, self.handle.run);
        // Dropped after the registry is unlocked: freeing the slot wakes tasks that lock it.
        drop(entry);
    }
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
