//! How a host's calls of the store have gone, in times that prove something.
//!
//! When a failure is noticed proves little: a call that waits on a connection
//! that has fallen silent fails seconds later, and a kept connection may have
//! been silent long before it was used. Only what a failed call shows of the
//! time at which it was begun, or later, is evidence.

use std::time::Instant;

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The store refused it, or was not reached: a fault after it was begun.
    Refused,
    /// The store serves, but not so many calls: entries do not lapse.
    Throttled,
    /// It was lost, perhaps with a connection that had been silent before.
    Lost,
}

/// How calls of one kind, or all, have gone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    last_response: Option<Instant>,
    /// When a call was lost, if none was answered since.
    lost_at: Option<Instant>,
    outage_at: Option<Instant>,
    recovered_at: Option<Instant>,
}

impl Availability {
    /// Returns the contact reported by another host.
    pub fn from_peer(outage_at: Option<Instant>, recovered_at: Option<Instant>) -> Self {
        Self {
            outage_at,
            recovered_at,
            ..Self::default()
        }
    }

    /// Returns the latest time at which, or later, there was a fault; nothing
    /// if none was proved.
    pub fn outage_at(&self) -> Option<Instant> {
        self.outage_at
    }

    /// Returns when calls were answered again after the last fault; nothing
    /// before that.
    pub fn recovered_at(&self) -> Option<Instant> {
        self.recovered_at
    }

    /// Returns when the last answer came.
    pub fn last_response(&self) -> Option<Instant> {
        self.last_response
    }

    /// Returns whether a failure tells nothing of the store now: the call was
    /// lost, and another has been answered since it was begun.
    pub fn is_stale(&self, begun: Instant, failure: Failure) -> bool {
        let is_answered_since = self.last_response.is_some_and(|at| at >= begun);
        failure == Failure::Lost && is_answered_since
    }

    /// Returns whether calls have failed and none was answered since.
    fn is_away(&self) -> bool {
        self.outage_at.is_some() && self.recovered_at.is_none()
    }

    /// Notes an answer.
    pub fn record_response(&mut self, at: Instant) {
        self.last_response = Some(at);
        self.lost_at = None;
        if self.is_away() {
            self.recovered_at = Some(at);
        }
    }

    /// Notes a failure of a call that was begun at a time.
    ///
    /// A lost call is no evidence if another was answered since it began, and
    /// one alone is none either: its connection may have been silent for long.
    /// The next one is. The caller gives up all idle connections when a call
    /// fails, so none that is used then has been idle since before.
    pub fn record_failure(&mut self, begun: Instant, noticed: Instant, failure: Failure) {
        if self.is_stale(begun, failure) {
            return;
        }
        let fault = match failure {
            Failure::Throttled => return,
            Failure::Refused => begun,
            Failure::Lost => match self.lost_at.replace(noticed) {
                Some(before) if begun >= before => before,
                _ => return,
            },
        };
        self.outage_at = self.outage_at.max(Some(fault));
        self.recovered_at = None;
    }
}

/// What the judgement of missing entries goes by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// How the readings of targets' entries have gone. The store may lose a
    /// part of its topics only.
    pub reads: Availability,
    /// How all calls of the store have gone. A pause between two readings may
    /// hide an outage from them.
    pub calls: Availability,
}

impl Evidence {
    /// Returns whether the store may have been away: any calls have failed.
    pub(super) fn is_any_fault(&self) -> bool {
        self.reads.outage_at.is_some() || self.calls.outage_at.is_some()
    }

    /// Returns when the store was back; nothing while it is away.
    pub(super) fn recovered_at(&self) -> Option<Instant> {
        if self.reads.is_away() || self.calls.is_away() {
            return None;
        }
        self.reads.recovered_at.max(self.calls.recovered_at)
    }
}
