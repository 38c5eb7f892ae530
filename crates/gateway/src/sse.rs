//! Parses server-sent events, so that an interrupted stream can be resumed at another target.
//!
//! Only complete events are used: a partial event before an interruption is discarded, and the
//! next target resumes after the last complete one.

use bytes::Bytes;
use bytes::BytesMut;

/// Greatest size of an event in bytes: many times what a target generates at once.
const EVENT_BYTES_MAX: usize = 1 << 20;

/// An event without an end: the bytes are no answer, and would be buffered as long as they come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EventTooLong;

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    /// The event's bytes, with the empty line that ends it.
    pub(crate) raw: Bytes,
    /// The event's numeric id, if it has one.
    pub(crate) id: Option<u64>,
}

impl Event {
    /// Returns the event's data, its lines joined by line feeds.
    pub(crate) fn data(&self) -> Vec<u8> {
        let lines = self
            .raw
            .split(|b| *b == b'\n')
            .filter_map(|line| field(line, b"data"));
        let lines: Vec<&[u8]> = lines.collect();
        lines.join(&b'\n')
    }
}

/// A buffer of stream bytes that yields complete events.
#[derive(Clone, Debug, Default)]
pub(crate) struct Events {
    buf: BytesMut,
}

impl Events {
    /// Appends bytes.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Checks the partial event that is left once all complete ones were taken.
    ///
    /// # Errors
    ///
    /// Returns an error if it is longer than an event may be.
    pub(crate) fn check_partial(&self) -> Result<(), EventTooLong> {
        match self.buf.len() > EVENT_BYTES_MAX {
            true => Err(EventTooLong),
            false => Ok(()),
        }
    }

    /// Returns the bytes of the partial event that is left.
    pub(crate) fn len(&self) -> usize {
        self.buf.len()
    }

    /// Returns whether no partial event is left.
    pub(crate) fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Discards the partial event that is left.
    pub(crate) fn clear(&mut self) {
        self.buf.clear();
    }
}

/// Tracks whether a stream that is forwarded unparsed has ended between two events.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EventEnd {
    /// Whether the current event has a line that isn't empty.
    has_content: bool,
    /// Whether the current line has a byte other than a carriage return.
    has_line: bool,
    /// Bytes of the current event.
    len: usize,
}

impl EventEnd {
    /// Records bytes that are forwarded.
    ///
    /// # Errors
    ///
    /// Returns an error if the current event is longer than an event may be.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        for byte in bytes {
            self.len += 1;
            match byte {
                b'\n' if !std::mem::take(&mut self.has_line) => {
                    self.has_content = false;
                    self.len = 0;
                }
                b'\n' | b'\r' => {}
                _ => {
                    self.has_line = true;
                    self.has_content = true;
                }
            }
        }
        match self.len > EVENT_BYTES_MAX {
            true => Err(EventTooLong),
            false => Ok(()),
        }
    }

    /// Returns whether no event has begun since the last one ended.
    pub(crate) fn is_between_events(&self) -> bool {
        !self.has_content
    }
}

impl Iterator for Events {
    type Item = Event;

    fn next(&mut self) -> Option<Event> {
        let len = event_len(&self.buf)?;
        let raw = self.buf.split_to(len).freeze();
        let mut ids = raw
            .split(|b| *b == b'\n')
            .filter_map(|line| field(line, b"id"));
        let id = ids
            .next_back()
            .and_then(|text| std::str::from_utf8(text).ok()?.parse().ok());
        Some(Event { raw, id })
    }
}

/// Returns whether an event id is the direct successor of the last one. The first event may
/// have any id.
pub(crate) fn is_next(last: Option<u64>, id: Option<u64>) -> bool {
    match (last, id) {
        (_, None) => false,
        (None, Some(_)) => true,
        // The caller may name any event as its last one.
        (Some(last), Some(id)) => last.checked_add(1) == Some(id),
    }
}

/// Returns the length of the first event, up to the end of its empty line.
fn event_len(buf: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    let mut has_content = false;
    while let Some(len) = buf[line_start..].iter().position(|b| *b == b'\n') {
        let line = &buf[line_start..line_start + len];
        line_start += len + 1;
        let is_empty = line.is_empty() || line == b"\r";
        if is_empty && has_content {
            return Some(line_start);
        }
        has_content |= !is_empty;
    }
    None
}

/// Returns the value of a line if it is of the named field.
fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
