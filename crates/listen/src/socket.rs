//! A socket that asks before it keeps more than usual, and does not wait for its caller for ever.
//!
//! It is reset if a response breaks off whose end only the end of its connection marks: callers
//! cannot tell the regular close of such a connection from the end of the response. Marking the end with
//! chunks instead was rejected for these responses: it is not known to be theirs.
//!
//! hyper has a time limit for heads that includes the time for which a connection is idle. The time limits here are
//! for callers that have begun to send, or do not read.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use notchwharf_intake::Reservation;
use notchwharf_intake::error::Shortage;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::Limits;
use crate::turn::Turns;

/// Bytes of hyper's buffer of a connection until it grows, which are counted with the connection.
const USUAL_BUFFER_BYTES: usize = 8 << 10;
/// Copies of a head that exist at a time: in the buffer and in the request.
const HEAD_COPIES: u64 = 2;
/// Time for which bytes that a caller still sends are discarded after the response, so that closing the
/// connection does not reset it before the caller has read the response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes that are discarded at a time.
const DISCARD_BYTES: usize = 4 << 10;
/// Maximum number of bytes that are discarded: enough for a caller that reads while it sends.
const DISCARD_BYTES_MAX: usize = 1 << 20;

/// Whether a socket is reset when it is dropped.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reset(Arc<AtomicBool>);

impl Reset {
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// A wait for bytes of the budget.
type Reserving = Pin<Box<dyn Future<Output = Result<Reservation, Shortage>> + Send>>;

/// What was received since the last request's head was complete.
#[derive(Default)]
struct Head {
    /// Number of heads that were complete then.
    complete: usize,
    bytes: usize,
    began_at: Option<Instant>,
    timeout: Option<Pin<Box<Sleep>>>,
}

pub(crate) struct Socket {
    inner: TcpStream,
    reset: Reset,
    turns: Turns,
    limits: Limits,
    head: Head,
    /// For the part of hyper's buffer by which it exceeds its usual size.
    buffer: Option<Reservation>,
    reserving: Option<Reserving>,
    write_timeout: Option<Pin<Box<Sleep>>>,
    linger_timeout: Option<Pin<Box<Sleep>>>,
    discarded_bytes: usize,
}

impl Socket {
    pub(crate) fn new(inner: TcpStream, reset: Reset, turns: Turns, limits: Limits) -> Self {
        Self {
            inner,
            reset,
            turns,
            limits,
            head: Head::default(),
            buffer: None,
            reserving: None,
            write_timeout: None,
            linger_timeout: None,
            discarded_bytes: 0,
        }
    }

    /// Returns an error if a head has begun and is not complete in time.
    fn check_head(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        let complete = self.turns.begun();
        if self.head.complete != complete {
            self.head = Head {
                complete,
                ..Head::default()
            };
        }
        let Some(began_at) = self.head.began_at.filter(|_| !self.turns.is_host_turn()) else {
            return Ok(());
        };
        let ends_at = began_at + self.limits.head_timeout;
        let timeout = &mut self.head.timeout;
        let timeout = timeout.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(ends_at)));
        match timeout.as_mut().poll(cx) {
            Poll::Ready(()) => Err(io::ErrorKind::TimedOut.into()),
            Poll::Pending => Ok(()),
        }
    }

    /// Waits until the growth of the buffer is reserved, if one is asked for.
    fn poll_reserving(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let Some(reserving) = &mut self.reserving {
            let reserved = ready!(reserving.as_mut().poll(cx));
            self.reserving = None;
            self.buffer = Some(reserved.map_err(io::Error::other)?);
        }
        Poll::Ready(Ok(()))
    }

    fn record_received(&mut self, bytes: usize) {
        if !self.turns.is_host_turn() {
            self.head.bytes += bytes;
            self.head.began_at.get_or_insert_with(Instant::now);
        }
        let growth = self
            .limits
            .head_bytes_max
            .saturating_sub(USUAL_BUFFER_BYTES);
        let has_grown = bytes >= USUAL_BUFFER_BYTES || self.head.bytes >= USUAL_BUFFER_BYTES;
        if has_grown && growth > 0 && self.buffer.is_none() {
            let connection = self.turns.connection();
            let bytes = HEAD_COPIES * growth as u64;
            let reserving = async move { connection.reserve(bytes).await };
            self.reserving = Some(Box::pin(reserving));
        }
    }

    /// Records whether the caller took bytes; returns an error if it has not for too long.
    fn check_written<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            if self.write_timeout.take().is_some() {
                self.turns.connection().set_blocked(false);
            }
            return written;
        }
        if self.write_timeout.is_none() {
            self.turns.connection().set_blocked(true);
        }
        let timeout = self.limits.write_timeout;
        let timeout = self
            .write_timeout
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        ready!(timeout.as_mut().poll(cx));
        self.reset.set();
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Discards what the caller still sends, for a time.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let timeout = self
            .linger_timeout
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(LINGER_TIMEOUT)));
        if timeout.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let mut bytes = [0; DISCARD_BYTES];
        while self.discarded_bytes < DISCARD_BYTES_MAX {
            let mut buf = ReadBuf::new(&mut bytes);
            // An error ends the connection, as does its end.
            let read = ready!(Pin::new(&mut self.inner).poll_read(cx, &mut buf));
            if read.is_err() || buf.filled().is_empty() {
                return Poll::Ready(());
            }
            self.discarded_bytes += buf.filled().len();
        }
        Poll::Ready(())
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        let is_blocked = self.write_timeout.is_some();
        if is_blocked || self.reset.0.load(Ordering::Relaxed) {
            // If this fails, the caller may take the response for a whole one.
            let _ = self.inner.set_zero_linger();
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check_head(cx)?;
        ready!(self.poll_reserving(cx))?;
        let filled = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        let bytes = buf.filled().len() - filled;
        self.record_received(bytes);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.check_written(cx, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.inner).poll_shutdown(cx))?;
        if self.turns.connection().has_unread_body() {
            ready!(self.poll_discard(cx));
        }
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.check_written(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
