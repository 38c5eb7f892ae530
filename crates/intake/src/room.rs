//! Room for what is kept of an answer until it is complete.
//!
//! A limit for one answer does not bound what a host keeps: a faulty target that sends without end to
//! many requests makes it keep as many of the largest size. Reserving that size when a request is sent
//! was rejected, as nearly all answers are far shorter.

use bytes::Bytes;

use crate::connection::Intake;
use crate::connection::Reservation;
use crate::error::Shortage;

/// Bytes that are kept without a reservation: more than usual answers have.
const FREE_BYTES: u64 = 64 << 10;
/// Unit in which bytes are reserved.
const STEP_BYTES: u64 = 256 << 10;

/// Room in the budget for something that grows, such as the answer of a target.
///
/// ```
/// use notchwharf_intake::{Intake, Room};
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// let intake = Intake::new(1 << 20);
/// let mut room = Room::default();
/// assert!(room.grow(&intake, 2, 400_000).await.is_ok());
/// assert!(room.grow(&intake, 2, 800_000).await.is_err());
/// # }
/// ```
#[derive(Default)]
pub struct Room {
    reserved: Option<Reservation>,
    bytes: u64,
}

impl std::fmt::Debug for Room {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Room").field("bytes", &self.bytes).finish()
    }
}

impl Room {
    /// Reserves what `copies` of `bytes` need beyond what is reserved.
    ///
    /// # Errors
    ///
    /// Returns a [`Shortage`] if there is no room; what was reserved stays so.
    pub async fn grow(
        &mut self,
        intake: &Intake,
        copies: u64,
        bytes: usize,
    ) -> Result<(), Shortage> {
        let needed = copies.saturating_mul(bytes as u64);
        if bytes as u64 <= FREE_BYTES || needed <= self.bytes {
            return Ok(());
        }
        let total = needed.next_multiple_of(STEP_BYTES);
        let more = intake.reserve(total - self.bytes).await?;
        self.bytes = total;
        match &mut self.reserved {
            Some(reserved) => reserved.merge(more),
            None => self.reserved = Some(more),
        }
        Ok(())
    }

    /// Returns all that is reserved.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns bytes whose room is returned when the last reference to them is dropped.
    pub fn keep(self, bytes: Bytes) -> Bytes {
        match self.reserved {
            Some(reserved) => reserved.keep(bytes),
            None => bytes,
        }
    }
}
