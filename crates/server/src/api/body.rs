//! Bodies of requests, read within bounds, and bodies of answers.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use notchwharf_config::settings::ms;
use serde::Serialize;

use super::error::Problem;
use crate::context::Context;

/// The body of an answer; an error in it cuts the connection.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;
/// An answer.
pub(crate) type Response = hyper::Response<Body>;

/// Reads a whole body within the bounds of the settings.
pub(crate) async fn read(ctx: &Context, req: Request<Incoming>) -> Result<Bytes, Problem> {
    let limits = &ctx.settings.limits;
    let max = limits.body_bytes_max;
    let mut body = req.into_body();
    if body.size_hint().lower() > max {
        return Err(Problem::TooLarge { max });
    }
    let silence = ms(limits.body_timeout_ms);
    let mut whole = BytesMut::new();
    while let Some(data) = next(&mut body, silence).await? {
        whole.extend_from_slice(&data);
        if whole.len() as u64 > max {
            return Err(Problem::TooLarge { max });
        }
    }
    Ok(whole.freeze())
}

/// Reads the next piece of a body; nothing at its end.
pub(crate) async fn next(body: &mut Incoming, silence: Duration) -> Result<Option<Bytes>, Problem> {
    loop {
        let frame = tokio::time::timeout(silence, body.frame()).await;
        let Some(frame) = frame.map_err(|_| Problem::SlowSender)? else {
            return Ok(None);
        };
        let frame = frame.map_err(|_| Problem::CutSender)?;
        // Trailers carry nothing that this interface knows.
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
}

/// Returns an answer with JSON.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let text = serde_json::to_vec(value).unwrap_or_default();
    typed(status, "application/json", text.into())
}

/// Returns an answer with text.
pub(crate) fn text(status: StatusCode, text: &str) -> Response {
    let bytes = Bytes::copy_from_slice(text.as_bytes());
    typed(status, "text/plain; charset=utf-8", bytes)
}

/// Returns an answer with bytes.
pub(crate) fn bytes(status: StatusCode, bytes: Bytes) -> Response {
    let body = Full::new(bytes).map_err(|never| match never {});
    let mut resp = Response::new(body.boxed_unsync());
    *resp.status_mut() = status;
    resp
}

/// Returns the answer to a request that was not answered as asked.
pub(crate) fn problem(problem: &Problem) -> Response {
    let mut resp = json(problem.status(), &problem.body());
    if let Some(after) = problem.retry_after() {
        let seconds = after.as_secs().max(1);
        resp.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    resp
}

fn typed(status: StatusCode, kind: &'static str, body: Bytes) -> Response {
    let mut resp = bytes(status, body);
    let kind = HeaderValue::from_static(kind);
    resp.headers_mut().insert(CONTENT_TYPE, kind);
    resp
}
