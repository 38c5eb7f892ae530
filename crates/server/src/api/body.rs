//! Reading of request bodies within limits, and construction of responses.

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

use super::error::ApiError;
use crate::context::Context;

/// The body of a response; an error in it closes the connection.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;
/// A response.
pub(crate) type Response = hyper::Response<Body>;

/// Reads a complete body within the configured limits.
pub(crate) async fn read(ctx: &Context, req: Request<Incoming>) -> Result<Bytes, ApiError> {
    let limits = &ctx.settings.limits;
    let max = limits.body_bytes_max;
    let mut body = req.into_body();
    if body.size_hint().lower() > max {
        return Err(ApiError::TooLarge { max });
    }
    let idle_timeout = ms(limits.body_timeout_ms);
    let mut content = BytesMut::new();
    while let Some(data) = next_chunk(&mut body, idle_timeout).await? {
        content.extend_from_slice(&data);
        if content.len() as u64 > max {
            return Err(ApiError::TooLarge { max });
        }
    }
    Ok(content.freeze())
}

/// Reads the next chunk of a body. Returns `None` at its end.
pub(crate) async fn next_chunk(
    body: &mut Incoming,
    idle_timeout: Duration,
) -> Result<Option<Bytes>, ApiError> {
    loop {
        let frame = tokio::time::timeout(idle_timeout, body.frame()).await;
        let Some(frame) = frame.map_err(|_| ApiError::BodyTimeout)? else {
            return Ok(None);
        };
        let frame = frame.map_err(|_| ApiError::IncompleteBody)?;
        // Trailers are ignored.
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
}

/// Returns a response with a JSON body.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let text = serde_json::to_vec(value).unwrap_or_default();
    with_content_type(status, "application/json", text.into())
}

/// Returns a response with a plain text body.
pub(crate) fn text(status: StatusCode, text: &str) -> Response {
    let bytes = Bytes::copy_from_slice(text.as_bytes());
    with_content_type(status, "text/plain; charset=utf-8", bytes)
}

/// Returns a response with a body of bytes.
pub(crate) fn bytes(status: StatusCode, bytes: Bytes) -> Response {
    let body = Full::new(bytes).map_err(|never| match never {});
    let mut resp = Response::new(body.boxed_unsync());
    *resp.status_mut() = status;
    resp
}

/// Returns the response for an error.
pub(crate) fn error_response(error: &ApiError) -> Response {
    let mut resp = json(error.status(), &error.body());
    if let Some(after) = error.retry_after() {
        let seconds = after.as_secs().max(1);
        resp.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    resp
}

fn with_content_type(status: StatusCode, content_type: &'static str, body: Bytes) -> Response {
    let mut resp = bytes(status, body);
    let content_type = HeaderValue::from_static(content_type);
    resp.headers_mut().insert(CONTENT_TYPE, content_type);
    resp
}
