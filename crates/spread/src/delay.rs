//! Estimates message delays between hosts without synchronized clocks.
//!
//! Senders stamp messages with their monotonic clock. The smallest difference seen between
//! that timestamp and the receiver's clock is the baseline of a sender; any excess is time
//! spent in queues or on a stalled host. The baseline itself includes the network latency
//! of the fastest message, which is not measured.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

/// Baseline clock differences between a receiver and its senders.
#[derive(Clone, Debug)]
pub struct DelayEstimator<K> {
    /// Smallest difference seen per sender, in milliseconds.
    baseline_ms: HashMap<K, i64>,
}

impl<K> Default for DelayEstimator<K> {
    fn default() -> Self {
        Self {
            baseline_ms: HashMap::new(),
        }
    }
}

impl<K: Eq + Hash> DelayEstimator<K> {
    /// Records the send and receive times of a message, in milliseconds; returns its delay
    /// beyond the fastest message of that sender.
    pub fn observe(&mut self, sender: K, sent_ms: u64, received_ms: u64) -> Duration {
        let difference = received_ms as i64 - sent_ms as i64;
        let baseline = self.baseline_ms.entry(sender).or_insert(difference);
        *baseline = (*baseline).min(difference);
        Duration::from_millis((difference - *baseline).unsigned_abs())
    }

    /// Retains only the senders for which `is_kept` returns true.
    pub fn retain(&mut self, is_kept: impl Fn(&K) -> bool) {
        self.baseline_ms.retain(|sender, _| is_kept(sender));
    }
}
