//! Input files, jobs and items in the state of a shard.

use serde::Deserialize;
use serde::Serialize;

use crate::error::Ignored;
use crate::record::BlobId;
use crate::record::FileId;
use crate::record::ItemIndex;
use crate::record::JobId;
use crate::record::Place;

/// An uploaded input file, which lists the items of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct File {
    /// The file's name, assigned by the system.
    pub id: FileId,
    /// The tenant.
    pub tenant: String,
    /// The file name given by the caller.
    pub name: String,
    /// The length of the upload.
    pub len_bytes: u64,
    /// The time of the upload, in milliseconds since the Unix epoch.
    pub created_unix_ms: u64,
    /// The locations of the items.
    pub manifest: Manifest,
}

/// The locations of the items of an input file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The serving (a model deployment) that every item requests.
    pub serving: String,
    /// The endpoint that every item requests.
    pub endpoint: String,
    /// The blobs that hold the items, in order.
    pub chunks: Vec<Chunk>,
}

/// Consecutive items stored in one blob.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The blob.
    pub blob: BlobId,
    /// The position of its first item in the input file.
    pub first: ItemIndex,
    /// The number of items in it.
    pub len: u16,
}

impl Manifest {
    /// Returns the number of items.
    pub fn len(&self) -> u32 {
        self.chunks.last().map_or(0, |c| c.first + u32::from(c.len))
    }

    /// Returns whether there are no items.
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Returns the location of an item's payload.
    pub fn place(&self, item: ItemIndex) -> Option<Place> {
        let next_chunk = self.chunks.partition_point(|c| c.first <= item);
        let chunk = self.chunks.get(next_chunk.checked_sub(1)?)?;
        let index = u16::try_from(item - chunk.first).ok()?;
        (index < chunk.len).then_some(Place {
            offset: chunk.blob.offset,
            stream: chunk.blob.stream,
            index,
        })
    }
}

/// The specification of a job, as requested by the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// The job's name, derived from the request so that a retried request names the same job.
    pub id: JobId,
    /// The tenant.
    pub tenant: String,
    /// The input file.
    pub file: FileId,
    /// The caller's own labels.
    pub metadata: std::collections::BTreeMap<String, String>,
    /// The time of acceptance, in milliseconds since the Unix epoch.
    pub created_unix_ms: u64,
    /// The tenant's scheduling weight at the time of acceptance.
    pub weight: u32,
    /// The locations of the items.
    pub manifest: Manifest,
}

/// The reason why an item failed permanently.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// A target rejected the item as malformed.
    Rejected {
        /// The HTTP status.
        status: u16,
    },
    /// The limit on failed attempts was reached.
    AttemptsExhausted {
        /// The number of failed attempts.
        attempts: u8,
    },
}

/// The processing phase of an item.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The item has no final outcome yet.
    #[default]
    Pending,
    /// The item was completed and its result can be read.
    Done,
    /// The item failed permanently.
    Failed,
}

/// The state of an item: 16 bytes, so that a job of 230,000 items takes less than four
/// megabytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The location of the result; meaningful only in [`Phase::Done`].
    pub result: Place,
    /// The processing phase.
    pub phase: Phase,
    /// The number of attempts during which a target failed.
    pub attempts: u8,
}

/// The number of items of a job by phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// All items.
    pub total: u32,
    /// Completed items.
    pub done: u32,
    /// Permanently failed items.
    pub failed: u32,
}

/// The processing state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Some items are pending.
    InProgress,
    /// Every item has a final outcome.
    Completed,
    /// The caller cancelled the job.
    Cancelled,
}

/// The state of a job.
///
/// Invariant: `counts` equals the number of `items` in each phase.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// The specification.
    pub spec: Spec,
    /// The items.
    pub items: Vec<Item>,
    /// The reasons of permanent failures, by item.
    pub failures: Vec<(ItemIndex, Failure)>,
    /// The number of items by phase.
    pub counts: Counts,
    /// Whether the caller cancelled the job.
    pub cancelled: bool,
    /// A lower bound on the time at which the job's blobs were written, in milliseconds since
    /// the Unix epoch.
    pub blobs_unix_ms: u64,
}

impl Job {
    /// Returns a job whose items are all pending.
    pub fn new(spec: Spec) -> Self {
        let total = spec.manifest.len();
        let blobs_unix_ms = spec.created_unix_ms;
        Self {
            items: vec![Item::default(); total as usize],
            failures: Vec::new(),
            counts: Counts {
                total,
                ..Counts::default()
            },
            cancelled: false,
            blobs_unix_ms,
            spec,
        }
    }

    /// Returns the processing state.
    pub fn state(&self) -> State {
        if self.counts.done + self.counts.failed >= self.counts.total {
            return State::Completed;
        }
        if self.cancelled {
            return State::Cancelled;
        }
        State::InProgress
    }

    /// Records the result of an item.
    ///
    /// # Errors
    ///
    /// Returns the reason if the result is ignored.
    pub fn record_done(&mut self, item: ItemIndex, place: Place) -> Result<(), Ignored> {
        let item_state = self.pending_item(item)?;
        item_state.phase = Phase::Done;
        item_state.result = place;
        self.counts.done += 1;
        Ok(())
    }

    /// Records that an item failed permanently.
    ///
    /// # Errors
    ///
    /// Returns the reason if the failure is ignored.
    pub fn record_failed(&mut self, item: ItemIndex, failure: Failure) -> Result<(), Ignored> {
        let item_state = self.pending_item(item)?;
        item_state.phase = Phase::Failed;
        self.counts.failed += 1;
        self.failures.push((item, failure));
        Ok(())
    }

    /// Records an attempt during which a target failed; `before` is the number of earlier
    /// failed attempts that the reporting host knew of.
    ///
    /// # Errors
    ///
    /// Returns the reason if the attempt is ignored.
    pub fn record_attempt(&mut self, item: ItemIndex, before: u8) -> Result<(), Ignored> {
        let item_state = self.pending_item(item)?;
        if item_state.attempts != before {
            return Err(Ignored::Counted);
        }
        item_state.attempts = item_state.attempts.saturating_add(1);
        Ok(())
    }

    /// Replaces the locations of blobs that were rewritten.
    pub fn relocate_blobs(&mut self, moved: &[(BlobId, BlobId)], at_unix_ms: u64) {
        let new_ids: std::collections::HashMap<BlobId, BlobId> = moved.iter().copied().collect();
        for chunk in &mut self.spec.manifest.chunks {
            if let Some(new_id) = new_ids.get(&chunk.blob) {
                chunk.blob = *new_id;
            }
        }
        for item in &mut self.items {
            let old_id = BlobId {
                stream: item.result.stream,
                offset: item.result.offset,
            };
            if item.phase != Phase::Done {
                continue;
            }
            if let Some(new_id) = new_ids.get(&old_id) {
                item.result.stream = new_id.stream;
                item.result.offset = new_id.offset;
            }
        }
        self.blobs_unix_ms = at_unix_ms;
    }

    fn pending_item(&mut self, item: ItemIndex) -> Result<&mut Item, Ignored> {
        let item_state = self.items.get_mut(item as usize).ok_or(Ignored::Unknown)?;
        if item_state.phase != Phase::Pending {
            return Err(Ignored::Settled);
        }
        if self.cancelled {
            return Err(Ignored::Cancelled);
        }
        Ok(item_state)
    }
}
