//! Events of a stream, taken apart so that a stream can go on elsewhere.
//!
//! Only whole events count: what a target sent of one when it broke off is
//! dropped, and the next target is asked for what follows the last whole one.

use bytes::Bytes;
use bytes::BytesMut;

/// A whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    /// Its bytes, with the empty line that ends it.
    pub(crate) raw: Bytes,
    /// Its number, if it has one.
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

/// Bytes of a stream, in which whole events are found.
#[derive(Clone, Debug, Default)]
pub(crate) struct Events {
    buf: BytesMut,
}

impl Events {
    /// Adds bytes.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns whether no part of an event is left.
    pub(crate) fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Forgets the part of an event that is left.
    pub(crate) fn clear(&mut self) {
        self.buf.clear();
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

/// Returns whether an event comes right after another.
pub(crate) fn is_next(last: Option<u64>, id: Option<u64>) -> bool {
    match (last, id) {
        (_, None) => false,
        (None, Some(_)) => true,
        (Some(last), Some(id)) => id == last + 1,
    }
}

/// Returns the length of the first event, up to the end of its empty line.
fn event_len(buf: &[u8]) -> Option<usize> {
    let mut line_from = 0;
    let mut has_content = false;
    while let Some(len) = buf[line_from..].iter().position(|b| *b == b'\n') {
        let line = &buf[line_from..line_from + len];
        line_from += len + 1;
        let is_empty = line.is_empty() || line == b"\r";
        if is_empty && has_content {
            return Some(line_from);
        }
        has_content |= !is_empty;
    }
    None
}

/// Returns the value of a line if it is one of the named field.
fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
