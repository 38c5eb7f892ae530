//! Feeds the body of an upload to the parser of forms, no faster than the parser uses it.
//!
//! The parser reads for as long as there is data before it looks at any of it, and keeps what precedes a
//! part until it is complete. So the body pauses after each piece, and ends with an error once too much was
//! read that nobody used.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream;
use hyper::body::Incoming;
use notchwharf_intake::Connection;

use super::body;
use super::error::ApiError;

/// Maximum number of bytes that the parser keeps.
pub(crate) const AHEAD_BYTES_MAX: usize = 256 << 10;
/// Bytes after which the body pauses.
const PAUSE_BYTES: usize = 64 << 10;

/// Counts the bytes that the parser has read since it last returned some.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ahead(Arc<AtomicUsize>);

impl Ahead {
    /// Records that the parser returned bytes. It returns all that it has up to the next boundary.
    pub(crate) fn record_returned(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Counts bytes that the parser reads; returns whether it may keep them.
    fn produce(&self, bytes: usize) -> bool {
        let ahead = self.0.fetch_add(bytes, Ordering::Relaxed) + bytes;
        ahead <= AHEAD_BYTES_MAX
    }
}

struct Body {
    connection: Connection,
    incoming: Incoming,
    idle_timeout: Duration,
    ahead: Ahead,
    /// Bytes since the last pause.
    unpaused_bytes: usize,
}

/// Returns a body as the parser reads it.
pub(crate) fn read(
    connection: Connection,
    incoming: Incoming,
    idle_timeout: Duration,
    ahead: Ahead,
) -> impl Stream<Item = Result<Bytes, io::Error>> + Send + 'static {
    let body = Body {
        connection,
        incoming,
        idle_timeout,
        ahead,
        unpaused_bytes: 0,
    };
    stream::unfold(body, |mut body| async move {
        let piece = body.next().await?;
        if piece.is_err() {
            body.connection.leave_body_unread();
        }
        Some((piece, body))
    })
}

impl Body {
    async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        if self.unpaused_bytes >= PAUSE_BYTES {
            self.unpaused_bytes = 0;
            tokio::task::yield_now().await;
        }
        let chunk = body::next_chunk(&self.connection, &mut self.incoming, self.idle_timeout);
        let bytes = match chunk.await {
            Ok(bytes) => bytes?,
            Err(ApiError::BodyTimeout) => return Some(Err(io::ErrorKind::TimedOut.into())),
            Err(_) => return Some(Err(io::ErrorKind::UnexpectedEof.into())),
        };
        self.unpaused_bytes += bytes.len();
        if !self.ahead.produce(bytes.len()) {
            return Some(Err(io::ErrorKind::FileTooLarge.into()));
        }
        Some(Ok(bytes))
    }
}
