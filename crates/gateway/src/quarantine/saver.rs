//! Writes what is known of crashes to the store.
//!
//! A host that sees a crash records it at once, since it may be killed before another host knows of
//! it. All that one crash makes suspects of is written in one call for each topic, and clearances are
//! collected for a moment: most suspects are cleared by the next answers. A record holds what the
//! writer knew when it was written, so a failed write that is repeated brings back nothing that was
//! cleared meanwhile.
//!
//! A record replaces the one before, whoever wrote that. So nothing is written before the records are
//! known, and a host that reads a record which lacks crashes it knows of writes it again.
//!
//! A record of its own for each writer was rejected: whoever clears a part would have to find them all.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use notchwharf_routing::fingerprint::Fingerprint;
use notchwharf_routing::prompt::PartId;
use tokio::sync::Notify;
use tokio::sync::oneshot;

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
#[derive(Debug, Default)]
struct Unsaved {
    requests: HashSet<Fingerprint>,
    parts: HashSet<PartId>,
    /// Whether it includes a crash.
    is_urgent: bool,
    /// Each dropped once its crash is written.
    waiting: Vec<oneshot::Sender<()>>,
}

/// The records to write, and those that the store has.
#[derive(Debug, Default)]
pub(super) struct Saver {
    unsaved: Mutex<Unsaved>,
    /// Requests and parts with a record that this host wrote or read.
    stored_requests: Mutex<HashSet<Fingerprint>>,
    stored_parts: Mutex<HashSet<PartId>>,
    changed: Notify,
}

impl Saver {
    fn add(&self, change: impl FnOnce(&mut Unsaved)) {
        change(&mut lock(&self.unsaved));
        self.changed.notify_one();
    }

    /// Records whether the store has a record of a request.
    pub(super) fn set_request_stored(&self, fingerprint: Fingerprint, is_stored: bool) {
        set(&mut lock(&self.stored_requests), fingerprint, is_stored);
    }

    /// Records whether the store has a record of a part.
    pub(super) fn set_part_stored(&self, part: PartId, is_stored: bool) {
        set(&mut lock(&self.stored_parts), part, is_stored);
    }

    /// Writes a request soon, or deletes its record if it was cleared.
    pub(super) fn add_request(&self, fingerprint: Fingerprint) {
        self.add(|unsaved| {
            unsaved.requests.insert(fingerprint);
        });
    }

    /// Writes a part soon, or deletes its record if it was cleared.
    pub(super) fn add_part(&self, part: PartId) {
        self.add(|unsaved| {
            unsaved.parts.insert(part);
        });
    }

    /// Deletes the record of a cleared request soon, if there is one.
    pub(super) fn clear_request(&self, fingerprint: Fingerprint) {
        if lock(&self.stored_requests).contains(&fingerprint) {
            self.add_request(fingerprint);
        }
    }

    /// Deletes the record of a cleared part soon, if there is one.
    pub(super) fn clear_part(&self, part: PartId) {
        if lock(&self.stored_parts).contains(&part) {
            self.add_part(part);
        }
    }
}

fn set<T: Eq + std::hash::Hash>(stored: &mut HashSet<T>, subject: T, is_stored: bool) {
    match is_stored {
        true => stored.insert(subject),
        false => stored.remove(&subject),
    };
}

/// Writes what a crash made suspects of; returns once the store has it, or the host stops.
pub(super) async fn save(ctx: &Context, requests: Vec<Fingerprint>, parts: Vec<PartId>) {
    let (waiting, done) = oneshot::channel();
    ctx.suspects.saver.add(|unsaved| {
        unsaved.requests.extend(requests);
        unsaved.parts.extend(parts);
        unsaved.is_urgent = true;
        unsaved.waiting.push(waiting);
    });
    // An error is the normal end: the sender is dropped.
    let _ = done.await;
}

/// Writes changes until the host stops.
pub(super) async fn run(ctx: Arc<Context>) {
    tokio::select! {
        () = save_changes(&ctx) => {}
        () = ctx.stopped() => {}
    }
}

async fn save_changes(ctx: &Context) {
    let saver = &ctx.suspects.saver;
    loop {
        saver.changed.notified().await;
        if !lock(&saver.unsaved).is_urgent {
            collect(saver).await;
        }
        ctx.suspects.wait_until_known().await;
        let unsaved = std::mem::take(&mut *lock(&saver.unsaved));
        // The store's wrapper logs the failure.
        if write(ctx, &unsaved).await.is_err() {
            saver.add(|newer| {
                newer.requests.extend(unsaved.requests);
                newer.parts.extend(unsaved.parts);
                newer.is_urgent |= unsaved.is_urgent;
                newer.waiting.extend(unsaved.waiting);
            });
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Waits until more changes have come, or a crash.
async fn collect(saver: &Saver) {
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

/// Writes what is known of some requests and parts.
///
/// # Errors
///
/// Returns the store's failure; then some of it may have been written.
async fn write(ctx: &Context, unsaved: &Unsaved) -> Result<(), StoreError> {
    let saver = &ctx.suspects.saver;
    let requests = unsaved.requests.iter().map(|f| records::entry(ctx, *f));
    let parts = unsaved
        .parts
        .iter()
        .map(|part| part_records::entry(ctx, *part));
    let (requests, parts): (Vec<Entry>, Vec<Entry>) = (requests.collect(), parts.collect());
    let is_stored: Vec<bool> = requests.iter().map(|entry| entry.value.is_some()).collect();
    let are_parts_stored: Vec<bool> = parts.iter().map(|entry| entry.value.is_some()).collect();
    tokio::try_join!(
        append(ctx, Topic::Blamed, requests),
        append(ctx, Topic::BlamedParts, parts)
    )?;
    for (fingerprint, is_stored) in unsaved.requests.iter().zip(is_stored) {
        saver.set_request_stored(*fingerprint, is_stored);
    }
    for (part, is_stored) in unsaved.parts.iter().zip(are_parts_stored) {
        saver.set_part_stored(*part, is_stored);
    }
    Ok(())
}

async fn append(ctx: &Context, topic: Topic, entries: Vec<Entry>) -> Result<(), StoreError> {
    for entries in entries.chunks(ENTRIES_MAX) {
        ctx.store.append(topic, 0, entries.to_vec()).await?;
    }
    Ok(())
}
