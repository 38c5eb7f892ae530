//! Fold over the stream of one shard: its lease, input files, jobs, items and idempotency
//! keys.
//!
//! Call [`Shard::apply`] with every record in order of offset. Hosts that apply the same
//! records reach the same state.
//!
//! ```
//! use notchwharf_ledger::record::{Entry, Record, RecordId};
//! use notchwharf_ledger::shard::Shard;
//!
//! let id = |seq| RecordId { host: "a1".into(), incarnation: 1, seq };
//! let claim = Entry::Claim { supersedes: None, seen: 0 };
//! let mut shard = Shard::default();
//! shard.apply(4, &Record { id: id(1), epoch: None, snapshot: None, entries: vec![claim] }).unwrap();
//! assert_eq!(shard.lease().unwrap().epoch, 4);
//! ```
//!
//! The fold does not depend on time: a lease ends only by a record. [`crate::owner`] decides
//! when a host may write that record.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::error::FoldError;
use crate::error::Ignored;
use crate::job::File;
use crate::job::Job;
use crate::job::Spec;
use crate::record::Dropped;
use crate::record::Entry;
use crate::record::Epoch;
use crate::record::FileId;
use crate::record::HostId;
use crate::record::Incarnation;
use crate::record::JobId;
use crate::record::KeyId;
use crate::record::Offset;
use crate::record::Place;
use crate::record::Record;

/// The current lease on a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The host that holds it.
    pub holder: HostId,
    /// That host's incarnation.
    pub incarnation: Incarnation,
    /// The offset of the claim.
    pub epoch: Epoch,
    /// The offset of the holder's newest record.
    pub last: Offset,
    /// The sequence number of the holder's newest record.
    pub last_seq: u64,
}

/// The state of a call with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// The digest of the call.
    pub digest: String,
    /// The start time, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The epoch of the lease under which the call started.
    pub epoch: Epoch,
    /// The location of the response; `None` until one is recorded.
    pub end: Option<Place>,
}

/// The outcome of one entry.
pub type Outcome = Result<(), Ignored>;

/// The state of one shard.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Shard {
    lease: Option<Lease>,
    next: Offset,
    snapshot: Option<Offset>,
    files: HashMap<FileId, File>,
    jobs: HashMap<JobId, Job>,
    keys: HashMap<KeyId, Key>,
}

impl Shard {
    /// Returns the current lease.
    pub fn lease(&self) -> Option<&Lease> {
        self.lease.as_ref()
    }

    /// Returns the offset that follows the newest applied record.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Returns the offset of the newest snapshot record.
    pub fn snapshot(&self) -> Option<Offset> {
        self.snapshot
    }

    /// Returns the input files.
    pub fn files(&self) -> &HashMap<FileId, File> {
        &self.files
    }

    /// Returns the jobs.
    pub fn jobs(&self) -> &HashMap<JobId, Job> {
        &self.jobs
    }

    /// Returns the idempotency keys.
    pub fn keys(&self) -> &HashMap<KeyId, Key> {
        &self.keys
    }

    /// Applies a record and returns the outcome of each entry.
    ///
    /// A record of an epoch that has ended returns [`Ignored::Fenced`] for every entry. A
    /// record at an offset that was already applied returns an empty list.
    ///
    /// # Errors
    ///
    /// Returns [`FoldError::Gap`] if records before this one are missing.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Result<Vec<Outcome>, FoldError> {
        if offset < self.next {
            return Ok(Vec::new());
        }
        // An empty shard may start at any offset: older records expire only after an owner
        // has written a snapshot, which the reader loads first.
        if self.next != 0 && offset != self.next {
            return Err(FoldError::Gap {
                expected: self.next,
                found: offset,
            });
        }
        self.next = offset + 1;
        Ok(self.apply_entries(offset, record))
    }

    /// Encodes the state for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        crate::record::encode(self)
    }

    /// Decodes a state from the output of [`Shard::encode`].
    ///
    /// # Errors
    ///
    /// Returns [`FoldError::Undecodable`] if the bytes are not an encoded state.
    pub fn decode(bytes: &[u8]) -> Result<Self, FoldError> {
        crate::record::decode(bytes)
    }

    fn apply_entries(&mut self, offset: Offset, record: &Record) -> Vec<Outcome> {
        if let Some(Entry::Claim { supersedes, seen }) = record.entries.first() {
            let outcome = self.claim(offset, record, *supersedes, *seen);
            return vec![outcome];
        }
        if let Err(ignored) = self.renew(offset, record) {
            return vec![Err(ignored); record.entries.len()];
        }
        record
            .entries
            .iter()
            .map(|entry| self.apply_entry(offset, entry))
            .collect()
    }

    fn claim(
        &mut self,
        offset: Offset,
        record: &Record,
        supersedes: Option<Epoch>,
        seen: Offset,
    ) -> Outcome {
        if let Some(lease) = &self.lease {
            if lease.holder == record.id.host && lease.incarnation == record.id.incarnation {
                return Err(Ignored::Copy);
            }
            if supersedes != Some(lease.epoch) {
                return Err(Ignored::StaleClaim);
            }
            if lease.last > seen {
                return Err(Ignored::HolderAlive);
            }
        } else if supersedes.is_some() {
            return Err(Ignored::StaleClaim);
        }
        self.lease = Some(Lease {
            holder: record.id.host.clone(),
            incarnation: record.id.incarnation,
            epoch: offset,
            last: offset,
            last_seq: record.id.seq,
        });
        Ok(())
    }

    /// Checks that a record was written under the current lease, and renews the lease.
    fn renew(&mut self, offset: Offset, record: &Record) -> Outcome {
        let lease = self.lease.as_mut().ok_or(Ignored::Fenced)?;
        if record.epoch != Some(lease.epoch) {
            return Err(Ignored::Fenced);
        }
        if record.id.seq <= lease.last_seq {
            return Err(Ignored::Copy);
        }
        lease.last = offset;
        lease.last_seq = record.id.seq;
        Ok(())
    }

    fn apply_entry(&mut self, offset: Offset, entry: &Entry) -> Outcome {
        match entry {
            Entry::Claim { .. } => Err(Ignored::StaleClaim),
            Entry::Renew => Ok(()),
            Entry::Release => {
                self.lease = None;
                Ok(())
            }
            Entry::File(file) => {
                self.files
                    .entry(file.id.clone())
                    .or_insert_with(|| file.clone());
                Ok(())
            }
            Entry::Job(spec) => self.accept(spec),
            Entry::Done { job, item, place } => self.job(job)?.record_done(*item, *place),
            Entry::Attempt { job, item, before } => self.job(job)?.record_attempt(*item, *before),
            Entry::Failed { job, item, failure } => {
                self.job(job)?.record_failed(*item, failure.clone())
            }
            Entry::Cancel { job } => self.cancel(job),
            Entry::KeyStart {
                key,
                digest,
                at_unix_ms,
            } => self.start_key(key, digest, *at_unix_ms),
            Entry::KeyEnd { key, place } => self.end_key(key, *place),
            Entry::KeyUnsent { key } => self.remove_unsent_key(key),
            Entry::Drop(dropped) => self.remove_dropped(dropped),
            Entry::Moved {
                job,
                blobs,
                at_unix_ms,
            } => {
                self.job(job)?.relocate_blobs(blobs, *at_unix_ms);
                Ok(())
            }
            Entry::Snapshot { .. } => {
                self.snapshot = Some(offset);
                Ok(())
            }
        }
    }

    fn job(&mut self, id: &str) -> Result<&mut Job, Ignored> {
        self.jobs.get_mut(id).ok_or(Ignored::Unknown)
    }

    fn accept(&mut self, spec: &Spec) -> Outcome {
        if !self.jobs.contains_key(&spec.id) {
            self.jobs.insert(spec.id.clone(), Job::new(spec.clone()));
        }
        Ok(())
    }

    fn cancel(&mut self, id: &str) -> Outcome {
        let job = self.job(id)?;
        job.cancelled = true;
        Ok(())
    }

    fn start_key(&mut self, key: &str, digest: &str, at_unix_ms: u64) -> Outcome {
        if let Some(known) = self.keys.get(key) {
            if known.digest != digest {
                return Err(Ignored::OtherBody);
            }
            return Err(Ignored::Started);
        }
        let epoch = self.lease.as_ref().map_or(0, |l| l.epoch);
        let started = Key {
            digest: digest.into(),
            at_unix_ms,
            epoch,
            end: None,
        };
        self.keys.insert(key.into(), started);
        Ok(())
    }

    fn end_key(&mut self, key: &str, place: Place) -> Outcome {
        let known = self.keys.get_mut(key).ok_or(Ignored::Unknown)?;
        if known.end.is_some() {
            return Err(Ignored::Settled);
        }
        known.end = Some(place);
        Ok(())
    }

    fn remove_unsent_key(&mut self, key: &str) -> Outcome {
        let known = self.keys.get(key).ok_or(Ignored::Unknown)?;
        if known.end.is_some() {
            return Err(Ignored::Settled);
        }
        self.keys.remove(key);
        Ok(())
    }

    fn remove_dropped(&mut self, dropped: &Dropped) -> Outcome {
        let was_present = match dropped {
            Dropped::File(id) => self.files.remove(id).is_some(),
            Dropped::Job(id) => self.jobs.remove(id).is_some(),
            Dropped::Key(id) => self.keys.remove(id).is_some(),
        };
        was_present.then_some(()).ok_or(Ignored::Unknown)
    }
}
