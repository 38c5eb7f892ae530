//! Calls about jobs: submit, read results, read an item's body, end.
//!
//! Any host serves calls about any job. A host reports that a job does not exist only after
//! reading the job records to their end. If it cannot read them, it forwards the call to a
//! peer that can, and refuses the call for now if there is no such peer.
//!
//! A job belongs to the workspace whose key its submission carried. The name of the workspace
//! is part of the job's ID in the records, so the job does not exist for other workspaces, and
//! any key of its workspace gives access to it.

mod forwarding;
mod read;
mod submit;

use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use notchwharf_intake::error::Shortage;
use notchwharf_ledger::jobs::Accepted;
use notchwharf_ledger::jobs::ItemSpec;
use notchwharf_ledger::jobs::JobId;
use notchwharf_ledger::jobs::job_id;
use serde::Deserialize;
use serde::Serialize;

use crate::access::Caller;
use crate::context::Context;
use crate::error::JobError;
use crate::ports::StoreError;
use crate::ports::Topic;

pub(crate) use self::forwarding::CALL_COPIES;
pub(crate) use self::forwarding::handle_forwarded;
pub use self::read::read_item_body;
pub use self::read::read_results;
pub use self::submit::end;
pub use self::submit::submit;

/// Retry delay if this host does not reach the store and others do: the retry is routed to
/// another host.
const OTHER_HOST_RETRY: Duration = Duration::from_millis(50);

/// Retry delay if no host reaches the store: outages last some seconds, and callers wait a
/// third of their timeout at most.
const STORE_RETRY: Duration = Duration::from_millis(1_300);

/// A job as its caller submits it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Submission {
    /// The job's ID in the records, which contains its workspace.
    pub job: JobId,
    /// The `Host` of the request.
    pub host: String,
    /// The path of the request.
    pub path: String,
    /// The items.
    pub items: Vec<(ItemSpec, PayloadItem)>,
}

/// The request of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PayloadItem {
    /// The path of its request.
    pub path: String,
    /// The headers of its request.
    pub headers: Vec<(String, String)>,
    /// The body of its request.
    pub body: Vec<u8>,
}

impl PayloadItem {
    /// Returns the headers without invalid ones. The adapter refuses jobs with invalid
    /// headers, so usually there are none.
    pub(crate) fn headers(&self) -> HeaderMap {
        let pairs = self.headers.iter().filter_map(|(name, value)| {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            let value = HeaderValue::from_str(value).ok()?;
            Some((name, value))
        });
        pairs.collect()
    }
}

/// Returns the ID in the records of a job that a caller names. A job that was accepted before
/// workspaces were configured keeps its ID without a workspace.
pub fn resolve_job_id(ctx: &Context, caller: &Caller, name: &str) -> JobId {
    let in_workspace = job_id(caller.name(), name);
    let without_workspace = job_id(None, name);
    let jobs = ctx.journal.jobs();
    if jobs.get(&in_workspace).is_none() && jobs.get(&without_workspace).is_some() {
        return without_workspace;
    }
    in_workspace
}

/// The requests of a job's items.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Payload {
    pub(crate) host: String,
    pub(crate) items: Vec<PayloadItem>,
}

impl Payload {
    pub(crate) async fn read(ctx: &Context, accepted: &Accepted) -> Result<Self, StoreError> {
        let bytes = ctx.blobs.read(Topic::Payloads, &accepted.payload).await?;
        postcard::from_bytes(&bytes).map_err(|_| StoreError::Expired)
    }
}

/// The result of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// The item's ID.
    pub item: String,
    /// Its complete text; `None` if the item failed.
    pub text: Option<Bytes>,
}

/// Results of a job from a position on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultPage {
    /// The number of the job's items.
    pub total: usize,
    /// The position after the last result of the page.
    pub next: usize,
    /// The results.
    pub results: Vec<ItemResult>,
}

type JobResult<T> = Result<T, JobError>;

fn not_now(ctx: &Context, reason: &'static str) -> JobError {
    let retry_after = if ctx.peers.with_store_count() > 0 {
        OTHER_HOST_RETRY
    } else {
        STORE_RETRY
    };
    JobError::NotNow {
        retry_after,
        reason: reason.into(),
    }
}

/// Returns the error of a call for which there are no bytes. The retry reaches another host.
fn shortage_error(ctx: &Context, shortage: Shortage) -> JobError {
    match shortage {
        Shortage::Occupied => JobError::Occupied {
            retry_after: OTHER_HOST_RETRY,
        },
        // Other hosts may have larger budgets.
        Shortage::OverBudget => not_now(ctx, "the call needs more than the budget for callers"),
    }
}

async fn sync(ctx: &Context) -> JobResult<()> {
    let synced = ctx.journal.sync().await;
    synced.map_err(|_| not_now(ctx, "the job records cannot be read"))
}

/// Returns the metric label of a call, which is `success` if it succeeded.
fn label<T>(success: &'static str, res: &JobResult<T>) -> &'static str {
    match res {
        Ok(_) => success,
        Err(JobError::Malformed(_)) => "malformed",
        Err(JobError::NoRoute) => "no route",
        Err(JobError::OverQuota { .. }) => "over quota",
        Err(JobError::NotNow { .. }) => "not now",
        Err(JobError::Occupied { .. }) => "no room",
        Err(JobError::Unknown) => "unknown",
        Err(JobError::NotFound) => "not found",
    }
}
