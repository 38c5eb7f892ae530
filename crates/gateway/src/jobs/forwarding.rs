//! Forwards calls about jobs to peers that reach the store.
//!
//! The store may be unreachable for some hosts only, such as all hosts of one data centre, and
//! a caller may reach only these. So a host that cannot serve a call forwards it to a peer that
//! reaches the store. A call is forwarded once; the peer does not forward it again. Asking the
//! caller to retry at another host was rejected because callers do not choose their host.
//!
//! A call for which callers leave no room is not forwarded: its answer would need the room, too. What a
//! peer answers is reserved before it is read.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use notchwharf_intake::Reservation;
use notchwharf_intake::error::Shortage;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::JobResult;
use super::Submission;
use super::not_now;
use super::read::try_body;
use super::read::try_read;
use super::shortage_error;
use super::submit::try_end;
use super::submit::try_submit;
use crate::context::Context;
use crate::error::JobError;
use crate::metrics::Counted;
use crate::peers::CallError;

/// Timeout of a forwarded call, not counting the time for which a read may wait: the timeout
/// of a record and a round trip.
const TIMEOUT: Duration = Duration::from_millis(2_800);

/// Copies of a forwarded call that exist at a time: the call, its parts, the record and its call.
pub(crate) const CALL_COPIES: u64 = 4;
/// Copies of an answer to a forwarded call that exist at a time: the answer and its parts.
const ANSWER_COPIES: u64 = 2;

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

/// An answer to a forwarded call.
struct Answer<T> {
    result: JobResult<T>,
    /// For what the peer has answered, if it has.
    reserved: Option<Reservation>,
}

impl<T> Answer<T> {
    fn failed(err: JobError) -> Self {
        Self {
            result: Err(err),
            reserved: None,
        }
    }

    fn is_not_now(&self) -> bool {
        matches!(self.result, Err(JobError::NotNow { .. }))
    }

    fn keep(self, keep: impl FnOnce(T, Reservation) -> T) -> JobResult<T> {
        match (self.result, self.reserved) {
            (Ok(value), Some(reserved)) => Ok(keep(value, reserved)),
            (result, _) => result,
        }
    }
}

/// Runs a call at this host, or forwards it if this host cannot serve it now. What a peer answers is
/// kept with its reservation.
pub(super) async fn run_or_forward<T: DeserializeOwned>(
    ctx: &Context,
    call: &Call,
    local: impl Future<Output = JobResult<T>>,
    keep: impl FnOnce(T, Reservation) -> T,
) -> JobResult<T> {
    if ctx.store.is_up() {
        let res = local.await;
        if !matches!(res, Err(JobError::NotNow { .. })) {
            return res;
        }
        return match forward(ctx, call).await {
            Some(answer) => answer.keep(keep),
            None => res,
        };
    }
    match forward(ctx, call).await {
        Some(answer) if !answer.is_not_now() => answer.keep(keep),
        _ => local.await,
    }
}

/// Forwards a call and returns the response; `None` if no peer responded and none executed the
/// call. A peer that cannot serve the call now may have lost the store as well, so the next
/// one is tried.
async fn forward<T: DeserializeOwned>(ctx: &Context, call: &Call) -> Option<Answer<T>> {
    let mut not_now = None;
    let bytes = postcard::to_stdvec(call).expect("Calls are representable.");
    let bytes = Bytes::from(bytes);
    for addr in ctx.peers.sample_with_store(PEERS_MAX) {
        let intake = &ctx.callers.intake;
        let called = ctx
            .peers
            .call(intake, ANSWER_COPIES, addr, bytes.clone(), call.timeout());
        let answer = match called.await {
            Ok((bytes, reserved)) => decode(ctx, addr, &bytes).map(|result| Answer {
                result,
                reserved: Some(reserved),
            }),
            Err(CallError::NotSent(reason)) => {
                record(ctx, call, addr, reason);
                continue;
            }
            Err(CallError::Lost(reason)) => {
                record(ctx, call, addr, reason);
                None
            }
            Err(err @ CallError::NoRoom(shortage)) => {
                record(ctx, call, addr, err.reason());
                let repeatable = shortage_error(ctx, shortage);
                let err = call.unknown_outcome().unwrap_or(repeatable);
                return Some(Answer::failed(err));
            }
        };
        if answer.as_ref().is_some_and(Answer::is_not_now) {
            record(ctx, call, addr, "not now");
            not_now = answer;
            continue;
        }
        if answer.is_some() {
            record(ctx, call, addr, "answered");
        }
        return answer.or_else(|| call.unknown_outcome().map(Answer::failed));
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
/// is invalid. The call comes with the room that is reserved for it, if there is any.
pub(crate) async fn handle_forwarded(
    ctx: &Arc<Context>,
    (bytes, reserved): (Bytes, Result<Reservation, Shortage>),
) -> Option<Bytes> {
    if reserved.is_err() {
        return Some(encode::<()>(ctx, Err(no_room(ctx))));
    }
    let call = match postcard::from_bytes::<Call>(&bytes) {
        Ok(call) => call,
        Err(err) => {
            slog::error!(ctx.logger, "invalid forwarded job call"; "error" => err.to_string());
            return None;
        }
    };
    Some(match call {
        Call::Submit(submission) => encode(ctx, try_submit(ctx, submission).await),
        Call::Read { job, from, wait } => {
            let page = try_read(ctx, &job, from, wait).await;
            let len = page.as_ref().map_or(0, |page| {
                let texts = page.results.iter().filter_map(|r| r.text.as_ref());
                texts.map(Bytes::len).sum()
            });
            encode_reserved(ctx, page, len).await
        }
        Call::Body { job, item } => {
            let body = try_body(ctx, &job, &item).await;
            let len = body.as_ref().map_or(0, Bytes::len);
            encode_reserved(ctx, body, len).await
        }
        Call::End { job } => encode(ctx, try_end(ctx, &job).await),
    })
}

/// Encodes an answer with texts of this length, which is reserved until the peer has read it.
async fn encode_reserved<T: Serialize>(ctx: &Context, res: JobResult<T>, len: usize) -> Bytes {
    match ctx.callers.intake.reserve(len as u64).await {
        Ok(reserved) => reserved.keep(encode(ctx, res)),
        Err(_) => encode::<T>(ctx, Err(no_room(ctx))),
    }
}

fn encode<T: Serialize>(ctx: &Context, res: JobResult<T>) -> Bytes {
    let res = match res {
        Err(JobError::Occupied { .. }) => Err(no_room(ctx)),
        res => res,
    };
    let encoded = postcard::to_stdvec(&res).expect("Responses are representable.");
    encoded.into()
}

/// Returns the error for a peer if callers occupy this host.
fn no_room(ctx: &Context) -> JobError {
    not_now(ctx, "callers occupy the host")
}
