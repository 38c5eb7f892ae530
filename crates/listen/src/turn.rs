//! Whose turn it is on a connection: the host's, from the head of a request to the end of its response,
//! or the caller's.
//!
//! The end of a response is where its body is dropped. Counting a response as ended when its handler returns was
//! rejected: most of a stream comes later.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use notchwharf_intake::Connection;
use notchwharf_intake::Turn;

/// The turns of a connection.
#[derive(Clone, Debug)]
pub(crate) struct Turns {
    connection: Connection,
    /// Number of requests whose heads were received.
    begun: Arc<AtomicUsize>,
    is_host_turn: Arc<AtomicBool>,
}

/// A turn of the host, until it is dropped.
#[derive(Debug)]
pub(crate) struct HostTurn {
    _turn: Turn,
    is_host_turn: Arc<AtomicBool>,
}

impl Drop for HostTurn {
    fn drop(&mut self) {
        self.is_host_turn.store(false, Ordering::Relaxed);
    }
}

impl Turns {
    pub(crate) fn new(connection: Connection) -> Self {
        Self {
            connection,
            begun: Arc::default(),
            is_host_turn: Arc::default(),
        }
    }

    pub(crate) fn connection(&self) -> Connection {
        self.connection.clone()
    }

    /// Begins the host's turn.
    pub(crate) fn begin(&self) -> HostTurn {
        self.begun.fetch_add(1, Ordering::Relaxed);
        self.is_host_turn.store(true, Ordering::Relaxed);
        HostTurn {
            _turn: self.connection.begin_turn(),
            is_host_turn: Arc::clone(&self.is_host_turn),
        }
    }

    pub(crate) fn is_host_turn(&self) -> bool {
        self.is_host_turn.load(Ordering::Relaxed)
    }

    /// Returns the number of turns that have begun.
    pub(crate) fn begun(&self) -> usize {
        self.begun.load(Ordering::Relaxed)
    }
}

/// The body of a response, at whose end the host's turn ends.
#[derive(Debug)]
pub(crate) struct TurnBody<B> {
    inner: B,
    _turn: HostTurn,
}

impl<B> TurnBody<B> {
    pub(crate) fn new(inner: B, turn: HostTurn) -> Self {
        Self { inner, _turn: turn }
    }
}

impl<B: Body + Unpin> Body for TurnBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
