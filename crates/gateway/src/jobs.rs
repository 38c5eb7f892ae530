//! Calls about jobs: submit, read results, read an item's body, end.
//!
//! Any host answers for any job. It says that there is none only after reading
//! the job records to their end; when it cannot read them it passes the call on
//! to a peer that can, and says so if there is none.
//!
//! A job belongs to the workspace whose key it came with, whose name is part of its own
//! in the records: for another workspace there is no such job, and each of the
//! workspace's keys will do for it.

mod passed_on;
mod read;
mod submit;

use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
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

pub(crate) use self::passed_on::answer;
pub use self::read::body;
pub use self::read::read;
pub use self::submit::end;
pub use self::submit::submit;

/// When to come back if this host does not reach the store and others do: the
/// caller finds another host at once.
const OTHER_HOST_RETRY: Duration = Duration::from_millis(50);

/// When to come back if no host reaches the store: outages last some seconds,
/// and callers wait a third of their time at most.
const STORE_RETRY: Duration = Duration::from_millis(1_300);

/// A job as its caller submits it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Submission {
    /// The job's name in the records, with its workspace.
    pub job: JobId,
    /// The host that the request named.
    pub host: String,
    /// The path of the request.
    pub path: String,
    /// The items.
    pub items: Vec<(ItemSpec, PayloadItem)>,
}

/// What an item says.
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
    /// Returns the headers; those that HTTP cannot carry are left out, which
    /// the adapter has refused before.
    pub(crate) fn headers(&self) -> HeaderMap {
        let pairs = self.headers.iter().filter_map(|(name, value)| {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            let value = HeaderValue::from_str(value).ok()?;
            Some((name, value))
        });
        pairs.collect()
    }
}

/// Returns the name in the records of a job that a caller names. A job that was taken
/// in before callers were told apart keeps its own.
pub fn id_of(ctx: &Context, caller: &Caller, name: &str) -> JobId {
    let own = job_id(caller.name(), name);
    let before = job_id(None, name);
    let jobs = ctx.journal.jobs();
    if jobs.get(&own).is_none() && jobs.get(&before).is_some() {
        return before;
    }
    own
}

/// What the items of a job say.
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

/// A result as it is read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// The item's name.
    pub item: String,
    /// Its whole text; nothing if it was given up.
    pub text: Option<Bytes>,
}

/// Results from a position on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// The number of the job's items.
    pub total: usize,
    /// The position that follows the last result.
    pub next: usize,
    /// The results.
    pub results: Vec<ItemResult>,
}

type Res<T> = Result<T, JobError>;

fn not_now(ctx: &Context, reason: &'static str) -> JobError {
    let retry_after = if ctx.peers.with_store() > 0 {
        OTHER_HOST_RETRY
    } else {
        STORE_RETRY
    };
    JobError::NotNow {
        retry_after,
        reason: reason.into(),
    }
}

async fn sync(ctx: &Context) -> Res<()> {
    let synced = ctx.journal.sync().await;
    synced.map_err(|_| not_now(ctx, "the job records cannot be read"))
}

fn label<T>(done: &'static str, res: &Res<T>) -> &'static str {
    match res {
        Ok(_) => done,
        Err(JobError::Malformed(_)) => "malformed",
        Err(JobError::NoRoute) => "no route",
        Err(JobError::OverQuota { .. }) => "over quota",
        Err(JobError::NotNow { .. }) => "not now",
        Err(JobError::Unknown) => "unknown",
        Err(JobError::NotFound) => "not found",
    }
}
