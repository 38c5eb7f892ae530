//! The items that this host has to run, in the order in which they are due.
//!
//! A host runs the items of the jobs that it owns according to the job records. An item stays
//! in the backlog until its outcome is recorded, its job ends, or another host takes the job
//! over.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

use notchwharf_intake::Room;
use notchwharf_ledger::jobs::Accepted;
use notchwharf_ledger::jobs::Attempts;
use notchwharf_ledger::jobs::JobId;
use notchwharf_ledger::jobs::Jobs;
use notchwharf_ledger::jobs::Offset;
use notchwharf_origins::Origin;
use notchwharf_routing::balancer::TargetId;
use notchwharf_routing::fingerprint::Fingerprint;
use notchwharf_routing::items::estimate::Size;
use notchwharf_routing::items::peer_queues::DUE_TIMES_MAX;
use notchwharf_routing::items::peer_queues::QueuedItems;
use notchwharf_routing::items::queue::Deadline;
use notchwharf_routing::items::queue::Queue;
use notchwharf_routing::prompt::PartId;

use crate::fingerprint;
use crate::items::late::OverdueRuns;
use crate::ports::Decode;
use crate::ports::ForwardedRequest;
use crate::progress::SavedProgress;
use crate::time::millis;

/// Identifies an item by its job and its index in the submission.
pub(crate) type ItemKey = (JobId, u32);

/// An item to run.
#[derive(Debug)]
pub(crate) struct Item {
    /// Its identity.
    pub(crate) key: ItemKey,
    /// The epoch of its job for which this host read the item.
    pub(crate) epoch: Offset,
    /// The name of its job's route.
    pub(crate) route: String,
    /// The `Host` of its request.
    pub(crate) host: String,
    /// The request.
    pub(crate) request: Arc<ForwardedRequest>,
    /// Its size as declared by the caller.
    pub(crate) size: Size,
    /// The data of the events received so far, joined by line feeds.
    pub(crate) text: Vec<u8>,
    /// Room for the text and an event that has begun.
    pub(crate) room: Room,
    /// The number of the last event received.
    pub(crate) last_event: Option<u64>,
    /// The number of responses that ended after the last event where nothing marked the end.
    pub(crate) unmarked_ends: u32,
    /// The origin of the text; `None` without events, or if it is not known.
    pub(crate) origin: Option<Origin>,
    /// Since when it has waited for a target of its text's version while others had free slots.
    pub(crate) waiting_since: Option<Instant>,
    /// Its runs so far, and whether another one may begin.
    pub(crate) attempts: Attempts,
    /// Since when no run of it ended in doubt at this host.
    pub(crate) undisturbed_since: Instant,
    /// Its runs that targets may still answer.
    pub(crate) overdue: OverdueRuns,
    /// Number of its runs whose targets began to answer and sent no further event in time.
    pub(crate) silences: u32,
    /// Whether it was logged that its next run waits for calm.
    pub(crate) waits_for_calm: bool,
    /// The targets where it failed; it runs at others as long as there are any.
    pub(crate) failed_at: Vec<TargetId>,
    /// The last event of the progress that was last scheduled to be saved.
    pub(crate) saved_event: Option<u64>,
    /// When its job was submitted.
    pub(crate) submitted_unix_ms: u64,
    /// Time after the submission at which it is due.
    pub(crate) due_after: Duration,
    /// When this host read the item, which is after its job was submitted.
    pub(crate) loaded_at: Instant,
    /// The hash of its content, computed on first use.
    pub(crate) fingerprint: OnceLock<Fingerprint>,
    /// The shared parts of its prompt, read on first use.
    pub(crate) parts: OnceLock<Vec<PartId>>,
}

impl Item {
    /// Returns the hash of its content.
    pub(crate) fn fingerprint(&self, decode: &Decode) -> Fingerprint {
        let compute = || fingerprint::of(decode, &self.host, &self.request);
        *self.fingerprint.get_or_init(compute)
    }

    /// Returns the shared parts of its prompt.
    pub(crate) fn parts(&self, decode: &Decode) -> &[PartId] {
        self.parts
            .get_or_init(|| (decode.parts)(&self.request.headers))
    }

    /// Returns the time at which it is due.
    pub(crate) fn due_unix_ms(&self) -> u64 {
        self.submitted_unix_ms
            .saturating_add(millis(self.due_after))
    }

    /// Returns the number of events received.
    pub(crate) fn event_count(&self) -> u64 {
        count(self.last_event)
    }

    /// Returns the number of events received since its progress was last scheduled to be
    /// saved.
    pub(crate) fn unsaved_event_count(&self) -> u64 {
        self.event_count().saturating_sub(count(self.saved_event))
    }

    /// Returns whether it has made progress since then or has failed. Hosts of earlier builds know
    /// the failures only from the saved progress.
    pub(crate) fn is_unsaved(&self) -> bool {
        self.unsaved_event_count() > 0 || self.attempts.runs().failed > 0
    }

    /// Continues from saved progress. A text of unknown origin is discarded, as no target may
    /// continue it.
    pub(crate) fn resume(&mut self, saved: SavedProgress) {
        let is_answered = saved.last_event.is_some();
        self.attempts
            .add_saved(saved.failures, saved.blamed, is_answered);
        if saved.origin.is_none() {
            return;
        }
        self.saved_event = saved.last_event;
        self.last_event = saved.last_event;
        self.text = saved.text;
        self.origin = saved.origin;
    }

    /// Discards the text, so that any target may run it.
    pub(crate) fn start_over(&mut self) {
        self.text = Vec::new();
        self.room.clear();
        self.last_event = None;
        self.saved_event = None;
        self.unmarked_ends = 0;
        self.origin = None;
        self.waiting_since = None;
    }
}

#[derive(Debug)]
struct OwnedJob {
    epoch: Offset,
    /// Items that have not ended; `None` while the items are being read.
    open_items: Option<HashSet<u32>>,
}

/// The effect of job records on the backlog.
#[derive(Debug, Default)]
pub(crate) struct Updated {
    /// Jobs whose items are to be read and passed to [`Backlog::add_items`], with their epochs.
    pub(crate) missing: Vec<(Offset, Arc<Accepted>)>,
    /// Queued items that this host runs no more.
    pub(crate) removed: Vec<Item>,
}

/// Items of the jobs that this host owns.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    queue: Queue<ItemKey, Item>,
    owned: HashMap<JobId, OwnedJob>,
    /// The end of the job records that were applied.
    applied_end: Offset,
}

impl Backlog {
    /// Applies the job records.
    pub(crate) fn update(&mut self, jobs: &Jobs, host: &str) -> Updated {
        self.applied_end = jobs.end();
        self.owned.retain(|job, owned_job| {
            let state = jobs.get(job);
            state.is_some_and(|j| j.is_run_by(host, owned_job.epoch))
        });
        let owned = &self.owned;
        let removed = self.queue.retain(|(job, item)| {
            owned.contains_key(job) && !jobs.get(job).is_none_or(|j| j.is_listed(*item))
        });
        let mut missing = Vec::new();
        for job in jobs.open().filter(|job| job.owner == host) {
            let id = &job.accepted.job;
            if self.owned.contains_key(id) {
                continue;
            }
            let owned_job = OwnedJob {
                epoch: job.epoch,
                open_items: None,
            };
            self.owned.insert(id.clone(), owned_job);
            missing.push((job.epoch, Arc::clone(&job.accepted)));
        }
        Updated { missing, removed }
    }

    /// Adds the items of an owned job, without those that have ended.
    pub(crate) fn add_items(&mut self, epoch: Offset, job: &str, items: Vec<Item>, jobs: &Jobs) {
        let Some(owned_job) = self.owned.get_mut(job) else {
            return;
        };
        if owned_job.epoch != epoch || owned_job.open_items.is_some() {
            return;
        }
        let Some(state) = jobs.get(job) else {
            return;
        };
        let items = items
            .into_iter()
            .filter(|item| !state.is_listed(item.key.1));
        let mut open_items = HashSet::new();
        for item in items {
            open_items.insert(item.key.1);
            self.queue.push(item.due_unix_ms(), item.key.clone(), item);
        }
        owned_job.open_items = Some(open_items);
    }

    /// Removes a job whose items were not read for an epoch; [`Self::update`] returns it again.
    pub(crate) fn remove_unloaded(&mut self, epoch: Offset, job: &str) {
        if self.owned.get(job).is_some_and(|o| o.epoch == epoch) {
            self.owned.remove(job);
        }
    }

    /// Returns the end of the job records that were applied.
    pub(crate) fn applied_end(&self) -> Offset {
        self.applied_end
    }

    /// Moves items that cannot meet their objective behind all others.
    pub(crate) fn demote_late(&mut self, is_late: impl Fn(&Item) -> bool) {
        self.queue.demote_late(is_late);
    }

    /// Returns the number of queued items by due time, as sent to peers.
    pub(crate) fn summary(&self) -> Vec<QueuedItems> {
        self.queue.summary(DUE_TIMES_MAX)
    }

    /// Returns the item to run next and its deadline, without removing it.
    pub(crate) fn peek(&self) -> Option<(Deadline, &Item)> {
        self.queue.peek()
    }

    /// Removes and returns the item to run next.
    pub(crate) fn pop(&mut self) -> Option<Item> {
        self.queue.pop()
    }

    /// Queues an item again that is to run or continue later; returns it if it is no longer open
    /// in the epoch for which it was read. Items of a later epoch have been read again.
    pub(crate) fn requeue(&mut self, item: Item) -> Option<Item> {
        let owned_job = self.owned.get(&item.key.0);
        let is_open =
            owned_job.is_some_and(|o| o.epoch == item.epoch && o.is_item_open(item.key.1));
        if !is_open {
            return Some(item);
        }
        self.queue.push(item.due_unix_ms(), item.key.clone(), item);
        None
    }

    /// Removes an item whose outcome is about to be recorded.
    pub(crate) fn remove(&mut self, key: &ItemKey) {
        let owned_job = self.owned.get_mut(&key.0);
        if let Some(open_items) = owned_job.and_then(|owned_job| owned_job.open_items.as_mut()) {
            open_items.remove(&key.1);
        }
    }

    /// Returns whether the job records let this host run an item, including those that have
    /// not been applied.
    pub(crate) fn may_run(&self, key: &ItemKey, jobs: &Jobs, host: &str) -> bool {
        let (Some(owned_job), Some(job)) = (self.owned.get(&key.0), jobs.get(&key.0)) else {
            return false;
        };
        job.is_run_by(host, owned_job.epoch) && !job.is_listed(key.1)
    }

    /// Returns whether this host owns an item's job and the item has not ended.
    pub(crate) fn is_item_open(&self, key: &ItemKey) -> bool {
        self.owned
            .get(&key.0)
            .is_some_and(|owned_job| owned_job.is_item_open(key.1))
    }

    /// Returns whether this host owns no open job.
    pub(crate) fn is_idle(&self) -> bool {
        self.owned.is_empty()
    }

    /// Returns the queued items.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Item> {
        self.queue.iter_mut()
    }

    /// Returns the number of queued items that cannot meet their objective.
    pub(crate) fn late_len(&self) -> usize {
        self.queue.late_len()
    }

    /// Returns the number of queued items.
    pub(crate) fn len(&self) -> usize {
        self.queue.len()
    }
}

/// Returns the number of events up to the last one.
pub(crate) fn count(last_event: Option<u64>) -> u64 {
    last_event.map_or(0, |event| event + 1)
}

impl OwnedJob {
    fn is_item_open(&self, item: u32) -> bool {
        self.open_items.as_ref().is_some_and(|o| o.contains(&item))
    }
}
