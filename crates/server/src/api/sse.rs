//! Streamed responses as server-sent events.
//!
//! A stream ends with the end marker only if it is complete. Otherwise the error is sent
//! as an event and the connection is aborted, so that no client mistakes a truncated
//! response for a complete one.

use std::io;

use futures_util::stream;
use http_body_util::BodyExt as _;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use serde::Serialize;
use sse_stream::Sse;
use sse_stream::SseBody;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::body::Body;
use super::body::Response;
use super::chat::api_error;
use super::error::ApiError;
use crate::context::unix_ms;
use crate::exchange::Progress;
use crate::online::Failure;

/// The data of the event that ends a complete stream.
const END_MARKER: &str = "[DONE]";

/// A chunk of a streamed response.
#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    delta: Delta<'a>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

pub(super) struct ChunkWriter {
    pub(super) id: String,
    pub(super) serving: String,
    pub(super) created: u64,
}

impl ChunkWriter {
    fn chunk(&self, content: Option<&str>, finish: Option<&str>) -> Sse {
        let delta = Delta {
            role: content.map(|_| "assistant"),
            content,
        };
        let chunk = Chunk {
            id: &self.id,
            object: "chat.completion.chunk",
            created: self.created,
            model: &self.serving,
            choices: [Choice {
                index: 0,
                delta,
                finish_reason: finish,
            }],
        };
        let text = serde_json::to_string(&chunk).unwrap_or_default();
        Sse::default().data(text)
    }
}

pub(super) type EventResult = Result<Sse, io::Error>;

/// The state of a streamed response.
pub(super) enum ResponseStream {
    Chunks {
        first: Option<String>,
        output_rx: mpsc::UnboundedReceiver<String>,
        result_rx: oneshot::Receiver<Result<Progress, Failure>>,
        chunk_writer: ChunkWriter,
    },
    EndMarker,
    Abort,
    Finished,
}

impl ResponseStream {
    pub(super) async fn next(self) -> Option<(EventResult, Self)> {
        match self {
            Self::Chunks {
                first,
                mut output_rx,
                result_rx,
                chunk_writer,
            } => {
                let next_text = match first {
                    Some(next_text) => Some(next_text),
                    None => output_rx.recv().await,
                };
                if let Some(text) = next_text {
                    let event = Ok(chunk_writer.chunk(Some(&text), None));
                    let next = Self::Chunks {
                        first: None,
                        output_rx,
                        result_rx,
                        chunk_writer,
                    };
                    return Some((event, next));
                }
                Some(Self::finish(result_rx.await, &chunk_writer))
            }
            Self::EndMarker => Some((Ok(Sse::default().data(END_MARKER)), Self::Finished)),
            // An incomplete stream must not look complete: there is no end marker, and the
            // connection is aborted after the error event.
            Self::Abort => Some((Err(io::ErrorKind::ConnectionAborted.into()), Self::Finished)),
            Self::Finished => None,
        }
    }

    fn finish(
        result: Result<Result<Progress, Failure>, oneshot::error::RecvError>,
        chunk_writer: &ChunkWriter,
    ) -> (EventResult, Self) {
        match result {
            Ok(Ok(progress)) => {
                let finish = progress.finish_reason.as_deref();
                (Ok(chunk_writer.chunk(None, finish)), Self::EndMarker)
            }
            Ok(Err(failure)) => {
                let body = api_error(failure).body();
                (Ok(Sse::default().data(body.to_string())), Self::Abort)
            }
            Err(_) => {
                let body = ApiError::TargetsFailed.body();
                (Ok(Sse::default().data(body.to_string())), Self::Abort)
            }
        }
    }
}

pub(super) fn completed_stream(
    id: String,
    serving: String,
    progress: Progress,
) -> impl futures_util::Stream<Item = EventResult> + Send {
    let chunk_writer = ChunkWriter {
        id,
        serving,
        created: unix_ms() / 1_000,
    };
    let finish = progress.finish_reason.as_deref();
    stream::iter([
        Ok(chunk_writer.chunk(Some(&progress.text), None)),
        Ok(chunk_writer.chunk(None, finish)),
        Ok(Sse::default().data(END_MARKER)),
    ])
}

pub(super) fn sse(
    events: impl futures_util::Stream<Item = EventResult> + Send + 'static,
) -> Response {
    let body: Body = SseBody::new(events)
        .map_err(|_| io::ErrorKind::ConnectionAborted.into())
        .boxed_unsync();
    let mut resp = Response::new(body);
    let headers = resp.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert("cache-control", HeaderValue::from_static("no-cache"));
    resp
}
