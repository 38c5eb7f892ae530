//! Streamed answers on their way to callers.
//!
//! A stream ends with the end mark only if it is whole. Otherwise the error is
//! told as an event and the connection is cut, so that no client can take a
//! short answer for a whole one.

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
use super::chat::problem;
use super::error::Problem;
use crate::context::unix_ms;
use crate::exchange::Progress;
use crate::online::Failure;

/// The end mark of a stream.
const DONE: &str = "[DONE]";

/// A piece of a streamed answer as callers know it.
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

pub(super) struct Teller {
    pub(super) id: String,
    pub(super) serving: String,
    pub(super) created: u64,
}

impl Teller {
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

pub(super) type Told = Result<Sse, io::Error>;

/// A streamed answer on its way to the caller.
pub(super) enum Telling {
    Pieces {
        first: Option<String>,
        pieces: mpsc::UnboundedReceiver<String>,
        end: oneshot::Receiver<Result<Progress, Failure>>,
        teller: Teller,
    },
    Done,
    Cut,
    Over,
}

impl Telling {
    pub(super) async fn next(self) -> Option<(Told, Self)> {
        match self {
            Self::Pieces {
                first,
                mut pieces,
                end,
                teller,
            } => {
                let piece = match first {
                    Some(piece) => Some(piece),
                    None => pieces.recv().await,
                };
                if let Some(text) = piece {
                    let told = Ok(teller.chunk(Some(&text), None));
                    let next = Self::Pieces {
                        first: None,
                        pieces,
                        end,
                        teller,
                    };
                    return Some((told, next));
                }
                Some(Self::finish(end.await, &teller))
            }
            Self::Done => Some((Ok(Sse::default().data(DONE)), Self::Over)),
            // A stream that is not whole must not look whole: no end mark, and
            // the connection is cut after the error was told.
            Self::Cut => Some((Err(io::ErrorKind::ConnectionAborted.into()), Self::Over)),
            Self::Over => None,
        }
    }

    fn finish(
        end: Result<Result<Progress, Failure>, oneshot::error::RecvError>,
        teller: &Teller,
    ) -> (Told, Self) {
        match end {
            Ok(Ok(progress)) => {
                let finish = progress.finish_reason.as_deref();
                (Ok(teller.chunk(None, finish)), Self::Done)
            }
            Ok(Err(failure)) => {
                let body = problem(failure).body();
                (Ok(Sse::default().data(body.to_string())), Self::Cut)
            }
            Err(_) => {
                let body = Problem::Broken.body();
                (Ok(Sse::default().data(body.to_string())), Self::Cut)
            }
        }
    }
}

pub(super) fn ended_stream(
    id: String,
    serving: String,
    progress: Progress,
) -> impl futures_util::Stream<Item = Told> + Send {
    let teller = Teller {
        id,
        serving,
        created: unix_ms() / 1_000,
    };
    let finish = progress.finish_reason.as_deref();
    stream::iter([
        Ok(teller.chunk(Some(&progress.text), None)),
        Ok(teller.chunk(None, finish)),
        Ok(Sse::default().data(DONE)),
    ])
}

pub(super) fn sse(events: impl futures_util::Stream<Item = Told> + Send + 'static) -> Response {
    let body: Body = SseBody::new(events)
        .map_err(|_| io::ErrorKind::ConnectionAborted.into())
        .boxed_unsync();
    let mut resp = Response::new(body);
    let headers = resp.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert("cache-control", HeaderValue::from_static("no-cache"));
    resp
}
