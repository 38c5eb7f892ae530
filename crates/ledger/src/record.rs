//! Records as stored in the log, and their codec.
//!
//! A record is one append. Its offset is known only once the log has accepted it, so a
//! record never contains its own offset.

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
/// A number that increases with each start of a process.
pub type Incarnation = u64;
/// A position in a stream.
pub type Offset = u64;
/// The offset of the claim that started a lease, which is the lease's fencing token.
pub type Epoch = Offset;
/// The number of a shard.
pub type ShardId = u32;
/// The name of a job.
pub type JobId = String;
/// The name of an uploaded input file.
pub type FileId = String;
/// A tenant's idempotency key, prefixed with the tenant's name.
pub type KeyId = String;
/// The position of an item in its input file.
pub type ItemIndex = u32;

/// The unique identifier of a record, which makes its append idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecordId {
    /// The host that wrote the record.
    pub host: HostId,
    /// The host's incarnation.
    pub incarnation: Incarnation,
    /// A number that increases with each record of this incarnation and stream.
    pub seq: u64,
}

/// One append to the stream of a shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The unique identifier, which makes the append idempotent.
    pub id: RecordId,
    /// The epoch of the lease under which the record was written; `None` for claims.
    pub epoch: Option<Epoch>,
    /// The offset of the newest snapshot known to the writer.
    pub snapshot: Option<Offset>,
    /// The entries, in the order in which they are applied.
    pub entries: Vec<Entry>,
}

impl Record {
    /// Returns a record without entries, which readers apply in place of one that cannot be
    /// decoded.
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

/// The location of a payload or result in the blob streams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Place {
    /// The offset of the blob record.
    pub offset: Offset,
    /// The number of the blob stream.
    pub stream: u16,
    /// The index of the part within the blob record.
    pub index: u16,
}

/// One operation in a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// The writer requests the lease.
    Claim {
        /// The epoch of the lease that the claim would end; `None` if there is none.
        supersedes: Option<Epoch>,
        /// The offset of the holder's newest record that the writer had read.
        seen: Offset,
    },
    /// The holder releases the lease.
    Release,
    /// The holder renews the lease.
    Renew,
    /// An input file was uploaded completely.
    File(File),
    /// A job was accepted.
    Job(Spec),
    /// An item was completed.
    Done {
        /// The job.
        job: JobId,
        /// The item.
        item: ItemIndex,
        /// The location of the result.
        place: Place,
    },
    /// A target failed while it was running an item.
    Attempt {
        /// The job.
        job: JobId,
        /// The item.
        item: ItemIndex,
        /// The number of earlier failed attempts, so that a duplicate report counts only
        /// once.
        before: u8,
    },
    /// An item failed permanently.
    Failed {
        /// The job.
        job: JobId,
        /// The item.
        item: ItemIndex,
        /// The reason.
        failure: Failure,
    },
    /// The caller cancelled a job.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// A call with an idempotency key is about to be sent.
    KeyStart {
        /// The key.
        key: KeyId,
        /// The digest of the call's method, path and body.
        digest: String,
        /// The start time, in milliseconds since the Unix epoch.
        at_unix_ms: u64,
    },
    /// A call with an idempotency key was answered.
    KeyEnd {
        /// The key.
        key: KeyId,
        /// The location of the response.
        place: Place,
    },
    /// A call with an idempotency key was never sent.
    KeyUnsent {
        /// The key.
        key: KeyId,
    },
    /// An input file, job or key is removed.
    Drop(Dropped),
    /// Blobs of a job were rewritten before they expired from the log.
    Moved {
        /// The job.
        job: JobId,
        /// The old and new location of each blob record.
        blobs: Vec<(BlobId, BlobId)>,
        /// The time of the rewrite, in milliseconds since the Unix epoch.
        at_unix_ms: u64,
    },
    /// A snapshot of the state was written to blobs.
    Snapshot {
        /// The parts, in order.
        parts: Vec<BlobId>,
        /// The last offset that the snapshot includes.
        upto: Offset,
    },
}

/// The location of a blob record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BlobId {
    /// The number of the blob stream.
    pub stream: u16,
    /// The offset of the blob record.
    pub offset: Offset,
}

/// An object that is removed from the state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Dropped {
    /// An input file.
    File(FileId),
    /// A finished job with its results.
    Job(JobId),
    /// An idempotency key.
    Key(KeyId),
}

/// A blob record: payloads or results of many items.
///
/// Writing blobs requires no lease: any host appends them, and a blob has an effect only
/// once an entry of a shard refers to it. An unreferenced blob expires with the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Blob {
    /// The contents of the parts, in order.
    pub parts: Vec<Vec<u8>>,
}

/// Encodes a record or blob.
///
/// # Panics
///
/// Never: the codec can represent every value of these types.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("Records can always be encoded.")
}

/// Decodes a record or blob.
///
/// # Errors
///
/// Returns [`FoldError::Undecodable`] if the bytes are not a valid encoding of the type.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, FoldError> {
    postcard::from_bytes(bytes).map_err(|_| FoldError::Undecodable)
}
