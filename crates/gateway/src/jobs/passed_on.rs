//! Calls about jobs that a host passes on to a peer.
//!
//! The store may turn away some hosts and serve the others, and callers may
//! reach just those that it turns away: all of one data centre. So a host that
//! cannot answer asks a peer that reaches the store. A call is passed on once;
//! the peer answers for itself. Telling the caller to try another host was
//! rejected: callers do not choose theirs.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Res;
use super::Submission;
use super::read::try_body;
use super::read::try_read;
use super::submit::try_end;
use super::submit::try_submit;
use crate::context::Context;
use crate::error::JobError;
use crate::metrics::Counted;
use crate::peers::CallError;

/// Time for a peer's answer, beside the time that a reading may wait: what a
/// record takes at most, and the way there and back.
const TIMEOUT: Duration = Duration::from_millis(2_800);

/// Peers that are tried in this host's cell, and in others: the first may just have died.
const PEERS_MAX: usize = 2;

/// A call about a job.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Call {
    /// Takes a job in.
    Submit(Submission),
    /// Reads results.
    Read {
        /// The job.
        job: String,
        /// The position to begin at.
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

    /// Returns what the call comes to if a peer may have done it.
    fn lost(&self) -> Option<JobError> {
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

/// Answers a call here, or passes it on if that cannot be done now.
pub(super) async fn here_or_passed_on<T: DeserializeOwned>(
    ctx: &Context,
    call: &Call,
    here: impl Future<Output = Res<T>>,
) -> Res<T> {
    if ctx.store.is_up() {
        let res = here.await;
        if !matches!(res, Err(JobError::NotNow { .. })) {
            return res;
        }
        return pass_on(ctx, call).await.unwrap_or(res);
    }
    match pass_on(ctx, call).await {
        None | Some(Err(JobError::NotNow { .. })) => here.await,
        Some(res) => res,
    }
}

/// Returns what a peer answers; nothing if none did and none has done it. One that says
/// that it cannot do it now may have lost the store as well, and the next is asked.
async fn pass_on<T: DeserializeOwned>(ctx: &Context, call: &Call) -> Option<Res<T>> {
    let mut not_now = None;
    let bytes = postcard::to_stdvec(call).expect("Calls are representable.");
    let bytes = Bytes::from(bytes);
    for addr in ctx.peers.sample_with_store(PEERS_MAX) {
        let answered = ctx.peers.call(addr, bytes.clone(), call.timeout()).await;
        let res = match answered {
            Ok(bytes) => decode(ctx, addr, &bytes),
            Err(CallError::NotSent(why)) => {
                note(ctx, call, addr, why);
                continue;
            }
            Err(CallError::Lost(why)) => {
                note(ctx, call, addr, why);
                None
            }
        };
        if let Some(Err(JobError::NotNow { .. })) = &res {
            note(ctx, call, addr, "not now");
            not_now = res;
            continue;
        }
        if res.is_some() {
            note(ctx, call, addr, "answered");
        }
        return res.or_else(|| call.lost().map(Err));
    }
    not_now
}

fn decode<T: DeserializeOwned>(ctx: &Context, addr: SocketAddr, bytes: &[u8]) -> Option<Res<T>> {
    match postcard::from_bytes(bytes) {
        Ok(res) => Some(res),
        Err(err) => {
            slog::error!(ctx.logger, "unreadable answer of a peer";
                "addr" => addr.to_string(), "error" => err.to_string());
            None
        }
    }
}

fn note(ctx: &Context, call: &Call, addr: SocketAddr, outcome: &'static str) {
    ctx.metrics.count(Counted::Jobs, "passed on");
    slog::info!(ctx.logger, "job call passed on"; "id" => call.job(),
        "peer" => addr.to_string(), "outcome" => outcome);
}

/// Answers a call that a peer has passed on; nothing if it is unreadable.
pub(crate) async fn answer(ctx: &Arc<Context>, bytes: &[u8]) -> Option<Vec<u8>> {
    let call = match postcard::from_bytes::<Call>(bytes) {
        Ok(call) => call,
        Err(err) => {
            slog::error!(ctx.logger, "unreadable call of a peer"; "error" => err.to_string());
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
    Some(encoded.expect("Answers are representable."))
}
