//! A host's own part: to whom it is lent, and until when.

use std::time::Duration;
use std::time::Instant;

use crate::HostKey;

/// The part of one host in one slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lender {
    started: Instant,
    lent: Option<(HostKey, Instant)>,
}

impl Lender {
    pub(crate) fn new(started: Instant) -> Self {
        Self {
            started,
            lent: None,
        }
    }

    /// Returns whether the part may be lent to a holder for a time. A host that has just
    /// started may have lent it before: to a holder that says that it has it, or to one
    /// whose time will be over when so much has passed. `is_free` says that all hosts have
    /// been asked and none has it.
    pub(crate) fn may_lend(
        &self,
        holder: HostKey,
        is_held: bool,
        is_free: bool,
        valid: Duration,
        now: Instant,
    ) -> bool {
        match self.lent {
            Some((lent_to, until)) if now < until => lent_to == holder,
            Some(_) => true,
            None => is_held || is_free || now.saturating_duration_since(self.started) >= valid,
        }
    }

    /// Lends the part. The time begins here no earlier than at the holder, which counts
    /// from when it spoke.
    pub(crate) fn lend(&mut self, holder: HostKey, valid: Duration, now: Instant) {
        let until = now + valid;
        let longest = self.lent.filter(|(lent_to, _)| *lent_to == holder);
        let until = longest.map_or(until, |(_, before)| before.max(until));
        self.lent = Some((holder, until));
    }

    /// Returns to whom the part is lent.
    pub(crate) fn lent_to(&self, now: Instant) -> Option<HostKey> {
        self.lent
            .filter(|(_, until)| now < *until)
            .map(|(holder, _)| holder)
    }
}
