//! A single streaming exchange with a target, until it completes or fails.
//!
//! Each chunk is checked before it is accepted: it must belong to this request, come from
//! the requested version and continue the output received so far. A response is complete
//! only with the target's end marker.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use notchwharf_clients::error::CallError;
use notchwharf_clients::target::Chunk;
use notchwharf_clients::target::Event;
use notchwharf_clients::target::Load;
use notchwharf_clients::target::Resume;
use notchwharf_clients::target::TargetClient;
use notchwharf_clients::target::Usage;
use serde_json::Map;
use serde_json::Value;

/// The part of a response received so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    pub(crate) tokens: u32,
    pub(crate) text: String,
    pub(crate) finish_reason: Option<String>,
    pub(crate) usage: Usage,
}

/// A request to a target.
#[derive(Clone, Debug)]
pub(crate) struct TargetRequest {
    pub(crate) request_id: String,
    pub(crate) fingerprint: String,
    pub(crate) body: Map<String, Value>,
}

/// Why a stream failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamError {
    /// Nothing was sent.
    NotSent,
    /// The target rejected the request with this status.
    Rejected(u16),
    /// The connection was closed, or the end marker is missing.
    Disconnected,
    /// The target sent nothing for the idle timeout.
    TimedOut,
    /// A chunk belongs to another request.
    WrongRequest,
    /// A chunk comes from a version other than the requested one.
    WrongVersion,
    /// Chunks are missing or malformed.
    InvalidChunk,
    /// The deadline has passed.
    DeadlineExceeded,
}

impl StreamError {
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::NotSent => "not sent",
            Self::Rejected(_) => "refused",
            Self::Disconnected => "cut",
            Self::TimedOut => "silent",
            Self::WrongRequest => "crossed",
            Self::WrongVersion => "other version",
            Self::InvalidChunk => "gap",
            Self::DeadlineExceeded => "deadline",
        }
    }
}

/// Time limits of an exchange.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timeouts {
    pub(crate) deadline: Instant,
    pub(crate) idle: Duration,
}

/// What is reported while a stream is running.
#[derive(Debug)]
pub(crate) enum Observation<'a> {
    /// The load that the target reported in the response headers.
    Load(Load),
    /// More output was received.
    Output {
        text: &'a str,
        tokens: u32,
        elapsed: Duration,
    },
}

/// Runs a stream until it is complete.
///
/// `progress` holds what was received in either case; an exchange with earlier progress
/// resumes after it.
///
/// # Errors
///
/// Returns a [`StreamError`] if the stream ended before the response was complete.
pub(crate) async fn run(
    targets: &TargetClient,
    url: &str,
    target_request: &TargetRequest,
    timeouts: Timeouts,
    progress: &mut Progress,
    mut observe: impl FnMut(Observation<'_>),
) -> Result<(), StreamError> {
    let body = request_body(target_request, progress);
    let started = Instant::now();
    let deadline = tokio::time::Instant::from_std(timeouts.deadline);
    let head = targets.chat(url, &target_request.request_id, body);
    let head = tokio::time::timeout_at(deadline, head).await;
    let head = head.map_err(|_| StreamError::DeadlineExceeded)?;
    let mut stream = head.map_err(|report| stream_error(report.current_context()))?;
    if let Some(load) = stream.load() {
        observe(Observation::Load(load));
    }
    let mut last = started;
    loop {
        let idle = tokio::time::Instant::now() + timeouts.idle;
        let event = tokio::time::timeout_at(idle.min(deadline), stream.next()).await;
        let event = event.map_err(|_| timeout_error(timeouts.deadline))?;
        let event = event.map_err(|report| stream_error(report.current_context()))?;
        match event {
            None => return Err(StreamError::Disconnected),
            Some(Event::End) if progress.finish_reason.is_some() => return Ok(()),
            Some(Event::End) => return Err(StreamError::Disconnected),
            Some(Event::Chunk(chunk)) => {
                let Some(text) = accept(target_request, progress, &chunk)? else {
                    continue;
                };
                let now = Instant::now();
                observe(Observation::Output {
                    text: &text,
                    tokens: chunk.tokens,
                    elapsed: now.duration_since(last),
                });
                last = now;
            }
        }
    }
}

/// Checks and accepts a chunk. Returns its text, or nothing if it was received before.
fn accept(
    target_request: &TargetRequest,
    progress: &mut Progress,
    chunk: &Chunk,
) -> Result<Option<String>, StreamError> {
    if chunk.id != target_request.request_id {
        return Err(StreamError::WrongRequest);
    }
    if chunk.system_fingerprint != target_request.fingerprint {
        return Err(StreamError::WrongVersion);
    }
    if chunk.offset_tokens < progress.tokens {
        return Ok(None);
    }
    if chunk.offset_tokens > progress.tokens {
        return Err(StreamError::InvalidChunk);
    }
    let choice = chunk.choices.first().ok_or(StreamError::InvalidChunk)?;
    progress.tokens += chunk.tokens;
    progress.text.push_str(&choice.delta.content);
    if choice.finish_reason.is_some() {
        progress.finish_reason.clone_from(&choice.finish_reason);
        progress.usage = chunk.usage.unwrap_or_default();
    }
    Ok(Some(choice.delta.content.clone()))
}

fn request_body(target_request: &TargetRequest, progress: &Progress) -> Bytes {
    let mut body = target_request.body.clone();
    body.insert("model".into(), target_request.fingerprint.clone().into());
    body.insert("stream".into(), true.into());
    if progress.tokens > 0 {
        let resume = Resume {
            tokens: progress.tokens,
            text: progress.text.clone(),
        };
        let resume = serde_json::to_value(resume).unwrap_or_default();
        body.insert("resume".into(), resume);
    }
    serde_json::to_vec(&body).unwrap_or_default().into()
}

fn stream_error(call: &CallError) -> StreamError {
    match call {
        CallError::NotSent => StreamError::NotSent,
        CallError::Status(status) => StreamError::Rejected(*status),
        CallError::Lost => StreamError::Disconnected,
        CallError::TimedOut => StreamError::TimedOut,
        CallError::Malformed | CallError::TooLong | CallError::Invalid => StreamError::InvalidChunk,
    }
}

fn timeout_error(deadline: Instant) -> StreamError {
    if Instant::now() >= deadline {
        return StreamError::DeadlineExceeded;
    }
    StreamError::TimedOut
}
