//! Connections and reservations: handles that return to the ledger what they hold when they are
//! dropped.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::Report;
use crate::error::Shortage;
use crate::ledger::ConnectionId;
use crate::ledger::EntranceId;
use crate::ledger::Grant;
use crate::ledger::Ledger;

/// Time within which connections that are told to close return what they hold.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The budget of a host for its callers. Clones share it.
#[derive(Clone)]
pub struct Intake(Arc<Shared>);

struct Shared {
    ledger: Mutex<Ledger>,
    /// Notified when bytes or connections are returned, or may be taken from a caller.
    returned: Notify,
}

impl Shared {
    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        // No panic leaves the ledger inconsistent.
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Repeats a request until it is granted, also while nothing is about to be returned.
    async fn ask_until(
        &self,
        deadline: Instant,
        mut request: impl FnMut(&mut Ledger) -> Result<Grant, Shortage>,
    ) -> Result<(), Shortage> {
        loop {
            let returned = self.returned.notified();
            let mut returned = std::pin::pin!(returned);
            // From here on no notification is missed.
            returned.as_mut().enable();
            match request(&mut self.ledger()) {
                Ok(Grant::Granted) => return Ok(()),
                Err(Shortage::OverBudget) => return Err(Shortage::OverBudget),
                Ok(Grant::Wait) | Err(Shortage::Occupied) => {}
            }
            let in_time = tokio::time::timeout_at(deadline, returned).await;
            in_time.map_err(|_| Shortage::Occupied)?;
        }
    }

    /// Repeats a request while enough is about to be returned.
    async fn ask(
        &self,
        mut request: impl FnMut(&mut Ledger) -> Result<Grant, Shortage>,
    ) -> Result<(), Shortage> {
        let mut deadline = None;
        loop {
            let returned = self.returned.notified();
            let mut returned = std::pin::pin!(returned);
            // From here on no notification is missed.
            returned.as_mut().enable();
            if request(&mut self.ledger())? == Grant::Granted {
                return Ok(());
            }
            let deadline = *deadline.get_or_insert_with(|| Instant::now() + CLOSE_TIMEOUT);
            let in_time = tokio::time::timeout_at(deadline, returned).await;
            in_time.map_err(|_| Shortage::Occupied)?;
        }
    }
}

impl fmt::Debug for Intake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Intake").field(&self.report()).finish()
    }
}

impl Intake {
    /// Returns a budget of this many bytes.
    pub fn new(bytes_max: u64) -> Self {
        Self(Arc::new(Shared {
            ledger: Mutex::new(Ledger::new(bytes_max)),
            returned: Notify::new(),
        }))
    }

    /// Returns the entrance of a listener, which admits up to this many connections.
    pub fn entrance(&self, connections_max: usize) -> Entrance {
        let id = self.0.ledger().add_entrance(connections_max);
        Entrance {
            shared: Arc::clone(&self.0),
            id,
        }
    }

    /// Returns what callers occupy.
    pub fn report(&self) -> Report {
        self.0.ledger().report()
    }

    /// Reserves bytes that are kept for no particular connection.
    ///
    /// # Errors
    ///
    /// Returns a [`Shortage`] if there is no room.
    pub async fn reserve(&self, bytes: u64) -> Result<Reservation, Shortage> {
        reserve(&self.0, ConnectionId::MAX, bytes).await
    }
}

async fn reserve(
    shared: &Arc<Shared>,
    connection: ConnectionId,
    bytes: u64,
) -> Result<Reservation, Shortage> {
    let asked = shared.ask(|ledger| ledger.reserve(connection, bytes)).await;
    granted(shared, connection, bytes, asked)
}

/// Returns the reservation that was asked for, or counts that it was refused.
fn granted(
    shared: &Arc<Shared>,
    connection: ConnectionId,
    bytes: u64,
    asked: Result<(), Shortage>,
) -> Result<Reservation, Shortage> {
    if let Err(shortage) = asked {
        shared.ledger().report_mut().refused_bytes += 1;
        return Err(shortage);
    }
    Ok(Reservation {
        shared: Arc::clone(shared),
        connection,
        bytes,
    })
}

/// Admits the connections of one listener.
#[derive(Clone)]
pub struct Entrance {
    shared: Arc<Shared>,
    id: EntranceId,
}

impl fmt::Debug for Entrance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Entrance").field(&self.id).finish()
    }
}

impl Entrance {
    /// Admits a connection, in place of others if need be.
    ///
    /// # Errors
    ///
    /// Returns a [`Shortage`] if no connection can be closed for it.
    pub async fn admit(&self) -> Result<Connection, Shortage> {
        let close = Arc::new(Notify::new());
        let mut id = ConnectionId::MAX;
        let request = |ledger: &mut Ledger| {
            let grant = ledger.make_way(self.id)?;
            if grant == Grant::Granted {
                id = ledger.open(self.id, Arc::clone(&close));
            }
            Ok(grant)
        };
        if let Err(shortage) = self.shared.ask(request).await {
            self.shared.ledger().report_mut().refused_connections += 1;
            return Err(shortage);
        }
        Ok(Connection(Arc::new(Open {
            shared: Arc::clone(&self.shared),
            id,
            close,
            has_unread_body: AtomicBool::new(false),
        })))
    }

    /// Counts a connection that could not be accepted.
    pub fn record_failed_accept(&self) {
        self.shared.ledger().report_mut().failed_accepts += 1;
    }
}

/// An admitted connection, counted until the last clone is dropped.
#[derive(Clone)]
pub struct Connection(Arc<Open>);

struct Open {
    shared: Arc<Shared>,
    id: ConnectionId,
    close: Arc<Notify>,
    has_unread_body: AtomicBool,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.shared.ledger().remove(self.id);
        self.shared.returned.notify_waiters();
    }
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Connection").field(&self.0.id).finish()
    }
}

impl Connection {
    /// Returns when the connection is to be closed, since others need what it occupies.
    pub async fn closed(&self) {
        self.0.close.notified().await;
    }

    /// Returns whether the connection was told to close. Once it is the host's turn, this does not change
    /// unless the host waits for the caller again.
    pub fn is_closing(&self) -> bool {
        self.0.shared.ledger().is_closing(self.0.id)
    }

    /// Begins to handle a request: the host no longer waits for its caller.
    pub fn begin_turn(&self) -> Turn {
        self.0.shared.ledger().begin_turn(self.0.id);
        Turn(self.clone())
    }

    /// Begins to wait for the rest of a request's body.
    pub fn await_body(&self) -> BodyWait<'_> {
        self.0.shared.ledger().set_awaits_body(self.0.id, true);
        BodyWait(self)
    }

    /// Sets whether the caller keeps the host from writing.
    pub fn set_blocked(&self, is_blocked: bool) {
        self.0.shared.ledger().set_blocked(self.0.id, is_blocked);
        if is_blocked {
            self.0.shared.returned.notify_waiters();
        }
    }

    /// Records that a body is not read to its end, so that the caller may still be sending it.
    pub fn leave_body_unread(&self) {
        self.0.has_unread_body.store(true, Ordering::Relaxed);
    }

    /// Returns whether a body was not read to its end.
    pub fn has_unread_body(&self) -> bool {
        self.0.has_unread_body.load(Ordering::Relaxed)
    }

    /// Reserves bytes that are kept for the caller. They may outlive the connection.
    ///
    /// # Errors
    ///
    /// Returns a [`Shortage`] if there is no room.
    pub async fn reserve(&self, bytes: u64) -> Result<Reservation, Shortage> {
        reserve(&self.0.shared, self.0.id, bytes).await
    }

    /// Reserves bytes for a part of a response that has begun, and so can no longer be refused: waits
    /// until others return theirs.
    ///
    /// # Errors
    ///
    /// Returns a [`Shortage`] if there is no room in time.
    pub async fn reserve_within(
        &self,
        timeout: Duration,
        bytes: u64,
    ) -> Result<Reservation, Shortage> {
        let (shared, id) = (&self.0.shared, self.0.id);
        let deadline = Instant::now() + timeout;
        let asked = shared.ask_until(deadline, |ledger| ledger.reserve(id, bytes));
        granted(shared, id, bytes, asked.await)
    }
}

/// A request that the host handles. When it is dropped, the host waits for the next one.
#[derive(Debug)]
pub struct Turn(Connection);

impl Drop for Turn {
    fn drop(&mut self) {
        self.0.0.shared.ledger().end_turn(self.0.0.id);
    }
}

/// A wait for the rest of a body.
#[derive(Debug)]
pub struct BodyWait<'a>(&'a Connection);

impl Drop for BodyWait<'_> {
    fn drop(&mut self) {
        self.0.0.shared.ledger().set_awaits_body(self.0.0.id, false);
    }
}

/// Reserved bytes, returned when this is dropped.
pub struct Reservation {
    shared: Arc<Shared>,
    connection: ConnectionId,
    bytes: u64,
}

impl Reservation {
    /// Returns what is not needed.
    pub fn shrink(&mut self, bytes: u64) {
        let surplus = self.bytes.saturating_sub(bytes);
        self.bytes -= surplus;
        self.give_back(surplus);
    }

    /// Takes a part of this, or all if it has less.
    #[must_use]
    pub fn split(&mut self, bytes: u64) -> Self {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Self {
            shared: Arc::clone(&self.shared),
            connection: self.connection,
            bytes,
        }
    }

    /// Returns bytes that are reserved with this until the last reference to them is dropped. What they do
    /// not need is returned.
    pub fn keep(mut self, bytes: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        self.shrink(bytes.as_ref().len() as u64);
        Bytes::from_owner(Kept {
            bytes,
            _reservation: self,
        })
    }

    /// Adds the bytes of another reservation for the same connection.
    pub fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    fn give_back(&self, bytes: u64) {
        self.shared.ledger().release(self.connection, bytes);
        self.shared.returned.notify_waiters();
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.give_back(self.bytes);
    }
}

/// Bytes with their reservation.
struct Kept<B> {
    bytes: B,
    _reservation: Reservation,
}

impl<B: AsRef<[u8]>> AsRef<[u8]> for Kept<B> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

impl fmt::Debug for Reservation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Reservation").field(&self.bytes).finish()
    }
}
