//! Commands to the owner of a shard, and its replies.

use crate::job::Counts;
use crate::job::Failure;
use crate::job::File;
use crate::job::Job;
use crate::job::Phase;
use crate::job::Spec;
use crate::job::State;
use crate::record::FileId;
use crate::record::HostId;
use crate::record::Incarnation;
use crate::record::ItemIndex;
use crate::record::JobId;
use crate::record::KeyId;
use crate::record::Place;
use serde::Deserialize;
use serde::Serialize;

/// A command to the owner of a shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Store an uploaded input file.
    PutFile(File),
    /// Return an input file.
    GetFile {
        /// The input file.
        file: FileId,
        /// The requesting tenant.
        tenant: String,
    },
    /// Accept a job.
    CreateJob(Spec),
    /// Return a job.
    GetJob {
        /// The job.
        job: JobId,
        /// The requesting tenant; `None` for an operator.
        tenant: Option<String>,
    },
    /// Return the jobs of a tenant.
    ListJobs {
        /// The requesting tenant; `None` for an operator, who receives all jobs.
        tenant: Option<String>,
    },
    /// Cancel a job.
    CancelJob {
        /// The job.
        job: JobId,
        /// The requesting tenant; `None` for an operator.
        tenant: Option<String>,
    },
    /// Return the final outcomes of a job's items.
    Answers {
        /// The job.
        job: JobId,
        /// The requesting tenant.
        tenant: String,
        /// The first item.
        from: ItemIndex,
        /// The maximum number of items to examine.
        max: u32,
    },
    /// Assign items to a host.
    Take {
        /// The serving for which a target has free capacity.
        serving: String,
        /// The maximum number of items.
        max: u32,
        /// The host that will run the items.
        host: HostId,
        /// That host's incarnation.
        incarnation: Incarnation,
    },
    /// Report the items that a host runs. The reply is an error if one of them is not to be run
    /// any more; the others are recorded.
    Running {
        /// The items.
        items: Vec<(JobId, ItemIndex)>,
        /// The host.
        host: HostId,
        /// That host's incarnation.
        incarnation: Incarnation,
    },
    /// Report the outcome of running an item.
    Settle {
        /// The job.
        job: JobId,
        /// The item.
        item: ItemIndex,
        /// The outcome.
        verdict: Verdict,
    },
    /// Return unfinished items to the queue.
    Return {
        /// The items.
        items: Vec<(JobId, ItemIndex)>,
    },
    /// Record that a call with an idempotency key is about to be sent.
    KeyStart {
        /// The key.
        key: KeyId,
        /// The digest of the call.
        digest: String,
    },
    /// Record the response to a call with an idempotency key.
    KeyEnd {
        /// The key.
        key: KeyId,
        /// The location of the response.
        place: Place,
    },
    /// Record that a call with an idempotency key was never sent.
    KeyUnsent {
        /// The key.
        key: KeyId,
    },
}

/// The outcome of running an item on a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// The item was completed; the result is at this location.
    Done(Place),
    /// The item failed permanently.
    Failed(Failure),
    /// The target failed while it was running the item.
    TargetFailed {
        /// The number of earlier failed attempts.
        before: u8,
    },
}

/// The reply to a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The command took effect.
    Done,
    /// An input file.
    File(File),
    /// A job.
    Job(Box<View>),
    /// Jobs.
    Jobs(Vec<View>),
    /// Items to run.
    Work(Vec<Work>),
    /// Final outcomes of items.
    Answers {
        /// The outcomes, in order of the items.
        answers: Vec<Answer>,
        /// The first item of the next page; `None` at the end.
        next: Option<ItemIndex>,
    },
    /// The call was already answered; the response is at this location.
    Ended(Place),
}

/// An item assigned to a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// The job.
    pub job: JobId,
    /// The item.
    pub item: ItemIndex,
    /// The tenant.
    pub tenant: String,
    /// The location of the payload.
    pub place: Place,
    /// The number of earlier attempts during which a target failed; the host runs an item close
    /// to the limit alone on its target.
    pub attempts: u8,
}

/// The information about a job that callers receive.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// The job.
    pub id: JobId,
    /// The tenant.
    pub tenant: String,
    /// The input file.
    pub file: FileId,
    /// The endpoint that every item requests.
    pub endpoint: String,
    /// The caller's own labels.
    pub metadata: std::collections::BTreeMap<String, String>,
    /// The time of acceptance, in milliseconds since the Unix epoch.
    pub created_unix_ms: u64,
    /// The processing state.
    pub state: State,
    /// The number of items by phase.
    pub counts: Counts,
}

/// The final outcome of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The item.
    pub item: ItemIndex,
    /// The location of the payload.
    pub payload: Place,
    /// The location of the result, or the reason of the failure.
    pub outcome: Result<Place, Failure>,
}

impl View {
    pub(super) fn of(job: &Job) -> Self {
        Self {
            id: job.spec.id.clone(),
            tenant: job.spec.tenant.clone(),
            file: job.spec.file.clone(),
            endpoint: job.spec.manifest.endpoint.clone(),
            metadata: job.spec.metadata.clone(),
            created_unix_ms: job.spec.created_unix_ms,
            state: job.state(),
            counts: job.counts,
        }
    }
}

impl Answer {
    pub(super) fn of(job: &Job, item: ItemIndex) -> Option<Self> {
        let item_state = job.items.get(item as usize)?;
        let outcome = match item_state.phase {
            Phase::Pending => return None,
            Phase::Done => Ok(item_state.result),
            Phase::Failed => {
                let (_, failure) = job.failures.iter().find(|(i, _)| *i == item)?;
                Err(failure.clone())
            }
        };
        let payload = job.spec.manifest.place(item)?;
        Some(Self {
            item,
            payload,
            outcome,
        })
    }
}
