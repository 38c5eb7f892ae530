//! One exchange with a target: a stream from its begin to its end or break.
//!
//! Every piece is checked before it counts: that it belongs to this request,
//! comes from the version asked for, and follows what is here already. An
//! answer is whole only with the target's end mark.

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

/// What of an answer is here.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    pub(crate) tokens: u32,
    pub(crate) text: String,
    pub(crate) finish_reason: Option<String>,
    pub(crate) usage: Usage,
}

/// What to ask a target.
#[derive(Clone, Debug)]
pub(crate) struct Question {
    pub(crate) request_id: String,
    pub(crate) fingerprint: String,
    pub(crate) body: Map<String, Value>,
}

/// Why a stream broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Broken {
    /// Nothing was sent.
    NotSent,
    /// The target refused with this status.
    Refused(u16),
    /// The connection was cut, or the end mark is missing.
    Cut,
    /// The target was silent for too long.
    Silent,
    /// A piece belongs to another request.
    Crossed,
    /// A piece comes from another version than was asked for.
    OtherVersion,
    /// Pieces are missing, or one is malformed.
    Gap,
    /// The deadline has passed.
    Deadline,
}

impl Broken {
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::NotSent => "not sent",
            Self::Refused(_) => "refused",
            Self::Cut => "cut",
            Self::Silent => "silent",
            Self::Crossed => "crossed",
            Self::OtherVersion => "other version",
            Self::Gap => "gap",
            Self::Deadline => "deadline",
        }
    }
}

/// Bounds on the time of an exchange.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Times {
    pub(crate) deadline: Instant,
    pub(crate) idle: Duration,
}

/// What a piece tells while the stream goes on.
#[derive(Debug)]
pub(crate) enum Seen<'a> {
    /// The target told its load with the answer's head.
    Load(Load),
    /// The answer has grown.
    Grown {
        text: &'a str,
        tokens: u32,
        took: Duration,
    },
}

/// Runs a stream until it is whole; what came is in `progress` either way.
pub(crate) async fn run(
    targets: &TargetClient,
    url: &str,
    question: &Question,
    times: Times,
    progress: &mut Progress,
    mut seen: impl FnMut(Seen<'_>),
) -> Result<(), Broken> {
    let body = body(question, progress);
    let started = Instant::now();
    let deadline = tokio::time::Instant::from_std(times.deadline);
    let head = targets.chat(url, &question.request_id, body);
    let head = tokio::time::timeout_at(deadline, head).await;
    let head = head.map_err(|_| Broken::Deadline)?;
    let mut stream = head.map_err(|report| broken(report.current_context()))?;
    if let Some(load) = stream.load() {
        seen(Seen::Load(load));
    }
    let mut last = started;
    loop {
        let idle = tokio::time::Instant::now() + times.idle;
        let event = tokio::time::timeout_at(idle.min(deadline), stream.next()).await;
        let event = event.map_err(|_| silent(times.deadline))?;
        let event = event.map_err(|report| broken(report.current_context()))?;
        match event {
            None => return Err(Broken::Cut),
            Some(Event::End) if progress.finish_reason.is_some() => return Ok(()),
            Some(Event::End) => return Err(Broken::Cut),
            Some(Event::Chunk(chunk)) => {
                let Some(text) = accept(question, progress, &chunk)? else {
                    continue;
                };
                let now = Instant::now();
                seen(Seen::Grown {
                    text: &text,
                    tokens: chunk.tokens,
                    took: now.duration_since(last),
                });
                last = now;
            }
        }
    }
}

/// Takes a piece in; returns its text unless it is here already.
fn accept(
    question: &Question,
    progress: &mut Progress,
    chunk: &Chunk,
) -> Result<Option<String>, Broken> {
    if chunk.id != question.request_id {
        return Err(Broken::Crossed);
    }
    if chunk.system_fingerprint != question.fingerprint {
        return Err(Broken::OtherVersion);
    }
    if chunk.offset_tokens < progress.tokens {
        return Ok(None);
    }
    if chunk.offset_tokens > progress.tokens {
        return Err(Broken::Gap);
    }
    let choice = chunk.choices.first().ok_or(Broken::Gap)?;
    progress.tokens += chunk.tokens;
    progress.text.push_str(&choice.delta.content);
    if choice.finish_reason.is_some() {
        progress.finish_reason.clone_from(&choice.finish_reason);
        progress.usage = chunk.usage.unwrap_or_default();
    }
    Ok(Some(choice.delta.content.clone()))
}

fn body(question: &Question, progress: &Progress) -> Bytes {
    let mut body = question.body.clone();
    body.insert("model".into(), question.fingerprint.clone().into());
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

fn broken(call: &CallError) -> Broken {
    match call {
        CallError::NotSent => Broken::NotSent,
        CallError::Status(status) => Broken::Refused(*status),
        CallError::Lost => Broken::Cut,
        CallError::TimedOut => Broken::Silent,
        CallError::Malformed => Broken::Gap,
    }
}

fn silent(deadline: Instant) -> Broken {
    if Instant::now() >= deadline {
        return Broken::Deadline;
    }
    Broken::Silent
}
