//! Writes what is known of crashes to the store.
//!
//! A host that sees a crash records it at once, since it may be killed before another host knows of
//! it. All that one crash makes suspects of is written in one call for each topic, and clearances are
//! collected for a moment: most suspects are cleared by the next answers. A record holds what the
//! writer knew when it was written, so a failed write that is repeated brings back nothing that was
//! cleared meanwhile.
//!
//! A record replaces the one before, whoever wrote that. So nothing is written to a topic before its
//! records have been read, and a host that reads a record which lacks crashes it knows of writes it again.
//!
//! A record of its own for each writer was rejected: whoever clears a part would have to find them all.

use std::collections::HashSet;
use std::hash::Hash;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use notchwharf_routing::fingerprint::Fingerprint;
use notchwharf_routing::prompt::PartId;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use super::Suspects;
use super::part_records;
use super::records;
use crate::context::Context;
use crate::ports::Entry;
use crate::ports::StoreError;
use crate::ports::Topic;
use crate::sync::lock;

/// Delay before clearances are written, and a record that lacks crashes is written again.
const COLLECT_TIME: Duration = Duration::from_millis(500);
/// Delay before a failed call of the store is retried.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of records in a call.
const ENTRIES_MAX: usize = 256;

/// What has to be written.
#[derive(Debug)]
struct Unsaved<K> {
    subjects: HashSet<K>,
    /// Whether it includes a crash.
    is_urgent: bool,
    /// Each dropped once its crash is written.
    waiting: Vec<oneshot::Sender<()>>,
}

impl<K> Default for Unsaved<K> {
    fn default() -> Self {
        Self {
            subjects: HashSet::new(),
            is_urgent: false,
            waiting: Vec::new(),
        }
    }
}

/// The records of a topic: those to write, and those that the store has.
#[derive(Debug)]
pub(super) struct Saver<K> {
    unsaved: Mutex<Unsaved<K>>,
    /// What has a record that this host wrote or read.
    stored: Mutex<HashSet<K>>,
    changed: Notify,
}

impl<K> Default for Saver<K> {
    fn default() -> Self {
        Self {
            unsaved: Mutex::default(),
            stored: Mutex::default(),
            changed: Notify::new(),
        }
    }
}

impl<K: Copy + Eq + Hash> Saver<K> {
    fn update(&self, change: impl FnOnce(&mut Unsaved<K>)) {
        change(&mut lock(&self.unsaved));
        self.changed.notify_one();
    }

    /// Records whether the store has a record of a subject.
    pub(super) fn set_stored(&self, subject: K, is_stored: bool) {
        let mut stored = lock(&self.stored);
        match is_stored {
            true => stored.insert(subject),
            false => stored.remove(&subject),
        };
    }

    /// Writes a subject soon, or deletes its record if it was cleared.
    pub(super) fn add(&self, subject: K) {
        self.update(|unsaved| {
            unsaved.subjects.insert(subject);
        });
    }

    /// Deletes the record of a cleared subject soon, if there is one.
    pub(super) fn clear(&self, subject: K) {
        if lock(&self.stored).contains(&subject) {
            self.add(subject);
        }
    }

    /// Writes what a crash made suspects of; the receiver ends once the store has it.
    fn add_crash(&self, subjects: Vec<K>) -> oneshot::Receiver<()> {
        let (waiting, done) = oneshot::channel();
        self.update(|unsaved| {
            unsaved.subjects.extend(subjects);
            unsaved.is_urgent = true;
            unsaved.waiting.push(waiting);
        });
        done
    }
}

/// Changes that are being written; dropping them unwritten puts them back.
struct Taken<'a, K: Copy + Eq + Hash> {
    saver: &'a Saver<K>,
    unsaved: Unsaved<K>,
}

impl<'a, K: Copy + Eq + Hash> Taken<'a, K> {
    fn from(saver: &'a Saver<K>) -> Self {
        let unsaved = std::mem::take(&mut *lock(&saver.unsaved));
        Self { saver, unsaved }
    }

    fn finish(mut self) {
        self.unsaved = Unsaved::default();
    }
}

impl<K: Copy + Eq + Hash> Drop for Taken<'_, K> {
    fn drop(&mut self) {
        let unsaved = std::mem::take(&mut self.unsaved);
        if unsaved.subjects.is_empty() && unsaved.waiting.is_empty() {
            return;
        }
        self.saver.update(|newer| {
            newer.subjects.extend(unsaved.subjects);
            newer.is_urgent |= unsaved.is_urgent;
            newer.waiting.extend(unsaved.waiting);
        });
    }
}

/// What a topic's records are of.
struct Kind<K> {
    topic: Topic,
    saver: fn(&Suspects) -> &Saver<K>,
    /// Returns the record of a subject, or one that deletes it if the subject was cleared.
    entry: fn(&Context, K) -> Entry,
}

/// Writes what a crash made suspects of; returns once the store has it, or the host stops.
pub(super) async fn save(ctx: &Context, requests: Vec<Fingerprint>, parts: Vec<PartId>) {
    let requests = ctx.suspects.request_saver.add_crash(requests);
    let parts = ctx.suspects.part_saver.add_crash(parts);
    // Errors are the normal end: the senders are dropped.
    let _ = tokio::join!(requests, parts);
}

/// Writes changes of the records of requests until the host stops.
pub(super) async fn save_requests(ctx: Arc<Context>) {
    let kind = Kind {
        topic: Topic::Blamed,
        saver: |suspects| &suspects.request_saver,
        entry: records::entry,
    };
    run(&ctx, &kind).await;
}

/// Writes changes of the records of parts until the host stops.
pub(super) async fn save_parts(ctx: Arc<Context>) {
    let kind = Kind {
        topic: Topic::BlamedParts,
        saver: |suspects| &suspects.part_saver,
        entry: part_records::entry,
    };
    run(&ctx, &kind).await;
}

async fn run<K: Copy + Eq + Hash>(ctx: &Context, kind: &Kind<K>) {
    tokio::select! {
        () = save_changes(ctx, kind) => {}
        () = ctx.stopped() => {}
    }
}

async fn save_changes<K: Copy + Eq + Hash>(ctx: &Context, kind: &Kind<K>) {
    let saver = (kind.saver)(&ctx.suspects);
    loop {
        saver.changed.notified().await;
        if !lock(&saver.unsaved).is_urgent {
            collect(saver).await;
        }
        ctx.suspects.wait_until_read(kind.topic).await;
        let taken = Taken::from(saver);
        // The store's wrapper logs the failure.
        match write(ctx, kind, &taken.unsaved.subjects).await {
            Ok(()) => taken.finish(),
            Err(_) => {
                drop(taken);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Waits until more changes have come, or a crash.
async fn collect<K: Copy + Eq + Hash>(saver: &Saver<K>) {
    let ends_at = tokio::time::Instant::now() + COLLECT_TIME;
    while tokio::time::timeout_at(ends_at, saver.changed.notified())
        .await
        .is_ok()
    {
        if lock(&saver.unsaved).is_urgent {
            return;
        }
    }
}

/// Writes what is known of some subjects.
///
/// # Errors
///
/// Returns the store's failure; then some of it may have been written.
async fn write<K: Copy + Eq + Hash>(
    ctx: &Context,
    kind: &Kind<K>,
    subjects: &HashSet<K>,
) -> Result<(), StoreError> {
    let saver = (kind.saver)(&ctx.suspects);
    let entries = subjects.iter().map(|subject| (kind.entry)(ctx, *subject));
    let entries: Vec<Entry> = entries.collect();
    for entries in entries.chunks(ENTRIES_MAX) {
        ctx.store.append(kind.topic, 0, entries.to_vec()).await?;
    }
    for (subject, entry) in subjects.iter().zip(&entries) {
        saver.set_stored(*subject, entry.value.is_some());
        // It may have been cleared while it was written, when its record was not known yet.
        let is_cleared = || (kind.entry)(ctx, *subject).value.is_none();
        if entry.value.is_some() && is_cleared() {
            saver.add(*subject);
        }
    }
    Ok(())
}
