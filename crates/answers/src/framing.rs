//! What a head says of the end of its body.
//!
//! Trusting the presence of `Content-Length` or `Transfer-Encoding` was rejected: the library then
//! reads the body by another rule than the one that is announced.

use std::ops::RangeInclusive;

use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::Version;
use hyper::body::Body;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::TRANSFER_ENCODING;
use strsim::osa_distance;

use crate::error;

/// Statuses of final responses (RFC 9110, 15). The library also accepts those up to 999, and 101, after
/// which the connection would speak another protocol that no request has asked for.
const STATUSES: RangeInclusive<u16> = 200..=599;
/// The only transfer coding of a body that no request has asked for another one.
const CHUNKED: &[u8] = b"chunked";
/// The fields that mark the end of a body.
const FRAMING_FIELDS: [HeaderName; 2] = [CONTENT_LENGTH, TRANSFER_ENCODING];
/// Greatest number of characters that are added, lost, replaced or swapped in a malformed name. Names of
/// other fields, such as `Content-Range`, differ in more.
const NAME_EDITS_MAX: usize = 3;
/// How a response begins.
const RESPONSE_START: &[u8] = b"HTTP/1.";
/// Options of the `Connection` field.
const CLOSE: &[u8] = b"close";
const KEEP_ALIVE: &[u8] = b"keep-alive";

/// What proves the end of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The response has no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The last chunk.
    LastChunk,
    /// Nothing: the body ends with the connection, as does that of a server that has crashed.
    Connection,
}

impl End {
    /// Returns whether the end of the body can be told from the end of the connection.
    pub fn is_marked(self) -> bool {
        self != Self::Connection
    }
}

/// Returns whether bytes behind the body of a response show that it does not end where its length says.
/// The start of another response does not.
pub fn is_cut(surplus: &[u8]) -> bool {
    !surplus.is_empty() && !surplus.starts_with(RESPONSE_START)
}

/// Checks the head of a response as received, and returns what proves the end of its body.
///
/// A length that is repeated, or written with leading zeros, is replaced by the plain number.
///
/// # Errors
///
/// Returns an error if the head is invalid. The request may have run, and the connection must not be
/// used again.
pub fn accept<B: Body>(resp: &mut Response<B>) -> Result<End, error::Head> {
    if !STATUSES.contains(&resp.status().as_u16()) {
        return Err(error::Head::Status);
    }
    let is_empty = resp.body().is_end_stream();
    let end = match (length(resp.headers())?, is_chunked(resp)?) {
        (Some(_), true) => return Err(error::Head::LengthAndCoding),
        (Some(length), false) => {
            resp.headers_mut().insert(CONTENT_LENGTH, length.into());
            End::Length(length)
        }
        (None, true) => End::LastChunk,
        (None, false) if !is_empty && has_lost_name(resp.headers()) => {
            return Err(error::Head::FramingName);
        }
        (None, false) if is_empty || is_closing(resp) => End::Connection,
        (None, false) => return Err(error::Head::NoEnd),
    };
    if resp.status() == StatusCode::NO_CONTENT && !matches!(end, End::Connection | End::Length(0)) {
        return Err(error::Head::Length);
    }
    // A response to HEAD, or one whose status has no body, may tell the length of another one.
    Ok(if is_empty { End::Empty } else { end })
}

/// Returns the length that the head tells, if any.
fn length(headers: &HeaderMap) -> Result<Option<u64>, error::Head> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let Some(first) = lengths.next() else {
        return Ok(None);
    };
    let mut values = std::iter::once(first).chain(lengths).flat_map(|value| {
        let values = value.as_bytes().split(|byte| *byte == b',');
        values.map(|value| parse_length(value.trim_ascii()))
    });
    let length = values.next().flatten().ok_or(error::Head::Length)?;
    match values.all(|other| other == Some(length)) {
        true => Ok(Some(length)),
        false => Err(error::Head::Length),
    }
}

fn parse_length(digits: &[u8]) -> Option<u64> {
    if !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(digits).ok()?.parse().ok()
}

/// Returns whether a field of a head that has neither a length nor a transfer coding was one of them: its
/// name is similar, or its value is that of the coding. A body of chunks would be read with their sizes.
fn has_lost_name(headers: &HeaderMap) -> bool {
    let is_similar = |name: &str| {
        FRAMING_FIELDS
            .iter()
            .any(|field| osa_distance(name, field.as_str()) <= NAME_EDITS_MAX)
    };
    headers.iter().any(|(name, value)| {
        value.as_bytes().eq_ignore_ascii_case(CHUNKED) || is_similar(name.as_str())
    })
}

/// Returns whether the server has said that it closes the connection after the response. One that has
/// not would leave its clients waiting, so its length or transfer coding has been lost.
fn is_closing<B>(resp: &Response<B>) -> bool {
    let options = resp.headers().get_all(CONNECTION).iter();
    let mut options = options.flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
    let mut has = |option: &[u8]| options.any(|o| o.trim_ascii().eq_ignore_ascii_case(option));
    match resp.version() {
        Version::HTTP_10 => !has(KEEP_ALIVE),
        _ => has(CLOSE),
    }
}

/// Returns whether the head announces chunks.
fn is_chunked<B>(resp: &Response<B>) -> Result<bool, error::Head> {
    let mut codings = resp.headers().get_all(TRANSFER_ENCODING).iter();
    let is_chunks = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(CHUNKED);
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(coding), None) if is_chunks(coding) && resp.version() == Version::HTTP_11 => Ok(true),
        _ => Err(error::Head::Coding),
    }
}
