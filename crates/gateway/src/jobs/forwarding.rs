//! Forwards calls about jobs to peers that reach the store.
//!
//! The store may be unreachable for some hosts only, such as all hosts of one data centre, and
//! a caller may reach only these. So a host that cannot serve a call forwards it to a peer that
//! reaches the store. A call is forwarded once; the peer does not forward it again. Asking the
//! caller to retry at another host was rejected because callers do not choose their host.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::JobResult;
use super::Submission;
use super::not_now;
use super::read::try_body;
use super::read::try_read;
use super::submit::try_end;
use super::submit::try_submit;
use crate::context::Context;
use crate::error::JobError;
use crate::metrics::Counted;
use crate::peers::CallError;

/// Timeout of a forwarded call, not counting the time for which a read may wait: the timeout
/// of a record and a round trip.
const TIMEOUT: Duration = Duration::from_millis(2_800);

/// Copies of a forwarded call that exist at a time: its parts, the record and its call.
const CALL_COPIES: u64 = 3;

/// Maximum number of peers tried in this host's cell, and in others: the first may just have
/// failed.
const PEERS_MAX: usize = 2;

/// A call about a job.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Call {
    /// Submits a job.
    Submit(Submission),
    /// Reads results.
    Read {
        /// The job.
        job: String,
        /// The position of the first result.
        from: usize,
        /// Time to wait for a result.
        wait: Duration,
    },
    /// Reads the body of an item.
    Body {
        /// The job.
        job: String,
        /// The item.
        item: String,
    },
    /// Ends a job.
    End {
        /// The job.
        job: String,
    },
}

impl Call {
    fn job(&self) -> &str {
        match self {
            Self::Submit(submission) => &submission.job,
            Self::Read { job, .. } | Self::Body { job, .. } | Self::End { job } => job,
        }
    }

    /// Returns the error of a call that a peer may have executed; `None` if the call can be
    /// repeated.
    fn unknown_outcome(&self) -> Option<JobError> {
        match self {
            Self::Submit(_) | Self::End { .. } => Some(JobError::Unknown),
            Self::Read { .. } | Self::Body { .. } => None,
        }
    }

    fn timeout(&self) -> Duration {
        match self {
            Self::Read { wait, .. } => TIMEOUT + *wait,
            _ => TIMEOUT,
        }
    }
}

/// Runs a call at this host, or forwards it if this host cannot serve it now.
pub(super) async fn run_or_forward<T: DeserializeOwned>(
    ctx: &Context,
    call: &Call,
    local: impl Future<Output = JobResult<T>>,
) -> JobResult<T> {
    if ctx.store.is_up() {
        let res = local.await;
        if !matches!(res, Err(JobError::NotNow { .. })) {
            return res;
        }
        return forward(ctx, call).await.unwrap_or(res);
    }
    match forward(ctx, call).await {
        None | Some(Err(JobError::NotNow { .. })) => local.await,
        Some(res) => res,
    }
}

/// Forwards a call and returns the response; `None` if no peer responded and none executed the
/// call. A peer that cannot serve the call now may have lost the store as well, so the next
/// one is tried.
async fn forward<T: DeserializeOwned>(ctx: &Context, call: &Call) -> Option<JobResult<T>> {
    let mut not_now = None;
    let bytes = postcard::to_stdvec(call).expect("Calls are representable.");
    let bytes = Bytes::from(bytes);
    for addr in ctx.peers.sample_with_store(PEERS_MAX) {
        let response = ctx.peers.call(addr, bytes.clone(), call.timeout()).await;
        let res = match response {
            Ok(bytes) => decode(ctx, addr, &bytes),
            Err(CallError::NotSent(reason)) => {
                record(ctx, call, addr, reason);
                continue;
            }
            Err(CallError::Lost(reason)) => {
                record(ctx, call, addr, reason);
                None
            }
        };
        if let Some(Err(JobError::NotNow { .. })) = &res {
            record(ctx, call, addr, "not now");
            not_now = res;
            continue;
        }
        if res.is_some() {
            record(ctx, call, addr, "answered");
        }
        return res.or_else(|| call.unknown_outcome().map(Err));
    }
    not_now
}

fn decode<T: DeserializeOwned>(
    ctx: &Context,
    addr: SocketAddr,
    bytes: &[u8],
) -> Option<JobResult<T>> {
    match postcard::from_bytes(bytes) {
        Ok(res) => Some(res),
        Err(err) => {
            slog::error!(ctx.logger, "invalid response from peer";
                "addr" => addr.to_string(), "error" => err.to_string());
            None
        }
    }
}

/// Counts and logs a forwarded call.
fn record(ctx: &Context, call: &Call, addr: SocketAddr, outcome: &'static str) {
    ctx.metrics.count(Counted::Jobs, "passed on");
    slog::info!(ctx.logger, "job call forwarded"; "id" => call.job(),
        "peer" => addr.to_string(), "outcome" => outcome);
}

/// Serves a call that a peer forwarded and returns the encoded response; `None` if the call
/// is invalid.
pub(crate) async fn handle_forwarded(ctx: &Arc<Context>, bytes: &[u8]) -> Option<Vec<u8>> {
    let reserved = ctx.callers.intake.reserve(CALL_COPIES * bytes.len() as u64);
    let Ok(_reserved) = reserved.await else {
        let refused: JobResult<()> = Err(not_now(ctx, "callers occupy the host"));
        return Some(postcard::to_stdvec(&refused).expect("Responses are representable."));
    };
    let call = match postcard::from_bytes::<Call>(bytes) {
        Ok(call) => call,
        Err(err) => {
            slog::error!(ctx.logger, "invalid forwarded job call"; "error" => err.to_string());
            return None;
        }
    };
    let encoded = match call {
        Call::Submit(submission) => postcard::to_stdvec(&try_submit(ctx, submission).await),
        Call::Read { job, from, wait } => {
            postcard::to_stdvec(&try_read(ctx, &job, from, wait).await)
        }
        Call::Body { job, item } => postcard::to_stdvec(&try_body(ctx, &job, &item).await),
        Call::End { job } => postcard::to_stdvec(&try_end(ctx, &job).await),
    };
    Some(encoded.expect("Responses are representable."))
}
