//! What can be asked of an owner, and what it answers.

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

/// What can be asked of the owner of a shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Keep an uploaded lot.
    PutFile(File),
    /// Return a lot.
    GetFile {
        /// The lot.
        file: FileId,
        /// The customer who asks.
        tenant: String,
    },
    /// Accept a job.
    CreateJob(Spec),
    /// Return a job.
    GetJob {
        /// The job.
        job: JobId,
        /// The customer who asks; an operator asks without.
        tenant: Option<String>,
    },
    /// Return the jobs of a customer, or all for an operator.
    ListJobs {
        /// The customer.
        tenant: Option<String>,
    },
    /// Cancel a job.
    CancelJob {
        /// The job.
        job: JobId,
        /// The customer who asks; an operator asks without.
        tenant: Option<String>,
    },
    /// Return where final answers of a job's items stand.
    Answers {
        /// The job.
        job: JobId,
        /// The customer who asks.
        tenant: String,
        /// The first item.
        from: ItemIndex,
        /// The greatest number of items.
        max: u32,
    },
    /// Hand out items.
    Take {
        /// The serving that a target is free for.
        serving: String,
        /// The greatest number of items.
        max: u32,
        /// The host that will run them.
        host: HostId,
        /// That host's incarnation.
        incarnation: Incarnation,
    },
    /// A host reports what it runs, to a new owner.
    Running {
        /// The items.
        items: Vec<(JobId, ItemIndex)>,
        /// The host.
        host: HostId,
        /// That host's incarnation.
        incarnation: Incarnation,
    },
    /// A host reports what became of an item.
    Settle {
        /// The job.
        job: JobId,
        /// The item.
        item: ItemIndex,
        /// What became of it.
        verdict: Verdict,
    },
    /// A host gives items back that it has not finished.
    Return {
        /// The items.
        items: Vec<(JobId, ItemIndex)>,
    },
    /// Record that a call that must not be repeated is about to be sent.
    KeyStart {
        /// The key.
        key: KeyId,
        /// The digest of the call.
        digest: String,
    },
    /// Record where the answer to such a call stands.
    KeyEnd {
        /// The key.
        key: KeyId,
        /// The place.
        place: Place,
    },
    /// Record that such a call was never sent.
    KeyUnsent {
        /// The key.
        key: KeyId,
    },
}

/// What became of an item on a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// It ran to its end; the result stands there.
    Done(Place),
    /// It can never be done.
    Failed(Failure),
    /// The target failed under it, after as many failures before.
    TargetFailed {
        /// The attempts that failed before.
        before: u8,
    },
}

/// The answer to a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The command took effect.
    Done,
    /// A lot.
    File(File),
    /// A job.
    Job(Box<View>),
    /// Jobs.
    Jobs(Vec<View>),
    /// Items to run.
    Work(Vec<Work>),
    /// Where final answers stand.
    Answers {
        /// The answers, by item.
        answers: Vec<Answer>,
        /// The item to ask from next; none at the end.
        next: Option<ItemIndex>,
    },
    /// The call was answered before; the answer stands there.
    Ended(Place),
}

/// An item handed out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// The job.
    pub job: JobId,
    /// The item.
    pub item: ItemIndex,
    /// The customer.
    pub tenant: String,
    /// Where the payload stands.
    pub place: Place,
    /// How often a target failed under it; not zero means it runs alone.
    pub attempts: u8,
}

/// A job as callers see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// The job.
    pub id: JobId,
    /// The customer.
    pub tenant: String,
    /// The lot.
    pub file: FileId,
    /// The endpoint that every item asks for.
    pub endpoint: String,
    /// The caller's own labels.
    pub metadata: std::collections::BTreeMap<String, String>,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub created_unix_ms: u64,
    /// Where it stands.
    pub state: State,
    /// How many items stand where.
    pub counts: Counts,
}

/// The final answer of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The item.
    pub item: ItemIndex,
    /// Where the payload stands.
    pub payload: Place,
    /// The result, or why there is none.
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
        let slot = job.items.get(item as usize)?;
        let outcome = match slot.phase {
            Phase::Pending => return None,
            Phase::Done => Ok(slot.result),
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
