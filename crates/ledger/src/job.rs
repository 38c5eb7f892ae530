//! Lots, jobs and items as the fold keeps them.

use serde::Deserialize;
use serde::Serialize;

use crate::error::Ignored;
use crate::record::BlobId;
use crate::record::FileId;
use crate::record::ItemIndex;
use crate::record::JobId;
use crate::record::Place;

/// An uploaded lot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct File {
    /// The lot's name.
    pub id: FileId,
    /// The customer.
    pub tenant: String,
    /// The name that the caller gave the file.
    pub name: String,
    /// The length of what was uploaded.
    pub len_bytes: u64,
    /// When, in milliseconds since the Unix epoch.
    pub created_unix_ms: u64,
    /// Where its items stand.
    pub manifest: Manifest,
}

/// Where the items of a lot stand.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The serving that every item asks for.
    pub serving: String,
    /// The endpoint that every item asks for.
    pub endpoint: String,
    /// The blobs that hold the items, in order.
    pub chunks: Vec<Chunk>,
}

/// A run of items in one blob.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The blob.
    pub blob: BlobId,
    /// The position of its first item in the lot.
    pub first: ItemIndex,
    /// The number of items in it.
    pub len: u16,
}

impl Manifest {
    /// Returns the number of items.
    pub fn len(&self) -> u32 {
        self.chunks.last().map_or(0, |c| c.first + u32::from(c.len))
    }

    /// Returns whether there is no item.
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Returns where the payload of an item stands.
    pub fn place(&self, item: ItemIndex) -> Option<Place> {
        let after = self.chunks.partition_point(|c| c.first <= item);
        let chunk = self.chunks.get(after.checked_sub(1)?)?;
        let index = u16::try_from(item - chunk.first).ok()?;
        (index < chunk.len).then_some(Place {
            offset: chunk.blob.offset,
            stream: chunk.blob.stream,
            index,
        })
    }
}

/// What a caller asked of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// The job's name, derived from what makes two requests the same job.
    pub id: JobId,
    /// The customer.
    pub tenant: String,
    /// The lot.
    pub file: FileId,
    /// The caller's own labels.
    pub metadata: std::collections::BTreeMap<String, String>,
    /// When, in milliseconds since the Unix epoch.
    pub created_unix_ms: u64,
    /// The customer's weight when it was accepted.
    pub weight: u32,
    /// Where its items stand.
    pub manifest: Manifest,
}

/// Why an item can never be done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// A target refused the item as malformed, with this HTTP status.
    Rejected {
        /// The status.
        status: u16,
    },
    /// Targets failed under it as often as the limit allows.
    AttemptsExhausted {
        /// How often.
        attempts: u8,
    },
}

/// Where an item stands in its life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It has no final answer.
    #[default]
    Pending,
    /// Its result can be read.
    Done,
    /// It can never be done.
    Failed,
}

/// An item as the fold keeps it: 16 bytes, so that a job of 230,000 items is
/// under four megabytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Where the result stands, once done.
    pub result: Place,
    /// Where the item stands in its life.
    pub phase: Phase,
    /// How often a target failed under it.
    pub attempts: u8,
}

/// How many items of a job stand where.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// All items.
    pub total: u32,
    /// Items whose result can be read.
    pub done: u32,
    /// Items that can never be done.
    pub failed: u32,
}

/// Where a job stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Items are still to be run.
    InProgress,
    /// Every item has its final answer.
    Completed,
    /// The caller cancelled it.
    Cancelled,
}

/// A job as the fold keeps it.
///
/// Invariant: `counts` is what counting `items` would give.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// What the caller asked.
    pub spec: Spec,
    /// The items.
    pub items: Vec<Item>,
    /// Why items failed, by item.
    pub failures: Vec<(ItemIndex, Failure)>,
    /// How many items stand where.
    pub counts: Counts,
    /// Whether the caller cancelled it.
    pub cancelled: bool,
    /// All its blobs are at least this new.
    pub blobs_unix_ms: u64,
}

impl Job {
    /// Returns a job with no item run.
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

    /// Returns where the job stands.
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
    /// Returns why it does not count.
    pub fn record_done(&mut self, item: ItemIndex, place: Place) -> Result<(), Ignored> {
        let slot = self.open(item)?;
        slot.phase = Phase::Done;
        slot.result = place;
        self.counts.done += 1;
        Ok(())
    }

    /// Records that an item can never be done.
    ///
    /// # Errors
    ///
    /// Returns why it does not count.
    pub fn record_failed(&mut self, item: ItemIndex, failure: Failure) -> Result<(), Ignored> {
        let slot = self.open(item)?;
        slot.phase = Phase::Failed;
        self.counts.failed += 1;
        self.failures.push((item, failure));
        Ok(())
    }

    /// Records that a target failed while the item ran on it.
    ///
    /// # Errors
    ///
    /// Returns why it does not count.
    pub fn record_attempt(&mut self, item: ItemIndex, before: u8) -> Result<(), Ignored> {
        let slot = self.open(item)?;
        if slot.attempts != before {
            return Err(Ignored::Counted);
        }
        slot.attempts = slot.attempts.saturating_add(1);
        Ok(())
    }

    /// Rewrites the places of blobs that were written again.
    pub fn relocate_blobs(&mut self, moved: &[(BlobId, BlobId)], at_unix_ms: u64) {
        let map: std::collections::HashMap<BlobId, BlobId> = moved.iter().copied().collect();
        for chunk in &mut self.spec.manifest.chunks {
            if let Some(to) = map.get(&chunk.blob) {
                chunk.blob = *to;
            }
        }
        for item in &mut self.items {
            let from = BlobId {
                stream: item.result.stream,
                offset: item.result.offset,
            };
            if item.phase != Phase::Done {
                continue;
            }
            if let Some(to) = map.get(&from) {
                item.result.stream = to.stream;
                item.result.offset = to.offset;
            }
        }
        self.blobs_unix_ms = at_unix_ms;
    }

    fn open(&mut self, item: ItemIndex) -> Result<&mut Item, Ignored> {
        let slot = self.items.get_mut(item as usize).ok_or(Ignored::Unknown)?;
        if slot.phase != Phase::Pending {
            return Err(Ignored::Settled);
        }
        if self.cancelled {
            return Err(Ignored::Cancelled);
        }
        Ok(slot)
    }
}
