//! Records of the stream, as written to the log.
//!
//! Only the fold decides which effect a record has; this module defines the formats.

use serde::Deserialize;
use serde::Serialize;

use super::AttemptId;
use super::HostId;
use super::JobId;
use super::Offset;
use super::Report;
use super::RunId;

/// Maximum number of records of a blob: many times what the largest body takes.
const BLOB_RECORDS_MAX: u32 = 1 << 16;
/// Maximum offset of a blob, to which numbers of records are added.
const OFFSET_MAX: Offset = 1 << 62;
/// Maximum number of runs of an item that failed, to which further ones are added.
const RUNS_MAX: u32 = 1 << 30;

/// The location of data that is too large for the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Blob {
    /// The partition.
    pub part: u32,
    /// The prefix of the records' keys, unique to this blob.
    pub key: String,
    /// The offset of the first record.
    pub offset: Offset,
    /// The number of records, which have consecutive offsets.
    pub records: u32,
    /// The total length of the records, in bytes.
    pub bytes: u32,
}

impl Blob {
    /// Returns whether the blob can be one that a host has written.
    fn is_in_range(&self) -> bool {
        self.records <= BLOB_RECORDS_MAX && self.offset <= OFFSET_MAX
    }

    /// Returns the key of one of the blob's records.
    pub fn record_key(&self, number: u32) -> String {
        format!("{}/{number:04}", self.key)
    }

    /// Returns the keys of all records of the blob, in order.
    pub fn record_keys(&self) -> impl Iterator<Item = String> {
        (0..self.records).map(|number| self.record_key(number))
    }
}

/// An item, as listed in the acceptance of its job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemSpec {
    /// The item's name, unique within its job.
    pub id: String,
    /// The number of tokens of the prompt and the longest possible output.
    pub tokens: u32,
}

/// The acceptance of a job by a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The job; its name includes the workspace, see [`job_id`](super::job_id).
    pub job: JobId,
    /// The submission attempt that wrote this record.
    pub attempt: AttemptId,
    /// The host, which runs the job's items until another host takes the job over.
    pub host: HostId,
    /// The name of the route.
    pub route: String,
    /// The limit on the workspace's waiting tokens on the route, including those of this job;
    /// `None` for no limit.
    pub tokens_max: Option<u64>,
    /// The time of submission by the host's clock, which determines the order in which jobs
    /// run.
    pub submitted_unix_ms: u64,
    /// The items, in the caller's order.
    pub items: Vec<ItemSpec>,
    /// The payloads of the items, split into as many blobs as necessary.
    pub payload: Vec<Blob>,
}

/// The final outcome of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The item was completed; the blobs hold the complete response.
    Completed(Vec<Blob>),
    /// The item failed permanently, for this reason.
    Failed(Reason),
}

/// The reason why an item failed permanently.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// A target reported that the item can never succeed.
    Impossible,
    /// The route's limit on failed attempts was reached.
    Attempts,
    /// The item's deadline passed.
    Expired,
    /// The item's route was removed.
    NoRoute,
}

/// A record of the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A job was accepted.
    Accepted(Accepted),
    /// A host takes over a job.
    Taken {
        /// The job.
        job: JobId,
        /// The epoch of the previous owner, which the takeover ends.
        epoch: Offset,
        /// The new owner.
        host: HostId,
    },
    /// An item has a final outcome, which is appended to the job's list of results.
    Listed {
        /// The job.
        job: JobId,
        /// The item's index in the caller's order.
        item: u32,
        /// The outcome.
        outcome: Outcome,
    },
    /// The caller ended the job.
    Ended {
        /// The job.
        job: JobId,
    },
    /// The owner of a job knows more of an item's runs, or is about to begin one.
    Reported {
        /// The job.
        job: JobId,
        /// The item's index in the caller's order.
        item: u32,
        /// The owner's epoch.
        epoch: Offset,
        /// What it knows.
        report: Report,
    },
    /// A host that was admitted to a run of an item, or may still be, does not begin it.
    Withdrawn {
        /// The job.
        job: JobId,
        /// The item's index in the caller's order.
        item: u32,
        /// The admission.
        run: RunId,
    },
}

impl Record {
    /// Encodes the record.
    ///
    /// # Panics
    ///
    /// Never: the codec can represent every value of this type.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("Records can always be encoded.")
    }

    /// Decodes a record; returns `None` if the bytes are not a valid encoding, or if a number in it is out
    /// of range, which no host writes.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let record: Self = postcard::from_bytes(bytes).ok()?;
        record.is_in_range().then_some(record)
    }

    /// Returns whether the numbers of the record can be added up and counted up to.
    fn is_in_range(&self) -> bool {
        match self {
            Self::Accepted(accepted) => accepted.payload.iter().all(Blob::is_in_range),
            Self::Listed {
                outcome: Outcome::Completed(blobs),
                ..
            } => blobs.iter().all(Blob::is_in_range),
            Self::Reported { report, .. } => report.failed.max(report.blamed) <= RUNS_MAX,
            Self::Listed { .. }
            | Self::Taken { .. }
            | Self::Ended { .. }
            | Self::Withdrawn { .. } => true,
        }
    }

    /// Returns the job to which the record belongs.
    pub fn job(&self) -> &JobId {
        match self {
            Self::Accepted(accepted) => &accepted.job,
            Self::Taken { job, .. }
            | Self::Listed { job, .. }
            | Self::Ended { job }
            | Self::Reported { job, .. }
            | Self::Withdrawn { job, .. } => job,
        }
    }
}
