//! Reads request bodies.
//!
//! A body's bytes are copied into one buffer, whose size is reserved before it grows. Keeping the
//! pieces as they arrive was rejected: each piece is part of a larger buffer, so a caller could hold
//! kilobytes with each byte. Reserving the announced length at once was rejected as well: it would
//! cost a caller nothing to occupy the whole budget.

use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt as _;
use http_body_util::BodyExt as _;
use hyper::body::Body;

use crate::Connection;
use crate::Reservation;
use crate::error;

/// Size of the buffer for a body whose length is not announced.
const FIRST_BUFFER_BYTES: usize = 4 << 10;
/// Largest buffer that is made for an announced body before its bytes arrive.
const ANNOUNCED_BUFFER_BYTES: usize = 16 << 10;

/// Limits of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// The maximum size in bytes.
    pub bytes_max: usize,
    /// The maximum time without data.
    pub idle_timeout: Duration,
}

/// Received bytes with their reservation.
struct Received {
    bytes: Vec<u8>,
    _reservation: Option<Reservation>,
}

impl AsRef<[u8]> for Received {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a body to its end. What it occupies is reserved until the last reference to the returned bytes
/// is dropped. Trailers are ignored.
///
/// # Errors
///
/// Returns why the body was not read to its end.
pub async fn read_body<B>(
    connection: &Connection,
    body: B,
    limits: BodyLimits,
) -> Result<Bytes, error::Body>
where
    B: Body<Data = Bytes>,
{
    let read = read_to_end(connection, body, limits).await;
    if read.is_err() {
        connection.leave_body_unread();
    }
    read
}

async fn read_to_end<B>(
    connection: &Connection,
    body: B,
    limits: BodyLimits,
) -> Result<Bytes, error::Body>
where
    B: Body<Data = Bytes>,
{
    let mut body = std::pin::pin!(body);
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > limits.bytes_max {
        return Err(error::Body::TooLarge);
    }
    let expected = body.size_hint().exact().map_or(limits.bytes_max, |len| {
        usize::try_from(len).unwrap_or(usize::MAX)
    });
    let mut received = Received {
        bytes: Vec::new(),
        _reservation: None,
    };
    loop {
        let frame = match body.frame().now_or_never() {
            Some(frame) => frame,
            None => {
                let _wait = connection.await_body();
                let frame = tokio::time::timeout(limits.idle_timeout, body.frame()).await;
                frame.map_err(|_| error::Body::TimedOut)?
            }
        };
        let Some(frame) = frame else {
            return Ok(Bytes::from_owner(received));
        };
        let frame = frame.map_err(|_| error::Body::Incomplete)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let len = received.bytes.len() + data.len();
        if len > limits.bytes_max {
            return Err(error::Body::TooLarge);
        }
        if len > received.bytes.capacity() {
            received = grow(connection, received, len, expected).await?;
        }
        received.bytes.extend_from_slice(&data);
    }
}

/// Moves received bytes to a buffer for at least `len` bytes, and no more than the expected ones.
async fn grow(
    connection: &Connection,
    received: Received,
    len: usize,
    expected: usize,
) -> Result<Received, error::Body> {
    let doubled = match received.bytes.capacity() {
        0 if expected <= ANNOUNCED_BUFFER_BYTES => expected,
        0 => FIRST_BUFFER_BYTES,
        capacity => capacity.saturating_mul(2),
    };
    let capacity = doubled.min(expected).max(len);
    // Both buffers exist while the bytes are copied.
    let reservation = {
        let _wait = connection.await_body();
        connection.reserve(capacity as u64).await
    };
    let reservation = reservation.map_err(error::Body::Shortage)?;
    let mut bytes = Vec::with_capacity(capacity);
    bytes.extend_from_slice(&received.bytes);
    Ok(Received {
        bytes,
        _reservation: Some(reservation),
    })
}
