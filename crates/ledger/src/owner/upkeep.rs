//! What an owner does unasked: final answers for spent items, snapshots, and
//! dropping or carrying forward what grows old.

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

/// Most ended jobs, lots and keys dropped in one tick.
const DROPS_MAX: usize = 64;

impl Owner {
    /// Follows what a record means for items that hosts run.
    pub(super) fn track(&mut self, record: &Record, outcomes: &[Outcome]) {
        if self.held.is_none() {
            return;
        }
        let counted = record.entries.iter().zip(outcomes);
        for (entry, _) in counted.filter(|(_, outcome)| outcome.is_ok()) {
            match entry {
                Entry::Job(spec) => {
                    if let Some(job) = self.shard.jobs().get(&spec.id) {
                        self.queue.add(job);
                    }
                }
                Entry::Done { job, item, .. } | Entry::Failed { job, item, .. } => {
                    self.queue.settle(job, *item);
                }
                Entry::Attempt { job, item, .. } => self.after_attempt(job, *item),
                Entry::Snapshot { .. } => self.records_since_snapshot = 0,
                _ => {}
            }
        }
    }

    /// Fails what the holder before this one could not any more.
    pub(super) fn fail_exhausted(&mut self, now: Now) {
        let max = self.cfg.attempts_max;
        let mut exhausted = Vec::new();
        for (id, job) in self.shard.jobs() {
            let items = (0..).zip(&job.items);
            let spent = items.filter(|(_, i)| i.phase == Phase::Pending && i.attempts >= max);
            exhausted.extend(spent.map(|(item, slot)| (id.clone(), item, slot.attempts)));
        }
        for (job, item, attempts) in exhausted {
            let failure = Failure::AttemptsExhausted { attempts };
            self.push(None, now.at, Entry::Failed { job, item, failure });
        }
    }

    fn after_attempt(&mut self, job: &str, item: ItemIndex) {
        let slot = self
            .shard
            .jobs()
            .get(job)
            .and_then(|j| j.items.get(item as usize));
        let Some(slot) = slot.filter(|i| i.phase == Phase::Pending) else {
            return;
        };
        let attempts = slot.attempts;
        if attempts < self.cfg.attempts_max {
            self.queue
                .give_back(self.shard.jobs(), (job.to_owned(), item));
            return;
        }
        let entry = Entry::Failed {
            job: job.to_owned(),
            item,
            failure: Failure::AttemptsExhausted { attempts },
        };
        self.push(None, self.heard_at, entry);
    }

    pub(super) fn maybe_save(&mut self, now: Now) {
        let many = self.records_since_snapshot >= self.cfg.snapshot_records;
        let age_ms = now.unix_ms.saturating_sub(self.snapshot_unix_ms);
        let old = age_ms >= millis(self.cfg.rewrite_after) && self.records_since_snapshot > 0;
        if self.saving || !(many || old) {
            return;
        }
        self.saving = true;
        let upto = self.shard.next_offset().saturating_sub(1);
        let bytes = self.shard.encode();
        self.effects.push(Effect::SaveSnapshot { bytes, upto });
    }

    pub(super) fn saved(&mut self, now: Now, parts: Vec<BlobId>, upto: Offset) {
        self.saving = false;
        if self.held.is_none() {
            return;
        }
        self.records_since_snapshot = 0;
        self.snapshot_unix_ms = now.unix_ms;
        self.push(None, now.at, Entry::Snapshot { parts, upto });
    }

    pub(super) fn carried(&mut self, now: Now, job: JobId, blobs: Vec<(BlobId, BlobId)>) {
        self.saving = false;
        let at_unix_ms = now.unix_ms;
        let entry = Entry::Moved {
            job,
            blobs,
            at_unix_ms,
        };
        self.push(None, now.at, entry);
    }

    /// Drops what need not be kept and carries forward what must.
    pub(super) fn drop_expired(&mut self, now: Now) {
        if self.outstanding.is_some() || !self.pending.is_empty() {
            return;
        }
        let age = |since_ms: u64| Duration::from_millis(now.unix_ms.saturating_sub(since_ms));
        let keep = self.cfg.retention;
        let carry = self.cfg.rewrite_after;
        let files = self.shard.files().values();
        let files = files
            .filter(|f| age(f.created_unix_ms) >= carry)
            .map(|f| Dropped::File(f.id.clone()));
        let keys = self.shard.keys().iter();
        let keys = keys
            .filter(|(_, key)| age(key.at_unix_ms) >= carry.min(keep))
            .map(|(id, _)| Dropped::Key(id.clone()));
        let jobs = self.shard.jobs().values();
        let jobs = jobs
            .filter(|j| j.state() != State::InProgress && age(j.spec.created_unix_ms) >= keep)
            .map(|j| Dropped::Job(j.spec.id.clone()));
        let dropped: Vec<Dropped> = files.chain(keys).chain(jobs).take(DROPS_MAX).collect();
        for what in dropped {
            self.push(None, now.at, Entry::Drop(what));
        }
        self.maybe_carry(now);
    }

    fn maybe_carry(&mut self, now: Now) {
        if self.saving {
            return;
        }
        let carry_ms = millis(self.cfg.rewrite_after);
        let old = |j: &&Job| now.unix_ms.saturating_sub(j.blobs_unix_ms) >= carry_ms;
        let Some(job) = self.shard.jobs().values().find(old) else {
            return;
        };
        let effect = Effect::RewriteBlobs {
            job: job.spec.id.clone(),
            blobs: blobs_of(job),
        };
        self.saving = true;
        self.effects.push(effect);
    }
}

/// Returns the blobs that a job refers to, each once.
fn blobs_of(job: &Job) -> Vec<BlobId> {
    let payloads = job.spec.manifest.chunks.iter().map(|c| c.blob);
    let done = job.items.iter().filter(|i| i.phase == Phase::Done);
    let results = done.map(|i| BlobId {
        stream: i.result.stream,
        offset: i.result.offset,
    });
    let all: std::collections::BTreeSet<(u16, Offset)> = payloads
        .chain(results)
        .map(|b| (b.stream, b.offset))
        .collect();
    all.into_iter()
        .map(|(stream, offset)| BlobId { stream, offset })
        .collect()
}

fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
