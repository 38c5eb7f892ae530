//! Parses server-sent events, so that an interrupted stream can be resumed at another target.
//!
//! Only complete events are used: a partial event before an interruption is discarded, and the
//! next target resumes after the last complete one.

use bytes::Bytes;
use bytes::BytesMut;

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
}

impl EventEnd {
    /// Records bytes that are forwarded.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                b'\n' if !std::mem::take(&mut self.has_line) => self.has_content = false,
                b'\n' | b'\r' => {}
                _ => {
                    self.has_line = true;
                    self.has_content = true;
                }
            }
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
        (Some(last), Some(id)) => id == last + 1,
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
