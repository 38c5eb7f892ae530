//! Room in the budget for callers for what is kept of a target's answer until it is complete: texts of
//! items, and events that have begun.
//!
//! The limit for one text or one event does not bound what a host keeps: a faulty target that sends
//! without end to many requests makes it keep as many of the largest size. Reserving that size when a
//! request is sent was rejected, as nearly all answers are far shorter.

use notchwharf_intake::Intake;
use notchwharf_intake::Reservation;
use notchwharf_intake::error::Shortage;

/// Bytes that are kept without a reservation: more than usual texts and events have.
const FREE_BYTES: u64 = 64 << 10;
/// Unit in which bytes are reserved.
const STEP_BYTES: u64 = 256 << 10;

/// Room for an answer that grows.
#[derive(Default)]
pub(crate) struct Room {
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
    pub(crate) async fn grow(
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
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }
}
