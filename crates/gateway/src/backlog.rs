//! Which items this host has to run, and in which order.
//!
//! A host runs the items of the jobs that it owns by the job records; those due
//! first come first. An item is here until it is listed, unless its job
//! has ended or another host has taken the job over.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

use notchwharf_ledger::jobs::Accepted;
use notchwharf_ledger::jobs::JobId;
use notchwharf_ledger::jobs::Jobs;
use notchwharf_ledger::jobs::Offset;
use notchwharf_routing::balancer::TargetId;
use notchwharf_routing::fingerprint::Fingerprint;
use notchwharf_routing::items::estimate::Size;
use notchwharf_routing::items::peer_queues::DUE_TIMES_MAX;
use notchwharf_routing::items::peer_queues::QueuedItems;
use notchwharf_routing::items::queue::Deadline;
use notchwharf_routing::items::queue::Queue;

use crate::fingerprint;
use crate::ports::Decode;
use crate::ports::ForwardedRequest;
use crate::progress::Saved;
use crate::time::millis;

/// Failures of an item for each one that its route allows, when targets that
/// fail other items too are to blame: two, so that an item that fails
/// everywhere still ends soon.
const FAILURES_PER_ATTEMPT: u32 = 2;

/// What identifies an item: its job and its place in the caller's order.
pub(crate) type ItemKey = (JobId, u32);

/// An item to run.
#[derive(Clone, Debug)]
pub(crate) struct Item {
    /// What identifies it.
    pub(crate) key: ItemKey,
    /// The name of its job's route.
    pub(crate) route: String,
    /// The host that its requests name.
    pub(crate) host: String,
    /// The request.
    pub(crate) forward: Arc<ForwardedRequest>,
    /// How large it is, as its caller tells.
    pub(crate) size: Size,
    /// The data of the events that are here, joined by line feeds.
    pub(crate) text: Vec<u8>,
    /// The number of the last event that is here.
    pub(crate) last_event: Option<u64>,
    /// Runs that failed.
    pub(crate) failures: u32,
    /// Failures for which nothing but the item can be blamed.
    pub(crate) blamed: u32,
    /// Where it failed; it is run elsewhere as long as there is another target.
    pub(crate) failed_at: Vec<TargetId>,
    /// The last event and the failures of which the progress was noted.
    pub(crate) saved_event: Option<u64>,
    pub(crate) saved_failures: u32,
    /// When its job was submitted.
    pub(crate) submitted_unix_ms: u64,
    /// Time from then on after which it is due.
    pub(crate) due_after: Duration,
    /// When this host read it; the job is at least as old.
    pub(crate) known_since: Instant,
    /// The name of its content, once that was asked for.
    pub(crate) fingerprint: OnceLock<Fingerprint>,
}

impl Item {
    /// Returns the name of its content.
    pub(crate) fn fingerprint(&self, decode: &Decode) -> Fingerprint {
        let made = || fingerprint::of(decode, &self.host, &self.forward);
        *self.fingerprint.get_or_init(made)
    }

    /// Returns when it is due.
    pub(crate) fn due_unix_ms(&self) -> u64 {
        self.submitted_unix_ms
            .saturating_add(millis(self.due_after))
    }

    /// Returns how many events are here.
    pub(crate) fn events(&self) -> u64 {
        count(self.last_event)
    }

    /// Returns how many events came since its progress was noted.
    pub(crate) fn unsaved_events(&self) -> u64 {
        self.events().saturating_sub(count(self.saved_event))
    }

    /// Returns whether there is anything about it to note.
    pub(crate) fn is_unsaved(&self) -> bool {
        self.unsaved_events() > 0 || self.failures > self.saved_failures
    }

    /// Notes that it failed at a target, which may be the one to blame.
    pub(crate) fn failed(&mut self, target: &TargetId, is_targets_fault: bool) {
        self.failures += 1;
        self.blamed += u32::from(!is_targets_fault);
        self.failed_at.push(target.clone());
    }

    /// Returns whether it has failed as often as its route allows.
    pub(crate) fn is_spent(&self, attempts_max: u32) -> bool {
        let most = attempts_max.max(1);
        self.blamed >= most || self.failures >= most.saturating_mul(FAILURES_PER_ATTEMPT)
    }

    /// Lets it go on from where it had got elsewhere.
    pub(crate) fn resume(&mut self, saved: Saved) {
        self.saved_event = saved.last_event;
        self.saved_failures = saved.failures;
        self.last_event = saved.last_event;
        self.failures = saved.failures;
        self.blamed = saved.blamed;
        self.text = saved.text;
    }
}

#[derive(Debug)]
struct Owned {
    epoch: Offset,
    /// Nothing while its items are being read.
    waiting: Option<HashSet<u32>>,
}

/// Items of the jobs that this host owns.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    queue: Queue<ItemKey, Item>,
    owned: HashMap<JobId, Owned>,
}

impl Backlog {
    /// Takes in what the job records say; returns the jobs whose items are to
    /// be read and given to [`Self::loaded`].
    pub(crate) fn sync(&mut self, jobs: &Jobs, host: &str) -> Vec<(Offset, Arc<Accepted>)> {
        self.owned.retain(|job, owned_job| {
            let known = jobs.get(job);
            known.is_some_and(|j| j.is_open() && j.owner == host && j.epoch == owned_job.epoch)
        });
        let owned = &self.owned;
        self.queue.retain(|(job, item)| {
            owned.contains_key(job) && !jobs.get(job).is_none_or(|j| j.is_listed(*item))
        });
        let mut missing = Vec::new();
        for job in jobs.open().filter(|job| job.owner == host) {
            let id = &job.accepted.job;
            if self.owned.contains_key(id) {
                continue;
            }
            let owned_job = Owned {
                epoch: job.epoch,
                waiting: None,
            };
            self.owned.insert(id.clone(), owned_job);
            missing.push((job.epoch, Arc::clone(&job.accepted)));
        }
        missing
    }

    /// Takes in the items of a job.
    pub(crate) fn loaded(&mut self, epoch: Offset, job: &str, items: Vec<Item>, jobs: &Jobs) {
        let Some(owned_job) = self.owned.get_mut(job) else {
            return;
        };
        if owned_job.epoch != epoch || owned_job.waiting.is_some() {
            return;
        }
        let Some(known) = jobs.get(job) else {
            return;
        };
        let items = items
            .into_iter()
            .filter(|item| !known.is_listed(item.key.1));
        let mut waiting = HashSet::new();
        for item in items {
            waiting.insert(item.key.1);
            self.queue.push(item.due_unix_ms(), item.key.clone(), item);
        }
        owned_job.waiting = Some(waiting);
    }

    /// Gives up reading a job's items for now; they are asked for again.
    pub(crate) fn not_loaded(&mut self, job: &str) {
        self.owned.remove(job);
    }

    /// Puts items that come too late behind all others.
    pub(crate) fn put_late_behind(&mut self, is_late: impl Fn(&Item) -> bool) {
        self.queue.demote_late(is_late);
    }

    /// Returns how many items wait, by when they are due.
    pub(crate) fn waiting(&self) -> Vec<QueuedItems> {
        self.queue.summary(DUE_TIMES_MAX)
    }

    /// Returns the item to run next and where it stands, without taking it.
    pub(crate) fn peek(&self) -> Option<(Deadline, &Item)> {
        self.queue.peek()
    }

    /// Takes the item to run next.
    pub(crate) fn take(&mut self) -> Option<Item> {
        self.queue.pop()
    }

    /// Puts back an item that is to go on later.
    pub(crate) fn put_back(&mut self, item: Item) {
        let owned_job = self.owned.get(&item.key.0);
        let is_wanted = owned_job.is_some_and(|owned_job| owned_job.is_waiting(item.key.1));
        if is_wanted {
            self.queue.push(item.due_unix_ms(), item.key.clone(), item);
        }
    }

    /// Notes that an item's end is about to be recorded.
    pub(crate) fn settled(&mut self, key: &ItemKey) {
        let owned_job = self.owned.get_mut(&key.0);
        if let Some(waiting) = owned_job.and_then(|owned_job| owned_job.waiting.as_mut()) {
            waiting.remove(&key.1);
        }
    }

    /// Returns whether an item is still this host's to run.
    pub(crate) fn is_wanted(&self, key: &ItemKey) -> bool {
        self.owned
            .get(&key.0)
            .is_some_and(|owned_job| owned_job.is_waiting(key.1))
    }

    /// Returns whether there is no job to run.
    pub(crate) fn is_idle(&self) -> bool {
        self.owned.is_empty()
    }

    /// Returns the items that wait, to note how far they have got.
    pub(crate) fn waiting_mut(&mut self) -> impl Iterator<Item = &mut Item> {
        self.queue.iter_mut()
    }

    /// Returns how many of the items that wait come too late.
    pub(crate) fn late(&self) -> usize {
        self.queue.late_len()
    }

    /// Returns the number of items that wait.
    pub(crate) fn len(&self) -> usize {
        self.queue.len()
    }
}

/// Returns the number of events up to the last one.
pub(crate) fn count(last_event: Option<u64>) -> u64 {
    last_event.map_or(0, |event| event + 1)
}

impl Owned {
    fn is_waiting(&self, item: u32) -> bool {
        self.waiting.as_ref().is_some_and(|w| w.contains(&item))
    }
}
