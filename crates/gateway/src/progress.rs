//! What unfinished items have generated, kept in the store.
//!
//! A host that dies takes with it what its items generated, and whoever ran
//! them next would begin anew. So each host writes the texts of items that have
//! got on, those of many items in one call, and a host that takes a job over or
//! starts again lets its items go on behind their last events. Nothing here is
//! truth: an item without a record begins anew, an old one costs some work.
//!
//! A record holds the whole text and replaces the one before. Pieces of it were
//! rejected: those that two hosts wrote of two runs, joined, are no answer. A
//! copy at a peer was rejected as well: it is gone when all hosts lose power.
//!
//! Each host writes to a partition of its own, shared with few others, so that
//! a host that takes over lists little beside what it needs.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use bytes::Bytes;
use notchwharf_ledger::jobs::HostId;
use notchwharf_listen::Phase;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::backlog::Item;
use crate::backlog::ItemKey;
use crate::blobs::RECORD_OVERHEAD_BYTES;
use crate::blobs::part_of;
use crate::metrics::Counted;
use crate::metrics::Metrics;
use crate::ports::Entry;
use crate::ports::StoreError;
use crate::ports::Topic;
use crate::store::Store;
use crate::sync::lock;

/// Partitions of the records, all of which are listed to drop those that nobody
/// needs: they hold open items only, so few partitions hold little each.
const PARTS: u32 = 8;

/// How far an item has got.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Saved {
    /// The data of the events so far, joined by line feeds.
    pub(crate) text: Vec<u8>,
    /// The number of the last of them.
    pub(crate) last_event: Option<u64>,
    /// Runs that failed.
    pub(crate) failures: u32,
    /// Failures for which nothing but the item can be blamed.
    pub(crate) blamed: u32,
}

/// What this host has written of its items, and has yet to write.
pub(crate) struct Progress {
    state: Mutex<State>,
    uses: Uses,
}

/// What keeping progress takes.
pub(crate) struct Uses {
    pub(crate) store: Store,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) logger: slog::Logger,
    /// The host, whose name says to which partition it writes.
    pub(crate) host: HostId,
    /// Bytes of the records of one call at most.
    pub(crate) call_bytes_max: usize,
}

#[derive(Debug, Default)]
struct State {
    /// Records to write; without a value they drop what was written.
    unsaved: HashMap<ItemKey, Option<Bytes>>,
    /// Items with a record in the store.
    saved: HashSet<ItemKey>,
}

impl Progress {
    /// Returns that nothing was written yet.
    pub(crate) fn new(uses: Uses) -> Self {
        Self {
            state: Mutex::default(),
            uses,
        }
    }

    /// Notes how far an item has got, to be written soon.
    pub(crate) fn note(&self, item: &mut Item) {
        let saved = Saved {
            text: item.text.clone(),
            last_event: item.last_event,
            failures: item.failures,
            blamed: item.blamed,
        };
        item.saved_event = item.last_event;
        item.saved_failures = item.failures;
        let bytes = postcard::to_stdvec(&saved).expect("Progress is representable.");
        let unsaved = Some(Bytes::from(bytes));
        lock(&self.state).unsaved.insert(item.key.clone(), unsaved);
    }

    /// Notes that an item needs no record any more.
    pub(crate) fn settled(&self, key: &ItemKey) {
        let mut state = lock(&self.state);
        state.unsaved.remove(key);
        if state.saved.remove(key) {
            state.unsaved.insert(key.clone(), None);
        }
    }

    /// Takes what is to be written, as much as one call carries.
    fn take(&self, bytes_max: usize) -> Vec<(ItemKey, Option<Bytes>)> {
        let mut state = lock(&self.state);
        let mut left = bytes_max;
        let mut fitting = Vec::new();
        for (key, value) in &state.unsaved {
            let bytes = RECORD_OVERHEAD_BYTES + value.as_ref().map_or(0, Bytes::len);
            if bytes <= left {
                left -= bytes;
                fitting.push(key.clone());
            }
        }
        let taken = fitting.into_iter().filter_map(|key| {
            let value = state.unsaved.remove(&key)?;
            Some((key, value))
        });
        taken.collect()
    }

    fn written(&self, batch: Vec<(ItemKey, Option<Bytes>)>) {
        let mut state = lock(&self.state);
        let kept = batch.into_iter().filter(|(_, value)| value.is_some());
        state.saved.extend(kept.map(|(key, _)| key));
    }

    fn not_written(&self, batch: Vec<(ItemKey, Option<Bytes>)>) {
        let mut state = lock(&self.state);
        for (key, value) in batch {
            state.unsaved.entry(key).or_insert(value);
        }
    }

    /// Writes what is to be written at each tick, until the host leaves.
    pub(crate) async fn run(
        &self,
        mut ticks: mpsc::Receiver<Instant>,
        phase: watch::Receiver<Phase>,
    ) {
        while ticks.recv().await.is_some() && *phase.borrow() < Phase::Leaving {
            if self.uses.store.is_up() {
                // Not written, it is tried again; the store's wrapper logs why.
                let _ = self.save().await;
            }
        }
    }

    /// Writes all that is to be written.
    ///
    /// # Errors
    ///
    /// Returns the store's failure; what was not written is kept.
    pub(crate) async fn save(&self) -> Result<(), StoreError> {
        let part = part_of(&self.uses.host, PARTS);
        loop {
            let batch = self.take(self.uses.call_bytes_max);
            if batch.is_empty() {
                return Ok(());
            }
            let entries = batch.iter().map(|(key, value)| Entry {
                key: record_key(key),
                value: value.clone(),
            });
            let appended = self
                .uses
                .store
                .append(Topic::Progress, part, entries.collect());
            if let Err(err) = appended.await {
                self.not_written(batch);
                return Err(err);
            }
            self.uses.metrics.count(Counted::Items, "progress saved");
            self.written(batch);
        }
    }

    /// Returns how far a job's items had got at hosts that ran them, by the items'
    /// numbers.
    ///
    /// # Errors
    ///
    /// Returns the store's failure.
    pub(crate) async fn read(
        &self,
        job: &str,
        hosts: &[HostId],
    ) -> Result<HashMap<u32, Saved>, StoreError> {
        let mut written: Vec<u32> = hosts.iter().map(|host| part_of(host, PARTS)).collect();
        written.sort_unstable();
        written.dedup();
        let mut found: HashMap<u32, Saved> = HashMap::new();
        for part in written {
            for (item, saved) in self.read_part(job, part).await? {
                let known = found.get(&item).map(|known| known.last_event);
                if known.is_none_or(|known| known < saved.last_event) {
                    found.insert(item, saved);
                }
            }
        }
        Ok(found)
    }

    async fn read_part(&self, job: &str, part: u32) -> Result<Vec<(u32, Saved)>, StoreError> {
        let prefix = format!("{job}/");
        let mut after = prefix.clone();
        let mut found = Vec::new();
        loop {
            let newest = self.uses.store.newest(Topic::Progress, part, Some(after));
            let page = newest.await?;
            let last = page.records.last().map(|r| r.entry.key.clone());
            for record in page.records {
                let Some(number) = record.entry.key.strip_prefix(&prefix) else {
                    continue;
                };
                let number = number.parse().ok();
                let saved = record.entry.value.as_deref().map(postcard::from_bytes);
                match (number, saved) {
                    (Some(number), Some(Ok(saved))) => found.push((number, saved)),
                    _ => slog::error!(self.uses.logger, "unreadable progress";
                        "key" => record.entry.key),
                }
            }
            match last.filter(|last| page.has_more && last.starts_with(&prefix)) {
                Some(last) => after = last,
                None => return Ok(found),
            }
        }
    }
}

fn record_key(key: &ItemKey) -> String {
    format!("{}/{:04}", key.0, key.1)
}

/// Drops the records of jobs that are not open any more. A job that was taken
/// in just now may look like one of them: its items then begin anew if their
/// host dies at once.
///
/// # Errors
///
/// Returns the store's failure.
pub(crate) async fn drop_stale(
    store: &Store,
    is_open: impl Fn(&str) -> bool,
) -> Result<(), StoreError> {
    for part in 0..PARTS {
        let listing = store.all_newest(Topic::Progress, part).await?;
        let records = listing.before_end();
        let keys = records.into_iter().map(|record| record.entry.key);
        let stale = keys.filter(|key| key.rsplit_once('/').is_none_or(|(job, _)| !is_open(job)));
        let stale: Vec<Entry> = stale.map(Entry::tombstone).collect();
        if !stale.is_empty() {
            store.append(Topic::Progress, part, stale).await?;
        }
    }
    Ok(())
}
