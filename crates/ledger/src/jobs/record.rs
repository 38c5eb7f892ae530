//! The records of the stream, as they are written.
//!
//! What they do is decided by the fold alone; here is only what they say.

use serde::Deserialize;
use serde::Serialize;

use super::AttemptId;
use super::HostId;
use super::JobId;
use super::Offset;

/// Where bytes lie that are too many for the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Blob {
    /// The partition.
    pub part: u32,
    /// The beginning of the records' keys, which no other blob shares.
    pub key: String,
    /// The offset of the first record.
    pub offset: Offset,
    /// The number of records, which follow one another.
    pub records: u32,
    /// The bytes in all of them.
    pub bytes: u32,
}

impl Blob {
    /// Returns the key of one of the blob's records.
    pub fn record_key(&self, number: u32) -> String {
        format!("{}/{number:04}", self.key)
    }

    /// Returns the keys of all the blob's records, in their order.
    pub fn record_keys(&self) -> impl Iterator<Item = String> {
        (0..self.records).map(|number| self.record_key(number))
    }
}

/// An item as its job's acceptance names it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemSpec {
    /// The item's name, unique in its job.
    pub id: String,
    /// The tokens of its prompt and its longest answer.
    pub tokens: u32,
}

/// A job that a host took in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The job, which tells its workspace: see [`job_id`](super::job_id).
    pub job: JobId,
    /// The try that this record belongs to.
    pub attempt: AttemptId,
    /// The host, which runs the job's items until it is taken over.
    pub host: HostId,
    /// The name of the route.
    pub route: String,
    /// Tokens of the workspace that may wait on the route, with this job's; nothing for
    /// no limit.
    pub tokens_max: Option<u64>,
    /// The host's time of day, for the order in which jobs run.
    pub submitted_unix_ms: u64,
    /// The items, in the caller's order.
    pub items: Vec<ItemSpec>,
    /// What the items say, in as many blobs as it takes.
    pub payload: Vec<Blob>,
}

/// How an item ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It was done; its whole answer lies here.
    Completed(Vec<Blob>),
    /// It was given up, for this reason.
    Failed(Reason),
}

/// Why an item was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// A target said that it can never be done.
    Impossible,
    /// It failed at as many targets as its route allows.
    Attempts,
    /// Its time was over.
    Expired,
    /// Its route is gone.
    NoRoute,
}

/// A record of the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A job was taken in.
    Accepted(Accepted),
    /// A host takes over a job's items.
    Taken {
        /// The job.
        job: JobId,
        /// The epoch that ends by it.
        epoch: Offset,
        /// The host.
        host: HostId,
    },
    /// An item has ended.
    Listed {
        /// The job.
        job: JobId,
        /// The item's place in the caller's order.
        item: u32,
        /// How it ended.
        outcome: Outcome,
    },
    /// The caller ended the job.
    Ended {
        /// The job.
        job: JobId,
    },
}

impl Record {
    /// Returns the record's bytes.
    ///
    /// # Panics
    ///
    /// Never: the type holds nothing that the codec cannot represent.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("Records are always representable.")
    }

    /// Reads a record; returns nothing for anything else.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    /// Returns the job that the record is about.
    pub fn job(&self) -> &JobId {
        match self {
            Self::Accepted(accepted) => &accepted.job,
            Self::Taken { job, .. } | Self::Listed { job, .. } | Self::Ended { job } => job,
        }
    }
}
