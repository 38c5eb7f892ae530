//! Maintenance by the owner: keeps the queue consistent with the fold, fails items that have
//! exhausted their attempts, writes snapshots, and removes or rewrites data before it expires
//! from the log.

use std::time::Duration;

use super::Effect;
use super::Now;
use super::Owner;
use crate::job::Failure;
use crate::job::Job;
use crate::job::Phase;
use crate::job::State;
use crate::record::BlobId;
use crate::record::Dropped;
use crate::record::Entry;
use crate::record::ItemIndex;
use crate::record::JobId;
use crate::record::Offset;
use crate::record::Record;
use crate::shard::Outcome;

/// Maximum number of finished jobs, input files and keys removed in one tick.
const REMOVALS_MAX: usize = 64;

impl Owner {
    /// Updates the queue with the entries of a record that took effect.
    pub(super) fn update_queue(&mut self, record: &Record, outcomes: &[Outcome]) {
        if self.held_epoch.is_none() {
            return;
        }
        let applied = record.entries.iter().zip(outcomes);
        for (entry, _) in applied.filter(|(_, outcome)| outcome.is_ok()) {
            match entry {
                Entry::Job(spec) => {
                    if let Some(job) = self.shard.jobs().get(&spec.id) {
                        self.queue.add(job);
                    }
                }
                Entry::Done { job, item, .. } | Entry::Failed { job, item, .. } => {
                    self.queue.finish(job, *item);
                }
                Entry::Attempt { job, item, .. } => self.retry_or_fail(job, *item),
                Entry::Snapshot { .. } => self.records_since_snapshot = 0,
                _ => {}
            }
        }
    }

    /// Fails the items that exhausted their attempts under the previous holder, which may have
    /// lost the lease before it could record the failures.
    pub(super) fn fail_exhausted(&mut self, now: Now) {
        let attempts_max = self.cfg.attempts_max;
        let mut exhausted = Vec::new();
        for (id, job) in self.shard.jobs() {
            let items = (0..).zip(&job.items);
            let exhausted_items =
                items.filter(|(_, i)| i.phase == Phase::Pending && i.attempts >= attempts_max);
            exhausted.extend(
                exhausted_items.map(|(item, item_state)| (id.clone(), item, item_state.attempts)),
            );
        }
        for (job, item, attempts) in exhausted {
            let failure = Failure::AttemptsExhausted { attempts };
            self.push(None, now.at, Entry::Failed { job, item, failure });
        }
    }

    /// Requeues an item after a failed attempt, or fails it if it has exhausted its attempts.
    fn retry_or_fail(&mut self, job: &str, item: ItemIndex) {
        let item_state = self
            .shard
            .jobs()
            .get(job)
            .and_then(|j| j.items.get(item as usize));
        let Some(item_state) = item_state.filter(|i| i.phase == Phase::Pending) else {
            return;
        };
        let attempts = item_state.attempts;
        if attempts < self.cfg.attempts_max {
            self.queue
                .requeue(self.shard.jobs(), (job.to_owned(), item));
            return;
        }
        let entry = Entry::Failed {
            job: job.to_owned(),
            item,
            failure: Failure::AttemptsExhausted { attempts },
        };
        self.push(None, self.lease_renewed_at, entry);
    }

    pub(super) fn maybe_save_snapshot(&mut self, now: Now) {
        let is_record_limit_reached = self.records_since_snapshot >= self.cfg.snapshot_records;
        let age_ms = now.unix_ms.saturating_sub(self.snapshot_unix_ms);
        let is_old = age_ms >= millis(self.cfg.rewrite_after) && self.records_since_snapshot > 0;
        if self.is_writing_blobs || !(is_record_limit_reached || is_old) {
            return;
        }
        self.is_writing_blobs = true;
        let upto = self.shard.next_offset().saturating_sub(1);
        let bytes = self.shard.encode();
        self.effects.push(Effect::SaveSnapshot { bytes, upto });
    }

    pub(super) fn snapshot_saved(&mut self, now: Now, parts: Vec<BlobId>, upto: Offset) {
        self.is_writing_blobs = false;
        if self.held_epoch.is_none() {
            return;
        }
        self.records_since_snapshot = 0;
        self.snapshot_unix_ms = now.unix_ms;
        self.push(None, now.at, Entry::Snapshot { parts, upto });
    }

    pub(super) fn blobs_rewritten(&mut self, now: Now, job: JobId, blobs: Vec<(BlobId, BlobId)>) {
        self.is_writing_blobs = false;
        let at_unix_ms = now.unix_ms;
        let entry = Entry::Moved {
            job,
            blobs,
            at_unix_ms,
        };
        self.push(None, now.at, entry);
    }

    /// Removes expired input files, keys and finished jobs, and rewrites blobs of the remaining
    /// jobs before they expire from the log.
    pub(super) fn remove_expired(&mut self, now: Now) {
        if self.outstanding.is_some() || !self.pending.is_empty() {
            return;
        }
        let age = |since_ms: u64| Duration::from_millis(now.unix_ms.saturating_sub(since_ms));
        let retention = self.cfg.retention;
        let rewrite_after = self.cfg.rewrite_after;
        let files = self.shard.files().values();
        let files = files
            .filter(|f| age(f.created_unix_ms) >= rewrite_after)
            .map(|f| Dropped::File(f.id.clone()));
        let keys = self.shard.keys().iter();
        let keys = keys
            .filter(|(_, key)| age(key.at_unix_ms) >= rewrite_after.min(retention))
            .map(|(id, _)| Dropped::Key(id.clone()));
        let jobs = self.shard.jobs().values();
        let jobs = jobs
            .filter(|j| j.state() != State::InProgress && age(j.spec.created_unix_ms) >= retention)
            .map(|j| Dropped::Job(j.spec.id.clone()));
        let removals: Vec<Dropped> = files.chain(keys).chain(jobs).take(REMOVALS_MAX).collect();
        for removal in removals {
            self.push(None, now.at, Entry::Drop(removal));
        }
        self.maybe_rewrite_blobs(now);
    }

    fn maybe_rewrite_blobs(&mut self, now: Now) {
        if self.is_writing_blobs {
            return;
        }
        let rewrite_after_ms = millis(self.cfg.rewrite_after);
        let is_due = |j: &&Job| now.unix_ms.saturating_sub(j.blobs_unix_ms) >= rewrite_after_ms;
        let Some(job) = self.shard.jobs().values().find(is_due) else {
            return;
        };
        let effect = Effect::RewriteBlobs {
            job: job.spec.id.clone(),
            blobs: blobs_of(job),
        };
        self.is_writing_blobs = true;
        self.effects.push(effect);
    }
}

/// Returns the blobs to which a job refers, without duplicates.
fn blobs_of(job: &Job) -> Vec<BlobId> {
    let payloads = job.spec.manifest.chunks.iter().map(|c| c.blob);
    let done = job.items.iter().filter(|i| i.phase == Phase::Done);
    let results = done.map(|i| BlobId {
        stream: i.result.stream,
        offset: i.result.offset,
    });
    let distinct: std::collections::BTreeSet<(u16, Offset)> = payloads
        .chain(results)
        .map(|b| (b.stream, b.offset))
        .collect();
    distinct
        .into_iter()
        .map(|(stream, offset)| BlobId { stream, offset })
        .collect()
}

fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
