//! Reads request bodies.
//!
//! A body's bytes are copied into segments, each of which is reserved before it is allocated, and joined at the
//! end. Keeping the pieces as they arrive was rejected: each piece is part of a larger buffer, so a caller
//! could hold kilobytes with each byte. One buffer that doubles was rejected as well: it is up to twice as large as
//! its content, and the allocator cannot reuse the smaller buffers for larger ones. So was reserving the
//! announced length at once: it would cost a caller nothing to occupy the whole budget.

use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt as _;
use http_body_util::BodyExt as _;
use hyper::body::Body;

use crate::Connection;
use crate::Reservation;
use crate::buffer::Buffer;
use crate::error;
use crate::error::Shortage;

/// Size of the first segment of a body whose length is not announced, in bytes.
const FIRST_SEGMENT_BYTES: usize = 4 << 10;
/// Size of the other segments, in bytes.
const SEGMENT_BYTES: usize = 64 << 10;

/// Limits of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// The maximum size in bytes.
    pub bytes_max: usize,
    /// The maximum time without data.
    pub idle_timeout: Duration,
}

/// A body that is being received.
#[derive(Default)]
struct Received {
    /// All but the last are full.
    segments: Vec<Buffer>,
    len: usize,
    reservation: Option<Reservation>,
}

impl Received {
    /// Keeps the next bytes of a body of `expected` bytes at the most.
    async fn push(
        &mut self,
        connection: &Connection,
        mut data: &[u8],
        expected: usize,
    ) -> Result<(), error::Body> {
        while !data.is_empty() {
            match self.segments.last_mut() {
                Some(last) if last.room() > 0 => {
                    let rest = last.push(data);
                    self.len += data.len() - rest.len();
                    data = rest;
                }
                _ => self.add_segment(connection, data.len(), expected).await?,
            }
        }
        Ok(())
    }

    async fn add_segment(
        &mut self,
        connection: &Connection,
        wanted: usize,
        expected: usize,
    ) -> Result<(), error::Body> {
        let size = match self.segments.is_empty() {
            true => wanted.max(FIRST_SEGMENT_BYTES),
            false => SEGMENT_BYTES,
        };
        let size = size.min(SEGMENT_BYTES).min(expected - self.len);
        self.reserve(connection, size).await?;
        self.segments.push(new_buffer(size)?);
        Ok(())
    }

    async fn reserve(&mut self, connection: &Connection, bytes: usize) -> Result<(), error::Body> {
        let reserved = {
            let _wait = connection.await_body();
            connection.reserve(bytes as u64).await
        };
        let reserved = reserved.map_err(error::Body::Shortage)?;
        match &mut self.reservation {
            Some(reservation) => reservation.merge(reserved),
            none => *none = Some(reserved),
        }
        Ok(())
    }

    /// Joins the segments. Both the segments and the whole exist meanwhile.
    async fn join(mut self, connection: &Connection) -> Result<Bytes, error::Body> {
        if self.segments.len() > 1 {
            self.reserve(connection, self.len).await?;
            let mut whole = new_buffer(self.len)?;
            for segment in self.segments.drain(..) {
                whole.push(segment.as_ref());
            }
            self.segments.push(whole);
        }
        Ok(match (self.reservation, self.segments.pop()) {
            (Some(reservation), Some(whole)) => reservation.keep(whole),
            _ => Bytes::new(),
        })
    }
}

fn new_buffer(capacity: usize) -> Result<Buffer, error::Body> {
    Buffer::new(capacity).map_err(|_| error::Body::Shortage(Shortage::Occupied))
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
    let mut received = Received::default();
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
            let body = received.join(connection).await?;
            // A request whose connection is closed must not run.
            return match connection.is_closing() {
                true => Err(error::Body::Shortage(Shortage::Occupied)),
                false => Ok(body),
            };
        };
        let frame = frame.map_err(|_| error::Body::Incomplete)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if received.len + data.len() > limits.bytes_max {
            return Err(error::Body::TooLarge);
        }
        received.push(connection, &data, expected).await?;
    }
}
