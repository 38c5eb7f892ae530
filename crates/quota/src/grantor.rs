//! Lease of a host's own share: which holder has it, and until when.

use std::time::Duration;
use std::time::Instant;

use crate::HostKey;

/// A host's share of one holder slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Grantor {
    started: Instant,
    lease: Option<(HostKey, Instant)>,
}

impl Grantor {
    pub(crate) fn new(started: Instant) -> Self {
        Self {
            started,
            lease: None,
        }
    }

    /// Returns whether the share may be leased to a holder. A host that has just restarted
    /// may have leased it before: either to a holder that reports having it, or to one whose
    /// lease expires within `duration` of the start. `is_unleased` states that all hosts have
    /// been asked and none holds the share.
    pub(crate) fn may_grant(
        &self,
        holder: HostKey,
        is_held: bool,
        is_unleased: bool,
        duration: Duration,
        now: Instant,
    ) -> bool {
        match self.lease {
            Some((leased_to, expires_at)) if now < expires_at => leased_to == holder,
            Some(_) => true,
            None => {
                is_held || is_unleased || now.saturating_duration_since(self.started) >= duration
            }
        }
    }

    /// Leases the share. The lease expires here no earlier than at the holder, which counts
    /// from the time at which it sent its request.
    pub(crate) fn grant(&mut self, holder: HostKey, duration: Duration, now: Instant) {
        let expires_at = now + duration;
        let current = self.lease.filter(|(leased_to, _)| *leased_to == holder);
        let expires_at = current.map_or(expires_at, |(_, before)| before.max(expires_at));
        self.lease = Some((holder, expires_at));
    }

    /// Returns the holder of the current lease.
    pub(crate) fn leased_to(&self, now: Instant) -> Option<HostKey> {
        self.lease
            .filter(|(_, expires_at)| now < *expires_at)
            .map(|(leased_to, _)| leased_to)
    }
}
