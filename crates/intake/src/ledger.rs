//! What each connection occupies, and which ones are closed when there is not enough.
//!
//! The ledger is plain data: whoever asks too much is told whom to wait for, and does the waiting.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use tokio::sync::Notify;

use crate::CONNECTION_BYTES;
use crate::error::Shortage;

/// Identifies a connection.
pub(crate) type ConnectionId = u64;
/// Identifies an entrance.
pub(crate) type EntranceId = usize;
/// A position in the order in which the host began to wait for callers.
type Position = u64;

/// Connections that may be about to close while others are admitted in their place.
const CLOSING_MAX: usize = 32;

/// What callers occupy now, and what was refused since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Bytes that are reserved.
    pub bytes: u64,
    /// Bytes that may be reserved.
    pub bytes_max: u64,
    /// Open connections.
    pub connections: usize,
    /// Connections that were closed because others needed their place.
    pub closed_for_connections: u64,
    /// Connections that were closed because others needed their bytes.
    pub closed_for_bytes: u64,
    /// Connections that were refused.
    pub refused_connections: u64,
    /// Reservations that were refused.
    pub refused_bytes: u64,
    /// Connections that could not be accepted, as for a lack of descriptors.
    pub failed_accepts: u64,
}

impl Report {
    /// Returns the number of events since the start.
    pub fn events(&self) -> u64 {
        self.closed_for_connections
            + self.closed_for_bytes
            + self.refused_connections
            + self.refused_bytes
            + self.failed_accepts
    }

    /// Returns the events since an earlier report, besides what is occupied now.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            closed_for_connections: self.closed_for_connections - earlier.closed_for_connections,
            closed_for_bytes: self.closed_for_bytes - earlier.closed_for_bytes,
            refused_connections: self.refused_connections - earlier.refused_connections,
            refused_bytes: self.refused_bytes - earlier.refused_bytes,
            failed_accepts: self.failed_accepts - earlier.failed_accepts,
            ..*self
        }
    }

    /// Returns the number of events of each kind, with its name in metrics.
    pub fn by_event(&self) -> [(&'static str, u64); 5] {
        [
            ("closed for connections", self.closed_for_connections),
            ("closed for bytes", self.closed_for_bytes),
            ("connection refused", self.refused_connections),
            ("bytes refused", self.refused_bytes),
            ("not accepted", self.failed_accepts),
        ]
    }
}

/// The answer to a request for bytes or a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Grant {
    Granted,
    /// Enough is about to be released.
    Wait,
}

/// What a connection occupies, and whether the host waits for its caller.
#[derive(Debug)]
struct Entry {
    entrance: EntranceId,
    bytes: u64,
    /// When the host began to wait for the present request.
    awaited_since: Position,
    /// When the caller first kept the host from writing the present response.
    blocked_since: Option<Position>,
    /// Whether the host handles a request.
    is_host_turn: bool,
    awaits_body: bool,
    is_blocked: bool,
    /// Its key among the connections on whose callers the host waits.
    waiting_since: Option<Position>,
    is_closing: bool,
    close: Arc<Notify>,
}

#[derive(Debug)]
struct EntranceState {
    connections_max: usize,
    open: usize,
    closing: usize,
}

#[derive(Debug)]
pub(crate) struct Ledger {
    entrances: Vec<EntranceState>,
    connections: HashMap<ConnectionId, Entry>,
    /// Connections on whose callers the host waits, and which have not been told to close.
    waiting: BTreeMap<Position, ConnectionId>,
    closing_bytes: u64,
    next_position: Position,
    next_id: ConnectionId,
    report: Report,
}

impl Ledger {
    pub(crate) fn new(bytes_max: u64) -> Self {
        Self {
            entrances: Vec::new(),
            connections: HashMap::new(),
            waiting: BTreeMap::new(),
            closing_bytes: 0,
            next_position: 0,
            next_id: 0,
            report: Report {
                bytes_max,
                ..Report::default()
            },
        }
    }

    pub(crate) fn add_entrance(&mut self, connections_max: usize) -> EntranceId {
        self.entrances.push(EntranceState {
            connections_max,
            open: 0,
            closing: 0,
        });
        self.entrances.len() - 1
    }

    pub(crate) fn report(&self) -> Report {
        self.report
    }

    pub(crate) fn report_mut(&mut self) -> &mut Report {
        &mut self.report
    }

    fn next_position(&mut self) -> Position {
        self.next_position += 1;
        self.next_position
    }

    /// Makes room for a connection, closing others if need be.
    pub(crate) fn make_way(&mut self, entrance: EntranceId) -> Result<Grant, Shortage> {
        loop {
            let state = &self.entrances[entrance];
            let closing = self.entrances.iter().map(|e| e.closing).sum::<usize>();
            let has_place = state.open - state.closing < state.connections_max;
            let bytes = self.report.bytes + CONNECTION_BYTES;
            let overlap = CLOSING_MAX as u64 * CONNECTION_BYTES;
            let has_bytes = bytes - self.closing_bytes <= self.report.bytes_max
                && bytes <= self.report.bytes_max + overlap;
            if has_place && has_bytes && closing <= CLOSING_MAX {
                return Ok(Grant::Granted);
            }
            if closing >= CLOSING_MAX || (has_place && has_bytes) {
                return Ok(Grant::Wait);
            }
            let victim = self.waiting.values().copied().find(|id| {
                // A place of another entrance does not help.
                has_place || self.connections[id].entrance == entrance
            });
            let Some(victim) = victim else {
                if closing > 0 && has_place {
                    return Ok(Grant::Wait);
                }
                return Err(Shortage::Occupied);
            };
            match has_place {
                true => self.report.closed_for_bytes += 1,
                false => self.report.closed_for_connections += 1,
            }
            self.close(victim);
        }
    }

    /// Counts a connection for which there is room. The host waits for its first request.
    pub(crate) fn open(&mut self, entrance: EntranceId, close: Arc<Notify>) -> ConnectionId {
        let id = self.next_id;
        self.next_id += 1;
        let position = self.next_position();
        self.entrances[entrance].open += 1;
        self.report.connections += 1;
        self.report.bytes += CONNECTION_BYTES;
        let entry = Entry {
            entrance,
            bytes: CONNECTION_BYTES,
            awaited_since: position,
            blocked_since: None,
            is_host_turn: false,
            awaits_body: false,
            is_blocked: false,
            waiting_since: None,
            is_closing: false,
            close,
        };
        self.connections.insert(id, entry);
        self.reorder(id);
        id
    }

    /// Forgets a connection.
    pub(crate) fn remove(&mut self, id: ConnectionId) {
        let Some(entry) = self.connections.remove(&id) else {
            return;
        };
        if let Some(position) = entry.waiting_since {
            self.waiting.remove(&position);
        }
        self.entrances[entry.entrance].open -= 1;
        self.report.connections -= 1;
        if entry.is_closing {
            self.entrances[entry.entrance].closing -= 1;
            self.closing_bytes -= entry.bytes;
        }
        self.report.bytes -= CONNECTION_BYTES;
    }

    /// Reserves bytes, closing connections if need be. Only those are closed that have kept the host
    /// waiting for longer than the connection that asks.
    pub(crate) fn reserve(&mut self, id: ConnectionId, bytes: u64) -> Result<Grant, Shortage> {
        let max = self.report.bytes_max;
        if bytes > max {
            return Err(Shortage::OverBudget);
        }
        if self.report.bytes + bytes <= max {
            self.report.bytes += bytes;
            if let Some(entry) = self.connections.get_mut(&id) {
                entry.bytes += bytes;
                if entry.is_closing {
                    self.closing_bytes += bytes;
                }
            }
            return Ok(Grant::Granted);
        }
        let own = self.connections.get(&id);
        if own.is_some_and(|entry| entry.is_closing) {
            return Err(Shortage::Occupied);
        }
        let own_position = own.and_then(|entry| entry.waiting_since);
        let mut remaining = self.report.bytes - self.closing_bytes + bytes;
        let mut victims = Vec::new();
        for (_, victim) in self.waiting.range(..own_position.unwrap_or(Position::MAX)) {
            if remaining <= max {
                break;
            }
            remaining -= self.connections[victim].bytes;
            victims.push(*victim);
        }
        if remaining > max {
            return Err(Shortage::Occupied);
        }
        self.report.closed_for_bytes += victims.len() as u64;
        for victim in victims {
            self.close(victim);
        }
        Ok(Grant::Wait)
    }

    /// Returns reserved bytes. The connection may have ended.
    pub(crate) fn release(&mut self, id: ConnectionId, bytes: u64) {
        self.report.bytes -= bytes;
        if let Some(entry) = self.connections.get_mut(&id) {
            entry.bytes -= bytes;
            if entry.is_closing {
                self.closing_bytes -= bytes;
            }
        }
    }

    fn close(&mut self, id: ConnectionId) {
        let Some(entry) = self.connections.get_mut(&id) else {
            return;
        };
        entry.is_closing = true;
        entry.close.notify_one();
        self.closing_bytes += entry.bytes;
        self.entrances[entry.entrance].closing += 1;
        self.reorder(id);
    }

    /// Returns whether a connection was told to close.
    pub(crate) fn is_closing(&self, id: ConnectionId) -> bool {
        self.connections
            .get(&id)
            .is_none_or(|entry| entry.is_closing)
    }

    /// Begins to handle a request.
    pub(crate) fn begin_turn(&mut self, id: ConnectionId) {
        self.change(id, |entry| entry.is_host_turn = true);
    }

    /// Begins to wait for the next request.
    pub(crate) fn end_turn(&mut self, id: ConnectionId) {
        let position = self.next_position();
        self.change(id, |entry| {
            entry.is_host_turn = false;
            entry.awaits_body = false;
            entry.awaited_since = position;
            entry.blocked_since = None;
        });
    }

    /// Sets whether the host waits for the rest of a request's body. This does not renew the time since
    /// which the request is awaited, or a caller that sends a byte now and then would seem new.
    pub(crate) fn set_awaits_body(&mut self, id: ConnectionId, awaits_body: bool) {
        self.change(id, |entry| entry.awaits_body = awaits_body);
    }

    /// Sets whether the caller keeps the host from writing. A response that is blocked again counts as
    /// blocked since the first time.
    pub(crate) fn set_blocked(&mut self, id: ConnectionId, is_blocked: bool) {
        let position = self.next_position();
        self.change(id, |entry| {
            entry.is_blocked = is_blocked;
            if is_blocked {
                entry.blocked_since.get_or_insert(position);
            }
        });
    }

    fn change(&mut self, id: ConnectionId, change: impl FnOnce(&mut Entry)) {
        if let Some(entry) = self.connections.get_mut(&id) {
            change(entry);
            self.reorder(id);
        }
    }

    fn reorder(&mut self, id: ConnectionId) {
        let Some(entry) = self.connections.get_mut(&id) else {
            return;
        };
        let position = match () {
            () if entry.is_closing => None,
            () if !entry.is_host_turn || entry.awaits_body => Some(entry.awaited_since),
            () if entry.is_blocked => entry.blocked_since,
            () => None,
        };
        if entry.waiting_since == position {
            return;
        }
        if let Some(position) = entry.waiting_since {
            self.waiting.remove(&position);
        }
        entry.waiting_since = position;
        if let Some(position) = position {
            self.waiting.insert(position, id);
        }
    }
}
