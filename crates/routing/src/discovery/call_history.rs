//! History of a host's calls of the store, from which outages of the store are derived.
//!
//! The time at which a failure is detected proves little: a call on a connection that has
//! become unresponsive fails seconds later, and a kept connection may have been unresponsive
//! long before it was used. Only what a failed call shows about the time from its start on
//! is evidence of an outage.

use std::time::Instant;

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The store refused it or could not be reached: an outage after the call was started.
    Refused,
    /// The store is available but limits the rate of calls; entries do not expire.
    Throttled,
    /// No response arrived, possibly because the connection had already been unresponsive.
    Lost,
}

/// History of the calls of one kind, or of all calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallHistory {
    last_response: Option<Instant>,
    /// When a call was lost, if none was answered since.
    lost_at: Option<Instant>,
    outage_at: Option<Instant>,
    recovered_at: Option<Instant>,
}

impl CallHistory {
    /// Returns the history reported by another host.
    pub fn from_peer(outage_at: Option<Instant>, recovered_at: Option<Instant>) -> Self {
        Self {
            outage_at,
            recovered_at,
            ..Self::default()
        }
    }

    /// Returns the latest time at or after which there was an outage; `None` if none was
    /// proved.
    pub fn outage_at(&self) -> Option<Instant> {
        self.outage_at
    }

    /// Returns when a call was first answered after the last outage; `None` before that.
    pub fn recovered_at(&self) -> Option<Instant> {
        self.recovered_at
    }

    /// Returns when the last response arrived.
    pub fn last_response(&self) -> Option<Instant> {
        self.last_response
    }

    /// Returns whether a failure provides no information on the current state: the call was
    /// lost, and another has been answered since it was started.
    pub fn is_stale(&self, started_at: Instant, failure: Failure) -> bool {
        let is_answered_since = self.last_response.is_some_and(|at| at >= started_at);
        failure == Failure::Lost && is_answered_since
    }

    /// Returns whether calls have failed and none was answered since.
    fn is_out(&self) -> bool {
        self.outage_at.is_some() && self.recovered_at.is_none()
    }

    /// Records a response.
    pub fn record_response(&mut self, at: Instant) {
        self.last_response = Some(at);
        self.lost_at = None;
        if self.is_out() {
            self.recovered_at = Some(at);
        }
    }

    /// Records the failure of a call, by when the call was started and when the failure was
    /// detected.
    ///
    /// A lost call proves no outage if another was answered since it was started. Neither
    /// does a single lost call, as its connection may have been unresponsive for long; the
    /// next one does. The caller closes all idle connections when a call fails, so no
    /// connection used afterwards has been idle since before.
    pub fn record_failure(&mut self, started_at: Instant, detected_at: Instant, failure: Failure) {
        if self.is_stale(started_at, failure) {
            return;
        }
        let outage_at = match failure {
            Failure::Throttled => return,
            Failure::Refused => started_at,
            Failure::Lost => match self.lost_at.replace(detected_at) {
                Some(lost_at) if started_at >= lost_at => lost_at,
                _ => return,
            },
        };
        self.outage_at = self.outage_at.max(Some(outage_at));
        self.recovered_at = None;
    }
}

/// Evidence of outages, by which missing entries are assessed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// History of reads of targets' entries. An outage of the store may be limited to some
    /// topics.
    pub reads: CallHistory,
    /// History of all calls of the store. An outage may fall into the pause between two
    /// reads.
    pub calls: CallHistory,
}

impl Evidence {
    /// Returns whether the store may have been unavailable: any calls have failed.
    pub(super) fn has_outage(&self) -> bool {
        self.reads.outage_at.is_some() || self.calls.outage_at.is_some()
    }

    /// Returns when the store recovered; `None` while it is unavailable.
    pub(super) fn recovered_at(&self) -> Option<Instant> {
        if self.reads.is_out() || self.calls.is_out() {
            return None;
        }
        self.reads.recovered_at.max(self.calls.recovered_at)
    }
}
