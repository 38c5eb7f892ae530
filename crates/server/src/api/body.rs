//! Reading of request bodies within limits, and construction of responses.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use hyper::http::Extensions;
use notchwharf_config::settings::ms;
use notchwharf_intake::BodyLimits;
use notchwharf_intake::Connection;
use notchwharf_intake::Reservation;
use notchwharf_intake::error;
use notchwharf_intake::error::Shortage;
use serde::Serialize;

use super::error::ApiError;
use crate::context::Context;

/// The body of a response; an error in it closes the connection.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;
/// A response.
pub(crate) type Response = hyper::Response<Body>;

/// Returns the connection on which a request came.
pub(crate) fn connection(extensions: &Extensions) -> Result<Connection, ApiError> {
    let connection = extensions.get::<Connection>().cloned();
    // The listener adds it to each request.
    connection.ok_or(ApiError::Occupied)
}

/// Reserves bytes that are kept for a caller.
pub(crate) async fn reserve(connection: &Connection, bytes: u64) -> Result<Reservation, ApiError> {
    connection.reserve(bytes).await.map_err(shortage_error)
}

pub(crate) fn shortage_error(shortage: Shortage) -> ApiError {
    match shortage {
        Shortage::Occupied => ApiError::Occupied,
        Shortage::OverBudget => ApiError::OverBudget,
    }
}

/// Reads a complete body within the configured limits and the budget for callers, until the host's service
/// ends.
pub(crate) async fn read(ctx: &Context, req: Request<Incoming>) -> Result<Bytes, ApiError> {
    let limits = &ctx.settings.limits;
    let max = limits.body_bytes_max;
    let connection = connection(req.extensions())?;
    let limits = BodyLimits {
        bytes_max: usize::try_from(max).unwrap_or(usize::MAX),
        idle_timeout: ms(limits.body_timeout_ms),
    };
    let body = notchwharf_intake::read_body(&connection, req.into_body(), limits);
    let body = ctx.drain.within(body).await.ok_or(ApiError::Leaving)?;
    body.map_err(|err| match err {
        error::Body::TooLarge => ApiError::TooLarge { max },
        error::Body::TimedOut => ApiError::BodyTimeout,
        error::Body::Incomplete => ApiError::IncompleteBody,
        error::Body::Shortage(shortage) => shortage_error(shortage),
    })
}

/// Reads the next chunk of a body. Returns `None` at its end.
pub(crate) async fn next_chunk(
    connection: &Connection,
    body: &mut Incoming,
    idle_timeout: Duration,
) -> Result<Option<Bytes>, ApiError> {
    let _wait = connection.await_body();
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
