//! Records as they stand in the log, and their codec.
//!
//! A record is one append. Its offset is known only once the log has taken it,
//! so nothing in a record speaks of its own offset.

use serde::Deserialize;
use serde::Serialize;

use crate::error::FoldError;
use crate::job::Failure;
use crate::job::File;
use crate::job::Spec;

/// The name of a host of the system.
pub type HostId = String;
/// The name of a target.
pub type TargetId = String;
/// A number that grows with each start of a process.
pub type Incarnation = u64;
/// A position in a stream.
pub type Offset = u64;
/// The offset of the claim that began a lease, which is its fencing number.
pub type Epoch = Offset;
/// The number of a shard.
pub type ShardId = u32;
/// The name of a job.
pub type JobId = String;
/// The name of an uploaded lot.
pub type FileId = String;
/// A tenant's idempotency key, with the tenant's name in front.
pub type KeyId = String;
/// The position of an item in its lot.
pub type ItemIndex = u32;

/// What makes an append idempotent: no two records share it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecordId {
    /// The host that wrote the record.
    pub host: HostId,
    /// The host's incarnation.
    pub incarnation: Incarnation,
    /// A number that grows with each record of this incarnation and stream.
    pub seq: u64,
}

/// One append to a stream of the system's own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// What makes the append idempotent.
    pub id: RecordId,
    /// The lease under which it was written; none for claims.
    pub epoch: Option<Epoch>,
    /// The offset of the newest snapshot that the writer knew of.
    pub snapshot: Option<Offset>,
    /// What it says, in order.
    pub entries: Vec<Entry>,
}

impl Record {
    /// Returns a record that says nothing, in whose stead a reader folds one
    /// that it cannot decode.
    pub fn empty() -> Self {
        Self {
            id: RecordId {
                host: HostId::new(),
                incarnation: 0,
                seq: 0,
            },
            epoch: None,
            snapshot: None,
            entries: Vec::new(),
        }
    }
}

/// The place of a payload or result in the blob streams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Place {
    /// The offset of the blob record.
    pub offset: Offset,
    /// The number of the blob stream.
    pub stream: u16,
    /// The position within the blob record.
    pub index: u16,
}

/// One statement in a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// The writer wants the lease.
    Claim {
        /// The epoch that the claim would end, if the shard is held.
        supersedes: Option<Epoch>,
        /// The newest record of the holder that the writer had seen.
        seen: Offset,
    },
    /// The holder gives the lease back.
    Release,
    /// The holder is alive.
    Renew,
    /// A lot was uploaded whole.
    File(File),
    /// A job was accepted.
    Job(Spec),
    /// An item ran to its end.
    Done {
        /// The job.
        job: JobId,
        /// The item.
        item: ItemIndex,
        /// Where the result stands.
        place: Place,
    },
    /// An item's target failed while the item ran on it.
    Attempt {
        /// The job.
        job: JobId,
        /// The item.
        item: ItemIndex,
        /// The number of attempts that failed before this one, so that a
        /// report made twice counts once.
        before: u8,
    },
    /// An item can never be done.
    Failed {
        /// The job.
        job: JobId,
        /// The item.
        item: ItemIndex,
        /// Why.
        failure: Failure,
    },
    /// A caller cancelled a job.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// A call that must not be repeated is about to be sent.
    KeyStart {
        /// The key.
        key: KeyId,
        /// The digest of the call's method, path and body.
        digest: String,
        /// When, in milliseconds since the Unix epoch.
        at_unix_ms: u64,
    },
    /// A call that must not be repeated was answered.
    KeyEnd {
        /// The key.
        key: KeyId,
        /// Where the answer stands.
        place: Place,
    },
    /// A call that must not be repeated was never sent.
    KeyUnsent {
        /// The key.
        key: KeyId,
    },
    /// A lot, job or key is no longer kept.
    Drop(Dropped),
    /// Blobs were written again before the log dropped them.
    Moved {
        /// The job whose blobs moved.
        job: JobId,
        /// Old and new places of whole blob records.
        blobs: Vec<(BlobId, BlobId)>,
        /// When, in milliseconds since the Unix epoch.
        at_unix_ms: u64,
    },
    /// The state up to an offset stands in blobs.
    Snapshot {
        /// The parts, in order.
        parts: Vec<BlobId>,
        /// The last offset that it covers.
        upto: Offset,
    },
}

/// The place of a whole blob record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BlobId {
    /// The number of the blob stream.
    pub stream: u16,
    /// The offset in it.
    pub offset: Offset,
}

/// What is no longer kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Dropped {
    /// A lot.
    File(FileId),
    /// An ended job with its results.
    Job(JobId),
    /// A key.
    Key(KeyId),
}

/// A blob record: payloads or results that belong to many items.
///
/// Blobs need no lease: any host appends them, and only a reference in a shard
/// makes one count. One that nothing refers to expires with the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Blob {
    /// What the parts contain, one after the other.
    pub parts: Vec<Vec<u8>>,
}

/// Encodes a record or blob.
///
/// # Panics
///
/// Never: the types hold nothing that the codec cannot represent.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("Records are always representable.")
}

/// Decodes a record or blob.
///
/// # Errors
///
/// Returns [`FoldError::Undecodable`] if the bytes are not of that type.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, FoldError> {
    postcard::from_bytes(bytes).map_err(|_| FoldError::Undecodable)
}
